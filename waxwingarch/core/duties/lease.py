"""The lease protocol of the contract node's duties.

`duty_leases` holds one such lease for each duty. The hosts on the
platform have a single lease for all their duties instead, see
`leader_election`.

The protocol needs no shared clock. The holder counts its lease from
before a renewal was sent, less a margin. Any other host waits for a full
term, on its own monotonic clock, after it last saw the row change. Each
acquisition raises the fencing number, and each write depends on the
version of the row that was read.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any, Final

from waxwingarch.core.base import Action, Event, HostId

LEASE_TABLE: Final = "leases"
LEASE_TERM_S: Final = 15.0
# The holder stops acting this long before its term ends.
LEASE_MARGIN_S: Final = 2.0
RENEW_INTERVAL_S: Final = 4.0
WATCH_INTERVAL_S: Final = 4.0
RETRY_INTERVAL_S: Final = 1.0
# An order of the previous holder may reach a server up to this long after
# its lease ended.
LONGEST_ORDER_S: Final = 30.0


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseRow:
    """The value of a lease row; the row of a released lease has no holder."""

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
    """The reply to `ReadLease`; `row` is None if there is no row."""

    row: LeaseRow | None
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseWritten(Event):
    """The reply to `WriteLease`: the row was written."""

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
    """Post `LeaseTimer` at this time of the monotonic clock."""

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
    """The whole state of a lease machine.

    `row`, `version` and `seen_at` are the row as last read, its version,
    and when that version was first seen. `fencing` is the number that
    this host holds or tries to acquire, and `deadline` the end of its
    lease. Until `quiet_until` orders of the previous holder may still
    arrive. `sent_at` is when the last write was sent. `unsettled_since`
    is when the first write was sent whose outcome is not known.
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
    """Acquires, renews and watches the lease on one duty."""

    def __init__(self, duty: str, host: HostId, incarnation: int) -> None:
        self.duty = duty
        self._host = host
        self._incarnation = incarnation
        self.memory = LeaseMemory()

    # Interface

    def start(self, now: float) -> list[Action]:
        """Start to watch the row."""
        return self._read(now)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event; a late or repeated one has no effect."""
        name = LEASE_TRANSITIONS.get((self.memory.phase, type(event)))
        if name is None:
            return []
        actions: list[Action] = getattr(self, name)(now, event)
        return [*self._expire(now), *actions]

    def may_act(self, now: float, *, checks_fencing: bool = True) -> bool:
        """Return whether an order may be sent at this moment.

        Call it right before each order. For servers that ignore fencing
        numbers, a new holder first waits until no order of the previous
        holder can still be in flight.
        """
        mem = self.memory
        is_quiet = checks_fencing or now >= mem.quiet_until
        return mem.held and now < mem.deadline and is_quiet

    @property
    def fencing(self) -> int:
        """Return the fencing number for orders; it is valid if `may_act`."""
        return self.memory.fencing or 0

    def resign(self, now: float) -> list[Action]:
        """Release the lease.

        Call it when no order of this host is in flight. During a write
        the release follows when the write has ended.
        """
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
        """Continue from the row as it is now, whichever host wrote it."""
        mem = self.memory
        if event.version < mem.version:
            return self._wait_until(now + RETRY_INTERVAL_S)
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
        """Continue from this host's row, which may be a write without a reply.

        A new version shows that such a write was applied.
        """
        since = self.memory.unsettled_since
        if not changed or since is None:
            return self._renew(now)
        return self._record_held(now, since)

    def _watch_row(self, now: float) -> list[Action]:
        mem = self.memory
        if mem.resigning:
            return self._wait_until(None)
        is_free = mem.row is None or mem.row.holder is None
        expires_at = mem.seen_at + LEASE_TERM_S
        if is_free or now >= expires_at:
            return self._acquire(now, is_free)
        return self._wait_until(min(expires_at, now + WATCH_INTERVAL_S))

    # Writing

    def _acquire(self, now: float, is_free: bool) -> list[Action]:
        previous = self.memory.row.fencing if self.memory.row else 0
        quiet_until = now if is_free else now + LONGEST_ORDER_S
        self.memory = replace(
            self.memory, fencing=previous + 1, quiet_until=quiet_until
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
            return self._wait_until(None)
        return self._record_held(now, mem.sent_at)

    def _record_held(self, now: float, since: float) -> list[Action]:
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
        return [held, *self._wait_until(now + RENEW_INTERVAL_S)]

    def _on_table_down(self, now: float, _: Event) -> list[Action]:
        return self._wait_until(now + RETRY_INTERVAL_S)

    def _on_reply_lost(self, now: float, _: Event) -> list[Action]:
        mem = self.memory
        if mem.unsettled_since is None:
            self.memory = replace(mem, unsettled_since=mem.sent_at)
        return self._read(now)

    # Waiting and expiry

    def _wait_until(self, wake_at: float | None) -> list[Action]:
        self.memory = replace(self.memory, phase=LeasePhase.IDLE)
        return [] if wake_at is None else [SetLeaseTimer(at=wake_at)]

    def _expire(self, now: float) -> list[Action]:
        """Report once that the lease has expired on this host's own clock."""
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
