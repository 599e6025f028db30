"""Tests of the core when the store returns from an older copy."""

from dataclasses import replace
from random import Random

import testtools

from tests.core.front.builders import POOL, front, server
from waxwingarch.core.backends.registry import Backend
from waxwingarch.core.base import AccountId, HostId, VersionId
from waxwingarch.core.duties.leader_election import (
    DutyLeaseRow,
    DutyRowRead,
    DutyRowWritten,
    LeaderElection,
    ReadDutyRow,
    StoreEraSeen,
    WriteDutyRow,
)
from waxwingarch.core.duties.usage import (
    SettleUsage,
    UsageCounter,
    UsageReporter,
    UsageSettled,
)
from waxwingarch.core.rollouts.exposure import ExposureBounds
from waxwingarch.core.rollouts.rollout_controller import RolloutController
from waxwingarch.core.rollouts.rollout_messages import (
    MarkStopped,
    RolloutOrder,
    RolloutPhase,
    StopMarked,
    StopsRead,
)
from waxwingarch.core.store_version import count_of, era_of, make_version

TERM_S = 3.0
WINDOW_S = 5.0


class ReturningStore:
    """The row of the lease, and the era in which the store answers."""

    def __init__(self) -> None:
        self.row: DutyLeaseRow | None = None
        self.count = 0
        self.era = 0

    def serve(
        self, lease: LeaderElection, now: float, window: int = 0
    ) -> None:
        """Let a host tick and answer its calls until it makes no more."""
        actions = list(lease.tick(now, 0, current_window=window))
        while actions:
            self.answer(lease, now, actions.pop(0), actions)

    def answer(
        self,
        lease: LeaderElection,
        now: float,
        action: object,
        actions: list[object],
    ) -> None:
        self.show_era(lease, now)
        if isinstance(action, WriteDutyRow) and (
            count_of(action.expected_version) == self.count
        ):
            self.row = action.row
            self.count += 1
            lease.handle_row_written(
                DutyRowWritten(
                    version=make_version(self.era, self.count),
                    clock_ms=int(now * 1000),
                    sent_at=now,
                    boot_now=now,
                )
            )
            return
        assert isinstance(action, ReadDutyRow | WriteDutyRow)
        version = make_version(self.era, self.count) if self.row else 0
        actions += lease.handle_row_read(
            DutyRowRead(
                row=self.row,
                version=version,
                clock_ms=int(now * 1000),
                sent_at=now,
                boot_now=now,
            )
        )

    def show_era(self, lease: LeaderElection, now: float) -> None:
        if lease._era_seen_at < 0 or lease._era != self.era:
            lease.record_era(StoreEraSeen(era=self.era, boot_now=now))


class LeaseOverEras(testtools.TestCase):
    """The copy has the lease as ended; its holder still counts on it."""

    def setUp(self) -> None:
        super().setUp()
        self.store = ReturningStore()
        self.holder = self.lease("a")
        self.store.serve(self.holder, 10.0)
        self.assertTrue(self.holder.may_act(10.0))
        self.copy = (self.store.row, self.store.count)
        for tenth in range(101, 180):
            self.store.serve(self.holder, tenth / 10)

    def lease(self, name: str, *, first_start: bool = True) -> LeaderElection:
        lease = LeaderElection(
            HostId(name), 1, TERM_S, first_start=first_start
        )
        lease.start(0.0)
        return lease

    def return_store(self) -> None:
        self.store.row, self.store.count = self.copy
        self.store.era += 1

    def test_no_host_takes_over_within_a_term(self) -> None:
        other = self.lease("b")
        self.store.show_era(other, 17.0)
        self.return_store()
        now = 18.0
        while not other.held and now < 30.0:
            self.store.serve(other, now)
            if other.held:
                self.assertFalse(self.holder.may_act(now))
            now += 0.1
        self.assertTrue(other.held)
        self.assertGreater(other.fence, self.holder.fence)

    def test_holder_goes_on_and_writes_its_row_again(self) -> None:
        fence = self.holder.fence
        self.return_store()
        other = self.lease("b")
        for tenth in range(180, 300):
            now = tenth / 10
            self.store.serve(self.holder, now, window=4)
            self.store.serve(other, now)
            self.assertTrue(self.holder.may_act(now), now)
            self.assertFalse(other.may_act(now), now)
        assert self.store.row is not None
        self.assertEqual(1, self.store.row.era)
        self.assertEqual(fence, self.holder.fence)

    def test_started_process_does_not_trust_a_missing_row(self) -> None:
        self.store.row, self.store.count, self.store.era = None, 0, 1
        late = self.lease("c", first_start=False)
        self.store.serve(late, 20.0)
        self.assertFalse(late.held)
        self.store.serve(late, 20.0 + TERM_S, window=7)
        self.assertTrue(late.held)
        self.assertEqual(7, late.first_window)

    def test_two_eras_in_a_row(self) -> None:
        fences = [self.holder.fence]
        for now in (20.0, 40.0):
            self.return_store()
            other = self.lease(f"b{now}")
            for tenth in range(100):
                self.store.serve(other, now + tenth / 10)
            self.assertTrue(other.held)
            fences.append(other.fence)
        self.assertEqual(sorted(set(fences)), fences)
        self.assertEqual([0, 1, 2], [era_of(fence) for fence in fences])

    def test_first_window_passes_to_the_next_holder(self) -> None:
        self.store.serve(self.holder, 18.0, window=4)
        self.return_store()
        for tenth in range(181, 200):
            self.store.serve(self.holder, tenth / 10, window=4)
        heir = self.lease("b")
        for tenth in range(200, 260):
            self.store.serve(heir, tenth / 10, window=6)
        self.assertTrue(heir.held)
        self.assertEqual(4, heir.first_window)

    def test_released_lease_is_not_held_again(self) -> None:
        """The reply to the releasing write comes after the release."""
        actions: list[object] = list(self.holder.resign(18.0))
        self.store.answer(self.holder, 18.0, actions.pop(0), actions)
        self.assertFalse(self.holder.may_act(18.0))
        self.assertFalse(self.holder.held)


class UsageOverEras(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.reporter = UsageReporter(UsageCounter(WINDOW_S))
        self.now = 10 * WINDOW_S + 2.0

    def settled_windows(self, first_window: int) -> list[int]:
        actions = self.reporter.tick(
            0.0, self.now, 1, (), first_window=first_window
        )
        return [a.window for a in actions if isinstance(a, SettleUsage)]

    def test_windows_that_may_have_been_reported_are_left_out(self) -> None:
        self.assertEqual([9], self.settled_windows(9))

    def test_settled_counts_are_kept_and_others_dropped(self) -> None:
        self.assertEqual([7, 8, 9], self.settled_windows(0))
        counts = {AccountId("a"): 3}
        event = UsageSettled(window=8, counts=counts)
        self.reporter.handle_settled(0.0, event)
        self.reporter.handle_store_returned()
        late = UsageSettled(window=9, counts=counts)
        self.reporter.handle_settled(0.0, late)
        actions = self.reporter.tick(0.1, self.now, 1, (), first_window=10)
        self.assertEqual([8], [a.window for a in actions])  # type: ignore[attr-defined]


class RolloutsOverEras(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.rollouts = RolloutController(
            HostId("a"), 1, ExposureBounds(), Random(1)
        )
        self.order = RolloutOrder(
            service=POOL, target=VersionId("v2"), duration_s=10.0, number=500
        )
        self.rollouts.apply_orders(0.0, [self.order])
        stopped = frozenset({self.order.rollout_id})
        self.rollouts.handle_stops_read(StopsRead(stopped=stopped))

    def marks(self, now: float) -> list[str]:
        actions = self.rollouts.tick(now, holds_duties=False, busy=set())
        return [a.rollout_id for a in actions if isinstance(a, MarkStopped)]

    def allowed_versions(self) -> set[str]:
        old = Backend(server=server("e1"), listed_at=0.0)
        target = replace(server("e2"), version=VersionId("v2"))
        new = Backend(server=target, listed_at=0.0)
        found = [
            backend.server.version
            for _ in range(100)
            for backend in self.rollouts.allowed_backends(POOL, [old, new])
        ]
        return set(found)

    def test_stop_mark_is_written_again(self) -> None:
        self.assertEqual([], self.marks(1.0))
        self.rollouts.handle_store_returned()
        [rollout_id] = self.marks(2.0)
        self.rollouts.handle_stop_marked(
            2.1, StopMarked(rollout_id=rollout_id, written=True)
        )
        self.assertEqual([], self.marks(3.0))

    def test_stopped_move_stays_stopped_when_its_order_is_written_again(
        self,
    ) -> None:
        for count in (500, 530):
            number = make_version(1, count)
            self.rollouts.apply_orders(
                5.0, [replace(self.order, number=number)]
            )
            self.assertEqual({"v1"}, self.allowed_versions())
        [rollout_id] = self.marks(6.0)
        self.assertEqual(f"{POOL}/530/v2", rollout_id)

    def test_another_order_of_the_next_era_begins(self) -> None:
        number = make_version(1, 530)
        other = replace(self.order, number=number, duration_s=20.0)
        self.rollouts.apply_orders(5.0, [other])
        self.rollouts.tick(5.0, holds_duties=False, busy=set())
        self.rollouts.handle_stops_read(StopsRead(stopped=frozenset()))
        [report] = self.rollouts.phase_reports()
        self.assertEqual(RolloutPhase.TRIAL, report.phase)


class NodeOverEras(testtools.TestCase):
    def test_first_era_is_no_return(self) -> None:
        node = front()
        for era, window in ((5, 0), (6, 9)):
            node.lease._current_window = 9
            node.handle(1.0, StoreEraSeen(era=era, boot_now=1.0))
            self.assertEqual(window, node.lease.first_window)
