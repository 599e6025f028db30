"""What the stand-ins share: control paths, faults, start and stop."""

import argparse
import asyncio
import signal
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final
from weakref import WeakSet

from pydantic import ValidationError

from standins.faults import Fault, FaultRequest, Faults
from standins.journal import Journal
from waxwingarch.adapters.http_messages import (
    JSON_TYPE,
    Headers,
    HttpRequest,
    HttpResponder,
    json_body,
)
from waxwingarch.adapters.http_server import (
    HttpServer,
)

LISTEN_IP: Final = "127.0.0.1"
CONTROL_PATHS: Final = ("/faults", "/journal", "/admin/")


class ApiError(Exception):
    """A refusal that is sent as the answer."""

    def __init__(
        self,
        status: int,
        kind: str,
        message: str,
        *,
        headers: Headers = (),
        **fields: Any,
    ) -> None:
        super().__init__(message)
        self.status = status
        self.headers = headers
        self.body = {"error": {"type": kind, "message": message, **fields}}


@dataclass(frozen=True, kw_only=True, slots=True)
class Exchange:
    """One request and the way to answer it."""

    req: HttpRequest
    resp: HttpResponder
    stand_in: "StandIn"

    async def async_hang(self) -> None:
        """Never answer; returns when the caller has closed."""
        await self.resp.disconnected.wait()

    async def async_be_late(self) -> None:
        """Hold an answer back where late answers were asked for.

        Only answers to work call this: polls use up no counted fault.
        """
        late = self.stand_in.faults.take("late_answer")
        if late is not None:
            await asyncio.sleep(late.request.delay_ms / 1000)

    def number(self, name: str, default: int) -> int:
        """Return a whole number from the query; raises `ApiError`."""
        try:
            return int(self.req.query.get(name, default))
        except ValueError:
            raise ApiError(
                400, "bad_request", f"{name}: send a whole number"
            ) from None

    async def async_json(
        self, status: int, value: object, headers: Headers = ()
    ) -> None:
        """Answer with JSON, or never where the connection is silent."""
        await self.async_bytes(status, json_body(value), [JSON_TYPE, *headers])

    async def async_bytes(
        self, status: int, body: bytes, headers: Headers = ()
    ) -> None:
        """Answer with bytes, or never where the connection is silent."""
        if self.muted:
            await self.async_hang()
            return
        await self.resp.async_send(status, body, headers)

    @property
    def muted(self) -> bool:
        """Whether this connection has gone silent for good."""
        return self.resp in self.stand_in.muted


class StandIn:
    """Base of the stand-ins: subclasses override `async_serve`."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.journal = Journal()
        self.faults = Faults(asyncio.get_running_loop().time)
        self.muted: WeakSet[HttpResponder] = WeakSet()
        self.server = HttpServer(self._async_handle, self._on_error)

    async def async_setup(self, port: int) -> int:
        """Listen; returns the port."""
        return await self.server.async_setup(LISTEN_IP, port)

    async def async_unload(self) -> None:
        """Stop at once."""
        await self.server.async_unload()

    async def async_serve(self, exchange: Exchange) -> None:
        """Answer a request that is not about the stand-in itself."""
        raise NotImplementedError

    async def async_admin(self, exchange: Exchange) -> None:
        """Answer a request under `/admin/`."""
        raise ApiError(404, "not_found", "no such path")

    def on_fault(self, fault: Fault, exchange: Exchange) -> None:
        """Act on a fault that was just put in force."""
        if fault.request.kind == "silent":
            others = self.server.connections - {exchange.resp}
            self.muted.update(others)

    def drop_connections(self, keep: HttpResponder | None = None) -> None:
        """Close every connection at once but the one to keep."""
        for conn in list(self.server.connections):
            if conn is not keep:
                conn.abort()

    def _on_error(self, exc: Exception) -> None:
        sys.stderr.write(f"{self.name}: {exc!r}\n")
        self.journal.add("error", message=repr(exc))

    async def _async_handle(
        self, req: HttpRequest, resp: HttpResponder
    ) -> None:
        exchange = Exchange(req=req, resp=resp, stand_in=self)
        try:
            if req.path.startswith(CONTROL_PATHS):
                await self._async_control(exchange)
            elif not await self._async_faulty(exchange):
                await self.async_serve(exchange)
        except ApiError as exc:
            await exchange.async_json(exc.status, exc.body, exc.headers)
        except ValidationError as exc:
            error = ApiError(400, "bad_request", str(exc))
            await exchange.async_json(error.status, error.body)

    async def _async_faulty(self, exchange: Exchange) -> bool:
        """Apply the faults that hit any request; True if it ends here."""
        if exchange.muted:
            await exchange.async_hang()
            return True
        part = part_of(exchange.req.path)
        if self.faults.active("black_hole", part):
            self.journal.add("swallowed", path=exchange.req.path)
            await exchange.async_hang()
            return True
        if self.faults.active("down", part):
            raise ApiError(503, "down", "try again later")
        slow = self.faults.active("slow", part)
        if slow is not None:
            await asyncio.sleep(slow.request.delay_ms / 1000)
        if exchange.req.path == "/health":
            await exchange.async_json(200, {"ok": True, "name": self.name})
            return True
        return False

    async def _async_control(self, exchange: Exchange) -> None:
        req = exchange.req
        match req.method, req.path:
            case "POST", "/faults":
                request = FaultRequest.model_validate_json(req.body)
                self.on_fault(self.faults.add(request), exchange)
                await exchange.async_json(200, {"kind": request.kind})
            case "DELETE", "/faults":
                self.faults.clear()
                await exchange.async_json(200, {})
            case "GET", "/journal":
                entries = self.journal.after(exchange.number("after", 0))
                await exchange.async_json(200, {"entries": entries})
            case _:
                await self.async_admin(exchange)


def part_of(path: str) -> str | None:
    """Return which part of a service a path belongs to."""
    parts = path.split("/", 3)
    return parts[2] if len(parts) > 2 and parts[1] == "v1" else None


def parser_of(description: str) -> argparse.ArgumentParser:
    """Return a parser with the options that all stand-ins have."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--port", type=int, default=0, help="0: any")
    parser.add_argument("--port-file", help="file to write the port to")
    parser.add_argument(
        "--journal-file", help="file that the journal is also appended to"
    )
    parser.add_argument(
        "--fault",
        action="append",
        default=[],
        help="a fault in force from the start, as JSON",
    )
    return parser


async def async_run(stand_in: StandIn, args: argparse.Namespace) -> None:
    """Run a stand-in until SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    if args.journal_file:
        stand_in.journal.mirror_to(Path(args.journal_file))
    _add_faults(stand_in, args.fault)
    port = await stand_in.async_setup(args.port)
    if args.port_file:
        _write_port(Path(args.port_file), port)
    await stopping.wait()
    await stand_in.async_unload()


def _add_faults(stand_in: StandIn, faults: Sequence[str]) -> None:
    for text in faults:
        stand_in.faults.add(FaultRequest.model_validate_json(text))


def _write_port(path: Path, port: int) -> None:
    """Write the port in one step: a reader never sees half of it."""
    part = path.with_suffix(".part")
    part.write_text(f"{port}\n")
    part.replace(path)
