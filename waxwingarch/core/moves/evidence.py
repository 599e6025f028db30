"""Records the outcomes of a new and an old version over the same time.

Each host counts only its own outcomes, per route and load band. A host's
counts never decrease, so hosts merge them by taking the newest snapshot,
and any host can reach a verdict by the merged counts. State is bounded:
routes beyond `MAX_ROUTES` share one set of counts.
"""

from typing import Final

from waxwingarch.core.base import HostId, ServiceId, VersionId
from waxwingarch.core.moves.move_counts import (
    REST_SUFFIX,
    Cell,
    CellCounts,
    CountsKey,
    HostEvidence,
    LatencyQuantile,
    LoadBand,
)
from waxwingarch.core.moves.move_detector import WINDOW_S
from waxwingarch.core.moves.move_judge import (
    ANY,
    Decision,
    Judge,
    Quantiles,
    RouteBand,
    SequentialJudge,
    Verdict,
    Watch,
    route_shares,
)

MAX_ROUTES: Final = 16
OTHER_ROUTES_LABEL: Final = "(other)"
# Comparisons expected in a window: streams times alternatives.
STEPS_PER_WINDOW: Final = 120


class EvidenceRecorder:
    """Counts outcomes for the moves under way, and judges them.

    It keeps the counts of this host and the newest snapshot of each peer.
    """

    def __init__(
        self,
        host_id: HostId,
        incarnation: int,
        judge: Judge | None = None,
    ) -> None:
        self._judge = judge or SequentialJudge()
        self._host_id = host_id
        self._incarnation = incarnation
        self._watches: dict[str, Watch] = {}

    def watch(
        self,
        move_id: str,
        *,
        service: ServiceId,
        old: VersionId,
        new: VersionId,
        duration_s: float,
        closed: bool = False,
        quantiles: Quantiles | None = None,
        slow_above: float | None = None,
    ) -> None:
        """Start to record outcomes for a move; repeating it has no effect.

        `duration_s` bounds the number of comparisons and thereby the stop
        threshold. A host that starts after the hold phase passes `closed`:
        it leaves the verdict to the others. `quantiles` are those of the
        old version that are known before the move; until there is one,
        answers above `slow_above` are slow.
        """
        if move_id in self._watches:
            return
        steps = (int(duration_s / WINDOW_S) + 1) * STEPS_PER_WINDOW
        self._watches[move_id] = Watch(
            service=service,
            old=old,
            new=new,
            planned_steps=steps,
            closed=closed,
            quantiles={} if quantiles is None else quantiles,
            slow_above=slow_above,
        )

    def is_watched(self, move_id: str) -> bool:
        """Return whether outcomes are recorded for the move."""
        return move_id in self._watches

    def unwatch(self, move_id: str) -> None:
        """Drop all counts of a move that has ended."""
        self._watches.pop(move_id, None)

    def close(self, move_id: str) -> bool:
        """Promise to set no more stop mark; return whether it was promised.

        The promise is refused once a stop mark is known or called for.
        """
        watch = self._watches.get(move_id)
        if watch is None or watch.stop_known:
            return False
        if watch.last_verdict and watch.last_verdict.decision is Decision.STOP:
            return False
        watch.closed = True
        return True

    def record_stop_mark(self, move_id: str) -> None:
        """Record that this host knows a stop mark, and reopen the move.

        Otherwise all hosts could count as closed once the host that set
        the mark has restarted and lost it, although this one knows it.
        """
        watch = self._watches.get(move_id)
        if watch is not None:
            watch.stop_known = True
            watch.closed = False

    def record_outcome(
        self,
        now: float,
        service: ServiceId,
        version: VersionId,
        route: str,
        band: LoadBand,
        ok: bool,
        latency_s: float | None,
        on_canary: bool = False,
    ) -> None:
        """Count the outcome of one request at this host.

        Without `latency_s` the latency is recorded by itself.
        `on_canary` says that one of the move's canary servers ran it.
        These are the oldest of the new version, so a fault that comes
        with a server's age shows there first. Don't record outcomes that
        don't depend on the version: the caller disconnected, or the
        server's host was reclaimed.
        """
        for watch in self._watches.values():
            if watch.service == service:
                _count_outcome(watch, version, route, band, ok, latency_s)
                if on_canary and version == watch.new:
                    canary_version = watch.canary
                    _count_outcome(
                        watch, canary_version, route, band, ok, latency_s
                    )

    def record_latency(
        self,
        now: float,
        service: ServiceId,
        version: VersionId,
        route: str,
        band: LoadBand,
        latency: float,
        *,
        is_final: bool = True,
    ) -> None:
        """Count a latency, as soon as it is known whether it is slow.

        One that is not final is of a request that still waits.
        """
        for watch in self._watches.values():
            if watch.service == service:
                _count_latency(
                    watch, version, route, band, latency, is_final=is_final
                )

    def slow_above(
        self, move_id: str, route: str, band: LoadBand
    ) -> float | None:
        """Return the latency above which an answer is slow, if known."""
        watch = self._watches.get(move_id)
        return None if watch is None else _slow_above(watch, route, band)

    def confidence_gap(self, move_id: str) -> str:
        """Return what is missing for a sound version; empty if nothing."""
        watch = self._watches.get(move_id)
        if watch is None:
            return "not recorded"
        return watch.confidence.find_gap(route_shares(watch))

    def is_doubtful(self, move_id: str) -> bool:
        """Return whether the version is likelier a bad one."""
        watch = self._watches.get(move_id)
        return watch is not None and watch.confidence.is_doubtful

    def snapshot(self, move_id: str) -> HostEvidence | None:
        """Return this host's counts under a new sequence number."""
        watch = self._watches.get(move_id)
        if watch is None:
            return None
        watch.sequence += 1
        return self._own_snapshot(move_id, watch)

    def merge(self, evidence: HostEvidence) -> None:
        """Replace a peer's counts by a newer snapshot; ignore older ones."""
        watch = self._watches.get(evidence.move_id)
        if watch is None or evidence.host_id == self._host_id:
            return
        previous = watch.peer_evidence.get(evidence.host_id)
        if previous is not None and _recency(previous) >= _recency(evidence):
            return
        watch.peer_evidence[evidence.host_id] = evidence
        _add_unjudged(watch, evidence, previous)

    def closed_hosts(self, move_id: str) -> frozenset[HostId]:
        """Return the hosts known to have closed the move, this one too."""
        watch = self._watches.get(move_id)
        if watch is None:
            return frozenset()
        closed = {h for h, e in watch.peer_evidence.items() if e.closed}
        return frozenset(closed | ({self._host_id} if watch.closed else set()))

    def route_shares(self, move_id: str) -> dict[str, float]:
        """Return the share of each route in the old version's requests."""
        watch = self._watches.get(move_id)
        if watch is None:
            return {}
        return route_shares(watch)

    def counts_by_version(self, move_id: str) -> dict[VersionId, Cell]:
        """Return what was counted and judged so far, by version."""
        watch = self._watches.get(move_id)
        totals: dict[VersionId, Cell] = {}
        if watch is None:
            return totals
        for (version, _, _), cell in watch.totals.items():
            totals.setdefault(version, Cell()).add(cell)
        return totals

    def request_counts(self, move_id: str) -> dict[VersionId, int]:
        """Return how many requests were judged so far, by version."""
        counts = self.counts_by_version(move_id)
        return {version: cell.requests for version, cell in counts.items()}

    def last_verdict(self, move_id: str) -> Verdict | None:
        """Return the last verdict, without judging anything new."""
        watch = self._watches.get(move_id)
        return watch.last_verdict if watch is not None else None

    def verdict(self, now: float, move_id: str) -> Verdict | None:
        """Judge the merged counts, at most once per window.

        Within a window the last verdict is returned again. A stop is
        final, and a host that has closed the move judges it no more.
        """
        watch = self._watches.get(move_id)
        if watch is None:
            return None
        if watch.closed:
            return watch.last_verdict
        is_due = (
            watch.last_judged_at is None
            or now - watch.last_judged_at >= WINDOW_S
        )
        if not is_due:
            return watch.last_verdict
        if watch.last_verdict and watch.last_verdict.decision is Decision.STOP:
            return watch.last_verdict
        watch.last_judged_at = now
        unjudged, watch.unjudged = watch.unjudged, {}
        watch.last_verdict = self._judge.judge(watch, unjudged, now)
        return watch.last_verdict

    def _own_snapshot(self, move_id: str, watch: Watch) -> HostEvidence:
        cells = tuple(
            CellCounts(
                version=version,
                route=route,
                band=band,
                requests=cell.requests,
                failures=cell.failures,
                timed=cell.timed,
                slow=cell.slow,
            )
            for (version, route, band), cell in watch.own_counts.items()
        )
        return HostEvidence(
            move_id=move_id,
            host_id=self._host_id,
            incarnation=self._incarnation,
            sequence=watch.sequence,
            closed=watch.closed,
            cells=cells,
        )


def _recency(evidence: HostEvidence) -> tuple[int, int]:
    return evidence.incarnation, evidence.sequence


def _add_unjudged(
    watch: Watch, evidence: HostEvidence, previous: HostEvidence | None
) -> None:
    """Add what a peer counted since its previous snapshot.

    A new incarnation of the peer counts from zero.
    """
    previous_cells: dict[CountsKey, CellCounts] = {}
    if previous is not None and previous.incarnation == evidence.incarnation:
        previous_cells = {cell.key: cell for cell in previous.cells}
    for cell in evidence.cells:
        earlier = previous_cells.get(cell.key)
        if earlier is None or earlier != cell:
            unjudged = watch.unjudged.setdefault(cell.key, Cell())
            unjudged.add(cell.growth_since(earlier))


def _count_outcome(
    watch: Watch,
    version: VersionId,
    route: str,
    band: LoadBand,
    ok: bool,
    latency_s: float | None,
) -> None:
    if version not in (watch.old, watch.new, watch.canary):
        return
    route = _route_label(watch, route)
    counts = Cell(requests=1, failures=int(not ok))
    _add_counts(watch, (version, route, band), counts)
    if ok and latency_s is not None:
        _count_latency(watch, version, route, band, latency_s, is_final=True)


def _count_latency(
    watch: Watch,
    version: VersionId,
    route: str,
    band: LoadBand,
    latency: float,
    *,
    is_final: bool,
) -> None:
    if version not in (watch.old, watch.new, watch.canary):
        return
    route = _route_label(watch, route)
    slow_above = _slow_above(watch, route, band)
    if slow_above is not None:
        counts = Cell(timed=1, slow=int(latency > slow_above))
        _add_counts(watch, (version, route, band), counts)
    if is_final and version == watch.old:
        add_to_quantiles(watch.quantiles, route, band, latency)


def _route_label(watch: Watch, route: str) -> str:
    if route in watch.routes:
        return route
    if len(watch.routes) >= MAX_ROUTES:
        return OTHER_ROUTES_LABEL
    watch.routes.append(route)
    return route


def _add_counts(watch: Watch, key: CountsKey, counts: Cell) -> None:
    watch.own_counts.setdefault(key, Cell()).add(counts)
    watch.unjudged.setdefault(key, Cell()).add(counts)


def _slow_above(watch: Watch, route: str, band: LoadBand) -> float | None:
    """Return the limit of the band, else of the route, else of all routes.

    A limit is fair as long as it is the same for both versions.
    """
    for key in _quantile_keys(route, band):
        quantile = watch.quantiles.get(key)
        if quantile is not None and quantile.slow_above_s is not None:
            return quantile.slow_above_s
    return watch.slow_above


def _quantile_keys(route: str, band: str) -> tuple[RouteBand, ...]:
    """Return where a latency counts, narrowest first."""
    all_routes = REST_SUFFIX if route.endswith(REST_SUFFIX) else ANY
    return (route, band), (route, ANY), (all_routes, ANY)


def add_to_quantiles(
    quantiles: Quantiles, route: str, band: str, latency: float
) -> None:
    """Add a latency of the old version to its band, its route and all."""
    for key in _quantile_keys(route, band):
        quantiles.setdefault(key, LatencyQuantile()).add(latency)
