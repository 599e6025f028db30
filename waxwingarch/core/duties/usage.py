"""Usage reports: the counts of each window are settled once, then sent.

To settle a window, its counts are written to a row that must not exist
yet. What is sent is the content of that row. All reports of a window are
thus equal, whichever host sends them and however often.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from waxwingarch.core.base import AccountId, Action, Event
from waxwingarch.core.peers.report import WindowCounts

Counts = dict[AccountId, int]

# A host keeps its own counts of this many windows, which also bounds how far
# back windows are reported.
WINDOWS_KEPT: Final = 5
# A window is settled at the earliest this long after its end, when the
# reports of the other hosts, several a second, have come in.
MIN_SETTLE_DELAY_S: Final = 1.2
RETRY_S: Final = 0.6
# The row of a window is removed when this many later ones exist.
ROWS_KEPT: Final = 8


@dataclass(frozen=True, kw_only=True, slots=True)
class SettleUsage(Action):
    """Write the counts of a window unless its row exists; drop an old row."""

    window: int
    counts: Mapping[AccountId, int]
    drop_window: int


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageSettled(Event):
    """The counts that the store has of a window; None if the call failed."""

    window: int
    counts: Mapping[AccountId, int] | None


@dataclass(frozen=True, kw_only=True, slots=True)
class SendUsage(Action):
    """Report the counts of a window, if this host still holds the duty."""

    window: int
    counts: Mapping[AccountId, int]
    fence: int


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageSent(Event):
    """The reply to a report."""

    window: int
    accepted: bool


class UsageCounter:
    """Counts by window and account of requests that this host began to run."""

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.counts: dict[int, Counts] = {}

    def window_of(self, unix_now: float) -> int:
        """Return the number of the window that a time of day is in."""
        return int(unix_now // self.window_s)

    def record_start(self, unix_now: float, account: AccountId) -> None:
        """Count a request that begins to run."""
        window = self.window_of(unix_now)
        counts = self.counts.get(window)
        if counts is None:
            counts = self.counts[window] = {}
            for old_window in sorted(self.counts)[:-WINDOWS_KEPT]:
                del self.counts[old_window]
        counts[account] = counts.get(account, 0) + 1


class _Step(StrEnum):
    SETTLE = "settle"
    SETTLING = "settling"
    SEND = "send"
    SENDING = "sending"


@dataclass(kw_only=True, slots=True)
class _WindowState:
    """A window that is not reported yet; `counts` are the settled ones."""

    step: _Step = _Step.SETTLE
    counts: Mapping[AccountId, int] | None = None
    next_at: float = 0.0


class UsageReporter:
    """Settles and reports the windows that are due, oldest first."""

    def __init__(self, counter: UsageCounter) -> None:
        self._counter = counter
        self._pending: dict[int, _WindowState] = {}
        self._done: set[int] = set()

    def tick(
        self,
        boot_now: float,
        unix_now: float,
        fence: int,
        peer_counts: Iterable[WindowCounts],
        settle_delay_s: float = 0.0,
        first_window: int = 0,
    ) -> list[Action]:
        """Return the calls that are due, on the host that holds the duty.

        A window before `first_window` may have been reported by another
        host whose counts the store has lost. It is reported only with
        counts that this host has had from the store.

        `peer_counts` has the counts of each other host's process, which may
        come in up to `settle_delay_s` after the end of a window.
        """
        ended_by = unix_now - max(MIN_SETTLE_DELAY_S, settle_delay_s)
        current = self._counter.window_of(ended_by)
        for window in range(current - WINDOWS_KEPT + 2, current):
            is_known = window in self._done or window in self._pending
            if not is_known and window >= first_window:
                self._pending[window] = _WindowState()
        self._done = {w for w in self._done if w > current - ROWS_KEPT}
        actions: list[Action] = []
        for window, state in sorted(self._pending.items()):
            if boot_now < state.next_at:
                continue
            action = self._next_call(window, state, fence, peer_counts)
            if action is not None:
                actions.append(action)
        return actions

    def _next_call(
        self,
        window: int,
        state: _WindowState,
        fence: int,
        peer_counts: Iterable[WindowCounts],
    ) -> Action | None:
        if state.step is _Step.SETTLE:
            state.step = _Step.SETTLING
            return SettleUsage(
                window=window,
                counts=self._total(window, peer_counts),
                drop_window=window - ROWS_KEPT,
            )
        if state.step is _Step.SEND and state.counts is not None:
            state.step = _Step.SENDING
            return SendUsage(window=window, counts=state.counts, fence=fence)
        return None

    def handle_settled(self, boot_now: float, event: UsageSettled) -> None:
        """Record the counts that the store has of a window."""
        state = self._pending.get(event.window)
        if state is None:
            return
        if event.counts is None:
            state.step = _Step.SETTLE
            state.next_at = boot_now + RETRY_S
            return
        state.step = _Step.SEND
        state.counts = event.counts

    def handle_sent(self, boot_now: float, event: UsageSent) -> None:
        """Record whether a report was accepted; send it again if not."""
        state = self._pending.get(event.window)
        if state is None:
            return
        if event.accepted:
            del self._pending[event.window]
            self._done.add(event.window)
            return
        state.step = _Step.SEND
        state.next_at = boot_now + RETRY_S

    def handle_store_returned(self) -> None:
        """Drop the windows whose counts the store may have lost."""
        self._pending = {
            window: state
            for window, state in self._pending.items()
            if state.counts is not None
        }

    def handle_duty_lost(self) -> None:
        """Drop the calls in progress, since another host may hold the duty."""
        self._pending.clear()

    def _total(
        self, window: int, peer_counts: Iterable[WindowCounts]
    ) -> Counts:
        total: Counts = dict(self._counter.counts.get(window, {}))
        for counts in peer_counts:
            for account, count in counts.get(window, {}).items():
                total[account] = total.get(account, 0) + count
        return total
