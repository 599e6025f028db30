"""The processes of a soak, the links between them, and their faults."""

import asyncio
import signal
import time
from asyncio.subprocess import Process
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

from standins.campaign_report import Report
from standins.fault_intervals import FaultInterval
from standins.fleet import ZONES, Fleet
from standins.fleet_server import FleetServer
from standins.fleet_store import LISTEN_IP
from standins.front_process import async_start_front, async_wait_front_ready
from standins.ports import free_port
from standins.server_process import ProcessServer
from standins.soak.annex import (
    ANNEX,
    ANNEX_SERVER,
    ANNEX_WORK_S,
    add_annex,
)
from standins.soak.host_links import HostLinks, Registered
from standins.soak.link import Link
from standins.soak.promises import SCHEDULING_SLACK_S, STOP_GRACE_S, Promise
from waxwingarch.adapters.http_client import HttpClient

# Name of the row store in fault intervals, beside those of hosts and servers.
STORE: Final = "store"
START_LIMIT_S: Final = 60.0
# Shorter than the time in which all faults of a soak have to end.
READY_LIMIT_S: Final = 30.0
EVENT_INTERVAL_S: Final = 0.02
# Streams of processes last longer than a run may go on beside the next one.
PROCESS_EVENT_INTERVAL_S: Final = 0.06
EVENTS_PER_STREAM: Final = 25
PLAIN_WORK_S: Final = 0.03


@dataclass(kw_only=True, slots=True)
class Daemon:
    """One host: its process, its settings and the links to and from it.

    `readiness` is the port of the readiness probe.
    """

    name: str
    zone: str
    settings: Path
    readiness: int
    callers: Link
    store: Link
    duties: Link
    process: Process | None = None
    incarnation: int = 0
    is_stopping: bool = False
    is_frozen: bool = False

    @property
    def is_running(self) -> bool:
        """Whether the process was started and hasn't ended."""
        return self.process is not None and self.process.returncode is None


@dataclass(kw_only=True, slots=True)
class World:
    """An emulated platform, hosts as processes, and links between them.

    Servers are processes as well if the fleet makes them so. Hosts then
    reach them without a link, which would hide what their kernel does.
    `trees` are the folders of the hosts that run another build, by name.
    """

    folder: Path
    report: Report
    fleet: Fleet = field(default_factory=Fleet)
    client: HttpClient = field(default_factory=HttpClient)
    daemons: dict[str, Daemon] = field(default_factory=dict)
    links: dict[str, Link] = field(default_factory=dict)
    host_links: dict[str, HostLinks] = field(default_factory=dict)
    fault_intervals: list[FaultInterval] = field(default_factory=list)
    trees: dict[str, Path] = field(default_factory=dict)
    _crashes: dict[str, FaultInterval] = field(default_factory=dict)

    async def async_setup(self, hosts: int, engines: int, plain: int) -> None:
        """Start everything and wait until all hosts are ready."""
        await self.fleet.async_setup(engines, plain)
        annex = await self.fleet.async_add_server(
            ANNEX_SERVER, ANNEX, engine=False
        )
        add_annex(self.fleet.config)
        self.fleet.put_config()
        self.fleet.crash_listener = self._begin_crash
        self.fleet.async_restart_listener = self._async_end_crash
        for server in self.fleet.servers:
            server.behaviour.events = EVENTS_PER_STREAM
            server.behaviour.event_s = (
                PROCESS_EVENT_INTERVAL_S
                if isinstance(server, ProcessServer)
                else EVENT_INTERVAL_S
            )
            server.behaviour.work_s = PLAIN_WORK_S
            # Some servers look at their connections only as they write.
            server.behaviour.ignores_close = len(self.links) % 2 == 1
            link = self.links[server.server_id] = Link(server.address)
            await link.async_setup()
            self.register(server)
        annex.behaviour.work_s = ANNEX_WORK_S
        await self.async_apply_behaviours()
        # One host has links of its own, so that it alone can be partitioned.
        own = HostLinks(
            {s.server_id: self._registered(s) for s in self.fleet.servers},
            self.fleet.store.server.handler,
        )
        await own.async_setup()
        self.host_links["host-0"] = own
        for n in range(hosts):
            await self._async_add(f"host-{n}", ZONES[n % len(ZONES)])
        for daemon in self.daemons.values():
            await self.async_start(daemon)
        async with asyncio.timeout(START_LIMIT_S):
            for daemon in self.daemons.values():
                await self.async_wait_ready(daemon)

    async def async_unload(self) -> None:
        """End all processes, links and the emulated platform."""
        for daemon in self.daemons.values():
            if daemon.process and daemon.is_running:
                daemon.process.kill()
                await daemon.process.wait()
            for link in (daemon.callers, daemon.store, daemon.duties):
                await link.async_unload()
        for own_links in self.host_links.values():
            await own_links.async_unload()
        for link in self.links.values():
            await link.async_unload()
        await self.client.async_unload()
        await self.fleet.async_unload()

    async def _async_add(self, name: str, zone: str) -> None:
        ports = [free_port() for _ in range(4)]
        callers = Link(f"{LISTEN_IP}:{ports[0]}")
        own_links = self.host_links.get(name)
        store = Link(
            own_links.store_address if own_links else self.fleet.store.address
        )
        duties = Link(self.fleet.cloud_address)
        for link in (callers, store, duties):
            await link.async_setup()
        settings = self.folder / f"{name}.ini"
        text = self.fleet.settings(
            name, ports, zone=zone, store=store.address, duties=duties.address
        )
        settings.write_text(text)
        self.daemons[name] = Daemon(
            name=name,
            zone=zone,
            settings=settings,
            readiness=ports[1],
            callers=callers,
            store=store,
            duties=duties,
        )

    async def async_apply_behaviours(self) -> None:
        """Put the behaviours of all servers in force."""
        for server in self.fleet.servers:
            await server.async_apply_behaviour()

    def _registered(self, server: FleetServer) -> Registered:
        """Return what hosts reach a server at."""
        if isinstance(server, ProcessServer):
            return server
        return self.links[server.server_id]

    def register(self, server: FleetServer, state: str = "ready") -> None:
        """Write a server's row, with the address at which it is reached."""
        address = self._registered(server).address
        self.fleet.register(server, state, address=address)

    async def async_register_again(self, server: FleetServer) -> None:
        """Let a server's link lead to its new incarnation; register it."""
        await self.links[server.server_id].async_reopen(server.address)
        self.register(server)

    async def async_start_under_other_id(
        self, server: FleetServer, listed_s: float
    ) -> None:
        """End a server, and start it at its address under another id.

        Its entry of before stands for a time in seconds after that.
        """
        before = server.instance_id
        self.links[server.server_id].close()
        await server.async_unload()
        server.born += 1
        server.instance_id = f"{server.server_id}-{server.born}"
        await server.async_setup()
        await self.async_register_again(server)
        await asyncio.sleep(listed_s)
        self.fleet.store.put("servers", before, None)

    def _begin_crash(self, server: FleetServer) -> None:
        self.links[server.server_id].close()
        self._crashes[server.server_id] = self.begin_fault(
            server.server_id, "crash", "by an input"
        )

    async def _async_end_crash(self, server: FleetServer) -> None:
        await self.async_register_again(server)
        self.end_fault(self._crashes.pop(server.server_id))

    # Processes

    def note_restart(self, daemon: Daemon) -> None:
        """Tell a host that the system has run before, as the platform does."""
        text = daemon.settings.read_text()
        daemon.settings.write_text(
            text.replace("first_start = true", "first_start = false")
        )

    async def async_start(self, daemon: Daemon) -> None:
        """Start a host's process, which appends to the host's log file."""
        daemon.incarnation += 1
        with (self.folder / f"{daemon.name}.log").open("ab") as log:
            daemon.process = await async_start_front(
                daemon.settings,
                log,
                stderr=log,
                tree=self.trees.get(daemon.name),
            )
        # Until here `process` is the one before, which may have been killed.
        daemon.is_stopping = False

    async def async_wait_ready(self, daemon: Daemon) -> None:
        """Wait until a host's readiness probe succeeds."""
        await async_wait_front_ready(self.client, daemon.readiness)

    async def async_check_ready(self, daemon: Daemon) -> None:
        """Check that a host that was started again becomes ready in time."""
        is_ready = True
        try:
            async with asyncio.timeout(READY_LIMIT_S):
                await self.async_wait_ready(daemon)
        except TimeoutError:
            is_ready = False
        evidence = f"{daemon.name} was not ready after {READY_LIMIT_S:g} s"
        self.report.record_check(Promise.READY, is_ready, evidence)

    async def async_kill(self, daemon: Daemon) -> None:
        """Kill a host's process."""
        assert daemon.process
        daemon.is_stopping = True
        daemon.process.kill()
        await daemon.process.wait()

    async def async_stop(self, daemon: Daemon) -> None:
        """Stop a host by SIGTERM; check that it ends in time, with 0."""
        assert daemon.process
        daemon.is_stopping = True
        daemon.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_GRACE_S + SCHEDULING_SLACK_S):
                code = await daemon.process.wait()
        except TimeoutError:
            evidence = f"{daemon.name} did not end"
            self.report.record_check(Promise.STOP, False, evidence)
            await self.async_kill(daemon)
            return
        self.report.record_check(
            Promise.STOP, code == 0, f"{daemon.name} ended with {code}"
        )

    def freeze(self, daemon: Daemon) -> None:
        """Suspend a host's process."""
        assert daemon.process
        daemon.is_frozen = True
        daemon.process.send_signal(signal.SIGSTOP)

    def thaw(self, daemon: Daemon) -> None:
        """Resume a suspended process."""
        daemon.is_frozen = False
        if daemon.process and daemon.is_running:
            daemon.process.send_signal(signal.SIGCONT)

    def check_processes(self) -> None:
        """Report processes that ended without having been stopped."""
        for daemon in self.daemons.values():
            if daemon.is_stopping or daemon.process is None:
                continue
            code = daemon.process.returncode
            evidence = f"{daemon.name} ended by itself with {code}"
            self.report.record_check(Promise.ALIVE, code is None, evidence)
            if code is not None:
                daemon.is_stopping = True

    # Fault intervals

    def begin_fault(
        self, name: str, kind: str, detail: str = ""
    ) -> FaultInterval:
        """Open the interval of a fault and count the fault."""
        interval = FaultInterval(name=name, kind=kind, begin=time.monotonic())
        self.fault_intervals.append(interval)
        self.report.record_fault(kind, f"{name} {detail}".strip())
        return interval

    def end_fault(self, interval: FaultInterval) -> None:
        """Close the interval of a fault that has ended."""
        interval.end = time.monotonic()
        self.report.record_note(f"{interval.name} well after {interval.kind}")

    def had_fault(
        self,
        begin: float,
        end: float,
        *,
        names: set[str] | None = None,
        kinds: set[str] | None = None,
    ) -> bool:
        """Return whether a fault of these names and kinds was present."""
        return any(
            kinds is None or interval.kind in kinds
            for interval in self.intervals_between(begin, end, names)
        )

    def intervals_between(
        self, begin: float, end: float, names: set[str] | None = None
    ) -> list[FaultInterval]:
        """Return the fault intervals of these names in a time."""
        return [
            interval
            for interval in self.fault_intervals
            if interval.overlaps(begin, end)
            and (names is None or interval.name in names)
        ]

    def servers_of_same_service(
        self, server: FleetServer
    ) -> list[FleetServer]:
        """Return the servers of one server's service, itself included."""
        return [s for s in self.fleet.servers if s.service == server.service]

    def server_ids(self, service: str) -> set[str]:
        """Return the ids of a service's servers."""
        return {
            server.server_id
            for server in self.fleet.servers
            if server.service == service
        }
