"""Sums over a sliding window."""

from collections import deque
from typing import Final

# A window is divided into this many slots. Amounts that are added within
# one slot are stored as one entry.
SLOTS_PER_WINDOW: Final = 64


class WindowSum:
    """The sum of the amounts added in the last `window_s` seconds.

    An entry counts for at least the window, and for up to one slot
    longer.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._slot_s = window_s / SLOTS_PER_WINDOW
        self._entries: deque[list[float]] = deque()
        self._sum = 0.0

    def add(self, now: float, amount: float) -> None:
        """Add an amount; `now` must not decrease between calls."""
        self._sum += amount
        if self._entries and now - self._entries[-1][0] < self._slot_s:
            self._entries[-1][1] += amount
            return
        self._entries.append([now, amount])

    def total(self, now: float) -> float:
        """Return the sum over the window that ends now."""
        oldest_at = now - self._window_s - self._slot_s
        while self._entries and self._entries[0][0] < oldest_at:
            self._sum -= self._entries.popleft()[1]
        return self._sum if self._entries else 0.0

    def scale(self, factor: float) -> None:
        """Multiply all amounts in the window by a factor."""
        for entry in self._entries:
            entry[1] *= factor
        self._sum *= factor

    def wait_s(self, now: float, surplus: float) -> float:
        """Return the time until amounts of at least `surplus` have expired."""
        remaining = surplus
        for at, amount in self._entries:
            remaining -= amount
            if remaining <= 0:
                return max(0.0, at + self._window_s + self._slot_s - now)
        return self._window_s
