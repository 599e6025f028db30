"""Leases on control duties, with fencing numbers and no shared clock.

The holder counts its lease from before a renewal was sent, less a
margin. Any other host waits a whole term, on its own monotonic clock,
after it last saw the row change. Every acquisition raises the fencing
number; every write depends on the version that was seen.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any, Final

from waxwingarch.core.base import Action, Event, HostId

LEASE_TABLE: Final = "leases"
LEASE_TERM_S: Final = 15.0
LEASE_MARGIN_S: Final = 2.0
RENEW_INTERVAL_S: Final = 4.0
WATCH_INTERVAL_S: Final = 4.0
RETRY_INTERVAL_S: Final = 1.0
LONGEST_ORDER_S: Final = 30.0


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseRow:
    """The value of a lease row; a released one has no holder."""

    holder: HostId | None
    incarnation: int
    fencing: int

    def to_json(self) -> dict[str, Any]:
        """Return the row's value as JSON types."""
        return {
            "holder": self.holder,
            "incarnation": self.incarnation,
            "fencing": self.fencing,
        }

    @classmethod
    def from_json(cls, value: Mapping[str, Any]) -> "LeaseRow":
        """Return the row that `to_json` wrote."""
        holder = value["holder"]
        return cls(
            holder=HostId(holder) if holder is not None else None,
            incarnation=int(value["incarnation"]),
            fencing=int(value["fencing"]),
        )


# Events


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseRead(Event):
    """The reply to `ReadLease`; `row` is None if there is none."""

    row: LeaseRow | None
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseWritten(Event):
    """The reply to `WriteLease`: it took effect."""

    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseConflict(Event):
    """The reply to `WriteLease`: the row has another version."""

    row: LeaseRow | None
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseTableDown(Event):
    """A read or write was certainly not applied."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseReplyLost(Event):
    """A write may have been applied."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseTimer(Event):
    """The time of the last `SetLeaseTimer` has come."""


# Actions


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadLease(Action):
    """Read the row."""

    duty: str


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteLease(Action):
    """Write the row if it still has `expected_version`."""

    duty: str
    row: LeaseRow
    expected_version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class SetLeaseTimer(Action):
    """Send `LeaseTimer` at this time of the monotonic clock."""

    at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseHeld(Action):
    """This host holds the duty until `deadline`, or later if renewed."""

    duty: str
    fencing: int
    deadline: float


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseLost(Action):
    """This host no longer holds the duty; start nothing new."""

    duty: str


class LeasePhase(StrEnum):
    """What a lease machine is waiting for."""

    IDLE = "idle"
    READING = "reading"
    WRITING = "writing"


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseMemory:
    """Everything that a lease machine remembers.

    `row`, `version` and `seen_at` are the row as last seen and when its
    version was first seen. `fencing` is the number that this host holds
    or is trying to hold; `deadline` the end of its lease; `quiet_until`
    when orders of the holder before it have ended. `sent_at` is when the
    last write was sent; `unsettled_since` is when the first one was
    whose outcome is unknown.
    """

    phase: LeasePhase = LeasePhase.IDLE
    row: LeaseRow | None = None
    version: int = -1
    seen_at: float = 0.0
    fencing: int | None = None
    held: bool = False
    deadline: float = 0.0
    quiet_until: float = 0.0
    sent_at: float = 0.0
    unsettled_since: float | None = None
    resigning: bool = False


class LeaseMachine:
    """Acquires, keeps and watches the lease on one duty."""

    def __init__(self, duty: str, host: HostId, incarnation: int) -> None:
        self.duty = duty
        self._host = host
        self._incarnation = incarnation
        self.memory = LeaseMemory()

    # Interface

    def start(self, now: float) -> list[Action]:
        """Begin to watch the row."""
        return self._read(now)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event; one that is late or repeated does nothing."""
        name = LEASE_TRANSITIONS.get((self.memory.phase, type(event)))
        if name is None:
            return []
        actions: list[Action] = getattr(self, name)(now, event)
        return [*self._lapse(now), *actions]

    def may_act(self, now: float, *, checks_fencing: bool = True) -> bool:
        """Return whether an order may be sent at this moment.

        Ask right before each order. Towards servers that ignore fencing
        numbers a new holder first waits out the longest order that the
        one before it may have in flight.
        """
        mem = self.memory
        quiet = checks_fencing or now >= mem.quiet_until
        return mem.held and now < mem.deadline and quiet

    @property
    def fencing(self) -> int:
        """Return the number for orders; only if `may_act`."""
        return self.memory.fencing or 0

    def resign(self, now: float) -> list[Action]:
        """Release the lease, once no order of this host is in flight."""
        mem = self.memory
        if not mem.held or mem.phase is LeasePhase.WRITING:
            self.memory = replace(mem, resigning=True)
            return []
        self.memory = replace(mem, resigning=True, held=False)
        row = LeaseRow(
            holder=None,
            incarnation=self._incarnation,
            fencing=self.fencing,
        )
        return [LeaseLost(duty=self.duty), self._write(now, row)]

    # Reading

    def _read(self, now: float) -> list[Action]:
        self.memory = replace(self.memory, phase=LeasePhase.READING)
        return [ReadLease(duty=self.duty)]

    def _on_timer(self, now: float, _: Event) -> list[Action]:
        if self.memory.resigning:
            return []
        if self.memory.held:
            return self._renew(now)
        return self._read(now)

    def _on_row(
        self, now: float, event: LeaseRead | LeaseConflict
    ) -> list[Action]:
        """Judge the row as it is now, whoever wrote it."""
        mem = self.memory
        if event.version < mem.version:
            return self._idle(now + RETRY_INTERVAL_S)
        changed = event.version > mem.version
        self.memory = replace(
            mem,
            row=event.row,
            version=event.version,
            seen_at=now if changed else mem.seen_at,
        )
        if self._is_own(event.row):
            return self._on_own_row(now, changed)
        self.memory = replace(
            self.memory, held=False, unsettled_since=None, fencing=None
        )
        lost = [LeaseLost(duty=self.duty)] if mem.held else []
        return [*lost, *self._watch_row(now)]

    def _is_own(self, row: LeaseRow | None) -> bool:
        return (
            row is not None
            and row.holder == self._host
            and row.incarnation == self._incarnation
            and row.fencing == self.memory.fencing
        )

    def _on_own_row(self, now: float, changed: bool) -> list[Action]:
        """Go on from a write of ours whose reply was lost."""
        since = self.memory.unsettled_since
        if not changed or since is None:
            return self._renew(now)
        return self._hold(now, since)

    def _watch_row(self, now: float) -> list[Action]:
        mem = self.memory
        if mem.resigning:
            return self._idle(None)
        free = mem.row is None or mem.row.holder is None
        lapses_at = mem.seen_at + LEASE_TERM_S
        if free or now >= lapses_at:
            return self._acquire(now, free)
        return self._idle(min(lapses_at, now + WATCH_INTERVAL_S))

    # Writing

    def _acquire(self, now: float, free: bool) -> list[Action]:
        before = self.memory.row.fencing if self.memory.row else 0
        quiet = now if free else now + LONGEST_ORDER_S
        self.memory = replace(
            self.memory, fencing=before + 1, quiet_until=quiet
        )
        return self._renew(now)

    def _renew(self, now: float) -> list[Action]:
        row = LeaseRow(
            holder=self._host,
            incarnation=self._incarnation,
            fencing=self.fencing,
        )
        return [self._write(now, row)]

    def _write(self, now: float, row: LeaseRow) -> Action:
        self.memory = replace(
            self.memory, phase=LeasePhase.WRITING, sent_at=now
        )
        return WriteLease(
            duty=self.duty, row=row, expected_version=self.memory.version
        )

    def _on_written(self, now: float, event: LeaseWritten) -> list[Action]:
        mem = self.memory
        self.memory = replace(mem, version=event.version, seen_at=now)
        if mem.resigning and not mem.held:
            return self._idle(None)
        return self._hold(now, mem.sent_at)

    def _hold(self, now: float, since: float) -> list[Action]:
        deadline = since + LEASE_TERM_S - LEASE_MARGIN_S
        self.memory = replace(
            self.memory,
            held=True,
            deadline=deadline,
            unsettled_since=None,
        )
        if self.memory.resigning:
            self.memory = replace(self.memory, phase=LeasePhase.IDLE)
            return self.resign(now)
        held = LeaseHeld(
            duty=self.duty, fencing=self.fencing, deadline=deadline
        )
        return [held, *self._idle(now + RENEW_INTERVAL_S)]

    def _on_table_down(self, now: float, _: Event) -> list[Action]:
        return self._idle(now + RETRY_INTERVAL_S)

    def _on_reply_lost(self, now: float, _: Event) -> list[Action]:
        mem = self.memory
        if mem.unsettled_since is None:
            self.memory = replace(mem, unsettled_since=mem.sent_at)
        return self._read(now)

    # Ends

    def _idle(self, wake_at: float | None) -> list[Action]:
        self.memory = replace(self.memory, phase=LeasePhase.IDLE)
        return [] if wake_at is None else [SetLeaseTimer(at=wake_at)]

    def _lapse(self, now: float) -> list[Action]:
        """Tell once that the lease ran out on our own clock."""
        mem = self.memory
        if not mem.held or now < mem.deadline:
            return []
        self.memory = replace(mem, held=False)
        return [LeaseLost(duty=self.duty)]


_P = LeasePhase
LEASE_TRANSITIONS: Final[Mapping[tuple[LeasePhase, type[Event]], str]] = {
    (_P.IDLE, LeaseTimer): "_on_timer",
    (_P.READING, LeaseRead): "_on_row",
    (_P.READING, LeaseTableDown): "_on_table_down",
    (_P.READING, LeaseReplyLost): "_on_table_down",
    (_P.WRITING, LeaseWritten): "_on_written",
    (_P.WRITING, LeaseConflict): "_on_row",
    (_P.WRITING, LeaseTableDown): "_on_table_down",
    (_P.WRITING, LeaseReplyLost): "_on_reply_lost",
}
