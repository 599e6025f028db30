"""Specification of a version move: two holders, two hosts, stop marks.

The model runs the daemon's transition table, choice of a version and stop
rule. Either host may hold the lease. A suspended holder doesn't know that it
has lost it, so both may write at any time. Tests leave out one guard at a
time to show which failure it prevents.
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
STOP_MARK: Final = StopMark(
    service=SERVICE, version=NEW, move_id="m", reason="failures"
)
STOP_VERDICT: Final = Verdict(
    decision=Decision.STOP,
    score=1.0,
    route="*",
    band="*",
    signal=Signal.FAILURE,
    requests=1,
    new_rate=1.0,
    old_rate=0.0,
)
END_STATES: Final = (MoveState.DONE, MoveState.TAKING_BACK)


class State(NamedTuple):
    """The row, each host's view of it, and each host's own state.

    `marked[i]` is whether host `i` knows of the stop mark, `closed[i]` whether
    it will set none any more, and `knows_other_closed[i]` whether it believes
    that the other has closed. `ended` is the first end state written.
    """

    row: MoveState
    version: int
    hold_is_over: bool
    views: tuple[tuple[MoveState, int], ...]
    marked: tuple[bool, ...]
    closed: tuple[bool, ...]
    knows_other_closed: tuple[bool, ...]
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


def _may_raise(s: State, i: int, event: MoveEvent, ask_hosts: bool) -> bool:
    """Return whether holder `i` may raise the event, by the daemon's rules."""
    stopped = s.marked[i] and s.views[i][0] in ACTIVE_STATES
    if stopped or event is MoveEvent.STOPPED:
        return stopped and event is MoveEvent.STOPPED
    if event is MoveEvent.HELD:
        closed = s.closed[i] and s.knows_other_closed[i]
        return s.hold_is_over and (closed or not ask_hosts)
    return True


def _write(s: State, i: int, event: MoveEvent, compare: bool) -> State:
    """Return the state after holder `i` writes the next row."""
    known_state, version = s.views[i]
    if compare and version != s.version:
        return s
    row = TRANSITIONS[known_state, event]
    ended = s.ended or (row.value if row in END_STATES else "")
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
        if _may_raise(s, i, event, ask_hosts):
            written = _write(s, i, event, compare)
            yield f"write {i} {event}", _read(written, i)
            yield f"write {i} {event}, reply lost", written


def _host_steps(
    s: State, i: int, restart_closed: bool, reopen: bool
) -> Iterator[Step]:
    stop_mark = make_stop_mark(RECORDS[s.views[i][0]], STOP_VERDICT)
    if stop_mark and not s.closed[i] and not s.marked[i]:
        yield f"mark {i}", s._replace(marked=_set(s.marked, i, True))
    if s.marked[1 - i] and not s.marked[i]:
        closed = s.closed[i] and not reopen
        learned = s._replace(closed=_set(s.closed, i, closed))
        marked = _set(s.marked, i, True)
        yield f"gossip to {i}", learned._replace(marked=marked)
    holding = s.views[i][0] is MoveState.HOLDING
    if holding and s.hold_is_over and not s.marked[i]:
        yield f"close {i}", s._replace(closed=_set(s.closed, i, True))
    closed = s.hold_is_over and restart_closed
    restarted = s._replace(
        marked=_set(s.marked, i, False), closed=_set(s.closed, i, closed)
    )
    restarted_host = restarted._replace(
        knows_other_closed=_set(s.knows_other_closed, i, False)
    )
    yield f"restart {i}", _read(restarted_host, i)
    knows_other_closed = _set(s.knows_other_closed, i, s.closed[1 - i])
    yield (
        f"{i} hears of the other",
        s._replace(knows_other_closed=knows_other_closed),
    )


def _no_traffic_to_a_stopped_version(state: dict[str, object]) -> bool:
    marked, views = state["marked"], state["views"]
    assert isinstance(marked, tuple) and isinstance(views, tuple)
    return all(
        choose_version(RECORDS[view[0]], (STOP_MARK,), 0, "/", 0.0).version
        == OLD
        for is_marked, view in zip(marked, views, strict=True)
        if is_marked
    )


def _never_done_after_a_stop_mark(state: dict[str, object]) -> bool:
    marked = state["marked"]
    assert isinstance(marked, tuple)
    return state["row"] is not MoveState.DONE or not any(marked)


def _an_end_is_final(state: dict[str, object]) -> bool:
    """Return whether no write undid an end reported to operators."""
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
    """Return the specification; each argument enables one guard.

    `compare`: writes compare the row's version. `ask_hosts`: a move is done
    only after each host has closed. `restart_closed`: a host that starts
    after the hold sets no stop mark. `reopen`: a host that learns of a stop
    mark is no longer closed.
    """

    def transitions(state: tuple[object, ...]) -> list[Step]:
        s = State(*state)  # type: ignore[arg-type]
        steps: list[Step] = []
        for i in HOSTS:
            steps += _holder_steps(s, i, compare, ask_hosts)
            steps += _host_steps(s, i, restart_closed, reopen)
        if s.row is MoveState.HOLDING and not s.hold_is_over:
            steps.append(("hold is over", s._replace(hold_is_over=True)))
        return [(name, after) for name, after in steps if after != s]

    planned = (MoveState.PLANNED, 1)
    return Protocol(
        name="version move",
        candidate=False,
        fields=State._fields,
        initial=State(
            row=MoveState.PLANNED,
            version=1,
            hold_is_over=False,
            views=(planned, planned),
            marked=(False, False),
            closed=(False, False),
            knows_other_closed=(False, False),
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
