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


def encode_event(value: object) -> bytes:
    """Return one server-sent event."""
    return b"data: " + json_body(value) + b"\n\n"


class EventWriter:
    """Sends the tokens of a stream to one reader, old ones and new ones.

    Tokens that are available together are sent in one chunk.
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
        self._cut_offset: float = NEVER
        self._unsent_counts: dict[str, int] = {}
        self._held_back = b""

    async def async_run(self, offset: int, *, first: bool) -> None:
        """Send from `offset` to the end; `first` adds the token counts."""
        self._offset = offset
        cut = self._faults.consume("cut")
        if cut is not None:
            self._cut_offset = offset + cut.request.after_tokens
        self._attach()
        try:
            await self._async_send_all(first)
        finally:
            self._detach()

    async def async_wait_end(self) -> None:
        """Wait until the stream has ended."""
        self._attach()
        try:
            while not self._stream.ended:
                await self._async_wait_change()
        finally:
            self._detach()

    def _attach(self) -> None:
        self._stream.readers += 1
        self._stream.unread_since = NEVER

    def _detach(self) -> None:
        self._stream.readers -= 1
        if not self._stream.readers:
            self._stream.unread_since = self._clock()

    async def _async_wait_change(self) -> None:
        changed = asyncio.Event()
        self._stream.wake_callbacks.append(changed.set)
        await changed.wait()

    async def _async_send_all(self, first: bool) -> None:
        stream = self._stream
        while stream.produced <= self._offset and not stream.ended:
            await self._async_wait_change()
        await self._exchange.async_delay_response()
        if self._exchange.is_muted:
            await self._exchange.async_wait_disconnect()
            return
        self._exchange.send_copy()
        await self._exchange.resp.async_start(
            200, [*EVENT_STREAM, *self._exchange.call_id_headers]
        )
        if first:
            self._unsent_counts = {
                "cached_tokens": stream.cached_tokens,
                "computed_tokens": stream.computed_tokens,
            }
        while await self._async_send_new_tokens():
            await self._async_wait_change()

    async def _async_send_new_tokens(self) -> bool:
        """Send the tokens not sent yet; return whether more will come."""
        stream = self._stream
        while self._offset < (end := min(stream.produced, self._cut_offset)):
            await self._async_send_chunk(int(end))
        if self._offset >= self._cut_offset:
            self._exchange.resp.abort()
            return False
        if not stream.ended:
            return True
        await self._async_finish()
        return False

    async def _async_send_chunk(self, end: int) -> None:
        start, self._offset = self._offset, end
        if self._faults.consume("wrong_order"):
            middle = max((start + end) // 2, start + 1)
            self._held_back += self._event(start, middle)
            start = middle
        if start == end:
            return
        data = self._event(start, end) + self._held_back
        self._held_back = b""
        if self._faults.consume("repeat_chunk"):
            data += data
        await self._async_write(data)

    def _event(self, start: int, end: int) -> bytes:
        counts, self._unsent_counts = self._unsent_counts, {}
        return encode_event(
            {
                "stream_id": self._stream.stream_id,
                "offset": start,
                "tokens": self._stream.tokens(start, end),
                "cached_tokens": self._stream.cached_tokens,
            }
            | counts
        )

    async def _async_write(self, data: bytes) -> None:
        if self._exchange.is_muted:
            await self._exchange.async_wait_disconnect()
        await self._exchange.resp.async_write(data)

    async def _async_finish(self) -> None:
        stream = self._stream
        if stream.phase is Phase.CANCELLED:
            error = {"type": "cancelled", "message": "it was cancelled"}
            await self._async_write(
                self._held_back + encode_event({"error": error})
            )
            await self._exchange.resp.async_end()
            return
        end: dict[str, Any] = {
            "stream_id": stream.stream_id,
            "finished": True,
            "total": stream.total,
            "digest": stream.digest(),
        }
        data = self._held_back + encode_event(end) + DONE_EVENT
        await self._async_write(data)
        await self._exchange.resp.async_end()
