"""A host without a path relays a request that crashes servers."""

import asyncio
import os
import sys
from pathlib import Path
from typing import Any, Final

from review.standins.deployment import (
    EXIT_BROKEN,
    EXIT_HELD,
    EXIT_NOT_RUN,
    Deployment,
    HostProcess,
    Record,
    run_case,
    say,
)
from standins.front_process import call_headers
from standins.soak.host_links import HostLinks
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.exceptions import LinkError

HOSTS: Final = 3
ENGINES: Final = 2
PLAIN: Final = 10
DEADLINE_S: Final = 3.0
ROUNDS: Final = 6
# Servers are back 3 s after a crash.
ROUND_GAP_S: Final = 6.0
SOUND_WORK_S: Final = 0.06
# How long a server works on the request before it crashes.
DEADLY_WORK_S: Final = 0.9
# When copies of the request are sent, from the start of a round: at the
# other hosts, and at the one that is partitioned from the servers.
AT_OTHERS_S: Final = (0.0, 0.02, 0.04)
AT_PARTITIONED_S: Final = (0.70, 0.76, 0.82, 0.88)
NOT_RUN_STATUSES: Final = (408, 421, 429, 503)
# With TROUBLE=0 the case runs without its disruption.
WANTS_TROUBLE: Final = os.environ.get("TROUBLE", "1") != "0"
RECORD: Final = Path(__file__).with_name("record.txt")


class Case:
    """Sends sound requests, and copies of one that crashes servers."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.deployment = Deployment(record=record)
        self.status_of: dict[str, int] = {}
        self._client = HttpClient()

    async def async_run(self) -> int:
        """Run the case and return the exit code."""
        wants_partition = (
            WANTS_TROUBLE and os.environ.get("PARTITION", "1") != "0"
        )
        fleet = self.deployment.fleet
        links: HostLinks | None = None
        try:
            await self.deployment.async_setup_fleet(ENGINES, PLAIN)
            servers: Any = {s.server_id: s for s in fleet.servers}
            links = HostLinks(servers, fleet.store.server.handler)
            await links.async_setup()
            self.deployment.stores["front-0"] = links.store_address
            await self.deployment.async_start_hosts(HOSTS)
            for server in fleet.plain():
                server.behaviour.work_s = SOUND_WORK_S
            await asyncio.sleep(3)
            if wants_partition:
                self.record.add("front-0 is partitioned from all servers")
                links.partition()
            await self._async_send_sound()
            for number in range(ROUNDS):
                await self._async_round(number)
                await asyncio.sleep(ROUND_GAP_S)
            return self._judge()
        finally:
            await self._client.async_unload()
            await self.deployment.async_unload()
            if links is not None:
                await links.async_unload()

    async def _async_send_sound(self) -> None:
        """Send sound requests to all hosts, for which one needs its peers."""
        hosts = self.deployment.hosts
        for number in range(30):
            await asyncio.gather(
                *(
                    self._async_send(
                        h, f"s{number}-{h.name}", f"/pay/{number}"
                    )
                    for h in hosts
                )
            )

    async def _async_round(self, number: int) -> None:
        """Send copies of one request, of which the first crash servers."""
        target = f"/pay/round-{number}"
        fleet = self.deployment.fleet
        if WANTS_TROUBLE:
            fleet.crashing_inputs.add(target)
        for server in fleet.plain():
            server.behaviour.work_s = DEADLY_WORK_S
        partitioned, *others = self.deployment.hosts
        sends = [
            (at_s, others[n % len(others)])
            for n, at_s in enumerate(AT_OTHERS_S)
        ] + [(at_s, partitioned) for at_s in AT_PARTITIONED_S]

        async def async_send_at(
            at_s: float, host: HostProcess, n: int
        ) -> None:
            await asyncio.sleep(at_s)
            await self._async_send(host, f"d{number}-{n}", target)

        await asyncio.gather(
            *(async_send_at(at, host, n) for n, (at, host) in enumerate(sends))
        )
        for server in fleet.plain():
            server.behaviour.work_s = SOUND_WORK_S

    async def _async_send(
        self, host: HostProcess, request_id: str, target: str
    ) -> None:
        now = asyncio.get_running_loop().time()
        self.record.add(f"sent {request_id} {target} to {host.name}")
        try:
            answer = await self._client.async_request(
                "POST",
                host.callers,
                target,
                deadline=now + DEADLINE_S,
                headers=call_headers(request_id, int(DEADLINE_S * 1000)),
                body=b"pay",
            )
            status, text = answer.status, answer.body.decode("latin-1")
        except LinkError as exc:
            status, text = 0, str(exc)
        self.status_of[request_id] = status
        self.record.add(f"answered {request_id}: {status} {text}")

    def _judge(self) -> int:
        """Look for requests that ran although they were refused."""
        self.deployment.write_runs()
        runs = {run.request_id: run for run in self.deployment.fleet.runs}
        broken = [
            request_id
            for request_id, status in self.status_of.items()
            if status in NOT_RUN_STATUSES and request_id in runs
        ]
        for request_id in broken:
            self.record.add(
                f"REFUSED: {request_id} got {self.status_of[request_id]} and"
                f" ran on {runs[request_id].server_id}"
            )
        sound = [s for r, s in self.status_of.items() if r.startswith("s")]
        deadly = [s for r, s in self.status_of.items() if r.startswith("d")]
        summary = (
            f"sound requests answered with 200: {sound.count(200)} of"
            f" {len(sound)}; others by status:"
            f" { {s: deadly.count(s) for s in sorted(set(deadly))} };"
            f" refused as not run, but run: {len(broken)}"
        )
        self.record.add(summary)
        say(summary)
        if sound.count(200) < len(sound) / 2:
            return EXIT_NOT_RUN
        return EXIT_BROKEN if broken else EXIT_HELD


def main() -> int:
    """Run the case."""
    return run_case(RECORD, lambda record: Case(record).async_run())


if __name__ == "__main__":
    sys.exit(main())
