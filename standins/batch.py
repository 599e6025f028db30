"""Simulates the continuous batching of a model engine at given speeds.

It reads no clock: callers pass the time as `now`, in monotonic seconds.
"""

import heapq
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from standins.answers import (
    BLOCK_WORDS,
    answer_seed,
    block_hashes,
    digest_of,
    token_at,
)
from standins.prefix_cache import PrefixCache

NEVER: Final = float("inf")


class Phase(StrEnum):
    """Phases of a stream."""

    WAITING = "waiting"
    PREFILL = "prefill"
    DECODE = "decode"
    FINISHED = "finished"
    CANCELLED = "cancelled"


ENDED_PHASES: Final = frozenset({Phase.FINISHED, Phase.CANCELLED})


@dataclass(kw_only=True, slots=True, eq=False)
class Stream:
    """One answer that is being generated, or held after its end.

    `resumed` are the tokens that the caller already has; `produced` is the
    index of the next token; `total` counts all tokens, resumed ones too.
    `token_credit` is the number of decoded tokens, with a fraction, that
    aren't counted in `produced` yet.
    """

    stream_id: str
    path: str
    prompt: str
    resumed: tuple[str, ...]
    total: int
    priority: int
    produced: int = 0
    phase: Phase = Phase.WAITING
    cached_tokens: int = 0
    computed_tokens: int = 0
    tokens_to_prefill: float = 0.0
    token_credit: float = 0.0
    reserved_blocks: int = 0
    unread_since: float = NEVER
    readers: int = 0
    wake_callbacks: list[Callable[[], None]] = field(default_factory=list)
    seed: int = 0
    blocks: Sequence[str] = ()

    def __post_init__(self) -> None:
        """Start at the offset of the resumed answer."""
        self.produced = len(self.resumed)
        self.seed = answer_seed(self.prompt)
        self.blocks = block_hashes(self.words())

    def words(self) -> list[str]:
        """Return the words of the prompt and of the tokens produced."""
        tokens = [t.strip() for t in self.tokens(0, self.produced)]
        return [*self.prompt.split(), *tokens]

    def tokens(self, start: int, end: int) -> list[str]:
        """Return the tokens from index `start` up to `end`."""
        resumed_count = len(self.resumed)
        new = [
            token_at(self.seed, i)
            for i in range(max(start, resumed_count), end)
        ]
        return [*self.resumed[start:end], *new]

    def digest(self) -> str:
        """Return the digest of the complete answer."""
        return digest_of(self.tokens(0, self.total))

    @property
    def ended(self) -> bool:
        """Whether no more tokens will be produced."""
        return self.phase in ENDED_PHASES

    def notify(self) -> None:
        """Wake all readers that wait for a change."""
        waiting, self.wake_callbacks = self.wake_callbacks, []
        for wake in waiting:
            wake()


@dataclass(frozen=True, kw_only=True, slots=True)
class Speeds:
    """Speeds of an engine, in tokens a second."""

    decode: float
    prefill: float


class Batch:
    """Runs up to `slots` streams at once, admitted by priority.

    All running streams decode at the same time, each at the full decode
    speed. Prefill runs for one stream after the other. `slowdown(path)` is a
    factor on both speeds of a stream.
    """

    def __init__(
        self,
        cache: PrefixCache,
        slots: int,
        speeds: Speeds,
        *,
        slowdown: Callable[[str], float] = lambda path: 1.0,
        on_end: Callable[[Stream], None] = lambda stream: None,
    ) -> None:
        self.cache = cache
        self._slots = slots
        self._speeds = speeds
        self._slowdown = slowdown
        self._on_end = on_end
        self._queue: list[tuple[int, int, Stream]] = []
        self._last_sequence = 0
        self._running: list[Stream] = []
        self._waiting = 0
        self._reserved = 0
        self._advanced_at = 0.0

    @property
    def running(self) -> int:
        """The number of streams in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """The number of streams that wait for a slot."""
        return self._waiting

    @property
    def kv_used(self) -> int:
        """The number of blocks that running streams and the cache use."""
        return min(len(self.cache) + self._reserved, self.cache.capacity)

    def blocks_needed(self, stream: Stream) -> int:
        """Return the number of blocks that a stream needs at its end."""
        words = len(stream.prompt.split()) + stream.total
        return -(-words // BLOCK_WORDS)

    def submit(self, now: float, stream: Stream) -> None:
        """Queue a stream and admit it if it fits."""
        self.advance(now)
        self._last_sequence += 1
        self._waiting += 1
        entry = (stream.priority, self._last_sequence, stream)
        heapq.heappush(self._queue, entry)
        self._admit()

    def cancel(self, now: float, stream: Stream) -> None:
        """End a stream early; idempotent."""
        self.advance(now)
        if stream.ended:
            return
        if stream.phase is Phase.WAITING:
            self._waiting -= 1
        else:
            self._release(stream)
        self._end(stream, Phase.CANCELLED)
        self._admit()

    def advance(self, now: float) -> None:
        """Simulate prefill and decoding up to `now`."""
        elapsed_s = now - self._advanced_at
        self._advanced_at = now
        if not self._running or elapsed_s <= 0:
            return
        self._prefill(elapsed_s)
        self._decode(elapsed_s)
        self._admit()

    def seconds_until_due(self) -> float:
        """Return the seconds until the next token or end of a prefill.

        `NEVER` if no stream is running.
        """
        due = NEVER
        prefilling = False
        for stream in self._running:
            if stream.phase is Phase.DECODE:
                rate = self._speeds.decode * self._slowdown(stream.path)
                due = min(due, (1 - stream.token_credit) / rate)
            elif not prefilling:
                prefilling = True
                rate = self._speeds.prefill * self._slowdown(stream.path)
                due = min(due, stream.tokens_to_prefill / rate)
        return due

    def _admit(self) -> None:
        """Move streams from the queue into the batch while they fit."""
        while self._queue and len(self._running) < self._slots:
            stream = self._queue[0][2]
            if stream.ended:
                heapq.heappop(self._queue)
                continue
            hits = self.cache.hits(stream.blocks)
            needed = max(0, self.blocks_needed(stream) - hits)
            if self._running and self._reserved + needed > self.cache.capacity:
                return
            heapq.heappop(self._queue)
            self._start(stream, hits, needed)

    def _start(self, stream: Stream, hits: int, needed: int) -> None:
        self._waiting -= 1
        self._reserved += needed
        self.cache.evict_to_fit(self._reserved)
        stream.reserved_blocks = needed
        stream.phase = Phase.PREFILL
        stream.cached_tokens = hits * BLOCK_WORDS
        words = len(stream.prompt.split()) + len(stream.resumed)
        stream.computed_tokens = words - stream.cached_tokens
        stream.tokens_to_prefill = float(stream.computed_tokens)
        self._running.append(stream)

    def _prefill(self, elapsed_s: float) -> None:
        remaining_s = elapsed_s
        for stream in self._running:
            if stream.phase is not Phase.PREFILL:
                continue
            rate = self._speeds.prefill * self._slowdown(stream.path)
            used_s = min(remaining_s, stream.tokens_to_prefill / rate)
            stream.tokens_to_prefill -= used_s * rate
            remaining_s -= used_s
            if stream.tokens_to_prefill > 1e-6:
                return
            self._begin_decode(stream)

    def _begin_decode(self, stream: Stream) -> None:
        """Begin to decode; prefill has yielded the first token."""
        stream.phase = Phase.DECODE
        self.cache.add(stream.blocks, self._reserved)
        stream.token_credit = 1.0

    def _decode(self, elapsed_s: float) -> None:
        ended: list[Stream] = []
        for stream in self._running:
            if stream.phase is not Phase.DECODE:
                continue
            rate = self._speeds.decode * self._slowdown(stream.path)
            has_no_new_token = stream.produced == len(stream.resumed)
            stream.token_credit += (
                0.0 if has_no_new_token else elapsed_s * rate
            )
            due = int(stream.token_credit + 1e-6)
            if not due:
                continue
            stream.token_credit = max(0.0, stream.token_credit - due)
            stream.produced = min(stream.total, stream.produced + due)
            if stream.produced >= stream.total:
                ended.append(stream)
            else:
                stream.notify()
        for stream in ended:
            self._release(stream)
            self.cache.add(block_hashes(stream.words()), self._reserved)
            self._end(stream, Phase.FINISHED)

    def _release(self, stream: Stream) -> None:
        self._running.remove(stream)
        self._reserved -= stream.reserved_blocks

    def _end(self, stream: Stream, phase: Phase) -> None:
        stream.phase = phase
        self._on_end(stream)
        stream.notify()
