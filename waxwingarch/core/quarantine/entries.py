"""The states of inputs that the fleet decided on."""

from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Final

from waxwingarch.core.base import Action, ServerId
from waxwingarch.core.quarantine.inputs import InputKind, kind_of
from waxwingarch.core.quarantine.quarantine_messages import (
    InputState,
    QuarantineChanged,
    QuarantineEntry,
    QuarantineOrigin,
)

# Entries of inputs that were released are kept for this long, so that older
# news of them is known as such.
RELEASED_KEPT_S: Final = 3600.0
MAX_ENTRIES: Final = 48


class QuarantineEntries:
    """The newest entry of each input, and what has changed of late.

    Times are Unix seconds.
    """

    def __init__(self) -> None:
        self._entries: dict[str, QuarantineEntry] = {}
        self._held: set[str] = set()
        self._news: list[Action] = []

    def __getitem__(self, key: str) -> QuarantineEntry:
        return self._entries[key]

    @property
    def all(self) -> tuple[QuarantineEntry, ...]:
        """Return all entries, those that were released too."""
        return tuple(self._entries.values())

    @property
    def held(self) -> set[str]:
        """Return the keys of the quarantined inputs."""
        return self._held

    def released_at(self) -> Mapping[str, float]:
        """Return when the inputs on probation were released."""
        return {
            key: entry.number / 1000
            for key, entry in self._entries.items()
            if entry.state is InputState.PROBATION
        }

    def take_news(self) -> list[Action]:
        """Return the changes since the last call."""
        news, self._news = self._news, []
        return news

    def note_seen(self, key: str, at: float) -> None:
        """Note that a request with a quarantined input came."""
        entry = self._entries[key]
        if entry.seen_at < at:
            self._entries[key] = replace(entry, seen_at=at)

    def merge(self, entries: Iterable[QuarantineEntry]) -> None:
        """Adopt entries of peers or of the store that are newer."""
        for entry in entries:
            known = self._entries.get(entry.key)
            if known is not None and known.number >= entry.number:
                self.note_seen(entry.key, entry.seen_at)
                continue
            self._set(entry, own=False)

    def decide(
        self,
        unix_now: float,
        key: str,
        state: InputState,
        origin: QuarantineOrigin,
        servers: tuple[ServerId, ...] = (),
    ) -> None:
        """Set the state of an input, in place of all earlier decisions."""
        known = self._entries.get(key)
        number = int(unix_now * 1000)
        if known is not None:
            number = max(number, known.number + 1)
        entry = QuarantineEntry(
            key=key,
            number=number,
            state=state,
            origin=origin,
            seen_at=unix_now,
        )
        self._set(entry, own=True, servers=servers)

    def _set(
        self,
        entry: QuarantineEntry,
        *,
        own: bool,
        servers: tuple[ServerId, ...] = (),
    ) -> None:
        known = self._entries.get(entry.key)
        self._entries[entry.key] = entry
        if entry.state is InputState.HELD:
            self._held.add(entry.key)
        else:
            self._held.discard(entry.key)
        if known is None or known.state is not entry.state:
            self._news.append(
                QuarantineChanged(entry=entry, own=own, servers=servers)
            )
        while len(self._entries) > MAX_ENTRIES:
            self._drop_one(entry.key)

    def _drop_one(self, kept: str) -> None:
        """Drop a released entry, else the request or part idle longest.

        The one with the key `kept` was just made and stays.
        """
        entry = min(
            (e for e in self._entries.values() if e.key != kept),
            key=lambda e: (
                e.state is InputState.HELD,
                kind_of(e.key) is InputKind.PART,
                e.seen_at,
            ),
        )
        del self._entries[entry.key]
        self._held.discard(entry.key)

    def expire(self, unix_now: float) -> None:
        """Drop released entries that are too old to matter."""
        for key, entry in list(self._entries.items()):
            if (
                entry.state is not InputState.HELD
                and unix_now - entry.number / 1000 > RELEASED_KEPT_S
            ):
                del self._entries[key]
