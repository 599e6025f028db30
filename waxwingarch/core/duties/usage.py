"""Reports of usage: each window's counts are settled once, then sent.

The counts of a window are written to a row that must not exist yet, and
what the row holds is what is sent, so that a window has one report
whoever sends it and how often.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from waxwingarch.core.base import AccountId, Action, Event
from waxwingarch.core.peers.report import WindowCounts

Counts = dict[AccountId, int]

# Windows that a host keeps its own counts of, and that it reports on.
WINDOWS_KEPT: Final = 5
# How long after its end a window is settled at the earliest: reports of
# the hosts come several times a second.
SETTLE_S: Final = 1.2
RETRY_S: Final = 0.6
# Rows of windows so far back are removed.
ROWS_KEPT: Final = 8


@dataclass(frozen=True, kw_only=True, slots=True)
class SettleUsage(Action):
    """Write a window's counts unless the row exists; drop an old row."""

    window: int
    counts: Mapping[AccountId, int]
    drop_window: int


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageSettled(Event):
    """The counts that the store has; None if the call failed."""

    window: int
    counts: Mapping[AccountId, int] | None


@dataclass(frozen=True, kw_only=True, slots=True)
class SendUsage(Action):
    """Report a window's counts, if this host still holds the duty."""

    window: int
    counts: Mapping[AccountId, int]
    fence: int


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageSent(Event):
    """A report was accepted, or it failed."""

    window: int
    accepted: bool


class UsageCounter:
    """Requests that began to run, by window and account, on this host."""

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.counts: dict[int, Counts] = {}

    def window_of(self, unix_now: float) -> int:
        """Return the number of the window that a time is in."""
        return int(unix_now // self.window_s)

    def record_start(self, unix_now: float, account: AccountId) -> None:
        """Count a request that begins to run."""
        window = self.window_of(unix_now)
        counts = self.counts.get(window)
        if counts is None:
            counts = self.counts[window] = {}
            for old in sorted(self.counts)[:-WINDOWS_KEPT]:
                del self.counts[old]
        counts[account] = counts.get(account, 0) + 1


class _Step(StrEnum):
    SETTLE = "settle"
    SETTLING = "settling"
    SEND = "send"
    SENDING = "sending"


@dataclass(kw_only=True, slots=True)
class _Window:
    step: _Step = _Step.SETTLE
    counts: Mapping[AccountId, int] | None = None
    next_at: float = 0.0


class UsageReporter:
    """Settles and sends the windows that are due, oldest first."""

    def __init__(self, counter: UsageCounter) -> None:
        self._counter = counter
        self._open: dict[int, _Window] = {}
        self._done: set[int] = set()

    def tick(
        self,
        boot_now: float,
        unix_now: float,
        fence: int,
        began: Iterable[WindowCounts],
        settle_s: float = 0.0,
    ) -> list[Action]:
        """Return the calls that are due; only for the holder.

        `began` are the counts of the other hosts' processes, which may
        come in `settle_s` after the end of a window.
        """
        settled_by = unix_now - max(SETTLE_S, settle_s)
        current = self._counter.window_of(settled_by)
        for window in range(current - WINDOWS_KEPT + 2, current):
            if window not in self._done and window not in self._open:
                self._open[window] = _Window()
        self._done = {w for w in self._done if w > current - ROWS_KEPT}
        actions: list[Action] = []
        for window, state in sorted(self._open.items()):
            if boot_now < state.next_at:
                continue
            action = self._step(window, state, fence, began)
            if action is not None:
                actions.append(action)
        return actions

    def _step(
        self,
        window: int,
        state: _Window,
        fence: int,
        began: Iterable[WindowCounts],
    ) -> Action | None:
        if state.step is _Step.SETTLE:
            state.step = _Step.SETTLING
            return SettleUsage(
                window=window,
                counts=self._total(window, began),
                drop_window=window - ROWS_KEPT,
            )
        if state.step is _Step.SEND and state.counts is not None:
            state.step = _Step.SENDING
            return SendUsage(window=window, counts=state.counts, fence=fence)
        return None

    def handle_settled(self, boot_now: float, event: UsageSettled) -> None:
        """Take what the store has for a window."""
        state = self._open.get(event.window)
        if state is None:
            return
        if event.counts is None:
            state.step = _Step.SETTLE
            state.next_at = boot_now + RETRY_S
            return
        state.step = _Step.SEND
        state.counts = event.counts

    def handle_sent(self, boot_now: float, event: UsageSent) -> None:
        """Take the outcome of a report."""
        state = self._open.get(event.window)
        if state is None:
            return
        if event.accepted:
            del self._open[event.window]
            self._done.add(event.window)
            return
        state.step = _Step.SEND
        state.next_at = boot_now + RETRY_S

    def handle_duty_lost(self) -> None:
        """Forget what is under way: another host holds the duty."""
        self._open.clear()

    def _total(self, window: int, began: Iterable[WindowCounts]) -> Counts:
        total: Counts = dict(self._counter.counts.get(window, {}))
        for counts in began:
            for account, count in counts.get(window, {}).items():
                total[account] = total.get(account, 0) + count
        return total
