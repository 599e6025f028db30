"""Specification of leaving servers: a lagging list, and two hosts."""

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from minicheck import Protocol, check_safety

from waxwingarch.core.base import ServerId
from waxwingarch.core.cluster.items import Item, LeavingServer
from waxwingarch.core.cluster.merge import item_key, merge

Marks = tuple[Item, ...]
# What a host keeps of its marks when it reads the list of live servers.
OnList = Callable[[Marks, int], Marks]

SERVER = ServerId("s")
LAST_INCARNATION = 2
DEADLINES = (1.0, 2.0)


class Host(NamedTuple):
    """A host: the incarnation listed as live, and the marks it knows."""

    listed: int = 1
    marks: Marks = ()
    ever_marked: frozenset[int] = frozenset()


class State(NamedTuple):
    """The server's incarnation, the notices sent, and the hosts."""

    incarnation: int
    network: frozenset[LeavingServer]
    hosts: tuple[Host, Host]


INITIAL = State(incarnation=1, network=frozenset(), hosts=(Host(), Host()))


def keep_marks(marks: Marks, listed: int) -> Marks:
    """Keep all marks whatever the list says."""
    return marks


def add_mark(marks: Marks, mark: LeavingServer) -> Marks:
    """Merge a mark as the store does."""
    found = {item_key(item): item for item in marks}
    key = item_key(mark)
    found[key] = merge(found[key], mark) if key in found else mark
    return tuple(found[key] for key in sorted(found))


def routable(host: Host) -> bool:
    """Tell whether the host sends new requests to the server."""
    key = item_key(_notice(host.listed, DEADLINES[0]))
    return key not in {item_key(item) for item in host.marks}


def _notice(incarnation: int, deadline: float) -> LeavingServer:
    return LeavingServer(
        server_id=SERVER, incarnation=incarnation, deadline_unix=deadline
    )


def make_protocol(on_list: OnList = keep_marks) -> Protocol:
    """Return the protocol; `on_list` is what a list does to marks."""

    def host_steps(state: State, host: Host) -> Iterator[Host]:
        for listed in range(1, state.incarnation + 1):
            marks = on_list(host.marks, listed)
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
        one, two = state.hosts
        steps.extend(
            ("host 0", state._replace(hosts=(host, two)))
            for host in host_steps(state, one)
        )
        steps.extend(
            ("host 1", state._replace(hosts=(one, host)))
            for host in host_steps(state, two)
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
        not (host.listed in host.ever_marked and routable(host))
        for host in state["hosts"]
    )


def check(on_list: OnList = keep_marks) -> dict[str, Any]:
    """Check the rule; return the verdict of each property."""
    result: dict[str, Any] = check_safety(make_protocol(on_list))
    return result
