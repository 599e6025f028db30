"""All exchanges in progress on this host, from arrival to the end."""

from typing import Any, Final

from waxwingarch.core.backends.load import Sent
from waxwingarch.core.backends.load_balancer import LoadBalancer, Pick
from waxwingarch.core.backends.registry import BackendLeaving
from waxwingarch.core.base import (
    Action,
    RequestId,
    Server,
    ServiceId,
)
from waxwingarch.core.exchange.exchange_admission import (
    ExchangeAdmission,
    RefusedError,
)
from waxwingarch.core.exchange.exchange_messages import (
    AbortResponse,
    AttemptFinished,
    AttemptOutcome,
    CallerDisconnected,
    ExchangeHead,
    ForwardFailure,
    LocalResponse,
    MigrateRun,
    ResponseStarted,
    RunMigrated,
    SendRequest,
)
from waxwingarch.core.exchange.state_machine import (
    ExchangeState,
    Next,
    not_served,
)
from waxwingarch.core.limits.resend_budget import ResendBudget
from waxwingarch.core.limits.shared_rate import SharedRates
from waxwingarch.core.moves.move_counts import load_band
from waxwingarch.core.randomness import RandomSource
from waxwingarch.core.rollouts.rollout_controller import RolloutController
from waxwingarch.core.routing.config import (
    EngineTraits,
    RetryPolicy,
)
from waxwingarch.core.routing.table import RoutingTable

# A request that can go elsewhere waits this many latency objectives for
# its first byte, and at least so long, before its server is given up.
PATIENCE_OBJECTIVES: Final = 2.0
SHORTEST_PATIENCE_S: Final = 0.8
# Or this many times what was expected of it: prompts that are read side by
# side slow each other.
PATIENCE_EXPECTED: Final = 3.0
# A stream is silent when nothing came for this many of the route's
# longest pauses, and at least so long.
SILENT_PAUSES: Final = 4.0
SHORTEST_SILENCE_S: Final = 1.2
# Runs are moved off a leaving server this long before it goes.
MOVE_BEFORE_S: Final = 0.9
# Where a server does not say when it goes, its runs are moved this long
# after it was seen to leave.
MOVE_AFTER_S: Final = 1.0


class ExchangeManager:
    """Accepts exchanges, sends them on, and follows each to its end."""

    def __init__(
        self,
        table: RoutingTable,
        load_balancer: LoadBalancer,
        rates: SharedRates,
        resends: ResendBudget,
        rollouts: RolloutController,
        rng: RandomSource,
    ) -> None:
        self._table = table
        self._load_balancer = load_balancer
        self._intake = ExchangeAdmission(table, rates, rng)
        self._resends = resends
        self._rollouts = rollouts
        self._open: dict[RequestId, ExchangeState] = {}
        self._moves: dict[RequestId, float] = {}

    def __len__(self) -> int:
        return len(self._open)

    def get(self, request_id: RequestId) -> ExchangeState | None:
        """Return an exchange in progress."""
        return self._open.get(request_id)

    # Arrival

    def arrived(
        self, now: float, head: ExchangeHead, arrived_at: float | None = None
    ) -> list[Action]:
        """Accept a request and send it on, or refuse it.

        `arrived_at` is given for one that had to wait.
        """
        if arrived_at is None:
            arrived_at = now
        try:
            exchange, cost = self._intake.accept(now, head, arrived_at)
        except RefusedError as exc:
            return [
                LocalResponse(request_id=head.request_id, refusal=exc.refusal)
            ]
        self._resends.count(now, exchange.service)
        state = ExchangeState(exchange=exchange)
        sent = self._send(now, state, None)
        if sent is None:
            self._intake.give_back(now, exchange, cost)
            return [
                LocalResponse(request_id=head.request_id, refusal=not_served())
            ]
        self._open[exchange.request_id] = state
        return [sent]

    # Sending

    def _send(
        self, now: float, state: ExchangeState, target: Server | None
    ) -> SendRequest | None:
        """Choose a server and send there; None if there is none."""
        exchange = state.exchange
        traits = self._traits(exchange.service)
        pick = self._pick(now, state, target, traits)
        if pick is None:
            return None
        self._load_balancer.sent(now, exchange, pick, traits)
        state.tried.add(pick.server.server_id)
        moved, state.migrated_cache = state.migrated_cache, None
        state.began = False
        return self._order(now, state, pick, moved)

    def _pick(
        self,
        now: float,
        state: ExchangeState,
        target: Server | None,
        traits: EngineTraits | None,
    ) -> Pick | None:
        if target is None:
            return self._load_balancer.choose(
                now, state.exchange, traits, state.tried
            )
        return Pick(server=target, expected_s=0.1, uncached_tokens=0)

    def _order(
        self,
        now: float,
        state: ExchangeState,
        pick: Pick,
        moved: Any,
    ) -> SendRequest:
        exchange = state.exchange
        route = exchange.route
        patience_s = max(
            SHORTEST_PATIENCE_S,
            PATIENCE_OBJECTIVES * route.latency_objective_s,
            PATIENCE_EXPECTED * pick.expected_s,
        )
        answer_by = exchange.expires_at
        if exchange.retry_policy is not RetryPolicy.NON_IDEMPOTENT:
            answer_by = min(answer_by, now + patience_s)
        silence_s = max(
            SHORTEST_SILENCE_S, SILENT_PAUSES * route.max_event_gap_s
        )
        return SendRequest(
            request_id=exchange.request_id,
            server=pick.server,
            account=exchange.account,
            priority=exchange.priority,
            expires_at=exchange.expires_at,
            first_byte_deadline=answer_by,
            stream_idle_timeout_s=silence_s,
            resume_after=state.last_event,
            migrated_cache=moved,
            fresh_connection=exchange.retry_policy
            is RetryPolicy.NON_IDEMPOTENT,
            streaming=route.streaming,
        )

    def _traits(self, service: ServiceId) -> EngineTraits | None:
        known = self._table.services.get(service)
        return known.engine if known else None

    # Progress

    def began(
        self, now: float, event: ResponseStarted
    ) -> ExchangeState | None:
        """Note the first byte; returns the state if the run is new."""
        state = self._open.get(event.request_id)
        if state is None:
            return None
        self._load_balancer.began(now, state.exchange)
        state.began = True
        if state.counted:
            return None
        state.counted = True
        return state

    def ended(self, now: float, event: AttemptFinished) -> list[Action]:
        """Take the end of an attempt."""
        state = self._open.get(event.request_id)
        if state is None:
            return []
        if event.last_event is not None:
            state.last_event = event.last_event
        if state.moving and event.outcome is AttemptOutcome.BROKEN:
            # A run that is moved is stopped first: where it goes on is
            # known when the move has ended.
            state.held_end = event
            return []
        sent = self._load_balancer.loads.ended(event.request_id)
        if sent is None:
            return self._final(state, event, state.give_up(event))
        self._judge(now, state, event, sent.server_id)
        self._record(now, state, event, sent)
        step = state.after(now, event, sent.server_id)
        if step is Next.SEND_AGAIN:
            again = self._send_again(now, state)
            if again is not None:
                return [again]
            step = state.give_up(event)
        return self._final(state, event, step)

    def _send_again(
        self, now: float, state: ExchangeState
    ) -> SendRequest | None:
        service = state.exchange.service
        if state.migrated_cache is not None:
            backend = self._load_balancer.book.get(state.migrated_cache.target)
            if backend is not None:
                return self._send(now, state, backend.server)
            state.migrated_cache = None
            return None
        if not self._resends.spend(now, service):
            return None
        return self._send(now, state, None)

    def _judge(
        self,
        now: float,
        state: ExchangeState,
        event: AttemptFinished,
        server: Any,
    ) -> None:
        """Tell the book of healthy servers how an attempt ended."""
        health = self._load_balancer.health
        if event.outcome is AttemptOutcome.DONE:
            health.ok(now, server)
        elif (
            event.outcome is AttemptOutcome.REJECTED
            or state.migrated_cache is not None
        ):
            health.given_up(server)
        elif event.outcome is AttemptOutcome.EXPIRED:
            heard_at = self._load_balancer.loads.heard_at(server)
            if state.began or heard_at > state.exchange.arrived_at:
                health.given_up(server)
            else:
                health.failed(now, server, sure=False)
        else:
            sure = event.outcome is AttemptOutcome.NOT_SENT
            health.failed(now, server, sure=sure)

    def _record(
        self,
        now: float,
        state: ExchangeState,
        event: AttemptFinished,
        sent: Sent,
    ) -> None:
        """Count an outcome that tells something of the server's version."""
        backend = self._load_balancer.book.get(sent.server_id)
        if (
            backend is None
            or not backend.usable
            or state.migrated_cache is not None
        ):
            return
        if event.outcome in (
            AttemptOutcome.REJECTED,
            AttemptOutcome.MISDIRECTED,
            AttemptOutcome.EXPIRED,
        ):
            return
        server = backend.server
        running = self._load_balancer.loads.total(server.server_id).running
        latency_s = sent.first_s
        self._rollouts.record_outcome(
            now,
            server,
            state.exchange.route.name,
            ok=event.outcome is AttemptOutcome.DONE,
            latency_s=now - sent.sent_at if latency_s is None else latency_s,
            band=load_band(running, server.slots),
        )

    def _final(
        self, state: ExchangeState, event: AttemptFinished, step: Next
    ) -> list[Action]:
        request_id = event.request_id
        del self._open[request_id]
        self._moves.pop(request_id, None)
        if step is Next.CUT:
            return [AbortResponse(request_id=request_id)]
        if step is Next.PASS_FAILURE:
            return [ForwardFailure(request_id=request_id)]
        if step is Next.REFUSE:
            refusal = state.refusal(event)
            return [LocalResponse(request_id=request_id, refusal=refusal)]
        return []

    def gone(self, now: float, event: CallerDisconnected) -> list[Action]:
        """Forget an exchange whose caller has left."""
        state = self._open.pop(event.request_id, None)
        self._moves.pop(event.request_id, None)
        sent = self._load_balancer.loads.ended(event.request_id)
        if state is not None and sent is not None:
            self._load_balancer.health.given_up(sent.server_id)
        return []

    # Leaving servers

    def leaving(self, now: float, event: BackendLeaving) -> list[Action]:
        """Plan the moves of runs off a server that leaves."""
        server = event.server
        traits = self._traits(server.service)
        if traits is None or not traits.can_migrate:
            return []
        at = now + MOVE_AFTER_S
        if event.leaves_at is not None:
            at = max(now, event.leaves_at - MOVE_BEFORE_S)
        for request_id in self._load_balancer.loads.requests_on(
            server.server_id
        ):
            self._moves.setdefault(request_id, at)
        return []

    def tick(self, now: float) -> list[Action]:
        """Start the moves that are due."""
        if not self._moves:
            return []
        due = [r for r, at in self._moves.items() if at <= now]
        actions: list[Action] = []
        for request_id in due:
            del self._moves[request_id]
            actions += self._move(now, request_id)
        return actions

    def _move(self, now: float, request_id: RequestId) -> list[Action]:
        state = self._open.get(request_id)
        server_id = self._load_balancer.loads.on_server(request_id)
        if state is None or server_id is None or state.moving:
            return []
        source = self._load_balancer.book.get(server_id)
        traits = self._traits(state.exchange.service)
        pick = self._load_balancer.choose(
            now, state.exchange, traits, {server_id}
        )
        if source is None or pick is None or not state.began:
            return []
        state.moving = True
        return [
            MigrateRun(
                request_id=request_id,
                source=source.server,
                target=pick.server,
            )
        ]

    def run_moved(self, now: float, event: RunMigrated) -> list[Action]:
        """Take the outcome of a move; the stream's end follows it."""
        state = self._open.get(event.request_id)
        if state is None:
            return []
        state.moving = False
        state.migrated_cache = event.cache
        held, state.held_end = state.held_end, None
        return self.ended(now, held) if held is not None else []
