"""Ranks of hosts for a task, on which hosts with the same peers agree."""

from collections.abc import Iterable
from functools import lru_cache
from typing import Final

import xxhash

from waxwingarch.core.base import HostId

# Bounds the cache of weights: it holds those of a large fleet for some
# dozens of tasks.
MAX_CACHED_WEIGHTS: Final = 8192


@lru_cache(maxsize=MAX_CACHED_WEIGHTS)
def rank_weight(host: HostId, task: str) -> int:
    """Return the hash by which a host is ranked for a task."""
    return int(xxhash.xxh3_64_intdigest(f"{host}{task}".encode()))


def rank_of(host: HostId, others: Iterable[HostId], task: str) -> int:
    """Return a host's rank among others for a task, 0 being the first."""
    own_weight = rank_weight(host, task)
    return sum(rank_weight(other, task) > own_weight for other in others)
