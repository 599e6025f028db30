"""Reads load and cache events of the servers that this host watches."""

import asyncio
from random import Random
from typing import Any, Final

from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.core.base import Server, ServerId, ServerKind
from waxwingarch.core.cluster.items import LoadSummary
from waxwingarch.core.events import CacheRead, LoadRead
from waxwingarch.core.placement.prefix import CacheEvent, CacheOp
from waxwingarch.exceptions import LinkError
from waxwingarch.tasks.runner import ContractRunner

PERIOD_S: Final = 1.0
CALL_LIMIT_S: Final = 1.0
MS_PER_S: Final = 1000


class ServerWatch:
    """Polls each watched engine once a period, spread over the period."""

    def __init__(
        self, runner: ContractRunner, client: HttpClient, rng: Random
    ) -> None:
        self._runner = runner
        self._client = client
        self._rng = rng
        self._task: asyncio.Task[None] | None = None
        self._calls: set[asyncio.Task[None]] = set()
        self._seen: dict[ServerId, int] = {}

    async def async_setup(self) -> None:
        """Begin to poll."""
        self._task = asyncio.create_task(self._async_poll())

    async def async_unload(self) -> None:
        """Stop polling."""
        for task in [self._task, *self._calls]:
            if task:
                task.cancel()

    async def _async_poll(self) -> None:
        while True:
            node = self._runner.node
            watched = [node.servers.get(s) for s in node.fleet.watched_servers]
            for server in watched:
                if server and server.kind is ServerKind.ENGINE:
                    self._spawn(server)
            await asyncio.sleep(PERIOD_S * self._rng.uniform(0.9, 1.1))

    def _spawn(self, server: Server) -> None:
        task = asyncio.create_task(self._async_read(server))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _async_read(self, server: Server) -> None:
        """Read one server; what fails is read again in the next round."""
        try:
            load = await self._async_get(server, "/v1/load")
            self._runner.post(LoadRead(load=_load(server, load)))
            seen = self._seen.get(server.server_id, 0)
            target = f"/v1/cache/events?after={seen}"
            answer = await self._async_get(server, target)
        except (LinkError, ValueError, KeyError, TypeError):
            return
        self._seen[server.server_id] = int(answer["seq"])
        events = tuple(_event(entry) for entry in answer["events"])
        self._runner.post(
            CacheRead(
                server_id=server.server_id,
                incarnation=server.incarnation,
                events=events,
            )
        )

    async def _async_get(self, server: Server, target: str) -> Any:
        loop = asyncio.get_running_loop()
        answer = await self._client.async_request(
            "GET", server.address, target, deadline=loop.time() + CALL_LIMIT_S
        )
        return answer.json()


def _load(server: Server, said: Any) -> LoadSummary:
    """Return a load; the list's incarnation names the server."""
    return LoadSummary(
        server_id=server.server_id,
        incarnation=server.incarnation,
        as_of_ms=int(float(said["as_of"]) * MS_PER_S),
        running=int(said["running"]),
        waiting=int(said["waiting"]),
        kv_used=int(said["kv_used"]),
        kv_total=int(said["kv_total"]),
    )


def _event(entry: Any) -> CacheEvent:
    return CacheEvent(
        sequence=int(entry["seq"]),
        op=CacheOp(entry["op"]),
        block=str(entry["block"]),
    )
