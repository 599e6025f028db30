"""The execution journal of a stand-in."""

import time
from collections import deque
from typing import Any, Final

MAX_ENTRIES: Final = 200_000


class Journal:
    """What a stand-in did, in order; the oldest entries are dropped."""

    def __init__(self) -> None:
        self._entries: deque[dict[str, Any]] = deque(maxlen=MAX_ENTRIES)
        self._number = 0

    def add(self, what: str, **fields: Any) -> None:
        """Append an entry, stamped with its number and Unix seconds."""
        self._number += 1
        entry = {"n": self._number, "at": time.time(), "what": what}
        self._entries.append(entry | fields)

    def after(self, number: int) -> list[dict[str, Any]]:
        """Return the entries with a number above `number`."""
        return [e for e in self._entries if e["n"] > number]
