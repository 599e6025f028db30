"""Logs the phases of version moves, with the evidence at the time."""

from typing import Any, Final

from eliot import log_message

from waxwingarch.core.rollouts.rollout_controller import RolloutController
from waxwingarch.core.rollouts.rollout_messages import (
    RolloutPhase,
    RolloutProgress,
)

# Interval of the lines about a move that is not over.
EVIDENCE_INTERVAL_S: Final = 1.0
DECIMALS: Final = 3


class RolloutLog:
    """Writes a line for each new phase, and the evidence in between."""

    def __init__(self, rollouts: RolloutController) -> None:
        self._rollouts = rollouts
        self._phases: dict[str, RolloutPhase] = {}
        self._next_evidence_at = float("-inf")

    def check(self, now: float) -> None:
        """Log what has changed since the last check."""
        is_due = now >= self._next_evidence_at
        if is_due:
            self._next_evidence_at = now + EVIDENCE_INTERVAL_S
        phases: dict[str, RolloutPhase] = {}
        for progress in self._rollouts.progress(now):
            phases[progress.rollout_id] = progress.phase
            previous = self._phases.get(progress.rollout_id)
            if progress.phase is not previous:
                log_message(
                    message_type="rollout_phase",
                    previous=previous.value if previous else None,
                    reason=progress.reason,
                    **_evidence_fields(progress),
                )
            elif is_due and progress.phase in (
                RolloutPhase.TRIAL,
                RolloutPhase.SHIFTED,
            ):
                log_message(
                    message_type="rollout_evidence",
                    **_evidence_fields(progress),
                )
        self._phases = phases


def _evidence_fields(progress: RolloutProgress) -> dict[str, Any]:
    verdict = progress.verdict
    new, old = progress.new, progress.old
    return {
        "rollout": progress.rollout_id,
        "phase": progress.phase.value,
        "remaining_s": round(progress.remaining_s, DECIMALS),
        "new": [new.requests, new.failures, new.timed, new.slow],
        "old": [old.requests, old.failures, old.timed, old.slow],
        "decision": verdict.decision.value if verdict else None,
        "score": round(verdict.score, DECIMALS) if verdict else None,
        "worst": verdict.explain() if verdict else None,
        "missing": verdict.missing if verdict else None,
        "trust_gap": progress.trust_gap,
    }
