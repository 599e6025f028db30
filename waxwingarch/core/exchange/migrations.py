"""Schedules the migration of runs off leaving servers."""

from collections.abc import Mapping
from typing import Final, Protocol

from waxwingarch.core.backends.load_balancer import LoadBalancer
from waxwingarch.core.backends.registry import Backend, BackendLeaving
from waxwingarch.core.base import Action, RequestId, ServerId, ServiceId
from waxwingarch.core.exchange.exchange_messages import MigrateRun
from waxwingarch.core.exchange.state_machine import ExchangeState

# The migration of runs off a leaving server starts this long before the
# time at which the server says that it leaves.
MIGRATION_LEAD_S: Final = 0.9
# Where a server does not say when it leaves, migration starts this long
# after it was first seen to be leaving.
MIGRATION_DELAY_S: Final = 1.0
# A run that can be resumed without its KV cache does not wait for longer
# than this for the copy. Any other run is lost without the copy.
MAX_MIGRATION_S: Final = 1.0


class ResendCheck(Protocol):
    """Tells whether a request would be resent if its server fell silent."""

    def __call__(
        self, now: float, request_id: RequestId, *, response_started: bool
    ) -> bool:
        """Return whether it would; see `SilenceJudge.can_resend`."""


class RunMigrations:
    """The migrations that are due, for the exchanges in progress.

    A leaving server has to get no request later than `leaving_known_s`
    after this host knows of it.
    """

    def __init__(
        self,
        load_balancer: LoadBalancer,
        exchanges: Mapping[RequestId, ExchangeState],
        can_resend: ResendCheck,
        leaving_known_s: float,
    ) -> None:
        self._load_balancer = load_balancer
        self._exchanges = exchanges
        self._can_resend = can_resend
        self._leaving_known_s = leaving_known_s
        self._migrate_at: dict[RequestId, float] = {}

    def schedule(self, now: float, event: BackendLeaving) -> None:
        """Schedule the migration of all runs off a leaving server."""
        migrate_at = now + MIGRATION_DELAY_S
        if event.leaves_at is not None:
            migrate_at = max(now, event.leaves_at - MIGRATION_LEAD_S)
        for request_id in self._load_balancer.loads.requests_on(
            event.server.server_id
        ):
            state = self._exchanges.get(request_id)
            traits = state.exchange.traits if state else None
            if traits is not None and traits.can_migrate:
                self._migrate_at.setdefault(request_id, migrate_at)

    def forget(self, request_id: RequestId) -> None:
        """Drop the migration of an exchange that has ended."""
        self._migrate_at.pop(request_id, None)

    def tick(self, now: float) -> list[Action]:
        """Start the migrations that are due."""
        if not self._migrate_at:
            return []
        due = [r for r, at in self._migrate_at.items() if at <= now]
        actions: list[Action] = []
        for request_id in due:
            if self._is_source_silent(request_id):
                continue
            del self._migrate_at[request_id]
            actions += self._start(now, request_id)
        return actions

    def _is_source_silent(self, request_id: RequestId) -> bool:
        """Return whether the server of a run sends nothing at the moment.

        It would carry out the call late, when it has been given up.
        """
        server_id = self._load_balancer.loads.server_of(request_id)
        return server_id is not None and self._load_balancer.health.is_silent(
            server_id
        )

    def may_continue_at(self, now: float, backend: Backend) -> bool:
        """Return whether a stopped run may be sent to a server now."""
        return not self._load_balancer.registry.is_evacuated(
            backend.server
        ) and (
            backend.leaving_since is None
            or now < backend.leaving_since + self._leaving_known_s
        )

    def backend_to_return_to(
        self, now: float, service: ServiceId, server_id: ServerId
    ) -> Backend | None:
        """Return a server if a run that it may still have may go on there."""
        backend = self._load_balancer.registry.get(server_id)
        if (
            backend is None
            or backend.server.service != service
            or self._load_balancer.registry.is_superseded(server_id)
        ):
            return None
        if backend.is_usable:
            return self._load_balancer.open_backend(now, service, server_id)
        return backend if self.may_continue_at(now, backend) else None

    def _start(self, now: float, request_id: RequestId) -> list[Action]:
        """Migrate a run whose response has started, if a server can take it.

        Any other run stays on its server, as does one whose events have no
        ids: it could not go on after them. So does one whose server leaves
        no more, as its entry is back, or is in an evacuated domain, which
        gets no calls either.
        """
        state = self._exchanges.get(request_id)
        server_id = self._load_balancer.loads.server_of(request_id)
        if state is None or server_id is None or state.is_migrating:
            return []
        source = self._load_balancer.registry.get(server_id)
        exchange = state.exchange
        pick = self._load_balancer.choose(
            now, exchange, exchange.traits, {server_id}
        )
        if (
            source is None
            or source.is_usable
            or self._load_balancer.registry.is_evacuated(source.server)
            or pick is None
            or not state.response_started
            or not state.has_event_ids
        ):
            return []
        deadline = exchange.expires_at
        if self._can_resend(now, request_id, response_started=True):
            deadline = min(deadline, now + MAX_MIGRATION_S)
        state.is_migrating = state.may_be_stopped = True
        self._load_balancer.limits.take(now, server_id)
        return [
            MigrateRun(
                request_id=request_id,
                source=source.server,
                target=pick.server,
                deadline=deadline,
            )
        ]
