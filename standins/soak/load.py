"""Callers of a soak, and what they saw."""

import asyncio
import time
from dataclasses import dataclass
from random import Random
from typing import Final

from standins.campaign_report import Report
from standins.front_process import KEY, call_headers
from standins.soak.world import World
from waxwingarch.adapters.http_client import HttpClient, HttpResponse
from waxwingarch.exceptions import LinkError

PAUSE_S: Final = 0.4
CALL_LIMIT_S: Final = 15.0
STAY: Final = 0.85
LEAVE: Final = 0.06
# Path, most seconds that the route allows, and how often it is called.
ROUTES: Final = {
    "/draft/": (5.0, 3),
    "/chat/": (5.0, 3),
    "/read/": (2.0, 3),
    "/pay/": (2.0, 3),
}
STREAMS: Final = ("/draft/", "/chat/")
NOT_REPEATED: Final = ("/chat/", "/pay/")


@dataclass(kw_only=True, slots=True)
class Call:
    """One request of a caller; times are monotonic, in seconds."""

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
    left_at: float | None = None

    @property
    def status(self) -> int:
        """The status of the answer; 0 for none."""
        return self.answer.status if self.answer else 0

    def told(self) -> str:
        """Return the call for evidence."""
        took = self.ended_at - self.sent_at
        return (
            f"{self.request_id} {self.route} at {self.host}: "
            f"{self.status or self.error} after {took:.2f} s"
        )


class Load:
    """Callers that use their connections for as long as these last."""

    def __init__(self, world: World, report: Report, seed: int) -> None:
        self._world = world
        self._report = report
        self._seed = seed
        self.calls: list[Call] = []
        self.added_keys: list[str] = []
        self._ended = False

    async def async_run(self, callers: int) -> None:
        """Call until told to end."""
        async with asyncio.TaskGroup() as group:
            for number in range(callers):
                group.create_task(self._async_caller(number))

    def end(self) -> None:
        """Begin no more calls."""
        self._ended = True

    async def _async_caller(self, number: int) -> None:
        rng = Random(f"{self._seed}/{number}")
        client = HttpClient()
        host = rng.choice(sorted(self._world.daemons))
        weights = [weight for _, weight in ROUTES.values()]
        try:
            while not self._ended:
                if rng.random() > STAY:
                    host = rng.choice(sorted(self._world.daemons))
                route = rng.choices(list(ROUTES), weights)[0]
                call = self._new_call(rng, f"c{number}", route, host)
                await self._async_call(call, client, rng)
                if not call.status:
                    host = rng.choice(sorted(self._world.daemons))
                await asyncio.sleep(rng.uniform(0, PAUSE_S))
        finally:
            await client.async_unload()

    def _new_call(self, rng: Random, who: str, route: str, host: str) -> Call:
        keys = [KEY] * 6 + self.added_keys[-3:]
        call = Call(
            request_id=f"{who}-{len(self.calls)}",
            route=route,
            key=rng.choice(keys),
            size=rng.randrange(1, 4000),
            host=host,
            incarnation=self._world.daemons[host].incarnation,
            sent_at=time.monotonic(),
        )
        self.calls.append(call)
        return call

    async def _async_call(
        self, call: Call, client: HttpClient, rng: Random
    ) -> None:
        limit_s = CALL_LIMIT_S
        leaves = call.route in STREAMS and rng.random() < LEAVE
        if leaves:
            limit_s = rng.uniform(0.05, 0.4)
        try:
            async with asyncio.timeout(limit_s):
                call.answer = await self._async_send(call, client)
        except TimeoutError:
            if leaves:
                call.left_at = time.monotonic()
            call.error = "no end"
        except LinkError as exc:
            call.error = f"{type(exc).__name__}: {exc}"
        call.ended_at = time.monotonic()
        self._report.count(f"{call.route.strip('/')} {call.status or 'none'}")

    async def _async_send(
        self, call: Call, client: HttpClient
    ) -> HttpResponse:
        route_s, _ = ROUTES[call.route]
        daemon = self._world.daemons[call.host]
        return await client.async_request(
            "POST",
            daemon.callers.address,
            f"{call.route}{call.size}",
            deadline=asyncio.get_running_loop().time() + CALL_LIMIT_S,
            headers=call_headers(
                call.request_id, int(route_s * 1000), call.key
            ),
            body=b"x" * call.size,
        )
