"""What the attempts of requests say about the version of their server.

An answer is slow as soon as it takes longer than the limit: an attempt
that still waits is evidence before it ends. The time to the first byte is
relative to the time that was expected, as prompts and loads differ.
"""

from collections.abc import Iterable

from waxwingarch.core.backends.latency import MIN_LATENCY_S
from waxwingarch.core.backends.load import ActiveAttempt
from waxwingarch.core.backends.load_balancer import (
    PLAIN_RESPONSE_S,
    LoadBalancer,
)
from waxwingarch.core.backends.registry import Backend
from waxwingarch.core.base import Server, ServerKind
from waxwingarch.core.exchange.exchange_messages import (
    AttemptFinished,
    AttemptOutcome,
)
from waxwingarch.core.exchange.state_machine import ExchangeState
from waxwingarch.core.moves.move_counts import REST_SUFFIX, LoadBand, load_band
from waxwingarch.core.rollouts.rollout_controller import RolloutController


class AttemptEvidence:
    """Records the attempts of this host as evidence on versions."""

    def __init__(
        self, load_balancer: LoadBalancer, rollouts: RolloutController
    ) -> None:
        self._load_balancer = load_balancer
        self._rollouts = rollouts

    def record_first_byte(self, now: float, state: ExchangeState) -> None:
        """Count the time to the first byte, once for each attempt."""
        attempt = self._attempt_of(state)
        if attempt is not None and attempt.first_byte_s is not None:
            self._record_wait(now, state, attempt, is_final=True)

    def record_end(
        self,
        now: float,
        state: ExchangeState,
        event: AttemptFinished,
        attempt: ActiveAttempt,
    ) -> None:
        """Count the outcome of an attempt, and the time of a whole answer.

        Outcomes that say nothing about the version are left out: those of
        leaving servers and migrated runs, and of requests that were
        rejected or misdirected. A request that expired counts only if no
        other attempt had used up its time.
        """
        backend = self._backend_of(state, attempt)
        if backend is None or event.outcome in (
            AttemptOutcome.REJECTED,
            AttemptOutcome.MISDIRECTED,
        ):
            return
        is_expired = event.outcome is AttemptOutcome.EXPIRED
        if is_expired and len(state.tried_servers) > 1:
            return
        is_done = event.outcome is AttemptOutcome.DONE
        if is_done and attempt.first_byte_s is not None:
            self._record_rest(now, state, attempt, backend, is_final=True)
        self._rollouts.record_outcome(
            now,
            backend.server,
            state.exchange.route.name,
            ok=is_done,
            band=self._band_of(backend),
        )

    def record_waiting(
        self, now: float, states: Iterable[ExchangeState]
    ) -> None:
        """Count the attempts that already take longer than the limit."""
        if not self._rollouts.is_any_open:
            return
        for state in states:
            attempt = self._attempt_of(state)
            if attempt is None:
                continue
            if attempt.first_byte_s is None:
                self._record_wait(now, state, attempt, is_final=False)
            else:
                backend = self._backend_of(state, attempt)
                if backend is not None:
                    self._record_rest(
                        now, state, attempt, backend, is_final=False
                    )

    def _record_wait(
        self,
        now: float,
        state: ExchangeState,
        attempt: ActiveAttempt,
        *,
        is_final: bool,
    ) -> None:
        backend = self._backend_of(state, attempt)
        if backend is None or attempt.is_wait_counted:
            return
        attempt.is_wait_counted = self._rollouts.record_latency(
            now,
            backend.server,
            state.exchange.route.name,
            self._band_of(backend),
            _wait_ratio(now - attempt.sent_at, attempt, backend.server),
            is_final=is_final,
        )

    def _record_rest(
        self,
        now: float,
        state: ExchangeState,
        attempt: ActiveAttempt,
        backend: Backend,
        *,
        is_final: bool,
    ) -> None:
        if attempt.is_rest_counted or attempt.first_byte_s is None:
            return
        rest_s = now - attempt.sent_at - attempt.first_byte_s
        attempt.is_rest_counted = self._rollouts.record_latency(
            now,
            backend.server,
            state.exchange.route.name + REST_SUFFIX,
            self._band_of(backend),
            max(rest_s, MIN_LATENCY_S),
            is_final=is_final,
        )

    def _attempt_of(self, state: ExchangeState) -> ActiveAttempt | None:
        return self._load_balancer.loads.attempt_of(state.exchange.request_id)

    def _backend_of(
        self, state: ExchangeState, attempt: ActiveAttempt
    ) -> Backend | None:
        """Return the server of an attempt, if it may count as evidence."""
        backend = self._load_balancer.registry.get(attempt.server_id)
        if (
            backend is None
            or not backend.is_usable
            or state.migrated_cache is not None
            or state.is_migrating
        ):
            return None
        return backend

    def _band_of(self, backend: Backend) -> LoadBand:
        """Return the load band of a server now."""
        server = backend.server
        load = self._load_balancer.loads.total_load(server.server_id)
        return load_band(load.running, server.slots)


def _wait_ratio(
    wait_s: float, attempt: ActiveAttempt, server: Server
) -> float:
    """Return the time to the first byte relative to a usual one.

    On an engine a wait that is as expected or shorter counts as 1, so that
    errors of the expectation don't make an answer slow. What is expected
    of a plain server says nothing about its requests.
    """
    wait_s = max(wait_s, MIN_LATENCY_S)
    if server.kind is not ServerKind.ENGINE:
        return wait_s / PLAIN_RESPONSE_S
    return max(1.0, wait_s / max(attempt.expected_s, MIN_LATENCY_S))
