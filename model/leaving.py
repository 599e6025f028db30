"""Specification of leaving servers: two hosts and a stale server list."""

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from minicheck import Protocol, check_safety

from waxwingarch.core.base import ServerId
from waxwingarch.core.cluster.items import Item, LeavingServer
from waxwingarch.core.cluster.merge import item_key, merge

Marks = tuple[Item, ...]
# Returns the marks that a host keeps when it reads the list of live servers.
MarkRetention = Callable[[Marks, int], Marks]

SERVER = ServerId("s")
LAST_INCARNATION = 2
DEADLINES = (1.0, 2.0)


class Host(NamedTuple):
    """A host: the incarnation it sees listed as live, and its marks."""

    listed: int = 1
    marks: Marks = ()
    ever_marked: frozenset[int] = frozenset()


class State(NamedTuple):
    """The server's incarnation, the notices sent, and both hosts."""

    incarnation: int
    network: frozenset[LeavingServer]
    hosts: tuple[Host, Host]


INITIAL = State(incarnation=1, network=frozenset(), hosts=(Host(), Host()))


def keep_marks(marks: Marks, listed: int) -> Marks:
    """Keep all marks, whatever the list holds."""
    return marks


def add_mark(marks: Marks, mark: LeavingServer) -> Marks:
    """Merge a mark by the rules of the item store."""
    by_key = {item_key(item): item for item in marks}
    key = item_key(mark)
    by_key[key] = merge(by_key[key], mark) if key in by_key else mark
    return tuple(by_key[key] for key in sorted(by_key))


def is_routable(host: Host) -> bool:
    """Return whether the host sends new requests to the server."""
    key = item_key(_notice(host.listed, DEADLINES[0]))
    return key not in {item_key(item) for item in host.marks}


def _notice(incarnation: int, deadline: float) -> LeavingServer:
    return LeavingServer(
        server_id=SERVER, incarnation=incarnation, deadline_unix=deadline
    )


def make_protocol(retain_marks: MarkRetention = keep_marks) -> Protocol:
    """Return the specification for one rule of which marks are kept."""

    def host_steps(state: State, host: Host) -> Iterator[Host]:
        for listed in range(1, state.incarnation + 1):
            marks = retain_marks(host.marks, listed)
            yield host._replace(listed=listed, marks=marks)
        for notice in sorted(state.network, key=repr):
            yield host._replace(
                marks=add_mark(host.marks, notice),
                ever_marked=host.ever_marked | {notice.incarnation},
            )

    def transitions(raw: tuple[Any, ...]) -> list[tuple[str, State]]:
        state = State(*raw)
        steps = []
        if state.incarnation < LAST_INCARNATION:
            started = state._replace(incarnation=state.incarnation + 1)
            steps.append(("start", started))
        for deadline in DEADLINES:
            notice = _notice(state.incarnation, deadline)
            sent = state._replace(network=state.network | {notice})
            steps.append(("notice", sent))
        first, second = state.hosts
        steps.extend(
            ("host 0", state._replace(hosts=(host, second)))
            for host in host_steps(state, first)
        )
        steps.extend(
            ("host 1", state._replace(hosts=(first, host)))
            for host in host_steps(state, second)
        )
        return steps

    return Protocol(
        name="leaving",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=transitions,
        invariants={"leaving_never_returns": _leaving_never_returns},
    )


def _leaving_never_returns(state: dict[str, Any]) -> bool:
    return all(
        not (host.listed in host.ever_marked and is_routable(host))
        for host in state["hosts"]
    )


def check(retain_marks: MarkRetention = keep_marks) -> dict[str, Any]:
    """Check the rule and return the result of each property."""
    result: dict[str, Any] = check_safety(make_protocol(retain_marks))
    return result
