"""Callers of a soak, and a record of each call they make."""

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass, replace
from random import Random
from typing import Final

from standins.campaign_report import Report
from standins.fleet_server import PROMPT_PREFIX_HEADER, Run
from standins.front_process import KEY, call_headers
from standins.soak.annex import ANNEX_PATH
from standins.soak.promises import NOT_RUN_STATUSES
from standins.soak.world import World
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.http_connection import (
    ConnectFailedError,
    HttpResponse,
)
from waxwingarch.exceptions import LinkError

MAX_PAUSE_S: Final = 0.4
MAX_REPEAT_PAUSE_S: Final = 0.2
CALL_TIMEOUT_S: Final = 15.0
STAY_ON_HOST_PROBABILITY: Final = 0.85
DISCONNECT_PROBABILITY: Final = 0.06
# Bodies are smaller than this, in bytes; that which crashes servers is not.
MAX_SIZE: Final = 4000
# For each path: time limit of the route in seconds, and weight of the path
# in the random choice of calls.
ROUTES: Final = {
    "/draft/": (5.0, 3),
    "/chat/": (5.0, 3),
    "/read/": (2.0, 3),
    "/pay/": (2.0, 3),
    ANNEX_PATH: (2.0, 2),
}
STREAM_ROUTES: Final = ("/draft/", "/chat/")
NON_IDEMPOTENT_ROUTES: Final = ("/chat/", "/pay/")
# The first part of all prompts.
SHARED_PART: Final = "5a11"
CRASHING_PART_PROBABILITY: Final = 0.25
CRASHING_REQUEST_PROBABILITY: Final = 0.5
PROMPT_PART_TOKENS: Final = 100


@dataclass(kw_only=True, slots=True)
class Call:
    """One request of a caller.

    Times are monotonic, in seconds. `size` is that of the body, in bytes.
    `parts` are those of the prompt of a stream; `crashing_input` is the one,
    or the target, that crashes servers. `has_begun` says whether a response
    began. `repeated_at` is when the caller sent the refused request again,
    with its id, which is a call of its own.
    """

    request_id: str
    route: str
    key: str
    size: int
    host: str
    incarnation: int
    sent_at: float
    ended_at: float = float("inf")
    answer: HttpResponse | None = None
    error: str = ""
    disconnected_at: float | None = None
    parts: tuple[str, ...] = ()
    crashing_input: str = ""
    has_begun: bool = False
    # Whether no connection could be opened, so that nothing was sent.
    is_unsent: bool = False
    repeated_at: float = float("inf")

    @property
    def status(self) -> int:
        """The status of the response; 0 if there was none."""
        return self.answer.status if self.answer else 0

    def is_refused_untruly(self, runs: Sequence[Run]) -> bool:
        """Return whether it was refused as not run though it ran."""
        return self.status in NOT_RUN_STATUSES and any(
            run.began_at < self.repeated_at for run in runs
        )

    def describe(self) -> str:
        """Return a description of the call for evidence."""
        duration_s = self.ended_at - self.sent_at
        return (
            f"{self.request_id} {self.route} at {self.host}: "
            f"{self.status or self.error} after {duration_s:.2f} s"
        )


class LoadGenerator:
    """Runs callers that reuse their connections until these fail."""

    def __init__(self, world: World, report: Report, seed: int) -> None:
        self._world = world
        self._report = report
        self._seed = seed
        self.calls: list[Call] = []
        self.added_keys: list[str] = []
        # The id of the part that crashes servers; empty while none does.
        self.crashing_part = ""
        # Route and size of the request that crashes servers.
        self.crashing_request: tuple[str, int] | None = None
        self._is_stopping = False
        # Callers leave a stream after a gap of this length.
        self.patience_s = float("inf")
        # Replaces the deadlines that callers of streams state.
        self.stream_deadline_s: float | None = None
        # The probability that a caller repeats a call that was refused.
        self.repeat_probability = 0.0

    async def async_run(self, callers: int) -> None:
        """Run the callers until `stop_calls` is called."""
        async with asyncio.TaskGroup() as group:
            for number in range(callers):
                group.create_task(self._async_caller(number))

    def stop_calls(self) -> None:
        """Let the callers finish their calls and start no more."""
        self._is_stopping = True

    async def _async_caller(self, number: int) -> None:
        rng = Random(f"{self._seed}/{number}")
        client = HttpClient()
        host = rng.choice(sorted(self._world.daemons))
        weights = [weight for _, weight in ROUTES.values()]
        try:
            while not self._is_stopping:
                if rng.random() > STAY_ON_HOST_PROBABILITY:
                    host = rng.choice(sorted(self._world.daemons))
                route = rng.choices(list(ROUTES), weights)[0]
                call = self._new_call(rng, f"c{number}", route, host)
                await self._async_call(call, client, rng)
                if call.status in NOT_RUN_STATUSES and (
                    rng.random() < self.repeat_probability
                ):
                    await self._async_repeat(call, client, rng)
                if not call.status:
                    host = rng.choice(sorted(self._world.daemons))
                await asyncio.sleep(rng.uniform(0, MAX_PAUSE_S))
        finally:
            await client.async_unload()

    async def _async_repeat(
        self, call: Call, client: HttpClient, rng: Random
    ) -> None:
        """Send a refused request again, with its id, to the same host."""
        await asyncio.sleep(rng.uniform(0, MAX_REPEAT_PAUSE_S))
        again = replace(
            call, sent_at=time.monotonic(), answer=None, has_begun=False
        )
        call.repeated_at = again.sent_at
        self.calls.append(again)
        await self._async_call(again, client, rng)

    def _new_call(
        self, rng: Random, caller: str, route: str, host: str
    ) -> Call:
        keys = [KEY] * 6 + self.added_keys[-3:]
        call = Call(
            request_id=f"{caller}-{len(self.calls)}",
            route=route,
            key=rng.choice(keys),
            size=rng.randrange(1, MAX_SIZE),
            host=host,
            incarnation=self._world.daemons[host].incarnation,
            sent_at=time.monotonic(),
        )
        if route in STREAM_ROUTES:
            self._add_parts(rng, call)
        elif self.crashing_request and (
            rng.random() < CRASHING_REQUEST_PROBABILITY
        ):
            call.key = KEY
            call.route, call.size = self.crashing_request
            call.crashing_input = f"{call.route}{call.size}"
        self.calls.append(call)
        return call

    def _add_parts(self, rng: Random, call: Call) -> None:
        if self.crashing_part and rng.random() < CRASHING_PART_PROBABILITY:
            call.crashing_input = self.crashing_part
        middle = (call.crashing_input,) if call.crashing_input else ()
        call.parts = (SHARED_PART, *middle, f"{len(self.calls):x}")

    async def _async_call(
        self, call: Call, client: HttpClient, rng: Random
    ) -> None:
        limit_s = CALL_TIMEOUT_S
        will_disconnect = (
            call.route in STREAM_ROUTES
            and rng.random() < DISCONNECT_PROBABILITY
        )
        if will_disconnect:
            limit_s = rng.uniform(0.05, 0.4)
        try:
            async with asyncio.timeout(limit_s):
                call.answer = await self._async_send(call, client)
        except TimeoutError:
            if will_disconnect:
                call.disconnected_at = time.monotonic()
            call.error = "no end"
        except LinkError as exc:
            call.is_unsent = isinstance(exc, ConnectFailedError)
            call.error = f"{type(exc).__name__}: {exc}"
        call.ended_at = time.monotonic()
        self._report.count(f"{call.route.strip('/')} {call.status or 'none'}")

    async def _async_send(
        self, call: Call, client: HttpClient
    ) -> HttpResponse:
        route_s, _ = ROUTES[call.route]
        is_stream = call.route in STREAM_ROUTES
        if is_stream and self.stream_deadline_s is not None:
            route_s = self.stream_deadline_s
        daemon = self._world.daemons[call.host]
        headers = call_headers(call.request_id, int(route_s * 1000), call.key)
        if call.parts:
            entries = (f"{part}:{PROMPT_PART_TOKENS}" for part in call.parts)
            headers.append((PROMPT_PREFIX_HEADER, ",".join(entries)))
        loop = asyncio.get_running_loop()
        deadline = loop.time() + CALL_TIMEOUT_S
        patience_s = self.patience_s if is_stream else CALL_TIMEOUT_S
        async with client.async_stream(
            "POST",
            daemon.callers.address,
            f"{call.route}{call.size}",
            deadline=min(deadline, loop.time() + patience_s),
            headers=headers,
            body=b"x" * call.size,
        ) as stream:
            call.has_begun = True
            parts = []
            while not stream.complete:
                until = min(deadline, loop.time() + patience_s)
                parts.append(await stream.async_read(until) or b"")
            body = b"".join(parts)
        return HttpResponse(
            status=stream.status, headers=stream.headers, body=body
        )
