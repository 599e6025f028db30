"""JSON lines on a stream that are bounded and never wait for a reader."""

import os
import time
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any, Final

import orjson

KIND: Final = "message_type"
# A write of at most this many bytes to a pipe is whole or not at all.
MAX_LINE_BYTES: Final = 4096
SUMMARY_EVERY_S: Final = 1.0


class LogStream:
    """An eliot destination: so many lines a second of each kind.

    What is left out, and what the reader did not take in time, is
    counted and told in a line of its own once a second.
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_s: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._clock = clock
        self._second = 0
        self._written: Counter[str] = Counter()
        self._left_out: Counter[str] = Counter()
        self.lost_lines = 0
        os.set_blocking(descriptor, False)

    def limit(self, lines_per_s: int) -> None:
        """Set how many lines of one kind a second has at most."""
        self._lines_per_s = lines_per_s

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Write one message, unless there were too many of its kind."""
        second = int(self._clock() / SUMMARY_EVERY_S)
        if second != self._second:
            self._second = second
            self._summary()
        kind = str(message.get(KIND, message.get("action_type", "")))
        if self._written[kind] >= self._lines_per_s:
            self._left_out[kind] += 1
            return
        self._written[kind] += 1
        self._write(message)

    def _summary(self) -> None:
        self._written.clear()
        if not self._left_out and not self.lost_lines:
            return
        left_out, self._left_out = dict(self._left_out), Counter()
        lost, self.lost_lines = self.lost_lines, 0
        self._write(
            {KIND: "lines_left_out", "kinds": left_out, "not_taken": lost}
        )

    def _write(self, message: Mapping[str, Any]) -> None:
        line = orjson.dumps(message, default=str)[: MAX_LINE_BYTES - 1]
        try:
            os.write(self._descriptor, line + b"\n")
        except OSError:
            # The reader is slow or gone: requests go on, the line is
            # counted for the next summary.
            self.lost_lines += 1
