"""Runs a node: passes events in and hands actions to their sinks."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Generic, Protocol, TypeAlias, TypeVar

from waxwingarch.core.base import Action, Event
from waxwingarch.core.node import Node

if TYPE_CHECKING:
    from waxwingarch.core.contract_node import ContractNode
    from waxwingarch.core.front_node import FrontNode

NodeT = TypeVar("NodeT", bound=Node)


class Recorder(Protocol):
    """Keeps a record of what a node saw and did."""

    def record(self, now: float, event: Event, actions: list[Action]) -> None:
        """Take one step of the node."""


Observer = Callable[[float, Event, list[Action]], None]


class Runner(Generic[NodeT]):
    """The one place where a node's decisions meet the real clock."""

    def __init__(self, node: NodeT, recorder: Recorder | None = None) -> None:
        self.node = node
        self._recorder = recorder
        self._observers: list[Observer] = []
        self._sinks: dict[type[Action], Callable[[Any], object]] = {}
        self._pending: deque[Event] = deque()
        self._busy = False

    def connect(
        self, kind: type[Action], sink: Callable[[Any], object]
    ) -> None:
        """Hand all actions of a kind to a sink, which must not block."""
        self._sinks[kind] = sink

    def observe(self, observer: Observer) -> None:
        """Show each step to an observer, which must not post events."""
        self._observers.append(observer)

    def post(self, event: Event) -> None:
        """Take an event; events posted by sinks wait their turn."""
        self._pending.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._pending:
                self._step(self._pending.popleft())
        finally:
            self._busy = False

    def _step(self, event: Event) -> None:
        now = asyncio.get_running_loop().time()
        actions = self.node.handle(now, event)
        if self._recorder:
            self._recorder.record(now, event, actions)
        for observer in self._observers:
            observer(now, event, actions)
        for action in actions:
            self._sinks[type(action)](action)


ContractRunner: TypeAlias = "Runner[ContractNode]"
FrontRunner: TypeAlias = "Runner[FrontNode]"
