"""Reads server-sent events, for the callers in tests and the demo."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class SseEvent:
    """One event; `event_id` is empty if none was sent."""

    event_id: str
    data: str


class SseReader:
    """Parses a byte stream into events."""

    def __init__(self) -> None:
        self._incomplete = b""

    def feed(self, data: bytes) -> list[SseEvent]:
        """Return the events that the data completes; skip empty ones."""
        *blocks, self._incomplete = (self._incomplete + data).split(b"\n\n")
        events = [_parse_event(block.decode()) for block in blocks]
        return [e for e in events if e.data]


def _parse_event(block: str) -> SseEvent:
    event_id = ""
    data: list[str] = []
    for line in block.splitlines():
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id":
            event_id = value
        elif name == "data":
            data.append(value)
    return SseEvent(event_id=event_id, data="\n".join(data))
