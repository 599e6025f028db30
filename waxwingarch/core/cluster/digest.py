"""Digests by which two hosts find the records that one of them lacks."""

from collections.abc import Hashable, Iterable, Sequence
from typing import Final, Generic, TypeVar

import xxhash

KeyT = TypeVar("KeyT", bound=Hashable)

BUCKET_COUNT: Final = 64


class BucketDigest(Generic[KeyT]):
    """XOR of the fingerprints of all records, bucket by bucket.

    Hosts compare these sums, and both the bucket and the fingerprint are
    hashes of a `repr`: the names of the key and record classes and of
    their fields are therefore part of the protocol between hosts.
    """

    def __init__(self) -> None:
        self._sums = [0] * BUCKET_COUNT
        self._buckets: list[dict[KeyT, int]] = [
            {} for _ in range(BUCKET_COUNT)
        ]

    def put(self, key: KeyT, record: object) -> None:
        """Add or replace a record."""
        self.discard(key)
        fingerprint = xxhash.xxh32_intdigest(repr(record).encode())
        bucket = self._bucket(key)
        self._buckets[bucket][key] = fingerprint
        self._sums[bucket] ^= fingerprint

    def discard(self, key: KeyT) -> None:
        """Remove a record, if it is there."""
        bucket = self._bucket(key)
        fingerprint = self._buckets[bucket].pop(key, None)
        if fingerprint is not None:
            self._sums[bucket] ^= fingerprint

    def sums(self) -> tuple[int, ...]:
        """Return the 32-bit sum of each bucket."""
        return tuple(self._sums)

    def differing(self, other: Sequence[int]) -> list[int]:
        """Return the buckets whose sums differ from another host's."""
        if len(other) != BUCKET_COUNT:
            return list(range(BUCKET_COUNT))
        return [n for n in range(BUCKET_COUNT) if self._sums[n] != other[n]]

    def keys(self, buckets: Iterable[int]) -> list[KeyT]:
        """Return the keys in the given buckets."""
        return [key for bucket in buckets for key in self._buckets[bucket]]

    @staticmethod
    def _bucket(key: KeyT) -> int:
        return xxhash.xxh32_intdigest(repr(key).encode()) % BUCKET_COUNT
