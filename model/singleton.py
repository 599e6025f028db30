"""Model of the lease of the singleton duties: two hosts, one row.

Each host runs the real machine. Time passes in steps, and a host may be
suspended during any of them: its steady clock then stands still. Writes
are applied late, their replies are lost or come late.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any, Final

from minicheck import Protocol as Spec

from waxwingarch.core.base import Action, HostId
from waxwingarch.core.duties.leader_election import (
    DutyLeaseRow,
    DutyRowRead,
    DutyRowWritten,
    DutyStoreFailed,
    LeaderElection,
    ReadDutyRow,
    WriteDutyRow,
)

TERM_S: Final = 3.0
# Around the renewals and the end of a term.
TIMES: Final = (10.0, 11.5, 13.2)
NAMES: Final = (HostId("a"), HostId("b"))
MAX_VERSION: Final = 3
MAX_STEPS: Final = 4
MS_PER_S: Final = 1000

# What a machine went through: its clock, what came, and its value.
Trace = tuple[tuple[float, str, Any], ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Host:
    """One host; `asleep_s` is how long it was suspended in all."""

    trace: Trace = ()
    write: WriteDutyRow | None = None
    sent_at: float = 0.0
    reply: Any = None
    asleep_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class World:
    """The row, the time and both hosts; `faults` are still allowed."""

    time: int = 0
    row: DutyLeaseRow | None = None
    version: int = 0
    faults: int = 1
    hosts: tuple[Host, ...] = (Host(), Host())


Step = tuple[str, tuple[World]]


class SingletonModel:
    """Steps of the world around a machine class and the clock it reads."""

    def __init__(
        self, machine: type[LeaderElection], *, steady_clock: bool
    ) -> None:
        self._machine = machine
        self._steady_clock = steady_clock

    def spec(self) -> Spec:
        """Return the specification for the checker."""
        return Spec(
            name="singleton",
            candidate=False,
            fields=("world",),
            initial=(World(),),
            transitions=lambda s: list(self._steps(s[0])),
            invariants={"one_holder": self._one_holder},
        )

    def _one_holder(self, state: dict[str, Any]) -> bool:
        world: World = state["world"]
        acting = [
            self._replay(index, host)[0].may_act(self._clock(world, host))
            for index, host in enumerate(world.hosts)
        ]
        return sum(acting) <= 1

    def _clock(self, world: World, host: Host) -> float:
        """Return the time that a host reads."""
        now = TIMES[world.time]
        return now - host.asleep_s if self._steady_clock else now

    def _steps(self, world: World) -> Iterator[Step]:
        if world.time + 1 < len(TIMES):
            later = replace(world, time=world.time + 1)
            yield "time", (later,)
            passed_s = TIMES[world.time + 1] - TIMES[world.time]
            for index, host in enumerate(world.hosts):
                slept = replace(host, asleep_s=host.asleep_s + passed_s)
                yield f"{index}:suspended", (_set(later, index, slept),)
        for index, host in enumerate(world.hosts):
            if host.write is not None:
                yield from self._written(world, index, host)
            elif host.reply is not None:
                heard = self._hear(world, index, host, host.reply)
                yield f"{index}:reply", (heard,)
            elif len(host.trace) < MAX_STEPS:
                ticked = self._hear(world, index, host, ("tick", None))
                if ticked != world:
                    yield f"{index}:tick", (ticked,)

    def _written(self, world: World, index: int, host: Host) -> Iterator[Step]:
        write = host.write
        assert write is not None
        done = replace(host, write=None)
        if write.expected_version != world.version:
            reply = ("read", self._as_read(world, host))
            after = _set(world, index, replace(done, reply=reply))
            yield f"{index}:conflict", (after,)
            return
        if world.version >= MAX_VERSION:
            return
        applied = replace(world, row=write.row, version=world.version + 1)
        ok = DutyRowWritten(
            version=applied.version,
            clock_ms=int(TIMES[world.time] * MS_PER_S),
            sent_at=host.sent_at,
            boot_now=0.0,
        )
        after = _set(applied, index, replace(done, reply=("written", ok)))
        yield f"{index}:write", (after,)
        if world.faults:
            lost = replace(applied, faults=world.faults - 1)
            failed = ("failed", None)
            after = _set(lost, index, replace(done, reply=failed))
            yield f"{index}:reply lost", (after,)

    def _as_read(self, world: World, host: Host) -> DutyRowRead:
        return DutyRowRead(
            row=world.row,
            version=world.version,
            clock_ms=int(TIMES[world.time] * MS_PER_S),
            sent_at=host.sent_at or self._clock(world, host),
            boot_now=0.0,
        )

    def _hear(
        self, world: World, index: int, host: Host, event: tuple[str, Any]
    ) -> World:
        """Feed an event; a read that follows is answered at once."""
        now = self._clock(world, host)
        host = replace(host, reply=None, trace=(*host.trace, (now, *event)))
        _, actions = self._replay(index, host)
        if any(isinstance(a, ReadDutyRow) for a in actions):
            row = self._as_read(world, replace(host, sent_at=now))
            host = replace(host, trace=(*host.trace, (now, "read", row)))
            _, actions = self._replay(index, host)
        for action in actions:
            if isinstance(action, WriteDutyRow):
                host = replace(host, write=action, sent_at=now)
        return _set(world, index, host)

    def _replay(
        self, index: int, host: Host
    ) -> tuple[LeaderElection, list[Action]]:
        """Return the machine after its life, and what it asked last."""
        lease = self._machine(NAMES[index], 1, TERM_S)
        actions: list[Action] = []
        for now, what, value in host.trace:
            if what == "tick":
                actions = lease.tick(now, 0)
            elif what == "read":
                actions = lease.handle_row_read(replace(value, boot_now=now))
            elif what == "written":
                lease.handle_row_written(replace(value, boot_now=now))
                actions = []
            else:
                failed = DutyStoreFailed(boot_now=now, maybe_applied=True)
                actions = lease.handle_store_failure(failed)
        return lease, actions


def _set(world: World, index: int, host: Host) -> World:
    hosts = list(world.hosts)
    hosts[index] = host
    return replace(world, hosts=tuple(hosts))


def singleton_spec(
    machine: type[LeaderElection] = LeaderElection,
    *,
    steady_clock: bool = False,
) -> Spec:
    """Return the specification over a machine class."""
    return SingletonModel(machine, steady_clock=steady_clock).spec()
