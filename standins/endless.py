"""Measures a host's memory while servers write without end.

`python -m standins.endless --kind chunks` starts one host as a process, 12
plain servers and 6 engines, and prints the peak of its resident memory and
of what its kernel holds unread, with what became of the callers' requests.
"""

import argparse
import asyncio
import os
import re
import tempfile
import time
from asyncio.subprocess import DEVNULL, Process
from collections import Counter
from collections.abc import Iterator
from contextlib import AsyncExitStack, closing, suppress
from pathlib import Path
from typing import Final

from standins.fleet import Fleet
from standins.fleet_server import FleetServer
from standins.fleet_store import LISTEN_IP
from standins.front_process import (
    KEY,
    async_start_front,
    async_wait_front_ready,
    call_headers,
)
from standins.ports import free_port
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.exceptions import LinkError

ENGINES: Final = 6
PLAIN: Final = 12
KIB: Final = 1024
MIB: Final = KIB * KIB
CHUNK_BYTES: Final = 32 * KIB
SAMPLE_INTERVAL_S: Final = 0.05
DEADLINE_MS: Final = 4_000
CALL_TIMEOUT_S: Final = 8.0
REFUSED_STATUSES: Final = (503, 504)
# So many bytes of a refusal say why, for a test that fails.
MAX_LOGGED_BYTES: Final = 120
LATE_READ_S: Final = 0.5
REQUEST_ID: Final = re.compile(rb"x-waxwingarch-request-id: ([^\r]+)", re.I)
INODE: Final = re.compile(r"socket:\[(\d+)\]")
SOUND_BODY: Final = b'{"sound":true}'
CHUNKED: Final = "Transfer-Encoding: chunked"
SOUND_BYTES: Final = 3_900_000
EVENT: Final = b"data: " + b"x" * (CHUNK_BYTES - 8) + b"\n\n"
# The status and framing of a response, by the kind of its endless body.
HEADS: Final = {
    "length": ("200 OK", "Content-Length: 1000000000000"),
    "chunks": ("200 OK", CHUNKED),
    "until-close": ("200 OK", "Connection: close"),
    "large": ("200 OK", f"Content-Length: {SOUND_BYTES}"),
    "error": ("500 Failed", CHUNKED),
    "rejection": ("503 Busy", f"{CHUNKED}\r\nX-Waxwingarch-Not-Executed: 1"),
    "event": ("200 OK", CHUNKED),
    "events": ("200 OK", CHUNKED),
    "comments": ("200 OK", CHUNKED),
    "surplus": ("200 OK", f"Content-Length: {len(SOUND_BODY)}"),
}
STREAM_KINDS: Final = ("event", "events", "comments")


def parts_of(kind: str) -> Iterator[bytes]:
    """Return the parts of a body, before its chunks are framed."""
    if kind == "surplus":
        yield SOUND_BODY
    if kind == "large":
        for _ in range(SOUND_BYTES // CHUNK_BYTES):
            yield b"x" * CHUNK_BYTES
        yield b"x" * (SOUND_BYTES % CHUNK_BYTES)
        return
    if kind == "event":
        yield b"id: 1\ndata: "
    number = 0
    while True:
        number += 1
        if kind == "events":
            yield b"id: %d\n" % number + EVENT
        elif kind == "comments":
            yield b": " + b"x" * (CHUNK_BYTES - 4) + b"\n\n"
        else:
            yield b"x" * CHUNK_BYTES


class EndlessServer:
    """Answers each request with a body that does not end."""

    def __init__(self, kind: str, bytes_per_s: float) -> None:
        self._kind = kind
        self._pause_s = CHUNK_BYTES / bytes_per_s if bytes_per_s else 0.0

    async def async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until it is closed."""
        with closing(writer), suppress(ConnectionError, EOFError):
            while True:
                await self._async_answer(reader, writer)

    async def _async_answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        found = REQUEST_ID.search(head)
        status, framing = HEADS[self._kind]
        media_type = (
            "text/event-stream" if self._kind in STREAM_KINDS else "text/plain"
        )
        lines = (
            f"HTTP/1.1 {status}",
            "X-Waxwingarch-Server-Stamp: s",
            f"X-Waxwingarch-Request-Id: {found[1].decode() if found else ''}",
            f"Content-Type: {media_type}",
            framing,
        )
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        is_chunked = framing.startswith(CHUNKED)
        for part in parts_of(self._kind):
            writer.write(
                b"%x\r\n%s\r\n" % (len(part), part) if is_chunked else part
            )
            await writer.drain()
            await asyncio.sleep(self._pause_s)


def unread_bytes(pid: int) -> int:
    """Return what the kernel holds unread for the sockets of a process."""
    inodes = set()
    for entry in os.scandir(f"/proc/{pid}/fd"):
        with suppress(OSError):
            found = INODE.match(os.readlink(entry.path))
            inodes.update([found[1]] if found else [])
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[9] in inodes and fields[3] != "0A":
            total += int(fields[4].partition(":")[2], 16)
    return total


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


class Measurement:
    """One host, its endless and sound servers, and its callers."""

    def __init__(self, args: argparse.Namespace) -> None:
        self._args = args
        self._fleet = Fleet()
        self._stack = AsyncExitStack()
        self._ports = [free_port() for _ in range(4)]
        self._process: Process | None = None
        self.before_bytes = 0
        self.peak_bytes = 0
        self.statuses: Counter[str] = Counter()
        # The first bytes of the bodies of refusals.
        self.refusals: Counter[str] = Counter()

    async def async_run(self, folder: Path) -> None:
        """Start everything, send the requests, and measure meanwhile."""
        args = self._args
        await self._fleet.async_setup(ENGINES, PLAIN)
        self._stack.push_async_callback(self._fleet.async_unload)
        try:
            await self._async_start_host(folder)
            is_stream = args.kind in STREAM_KINDS
            servers = (
                self._fleet.engines() if is_stream else self._fleet.plain()
            )
            endless = servers[: args.servers or len(servers)]
            for server in endless:
                await self._async_replace(server)
            await asyncio.sleep(1.0)
            assert self._process is not None
            self.before_bytes = resident_bytes(self._process.pid)
            sampler = asyncio.create_task(self._async_sample())
            path = "/draft/x" if is_stream else "/read/x"
            await asyncio.gather(
                *(self._async_call(n, path) for n in range(args.callers)),
                *(
                    self._async_sound_calls(n, is_stream)
                    for n in range(args.sound)
                ),
            )
            sampler.cancel()
        finally:
            if self._process is not None and self._process.returncode is None:
                self._process.kill()
                await self._process.wait()
            await self._stack.aclose()

    async def _async_start_host(self, folder: Path) -> None:
        text = self._fleet.settings("host-0", self._ports)
        if self._args.memory_mb:
            text += f"[bounds]\nmemory_mb = {self._args.memory_mb}\n"
        settings = folder / "host.ini"
        settings.write_text(text)
        self._process = await async_start_front(
            settings, DEVNULL, tree=self._args.tree
        )
        await async_wait_front_ready(HttpClient(), self._ports[1])

    async def _async_replace(self, server: FleetServer) -> None:
        """Let an endless server have the entry of a sound one."""
        endless = EndlessServer(self._args.kind, self._args.bytes_per_s)
        listener = await asyncio.start_server(
            endless.async_serve, LISTEN_IP, 0, backlog=1024
        )
        self._stack.callback(listener.close)
        port = listener.sockets[0].getsockname()[1]
        self._fleet.register(server, address=f"{LISTEN_IP}:{port}", born=2_000)

    async def _async_sample(self) -> None:
        assert self._process is not None
        pid = self._process.pid
        while self._process.returncode is None:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            with suppress(OSError):
                held = resident_bytes(pid) + unread_bytes(pid)
                self.peak_bytes = max(self.peak_bytes, held)

    async def _async_call(self, number: int, path: str) -> None:
        self.statuses[await self._async_send(f"c-{number}", path)] += 1

    async def _async_sound_calls(self, number: int, is_stream: bool) -> None:
        """Send requests to the service that has no endless servers."""
        path = "/read/x" if is_stream else "/draft/x"
        until = time.monotonic() + DEADLINE_MS / 1000
        count = 0
        while time.monotonic() < until:
            count += 1
            status = await self._async_send(f"s-{number}-{count}", path)
            self.statuses[f"sound {status}"] += 1
            await asyncio.sleep(0.1)

    async def _async_send(self, request_id: str, path: str) -> str:
        client = HttpClient()
        deadline = asyncio.get_running_loop().time() + CALL_TIMEOUT_S
        try:
            async with client.async_stream(
                "POST",
                f"{LISTEN_IP}:{self._ports[0]}",
                path,
                deadline=deadline,
                headers=call_headers(request_id, DEADLINE_MS, KEY),
            ) as stream:
                start = b""
                while (part := await stream.async_read(deadline)) is not None:
                    start = start or part[:MAX_LOGGED_BYTES]
                    if self._args.late and not request_id.startswith("s-"):
                        await asyncio.sleep(LATE_READ_S)
                if stream.status in REFUSED_STATUSES:
                    self.refusals[start.decode(errors="replace")] += 1
                return str(stream.status)
        except LinkError as exc:
            return type(exc).__name__
        finally:
            await client.async_unload()


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m standins.endless", description=__doc__
    )
    parser.add_argument("--kind", choices=sorted(HEADS), action="append")
    parser.add_argument("--callers", type=int, default=300)
    parser.add_argument("--sound", type=int, default=20)
    parser.add_argument("--servers", type=int, default=0, help="0: all")
    parser.add_argument("--bytes-per-s", type=float, default=900_000)
    parser.add_argument("--late", action="store_true", help="read late")
    parser.add_argument("--memory-mb", type=int, default=0)
    parser.add_argument("--tree", type=Path, help="folder of another build")
    return parser


def measure(args: argparse.Namespace) -> Measurement:
    """Measure one kind of response."""
    with tempfile.TemporaryDirectory() as folder:
        measurement = Measurement(args)
        asyncio.run(measurement.async_run(Path(folder)))
    return measurement


def main() -> None:
    """Print a line for each kind of response."""
    args = build_parser().parse_args()
    for kind in args.kind or sorted(HEADS):
        args.kind = kind
        found = measure(args)
        print(
            f"{kind}, {args.callers} callers, servers {args.servers or 'all'},"
            f" {args.bytes_per_s / MIB:.2f} MiB/s:"
            f" {found.before_bytes / MIB:.0f} MiB before,"
            f" {found.peak_bytes / MIB:.0f} MiB at most,"
            f" {dict(found.statuses)}",
            flush=True,
        )


if __name__ == "__main__":
    main()
