"""A model engine or plain server of the emulated users' platform."""

import asyncio
import itertools
import time
from collections.abc import Callable
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field
from typing import Any, Final

import orjson

from standins.fleet_store import LISTEN_IP
from standins.refusals import NOT_EXECUTED_HEADER, Refusals
from standins.run_copies import RunCopies
from standins.until_close import UntilCloseResponder, reset, send_raw
from waxwingarch.adapters.http_messages import (
    JSON_TYPE,
    HttpRequest,
    HttpResponder,
)
from waxwingarch.adapters.http_server import HttpServer

REQUEST_ID_HEADER: Final = "X-Waxwingarch-Request-Id"
SERVER_STAMP_HEADER: Final = "X-Waxwingarch-Server-Stamp"
SERVER_LEAVING_HEADER: Final = "Server-Leaving"
SERVER_LIMIT_HEADER: Final = "Server-Limit"
COLD_REMAINING_HEADER: Final = "X-Waxwingarch-Cold-Remaining-Ms"
SERVER_BRITTLE_HEADER: Final = "Server-Brittle"
KV_SOURCE_HEADER: Final = "Kv-From"
PROMPT_PREFIX_HEADER: Final = "X-Waxwingarch-Prompt-Prefix"
SMALL_CHUNK: Final = b"1\r\nx\r\n"
SMALL_CHUNKS_PER_WRITE: Final = 2_000
ENDLESS_PAUSE_S: Final = 0.005
STOP_POLL_S: Final = 0.005
HTTP_OK: Final = 200


@dataclass(kw_only=True, slots=True)
class Run:
    """The execution of one request by a server.

    Times are monotonic, in seconds. `events` is the number of the last event
    sent; `ended` is empty, "done", "error", "dropped" (the caller
    disconnected), "moved" (the KV cache was handed to another server),
    "broken" (the server closed the connection amid the response) or
    "crashed" (the request ended its server).
    """

    request_id: str
    server_id: str
    headers: dict[str, str]
    target: str
    body: bytes
    events: int = 0
    ended: str = ""
    began_at: float = field(default_factory=time.monotonic)
    ended_at: float = float("inf")

    @property
    def copy(self) -> str:
        """The copy from which the run goes on; empty for a new run."""
        return self.headers.get(KV_SOURCE_HEADER.lower(), "")


@dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """A request that reached a server, at a monotonic time in seconds.

    `limit_per_s` is the limit that the response names, if it names one.
    """

    at: float
    request_id: str
    limit_per_s: float | None


@dataclass(kw_only=True, slots=True)
class Behaviour:
    """How a server answers; the fault `how` hits the next `count` requests.

    `how` is one of: error (500), shed (503, not run), mute (no response),
    endless (a body in chunks of one byte that does not end),
    cut (the connection of a stream closes within an event), reset (the
    connection is reset after an event or within the body), lost (the request
    runs, then the connection closes), unsigned (no server stamp), stray (the
    response carries the id of another request). `event_s` is the pause
    between events, `work_s` the duration of a plain request. `retry_after`
    is the Retry-After header of the responses to shed requests.
    A call to move a run takes `move_delay_s` until the run is stopped;
    `move_reply` replaces the body of its response, and `move_status` its
    status.
    With `until_close` all answers have neither a length nor chunks and end
    with their connection. With `ignores_close` an engine does not look at
    its caller's connection between two events, so that it notices a close
    only as it writes.
    A share `refuse_ratio` of the requests gets 429 or 503, as full servers
    do. `copies` says which copies of refusals, also of 421, come where the
    next answer on the connection is due (see `standins.refusals`); with none
    it is empty.
    """

    events: int = 5
    event_s: float = 0.002
    work_s: float = 0.002
    how: str = ""
    count: int = 0
    retry_after: str = ""
    move_delay_s: float = 0.0
    move_reply: bytes = b""
    move_status: int = 200
    until_close: bool = False
    ignores_close: bool = False
    refuse_ratio: float = 0.0
    copies: str = ""


class FleetServer:
    """A server that speaks the platform's protocol between host and server."""

    def __init__(
        self,
        server_id: str,
        service: str,
        zone: str,
        *,
        engine: bool,
        runs: list[Run],
        crashing_inputs: AbstractSet[str] = frozenset(),
        on_crash: Callable[["FleetServer"], None] = lambda server: None,
        on_run_end: Callable[[Run], None] = lambda run: None,
        port: int = 0,
    ) -> None:
        self.server_id = server_id
        # The id under which it is registered; it may start under another.
        self.instance_id = server_id
        self.service = service
        self.zone = zone
        self.engine = engine
        self.runs = runs
        self.behaviour = Behaviour()
        # When requests were turned away, in monotonic seconds.
        self.shed_at: list[float] = []
        self.address = ""
        self.spot = False
        # Whether all responses say that this server is shutting down.
        self.announces_leaving = False
        # The requests a second that all responses name as a limit, if any.
        self.limit_per_s: float | None = None
        self.cold_remaining: str | None = None
        self.arrivals: list[Arrival] = []
        # The rejections a second that the server survives, if it is brittle.
        self.brittle: int | None = None
        self.born = 1_000
        self._running: dict[str, tuple[Run, asyncio.Event]] = {}
        self._moving: set[str] = set()
        self._handles = itertools.count(1)
        self._copies = RunCopies()
        self._refusals = Refusals(server_id)
        # The ids of prompt parts, and the targets, under which the server
        # crashes.
        self._crashing_inputs = crashing_inputs
        self.is_down = True
        self._on_crash = on_crash
        self._on_run_end = on_run_end
        self._port = port
        self._not_silent = asyncio.Event()
        self._not_silent.set()
        self.server = HttpServer(self._async_handle)

    async def async_setup(self) -> None:
        """Listen on the given port, or on a free one."""
        self.server = HttpServer(self._async_handle)
        port = await self.server.async_setup(LISTEN_IP, self._port)
        self.address = f"{LISTEN_IP}:{port}"
        self.is_down = False

    async def async_unload(self) -> None:
        """Abort all connections and stop, as in a crash."""
        self.is_down = True
        self._abort_connections()
        await self._copies.async_unload()
        await self.server.async_unload()

    def _abort_connections(self) -> None:
        """Abort all connections; an answer must not look complete by it."""
        for conn in list(self.server.connections):
            if self.behaviour.until_close:
                reset(conn)
            else:
                conn.abort()

    async def async_apply_behaviour(self) -> None:
        """Put a changed behaviour in force, where this is needed."""

    async def async_fall_silent(self, silent_s: float) -> None:
        """Do nothing for a time, also amid streams, and then go on."""
        self._not_silent.clear()
        await asyncio.sleep(silent_s)
        self._not_silent.set()

    def running(self, request_id: str) -> bool:
        """Return whether a request is running on this server."""
        return request_id in self._running

    def row(self, state: str = "ready", **overrides: Any) -> bytes:
        """Return this server's registration row as JSON."""
        row: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self.born,
        }
        if self.engine:
            model = {"name": "m", "version": 1, "adapters": []}
            row |= {"stage": "both", "models": [model]}
        if self.spot:
            row["spot"] = True
        return orjson.dumps(row | overrides)

    async def _async_handle(
        self, req: HttpRequest, resp: HttpResponder
    ) -> None:
        self.arrivals.append(
            Arrival(
                at=time.monotonic(),
                request_id=req.headers.get(REQUEST_ID_HEADER.lower(), ""),
                limit_per_s=self.limit_per_s,
            )
        )
        await self._not_silent.wait()
        copies = self.behaviour.copies
        if req.path == "/-/kv-move":
            await self._refusals.async_send_due(resp, copies)
            await self._async_kv_move(orjson.loads(req.body), resp)
            return
        if await self._copies.async_handle(req, resp):
            return
        target = req.headers.get("x-waxwingarch-target-instance")
        if target not in (None, self.instance_id):
            request_id = req.headers[REQUEST_ID_HEADER.lower()]
            await self._refusals.async_refuse(
                resp, 421, [(REQUEST_ID_HEADER, request_id)], copies
            )
            return
        how = self._next_fault()
        headers = [
            (REQUEST_ID_HEADER, req.headers.get(REQUEST_ID_HEADER.lower(), ""))
        ]
        if self.announces_leaving:
            headers.append((SERVER_LEAVING_HEADER, "1"))
        if self.limit_per_s is not None:
            headers.append((SERVER_LIMIT_HEADER, f"{self.limit_per_s:g}"))
        if self.cold_remaining is not None:
            headers.append((COLD_REMAINING_HEADER, self.cold_remaining))
        if self.brittle is not None:
            headers.append((SERVER_BRITTLE_HEADER, str(self.brittle)))
        if how == "shed":
            self.shed_at.append(time.monotonic())
            refusal: tuple[int, str] | None = 503, self.behaviour.retry_after
        else:
            refusal = self._refusals.choose(self.behaviour.refuse_ratio)
        if refusal:
            status, retry_after = refusal
            headers.append((NOT_EXECUTED_HEADER, "1"))
            if retry_after:
                headers.append(("Retry-After", retry_after))
            await self._refusals.async_refuse(resp, status, headers, copies)
            return
        if how == "mute":
            await resp.disconnected.wait()
            return
        handle = req.headers.get(KV_SOURCE_HEADER.lower(), "").partition("/")[
            2
        ]
        if handle and not self._copies.take(handle):
            await resp.async_send(
                503, b"", [*headers, (NOT_EXECUTED_HEADER, "1")]
            )
            return
        if self.behaviour.until_close:
            resp = UntilCloseResponder(resp)
        await self._async_run(req, resp, how, headers)

    def _next_fault(self) -> str:
        if not self.behaviour.count:
            return ""
        self.behaviour.count -= 1
        return self.behaviour.how

    async def _async_run(
        self,
        req: HttpRequest,
        resp: HttpResponder,
        how: str,
        headers: list[tuple[str, str]],
    ) -> None:
        run = Run(
            request_id=req.headers.get(REQUEST_ID_HEADER.lower(), ""),
            server_id=self.server_id,
            headers=req.headers,
            target=req.target,
            body=req.body,
        )
        self.runs.append(run)
        try:
            await self._refusals.async_send_due(resp, self.behaviour.copies)
            await self._async_answer(run, req, resp, how, headers)
        finally:
            run.ended_at = min(run.ended_at, time.monotonic())
            self._on_run_end(run)

    async def _async_answer(
        self,
        run: Run,
        req: HttpRequest,
        resp: HttpResponder,
        how: str,
        headers: list[tuple[str, str]],
    ) -> None:
        if how == "lost":
            run.ended = "broken"
            resp.abort()
            return
        if how != "unsigned":
            headers.append((SERVER_STAMP_HEADER, f"stamp-{self.server_id}"))
        if how == "error":
            run.ended = "error"
            await resp.async_send(500, b"failed", headers)
            return
        if how == "endless":
            run.ended = "broken"
            await _async_send_without_end(resp, headers)
            return
        if how == "stray":
            headers[0] = (REQUEST_ID_HEADER, "another-request")
        if self.engine:
            await self._async_events(run, resp, how, headers)
            return
        await asyncio.sleep(self.behaviour.work_s)
        await self._not_silent.wait()
        if self._crashes_on(run):
            self._crash(run)
            return
        body = orjson.dumps({"echo": len(req.body)})
        if how == "reset":
            await resp.async_start(200, [JSON_TYPE, *headers])
            await resp.async_write(body[:-2])
            run.ended = "broken"
            reset(resp)
            return
        run.ended = "done"
        await resp.async_send(200, body, [JSON_TYPE, *headers])

    def _crashes_on(self, run: Run) -> bool:
        """Return whether the target or a part but the last is a bad one."""
        prefix = run.headers.get(PROMPT_PREFIX_HEADER.lower(), "")
        parts = [entry.partition(":")[0] for entry in prefix.split(",")]
        return not self._crashing_inputs.isdisjoint((run.target, *parts[:-1]))

    def _crash(self, run: Run) -> None:
        if self.is_down:
            return
        self.is_down = True
        run.ended, run.ended_at = "crashed", time.monotonic()
        self._abort_connections()
        self._on_crash(self)

    async def _async_events(
        self,
        run: Run,
        resp: HttpResponder,
        how: str,
        headers: list[tuple[str, str]],
    ) -> None:
        first_number = int(run.headers.get("last-event-id", 0)) + 1
        stop = asyncio.Event()
        self._running[run.request_id] = (run, stop)
        kind = ("Content-Type", "text/event-stream")
        try:
            await resp.async_start(200, [kind, *headers])
            for number in range(first_number, self.behaviour.events + 1):
                disconnected = await self._async_pause(resp, stop)
                await self._not_silent.wait()
                if disconnected or self._sees_close(resp):
                    run.ended = "dropped"
                    return
                if self._crashes_on(run):
                    self._crash(run)
                    return
                if stop.is_set():
                    run.ended = "moved"
                    await self._async_cut(resp)
                    return
                event = f"id: {number}\ndata: token {number}\n\n"
                run.events = number
                if how == "cut" and number == first_number + 1:
                    await resp.async_write(event[:6].encode())
                    run.ended = "broken"
                    await self._async_cut(resp)
                    return
                await resp.async_write(event.encode())
                if how == "reset" and number == first_number + 1:
                    run.ended = "broken"
                    reset(resp)
                    return
            run.ended = "done"
            await resp.async_end()
        finally:
            run.ended_at = time.monotonic()
            self._running.pop(run.request_id, None)

    async def _async_pause(
        self, resp: HttpResponder, stop: asyncio.Event
    ) -> bool:
        """Wait for the next event, or until the run is stopped.

        Returns whether the caller has gone.
        """
        waits = [asyncio.create_task(stop.wait())]
        if not self.behaviour.ignores_close:
            waits.append(asyncio.create_task(resp.disconnected.wait()))
        try:
            await asyncio.wait(
                waits,
                timeout=self.behaviour.event_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            for wait in waits:
                wait.cancel()
        return self._sees_close(resp)

    def _sees_close(self, resp: HttpResponder) -> bool:
        return not self.behaviour.ignores_close and resp.disconnected.is_set()

    async def _async_cut(self, resp: HttpResponder) -> None:
        if self.behaviour.until_close:
            # The end of the connection is all that shows the cut.
            await resp.async_end()
        else:
            resp.abort()

    async def _async_kv_move(self, order: Any, resp: HttpResponder) -> None:
        """Copy a run to another engine; with `last`, stop it first."""
        request_id = order["id"]
        found = self._running.get(request_id)
        if found is None:
            await resp.async_send(404, b"")
            return
        if request_id in self._moving:
            await resp.async_send(409, b"")
            return
        self._moving.add(request_id)
        try:
            await self._async_move(*found, order, resp)
        finally:
            self._moving.discard(request_id)

    async def _async_move(
        self,
        run: Run,
        stop: asyncio.Event,
        order: Any,
        resp: HttpResponder,
    ) -> None:
        handle = f"h-{self.server_id}-{self.born}-{next(self._handles)}"
        is_last = bool(order.get("last"))
        await asyncio.sleep(self.behaviour.move_delay_s)
        if is_last:
            stop.set()
            while run.request_id in self._running:  # noqa: ASYNC110
                await asyncio.sleep(STOP_POLL_S)
            self._copies.keep(handle, order["target"])
        status = self.behaviour.move_status
        if status == HTTP_OK and not await self._copies.async_send(
            handle, order["target"], self.address
        ):
            status = 503
        fields: dict[str, Any] = {"created": run.events}
        if is_last or status == HTTP_OK:
            fields |= {"handle": handle}
        body = orjson.dumps(fields)
        reply = self.behaviour.move_reply or body
        await resp.async_send(status, reply, [JSON_TYPE])


async def _async_send_without_end(
    resp: HttpResponder, headers: list[tuple[str, str]]
) -> None:
    """Send chunks of one byte until the caller closes the connection."""
    await resp.async_start(200, [JSON_TYPE, *headers])
    while not resp.disconnected.is_set():
        send_raw(resp, SMALL_CHUNK * SMALL_CHUNKS_PER_WRITE)
        await asyncio.sleep(ENDLESS_PAUSE_S)
