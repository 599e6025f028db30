"""Refusals of stand-in servers, and copies of them that come too many."""

import asyncio
from collections.abc import Iterator
from random import Random
from typing import Any, Final
from weakref import WeakKeyDictionary

from standins.until_close import encode_response, send_raw
from waxwingarch.adapters.http_messages import Headers, HttpResponder

NOT_EXECUTED_HEADER: Final = "X-Waxwingarch-Not-Executed"
BUSY_STATUSES: Final = (429, 503)
RETRY_AFTER: Final = ("", "", "0.05", "0.3")
# What a copy comes with: the next request on the connection, or a time in
# seconds into it.
AT_ONCE: Final = "at once"
LATE: Final = "late"
TWICE: Final = "twice"
ANY: Final = "any"
COPIES: Final = (AT_ONCE, LATE, TWICE)
LATE_S: Final = (0.05, 0.3)


class Refusals:
    """Refuses requests, and sends copies where the next answers are due.

    The product's server sends one answer to a request, so a copy is written
    to the connection itself, before the next answer on it begins.
    """

    def __init__(self, seed: str) -> None:
        self._rng = Random(seed)
        self._due: WeakKeyDictionary[Any, bytes] = WeakKeyDictionary()

    def choose(self, ratio: float) -> tuple[int, str] | None:
        """Return status and `Retry-After` of a refusal, in a share of calls.

        The second one is empty if the refusal names none.
        """
        if self._rng.random() >= ratio:
            return None
        return self._rng.choice(BUSY_STATUSES), self._rng.choice(RETRY_AFTER)

    async def async_refuse(
        self, resp: HttpResponder, status: int, headers: Headers, copies: str
    ) -> None:
        """Refuse a request; a copy of that is due on its connection."""
        await self.async_send_due(resp, copies)
        await resp.async_send(status, b"", headers)
        if copies:
            self._due[resp] = encode_response(status, b"", headers)

    async def async_send_due(self, resp: HttpResponder, copies: str) -> None:
        """Send what is due on a connection, which a request has come on."""
        copy = self._due.pop(resp, None)
        if copy is None:
            return
        for delay_s in self._delays_s(copies):
            await asyncio.sleep(delay_s)
            if resp.disconnected.is_set():
                return
            send_raw(resp, copy)

    def _delays_s(self, copies: str) -> Iterator[float]:
        if copies == ANY:
            copies = self._rng.choice(COPIES)
        if copies in (AT_ONCE, TWICE):
            yield 0.0
        if copies in (LATE, TWICE):
            yield self._rng.uniform(*LATE_S)
