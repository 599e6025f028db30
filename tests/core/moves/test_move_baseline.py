"""Tests of the fixed-step baseline move."""

from testtools import TestCase

from tests.core.moves.test_evidence import (
    MOVE,
    NEW,
    OLD,
    SERVICE,
    behave_soundly,
    feed_until_stopped,
)
from tests.core.moves.test_move import record, verdict
from waxwingarch.core.base import HostId
from waxwingarch.core.moves.evidence import EvidenceRecorder
from waxwingarch.core.moves.move_baseline import (
    FixedStepPolicy,
    FixedThresholdJudge,
)
from waxwingarch.core.moves.move_judge import Decision


def make_recorder() -> EvidenceRecorder:
    recorder = EvidenceRecorder(HostId("h1"), 1, judge=FixedThresholdJudge())
    recorder.watch(MOVE, service=SERVICE, old=OLD, new=NEW, duration_s=600)
    return recorder


class FixedThresholdJudgeTest(TestCase):
    def test_sound_version_is_not_stopped(self) -> None:
        result, _ = feed_until_stopped(
            behave_soundly, recorder=make_recorder()
        )
        self.assertEqual(Decision.SUFFICIENT, result.decision)

    def test_two_bad_intervals_stop_the_version(self) -> None:
        result, now = feed_until_stopped(
            lambda now, v, route, band, r: (v == OLD or r.random() > 0.2, 1.0),
            recorder=make_recorder(),
        )
        self.assertEqual(Decision.STOP, result.decision)
        self.assertEqual(60.0, now)


class FixedStepPolicyTest(TestCase):
    def test_share_follows_the_steps(self) -> None:
        policy = FixedStepPolicy()
        current = record(shift_from_unix=0.0, hold_from_unix=100.0)
        self.assertFalse(policy.may_shift(current, verdict(), 19.0))
        self.assertTrue(policy.may_shift(current, verdict(), 20.0))
        shares = [policy.share_at(current, t) for t in (0, 20, 99, 500)]
        self.assertEqual([0.1, 0.25, 1.0, 1.0], shares)
        self.assertEqual(1.0, policy.held_share())
