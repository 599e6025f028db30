"""The prefix cache of the stand-in engine: blocks in limited memory."""

from collections import OrderedDict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Final

MAX_EVENTS: Final = 20_000


@dataclass(frozen=True, kw_only=True, slots=True)
class CacheEvent:
    """A block came or went; `at` is on the monotonic clock."""

    seq: int
    op: str
    block: str
    at: float

    def wire(self) -> dict[str, Any]:
        """Return the event as it is sent."""
        return {"seq": self.seq, "op": self.op, "block": self.block}


class PrefixCache:
    """Blocks by hash, the least recently used ones evicted first.

    Events are published `lag_s` late, and one in `gap_every` is never
    published (0: all are).
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
        """Return how many leading blocks are held; marks them as used."""
        for number, block in enumerate(blocks):
            if block not in self._blocks:
                return number
            self._blocks.move_to_end(block)
        return len(blocks)

    def add(self, blocks: Sequence[str], reserved: int = 0) -> None:
        """Hold blocks, within the capacity less what is reserved."""
        for block in blocks:
            if block in self._blocks:
                self._blocks.move_to_end(block)
                continue
            self._blocks[block] = None
            self._publish("add", block)
        self.shrink(reserved)

    def shrink(self, reserved: int) -> None:
        """Evict until what is held and reserved fits."""
        while self._blocks and len(self) + reserved > self.capacity:
            block, _ = self._blocks.popitem(last=False)
            self._publish("evict", block)

    def clear(self) -> None:
        """Evict everything, as new weights make all blocks useless."""
        self.shrink(self.capacity)

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
