"""An index of the prompt prefixes in the servers' prefix caches."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

import xxhash

from waxwingarch.core.base import ServerId
from waxwingarch.core.cluster.items import CacheSummary

BLOCK_WORDS: Final = 16
BLOCK_HASH_MASK: Final = 0xFFFFFFFF
MAX_PROMPT_BLOCKS: Final = 512
MAX_INDEX_BLOCKS: Final = 16_384
# The index keeps the blocks whose hash is divisible by this number.
BLOCK_SAMPLE_PERIOD: Final = 8
# A gossiped cache summary lists at most so many blocks of a server.
SUMMARY_BLOCKS: Final = 64
# Weight of the newest result in a server's moving average hit ratio.
HIT_RATIO_WEIGHT: Final = 0.1
# Bits of removed servers are cleared together, as that scans all blocks.
RETIRED_BITS_TO_SWEEP: Final = 64


class CacheOp(StrEnum):
    """Whether a block entered or left an engine's cache."""

    ADD = "add"
    EVICT = "evict"


@dataclass(frozen=True, kw_only=True, slots=True)
class CacheEvent:
    """A change of an engine's cache; `block` is the block's hash in hex."""

    sequence: int
    op: CacheOp
    block: str


def prompt_blocks(prompt: str) -> tuple[int, ...]:
    """Return the truncated hashes of a prompt's full blocks, in order.

    A block's hash is xxh3_64 over the previous block's hash in hex (empty
    for the first block) and the block's 16 words, joined by single spaces.
    At most `MAX_PROMPT_BLOCKS` are returned.
    """
    words = prompt.split(None, MAX_PROMPT_BLOCKS * BLOCK_WORDS)
    words = words[: MAX_PROMPT_BLOCKS * BLOCK_WORDS]
    blocks = []
    previous = ""
    for end in range(BLOCK_WORDS, len(words) + 1, BLOCK_WORDS):
        text = " ".join((previous, *words[end - BLOCK_WORDS : end]))
        previous = xxhash.xxh3_64_hexdigest(text.encode())
        blocks.append(truncate_hash(previous))
    return tuple(blocks)


def truncate_hash(block: str) -> int:
    """Return the low 32 bits of a block hash given in hex."""
    return int(block, 16) & BLOCK_HASH_MASK


class PrefixMatch:
    """How many leading blocks of one prompt each server holds.

    `holders_by_depth` pairs a prefix length in blocks with the bit mask
    of the servers whose longest match it is, longest prefix first.
    """

    def __init__(
        self, holders_by_depth: list[tuple[int, int]], index: "PrefixIndex"
    ) -> None:
        self._holders_by_depth = holders_by_depth
        self._index = index

    def depth(self, server_id: ServerId) -> int:
        """Return the length of the server's cached prefix, in blocks."""
        bit = self._index.bit(server_id)
        for depth, mask in self._holders_by_depth:
            if mask & bit:
                return depth
        return 0

    def longest(self, limit: int, *, start: int = 0) -> list[ServerId]:
        """Return up to `limit` servers with the longest cached prefixes.

        The longest come first. Among equal lengths, servers whose bit
        number is `start` or higher come first, so that a random start
        spreads the choice.
        """
        found: list[ServerId] = []
        for _, mask in self._holders_by_depth:
            upper = mask >> start << start
            for candidates in (upper, mask ^ upper):
                found += self._servers_in(candidates, limit - len(found))
        return found

    def _servers_in(self, mask: int, limit: int) -> list[ServerId]:
        found: list[ServerId] = []
        while mask and len(found) < limit:
            lowest_bit = mask & -mask
            mask ^= lowest_bit
            found.append(self._index.server_at(lowest_bit))
        return found


class PrefixIndex:
    """A bounded index of which server caches which prompt blocks.

    Each block has a bit mask of the servers that hold it, so one pass
    over a prompt's blocks matches all servers. A block's hash covers the
    prefix up to its end. It is therefore enough to keep one block in
    `sample_period`, by hash and thus the same ones on all hosts, and to
    take the deepest one that a server holds.

    Cache events arrive late and with gaps. `hit_ratio` is therefore the
    moving average of the share of a predicted prefix that a server really
    had, from the results recorded. The index keeps the `max_blocks` most
    recently used blocks.
    """

    def __init__(
        self,
        *,
        max_blocks: int = MAX_INDEX_BLOCKS,
        sample_period: int = BLOCK_SAMPLE_PERIOD,
    ) -> None:
        self._max_blocks = max_blocks
        self._sample_period = sample_period
        self._holders: OrderedDict[int, int] = OrderedDict()
        self._bits: dict[ServerId, int] = {}
        self._servers: dict[int, ServerId] = {}
        self._free_bits: list[int] = []
        self._retired_bits = 0
        self._incarnations: dict[ServerId, int] = {}
        self._last_sequences: dict[ServerId, int] = {}
        self._summaries: dict[ServerId, CacheSummary] = {}
        self._hit_ratios: dict[ServerId, float] = {}

    def __len__(self) -> int:
        return len(self._holders)

    def bit(self, server_id: ServerId) -> int:
        """Return a server's mask bit, 0 if it isn't in the index."""
        return self._bits.get(server_id, 0)

    def server_at(self, bit: int) -> ServerId:
        """Return the server to which a mask bit is assigned."""
        return self._servers[bit]

    def apply_events(
        self,
        server_id: ServerId,
        incarnation: int,
        events: Iterable[CacheEvent],
    ) -> int:
        """Apply a server's cache events; return how many were lost.

        Lost events are the gaps in the sequence numbers. Events applied
        before and those of an older incarnation are ignored.
        """
        if not self._is_current(server_id, incarnation):
            return 0
        missing_count = 0
        for event in events:
            last = self._last_sequences.get(server_id)
            if last is not None and event.sequence <= last:
                continue
            missing_count += 0 if last is None else event.sequence - last - 1
            self._last_sequences[server_id] = event.sequence
            block = truncate_hash(event.block)
            if event.op is CacheOp.ADD:
                self._add_holder(self._assign_bit(server_id), block)
            else:
                self._remove_holder(self._assign_bit(server_id), block)
        self._evict_oldest()
        return missing_count

    def apply_summary(self, summary: CacheSummary) -> None:
        """Replace a server's previous summary by a newer one of a peer.

        Summaries of an older incarnation or sequence are ignored.
        """
        server_id = summary.server_id
        if not self._is_current(server_id, summary.incarnation):
            return
        old = self._summaries.get(server_id)
        if old is not None and summary.sequence <= old.sequence:
            return
        self._summaries[server_id] = summary
        bit = self._assign_bit(server_id)
        listed_blocks = frozenset(summary.blocks)
        for block in () if old is None else old.blocks:
            if block not in listed_blocks:
                self._remove_holder(bit, block)
        for block in reversed(summary.blocks):
            self._add_holder(bit, block)
        self._evict_oldest()

    def record_dispatch(
        self, server_id: ServerId, blocks: Sequence[int]
    ) -> None:
        """Expect a prompt's blocks in the cache of the server it went to."""
        bit = self._assign_bit(server_id)
        for block in blocks:
            self._add_holder(bit, block)
        self._evict_oldest()

    def record_prefix_hit(
        self, server_id: ServerId, predicted: int, found: int
    ) -> None:
        """Update a server's hit ratio by a request's result.

        `predicted` is the length of the prefix that was expected in the
        cache, `found` the length that was there, both in the same unit.
        """
        if predicted <= 0:
            return
        observed_ratio = min(1.0, found / predicted)
        ratio = self.hit_ratio(server_id)
        self._hit_ratios[server_id] = ratio + HIT_RATIO_WEIGHT * (
            observed_ratio - ratio
        )

    def hit_ratio(self, server_id: ServerId) -> float:
        """Return the expected cached share of a predicted prefix."""
        return self._hit_ratios.get(server_id, 1.0)

    def match(self, blocks: Sequence[int]) -> PrefixMatch:
        """Match a prompt's blocks against the caches of all servers."""
        holders_by_depth: list[tuple[int, int]] = []
        holders = self._holders
        remaining = ~self._retired_bits
        for depth in range(len(blocks), 0, -1):
            block = blocks[depth - 1]
            if block % self._sample_period:
                continue
            holders_mask = remaining & holders.get(block, 0)
            if not holders_mask:
                continue
            holders.move_to_end(block)
            holders_by_depth.append((depth, holders_mask))
            remaining &= ~holders_mask
        return PrefixMatch(holders_by_depth, self)

    def summary(
        self, server_id: ServerId, limit: int = SUMMARY_BLOCKS
    ) -> CacheSummary:
        """Return a server's cached blocks for gossip, latest used first."""
        bit = self.bit(server_id)
        blocks: list[int] = []
        for block, mask in reversed(self._holders.items()):
            if len(blocks) >= limit:
                break
            if mask & bit:
                blocks.append(block)
        return CacheSummary(
            server_id=server_id,
            incarnation=self._incarnations.get(server_id, 0),
            sequence=self._last_sequences.get(server_id, 0),
            blocks=tuple(blocks),
        )

    def remove_server(self, server_id: ServerId) -> None:
        """Remove a server; its mask bit is freed at the next sweep."""
        bit = self._bits.pop(server_id, 0)
        if bit:
            self._retired_bits |= bit
        self._last_sequences.pop(server_id, None)
        self._summaries.pop(server_id, None)
        self._hit_ratios.pop(server_id, None)
        self._incarnations.pop(server_id, None)
        if self._retired_bits.bit_count() >= RETIRED_BITS_TO_SWEEP:
            self._sweep_retired_bits()

    def _is_current(self, server_id: ServerId, incarnation: int) -> bool:
        """Return whether an incarnation is the newest one known.

        A newer incarnation starts with an empty cache, so the state of
        the previous one is dropped.
        """
        known = self._incarnations.get(server_id)
        if known is not None and incarnation < known:
            return False
        if known is not None and incarnation > known:
            self.remove_server(server_id)
        self._incarnations[server_id] = incarnation
        return True

    def _assign_bit(self, server_id: ServerId) -> int:
        bit = self._bits.get(server_id)
        if bit is None:
            bit = self._free_bits.pop() if self._free_bits else self._new_bit()
            self._bits[server_id] = bit
            self._servers[bit] = server_id
        return bit

    def _new_bit(self) -> int:
        return 1 << len(self._servers)

    def _add_holder(self, bit: int, block: int) -> None:
        if block % self._sample_period:
            return
        self._holders[block] = self._holders.get(block, 0) | bit
        self._holders.move_to_end(block)

    def _remove_holder(self, bit: int, block: int) -> None:
        mask = self._holders.get(block)
        if mask is None:
            return
        if mask & ~bit:
            self._holders[block] = mask & ~bit
        else:
            del self._holders[block]

    def _evict_oldest(self) -> None:
        while len(self._holders) > self._max_blocks:
            self._holders.popitem(last=False)

    def _sweep_retired_bits(self) -> None:
        """Clear the bits of removed servers in one pass, for reuse."""
        kept_mask = ~self._retired_bits
        for block, mask in list(self._holders.items()):
            if mask & kept_mask:
                self._holders[block] = mask & kept_mask
            else:
                del self._holders[block]
        bit = 1
        while bit <= self._retired_bits:
            if self._retired_bits & bit:
                self._free_bits.append(bit)
            bit <<= 1
        self._retired_bits = 0
