"""One HTTP/1.1 connection to a server, over h11, and its responses.

A connection carries each request id once, so that the id of a response tells
which request it answers.
"""

import asyncio
import fcntl
import json
import re
import struct
import termios
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Final

import h11

from waxwingarch.adapters.held_bytes import (
    HeldBody,
    NoRoomError,
)
from waxwingarch.adapters.http_messages import (
    BODYLESS_STATUSES,
    MAX_PARTS_PER_TURN,
    SMALL_PART_BYTES,
)
from waxwingarch.exceptions import LinkError

READ_BYTES: Final = 64 * 1024
# Connections that were idle for longer are closed, not reused.
MAX_REUSE_IDLE_S: Final = 5.0
# A connection is closed after this many requests with an id: it knows all of
# their ids.
MAX_REQUESTS_PER_CONNECTION: Final = 256
# Bounds of what is read from one response; a server may send without end.
MAX_BODY_BYTES: Final = 16 * 1024 * 1024
MAX_INFORMATIONAL_RESPONSES: Final = 8
# h11 takes any number of three digits.
MAX_STATUS: Final = 599
# A response may have so many small parts at once, and so many a second.
MAX_SMALL_PARTS: Final = 10_000
SMALL_PARTS_PER_S: Final = 2_000
# A connection is reused for this fraction of the idle time that its
# server announced, because the server's timer started before ours.
KEEP_ALIVE_USED_RATIO: Final = 0.5

Headers = Sequence[tuple[str, str]]
# Returns the time to wait until, or None to give up.
WaitUntil = Callable[[], float | None]
FRAMING_HEADERS: Final = frozenset({"content-length", "transfer-encoding"})
KEEP_ALIVE_TIMEOUT: Final = re.compile(r"timeout=(\d+)")


class ConnectFailedError(LinkError):
    """No connection could be opened; the request was not sent."""


class UnsendableRequestError(ConnectFailedError):
    """A request can't be written as HTTP, so that nothing was sent."""


class NotPermittedError(ConnectFailedError):
    """The caller's `permit` check failed; the request was not sent."""


class SilentLinkError(LinkError):
    """No data was received by the deadline; try a new connection."""


class CutLinkError(LinkError):
    """The connection was closed before the response was complete."""


class InvalidBytesError(LinkError):
    """Bytes that are no response were received; check the server."""


class EndlessResponseError(LinkError):
    """A response exceeds the bound of its size; check the server."""


class CountingReader(asyncio.StreamReader):
    """A stream reader that counts the received bytes that are unread."""

    unread_bytes = 0

    def feed_data(self, data: Any) -> None:
        """Add received bytes to the buffer."""
        self.unread_bytes += len(data)
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        """Return up to `n` bytes."""
        data = await super().read(n)
        self.unread_bytes -= len(data)
        return data


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpResponse:
    """A complete response; header names are lower-case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body parsed as JSON; raises `ValueError`."""
        return json.loads(self.body) if self.body else None


@dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionUse:
    """The connection that a request goes on, as it is sent.

    `connection` is unique in a client. `request_count` includes this
    request.
    """

    connection: int
    age_s: float
    request_count: int


class ClientStream:
    """A response whose body is read as it is received.

    `headers` have lower-case names; `pairs` keep the received order and
    spelling. `on_new_connection` says that its request was the first one on
    its connection, and `number` how many responses were received there,
    with this one. Without answers too many that is the number of requests.
    """

    def __init__(
        self,
        conn: "ClientConnection",
        head: h11.Response,
        held: HeldBody,
    ) -> None:
        self._conn = conn
        self.held = held
        self.status = int(head.status_code)
        self.headers = _lower_case_headers(head)
        self.pairs = _raw_headers(head)
        self.complete = False
        self.on_new_connection = not conn.is_reused
        self.number = conn.response_count
        self._started_at = asyncio.get_running_loop().time()
        self._small_parts = 0
        self._conn.apply_keep_alive(self.headers.get("keep-alive", ""))
        self._length = _parse_length(self.headers) if self._has_body else 0
        held.on_give_up = None if self._length is not None else conn.close

    @property
    def _has_body(self) -> bool:
        """Whether the headers describe a body that follows them."""
        is_bodyless = self.status in BODYLESS_STATUSES
        return not is_bodyless and not self._conn.is_head_request

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection ends the body."""
        return self._has_body and not self.headers.keys() & FRAMING_HEADERS

    async def async_read(self, deadline: float) -> bytes | None:
        """Return the next part of the body, or None at its end.

        `deadline` is on the loop's clock. Raises `SilentLinkError`,
        `CutLinkError`, `EndlessResponseError` for too many small parts, and
        `NoRoomError` for a body that was given up: it ends with its
        connection, which is neither its end nor the server's.
        """
        if self.complete:
            return None
        try:
            part = await self._async_next_part(deadline)
        except CutLinkError:
            if not self.held.is_given_up:
                raise
            part = None
        if self.held.is_given_up:
            raise NoRoomError(
                f"{self._conn.address}: given up to make room for others"
            )
        return part

    async def _async_next_part(self, deadline: float) -> bytes | None:
        parts: list[bytes] = []
        while True:
            event = await self._conn.async_event(deadline, wait=not parts)
            if event is h11.NEED_DATA:
                return b"".join(parts)
            if isinstance(event, h11.EndOfMessage):
                self._check_request_taken()
                self.complete = True
                return b"".join(parts) if parts else None
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                self._count_part(len(event.data))
            if len(parts) >= MAX_PARTS_PER_TURN:
                await asyncio.sleep(0)
                return b"".join(parts)

    def _check_request_taken(self) -> None:
        """Raise `CutLinkError` if a response without an end came too early.

        A server that closes its connection while the request is still being
        sent has not read all of it, so that it has not answered it either.
        """
        if self.ends_with_connection and not self._conn.is_request_received:
            raise CutLinkError(
                f"{self._conn.address}: closed before it had the request"
            )

    def _count_part(self, size_bytes: int) -> None:
        """Bound the time that the parts of this response take to parse."""
        if size_bytes >= SMALL_PART_BYTES:
            return
        self._small_parts += 1
        if self._small_parts <= MAX_SMALL_PARTS:
            return
        lasted_s = asyncio.get_running_loop().time() - self._started_at
        allowed = MAX_SMALL_PARTS + SMALL_PARTS_PER_S * lasted_s
        if self._small_parts > allowed:
            raise EndlessResponseError(
                f"{self._conn.address}: {self._small_parts} parts of less"
                f" than {SMALL_PART_BYTES} bytes"
            )

    async def async_next_response(
        self, deadline: float, wait_until: WaitUntil
    ) -> "ClientStream":
        """Skip this response, which belongs to another request.

        `deadline` bounds the rest of it, `wait_until` the wait for the head
        of the next one, as in `HttpClient.async_stream`. Returns the next
        response on the connection; raises the errors of `async_read`.
        """
        await self.async_discard_rest(deadline, MAX_BODY_BYTES)
        self._conn.expect_response_again()
        head = await async_read_head(self._conn, deadline, wait_until)
        return ClientStream(self._conn, head, self.held)

    def forbid_reuse(self) -> None:
        """Close the connection after this response."""
        self._conn.is_reusable = False

    async def async_read_rest(
        self, deadline: float, max_bytes: int = MAX_BODY_BYTES
    ) -> bytes:
        """Return the rest of the body, which is held until the stream ends.

        Raises the errors of `async_read`, `EndlessResponseError` for more
        than `max_bytes`, and `NoRoomError`.
        """
        parts: list[bytes] = []
        size_bytes = 0
        if self._length is not None:
            self._check_size(self._length, max_bytes)
            await self.held.async_hold(self._length, deadline)
        while not self.complete:
            part = await self.async_read(deadline) or b""
            size_bytes += len(part)
            self._check_size(size_bytes, max_bytes)
            if size_bytes > self.held.size_bytes:
                await self.held.async_hold(size_bytes, deadline)
            parts.append(part)
        return b"".join(parts)

    async def async_discard_rest(
        self, deadline: float, max_bytes: int
    ) -> None:
        """Read the rest of the body without holding it.

        Raises the errors of `async_read`, and `EndlessResponseError` for
        more than `max_bytes`.
        """
        size_bytes = 0
        while not self.complete:
            size_bytes += len(await self.async_read(deadline) or b"")
            self._check_size(size_bytes, max_bytes)

    def _check_size(self, size_bytes: int, max_bytes: int) -> None:
        if size_bytes > max_bytes:
            raise EndlessResponseError(
                f"{self._conn.address}: body exceeds {max_bytes} bytes"
            )


class ClientConnection:
    """One HTTP/1.1 connection to one address."""

    def __init__(
        self,
        address: str,
        reader: CountingReader,
        writer: asyncio.StreamWriter,
        number: int = 0,
    ) -> None:
        self.address = address
        self.response_count = 0
        self._number = number
        self._opened_at = asyncio.get_running_loop().time()
        self._request_count = 0
        self._request_ids: set[str] = set()
        self.idle_since = 0.0
        self.is_reusable = True
        self._max_idle_s = MAX_REUSE_IDLE_S
        self._last_request: h11.Request | None = None
        self._reader = reader
        self._writer = writer
        self._conn = h11.Connection(h11.CLIENT)
        self._needs_data = False

    async def async_send(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> None:
        """Write one request, with Host and Content-Length added.

        Raises `UnsendableRequestError`.
        """
        try:
            data = self._encode_request(method, target, headers, body)
        except (h11.LocalProtocolError, ValueError) as exc:
            raise UnsendableRequestError(f"{self.address}: {exc}") from exc
        # The write buffer is not drained: a server may respond before it
        # has read the body, and then waits for its response to be read.
        self._writer.write(data)

    def _encode_request(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> bytes:
        pairs = list(headers)
        if not any(name.lower() == "host" for name, _ in headers):
            pairs.insert(0, ("host", self.address))
        if body:
            pairs.append(("content-length", str(len(body))))
        head = h11.Request(
            method=method,
            target=target,
            headers=[(k.encode(), v.encode("latin-1")) for k, v in pairs],
        )
        self._last_request = head
        data = self._conn.send(head) or b""
        if body:
            data += self._conn.send(h11.Data(data=body)) or b""
        return data + (self._conn.send(h11.EndOfMessage()) or b"")

    def record_request(self, request_id: str | None) -> ConnectionUse:
        """Record a request that is about to be sent."""
        self._request_count += 1
        use = ConnectionUse(
            connection=self._number,
            age_s=asyncio.get_running_loop().time() - self._opened_at,
            request_count=self._request_count,
        )
        if request_id is not None:
            self._request_ids.add(request_id)
        return use

    def had_request(self, request_id: str | None) -> bool:
        """Return whether an earlier request here had the same id."""
        return request_id in self._request_ids

    @property
    def is_reused(self) -> bool:
        """Whether the last request was not the first one here."""
        return self._request_count > 1

    @property
    def is_head_request(self) -> bool:
        """Whether the last request asked for the head only."""
        return (
            self._last_request is not None
            and self._last_request.method == b"HEAD"
        )

    def apply_keep_alive(self, header: str) -> None:
        """Limit the idle time to what a Keep-Alive header announces."""
        timeout = KEEP_ALIVE_TIMEOUT.search(header)
        if timeout:
            usable_s = int(timeout[1]) * KEEP_ALIVE_USED_RATIO
            self._max_idle_s = min(MAX_REUSE_IDLE_S, usable_s)

    def expect_response_again(self) -> None:
        """Parse what follows as a new response to the last request.

        A fresh h11 connection is given the request a second time without
        sending it, so that it accepts another response.
        """
        unread = self._conn.trailing_data[0]
        assert self._last_request is not None
        self._conn = h11.Connection(h11.CLIENT)
        method, target = self._last_request.method, self._last_request.target
        replayed = h11.Request(
            method=method, target=target, headers=[("host", "again")]
        )
        self._conn.send(replayed)
        self._conn.send(h11.EndOfMessage())
        self._needs_data = False
        if unread:
            self._conn.receive_data(unread)

    async def async_event(self, deadline: float, *, wait: bool = True) -> Any:
        """Return the next h11 event.

        With `wait` it reads from the socket until there is an event;
        without, it returns NEED_DATA if the buffered data holds none.
        """
        while True:
            if self._needs_data and wait:
                self._conn.receive_data(await self._async_bytes(deadline))
            event = self._next_event()
            self._needs_data = event is h11.NEED_DATA
            if not self._needs_data or not wait:
                return event

    def _next_event(self) -> Any:
        try:
            event = self._conn.next_event()
        except h11.RemoteProtocolError as exc:
            if self._reader.at_eof():
                raise CutLinkError(f"{self.address}: {exc}") from exc
            raise InvalidBytesError(f"{self.address}: {exc}") from exc
        if isinstance(event, h11.ConnectionClosed):
            raise CutLinkError(f"{self.address}: closed")
        return event

    async def _async_bytes(self, deadline: float) -> bytes:
        try:
            async with asyncio.timeout_at(deadline):
                return await self._reader.read(READ_BYTES)
        except TimeoutError as exc:
            # The error of a connection whose keep-alive probes got no answer
            # is a TimeoutError as well. Each read raises it again.
            if self._reader.exception() is not None:
                raise CutLinkError(f"{self.address}: {exc}") from exc
            data = await self._async_read_buffered()
            if data is None:
                raise SilentLinkError(
                    f"{self.address}: no answer by the deadline"
                ) from None
            return data
        except OSError as exc:
            raise CutLinkError(f"{self.address}: {exc}") from exc

    async def _async_read_buffered(self) -> bytes | None:
        """Return data already received, or None if there is none.

        After the process was stalled, the deadline can have passed before
        data that was received in time has been processed.
        """
        try:
            async with asyncio.timeout(0):
                return await self._reader.read(READ_BYTES)
        except TimeoutError:
            return None
        except OSError as exc:
            raise CutLinkError(f"{self.address}: {exc}") from exc

    async def async_head(self, deadline: float) -> h11.Response:
        """Read the response head, skipping informational (1xx) ones."""
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self.async_event(deadline)
            if isinstance(event, h11.Response):
                self._check_status(int(event.status_code))
                self.response_count += 1
                return event
        raise EndlessResponseError(
            f"{self.address}: too many informational responses"
        )

    def _check_status(self, status: int) -> None:
        if status > MAX_STATUS:
            raise InvalidBytesError(f"{self.address}: status {status}")

    @property
    def is_response_complete(self) -> bool:
        """Whether the last response was read to its end."""
        return self._conn.their_state in (h11.DONE, h11.MUST_CLOSE)

    def prepare_reuse(self) -> bool:
        """Reset the state for another request; return False if impossible."""
        if not self.is_reusable or self._reader.at_eof():
            return False
        if self._conn.our_state is not h11.DONE:
            return False
        has_surplus = self._conn.trailing_data[0] or self._reader.unread_bytes
        if has_surplus or not self._is_all_sent:
            return False
        if len(self._request_ids) >= MAX_REQUESTS_PER_CONNECTION:
            return False
        try:
            self._conn.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        self._needs_data = False
        return True

    @property
    def _is_all_sent(self) -> bool:
        """Whether the write buffer holds nothing of the last request."""
        transport = self._writer.transport
        return not transport.get_write_buffer_size()

    @property
    def is_request_received(self) -> bool:
        """Whether the other end has acknowledged all of the last request.

        A system that can't tell is no evidence that it has not.
        """
        sock = self._writer.get_extra_info("socket")
        if not self._is_all_sent or sock.fileno() < 0:
            return False
        try:
            count = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
        except OSError:
            return True
        (unacknowledged_bytes,) = struct.unpack("i", count)
        return not unacknowledged_bytes

    @property
    def idle_s(self) -> float:
        """Seconds since the connection was returned to the pool."""
        return asyncio.get_running_loop().time() - self.idle_since

    @property
    def is_stale(self) -> bool:
        """Whether it can't be reused.

        It was closed, was idle for too long, or has bytes that belong to
        no request.
        """
        expired = self.idle_s > self._max_idle_s
        return (
            expired
            or bool(self._reader.unread_bytes)
            or self._reader.at_eof()
            or self._writer.is_closing()
        )

    def close(self) -> None:
        """Abort the connection without flushing its write buffer."""
        self._writer.transport.abort()


async def async_read_head(
    conn: ClientConnection,
    deadline: float,
    wait_until: WaitUntil | None,
) -> h11.Response:
    """Read a response head.

    `wait_until` replaces the deadline as in `HttpClient.async_stream`.
    Raises `SilentLinkError` and the other errors of a connection.
    """
    if wait_until is None:
        return await conn.async_head(deadline)
    while (until := wait_until()) is not None:
        try:
            return await conn.async_head(until)
        except SilentLinkError:
            continue
    raise SilentLinkError(f"{conn.address}: no answer so far; given up")


def _parse_length(headers: dict[str, str]) -> int | None:
    """Return the length that a response states, if it does."""
    if "transfer-encoding" in headers:
        return None
    text = headers.get("content-length", "")
    return int(text) if text.isdecimal() else None


def _lower_case_headers(head: h11.Response) -> dict[str, str]:
    return {
        k.decode("ascii").lower(): v.decode("latin-1") for k, v in head.headers
    }


def _raw_headers(head: h11.Response) -> tuple[tuple[str, str], ...]:
    """Return the headers in their received order and spelling."""
    return tuple(
        (k.decode("ascii"), v.decode("latin-1"))
        for k, v in head.headers.raw_items()
    )
