"""Recorded traces of requests that run at most once.

A trace is JSON lines. The first gives the request and the stated
outcome; each further one gives the time, the event ("start" begins), and
the actions that followed.
"""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, fields
from typing import Any, Final

from waxwingarch.core.base import Action, Event, HostId
from waxwingarch.core.once.claim import ClaimRow, StoredAnswer
from waxwingarch.core.once.once import OnceMachine
from waxwingarch.core.once.once_messages import (
    Answer,
    AnswerNotStored,
    AnswerStored,
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
    RefuseRequest,
    TableReplyLost,
    TableUnavailable,
)

START: Final = "start"

_EVENTS: Final[Mapping[str, type[Event]]] = {
    event.__name__: event
    for event in (
        AnswerNotStored,
        AnswerStored,
        ClaimConflict,
        ClaimRead,
        ClaimWritten,
        DispatchAnswered,
        DispatchLost,
        DispatchNotSent,
        OnceTimer,
        OutcomeNotSeen,
        OutcomeRan,
        TableReplyLost,
        TableUnavailable,
    )
}


@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """What the caller was told, how often it was dispatched.

    `row` is the state that the machine last tried to record.
    """

    told: str
    dispatches: int
    row: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Replayed:
    """The result of a replay: the lines that differ, and the outcome."""

    differing_lines: tuple[int, ...]
    outcome: Outcome
    stated: Outcome

    @property
    def matches(self) -> bool:
        """Whether all actions and the outcome are as recorded."""
        return not self.differing_lines and self.outcome == self.stated


class _Owners:
    """Knows that the hosts named in the trace are gone."""

    def __init__(self, gone: Iterable[str]) -> None:
        self._gone = frozenset(gone)

    def has_departed(self, host: HostId, incarnation: int) -> bool:
        """Return whether the trace says so."""
        return host in self._gone


def encode_event(event: Event | None) -> dict[str, Any]:
    """Return an event as JSON types; None is the start."""
    if event is None:
        return {"event": START}
    return {"event": type(event).__name__, **_fields(event)}


def encode_action(action: Action) -> dict[str, Any]:
    """Return an action as JSON types."""
    return {"do": type(action).__name__, **_fields(action)}


def decode_event(line: Mapping[str, Any]) -> Event:
    """Return the event that `encode_event` wrote."""
    kind = _EVENTS[line["event"]]
    names = [f.name for f in fields(kind)]
    return kind(**{name: _decoded(name, line[name]) for name in names})


def replay_once(lines: Iterable[str]) -> Replayed:
    """Feed a trace through the machine and compare."""
    head, *steps = [json.loads(line) for line in lines if line.strip()]
    req = OnceRequest(**head["request"])
    machine = OnceMachine(req, _Owners(head.get("gone", ())))
    actions: list[Action] = []
    differing: list[int] = []
    for number, step in enumerate(steps, start=2):
        done = _take(machine, step)
        if [encode_action(action) for action in done] != step["actions"]:
            differing.append(number)
        actions += done
    return Replayed(
        differing_lines=tuple(differing),
        outcome=_outcome(machine, actions),
        stated=Outcome(**head["outcome"]),
    )


def _take(machine: OnceMachine, step: Mapping[str, Any]) -> list[Action]:
    if step["event"] == START:
        return machine.start(step["now"])
    return machine.handle(step["now"], decode_event(step))


def _outcome(machine: OnceMachine, actions: list[Action]) -> Outcome:
    told = [
        "answer"
        if isinstance(action, Answer)
        else f"{action.kind.value}: {action.ran.value}"
        for action in actions
        if isinstance(action, Answer | RefuseRequest)
    ]
    record = machine.state.record
    return Outcome(
        told=", ".join(told),
        dispatches=sum(isinstance(a, Dispatch) for a in actions),
        row=record.state.value if record else "",
    )


def _fields(message: Event | Action) -> dict[str, Any]:
    named = [f.name for f in fields(message)]
    return {name: _encoded(getattr(message, name)) for name in named}


def _encoded(value: Any) -> Any:
    if isinstance(value, ClaimRow | StoredAnswer):
        return value.to_json()
    if isinstance(value, bytes):
        return value.hex()
    return value


def _decoded(name: str, value: Any) -> Any:
    if value is None:
        return None
    if name == "row":
        return ClaimRow.from_json(value)
    if name == "answer":
        return StoredAnswer.from_json(value)
    return value
