"""Which backend server holds which prompt prefix in its cache."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

import xxhash

from waxwingarch.core.base import ServerId
from waxwingarch.core.cluster.items import CacheSummary

BLOCK_WORDS: Final = 16
BLOCK_MASK: Final = 0xFFFFFFFF
MAX_PROMPT_BLOCKS: Final = 512
MAX_INDEX_BLOCKS: Final = 16_384
BLOCK_SAMPLE: Final = 8
SUMMARY_BLOCKS: Final = 64
TRUST_STEP: Final = 0.1
RETIRED_SWEEP: Final = 64


class CacheOp(StrEnum):
    """What a cache event of an engine says about a block."""

    ADD = "add"
    EVICT = "evict"


@dataclass(frozen=True, kw_only=True, slots=True)
class CacheEvent:
    """One event of an engine's cache; `block` is its hash in hex."""

    sequence: int
    op: CacheOp
    block: str


def prompt_blocks(prompt: str) -> tuple[int, ...]:
    """Return the truncated block hashes of a prompt's full blocks.

    A block's hash is xxh3_64 over the previous hash in hex (empty for
    the first block) and 16 words, joined by single spaces. At most
    `MAX_PROMPT_BLOCKS` are returned.
    """
    words = prompt.split(None, MAX_PROMPT_BLOCKS * BLOCK_WORDS)
    words = words[: MAX_PROMPT_BLOCKS * BLOCK_WORDS]
    blocks = []
    previous = ""
    for end in range(BLOCK_WORDS, len(words) + 1, BLOCK_WORDS):
        text = " ".join((previous, *words[end - BLOCK_WORDS : end]))
        previous = xxhash.xxh3_64_hexdigest(text.encode())
        blocks.append(truncate(previous))
    return tuple(blocks)


def truncate(block: str) -> int:
    """Return the low 32 bits of a block hash given in hex."""
    return int(block, 16) & BLOCK_MASK


class PrefixMatch:
    """How many leading blocks of one prompt each server holds."""

    def __init__(
        self, levels: list[tuple[int, int]], index: "PrefixIndex"
    ) -> None:
        self._levels = levels
        self._index = index

    def depth(self, server_id: ServerId) -> int:
        """Return the length of the prefix that a server holds, in blocks."""
        bit = self._index.bit(server_id)
        for depth, mask in self._levels:
            if mask & bit:
                return depth
        return 0

    def longest(self, limit: int, *, start: int = 0) -> list[ServerId]:
        """Return the servers with the longest prefixes, longest first.

        Among equals those from bit `start` on come first, so that a
        random start spreads the choice.
        """
        found: list[ServerId] = []
        for _, mask in self._levels:
            upper = mask >> start << start
            for part in (upper, mask ^ upper):
                found += self._holders(part, limit - len(found))
        return found

    def _holders(self, mask: int, limit: int) -> list[ServerId]:
        found: list[ServerId] = []
        while mask and len(found) < limit:
            low = mask & -mask
            mask ^= low
            found.append(self._index.server_at(low))
        return found


class PrefixIndex:
    """Bounded view of the prefix caches of all servers.

    For each block a bit mask tells its holders, so that one walk over a
    prompt's blocks matches all servers. A block's hash stands for the
    whole prefix, so only one in `sample` blocks is kept, the same ones
    on all hosts, and the deepest one that a server holds counts. Events
    come late and with gaps: a server's trust, the part of the predicted
    prefix that it really had, is learnt from the results. At most
    `max_blocks` blocks are kept, those seen last.
    """

    def __init__(
        self,
        *,
        max_blocks: int = MAX_INDEX_BLOCKS,
        sample: int = BLOCK_SAMPLE,
    ) -> None:
        self._max_blocks = max_blocks
        self._sample = sample
        self._holders: OrderedDict[int, int] = OrderedDict()
        self._bits: dict[ServerId, int] = {}
        self._servers: dict[int, ServerId] = {}
        self._free_bits: list[int] = []
        self._retired = 0
        self._incarnations: dict[ServerId, int] = {}
        self._sequences: dict[ServerId, int] = {}
        self._summaries: dict[ServerId, CacheSummary] = {}
        self._trust: dict[ServerId, float] = {}

    def __len__(self) -> int:
        return len(self._holders)

    def bit(self, server_id: ServerId) -> int:
        """Return the mask bit of a server, 0 if nothing is known of it."""
        return self._bits.get(server_id, 0)

    def server_at(self, bit: int) -> ServerId:
        """Return the server that has a mask bit."""
        return self._servers[bit]

    def apply_events(
        self,
        server_id: ServerId,
        incarnation: int,
        events: Iterable[CacheEvent],
    ) -> int:
        """Take in cache events; return how many are missing before them.

        Events seen before and those of older incarnations are ignored.
        """
        if not self._is_current(server_id, incarnation):
            return 0
        missing = 0
        for event in events:
            last = self._sequences.get(server_id)
            if last is not None and event.sequence <= last:
                continue
            missing += 0 if last is None else event.sequence - last - 1
            self._sequences[server_id] = event.sequence
            block = truncate(event.block)
            if event.op is CacheOp.ADD:
                self._add(self._bit_of(server_id), block)
            else:
                self._discard(self._bit_of(server_id), block)
        self._trim()
        return missing

    def apply_summary(self, summary: CacheSummary) -> None:
        """Take in a peer's summary; it replaces the one before."""
        server_id = summary.server_id
        if not self._is_current(server_id, summary.incarnation):
            return
        old = self._summaries.get(server_id)
        if old is not None and summary.sequence <= old.sequence:
            return
        self._summaries[server_id] = summary
        bit = self._bit_of(server_id)
        listed = frozenset(summary.blocks)
        for block in () if old is None else old.blocks:
            if block not in listed:
                self._discard(bit, block)
        for block in reversed(summary.blocks):
            self._add(bit, block)
        self._trim()

    def record_dispatch(
        self, server_id: ServerId, blocks: Sequence[int]
    ) -> None:
        """Expect a prompt in the cache of the server that it went to."""
        bit = self._bit_of(server_id)
        for block in blocks:
            self._add(bit, block)
        self._trim()

    def record_prefix_hit(
        self, server_id: ServerId, predicted: int, found: int
    ) -> None:
        """Learn how many of the predicted blocks a server really had."""
        if predicted <= 0:
            return
        seen = min(1.0, found / predicted)
        trust = self.trust(server_id)
        self._trust[server_id] = trust + TRUST_STEP * (seen - trust)

    def trust(self, server_id: ServerId) -> float:
        """Return which part of a predicted prefix to count on."""
        return self._trust.get(server_id, 1.0)

    def match(self, blocks: Sequence[int]) -> PrefixMatch:
        """Find how long a prefix of a prompt each server holds."""
        levels: list[tuple[int, int]] = []
        holders = self._holders
        left = ~self._retired
        for depth in range(len(blocks), 0, -1):
            block = blocks[depth - 1]
            if block % self._sample:
                continue
            held = left & holders.get(block, 0)
            if not held:
                continue
            holders.move_to_end(block)
            levels.append((depth, held))
            left &= ~held
        return PrefixMatch(levels, self)

    def summary(
        self, server_id: ServerId, limit: int = SUMMARY_BLOCKS
    ) -> CacheSummary:
        """Summarise what a server holds, for gossip: hottest first."""
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
            sequence=self._sequences.get(server_id, 0),
            blocks=tuple(blocks),
        )

    def forget(self, server_id: ServerId) -> None:
        """Drop all that is known of a server."""
        bit = self._bits.pop(server_id, 0)
        if bit:
            self._retired |= bit
        self._sequences.pop(server_id, None)
        self._summaries.pop(server_id, None)
        self._trust.pop(server_id, None)
        self._incarnations.pop(server_id, None)
        if self._retired.bit_count() >= RETIRED_SWEEP:
            self._sweep()

    def _is_current(self, server_id: ServerId, incarnation: int) -> bool:
        """Tell whether news is of the newest incarnation known."""
        known = self._incarnations.get(server_id)
        if known is not None and incarnation < known:
            return False
        if known is not None and incarnation > known:
            self.forget(server_id)
        self._incarnations[server_id] = incarnation
        return True

    def _bit_of(self, server_id: ServerId) -> int:
        bit = self._bits.get(server_id)
        if bit is None:
            bit = self._free_bits.pop() if self._free_bits else self._next()
            self._bits[server_id] = bit
            self._servers[bit] = server_id
        return bit

    def _next(self) -> int:
        return 1 << len(self._servers)

    def _add(self, bit: int, block: int) -> None:
        if block % self._sample:
            return
        self._holders[block] = self._holders.get(block, 0) | bit
        self._holders.move_to_end(block)

    def _discard(self, bit: int, block: int) -> None:
        mask = self._holders.get(block)
        if mask is None:
            return
        if mask & ~bit:
            self._holders[block] = mask & ~bit
        else:
            del self._holders[block]

    def _trim(self) -> None:
        while len(self._holders) > self._max_blocks:
            self._holders.popitem(last=False)

    def _sweep(self) -> None:
        """Clear the bits of forgotten servers, many in one pass."""
        keep = ~self._retired
        for block, mask in list(self._holders.items()):
            if mask & keep:
                self._holders[block] = mask & keep
            else:
                del self._holders[block]
        bit = 1
        while bit <= self._retired:
            if self._retired & bit:
                self._free_bits.append(bit)
            bit <<= 1
        self._retired = 0
