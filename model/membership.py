"""Specification of membership: two observers' views of one host.

A message stays in the network and may arrive at any time, repeatedly. This
covers every order of arrival, with late and repeated messages.
"""

from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Any, NamedTuple

from minicheck import Protocol, check_safety

from waxwingarch.core.base import FailureDomain, HostId
from waxwingarch.core.cluster.members import (
    Addresses,
    Member,
    MemberState,
    precedence,
    supersedes,
)

Wins = Callable[[Member, Member], bool]

FIRST = Member(
    host_id=HostId("h"),
    incarnation=1,
    refutation=0,
    region="r",
    failure_domain=FailureDomain("d"),
    addresses=Addresses(http="", peer_tcp="", peer_udp=""),
    state=MemberState.ALIVE,
)
MAX_INCARNATION = 2
MAX_REFUTATION = 1
MAX_STATES = 50_000
ACCUSATIONS = {
    MemberState.ALIVE: MemberState.SUSPECT,
    MemberState.SUSPECT: MemberState.DEAD,
}


class State(NamedTuple):
    """The host's own record, the views of it, and the network."""

    own: Member
    views: tuple[Member, ...]
    network: frozenset[Member]
    # The highest (incarnation, refutation) that each observer received.
    newest_received: tuple[tuple[int, int], ...]
    # The incarnations that left, as far as each observer was informed.
    received_left: tuple[frozenset[int], ...]


INITIAL = State(
    own=FIRST,
    views=(FIRST, FIRST),
    network=frozenset(),
    newest_received=((1, 0), (1, 0)),
    received_left=(frozenset(), frozenset()),
)


def _replace_at(
    values: tuple[Any, ...], index: int, value: Any
) -> tuple[Any, ...]:
    return (*values[:index], value, *values[index + 1 :])


def _set_view(state: State, index: int, record: Member) -> State:
    """Replace an observer's view and send it to all."""
    return state._replace(
        views=_replace_at(state.views, index, record),
        network=state.network | {record},
    )


def _receive(state: State, index: int, record: Member, wins: Wins) -> State:
    rank = (record.incarnation, record.refutation)
    newest_received = _replace_at(
        state.newest_received, index, max(state.newest_received[index], rank)
    )
    left_incarnations = state.received_left[index]
    if record.state is MemberState.LEFT:
        left_incarnations = left_incarnations | {record.incarnation}
    state = state._replace(
        newest_received=newest_received,
        received_left=_replace_at(
            state.received_left, index, left_incarnations
        ),
    )
    if wins(record, state.views[index]):
        return _set_view(state, index, record)
    return state


def _own_steps(state: State) -> Iterator[tuple[str, State]]:
    own = state.own
    if own.incarnation < MAX_INCARNATION:
        started = replace(
            FIRST, incarnation=own.incarnation + 1, state=MemberState.ALIVE
        )
        yield "restart", _publish_own(state, started)
    if own.state is MemberState.LEFT:
        return
    yield "leave", _publish_own(state, replace(own, state=MemberState.LEFT))
    accused = any(supersedes(record, own) for record in state.network)
    if accused and own.refutation < MAX_REFUTATION:
        refuted = replace(own, refutation=own.refutation + 1)
        yield "refute", _publish_own(state, refuted)


def _publish_own(state: State, own: Member) -> State:
    return state._replace(own=own, network=state.network | {own})


def make_protocol(wins: Wins = supersedes) -> Protocol:
    """Return the specification; `wins` is the merge rule of observers."""

    def transitions(raw: tuple[Any, ...]) -> list[tuple[str, State]]:
        state = State(*raw)
        steps = list(_own_steps(state))
        for index, view in enumerate(state.views):
            accused_state = ACCUSATIONS.get(view.state)
            if accused_state is not None:
                accused = replace(view, state=accused_state)
                steps.append((accused_state, _set_view(state, index, accused)))
            for record in sorted(state.network, key=precedence):
                after = _receive(state, index, record, wins)
                if after != state:
                    steps.append(("hear", after))
        return steps

    return Protocol(
        name="membership",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=transitions,
        invariants={
            "no_predecessor_returns": _no_predecessor_returns,
            "refuted_stays_refuted": _refuted_stays_refuted,
            "left_stays_left": _left_stays_left,
        },
    )


def _no_predecessor_returns(state: dict[str, Any]) -> bool:
    return all(
        view.incarnation >= newest_received[0]
        for view, newest_received in zip(
            state["views"], state["newest_received"], strict=True
        )
    )


def _refuted_stays_refuted(state: dict[str, Any]) -> bool:
    return all(
        view.state in (MemberState.ALIVE, MemberState.LEFT)
        or (view.incarnation, view.refutation) >= newest_received
        for view, newest_received in zip(
            state["views"], state["newest_received"], strict=True
        )
    )


def _left_stays_left(state: dict[str, Any]) -> bool:
    return all(
        view.state is MemberState.LEFT
        or view.incarnation not in left_incarnations
        for view, left_incarnations in zip(
            state["views"], state["received_left"], strict=True
        )
    )


def check(
    wins: Wins = supersedes, max_states: int = MAX_STATES
) -> dict[str, Any]:
    """Check the rule and return the result of each property."""
    protocol = make_protocol(wins)
    result: dict[str, Any] = check_safety(protocol, max_states=max_states)
    return result
