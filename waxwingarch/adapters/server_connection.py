"""One connection of a client to an HTTP/1.1 server, over h11."""

import asyncio
import socket
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any, Final, Protocol
from urllib.parse import parse_qsl, urlsplit

import h11

from waxwingarch.adapters.addresses import join_address
from waxwingarch.adapters.connection_bounds import (
    ConnectionGroup,
    EndReason,
    Wait,
)
from waxwingarch.adapters.held_bytes import HeldBody, HeldBytes
from waxwingarch.adapters.http_messages import (
    JSON_TYPE,
    MAX_PARTS_PER_TURN,
    SMALL_PART_BYTES,
    CallerDisconnectedError,
    Handler,
    Headers,
    HttpRequest,
    json_body,
)
from waxwingarch.core.base import ExecutionStatus
from waxwingarch.exceptions import WaxwingError

MAX_HEADER_BYTES: Final = 32 * 1024
MAX_BODY_BYTES: Final = 8 * 1024 * 1024
MAX_SMALL_PARTS: Final = 100_000
ORIGIN: Final = "http://host"
# For the head of a request, and for each further part of its body.
REQUEST_READ_TIMEOUT_S: Final = 10.0
IDLE_TIMEOUT_S: Final = 75.0
# A client that reads nothing of its answer for so long is disconnected, and
# after the shorter time if the account of held bytes is full.
WRITE_STALL_TIMEOUT_S: Final = 20.0
STALL_CHECK_S: Final = 1.0
# A caller that has just connected sends its first request within this time.
FIRST_REQUEST_TIMEOUT_S: Final = 0.5
WRITE_HIGH_WATER_BYTES: Final = 64 * 1024
# A body is written in parts of this size, each when there is room for it.
WRITE_BYTES: Final = 64 * 1024
# Bounds of what the kernel holds of a connection, which doubles them.
SOCKET_BUFFER_BYTES: Final = 64 * 1024
# A request that is read is held once by its handler, and once more while it
# is written to a server.
COPIES_OF_REQUEST: Final = 2
# What is read at once. A read during a request adds to what is read ahead.
READ_BYTES: Final = 16 * 1024
BODY_READ_BYTES: Final = 64 * 1024
# Reading stops during a request once this much of the next ones is read.
READ_AHEAD_BYTES: Final = 16 * 1024


@dataclass(slots=True)
class _PartialRequest:
    """The request that is being read on a connection."""

    head: h11.Request | None = None
    # Not a list of parts, as each small one would take an object.
    body: bytearray = field(default_factory=bytearray)
    size_bytes: int = 0
    small_parts: int = 0


class ConnectionOwner(Protocol):
    """What a connection uses of its server."""

    handler: Handler
    on_error: Callable[[Exception], None]
    draining: bool
    held: HeldBytes
    kept: ConnectionGroup
    connections: "set[ServerConnection]"
    read_buffer: memoryview

    def take_turn_later(self, turn: Callable[[], None]) -> None:
        """Run the next turn of a body in many parts, after those of others."""

    def next_pipelined_at(self) -> float:
        """Return when the next request that was sent ahead is served."""


class ServerConnection(asyncio.BufferedProtocol):
    """One caller's connection: reads requests and runs the handler.

    It is the `HttpResponder` of the request in progress.
    """

    def __init__(self, server: ConnectionOwner) -> None:
        self._server = server
        self._conn = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES
        )
        self._partial = _PartialRequest()
        self._held = HeldBody(server.held)
        self._transport: asyncio.Transport
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._started = False
        self._disconnected = asyncio.Event()
        self._close_announced = False
        self._first_request_due_at = (
            asyncio.get_running_loop().time() + FIRST_REQUEST_TIMEOUT_S
        )
        self._has_had_request = False
        self._waits_since = asyncio.get_running_loop().time()
        self._client_address = ""
        self._is_reading_head = False
        self._is_turn_over = False
        self._is_answer_unread = False
        self._is_pipelined = False
        self._is_paused = False

    # asyncio.BufferedProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the connection, or close it if there are too many."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        peer = transport.get_extra_info("peername")
        self._client_address = join_address(*peer[:2]) if peer else ""
        if not self._server.kept.try_add(self):
            self.end(EndReason.TOO_MANY)
            return
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        sock = transport.get_extra_info("socket")
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            sock.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
        self._server.connections.add(self)
        self._start_timer(IDLE_TIMEOUT_S)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection, and tell the handler."""
        self._cancel_timer()
        self._disconnected.set()
        self._can_write.set()
        if self._task is None:
            self._held.release()
        self._server.connections.discard(self)
        self._server.kept.remove(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the server's buffer, which is emptied after each read."""
        is_body = self._conn.their_state is h11.SEND_BODY
        size = BODY_READ_BYTES if is_body else READ_BYTES
        return self._server.read_buffer[:size]

    def buffer_updated(self, nbytes: int) -> None:
        """Process what was read into the buffer."""
        try:
            self._conn.receive_data(bytes(self._server.read_buffer[:nbytes]))
        except h11.RemoteProtocolError as exc:
            self._reject_malformed(exc)
            return
        if self._task is None:
            if not self._is_reading_head:
                self._start_read_timer()
            self._process_events()
        self._limit_read_ahead()

    def eof_received(self) -> bool:
        """Close the connection: its client sends no more."""
        self._disconnected.set()
        return False

    def pause_writing(self) -> None:
        """Let writers wait: the client does not read."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._can_write.set()

    # BoundedConnection

    @property
    def wait(self) -> Wait:
        """What the connection waits for."""
        if self._is_answer_unread or self._transport.is_closing():
            return Wait.UNREAD_ANSWER
        if self._is_paused:
            return Wait.PIPELINED_REQUEST
        if self._task is not None:
            return Wait.ANSWER
        if self._conn.their_state is h11.SEND_BODY:
            return Wait.REST_OF_BODY
        if self._has_had_request or self.expects_first_request:
            return Wait.NEXT_REQUEST
        return Wait.FIRST_REQUEST

    @property
    def waits_since(self) -> float:
        """When it was made, or its last answer ended."""
        return self._waits_since

    def end(self, reason: EndReason) -> None:
        """Close the connection at once."""
        self._server.kept.remove(self)
        self._server.kept.bounds.record_end(self._client_address, reason)
        self._transport.abort()

    # reading

    def _start_timer(
        self, timeout_s: float, reason: EndReason | None = None
    ) -> None:
        """Abort the connection after a delay unless cancelled before.

        With a reason, its end is counted.
        """
        self._cancel_timer()
        loop = asyncio.get_running_loop()
        if reason is None:
            self._timer = loop.call_later(timeout_s, self._transport.abort)
        else:
            self._timer = loop.call_later(timeout_s, self.end, reason)

    def _start_read_timer(self) -> None:
        """End the connection if the head, or more of a body, is late."""
        self._is_reading_head = self._conn.their_state is h11.IDLE
        self._start_timer(REQUEST_READ_TIMEOUT_S, EndReason.SLOW_REQUEST)

    def _cancel_timer(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _process_events(self) -> None:
        """Process h11 events until a request starts or more data is needed.

        A body in many parts is processed in turns with other tasks.
        """
        parts = 0
        self._is_turn_over = False
        while self._task is None:
            if parts >= MAX_PARTS_PER_TURN:
                self._is_turn_over = True
                self._transport.pause_reading()
                self._server.take_turn_later(self._go_on_reading)
                return
            try:
                event = self._conn.next_event()
            except h11.RemoteProtocolError as exc:
                self._reject_malformed(exc)
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            parts += isinstance(event, h11.Data)
            if not self._handle_event(event):
                return

    def _go_on_reading(self) -> None:
        if self._transport.is_closing():
            return
        self._process_events()
        self._limit_read_ahead()

    def _limit_read_ahead(self) -> None:
        """Count what is read, and read on only if there is room for more."""
        if self._is_turn_over or self._transport.is_closing():
            return
        ahead = len(self._conn.trailing_data[0])
        self._count_held(ahead)
        max_ahead = 0 if self._server.held.is_full else READ_AHEAD_BYTES
        if self._task is None or ahead <= max_ahead:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def _count_held(self, ahead: int) -> None:
        """Count the request, what is read ahead, and what is not read."""
        self._held.count(
            self._partial.size_bytes * COPIES_OF_REQUEST
            + ahead
            + self._transport.get_write_buffer_size()
        )

    def _handle_event(self, event: object) -> bool:
        """Handle one h11 event; return False if the connection ends."""
        match event:
            case h11.Request():
                self._partial = _PartialRequest(head=event)
                self._is_reading_head = False
                if self._conn.they_are_waiting_for_100_continue:
                    self._write(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
            case h11.Data():
                self._partial.size_bytes += len(event.data)
                if self._partial.size_bytes > MAX_BODY_BYTES:
                    self._refuse(413, "body_too_large", "send a smaller body")
                    return False
                held_bytes = self._partial.size_bytes * COPIES_OF_REQUEST
                if not self._held.try_hold(held_bytes):
                    self._refuse(503, "no_room", "send it again later")
                    return False
                self._partial.small_parts += len(event.data) < SMALL_PART_BYTES
                if self._partial.small_parts > MAX_SMALL_PARTS:
                    self._refuse(400, "bad_http", "send the body in one part")
                    return False
                self._partial.body += event.data
            case h11.EndOfMessage():
                self._cancel_timer()
                return self._start_handler()
            case _:
                self._close()
                return False
        return True

    def _start_handler(self) -> bool:
        """Run the handler for the complete request; False if it is invalid."""
        head = self._partial.head
        assert head is not None
        try:
            body = bytes(self._partial.body)
            self._partial.body.clear()
            req = _build_request(head, body)
        except ValueError as exc:
            self._refuse(400, "bad_http", f"send a valid path: {exc}")
            return False
        self._started = False
        self._has_had_request = True
        # A client that sends one request at a time has sent no more yet.
        self._is_pipelined = bool(self._conn.trailing_data[0])
        self._task = asyncio.get_running_loop().create_task(self._run(req))
        return True

    async def _run(self, req: HttpRequest) -> None:
        try:
            await self._async_handle(req)
            # Its body is not kept while the answer is read.
            del req
            self._partial.size_bytes = 0
            await self._async_wait_read()
            if self._is_pipelined and not self._server.draining:
                await self._async_pause()
        except CallerDisconnectedError:
            self._transport.abort()
        finally:
            self._task = None
            self._partial.size_bytes = 0
            self._held.release()
        self._start_next_cycle()

    async def _async_pause(self) -> None:
        """Wait before a request that was sent ahead of an answer."""
        self._is_paused = True
        with suppress(TimeoutError):
            async with asyncio.timeout_at(self._server.next_pipelined_at()):
                await self._disconnected.wait()
        self._is_paused = False

    async def _async_handle(self, req: HttpRequest) -> None:
        try:
            await self._server.handler(req, self)
        except CallerDisconnectedError:
            self._transport.abort()
        except asyncio.CancelledError:
            self._transport.abort()
            raise
        except Exception as exc:
            self._server.on_error(exc)
            if self._started:
                self._transport.abort()
            else:
                # The handler may have sent the request on before.
                self._refuse(
                    500,
                    "internal",
                    "report this to the operators",
                    ran=ExecutionStatus.UNKNOWN,
                )

    def _start_next_cycle(self) -> None:
        """Wait for the next request, or close the connection.

        A connection whose close was not announced stays open, also while
        the server drains: the next request may have been read already.
        """
        if self._transport.is_closing():
            return
        is_done = self._conn.our_state is h11.DONE
        if not is_done or self._close_announced:
            self._close()
            return
        try:
            self._conn.start_next_cycle()
        except h11.LocalProtocolError:
            self._close()
            return
        self._waits_since = asyncio.get_running_loop().time()
        if self._conn.trailing_data[0]:
            self._start_read_timer()
        else:
            self._is_reading_head = False
            self._start_timer(IDLE_TIMEOUT_S)
        self._process_events()
        self._limit_read_ahead()

    def _close(self) -> None:
        """Close the connection once its client has read what is written."""
        self._transport.close()
        self._start_timer(WRITE_STALL_TIMEOUT_S, EndReason.UNREAD)

    # error responses

    def _reject_malformed(self, exc: h11.RemoteProtocolError) -> None:
        if self._task is not None:
            self._transport.abort()
            return
        self._refuse(
            exc.error_status_hint,
            "bad_http",
            f"send valid HTTP/1.1: {exc}",
        )

    def _refuse(
        self,
        status: int,
        kind: str,
        remedy: str,
        *,
        ran: ExecutionStatus = ExecutionStatus.NOT_RUN,
    ) -> None:
        if self._conn.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            self._transport.abort()
            return
        error = {"type": kind, "message": remedy, "ran": ran.value}
        body = json_body({"error": error})
        headers = _encoded(
            [
                JSON_TYPE,
                ("content-length", str(len(body))),
                ("connection", "close"),
            ]
        )
        self._write(h11.Response(status_code=status, headers=headers))
        self._write(h11.Data(data=body))
        self._write(h11.EndOfMessage())
        self._close()

    # HttpResponder

    @property
    def started(self) -> bool:
        """Whether the response has begun."""
        return self._started

    @property
    def disconnected(self) -> asyncio.Event:
        """Set when the client has closed the connection."""
        return self._disconnected

    @property
    def _is_head_request(self) -> bool:
        """Whether the response has no body, whatever its head says."""
        head = self._partial.head
        return head is not None and head.method == b"HEAD"

    def _write(self, event: Any) -> None:
        if isinstance(event, h11.Data) and self._is_head_request:
            return
        data = self._conn.send(event)
        if data:
            self._transport.write(data)

    async def _drain(self) -> None:
        """Wait until the write buffer has room."""
        if self._disconnected.is_set():
            raise CallerDisconnectedError("the caller closed the connection")
        if self._can_write.is_set():
            return
        await self._async_wait_written()

    async def _async_wait_read(self) -> None:
        """Wait until nothing that was written is left to send.

        Without this, answers that a client does not read would pile up.
        """
        if not self._transport.get_write_buffer_size():
            return
        self._transport.set_write_buffer_limits(high=0)
        await self._async_wait_written()
        self._transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)

    async def _async_wait_written(self) -> None:
        """Wait for room to write; end a connection that reads nothing."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + WRITE_STALL_TIMEOUT_S
        unread = self._transport.get_write_buffer_size()
        try:
            while not self._can_write.is_set():
                with suppress(TimeoutError):
                    async with asyncio.timeout(STALL_CHECK_S):
                        await self._can_write.wait()
                before, unread = (
                    unread,
                    self._transport.get_write_buffer_size(),
                )
                self._limit_read_ahead()
                self._is_answer_unread = unread >= before
                if not self._is_answer_unread:
                    ends_at = loop.time() + WRITE_STALL_TIMEOUT_S
                elif not self._can_write.is_set():
                    self._end_if_stalled(loop.time() >= ends_at)
        finally:
            self._is_answer_unread = False

    def _end_if_stalled(self, is_late: bool) -> None:
        """End the connection if the client's time to read is over.

        It is also if what all connections hold is more than there is room
        for.
        """
        if is_late:
            reason = EndReason.UNREAD
        elif self._server.held.is_full:
            reason = EndReason.NO_ROOM
        else:
            return
        self.end(reason)
        raise CallerDisconnectedError("the caller stopped reading")

    def _begin_response(self) -> None:
        """Mark the response as started; it has one head."""
        if self._started:
            raise ResponseStartedError("the caller has a head already")
        self._started = True

    async def async_start(self, status: int, headers: Headers) -> None:
        """Send the head of a response in chunks."""
        self._begin_response()
        extra = [("transfer-encoding", "chunked"), *self._close_header()]
        self._write(
            h11.Response(
                status_code=status, headers=_encoded([*headers, *extra])
            )
        )
        await self._drain()

    async def async_write(self, data: bytes) -> None:
        """Send a part of the body."""
        if data:
            self._write(h11.Data(data=data))
        await self._drain()

    async def async_end(self) -> None:
        """End a response in chunks."""
        self._write(h11.EndOfMessage())

    async def async_send(
        self, status: int, body: bytes, headers: Headers = ()
    ) -> None:
        """Send a whole response, in parts as the client reads them."""
        self._begin_response()
        if self._disconnected.is_set():
            raise CallerDisconnectedError("the caller closed the connection")
        extra = [("content-length", str(len(body))), *self._close_header()]
        head = h11.Response(
            status_code=status, headers=_encoded([*headers, *extra])
        )
        data = self._conn.send(head) or b""
        if self._is_head_request:
            body = b""
        if len(body) <= WRITE_BYTES:
            data += self._conn.send(h11.Data(data=body)) or b""
            data += self._conn.send(h11.EndOfMessage()) or b""
            self._transport.write(data)
            return
        self._transport.write(data)
        for part in _parts_of(body):
            self._write(h11.Data(data=part))
            await self._drain()
        self._write(h11.EndOfMessage())

    async def async_send_until_close(
        self, status: int, body: bytes, headers: Headers
    ) -> None:
        """Send a whole response whose end is that of the connection."""
        self._begin_response()
        if self._disconnected.is_set():
            raise CallerDisconnectedError("the caller closed the connection")
        # The state of this connection's own h11 connection stays that of a
        # response that is due, so that it is closed after this one.
        self._transport.write(_encode_head_until_close(status, headers))
        for part in _parts_of(body):
            self._transport.write(part)
            await self._drain()

    def _close_header(self) -> list[tuple[str, str]]:
        """Return `connection: close` if the server is draining."""
        if not self._server.draining:
            return []
        self._close_announced = True
        return [("connection", "close")]

    def abort(self) -> None:
        """Close the connection without sending what is left."""
        self._transport.abort()

    # drain

    def close_if_idle(self) -> None:
        """Close a connection that has no request in progress.

        The first request of a new connection is still in transit.
        """
        if self.expects_first_request:
            return
        if self._task is None and not self.is_receiving:
            self._transport.close()

    def abort_if_busy(self) -> None:
        """Abort the connection if a response is still due on it."""
        if self.busy:
            self._transport.abort()

    @property
    def expects_first_request(self) -> bool:
        """Whether the caller has just connected and sent no request yet."""
        now = asyncio.get_running_loop().time()
        return not self._has_had_request and now < self._first_request_due_at

    @property
    def is_receiving(self) -> bool:
        """Whether a part of the next request has been read."""
        return self._task is None and (
            self._conn.their_state is h11.SEND_BODY
            or bool(self._conn.trailing_data[0])
        )

    @property
    def busy(self) -> bool:
        """Whether a request is in progress, or its response not all sent."""
        return (
            self._task is not None
            or self._transport.get_write_buffer_size() > 0
        )


class ResponseStartedError(WaxwingError):
    """A second response to a request; close the connection instead."""


def _build_request(head: h11.Request, body: bytes) -> HttpRequest:
    """Return the handler's view of a request; raises `ValueError`."""
    headers = head.headers
    raw_target = head.target.decode("ascii", "replace")
    # A path may begin with two slashes; as a reference it would name a host.
    is_path = raw_target.startswith("/")
    target = urlsplit(f"{ORIGIN}{raw_target}" if is_path else raw_target)
    return HttpRequest(
        method=head.method.decode("ascii"),
        target=raw_target,
        path=target.path,
        query=dict(parse_qsl(target.query)),
        headers={n.decode().lower(): v.decode("latin-1") for n, v in headers},
        body=body,
        pairs=tuple(
            (n.decode("ascii"), v.decode("latin-1"))
            for n, v in headers.raw_items()
        ),
    )


def _parts_of(body: bytes) -> Iterator[bytes]:
    """Return a body in parts that are written one after the other."""
    for begin in range(0, len(body), WRITE_BYTES):
        yield body[begin : begin + WRITE_BYTES]


def _encode_head_until_close(status: int, headers: Headers) -> bytes:
    """Encode the head of a response whose body ends with the connection.

    h11 frames a body by itself, except for a client of HTTP/1.0.
    """
    conn = h11.Connection(h11.SERVER)
    conn.receive_data(b"GET / HTTP/1.0\r\n\r\n")
    while not isinstance(conn.next_event(), h11.EndOfMessage):
        pass
    head = h11.Response(status_code=status, headers=_encoded(headers))
    return conn.send(head) or b""


def _encoded(headers: Headers) -> list[tuple[bytes, bytes]]:
    return [(k.encode("ascii"), v.encode("latin-1")) for k, v in headers]
