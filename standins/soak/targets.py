"""Chooses the targets of a soak's faults and records their intervals."""

from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, Final

from standins.fault_intervals import FaultInterval
from standins.fleet_server import FleetServer
from standins.soak.world import Daemon, World

MIN_UNDISTURBED_HOSTS: Final = 1

Fault = Callable[[], Coroutine[Any, Any, None]]
# Chooses a target, opens its fault interval and returns the coroutine
# function that carries the fault out, or None if no target is left.
Preparation = Callable[[], Fault | None]


class Targets:
    """Hosts and servers, and which of them a fault disturbs."""

    def __init__(self, world: World, rng: Random) -> None:
        self.world = world
        self.rng = rng
        self.disturbed_names: set[str] = set()

    def undisturbed_daemons(self) -> list[Daemon]:
        """Return the hosts without a fault."""
        daemons = self.world.daemons.values()
        return [d for d in daemons if d.name not in self.disturbed_names]

    def pick_daemon(self) -> Daemon | None:
        """Return a host, unless it is the last undisturbed one."""
        undisturbed = self.undisturbed_daemons()
        return (
            self.rng.choice(undisturbed)
            if len(undisturbed) > MIN_UNDISTURBED_HOSTS
            else None
        )

    def pick_server(self) -> FleetServer | None:
        """Return a server whose service has another undisturbed one."""
        undisturbed = [
            server
            for server in self.world.fleet.servers
            if self.is_undisturbed(server)
            and sum(
                self.is_undisturbed(other)
                for other in self.world.servers_of_same_service(server)
            )
            > 1
        ]
        return self.rng.choice(undisturbed) if undisturbed else None

    def is_undisturbed(self, server: FleetServer) -> bool:
        """Return whether a server runs and has no fault."""
        return not (server.is_down or server.server_id in self.disturbed_names)

    def begin_fault(
        self, name: str, kind: str, detail: str = ""
    ) -> FaultInterval:
        """Open the interval of a fault; its target gets no other one."""
        self.disturbed_names.add(name)
        return self.world.begin_fault(name, kind, detail)

    def end_fault(self, interval: FaultInterval) -> None:
        """Close the interval of a fault."""
        self.disturbed_names.discard(interval.name)
        self.world.end_fault(interval)
