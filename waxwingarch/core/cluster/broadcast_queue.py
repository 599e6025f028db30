"""Queue of changed records that gossip still has to spread."""

import math
from enum import IntEnum
from typing import Final, Generic, TypeVar

KeyT = TypeVar("KeyT")

# Sends of one record by one host, per natural logarithm of the hosts.
SENDS_PER_LOG_HOSTS: Final = 2.0
# Urgent records are few, and even the last host should learn them soon.
URGENT_SENDS_FACTOR: Final = 2
# No record is smaller: a datagram with less room than this is full.
MIN_RECORD_BYTES: Final = 6


class Urgency(IntEnum):
    """Order in which records are sent; the lowest value goes first."""

    URGENT = 0
    MEMBER = 1
    VOLATILE = 2


def send_limit(hosts: int) -> int:
    """Return how often each of `hosts` hosts sends a record.

    A record reaches all hosts in a number of gossip rounds that grows
    with the logarithm of their number, so the limit does too.
    """
    return math.ceil(SENDS_PER_LOG_HOSTS * math.log(hosts + 1)) + 1


class BroadcastQueue(Generic[KeyT]):
    """Records waiting to be broadcast, the least often sent first."""

    def __init__(self) -> None:
        # A list of buckets per urgency, indexed by the sends so far; each
        # bucket maps a key to the size of its record in bytes.
        self._buckets: dict[Urgency, list[dict[KeyT, int]]] = {
            urgency: [] for urgency in Urgency
        }
        self._positions: dict[KeyT, tuple[Urgency, int]] = {}

    def __len__(self) -> int:
        """Return how many records are queued."""
        return len(self._positions)

    def put(self, key: KeyT, urgency: Urgency, size_bytes: int) -> None:
        """Queue a new or changed record and reset its count of sends."""
        self.discard(key)
        self._insert(key, urgency, 0, size_bytes)

    def discard(self, key: KeyT) -> None:
        """Remove a record from the queue, if it is there."""
        position = self._positions.pop(key, None)
        if position is not None:
            urgency, sends = position
            del self._buckets[urgency][sends][key]

    def record_duplicate(self, key: KeyT, limit: int) -> None:
        """Count a record that a peer sent unchanged as sent once more.

        Urgent records are not counted: they are worth the additional
        datagrams.
        """
        position = self._positions.get(key)
        if position is not None and position[0] is not Urgency.URGENT:
            urgency, sends = position
            self._count_send(key, self._buckets[urgency][sends][key], limit)

    def has_pending(self, urgency: Urgency) -> bool:
        """Return whether any record of this urgency is queued."""
        return any(self._buckets[urgency])

    def select(
        self,
        budget_bytes: int,
        limit: int,
        least_urgent: Urgency = Urgency.VOLATILE,
    ) -> list[KeyT]:
        """Choose the records of one datagram and count them as sent.

        Records less urgent than `least_urgent` are left out. A record is
        removed after `limit` sends, an urgent one after twice as many.
        """
        chosen: list[tuple[KeyT, int]] = []
        remaining_bytes = budget_bytes
        for urgency in Urgency:
            if urgency > least_urgent:
                break
            remaining_bytes = self._select_from(
                urgency, remaining_bytes, chosen
            )
        for key, size_bytes in chosen:
            self._count_send(key, size_bytes, limit)
        return [key for key, _ in chosen]

    def _select_from(
        self,
        urgency: Urgency,
        remaining_bytes: int,
        chosen: list[tuple[KeyT, int]],
    ) -> int:
        """Add the records that fit to `chosen`; return the bytes left."""
        for bucket in self._buckets[urgency]:
            for key, size_bytes in bucket.items():
                if remaining_bytes < MIN_RECORD_BYTES:
                    return remaining_bytes
                if size_bytes > remaining_bytes:
                    continue
                chosen.append((key, size_bytes))
                remaining_bytes -= size_bytes
        return remaining_bytes

    def _count_send(self, key: KeyT, size_bytes: int, limit: int) -> None:
        urgency, sends = self._positions[key]
        self.discard(key)
        if urgency is Urgency.URGENT:
            limit *= URGENT_SENDS_FACTOR
        if sends + 1 < limit:
            self._insert(key, urgency, sends + 1, size_bytes)

    def _insert(
        self, key: KeyT, urgency: Urgency, sends: int, size_bytes: int
    ) -> None:
        buckets = self._buckets[urgency]
        while len(buckets) <= sends:
            buckets.append({})
        buckets[sends][key] = size_bytes
        self._positions[key] = (urgency, sends)
