"""Reads server-sent events, for the callers in tests and the demo."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class SseEvent:
    """One event; `event_id` is empty where none was sent."""

    event_id: str
    data: str


class SseReader:
    """Cuts bytes into events."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[SseEvent]:
        """Return the events that are whole now."""
        *blocks, self._rest = (self._rest + data).split(b"\n\n")
        events = [_parsed(block.decode()) for block in blocks]
        return [e for e in events if e.data]


def _parsed(block: str) -> SseEvent:
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
