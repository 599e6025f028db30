"""One holder of the singleton duties, by a leased row in the store.

The lease's end is written in the store's own clock, which all hosts read
with each reply. The holder counts its lease on a clock that also runs
while the machine is suspended, from before the renewal was sent. The
version of the row that took the lease is the fencing number: versions
only grow, so that of a later holder is higher.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from waxwingarch.core.base import AccountId, Action, Event, HostId

# The holder stops acting this long before others may take over: a call
# it sends last has to arrive before one of its successor.
MARGIN_S: Final = 0.4
# Renewals in a term: one may be lost without losing the lease.
RENEWALS_PER_TERM: Final = 2.5
# Hosts wait this long without hearing of a holder before they read the
# row, and this much more for each host that ranks before them.
UNHEARD_S: Final = 0.8
RANK_STEP_S: Final = 0.4
# One report of the holder may be lost.
HEARD_ROUNDS: Final = 2.5
RETRY_S: Final = 0.5
# A row tells who was busy for this long: the time in which all hosts are
# back after a loss of power, and that of one renewal.
BUSY_KNOWN_S: Final = 6.0
MS_PER_S: Final = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class DutyLeaseRow:
    """The row of the lease; `until_ms` is on the store's clock.

    `busy_accounts` are the accounts that used most of their limits when it was
    written: hosts that all restart know nothing else of them.
    """

    holder: HostId
    incarnation: int
    until_ms: int
    busy_accounts: tuple[AccountId, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class DutyRowRead(Event):
    """The row as the store has it; version 0 where there is none.

    `clock_ms` is the store's clock, `sent_at` and `boot_now` when the
    call was sent and answered on the boot clock.
    """

    row: DutyLeaseRow | None
    version: int
    clock_ms: int
    sent_at: float
    boot_now: float


@dataclass(frozen=True, kw_only=True, slots=True)
class DutyRowWritten(Event):
    """The write took effect."""

    version: int
    clock_ms: int
    sent_at: float
    boot_now: float


@dataclass(frozen=True, kw_only=True, slots=True)
class DutyStoreFailed(Event):
    """A call failed; `maybe_applied` if a write may have taken effect."""

    boot_now: float
    maybe_applied: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadDutyRow(Action):
    """Read the row."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteDutyRow(Action):
    """Write the row if it still has this version."""

    row: DutyLeaseRow
    expected_version: int


class _Phase(StrEnum):
    IDLE = "idle"
    READING = "reading"
    WRITING = "writing"


class LeaderElection:
    """The lease as one host sees it; `boot_now` is the boot clock."""

    def __init__(self, own: HostId, incarnation: int, term_s: float) -> None:
        self._own = own
        self._incarnation = incarnation
        self._term_s = term_s
        self._phase = _Phase.IDLE
        self._clock_ahead_s = 0.0
        self._clock_known = False
        self._version = 0
        self._valid_until = float("-inf")
        self._pending_valid_until = float("-inf")
        self._next_at = 0.0
        self._heard_at = float("-inf")
        self._held_since = float("-inf")
        self._busy_accounts: tuple[AccountId, ...] = ()
        self.fence = 0
        self.held = False

    def may_act(self, boot_now: float) -> bool:
        """Tell whether a duty call may be sent at this moment."""
        return self.held and boot_now < self._valid_until

    def record_holder_report(self, boot_now: float) -> None:
        """Note that a host said that it holds the lease."""
        self._heard_at = boot_now

    def tick(
        self,
        boot_now: float,
        rank: int,
        round_s: float = 0.0,
        busy_accounts: tuple[AccountId, ...] = (),
    ) -> list[Action]:
        """Renew what is held, or try to take what nobody holds.

        `rank` is this host's place among the candidates, `round_s` the
        time in which a holder tells everyone of itself. The `busy_accounts`
        accounts are written beside the lease.
        """
        self._busy_accounts = busy_accounts
        if self.held and boot_now >= self._valid_until:
            self._lose(boot_now)
        if self._phase is not _Phase.IDLE or boot_now < self._next_at:
            return []
        if self.held:
            return self._write(boot_now)
        wait_s = max(UNHEARD_S, HEARD_ROUNDS * round_s) + rank * RANK_STEP_S
        if boot_now - self._heard_at < wait_s:
            return []
        self._phase = _Phase.READING
        return [ReadDutyRow()]

    def start(self, boot_now: float) -> None:
        """Begin: give a holder the time to be heard."""
        self._heard_at = boot_now

    def recently_busy_accounts(
        self, event: DutyRowRead
    ) -> tuple[AccountId, ...] | None:
        """Return who was busy, if the row was written just now."""
        if event.row is None:
            return None
        written_ms = event.row.until_ms - int(self._term_s * MS_PER_S)
        if event.clock_ms - written_ms > BUSY_KNOWN_S * MS_PER_S:
            return None
        return event.row.busy_accounts

    def handle_row_read(self, event: DutyRowRead) -> list[Action]:
        """Take the row; write it if its lease is over."""
        self._learn_clock(event.clock_ms, event.sent_at)
        if self._phase is _Phase.IDLE:
            return []
        self._phase = _Phase.IDLE
        self._version = event.version
        row = event.row
        if row is None:
            return self._write(event.boot_now)
        mine = (row.holder, row.incarnation) == (self._own, self._incarnation)
        if mine and self.held:
            # A renewal whose reply was lost took effect.
            self._valid_until = max(
                self._valid_until, self._pending_valid_until
            )
            return []
        remaining_s = (row.until_ms - event.clock_ms) / MS_PER_S
        if remaining_s > 0:
            if self.held:
                self._lose(event.boot_now)
            self._next_at = event.boot_now + remaining_s
            return []
        return self._write(event.boot_now)

    def handle_row_written(self, event: DutyRowWritten) -> None:
        """Take the success of a write."""
        self._phase = _Phase.IDLE
        self._learn_clock(event.clock_ms, event.sent_at)
        self._version = event.version
        self._valid_until = self._pending_valid_until
        if event.boot_now >= self._valid_until:
            self._lose(event.boot_now)
            return
        if not self.held:
            self.held = True
            self.fence = event.version
            self._held_since = event.boot_now
        self._next_at = event.sent_at + self._term_s / RENEWALS_PER_TERM

    def handle_store_failure(self, event: DutyStoreFailed) -> list[Action]:
        """Take a failure; read back what may have taken effect."""
        was_writing = self._phase is _Phase.WRITING
        self._phase = _Phase.IDLE
        self._next_at = event.boot_now + RETRY_S
        if was_writing and event.maybe_applied:
            self._phase = _Phase.READING
            return [ReadDutyRow()]
        return []

    def resign(self, boot_now: float) -> list[Action]:
        """Give the lease up, if it was held for a whole term.

        A shorter tenure lapses by itself: the holder before must not act
        again within a term of its last call.
        """
        held_long = boot_now - self._held_since >= self._term_s
        self._next_at = float("inf")
        if not self.held or not held_long or self._phase is not _Phase.IDLE:
            self.held = False
            return []
        self.held = False
        clock = int((boot_now + self._clock_ahead_s) * MS_PER_S)
        return [self._write_row(clock)]

    def _write(self, boot_now: float) -> list[Action]:
        self._phase = _Phase.WRITING
        self._pending_valid_until = boot_now + self._term_s - MARGIN_S
        until = boot_now + self._clock_ahead_s + self._term_s
        return [self._write_row(int(until * MS_PER_S) + 1)]

    def _write_row(self, until_ms: int) -> WriteDutyRow:
        row = DutyLeaseRow(
            holder=self._own,
            incarnation=self._incarnation,
            until_ms=until_ms,
            busy_accounts=self._busy_accounts,
        )
        return WriteDutyRow(row=row, expected_version=self._version)

    def _learn_clock(self, clock_ms: int, sent_at: float) -> None:
        """Take the store's clock; seen from the send it is never behind."""
        ahead_s = clock_ms / MS_PER_S - sent_at
        if not self._clock_known or ahead_s < self._clock_ahead_s:
            self._clock_ahead_s = ahead_s
        self._clock_known = True

    def _lose(self, boot_now: float) -> None:
        self.held = False
        self._next_at = boot_now + RETRY_S
