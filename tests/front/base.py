"""A host on the emulated platform, in one event loop."""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Any

from standins.fleet import Fleet
from standins.front_process import KEY, call_headers
from standins.ports import free_port
from waxwingarch.adapters.front_settings import FrontSettings
from waxwingarch.adapters.http_client import HttpClient, HttpResponse
from waxwingarch.adapters.ini import parse_ini, validate
from waxwingarch.front_daemon import FrontDaemon
from waxwingarch.platform.wiring import platform_ports

WAIT_LIMIT_S = 20.0
STEP_S = 0.01
CALL_LIMIT_S = 10.0


async def async_until(ready: Callable[[], Any], what: str) -> None:
    """Wait for a condition."""
    try:
        async with asyncio.timeout(WAIT_LIMIT_S):
            while not ready():  # noqa: ASYNC110
                await asyncio.sleep(STEP_S)
    except TimeoutError:
        raise AssertionError(f"not seen in {WAIT_LIMIT_S} s: {what}") from None


class Host:
    """One daemon and the platform that it runs on."""

    def __init__(self) -> None:
        self.fleet = Fleet()
        self.client = HttpClient()
        self._stack = AsyncExitStack()
        self._ids = 0

    async def __aenter__(self) -> "Host":
        await self.fleet.async_setup()
        self._stack.push_async_callback(self.fleet.async_unload)
        self.ports = [free_port() for _ in range(4)]
        text = self.fleet.settings("host-1", self.ports)
        settings = validate(FrontSettings, parse_ini(text, "made"), "made")
        client = HttpClient()
        self.daemon = FrontDaemon(
            settings, client, platform_ports(settings, client)
        )
        self.task = asyncio.create_task(self.daemon.async_run())
        self._stack.push_async_callback(self._async_stop)
        await async_until(lambda: self.front.ready, "the host is ready")
        count = len(self.fleet.servers)
        await async_until(
            lambda: len(self.front.load_balancer.registry) == count,
            "servers are known",
        )
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.client.async_unload()
        await self._stack.aclose()

    async def _async_stop(self) -> None:
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        await self.daemon.async_unload()

    @property
    def front(self) -> Any:
        """Return the decisions of the daemon."""
        return self.daemon.front

    async def async_ask(
        self,
        path: str,
        *,
        body: bytes = b"",
        key: str = KEY,
        method: str = "POST",
        deadline_ms: int = 5000,
        **headers: str,
    ) -> HttpResponse:
        """Send a request; `headers` have underscores for dashes."""
        self._ids += 1
        fields = [
            *call_headers(f"req-{self._ids}", deadline_ms, key),
            *((k.replace("_", "-"), v) for k, v in headers.items()),
        ]
        now = asyncio.get_running_loop().time()
        return await self.client.async_request(
            method,
            f"127.0.0.1:{self.ports[0]}",
            path,
            deadline=now + CALL_LIMIT_S,
            headers=fields,
            body=body,
        )

    async def async_ready_status(self) -> int:
        """Return what the balancer is told."""
        now = asyncio.get_running_loop().time()
        answer = await self.client.async_request(
            "GET",
            f"127.0.0.1:{self.ports[1]}",
            "/-/readiness",
            deadline=now + CALL_LIMIT_S,
        )
        return answer.status


def event_ids(body: bytes) -> list[int]:
    """Return the ids of the events of a stream."""
    return [
        int(line[4:])
        for line in body.decode().splitlines()
        if line.startswith("id: ")
    ]
