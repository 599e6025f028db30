"""Own dispatches that a lagging load report does not show yet."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Final

from waxwingarch.core.base import RequestId, ServerId
from waxwingarch.core.placement.placement_messages import ServerView

MAX_ENDED: Final = 128
PEER_FRACTION: Final = 0.5


@dataclass(kw_only=True, slots=True)
class _Own:
    """Requests of this host on one server, by time of dispatch."""

    running: OrderedDict[RequestId, float] = field(default_factory=OrderedDict)
    ended: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_ENDED)
    )


class OwnLoad:
    """Corrects reported loads by what this host did since the report.

    `peers` is how many hosts send requests to the same servers. They
    are taken to do as this one does: what it sent stands for what all
    sent, though for less than all of it, as one host's picture of the
    others is noisy.
    """

    def __init__(self) -> None:
        self.peers = 1
        self._servers: dict[ServerId, _Own] = {}
        self._places: dict[RequestId, ServerId] = {}

    def start(
        self, now: float, request_id: RequestId, server_id: ServerId
    ) -> None:
        """Count a request as sent to a server."""
        self.end(now, request_id)
        self._places[request_id] = server_id
        own = self._servers.setdefault(server_id, _Own())
        own.running[request_id] = now

    def end(self, now: float, request_id: RequestId) -> ServerId | None:
        """Count a request as ended; return the server it was on."""
        server_id = self._places.pop(request_id, None)
        if server_id is None:
            return None
        own = self._servers[server_id]
        own.ended.append((own.running.pop(request_id), now))
        return server_id

    def estimate(self, view: ServerView) -> float:
        """Return how many requests a server has by now, as far as known."""
        reported = view.running + view.waiting
        own = self._servers.get(view.server.server_id)
        if own is None:
            return float(reported)
        return float(max(len(own.running), reported + self._unseen(own, view)))

    def _unseen(self, own: _Own, view: ServerView) -> float:
        return _unseen(own, view) * max(1.0, self.peers * PEER_FRACTION)

    def forget(self, server_id: ServerId) -> None:
        """Drop what is known of a server that is gone."""
        own = self._servers.pop(server_id, None)
        for request_id in () if own is None else own.running:
            self._places.pop(request_id, None)


def _unseen(own: _Own, view: ServerView) -> int:
    """Return by how much the load has changed since it was reported."""
    unseen = 0
    for started_at in reversed(own.running.values()):
        if started_at <= view.load_at:
            break
        unseen += 1
    for started_at, ended_at in reversed(own.ended):
        if ended_at <= view.load_at:
            break
        if started_at <= view.load_at:
            unseen -= 1
    return unseen
