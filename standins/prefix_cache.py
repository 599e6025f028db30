"""The prefix cache of the stand-in engine: a limited number of blocks."""

from collections import OrderedDict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Final

MAX_EVENTS: Final = 20_000


@dataclass(frozen=True, kw_only=True, slots=True)
class CacheEvent:
    """The addition or eviction of a block; `at` is monotonic seconds."""

    seq: int
    op: str
    block: str
    at: float

    def wire(self) -> dict[str, Any]:
        """Return the event in its wire format."""
        return {"seq": self.seq, "op": self.op, "block": self.block}


class PrefixCache:
    """Blocks by hash; the least recently used are evicted first.

    Events are published `lag_s` late, and one in `gap_every` is never
    published (0: all are). The cache publishes a sequence number for each,
    so that readers can detect the gaps.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        capacity: int,
        *,
        lag_s: float = 0.0,
        gap_every: int = 0,
    ) -> None:
        self._clock = clock
        self.capacity = capacity
        self._lag_s = lag_s
        self._gap_every = gap_every
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self._seq = 0

    def __len__(self) -> int:
        return len(self._blocks)

    def hits(self, blocks: Sequence[str]) -> int:
        """Return how many leading blocks are cached; mark them as used."""
        for number, block in enumerate(blocks):
            if block not in self._blocks:
                return number
            self._blocks.move_to_end(block)
        return len(blocks)

    def add(self, blocks: Sequence[str], reserved: int = 0) -> None:
        """Add blocks, within the capacity that isn't reserved."""
        for block in blocks:
            if block in self._blocks:
                self._blocks.move_to_end(block)
                continue
            self._blocks[block] = None
            self._publish("add", block)
        self.evict_to_fit(reserved)

    def evict_to_fit(self, reserved: int) -> None:
        """Evict blocks until cached and reserved ones fit the capacity."""
        while self._blocks and len(self) + reserved > self.capacity:
            block, _ = self._blocks.popitem(last=False)
            self._publish("evict", block)

    def clear(self) -> None:
        """Evict everything: blocks are invalid for other weights."""
        self.evict_to_fit(self.capacity)

    def _publish(self, op: str, block: str) -> None:
        self._seq += 1
        if self._gap_every and self._seq % self._gap_every == 0:
            return
        event = CacheEvent(seq=self._seq, op=op, block=block, at=self._clock())
        self._events.append(event)

    def events_after(self, seq: int) -> list[CacheEvent]:
        """Return the events that are old enough to be published."""
        visible_at = self._clock() - self._lag_s
        return [e for e in self._events if e.seq > seq and e.at <= visible_at]
