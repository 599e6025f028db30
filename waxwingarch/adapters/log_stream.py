"""Rate-limited JSON log lines on a stream that never blocks."""

import os
import time
from collections import Counter
from collections.abc import Callable, Mapping
from enum import StrEnum
from typing import Any, Final

import orjson

KIND_FIELD: Final = "message_type"
# Writes of up to this many bytes to a pipe are atomic (PIPE_BUF).
MAX_LINE_BYTES: Final = 4096
# The fields left in a line that would exceed `MAX_LINE_BYTES`.
TRUNCATED_LINE_FIELDS: Final = ("timestamp", "host", "request_id")
SUMMARY_INTERVAL_S: Final = 1.0


class Level(StrEnum):
    """The lowest severity of lines that are written."""

    INFO = "info"
    NOTICE = "notice"
    OFF = "off"


# Lines about requests that succeed have level info, all others notice.
_INFO_KINDS: Final = frozenset({"dispatched"})
_SUCCESS_OUTCOME: Final = "answered"


class LogStream:
    """An eliot destination that limits the lines per second of each kind.

    Suppressed lines, and lines lost because the reader was too slow, are
    counted and reported in a summary line at most once a second.
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_s: int,
        clock: Callable[[], float] = time.monotonic,
        *,
        level: Level = Level.INFO,
    ) -> None:
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._level = level
        self._clock = clock
        self._interval = 0
        self._written: Counter[str] = Counter()
        self._suppressed: Counter[str] = Counter()
        self.lost_lines = 0
        os.set_blocking(descriptor, False)

    def configure(self, lines_per_s: int, level: Level) -> None:
        """Set the limit of lines per second and kind, and the level."""
        self._lines_per_s = lines_per_s
        self._level = level

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Write one message unless its level or the rate limit forbids it."""
        if self._level is Level.OFF:
            return
        if self._level is Level.NOTICE and _is_info(message):
            return
        interval = int(self._clock() / SUMMARY_INTERVAL_S)
        if interval != self._interval:
            self._interval = interval
            self._start_interval()
        kind = str(message.get(KIND_FIELD, message.get("action_type", "")))
        if self._written[kind] >= self._lines_per_s:
            self._suppressed[kind] += 1
            return
        self._written[kind] += 1
        self._write(message)

    def _start_interval(self) -> None:
        """Reset the counts and write a summary of what was not written."""
        self._written.clear()
        if not self._suppressed and not self.lost_lines:
            return
        suppressed, self._suppressed = dict(self._suppressed), Counter()
        lost, self.lost_lines = self.lost_lines, 0
        self._write(
            {
                KIND_FIELD: "lines_left_out",
                "kinds": suppressed,
                "not_taken": lost,
            }
        )

    def _write(self, message: Mapping[str, Any]) -> None:
        line = orjson.dumps(message, default=str)
        if len(line) >= MAX_LINE_BYTES:
            kept = {
                k: message[k] for k in TRUNCATED_LINE_FIELDS if k in message
            }
            truncated = {
                KIND_FIELD: message.get(KIND_FIELD),
                "cut_bytes": len(line),
            }
            line = orjson.dumps(kept | truncated, default=str)
        try:
            os.write(self._descriptor, line + b"\n")
        except OSError:
            # The reader is slow or has closed the pipe. Serving requests
            # must not wait for it, so the line is dropped and counted.
            self.lost_lines += 1


def _is_info(message: Mapping[str, Any]) -> bool:
    return (
        message.get(KIND_FIELD) in _INFO_KINDS
        or message.get("outcome") == _SUCCESS_OUTCOME
    )
