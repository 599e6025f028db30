"""Selects the backend server of an attempt among a service's servers."""

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

CandidateFilter = Callable[
    [float, Request, list[ServerView], Collection[ServerId]],
    list[ServerView],
]


RoutingSubset = Callable[[ServiceId], Collection[ServerId]]


def _keep_all(
    now: float,
    request: Request,
    views: list[ServerView],
    excluded: Collection[ServerId],
) -> list[ServerView]:
    return views


def _empty_subset(service: ServiceId) -> Collection[ServerId]:
    return ()


class ServerSelector:
    """Builds the candidates of an attempt and lets the placement choose.

    `filter_candidates` drops those that a version move rules out for the
    request. `routing_subset` returns the servers of a service that this
    host routes to; an empty subset stands for all of them. The views of
    the servers are cached and rebuilt when servers or loads change.
    """

    def __init__(self, servers: ServerRegistry, placement: Placement) -> None:
        self.filter_candidates: CandidateFilter = _keep_all
        self.routing_subset: RoutingSubset = _empty_subset
        self._servers = servers
        self._placement = placement
        self._loads: dict[ServerId, LoadSummary] = {}
        self._load_received_at: dict[ServerId, float] = {}
        self._views: dict[ServiceId, list[ServerView]] = {}
        self._views_generation = -1

    def choose(
        self, now: float, request: Request, excluded: Collection[ServerId]
    ) -> Server | None:
        """Return the server for the next attempt, or None if none is left.

        Servers in `excluded` are never returned.
        """
        views = self.views(request.service)
        views = self.filter_candidates(now, request, views, excluded)
        choice = self._placement.choose(
            now, _placement_request(request, excluded), views
        )
        if choice is None:
            return None
        return self._servers.get(choice.server_id)

    def views(self, service: ServiceId) -> list[ServerView]:
        """Return the candidate servers of a service with their loads."""
        if self._views_generation != self._servers.generation:
            self._views_generation = self._servers.generation
            self._views.clear()
        views = self._views.get(service)
        if views is None:
            subset = self.routing_subset(service)
            views = [
                self._build_view(server)
                for server in self._servers.candidates(service)
                if not subset or server.server_id in subset
            ]
            self._views[service] = views
        return views

    def record_dispatch(
        self, now: float, request: Request, server: Server
    ) -> None:
        """Count an attempt as in progress on a server."""
        self._placement.record_dispatch(
            now, _placement_request(request, ()), server.server_id
        )

    def record_outcome(
        self, now: float, request: Request, outcome: Outcome
    ) -> None:
        """Count an attempt as finished, with its outcome."""
        self._placement.record_outcome(now, request.request_id, outcome)

    def running(self, server: Server) -> int:
        """Return a server's last reported requests, waiting ones included.

        It is 0 until a report of the server's current incarnation arrives.
        """
        load = self._loads.get(server.server_id)
        if load is None or load.incarnation != server.incarnation:
            return 0
        return load.running + load.waiting

    def record_load(self, now: float, load: LoadSummary) -> None:
        """Keep a load report of a server unless a newer one is known.

        Reports come from the server itself or by gossip, so out of order.
        """
        known = self._loads.get(load.server_id)
        order = (load.incarnation, load.as_of_ms)
        if known and order <= (known.incarnation, known.as_of_ms):
            return
        self._loads[load.server_id] = load
        self._load_received_at[load.server_id] = now
        self.invalidate_views()

    def set_host_count(self, hosts: int) -> None:
        """Set how many entry hosts share the servers, this one included."""
        self._placement.set_host_count(hosts)
        self.invalidate_views()

    def invalidate_views(self) -> None:
        """Drop the cached views; the next use rebuilds them."""
        self._views.clear()

    def _build_view(self, server: Server) -> ServerView:
        view = ServerView(server=server, slot_s=DEFAULT_SLOT_S)
        load = self._loads.get(server.server_id)
        if load is None or load.incarnation != server.incarnation:
            return view
        return replace(
            view,
            running=load.running,
            waiting=load.waiting,
            load_at=self._load_received_at[server.server_id],
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
