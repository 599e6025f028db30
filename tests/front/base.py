"""A host and its emulated platform in one event loop."""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Any

from standins.fleet import Fleet
from standins.fleet_server import FleetServer
from standins.front_process import KEY, call_headers
from standins.ports import free_address, free_port
from standins.soak.link import Link
from waxwingarch.adapters.front_settings import FrontSettings
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.http_connection import HttpResponse
from waxwingarch.adapters.ini import parse_ini, validate
from waxwingarch.front_daemon import FrontDaemon
from waxwingarch.platform.wiring import platform_ports

WAIT_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.01
CALL_TIMEOUT_S = 10.0


async def async_until(condition: Callable[[], Any], description: str) -> None:
    """Wait until a condition holds; fail with its description."""
    try:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(POLL_INTERVAL_S)
    except TimeoutError:
        raise AssertionError(
            f"not seen in {WAIT_TIMEOUT_S} s: {description}"
        ) from None


class Host:
    """One front daemon and the emulated platform that it runs on."""

    def __init__(
        self,
        server_type: type[FleetServer] = FleetServer,
        more_settings: str = "",
    ) -> None:
        self._more_settings = more_settings
        self.fleet = Fleet(server_type)
        self.client = HttpClient()
        self._stack = AsyncExitStack()
        self._request_count = 0

    async def __aenter__(self) -> "Host":
        await self.fleet.async_setup()
        self._stack.push_async_callback(self.fleet.async_unload)
        self.ports = [free_port() for _ in range(4)]
        self.admin_address = free_address()
        text = self.fleet.settings(
            "host-1", self.ports, admin=self.admin_address
        )
        text += self._more_settings
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

    async def async_change_config(self, **fields: Any) -> None:
        """Write fields of a next configuration; wait until it is applied."""
        cfg = self.fleet.config
        for name, value in fields.items():
            setattr(cfg, name, value)
        cfg.version += 1
        self.fleet.put_config()
        await async_until(
            lambda: self.front.table.version == cfg.version,
            f"the configuration is applied: {fields}",
        )

    async def async_add_links(self) -> dict[str, Link]:
        """Put a link before each server; return the links by server id."""
        links = {}
        for server in self.fleet.servers:
            link = links[server.server_id] = Link(server.address)
            self._stack.push_async_callback(link.async_unload)
            await link.async_setup()
            self.fleet.register(server, address=link.address)
        registry = self.front.load_balancer.registry
        await async_until(
            lambda: all(
                registry.get(server_id).server.address == link.address
                for server_id, link in links.items()
            ),
            "the links are known",
        )
        return links

    @property
    def front(self) -> Any:
        """Return the daemon's front node."""
        return self.daemon.front

    async def async_send(
        self,
        path: str,
        *,
        body: bytes = b"",
        key: str = KEY,
        method: str = "POST",
        deadline_ms: int = 5000,
        **headers: str,
    ) -> HttpResponse:
        """Send a caller's request; `headers` have underscores for dashes."""
        self._request_count += 1
        fields = [
            *call_headers(f"req-{self._request_count}", deadline_ms, key),
            *((k.replace("_", "-"), v) for k, v in headers.items()),
        ]
        now = asyncio.get_running_loop().time()
        return await self.client.async_request(
            method,
            f"127.0.0.1:{self.ports[0]}",
            path,
            deadline=now + CALL_TIMEOUT_S,
            headers=fields,
            body=body,
        )

    async def async_ready_status(self) -> int:
        """Return the status of a readiness check."""
        response = await self._async_get(self.ports[1], "/-/readiness")
        return response.status

    async def async_metrics(self, path: str = "/metrics") -> HttpResponse:
        """Return what the metrics address answers on a path."""
        return await self._async_get(self.ports[3], path)

    async def _async_get(self, port: int, path: str) -> HttpResponse:
        now = asyncio.get_running_loop().time()
        return await self.client.async_request(
            "GET", f"127.0.0.1:{port}", path, deadline=now + CALL_TIMEOUT_S
        )


def event_ids(body: bytes) -> list[int]:
    """Return the event ids in the body of a stream."""
    return [
        int(line[4:])
        for line in body.decode().splitlines()
        if line.startswith("id: ")
    ]
