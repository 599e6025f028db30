"""Servers that are cold after a start, and take only a low rate of requests.

A host learns it from the row of a server, from a response, or assumes it of
a server that has just appeared. `ServerLimits` divides the rate among the
hosts.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from math import floor
from typing import Final

from waxwingarch.core.backends.cold_reading import ColdReading
from waxwingarch.core.backends.registry import BackendRegistry, ListingChange
from waxwingarch.core.backends.server_limits import ServerLimits
from waxwingarch.core.base import (
    Action,
    Event,
    FailureDomain,
    Server,
    ServerId,
    ServiceId,
)
from waxwingarch.core.routing.config import RoutedService

# A row may be this much older than its reading: a server writes it every
# 1.2 s, and it takes up to 2 s through the store and the peers.
ROW_DELAY_S: Final = 3.2
# While hosts learn of a change of hosts, former and new owners of the limit
# may both send. The sum over so many sets of owners is within the bound.
SETS_OF_OWNERS: Final = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class ColdBounds:
    """The bound on the requests that a cold server gets from all hosts.

    In any one second it is `overshoot` times the rate of the service, plus
    `slack` requests.
    """

    overshoot: float
    slack: float

    def usable_per_s(self, per_s: float) -> float:
        """Return the rate that keeps the bound with two sets of owners."""
        allowed = floor(per_s * self.overshoot + self.slack)
        return min(per_s, allowed // SETS_OF_OWNERS)


@dataclass(frozen=True, kw_only=True, slots=True)
class ColdStateSeen(Event):
    """A response told how long its server is still cold.

    `sent_at` is when the request of the response was sent.
    """

    server: Server
    reading: ColdReading
    sent_at: float


class ColdSource(StrEnum):
    """How this host learnt that a server is cold."""

    ROW = "row"
    RESPONSE = "response"
    APPEARED = "appeared"
    EVACUATION = "evacuation ended"


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerColdChanged(Action):
    """A server is cold for `remaining_s`, or is no longer cold if None."""

    server_id: ServerId
    remaining_s: float | None
    source: ColdSource
    own_share_per_s: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ColdValueIgnored(Action):
    """A server gave no valid time for which it is cold.

    `is_first` is set once for each server.
    """

    server_id: ServerId
    value: str
    is_first: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ColdState:
    """Until when a server is cold, on the node's clock.

    A row that is read before `rows_count_from` may have been written before
    this was learnt, and does not end it.
    """

    until: float
    source: ColdSource
    learnt_at: float
    rows_count_from: float = float("-inf")


class ColdServers:
    """The servers that are cold now, as far as this host knows."""

    def __init__(
        self,
        registry: BackendRegistry,
        limits: ServerLimits,
        bounds: ColdBounds | None = None,
    ) -> None:
        """Start without cold servers.

        Without `bounds` the rate of a service is used as it is.
        """
        self._registry = registry
        self._limits = limits
        self._bounds = bounds
        self._services: dict[ServiceId, RoutedService] = {}
        self._states: dict[ServerId, ColdState] = {}
        # Servers that were reported as cold, with the source.
        self._reported: dict[ServerId, ColdSource] = {}
        self._with_ignored_values: set[ServerId] = set()
        self._has_listing = False

    @property
    def is_in_use(self) -> bool:
        """Whether a service may have cold servers."""
        return bool(self._services)

    def state_of(self, server_id: ServerId) -> ColdState | None:
        """Return the state of a server that is cold; None if it is not."""
        if server_id not in self._reported:
            return None
        return self._states.get(server_id)

    def count(self) -> int:
        """Return how many servers are cold."""
        return len(self._reported)

    def set_services(
        self, now: float, services: Mapping[ServiceId, RoutedService]
    ) -> list[Action]:
        """Set the services of the configuration; return the changes."""
        self._services = {
            name: service
            for name, service in services.items()
            if service.cold_per_s > 0
        }
        return self._update(now, [*self._states, *self._reported])

    # Sources

    def record_listing(
        self, now: float, change: ListingChange
    ) -> list[Action]:
        """Record what the rows say that were read; return the changes.

        The servers in the first listing of this process may have run for
        long, so that only their rows make them cold.
        """
        is_first_listing = not self._has_listing
        self._has_listing = True
        actions: list[Action] = []
        for entry in change.read:
            server = entry.server
            has_appeared = (
                not is_first_listing and server.server_id in change.appeared
            )
            actions += self._note_ignored(server.server_id, entry.cold)
            self._record_row(now, server, entry.cold, has_appeared)
        return actions + self._update(
            now, [entry.server.server_id for entry in change.read]
        )

    def _record_row(
        self,
        now: float,
        server: Server,
        reading: ColdReading,
        has_appeared: bool,
    ) -> None:
        server_id, remaining_s = server.server_id, reading.remaining_s
        state = self._states.get(server_id)
        assumed_s = self._cold_start_s(server) if has_appeared else 0.0
        if remaining_s:
            until, rows_count_from = now + remaining_s, float("-inf")
            if state is not None and now < state.rows_count_from:
                until = max(until, state.until)
                rows_count_from = state.rows_count_from
            self._states[server_id] = ColdState(
                until=until,
                source=ColdSource.ROW,
                learnt_at=now,
                rows_count_from=rows_count_from,
            )
        elif state is not None and now < state.rows_count_from:
            return
        elif remaining_s is None and assumed_s > 0:
            self._states[server_id] = ColdState(
                until=now + assumed_s,
                source=ColdSource.APPEARED,
                learnt_at=now,
            )
        elif state is not None and (
            remaining_s is not None or state.source is ColdSource.ROW
        ):
            del self._states[server_id]

    def record_response(
        self, now: float, event: ColdStateSeen
    ) -> list[Action]:
        """Record what a response said; return the changes.

        That a server is not cold counts only if the request was sent after
        it was learnt that the server is.
        """
        server_id = event.server.server_id
        backend = self._registry.get(server_id)
        if (
            backend is None
            or backend.server.incarnation != event.server.incarnation
        ):
            return []
        actions = self._note_ignored(server_id, event.reading)
        remaining_s = event.reading.remaining_s
        state = self._states.get(server_id)
        if remaining_s:
            self._states[server_id] = ColdState(
                until=now + remaining_s,
                source=ColdSource.RESPONSE,
                learnt_at=now,
                rows_count_from=now + ROW_DELAY_S,
            )
        elif (
            remaining_s is not None
            and state is not None
            and event.sent_at >= state.learnt_at
        ):
            del self._states[server_id]
        return actions + self._update(now, [server_id])

    def record_evacuation_end(
        self, now: float, domain: FailureDomain
    ) -> list[Action]:
        """Assume that the servers of a failure domain are cold.

        They may have become cold shortly before, and their rows say so
        later.
        """
        found = []
        for backend in self._registry.all_backends():
            server = backend.server
            if server.failure_domain != domain:
                continue
            state = self._states.get(server.server_id)
            until = now + self._cold_start_s(server)
            if state is not None:
                until = max(until, state.until)
            if until <= now:
                continue
            self._states[server.server_id] = ColdState(
                until=until,
                source=ColdSource.EVACUATION,
                learnt_at=now,
                rows_count_from=now + ROW_DELAY_S,
            )
            found.append(server.server_id)
        return self._update(now, found)

    def _cold_start_s(self, server: Server) -> float:
        service = self._services.get(server.service)
        return service.cold_start_s if service else 0.0

    def _note_ignored(
        self, server_id: ServerId, reading: ColdReading
    ) -> list[Action]:
        if reading.ignored is None:
            return []
        is_first = server_id not in self._with_ignored_values
        self._with_ignored_values.add(server_id)
        return [
            ColdValueIgnored(
                server_id=server_id, value=reading.ignored, is_first=is_first
            )
        ]

    def forget(self, server_id: ServerId) -> None:
        """Drop the state of a server that has departed or restarted."""
        self._states.pop(server_id, None)
        self._reported.pop(server_id, None)
        self._with_ignored_values.discard(server_id)

    # Limits

    def tick(self, now: float) -> list[Action]:
        """End what is over; return the changes."""
        if not self._states:
            return []
        return self._update(now, list(self._states))

    def _update(
        self, now: float, server_ids: Iterable[ServerId]
    ) -> list[Action]:
        """Set the limits of some servers by their states."""
        actions: list[Action] = []
        for server_id in dict.fromkeys(server_ids):
            actions += self._update_limit(now, server_id)
        return actions

    def _update_limit(self, now: float, server_id: ServerId) -> list[Action]:
        state = self._states.get(server_id)
        if state is not None and now >= state.until:
            state = None
            del self._states[server_id]
        per_s = None if state is None else self._rate_of(server_id)
        self._limits.set_cold(now, server_id, per_s)
        reported = self._reported.get(server_id)
        if state is not None and per_s is not None:
            self._reported[server_id] = state.source
            if reported is not None:
                return []
            return [
                ServerColdChanged(
                    server_id=server_id,
                    remaining_s=state.until - now,
                    source=state.source,
                    own_share_per_s=self._limits.share_of(server_id),
                )
            ]
        if reported is None:
            return []
        del self._reported[server_id]
        return [
            ServerColdChanged(
                server_id=server_id, remaining_s=None, source=reported
            )
        ]

    def _rate_of(self, server_id: ServerId) -> float | None:
        """Return the rate that a cold server may get from all hosts."""
        backend = self._registry.get(server_id)
        service = (
            self._services.get(backend.server.service) if backend else None
        )
        if service is None:
            return None
        if self._bounds is None:
            return service.cold_per_s
        return self._bounds.usable_per_s(service.cold_per_s)
