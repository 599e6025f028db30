"""Model of requests that run at most once: two entry hosts, one key.

Each entry host runs the real machine. The environment delays, loses and
repeats: table replies, late writes, stale reads, dispatches paused right
before the first byte, requests that reach the service late, and hosts
that die. Owners count as gone at any moment, so nothing rests on time.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from typing import Any, Final

from minicheck import Protocol as Spec

from waxwingarch.core.base import Action, Event, ExecutionStatus, HostId
from waxwingarch.core.once.claim import (
    ClaimRow,
    ClaimState,
    StoredAnswer,
    Writer,
    may_write,
    row_state,
)
from waxwingarch.core.once.once import OnceMachine
from waxwingarch.core.once.once_messages import (
    Answer,
    ClaimConflict,
    ClaimRead,
    ClaimWritten,
    Dispatch,
    DispatchAnswered,
    DispatchLost,
    DispatchNotSent,
    OnceRequest,
    OnceTimer,
    OutcomeNotSeen,
    OutcomeRan,
    QueryOutcome,
    ReadClaim,
    RefuseRequest,
    SetOnceTimer,
    TableReplyLost,
    TableUnavailable,
    WriteClaim,
)
from waxwingarch.core.once.once_state import OnceState

TIMES: Final = (0.0, 10.0, 30.0)
ANSWER: Final = StoredAnswer(status=200, content_type="text/plain")


def _request(name: str) -> OnceRequest:
    return OnceRequest(
        key="k",
        claim_id=name,
        operation_id="op",
        body_digest="same",
        owner=HostId(name),
        incarnation=1,
        dispatch_deadline=5.0,
        answer_deadline=15.0,
        record_deadline=25.0,
        unix_offset=0.0,
        expires_unix=1000.0,
        outcome_query=True,
    )


class _AllGone:
    """The worst knowledge of other hosts: every owner seems gone."""

    def has_departed(self, host: HostId, incarnation: int) -> bool:
        """Return True."""
        return True


@dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """One entry host: its machine and what is on its way."""

    state: OnceState = field(default_factory=OnceState)
    begun: bool = False
    alive: bool = True
    write: WriteClaim | None = None
    reply: Event | None = None
    late_write: WriteClaim | None = None
    reading: bool = False
    querying: bool = False
    timer: bool = False
    dispatch: str = ""
    late_request: bool = False
    said: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class World:
    """The table, the service and both entry hosts."""

    time: int = 0
    row: ClaimRow | None = None
    version: int = 0
    stale: tuple[ClaimRow | None, int] = (None, 0)
    entries: tuple[Entry, ...] = (Entry(), Entry())
    ran: tuple[str, ...] = ()
    rules_kept: bool = True
    faults: int = 0


Step = tuple[str, tuple[World]]


class OnceModel:
    """Steps of the world around a machine class."""

    def __init__(self, machine: type[OnceMachine], faults: int) -> None:
        self._machine = machine
        self._faults = faults
        self._requests = (_request("a"), _request("b"))
        self._owners = _AllGone()

    def spec(self) -> Spec:
        """Return the specification for the checker."""
        return Spec(
            name="once",
            candidate=False,
            fields=("world",),
            initial=(World(faults=self._faults),),
            transitions=lambda s: list(self._steps(s[0])),
            invariants={
                "runs_at_most_once": _runs_at_most_once,
                "not_run_is_true": _not_run_is_true,
                "answers_are_real": _answers_are_real,
                "row_rules_kept": lambda d: d["world"].rules_kept,
            },
        )

    def _steps(self, world: World) -> Iterator[Step]:
        if world.time + 1 < len(TIMES):
            yield "time", (replace(world, time=world.time + 1),)
        for index, entry in enumerate(world.entries):
            if entry.late_write is not None:
                after = _set(world, index, late_write=None)
                yield (
                    f"{index}:late write",
                    (self._apply(after, index, entry.late_write)[0],),
                )
            if entry.late_request:
                after = _set(world, index, late_request=False)
                yield f"{index}:late request runs", (self._run(after, index),)
            if entry.alive:
                yield from self._live_steps(world, index, entry)

    def _live_steps(
        self, world: World, index: int, entry: Entry
    ) -> Iterator[Step]:
        if not entry.begun:
            if index and not world.entries[0].begun:
                return
            after = _set(world, index, begun=True)
            yield (
                f"{index}:begin",
                (self._feed(after, index, lambda m, now: m.start(now)),),
            )
            return
        yield from self._write_steps(world, index, entry)
        yield from self._read_steps(world, index, entry)
        yield from self._dispatch_steps(world, index, entry)
        if entry.timer:
            after = _set(world, index, timer=False)
            yield self._event(after, index, "timer", OnceTimer())
        if entry.querying:
            seen = bool(world.ran)
            event = OutcomeRan(answer=ANSWER) if seen else OutcomeNotSeen()
            after = _set(world, index, querying=False)
            yield self._event(after, index, f"outcome {seen}", event)
        if world.faults:
            after = _set(
                _fault(world),
                index,
                alive=False,
                late_write=entry.write or entry.late_write,
            )
            yield f"{index}:dies", (after,)

    def _write_steps(
        self, world: World, index: int, entry: Entry
    ) -> Iterator[Step]:
        if entry.reply is not None:
            after = _set(world, index, reply=None)
            yield self._event(after, index, "reply", entry.reply)
        write = entry.write
        if write is None:
            return
        sent = _set(world, index, write=None)
        after, event = self._apply(sent, index, write)
        yield f"{index}:write", (_set(after, index, reply=event),)
        if not world.faults:
            return
        lost = TableReplyLost()
        yield self._event(_fault(after), index, "reply lost", lost)
        yield self._event(
            _fault(sent), index, "table down", TableUnavailable()
        )
        if entry.late_write is None:
            delayed = _set(_fault(sent), index, late_write=write)
            yield self._event(delayed, index, "write delayed", lost)

    def _read_steps(
        self, world: World, index: int, entry: Entry
    ) -> Iterator[Step]:
        if not entry.reading:
            return
        after = _set(world, index, reading=False)
        event = ClaimRead(row=world.row, version=world.version)
        yield self._event(after, index, "read", event)
        if not world.faults:
            return
        row, version = world.stale
        stale = ClaimRead(row=row, version=version)
        yield self._event(_fault(after), index, "stale read", stale)
        yield self._event(
            _fault(after), index, "read fails", TableUnavailable()
        )

    def _dispatch_steps(
        self, world: World, index: int, entry: Entry
    ) -> Iterator[Step]:
        none = _set(world, index, dispatch="")
        if entry.dispatch == "connecting":
            if self._at(entry, index).may_dispatch(TIMES[world.time]):
                checked = _set(world, index, dispatch="checked")
                yield f"{index}:checked", (checked,)
            else:
                yield self._event(none, index, "late", DispatchNotSent())
            if world.faults:
                event = DispatchNotSent()
                yield self._event(_fault(none), index, "no connect", event)
        if entry.dispatch == "checked":
            sent = _set(world, index, dispatch="sent")
            yield f"{index}:runs", (self._run(sent, index),)
            if world.faults:
                late = _set(_fault(none), index, late_request=True)
                yield self._event(late, index, "cut", DispatchLost())
        if entry.dispatch == "sent":
            event_ok = DispatchAnswered(answer=ANSWER)
            yield self._event(none, index, "answered", event_ok)
            if world.faults:
                lost = _fault(none)
                yield self._event(lost, index, "answer lost", DispatchLost())

    def _run(self, world: World, index: int) -> World:
        name = self._requests[index].claim_id
        return replace(world, ran=(*world.ran, name))

    def _apply(
        self, world: World, index: int, write: WriteClaim
    ) -> tuple[World, Event]:
        if write.expected_version != world.version:
            event = ClaimConflict(row=world.row, version=world.version)
            return world, event
        own = write.row.claim_id == self._requests[index].claim_id
        writer = Writer.OWNER if own else Writer.OTHER
        kept = may_write(row_state(world.row), write.row.state, writer)
        # A tombstone on a tombstone changes nothing for anyone.
        same = row_state(world.row) is write.row.state is ClaimState.NOT_RUN
        after = replace(
            world,
            row=write.row,
            version=world.version + 1,
            stale=(world.row, world.version),
            rules_kept=world.rules_kept and (kept or same),
        )
        return after, ClaimWritten(version=after.version)

    # Driving the machine

    def _at(self, entry: Entry, index: int) -> OnceMachine:
        machine = self._machine(self._requests[index], self._owners)
        machine.state = entry.state
        return machine

    def _event(
        self, world: World, index: int, label: str, event: Event
    ) -> Step:
        after = self._feed(world, index, lambda m, now: m.handle(now, event))
        return f"{index}:{label}", (after,)

    def _feed(
        self,
        world: World,
        index: int,
        call: Callable[[OnceMachine, float], list[Action]],
    ) -> World:
        machine = self._at(world.entries[index], index)
        actions = call(machine, TIMES[world.time])
        after = _set(world, index, state=machine.state)
        for action in actions:
            after = _set(after, index, **_change(action))
        return after


def _change(action: Action) -> dict[str, Any]:
    match action:
        case WriteClaim():
            return {"write": action}
        case ReadClaim():
            return {"reading": True}
        case QueryOutcome():
            return {"querying": True}
        case SetOnceTimer():
            return {"timer": True}
        case Dispatch():
            return {"dispatch": "connecting"}
        case Answer():
            return {"said": "answer"}
        case RefuseRequest():
            return {"said": action.ran.value}
        case _:
            return {}


def _set(world: World, index: int, **changes: Any) -> World:
    entries = list(world.entries)
    entries[index] = replace(entries[index], **changes)
    return replace(world, entries=tuple(entries))


def _fault(world: World) -> World:
    return replace(world, faults=world.faults - 1)


def _runs_at_most_once(state: dict[str, Any]) -> bool:
    return len(state["world"].ran) <= 1


def _not_run_is_true(state: dict[str, Any]) -> bool:
    world: World = state["world"]
    said = [
        entry.said == ExecutionStatus.NOT_RUN.value for entry in world.entries
    ]
    return not any(
        told and name in world.ran
        for told, name in zip(said, ("a", "b"), strict=True)
    )


def _answers_are_real(state: dict[str, Any]) -> bool:
    world: World = state["world"]
    told = any(entry.said == "answer" for entry in world.entries)
    done = row_state(world.row) is ClaimState.DONE
    return bool(world.ran) or not (told or done)


def once_spec(
    machine: type[OnceMachine] = OnceMachine,
    *,
    faults: int = 2,
    promise: str | None = None,
) -> Spec:
    """Return the specification of one promise, or of all of them.

    `faults` bounds how often something goes wrong.
    """
    spec = OnceModel(machine, faults).spec()
    if promise is None:
        return spec
    return replace(spec, invariants={promise: spec.invariants[promise]})
