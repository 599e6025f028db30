"""Splitting of an event stream after its last complete event."""

import re
from dataclasses import dataclass
from typing import Final

from waxwingarch.adapters.sse import EVENT_END, MAX_EVENT_BYTES, BadEventError

EVENT_ID: Final = re.compile(rb"(?:^|\n)id: ?(\d{1,18})(?=\n)")
EVENT_DATA: Final = re.compile(rb"(?:^|\n)data:")


@dataclass(frozen=True, kw_only=True, slots=True)
class EventBatch:
    """Complete events, as the bytes that the server sent.

    `ids` are those of the events with data, in order, None for one without
    an id. Events without data, such as comments, are left out.
    """

    data: bytes
    ids: tuple[int | None, ...] = ()

    def continues(self, last_id: int) -> bool:
        """Return whether all events come after the one with this id."""
        for event_id in self.ids:
            if event_id is None or event_id <= last_id:
                return False
            last_id = event_id
        return True


class EventSplitter:
    """Buffers the bytes of an event until it is complete."""

    def __init__(self) -> None:
        self.incomplete = b""

    def feed(self, data: bytes) -> EventBatch:
        """Return the events that are now complete.

        Raises `BadEventError` if an event exceeds `MAX_EVENT_BYTES`.
        """
        data = self.incomplete + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self.incomplete = data
            if len(data) > MAX_EVENT_BYTES:
                raise BadEventError("an event is too long; check the server")
            return EventBatch(data=b"")
        end += len(EVENT_END)
        events, self.incomplete = data[:end], data[end:]
        return EventBatch(
            data=events,
            ids=tuple(
                _event_id(event)
                for event in events.split(EVENT_END)
                if EVENT_DATA.search(event)
            ),
        )


def _event_id(event: bytes) -> int | None:
    found = EVENT_ID.search(event + b"\n")
    return int(found[1]) if found else None
