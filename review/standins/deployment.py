"""A small deployment on loopback: hosts as processes, and their platform.

The hosts run the command of `deploy/system.toml` with settings rendered from
`deploy/front.ini`. Store, duties and servers are the project's stand-ins, in
the process of the script. Servers write their rows again at each heartbeat,
and the store removes a row after three heartbeats without one.
"""

import asyncio
import os
import re
import shlex
import signal
import sys
import tempfile
import time
import tomllib
from base64 import b64encode
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

from standins.fleet import ZONES, Fleet
from standins.fleet_server import FleetServer
from standins.fleet_store import LISTEN_IP
from standins.ports import free_port
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.exceptions import LinkError

ROOT: Final = Path(__file__).resolve().parents[2]
HEARTBEAT_S: Final = 1.2
# Heartbeats without a sign of a server after which its row is removed.
LAPSE_HEARTBEATS: Final = 3
READY_LIMIT_S: Final = 30.0
POLL_S: Final = 0.05
PROBE_TIMEOUT_S: Final = 1.0
EXIT_HELD: Final = 0
EXIT_BROKEN: Final = 1
EXIT_NOT_RUN: Final = 2
# The bounds of `sites/hqc-waxwing.toml`, as the settings of a host name them.
BOUNDS: Final[dict[str, Any]] = {
    "retry_budget_ratio": 0.2,
    "retry_budget_extra": 56,
    "retry_window_s": 10,
    "quota_window_s": 8,
    "lease_duration_ms": 3000,
    "usage_window_s": 5,
    "config_apply_ms": 2000,
    "drain_timeout_ms": 2000,
    "grace_period_s": 8,
    "exposure_share": 0.1,
    "exposure_slack": 50,
}


class Record:
    """The file with what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began_at = time.monotonic()

    def add(self, text: str) -> None:
        """Write one line, with the seconds since the start."""
        elapsed_s = time.monotonic() - self._began_at
        self._file.write(f"{elapsed_s:8.3f} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclass(kw_only=True, slots=True)
class HostProcess:
    """One host: its settings and its process."""

    name: str
    zone: str
    ports: list[int]
    settings: Path
    first_start: bool = True
    process: asyncio.subprocess.Process | None = None

    @property
    def callers(self) -> str:
        """The address for callers."""
        return f"{LISTEN_IP}:{self.ports[0]}"

    @property
    def readiness(self) -> str:
        """The address for readiness checks."""
        return f"{LISTEN_IP}:{self.ports[1]}"

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.is_running:
            self.process.send_signal(number)


@dataclass(kw_only=True, slots=True)
class Deployment:
    """Hosts, and the emulated platform that they run on."""

    record: Record
    fleet: Fleet = field(default_factory=Fleet)
    hosts: list[HostProcess] = field(default_factory=list)
    # Ids of the servers that reach the fronts, but not the store.
    cut_servers: set[str] = field(default_factory=set)
    descriptors: int | None = None
    # The store's address by host, where it isn't the store's own.
    stores: dict[str, str] = field(default_factory=dict)
    _folder: Any = None
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)
    _beat_at: dict[str, float] = field(default_factory=dict)
    _client: HttpClient = field(default_factory=HttpClient)

    async def async_setup(self, hosts: int, engines: int, plain: int) -> None:
        """Start the platform and all hosts, and wait until these are ready."""
        await self.async_setup_fleet(engines, plain)
        await self.async_start_hosts(hosts)

    async def async_setup_fleet(self, engines: int, plain: int) -> None:
        """Start the platform and its servers."""
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        await self.fleet.async_setup(engines, plain)
        self._tasks.append(asyncio.create_task(self._async_beat()))

    async def async_start_hosts(self, hosts: int) -> None:
        """Start all hosts, and wait until they are ready."""
        for number in range(hosts):
            name = f"front-{number}"
            host = HostProcess(
                name=name,
                zone=ZONES[number % len(ZONES)],
                ports=[free_port() for _ in range(4)],
                settings=Path(self._folder.name) / f"{name}.ini",
            )
            self.hosts.append(host)
            await self.async_start(host)
        await self.async_wait_ready(self.hosts)

    async def async_unload(self) -> None:
        """End all processes, the platform and the tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for host in self.hosts:
            if host.process is not None and host.is_running:
                host.process.kill()
                await host.process.wait()
        await self._client.async_unload()
        await self.fleet.async_unload()
        if self._folder is not None:
            self._folder.cleanup()

    # Hosts

    async def async_start(self, host: HostProcess) -> None:
        """Start a host's process by the command of the deploy file."""
        host.settings.write_text(self._settings_text(host))
        host.first_start = False
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        program, *args = shlex.split(deploy["roles"]["front"]["run"])
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["WAXWINGARCH_CONFIG"] = str(host.settings)
        command = [program, *args]
        if self.descriptors is not None:
            limited = f'ulimit -n {self.descriptors}; exec "$0" "$@"'
            command = ["/bin/sh", "-c", limited, *command]
        log_path = Path(self._folder.name) / f"{host.name}.log"
        with log_path.open("ab") as log:
            host.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.record.add(f"host {host.name} started, pid {host.process.pid}")

    async def async_kill(self, host: HostProcess) -> None:
        """Kill a host's process."""
        self.record.add(f"host {host.name} killed")
        host.signal(signal.SIGKILL)
        if host.process is not None:
            await host.process.wait()

    async def async_wait_ready(self, hosts: Iterable[HostProcess]) -> None:
        """Wait until the readiness checks of hosts answer 200."""
        async with asyncio.timeout(READY_LIMIT_S):
            for host in hosts:
                while not await self.async_is_ready(host):  # noqa: ASYNC110
                    await asyncio.sleep(POLL_S)
                self.record.add(f"host {host.name} is ready")

    async def async_is_ready(self, host: HostProcess) -> bool:
        """Return whether a readiness check of a host answers 200."""
        now = asyncio.get_running_loop().time()
        try:
            answer = await self._client.async_request(
                "GET",
                host.readiness,
                "/-/readiness",
                deadline=now + PROBE_TIMEOUT_S,
            )
        except LinkError:
            return False
        return answer.status == 200

    def _settings_text(self, host: HostProcess) -> str:
        values: dict[str, Any] = {
            "node_name": host.name,
            "zone": host.zone,
            "bootstrap": "true" if host.first_start else "false",
            "listen.front": host.callers,
            "listen.ready": host.readiness,
            "ip": LISTEN_IP,
            "internal_port_range.0": host.ports[2],
            "platform.address": self.stores.get(
                host.name, self.fleet.store.address
            ),
            "cloud.address": self.fleet.cloud_address,
            "cloud.duties": "usage_report,scaling",
        }
        values |= {f"bounds.{name}": v for name, v in BOUNDS.items()}
        template = (ROOT / "deploy/front.ini").read_text()
        # All hosts share one address here, so that each needs a metrics port
        # of its own.
        template = template.replace(
            "{{ip}}:9464", f"{{{{ip}}}}:{host.ports[3]}"
        )
        # A section is left out in a deployment without its value.
        text = re.sub(
            r"\{\{#([^}]*)\}\}(.*?)\{\{/\1\}\}",
            lambda found: found[2] if found[1] in values else "",
            template,
            flags=re.DOTALL,
        )
        return re.sub(
            r"\{\{([^}]*)\}\}", lambda found: str(values[found[1]]), text
        )

    # Servers

    async def _async_beat(self) -> None:
        """Write the rows of the servers, and remove those that lapsed."""
        sequence = 1
        while True:
            now = time.monotonic()
            for server in self.fleet.servers:
                self._beat(now, server, sequence)
            sequence += 1
            await asyncio.sleep(POLL_S)

    def _beat(self, now: float, server: FleetServer, sequence: int) -> None:
        server_id = server.server_id
        beat_at = self._beat_at.setdefault(server_id, now)
        is_listed = ("servers", server_id) in self.fleet.store.rows
        if server_id in self.cut_servers:
            if is_listed and now - beat_at >= LAPSE_HEARTBEATS * HEARTBEAT_S:
                self.record.add(f"server {server_id}: its row lapsed")
                self.fleet.store.put("servers", server_id, None)
            return
        if now - beat_at < HEARTBEAT_S or server.is_down:
            return
        self._beat_at[server_id] = now
        if not is_listed:
            self.record.add(f"server {server_id}: its row is back, ready")
        value = b64encode(server.row(sequence=sequence)).decode()
        self.fleet.store.put("servers", server_id, value)

    def write_runs(self) -> None:
        """Write what servers ran into the record."""
        for run in self.fleet.runs:
            self.record.add(
                f"run {run.request_id} {run.target} on {run.server_id}:"
                f" {run.ended}, {run.events} events"
            )


def run_case(
    path: Path, start: Callable[[Record], Coroutine[Any, Any, int]]
) -> int:
    """Run a case with its record at a path, and return its exit code.

    SIGTERM ends the case, and with it all processes that it started.
    """
    record = Record(path)

    async def async_main() -> int:
        task = asyncio.ensure_future(start(record))
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        return await task

    try:
        return asyncio.run(async_main())
    except (OSError, TimeoutError, asyncio.CancelledError) as exc:
        say(f"the case could not run: {exc!r}")
        return EXIT_NOT_RUN
    finally:
        record.close()


def say(text: str) -> None:
    """Write a line to the standard output."""
    sys.stdout.write(f"{text}\n")
    sys.stdout.flush()
