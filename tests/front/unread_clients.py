"""A daemon process, and clients that hold its resources."""

import asyncio
import os
import resource
import socket
import tempfile
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

from standins.fleet import Fleet
from standins.front_process import (
    async_start_front,
    async_wait_front_ready,
    call_headers,
)
from standins.ports import free_port
from waxwingarch.adapters.http_client import HttpClient

LISTEN_IP = "127.0.0.1"
READY_TIMEOUT_S = 30.0
# Long, as the processor may be busy with the requests of the other clients.
CALL_TIMEOUT_S = 30.0
CALL_DEADLINE_MS = 25_000
# With a small buffer, a client's unread answers stay at the host.
RECEIVE_BUFFER_BYTES = 4096
KIB = 1024


@dataclass(kw_only=True)
class FrontProcess:
    """A daemon that runs as a process of its own, on an emulated platform."""

    pid: int
    ports: list[int]
    is_alive: Callable[[], bool]
    client: HttpClient = field(default_factory=HttpClient)

    @property
    def peak_resident_bytes(self) -> int:
        """The most memory that the process has had resident so far."""
        status = Path(f"/proc/{self.pid}/status").read_text()
        [line] = [x for x in status.splitlines() if x.startswith("VmHWM:")]
        return int(line.split()[1]) * KIB

    @property
    def open_descriptors(self) -> int:
        """The file descriptors that the process has open now."""
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    async def async_call(self, request_id: str = "ordinary-1") -> int:
        """Return the status of an ordinary client's request."""
        loop = asyncio.get_running_loop()
        answer = await self.client.async_request(
            "POST",
            f"{LISTEN_IP}:{self.ports[0]}",
            "/read/x",
            deadline=loop.time() + CALL_TIMEOUT_S,
            headers=call_headers(request_id, CALL_DEADLINE_MS),
        )
        return answer.status

    async def async_wait_ready(self) -> None:
        """Wait until a readiness check succeeds; fail after a time."""
        async with asyncio.timeout(CALL_TIMEOUT_S):
            await async_wait_front_ready(self.client, self.ports[1])


@asynccontextmanager
async def front_process(
    max_descriptors: int | None = None,
) -> AsyncIterator[FrontProcess]:
    """Run a daemon, with a limit of its file descriptors if given."""

    def limit_descriptors() -> None:
        if max_descriptors is not None:
            limits = (max_descriptors, max_descriptors)
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)

    fleet = Fleet()
    await fleet.async_setup()
    ports = [free_port() for _ in range(4)]
    with tempfile.TemporaryDirectory() as folder:
        settings = Path(folder) / "host.ini"
        settings.write_text(fleet.settings("host-1", ports))
        process = await async_start_front(
            settings,
            asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,  # type: ignore[arg-type]
            preexec_fn=limit_descriptors,  # type: ignore[arg-type]
        )
        front = FrontProcess(
            pid=process.pid,
            ports=ports,
            is_alive=lambda: process.returncode is None,
        )
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                await async_wait_front_ready(front.client, ports[1])
            yield front
        finally:
            await front.client.async_unload()
            if process.returncode is None:
                process.kill()
            await process.wait()
    await fleet.async_unload()


class UnreadClient:
    """A connection whose answers are not read."""

    def __init__(self) -> None:
        """Create a socket that is not connected yet."""
        self._sock = socket.socket()
        self._sock.setblocking(False)
        self._sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.sent_bytes = 0

    async def async_send(
        self, port: int, data: bytes, deadline: float
    ) -> None:
        """Send bytes to a port until a deadline, or the end of all this.

        It also ends if the host closes the connection, as it may.
        """
        loop = asyncio.get_running_loop()
        view = memoryview(data)
        try:
            async with asyncio.timeout_at(deadline):
                await loop.sock_connect(self._sock, (LISTEN_IP, port))
                for begin in range(0, len(data), 16 * KIB):
                    part = view[begin : begin + 16 * KIB]
                    await loop.sock_sendall(self._sock, part)
                    self.sent_bytes += len(part)
        except OSError:
            # Includes the time-out: the host reads no more.
            return

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()


@asynccontextmanager
async def unread_clients(
    count: int, port: int, data: bytes, limit_s: float
) -> AsyncIterator[list[UnreadClient]]:
    """Let clients send all at once; yield them when all have ended."""
    clients = [UnreadClient() for _ in range(count)]
    deadline = asyncio.get_running_loop().time() + limit_s
    try:
        await asyncio.gather(
            *(c.async_send(port, data, deadline) for c in clients)
        )
        yield clients
    finally:
        for client in clients:
            client.close()
