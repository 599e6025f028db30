"""Rate limits of accounts that all hosts keep together.

Every host counts what it admits over a sliding window and tells the
others. A host admits what is left of a limit after its own use and that
of the hosts it hears; for a host it does not hear it leaves an even part.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import prod
from typing import Final

from waxwingarch.core.base import AccountId, HostId
from waxwingarch.core.limits.window import WindowSum
from waxwingarch.core.routing.config import RoutedAccount

# A host whose last report is older than this, and than so many rounds of
# reports, is taken to use its part.
HEARD_WITHIN_S: Final = 1.5
HEARD_ROUNDS: Final = 2.5
# A host silent for this long is gone, and needs no part.
GONE_AFTER_S: Final = 20.0
SHORTEST_WAIT_S: Final = 0.25
# After a restart the whole window may have been used just before. Of the
# rate this part is admitted until the window has passed: a tolerance of
# the limit covers it, and accounts ask for about half of their rate.
RESTART_PART: Final = 0.5
# An account that uses more than this part of its limit is busy: after a
# restart it gets no more than the above.
BUSY_PART: Final = 0.7
# Of the limit of one that was not busy, this part is free at once.
IDLE_FREE_PART: Final = 0.15
# Cuts of a limit that are remembered: a host that is behind by more is
# counted by the last ones.
MOST_CUTS: Final = 8
# Two reports that come together tell nothing of the speed between them.
SHORTEST_PAUSE_S: Final = 0.1


@dataclass(kw_only=True, slots=True)
class _Peer:
    """What one other host admitted over the window, by its last report.

    `speeds` is by how much that grew a second since the one before.
    `version` is that of its configuration.
    """

    heard_at: float
    used: Mapping[AccountId, float]
    version: int
    speeds: dict[AccountId, float] = field(default_factory=dict)


@dataclass(kw_only=True, slots=True)
class _Limit:
    """The limit last seen of an account.

    `cuts` are the versions of the configuration that lowered it since it
    was last raised, each with what part of the limit it left.
    """

    whole: float
    cuts: tuple[tuple[int, float], ...] = ()

    def left_since(self, version: int) -> float:
        """Return the part that the cuts after a version have left."""
        return prod(part for cut, part in self.cuts if cut > version)


class SharedRates:
    """The part of each account's limit that this host may use."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._own: dict[AccountId, WindowSum] = {}
        self._peers: dict[HostId, _Peer] = {}
        self._fleet = 1
        self._heard_within_s = HEARD_WITHIN_S
        self._limits: dict[AccountId, _Limit] = {}
        self._restarted_at: float | None = None
        self._busy: frozenset[AccountId] | None = None

    def record_restart(self, now: float) -> None:
        """Note that an earlier process of this host admitted requests.

        Nothing is known of them: this host's part counts as used.
        """
        self._restarted_at = now

    def set_busy_before_restart(self, busy: Iterable[AccountId]) -> None:
        """Note which accounts were busy right before the restart."""
        self._busy = frozenset(busy)

    def busy_accounts(
        self, now: float, accounts: Iterable[RoutedAccount]
    ) -> tuple[AccountId, ...]:
        """Return the accounts that use most of their limit."""
        return tuple(
            account.account
            for account in accounts
            if account.rate > 0 and self._is_busy(now, account)
        )

    def _is_busy(self, now: float, account: RoutedAccount) -> bool:
        own = self._own_use(now, account)
        spare = self._left_by_others(now, account) - own
        return spare < self._whole(account) * (1 - BUSY_PART)

    def apply_config(
        self, now: float, version: int, accounts: Iterable[RoutedAccount]
    ) -> None:
        """Take the limits of a configuration.

        Where a limit is lowered, what was used before counts as the same
        part of the new limit: it was within the limit of its time.
        """
        for account in accounts:
            whole = self._whole(account)
            known = self._limits.get(account.account)
            if known is None or known.whole <= 0 or whole > known.whole:
                self._limits[account.account] = _Limit(whole=whole)
            elif whole < known.whole:
                part = whole / known.whole
                window = self._own.get(account.account)
                if window is not None:
                    window.scale(part)
                cuts = (*known.cuts, (version, part))[-MOST_CUTS:]
                limit = _Limit(whole=whole, cuts=cuts)
                self._limits[account.account] = limit

    def _whole(self, account: RoutedAccount) -> float:
        """Return what an account may use over a window."""
        return account.rate * self._window_s + account.burst

    def set_host_count(self, hosts: int, round_s: float = 0.0) -> None:
        """Set how many hosts there are and how long their reports take."""
        self._fleet = max(1, hosts)
        self._heard_within_s = max(HEARD_WITHIN_S, HEARD_ROUNDS * round_s)

    def own_usage(
        self, now: float, accounts: Iterable[RoutedAccount]
    ) -> dict[AccountId, float]:
        """Return what this host used of the window, for the others."""
        used = {a.account: self._own_use(now, a) for a in accounts}
        return {account: use for account, use in used.items() if use > 0}

    def record_report(
        self,
        now: float,
        host: HostId,
        used: Mapping[AccountId, float],
        version: int = 0,
    ) -> None:
        """Take a host's report of what it used of the window.

        `version` is that of the configuration it goes by.
        """
        before = self._peers.get(host)
        peer = _Peer(heard_at=now, used=used, version=version)
        if before is not None:
            passed_s = max(SHORTEST_PAUSE_S, now - before.heard_at)
            for account, use in used.items():
                more = use - before.used.get(account, 0.0)
                if more > 0:
                    peer.speeds[account] = more / passed_s
        self._peers[host] = peer

    def admit(
        self, now: float, account: RoutedAccount, cost: float
    ) -> float | None:
        """Count a request; returns None, or how long to wait if refused."""
        if account.rate <= 0:
            return None
        surplus = self._own_use(now, account) + cost
        surplus -= self._left_by_others(now, account)
        window = self._own.setdefault(
            account.account, WindowSum(self._window_s)
        )
        if surplus > 0:
            refill_s = surplus / account.rate
            wait_s = min(refill_s, window.wait_s(now, cost))
            return max(SHORTEST_WAIT_S, wait_s)
        window.add(now, cost)
        return None

    def refund(self, now: float, account: RoutedAccount, cost: float) -> None:
        """Return what a request that did not run had counted."""
        window = self._own.get(account.account)
        if window is not None:
            window.add(now, -cost)

    def explain(self, now: float, account: RoutedAccount) -> str:
        """Return what a limit is made up of now, for logs and callers."""
        whole = self._whole(account)
        others, kept = self._use_of_others(now, account)
        return (
            f"{self._own_use(now, account):.0f} used here, {others:.0f} by "
            f"other hosts and {kept:.0f} kept for hosts not heard, of "
            f"{whole:.0f} in {self._window_s:g} s"
        )

    def _left_by_others(self, now: float, account: RoutedAccount) -> float:
        """Return what the other hosts leave of a window to this one."""
        return self._whole(account) - sum(self._use_of_others(now, account))

    def _use_of_others(
        self, now: float, account: RoutedAccount
    ) -> tuple[float, float]:
        """Return what others used, and what is kept for those not heard."""
        whole = self._whole(account)
        limit = self._limits.get(account.account)
        heard = 0
        used = 0.0
        for host, peer in list(self._peers.items()):
            silent_s = now - peer.heard_at
            if silent_s > GONE_AFTER_S:
                del self._peers[host]
            elif silent_s <= self._heard_within_s:
                heard += 1
                use = peer.used.get(account.account, 0.0)
                # What it admits until its next report is not known yet.
                use += peer.speeds.get(account.account, 0.0) * silent_s
                if limit is not None:
                    use *= limit.left_since(peer.version)
                used += use
        fleet = max(self._fleet, len(self._peers) + 1)
        unheard = max(0, fleet - 1 - heard)
        return used, unheard * whole / fleet

    def _own_use(self, now: float, account: RoutedAccount) -> float:
        """Return what this host used, an earlier process included."""
        window = self._own.get(account.account)
        use = window.total(now) if window else 0.0
        if self._restarted_at is None:
            return use
        passed_s = now - self._restarted_at
        if passed_s >= self._window_s:
            self._restarted_at = None
            return use
        whole = self._whole(account)
        free = account.rate * passed_s * RESTART_PART
        if self._busy is not None and account.account not in self._busy:
            free += whole * IDLE_FREE_PART
        return use + max(0.0, whole - free) / self._fleet
