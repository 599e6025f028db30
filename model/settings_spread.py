"""Specification of settings in force: two hosts, a table, stale reads."""

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from minicheck import Protocol, check_safety

from waxwingarch.core.cluster.configsync import Basis, is_newer, may_serve

IsNewer = Callable[[int, int], bool]
MayServe = Callable[[Basis, int, int, int], bool]

FIRST_REVISION = 1
LAST_REVISION = 2
MAX_RESTARTS = 1


class Host(NamedTuple):
    """One process; `highest` is the highest revision it had in force."""

    applied: int = 0
    wanted: int = 0
    peers: int = 0
    basis: Basis = Basis.NONE
    serving: bool = False
    highest: int = 0
    # What had to be in force before it served.
    floor: int = 0
    restarts: int = 0


class State(NamedTuple):
    """The table's revision and both hosts."""

    table: int
    up: bool
    hosts: tuple[Host, Host]


INITIAL = State(table=FIRST_REVISION, up=True, hosts=(Host(), Host()))


def make_protocol(
    newer: IsNewer = is_newer, serves: MayServe = may_serve
) -> Protocol:
    """Return the protocol with the rules that hosts go by."""

    def apply(host: Host, revision: int) -> Host:
        if not newer(revision, host.applied):
            return host
        return host._replace(
            applied=revision,
            wanted=max(host.wanted, revision),
            highest=max(host.highest, revision),
        )

    def host_steps(
        state: State, host: Host, other: Host
    ) -> Iterator[tuple[str, Host]]:
        if state.up:
            # A read may be answered from the past.
            for read in range(FIRST_REVISION, state.table + 1):
                yield "poll", _polled(host, read)
                yield "read", apply(host, read)
        if other.applied:
            yield "pull", apply(host, other.applied)
            yield "hear", _heard(host, other.applied, state.up)
        if not host.serving and serves(
            host.basis, host.applied, host.wanted, host.peers
        ):
            yield "serve", host._replace(serving=True)
        if host.restarts < MAX_RESTARTS:
            yield "restart", Host(restarts=host.restarts + 1)

    def transitions(raw: tuple[Any, ...]) -> list[tuple[str, State]]:
        state = State(*raw)
        steps = [("table", state._replace(up=not state.up))]
        if state.up and state.table < LAST_REVISION:
            steps.append(("edit", state._replace(table=state.table + 1)))
        one, two = state.hosts
        for label, host in host_steps(state, one, two):
            steps.append((f"{label} 0", state._replace(hosts=(host, two))))
        for label, host in host_steps(state, two, one):
            steps.append((f"{label} 1", state._replace(hosts=(one, host))))
        return steps

    return Protocol(
        name="settings_spread",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=transitions,
        invariants={
            "never_reverts": _never_reverts,
            "serves_what_it_should_know": _serves_what_it_should_know,
        },
    )


def _polled(host: Host, read: int) -> Host:
    if host.serving:
        return host._replace(wanted=max(host.wanted, read))
    return host._replace(
        wanted=max(host.wanted, read),
        basis=Basis.TABLE,
        floor=max(host.floor, read),
    )


def _heard(host: Host, applied: int, table_up: bool) -> Host:
    host = host._replace(
        wanted=max(host.wanted, applied), peers=max(host.peers, applied)
    )
    if host.serving or table_up or host.basis is not Basis.NONE:
        return host
    return host._replace(basis=Basis.PEERS, floor=max(host.floor, applied))


def _never_reverts(state: dict[str, Any]) -> bool:
    return all(host.applied == host.highest for host in state["hosts"])


def _serves_what_it_should_know(state: dict[str, Any]) -> bool:
    return all(
        not host.serving
        or (host.applied >= host.floor and host.applied >= FIRST_REVISION)
        for host in state["hosts"]
    )


def check(
    newer: IsNewer = is_newer, serves: MayServe = may_serve
) -> dict[str, Any]:
    """Check the rules; return the verdict of each property."""
    protocol = make_protocol(newer, serves)
    result: dict[str, Any] = check_safety(protocol)
    return result
