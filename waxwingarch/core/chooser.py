"""Choice of a server for one attempt, among those that may serve it."""

from collections.abc import Collection
from typing import Protocol

from waxwingarch.core.base import Server, ServerId
from waxwingarch.core.request import Request
from waxwingarch.core.servers import ServerBook


class Chooser(Protocol):
    """Chooses servers and learns what became of its choices."""

    def choose(
        self, now: float, request: Request, excluded: Collection[ServerId]
    ) -> Server | None:
        """Return a server for the next attempt, None if there is none."""

    def note_dispatch(
        self, now: float, request: Request, server: Server
    ) -> None:
        """Count an attempt that begins."""

    def note_done(
        self, now: float, request: Request, server: Server, *, ok: bool
    ) -> None:
        """Count an attempt that ended."""


class LeastRunning:
    """Chooses the server with the fewest attempts of this node."""

    def __init__(self, servers: ServerBook) -> None:
        self._servers = servers
        self._running: dict[ServerId, int] = {}

    def choose(
        self, now: float, request: Request, excluded: Collection[ServerId]
    ) -> Server | None:
        """Return a server for the next attempt, None if there is none."""
        candidates = [
            s
            for s in self._servers.candidates(request.service)
            if s.server_id not in excluded
        ]
        return min(candidates, key=self._order, default=None)

    def note_dispatch(
        self, now: float, request: Request, server: Server
    ) -> None:
        """Count an attempt that begins."""
        running = self._running.get(server.server_id, 0)
        self._running[server.server_id] = running + 1

    def note_done(
        self, now: float, request: Request, server: Server, *, ok: bool
    ) -> None:
        """Count an attempt that ended."""
        self._running[server.server_id] -= 1

    def _order(self, server: Server) -> tuple[float, ServerId]:
        running = self._running.get(server.server_id, 0)
        return running / max(1, server.slots), server.server_id
