"""Model of a version move's stop mark: two hosts, one row.

Each host runs the real machine, restarts at any moment, and tells the
other what it believes. Reads of the marks are answered late, writes of a
mark fail.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from random import Random
from typing import Any, Final

from minicheck import Protocol as Spec

from waxwingarch.core.base import Action, HostId, ServiceId, VersionId
from waxwingarch.core.rollouts.rollout_controller import (
    ExposureBounds,
    RolloutController,
)
from waxwingarch.core.rollouts.rollout_messages import (
    MarkStopped,
    ReadStops,
    RolloutOrder,
    RolloutPhase,
    RolloutPhaseReport,
    StopMarked,
    StopsRead,
)

ORDER: Final = RolloutOrder(
    service=ServiceId("pool"),
    target=VersionId("v2"),
    duration_s=10.0,
    number=1,
)
HOSTS: Final = (0, 1)
MAX_EVENTS: Final = 3
# Phases in which requests go to the new version.
SERVING: Final = (RolloutPhase.TRIAL, RolloutPhase.SHIFTED)

NewRollouts = Callable[[], RolloutController]
# What one host went through: a name and what came with it.
Trace = tuple[tuple[str, Any], ...]


def new_rollouts() -> RolloutController:
    """Return the machine of a host that has just started."""
    return RolloutController(HostId("h"), 1, ExposureBounds(), Random(1))


@dataclass(frozen=True, kw_only=True, slots=True)
class Host:
    """One host's life; `read` is what a read under way will answer.

    `began_marked` says that it started when the mark was there,
    `stopped` that it has known of the stop.
    """

    trace: Trace = ()
    read: bool | None = None
    marking: bool = False
    began_marked: bool = False
    stopped: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class World:
    """The mark and both hosts; `restarts` are still allowed."""

    marked: bool = False
    restarts: int = 1
    hosts: tuple[Host, ...] = (Host(), Host())


Step = tuple[str, tuple[World]]


class StopMarkModel:
    """Steps of the world around a machine."""

    def __init__(self, new: NewRollouts) -> None:
        self._new = new

    def spec(self) -> Spec:
        """Return the specification for the checker."""
        return Spec(
            name="stop mark",
            candidate=False,
            fields=("world",),
            initial=(World(),),
            transitions=lambda s: list(self._steps(s[0])),
            invariants={"none_forgets": self._none_forgets},
        )

    def _none_forgets(self, state: dict[str, Any]) -> bool:
        return not any(
            (host.began_marked or host.stopped)
            and self._phase(host) in SERVING
            for host in state["world"].hosts
        )

    def _steps(self, world: World) -> Iterator[Step]:
        for index in HOSTS:
            host = world.hosts[index]
            if world.restarts:
                anew = Host(began_marked=world.marked)
                after = replace(world, restarts=world.restarts - 1)
                yield f"{index}:restart", (_set(after, index, anew),)
            if len(host.trace) < MAX_EVENTS:
                yield from self._events(world, index, host)
            yield from self._calls(world, index, host)

    def _events(self, world: World, index: int, host: Host) -> Iterator[Step]:
        if self._phase(host) in SERVING:
            stop = ("heard", RolloutPhase.STOPPED)
            yield f"{index}:verdict", (_feed(world, index, stop),)
        other = self._phase(world.hosts[1 - index])
        yield f"{index}:hears", (_feed(world, index, ("heard", other)),)
        if host.read is not None:
            after = _set(world, index, replace(host, read=None))
            yield f"{index}:read", (_feed(after, index, ("read", host.read)),)

    def _calls(self, world: World, index: int, host: Host) -> Iterator[Step]:
        _, actions = self._replay(host)
        for action in actions:
            if isinstance(action, ReadStops) and host.read is None:
                asked = replace(host, read=world.marked)
                yield f"{index}:asks", (_set(world, index, asked),)
            if isinstance(action, MarkStopped):
                after = replace(world, marked=True)
                yield f"{index}:marks", (after,)

    def _phase(self, host: Host) -> RolloutPhase:
        machine, _ = self._replay(host)
        [word] = machine.phase_reports()
        return word.phase

    def _replay(self, host: Host) -> tuple[RolloutController, list[Action]]:
        """Return the machine after its life, and what it asks for now."""
        machine = self._new()
        machine.apply_orders(0.0, [ORDER])
        for what, value in host.trace:
            if what == "heard":
                word = RolloutPhaseReport(
                    rollout_id=ORDER.rollout_id, phase=value
                )
                machine.record_peer_report([word], [])
            else:
                marks = {ORDER.rollout_id} if value else set()
                machine.handle_stops_read(StopsRead(stopped=frozenset(marks)))
        actions = machine.tick(1.0, holds_duties=False, busy=set())
        for action in actions:
            if isinstance(action, MarkStopped):
                machine.handle_stop_marked(
                    1.0,
                    StopMarked(rollout_id=action.rollout_id, written=False),
                )
        return machine, actions


def _feed(world: World, index: int, event: tuple[str, Any]) -> World:
    host = world.hosts[index]
    stopped = host.stopped or event == ("heard", RolloutPhase.STOPPED)
    fed = replace(host, trace=(*host.trace, event), stopped=stopped)
    return _set(world, index, fed)


def _set(world: World, index: int, host: Host) -> World:
    hosts = list(world.hosts)
    hosts[index] = host
    return replace(world, hosts=tuple(hosts))


def stop_mark_spec(new: NewRollouts = new_rollouts) -> Spec:
    """Return the specification over a machine."""
    return StopMarkModel(new).spec()
