"""One account of the bytes that a host holds of bodies and events."""

import asyncio
from collections.abc import Callable
from typing import Final

from waxwingarch.exceptions import LinkError

# A body may hold this much whatever else is held, so that short ones go on.
FREE_BYTES: Final = 64 * 1024
# A body waits this long for room before a larger one is given up.
ROOM_WAIT_S: Final = 0.5
DEFAULT_LIMIT_BYTES: Final = 64 * 1024 * 1024


class NoRoomError(LinkError):
    """A host holds too many bytes of bodies to hold more of this one."""


class HeldBody:
    """The bytes that are held of one body.

    `on_give_up` ends the reading of a body that may be given up for others,
    None for one that may not. A body whose length is known is not given up,
    as its end is.
    """

    def __init__(
        self,
        account: "HeldBytes",
        on_give_up: Callable[[], None] | None = None,
    ) -> None:
        self._account = account
        self.on_give_up = on_give_up
        # Counted, but not held up: the host depends on it.
        self.is_essential = False
        self.size_bytes = 0
        self.is_given_up = False

    def try_hold(self, size_bytes: int) -> bool:
        """Hold so many bytes in all, if there is room for them."""
        if not self._account.has_room(self, size_bytes):
            return False
        self._account.resize(self, size_bytes)
        return True

    def count(self, size_bytes: int) -> None:
        """Count bytes that are held already, whether or not there is room."""
        if size_bytes != self.size_bytes:
            self._account.resize(self, size_bytes)

    async def async_hold(self, size_bytes: int, deadline: float) -> None:
        """Hold so many bytes in all, as soon as there is room for them.

        After a wait the largest body that may be given up is. Raises
        `NoRoomError` if that is this one, or at a deadline.
        """
        loop = asyncio.get_running_loop()
        while not self.is_given_up and not self.try_hold(size_bytes):
            now = loop.time()
            if now >= deadline:
                break
            until = min(deadline, now + ROOM_WAIT_S)
            was_released = await self._account.async_wait(until)
            # Another one may have made room at the same moment.
            if not was_released and not self.try_hold(size_bytes):
                self._account.give_up_largest()
        if self.is_given_up or self.size_bytes < size_bytes:
            raise NoRoomError(
                f"{self._account.held_bytes} bytes of"
                f" {self._account.limit_bytes} are held, and"
                f" {self.size_bytes} of this body"
            )

    def release(self) -> None:
        """Hold nothing any more."""
        self._account.resize(self, 0)


class HeldBytes:
    """The bytes that all bodies hold, and the limit of them."""

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.peak_bytes = 0
        self.given_up = 0
        self._bodies: set[HeldBody] = set()
        self._released = asyncio.Event()

    @property
    def is_full(self) -> bool:
        """Whether all bodies hold more than the limit."""
        return self.held_bytes > self.limit_bytes

    def has_room(self, body: HeldBody, size_bytes: int) -> bool:
        """Return whether a body may hold so many bytes in all."""
        if body.is_essential or size_bytes <= max(FREE_BYTES, body.size_bytes):
            return True
        held_bytes = self.held_bytes - body.size_bytes + size_bytes
        return held_bytes <= self.limit_bytes

    def resize(self, body: HeldBody, size_bytes: int) -> None:
        """Record what a body holds."""
        is_less = size_bytes < body.size_bytes
        self.held_bytes += size_bytes - body.size_bytes
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)
        body.size_bytes = size_bytes
        if size_bytes:
            self._bodies.add(body)
        else:
            self._bodies.discard(body)
        if is_less:
            self._released.set()
            self._released = asyncio.Event()

    async def async_wait(self, until: float) -> bool:
        """Wait until bytes are released; return whether they were."""
        released = self._released
        try:
            async with asyncio.timeout_at(until):
                await released.wait()
        except TimeoutError:
            return False
        return True

    def give_up_largest(self) -> None:
        """Give up the largest body that may be, to make room."""
        candidates = (
            body
            for body in self._bodies
            if body.on_give_up is not None and body.size_bytes > FREE_BYTES
        )
        body = max(candidates, key=lambda b: b.size_bytes, default=None)
        if body is None or body.on_give_up is None:
            return
        self.given_up += 1
        body.is_given_up = True
        body.on_give_up()
        body.release()
