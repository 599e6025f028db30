"""Takes a service's requests to a new version, or back.

A small share goes to the new version until the evidence of all hosts
speaks against it, or the deadline is so near that the rest of the
requests fits into what a bad version may get. Any host stops a move; a
stop is marked in the store and told to all.
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
from waxwingarch.core.moves.evidence import EvidenceRecorder
from waxwingarch.core.moves.move_counts import HostEvidence, LoadBand
from waxwingarch.core.moves.move_judge import Decision
from waxwingarch.core.randomness import RandomSource
from waxwingarch.core.rollouts.rollout_messages import (
    MarkStopped,
    ReadStops,
    ReportRolloutStatus,
    RolloutOrder,
    RolloutPhase,
    RolloutPhaseReport,
    RolloutState,
    RolloutStatusReported,
    StopMarked,
    StopsRead,
)

# The share of requests that try the new version: half of what a bad one
# may get, so that retries and uneven hosts stay below that.
TRIAL_SHARE: Final = 0.05
# Of what a bad version may get, this part is used for the shift before
# the deadline; counts of other hosts come a report late.
USED_PART: Final = 0.8
# Answers of the new version without which nothing is shifted.
FEWEST_TRIALS: Final = 20
# The old servers are given up this long before the deadline even if they
# still work: the operator has to read the end in time.
END_MARGIN_S: Final = 0.4
RETRY_S: Final = 0.5
# All other versions are counted as one.
OTHERS: Final = VersionId("(others)")

# A phase gives way only to those behind it.
_ORDER: Final = tuple(RolloutPhase)
_STATES: Final = {
    RolloutPhase.TRIAL: RolloutState.RUNNING,
    RolloutPhase.SHIFTED: RolloutState.RUNNING,
    RolloutPhase.STOPPED: RolloutState.ROLLED_BACK,
    RolloutPhase.COMPLETED: RolloutState.COMPLETED,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class ExposureBounds:
    """What a bad version may get: a share of all requests and so many."""

    share: float = 0.1
    extra: float = 50.0


@dataclass(kw_only=True, slots=True)
class _Rollout:
    order: RolloutOrder
    begun_at: float
    deadline: float
    phase: RolloutPhase = RolloutPhase.HELD
    suspicious: bool = False
    reason: str = ""
    marked: bool = False
    told: RolloutState | None = None
    pending: bool = False
    next_at: float = float("-inf")

    def advance(self, phase: RolloutPhase) -> None:
        """Go to a phase unless a later one is known."""
        if _ORDER.index(phase) > _ORDER.index(self.phase):
            self.phase = phase


class RolloutController:
    """All moves, as one host knows them."""

    def __init__(
        self,
        host: HostId,
        incarnation: int,
        bounds: ExposureBounds,
        rng: RandomSource,
    ) -> None:
        self._bounds = bounds
        self._rng = rng
        self._book = EvidenceRecorder(host, incarnation)
        self._rollouts: dict[ServiceId, _Rollout] = {}
        self._stops_due = False

    # Orders and marks

    def apply_orders(self, now: float, orders: Iterable[RolloutOrder]) -> None:
        """Take the orders in force; a newer one replaces an older one."""
        for order in orders:
            known = self._rollouts.get(order.service)
            if known is not None:
                if known.order.number >= order.number:
                    continue
                self._book.forget(known.order.rollout_id)
            self._rollouts[order.service] = _Rollout(
                order=order, begun_at=now, deadline=now + order.duration_s
            )
            self._book.watch(
                order.rollout_id,
                service=order.service,
                old=OTHERS,
                new=order.target,
                duration_s=order.duration_s,
            )
            self._stops_due = True

    def handle_stops_read(self, event: StopsRead) -> None:
        """Take the stop marks: the other moves may begin."""
        if event.stopped is None:
            self._stops_due = True
            return
        for rollout in self._rollouts.values():
            if rollout.order.rollout_id in event.stopped:
                rollout.marked = True
                self._stop(rollout, "stopped before")
            else:
                rollout.advance(RolloutPhase.TRIAL)

    def handle_stop_marked(self, now: float, event: StopMarked) -> None:
        """Take the outcome of a write."""
        rollout = self._find(event.rollout_id)
        if rollout is not None:
            rollout.pending = False
            rollout.marked = event.written
            rollout.next_at = now if event.written else now + RETRY_S

    def handle_status_reported(
        self, now: float, event: RolloutStatusReported
    ) -> None:
        """Take what the operator reads now."""
        rollout = self._find(event.rollout_id)
        if rollout is None:
            return
        rollout.pending = False
        if event.state is None:
            rollout.next_at = now + RETRY_S
            return
        rollout.told = event.state
        if event.state is RolloutState.COMPLETED:
            rollout.advance(RolloutPhase.COMPLETED)
        elif event.state is RolloutState.ROLLED_BACK:
            rollout.advance(RolloutPhase.STOPPED)

    # Requests

    def allowed(
        self, service: ServiceId, backends: list[Backend]
    ) -> list[Backend]:
        """Return the servers of the version that a request goes to."""
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
            case RolloutPhase.TRIAL if self._rng.random() < TRIAL_SHARE:
                return new or old
        return old or new

    def record_outcome(
        self,
        now: float,
        server: Server,
        route: str,
        *,
        ok: bool,
        latency_s: float,
        band: LoadBand,
    ) -> None:
        """Count the outcome of a request."""
        rollout = self._rollouts.get(server.service)
        if rollout is None:
            return
        target = rollout.order.target
        version = target if server.version == target else OTHERS
        self._book.record(
            now, server.service, version, route, band, ok, latency_s
        )

    # Other hosts

    def phase_reports(self) -> tuple[RolloutPhaseReport, ...]:
        """Return what the others are told."""
        return tuple(
            RolloutPhaseReport(rollout_id=r.order.rollout_id, phase=r.phase)
            for r in self._rollouts.values()
        )

    def evidence(self) -> tuple[HostEvidence, ...]:
        """Return this host's counts of the moves that are not over."""
        found = (
            self._book.snapshot(r.order.rollout_id)
            for r in self._rollouts.values()
            if r.phase in (RolloutPhase.TRIAL, RolloutPhase.SHIFTED)
        )
        return tuple(snapshot for snapshot in found if snapshot is not None)

    def record_peer_report(
        self,
        phase_reports: Iterable[RolloutPhaseReport],
        evidence: Iterable[HostEvidence],
    ) -> None:
        """Take what another host tells."""
        for word in phase_reports:
            rollout = self._find(word.rollout_id)
            if rollout is None or word.phase is RolloutPhase.HELD:
                continue
            if word.phase is RolloutPhase.STOPPED:
                self._stop(rollout, "stopped by another host")
            elif rollout.phase is not RolloutPhase.HELD:
                # One who does not know the mark yet may be told of a
                # trial by another who has not heard of the stop.
                rollout.advance(word.phase)
        for counts in evidence:
            self._book.merge(counts)

    # Time

    def tick(
        self, now: float, *, holds_duties: bool, busy: set[ServiceId]
    ) -> list[Action]:
        """Judge, and go on; only the holder of the duties shifts and tells.

        `busy` are the services of which a server with another version
        than the target still works.
        """
        actions: list[Action] = []
        if self._stops_due:
            self._stops_due = False
            actions.append(ReadStops())
        for rollout in self._rollouts.values():
            self._judge(now, rollout)
            if holds_duties:
                self._go_on(now, rollout, rollout.order.service in busy)
            actions += self._write(now, rollout, holds_duties)
        return actions

    def moving(self) -> list[RolloutOrder]:
        """Return the orders whose servers have to be looked at."""
        return [
            r.order
            for r in self._rollouts.values()
            if r.phase is RolloutPhase.SHIFTED
        ]

    def _judge(self, now: float, rollout: _Rollout) -> None:
        if rollout.phase not in (RolloutPhase.TRIAL, RolloutPhase.SHIFTED):
            return
        verdict = self._book.verdict(now, rollout.order.rollout_id)
        if verdict is None:
            return
        rollout.suspicious = verdict.suspicious
        late = now >= rollout.deadline and verdict.suspicious
        if verdict.decision is Decision.STOP or late:
            self._stop(rollout, verdict.explain())

    def _stop(self, rollout: _Rollout, reason: str) -> None:
        if rollout.phase in (RolloutPhase.STOPPED, RolloutPhase.COMPLETED):
            return
        rollout.advance(RolloutPhase.STOPPED)
        rollout.reason = reason
        self._book.learn_stop(rollout.order.rollout_id)

    def _go_on(self, now: float, rollout: _Rollout, busy: bool) -> None:
        if rollout.phase is RolloutPhase.TRIAL:
            if not rollout.suspicious and self._may_shift(now, rollout):
                rollout.advance(RolloutPhase.SHIFTED)
        elif rollout.phase is RolloutPhase.SHIFTED and (
            not busy or now >= rollout.deadline - END_MARGIN_S
        ):
            rollout.advance(RolloutPhase.COMPLETED)

    def _may_shift(self, now: float, rollout: _Rollout) -> bool:
        """Tell whether the rest until the deadline is little enough."""
        requests = self._book.requests(rollout.order.rollout_id)
        new = requests.get(rollout.order.target, 0)
        total = sum(requests.values())
        if new < FEWEST_TRIALS:
            return False
        left_s = max(0.0, rollout.deadline - now)
        rate = total / max(1.0, now - rollout.begun_at)
        whole = self._bounds.share * (total + rate * left_s)
        allowed = (whole + self._bounds.extra) * USED_PART - new
        return rate * left_s <= allowed

    def _write(
        self, now: float, rollout: _Rollout, holds_duties: bool
    ) -> list[Action]:
        if rollout.pending or now < rollout.next_at:
            return []
        if rollout.phase is RolloutPhase.STOPPED and not rollout.marked:
            rollout.pending = True
            return [
                MarkStopped(
                    rollout_id=rollout.order.rollout_id, reason=rollout.reason
                )
            ]
        state = _STATES.get(rollout.phase)
        if not holds_duties or state is None or state is rollout.told:
            return []
        rollout.pending = True
        return [ReportRolloutStatus(order=rollout.order, state=state)]

    def _find(self, rollout_id: str) -> _Rollout | None:
        for rollout in self._rollouts.values():
            if rollout.order.rollout_id == rollout_id:
                return rollout
        return None
