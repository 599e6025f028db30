"""The backend servers known to a node, and their departures."""

from collections.abc import Iterable
from dataclasses import dataclass

from waxwingarch.core.base import Server, ServerId, ServiceId


@dataclass(frozen=True, kw_only=True, slots=True)
class Departure:
    """The announced departure of one incarnation of a server.

    `deadline` is when its host stops, on the node's monotonic clock.
    """

    incarnation: int
    deadline: float


class ServerRegistry:
    """Servers by id; a stale list cannot undo a departure.

    `generation` grows with each change.
    """

    def __init__(self) -> None:
        self._servers: dict[ServerId, Server] = {}
        self._departures: dict[ServerId, Departure] = {}
        self.starting: tuple[Server, ...] = ()
        self.generation = 0

    def apply_list(self, servers: Iterable[Server]) -> None:
        """Replace the servers by a list of the platform.

        The list may be stale: for a server with an older incarnation than
        the known one, the known entry stays.
        """
        updated: dict[ServerId, Server] = {}
        for server in servers:
            known = self._servers.get(server.server_id)
            is_stale = known and known.incarnation > server.incarnation
            updated[server.server_id] = known if known and is_stale else server
        if updated != self._servers:
            self.generation += 1
        self._servers = updated

    def mark_leaving(
        self, server_id: ServerId, incarnation: int, deadline: float
    ) -> bool:
        """Record a departure, or an earlier deadline of a known one.

        Returns True if the incarnation was not known to be leaving.
        """
        known = self._departures.get(server_id)
        if known and known.incarnation > incarnation:
            return False
        is_known = known is not None and known.incarnation == incarnation
        if known and is_known and deadline >= known.deadline:
            return False
        self.generation += 1
        self._departures[server_id] = Departure(
            incarnation=incarnation, deadline=deadline
        )
        return not is_known

    def departure(self, server_id: ServerId) -> Departure | None:
        """Return the departure of a server's current incarnation, if any."""
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
