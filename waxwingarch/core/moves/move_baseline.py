"""The usual fixed-step move, kept as the baseline of the measurement.

The share grows in equal steps; every interval the new version's rates
over all routes are held against fixed limits, and two bad intervals in
a row stop it.
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
STEPS_FRACTION: Final = 0.8
CLOSE_S: Final = 5.0
INTERVAL_S: Final = 30.0
MIN_REQUESTS: Final = 20
MAX_FAILURE_EXCESS: Final = 0.02
MAX_SLOW_EXCESS: Final = 0.15
BAD_INTERVALS_TO_STOP: Final = 2


class FixedStepPolicy:
    """Moves by equal steps over the time to the deadline."""

    def plan(self, created_unix: float, deadline_unix: float) -> MovePlan:
        """Return a plan that shifts from the start on."""
        whole = deadline_unix - created_unix
        return MovePlan(
            shift_from_unix=created_unix,
            hold_from_unix=created_unix + STEPS_FRACTION * whole,
            hold_until_unix=deadline_unix - CLOSE_S,
        )

    def canary(
        self, full_load_share: float, route_shares: Mapping[str, float]
    ) -> CanaryPlan:
        """Return one server at the first step."""
        return CanaryPlan(servers=1, share=FIXED_STEPS[0])

    def may_shift(
        self, record: MoveRecord, verdict: Verdict, unix_now: float
    ) -> bool:
        """Return whether the first step has lasted."""
        whole = record.hold_from_unix - record.shift_from_unix
        step = whole / len(FIXED_STEPS)
        return unix_now >= record.shift_from_unix + step

    def share_at(self, record: MoveRecord, unix_now: float) -> float:
        """Return the step that the time has reached."""
        whole = record.hold_from_unix - record.shift_from_unix
        passed = (unix_now - record.shift_from_unix) / max(whole, 1e-9)
        step = int(min(max(passed, 0.0), 0.999) * len(FIXED_STEPS))
        return FIXED_STEPS[step]

    def held_share(self) -> float:
        """Return the last step."""
        return FIXED_STEPS[-1]


@dataclass(kw_only=True, slots=True)
class _Interval:
    """Counts of both versions in the interval, and bad ones in a row."""

    since: float
    old: Cell
    new: Cell
    bad: int = 0


class FixedThresholdJudge:
    """Holds the rates of each interval against fixed limits."""

    def __init__(self) -> None:
        self._intervals: dict[VersionId, _Interval] = {}

    def judge(
        self, watch: Watch, fresh: dict[CountsKey, Cell], now: float
    ) -> Verdict:
        """Take in one window; judge when the interval is over."""
        add_totals(watch, fresh)
        interval = self._intervals.setdefault(
            watch.new, _Interval(since=now, old=Cell(), new=Cell())
        )
        for (version, _, _), cell in fresh.items():
            new = version == watch.new
            (interval.new if new else interval.old).add(cell)
        if now - interval.since >= INTERVAL_S:
            self._end_interval(watch.new, interval, now)
        return _verdict(self._intervals[watch.new])

    def _end_interval(
        self, version: VersionId, interval: _Interval, now: float
    ) -> None:
        if interval.new.requests < MIN_REQUESTS:
            return
        bad = interval.bad + 1 if _is_bad(interval) else 0
        self._intervals[version] = _Interval(
            since=now, old=Cell(), new=Cell(), bad=bad
        )


def _rate(hits: int, trials: int) -> float:
    return hits / max(trials, 1)


def _is_bad(interval: _Interval) -> bool:
    old, new = interval.old, interval.new
    failing = _rate(new.failures, new.requests)
    failing -= _rate(old.failures, old.requests)
    slower = _rate(new.slow, new.timed) - _rate(old.slow, old.timed)
    return failing > MAX_FAILURE_EXCESS or slower > MAX_SLOW_EXCESS


def _verdict(interval: _Interval) -> Verdict:
    score = interval.bad / BAD_INTERVALS_TO_STOP
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
