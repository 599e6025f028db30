"""Model of a duty's lease: two hosts, one row, one server that gets orders.

Each host runs the real state machine. Steps may be delayed for any time,
which covers suspended processes, also between the check of the lease and the
write of an order. Replies are lost and writes take effect late.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Any, Final

from minicheck import Protocol as Spec

from waxwingarch.core.base import Action, Event, HostId
from waxwingarch.core.duties.lease import (
    LeaseConflict,
    LeaseMachine,
    LeaseMemory,
    LeaseRead,
    LeaseReplyLost,
    LeaseRow,
    LeaseTimer,
    LeaseWritten,
    ReadLease,
    SetLeaseTimer,
    WriteLease,
)

# Seconds.
SHORT_TIMES: Final[tuple[float, ...]] = (0.0, 12.0, 16.0)
LONG_TIMES: Final[tuple[float, ...]] = (*SHORT_TIMES, 48.0)
MAX_VERSION: Final = 3
HOSTS: Final = ("a", "b")


@dataclass(frozen=True, kw_only=True, slots=True)
class Contender:
    """One host: its state machine and its calls in progress.

    `order` is the fencing number of an order for which the lease was checked
    but which is not sent yet; 0 for none.
    """

    memory: LeaseMemory = field(default_factory=LeaseMemory)
    has_started: bool = False
    write: WriteLease | None = None
    reply: Event | None = None
    late_write: WriteLease | None = None
    reading: bool = False
    timer: bool = False
    order: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class World:
    """The state of the model: the row, both hosts and the server.

    `highest_fencing` is the highest fencing number that reached the server;
    `ran_older_order` is set once it carried out an older order after that.
    """

    time: int = 0
    row: LeaseRow | None = None
    version: int = 0
    hosts: tuple[Contender, ...] = (Contender(), Contender())
    highest_fencing: int = 0
    ran_older_order: bool = False
    faults: int = 1


Step = tuple[str, tuple[World]]


class LeaseModel:
    """The steps of the model, for one class of state machine."""

    def __init__(
        self,
        machine: type[LeaseMachine],
        *,
        checks_fencing: bool,
        orders: bool,
        faults: int,
        times: tuple[float, ...],
    ) -> None:
        self._machine = machine
        self._checks_fencing = checks_fencing
        self._orders = orders
        self._faults = faults
        self._times = times

    def spec(self) -> Spec:
        """Return the specification for the checker."""
        return Spec(
            name="lease",
            candidate=False,
            fields=("world",),
            initial=(World(faults=self._faults),),
            transitions=lambda s: list(self._steps(s[0])),
            invariants={
                "one_holder": self._one_holder,
                "no_older_order": lambda d: not d["world"].ran_older_order,
            },
        )

    def _one_holder(self, state: dict[str, Any]) -> bool:
        world: World = state["world"]
        now = self._times[world.time]
        acting = [
            self._restore_machine(world, index).may_act(now)
            for index in range(len(HOSTS))
        ]
        return sum(acting) <= 1

    def _steps(self, world: World) -> Iterator[Step]:
        if world.time + 1 < len(self._times):
            yield "time", (replace(world, time=world.time + 1),)
        for index, host in enumerate(world.hosts):
            if not host.has_started and (
                index == 0 or world.hosts[0].has_started
            ):
                after = _set_host(world, index, has_started=True)
                yield self._run_machine(after, index, "begin", None)
            if not host.has_started:
                continue
            yield from self._write_steps(world, index, host)
            if self._orders:
                yield from self._order_steps(world, index, host)
            if host.reading:
                event = LeaseRead(row=world.row, version=world.version)
                after = _set_host(world, index, reading=False)
                yield self._run_machine(after, index, "read", event)
            if host.timer:
                after = _set_host(world, index, timer=False)
                yield self._run_machine(after, index, "timer", LeaseTimer())

    def _write_steps(
        self, world: World, index: int, host: Contender
    ) -> Iterator[Step]:
        if host.late_write is not None:
            after = _set_host(world, index, late_write=None)
            after, _ = self._apply(after, host.late_write)
            yield f"{index}:late write", (after,)
        if host.reply is not None:
            after = _set_host(world, index, reply=None)
            yield self._run_machine(after, index, "reply", host.reply)
        if host.write is None or world.version >= MAX_VERSION:
            return
        sent = _set_host(world, index, write=None)
        after, event = self._apply(sent, host.write)
        yield f"{index}:write", (_set_host(after, index, reply=event),)
        if not world.faults:
            return
        lost = replace(after, faults=world.faults - 1)
        yield self._run_machine(lost, index, "reply lost", LeaseReplyLost())
        late = _set_host(sent, index, late_write=host.write)
        late = replace(late, faults=world.faults - 1)
        yield self._run_machine(late, index, "write delayed", LeaseReplyLost())

    def _order_steps(
        self, world: World, index: int, host: Contender
    ) -> Iterator[Step]:
        machine = self._restore_machine(world, index)
        now = self._times[world.time]
        if host.order:
            after = _set_host(world, index, order=0)
            yield f"{index}:order", (self._deliver_order(after, host.order),)
        elif machine.may_act(now, checks_fencing=self._checks_fencing):
            after = _set_host(world, index, order=machine.fencing)
            yield f"{index}:check", (after,)

    def _deliver_order(self, world: World, fencing: int) -> World:
        if fencing >= world.highest_fencing:
            return replace(world, highest_fencing=fencing)
        if self._checks_fencing:
            return world
        return replace(world, ran_older_order=True)

    def _apply(self, world: World, write: WriteLease) -> tuple[World, Event]:
        if write.expected_version != world.version:
            return world, LeaseConflict(row=world.row, version=world.version)
        after = replace(world, row=write.row, version=world.version + 1)
        return after, LeaseWritten(version=after.version)

    # Running the state machine

    def _restore_machine(self, world: World, index: int) -> LeaseMachine:
        machine = self._machine("duty", HostId(HOSTS[index]), 1)
        machine.memory = world.hosts[index].memory
        return machine

    def _run_machine(
        self, world: World, index: int, label: str, event: Event | None
    ) -> Step:
        machine = self._restore_machine(world, index)
        now = self._times[world.time]
        if event is None:
            actions = machine.start(now)
        else:
            actions = machine.handle(now, event)
        after = _set_host(world, index, memory=machine.memory)
        for action in actions:
            after = _set_host(after, index, **_host_changes(action))
        return f"{index}:{label}", (after,)


def _host_changes(action: Action) -> dict[str, Any]:
    match action:
        case WriteLease():
            return {"write": action}
        case ReadLease():
            return {"reading": True}
        case SetLeaseTimer():
            return {"timer": True}
        case _:
            return {}


def _set_host(world: World, index: int, **changes: Any) -> World:
    hosts = list(world.hosts)
    hosts[index] = replace(hosts[index], **changes)
    return replace(world, hosts=tuple(hosts))


def lease_spec(
    machine: type[LeaseMachine] = LeaseMachine,
    *,
    checks_fencing: bool = True,
    orders: bool = False,
    faults: int = 1,
    times: tuple[float, ...] = SHORT_TIMES,
    promise: str = "one_holder",
) -> Spec:
    """Return the specification of one promise.

    `orders` adds orders to a server; `checks_fencing` is whether that server
    refuses old fencing numbers.
    """
    model = LeaseModel(
        machine,
        checks_fencing=checks_fencing,
        orders=orders,
        faults=faults,
        times=times,
    )
    spec = model.spec()
    return replace(spec, invariants={promise: spec.invariants[promise]})
