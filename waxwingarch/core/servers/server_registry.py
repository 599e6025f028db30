"""The backend servers known to a node; leaving ones stay leaving."""

from collections.abc import Iterable
from dataclasses import dataclass

from waxwingarch.core.base import Server, ServerId, ServiceId


@dataclass(frozen=True, kw_only=True, slots=True)
class Departure:
    """An incarnation that is leaving, and when its host goes.

    `deadline` is on the node's monotonic clock.
    """

    incarnation: int
    deadline: float


class ServerRegistry:
    """Servers by id, with departures that a stale list cannot undo.

    `generation` grows with each change.
    """

    def __init__(self) -> None:
        self._servers: dict[ServerId, Server] = {}
        self._departures: dict[ServerId, Departure] = {}
        self.starting: tuple[Server, ...] = ()
        self.generation = 0

    def apply_list(self, servers: Iterable[Server]) -> None:
        """Take a list from the platform, which may be stale.

        An entry of an older incarnation than the known one is ignored.
        """
        fresh: dict[ServerId, Server] = {}
        for server in servers:
            known = self._servers.get(server.server_id)
            stale = known and known.incarnation > server.incarnation
            fresh[server.server_id] = known if known and stale else server
        if fresh != self._servers:
            self.generation += 1
        self._servers = fresh

    def mark_leaving(
        self, server_id: ServerId, incarnation: int, deadline: float
    ) -> bool:
        """Mark an incarnation as leaving; True when that is news."""
        known = self._departures.get(server_id)
        if known and known.incarnation > incarnation:
            return False
        again = known is not None and known.incarnation == incarnation
        if known and again and deadline >= known.deadline:
            return False
        self.generation += 1
        self._departures[server_id] = Departure(
            incarnation=incarnation, deadline=deadline
        )
        return not again

    def departure(self, server_id: ServerId) -> Departure | None:
        """Return the departure of a server's present incarnation."""
        server = self._servers.get(server_id)
        departure = self._departures.get(server_id)
        if server is None or departure is None:
            return departure
        if departure.incarnation < server.incarnation:
            return None
        return departure

    def get(self, server_id: ServerId) -> Server | None:
        """Return a server by id."""
        return self._servers.get(server_id)

    def all(self) -> list[Server]:
        """Return all servers in the order of their ids."""
        return [self._servers[k] for k in sorted(self._servers)]

    def candidates(self, service: ServiceId) -> list[Server]:
        """Return the servers of a service that may get new requests."""
        return [
            server
            for server in self._servers.values()
            if server.service == service
            and self.departure(server.server_id) is None
        ]
