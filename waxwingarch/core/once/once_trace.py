"""Recorded traces of requests that run at most once.

A trace consists of JSON lines. The first has the request and the expected
outcome. Each further line has the time, the event (the first is "start")
and the actions that the machine returned.
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
    """Outcome of a request: its final answers and its dispatches.

    `told` lists the answers and refusals that the caller got. `row` is
    the state that the machine last tried to record.
    """

    told: str
    dispatches: int
    row: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ReplayResult:
    """Result of a replay; `expected_outcome` is that of the trace."""

    differing_lines: tuple[int, ...]
    outcome: Outcome
    expected_outcome: Outcome

    @property
    def matches(self) -> bool:
        """Whether all actions and the outcome are as recorded."""
        return (
            not self.differing_lines and self.outcome == self.expected_outcome
        )


class _TraceOwners:
    """Reports the hosts that the trace lists under "gone" as departed."""

    def __init__(self, departed: Iterable[str]) -> None:
        self._departed = frozenset(departed)

    def has_departed(self, host: HostId, incarnation: int) -> bool:
        """Return whether the trace lists the host."""
        return host in self._departed


def encode_event(event: Event | None) -> dict[str, Any]:
    """Return an event as JSON types; None is the call of `start`."""
    if event is None:
        return {"event": START}
    return {"event": type(event).__name__, **_fields(event)}


def encode_action(action: Action) -> dict[str, Any]:
    """Return an action as JSON types."""
    return {"do": type(action).__name__, **_fields(action)}


def decode_event(line: Mapping[str, Any]) -> Event:
    """Return the event that `encode_event` encoded."""
    kind = _EVENTS[line["event"]]
    names = [f.name for f in fields(kind)]
    return kind(**{name: _decoded(name, line[name]) for name in names})


def replay_once(lines: Iterable[str]) -> ReplayResult:
    """Run a trace through the machine and compare its actions."""
    head, *steps = [json.loads(line) for line in lines if line.strip()]
    req = OnceRequest(**head["request"])
    machine = OnceMachine(req, _TraceOwners(head.get("gone", ())))
    actions: list[Action] = []
    differing_lines: list[int] = []
    for number, step in enumerate(steps, start=2):
        step_actions = _apply_step(machine, step)
        if [encode_action(action) for action in step_actions] != step[
            "actions"
        ]:
            differing_lines.append(number)
        actions += step_actions
    return ReplayResult(
        differing_lines=tuple(differing_lines),
        outcome=_outcome(machine, actions),
        expected_outcome=Outcome(**head["outcome"]),
    )


def _apply_step(machine: OnceMachine, step: Mapping[str, Any]) -> list[Action]:
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
