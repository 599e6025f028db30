"""Tests of version moves whose evidence comes late or is scarce."""

from dataclasses import replace

import testtools

from tests.core.front.builders import (
    arrive,
    make_listing,
    server,
    serving_front,
)
from tests.core.front.rollout_fleet import (
    DURATION_S,
    ORDER,
    ORDERED_AT_S,
    Fault,
    RolloutFleet,
)
from waxwingarch.core.base import RequestId
from waxwingarch.core.exchange.exchange_messages import (
    AttemptFinished,
    AttemptOutcome,
    ResponseStarted,
)
from waxwingarch.core.front_messages import FrontTick
from waxwingarch.core.front_node import FrontNode
from waxwingarch.core.moves.move_counts import Cell
from waxwingarch.core.rollouts.rollout_messages import (
    RolloutsRead,
    RolloutState,
    StopsRead,
)

DEADLINE_S = ORDERED_AT_S + DURATION_S
SEEDS = range(1, 6)


def played(seed: int, rate_per_s: float, **more: object) -> RolloutFleet:
    """Return a fleet some seconds after the deadline of its move."""
    fleet = RolloutFleet(hosts=9, rate_per_s=rate_per_s, seed=seed, **more)  # type: ignore[arg-type]
    fleet.run(DEADLINE_S + 6)
    return fleet


class SlowVersion(testtools.TestCase):
    def check(self, fleet: RolloutFleet) -> None:
        self.assertIs(RolloutState.ROLLED_BACK, fleet.state)
        self.assertLess(fleet.new_requests, fleet.exposure_bound)
        self.assertEqual(0.0, fleet.late_rollback_s)

    # A version that answered several times slower was completed: no host
    # had enough answers of its own to say what slow is.
    def test_slow_version_is_not_completed_for_lack_of_evidence(self) -> None:
        for seed in SEEDS:
            self.check(played(seed, 60, fault=Fault()))

    def test_version_that_is_slow_on_one_route_is_rolled_back(self) -> None:
        for seed in SEEDS:
            self.check(played(seed, 60, fault=Fault(route="talk")))


class OneAttempt(testtools.TestCase):
    """The evidence of one request that the new version takes."""

    def node_with_attempt(self) -> FrontNode:
        node = serving_front(replace(server("e1"), version=ORDER.target))
        node.handle(1.0, RolloutsRead(orders=(ORDER,)))
        node.handle(1.1, FrontTick(boot_now=1.1, unix_now=1.1))
        node.handle(1.2, StopsRead(stopped=frozenset()))
        arrive(node, "r", now=1.3)
        return node

    def counted_at(self, node: FrontNode, now: float) -> Cell:
        for at in (now, now + 1.0):
            node.handle(at, FrontTick(boot_now=at, unix_now=at))
        [progress] = node.rollouts.progress(now)
        return progress.new

    def test_that_waits_for_long_counts_as_slow_before_it_ends(self) -> None:
        counted = self.counted_at(self.node_with_attempt(), 2.3)
        self.assertEqual(Cell(timed=1, slow=1), counted)

    def test_that_is_cut_at_its_deadline_counts_as_failed(self) -> None:
        node = self.node_with_attempt()
        finished = AttemptFinished(
            request_id=RequestId("r"), outcome=AttemptOutcome.EXPIRED
        )
        node.handle(5.3, finished)
        counted = self.counted_at(node, 5.3)
        self.assertEqual((1, 1), (counted.requests, counted.failures))


class ShortAnswers(testtools.TestCase):
    """Answers that end within milliseconds of their first byte."""

    def answer(self, node: FrontNode, n: int, rest_s: float) -> None:
        """Let a request be answered, its first byte after 10 ms."""
        name = f"r{n}"
        arrive(node, name, now=n * 0.1)
        started = ResponseStarted(request_id=RequestId(name))
        node.handle(n * 0.1 + 0.01, started)
        finished = AttemptFinished(
            request_id=RequestId(name),
            outcome=AttemptOutcome.DONE,
            response_started=True,
        )
        node.handle(n * 0.1 + 0.01 + rest_s, finished)

    # The host's own delays of a millisecond or two counted as slow answers.
    def test_differences_by_the_hosts_own_delays_are_not_slow(self) -> None:
        node = serving_front(server("e1"))
        for n in range(50):
            self.answer(node, n, 0.001)
        new = replace(server("e2"), version=ORDER.target)
        node.handle(5.0, make_listing(2, new))
        node.handle(5.0, RolloutsRead(orders=(ORDER,)))
        node.handle(5.1, FrontTick(boot_now=5.1, unix_now=5.1))
        node.handle(5.2, StopsRead(stopped=frozenset()))
        for n in range(55, 75):
            self.answer(node, n, 0.003)
        node.handle(8.0, FrontTick(boot_now=8.0, unix_now=8.0))
        [progress] = node.rollouts.progress(8.0)
        self.assertEqual((40, 0), (progress.new.timed, progress.new.slow))


class GoodVersion(testtools.TestCase):
    def test_is_completed_by_the_deadline(self) -> None:
        for seed in SEEDS:
            fleet = played(seed, 60)
            told_at, state = fleet.told[-1]
            self.assertIs(RolloutState.COMPLETED, state)
            self.assertLess(told_at, DEADLINE_S)
