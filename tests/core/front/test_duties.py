"""Tests of the duties on the platform: the lease, usage and scaling."""

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


class StoredLease:
    """The lease row in a store whose clock is 100 s ahead."""

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
        """Answer the calls of a host until it makes no more."""
        while actions:
            action = actions.pop(0)
            if isinstance(action, ReadDutyRow):
                actions += lease.handle_row_read(self.read(now))
            elif isinstance(action, WriteDutyRow):
                reply = self.write(now, action)
                if isinstance(reply, DutyRowWritten):
                    lease.handle_row_written(reply)
                else:
                    actions += lease.handle_row_read(reply)


class LeaderElectionLease(testtools.TestCase):
    def candidate(
        self, row: StoredLease, name: str, now: float
    ) -> LeaderElection:
        """Return a host's lease after its first attempt to acquire it."""
        lease = LeaderElection(HostId(name), 1, TERM_S)
        lease.start(now)
        row.serve(lease, now + 1, list(lease.tick(now + 1, 0)))
        return lease

    def test_one_holder(self) -> None:
        row = StoredLease()
        first = self.candidate(row, "a", 0.0)
        second = self.candidate(row, "b", 0.1)
        self.assertTrue(first.may_act(1.2))
        self.assertFalse(second.may_act(1.2))

    # Guards against a holder that counts on a renewal which the store has
    # never applied, as the row is its own from the one before.
    def test_lost_renewal_that_was_not_applied_extends_nothing(self) -> None:
        row = StoredLease()
        lease = self.candidate(row, "a", 0.0)
        valid_until = lease._valid_until
        [renewal] = lease.tick(2.5, 0)
        self.assertIsInstance(renewal, WriteDutyRow)
        actions = lease.handle_store_failure(
            DutyStoreFailed(boot_now=2.6, maybe_applied=True)
        )
        self.assertEqual([ReadDutyRow()], actions)
        [again] = lease.handle_row_read(row.read(2.7))
        self.assertIsInstance(again, WriteDutyRow)
        self.assertEqual(valid_until, lease._valid_until)
        row.serve(lease, 2.7, [again])
        self.assertGreater(lease._valid_until, valid_until)

    def test_renewals_keep_the_lease_and_its_fencing_number(self) -> None:
        row = StoredLease()
        lease = self.candidate(row, "a", 0.0)
        fence = lease.fence
        for n in range(20):
            now = 1 + n * 0.5
            row.serve(lease, now, list(lease.tick(now, 0)))
            self.assertTrue(lease.may_act(now))
        self.assertEqual(fence, lease.fence)

    def test_holder_that_cannot_renew_stops_before_the_next_one_acts(
        self,
    ) -> None:
        row = StoredLease()
        first = self.candidate(row, "a", 0.0)
        second = LeaderElection(HostId("b"), 1, TERM_S)
        second.start(0.0)
        now = 1.0
        while not second.held and now < 20:
            now += 0.1
            row.serve(second, now, list(second.tick(now, 0)))
            if second.held:
                self.assertFalse(first.may_act(now))
        self.assertTrue(second.may_act(now))
        self.assertGreater(second.fence, first.fence)

    def test_suspended_holder_does_not_act_when_it_wakes(self) -> None:
        row = StoredLease()
        first = self.candidate(row, "a", 0.0)
        # The boot clock also runs while the machine is suspended.
        self.assertFalse(first.may_act(1 + TERM_S))
        self.assertEqual([], first.tick(1 + TERM_S, 0))
        self.assertFalse(first.held)

    def test_reply_to_a_renewal_that_comes_after_a_suspension(self) -> None:
        row = StoredLease()
        lease = self.candidate(row, "a", 0.0)
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
        lease.handle_row_written(late)
        self.assertFalse(lease.may_act(9.0))

    def test_lost_reply_is_read_back(self) -> None:
        row = StoredLease()
        lease = self.candidate(row, "a", 0.0)
        [action] = lease.tick(2.3, 0)
        assert isinstance(action, WriteDutyRow)
        row.write(2.3, action)
        failed = DutyStoreFailed(boot_now=2.4, maybe_applied=True)
        row.serve(lease, 2.4, list(lease.handle_store_failure(failed)))
        self.assertTrue(lease.may_act(4.0))

    def test_row_names_the_recently_busy_accounts(self) -> None:
        row = StoredLease()
        lease = LeaderElection(HostId("h1"), 1, TERM_S)
        busy = (AccountId("a"),)
        lease.tick(10.0, 0)
        [write] = lease.handle_row_read(row.read(10.0))
        self.assertEqual((), write.row.busy_accounts)
        lease.handle_row_written(row.write(10.0, write))
        [write] = lease.tick(12.0, 0, busy_accounts=busy)
        row.write(12.0, write)
        other = LeaderElection(HostId("h2"), 2, TERM_S)
        self.assertEqual(busy, other.recently_busy_accounts(row.read(15.0)))
        self.assertIsNone(other.recently_busy_accounts(row.read(25.0)))
        # A row that was not read to acquire the lease doesn't acquire it.
        self.assertEqual([], other.handle_row_read(row.read(25.0)))

    def test_lease_held_for_less_than_a_term_is_not_released(self) -> None:
        # The holders must not be A, B and A again within one term. So B
        # lets a lease expire that it held for less than that.
        row = StoredLease()
        lease = self.candidate(row, "b", 0.0)
        self.assertEqual([], lease.resign(1.5))
        self.assertFalse(lease.may_act(1.5))

    def test_lease_held_for_a_term_is_released_at_once(self) -> None:
        row = StoredLease()
        lease = self.candidate(row, "b", 0.0)
        for now in (2.3, 3.6, 4.9):
            row.serve(lease, now, list(lease.tick(now, 0)))
        [action] = lease.resign(5.0)
        assert isinstance(action, WriteDutyRow)
        self.assertLessEqual(action.row.until_ms, (5.0 + 100) * 1000 + 1)


class UsageReports(testtools.TestCase):
    def peer_counts(self, window: int, count: int) -> WindowCounts:
        return {window: {AccountId("a"): count}}

    def test_counts_of_all_hosts_are_settled_then_sent(self) -> None:
        counter = UsageCounter(5.0)
        reporter = UsageReporter(counter)
        counter.record_start(51.0, AccountId("a"))
        others = [self.peer_counts(10, 4), self.peer_counts(10, 2)]
        actions = reporter.tick(1.0, 56.3, 9, others)
        [settle] = [
            a for a in actions if isinstance(a, SettleUsage) and a.window == 10
        ]
        self.assertEqual({AccountId("a"): 7}, settle.counts)
        reporter.handle_settled(
            1.1, UsageSettled(window=10, counts=settle.counts)
        )
        [send] = [
            a
            for a in reporter.tick(1.2, 56.4, 9, others)
            if isinstance(a, SendUsage)
        ]
        self.assertEqual((10, 9), (send.window, send.fence))

    def test_window_is_not_settled_before_all_reports_can_arrive(self) -> None:
        reporter = UsageReporter(UsageCounter(5.0))
        actions = reporter.tick(1.0, 55.5, 9, ())
        windows = [a.window for a in actions if isinstance(a, SettleUsage)]
        self.assertNotIn(10, windows)

    def test_counts_that_were_settled_first_are_sent(self) -> None:
        reporter = UsageReporter(UsageCounter(5.0))
        reporter.tick(1.0, 56.3, 9, [self.peer_counts(10, 4)])
        stored = {AccountId("a"): 3}
        reporter.handle_settled(1.1, UsageSettled(window=10, counts=stored))
        sends = [
            a
            for a in reporter.tick(1.2, 56.4, 9, ())
            if isinstance(a, SendUsage) and a.window == 10
        ]
        self.assertEqual(stored, sends[0].counts)

    def test_lost_report_is_sent_again_unchanged(self) -> None:
        reporter = UsageReporter(UsageCounter(5.0))
        reporter.tick(1.0, 56.3, 9, ())
        reporter.handle_settled(1.1, UsageSettled(window=10, counts={}))
        first = [
            a
            for a in reporter.tick(1.2, 56.4, 9, ())
            if isinstance(a, SendUsage) and a.window == 10
        ]
        reporter.handle_sent(1.3, UsageSent(window=10, accepted=False))
        more = [self.peer_counts(10, 99)]
        again = [
            a
            for a in reporter.tick(2.5, 57.7, 9, more)
            if isinstance(a, SendUsage) and a.window == 10
        ]
        self.assertEqual(first, again)


class Scaling(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.autoscaler = Autoscaler()
        self.services = [s for s in config().services if s.scaling is not None]

    def backends(self, *, reclaimable: int, on_demand: int) -> list[Backend]:
        """Return this many servers of each kind in each domain."""
        return [
            Backend(
                server=server(
                    f"{domain}-{kind}-{n}", domain=domain, reclaimable=kind
                ),
                listed_at=0.0,
            )
            for domain in DOMAINS
            for kind, count in ((True, reclaimable), (False, on_demand))
            for n in range(count)
        ]

    def tick(
        self, now: float, backends: list[Backend], refuse: bool = False
    ) -> dict[OrderKey, int]:
        """Return the orders of one tick.

        All are accepted, or with `refuse` those of reclaimable servers
        are refused.
        """
        placed: dict[OrderKey, int] = {}
        for action in self.autoscaler.tick(now, 1, self.services, backends):
            assert isinstance(action, OrderServers)
            refused = refuse and action.key.reclaimable
            placed[action.key] = action.desired
            self.autoscaler.handle_order_reply(
                now,
                ServersOrdered(
                    key=action.key,
                    desired=action.desired,
                    accepted=not refused,
                    refused=refused,
                ),
            )
        return placed

    def desired(
        self, placed: dict[OrderKey, int], *, reclaimable: bool
    ) -> list[int]:
        return [
            n for key, n in placed.items() if key.reclaimable == reclaimable
        ]

    def test_on_demand_servers_stop_after_reclaimable_ones_have_started(
        self,
    ) -> None:
        placed = self.tick(0.0, self.backends(reclaimable=0, on_demand=2))
        self.assertEqual([3] * 4, self.desired(placed, reclaimable=True))
        self.assertNotIn(0, self.desired(placed, reclaimable=False))
        self.tick(4.9, self.backends(reclaimable=1, on_demand=2))
        up = self.backends(reclaimable=3, on_demand=2)
        placed = self.tick(5.0, up)
        self.assertEqual([], self.desired(placed, reclaimable=False))
        placed = self.tick(8.0, up)
        self.assertEqual([0] * 4, self.desired(placed, reclaimable=False))

    def test_reclaimed_servers_are_ordered_again(self) -> None:
        # An order is carried out once, and has to be repeated for servers
        # that are reclaimed later: otherwise a pool is left with two
        # engines after four reclaims.
        up = self.backends(reclaimable=3, on_demand=0)
        self.tick(0.0, up)
        remaining = [b for b in up if b.server.failure_domain != DOMAINS[0]]
        placed = self.tick(30.0, remaining)
        key = OrderKey(service=POOL, domain=DOMAINS[0], reclaimable=True)
        self.assertEqual({key: 3}, placed)

    def test_on_demand_servers_fill_in_while_reclaimable_ones_are_refused(
        self,
    ) -> None:
        up = self.backends(reclaimable=3, on_demand=0)
        self.tick(0.0, up)
        few = [b for b in up if b.server.failure_domain in (DOMAINS[2],)]
        self.tick(30.0, few, refuse=True)
        placed = self.tick(30.1, few, refuse=True)
        on_demand = sum(self.desired(placed, reclaimable=False))
        # 6 servers carry the load, and the last domain may be reclaimed next.
        self.assertEqual(6, on_demand)

    def test_on_demand_servers_make_room_for_reclaimable_ones(self) -> None:
        # If the reclaimable servers are one short of enough, the on-demand
        # servers must not keep their places for good.
        self.tick(0.0, self.backends(reclaimable=1, on_demand=0))
        mixed = [
            b
            for b in self.backends(reclaimable=3, on_demand=3)
            if b.server.reclaimable == (b.server.failure_domain in DOMAINS[:1])
        ]
        self.assertEqual(12, len(mixed))
        placed = self.tick(30.0, mixed)
        on_demand = self.desired(placed, reclaimable=False)
        # 9 of 12 stay: 6 on-demand servers and the 3 reclaimable ones.
        self.assertEqual(6, sum(on_demand) + 3 * (3 - len(on_demand)))

    def test_size_does_not_depend_on_how_many_servers_are_registered(
        self,
    ) -> None:
        placed = self.tick(0.0, self.backends(reclaimable=0, on_demand=1)[:1])
        self.assertEqual([3] * 4, self.desired(placed, reclaimable=True))

    def test_maximum_holds_for_both_kinds_together(self) -> None:
        bounds = scaling()
        placed = self.tick(0.0, self.backends(reclaimable=0, on_demand=1))
        for domain in DOMAINS:
            both = sum(n for key, n in placed.items() if key.domain == domain)
            self.assertLessEqual(both, bounds.maximum + 1)
