"""Tests of version moves: exposure of a bad version, shift, stop marks."""

from collections.abc import Callable
from dataclasses import replace
from random import Random

import testtools

from tests.core.front.builders import POOL, server
from waxwingarch.core.backends.registry import Backend
from waxwingarch.core.base import Action, HostId, Server, VersionId
from waxwingarch.core.moves.move_counts import LoadBand
from waxwingarch.core.rollouts.exposure import ExposureBounds
from waxwingarch.core.rollouts.rollout_controller import RolloutController
from waxwingarch.core.rollouts.rollout_messages import (
    MarkStopped,
    ReadStops,
    ReportRolloutStatus,
    RolloutOrder,
    RolloutPhase,
    RolloutPhaseReport,
    RolloutState,
    RolloutStatusReported,
    StopMarked,
    StopsRead,
)

DURATION_S = 12.0
STEP_S = 0.1
ROLLBACK_S = 5.0
BAD_RESPONSES = 50
# Latencies relative to the expected one.
LATENCY = 1.0
PAUSED_LATENCY = 3.0
BOUNDS = ExposureBounds(share=0.1, extra=50.0)
ORDER = RolloutOrder(
    service=POOL, target=VersionId("v2"), duration_s=DURATION_S, number=7
)
SERVERS = [
    Backend(
        server=replace(server(f"e{n}"), version=VersionId(version)),
        listed_at=0.0,
    )
    for n, version in enumerate(("v1", "v1", "v2", "v2"))
]

# Tells whether a request to a server at a time fails.
Fails = Callable[[Server, float], bool]


def make_controller(host: str = "h0", seed: int = 1) -> RolloutController:
    """Return the rollout controller of one host."""
    return RolloutController(HostId(host), 1, BOUNDS, Random(seed))


class Hosts:
    """Simulated hosts that send requests and report to each other.

    `rate_per_s` is the rate of requests of all hosts together. With
    `is_busy`, requests run on the old servers until the deadline. In the
    `pause_s` after the shift all answers take long.
    """

    def __init__(
        self,
        count: int,
        rate_per_s: float,
        fails: Fails,
        *,
        seed: int = 0,
        is_busy: bool = False,
        pause_s: float = 0.0,
    ) -> None:
        self.hosts = [make_controller(f"h{n}", seed + n) for n in range(count)]
        self.fails = fails
        self.busy = {POOL} if is_busy else set()
        self.pause_s = pause_s
        self.shifted_at = float("inf")
        self.requests_per_step = rate_per_s * STEP_S / count
        self.rng = Random(5)
        self.now = 0.0
        self.sent = {"v1": 0, "v2": 0}
        self.bad_at: list[float] = []
        self.last_new_at = 0.0
        self.reported: list[tuple[float, RolloutState]] = []
        self.marks: set[str] = set()

    def run(self, until: float) -> None:
        while self.now < until:
            self.now += STEP_S
            for n, host in enumerate(self.hosts):
                host.apply_orders(self.now, [ORDER])
                self._send_requests(host)
                actions = host.tick(
                    self.now, holds_duties=n == 0, busy=self.busy
                )
                for action in actions:
                    self._perform(host, action)
                if host.shifted_orders():
                    self.shifted_at = min(self.shifted_at, self.now)
            for host in self.hosts:
                for other in self.hosts:
                    if other is not host:
                        other.record_peer_report(
                            host.phase_reports(), host.own_evidence()
                        )

    def _send_requests(self, host: RolloutController) -> None:
        count = int(self.requests_per_step) + (
            self.rng.random() < self.requests_per_step % 1
        )
        for _ in range(count):
            backend = self.rng.choice(host.allowed_backends(POOL, SERVERS))
            server = backend.server
            self.sent[server.version] += 1
            bad = self.fails(server, self.now)
            if server.version == ORDER.target:
                self.last_new_at = self.now
                if bad:
                    self.bad_at.append(self.now)
            host.record_outcome(
                self.now,
                server,
                "draft",
                ok=not bad,
                band=LoadBand.LOW,
            )
            if not bad:
                is_paused = (
                    self.shifted_at <= self.now
                    and self.now <= self.shifted_at + self.pause_s
                )
                host.record_latency(
                    self.now,
                    server,
                    "draft",
                    LoadBand.LOW,
                    PAUSED_LATENCY if is_paused else LATENCY,
                    is_final=True,
                )

    def _perform(self, host: RolloutController, action: Action) -> None:
        if isinstance(action, ReadStops):
            host.handle_stops_read(StopsRead(stopped=frozenset(self.marks)))
        elif isinstance(action, MarkStopped):
            self.marks.add(action.rollout_id)
            host.handle_stop_marked(
                self.now,
                StopMarked(rollout_id=action.rollout_id, written=True),
            )
        elif isinstance(action, ReportRolloutStatus):
            self.reported.append((self.now, action.state))
            host.handle_status_reported(
                self.now,
                RolloutStatusReported(
                    rollout_id=action.order.rollout_id, state=action.state
                ),
            )

    def exposure_bound(self) -> float:
        return BOUNDS.share * sum(self.sent.values()) + BOUNDS.extra


def no_fault(_server: Server, _now: float) -> bool:
    """Let every request succeed."""
    return False


class GoodVersion(testtools.TestCase):
    def test_completes_by_the_deadline(self) -> None:
        for rate_per_s in (30, 60, 250):
            hosts = Hosts(8, rate_per_s, no_fault)
            hosts.run(DURATION_S + 1)
            states = [state for _, state in hosts.reported]
            self.assertEqual(
                [RolloutState.RUNNING, RolloutState.COMPLETED], states
            )
            self.assertLess(hosts.reported[-1][0], DURATION_S)

    # The limit of slow answers stayed just below the latency that all
    # answers had, so that all were slow from the shift on.
    def test_completes_if_all_answers_are_alike(self) -> None:
        for seed in range(20):
            hosts = Hosts(1, 60, no_fault, seed=seed, is_busy=True)
            hosts.run(DURATION_S + 1)
            self.assertIs(RolloutState.COMPLETED, hosts.reported[-1][1])

    # After the shift only the new version has requests that a pause of the
    # host could delay.
    def test_completes_though_its_host_pauses_once(self) -> None:
        for seed in range(5):
            hosts = Hosts(
                1, 250, no_fault, seed=seed, is_busy=True, pause_s=2 * STEP_S
            )
            hosts.run(DURATION_S + 1)
            self.assertIs(RolloutState.COMPLETED, hosts.reported[-1][1])

    def test_stays_within_the_exposure_bound_until_then(self) -> None:
        for rate_per_s in (30, 60, 250):
            hosts = Hosts(8, rate_per_s, no_fault)
            hosts.run(DURATION_S)
            self.assertLess(hosts.sent["v2"], hosts.exposure_bound())

    def test_without_evidence_nothing_is_shifted(self) -> None:
        hosts = Hosts(2, 1, no_fault)
        hosts.run(DURATION_S + 5)
        self.assertEqual(
            [RolloutState.RUNNING], [s for _, s in hosts.reported]
        )


class BadVersion(testtools.TestCase):
    def check(self, hosts: Hosts) -> None:
        hosts.run(DURATION_S + 3)
        self.assertEqual(RolloutState.ROLLED_BACK, hosts.reported[-1][1])
        self.assertLess(hosts.sent["v2"], hosts.exposure_bound())
        if len(hosts.bad_at) >= BAD_RESPONSES:
            shown_at = hosts.bad_at[BAD_RESPONSES - 1]
            self.assertLess(hosts.last_new_at, shown_at + ROLLBACK_S)

    def test_that_fails_at_once_is_rolled_back(self) -> None:
        for rate_per_s in (30, 250):
            self.check(Hosts(8, rate_per_s, lambda s, _: s.version == "v2"))

    def test_that_fails_in_part_is_rolled_back(self) -> None:
        rng = Random(3)

        def fails(server: Server, _now: float) -> bool:
            return server.version == "v2" and rng.random() < 0.4

        self.check(Hosts(8, 250, fails))

    def test_that_fails_later_is_rolled_back(self) -> None:
        def fails(server: Server, now: float) -> bool:
            return server.version == "v2" and now > 5.0

        self.check(Hosts(8, 60, fails))


class StopMarks(testtools.TestCase):
    def test_no_request_before_the_stop_marks_are_read(self) -> None:
        host = make_controller()
        host.apply_orders(0.0, [ORDER])
        for _ in range(200):
            [version] = {
                b.server.version for b in host.allowed_backends(POOL, SERVERS)
            }
            self.assertEqual("v1", version)

    def test_a_peers_trial_starts_nothing_before_the_marks_are_read(
        self,
    ) -> None:
        # The model check found this: the peer did not know of the stop yet.
        host = make_controller()
        host.apply_orders(0.0, [ORDER])
        report = RolloutPhaseReport(
            rollout_id=ORDER.rollout_id, phase=RolloutPhase.TRIAL
        )
        host.record_peer_report([report], [])
        self.assertEqual(RolloutPhase.HELD, host.phase_reports()[0].phase)

    def test_a_host_that_restarts_reads_the_mark(self) -> None:
        host = make_controller()
        host.apply_orders(0.0, [ORDER])
        [read] = host.tick(0.1, holds_duties=True, busy=set())
        self.assertIsInstance(read, ReadStops)
        host.handle_stops_read(
            StopsRead(stopped=frozenset({ORDER.rollout_id}))
        )
        [action] = host.tick(0.2, holds_duties=True, busy=set())
        assert isinstance(action, ReportRolloutStatus)
        self.assertIs(RolloutState.ROLLED_BACK, action.state)

    def test_an_earlier_read_does_not_begin_a_new_move(self) -> None:
        """The read was sent before the order, and may miss its mark."""
        host = make_controller()
        host.apply_orders(0.0, [ORDER])
        host.tick(0.1, holds_duties=False, busy=set())
        host.apply_orders(0.2, [replace(ORDER, number=9)])
        host.handle_stops_read(StopsRead(stopped=frozenset()))
        self.assertEqual(RolloutPhase.HELD, host.phase_reports()[0].phase)
        host.tick(0.3, holds_duties=False, busy=set())
        host.handle_stops_read(StopsRead(stopped=frozenset()))
        self.assertEqual(RolloutPhase.TRIAL, host.phase_reports()[0].phase)

    def test_a_failed_read_of_the_marks_is_retried(self) -> None:
        host = make_controller()
        host.apply_orders(0.0, [ORDER])
        host.tick(0.1, holds_duties=False, busy=set())
        host.handle_stops_read(StopsRead(stopped=None))
        [read] = host.tick(0.2, holds_duties=False, busy=set())
        self.assertIsInstance(read, ReadStops)

    def test_a_peers_stop_applies_at_once_and_is_marked(self) -> None:
        host = make_controller()
        host.apply_orders(0.0, [ORDER])
        host.tick(0.1, holds_duties=False, busy=set())
        host.handle_stops_read(StopsRead(stopped=frozenset()))
        report = RolloutPhaseReport(
            rollout_id=ORDER.rollout_id, phase=RolloutPhase.STOPPED
        )
        host.record_peer_report([report], [])
        self.assertEqual(
            {"v1"},
            {b.server.version for b in host.allowed_backends(POOL, SERVERS)},
        )
        [mark] = host.tick(0.2, holds_duties=False, busy=set())
        self.assertIsInstance(mark, MarkStopped)

    def test_an_earlier_phase_of_a_peer_does_not_undo_a_stop(self) -> None:
        host = make_controller()
        host.apply_orders(0.0, [ORDER])
        host.handle_stops_read(
            StopsRead(stopped=frozenset({ORDER.rollout_id}))
        )
        for phase in (RolloutPhase.TRIAL, RolloutPhase.SHIFTED):
            report = RolloutPhaseReport(
                rollout_id=ORDER.rollout_id, phase=phase
            )
            host.record_peer_report([report], [])
        self.assertEqual(
            {"v1"},
            {b.server.version for b in host.allowed_backends(POOL, SERVERS)},
        )

    def test_a_new_order_starts_a_new_move(self) -> None:
        host = make_controller()
        host.apply_orders(0.0, [ORDER])
        host.handle_stops_read(
            StopsRead(stopped=frozenset({ORDER.rollout_id}))
        )
        host.apply_orders(1.0, [replace(ORDER, number=9)])
        host.tick(1.0, holds_duties=False, busy=set())
        host.handle_stops_read(
            StopsRead(stopped=frozenset({ORDER.rollout_id}))
        )
        seen = {
            b.server.version
            for _ in range(200)
            for b in host.allowed_backends(POOL, SERVERS)
        }
        self.assertEqual({"v1", "v2"}, seen)
