"""Outcome counts of two versions of a service, per route and load band."""

from bisect import insort
from dataclasses import dataclass, field
from enum import StrEnum
from math import exp, log
from typing import Final

from waxwingarch.core.base import HostId, VersionId
from waxwingarch.core.moves.move_detector import (
    FAILURE_TOLERANCE,
    SLOWNESS_TOLERANCE,
    Sample,
)

# A response is slow above this quantile of the old version's latency.
SLOW_QUANTILE: Final = 0.9
# Step of the estimate of log latency, after the first latencies.
QUANTILE_LOG_STEP: Final = 0.03
QUANTILE_WARMUP_REQUESTS: Final = 40
# Both versions are compared with the same limit, so a rough estimate of the
# quantile does.
MIN_QUANTILE_REQUESTS: Final = 12
# The time from the first byte to the end is counted as a route of its own.
REST_SUFFIX: Final = " (rest)"
# Share of a server's slots in use from which a load band begins.
HIGH_LOAD_RATIO: Final = 0.85
MIDDLE_LOAD_RATIO: Final = 0.5


class LoadBand(StrEnum):
    """Load of the server when a request was dispatched to it."""

    LOW = "low"
    MIDDLE = "middle"
    HIGH = "high"


class Signal(StrEnum):
    """The rates that are compared between the versions."""

    FAILURE = "failure"
    SLOWNESS = "slowness"


TOLERANCES: Final = {
    Signal.FAILURE: FAILURE_TOLERANCE,
    Signal.SLOWNESS: SLOWNESS_TOLERANCE,
}


def load_band(running: int, slots: int) -> LoadBand:
    """Return the load band of a server with `running` of `slots` in use."""
    load = running / max(slots, 1)
    if load >= HIGH_LOAD_RATIO:
        return LoadBand.HIGH
    return LoadBand.MIDDLE if load >= MIDDLE_LOAD_RATIO else LoadBand.LOW


CountsKey = tuple[VersionId, str, LoadBand]


@dataclass(kw_only=True, slots=True)
class Cell:
    """Mutable counts of one version, route and band; see `CellCounts`."""

    requests: int = 0
    failures: int = 0
    timed: int = 0
    slow: int = 0

    def add(self, other: "Cell") -> None:
        """Add another cell's counts."""
        self.requests += other.requests
        self.failures += other.failures
        self.timed += other.timed
        self.slow += other.slow


@dataclass(frozen=True, kw_only=True, slots=True)
class CellCounts:
    """Outcomes of one version on one route in one load band.

    `timed` counts the successful requests whose latency was compared with
    the old version's; `slow` counts those that exceeded its 90th
    percentile.
    """

    version: VersionId
    route: str
    band: LoadBand
    requests: int = 0
    failures: int = 0
    timed: int = 0
    slow: int = 0

    @property
    def key(self) -> CountsKey:
        """Version, route and load band that the counts belong to."""
        return self.version, self.route, self.band

    def growth_since(self, before: "CellCounts | None") -> Cell:
        """Return the increase since earlier counts of the same key."""
        if before is None:
            return Cell(
                requests=self.requests,
                failures=self.failures,
                timed=self.timed,
                slow=self.slow,
            )
        return Cell(
            requests=max(0, self.requests - before.requests),
            failures=max(0, self.failures - before.failures),
            timed=max(0, self.timed - before.timed),
            slow=max(0, self.slow - before.slow),
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class HostEvidence:
    """Counts of one host; the greatest `(incarnation, sequence)` is valid.

    `closed` is the host's promise to set no more stop mark on the move; a
    host that has set one never closes.
    """

    move_id: str
    host_id: HostId
    incarnation: int
    sequence: int
    closed: bool
    cells: tuple[CellCounts, ...]


@dataclass(kw_only=True, slots=True)
class LatencyQuantile:
    """Running estimate of `SLOW_QUANTILE` of the old version's latency.

    The first latencies are kept in order; the estimate starts from them.
    """

    first_latencies: list[float] = field(default_factory=list)
    log_latency: float | None = None

    def add(self, latency_s: float) -> None:
        """Move the estimate a step up or down, by an observed latency."""
        if self.log_latency is not None:
            below = 1.0 if log(max(latency_s, 1e-6)) <= self.log_latency else 0
            self.log_latency += QUANTILE_LOG_STEP * (SLOW_QUANTILE - below)
            return
        insort(self.first_latencies, max(latency_s, 1e-6))
        if len(self.first_latencies) >= QUANTILE_WARMUP_REQUESTS:
            self.log_latency = log(self._first_quantile())
            self.first_latencies.clear()

    @property
    def slow_above_s(self) -> float | None:
        """Latency above which a response is slow; None if not known yet.

        It lies a step above the estimate: where many latencies are alike,
        the estimate may be a step above or below them, and stays there
        once the old version gets no more requests.
        """
        log_latency = self.log_latency
        if log_latency is None:
            if len(self.first_latencies) < MIN_QUANTILE_REQUESTS:
                return None
            log_latency = log(self._first_quantile())
        return exp(log_latency + QUANTILE_LOG_STEP)

    def _first_quantile(self) -> float:
        index = int(SLOW_QUANTILE * len(self.first_latencies))
        return self.first_latencies[index]


def signal_sample(cell: Cell | None, signal: Signal) -> Sample:
    """Return a cell's trials and hits for one signal; a hit is bad."""
    if cell is None:
        return Sample()
    if signal is Signal.FAILURE:
        return Sample(trials=cell.requests, hits=cell.failures)
    return Sample(trials=cell.timed, hits=cell.slow)
