"""Tests of the fixed-step baseline."""

from testtools import TestCase

from tests.core.moves.test_evidence import (
    MOVE,
    NEW,
    OLD,
    SERVICE,
    drive,
    sound,
)
from tests.core.moves.test_move import record, verdict
from waxwingarch.core.base import HostId
from waxwingarch.core.moves.evidence import EvidenceRecorder
from waxwingarch.core.moves.move_baseline import (
    FixedStepPolicy,
    FixedThresholdJudge,
)
from waxwingarch.core.moves.move_judge import Decision


def book() -> EvidenceRecorder:
    made = EvidenceRecorder(HostId("h1"), 1, judge=FixedThresholdJudge())
    made.watch(MOVE, service=SERVICE, old=OLD, new=NEW, duration_s=600)
    return made


class FixedThresholdJudgeTest(TestCase):
    def test_sound_version_goes_on(self) -> None:
        seen, _ = drive(sound, made=book())
        self.assertEqual(Decision.SUFFICIENT, seen.decision)

    def test_two_bad_intervals_stop(self) -> None:
        seen, at = drive(
            lambda at, v, route, band, r: (v == OLD or r.random() > 0.2, 1.0),
            made=book(),
        )
        self.assertEqual(Decision.STOP, seen.decision)
        self.assertEqual(60.0, at)


class FixedStepPolicyTest(TestCase):
    def test_steps(self) -> None:
        policy = FixedStepPolicy()
        current = record(shift_from_unix=0.0, hold_from_unix=100.0)
        self.assertFalse(policy.may_shift(current, verdict(), 19.0))
        self.assertTrue(policy.may_shift(current, verdict(), 20.0))
        shares = [policy.share_at(current, t) for t in (0, 20, 99, 500)]
        self.assertEqual([0.1, 0.25, 1.0, 1.0], shares)
        self.assertEqual(1.0, policy.held_share())
