"""Bucketed digests, by which two hosts find what one of them lacks."""

from collections.abc import Hashable, Iterable, Sequence
from typing import Final, Generic, TypeVar

import xxhash

KeyT = TypeVar("KeyT", bound=Hashable)

BUCKETS: Final = 64


class BucketDigest(Generic[KeyT]):
    """XOR of the fingerprints of all records, bucket by bucket."""

    def __init__(self) -> None:
        self._sums = [0] * BUCKETS
        self._buckets: list[dict[KeyT, int]] = [{} for _ in range(BUCKETS)]

    def put(self, key: KeyT, record: object) -> None:
        """Add or replace a record."""
        self.discard(key)
        mark = xxhash.xxh32_intdigest(repr(record).encode())
        bucket = self._bucket(key)
        self._buckets[bucket][key] = mark
        self._sums[bucket] ^= mark

    def discard(self, key: KeyT) -> None:
        """Remove a record, if it is there."""
        bucket = self._bucket(key)
        mark = self._buckets[bucket].pop(key, None)
        if mark is not None:
            self._sums[bucket] ^= mark

    def sums(self) -> tuple[int, ...]:
        """Return a 32-bit sum for each bucket."""
        return tuple(self._sums)

    def differing(self, other: Sequence[int]) -> list[int]:
        """Return the buckets whose sums differ from another host's."""
        if len(other) != BUCKETS:
            return list(range(BUCKETS))
        return [n for n in range(BUCKETS) if self._sums[n] != other[n]]

    def keys(self, buckets: Iterable[int]) -> list[KeyT]:
        """Return the keys in the given buckets."""
        return [key for bucket in buckets for key in self._buckets[bucket]]

    @staticmethod
    def _bucket(key: KeyT) -> int:
        return xxhash.xxh32_intdigest(repr(key).encode()) % BUCKETS
