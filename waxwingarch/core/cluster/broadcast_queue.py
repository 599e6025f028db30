"""Which records go into the next datagram of gossip."""

import math
from enum import IntEnum
from typing import Final, Generic, TypeVar

KeyT = TypeVar("KeyT")

SENDS_FACTOR: Final = 2.0
# Urgent records are few, and the last host to hear should be soon.
URGENT_FACTOR: Final = 2
SMALLEST_RECORD_BYTES: Final = 6


class Urgency(IntEnum):
    """Order in which records are sent; the lowest goes first."""

    URGENT = 0
    MEMBER = 1
    VOLATILE = 2


def send_limit(hosts: int) -> int:
    """Return how often a host passes a record on among so many hosts."""
    return math.ceil(SENDS_FACTOR * math.log(hosts + 1)) + 1


class BroadcastQueue(Generic[KeyT]):
    """Records waiting to be passed on, the least often sent first."""

    def __init__(self) -> None:
        # Per urgency a list of buckets; the index is the sends so far.
        self._buckets: dict[Urgency, list[dict[KeyT, int]]] = {
            urgency: [] for urgency in Urgency
        }
        self._places: dict[KeyT, tuple[Urgency, int]] = {}

    def __len__(self) -> int:
        """Return how many records wait."""
        return len(self._places)

    def put(self, key: KeyT, urgency: Urgency, size_bytes: int) -> None:
        """Queue a new or changed record; its sends start again."""
        self.discard(key)
        self._insert(key, urgency, 0, size_bytes)

    def discard(self, key: KeyT) -> None:
        """Drop a record that is not worth sending any more."""
        place = self._places.pop(key, None)
        if place is not None:
            urgency, sends = place
            del self._buckets[urgency][sends][key]

    def heard(self, key: KeyT, limit: int) -> None:
        """Count a record that a peer already knows as sent once.

        Not so urgent ones: those are worth more datagrams.
        """
        place = self._places.get(key)
        if place is not None and place[0] is not Urgency.URGENT:
            urgency, sends = place
            self._count(key, self._buckets[urgency][sends][key], limit)

    def pending(self, urgency: Urgency) -> bool:
        """Tell whether any record of this urgency waits."""
        return any(self._buckets[urgency])

    def select(
        self, budget_bytes: int, limit: int, last: Urgency = Urgency.VOLATILE
    ) -> list[KeyT]:
        """Take records for one datagram and count them as sent.

        Records less urgent than `last` are left out; those sent `limit`
        times, urgent ones twice as often, are dropped.
        """
        chosen: list[tuple[KeyT, int]] = []
        left = budget_bytes
        for urgency in Urgency:
            if urgency > last:
                break
            left = self._fill(urgency, left, chosen)
        for key, size in chosen:
            self._count(key, size, limit)
        return [key for key, _ in chosen]

    def _fill(
        self, urgency: Urgency, left: int, chosen: list[tuple[KeyT, int]]
    ) -> int:
        for bucket in self._buckets[urgency]:
            for key, size in bucket.items():
                if left < SMALLEST_RECORD_BYTES:
                    return left
                if size > left:
                    continue
                chosen.append((key, size))
                left -= size
        return left

    def _count(self, key: KeyT, size: int, limit: int) -> None:
        urgency, sends = self._places[key]
        self.discard(key)
        if urgency is Urgency.URGENT:
            limit *= URGENT_FACTOR
        if sends + 1 < limit:
            self._insert(key, urgency, sends + 1, size)

    def _insert(
        self, key: KeyT, urgency: Urgency, sends: int, size: int
    ) -> None:
        buckets = self._buckets[urgency]
        while len(buckets) <= sends:
            buckets.append({})
        buckets[sends][key] = size
        self._places[key] = (urgency, sends)
