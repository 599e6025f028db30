"""Model of the report of one usage window: two holders, one row.

Each holder runs the real duty. Its settling write may be applied and not
answered, its report accepted and not answered, and it may lose the duty
between any two steps. Both counted differently.
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

WINDOW: Final = 10
WINDOW_S: Final = 5.0
SETTLED_AT: Final = 56.5
ACCOUNT: Final = AccountId("a")
HOSTS: Final = (0, 1)
MAX_CALLS: Final = 3

# Makes the duty of a holder from its counter.
NewDuty = Callable[[UsageCounter], UsageReporter]


@dataclass(frozen=True, kw_only=True, slots=True)
class Holder:
    """One host's duty and the call it waits for; `trace` replays it."""

    trace: tuple[tuple[str, int | None], ...] = ()
    settling: int | None = None
    sending: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class World:
    """The row's count, what the platform accepted, and who holds."""

    row: int | None = None
    accepted: frozenset[int] = frozenset()
    holder: int = 0
    hosts: tuple[Holder, ...] = (Holder(), Holder())


Step = tuple[str, tuple[World]]


class UsageModel:
    """Steps of the world around a duty class."""

    def __init__(self, new_duty: NewDuty) -> None:
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
            yield from self._replies(world, index)
        index = world.holder
        host = world.hosts[index]
        if host.settling is None and host.sending is None:
            yield from self._tick(world, index)

    def _tick(self, world: World, index: int) -> Iterator[Step]:
        host = world.hosts[index]
        if len(host.trace) >= 2 * MAX_CALLS:
            return
        trace = (*host.trace, ("tick", None))
        for action in self._replay(index, trace):
            if isinstance(action, SettleUsage) and action.window == WINDOW:
                count = action.counts[ACCOUNT]
                after = replace(host, trace=trace, settling=count)
                yield f"{index}:settle", (_set(world, index, after),)
            if isinstance(action, SendUsage) and action.window == WINDOW:
                count = action.counts[ACCOUNT]
                after = replace(host, trace=trace, sending=count)
                yield f"{index}:send", (_set(world, index, after),)

    def _replies(self, world: World, index: int) -> Iterator[Step]:
        host = world.hosts[index]
        if host.settling is not None:
            row = host.settling if world.row is None else world.row
            applied = replace(world, row=row)
            yield (
                f"{index}:settled",
                (_heard(applied, index, ("settled", row)),),
            )
            lost = ("settled", None)
            yield f"{index}:settle lost", (_heard(applied, index, lost),)
            yield f"{index}:settle failed", (_heard(world, index, lost),)
        if host.sending is not None:
            accepted = world.accepted | {host.sending}
            taken = replace(world, accepted=accepted)
            yield f"{index}:sent", (_heard(taken, index, ("sent", 1)),)
            yield f"{index}:reply lost", (_heard(taken, index, ("sent", 0)),)

    def _replay(
        self, index: int, trace: tuple[tuple[str, int | None], ...]
    ) -> list[Any]:
        """Return the last actions of a duty that went through a trace."""
        counter = UsageCounter(WINDOW_S)
        for _ in range(index + 1):
            counter.record_start(WINDOW * WINDOW_S + 1, ACCOUNT)
        duty = self._new_duty(counter)
        actions: list[Any] = []
        now = 0.0
        for what, value in trace:
            now += 10.0
            if what == "tick":
                actions = list(duty.tick(now, SETTLED_AT, 1, ()))
                others = [
                    a
                    for a in actions
                    if isinstance(a, SettleUsage) and a.window != WINDOW
                ]
                for other in others:
                    duty.handle_settled(
                        now, UsageSettled(window=other.window, counts={})
                    )
            elif what == "settled":
                counts = None if value is None else {ACCOUNT: value}
                duty.handle_settled(
                    now, UsageSettled(window=WINDOW, counts=counts)
                )
            else:
                accepted = bool(value)
                duty.handle_sent(
                    now, UsageSent(window=WINDOW, accepted=accepted)
                )
        return deepcopy(actions)


def _set(world: World, index: int, host: Holder) -> World:
    hosts = list(world.hosts)
    hosts[index] = host
    return replace(world, hosts=tuple(hosts))


def _heard(world: World, index: int, event: tuple[str, int | None]) -> World:
    host = world.hosts[index]
    if len(host.trace) >= 2 * MAX_CALLS:
        return _set(world, index, Holder(trace=host.trace))
    return _set(world, index, Holder(trace=(*host.trace, event)))


def usage_spec(new_duty: NewDuty = UsageReporter) -> Spec:
    """Return the specification over a duty class."""
    return UsageModel(new_duty).spec()
