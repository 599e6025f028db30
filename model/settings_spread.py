"""Specification of the spread of settings to two hosts.

The table may be unreachable, and its reads may be stale.
"""

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
    """One process of a host.

    `wanted` is the highest revision that it learnt of, `highest_of_peers`
    the highest that a peer reported, `highest_applied` the highest that it
    ever applied.
    """

    applied: int = 0
    wanted: int = 0
    highest_of_peers: int = 0
    basis: Basis = Basis.NONE
    serving: bool = False
    highest_applied: int = 0
    # The revision that it must apply before it serves.
    required_revision: int = 0
    restarts: int = 0


class State(NamedTuple):
    """The table, with its revision, and both hosts."""

    table: int
    table_is_up: bool
    hosts: tuple[Host, Host]


INITIAL = State(table=FIRST_REVISION, table_is_up=True, hosts=(Host(), Host()))


def make_protocol(
    newer: IsNewer = is_newer, serves: MayServe = may_serve
) -> Protocol:
    """Return the specification for the given rules of the hosts."""

    def apply(host: Host, revision: int) -> Host:
        if not newer(revision, host.applied):
            return host
        return host._replace(
            applied=revision,
            wanted=max(host.wanted, revision),
            highest_applied=max(host.highest_applied, revision),
        )

    def host_steps(
        state: State, host: Host, other: Host
    ) -> Iterator[tuple[str, Host]]:
        if state.table_is_up:
            # A read may be stale.
            for read_revision in range(FIRST_REVISION, state.table + 1):
                yield "poll", _receive_poll(host, read_revision)
                yield "read", apply(host, read_revision)
        if other.applied:
            yield "pull", apply(host, other.applied)
            yield (
                "hear",
                _receive_peer_report(host, other.applied, state.table_is_up),
            )
        if not host.serving and serves(
            host.basis, host.applied, host.wanted, host.highest_of_peers
        ):
            yield "serve", host._replace(serving=True)
        if host.restarts < MAX_RESTARTS:
            yield "restart", Host(restarts=host.restarts + 1)

    def transitions(raw: tuple[Any, ...]) -> list[tuple[str, State]]:
        state = State(*raw)
        steps = [("table", state._replace(table_is_up=not state.table_is_up))]
        if state.table_is_up and state.table < LAST_REVISION:
            steps.append(("edit", state._replace(table=state.table + 1)))
        first, second = state.hosts
        for label, host in host_steps(state, first, second):
            steps.append((f"{label} 0", state._replace(hosts=(host, second))))
        for label, host in host_steps(state, second, first):
            steps.append((f"{label} 1", state._replace(hosts=(first, host))))
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


def _receive_poll(host: Host, read_revision: int) -> Host:
    if host.serving:
        return host._replace(wanted=max(host.wanted, read_revision))
    return host._replace(
        wanted=max(host.wanted, read_revision),
        basis=Basis.TABLE,
        required_revision=max(host.required_revision, read_revision),
    )


def _receive_peer_report(host: Host, applied: int, is_table_up: bool) -> Host:
    host = host._replace(
        wanted=max(host.wanted, applied),
        highest_of_peers=max(host.highest_of_peers, applied),
    )
    if host.serving or is_table_up or host.basis is not Basis.NONE:
        return host
    return host._replace(
        basis=Basis.PEERS,
        required_revision=max(host.required_revision, applied),
    )


def _never_reverts(state: dict[str, Any]) -> bool:
    return all(host.applied == host.highest_applied for host in state["hosts"])


def _serves_what_it_should_know(state: dict[str, Any]) -> bool:
    return all(
        not host.serving
        or (
            host.applied >= host.required_revision
            and host.applied >= FIRST_REVISION
        )
        for host in state["hosts"]
    )


def check(
    newer: IsNewer = is_newer, serves: MayServe = may_serve
) -> dict[str, Any]:
    """Check the rules and return the result of each property."""
    protocol = make_protocol(newer, serves)
    result: dict[str, Any] = check_safety(protocol)
    return result
