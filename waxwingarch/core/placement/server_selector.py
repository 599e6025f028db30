"""Choice of a server for one attempt, among those that may serve it."""

from collections.abc import Callable, Collection
from dataclasses import replace
from typing import Final

from waxwingarch.core.base import Server, ServerId, ServiceId
from waxwingarch.core.cluster.items import LoadSummary
from waxwingarch.core.placement.placement_messages import (
    Outcome,
    Placement,
    PlacementRequest,
    ServerView,
)
from waxwingarch.core.request import Request
from waxwingarch.core.servers.server_registry import ServerRegistry

DEFAULT_SLOT_S: Final = 2.0

Narrow = Callable[
    [float, Request, list[ServerView], Collection[ServerId]],
    list[ServerView],
]


Subset = Callable[[ServiceId], Collection[ServerId]]


def _all_views(
    now: float,
    request: Request,
    views: list[ServerView],
    excluded: Collection[ServerId],
) -> list[ServerView]:
    return views


def _no_subset(service: ServiceId) -> Collection[ServerId]:
    return ()


class ServerSelector:
    """Keeps views of the servers and asks the placement to choose.

    `narrow` keeps those candidates of a request that a version move
    allows; `subset` names the servers that this host routes to,
    all if it is empty. Views are kept between requests and rebuilt when
    servers or loads change.
    """

    def __init__(self, servers: ServerRegistry, placement: Placement) -> None:
        self.filter_candidates: Narrow = _all_views
        self.routing_subset: Subset = _no_subset
        self._servers = servers
        self._placement = placement
        self._loads: dict[ServerId, LoadSummary] = {}
        self._load_at: dict[ServerId, float] = {}
        self._views: dict[ServiceId, list[ServerView]] = {}
        self._generation = -1

    def choose(
        self, now: float, request: Request, excluded: Collection[ServerId]
    ) -> Server | None:
        """Return a server for the next attempt, None if there is none."""
        views = self.views(request.service)
        views = self.filter_candidates(now, request, views, excluded)
        choice = self._placement.choose(
            now, _placement_request(request, excluded), views
        )
        if choice is None:
            return None
        return self._servers.get(choice.server_id)

    def views(self, service: ServiceId) -> list[ServerView]:
        """Return the servers of a service that may get new requests."""
        if self._generation != self._servers.generation:
            self._generation = self._servers.generation
            self._views.clear()
        views = self._views.get(service)
        if views is None:
            subset = self.routing_subset(service)
            views = [
                self._view(server)
                for server in self._servers.candidates(service)
                if not subset or server.server_id in subset
            ]
            self._views[service] = views
        return views

    def record_dispatch(
        self, now: float, request: Request, server: Server
    ) -> None:
        """Count an attempt that begins."""
        self._placement.record_dispatch(
            now, _placement_request(request, ()), server.server_id
        )

    def record_outcome(
        self, now: float, request: Request, outcome: Outcome
    ) -> None:
        """Count an attempt that ended."""
        self._placement.record_outcome(now, request.request_id, outcome)

    def running(self, server: Server) -> int:
        """Return the requests in progress last known on a server."""
        load = self._loads.get(server.server_id)
        if load is None or load.incarnation != server.incarnation:
            return 0
        return load.running + load.waiting

    def record_load(self, now: float, load: LoadSummary) -> None:
        """Take a load read from a server or heard from another host."""
        known = self._loads.get(load.server_id)
        order = (load.incarnation, load.as_of_ms)
        if known and order <= (known.incarnation, known.as_of_ms):
            return
        self._loads[load.server_id] = load
        self._load_at[load.server_id] = now
        self.invalidate_views()

    def set_host_count(self, hosts: int) -> None:
        """Tell how many entry hosts share the servers, this one included."""
        self._placement.set_host_count(hosts)
        self.invalidate_views()

    def invalidate_views(self) -> None:
        """Build the views anew when they are next asked for."""
        self._views.clear()

    def _view(self, server: Server) -> ServerView:
        view = ServerView(server=server, slot_s=DEFAULT_SLOT_S)
        load = self._loads.get(server.server_id)
        if load is None or load.incarnation != server.incarnation:
            return view
        return replace(
            view,
            running=load.running,
            waiting=load.waiting,
            load_at=self._load_at[server.server_id],
        )


def _placement_request(
    request: Request, excluded: Collection[ServerId]
) -> PlacementRequest:
    return PlacementRequest(
        request_id=request.request_id,
        account=request.account,
        blocks=request.prompt_blocks,
        prompt_tokens=request.prompt_tokens,
        first_token_at=request.arrived_at + request.first_token_s,
        cost_weight=request.cost_weight,
        exclude=frozenset(excluded),
    )
