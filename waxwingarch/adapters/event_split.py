"""Splits the bytes of an event stream after its last whole event."""

import re
from typing import Final

from waxwingarch.adapters.sse import EVENT_END, MAX_EVENT_BYTES, BadEventError

EVENT_ID: Final = re.compile(rb"(?:^|\n)id: ?(\d+)(?=\n)")


class EventSplitter:
    """Holds back the bytes of an event that has not come whole."""

    def __init__(self) -> None:
        self.incomplete = b""

    def feed(self, data: bytes) -> tuple[bytes, int | None]:
        """Return the whole events so far, and the id of the last one.

        The id is None if the events have none; raises `BadEventError`.
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
