"""Model of a rollout's stop mark: two hosts, one row.

Each host runs the real rollout controller, may restart at any time, and
reports its phase to the other. Reads of the marks are answered late, and
writes of a mark fail.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from random import Random
from typing import Any, Final

from minicheck import Protocol as Spec

from waxwingarch.core.base import Action, HostId, ServiceId, VersionId
from waxwingarch.core.rollouts.exposure import ExposureBounds
from waxwingarch.core.rollouts.rollout_controller import RolloutController
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

ControllerFactory = Callable[[], RolloutController]
# Events of a host's controller: kind and value.
Trace = tuple[tuple[str, Any], ...]


def new_controller() -> RolloutController:
    """Return the controller of a host that has just started."""
    return RolloutController(HostId("h"), 1, ExposureBounds(), Random(1))


@dataclass(frozen=True, kw_only=True, slots=True)
class Host:
    """One process of a host.

    `read` is the result of a read of the marks in progress, None for none.
    `started_after_mark` is set if the mark existed when it started,
    `stopped` once it learnt of the stop.
    """

    trace: Trace = ()
    read: bool | None = None
    marking: bool = False
    started_after_mark: bool = False
    stopped: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class World:
    """The state of the model: the mark and both hosts.

    `restarts` is how many may still occur.
    """

    marked: bool = False
    restarts: int = 1
    hosts: tuple[Host, ...] = (Host(), Host())


Step = tuple[str, tuple[World]]


class StopMarkModel:
    """The steps of the model, for one controller."""

    def __init__(self, new: ControllerFactory) -> None:
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
            (host.started_after_mark or host.stopped)
            and self._phase(host) in SERVING
            for host in state["world"].hosts
        )

    def _steps(self, world: World) -> Iterator[Step]:
        for index in HOSTS:
            host = world.hosts[index]
            if world.restarts:
                restarted = Host(started_after_mark=world.marked)
                after = replace(world, restarts=world.restarts - 1)
                yield f"{index}:restart", (_set_host(after, index, restarted),)
            if len(host.trace) < MAX_EVENTS:
                yield from self._event_steps(world, index, host)
            yield from self._call_steps(world, index, host)

    def _event_steps(
        self, world: World, index: int, host: Host
    ) -> Iterator[Step]:
        if self._phase(host) in SERVING:
            stop = ("heard", RolloutPhase.STOPPED)
            yield f"{index}:verdict", (_add_event(world, index, stop),)
        other = self._phase(world.hosts[1 - index])
        yield f"{index}:hears", (_add_event(world, index, ("heard", other)),)
        if host.read is not None:
            after = _set_host(world, index, replace(host, read=None))
            yield (
                f"{index}:read",
                (_add_event(after, index, ("read", host.read)),),
            )

    def _call_steps(
        self, world: World, index: int, host: Host
    ) -> Iterator[Step]:
        _, actions = self._replay(host)
        for action in actions:
            if isinstance(action, ReadStops) and host.read is None:
                reading = replace(host, read=world.marked)
                yield f"{index}:asks", (_set_host(world, index, reading),)
            if isinstance(action, MarkStopped):
                after = replace(world, marked=True)
                yield f"{index}:marks", (after,)

    def _phase(self, host: Host) -> RolloutPhase:
        machine, _ = self._replay(host)
        [report] = machine.phase_reports()
        return report.phase

    def _replay(self, host: Host) -> tuple[RolloutController, list[Action]]:
        """Return the controller after a host's events and its next actions."""
        machine = self._new()
        machine.apply_orders(0.0, [ORDER])
        for kind, value in host.trace:
            if kind == "heard":
                report = RolloutPhaseReport(
                    rollout_id=ORDER.rollout_id, phase=value
                )
                machine.record_peer_report([report], [])
            else:
                marks = {ORDER.rollout_id} if value else set()
                machine.tick(0.5, holds_duties=False, busy=set())
                machine.handle_stops_read(StopsRead(stopped=frozenset(marks)))
        actions = machine.tick(1.0, holds_duties=False, busy=set())
        for action in actions:
            if isinstance(action, MarkStopped):
                machine.handle_stop_marked(
                    1.0,
                    StopMarked(rollout_id=action.rollout_id, written=False),
                )
        return machine, actions


def _add_event(world: World, index: int, event: tuple[str, Any]) -> World:
    host = world.hosts[index]
    stopped = host.stopped or event == ("heard", RolloutPhase.STOPPED)
    after_event = replace(host, trace=(*host.trace, event), stopped=stopped)
    return _set_host(world, index, after_event)


def _set_host(world: World, index: int, host: Host) -> World:
    hosts = list(world.hosts)
    hosts[index] = host
    return replace(world, hosts=tuple(hosts))


def stop_mark_spec(new: ControllerFactory = new_controller) -> Spec:
    """Return the specification for one controller."""
    return StopMarkModel(new).spec()
