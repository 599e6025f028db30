"""Splitting of an event stream after its last complete event."""

import re
from typing import Final

from waxwingarch.adapters.sse import EVENT_END, MAX_EVENT_BYTES, BadEventError

EVENT_ID: Final = re.compile(rb"(?:^|\n)id: ?(\d+)(?=\n)")


class EventSplitter:
    """Buffers the bytes of an event until it is complete."""

    def __init__(self) -> None:
        self.incomplete = b""

    def feed(self, data: bytes) -> tuple[bytes, int | None]:
        """Return the bytes of events now complete, and the last event id.

        The id is None if none of these events has one. Raises
        `BadEventError` if an event exceeds `MAX_EVENT_BYTES`.
        """
        data = self.incomplete + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self.incomplete = data
            if len(data) > MAX_EVENT_BYTES:
                raise BadEventError("an event is too long; check the server")
            return b"", None
        end += len(EVENT_END)
        events, self.incomplete = data[:end], data[end:]
        ids = EVENT_ID.findall(events)
        return events, int(ids[-1]) if ids else None
