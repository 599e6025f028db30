"""Evidence on a new version against the old one over the same time.

Each host counts only its own outcomes, per route and load band. The
counts of a host grow only, so hosts merge them by taking the newest
snapshot; any host can reach a verdict on the merged counts. State is
bounded: routes past `MAX_ROUTES` share one row.
"""

from typing import Final

from waxwingarch.core.base import HostId, ServiceId, VersionId
from waxwingarch.core.moves.move_counts import (
    Cell,
    CellCounts,
    CountsKey,
    HostEvidence,
    LoadBand,
    Quantile,
)
from waxwingarch.core.moves.move_detector import WINDOW_S
from waxwingarch.core.moves.move_judge import (
    ANY,
    Decision,
    Judge,
    SequentialJudge,
    Verdict,
    Watch,
    route_shares,
)

MAX_ROUTES: Final = 16
OTHER_ROUTES: Final = "(other)"
STEPS_A_WINDOW: Final = 120


class EvidenceRecorder:
    """Counts of this host, counts of its peers, and the verdict."""

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
    ) -> None:
        """Begin to count for a move; a move watched already is kept.

        `duration_s` bounds the number of looks at the data and thereby
        the threshold. `closed` is for a host that starts after the move
        has held: it leaves the verdict to the others.
        """
        if move_id in self._watches:
            return
        steps = (int(duration_s / WINDOW_S) + 1) * STEPS_A_WINDOW
        self._watches[move_id] = Watch(
            service=service,
            old=old,
            new=new,
            planned_steps=steps,
            closed=closed,
        )

    def is_watched(self, move_id: str) -> bool:
        """Return whether the move is being watched."""
        return move_id in self._watches

    def unwatch(self, move_id: str) -> None:
        """Drop all counts of a move that has ended."""
        self._watches.pop(move_id, None)

    def close(self, move_id: str) -> bool:
        """Promise to set no stop mark any more, unless one is known."""
        watch = self._watches.get(move_id)
        if watch is None or watch.stopped:
            return False
        if watch.last and watch.last.decision is Decision.STOP:
            return False
        watch.closed = True
        return True

    def record_stop_mark(self, move_id: str) -> None:
        """Note that a stop mark is known here; the host is closed no more.

        Otherwise the mark would be forgotten when the host that set it
        restarts, though this one knows it.
        """
        watch = self._watches.get(move_id)
        if watch is not None:
            watch.stopped = True
            watch.closed = False

    def record_outcome(
        self,
        now: float,
        service: ServiceId,
        version: VersionId,
        route: str,
        band: LoadBand,
        ok: bool,
        latency_s: float,
        on_canary: bool = False,
    ) -> None:
        """Count the outcome of one request at this host.

        `on_canary` says that one of the move's canary servers ran it:
        these are the oldest of the new version, so a fault that comes
        with a server's age shows there first. Outcomes that say nothing
        of the version (the caller went away, the server's host was
        reclaimed) are not to be recorded.
        """
        for watch in self._watches.values():
            if watch.service == service:
                _count(watch, version, route, band, ok, latency_s)
                if on_canary and version == watch.new:
                    cohort = watch.canary
                    _count(watch, cohort, route, band, ok, latency_s)

    def snapshot(self, move_id: str) -> HostEvidence | None:
        """Return this host's counts, to be spread to its peers."""
        watch = self._watches.get(move_id)
        if watch is None:
            return None
        watch.sequence += 1
        return self._own_evidence(move_id, watch)

    def merge(self, evidence: HostEvidence) -> None:
        """Take in a peer's counts if they are newer than those known."""
        watch = self._watches.get(evidence.move_id)
        if watch is None or evidence.host_id == self._host_id:
            return
        known = watch.peers.get(evidence.host_id)
        if known is not None and _order(known) >= _order(evidence):
            return
        watch.peers[evidence.host_id] = evidence
        _add_fresh(watch, evidence, known)

    def closed_hosts(self, move_id: str) -> frozenset[HostId]:
        """Return the hosts known to have closed, this one included."""
        watch = self._watches.get(move_id)
        if watch is None:
            return frozenset()
        closed = {h for h, e in watch.peers.items() if e.closed}
        return frozenset(closed | ({self._host_id} if watch.closed else set()))

    def route_shares(self, move_id: str) -> dict[str, float]:
        """Return the share of each route in the old version's requests."""
        watch = self._watches.get(move_id)
        if watch is None:
            return {}
        return route_shares(watch)

    def request_counts(self, move_id: str) -> dict[VersionId, int]:
        """Return the requests of all hosts judged so far, by version."""
        watch = self._watches.get(move_id)
        totals: dict[VersionId, int] = {}
        if watch is None:
            return totals
        for (version, _, _), cell in watch.totals.items():
            totals[version] = totals.get(version, 0) + cell.requests
        return totals

    def verdict(self, now: float, move_id: str) -> Verdict | None:
        """Judge the merged counts, at most once a window.

        A stop is final; a host that has closed judges no more.
        """
        watch = self._watches.get(move_id)
        if watch is None:
            return None
        if watch.closed:
            return watch.last
        due = watch.judged_at is None or now - watch.judged_at >= WINDOW_S
        if not due:
            return watch.last
        if watch.last and watch.last.decision is Decision.STOP:
            return watch.last
        watch.judged_at = now
        fresh, watch.fresh = watch.fresh, {}
        watch.last = self._judge.judge(watch, fresh, now)
        return watch.last

    def _own_evidence(self, move_id: str, watch: Watch) -> HostEvidence:
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
            for (version, route, band), cell in watch.own.items()
        )
        return HostEvidence(
            move_id=move_id,
            host_id=self._host_id,
            incarnation=self._incarnation,
            sequence=watch.sequence,
            closed=watch.closed,
            cells=cells,
        )


def _order(evidence: HostEvidence) -> tuple[int, int]:
    return evidence.incarnation, evidence.sequence


def _add_fresh(
    watch: Watch, evidence: HostEvidence, known: HostEvidence | None
) -> None:
    """Add what a peer counted since the snapshot known before."""
    before: dict[CountsKey, CellCounts] = {}
    if known is not None and known.incarnation == evidence.incarnation:
        before = {cell.key: cell for cell in known.cells}
    for cell in evidence.cells:
        old = before.get(cell.key)
        if old is None or old.requests != cell.requests:
            fresh = watch.fresh.setdefault(cell.key, Cell())
            fresh.add(cell.growth(old))


def _count(
    watch: Watch,
    version: VersionId,
    route: str,
    band: LoadBand,
    ok: bool,
    latency_s: float,
) -> None:
    if version not in (watch.old, watch.new, watch.canary):
        return
    if route not in watch.routes:
        if len(watch.routes) < MAX_ROUTES:
            watch.routes.append(route)
        else:
            route = OTHER_ROUTES
    in_band = watch.quantiles.setdefault((route, band), Quantile())
    in_all = watch.quantiles.setdefault((route, ANY), Quantile())
    # Any limit will do that is the same for both versions, so a band
    # that was seen too little takes the one of its route.
    limit_s = in_band.limit_s or in_all.limit_s
    outcome = _outcome(ok, latency_s, limit_s)
    key = (version, route, band)
    watch.own.setdefault(key, Cell()).add(outcome)
    watch.fresh.setdefault(key, Cell()).add(outcome)
    if ok and version == watch.old:
        in_band.add(latency_s)
        in_all.add(latency_s)


def _outcome(ok: bool, latency_s: float, limit_s: float | None) -> Cell:
    """Return one request as a cell of its own."""
    if not ok:
        return Cell(requests=1, failures=1)
    if limit_s is None:
        return Cell(requests=1)
    return Cell(requests=1, timed=1, slow=int(latency_s > limit_s))
