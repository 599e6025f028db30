"""Helpers for the tests of the stand-ins."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

from standins import engine, platform, service
from standins.base import StandIn
from standins.sse import SseReader
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.http_connection import HttpResponse
from waxwingarch.adapters.http_messages import (
    json_body,
)

TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.005


class Peer:
    """A client of a stand-in that runs on the test's event loop."""

    def __init__(self, stand_in: Any, address: str) -> None:
        self.stand_in = stand_in
        self.address = address
        self.http = HttpClient()

    async def send(
        self,
        method: str,
        path: str,
        body: object = None,
        headers: tuple[tuple[str, str], ...] = (),
        limit_s: float = TIMEOUT_S,
    ) -> HttpResponse:
        return await self.http.async_request(
            method,
            self.address,
            path,
            deadline=asyncio.get_running_loop().time() + limit_s,
            headers=headers,
            body=b"" if body is None else json_body(body),
        )

    async def json(self, method: str, path: str, body: object = None) -> Any:
        return (await self.send(method, path, body)).json()

    async def fault(self, kind: str, **options: object) -> None:
        answer = await self.send("POST", "/faults", {"kind": kind, **options})
        assert answer.status == 200, answer.body

    async def complete(self, **body: object) -> Any:
        return await self.json("POST", "/v1/completions", body)

    async def chunks(self, method: str, path: str, body: object = None) -> Any:
        answer = await self.send(method, path, body)
        return [e.data for e in SseReader().feed(answer.body)]

    def journal(self, what: str) -> list[Any]:
        entries = self.stand_in.journal.after(0)
        return [e for e in entries if e["what"] == what]


@asynccontextmanager
async def _running(stand_in: StandIn) -> AsyncIterator[Peer]:
    port = await stand_in.async_setup(0)
    peer = Peer(stand_in, f"127.0.0.1:{port}")
    try:
        yield peer
    finally:
        await peer.http.async_unload()
        await stand_in.async_unload()


@asynccontextmanager
async def running_platform(*options: str) -> AsyncIterator[Peer]:
    args = platform.build_parser().parse_args(list(options))
    async with _running(platform.Platform(args)) as peer:
        yield peer


@asynccontextmanager
async def running_engine(*options: str) -> AsyncIterator[Peer]:
    required = ["--server-id", "e1", "--service", "pool", *options]
    fast = ["--tokens-per-second", "2000", "--cache-lag-s", "0"]
    args = engine.build_parser().parse_args([*fast, *required])
    async with _running(engine.Engine(args)) as peer:
        yield peer


@asynccontextmanager
async def running_service(*options: str) -> AsyncIterator[Peer]:
    required = ["--server-id", "s1", "--service", "ledger", *options]
    args = service.build_parser().parse_args(required)
    async with _running(service.PlainService(args)) as peer:
        yield peer


async def wait_until(condition: Callable[[], Awaitable[bool]]) -> None:
    """Poll until a condition holds."""
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            if await condition():
                return
            await asyncio.sleep(POLL_INTERVAL_S)
