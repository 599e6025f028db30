"""Ranks of hosts for a task, on which hosts with the same peers agree."""

from collections.abc import Iterable
from functools import lru_cache
from typing import Final

import xxhash

from waxwingarch.core.base import HostId

# Bounds the cache of weights: it holds those of a large fleet for some
# dozens of tasks.
MAX_CACHED_WEIGHTS: Final = 8192
# Weights are below this.
WEIGHT_RANGE: Final = 2**64


@lru_cache(maxsize=MAX_CACHED_WEIGHTS)
def rank_weight(host: HostId, task: str) -> int:
    """Return the hash by which a host is ranked for a task."""
    return int(xxhash.xxh3_64_intdigest(f"{host}{task}".encode()))


def rank_of(host: HostId, others: Iterable[HostId], task: str) -> int:
    """Return a host's rank among others for a task, 0 being the first."""
    own_weight = rank_weight(host, task)
    return sum(rank_weight(other, task) > own_weight for other in others)


class HostRanks:
    """This host's ranks among the hosts that serve, for several tasks.

    `heard_ratio` is the share of the known hosts that this host hears of.
    `fleet_ratio` counts also the hosts that only the store lists, and is 0
    before any host is known.
    """

    def __init__(self, own_host: HostId) -> None:
        self._own_host = own_host
        self._ranks: dict[str, int] = {}
        self.hosts: frozenset[HostId] = frozenset((own_host,))
        self.heard_ratio = 1.0
        self.fleet_ratio = 0.0

    def set_hosts(
        self,
        hosts: frozenset[HostId],
        heard_ratio: float,
        fleet_ratio: float = 0.0,
    ) -> None:
        """Set the hosts that serve; this one is missing while it stops."""
        self.heard_ratio = heard_ratio
        self.fleet_ratio = fleet_ratio
        if hosts != self.hosts or len(self._ranks) > MAX_CACHED_WEIGHTS:
            self.hosts = hosts
            self._ranks.clear()

    def rank(self, task: str) -> int | None:
        """Return this host's rank, 0 being the first; None if it stops."""
        if self._own_host not in self.hosts:
            return None
        rank = self._ranks.get(task)
        if rank is None:
            rank = rank_of(self._own_host, self.hosts, task)
            self._ranks[task] = rank
        return rank

    def own_fraction(self, task: str) -> float:
        """Return a number from 0 up to 1, by a hash of this host and a task.

        It does not depend on the other hosts.
        """
        return rank_weight(self._own_host, f"{task}/phase") / WEIGHT_RANGE
