"""The facade of all decisions of one host: typed events in, actions out.

Everything a host decides goes through `Node.handle`. The same sequence
of `(now, event)` gives the same actions, so that a recorded trace can be
replayed and any bench can drive many nodes in one process.
"""

from collections.abc import Callable, Mapping
from typing import Any

from waxwingarch.core.base import Action, Event

Handler = Callable[[float, Any], list[Action]]


class Node:
    """Passes each event to the part that decides about it."""

    def __init__(self, handlers: Mapping[type[Event], Handler]) -> None:
        self._handlers = dict(handlers)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event and return what is to be done about it.

        `now` is the monotonic clock in seconds and never goes back.
        """
        return self._handlers[type(event)](now, event)
