"""Model check of the stop mark of a rollout."""

from collections.abc import Iterable
from random import Random

import testtools
from minicheck import check_safety

from model.stop_mark import stop_mark_spec
from waxwingarch.core.base import HostId
from waxwingarch.core.moves.move_counts import HostEvidence
from waxwingarch.core.rollouts.exposure import ExposureBounds
from waxwingarch.core.rollouts.rollout_controller import RolloutController
from waxwingarch.core.rollouts.rollout_messages import (
    RolloutOrder,
    RolloutPhase,
    RolloutPhaseReport,
    StopsRead,
)


class _ServesBeforeReadingMarks(RolloutController):
    """Sends requests to a new version before it has read the marks."""

    def apply_orders(self, now: float, orders: Iterable[RolloutOrder]) -> None:
        super().apply_orders(now, orders)
        self.tick(now, holds_duties=False, busy=set())
        self.handle_stops_read(StopsRead(stopped=frozenset()))


class _TrustsTheLastReport(RolloutController):
    """Adopts the phase of the last report, even an earlier phase."""

    def record_peer_report(
        self,
        phase_reports: Iterable[RolloutPhaseReport],
        evidence: Iterable[HostEvidence],
    ) -> None:
        for word in phase_reports:
            for rollout in self._rollouts.values():
                rollout.phase = word.phase


def _new(kind: type[RolloutController]) -> RolloutController:
    return kind(HostId("h"), 1, ExposureBounds(), Random(1))


class StopMark(testtools.TestCase):
    def test_none_forgets_a_stop(self) -> None:
        result = check_safety(stop_mark_spec())
        self.assertTrue(result["exhaustive"])
        self.assertTrue(result["properties"]["none_forgets"]["holds"])

    def _counterexample(self, kind: type[RolloutController]) -> list[str]:
        result = check_safety(stop_mark_spec(lambda: _new(kind)))
        found = result["properties"]["none_forgets"]
        self.assertIs(False, found["holds"])
        return [step["label"] for step in found["counterexample"][1:]]

    def test_serving_before_reading_marks_forgets_a_stop(self) -> None:
        steps = self._counterexample(_ServesBeforeReadingMarks)
        self.assertTrue(any(step.endswith("restart") for step in steps))

    def test_trusting_the_last_report_forgets_a_stop(self) -> None:
        steps = self._counterexample(_TrustsTheLastReport)
        self.assertTrue(any(step.endswith("hears") for step in steps))

    def test_phases_are_in_order(self) -> None:
        self.assertEqual(
            [
                RolloutPhase.HELD,
                RolloutPhase.TRIAL,
                RolloutPhase.SHIFTED,
                RolloutPhase.STOPPED,
                RolloutPhase.COMPLETED,
            ],
            list(RolloutPhase),
        )
