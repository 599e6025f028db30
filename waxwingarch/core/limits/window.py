"""Sums over a sliding window."""

from collections import deque
from typing import Final

# Entries closer together than this are kept as one, a part of the window.
SLOTS_PER_WINDOW: Final = 64


class WindowSum:
    """The sum of what was added during the last `window_s` seconds.

    An entry counts for up to one slot longer than the window, never
    shorter.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._slot_s = window_s / SLOTS_PER_WINDOW
        self._entries: deque[list[float]] = deque()
        self._sum = 0.0

    def add(self, now: float, amount: float) -> None:
        """Add an amount at a time that never goes back."""
        self._sum += amount
        if self._entries and now - self._entries[-1][0] < self._slot_s:
            self._entries[-1][1] += amount
            return
        self._entries.append([now, amount])

    def total(self, now: float) -> float:
        """Return the sum over the window that ends now."""
        begin = now - self._window_s - self._slot_s
        while self._entries and self._entries[0][0] < begin:
            self._sum -= self._entries.popleft()[1]
        return self._sum if self._entries else 0.0

    def scale(self, factor: float) -> None:
        """Multiply all that was added so far."""
        for entry in self._entries:
            entry[1] *= factor
        self._sum *= factor

    def wait_s(self, now: float, surplus: float) -> float:
        """Return how long until `surplus` has left the window."""
        left = surplus
        for at, amount in self._entries:
            left -= amount
            if left <= 0:
                return max(0.0, at + self._window_s + self._slot_s - now)
        return self._window_s
