"""A conventional fixed-step move, as the baseline in measurements.

The share grows at equal intervals. In each interval the new version's
rates over all routes are compared with the old version's by fixed limits,
and two consecutive bad intervals stop the new version.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from waxwingarch.core.base import VersionId
from waxwingarch.core.moves.move_counts import Cell, CountsKey, Signal
from waxwingarch.core.moves.move_judge import (
    ANY,
    Decision,
    Verdict,
    Watch,
    add_totals,
)
from waxwingarch.core.moves.move_policy import CanaryPlan, MovePlan
from waxwingarch.core.moves.move_record import MoveRecord

FIXED_STEPS: Final = (0.1, 0.25, 0.5, 0.75, 1.0)
# The steps take this fraction of the time to the deadline.
SHIFT_FRACTION: Final = 0.8
# Time before the deadline that is left for the hosts to close the move.
CLOSING_S: Final = 5.0
# An interval lasts at least this long, and until the new version has had
# MIN_REQUESTS requests in it.
INTERVAL_S: Final = 30.0
MIN_REQUESTS: Final = 20
# An interval is bad if a rate exceeds the old version's by more than this.
MAX_FAILURE_EXCESS: Final = 0.02
MAX_SLOW_EXCESS: Final = 0.15
BAD_INTERVALS_TO_STOP: Final = 2


class FixedStepPolicy:
    """Raises the share at equal intervals until the hold phase."""

    def plan(self, created_unix: float, deadline_unix: float) -> MovePlan:
        """Return a plan whose shift begins with the move."""
        total_s = deadline_unix - created_unix
        return MovePlan(
            shift_from_unix=created_unix,
            hold_from_unix=created_unix + SHIFT_FRACTION * total_s,
            hold_until_unix=deadline_unix - CLOSING_S,
        )

    def canary(
        self, full_load_share: float, route_shares: Mapping[str, float]
    ) -> CanaryPlan:
        """Return a canary of one server at the first step's share."""
        return CanaryPlan(servers=1, share=FIXED_STEPS[0])

    def may_shift(
        self, record: MoveRecord, verdict: Verdict, unix_now: float
    ) -> bool:
        """Return whether the first step's time is over."""
        shift_s = record.hold_from_unix - record.shift_from_unix
        step_s = shift_s / len(FIXED_STEPS)
        return unix_now >= record.shift_from_unix + step_s

    def share_at(self, record: MoveRecord, unix_now: float) -> float:
        """Return the share of the step that is due now."""
        shift_s = record.hold_from_unix - record.shift_from_unix
        progress = (unix_now - record.shift_from_unix) / max(shift_s, 1e-9)
        step_index = int(min(max(progress, 0.0), 0.999) * len(FIXED_STEPS))
        return FIXED_STEPS[step_index]

    def held_share(self) -> float:
        """Return the share of the last step."""
        return FIXED_STEPS[-1]


@dataclass(kw_only=True, slots=True)
class _IntervalCounts:
    """Counts of both versions in the current interval.

    `bad_intervals` counts the consecutive bad intervals before it.
    """

    started_at: float
    old: Cell
    new: Cell
    bad_intervals: int = 0


class FixedThresholdJudge:
    """Compares the versions' rates in each interval by fixed limits."""

    def __init__(self) -> None:
        self._intervals: dict[VersionId, _IntervalCounts] = {}

    def judge(
        self, watch: Watch, unjudged: dict[CountsKey, Cell], now: float
    ) -> Verdict:
        """Add the counts of one window; end an interval that is over."""
        add_totals(watch, unjudged)
        interval = self._intervals.setdefault(
            watch.new, _IntervalCounts(started_at=now, old=Cell(), new=Cell())
        )
        for (version, _, _), cell in unjudged.items():
            is_new = version == watch.new
            (interval.new if is_new else interval.old).add(cell)
        if now - interval.started_at >= INTERVAL_S:
            self._end_interval(watch.new, interval, now)
        return _verdict(self._intervals[watch.new])

    def _end_interval(
        self, version: VersionId, interval: _IntervalCounts, now: float
    ) -> None:
        if interval.new.requests < MIN_REQUESTS:
            return
        bad_intervals = interval.bad_intervals + 1 if _is_bad(interval) else 0
        self._intervals[version] = _IntervalCounts(
            started_at=now, old=Cell(), new=Cell(), bad_intervals=bad_intervals
        )


def _rate(hits: int, trials: int) -> float:
    return hits / max(trials, 1)


def _is_bad(interval: _IntervalCounts) -> bool:
    old, new = interval.old, interval.new
    failure_excess = _rate(new.failures, new.requests)
    failure_excess -= _rate(old.failures, old.requests)
    slow_excess = _rate(new.slow, new.timed) - _rate(old.slow, old.timed)
    return failure_excess > MAX_FAILURE_EXCESS or slow_excess > MAX_SLOW_EXCESS


def _verdict(interval: _IntervalCounts) -> Verdict:
    score = interval.bad_intervals / BAD_INTERVALS_TO_STOP
    new, old = interval.new, interval.old
    return Verdict(
        decision=Decision.STOP if score >= 1 else Decision.SUFFICIENT,
        score=score,
        route=ANY,
        band=ANY,
        signal=Signal.FAILURE,
        requests=new.requests,
        new_rate=_rate(new.failures, new.requests),
        old_rate=_rate(old.failures, old.requests),
    )
