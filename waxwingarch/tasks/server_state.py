"""What this host knows of the servers, for operators."""

from typing import Any

from waxwingarch.core.backends.load_balancer import LoadBalancer
from waxwingarch.core.backends.registry import Backend
from waxwingarch.core.front_node import FrontNode


def build_server_state(front: FrontNode, now: float) -> dict[str, Any]:
    """Return the servers, what they say of themselves, and the lost paths.

    A server is superseded if a later process has its address.
    `limit_per_s` is the rate that a server named and `own_share_per_s` this
    host's part of it; both are null without a limit. `paused_s` is how long
    the server wants no requests of this host. `cold_s` is how long it is
    still cold and `cold_source` how this host learnt it; both are null if it
    is not. Peers without a path to a service are listed under its name.
    """
    balancer = front.load_balancer
    lost_by_peers: dict[str, list[str]] = {}
    for report in front.peers.live_reports(now):
        for service in report.lost_services:
            lost_by_peers.setdefault(service, []).append(report.host)
    servers = [
        _build_entry(balancer, backend, now)
        for backend in balancer.registry.all_backends()
    ]
    return {
        "servers": servers,
        "lost_services": list(balancer.paths.lost_services()),
        "lost_by_peers": lost_by_peers,
    }


def _build_entry(
    balancer: LoadBalancer, backend: Backend, now: float
) -> dict[str, Any]:
    server = backend.server
    server_id = server.server_id
    cold = balancer.cold.state_of(server_id)
    return {
        "server": server_id,
        "service": server.service,
        "version": server.version,
        "leaving": not backend.is_usable,
        "superseded": balancer.registry.is_superseded(server_id),
        "avoided": balancer.is_avoided_here(now, server_id),
        "brittle": balancer.brittle.is_brittle(now, server.service),
        "limit_per_s": balancer.limits.limit_of(server_id),
        "own_share_per_s": balancer.limits.share_of(server_id),
        "cold_s": None if cold is None else max(0.0, cold.until - now),
        "cold_source": None if cold is None else cold.source.value,
        "paused_s": balancer.pauses.remaining_s(now, server_id),
    }
