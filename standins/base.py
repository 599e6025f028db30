"""The base of the stand-ins: control paths, faults, start and stop."""

import argparse
import asyncio
import os
import signal
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final
from weakref import WeakKeyDictionary, WeakSet

from pydantic import ValidationError

from standins.faults import Fault, FaultRequest, Faults
from standins.journal import Journal
from standins.until_close import encode_response, send_raw
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
from waxwingarch.const import HEADER_CALL_ID

LISTEN_IP: Final = "127.0.0.1"
CONTROL_PATHS: Final = ("/faults", "/journal", "/admin/")


class ApiError(Exception):
    """A refusal that is sent as the response."""

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
    """One request and the means to respond to it."""

    req: HttpRequest
    resp: HttpResponder
    stand_in: "StandIn"

    async def async_wait_disconnect(self) -> None:
        """Wait until the caller disconnects, without a response."""
        await self.resp.disconnected.wait()

    async def async_delay_response(self) -> None:
        """Delay the response if a `late_answer` fault is active.

        Only responses to work are delayed, so that polls use up no counted
        fault.
        """
        delay_fault = self.stand_in.faults.consume("late_answer")
        if delay_fault is not None:
            await asyncio.sleep(delay_fault.request.delay_ms / 1000)

    def int_query(self, name: str, default: int) -> int:
        """Return an integer of the query; raises `ApiError`."""
        try:
            return int(self.req.query.get(name, default))
        except ValueError:
            raise ApiError(
                400, "bad_request", f"{name}: send a whole number"
            ) from None

    async def async_json(
        self, status: int, value: object, headers: Headers = ()
    ) -> None:
        """Respond with JSON, or never if the connection is muted."""
        await self.async_bytes(status, json_body(value), [JSON_TYPE, *headers])

    async def async_bytes(
        self, status: int, body: bytes, headers: Headers = ()
    ) -> None:
        """Respond with bytes, or never if the connection is muted."""
        if self.is_muted:
            await self.async_wait_disconnect()
            return
        sent = [*headers, *self.call_id_headers]
        self.send_copy()
        await self.resp.async_send(status, body, sent)
        is_control = self.req.path.startswith(CONTROL_PATHS)
        if self.stand_in.faults.active("copies") and not is_control:
            copy = encode_response(status, body, sent)
            self.stand_in.copies[self.resp] = copy

    def send_copy(self) -> None:
        """Send the copy of the connection's last answer that is due."""
        copy = self.stand_in.copies.pop(self.resp, None)
        if copy is not None:
            send_raw(self.resp, copy)

    @property
    def call_id_headers(self) -> Headers:
        """The id of the call, which each answer repeats."""
        call_id = self.req.headers.get(HEADER_CALL_ID)
        return () if call_id is None else ((HEADER_CALL_ID, call_id),)

    @property
    def is_muted(self) -> bool:
        """Whether a `silent` fault muted this connection, for its lifetime."""
        return self.resp in self.stand_in.muted_connections


class StandIn:
    """The base of the stand-ins; subclasses override `async_serve`."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.journal = Journal()
        self.faults = Faults(asyncio.get_running_loop().time)
        self.muted_connections: WeakSet[HttpResponder] = WeakSet()
        self.copies: WeakKeyDictionary[HttpResponder, bytes] = (
            WeakKeyDictionary()
        )
        self.server = HttpServer(self._async_handle, self._on_error)

    async def async_setup(self, port: int) -> int:
        """Start listening and return the port."""
        return await self.server.async_setup(LISTEN_IP, port)

    async def async_unload(self) -> None:
        """Stop without waiting for requests in progress."""
        await self.server.async_unload()

    async def async_serve(self, exchange: Exchange) -> None:
        """Serve a request to the emulated system."""
        raise NotImplementedError

    async def async_admin(self, exchange: Exchange) -> None:
        """Serve a request under `/admin/`."""
        raise ApiError(404, "not_found", "no such path")

    def on_fault(self, fault: Fault, exchange: Exchange) -> None:
        """Act on a fault that was just added."""
        if fault.request.kind == "silent":
            other_connections = self.server.connections - {exchange.resp}
            self.muted_connections.update(other_connections)

    def drop_connections(self, keep: HttpResponder | None = None) -> None:
        """Abort every connection but the one to keep."""
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
            elif not await self._async_apply_request_faults(exchange):
                await self.async_serve(exchange)
        except ApiError as exc:
            await exchange.async_json(exc.status, exc.body, exc.headers)
        except ValidationError as exc:
            error = ApiError(400, "bad_request", str(exc))
            await exchange.async_json(error.status, error.body)

    async def _async_apply_request_faults(self, exchange: Exchange) -> bool:
        """Apply the faults of any request; return whether it was handled.

        `/health` is served here too, after the faults.
        """
        if exchange.is_muted:
            await exchange.async_wait_disconnect()
            return True
        part = service_part(exchange.req.path)
        if self.faults.active("black_hole", part):
            self.journal.add("swallowed", path=exchange.req.path)
            await exchange.async_wait_disconnect()
            return True
        if self.faults.active("down", part):
            raise ApiError(503, "down", "try again later")
        crash = self.faults.active("crash", part)
        if crash and crash.request.text.encode() in exchange.req.body:
            os._exit(1)
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
                entries = self.journal.after(exchange.int_query("after", 0))
                await exchange.async_json(200, {"entries": entries})
            case _:
                await self.async_admin(exchange)


def service_part(path: str) -> str | None:
    """Return the part of a service in a path `/v1/<part>/...`."""
    parts = path.split("/", 3)
    return parts[2] if len(parts) > 2 and parts[1] == "v1" else None


def base_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the options common to all stand-ins."""
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
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    if args.journal_file:
        stand_in.journal.mirror_to(Path(args.journal_file))
    _add_faults(stand_in, args.fault)
    port = await stand_in.async_setup(args.port)
    if args.port_file:
        _write_port(Path(args.port_file), port)
    await stop_requested.wait()
    await stand_in.async_unload()


def _add_faults(stand_in: StandIn, faults: Sequence[str]) -> None:
    for text in faults:
        stand_in.faults.add(FaultRequest.model_validate_json(text))


def _write_port(path: Path, port: int) -> None:
    """Write the port atomically: a reader never sees a partial file."""
    temporary_path = path.with_suffix(".part")
    temporary_path.write_text(f"{port}\n")
    temporary_path.replace(path)
