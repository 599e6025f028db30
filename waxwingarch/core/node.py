"""Facade of all decisions of one host: typed events in, actions out.

Every decision of a host goes through `Node.handle`. The same sequence of
`(now, event)` yields the same actions, so that a recorded trace can be
replayed, and tests and simulations can drive many nodes in one process.
"""

from collections.abc import Callable, Mapping
from typing import Any

from waxwingarch.core.base import Action, Event

Handler = Callable[[float, Any], list[Action]]


class Node:
    """Dispatches each event to the handler of its type."""

    def __init__(self, handlers: Mapping[type[Event], Handler]) -> None:
        self._handlers = dict(handlers)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event and return the actions to carry out.

        `now` is the monotonic clock in seconds and never decreases.
        """
        return self._handlers[type(event)](now, event)
