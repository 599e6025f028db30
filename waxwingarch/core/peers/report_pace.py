"""Decides to how many hosts this host sends its whole report in a step.

Where sums tell the other hosts about this host, whole reports go to few
hosts a step. They go to as many as in a fleet without sums as long as a
report has contents that sums lack, or sums may be missing.
"""

from collections.abc import Callable
from typing import Final

from waxwingarch.core.peers.fleet_sums import OtherHosts
from waxwingarch.core.peers.report import HostReport
from waxwingarch.core.rollouts.rollout_messages import (
    RolloutPhase,
    RolloutPhaseReport,
)

# A process sends whole reports at the full pace until the other hosts know
# it and its collectors had time to count it.
FULL_PACE_AFTER_START_S: Final = 5.0
# Sums older than this may be about to expire.
RELIABLE_AGE_S: Final = 1.0
# Sums count as reliable once they were complete for this long.
RELIABLE_AFTER_S: Final = 1.0
# After a report had contents that sums lack, or a version move changed its
# phase, all hosts get several reports that show the end of it.
FULL_PACE_AFTER_CHANGE_S: Final = 10.0

_ENDED_PHASES: Final = (RolloutPhase.STOPPED, RolloutPhase.COMPLETED)


class ReportPace:
    """Whether the sums suffice, and whether whole reports may go to few."""

    def __init__(self) -> None:
        self._started_at: float | None = None
        self._complete_since: float | None = None
        self._full_until = float("-inf")
        self._last_rollouts: tuple[RolloutPhaseReport, ...] = ()
        self.sums_suffice = False

    def update(
        self, now: float, others: OtherHosts, live: list[HostReport]
    ) -> None:
        """Note whether the sums cover all failure domains, and this host."""
        if self._started_at is None:
            self._started_at = now
        is_complete = others.counts_own and all(
            now - others.taken_at.get(report.domain, float("-inf"))
            <= RELIABLE_AGE_S
            for report in live
        )
        if not is_complete:
            self._complete_since = None
        elif self._complete_since is None:
            self._complete_since = now
        self.sums_suffice = (
            self._complete_since is not None
            and now - self._complete_since >= RELIABLE_AFTER_S
            and now - self._started_at >= FULL_PACE_AFTER_START_S
        )

    def may_send_few(
        self, now: float, build_report: Callable[[], HostReport]
    ) -> bool:
        """Return whether this step's report may go to few hosts."""
        if not self.sums_suffice:
            return False
        report = build_report()
        if _has_more_than_sums(report) or (
            report.rollouts != self._last_rollouts
        ):
            self._full_until = now + FULL_PACE_AFTER_CHANGE_S
        self._last_rollouts = report.rollouts
        return now >= self._full_until


def _has_more_than_sums(report: HostReport) -> bool:
    """Return whether a report has contents that sums lack."""
    quarantine = report.quarantine
    return bool(
        report.draining
        or report.holds_duties
        or report.lost_services
        or report.leaving
        or report.limits
        or report.brittle_services
        or report.evidence
        or any(r.phase not in _ENDED_PHASES for r in report.rollouts)
        or quarantine.entries
        or quarantine.crashes
        or quarantine.sound
    )
