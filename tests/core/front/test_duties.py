"""Tests of the singleton duties: lease, usage and orders."""

import testtools

from tests.core.front.builders import (
    DOMAINS,
    POOL,
    config,
    scaling,
    server,
)
from waxwingarch.core.backends.registry import Backend
from waxwingarch.core.base import AccountId, HostId
from waxwingarch.core.duties.autoscaler import (
    Autoscaler,
    OrderKey,
    OrderServers,
    ServersOrdered,
)
from waxwingarch.core.duties.leader_election import (
    DutyLeaseRow,
    DutyRowRead,
    DutyRowWritten,
    DutyStoreFailed,
    LeaderElection,
    ReadDutyRow,
    WriteDutyRow,
)
from waxwingarch.core.duties.usage import (
    SendUsage,
    SettleUsage,
    UsageCounter,
    UsageReporter,
    UsageSent,
    UsageSettled,
)
from waxwingarch.core.peers.report import WindowCounts

TERM_S = 3.0


class Row:
    """The lease row in a store whose clock runs 100 s ahead."""

    def __init__(self) -> None:
        self.row: DutyLeaseRow | None = None
        self.version = 0

    def read(self, now: float) -> DutyRowRead:
        return DutyRowRead(
            row=self.row,
            version=self.version,
            clock_ms=int((now + 100) * 1000),
            sent_at=now,
            boot_now=now,
        )

    def write(
        self, now: float, action: WriteDutyRow
    ) -> DutyRowWritten | DutyRowRead:
        if action.expected_version != self.version:
            return self.read(now)
        self.row = action.row
        self.version += 7
        return DutyRowWritten(
            version=self.version,
            clock_ms=int((now + 100) * 1000),
            sent_at=now,
            boot_now=now,
        )

    def serve(
        self, lease: LeaderElection, now: float, actions: list[object]
    ) -> None:
        """Carry out calls until there are none."""
        while actions:
            action = actions.pop(0)
            if isinstance(action, ReadDutyRow):
                actions += lease.read(self.read(now))
            elif isinstance(action, WriteDutyRow):
                reply = self.write(now, action)
                if isinstance(reply, DutyRowWritten):
                    lease.written(reply)
                else:
                    actions += lease.read(reply)


class Lease(testtools.TestCase):
    def holder(self, row: Row, name: str, now: float) -> LeaderElection:
        lease = LeaderElection(HostId(name), 1, TERM_S)
        lease.started(now)
        row.serve(lease, now + 1, list(lease.tick(now + 1, 0)))
        return lease

    def test_one_holder(self) -> None:
        row = Row()
        first = self.holder(row, "a", 0.0)
        second = self.holder(row, "b", 0.1)
        self.assertTrue(first.may_act(1.2))
        self.assertFalse(second.may_act(1.2))

    def test_renewals_keep_the_lease_and_its_number(self) -> None:
        row = Row()
        lease = self.holder(row, "a", 0.0)
        fence = lease.fence
        for n in range(20):
            now = 1 + n * 0.5
            row.serve(lease, now, list(lease.tick(now, 0)))
            self.assertTrue(lease.may_act(now))
        self.assertEqual(fence, lease.fence)

    def test_holder_that_cannot_renew_stops_before_another_begins(
        self,
    ) -> None:
        row = Row()
        first = self.holder(row, "a", 0.0)
        second = LeaderElection(HostId("b"), 1, TERM_S)
        second.started(0.0)
        now = 1.0
        while not second.held and now < 20:
            now += 0.1
            row.serve(second, now, list(second.tick(now, 0)))
            if second.held:
                self.assertFalse(first.may_act(now))
        self.assertTrue(second.may_act(now))
        self.assertGreater(second.fence, first.fence)

    def test_suspended_holder_does_not_act_when_it_wakes(self) -> None:
        row = Row()
        first = self.holder(row, "a", 0.0)
        # The boot clock ran on while the machine was suspended.
        self.assertFalse(first.may_act(1 + TERM_S))
        self.assertEqual([], first.tick(1 + TERM_S, 0))
        self.assertFalse(first.held)

    def test_reply_to_a_renewal_that_comes_after_a_suspension(self) -> None:
        row = Row()
        lease = self.holder(row, "a", 0.0)
        [action] = lease.tick(2.3, 0)
        assert isinstance(action, WriteDutyRow)
        reply = row.write(2.3, action)
        assert isinstance(reply, DutyRowWritten)
        late = DutyRowWritten(
            version=reply.version,
            clock_ms=reply.clock_ms,
            sent_at=2.3,
            boot_now=9.0,
        )
        lease.written(late)
        self.assertFalse(lease.may_act(9.0))

    def test_lost_reply_is_read_back(self) -> None:
        row = Row()
        lease = self.holder(row, "a", 0.0)
        [action] = lease.tick(2.3, 0)
        assert isinstance(action, WriteDutyRow)
        row.write(2.3, action)
        failed = DutyStoreFailed(boot_now=2.4, maybe_applied=True)
        row.serve(lease, 2.4, list(lease.failed(failed)))
        self.assertTrue(lease.may_act(4.0))

    def test_row_tells_for_a_while_who_was_busy(self) -> None:
        row = Row()
        lease = LeaderElection(HostId("h1"), 1, TERM_S)
        busy = (AccountId("a"),)
        lease.tick(10.0, 0)
        [write] = lease.read(row.read(10.0))
        self.assertEqual((), write.row.busy)
        lease.written(row.write(10.0, write))
        [write] = lease.tick(12.0, 0, busy=busy)
        row.write(12.0, write)
        other = LeaderElection(HostId("h2"), 2, TERM_S)
        self.assertEqual(busy, other.busy_before(row.read(15.0)))
        self.assertIsNone(other.busy_before(row.read(25.0)))
        # Nobody asked for the row, so it takes no lease.
        self.assertEqual([], other.read(row.read(25.0)))

    def test_short_tenure_is_not_handed_back(self) -> None:
        # Holders A, B, A within a term are not allowed: B lets its
        # lease lapse where it held it for less than that.
        row = Row()
        lease = self.holder(row, "b", 0.0)
        self.assertEqual([], lease.resign(1.5))
        self.assertFalse(lease.may_act(1.5))

    def test_long_tenure_is_given_up_at_once(self) -> None:
        row = Row()
        lease = self.holder(row, "b", 0.0)
        for now in (2.3, 3.6, 4.9):
            row.serve(lease, now, list(lease.tick(now, 0)))
        [action] = lease.resign(5.0)
        assert isinstance(action, WriteDutyRow)
        self.assertLessEqual(action.row.until_ms, (5.0 + 100) * 1000 + 1)


class Usage(testtools.TestCase):
    def began(self, window: int, count: int) -> WindowCounts:
        return {window: {AccountId("a"): count}}

    def test_counts_of_all_hosts_are_settled_then_sent(self) -> None:
        counter = UsageCounter(5.0)
        duty = UsageReporter(counter)
        counter.began(51.0, AccountId("a"))
        others = [self.began(10, 4), self.began(10, 2)]
        actions = duty.tick(1.0, 56.3, 9, others)
        [settle] = [
            a for a in actions if isinstance(a, SettleUsage) and a.window == 10
        ]
        self.assertEqual({AccountId("a"): 7}, settle.counts)
        duty.settled(1.1, UsageSettled(window=10, counts=settle.counts))
        [send] = [
            a
            for a in duty.tick(1.2, 56.4, 9, others)
            if isinstance(a, SendUsage)
        ]
        self.assertEqual((10, 9), (send.window, send.fence))

    def test_window_is_not_settled_before_reports_can_be_in(self) -> None:
        duty = UsageReporter(UsageCounter(5.0))
        actions = duty.tick(1.0, 55.5, 9, ())
        windows = [a.window for a in actions if isinstance(a, SettleUsage)]
        self.assertNotIn(10, windows)

    def test_what_was_settled_first_is_what_is_sent(self) -> None:
        duty = UsageReporter(UsageCounter(5.0))
        duty.tick(1.0, 56.3, 9, [self.began(10, 4)])
        stored = {AccountId("a"): 3}
        duty.settled(1.1, UsageSettled(window=10, counts=stored))
        sends = [
            a
            for a in duty.tick(1.2, 56.4, 9, ())
            if isinstance(a, SendUsage) and a.window == 10
        ]
        self.assertEqual(stored, sends[0].counts)

    def test_lost_report_is_sent_again_unchanged(self) -> None:
        duty = UsageReporter(UsageCounter(5.0))
        duty.tick(1.0, 56.3, 9, ())
        duty.settled(1.1, UsageSettled(window=10, counts={}))
        first = [
            a
            for a in duty.tick(1.2, 56.4, 9, ())
            if isinstance(a, SendUsage) and a.window == 10
        ]
        duty.sent(1.3, UsageSent(window=10, accepted=False))
        more = [self.began(10, 99)]
        again = [
            a
            for a in duty.tick(2.5, 57.7, 9, more)
            if isinstance(a, SendUsage) and a.window == 10
        ]
        self.assertEqual(first, again)


class Scaling(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.duty = Autoscaler()
        self.services = [s for s in config().services if s.scaling is not None]

    def backends(self, *, reclaimable: int, others: int) -> list[Backend]:
        """Return so many of each kind in each domain."""
        return [
            Backend(
                server=server(
                    f"{domain}-{kind}-{n}", domain=domain, reclaimable=kind
                ),
                listed_at=0.0,
            )
            for domain in DOMAINS
            for kind, count in ((True, reclaimable), (False, others))
            for n in range(count)
        ]

    def tick(
        self, now: float, backends: list[Backend], refuse: bool = False
    ) -> dict[OrderKey, int]:
        """Return the orders of one step; each is accepted or refused."""
        placed: dict[OrderKey, int] = {}
        for action in self.duty.tick(now, 1, self.services, backends):
            assert isinstance(action, OrderServers)
            refused = refuse and action.key.reclaimable
            placed[action.key] = action.desired
            self.duty.ordered(
                now,
                ServersOrdered(
                    key=action.key,
                    desired=action.desired,
                    accepted=not refused,
                    refused=refused,
                ),
            )
        return placed

    def wanted(
        self, placed: dict[OrderKey, int], *, reclaimable: bool
    ) -> list[int]:
        return [
            n for key, n in placed.items() if key.reclaimable == reclaimable
        ]

    def test_reclaimable_servers_first_then_the_others_go(self) -> None:
        placed = self.tick(0.0, self.backends(reclaimable=0, others=2))
        self.assertEqual([3] * 4, self.wanted(placed, reclaimable=True))
        self.assertNotIn(0, self.wanted(placed, reclaimable=False))
        self.tick(4.9, self.backends(reclaimable=1, others=2))
        up = self.backends(reclaimable=3, others=2)
        placed = self.tick(5.0, up)
        self.assertEqual([], self.wanted(placed, reclaimable=False))
        placed = self.tick(8.0, up)
        self.assertEqual([0] * 4, self.wanted(placed, reclaimable=False))

    def test_servers_that_were_taken_away_are_ordered_again(self) -> None:
        # An order stands once: the pool ran on two engines after four
        # reclaims.
        up = self.backends(reclaimable=3, others=0)
        self.tick(0.0, up)
        gone = [b for b in up if b.server.failure_domain != DOMAINS[0]]
        placed = self.tick(30.0, gone)
        key = OrderKey(service=POOL, domain=DOMAINS[0], reclaimable=True)
        self.assertEqual({key: 3}, placed)

    def test_others_fill_while_reclaimable_ones_are_not_to_be_had(
        self,
    ) -> None:
        up = self.backends(reclaimable=3, others=0)
        self.tick(0.0, up)
        few = [b for b in up if b.server.failure_domain in (DOMAINS[2],)]
        self.tick(30.0, few, refuse=True)
        placed = self.tick(30.1, few, refuse=True)
        others = sum(self.wanted(placed, reclaimable=False))
        # 6 carry the load, and the last domain may be next.
        self.assertEqual(6, others)

    def test_others_make_room_for_reclaimable_ones(self) -> None:
        # The reclaimable servers lacked one to be enough, and the others
        # held their places for good.
        self.tick(0.0, self.backends(reclaimable=1, others=0))
        mixed = [
            b
            for b in self.backends(reclaimable=3, others=3)
            if b.server.reclaimable == (b.server.failure_domain in DOMAINS[:1])
        ]
        self.assertEqual(12, len(mixed))
        placed = self.tick(30.0, mixed)
        others = self.wanted(placed, reclaimable=False)
        # 9 of 12 stay: 6 of the others beside the 3 reclaimable ones.
        self.assertEqual(6, sum(others) + 3 * (3 - len(others)))

    def test_size_does_not_depend_on_a_half_registered_listing(self) -> None:
        placed = self.tick(0.0, self.backends(reclaimable=0, others=1)[:1])
        self.assertEqual([3] * 4, self.wanted(placed, reclaimable=True))

    def test_bounds_hold_for_both_kinds_together(self) -> None:
        bounds = scaling()
        placed = self.tick(0.0, self.backends(reclaimable=0, others=1))
        for domain in DOMAINS:
            both = sum(n for key, n in placed.items() if key.domain == domain)
            self.assertLessEqual(both, bounds.maximum + 1)
