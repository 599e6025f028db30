"""Logs each decision about an exchange together with its inputs."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

from eliot import log_message

from waxwingarch.adapters.front_metrics import FrontMetrics
from waxwingarch.const import LOGGED_DECIMALS
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
    ServerSilent,
)
from waxwingarch.core.front_messages import ConfigRead, FrontTick, StopEnds
from waxwingarch.core.front_node import FrontNode
from waxwingarch.core.quarantine.quarantine_messages import (
    CancelAttempt,
    QuarantineOrdered,
    QuarantineRead,
)
from waxwingarch.tasks.rollout_log import RolloutLog

# Interval of the checks whether the lease or the peers have changed.
CHECK_INTERVAL_S: Final = 0.5
# Bound of the host names in one log line, because all hosts of a large fleet
# may join or fail at once.
MAX_LOGGED_HOSTS: Final = 8
# Bound of the prompt parts in one log line: the last shared ones are kept.
MAX_LOGGED_PARTS: Final = 8


@dataclass(kw_only=True, slots=True)
class _ExchangeHistory:
    """The decisions about one exchange so far."""

    arrived_at: float
    route: str
    service: str
    account: str | None
    shared_part: str | None
    shared_parts: tuple[str, ...] = ()
    whole_request: str | None = None
    servers: list[Server] = field(default_factory=list)
    response_started_at: float | None = None


class FrontLog:
    """Observer of the runner that writes log lines and updates metrics."""

    def __init__(self, front: FrontNode, metrics: FrontMetrics) -> None:
        self._front = front
        self._metrics = metrics
        self._histories: dict[RequestId, _ExchangeHistory] = {}
        self._rollout_log = RolloutLog(front.rollouts)
        self._next_check_at = float("-inf")
        self._lease_held = False
        self._alive_since: dict[HostId, float] = {}
        self._observers: dict[
            type[Event], Callable[[float, Any, list[Action]], None]
        ] = {
            ExchangeArrived: self._log_first_decisions,
            ConfigRead: self._log_first_decisions,
            BackendsListed: self._log_first_decisions,
            ResponseStarted: self._record_response_start,
            ServerSilent: self._log_silence,
            AttemptFinished: self._handle_attempt_finished,
            RunMigrated: self._log_next_decisions,
            CallerDisconnected: self._handle_disconnect,
            FrontTick: self._handle_tick,
            QuarantineRead: self._log_decisions_on_inputs,
            QuarantineOrdered: self._log_decisions_on_inputs,
            StopEnds: self._log_decisions_on_inputs,
        }

    def __call__(
        self, now: float, event: Event, actions: list[Action]
    ) -> None:
        """Log the decisions of one step of the node."""
        observer = self._observers.get(type(event))
        if observer is not None:
            observer(now, event, actions)

    def _decision_inputs(self, now: float) -> dict[str, Any]:
        """Return the versions and the age of what the decisions used."""
        registry = self._front.load_balancer.registry
        return {
            "config_version": self._front.table.version,
            "listing_version": registry.version,
            "listing_age_s": round(
                now - registry.last_listed_at, LOGGED_DECIMALS
            ),
            "hosts_heard": self._front.peers.live_host_count(now),
        }

    # Exchanges

    def _log_first_decisions(
        self, now: float, event: Event, actions: list[Action]
    ) -> None:
        """Log the first decision about each request.

        The request may have arrived in this step or waited since an earlier
        one.
        """
        for action in actions:
            if isinstance(action, LocalResponse):
                self._log_refusal(now, action)
            elif isinstance(action, SendRequest):
                self._log_first_dispatch(now, action)

    def _log_decisions_on_inputs(
        self, now: float, event: Event, actions: list[Action]
    ) -> None:
        """Log cancelled attempts, then the first decisions on requests."""
        cancelled = {
            a.request_id for a in actions if isinstance(a, CancelAttempt)
        }
        for request_id in cancelled:
            log_message(
                message_type="attempt_cancelled", request_id=request_id
            )
        ends: list[Action] = []
        others: list[Action] = []
        for action in actions:
            of_request = getattr(action, "request_id", None)
            (ends if of_request in cancelled else others).append(action)
        self._log_next_decisions(now, event, ends)
        self._log_first_decisions(now, event, others)

    def _log_first_dispatch(self, now: float, send: SendRequest) -> None:
        state = self._front.exchanges.get(send.request_id)
        if state is None:
            return
        exchange = state.exchange
        history = _ExchangeHistory(
            arrived_at=now,
            route=exchange.route.name,
            service=exchange.service,
            account=exchange.account,
            shared_part=exchange.head.shared_part,
            shared_parts=exchange.head.shared_parts,
            whole_request=exchange.whole_request,
        )
        self._histories[send.request_id] = history
        self._log_dispatch(now, history, send)

    def _log_dispatch(
        self, now: float, history: _ExchangeHistory, send: SendRequest
    ) -> None:
        """Log the selected server and the inputs of the selection."""
        server_id = send.server.server_id
        history.servers.append(send.server)
        loads = self._front.load_balancer.loads
        in_flight = loads.attempt_of(send.request_id)
        log_message(
            message_type="dispatched",
            request_id=send.request_id,
            route=history.route,
            service=history.service,
            account=history.account,
            server=server_id,
            attempt=len(history.servers),
            expected_s=round(in_flight.expected_s, LOGGED_DECIMALS)
            if in_flight
            else None,
            uncached_tokens=in_flight.prefill_tokens if in_flight else None,
            shared_part=history.shared_part,
            running=loads.total_load(server_id).running,
            relayed_to=send.relay_to,
            resume_after=send.resume_after,
            limit_per_s=self._front.load_balancer.limits.limit_of(server_id),
            **self._decision_inputs(now),
        )

    def _log_refusal(self, now: float, action: LocalResponse) -> None:
        refusal = action.refusal
        self._metrics.refusals[refusal.reason.value] += 1
        self._metrics.record(("", "", refusal.reason.value), None, 0.0)
        log_message(
            message_type="refused",
            request_id=action.request_id,
            reason=refusal.reason.value,
            ran=refusal.ran.value,
            retry_after_s=refusal.retry_after_s,
            detail=refusal.message,
            **self._decision_inputs(now),
        )

    def _record_response_start(
        self, now: float, event: ResponseStarted, actions: list[Action]
    ) -> None:
        history = self._histories.get(event.request_id)
        if history is not None and history.response_started_at is None:
            history.response_started_at = now

    def _log_silence(
        self, now: float, event: ServerSilent, actions: list[Action]
    ) -> None:
        history = self._histories.get(event.request_id)
        if history is None:
            return
        health = self._front.load_balancer.health
        log_message(
            message_type="server_silent",
            request_id=event.request_id,
            server=event.server_id,
            after_s=round(now - history.arrived_at, LOGGED_DECIMALS),
            server_avoided=health.is_avoided(now, event.server_id),
            **self._decision_inputs(now),
        )

    def _handle_attempt_finished(
        self, now: float, event: AttemptFinished, actions: list[Action]
    ) -> None:
        history = self._histories.get(event.request_id)
        if history is None:
            return
        if event.outcome is AttemptOutcome.DONE:
            self._log_exchange_end(now, event.request_id, "answered")
            return
        server_id = history.servers[-1].server_id
        self._metrics.events[f"attempt {event.outcome.value}"] += 1
        log_message(
            message_type="attempt_failed",
            request_id=event.request_id,
            server=server_id,
            end=event.outcome.value,
            parts=history.shared_parts[-MAX_LOGGED_PARTS:],
            whole_request=history.whole_request,
            beside=len(self._front.load_balancer.loads.requests_on(server_id)),
            retry_after_s=event.retry_after_s,
            last_event=event.last_event,
            after_s=round(now - history.arrived_at, LOGGED_DECIMALS),
            server_avoided=self._front.load_balancer.is_avoided_here(
                now, server_id
            ),
            **self._decision_inputs(now),
        )
        self._log_next_decisions(now, event, actions)

    def _log_next_decisions(
        self, now: float, event: Any, actions: list[Action]
    ) -> None:
        """Log the decisions after a failed attempt or a migrated run."""
        for action in actions:
            match action:
                case SendRequest(request_id=request_id):
                    history = self._histories.get(request_id)
                    if history is not None:
                        self._log_dispatch(now, history, action)
                case LocalResponse(request_id=request_id, refusal=refusal):
                    self._metrics.refusals[refusal.reason.value] += 1
                    self._log_exchange_end(
                        now, request_id, refusal.reason.value
                    )
                case ForwardFailure(request_id=request_id):
                    self._log_exchange_end(
                        now, request_id, "failure passed on"
                    )
                case AbortResponse(request_id=request_id):
                    self._log_exchange_end(now, request_id, "cut")

    def _handle_disconnect(
        self, now: float, event: CallerDisconnected, actions: list[Action]
    ) -> None:
        self._log_exchange_end(now, event.request_id, "caller gone")

    def _log_exchange_end(
        self, now: float, request_id: RequestId, outcome: str
    ) -> None:
        history = self._histories.pop(request_id, None)
        if history is None:
            return
        last_server = history.servers[-1]
        first_byte_s = None
        if history.response_started_at is not None:
            first_byte_s = round(
                history.response_started_at - history.arrived_at,
                LOGGED_DECIMALS,
            )
        total_s = round(now - history.arrived_at, LOGGED_DECIMALS)
        labels = (history.service, last_server.failure_domain, outcome)
        self._metrics.record(labels, first_byte_s, total_s)
        log_message(
            message_type="exchange_ended",
            request_id=request_id,
            outcome=outcome,
            route=history.route,
            service=history.service,
            account=history.account,
            servers=[server.server_id for server in history.servers],
            whole_request=history.whole_request,
            first_byte_s=first_byte_s,
            whole_s=total_s,
            **self._decision_inputs(now),
        )

    # The lease and the peers

    def _handle_tick(
        self, now: float, event: FrontTick, actions: list[Action]
    ) -> None:
        self._log_decisions_on_inputs(now, event, actions)
        for action in actions:
            if isinstance(action, MigrateRun):
                log_message(
                    message_type="moving_run",
                    request_id=action.request_id,
                    source=action.source.server_id,
                    target=action.target.server_id,
                )
        self._rollout_log.check(now)
        if now < self._next_check_at:
            return
        self._next_check_at = now + CHECK_INTERVAL_S
        self._log_lease_change()
        self._log_peer_changes(now)

    def _log_lease_change(self) -> None:
        lease = self._front.lease
        if lease.held == self._lease_held:
            return
        self._lease_held = lease.held
        message_type = "lease_taken" if lease.held else "lease_ended"
        log_message(message_type=message_type, fence=lease.fence)

    def _log_peer_changes(self, now: float) -> None:
        alive = {report.host for report in self._front.peers.live_reports(now)}
        joined = alive - set(self._alive_since)
        lost_after_s = {
            host: round(now - since, LOGGED_DECIMALS)
            for host, since in self._alive_since.items()
            if host not in alive
        }
        if joined or lost_after_s:
            log_message(
                message_type="peers_changed",
                heard=sorted(joined)[:MAX_LOGGED_HOSTS],
                lost=dict(sorted(lost_after_s.items())[:MAX_LOGGED_HOSTS]),
                alive=len(alive),
            )
        self._alive_since = {
            host: self._alive_since.get(host, now) for host in alive
        }
