"""The faults of a soak: series of overlapping faults with pauses between."""

import asyncio
import base64
import time
from collections.abc import Awaitable, Callable, Collection
from random import Random
from typing import Final

from standins.fault_intervals import FaultInterval
from standins.soak.config_faults import ConfigFaults
from standins.soak.link import Link, LinkEnd, LinkFault
from standins.soak.load import LoadGenerator
from standins.soak.promises import (
    FAULT_RECOVERY_S,
    PARTITION,
    PATH_RESET,
    PATH_RESET_S,
)
from standins.soak.server_faults import ServerFaults
from standins.soak.targets import (
    MIN_UNDISTURBED_HOSTS,
    Fault,
    Preparation,
    Targets,
)
from standins.soak.world import STORE, Daemon, World

SERIES_DURATION_S: Final = (4.0, 12.0)
CALM_DURATION_S: Final = (FAULT_RECOVERY_S + 3.0, FAULT_RECOVERY_S + 6.0)
# Time between two faults of a series.
FAULT_GAP_S: Final = (0.1, 1.5)
RECOVERY_LIMIT_S: Final = 60.0
LINK_FAULTS: Final = tuple(
    fault for fault in LinkFault if fault is not LinkFault.NONE
)
MALFORMED_ROWS: Final = (
    b"\xff\xfe",
    b"{}",
    b'{"address": 7}',
    b"[]",
    b"[" * 5_000,
    *(
        b'{"service": "ledger", "zone": "za", "state": "ready", ' + odd + b"}"
        for odd in (
            b'"address": "127.0.0.1:99999"',
            b'"address": "127.0.0.1:0"',
            b'"address": "127.0.0.1:9", "slots": 0',
            b'"address": "127.0.0.1:9", "born": 1e30',
        )
    ),
)
# How many times as often as the others a fault is chosen.
WEIGHTS: Final = {
    "link of host": 2,
    "link to server": 2,
    "store": 2,
    "silence": 2,
    "pause": 2,
    "refusals": 2,
    "reborn": 2,
    "config series": 2,
    PATH_RESET: 2,
}


# The faults of servers that are processes, which have no links of their own.
PROCESS_FAULTS: Final = (
    "kill",
    "stop",
    "freeze",
    "rolling stop",
    "power",
    "link of host",
    "partition",
    PATH_RESET,
    "store",
    "bad row",
    "crash",
    "drain",
    "lapse",
    "silence",
    "pause",
    "refusals",
    "reborn",
    "reload",
    "config series",
)


# How long a host reaches no server, while another one is undisturbed.
PARTITIONED_S: Final = (5.0, 9.0)
MIN_HOSTS_FOR_PARTITION: Final = 2


class FaultInjector:
    """Injects random faults, reproducibly from a seed.

    `only` are the names of the faults to choose from; empty: all.
    """

    def __init__(
        self,
        world: World,
        load: LoadGenerator,
        rng: Random,
        only: Collection[str] = (),
    ) -> None:
        self._world = world
        self._rng = rng
        self._targets = Targets(world, rng)
        self._tasks: set[asyncio.Task[None]] = set()
        servers = ServerFaults(self._targets, load)
        self.config = ConfigFaults(self._targets, load, self._prepare_stop)
        choices: dict[str, Preparation] = {
            "kill": self._prepare_kill,
            "stop": self._prepare_stop,
            "freeze": self._prepare_freeze,
            "rolling stop": self._prepare_rolling_stop,
            "power": self._prepare_power_loss,
            "link of host": self._prepare_host_link_fault,
            "link to server": self._prepare_server_link_fault,
            "partition": self._prepare_partition,
            PATH_RESET: self._prepare_path_reset,
            "store": self._prepare_store_fault,
            "bad row": self._prepare_malformed_row,
            **servers.choices,
            **self.config.choices,
        }
        self._choices = [
            choice
            for name, choice in choices.items()
            if not only or name in only
            for _ in range(WEIGHTS.get(name, 1))
        ]
        if not self._choices:
            raise ValueError(f"choose faults from: {', '.join(choices)}")

    async def async_run(self, until: float) -> None:
        """Inject series of faults until a monotonic time.

        All faults have ended when it returns.
        """
        while time.monotonic() < until:
            end = min(
                until, time.monotonic() + self._rng.uniform(*SERIES_DURATION_S)
            )
            self._inject(self.config.prepare_key_change())
            while time.monotonic() < end:
                self._inject(self._rng.choice(self._choices)())
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

    # Processes

    def _prepare_kill(self) -> Fault | None:
        daemon = self._targets.pick_daemon()
        if daemon is None:
            return None
        interval = self._targets.begin_fault(daemon.name, "kill")
        return lambda: self._async_restart(
            daemon, interval, self._world.async_kill
        )

    def _prepare_stop(self) -> Fault | None:
        daemon = self._targets.pick_daemon()
        if daemon is None:
            return None
        interval = self._targets.begin_fault(daemon.name, "stop")
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
        self._world.note_restart(daemon)
        await self._world.async_start(daemon)
        await self._world.async_check_ready(daemon)
        self._targets.end_fault(interval)

    def _prepare_rolling_stop(self) -> Fault | None:
        """Restart all hosts but one in turn, each once the last is ready."""
        undisturbed = self._targets.undisturbed_daemons()[1:]
        if len(undisturbed) < MIN_UNDISTURBED_HOSTS + 1:
            return None
        fault_intervals = [
            self._targets.begin_fault(d.name, "rolling stop")
            for d in undisturbed
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
        undisturbed = self._targets.undisturbed_daemons()
        if len(undisturbed) < len(self._world.daemons):
            return None
        fault_intervals = [
            self._targets.begin_fault(d.name, "power") for d in undisturbed
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
        daemon = self._targets.pick_daemon()
        if daemon is None:
            return None
        frozen_s = self._rng.uniform(0.3, 8)
        interval = self._targets.begin_fault(
            daemon.name, "freeze", f"{frozen_s:.1f} s"
        )

        async def freeze() -> None:
            self._world.freeze(daemon)
            await asyncio.sleep(frozen_s)
            self._world.thaw(daemon)
            self._targets.end_fault(interval)

        return freeze

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
        self._targets.end_fault(interval)

    def _prepare_host_link_fault(self) -> Fault | None:
        daemon = self._targets.pick_daemon()
        if daemon is None:
            return None
        link_name = self._rng.choice(("callers", "store", "duties"))
        fault = self._rng.choice(LINK_FAULTS)
        interval = self._targets.begin_fault(
            daemon.name, f"link to {link_name}", fault
        )
        link: Link = getattr(daemon, link_name)
        return lambda: self._async_apply_link_fault(link, interval, fault)

    def _prepare_server_link_fault(self) -> Fault | None:
        server = self._targets.pick_server()
        if server is None:
            return None
        fault = self._rng.choice(LINK_FAULTS)
        interval = self._targets.begin_fault(
            server.server_id, "link to server", fault
        )
        link = self._world.links[server.server_id]
        return lambda: self._async_apply_link_fault(link, interval, fault)

    def _choose_linked_host(self, min_hosts: int) -> str | None:
        """Choose an undisturbed host with links, of so many or more."""
        undisturbed = {d.name for d in self._targets.undisturbed_daemons()}
        free = sorted(undisturbed & self._world.host_links.keys())
        if not free or len(undisturbed) < min_hosts:
            return None
        return self._rng.choice(free)

    def _prepare_partition(self) -> Fault | None:
        """Let a host reach no server, while all else reaches it."""
        name = self._choose_linked_host(MIN_HOSTS_FOR_PARTITION)
        if name is None:
            return None
        links = self._world.host_links[name]
        interval = self._targets.begin_fault(name, PARTITION)

        async def partition() -> None:
            links.partition()
            await asyncio.sleep(self._rng.uniform(*PARTITIONED_S))
            await links.async_heal()
            self._targets.end_fault(interval)

        return partition

    def _prepare_path_reset(self) -> Fault | None:
        """Reset a host's connections to servers, at one end or both."""
        name = self._choose_linked_host(1)
        if name is None:
            return None
        end = self._rng.choice(tuple(LinkEnd))
        interval = self._targets.begin_fault(name, PATH_RESET, end)

        async def reset() -> None:
            self._world.host_links[name].reset(end)
            await asyncio.sleep(PATH_RESET_S)
            self._targets.end_fault(interval)

        return reset

    # The store and its rows

    def _prepare_store_fault(self) -> Fault | None:
        if STORE in self._targets.disturbed_names:
            return None
        store = self._world.fleet.store
        mode = self._rng.choice(
            ("down", "busy", "silent", "lose", "late", "compact", "return")
        )
        interval = self._targets.begin_fault(STORE, "store", mode)

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
            self._targets.end_fault(interval)

        return disturb_store

    async def _async_return_store(self) -> None:
        """Let the store return from a copy some seconds old.

        The operator and the servers then write their rows again.
        """
        store = self._world.fleet.store
        copy = store.copy()
        await asyncio.sleep(self._rng.uniform(0.5, 4))
        rows = dict(store.rows)
        store.return_from(copy)
        self._world.fleet.put_config()
        for table, key in sorted(rows.keys() | copy.rows.keys()):
            if table == "servers":
                row = rows.get((table, key))
                store.put(table, key, row.value if row else None)

    def _prepare_malformed_row(self) -> Fault | None:
        """Write a row that is no valid registration of a server."""
        value = base64.b64encode(self._rng.choice(MALFORMED_ROWS)).decode()
        key = f"foreign-{self._rng.randrange(3)}"
        self._world.report.record_fault("bad row", key)

        async def write() -> None:
            self._world.fleet.store.put("servers", key, value)

        return write
