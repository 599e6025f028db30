"""What this host knows of the servers, for operators."""

from dataclasses import asdict
from typing import Any, Final

from waxwingarch.core.backends.load_balancer import LoadBalancer
from waxwingarch.core.backends.registry import Backend, BackendRegistry
from waxwingarch.core.front_node import FrontNode
from waxwingarch.tasks.front_evacuations import build_evacuation_state

SERVERS_OPERATION: Final = "/admin/servers"


def build_server_state(front: FrontNode, now: float) -> dict[str, Any]:
    """Return servers, what they say of themselves, lost paths, evacuations.

    A server is superseded if a later process has its address.
    `limit_per_s` is the rate that a server named and `own_share_per_s` this
    host's part of it; both are null without a limit. `paused_s` is how long
    the server wants no requests of this host. `cold_s` is how long it is
    still cold and `cold_source` how this host learnt it; both are null if it
    is not. Peers without a path to a service are listed under its name.
    `demand` is empty but on the holder of the duties, and counts servers.
    `sums` says to which collectors this host reports, whether it is one, and
    what the sums that it got cover.
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
        "demand": front.duties.demand.state(),
        "evacuations": build_evacuation_state(front, now),
        "sums": asdict(front.sums.state(now)),
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
        "failure_domain": server.failure_domain,
        "evacuated": balancer.registry.is_evacuated(server),
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


def build_server_list(front: FrontNode) -> dict[str, Any]:
    """Return the servers as `waxwingctl servers` lists them."""
    registry = front.load_balancer.registry
    return {
        "host": front.identity.host,
        "servers": [
            {
                "server_id": backend.server.server_id,
                "service": backend.server.service,
                "version": backend.server.version,
                "state": _state_of(backend, registry),
                "failure_domain": backend.server.failure_domain,
                "machine_class": backend.server.machine_class,
                "reclaimable": backend.server.reclaimable,
                "price": backend.server.price,
                "slots": backend.server.slots,
            }
            for backend in registry.all_backends()
        ],
    }


def _state_of(backend: Backend, registry: BackendRegistry) -> str:
    if not backend.is_usable:
        return "leaving"
    return "evacuated" if registry.is_evacuated(backend.server) else "live"
