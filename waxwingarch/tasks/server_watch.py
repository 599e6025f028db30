"""Polls load and cache events of the engines that this host watches."""

import asyncio
from random import Random
from typing import Any, Final

from waxwingarch.adapters.matching_client import MatchingClient
from waxwingarch.core.base import Server, ServerId, ServerKind
from waxwingarch.core.cluster.items import LoadSummary
from waxwingarch.core.events import CacheRead, LoadRead
from waxwingarch.core.placement.prefix import CacheEvent, CacheOp
from waxwingarch.exceptions import LinkError
from waxwingarch.tasks.runner import ContractRunner

POLL_PERIOD_S: Final = 1.0
CALL_TIMEOUT_S: Final = 1.0
MS_PER_S: Final = 1000


class ServerWatch:
    """Polls all watched engines about once per `POLL_PERIOD_S`.

    The period is randomized by up to 10 %.
    """

    def __init__(
        self, runner: ContractRunner, client: MatchingClient, rng: Random
    ) -> None:
        self._runner = runner
        self._client = client
        self._rng = rng
        self._task: asyncio.Task[None] | None = None
        self._calls: set[asyncio.Task[None]] = set()
        self._last_sequence: dict[ServerId, int] = {}

    async def async_setup(self) -> None:
        """Start polling."""
        self._task = asyncio.create_task(self._async_poll())

    async def async_unload(self) -> None:
        """Stop polling."""
        for task in [self._task, *self._calls]:
            if task:
                task.cancel()

    async def _async_poll(self) -> None:
        while True:
            node = self._runner.node
            servers = [node.servers.get(s) for s in node.fleet.watched_servers]
            for server in servers:
                if server and server.kind is ServerKind.ENGINE:
                    self._spawn(server)
            await asyncio.sleep(POLL_PERIOD_S * self._rng.uniform(0.9, 1.1))

    def _spawn(self, server: Server) -> None:
        task = asyncio.create_task(self._async_read_server(server))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _async_read_server(self, server: Server) -> None:
        """Poll one server; a failed read is retried in the next period."""
        try:
            load = await self._async_get(server, "/v1/load")
            self._runner.post(LoadRead(load=_parse_load(server, load)))
            last_sequence = self._last_sequence.get(server.server_id, 0)
            target = f"/v1/cache/events?after={last_sequence}"
            response = await self._async_get(server, target)
            sequence = int(response["seq"])
            events = tuple(_parse_event(entry) for entry in response["events"])
        except (LinkError, ValueError, KeyError, TypeError):
            return
        self._last_sequence[server.server_id] = sequence
        self._runner.post(
            CacheRead(
                server_id=server.server_id,
                incarnation=server.incarnation,
                events=events,
            )
        )

    async def _async_get(self, server: Server, target: str) -> Any:
        loop = asyncio.get_running_loop()
        response = await self._client.async_request(
            "GET",
            server.address,
            target,
            deadline=loop.time() + CALL_TIMEOUT_S,
        )
        return response.json()


def _parse_load(server: Server, report: Any) -> LoadSummary:
    """Return the reported load, with the incarnation from the registry."""
    return LoadSummary(
        server_id=server.server_id,
        incarnation=server.incarnation,
        as_of_ms=int(float(report["as_of"]) * MS_PER_S),
        running=int(report["running"]),
        waiting=int(report["waiting"]),
        kv_used=int(report["kv_used"]),
        kv_total=int(report["kv_total"]),
    )


def _parse_event(entry: Any) -> CacheEvent:
    return CacheEvent(
        sequence=int(entry["seq"]),
        op=CacheOp(entry["op"]),
        block=str(entry["block"]),
    )
