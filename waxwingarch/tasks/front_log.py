"""One log line for each decision about an exchange, with its inputs."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

from eliot import log_message

from waxwingarch.adapters.front_metrics import FrontMetrics
from waxwingarch.core.backends.registry import BackendsListed
from waxwingarch.core.base import Action, Event, HostId, RequestId, Server
from waxwingarch.core.exchange.exchange_messages import (
    AbortResponse,
    AttemptFinished,
    AttemptOutcome,
    CallerDisconnected,
    ExchangeArrived,
    ForwardFailure,
    LocalResponse,
    MigrateRun,
    ResponseStarted,
    RunMigrated,
    SendRequest,
)
from waxwingarch.core.front_messages import ConfigRead, FrontTick
from waxwingarch.core.front_node import FrontNode

# How often the peers and the lease are looked at.
LOOK_EVERY_S: Final = 0.5
DIGITS: Final = 3
# Names in one line: a large fleet may be lost, or found, at once.
MOST_NAMES: Final = 8


@dataclass(kw_only=True, slots=True)
class _Trail:
    """What was decided about one exchange so far."""

    arrived_at: float
    route: str
    service: str
    account: str | None
    servers: list[Server] = field(default_factory=list)
    began_at: float | None = None


class FrontLog:
    """An observer of the runner: writes lines and counts metrics."""

    def __init__(self, front: FrontNode, metrics: FrontMetrics) -> None:
        self._front = front
        self._metrics = metrics
        self._trails: dict[RequestId, _Trail] = {}
        self._look_at = float("-inf")
        self._held = False
        self._alive: dict[HostId, float] = {}
        self._observers: dict[
            type[Event], Callable[[float, Any, list[Action]], None]
        ] = {
            ExchangeArrived: self._taken,
            ConfigRead: self._taken,
            BackendsListed: self._taken,
            ResponseStarted: self._began,
            AttemptFinished: self._ended,
            RunMigrated: self._followed,
            CallerDisconnected: self._gone,
            FrontTick: self._ticked,
        }

    def __call__(
        self, now: float, event: Event, actions: list[Action]
    ) -> None:
        """Take one step of the node."""
        observer = self._observers.get(type(event))
        if observer is not None:
            observer(now, event, actions)

    def _beliefs(self, now: float) -> dict[str, Any]:
        """Return what the decisions rested on, and how old it is."""
        book = self._front.load_balancer.registry
        return {
            "config_version": self._front.table.version,
            "listing_version": book.version,
            "listing_age_s": round(now - book.last_listed_at, DIGITS),
            "hosts_heard": self._front.peers.live_host_count(now),
        }

    # Exchanges

    def _taken(self, now: float, event: Event, actions: list[Action]) -> None:
        """Take the first decision about each request, just come or not."""
        for action in actions:
            if isinstance(action, LocalResponse):
                self._refused(now, action)
            elif isinstance(action, SendRequest):
                self._sent(now, action)

    def _sent(self, now: float, send: SendRequest) -> None:
        state = self._front.exchanges.get(send.request_id)
        if state is None:
            return
        exchange = state.exchange
        trail = _Trail(
            arrived_at=now,
            route=exchange.route.name,
            service=exchange.service,
            account=exchange.account,
        )
        self._trails[send.request_id] = trail
        self._dispatched(now, trail, send)

    def _dispatched(
        self, now: float, trail: _Trail, send: SendRequest
    ) -> None:
        """Log where a request goes, and why this server."""
        server_id = send.server.server_id
        trail.servers.append(send.server)
        loads = self._front.load_balancer.loads
        sent = loads.attempt_of(send.request_id)
        log_message(
            message_type="dispatched",
            request_id=send.request_id,
            route=trail.route,
            service=trail.service,
            account=trail.account,
            server=server_id,
            attempt=len(trail.servers),
            expected_s=round(sent.expected_s, DIGITS) if sent else None,
            uncached_tokens=sent.prefill_tokens if sent else None,
            running=loads.total_load(server_id).running,
            **self._beliefs(now),
        )

    def _refused(self, now: float, action: LocalResponse) -> None:
        refusal = action.refusal
        self._metrics.record(("", "", refusal.reason.value), None, 0.0)
        log_message(
            message_type="refused",
            request_id=action.request_id,
            reason=refusal.reason.value,
            ran=refusal.ran.value,
            retry_after_s=refusal.retry_after_s,
            detail=refusal.message,
            **self._beliefs(now),
        )

    def _began(
        self, now: float, event: ResponseStarted, actions: list[Action]
    ) -> None:
        trail = self._trails.get(event.request_id)
        if trail is not None and trail.began_at is None:
            trail.began_at = now

    def _ended(
        self, now: float, event: AttemptFinished, actions: list[Action]
    ) -> None:
        trail = self._trails.get(event.request_id)
        if trail is None:
            return
        if event.outcome is AttemptOutcome.DONE:
            self._close(now, event.request_id, "answered")
            return
        server_id = trail.servers[-1].server_id
        self._metrics.events[f"attempt {event.outcome.value}"] += 1
        log_message(
            message_type="attempt_failed",
            request_id=event.request_id,
            server=server_id,
            end=event.outcome.value,
            last_event=event.last_event,
            after_s=round(now - trail.arrived_at, DIGITS),
            server_avoided=self._front.load_balancer.health.is_avoided(
                now, server_id
            ),
            **self._beliefs(now),
        )
        self._followed(now, event, actions)

    def _followed(self, now: float, event: Any, actions: list[Action]) -> None:
        """Take what follows a failed attempt or a move."""
        for action in actions:
            match action:
                case SendRequest(request_id=request_id):
                    trail = self._trails.get(request_id)
                    if trail is not None:
                        self._dispatched(now, trail, action)
                case LocalResponse(request_id=request_id, refusal=refusal):
                    self._close(now, request_id, refusal.reason.value)
                case ForwardFailure(request_id=request_id):
                    self._close(now, request_id, "failure passed on")
                case AbortResponse(request_id=request_id):
                    self._close(now, request_id, "cut")

    def _gone(
        self, now: float, event: CallerDisconnected, actions: list[Action]
    ) -> None:
        self._close(now, event.request_id, "caller gone")

    def _close(self, now: float, request_id: RequestId, outcome: str) -> None:
        trail = self._trails.pop(request_id, None)
        if trail is None:
            return
        last = trail.servers[-1]
        first_s = None
        if trail.began_at is not None:
            first_s = round(trail.began_at - trail.arrived_at, DIGITS)
        whole_s = round(now - trail.arrived_at, DIGITS)
        labels = (trail.service, last.failure_domain, outcome)
        self._metrics.record(labels, first_s, whole_s)
        log_message(
            message_type="exchange_ended",
            request_id=request_id,
            outcome=outcome,
            route=trail.route,
            service=trail.service,
            account=trail.account,
            servers=[server.server_id for server in trail.servers],
            first_byte_s=first_s,
            whole_s=whole_s,
            **self._beliefs(now),
        )

    # Beliefs

    def _ticked(
        self, now: float, event: FrontTick, actions: list[Action]
    ) -> None:
        self._taken(now, event, actions)
        for action in actions:
            if isinstance(action, MigrateRun):
                log_message(
                    message_type="moving_run",
                    request_id=action.request_id,
                    source=action.source.server_id,
                    target=action.target.server_id,
                )
        if now < self._look_at:
            return
        self._look_at = now + LOOK_EVERY_S
        self._look_at_lease()
        self._look_at_peers(now)

    def _look_at_lease(self) -> None:
        lease = self._front.lease
        if lease.held == self._held:
            return
        self._held = lease.held
        kind = "lease_taken" if lease.held else "lease_ended"
        log_message(message_type=kind, fence=lease.fence)

    def _look_at_peers(self, now: float) -> None:
        alive = {report.host for report in self._front.peers.live_reports(now)}
        heard = alive - set(self._alive)
        lost = {
            host: round(now - since, DIGITS)
            for host, since in self._alive.items()
            if host not in alive
        }
        if heard or lost:
            log_message(
                message_type="peers_changed",
                heard=sorted(heard)[:MOST_NAMES],
                lost=dict(sorted(lost.items())[:MOST_NAMES]),
                alive=len(alive),
            )
        self._alive = {host: self._alive.get(host, now) for host in alive}
