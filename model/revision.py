"""Model of two operators whose changes race for one settings revision.

Each runs the real state machine for one change. Commits take effect late,
replies are lost, and reads are stale.
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
    """One operator's state machine and its calls in progress.

    `commit` and `delayed_commit` are the row version that a commit expects.
    """

    phase: ChangePhase = ChangePhase.READING
    maybe_applied: bool = False
    reads: int = 0
    has_started: bool = False
    reading: bool = False
    commit: int | None = None
    delayed_commit: int | None = None
    reported_end: ChangeEnd | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class World:
    """The state of the model: the revision row and both operators.

    `previous_row` is the row before the last change, for stale reads.
    """

    row: RevisionRow = field(default_factory=RevisionRow)
    previous_row: RevisionRow = field(default_factory=RevisionRow)
    operators: tuple[Operator, ...] = (Operator(), Operator())
    applied: tuple[str, ...] = ()
    faults: int = 3


Step = tuple[str, tuple[World]]


class RevisionModel:
    """The steps of the model; the row's version is its revision."""

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
                "told_truly": _reports_are_true,
            },
        )

    def _steps(self, world: World) -> Iterator[Step]:
        for index, operator in enumerate(world.operators):
            if operator.delayed_commit is not None:
                after = _set_operator(world, index, delayed_commit=None)
                yield (
                    f"{index}:late",
                    (self._apply(after, index, operator.delayed_commit)[0],),
                )
            if not operator.has_started:
                after = _set_operator(world, index, has_started=True)
                yield self._run_machine(after, index, "begin", None)
            if operator.reading:
                yield from self._read_steps(world, index)
            if operator.commit is not None:
                yield from self._commit_steps(world, index, operator.commit)

    def _read_steps(self, world: World, index: int) -> Iterator[Step]:
        after = _set_operator(world, index, reading=False)
        event = RevisionRead(row=world.row, version=world.row.revision)
        yield self._run_machine(after, index, "read", event)
        if world.faults:
            old = RevisionRead(
                row=world.previous_row, version=world.previous_row.revision
            )
            after = replace(after, faults=world.faults - 1)
            yield self._run_machine(after, index, "stale read", old)
            yield self._run_machine(
                after, index, "unread", RevisionUnreadable()
            )

    def _commit_steps(
        self, world: World, index: int, expected: int
    ) -> Iterator[Step]:
        sent = _set_operator(world, index, commit=None)
        after, event = self._apply(sent, index, expected)
        yield self._run_machine(after, index, "commit", event)
        if not world.faults:
            return
        remaining_faults = world.faults - 1
        lost = ChangeReplyLost()
        yield self._run_machine(
            replace(after, faults=remaining_faults), index, "lost", lost
        )
        sent = replace(sent, faults=remaining_faults)
        yield self._run_machine(sent, index, "down", ChangeNotApplied())
        delayed = _set_operator(sent, index, delayed_commit=expected)
        yield self._run_machine(delayed, index, "delayed", lost)

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
            previous_row=world.row,
            applied=(*world.applied, change.change_id),
        )
        return after, ChangeCommitted()

    def _run_machine(
        self, world: World, index: int, label: str, event: Event | None
    ) -> Step:
        operator = world.operators[index]
        machine = self._machine(CHANGES[index])
        machine.phase = operator.phase
        machine.maybe_applied = operator.maybe_applied
        machine.reads = operator.reads
        actions = machine.handle(event) if event else machine.start()
        after = _set_operator(
            world,
            index,
            phase=machine.phase,
            maybe_applied=machine.maybe_applied,
            reads=machine.reads,
        )
        for action in actions:
            after = _set_operator(after, index, **_operator_changes(action))
        return f"{index}:{label}", (after,)


def _operator_changes(action: Action) -> dict[str, Any]:
    match action:
        case ReadRevision():
            return {"reading": True}
        case CommitChange():
            return {"commit": action.conditions[0].version}
        case ChangeFinished():
            return {"reported_end": action.end}
        case _:
            return {}


def _set_operator(world: World, index: int, **changes: Any) -> World:
    operators = list(world.operators)
    operators[index] = replace(operators[index], **changes)
    return replace(world, operators=tuple(operators))


def _applied_once(state: dict[str, Any]) -> bool:
    return len(state["world"].applied) <= 1


def _reports_are_true(state: dict[str, Any]) -> bool:
    world: World = state["world"]
    false_reports = {
        (ChangeEnd.APPLIED, False),
        (ChangeEnd.CONFLICT, True),
        (ChangeEnd.NOT_APPLIED, True),
    }
    reports = (
        (operator.reported_end, change.change_id in world.applied)
        for operator, change in zip(world.operators, CHANGES, strict=True)
    )
    return not any(report in false_reports for report in reports)


def revision_spec(machine: type[ChangeMachine] = ChangeMachine) -> Spec:
    """Return the specification for two changes of the same base revision."""
    return RevisionModel(machine).spec()
