"""A loopback TCP proxy that injects faults into its connections."""

import asyncio
import socket
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from standins.fleet_store import LISTEN_IP
from standins.until_close import reset_transport

READ_BYTES: Final = 65_536
BACKLOG: Final = 100


class LinkFault(StrEnum):
    """How a link treats the bytes that it forwards.

    DELAY delays all bytes, CUT_THERE drops those to the target, CUT_BACK
    those from it, SILENT both; REFUSE resets new connections.
    """

    NONE = "none"
    DELAY = "delay"
    REFUSE = "refuse"
    CUT_THERE = "cut there"
    CUT_BACK = "cut back"
    SILENT = "silent"


class LinkEnd(StrEnum):
    """Which end of a link's connections is reset.

    With CLIENT_FOR_GOOD the target is never told: what it writes is taken.
    With CLIENT it is told by what comes back for its next bytes. The client
    is not told with TARGET.
    """

    BOTH = "both"
    CLIENT = "client"
    CLIENT_FOR_GOOD = "client for good"
    TARGET = "target"


DROPS_TO_TARGET: Final = (LinkFault.CUT_THERE, LinkFault.SILENT)
DROPS_FROM_TARGET: Final = (LinkFault.CUT_BACK, LinkFault.SILENT)
DROPS_ANYTHING: Final = frozenset((*DROPS_TO_TARGET, *DROPS_FROM_TARGET))


@dataclass(eq=False, kw_only=True, slots=True)
class _ProxiedConnection:
    """A connection through a link.

    `dropping_writers` are those to which nothing is forwarded any more.
    `reset_end` says which end was reset, if one was.
    """

    client_writer: asyncio.StreamWriter
    target_writer: asyncio.StreamWriter
    dropping_writers: set[asyncio.StreamWriter] = field(default_factory=set)
    reset_end: LinkEnd | None = None

    def reset(self, end: LinkEnd = LinkEnd.BOTH) -> None:
        """Reset an end: a response that ends with it is cut off."""
        self.reset_end = end
        if end is LinkEnd.CLIENT_FOR_GOOD:
            self.dropping_writers.add(self.client_writer)
        if end is not LinkEnd.TARGET:
            reset_transport(self.client_writer.transport)
        if end in (LinkEnd.BOTH, LinkEnd.TARGET):
            reset_transport(self.target_writer.transport)

    def passes_end_on(self, writer: asyncio.StreamWriter) -> bool:
        """Return whether the other end learns that one has closed."""
        return self.reset_end is None and writer not in self.dropping_writers


class Link:
    """Forwards connections to one address, with an optional fault.

    TCP never skips bytes. Once a byte was dropped, its direction stays
    silent until the connection closes, also after the fault has ended.
    While bytes are dropped, new connections get no answer.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.delay_s = 0.0
        self._fault = LinkFault.NONE
        self._connections: set[_ProxiedConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._listener: socket.socket | None = None
        self._accepting: asyncio.Task[None] | None = None
        # Fills the queue of the listener while it answers nobody.
        self._filler: socket.socket | None = None
        # Holds the port while the link is closed: the system could give it
        # to an outgoing connection otherwise.
        self._reserved: socket.socket | None = None

    @property
    def fault(self) -> LinkFault:
        """The fault that is in force."""
        return self._fault

    @fault.setter
    def fault(self, fault: LinkFault) -> None:
        self._fault = fault
        if self._listener is None:
            return
        self._stop_accepting(self._listener)
        self._close_filler()
        if fault in DROPS_ANYTHING:
            self._fill_queue(self._listener)
        else:
            self._start_accepting(self._listener)

    async def async_setup(self) -> None:
        """Listen on a free port."""
        self._listen(0)
        assert self._listener
        port = self._listener.getsockname()[1]
        self.address = f"{LISTEN_IP}:{port}"

    def _listen(self, port: int) -> None:
        self._listener = socket.create_server((LISTEN_IP, port))
        self._listener.setblocking(False)
        self.fault = self._fault

    def _fill_queue(self, listener: socket.socket) -> None:
        """Let the kernel drop the packets of new connections."""
        listener.listen(0)
        self._filler = socket.socket()
        self._filler.setblocking(False)
        self._filler.connect_ex(listener.getsockname())

    def _close_filler(self) -> None:
        if self._filler is not None:
            self._filler.close()
            self._filler = None

    def _start_accepting(self, listener: socket.socket) -> None:
        listener.listen(BACKLOG)
        self._accepting = asyncio.create_task(self._async_accept(listener))

    def _stop_accepting(self, listener: socket.socket) -> None:
        if self._accepting is None:
            return
        self._accepting.cancel()
        self._accepting = None
        # The cancelled wait ends only later, when the socket may be closed.
        asyncio.get_running_loop().remove_reader(listener)

    async def _async_accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(listener)
            task = asyncio.create_task(self._async_handle_socket(sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _async_handle_socket(self, sock: socket.socket) -> None:
        try:
            reader, writer = await asyncio.open_connection(sock=sock)
        except OSError:
            sock.close()
            return
        await self._async_handle_connection(reader, writer)

    def close(self) -> None:
        """Refuse connections, as the address of a target that crashed."""
        self.reset()
        if self._listener is None:
            return
        self._stop_accepting(self._listener)
        self._listener.close()
        self._listener = None
        self._close_filler()
        host, _, port = self.address.rpartition(":")
        self._reserved = socket.socket()
        self._reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._reserved.bind((host, int(port)))

    def _release(self) -> None:
        if self._reserved is not None:
            self._reserved.close()
            self._reserved = None

    async def async_reopen(self, target: str) -> None:
        """Accept connections again, to the next incarnation's address."""
        self.target = target
        self._release()
        if self._listener is None:
            self._listen(int(self.address.rpartition(":")[2]))

    async def async_unload(self) -> None:
        """Stop listening and reset the open connections."""
        self.close()
        self._release()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self, end: LinkEnd = LinkEnd.BOTH) -> None:
        """Reset one or both ends of all open connections."""
        for connection in list(self._connections):
            connection.reset(end)

    async def _async_handle_connection(
        self, reader: asyncio.StreamReader, client_writer: asyncio.StreamWriter
    ) -> None:
        if self.fault is LinkFault.REFUSE:
            client_writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            client_writer.transport.abort()
            return
        connection = _ProxiedConnection(
            client_writer=client_writer, target_writer=target_writer
        )
        self._connections.add(connection)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._async_copy(
                        connection, reader, target_writer, DROPS_TO_TARGET
                    )
                )
                group.create_task(
                    self._async_copy(
                        connection,
                        target_reader,
                        client_writer,
                        DROPS_FROM_TARGET,
                    )
                )
        finally:
            self._connections.discard(connection)
            client_writer.transport.abort()
            target_writer.transport.abort()

    async def _async_copy(
        self,
        connection: _ProxiedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dropping_faults: tuple[LinkFault, ...],
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if self.fault is LinkFault.DELAY:
                    await asyncio.sleep(self.delay_s)
                if self.fault in dropping_faults:
                    connection.dropping_writers.add(writer)
                if writer in connection.dropping_writers:
                    continue
                writer.write(data)
                await writer.drain()
            if connection.passes_end_on(writer):
                writer.write_eof()
        except (OSError, RuntimeError):
            connection.reset()
