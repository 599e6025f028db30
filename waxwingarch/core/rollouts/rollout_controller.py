"""Moves a service's requests to a new version, or rolls them back.

A small share of the requests tries the new version. The rest is shifted
to it when the deadline is so near that the requests until then fit into
the exposure that a bad version may get, and only if the evidence of all
hosts speaks for it. Any host can stop a move: it writes a stop mark
to the store and reports the stop to all hosts.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from waxwingarch.core.backends.registry import Backend
from waxwingarch.core.base import (
    Action,
    HostId,
    Server,
    ServiceId,
    VersionId,
)
from waxwingarch.core.moves.evidence import (
    EvidenceRecorder,
    add_to_quantiles,
)
from waxwingarch.core.moves.move_counts import Cell, HostEvidence, LoadBand
from waxwingarch.core.moves.move_judge import (
    ANY,
    Decision,
    Quantiles,
    Verdict,
)
from waxwingarch.core.randomness import RandomSource
from waxwingarch.core.rollouts.exposure import (
    TRIAL_SHARE,
    ExposureBounds,
    MoveTraffic,
    may_shift,
    trial_share,
)
from waxwingarch.core.rollouts.rollout_messages import (
    MarkStopped,
    ReadStops,
    ReportRolloutStatus,
    RolloutOrder,
    RolloutPhase,
    RolloutPhaseReport,
    RolloutProgress,
    RolloutState,
    RolloutStatusReported,
    StopMarked,
    StopsRead,
)

# Until the old version's latency is known, an answer is slow if it takes
# more than this multiple of the expected time.
INITIAL_SLOW_RATIO: Final = 2.5
# Bound of the latencies that are followed for a service.
MAX_QUANTILES: Final = 128
# A move completes this long before its deadline even if old servers still
# run requests: the operator has to read the final state in time.
COMPLETION_MARGIN_S: Final = 0.4
WRITE_RETRY_S: Final = 0.5
# The evidence counts all versions but the target as this one.
OTHER_VERSIONS: Final = VersionId("(others)")

# A phase is replaced only by one that comes later in this order.
_PHASE_ORDER: Final = tuple(RolloutPhase)
OPEN_PHASES: Final = (RolloutPhase.TRIAL, RolloutPhase.SHIFTED)
_STATE_BY_PHASE: Final = {
    RolloutPhase.TRIAL: RolloutState.RUNNING,
    RolloutPhase.SHIFTED: RolloutState.RUNNING,
    RolloutPhase.STOPPED: RolloutState.ROLLED_BACK,
    RolloutPhase.COMPLETED: RolloutState.COMPLETED,
}


@dataclass(kw_only=True, slots=True)
class _Rollout:
    """A version move; the order `is_from_copy` of the store.

    The operator will then write the order again, with another number.
    `stop_reads_before` counts the reads of stop marks that were sent before
    the order was known.
    """

    order: RolloutOrder
    started_at: float
    deadline: float
    stop_reads_before: int = 0
    phase: RolloutPhase = RolloutPhase.HELD
    is_suspicious: bool = False
    trial_share: float = TRIAL_SHARE
    reason: str = ""
    is_from_copy: bool = False
    is_stop_marked: bool = False
    reported_state: RolloutState | None = None
    is_write_pending: bool = False
    next_write_at: float = float("-inf")

    def advance(self, phase: RolloutPhase) -> None:
        """Enter a phase, unless a later one was entered before."""
        if _PHASE_ORDER.index(phase) > _PHASE_ORDER.index(self.phase):
            self.phase = phase


class RolloutController:
    """State of all version moves, as one host knows them."""

    def __init__(
        self,
        host: HostId,
        incarnation: int,
        bounds: ExposureBounds,
        rng: RandomSource,
    ) -> None:
        self._bounds = bounds
        self._rng = rng
        self._recorder = EvidenceRecorder(host, incarnation)
        self._rollouts: dict[ServiceId, _Rollout] = {}
        self._quantiles: dict[ServiceId, Quantiles] = {}
        self._must_read_stops = False
        self._stop_reads = 0
        self._stop_reads_in_flight = 0

    # Orders and stop marks

    def apply_orders(self, now: float, orders: Iterable[RolloutOrder]) -> None:
        """Apply the orders in force; a newer one replaces an older one.

        A new move is held until the stop marks were read: another process
        may have stopped it before.
        """
        for order in orders:
            known = self._rollouts.get(order.service)
            if known is not None:
                if known.order.number >= order.number:
                    continue
                if order.asks_the_same(known.order) and (
                    order.is_of_later_era(known.order) or known.is_from_copy
                ):
                    self._adopt_rewritten(known, order)
                    continue
                self._recorder.unwatch(known.order.rollout_id)
            self._rollouts[order.service] = _Rollout(
                order=order,
                started_at=now,
                deadline=now + order.duration_s,
                stop_reads_before=self._stop_reads,
            )
            self._watch(order)
            self._must_read_stops = True

    def _watch(self, order: RolloutOrder) -> None:
        self._recorder.watch(
            order.rollout_id,
            service=order.service,
            old=OTHER_VERSIONS,
            new=order.target,
            duration_s=order.duration_s,
            quantiles=self._quantiles.setdefault(order.service, {}),
            slow_above=INITIAL_SLOW_RATIO,
        )

    def _adopt_rewritten(self, known: _Rollout, order: RolloutOrder) -> None:
        """Go on with a move whose order has a new number.

        What the store had of it may be lost, and is written again.
        """
        known.is_from_copy = order.has_same_row(known.order)
        if known.order.rollout_id != order.rollout_id:
            self._recorder.unwatch(known.order.rollout_id)
            self._watch(order)
            if known.phase is RolloutPhase.STOPPED:
                self._recorder.record_stop_mark(order.rollout_id)
        known.order = order
        self._forget_written(known)

    def _forget_written(self, rollout: _Rollout) -> None:
        rollout.is_stop_marked = False
        rollout.reported_state = None
        rollout.next_write_at = float("-inf")

    def handle_store_returned(self) -> None:
        """Write stop marks and states again that the store may have lost."""
        for rollout in self._rollouts.values():
            self._forget_written(rollout)

    def handle_stops_read(self, event: StopsRead) -> None:
        """Stop the moves that have a stop mark and begin the others.

        A move begins only after a read that was sent when its order was
        known: an earlier one may have missed its stop mark.
        """
        self._stop_reads_in_flight = max(0, self._stop_reads_in_flight - 1)
        if event.stopped is None:
            self._must_read_stops = True
            return
        for rollout in self._rollouts.values():
            if rollout.order.rollout_id in event.stopped:
                rollout.is_stop_marked = True
                self._stop(rollout, "stopped before")
            elif (
                not self._stop_reads_in_flight
                and rollout.stop_reads_before < self._stop_reads
            ):
                rollout.advance(RolloutPhase.TRIAL)

    def handle_stop_marked(self, now: float, event: StopMarked) -> None:
        """Record whether a stop mark was written; retry it if not."""
        rollout = self._find(event.rollout_id)
        if rollout is not None:
            rollout.is_write_pending = False
            rollout.is_stop_marked = event.written
            rollout.next_write_at = (
                now if event.written else now + WRITE_RETRY_S
            )

    def handle_status_reported(
        self, now: float, event: RolloutStatusReported
    ) -> None:
        """Adopt the state that the operator reads now.

        A final state may have been written by another host. If the state
        is not known, the write is retried.
        """
        rollout = self._find(event.rollout_id)
        if rollout is None:
            return
        rollout.is_write_pending = False
        if event.state is None:
            rollout.next_write_at = now + WRITE_RETRY_S
            return
        rollout.reported_state = event.state
        if event.state is RolloutState.COMPLETED:
            rollout.advance(RolloutPhase.COMPLETED)
        elif event.state is RolloutState.ROLLED_BACK:
            rollout.advance(RolloutPhase.STOPPED)

    # Requests

    def allowed_backends(
        self, service: ServiceId, backends: list[Backend]
    ) -> list[Backend]:
        """Return the servers of the version that the next request goes to.

        Without a version move these are all servers. If that version has
        no servers, another version's are returned, unless the move was
        stopped: then the new version gets no requests at all.
        """
        rollout = self._rollouts.get(service)
        if rollout is None:
            return backends
        target = rollout.order.target
        new = [b for b in backends if b.server.version == target]
        old = [b for b in backends if b.server.version != target]
        match rollout.phase:
            case RolloutPhase.STOPPED:
                return old
            case RolloutPhase.SHIFTED | RolloutPhase.COMPLETED:
                return new or old
            case RolloutPhase.TRIAL if (
                self._rng.random() < rollout.trial_share
            ):
                return new or old
        return old or new

    def is_under_move(self, server: Server) -> bool:
        """Return whether a server has the new version of a move under way."""
        rollout = self._rollouts.get(server.service)
        return (
            rollout is not None
            and rollout.phase in OPEN_PHASES
            and server.version == rollout.order.target
        )

    @property
    def is_any_open(self) -> bool:
        """Whether evidence about some version still matters."""
        return any(r.phase in OPEN_PHASES for r in self._rollouts.values())

    def record_outcome(
        self,
        now: float,
        server: Server,
        route: str,
        *,
        ok: bool,
        band: LoadBand,
    ) -> None:
        """Count the outcome of a request as evidence about its version."""
        rollout = self._rollouts.get(server.service)
        if rollout is not None:
            version = _evidence_version(rollout, server)
            self._recorder.record_outcome(
                now, server.service, version, route, band, ok, None
            )

    def record_latency(
        self,
        now: float,
        server: Server,
        route: str,
        band: LoadBand,
        latency: float,
        *,
        is_final: bool,
    ) -> bool:
        """Count a latency as evidence; return whether it was counted.

        One that is not final is counted only if it is slow by now. Outside
        of moves, latencies show what is usual for a service.
        """
        service = server.service
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.phase not in OPEN_PHASES:
            is_rejected = (
                rollout is not None
                and rollout.phase is not RolloutPhase.COMPLETED
                and server.version == rollout.order.target
            )
            if is_final and not is_rejected:
                self._record_usual(service, route, band, latency)
            return is_final
        if not is_final:
            limit = self._recorder.slow_above(
                rollout.order.rollout_id, route, band
            )
            if limit is None or latency <= limit:
                return False
        version = _evidence_version(rollout, server)
        self._recorder.record_latency(
            now, service, version, route, band, latency, is_final=is_final
        )
        return True

    def _record_usual(
        self, service: ServiceId, route: str, band: LoadBand, latency: float
    ) -> None:
        quantiles = self._quantiles.setdefault(service, {})
        if (route, ANY) in quantiles or len(quantiles) < MAX_QUANTILES:
            add_to_quantiles(quantiles, route, band, latency)

    # Other hosts

    def phase_reports(self) -> tuple[RolloutPhaseReport, ...]:
        """Return the phase of each move, for the report to the peers."""
        return tuple(
            RolloutPhaseReport(rollout_id=r.order.rollout_id, phase=r.phase)
            for r in self._rollouts.values()
        )

    def progress(self, now: float) -> list[RolloutProgress]:
        """Return the phase and the evidence of each move, for the log."""
        found = []
        for rollout in self._rollouts.values():
            rollout_id = rollout.order.rollout_id
            counts = self._recorder.counts_by_version(rollout_id)
            found.append(
                RolloutProgress(
                    rollout_id=rollout_id,
                    phase=rollout.phase,
                    reason=rollout.reason,
                    remaining_s=rollout.deadline - now,
                    new=counts.get(rollout.order.target, Cell()),
                    old=counts.get(OTHER_VERSIONS, Cell()),
                    verdict=self._recorder.last_verdict(rollout_id),
                    trust_gap=self._recorder.confidence_gap(rollout_id),
                )
            )
        return found

    def own_evidence(self) -> tuple[HostEvidence, ...]:
        """Return this host's counts for the moves that are not over."""
        found = (
            self._recorder.snapshot(r.order.rollout_id)
            for r in self._rollouts.values()
            if r.phase in OPEN_PHASES
        )
        return tuple(snapshot for snapshot in found if snapshot is not None)

    def record_peer_report(
        self,
        phase_reports: Iterable[RolloutPhaseReport],
        evidence: Iterable[HostEvidence],
    ) -> None:
        """Adopt the phases and merge the evidence of a peer's report."""
        for phase_report in phase_reports:
            rollout = self._find(phase_report.rollout_id)
            if rollout is None or phase_report.phase is RolloutPhase.HELD:
                continue
            if phase_report.phase is RolloutPhase.STOPPED:
                self._stop(rollout, "stopped by another host")
            elif rollout.phase is not RolloutPhase.HELD:
                # A host that has not read the stop marks must not begin
                # because of a peer's trial: the peer may not know of the
                # stop yet.
                rollout.advance(phase_report.phase)
        for counts in evidence:
            self._recorder.merge(counts)

    # Time

    def tick(
        self, now: float, *, holds_duties: bool, busy: set[ServiceId]
    ) -> list[Action]:
        """Judge the evidence, advance the phases and write what is due.

        Any host stops a move; only the holder of the duties shifts and
        completes one and reports its state to the operator. `busy` are the
        services of which servers with another version than the target still
        run requests.
        """
        actions: list[Action] = []
        if self._must_read_stops:
            self._must_read_stops = False
            self._stop_reads += 1
            self._stop_reads_in_flight += 1
            actions.append(ReadStops())
        for rollout in self._rollouts.values():
            self._apply_verdict(now, rollout)
            if holds_duties:
                self._advance_phase(
                    now, rollout, rollout.order.service in busy
                )
            actions += self._pending_writes(now, rollout, holds_duties)
        return actions

    def shifted_orders(self) -> list[RolloutOrder]:
        """Return the orders that wait for old servers to become idle."""
        return [
            r.order
            for r in self._rollouts.values()
            if r.phase is RolloutPhase.SHIFTED
        ]

    def _apply_verdict(self, now: float, rollout: _Rollout) -> None:
        if rollout.phase not in OPEN_PHASES:
            return
        verdict = self._recorder.verdict(now, rollout.order.rollout_id)
        if verdict is None:
            return
        rollout.is_suspicious = verdict.suspicious
        rollout.trial_share = trial_share(
            self._bounds, self._traffic(now, rollout)
        )
        if verdict.decision is Decision.STOP:
            self._stop(rollout, verdict.explain())
        elif now >= rollout.deadline - COMPLETION_MARGIN_S:
            self._stop_if_doubtful(rollout, verdict)

    def _stop_if_doubtful(self, rollout: _Rollout, verdict: Verdict) -> None:
        """Stop a move at its deadline if a bad version is the likelier one."""
        rollout_id = rollout.order.rollout_id
        if self._recorder.is_doubtful(rollout_id):
            gap = self._recorder.confidence_gap(rollout_id)
            self._stop(rollout, f"not trusted by the deadline: {gap}")
        elif verdict.suspicious:
            self._stop(rollout, verdict.explain())

    def _is_trusted(self, rollout: _Rollout) -> bool:
        """Return whether the evidence speaks for the new version."""
        rollout_id = rollout.order.rollout_id
        return not (
            rollout.is_suspicious or self._recorder.confidence_gap(rollout_id)
        )

    def _stop(self, rollout: _Rollout, reason: str) -> None:
        if rollout.phase in (RolloutPhase.STOPPED, RolloutPhase.COMPLETED):
            return
        rollout.advance(RolloutPhase.STOPPED)
        rollout.reason = reason
        self._recorder.record_stop_mark(rollout.order.rollout_id)

    def _advance_phase(
        self, now: float, rollout: _Rollout, is_busy: bool
    ) -> None:
        if rollout.phase is RolloutPhase.TRIAL:
            if self._is_trusted(rollout) and may_shift(
                self._bounds, self._traffic(now, rollout)
            ):
                rollout.advance(RolloutPhase.SHIFTED)
        elif rollout.phase is RolloutPhase.SHIFTED and (
            not is_busy or now >= rollout.deadline - COMPLETION_MARGIN_S
        ):
            rollout.advance(RolloutPhase.COMPLETED)

    def _traffic(self, now: float, rollout: _Rollout) -> MoveTraffic:
        requests = self._recorder.request_counts(rollout.order.rollout_id)
        return MoveTraffic(
            new_requests=requests.get(rollout.order.target, 0),
            all_requests=sum(requests.values()),
            elapsed_s=now - rollout.started_at,
            remaining_s=max(0.0, rollout.deadline - now),
        )

    def _pending_writes(
        self, now: float, rollout: _Rollout, holds_duties: bool
    ) -> list[Action]:
        if rollout.is_write_pending or now < rollout.next_write_at:
            return []
        if (
            rollout.phase is RolloutPhase.STOPPED
            and not rollout.is_stop_marked
        ):
            rollout.is_write_pending = True
            return [
                MarkStopped(
                    rollout_id=rollout.order.rollout_id, reason=rollout.reason
                )
            ]
        state = _STATE_BY_PHASE.get(rollout.phase)
        if (
            not holds_duties
            or state is None
            or state is rollout.reported_state
        ):
            return []
        rollout.is_write_pending = True
        return [ReportRolloutStatus(order=rollout.order, state=state)]

    def _find(self, rollout_id: str) -> _Rollout | None:
        for rollout in self._rollouts.values():
            if rollout.order.rollout_id == rollout_id:
                return rollout
        return None


def _evidence_version(rollout: _Rollout, server: Server) -> VersionId:
    target = rollout.order.target
    return target if server.version == target else OTHER_VERSIONS
