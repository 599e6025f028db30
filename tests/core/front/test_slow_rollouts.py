"""Tests of version moves whose evidence comes late or is scarce."""

import testtools

from tests.core.front.rollout_fleet import (
    DURATION_S,
    ORDERED_AT_S,
    Fault,
    RolloutFleet,
)
from waxwingarch.core.rollouts.rollout_messages import RolloutState

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


class GoodVersion(testtools.TestCase):
    def test_is_completed_by_the_deadline(self) -> None:
        for seed in SEEDS:
            fleet = played(seed, 60)
            told_at, state = fleet.told[-1]
            self.assertIs(RolloutState.COMPLETED, state)
            self.assertLess(told_at, DEADLINE_S)
