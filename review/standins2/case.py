"""Runs a case, writes its record and turns its finding into an exit code."""

import asyncio
import signal
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Final

LIMIT_S: Final = 110.0
EXIT_HELD: Final = 0
EXIT_BROKEN: Final = 1
EXIT_CANNOT_RUN: Final = 2


class Record:
    """Lines about what was sent, answered and run, with their times."""

    def __init__(self, path: Path) -> None:
        """Begin an empty record."""
        self._file = path.open("w")
        self._began_at = time.monotonic()

    @property
    def elapsed_s(self) -> float:
        """The time since the record began."""
        return time.monotonic() - self._began_at

    def add(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.elapsed_s:8.3f} {text}\n")
        self._file.flush()


# Returns whether the rule was broken. The flag is False for a run without
# the disruption.
Play = Callable[[Record, bool], Awaitable[bool]]


def run(play: Play, path: Path, *, trouble: bool) -> None:
    """Play a case with its record at a path, and exit with 0, 1 or 2."""
    record = Record(path.resolve())
    record.add(f"disruption: {'yes' if trouble else 'no'}")
    try:
        is_broken = asyncio.run(_async_play(play, record, trouble))
    except (Exception, asyncio.CancelledError):
        record.add(f"cannot run:\n{traceback.format_exc()}")
        sys.exit(EXIT_CANNOT_RUN)
    record.add("broken" if is_broken else "held")
    sys.exit(EXIT_BROKEN if is_broken else EXIT_HELD)


async def _async_play(play: Play, record: Record, trouble: bool) -> bool:
    task = asyncio.current_task()
    assert task is not None
    # The processes that the case started are ended also then.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(LIMIT_S):
        return await play(record, trouble)
