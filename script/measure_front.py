"""Measures the processor time and memory of a host on the users' platform.

Usage: script/measure front [--requests 2000] [--events 50] [--profile FILE]

Runs one daemon process for each log level, and the emulated platform in
this process. The processor time is that of the daemon only. A few callers
with persistent connections send the requests. With --profile the daemon
runs under cProfile.
"""

import argparse
import asyncio
import pstats
import signal
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

from script.measure_tools import cpu_s, peak_mb, rss_mb
from standins.fleet import Fleet
from standins.fleet_store import LISTEN_IP
from standins.front_process import (
    async_start_front,
    async_wait_front_ready,
    call_headers,
)
from standins.ports import free_port
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.log_stream import Level

CALLERS: Final = 8
CALL_TIMEOUT_S: Final = 20.0
READY_TIMEOUT_S: Final = 30.0
DEADLINE_MS: Final = 10_000
MS_PER_S: Final = 1000
IDLE_PERIOD_S: Final = 5.0
UNLIMITED_LINES_PER_S: Final = 1_000_000
PROFILE_ROWS: Final = 25


@dataclass(kw_only=True, slots=True)
class HostCosts:
    """Costs of one daemon: processor time, memory and log size."""

    request_ms: float = 0.0
    event_ms: float = 0.0
    idle_ms_per_s: float = 0.0
    start_mb: float = 0.0
    peak_mb: float = 0.0
    log_bytes: int = 0


@dataclass(kw_only=True, slots=True)
class MeasuredHost:
    """One daemon under load, with one log level."""

    args: argparse.Namespace
    folder: Path
    level: str
    lines_per_s: int
    fleet: Fleet = field(default_factory=Fleet)
    ports: list[int] = field(
        default_factory=lambda: [free_port() for _ in range(4)]
    )
    request_count: int = 0

    async def async_measure(self) -> HostCosts:
        """Start platform and daemon, send the load, stop both."""
        await self.fleet.async_setup()
        for server in self.fleet.engines():
            server.behaviour.events = self.args.events
        text = self.fleet.settings("host-1", self.ports)
        text += f"[log]\nlevel = {self.level}\n"
        text += f"lines_per_s = {self.lines_per_s}\n"
        settings = self.folder / "host.ini"
        settings.write_text(text)
        log = self.folder / "host.log"
        python_options: list[str] = []
        if self.args.profile:
            python_options = ["-m", "cProfile", "-o", str(self.args.profile)]
        with log.open("wb") as out:
            process = await async_start_front(
                settings, out, python=python_options
            )
        try:
            costs = await self._async_measure_load(process.pid)
        finally:
            process.send_signal(signal.SIGTERM)
            await process.wait()
            await self.fleet.async_unload()
        costs.log_bytes = log.stat().st_size
        return costs

    async def _async_measure_load(self, pid: int) -> HostCosts:
        async with asyncio.timeout(READY_TIMEOUT_S):
            client = HttpClient()
            await async_wait_front_ready(client, self.ports[1])
            await client.async_unload()
        costs = HostCosts(start_mb=rss_mb(pid))
        count = self.args.requests
        await self._async_send_requests("/read/x", CALLERS * 10)
        cpu_before_s = cpu_s(pid)
        await asyncio.sleep(IDLE_PERIOD_S)
        costs.idle_ms_per_s = (
            (cpu_s(pid) - cpu_before_s) * MS_PER_S / IDLE_PERIOD_S
        )
        cpu_before_s = cpu_s(pid)
        await self._async_send_requests("/read/x", count)
        costs.request_ms = (cpu_s(pid) - cpu_before_s) * MS_PER_S / count
        cpu_before_s = cpu_s(pid)
        await self._async_send_requests("/chat/x", count // 4)
        stream_ms = (cpu_s(pid) - cpu_before_s) * MS_PER_S / (count // 4)
        costs.event_ms = (stream_ms - costs.request_ms) / self.args.events
        costs.peak_mb = peak_mb(pid)
        return costs

    async def _async_send_requests(self, path: str, count: int) -> None:
        async with asyncio.TaskGroup() as group:
            for _ in range(CALLERS):
                group.create_task(
                    self._async_run_caller(path, count // CALLERS)
                )

    async def _async_run_caller(self, path: str, count: int) -> None:
        client = HttpClient()
        for _ in range(count):
            self.request_count += 1
            deadline = asyncio.get_running_loop().time() + CALL_TIMEOUT_S
            answer = await client.async_request(
                "POST",
                f"{LISTEN_IP}:{self.ports[0]}",
                path,
                deadline=deadline,
                headers=call_headers(f"m-{self.request_count}", DEADLINE_MS),
                body=b"x" * 500,
            )
            assert answer.status == 200, answer
        await client.async_unload()


def main() -> None:
    """Measure each log level and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=2000)
    parser.add_argument("--events", type=int, default=50)
    parser.add_argument("--profile", type=Path)
    args = parser.parse_args()
    cases = [(level.value, 50) for level in Level]
    cases.insert(0, (Level.INFO.value, UNLIMITED_LINES_PER_S))
    if args.profile:
        cases = [(Level.INFO.value, 50)]
    for level, lines_per_s in cases:
        with tempfile.TemporaryDirectory() as folder:
            host = MeasuredHost(
                args=args,
                folder=Path(folder),
                level=level,
                lines_per_s=lines_per_s,
            )
            costs = asyncio.run(host.async_measure())
        print(
            f"level {level}, {lines_per_s} lines/s: "
            f"{costs.request_ms:.2f} ms a request, "
            f"{costs.event_ms:.3f} ms an event, "
            f"idle {costs.idle_ms_per_s:.1f} ms/s, "
            f"{costs.start_mb:.1f} MB at the start, "
            f"{costs.peak_mb:.1f} MB at the peak, "
            f"{costs.log_bytes / 1000:.0f} KB of log"
        )
    if args.profile:
        pstats.Stats(str(args.profile)).sort_stats("tottime").print_stats(
            PROFILE_ROWS
        )


if __name__ == "__main__":
    main()
