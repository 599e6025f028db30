"""Server-sent events: an incremental reader and a writer."""

from typing import Final

from waxwingarch.exceptions import LinkError

EVENT_END: Final = b"\n\n"
MAX_EVENT_BYTES: Final = 1024 * 1024


class BadEventError(LinkError):
    """A server sent something that is not an event stream."""


class SseReader:
    """Splits bytes into the data of whole events."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Take bytes; return the data of the events now whole."""
        *events, self._rest = (self._rest + data).split(EVENT_END)
        if len(self._rest) > MAX_EVENT_BYTES:
            raise BadEventError("an event is too long; check the server")
        found = [_data_of(event) for event in events]
        return [data for data in found if data]


def _data_of(event: bytes) -> bytes:
    lines = [
        line[5:].strip()
        for line in event.split(b"\n")
        if line.startswith(b"data:")
    ]
    return b"\n".join(lines)


def sse_event(data: bytes, event_id: str = "", kind: str = "") -> bytes:
    """Return one event as bytes; `data` holds no line breaks."""
    head = f"id: {event_id}\n" if event_id else ""
    if kind:
        head += f"event: {kind}\n"
    return head.encode() + b"data: " + data + EVENT_END
