"""When this host reads and writes the quarantine's row in the store."""

from typing import Final

from waxwingarch.core.base import Action
from waxwingarch.core.quarantine.quarantine import Quarantine
from waxwingarch.core.quarantine.quarantine_messages import (
    InputState,
    QuarantineEntry,
    QuarantineRead,
    QuarantineWritten,
    ReadQuarantine,
    WriteQuarantine,
)

WRITE_RETRY_S: Final = 0.5
# That requests with a part still come is written at most this often.
SEEN_WRITE_STEP_S: Final = 120.0


class QuarantineRows:
    """Keeps the entries in the store.

    Each host reads them when it starts; the holder of the duties writes
    them. Nothing waits for the store.
    """

    def __init__(self, quarantine: Quarantine) -> None:
        self._quarantine = quarantine
        self._is_read = False
        self._is_reading = False
        self._is_writing = False
        self._next_write_at = float("-inf")
        self._stored: dict[str, QuarantineEntry] = {}
        self._being_written: tuple[QuarantineEntry, ...] = ()

    def handle_read(self, event: QuarantineRead) -> None:
        """Adopt what was read; a failed read is repeated."""
        self._is_reading = False
        if event.entries is None:
            return
        self._is_read = True
        self._stored = {entry.key: entry for entry in event.entries}
        self._quarantine.merge(event.entries)

    def handle_written(self, now: float, event: QuarantineWritten) -> None:
        """Note what is in the store, or repeat the write."""
        self._is_writing = False
        if event.written:
            self._stored = {e.key: e for e in self._being_written}
        else:
            self._next_write_at = now + WRITE_RETRY_S

    def handle_store_returned(self) -> None:
        """Read again: the store may have lost the last write."""
        self._is_read = False

    def tick(self, now: float, *, holds_duties: bool) -> list[Action]:
        """Return the calls to the store that are due."""
        if not self._is_read:
            if self._is_reading:
                return []
            self._is_reading = True
            return [ReadQuarantine()]
        if (
            not holds_duties
            or self._is_writing
            or now < self._next_write_at
            or not self._has_changed()
        ):
            return []
        self._is_writing = True
        self._being_written = self._quarantine.entries
        return [WriteQuarantine(entries=self._being_written)]

    def _has_changed(self) -> bool:
        entries = self._quarantine.entries
        return any(self._differs(entry) for entry in entries) or any(
            entry.state is InputState.HELD
            for part, entry in self._stored.items()
            if part not in {e.key for e in entries}
        )

    def _differs(self, entry: QuarantineEntry) -> bool:
        stored = self._stored.get(entry.key)
        return (
            stored is None
            or stored.number != entry.number
            or entry.seen_at - stored.seen_at > SEEN_WRITE_STEP_S
        )
