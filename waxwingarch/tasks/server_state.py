"""What this host knows of the servers, for operators."""

from dataclasses import asdict
from typing import Any

from waxwingarch.core.front_node import FrontNode


def build_server_state(front: FrontNode, now: float) -> dict[str, Any]:
    """Return the servers, what they say of themselves, and the lost paths.

    A server is superseded if a later process has its address.
    `limit_per_s` is the rate that a server named and `own_share_per_s` this
    host's part of it; both are null without a limit. `paused_s` is how long
    the server wants no requests of this host. Peers without a path to a
    service are listed under its name. `sums` says to which collectors this
    host reports, whether it is one, and what the sums that it got cover.
    """
    balancer = front.load_balancer
    lost_by_peers: dict[str, list[str]] = {}
    for report in front.peers.live_reports(now):
        for service in report.lost_services:
            lost_by_peers.setdefault(service, []).append(report.host)
    servers = [
        {
            "server": backend.server.server_id,
            "service": backend.server.service,
            "version": backend.server.version,
            "leaving": not backend.is_usable,
            "superseded": balancer.registry.is_superseded(
                backend.server.server_id
            ),
            "avoided": balancer.is_avoided_here(now, backend.server.server_id),
            "brittle": balancer.brittle.is_brittle(
                now, backend.server.service
            ),
            "limit_per_s": balancer.limits.limit_of(backend.server.server_id),
            "own_share_per_s": balancer.limits.share_of(
                backend.server.server_id
            ),
            "paused_s": balancer.pauses.remaining_s(
                now, backend.server.server_id
            ),
        }
        for backend in balancer.registry.all_backends()
    ]
    return {
        "servers": servers,
        "lost_services": list(balancer.paths.lost_services()),
        "lost_by_peers": lost_by_peers,
        "sums": asdict(front.sums.state(now)),
    }
