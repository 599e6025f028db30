"""Server-sent events: an incremental parser and an encoder."""

from typing import Final

from waxwingarch.exceptions import LinkError

EVENT_END: Final = b"\n\n"
MAX_EVENT_BYTES: Final = 1024 * 1024


class BadEventError(LinkError):
    """A server sent data that is not a valid event stream."""


class SseReader:
    """Parses a byte stream into the data of its events."""

    def __init__(self) -> None:
        self._incomplete = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes; return the data of events now complete.

        Events without data are skipped. Raises `BadEventError` if an
        event exceeds `MAX_EVENT_BYTES`.
        """
        *events, self._incomplete = (self._incomplete + data).split(EVENT_END)
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise BadEventError("an event is too long; check the server")
        payloads = [_event_data(event) for event in events]
        return [data for data in payloads if data]


def _event_data(event: bytes) -> bytes:
    """Return the joined `data:` lines of one event."""
    lines = [
        line[5:].strip()
        for line in event.split(b"\n")
        if line.startswith(b"data:")
    ]
    return b"\n".join(lines)


def sse_event(data: bytes, event_id: str = "", kind: str = "") -> bytes:
    """Encode one event; `data` must not contain line breaks."""
    head = f"id: {event_id}\n" if event_id else ""
    if kind:
        head += f"event: {kind}\n"
    return head.encode() + b"data: " + data + EVENT_END
