"""Counts of outcomes of two versions, per route and load band."""

from dataclasses import dataclass
from enum import StrEnum
from math import exp, log
from typing import Final

from waxwingarch.core.base import HostId, VersionId
from waxwingarch.core.moves.move_detector import (
    FAILURE_TOLERANCE,
    SLOWNESS_TOLERANCE,
    Sample,
)

SLOW_QUANTILE: Final = 0.9
QUANTILE_STEP: Final = 0.03
QUANTILE_WARMUP_REQUESTS: Final = 40
HIGH_LOAD: Final = 0.85
MIDDLE_LOAD: Final = 0.5


class LoadBand(StrEnum):
    """Load of the server at dispatch."""

    LOW = "low"
    MIDDLE = "middle"
    HIGH = "high"


class Signal(StrEnum):
    """What is compared between the versions."""

    FAILURE = "failure"
    SLOWNESS = "slowness"


TOLERANCES: Final = {
    Signal.FAILURE: FAILURE_TOLERANCE,
    Signal.SLOWNESS: SLOWNESS_TOLERANCE,
}


def load_band(running: int, slots: int) -> LoadBand:
    """Return the band of a server with `running` of `slots` in use."""
    load = running / max(slots, 1)
    if load >= HIGH_LOAD:
        return LoadBand.HIGH
    return LoadBand.MIDDLE if load >= MIDDLE_LOAD else LoadBand.LOW


CountsKey = tuple[VersionId, str, LoadBand]


@dataclass(kw_only=True, slots=True)
class Cell:
    """Counts that grow; the meaning is that of `CellCounts`."""

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

    `timed` requests succeeded and were compared with the old version's
    latency; `slow` of them took longer than its 90th percentile.
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
        """What the counts are of."""
        return self.version, self.route, self.band

    def growth(self, before: "CellCounts | None") -> Cell:
        """Return what was counted since `before`."""
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
    """Counts of one host; the greater `(incarnation, sequence)` wins.

    `closed` promises that this host will set no stop mark on the move
    any more; a host that has set one never closes.
    """

    move_id: str
    host_id: HostId
    incarnation: int
    sequence: int
    closed: bool
    cells: tuple[CellCounts, ...]


@dataclass(kw_only=True, slots=True)
class Quantile:
    """Running estimate of the old version's latency quantile."""

    log_latency: float = 0.0
    seen: int = 0

    def add(self, latency_s: float) -> None:
        """Move the estimate towards one observed latency."""
        value = log(max(latency_s, 1e-6))
        self.seen += 1
        if self.seen == 1:
            self.log_latency = value
            return
        below = 1.0 if value <= self.log_latency else 0.0
        step = QUANTILE_STEP * max(1.0, QUANTILE_WARMUP_REQUESTS / self.seen)
        self.log_latency += step * (SLOW_QUANTILE - below)

    @property
    def limit_s(self) -> float | None:
        """Latency from which an answer counts as slow, once known."""
        if self.seen < QUANTILE_WARMUP_REQUESTS:
            return None
        return exp(self.log_latency)


def sample_of(cell: Cell | None, signal: Signal) -> Sample:
    """Return a cell's trials and hits for one signal."""
    if cell is None:
        return Sample()
    if signal is Signal.FAILURE:
        return Sample(trials=cell.requests, hits=cell.failures)
    return Sample(trials=cell.timed, hits=cell.slow)
