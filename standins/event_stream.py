"""Writes a stream of the stand-in engine as server-sent events."""

import asyncio
from collections.abc import Callable
from typing import Any, Final

from standins.base import Exchange
from standins.batch import NEVER, Phase, Stream
from waxwingarch.adapters.http_messages import (
    json_body,
)

EVENT_STREAM: Final = (
    ("content-type", "text/event-stream"),
    ("cache-control", "no-store"),
)
DONE_EVENT: Final = b"data: [DONE]\n\n"


def sse(value: object) -> bytes:
    """Return one server-sent event."""
    return b"data: " + json_body(value) + b"\n\n"


class EventWriter:
    """Sends one reader what a stream has and what it generates.

    Tokens that are due together go out in one chunk.
    """

    def __init__(
        self,
        exchange: Exchange,
        stream: Stream,
        clock: Callable[[], float],
    ) -> None:
        self._exchange = exchange
        self._stream = stream
        self._clock = clock
        self._faults = exchange.stand_in.faults
        self._offset = 0
        self._limit: float = NEVER
        self._counts: dict[str, int] = {}
        self._held_back = b""

    async def async_run(self, offset: int, *, first: bool) -> None:
        """Send from `offset` to the end; `first` reports the counts."""
        self._offset = offset
        cut = self._faults.take("cut")
        if cut is not None:
            self._limit = offset + cut.request.after_tokens
        self._attach()
        try:
            await self._async_send_all(first)
        finally:
            self._detach()

    async def async_wait_end(self) -> None:
        """Return once the stream has ended."""
        self._attach()
        try:
            while not self._stream.ended:
                await self._async_change()
        finally:
            self._detach()

    def _attach(self) -> None:
        self._stream.readers += 1
        self._stream.unread_since = NEVER

    def _detach(self) -> None:
        self._stream.readers -= 1
        if not self._stream.readers:
            self._stream.unread_since = self._clock()

    async def _async_change(self) -> None:
        changed = asyncio.Event()
        self._stream.wake.append(changed.set)
        await changed.wait()

    async def _async_send_all(self, first: bool) -> None:
        stream = self._stream
        while stream.produced <= self._offset and not stream.ended:
            await self._async_change()
        await self._exchange.async_be_late()
        if self._exchange.muted:
            await self._exchange.async_hang()
            return
        await self._exchange.resp.async_start(200, EVENT_STREAM)
        if first:
            self._counts = {
                "cached_tokens": stream.cached_tokens,
                "computed_tokens": stream.computed_tokens,
            }
        while await self._async_send_due():
            await self._async_change()

    async def _async_send_due(self) -> bool:
        """Send what there is; returns whether more will come."""
        stream = self._stream
        while self._offset < (end := min(stream.produced, self._limit)):
            await self._async_chunk(int(end))
        if self._offset >= self._limit:
            self._exchange.resp.abort()
            return False
        if not stream.ended:
            return True
        await self._async_finish()
        return False

    async def _async_chunk(self, end: int) -> None:
        start, self._offset = self._offset, end
        if self._faults.take("wrong_order"):
            middle = max((start + end) // 2, start + 1)
            self._held_back += self._event(start, middle)
            start = middle
        if start == end:
            return
        data = self._event(start, end) + self._held_back
        self._held_back = b""
        if self._faults.take("repeat_chunk"):
            data += data
        await self._async_write(data)

    def _event(self, start: int, end: int) -> bytes:
        counts, self._counts = self._counts, {}
        return sse(
            {
                "stream_id": self._stream.stream_id,
                "offset": start,
                "tokens": self._stream.tokens(start, end),
                "cached_tokens": self._stream.cached_tokens,
            }
            | counts
        )

    async def _async_write(self, data: bytes) -> None:
        if self._exchange.muted:
            await self._exchange.async_hang()
        await self._exchange.resp.async_write(data)

    async def _async_finish(self) -> None:
        stream = self._stream
        if stream.phase is Phase.CANCELLED:
            error = {"type": "cancelled", "message": "it was cancelled"}
            await self._async_write(self._held_back + sse({"error": error}))
            await self._exchange.resp.async_end()
            return
        end: dict[str, Any] = {
            "stream_id": stream.stream_id,
            "finished": True,
            "total": stream.total,
            "digest": stream.digest(),
        }
        data = self._held_back + sse(end) + DONE_EVENT
        await self._async_write(data)
        await self._exchange.resp.async_end()
