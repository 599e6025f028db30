"""Follows the exchanges in progress on this host from arrival to end."""

from dataclasses import replace
from typing import Any, Final

from waxwingarch.core.backends.load import ActiveAttempt
from waxwingarch.core.backends.load_balancer import LoadBalancer, Pick
from waxwingarch.core.backends.registry import BackendLeaving
from waxwingarch.core.backends.server_checks import CheckResult
from waxwingarch.core.base import (
    Action,
    RequestId,
    Server,
    ServiceId,
)
from waxwingarch.core.exchange.crash_observer import CrashObserver
from waxwingarch.core.exchange.exchange_admission import (
    ExchangeAdmission,
    RefusedError,
)
from waxwingarch.core.exchange.exchange_messages import (
    AbortResponse,
    AttemptFinished,
    AttemptOutcome,
    CallerDisconnected,
    Exchange,
    ExchangeHead,
    ForwardFailure,
    LocalResponse,
    ResponseStarted,
    RunMigrated,
    SendRequest,
)
from waxwingarch.core.exchange.migrations import RunMigrations
from waxwingarch.core.exchange.path_observer import (
    ANSWERED_OUTCOMES,
    PathObserver,
)
from waxwingarch.core.exchange.relays import (
    PeerSelector,
    as_server,
)
from waxwingarch.core.exchange.run_times import ResponseTimes, RunTimes
from waxwingarch.core.exchange.silence import (
    TAKEOVER_TIME_S,
    SilenceJudge,
    leave_alive_at,
)
from waxwingarch.core.exchange.state_machine import (
    ExchangeState,
    NextStep,
    no_server_refusal,
    stopping_refusal,
)
from waxwingarch.core.limits.resend_budget import ResendBudget
from waxwingarch.core.limits.shared_rate import SharedRates
from waxwingarch.core.peers.report import HostReport
from waxwingarch.core.quarantine.quarantine import Quarantine
from waxwingarch.core.quarantine.quarantine_messages import CancelAttempt
from waxwingarch.core.randomness import RandomSource
from waxwingarch.core.refusal import Refusal
from waxwingarch.core.rollouts.rollout_controller import RolloutController
from waxwingarch.core.rollouts.rollout_evidence import AttemptEvidence
from waxwingarch.core.routing.config import (
    RetryPolicy,
)
from waxwingarch.core.routing.table import RoutingTable

# The timeout for the first byte of a request that may be sent to another
# server is the largest of three values: a multiple of the route's latency
# objective, a multiple of the time that the load balancer expected, and a
# minimum in seconds.
FIRST_BYTE_TIMEOUT_PER_OBJECTIVE: Final = 2.0
MIN_FIRST_BYTE_TIMEOUT_S: Final = 0.8
# Prompts that a server prefills at the same time slow each other down, so
# that a request may take a multiple of the expected time.
FIRST_BYTE_TIMEOUT_PER_EXPECTED: Final = 3.0
# A stream is idle for too long when no bytes came for this multiple of the
# route's longest pause between events, and for at least the minimum.
IDLE_TIMEOUT_PER_EVENT_GAP: Final = 4.0
MIN_STREAM_IDLE_TIMEOUT_S: Final = 1.2
# After the first-byte deadline, a server without any activity for this long
# counts as down.
SERVER_ACTIVE_WITHIN_S: Final = 0.6
# A server with a copy of a run's KV cache starts to write within this time.
EXPECTED_WITH_CACHE_S: Final = 0.1
# Outcomes that say how long requests of a route last.
LASTED_OUTCOMES: Final = frozenset(
    {AttemptOutcome.DONE, AttemptOutcome.EXPIRED}
)
# Callers that are refused until a server takes requests again are told to
# return spread over this share of that time after it.
RETURN_SPREAD_RATIO: Final = 0.5


class ExchangeManager:
    """Admits requests, dispatches their attempts and handles the outcomes."""

    def __init__(
        self,
        table: RoutingTable,
        load_balancer: LoadBalancer,
        rates: SharedRates,
        resend_budget: ResendBudget,
        rollouts: RolloutController,
        rng: RandomSource,
        leaving_known_s: float,
        quarantine: Quarantine,
        relay_peers: PeerSelector,
    ) -> None:
        self._relay_peers = relay_peers
        self._quarantine = quarantine
        self._crash_observer = CrashObserver(
            load_balancer, rollouts, quarantine
        )
        # Whether this host may send a probe with a quarantined input.
        self.may_probe = False
        self._load_balancer = load_balancer
        self._paths = load_balancer.paths
        self._path_observer = PathObserver(load_balancer)
        self._admission = ExchangeAdmission(table, rates, rng)
        self._resend_budget = resend_budget
        self._evidence = AttemptEvidence(load_balancer, rollouts)
        self._rng = rng
        self._exchanges: dict[RequestId, ExchangeState] = {}
        self._run_times = RunTimes()
        self._response_times = ResponseTimes()
        # When this host ends what is in progress, on the node's clock.
        self.ends_at = float("inf")
        self.silence = SilenceJudge(
            load_balancer, self._exchanges, resend_budget
        )
        self._migrations = RunMigrations(
            load_balancer,
            self._exchanges,
            self.silence.can_resend,
            leaving_known_s,
        )

    def __len__(self) -> int:
        return len(self._exchanges)

    def get(self, request_id: RequestId) -> ExchangeState | None:
        """Return the state of an exchange in progress."""
        return self._exchanges.get(request_id)

    # Arrival

    def handle_arrival(
        self, now: float, head: ExchangeHead, arrived_at: float | None = None
    ) -> list[Action]:
        """Admit a request and dispatch it, or refuse it.

        `arrived_at` is given for a request that waited for this host to
        become ready.
        """
        if arrived_at is None:
            arrived_at = now
        try:
            exchange, cost = self._admission.admit(now, head, arrived_at)
        except RefusedError as exc:
            return [
                LocalResponse(request_id=head.request_id, refusal=exc.refusal)
            ]
        refused = (
            stopping_refusal()
            if self._may_outlast_host(now, exchange)
            else self._quarantine.refusal_for(
                now, exchange.inputs, may_probe=self.may_probe
            )
        )
        if refused is not None:
            self._admission.refund(now, exchange, cost)
            return [LocalResponse(request_id=head.request_id, refusal=refused)]
        if not head.is_relayed:
            # The peer that relays a request has counted it.
            self._resend_budget.record_request(now, exchange.service)
        state = ExchangeState(exchange=exchange, rate_cost=cost)
        send = self._dispatch_first(now, state)
        if send is None:
            self._refund(now, state)
            refusal = self._no_server_refusal(now, exchange.service)
            return [LocalResponse(request_id=head.request_id, refusal=refusal)]
        self._exchanges[exchange.request_id] = state
        return [send]

    def _may_outlast_host(self, now: float, exchange: Exchange) -> bool:
        """Return whether requests of its route may last until this host ends.

        Such a request would end without an answer. One of a route that no
        request has ended on lately may last until its deadline.
        """
        if self.ends_at == float("inf"):
            return False
        route = exchange.route.name
        known_s = self._run_times.longest_s(now, route)
        if known_s is None:
            return exchange.expires_at > self.ends_at
        in_progress_s = (
            now - state.exchange.arrived_at
            for state in self._exchanges.values()
            if state.exchange.route.name == route
        )
        longest_s = max(known_s, max(in_progress_s, default=0.0))
        return now + min(longest_s, exchange.expires_at - now) > self.ends_at

    def _no_server_refusal(self, now: float, service: ServiceId) -> Refusal:
        """Refuse a request for now, or until a paused server takes more."""
        open_in_s = self._load_balancer.open_in_s(now, service)
        if open_in_s is None:
            return no_server_refusal()
        spread = 1 + RETURN_SPREAD_RATIO * self._rng.random()
        return no_server_refusal(open_in_s * spread)

    def _refund(self, now: float, state: ExchangeState) -> None:
        self._admission.refund(now, state.exchange, state.rate_cost)
        state.rate_cost = 0.0

    # Dispatch

    def _dispatch_first(
        self, now: float, state: ExchangeState
    ) -> SendRequest | None:
        """Start the first attempt; None if the request has to be refused.

        Without a path to the servers, a request now and then tries it, and
        the others are relayed.
        """
        service = state.exchange.service
        run_at = state.exchange.head.run_at
        if run_at is not None and not self._paths.is_lost(service):
            state.run_at = run_at
            backend = self._migrations.backend_to_return_to(
                now, service, run_at
            )
            if backend is not None:
                return self._return_to(now, state, backend.server)
        if self._paths.is_lost(service) and not self._paths.take_trial(
            now, service
        ):
            return self._dispatch_without_path(now, state)
        return self._dispatch_or_relay(now, state)

    def _dispatch_or_relay(
        self, now: float, state: ExchangeState
    ) -> SendRequest | None:
        """Relay a request if the servers have room for other hosts only."""
        send = self._dispatch(now, state)
        if send is not None or not self._load_balancer.is_shared_out(
            now, state.exchange.service
        ):
            return send
        return self._relay_to_any(now, state)

    def _relay_to_any(
        self, now: float, state: ExchangeState
    ) -> SendRequest | None:
        """Relay a request to a peer that was not tried, if there is one.

        A request is relayed once at most, so that hosts don't send it around.
        """
        if state.exchange.head.is_relayed:
            return None
        peer = self._relay_peers.choose(
            now, state.exchange.service, state.tried_peers
        )
        return None if peer is None else self._relay(now, state, peer)

    def _dispatch_without_path(
        self, now: float, state: ExchangeState
    ) -> SendRequest | None:
        """Relay a request; without a peer, try servers that did not fail."""
        relay = self._relay_to_any(now, state)
        if relay is not None:
            return relay
        if not self._paths.has_untried(state.exchange.service):
            return None
        return self._dispatch(now, state)

    def _relay(
        self, now: float, state: ExchangeState, peer: HostReport
    ) -> SendRequest:
        """Start an attempt by a peer, which charges the account's limit.

        Its waits for servers are the peer's own, so that only the deadline
        bounds the wait for the peer.
        """
        self._refund(now, state)
        state.relayed_to = peer.host
        state.tried_peers.add(peer.host)
        self._relay_peers.begin(peer.host)
        pick = Pick(
            server=as_server(peer, state.exchange.service),
            expected_s=0.0,
            uncached_tokens=0,
        )
        return replace(
            self._start_attempt(now, state, pick, None),
            first_byte_deadline=state.exchange.expires_at,
            new_connection=False,
            relay_to=peer.host,
            run_at=state.run_at,
        )

    def _end_relay(self, state: ExchangeState) -> None:
        if state.relayed_to is not None:
            self._relay_peers.end(state.relayed_to)
            state.relayed_to = None

    def _dispatch(
        self, now: float, state: ExchangeState
    ) -> SendRequest | None:
        """Choose a server and start an attempt; None if there is no server."""
        exchange = state.exchange
        pick = self._load_balancer.choose(
            now, exchange, exchange.traits, state.tried_servers
        )
        return None if pick is None else self._send_to(now, state, pick)

    def _send_to(
        self, now: float, state: ExchangeState, pick: Pick
    ) -> SendRequest:
        """Start an attempt at a server."""
        exchange = state.exchange
        self._load_balancer.record_attempt(
            now, exchange, pick, exchange.traits
        )
        state.tried_servers.add(pick.server.server_id)
        migrated_cache, state.migrated_cache = state.migrated_cache, None
        state.may_be_stopped = False
        return self._start_attempt(now, state, pick, migrated_cache)

    def _start_attempt(
        self,
        now: float,
        state: ExchangeState,
        pick: Pick,
        migrated_cache: Any,
    ) -> SendRequest:
        """Record the dispatch of an attempt and return its action."""
        state.record_dispatch(pick.server.server_id)
        exchange = state.exchange
        route = exchange.route
        first_byte_timeout_s = max(
            MIN_FIRST_BYTE_TIMEOUT_S,
            FIRST_BYTE_TIMEOUT_PER_OBJECTIVE * route.latency_objective_s,
            FIRST_BYTE_TIMEOUT_PER_EXPECTED * pick.expected_s,
        )
        first_byte_deadline = exchange.expires_at
        if exchange.retry_policy is not RetryPolicy.NON_IDEMPOTENT:
            first_byte_deadline = min(
                first_byte_deadline, now + first_byte_timeout_s
            )
        stream_idle_timeout_s = max(
            MIN_STREAM_IDLE_TIMEOUT_S,
            IDLE_TIMEOUT_PER_EVENT_GAP * route.max_event_gap_s,
        )
        return SendRequest(
            request_id=exchange.request_id,
            server=pick.server,
            account=exchange.account,
            priority=exchange.priority,
            expires_at=exchange.expires_at,
            first_byte_deadline=first_byte_deadline,
            stream_idle_timeout_s=stream_idle_timeout_s,
            max_silence_s=route.caller_patience_s - TAKEOVER_TIME_S
            if route.streaming
            else SERVER_ACTIVE_WITHIN_S,
            leave_alive_at=leave_alive_at(
                now,
                exchange,
                first_byte_deadline,
                self._response_times.mean_s(route.name),
            ),
            resume_after=state.last_event,
            migrated_cache=migrated_cache,
            fresh_connection=exchange.retry_policy
            is RetryPolicy.NON_IDEMPOTENT,
            streaming=route.streaming,
            new_connection=self._paths.is_lost(exchange.service),
        )

    # Attempts

    def record_response_start(
        self, now: float, event: ResponseStarted
    ) -> ExchangeState | None:
        """Record the first byte of a response.

        Returns the state the first time that an attempt of the exchange
        gets this far, so that its usage is counted once.
        """
        state = self._exchanges.get(event.request_id)
        if state is None:
            return None
        state.has_event_ids = event.has_event_ids
        if state.relayed_to is not None:
            # The peer counts the usage of what it serves.
            state.response_started = state.is_usage_counted = True
            return None
        self._path_observer.record_answer(
            event.request_id, on_new_connection=event.on_new_connection
        )
        attempt = self._load_balancer.loads.attempt_of(event.request_id)
        if attempt is not None and not state.response_started:
            self._response_times.record(
                state.exchange.route.name, now - attempt.sent_at
            )
        self._load_balancer.record_response_start(now, state.exchange)
        self._evidence.record_first_byte(now, state)
        state.response_started = True
        if state.is_usage_counted:
            return None
        state.is_usage_counted = True
        return state

    def handle_attempt_finished(
        self, now: float, event: AttemptFinished
    ) -> list[Action]:
        """Handle the end of an attempt: resend the request or finish."""
        state = self._exchanges.get(event.request_id)
        if state is None:
            return []
        if event.response_started:
            if event.last_event != state.last_event:
                state.return_count = 0
            state.last_event = event.last_event
        if state.is_migrating and event.outcome is AttemptOutcome.BROKEN:
            # A migration stops the run on its server, which breaks the
            # stream. Where the run continues is known only when the
            # migration has ended.
            state.deferred_outcome = event
            return []
        if state.relayed_to is not None:
            return self._handle_relay_finished(now, state, event)
        if event.outcome in ANSWERED_OUTCOMES:
            self._path_observer.record_answer(
                event.request_id, on_new_connection=True
            )
        attempt = self._load_balancer.loads.record_attempt_end(
            event.request_id
        )
        if attempt is None:
            return self._finish(now, state, event, state.final_step(event))
        self._path_observer.record_end(now, event, attempt)
        if not self._load_balancer.registry.has_restarted_since(
            attempt.server_id, attempt.sent_at
        ):
            self._record_server(now, state, event, attempt)
        if not self._path_observer.explains_failure(
            now, state.exchange.service, attempt
        ):
            self._crash_observer.record_outcome(now, state, event, attempt)
            self._evidence.record_end(now, state, event, attempt)
        step = state.record_outcome(now, event)
        if step is NextStep.RESEND:
            resend = self._resend(now, state, event)
            if resend is not None:
                return [resend]
            step = state.final_step(event)
        return self._finish(now, state, event, step)

    def _handle_relay_finished(
        self, now: float, state: ExchangeState, event: AttemptFinished
    ) -> list[Action]:
        """Handle the end of an attempt by a peer.

        A peer that failed the request has tried what the route allows.
        """
        step = state.record_outcome(now, event)
        self._end_relay(state)
        if step is NextStep.RESEND:
            resend = None
            if event.outcome is not AttemptOutcome.FAILED:
                resend = self._resend(now, state, event)
            if resend is not None:
                return [resend]
            step = state.final_step(event)
        return self._finish(now, state, event, step)

    def _resend(
        self, now: float, state: ExchangeState, event: AttemptFinished
    ) -> SendRequest | None:
        """Continue a migrated run, or resend the request within the budget.

        Returns None if there is no server or no budget for it. A response
        that has begun may go on at a server that was tried before: it may
        have been given up only for its silence.
        """
        service = state.exchange.service
        if not self._quarantine.may_resend(now, state.exchange.inputs):
            return None
        if state.migrated_cache is not None:
            backend = self._load_balancer.registry.get(
                state.migrated_cache.target
            )
            if backend is not None and self._migrations.may_continue_at(
                now, backend
            ):
                return self._continue_at(now, state, backend.server)
            state.migrated_cache = None
            if backend is None or not self._may_resume_without_copy(
                state, backend.server
            ):
                return None
        if state.returns_to is not None:
            backend = self._migrations.backend_to_return_to(
                now, service, state.returns_to
            )
            if backend is not None and not self._paths.is_lost(service):
                if not self._resend_budget.try_resend(now, service):
                    return None
                return self._return_to(now, state, backend.server)
            if not state.may_try_another():
                return None
        # What only peers have rejected has reached no server yet.
        is_first = not state.may_have_run_on and (
            self._paths.is_lost(service) or not state.tried_servers
        )
        if not is_first and not self._resend_budget.try_resend(now, service):
            return None
        if self._paths.is_lost(service):
            return self._dispatch_without_path(now, state)
        send = self._dispatch_or_relay(now, state)
        if send is None and event.response_started:
            state.tried_servers &= state.unreachable_servers
            send = self._dispatch(now, state)
        return send

    def _may_resume_without_copy(
        self, state: ExchangeState, target: Server
    ) -> bool:
        """Return whether a run goes on without its copy at a server.

        The server's domain was evacuated while the run was migrated to it.
        """
        return (
            self._load_balancer.registry.is_evacuated(target)
            and state.exchange.retry_policy is RetryPolicy.RESUMABLE
            and state.may_try_another()
        )

    def _continue_at(
        self, now: float, state: ExchangeState, server: Server
    ) -> SendRequest:
        """Send a migrated run to the server that has its KV cache."""
        pick = Pick(
            server=server,
            expected_s=EXPECTED_WITH_CACHE_S,
            uncached_tokens=0,
        )
        return self._send_to(now, state, pick)

    def _return_to(
        self, now: float, state: ExchangeState, server: Server
    ) -> SendRequest:
        """Send a stream to the server that may still have its run."""
        state.return_count += 1
        exchange = state.exchange
        pick = self._load_balancer.pick(now, exchange, exchange.traits, server)
        return self._send_to(now, state, pick)

    def _record_server(
        self,
        now: float,
        state: ExchangeState,
        event: AttemptFinished,
        attempt: ActiveAttempt,
    ) -> None:
        """Record what the outcome says about the server."""
        if event.outcome is AttemptOutcome.NOT_SENT:
            self._load_balancer.limits.give_back(attempt.server_id)
        if event.retry_after_s is not None:
            self._load_balancer.pauses.record(
                now, attempt.server_id, event.retry_after_s
            )
        if event.outcome is AttemptOutcome.MISDIRECTED:
            self._load_balancer.registry.record_misdirected(
                now, attempt.server_id, attempt.sent_at
            )
        self._record_health(now, state, event, attempt.server_id)

    def _record_health(
        self,
        now: float,
        state: ExchangeState,
        event: AttemptFinished,
        server_id: Any,
    ) -> None:
        """Record what the outcome says about the health of the server.

        A rejection, the answer of another process, and an attempt that ended
        because its run was migrated, say nothing. A silence was recorded
        while it lasted. A request that expired counts as a failure only if
        the server has sent no bytes, to this or other requests, since the
        request arrived: else it is slow, not dead.
        """
        health = self._load_balancer.health
        if event.outcome is AttemptOutcome.DONE:
            health.record_success(now, server_id)
            self._load_balancer.registry.record_found(server_id)
        elif (
            event.outcome in ANSWERED_OUTCOMES
            or state.migrated_cache is not None
            or (
                event.outcome is AttemptOutcome.SILENT
                and health.is_silent(server_id)
            )
        ):
            health.end_trial(server_id)
        elif event.outcome is AttemptOutcome.EXPIRED:
            last_byte_at = self._load_balancer.loads.last_activity_at(
                server_id
            )
            if (
                state.response_started
                or last_byte_at > state.exchange.arrived_at
            ):
                health.end_trial(server_id)
            else:
                health.record_failure(now, server_id, unreachable=False)
        elif event.next_connection is CheckResult.TAKEN:
            health.record_break(now, server_id)
        else:
            unreachable = event.outcome is AttemptOutcome.NOT_SENT
            health.record_failure(now, server_id, unreachable=unreachable)

    def tick_quarantine(self, now: float) -> list[Action]:
        """Judge the evidence, and end requests with quarantined inputs."""
        self._crash_observer.note_progress(now, self._exchanges.values())
        last_activity_at = self._load_balancer.loads.last_activity_at
        news = self._quarantine.tick(now, last_activity_at)
        return news + self._cancel_held(now) if news else []

    def _cancel_held(self, now: float) -> list[Action]:
        """Cancel the attempts with quarantined inputs that have not begun."""
        held = [
            state
            for state in self._exchanges.values()
            if not state.response_started
            and not state.is_migrating
            and self._quarantine.is_held(state.exchange.inputs)
        ]
        actions: list[Action] = []
        for state in held:
            server_id = self._load_balancer.loads.server_of(
                state.exchange.request_id
            )
            if server_id is not None:
                self._crash_observer.record_cancelled(now, state, server_id)
            actions += self._cancel(now, state, AttemptOutcome.BROKEN)
        return actions

    def _cancel(
        self, now: float, state: ExchangeState, outcome: AttemptOutcome
    ) -> list[Action]:
        """Cancel the attempt of an exchange and end the exchange."""
        request_id = state.exchange.request_id
        attempt = self._load_balancer.loads.record_attempt_end(request_id)
        if attempt is not None:
            self._load_balancer.health.end_trial(attempt.server_id)
        cancelled = AttemptFinished(
            request_id=request_id,
            outcome=outcome,
            response_started=state.last_event is not None,
        )
        step = state.final_step(cancelled)
        return [
            CancelAttempt(request_id=request_id),
            *self._finish(now, state, cancelled, step),
        ]

    def end_all(self, now: float) -> list[Action]:
        """Answer the requests that have no response yet, as the host ends.

        Responses that have begun can only be completed or broken off.
        """
        waiting = [
            state
            for state in self._exchanges.values()
            if not state.response_started and state.last_event is None
        ]
        actions: list[Action] = []
        for state in waiting:
            actions += self._cancel(now, state, AttemptOutcome.STOPPED)
        return actions

    def _finish(
        self,
        now: float,
        state: ExchangeState,
        event: AttemptFinished,
        step: NextStep,
    ) -> list[Action]:
        request_id = event.request_id
        del self._exchanges[request_id]
        if event.outcome in LASTED_OUTCOMES:
            exchange = state.exchange
            self._run_times.record(
                now, exchange.route.name, now - exchange.arrived_at
            )
        self._end_relay(state)
        self._migrations.forget(request_id)
        if step is NextStep.ABORT:
            return [AbortResponse(request_id=request_id)]
        if step is NextStep.FORWARD_FAILURE:
            return [ForwardFailure(request_id=request_id)]
        if step is NextStep.REFUSE:
            held = self._quarantine.refusal_for(
                now, state.exchange.inputs, may_probe=False
            )
            refusal = state.refusal(
                event,
                held or self._no_server_refusal(now, state.exchange.service),
            )
            return [LocalResponse(request_id=request_id, refusal=refusal)]
        return []

    def handle_disconnect(
        self, now: float, event: CallerDisconnected
    ) -> list[Action]:
        """Drop an exchange whose caller has disconnected."""
        state = self._exchanges.pop(event.request_id, None)
        if state is not None:
            self._end_relay(state)
        self._migrations.forget(event.request_id)
        attempt = self._load_balancer.loads.record_attempt_end(
            event.request_id
        )
        if state is not None and attempt is not None:
            self._load_balancer.health.end_trial(attempt.server_id)
        return []

    # Leaving servers

    def handle_server_leaving(
        self, now: float, event: BackendLeaving
    ) -> list[Action]:
        """Schedule the migration of all runs off a leaving server."""
        self._migrations.schedule(now, event)
        return []

    def tick(self, now: float) -> list[Action]:
        """Start the migrations that are due; note what is slow by now."""
        self._evidence.record_waiting(now, self._exchanges.values())
        return self._migrations.tick(now)

    def handle_run_migrated(
        self, now: float, event: RunMigrated
    ) -> list[Action]:
        """Record the outcome of a migration, which may have failed.

        If the attempt on the old server has ended by now, its end is
        handled here.
        """
        state = self._exchanges.get(event.request_id)
        if state is None:
            return []
        state.is_migrating = False
        state.may_be_stopped = not event.not_stopped
        state.migrated_cache = event.cache
        deferred, state.deferred_outcome = state.deferred_outcome, None
        return (
            self.handle_attempt_finished(now, deferred)
            if deferred is not None
            else []
        )
