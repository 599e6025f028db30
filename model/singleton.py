"""Model of the leader election on the platform: two hosts, one row.

Each host runs the real state machine. Time passes in steps, and a host may
be suspended during any of them, while a monotonic clock stands still. Writes
take effect late, and their replies are late or lost.
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
    StoreEraSeen,
    WriteDutyRow,
)
from waxwingarch.core.store_version import count_of, era_of, make_version

TERM_S: Final = 3.0
# Seconds, chosen around a renewal and the end of a term.
TIMES: Final = (10.0, 11.5, 13.2)
NAMES: Final = (HostId("a"), HostId("b"))
MAX_VERSION: Final = 3
MAX_STEPS: Final = 4
MS_PER_S: Final = 1000

# Events of a host's state machine: time of its clock, kind and value.
Trace = tuple[tuple[float, str, Any], ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Host:
    """One host and its call in progress.

    `suspended_s` is how long it was suspended in total.
    """

    trace: Trace = ()
    write: WriteDutyRow | None = None
    sent_at: float = 0.0
    reply: Any = None
    suspended_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class World:
    """The state of the model: time, row and both hosts.

    `faults` is how many may still occur. `copy` is the first row with its
    version, which the store returns from in its next era.
    """

    time: int = 0
    row: DutyLeaseRow | None = None
    version: int = 0
    faults: int = 1
    era: int = 0
    copy: tuple[DutyLeaseRow | None, int] | None = None
    hosts: tuple[Host, ...] = (Host(), Host())


# The row of a lease that has ended, which is in the copy as well.
ENDED_ROW: Final = DutyLeaseRow(
    holder=HostId("z"), incarnation=1, until_ms=1, era=0
)
RETURNING_WORLD: Final = World(
    row=ENDED_ROW, version=1, faults=0, copy=(ENDED_ROW, 1)
)
Step = tuple[str, tuple[World]]


class SingletonModel:
    """The steps of the model, for one machine class and kind of clock.

    With `steady_clock`, the clock stands still while a host is suspended.
    """

    def __init__(
        self,
        machine: type[LeaderElection],
        *,
        steady_clock: bool,
        store_returns: bool,
    ) -> None:
        self._machine = machine
        self._steady_clock = steady_clock
        self._store_returns = store_returns

    def spec(self) -> Spec:
        """Return the specification for the checker."""
        return Spec(
            name="singleton",
            candidate=False,
            fields=("world",),
            initial=(RETURNING_WORLD if self._store_returns else World(),),
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
        """Return the time on a host's clock."""
        now = TIMES[world.time]
        return now - host.suspended_s if self._steady_clock else now

    def _steps(self, world: World) -> Iterator[Step]:
        if world.time + 1 < len(TIMES):
            later = replace(world, time=world.time + 1)
            yield "time", (later,)
            step_s = TIMES[world.time + 1] - TIMES[world.time]
            suspendable = () if self._store_returns else world.hosts
            for index, host in enumerate(suspendable):
                suspended_host = replace(
                    host, suspended_s=host.suspended_s + step_s
                )
                yield (
                    f"{index}:suspended",
                    (_set_host(later, index, suspended_host),),
                )
        if world.copy is not None:
            row, version = world.copy
            returned = replace(
                world, row=row, version=version, copy=None, era=world.era + 1
            )
            yield "store returns", (returned,)
        for index, host in enumerate(world.hosts):
            if host.write is not None:
                yield from self._write_steps(world, index, host)
            elif host.reply is not None:
                after_reply = self._run_machine(world, index, host, host.reply)
                yield f"{index}:reply", (after_reply,)
            elif len(host.trace) < MAX_STEPS:
                after_tick = self._run_machine(
                    world, index, host, ("tick", None)
                )
                if after_tick != world:
                    yield f"{index}:tick", (after_tick,)

    def _write_steps(
        self, world: World, index: int, host: Host
    ) -> Iterator[Step]:
        write = host.write
        assert write is not None
        after_write = replace(host, write=None)
        if count_of(write.expected_version) != world.version:
            reply = ("read", self._row_read(world, host))
            after = _set_host(world, index, replace(after_write, reply=reply))
            yield f"{index}:conflict", (after,)
            return
        if world.version >= MAX_VERSION:
            return
        applied = replace(world, row=write.row, version=world.version + 1)
        written = DutyRowWritten(
            version=make_version(world.era, applied.version),
            clock_ms=int(TIMES[world.time] * MS_PER_S),
            sent_at=host.sent_at,
            boot_now=0.0,
        )
        after = _set_host(
            applied, index, replace(after_write, reply=("written", written))
        )
        yield f"{index}:write", (after,)
        if world.faults:
            lost = replace(applied, faults=world.faults - 1)
            failed = ("failed", None)
            after = _set_host(lost, index, replace(after_write, reply=failed))
            yield f"{index}:reply lost", (after,)

    def _row_read(self, world: World, host: Host) -> DutyRowRead:
        return DutyRowRead(
            row=world.row,
            version=make_version(world.era, world.version),
            clock_ms=int(TIMES[world.time] * MS_PER_S),
            sent_at=host.sent_at or self._clock(world, host),
            boot_now=0.0,
        )

    def _run_machine(
        self, world: World, index: int, host: Host, event: tuple[str, Any]
    ) -> World:
        """Run an event; a read that it triggers is answered at once."""
        now = self._clock(world, host)
        host = replace(host, reply=None, trace=(*host.trace, (now, *event)))
        _, actions = self._replay(index, host)
        if any(isinstance(a, ReadDutyRow) for a in actions):
            row = self._row_read(world, replace(host, sent_at=now))
            host = replace(host, trace=(*host.trace, (now, "read", row)))
            _, actions = self._replay(index, host)
        for action in actions:
            if isinstance(action, WriteDutyRow):
                host = replace(host, write=action, sent_at=now)
        return _set_host(world, index, host)

    def _replay(
        self, index: int, host: Host
    ) -> tuple[LeaderElection, list[Action]]:
        """Return the machine after a host's events, with its last actions."""
        lease = self._machine(NAMES[index], 1, TERM_S)
        actions: list[Action] = []
        known_era: int | None = None
        for now, kind, value in host.trace:
            if isinstance(value, DutyRowRead | DutyRowWritten):
                era = era_of(value.version)
                if era != known_era:
                    lease.record_era(StoreEraSeen(era=era, boot_now=now))
                known_era = era
            if kind == "tick":
                actions = lease.tick(now, 0)
            elif kind == "read":
                actions = lease.handle_row_read(replace(value, boot_now=now))
            elif kind == "written":
                lease.handle_row_written(replace(value, boot_now=now))
                actions = []
            else:
                failed = DutyStoreFailed(boot_now=now, maybe_applied=True)
                actions = lease.handle_store_failure(failed)
        return lease, actions


def _set_host(world: World, index: int, host: Host) -> World:
    hosts = list(world.hosts)
    hosts[index] = host
    return replace(world, hosts=tuple(hosts))


def singleton_spec(
    machine: type[LeaderElection] = LeaderElection,
    *,
    steady_clock: bool = False,
    store_returns: bool = False,
) -> Spec:
    """Return the specification for one class of state machine.

    With `store_returns` the store returns from a copy once, at any time.
    """
    return SingletonModel(
        machine, steady_clock=steady_clock, store_returns=store_returns
    ).spec()
