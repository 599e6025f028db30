"""Judges a new version by the merged outcome counts of all hosts."""

from dataclasses import dataclass, field
from enum import StrEnum
from math import ceil, sqrt
from typing import Final, Protocol

from waxwingarch.core.base import HostId, ServiceId, VersionId
from waxwingarch.core.moves.move_confidence import Confidence
from waxwingarch.core.moves.move_counts import (
    TOLERANCES,
    Cell,
    CountsKey,
    HostEvidence,
    LatencyQuantile,
    LoadBand,
    Signal,
    signal_sample,
)
from waxwingarch.core.moves.move_detector import (
    ALTERNATIVE_EXCESSES,
    DETECTABLE_EXCESS,
    FAILURE_TOLERANCE,
    MIN_REFERENCE_REQUESTS,
    MIN_WINDOW_REQUESTS,
    UNKNOWN_BAND_TOLERANCE,
    CusumStream,
    ReferenceRate,
    Sample,
    null_odds_rate,
    null_rate,
    stop_threshold,
    trials_needed,
    window_scores,
)

ANY: Final = "*"
CANARY_LABEL: Final = " (canary servers)"
# Routes with a smaller share of the requests need no evidence of their own.
MIN_ROUTE_SHARE: Final = 0.01
NULL_RATE_FUNCTIONS: Final = {
    Signal.FAILURE: null_rate,
    Signal.SLOWNESS: null_odds_rate,
}
# From this fraction of the stop threshold on, a version's share is frozen.
SUSPICION_SCORE: Final = 0.5
# The part of the requests that a route needs whose latency was compared.
MIN_TIMED_RATIO: Final = 0.5
# Requests that the new version needs in the service's highest usual band.
MIN_BAND_REQUESTS: Final = 60
# A load band is usual for a service from this share of the old version's
# requests on. Rarer loads come about when a single server lags for a moment.
MIN_BAND_SHARE: Final = 0.1
# The bands above low, highest first, each with the bands that count for it.
LOADED_BANDS: Final = (
    (LoadBand.HIGH, (LoadBand.HIGH,)),
    (LoadBand.MIDDLE, (LoadBand.MIDDLE, LoadBand.HIGH)),
)


class Decision(StrEnum):
    """Whether to collect more evidence, to go on, or to stop the version."""

    COLLECTING = "collecting"
    SUFFICIENT = "sufficient"
    STOP = "stop"


@dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """The judgement of a new version by the evidence so far.

    `score` is the highest CUSUM score as a fraction of the threshold; 1
    stops the version. Route, band and signal are those of the stream with
    that score; the rates and `requests` are its totals since the start of
    the move. `missing` names the first gap in the evidence, if any.
    """

    decision: Decision
    score: float
    route: str
    band: str
    signal: Signal
    requests: int
    new_rate: float
    old_rate: float
    missing: str = ""

    @property
    def suspicious(self) -> bool:
        """Whether the version's share of requests must not grow for now."""
        return self.score >= SUSPICION_SCORE

    def explain(self) -> str:
        """Return the worst comparison in one sentence for the operator."""
        return (
            f"{self.signal} on route {self.route}, load {self.band}: new "
            f"{self.new_rate:.1%} against old {self.old_rate:.1%} over "
            f"{self.requests} requests, score {self.score:.2f} of 1"
        )


RouteBand = tuple[str, str]
Quantiles = dict[RouteBand, LatencyQuantile]
StreamKey = tuple[str, str, Signal]


@dataclass(kw_only=True, slots=True)
class Watch:
    """The evidence of one move, of this host and its peers.

    `unjudged` holds the counts since the last window, `totals` all counts
    judged so far. `quantiles` are those of the old version's latency.
    `judged_steps` counts the comparisons made, one for each stream and
    alternative in each window; `planned_steps` is its expected final
    value. `closed` is this host's promise to set no more stop mark on the
    move; `stop_known` says that this host knows one.
    """

    service: ServiceId
    old: VersionId
    new: VersionId
    planned_steps: int
    judged_steps: int = 0
    own_counts: dict[CountsKey, Cell] = field(default_factory=dict)
    quantiles: Quantiles = field(default_factory=dict)
    slow_above: float | None = None
    routes: list[str] = field(default_factory=list)
    sequence: int = 0
    closed: bool = False
    stop_known: bool = False
    peer_evidence: dict[HostId, HostEvidence] = field(default_factory=dict)
    unjudged: dict[CountsKey, Cell] = field(default_factory=dict)
    totals: dict[CountsKey, Cell] = field(default_factory=dict)
    references: dict[StreamKey, ReferenceRate] = field(default_factory=dict)
    streams: dict[StreamKey, CusumStream] = field(default_factory=dict)
    overall_rates: dict[Signal, float] = field(default_factory=dict)
    confidence: Confidence = field(default_factory=Confidence)
    last_judged_at: float | None = None
    last_verdict: Verdict | None = None

    @property
    def canary(self) -> VersionId:
        """Pseudo version under which canary servers are counted again."""
        return VersionId(f"{self.new}{CANARY_LABEL}")

    @property
    def stop_threshold(self) -> float:
        """Score at which the version is stopped now."""
        return stop_threshold(self.judged_steps, self.planned_steps)


class Judge(Protocol):
    """Judges a move, window by window, by the counts of all hosts."""

    def judge(
        self, watch: Watch, unjudged: dict[CountsKey, Cell], now: float
    ) -> Verdict:
        """Add the counts of one window; return the verdict so far."""
        ...


class SequentialJudge:
    """Compares the versions by the CUSUMs of `move_detector`."""

    def judge(
        self, watch: Watch, unjudged: dict[CountsKey, Cell], now: float
    ) -> Verdict:
        """Add the counts of one window; return the verdict so far."""
        add_totals(watch, unjudged)
        _judge_window(watch, unjudged)
        return _make_verdict(watch)


def add_totals(watch: Watch, unjudged: dict[CountsKey, Cell]) -> None:
    """Add the counts of one window to the totals of the move."""
    for key, cell in unjudged.items():
        watch.totals.setdefault(key, Cell()).add(cell)


def _judge_window(watch: Watch, unjudged: dict[CountsKey, Cell]) -> None:
    """Add the counts of one window to the reference rates and streams."""
    stream_scores: dict[StreamKey, tuple[float, ...]] = {}
    route_bands = sorted({(route, band) for _, route, band in unjudged})
    for signal in Signal:
        watch.overall_rates[signal] = _overall_rate(watch, unjudged, signal)
        for route, band in route_bands:
            old = signal_sample(unjudged.get((watch.old, route, band)), signal)
            new = signal_sample(unjudged.get((watch.new, route, band)), signal)
            _reference(watch, route, band, signal).add(old)
            if new.trials:
                _add_to_version_streams(
                    watch, stream_scores, (route, band, signal), new
                )
            canary_sample = signal_sample(
                unjudged.get((watch.canary, route, band)), signal
            )
            if canary_sample.trials:
                _add_to_canary_stream(
                    watch, stream_scores, (route, band, signal), canary_sample
                )
    watch.judged_steps += len(stream_scores) * len(ALTERNATIVE_EXCESSES)
    for stream_key, scores in stream_scores.items():
        stream = watch.streams.setdefault(stream_key, CusumStream())
        stream.add(scores, watch.stop_threshold)
    watch.confidence.end_window()


def _overall_rate(
    watch: Watch, unjudged: dict[CountsKey, Cell], signal: Signal
) -> float:
    """Return the old version's rate in this window over all routes.

    It covers all bands as well and is lowered by one standard error. It
    shows an overload at once, while a single route and band has too few
    requests in one window for that.
    """
    cells = [
        c for (version, _, _), c in unjudged.items() if version == watch.old
    ]
    samples = [signal_sample(cell, signal) for cell in cells]
    trials = sum(sample.trials for sample in samples)
    if trials < MIN_WINDOW_REQUESTS:
        return 0.0
    rate = sum(sample.hits for sample in samples) / trials
    return max(0.0, rate - sqrt(rate * (1 - rate) / trials))


def _reference(
    watch: Watch, route: str, band: str, signal: Signal
) -> ReferenceRate:
    return watch.references.setdefault((route, band, signal), ReferenceRate())


def _add_to_version_streams(
    watch: Watch,
    stream_scores: dict[StreamKey, tuple[float, ...]],
    key: StreamKey,
    sample: Sample,
) -> None:
    """Add a sample's scores to its own stream and to the pooled ones."""
    route, band, signal = key
    null = _null_rate_of(watch, route, band, signal)
    _add_confidence(watch, route, signal, sample, null)
    if null is None:
        return
    scores = window_scores(sample, null)
    for route_band in ((route, band), (route, ANY), (ANY, band), (ANY, ANY)):
        _add_to_stream(stream_scores, (*route_band, signal), scores)


def _add_confidence(
    watch: Watch,
    route: str,
    signal: Signal,
    sample: Sample,
    null: float | None,
) -> None:
    """Add a sample to the evidence that the version is sound.

    Where the old version isn't known in the sample's load band, it is
    compared with all bands of its route.
    """
    if null is None:
        old = _total_sample(watch, watch.old, (route, ANY, signal))
        if old.trials < MIN_REFERENCE_REQUESTS:
            return
        rate = old.hits / old.trials
        null = NULL_RATE_FUNCTIONS[signal](rate, TOLERANCES[signal])
    watch.confidence.add(route, signal, sample, null)


def _add_to_canary_stream(
    watch: Watch,
    stream_scores: dict[StreamKey, tuple[float, ...]],
    key: StreamKey,
    sample: Sample,
) -> None:
    """Add a sample's scores to the stream of the canary servers."""
    route, band, signal = key
    null = _null_rate_of(watch, route, band, signal)
    if null is not None:
        scores = window_scores(sample, null)
        _add_to_stream(stream_scores, (CANARY_LABEL, ANY, signal), scores)


def _add_to_stream(
    stream_scores: dict[StreamKey, tuple[float, ...]],
    key: StreamKey,
    scores: tuple[float, ...],
) -> None:
    before = stream_scores.get(key, (0.0,) * len(scores))
    stream_scores[key] = tuple(
        a + b for a, b in zip(before, scores, strict=True)
    )


def _null_rate_of(
    watch: Watch, route: str, band: str, signal: Signal
) -> float | None:
    """Return the highest rate that is no worse than the old version's.

    Where the old version has too few requests in this band, failures are
    compared with its worst route and band at a wider tolerance. Slowness
    isn't judged there (None), as load alone slows a server.
    """
    reference = _reference(watch, route, band, signal)
    if reference.is_known:
        rate = max(reference.rate(), watch.overall_rates.get(signal, 0.0))
        null_rate_for = NULL_RATE_FUNCTIONS[signal]
        return null_rate_for(rate, TOLERANCES[signal])
    if signal is Signal.SLOWNESS:
        return None
    rates = [
        ref.rate()
        for (_, _, other), ref in watch.references.items()
        if other is signal and ref.is_known
    ]
    return null_rate(max(rates, default=0.0), UNKNOWN_BAND_TOLERANCE)


def _make_verdict(watch: Watch) -> Verdict:
    """Return the verdict by the stream with the highest score."""
    no_stream = (ANY, ANY, Signal.FAILURE)
    worst = max(
        watch.streams, key=lambda k: watch.streams[k].score, default=no_stream
    )
    stream = watch.streams.get(worst)
    score = stream.score / watch.stop_threshold if stream else 0.0
    missing = _find_gap(watch)
    decision = Decision.STOP
    if score < 1.0:
        enough = not missing and score < SUSPICION_SCORE
        decision = Decision.SUFFICIENT if enough else Decision.COLLECTING
    new = _total_sample(watch, watch.new, worst)
    old = _total_sample(watch, watch.old, worst)
    return Verdict(
        decision=decision,
        score=score,
        route=worst[0],
        band=worst[1],
        signal=worst[2],
        requests=new.trials,
        new_rate=new.hits / max(new.trials, 1),
        old_rate=old.hits / max(old.trials, 1),
        missing=missing,
    )


def _total_sample(watch: Watch, version: VersionId, key: StreamKey) -> Sample:
    route, band, signal = key
    if route == CANARY_LABEL:
        route = ANY
        version = watch.canary if version == watch.new else version
    trials = hits = 0
    for (cell_version, cell_route, cell_band), cell in watch.totals.items():
        if cell_version != version:
            continue
        if route in (ANY, cell_route) and band in (ANY, cell_band):
            sample = signal_sample(cell, signal)
            trials += sample.trials
            hits += sample.hits
    return Sample(trials=trials, hits=hits)


def route_shares(watch: Watch) -> dict[str, float]:
    """Return each route's share of the old version's requests."""
    counts: dict[str, int] = {}
    for (version, route, _), cell in watch.totals.items():
        if version == watch.old:
            counts[route] = counts.get(route, 0) + cell.requests
    total = sum(counts.values())
    return {r: n / total for r, n in sorted(counts.items()) if total}


def _find_gap(watch: Watch) -> str:
    """Return the first gap in the evidence; empty if it suffices.

    Each route needs enough requests to detect an excess failure rate of
    `DETECTABLE_EXCESS`, and a part of them with a latency that was compared.
    """
    shares = route_shares(watch)
    if not shares:
        return "no request to the old version seen yet"
    for route, share in shares.items():
        if share < MIN_ROUTE_SHARE:
            continue
        new_sample = _total_sample(
            watch, watch.new, (route, ANY, Signal.FAILURE)
        )
        old = _total_sample(watch, watch.old, (route, ANY, Signal.FAILURE))
        null = null_rate(old.hits / max(old.trials, 1), FAILURE_TOLERANCE)
        needed = trials_needed(watch.stop_threshold, null, DETECTABLE_EXCESS)
        if new_sample.trials < needed:
            return f"route {route}: {new_sample.trials} of {needed} requests"
        timed = _total_sample(watch, watch.new, (route, ANY, Signal.SLOWNESS))
        needed = ceil(MIN_TIMED_RATIO * needed)
        if timed.trials < needed:
            return f"route {route}: {timed.trials} of {needed} latencies"
    return _find_load_gap(watch)


def _find_load_gap(watch: Watch) -> str:
    """Return the load band that lacks evidence on the new version.

    Only the highest band in which the old version got enough requests is
    checked, as a service that is never full can't show a version at full
    load.
    """
    min_share_requests = MIN_BAND_SHARE * _count_requests(
        watch, watch.old, tuple(LoadBand)
    )
    for band, bands in LOADED_BANDS:
        old_requests = _count_requests(watch, watch.old, bands)
        if old_requests < max(MIN_BAND_REQUESTS, min_share_requests):
            continue
        new_requests = _count_requests(watch, watch.new, bands)
        if new_requests < MIN_BAND_REQUESTS:
            return (
                f"{band} load: {new_requests} of {MIN_BAND_REQUESTS} requests"
            )
        return ""
    return ""


def _count_requests(
    watch: Watch, version: VersionId, bands: tuple[LoadBand, ...]
) -> int:
    """Return the requests of a version in the bands on all routes."""
    return sum(
        cell.requests
        for (cell_version, _, band), cell in watch.totals.items()
        if cell_version == version and band in bands
    )
