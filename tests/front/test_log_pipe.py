"""A daemon process whose log pipe nobody reads."""

import asyncio
import json
import tempfile
from pathlib import Path
from typing import Any

import testtools

from standins.fleet import Fleet
from standins.front_process import (
    async_start_front,
    async_wait_front_ready,
    call_headers,
)
from standins.ports import free_port
from tests.helpers import async_test
from waxwingarch.adapters.http_client import HttpClient

READY_TIMEOUT_S = 20.0
CALL_TIMEOUT_S = 10.0
CALLERS = 4
# At 50 lines per second of a kind, this writes more than a pipe holds.
LOAD_DURATION_S = 3.0


class UnreadLog(testtools.TestCase):
    @async_test
    async def test_requests_are_served_while_the_pipe_is_full(self) -> None:
        fleet = Fleet()
        await fleet.async_setup()
        ports = [free_port() for _ in range(4)]
        with tempfile.TemporaryDirectory() as folder:
            settings = Path(folder) / "host.ini"
            settings.write_text(fleet.settings("host-1", ports))
            process = await async_start_front(
                settings, asyncio.subprocess.PIPE, limit=1
            )
            assert process.stdout
            client = HttpClient()
            async with asyncio.timeout(READY_TIMEOUT_S):
                await async_wait_front_ready(client, ports[1])
            await client.async_unload()
            statuses = await self.async_send_requests(ports)
            self.assertEqual({200}, set(statuses))
            process.terminate()
            text = await process.stdout.read()
            self.assertEqual(0, await process.wait())
        await fleet.async_unload()
        lines: list[dict[str, Any]] = [json.loads(x) for x in text.split()]
        dropped = sum(line.get("not_taken", 0) for line in lines)
        self.assertGreater(dropped, 0, f"{len(text)} bytes were read")

    async def async_send_requests(self, ports: list[int]) -> list[int]:
        loop = asyncio.get_running_loop()
        end_at = loop.time() + LOAD_DURATION_S
        statuses: list[int] = []

        async def call(number: int) -> None:
            client = HttpClient()
            while loop.time() < end_at:
                response = await client.async_request(
                    "POST",
                    f"127.0.0.1:{ports[0]}",
                    "/read/" + "x" * 2000,
                    deadline=loop.time() + CALL_TIMEOUT_S,
                    headers=call_headers(self.request_id(number), 9000),
                )
                statuses.append(response.status)
            await client.async_unload()

        await asyncio.gather(*(call(n) for n in range(CALLERS)))
        return statuses

    def request_id(self, number: int) -> str:
        self.request_count = getattr(self, "request_count", 0) + 1
        return f"unread-{number}-{self.request_count}" + "y" * 500
