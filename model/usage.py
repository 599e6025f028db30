"""Model of the report of one usage window: two holders, one row.

Each holder runs the real duty. The reply to its settling write or to its
report may be lost after either took effect, and it may lose the duty between
any two steps. The two holders have counted differently, so that a report of
each would differ.
"""

from collections.abc import Callable, Iterator
from copy import deepcopy
from dataclasses import dataclass, replace
from typing import Any, Final

from minicheck import Protocol as Spec

from waxwingarch.core.base import AccountId
from waxwingarch.core.duties.usage import (
    SendUsage,
    SettleUsage,
    UsageCounter,
    UsageReporter,
    UsageSent,
    UsageSettled,
)

WINDOW_NUMBER: Final = 10
WINDOW_S: Final = 5.0
# The window has ended at this Unix time and may be settled.
TICK_UNIX: Final = 56.5
ACCOUNT: Final = AccountId("a")
HOSTS: Final = (0, 1)
MAX_CALLS: Final = 3

# Creates a holder's duty from its counter.
DutyFactory = Callable[[UsageCounter], UsageReporter]


@dataclass(frozen=True, kw_only=True, slots=True)
class Holder:
    """One host: the events of its duty and the call in progress.

    `settling` and `sending` are the count of a call without a reply yet.
    """

    trace: tuple[tuple[str, int | None], ...] = ()
    settling: int | None = None
    sending: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class World:
    """The state of the model.

    `row` is the settled count, `accepted` holds the counts that the platform
    accepted, `holder` is the host that holds the duty.
    """

    row: int | None = None
    accepted: frozenset[int] = frozenset()
    holder: int = 0
    hosts: tuple[Holder, ...] = (Holder(), Holder())


Step = tuple[str, tuple[World]]


class UsageModel:
    """The steps of the model, for one duty class."""

    def __init__(self, new_duty: DutyFactory) -> None:
        self._new_duty = new_duty

    def spec(self) -> Spec:
        """Return the specification for the checker."""
        return Spec(
            name="usage",
            candidate=False,
            fields=("world",),
            initial=(World(),),
            transitions=lambda s: list(self._steps(s[0])),
            invariants={
                "one_report": lambda d: len(d["world"].accepted) <= 1,
            },
        )

    def _steps(self, world: World) -> Iterator[Step]:
        yield "duty moves", (replace(world, holder=1 - world.holder),)
        for index in HOSTS:
            yield from self._reply_steps(world, index)
        index = world.holder
        host = world.hosts[index]
        if host.settling is None and host.sending is None:
            yield from self._tick_steps(world, index)

    def _tick_steps(self, world: World, index: int) -> Iterator[Step]:
        host = world.hosts[index]
        if len(host.trace) >= 2 * MAX_CALLS:
            return
        trace = (*host.trace, ("tick", None))
        for action in self._replay(index, trace):
            if (
                isinstance(action, SettleUsage)
                and action.window == WINDOW_NUMBER
            ):
                count = action.counts[ACCOUNT]
                after = replace(host, trace=trace, settling=count)
                yield f"{index}:settle", (_set_host(world, index, after),)
            if (
                isinstance(action, SendUsage)
                and action.window == WINDOW_NUMBER
            ):
                count = action.counts[ACCOUNT]
                after = replace(host, trace=trace, sending=count)
                yield f"{index}:send", (_set_host(world, index, after),)

    def _reply_steps(self, world: World, index: int) -> Iterator[Step]:
        host = world.hosts[index]
        if host.settling is not None:
            row = host.settling if world.row is None else world.row
            applied = replace(world, row=row)
            yield (
                f"{index}:settled",
                (_receive_reply(applied, index, ("settled", row)),),
            )
            lost = ("settled", None)
            yield (
                f"{index}:settle lost",
                (_receive_reply(applied, index, lost),),
            )
            yield (
                f"{index}:settle failed",
                (_receive_reply(world, index, lost),),
            )
        if host.sending is not None:
            accepted = world.accepted | {host.sending}
            delivered = replace(world, accepted=accepted)
            yield (
                f"{index}:sent",
                (_receive_reply(delivered, index, ("sent", 1)),),
            )
            yield (
                f"{index}:reply lost",
                (_receive_reply(delivered, index, ("sent", 0)),),
            )

    def _replay(
        self, index: int, trace: tuple[tuple[str, int | None], ...]
    ) -> list[Any]:
        """Return the last actions of a duty after the events of a trace."""
        counter = UsageCounter(WINDOW_S)
        for _ in range(index + 1):
            counter.record_start(WINDOW_NUMBER * WINDOW_S + 1, ACCOUNT)
        duty = self._new_duty(counter)
        actions: list[Any] = []
        now = 0.0
        for kind, value in trace:
            now += 10.0
            if kind == "tick":
                actions = list(duty.tick(now, TICK_UNIX, 1, ()))
                other_windows = [
                    a
                    for a in actions
                    if isinstance(a, SettleUsage) and a.window != WINDOW_NUMBER
                ]
                for other in other_windows:
                    duty.handle_settled(
                        now, UsageSettled(window=other.window, counts={})
                    )
            elif kind == "settled":
                counts = None if value is None else {ACCOUNT: value}
                duty.handle_settled(
                    now, UsageSettled(window=WINDOW_NUMBER, counts=counts)
                )
            else:
                accepted = bool(value)
                duty.handle_sent(
                    now, UsageSent(window=WINDOW_NUMBER, accepted=accepted)
                )
        return deepcopy(actions)


def _set_host(world: World, index: int, host: Holder) -> World:
    hosts = list(world.hosts)
    hosts[index] = host
    return replace(world, hosts=tuple(hosts))


def _receive_reply(
    world: World, index: int, event: tuple[str, int | None]
) -> World:
    host = world.hosts[index]
    if len(host.trace) >= 2 * MAX_CALLS:
        return _set_host(world, index, Holder(trace=host.trace))
    return _set_host(world, index, Holder(trace=(*host.trace, event)))


def usage_spec(new_duty: DutyFactory = UsageReporter) -> Spec:
    """Return the specification over a duty class."""
    return UsageModel(new_duty).spec()
