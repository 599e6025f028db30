"""A small deployment on loopback: the project's hosts and its stand-ins.

Hosts are started with the command and the settings template of the deploy
file. The store, the duties and the servers are those of `standins.fleet`.
"""

import asyncio
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from asyncio.subprocess import DEVNULL, Process
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final, Self

from standins.fleet import Fleet
from standins.soak.link import Link, LinkFault

ROOT: Final = Path(__file__).resolve().parents[2]
READY_WITHIN_S: Final = 25.0
PORTS: Final = {"front": 8221, "ready": 8224, "peers": 7600, "metrics": 9464}

# The figures of the small deployments.
BOUNDS: Final = {
    "config_apply_ms": 2000,
    "drain_timeout_ms": 2000,
    "exposure_share": 0.1,
    "exposure_slack": 50,
    "grace_period_s": 8,
    "lease_duration_ms": 3000,
    "quota_window_s": 8,
    "retry_budget_extra": 56,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "usage_window_s": 5,
}

_PLACE: Final = re.compile(r"\{\{([#^/]?)([^}]*)\}\}")


class CannotRunError(Exception):
    """The case could not be played, so that it shows nothing."""


def render(template: str, fields: Mapping[str, Any]) -> str:
    """Fill in a settings template as DEPLOY.md says, without loops."""
    out: list[str] = []
    shown = [True]
    position = 0
    for found in _PLACE.finditer(template):
        if all(shown):
            out.append(template[position : found.start()])
        position = found.end()
        kind, name = found.groups()
        value = _value(fields, name)
        if kind == "#":
            shown.append(value is not None and value is not False)
        elif kind == "^":
            shown.append(value is None or value is False)
        elif kind == "/":
            shown.pop()
        elif all(shown):
            out.append(_text(value))
    out.append(template[position:])
    return "".join(out)


def _value(fields: Mapping[str, Any], name: str) -> Any:
    value: Any = fields
    for key in name.split("."):
        if isinstance(value, list):
            value = value[int(key)]
        else:
            value = value.get(key) if isinstance(value, Mapping) else None
    return value


def _text(value: Any) -> str:
    if value is None:
        return ""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, list):
        return ",".join(map(str, value))
    return str(value)


@dataclass(kw_only=True)
class Host:
    """One host of the system, and the links that it uses."""

    name: str
    ip: str
    zone: str
    settings: Path
    log: Path
    store_link: Link
    is_first_start: bool = True
    process: Process | None = None
    starts: list[float] = field(default_factory=list)

    @property
    def front(self) -> tuple[str, int]:
        """The address for clients."""
        return self.ip, PORTS["front"]

    def signal(self, number: signal.Signals) -> None:
        """Send the host's process a signal."""
        assert self.process is not None
        self.process.send_signal(number)


class Deployment:
    """Hosts on addresses of their own, and one emulated platform."""

    def __init__(self, hosts: int) -> None:
        """Prepare a number of hosts; `async with` starts them."""
        self._count = hosts
        self.fleet = Fleet()
        self.hosts: list[Host] = []
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["front"]
        self._command = role["run"].split()
        self._template = (ROOT / role["template"]).read_text()

    async def __aenter__(self) -> Self:
        """Start the stand-ins; the hosts start with `async_start_hosts`."""
        return self

    async def __aexit__(self, *_: object) -> None:
        """End all processes and remove the temporary folder."""
        for host in self.hosts:
            await self.async_kill(host)
            await host.store_link.async_unload()
        await self.fleet.async_unload()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def async_start_hosts(self) -> None:
        """Start all hosts at the same time, and wait until all are ready."""
        net = _free_net(self._count)
        for number in range(self._count):
            link = Link(self.fleet.store.address)
            await link.async_setup()
            name = f"front-{number + 1}"
            self.hosts.append(
                Host(
                    name=name,
                    ip=f"{net}.{number + 1}",
                    zone=f"z{number % 4}",
                    settings=self.folder / f"{name}.conf",
                    log=self.folder / f"{name}.log",
                    store_link=link,
                )
            )
        for host in self.hosts:
            await self.async_start(host)
        for host in self.hosts:
            await self.async_wait_ready(host)

    async def async_start(self, host: Host) -> None:
        """Start a host's process with the command of the deploy file."""
        host.settings.write_text(render(self._template, self._fields(host)))
        host.is_first_start = False
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "WAXWINGARCH_CONFIG": str(host.settings),
        }
        program = sys.executable
        with host.log.open("ab") as log:
            host.process = await asyncio.create_subprocess_exec(
                program,
                *self._command[1:],
                cwd=ROOT,
                env=env,
                stdin=DEVNULL,
                stdout=log,
                stderr=log,
            )
        host.starts.append(time.monotonic())

    def _fields(self, host: Host) -> dict[str, Any]:
        return {
            "node_name": host.name,
            "zone": host.zone,
            "ip": host.ip,
            "bootstrap": host.is_first_start,
            "listen": {
                "front": f"{host.ip}:{PORTS['front']}",
                "ready": f"{host.ip}:{PORTS['ready']}",
            },
            "internal_port_range": [PORTS["peers"], PORTS["peers"] + 15],
            "platform": {"address": host.store_link.address},
            "cloud": {
                "address": self.fleet.cloud_address,
                "duties": ["usage_report", "scaling"],
            },
            "bounds": BOUNDS,
        }

    async def async_wait_ready(self, host: Host) -> None:
        """Wait until the platform would send a host new connections."""
        deadline = time.monotonic() + READY_WITHIN_S
        while not await async_is_ready(host):
            if time.monotonic() > deadline:
                raise CannotRunError(f"{host.name} is not ready")
            await asyncio.sleep(0.1)

    async def async_kill(self, host: Host) -> None:
        """Kill a host's process."""
        if host.process is None or host.process.returncode is not None:
            return
        host.process.kill()
        await host.process.wait()

    def cut_store(self, host: Host, *, cut: bool) -> None:
        """Partition one host from the store, or heal that."""
        host.store_link.fault = LinkFault.SILENT if cut else LinkFault.NONE


async def async_is_ready(host: Host) -> bool:
    """Ask a host as the platform does, once a second."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(
                host.ip, PORTS["ready"]
            )
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: r\r\n\r\n")
            line = await reader.readline()
            writer.close()
    except (OSError, TimeoutError):
        return False
    return b" 200 " in line


def _free_net(count: int) -> str:
    """Return three numbers of loopback addresses whose ports are free."""
    for _ in range(50):
        net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        try:
            for number in range(count):
                for port in PORTS.values():
                    with socket.socket() as sock:
                        sock.bind((f"{net}.{number + 1}", port))
        except OSError:
            continue
        return net
    raise CannotRunError("no free loopback addresses")
