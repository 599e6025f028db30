"""Model of two operators who race for one settings revision.

Each runs the real machine for one change. Commits arrive late, replies
are lost, and reads lag behind.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Any, Final

from minicheck import Protocol as Spec

from waxwingarch.core.base import Action, Event
from waxwingarch.core.settings.revision import (
    ChangeCommitted,
    ChangedDocument,
    ChangeEnd,
    ChangeFinished,
    ChangeMachine,
    ChangeNotApplied,
    ChangePhase,
    ChangeReplyLost,
    CommitChange,
    ReadRevision,
    RevisionRead,
    RevisionRow,
    RevisionUnreadable,
    SettingsChange,
)

CHANGES: Final = tuple(
    SettingsChange(
        change_id=name,
        base_revision=0,
        documents=(ChangedDocument(name="d", text=name),),
    )
    for name in ("a", "b")
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Operator:
    """One operator's machine and what is on its way.

    `commit` and `late` are the row version that a commit depends on.
    """

    phase: ChangePhase = ChangePhase.READING
    maybe_applied: bool = False
    reads: int = 0
    begun: bool = False
    reading: bool = False
    commit: int | None = None
    late: int | None = None
    told: ChangeEnd | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class World:
    """The revision row, as it is and as it was, and both operators."""

    row: RevisionRow = field(default_factory=RevisionRow)
    before: RevisionRow = field(default_factory=RevisionRow)
    operators: tuple[Operator, ...] = (Operator(), Operator())
    applied: tuple[str, ...] = ()
    faults: int = 3


Step = tuple[str, tuple[World]]


class RevisionModel:
    """Steps of the world; the row's version is its revision."""

    def __init__(self, machine: type[ChangeMachine]) -> None:
        self._machine = machine

    def spec(self) -> Spec:
        """Return the specification for the checker."""
        return Spec(
            name="revision",
            candidate=False,
            fields=("world",),
            initial=(World(),),
            transitions=lambda s: list(self._steps(s[0])),
            invariants={
                "applied_once": _applied_once,
                "told_truly": _told_truly,
            },
        )

    def _steps(self, world: World) -> Iterator[Step]:
        for index, operator in enumerate(world.operators):
            if operator.late is not None:
                after = _set(world, index, late=None)
                yield (
                    f"{index}:late",
                    (self._apply(after, index, operator.late)[0],),
                )
            if not operator.begun:
                after = _set(world, index, begun=True)
                yield self._feed(after, index, "begin", None)
            if operator.reading:
                yield from self._read_steps(world, index)
            if operator.commit is not None:
                yield from self._commit_steps(world, index, operator.commit)

    def _read_steps(self, world: World, index: int) -> Iterator[Step]:
        after = _set(world, index, reading=False)
        event = RevisionRead(row=world.row, version=world.row.revision)
        yield self._feed(after, index, "read", event)
        if world.faults:
            old = RevisionRead(row=world.before, version=world.before.revision)
            after = replace(after, faults=world.faults - 1)
            yield self._feed(after, index, "stale read", old)
            yield self._feed(after, index, "unread", RevisionUnreadable())

    def _commit_steps(
        self, world: World, index: int, expected: int
    ) -> Iterator[Step]:
        sent = _set(world, index, commit=None)
        after, event = self._apply(sent, index, expected)
        yield self._feed(after, index, "commit", event)
        if not world.faults:
            return
        left = world.faults - 1
        lost = ChangeReplyLost()
        yield self._feed(replace(after, faults=left), index, "lost", lost)
        sent = replace(sent, faults=left)
        yield self._feed(sent, index, "down", ChangeNotApplied())
        late = _set(sent, index, late=expected)
        yield self._feed(late, index, "delayed", lost)

    def _apply(
        self, world: World, index: int, expected: int
    ) -> tuple[World, Event]:
        if expected != world.row.revision:
            event = RevisionRead(row=world.row, version=world.row.revision)
            return world, event
        change = CHANGES[index]
        after = replace(
            world,
            row=world.row.with_change(change),
            before=world.row,
            applied=(*world.applied, change.change_id),
        )
        return after, ChangeCommitted()

    def _feed(
        self, world: World, index: int, label: str, event: Event | None
    ) -> Step:
        operator = world.operators[index]
        machine = self._machine(CHANGES[index])
        machine.phase = operator.phase
        machine.maybe_applied = operator.maybe_applied
        machine.reads = operator.reads
        actions = machine.handle(event) if event else machine.start()
        after = _set(
            world,
            index,
            phase=machine.phase,
            maybe_applied=machine.maybe_applied,
            reads=machine.reads,
        )
        for action in actions:
            after = _set(after, index, **_change(action))
        return f"{index}:{label}", (after,)


def _change(action: Action) -> dict[str, Any]:
    match action:
        case ReadRevision():
            return {"reading": True}
        case CommitChange():
            return {"commit": action.conditions[0].version}
        case ChangeFinished():
            return {"told": action.end}
        case _:
            return {}


def _set(world: World, index: int, **changes: Any) -> World:
    operators = list(world.operators)
    operators[index] = replace(operators[index], **changes)
    return replace(world, operators=tuple(operators))


def _applied_once(state: dict[str, Any]) -> bool:
    return len(state["world"].applied) <= 1


def _told_truly(state: dict[str, Any]) -> bool:
    world: World = state["world"]
    untrue = {
        (ChangeEnd.APPLIED, False),
        (ChangeEnd.CONFLICT, True),
        (ChangeEnd.NOT_APPLIED, True),
    }
    told = (
        (operator.told, change.change_id in world.applied)
        for operator, change in zip(world.operators, CHANGES, strict=True)
    )
    return not any(pair in untrue for pair in told)


def revision_spec(machine: type[ChangeMachine] = ChangeMachine) -> Spec:
    """Return the specification; at most one of two changes on a base."""
    return RevisionModel(machine).spec()
