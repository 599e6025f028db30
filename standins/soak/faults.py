"""The faults of a soak: series of overlapping faults with pauses between.

Each `_prepare_*` method chooses a target, opens its fault interval and
returns the coroutine function that carries the fault out, or None if no
target is left.
"""

import asyncio
import base64
import signal
import time
from collections.abc import Awaitable, Callable, Coroutine
from random import Random
from typing import Any, Final

from standins.fault_intervals import FaultInterval
from standins.fleet_server import Behaviour, FleetServer
from standins.front_process import KEY
from standins.soak.link import Link, LinkFault
from standins.soak.load import LoadGenerator
from standins.soak.promises import FAULT_RECOVERY_S
from standins.soak.world import STORE, Daemon, World

SERIES_DURATION_S: Final = (4.0, 12.0)
CALM_DURATION_S: Final = (FAULT_RECOVERY_S + 3.0, FAULT_RECOVERY_S + 6.0)
# Time between two faults of a series.
FAULT_GAP_S: Final = (0.1, 1.5)
RECOVERY_LIMIT_S: Final = 60.0
MIN_UNDISTURBED_HOSTS: Final = 1
SERVER_FAULTS: Final = (
    "error",
    "shed",
    "mute",
    "cut",
    "lost",
    "unsigned",
    "stray",
)
LINK_FAULTS: Final = tuple(
    fault for fault in LinkFault if fault is not LinkFault.NONE
)
MALFORMED_ROWS: Final = (b"\xff\xfe", b"{}", b'{"address": 7}', b"[]")
KEPT_KEYS: Final = 4

Fault = Callable[[], Coroutine[Any, Any, None]]


class FaultInjector:
    """Injects random faults, reproducibly from a seed."""

    def __init__(self, world: World, load: LoadGenerator, rng: Random) -> None:
        self._world = world
        self._load = load
        self._rng = rng
        self._disturbed_names: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.changes: list[tuple[float, int, tuple[str, ...]]] = []
        self._fault_choices: tuple[Callable[[], Fault | None], ...] = (
            self._prepare_kill,
            self._prepare_stop,
            self._prepare_freeze,
            self._prepare_rolling_stop,
            self._prepare_power_loss,
            self._prepare_reload,
            self._prepare_host_link_fault,
            self._prepare_host_link_fault,
            self._prepare_server_link_fault,
            self._prepare_server_link_fault,
            self._prepare_server_crash,
            self._prepare_server_drain,
            self._prepare_server_fault,
            self._prepare_store_fault,
            self._prepare_store_fault,
            self._prepare_key_change,
            self._prepare_malformed_row,
        )

    async def async_run(self, until: float) -> None:
        """Inject series of faults until a monotonic time.

        All faults have ended when it returns.
        """
        while time.monotonic() < until:
            end = min(
                until, time.monotonic() + self._rng.uniform(*SERIES_DURATION_S)
            )
            self._inject(self._prepare_key_change())
            while time.monotonic() < end:
                self._inject(self._rng.choice(self._fault_choices)())
                await asyncio.sleep(self._rng.uniform(*FAULT_GAP_S))
            await self._async_await_recovery()
            await asyncio.sleep(self._rng.uniform(*CALM_DURATION_S))

    async def _async_await_recovery(self) -> None:
        if self._tasks:
            async with asyncio.timeout(RECOVERY_LIMIT_S):
                await asyncio.gather(*self._tasks)

    def _inject(self, fault: Fault | None) -> None:
        if fault is None:
            return
        task = asyncio.create_task(fault())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _undisturbed_daemons(self) -> list[Daemon]:
        daemons = self._world.daemons.values()
        return [d for d in daemons if d.name not in self._disturbed_names]

    def _pick_daemon(self) -> Daemon | None:
        undisturbed = self._undisturbed_daemons()
        return (
            self._rng.choice(undisturbed)
            if len(undisturbed) > MIN_UNDISTURBED_HOSTS
            else None
        )

    def _pick_server(self) -> FleetServer | None:
        """Return a server whose service has another undisturbed one."""
        undisturbed = [
            server
            for server in self._world.fleet.servers
            if server.server_id not in self._disturbed_names
            and sum(
                other.server_id not in self._disturbed_names
                for other in self._world.servers_of_same_service(server)
            )
            > 1
        ]
        return self._rng.choice(undisturbed) if undisturbed else None

    def _begin_fault(
        self, name: str, kind: str, detail: str = ""
    ) -> FaultInterval:
        self._disturbed_names.add(name)
        return self._world.begin_fault(name, kind, detail)

    def _end_fault(self, interval: FaultInterval) -> None:
        self._disturbed_names.discard(interval.name)
        self._world.end_fault(interval)

    # Processes

    def _prepare_kill(self) -> Fault | None:
        daemon = self._pick_daemon()
        if daemon is None:
            return None
        interval = self._begin_fault(daemon.name, "kill")
        return lambda: self._async_restart(
            daemon, interval, self._world.async_kill
        )

    def _prepare_stop(self) -> Fault | None:
        daemon = self._pick_daemon()
        if daemon is None:
            return None
        interval = self._begin_fault(daemon.name, "stop")
        return lambda: self._async_restart(
            daemon, interval, self._world.async_stop
        )

    async def _async_restart(
        self,
        daemon: Daemon,
        interval: FaultInterval,
        end: Callable[[Daemon], Awaitable[None]],
    ) -> None:
        await end(daemon)
        await asyncio.sleep(self._rng.uniform(0, 2))
        await self._world.async_start(daemon)
        await self._world.async_wait_ready(daemon)
        self._end_fault(interval)

    def _prepare_rolling_stop(self) -> Fault | None:
        """Restart all hosts but one in turn, each once the last is ready."""
        undisturbed = self._undisturbed_daemons()[1:]
        if len(undisturbed) < MIN_UNDISTURBED_HOSTS + 1:
            return None
        fault_intervals = [
            self._begin_fault(d.name, "rolling stop") for d in undisturbed
        ]

        async def roll() -> None:
            for daemon, interval in zip(
                undisturbed, fault_intervals, strict=True
            ):
                await self._async_restart(
                    daemon, interval, self._world.async_stop
                )

        return roll

    def _prepare_power_loss(self) -> Fault | None:
        """Kill all hosts at once and start them again."""
        undisturbed = self._undisturbed_daemons()
        if len(undisturbed) < len(self._world.daemons):
            return None
        fault_intervals = [
            self._begin_fault(d.name, "power") for d in undisturbed
        ]

        async def lose_power() -> None:
            await asyncio.gather(
                *(
                    self._async_restart(d, interval, self._world.async_kill)
                    for d, interval in zip(
                        undisturbed, fault_intervals, strict=True
                    )
                )
            )

        return lose_power

    def _prepare_freeze(self) -> Fault | None:
        daemon = self._pick_daemon()
        if daemon is None:
            return None
        frozen_s = self._rng.uniform(0.3, 8)
        interval = self._begin_fault(
            daemon.name, "freeze", f"{frozen_s:.1f} s"
        )

        async def freeze() -> None:
            self._world.freeze(daemon)
            await asyncio.sleep(frozen_s)
            self._world.thaw(daemon)
            self._end_fault(interval)

        return freeze

    def _prepare_reload(self) -> Fault | None:
        """Send SIGHUP to the hosts, which has to change nothing."""
        daemons = self._undisturbed_daemons()
        self._world.report.record_fault("reload", f"{len(daemons)} hosts")

        async def reload() -> None:
            for daemon in daemons:
                if (
                    daemon.process
                    and daemon.is_running
                    and not daemon.is_stopping
                ):
                    daemon.process.send_signal(signal.SIGHUP)
                    await asyncio.sleep(0.05)

        return reload

    # Links

    async def _async_apply_link_fault(
        self, link: Link, interval: FaultInterval, fault: LinkFault
    ) -> None:
        if fault is LinkFault.REFUSE or self._rng.random() < 0.3:
            link.reset()
        link.delay_s = self._rng.uniform(0.05, 0.8)
        link.fault = fault
        await asyncio.sleep(self._rng.uniform(0.5, 6))
        link.fault = LinkFault.NONE
        link.reset()
        self._end_fault(interval)

    def _prepare_host_link_fault(self) -> Fault | None:
        daemon = self._pick_daemon()
        if daemon is None:
            return None
        link_name = self._rng.choice(("callers", "store", "duties"))
        fault = self._rng.choice(LINK_FAULTS)
        interval = self._begin_fault(
            daemon.name, f"link to {link_name}", fault
        )
        link: Link = getattr(daemon, link_name)
        return lambda: self._async_apply_link_fault(link, interval, fault)

    def _prepare_server_link_fault(self) -> Fault | None:
        server = self._pick_server()
        if server is None:
            return None
        fault = self._rng.choice(LINK_FAULTS)
        interval = self._begin_fault(server.server_id, "link to server", fault)
        link = self._world.links[server.server_id]
        return lambda: self._async_apply_link_fault(link, interval, fault)

    # Servers

    def _prepare_server_crash(self) -> Fault | None:
        server = self._pick_server()
        if server is None:
            return None
        listed = self._rng.random() < 0.5
        interval = self._begin_fault(server.server_id, "crash")

        async def crash() -> None:
            await server.async_unload()
            self._world.links[server.server_id].reset()
            if not listed:
                self._world.fleet.store.put("servers", server.server_id, None)
            await asyncio.sleep(self._rng.uniform(0.5, 5))
            server.born += 1
            await server.async_setup()
            self._world.links[server.server_id].target = server.address
            self._world.register(server)
            self._end_fault(interval)

        return crash

    def _prepare_server_drain(self) -> Fault | None:
        server = self._pick_server()
        if server is None:
            return None
        interval = self._begin_fault(server.server_id, "drain")

        async def drain() -> None:
            self._world.register(server, "draining")
            await asyncio.sleep(self._rng.uniform(4, 8))
            self._end_fault(interval)
            self._world.register(server)

        return drain

    def _prepare_server_fault(self) -> Fault | None:
        server = self._pick_server()
        if server is None:
            return None
        how = self._rng.choice(SERVER_FAULTS)
        interval = self._begin_fault(server.server_id, "spoiled", how)
        behaviour: Behaviour = server.behaviour
        behaviour.how, behaviour.count = how, self._rng.randint(1, 6)

        async def apply_fault() -> None:
            await asyncio.sleep(self._rng.uniform(1, 5))
            behaviour.count = 0
            self._end_fault(interval)

        return apply_fault

    # The store and its rows

    def _prepare_store_fault(self) -> Fault | None:
        if STORE in self._disturbed_names:
            return None
        store = self._world.fleet.store
        mode = self._rng.choice(
            ("down", "busy", "silent", "lose", "late", "compact", "return")
        )
        interval = self._begin_fault(STORE, "store", mode)

        async def disturb_store() -> None:
            if mode == "compact":
                store.compact()
            elif mode == "return":
                await self._async_return_store()
            elif mode == "lose":
                store.lose = self._rng.randint(1, 4)
            elif mode == "late":
                store.late_s = self._rng.uniform(0.2, 3)
            else:
                store.mode = mode
            await asyncio.sleep(self._rng.uniform(0.5, 7))
            store.mode, store.lose, store.late_s = "", 0, 0.0
            self._end_fault(interval)

        return disturb_store

    async def _async_return_store(self) -> None:
        """Let the store return from a copy some seconds old.

        The operator and the servers then write their rows again.
        """
        store = self._world.fleet.store
        copy = store.copy()
        await asyncio.sleep(self._rng.uniform(0.5, 4))
        states = {
            server.server_id: store.rows.get(("servers", server.server_id))
            for server in self._world.fleet.servers
        }
        store.return_from(copy)
        self._world.fleet.put_config()
        for server_id, row in states.items():
            store.put("servers", server_id, row.value if row else None)

    def _prepare_key_change(self) -> Fault | None:
        """Replace the API key that was added last by a new one."""
        self._world.report.record_fault("config", "")

        async def change() -> None:
            config = self._world.fleet.config
            for _ in range(self._rng.randint(1, 3)):
                config.version += 1
                added = f"key-v{config.version}"
                config.keys = (KEY, added)
                self._load.added_keys.append(added)
                self._world.fleet.put_config()
                now = time.monotonic()
                self.changes.append((now, config.version, config.keys))
                await asyncio.sleep(self._rng.uniform(0, 1))

        return change

    def _prepare_malformed_row(self) -> Fault | None:
        """Write a row that is no valid registration of a server."""
        value = base64.b64encode(self._rng.choice(MALFORMED_ROWS)).decode()
        key = f"foreign-{self._rng.randrange(3)}"
        self._world.report.record_fault("bad row", key)

        async def write() -> None:
            self._world.fleet.store.put("servers", key, value)

        return write
