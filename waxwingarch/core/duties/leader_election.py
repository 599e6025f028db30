"""Leader election of the hosts on the platform: one lease for all duties.

The lease is a row in the platform's store, and its holder carries out
all the singleton duties. The contract node has one lease for each duty
instead, with the protocol of `lease` and the leases in `duty_leases`.

The row holds the end of the lease on the store's own clock, which all
hosts read with each reply. The holder counts its lease on the boot
clock, which also runs while the host is suspended, from before the
renewal was sent. The version of the row that acquired the lease is the
fencing number. Versions only grow, also across eras of the store, so that
a later holder has a higher one.

When the store returns from an older copy, renewals are missing from the
row, and it may show a lease as ended that its holder still counts on. A
row that was not written in the current era is therefore not relied on:
its holder writes it again, and other hosts wait for one term from when
they first saw the era.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from waxwingarch.core.base import AccountId, Action, Event, HostId

# The holder stops acting this long before another host may take over, since
# the last call that it sends has to arrive before the first of its successor.
TAKEOVER_MARGIN_S: Final = 0.4
# Renewals in a term: one may fail without the lease being lost.
RENEWALS_PER_TERM: Final = 2.5
# A host reads the row only after it has received no report of a holder for
# this long, and for one step more for each host that ranks before it.
HOLDER_SILENCE_S: Final = 0.8
RANK_STEP_S: Final = 0.4
# The silence lasts at least this many rounds of reports: one report of the
# holder may be lost.
HOLDER_SILENCE_ROUNDS: Final = 2.5
RETRY_S: Final = 0.5
# The busy accounts in a row count for this long after it was written: the
# time between two renewals, plus the time in which all hosts are back after
# a power failure.
BUSY_ACCOUNTS_VALID_S: Final = 6.0
MS_PER_S: Final = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class DutyLeaseRow:
    """The row of the lease; `until_ms` is on the store's clock.

    `busy_accounts` used most of their limits when the row was written.
    Hosts that have all restarted know nothing else of what was used.
    `era` is the store's era that the holder knew. Usage windows before
    `first_window` may have been reported by a holder whose records the
    store has lost.
    """

    holder: HostId
    incarnation: int
    until_ms: int
    busy_accounts: tuple[AccountId, ...] = ()
    era: int = 0
    first_window: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreEraSeen(Event):
    """The store's era was seen first, or a later era than before."""

    era: int
    boot_now: float


@dataclass(frozen=True, kw_only=True, slots=True)
class DutyRowRead(Event):
    """The row as the store has it; version 0 if there is none.

    `clock_ms` is the store's clock. `sent_at` and `boot_now` are when the
    call was sent and when its reply came, on the boot clock.
    """

    row: DutyLeaseRow | None
    version: int
    clock_ms: int
    sent_at: float
    boot_now: float


@dataclass(frozen=True, kw_only=True, slots=True)
class DutyRowWritten(Event):
    """A write of the row was applied."""

    version: int
    clock_ms: int
    sent_at: float
    boot_now: float


@dataclass(frozen=True, kw_only=True, slots=True)
class DutyStoreFailed(Event):
    """A call failed; `maybe_applied` if it may have written the row."""

    boot_now: float
    maybe_applied: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadDutyRow(Action):
    """Read the row of the lease."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteDutyRow(Action):
    """Write the row if it still has `expected_version`."""

    row: DutyLeaseRow
    expected_version: int


class _Phase(StrEnum):
    IDLE = "idle"
    READING = "reading"
    WRITING = "writing"


class LeaderElection:
    """The lease as one host sees it.

    All times are on the boot clock, except where another clock is named.
    """

    def __init__(
        self,
        own: HostId,
        incarnation: int,
        term_s: float,
        *,
        first_start: bool = True,
    ) -> None:
        """Create a lease that is not held.

        With `first_start` no process of the deployment ran before, so that
        a missing row is not one that the store has lost.
        """
        self._own = own
        self._incarnation = incarnation
        self._term_s = term_s
        self._era = 0
        self._first_era = 0
        self._era_seen_at = float("-inf")
        self._written_era = 0
        self._must_read = False
        self._may_lack_row = first_start
        # The first usage window that may be reported, and the current one.
        self.first_window = 0
        self._current_window = 0
        self._phase = _Phase.IDLE
        self._clock_ahead_s = 0.0
        self._clock_known = False
        self._version = 0
        self._valid_until = float("-inf")
        self._pending_valid_until = float("-inf")
        self._pending_until_ms = 0
        self._next_at = 0.0
        self._holder_seen_at = float("-inf")
        self._held_since = float("-inf")
        self._busy_accounts: tuple[AccountId, ...] = ()
        self.fence = 0
        self.held = False

    def may_act(self, boot_now: float) -> bool:
        """Return whether the call of a duty may be sent at this moment."""
        return self.held and boot_now < self._valid_until

    def record_holder_report(self, boot_now: float) -> None:
        """Record that another host reported that it holds the lease."""
        self._holder_seen_at = boot_now

    def record_era(self, event: StoreEraSeen) -> None:
        """Record the era of the store, before the response that shows it."""
        if self._era_seen_at == float("-inf"):
            self._first_era = event.era
        elif event.era > self._era:
            self.first_window = max(self.first_window, self._current_window)
        self._era = event.era
        self._era_seen_at = event.boot_now
        self._must_read = self.held
        if self.held:
            self._next_at = event.boot_now

    def tick(
        self,
        boot_now: float,
        rank: int,
        round_s: float = 0.0,
        busy_accounts: tuple[AccountId, ...] = (),
        current_window: int = 0,
    ) -> list[Action]:
        """Renew a lease that is held, or try to acquire one that is free.

        `rank` is this host's place among the candidates. `round_s` is the
        time in which a holder sends its report to all other hosts.
        `busy_accounts` are written into the row. `current_window` is the
        usage window of now.
        """
        self._busy_accounts = busy_accounts
        self._current_window = current_window
        if self.held and boot_now >= self._valid_until:
            self._lose_lease(boot_now)
        if self._phase is not _Phase.IDLE or boot_now < self._next_at:
            return []
        if self.held and self._must_read:
            self._phase = _Phase.READING
            return [ReadDutyRow()]
        if self.held:
            return self._write_lease(boot_now)
        wait_s = (
            max(HOLDER_SILENCE_S, HOLDER_SILENCE_ROUNDS * round_s)
            + rank * RANK_STEP_S
        )
        if boot_now - self._holder_seen_at < wait_s:
            return []
        self._phase = _Phase.READING
        return [ReadDutyRow()]

    def start(self, boot_now: float) -> None:
        """Start to wait for reports of a holder."""
        self._holder_seen_at = boot_now

    def recently_busy_accounts(
        self, event: DutyRowRead
    ) -> tuple[AccountId, ...] | None:
        """Return the busy accounts in a row, if it was written recently."""
        if event.row is None:
            return None
        written_ms = event.row.until_ms - int(self._term_s * MS_PER_S)
        if event.clock_ms - written_ms > BUSY_ACCOUNTS_VALID_S * MS_PER_S:
            return None
        return event.row.busy_accounts

    def handle_row_read(self, event: DutyRowRead) -> list[Action]:
        """Record the row, and acquire the lease if it has expired.

        A reply that the lease doesn't wait for, such as that to the read
        after a restart, only improves the estimate of the store's clock.
        """
        self._record_store_clock(event.clock_ms, event.sent_at)
        if self._phase is _Phase.IDLE:
            return []
        self._phase = _Phase.IDLE
        self._must_read = False
        self._version = event.version
        row = event.row
        if not self._is_of_this_era(row):
            return self._write_over_copy(event.boot_now)
        if row is None:
            return self._write_lease(event.boot_now)
        self.first_window = max(self.first_window, row.first_window)
        is_own = (row.holder, row.incarnation) == (
            self._own,
            self._incarnation,
        )
        if is_own and self.held:
            if row.until_ms < self._pending_until_ms:
                # It is from the renewal before: this one was not applied.
                return self._write_lease(event.boot_now)
            # A renewal whose reply was lost was applied.
            self._valid_until = max(
                self._valid_until, self._pending_valid_until
            )
            return []
        remaining_s = (row.until_ms - event.clock_ms) / MS_PER_S
        if remaining_s > 0:
            if self.held:
                self._lose_lease(event.boot_now)
            self._next_at = event.boot_now + remaining_s
            return []
        return self._write_lease(event.boot_now)

    def _is_of_this_era(self, row: DutyLeaseRow | None) -> bool:
        """Return whether no renewal of the lease can be missing."""
        if row is not None:
            return row.era == self._era
        return self._may_lack_row and self._era == self._first_era

    def _write_over_copy(self, boot_now: float) -> list[Action]:
        """Write a row that the store has from an older copy.

        Only the holder may do so at once. Any other lease has ended when
        a term has passed since this host first saw the era.
        """
        ended_at = self._era_seen_at + self._term_s
        if self.held and boot_now >= self._valid_until:
            self._lose_lease(boot_now)
        if not self.held:
            if boot_now < ended_at:
                self._next_at = ended_at
                return []
            self.first_window = max(self.first_window, self._current_window)
        return self._write_lease(boot_now)

    def handle_row_written(self, event: DutyRowWritten) -> None:
        """Record that a write of the row was applied."""
        self._phase = _Phase.IDLE
        self._record_store_clock(event.clock_ms, event.sent_at)
        self._version = event.version
        if self._written_era != self._era:
            # The row that this write was meant to replace is lost, and the
            # count of its version was given to another row.
            self._must_read = self.held
            self._next_at = event.boot_now
            return
        self._may_lack_row = False
        self._valid_until = self._pending_valid_until
        if event.boot_now >= self._valid_until:
            self._lose_lease(event.boot_now)
            return
        if not self.held:
            self.held = True
            self.fence = event.version
            self._held_since = event.boot_now
        self._next_at = event.sent_at + self._term_s / RENEWALS_PER_TERM

    def handle_store_failure(self, event: DutyStoreFailed) -> list[Action]:
        """Handle a failed call; read back a write that may be applied."""
        was_writing = self._phase is _Phase.WRITING
        self._phase = _Phase.IDLE
        self._next_at = event.boot_now + RETRY_S
        if was_writing and event.maybe_applied:
            self._phase = _Phase.READING
            return [ReadDutyRow()]
        return []

    def resign(self, boot_now: float) -> list[Action]:
        """Release the lease, if it was held for at least a full term.

        After a shorter time it is left to expire: otherwise the previous
        holder could act again within a term of its last call.
        """
        held_full_term = boot_now - self._held_since >= self._term_s
        self._next_at = float("inf")
        if (
            not self.held
            or not held_full_term
            or self._phase is not _Phase.IDLE
        ):
            self.held = False
            return []
        self.held = False
        # The reply to this write must not bring the lease back.
        self._pending_valid_until = float("-inf")
        store_now_ms = int((boot_now + self._clock_ahead_s) * MS_PER_S)
        return [self._write_row(store_now_ms)]

    def _write_lease(self, boot_now: float) -> list[Action]:
        self._phase = _Phase.WRITING
        self._written_era = self._era
        self._pending_valid_until = boot_now + self._term_s - TAKEOVER_MARGIN_S
        until_s = boot_now + self._clock_ahead_s + self._term_s
        self._pending_until_ms = int(until_s * MS_PER_S) + 1
        return [self._write_row(self._pending_until_ms)]

    def _write_row(self, until_ms: int) -> WriteDutyRow:
        row = DutyLeaseRow(
            holder=self._own,
            incarnation=self._incarnation,
            until_ms=until_ms,
            busy_accounts=self._busy_accounts,
            era=self._era,
            first_window=self.first_window,
        )
        return WriteDutyRow(row=row, expected_version=self._version)

    def _record_store_clock(self, clock_ms: int, sent_at: float) -> None:
        """Estimate how far the store's clock is ahead of the boot clock.

        A reply gives an upper bound, since the store read its clock after
        the call was sent. The least of all bounds counts.
        """
        ahead_s = clock_ms / MS_PER_S - sent_at
        if not self._clock_known or ahead_s < self._clock_ahead_s:
            self._clock_ahead_s = ahead_s
        self._clock_known = True

    def _lose_lease(self, boot_now: float) -> None:
        self.held = False
        self._next_at = boot_now + RETRY_S
