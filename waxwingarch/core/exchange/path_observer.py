"""What the attempts of exchanges say about the paths to servers."""

from typing import Final

from waxwingarch.core.backends.load import ActiveAttempt
from waxwingarch.core.backends.load_balancer import LoadBalancer
from waxwingarch.core.backends.server_checks import Contact
from waxwingarch.core.base import RequestId, ServiceId
from waxwingarch.core.exchange.exchange_messages import (
    AttemptFinished,
    AttemptOutcome,
)

# Outcomes by which a server has answered, without a part of a response.
ANSWERED_OUTCOMES: Final = frozenset(
    {AttemptOutcome.REJECTED, AttemptOutcome.MISDIRECTED}
)


class PathObserver:
    """Passes answers and failures on to the judgement of the paths."""

    def __init__(self, load_balancer: LoadBalancer) -> None:
        self._load_balancer = load_balancer
        self._paths = load_balancer.paths

    def record_answer(
        self, request_id: RequestId, *, on_new_connection: bool
    ) -> None:
        """Record that the server of an attempt answers."""
        attempt = self._load_balancer.loads.attempt_of(request_id)
        if attempt is None:
            return
        backend = self._load_balancer.registry.get(attempt.server_id)
        if backend is None:
            return
        for server_id in self._paths.record_answer(
            backend.server,
            sent_at=attempt.sent_at,
            on_new_connection=on_new_connection,
        ):
            self._load_balancer.health.forget(server_id)

    def record_end(
        self, now: float, event: AttemptFinished, attempt: ActiveAttempt
    ) -> None:
        """Record the end of an attempt at a server, if it is a failure.

        A server that took a connection meanwhile is silent, but reached.
        """
        if (
            event.outcome is AttemptOutcome.SILENT
            and self._load_balancer.checks.contact(
                attempt.server_id, attempt.sent_at
            )
            is Contact.ALIVE
        ):
            return
        self._paths.record_failure(
            now,
            attempt.server_id,
            event.outcome,
            response_started=attempt.has_started,
            last_activity_at=self._load_balancer.loads.last_activity_at(
                attempt.server_id
            ),
            sent_at=attempt.sent_at,
        )

    def explains_failure(
        self, now: float, service: ServiceId, attempt: ActiveAttempt
    ) -> bool:
        """Return whether a failure says nothing about versions and inputs.

        It may come of a path that is lost, or of a brittle server.
        """
        return self._paths.explains_failure(
            service, attempt.sent_at
        ) or self._load_balancer.brittle.is_brittle(now, service)
