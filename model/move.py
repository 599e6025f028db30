"""Specification of a version move: two holders, two hosts, stop marks.

The model runs the transition table, the choice of a version and the stop
rule of the daemon. Host `i` is also the process that holds the lease at
times; a paused holder does not know that it has lost it, so both may
write at any moment. The guards can be left out to show what each is for.
"""

from collections.abc import Iterator
from typing import Final, NamedTuple

from minicheck import Protocol

from waxwingarch.core.base import ServiceId, VersionId
from waxwingarch.core.cluster.items import StopMark
from waxwingarch.core.moves.move import make_stop_mark
from waxwingarch.core.moves.move_counts import Signal
from waxwingarch.core.moves.move_judge import Decision, Verdict
from waxwingarch.core.moves.move_record import (
    ACTIVE_STATES,
    TRANSITIONS,
    MoveEvent,
    MoveRecord,
    MoveState,
)
from waxwingarch.core.moves.move_split import choose_version

HOSTS: Final = (0, 1)
OLD: Final = VersionId("v1")
NEW: Final = VersionId("v2")
SERVICE: Final = ServiceId("pool")
MARK: Final = StopMark(
    service=SERVICE, version=NEW, move_id="m", reason="failures"
)
STOP: Final = Verdict(
    decision=Decision.STOP,
    score=1.0,
    route="*",
    band="*",
    signal=Signal.FAILURE,
    requests=1,
    new_rate=1.0,
    old_rate=0.0,
)
ENDS: Final = (MoveState.DONE, MoveState.TAKING_BACK)


class State(NamedTuple):
    """The row, what each host knows of it, and each host's promises.

    `heard[i]` is whether host `i` believes that the other has closed.
    """

    row: MoveState
    version: int
    held: bool
    views: tuple[tuple[MoveState, int], ...]
    marked: tuple[bool, ...]
    closed: tuple[bool, ...]
    heard: tuple[bool, ...]
    ended: str


Step = tuple[str, State]


def _record(state: MoveState) -> MoveRecord:
    return MoveRecord(
        move_id="m",
        service=SERVICE,
        old_version=OLD,
        new_version=NEW,
        state=state,
        created_unix=0.0,
        deadline_unix=4.0,
        shift_from_unix=1.0,
        hold_from_unix=2.0,
        hold_until_unix=3.0,
        share=1.0,
    )


RECORDS: Final = {state: _record(state) for state in MoveState}


def _set(values: tuple[bool, ...], i: int, value: bool) -> tuple[bool, ...]:
    return (*values[:i], value, *values[i + 1 :])


def _allowed(s: State, i: int, event: MoveEvent, ask_hosts: bool) -> bool:
    """Return whether holder `i` may raise the event, as the driver does."""
    stopped = s.marked[i] and s.views[i][0] in ACTIVE_STATES
    if stopped or event is MoveEvent.STOPPED:
        return stopped and event is MoveEvent.STOPPED
    if event is MoveEvent.HELD:
        closed = s.closed[i] and s.heard[i]
        return s.held and (closed or not ask_hosts)
    return True


def _write(s: State, i: int, event: MoveEvent, compare: bool) -> State:
    """Return the state after holder `i` wrote the next row."""
    seen, version = s.views[i]
    if compare and version != s.version:
        return s
    row = TRANSITIONS[seen, event]
    ended = s.ended or (row.value if row in ENDS else "")
    return s._replace(row=row, version=s.version + 1, ended=ended)


def _read(s: State, i: int) -> State:
    views = (*s.views[:i], (s.row, s.version), *s.views[i + 1 :])
    return s._replace(views=views)


def _holder_steps(
    s: State, i: int, compare: bool, ask_hosts: bool
) -> Iterator[Step]:
    yield f"read {i}", _read(s, i)
    for event in MoveEvent:
        if (s.views[i][0], event) not in TRANSITIONS:
            continue
        if _allowed(s, i, event, ask_hosts):
            written = _write(s, i, event, compare)
            yield f"write {i} {event}", _read(written, i)
            yield f"write {i} {event}, reply lost", written


def _host_steps(
    s: State, i: int, restart_closed: bool, reopen: bool
) -> Iterator[Step]:
    found = make_stop_mark(RECORDS[s.views[i][0]], STOP)
    if found and not s.closed[i] and not s.marked[i]:
        yield f"mark {i}", s._replace(marked=_set(s.marked, i, True))
    if s.marked[1 - i] and not s.marked[i]:
        closed = s.closed[i] and not reopen
        learned = s._replace(closed=_set(s.closed, i, closed))
        marked = _set(s.marked, i, True)
        yield f"gossip to {i}", learned._replace(marked=marked)
    holding = s.views[i][0] is MoveState.HOLDING
    if holding and s.held and not s.marked[i]:
        yield f"close {i}", s._replace(closed=_set(s.closed, i, True))
    closed = s.held and restart_closed
    restarted = s._replace(
        marked=_set(s.marked, i, False), closed=_set(s.closed, i, closed)
    )
    forgotten = restarted._replace(heard=_set(s.heard, i, False))
    yield f"restart {i}", _read(forgotten, i)
    heard = _set(s.heard, i, s.closed[1 - i])
    yield f"{i} hears of the other", s._replace(heard=heard)


def _no_traffic_to_a_stopped_version(state: dict[str, object]) -> bool:
    marked, views = state["marked"], state["views"]
    assert isinstance(marked, tuple) and isinstance(views, tuple)
    return all(
        choose_version(RECORDS[view[0]], (MARK,), 0, "/", 0.0).version == OLD
        for known, view in zip(marked, views, strict=True)
        if known
    )


def _never_done_after_a_stop_mark(state: dict[str, object]) -> bool:
    marked = state["marked"]
    assert isinstance(marked, tuple)
    return state["row"] is not MoveState.DONE or not any(marked)


def _an_end_is_final(state: dict[str, object]) -> bool:
    """Whether no write undid the end that operators were told of."""
    if state["ended"] == MoveState.DONE.value:
        return state["row"] is MoveState.DONE
    if state["ended"]:
        return state["row"] in (MoveState.TAKING_BACK, MoveState.TAKEN_BACK)
    return True


def move_protocol(
    *,
    compare: bool = True,
    ask_hosts: bool = True,
    restart_closed: bool = True,
    reopen: bool = True,
) -> Protocol:
    """Return the model.

    `compare`: writes compare the row's version. `ask_hosts`: a move is
    done only when each host has closed. `restart_closed`: a host that
    starts after the hold sets no stop mark. `reopen`: a host that
    learns of a stop mark is closed no more.
    """

    def transitions(state: tuple[object, ...]) -> list[Step]:
        s = State(*state)  # type: ignore[arg-type]
        steps: list[Step] = []
        for i in HOSTS:
            steps += _holder_steps(s, i, compare, ask_hosts)
            steps += _host_steps(s, i, restart_closed, reopen)
        if s.row is MoveState.HOLDING and not s.held:
            steps.append(("hold is over", s._replace(held=True)))
        return [(name, after) for name, after in steps if after != s]

    planned = (MoveState.PLANNED, 1)
    return Protocol(
        name="version move",
        candidate=False,
        fields=State._fields,
        initial=State(
            row=MoveState.PLANNED,
            version=1,
            held=False,
            views=(planned, planned),
            marked=(False, False),
            closed=(False, False),
            heard=(False, False),
            ended="",
        ),
        transitions=transitions,
        invariants={
            "no traffic to a stopped version": (
                _no_traffic_to_a_stopped_version
            ),
            "never done after a stop mark": _never_done_after_a_stop_mark,
            "an end is final": _an_end_is_final,
        },
    )
