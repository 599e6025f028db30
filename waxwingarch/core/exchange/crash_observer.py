"""What the outcomes of attempts say about the inputs of their requests."""

from collections.abc import Iterable

from waxwingarch.core.backends.load import ActiveAttempt
from waxwingarch.core.backends.load_balancer import LoadBalancer
from waxwingarch.core.backends.server_checks import CheckResult
from waxwingarch.core.base import ServerId
from waxwingarch.core.exchange.exchange_messages import (
    AttemptFinished,
    AttemptOutcome,
)
from waxwingarch.core.exchange.state_machine import ExchangeState
from waxwingarch.core.quarantine.quarantine import Quarantine
from waxwingarch.core.rollouts.rollout_controller import RolloutController


class CrashObserver:
    """Passes crashes and sound answers on to the quarantine."""

    def __init__(
        self,
        load_balancer: LoadBalancer,
        rollouts: RolloutController,
        quarantine: Quarantine,
    ) -> None:
        self._load_balancer = load_balancer
        self._rollouts = rollouts
        self._quarantine = quarantine

    def record_outcome(
        self,
        now: float,
        state: ExchangeState,
        event: AttemptFinished,
        attempt: ActiveAttempt,
    ) -> None:
        """Record the end of an attempt.

        A server that is leaving, or whose run was migrated, breaks its
        responses for a reason of its own. An answer without a byte, or one
        that ends with its connection, may only look complete, and says
        nothing. Nor does a broken connection whose server takes the next
        one, or one that this host closed: the process has not ended.
        """
        inputs = state.exchange.inputs
        if event.outcome is AttemptOutcome.DONE:
            if attempt.has_started and not event.ended_by_close:
                self._quarantine.record_sound(now, inputs)
            return
        backend = self._load_balancer.registry.get(attempt.server_id)
        if (
            event.outcome is AttemptOutcome.BROKEN
            and event.next_connection is not CheckResult.TAKEN
            and not event.ended_by_host
            and backend is not None
            and backend.is_usable
            and state.migrated_cache is None
        ):
            self._quarantine.record_break(
                now,
                inputs,
                backend.server,
                answered_for_s=attempt.answered_for_s(now),
                in_rollout=self._rollouts.is_under_move(backend.server),
            )

    def record_cancelled(
        self, now: float, state: ExchangeState, server_id: ServerId
    ) -> None:
        """Record an attempt with a quarantined input that was cancelled."""
        backend = self._load_balancer.registry.get(server_id)
        if backend is not None:
            self._quarantine.record_held(
                now, state.exchange.inputs, backend.server
            )

    def note_progress(
        self, now: float, states: Iterable[ExchangeState]
    ) -> None:
        """Record the answers in progress that have gone on well."""
        if not self._quarantine.needs_progress(now):
            return
        for state in states:
            exchange = state.exchange
            attempt = self._load_balancer.loads.attempt_of(exchange.request_id)
            if attempt is not None:
                self._quarantine.note_progress(
                    now,
                    exchange.inputs,
                    answered_for_s=attempt.answered_for_s(now),
                )
