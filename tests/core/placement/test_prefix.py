"""Tests of the prefix index."""

import random
import tracemalloc

import testtools
import xxhash

from waxwingarch.core.base import ServerId
from waxwingarch.core.cluster.items import CacheSummary
from waxwingarch.core.placement.prefix import (
    CacheEvent,
    CacheOp,
    PrefixIndex,
    prompt_blocks,
    truncate_hash,
)

A = ServerId("a")
B = ServerId("b")


def words(count: int, start: int = 0) -> str:
    return " ".join(f"w{n}" for n in range(start, start + count))


class PromptBlocksTest(testtools.TestCase):
    def test_only_full_blocks_are_hashed_each_with_its_predecessor(
        self,
    ) -> None:
        first = xxhash.xxh3_64_hexdigest(f" {words(16)}".encode())
        text = f"{first} {words(16, 16)}"
        second = xxhash.xxh3_64_hexdigest(text.encode())
        self.assertEqual(
            (truncate_hash(first), truncate_hash(second)),
            prompt_blocks(words(47)),
        )

    def test_common_prefix_gives_common_blocks(self) -> None:
        left = prompt_blocks(words(64) + " left " + words(32))
        right = prompt_blocks(words(64) + " right " + words(32))
        self.assertEqual(left[:4], right[:4])
        self.assertNotEqual(left[4], right[4])


class PrefixIndexTest(testtools.TestCase):
    def test_match_gives_the_longest_prefix_of_each_server(self) -> None:
        index = PrefixIndex(sample_period=1)
        index.record_dispatch(A, (1, 2, 3))
        index.record_dispatch(B, (1, 2, 9))
        match = index.match((1, 2, 3, 4))
        self.assertEqual((3, 2), (match.depth(A), match.depth(B)))
        self.assertEqual([A, B], match.longest(5))
        self.assertEqual([A], match.longest(1))
        self.assertEqual(0, index.match((7, 8)).depth(A))
        self.assertEqual(0, index.match(()).depth(A))

    def test_sampled_blocks_represent_the_whole_prefix(self) -> None:
        index = PrefixIndex(sample_period=4)
        index.record_dispatch(A, (3, 4, 5, 8, 9))
        self.assertEqual(2, len(index))
        self.assertEqual(4, index.match((3, 4, 5, 8, 9, 12)).depth(A))
        self.assertEqual(2, index.match((3, 4, 5, 16)).depth(A))

    def test_gaps_are_counted_and_late_events_ignored(self) -> None:
        index = PrefixIndex(sample_period=1)
        add = CacheEvent(sequence=1, op=CacheOp.ADD, block="0f")
        evict = CacheEvent(sequence=5, op=CacheOp.EVICT, block="0f")
        self.assertEqual(0, index.apply_events(A, 1, [add]))
        self.assertEqual(1, index.match((15,)).depth(A))
        self.assertEqual(3, index.apply_events(A, 1, [evict]))
        self.assertEqual(0, index.apply_events(A, 1, [add]))
        self.assertEqual(0, index.match((15,)).depth(A))

    def test_new_incarnation_starts_empty(self) -> None:
        index = PrefixIndex(sample_period=1)
        index.apply_events(
            A, 1, [CacheEvent(sequence=9, op=CacheOp.ADD, block="0f")]
        )
        index.apply_events(
            A, 2, [CacheEvent(sequence=1, op=CacheOp.ADD, block="0e")]
        )
        self.assertEqual(0, index.match((15,)).depth(A))
        self.assertEqual(1, index.match((14,)).depth(A))
        old = CacheSummary(
            server_id=A, incarnation=1, sequence=99, blocks=(15,)
        )
        index.apply_summary(old)
        self.assertEqual(0, index.match((15,)).depth(A))

    def test_newer_summary_replaces_the_previous_one(self) -> None:
        index = PrefixIndex(sample_period=1)
        for sequence, blocks in ((1, (1, 2)), (2, (1, 3)), (1, (8,))):
            index.apply_summary(
                CacheSummary(
                    server_id=A,
                    incarnation=1,
                    sequence=sequence,
                    blocks=blocks,
                )
            )
        depths = [index.match((n,)).depth(A) for n in (1, 2, 3, 8)]
        self.assertEqual([1, 0, 1, 0], depths)
        self.assertEqual({1, 3}, set(index.summary(A).blocks))

    def test_hit_ratio_converges_to_the_results(self) -> None:
        index = PrefixIndex(sample_period=1)
        for _ in range(50):
            index.record_prefix_hit(A, predicted=4, found=1)
        self.assertAlmostEqual(0.25, index.hit_ratio(A), delta=0.01)

    def test_bits_of_removed_servers_are_reused_without_their_blocks(
        self,
    ) -> None:
        index = PrefixIndex(sample_period=1)
        for n in range(1000):
            server_id = ServerId(f"s{n}")
            index.record_dispatch(server_id, (n, n + 1))
            self.assertEqual([server_id], index.match((n + 1,)).longest(3))
            index.remove_server(server_id)
        self.assertLess(index.bit(ServerId("s999")).bit_length(), 130)
        self.assertEqual(0, index.match((999,)).depth(ServerId("s999")))

    def test_memory_is_bounded_at_600_servers(self) -> None:
        rng = random.Random(3)
        tracemalloc.start()
        index = PrefixIndex(sample_period=1)
        for n in range(20_000):
            blocks = [rng.getrandbits(32) for _ in range(10)]
            index.record_dispatch(ServerId(f"s{n % 600}"), blocks)
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        self.assertLessEqual(len(index), 16_384)
        self.assertLess(size, 8 * 1024 * 1024)
