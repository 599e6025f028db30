"""Assignment of duties to hosts, and of routing subsets to hosts.

Each host computes both on its own from the members and servers that it
knows, so that the hosts need no agreement protocol.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

import xxhash

from waxwingarch.core.base import FailureDomain, HostId, ServerId, ServiceId

HASH_RANGE: Final = 2.0**64
DEFAULT_SUBSET_SERVERS: Final = 40
# Greatest number of keys of which one host is the first (or the second, ...)
# choice, relative to the average over all hosts.
ASSIGN_HEADROOM: Final = 1.25


class Duty(StrEnum):
    """Duty that a few responsible hosts have for a key."""

    WATCH_SERVER = "watch-server"
    POLL_TABLE = "poll-table"
    OWN_CLAIMS = "own-claims"
    OWN_SHARES = "own-shares"
    KEEP_HAND_OVER = "keep-hand-over"


@dataclass(frozen=True, kw_only=True, slots=True)
class DutyCandidate:
    """A host that may be assigned duties, and its failure domain."""

    host_id: HostId
    failure_domain: FailureDomain


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutedServer:
    """The attributes of a backend server that routing subsets depend on."""

    server_id: ServerId
    failure_domain: FailureDomain
    service: ServiceId


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())


class DutyTable:
    """Rendezvous hashing of duties over a fixed set of hosts.

    The failure domains are ranked first, weighted by their numbers of
    hosts, and then the hosts within them. This takes few hashes per key,
    and the responsible hosts of a key are in different failure domains as
    long as there are enough.
    """

    def __init__(self, candidates: Iterable[DutyCandidate]) -> None:
        domains: dict[FailureDomain, list[HostId]] = defaultdict(list)
        for candidate in candidates:
            domains[candidate.failure_domain].append(candidate.host_id)
        self._domains = {d: sorted(domains[d]) for d in sorted(domains)}

    def responsible(
        self, key: str, duty: Duty, count: int
    ) -> tuple[HostId, ...]:
        """Return up to `count` hosts for the key, in order of preference."""
        prefix = f"{duty}\0{key}\0"
        order = self._domain_order(prefix)
        if len(order) >= count:
            order = order[:count]
        ranked = [self._ranked_hosts(prefix, domain) for domain in order]
        chosen: list[HostId] = []
        depth = 0
        while len(chosen) < count:
            layer = [hosts[depth] for hosts in ranked if len(hosts) > depth]
            if not layer:
                break
            chosen.extend(layer[: count - len(chosen)])
            depth += 1
        return tuple(chosen)

    def assign(
        self, keys: Iterable[str], duty: Duty, count: int
    ) -> dict[str, tuple[HostId, ...]]:
        """Return the responsible hosts of all keys, evenly loaded.

        Like `responsible`, but a host that is already the first (or the
        second, ...) choice of enough keys is skipped. Otherwise the few
        hosts with the most keys would bear several times the average load.
        """
        ordered = sorted(set(keys), key=lambda key: (_hash(key), key))
        hosts = sum(len(members) for members in self._domains.values())
        if not hosts:
            return dict.fromkeys(ordered, ())
        max_keys = math.ceil(len(ordered) / hosts * ASSIGN_HEADROOM)
        loads: list[Counter[HostId]] = [Counter() for _ in range(count)]
        return {
            key: self._assign_one(f"{duty}\0{key}\0", loads, max_keys)
            for key in ordered
        }

    def _assign_one(
        self, prefix: str, loads: list[Counter[HostId]], max_keys: int
    ) -> tuple[HostId, ...]:
        chosen: list[HostId] = []
        domains = iter(self._domain_order(prefix))
        for load in loads:
            host = self._first_below_limit(prefix, domains, load, max_keys)
            if host is None:
                break
            load[host] += 1
            chosen.append(host)
        return tuple(chosen)

    def _first_below_limit(
        self,
        prefix: str,
        domains: Iterator[FailureDomain],
        load: Counter[HostId],
        max_keys: int,
    ) -> HostId | None:
        """Return a host below the limit, from the next domain that has one.

        `domains` is advanced past it: the key's next host is in another.
        """
        for domain in domains:
            for host in self._ranked_hosts(prefix, domain):
                if load[host] < max_keys:
                    return host
        return None

    def is_responsible(
        self, host_id: HostId, key: str, duty: Duty, count: int
    ) -> bool:
        """Return whether the host is one of the responsible ones."""
        return host_id in self.responsible(key, duty, count)

    def _domain_order(self, prefix: str) -> list[FailureDomain]:
        return sorted(
            self._domains,
            key=lambda domain: self._domain_score(prefix, domain),
            reverse=True,
        )

    def _domain_score(self, prefix: str, domain: FailureDomain) -> float:
        # With -weight / ln(uniform), a domain is first with a probability in
        # proportion to its number of hosts.
        uniform = (_hash(prefix + domain) + 0.5) / HASH_RANGE
        log = math.log(min(uniform, 1.0 - 2.0**-53))
        return -len(self._domains[domain]) / log

    def _ranked_hosts(
        self, prefix: str, domain: FailureDomain
    ) -> list[HostId]:
        return sorted(
            self._domains[domain],
            key=lambda host: (_hash(prefix + host), host),
            reverse=True,
        )


class RoutingSubsets:
    """Bounded routing subsets, computed the same on every host.

    The servers of a service form a ring on which failure domains
    alternate. The hosts, in the order of their hashes, start at equal
    distances, and the subset of each is the next `size` servers. So any
    two servers are in the subsets of equally many hosts, give or take
    one, and a host that joins or leaves shifts the other subsets by a
    server or two only.
    """

    def __init__(
        self,
        hosts: Iterable[HostId],
        servers: Iterable[RoutedServer],
        size: int = DEFAULT_SUBSET_SERVERS,
    ) -> None:
        ordered = sorted(set(hosts), key=lambda host: (_hash(host), host))
        self._rank = {host: rank for rank, host in enumerate(ordered)}
        self._hosts = ordered
        self._size = size
        services: dict[ServiceId, list[RoutedServer]] = defaultdict(list)
        for server in servers:
            services[server.service].append(server)
        self._rings: Mapping[ServiceId, tuple[ServerId, ...]] = {
            service: _build_ring(services[service])
            for service in sorted(services)
        }
        self._position = {
            server: (service, position)
            for service, ring in self._rings.items()
            for position, server in enumerate(ring)
        }

    def subset(self, host: HostId, service: ServiceId) -> tuple[ServerId, ...]:
        """Return the servers of the service that the host routes to."""
        ring = self._rings.get(service, ())
        if len(ring) <= self._size or host not in self._rank:
            return ring[: self._size]
        start = self._start_position(self._rank[host], len(ring))
        unrolled = ring + ring
        return unrolled[start : start + self._size]

    def routing_hosts(self, server: ServerId) -> tuple[HostId, ...]:
        """Return the hosts that have the server in their subset."""
        if server not in self._position:
            return ()
        service, position = self._position[server]
        length = len(self._rings[service])
        if length <= self._size:
            return tuple(self._hosts)
        return tuple(
            host
            for rank, host in enumerate(self._hosts)
            if (position - self._start_position(rank, length)) % length
            < self._size
        )

    def _start_position(self, rank: int, length: int) -> int:
        return rank * length // len(self._hosts)


def _build_ring(servers: Sequence[RoutedServer]) -> tuple[ServerId, ...]:
    """Order servers so that the failure domains alternate evenly."""
    domains: dict[FailureDomain, list[ServerId]] = defaultdict(list)
    for server in servers:
        domains[server.failure_domain].append(server.server_id)
    placed: list[tuple[float, FailureDomain, ServerId]] = []
    for domain, members in domains.items():
        members.sort(key=lambda server: (_hash(server), server))
        for rank, server_id in enumerate(members):
            placed.append(((rank + 0.5) / len(members), domain, server_id))
    return tuple(server_id for _, _, server_id in sorted(placed))
