"""Runs a node: passes events to it and its actions to handlers."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Generic, Protocol, TypeAlias, TypeVar

from eliot import write_traceback

from waxwingarch.core.base import Action, Event
from waxwingarch.core.node import Node

if TYPE_CHECKING:
    from waxwingarch.core.contract_node import ContractNode
    from waxwingarch.core.front_node import FrontNode

NodeT = TypeVar("NodeT", bound=Node)


class Recorder(Protocol):
    """Records the events and actions of a node."""

    def record(self, now: float, event: Event, actions: list[Action]) -> None:
        """Record one step of the node."""


Observer = Callable[[float, Event, list[Action]], None]


class Runner(Generic[NodeT]):
    """Drives a node with the event loop's clock.

    Events are handled one at a time, in the order in which they are posted.
    """

    def __init__(self, node: NodeT, recorder: Recorder | None = None) -> None:
        self.node = node
        self._recorder = recorder
        self._observers: list[Observer] = []
        self._handlers: dict[type[Action], Callable[[Any], object]] = {}
        self._pending: deque[Event] = deque()
        self._is_stepping = False

    def connect(
        self, kind: type[Action], handler: Callable[[Any], object]
    ) -> None:
        """Register the handler of a kind of action, which must not block."""
        self._handlers[kind] = handler

    def observe(self, observer: Observer) -> None:
        """Call an observer after each step; it must not post events."""
        self._observers.append(observer)

    def post(self, event: Event) -> None:
        """Handle an event; one posted by a handler is queued behind it.

        An error costs neither the other actions nor the queued events. The
        first one is raised at the end, and the others are logged.
        """
        self._pending.append(event)
        if self._is_stepping:
            return
        self._is_stepping = True
        errors: list[Exception] = []
        try:
            while self._pending:
                try:
                    self._step(self._pending.popleft(), errors)
                except Exception as exc:
                    errors.append(exc)
        finally:
            self._is_stepping = False
        for error in errors[1:]:
            write_traceback(exc_info=(type(error), error, error.__traceback__))
        if errors:
            raise errors[0]

    def _step(self, event: Event, errors: list[Exception]) -> None:
        """Handle one event; add the errors in its actions to `errors`."""
        now = asyncio.get_running_loop().time()
        actions = self.node.handle(now, event)
        if self._recorder:
            self._recorder.record(now, event, actions)
        for observer in self._observers:
            try:
                observer(now, event, actions)
            except Exception as exc:
                # The actions of the step must be carried out all the same.
                write_traceback(exc_info=(type(exc), exc, exc.__traceback__))
        for action in actions:
            try:
                self._handlers[type(action)](action)
            except Exception as exc:
                # The other actions must be carried out all the same.
                errors.append(exc)


ContractRunner: TypeAlias = "Runner[ContractNode]"
FrontRunner: TypeAlias = "Runner[FrontNode]"
