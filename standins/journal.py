"""The execution journal of a stand-in."""

import json
import time
from collections import deque
from pathlib import Path
from typing import Any, Final, TextIO

MAX_ENTRIES: Final = 200_000


class Journal:
    """The actions of a stand-in in order; the oldest are dropped."""

    def __init__(self) -> None:
        self._entries: deque[dict[str, Any]] = deque(maxlen=MAX_ENTRIES)
        self._last_number = 0
        self._mirror: TextIO | None = None

    def mirror_to(self, path: Path) -> None:
        """Also append each entry to a file, which survives a kill."""
        self._mirror = path.open("a", buffering=1)

    def add(self, what: str, **fields: Any) -> None:
        """Append an entry, stamped with its number and Unix seconds."""
        self._last_number += 1
        entry = {"n": self._last_number, "at": time.time(), "what": what}
        self._entries.append(entry | fields)
        if self._mirror is not None:
            self._mirror.write(json.dumps(entry | fields) + "\n")

    def after(self, number: int) -> list[dict[str, Any]]:
        """Return the entries with a number above `number`."""
        return [e for e in self._entries if e["n"] > number]
