"""Rate limits of accounts that all hosts keep together.

Every host counts what it admits and tells the others. A host admits what
is left of a limit over a sliding window after its own use and that of
the hosts it hears; for a host it does not hear it leaves an even part.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from waxwingarch.core.base import AccountId, HostId
from waxwingarch.core.limits.window import WindowSum
from waxwingarch.core.routing.config import RoutedAccount

# A host whose last report is older than this is taken to use its part.
HEARD_WITHIN_S: Final = 1.5
# A host silent for this long is gone, and needs no part.
GONE_AFTER_S: Final = 20.0
SHORTEST_WAIT_S: Final = 0.25
# After a restart the whole window may have been used just before. Of the
# rate this part is admitted until the window has passed: a tolerance of
# the limit covers it, and accounts ask for about half of their rate.
RESTART_PART: Final = 0.6


@dataclass(kw_only=True, slots=True)
class _Peer:
    """What one other host has admitted, by its reports."""

    incarnation: int
    heard_at: float
    totals: dict[AccountId, float] = field(default_factory=dict)
    windows: dict[AccountId, WindowSum] = field(default_factory=dict)


class SharedRates:
    """The part of each account's limit that this host may use."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._totals: dict[AccountId, float] = {}
        self._own: dict[AccountId, WindowSum] = {}
        self._peers: dict[HostId, _Peer] = {}
        self._fleet = 1
        self._restarted_at: float | None = None

    def restarted(self, now: float) -> None:
        """Note that an earlier process of this host admitted requests.

        Nothing is known of them: this host's part counts as used.
        """
        self._restarted_at = now

    def set_fleet(self, hosts: int) -> None:
        """Set how many hosts there are, by the last word."""
        self._fleet = max(1, hosts)

    def totals(self) -> Mapping[AccountId, float]:
        """Return what this process has admitted since its start."""
        return self._totals

    def reported(
        self,
        now: float,
        host: HostId,
        incarnation: int,
        totals: Mapping[AccountId, float],
    ) -> None:
        """Take a host's report of what it has admitted."""
        peer = self._peers.get(host)
        if peer is None:
            self._peers[host] = _Peer(
                incarnation=incarnation, heard_at=now, totals=dict(totals)
            )
            return
        if incarnation != peer.incarnation:
            peer.incarnation = incarnation
            peer.totals = {}
        peer.heard_at = now
        for account, total in totals.items():
            more = total - peer.totals.get(account, 0.0)
            if more > 0:
                window = peer.windows.get(account)
                if window is None:
                    window = WindowSum(self._window_s)
                    peer.windows[account] = window
                window.add(now, more)
                peer.totals[account] = total

    def admit(
        self, now: float, account: RoutedAccount, cost: float
    ) -> float | None:
        """Count a request; returns None, or how long to wait if refused."""
        if account.rate <= 0:
            return None
        allowed = self._allowed(now, account)
        own = self._own.get(account.account)
        if own is None:
            own = WindowSum(self._window_s)
            self._own[account.account] = own
        surplus = own.at(now) + cost - allowed
        if surplus > 0:
            refill_s = surplus / account.rate
            return max(SHORTEST_WAIT_S, min(refill_s, own.wait_s(now, cost)))
        own.add(now, cost)
        total = self._totals.get(account.account, 0.0)
        self._totals[account.account] = total + cost
        return None

    def give_back(
        self, now: float, account: RoutedAccount, cost: float
    ) -> None:
        """Return what a request that did not run had counted."""
        own = self._own.get(account.account)
        if own is not None:
            own.add(now, -cost)

    def _allowed(self, now: float, account: RoutedAccount) -> float:
        """Return what this host may have admitted over the window."""
        whole = account.rate * self._window_s + account.burst
        heard = 0
        used = 0.0
        for host, peer in list(self._peers.items()):
            silent_s = now - peer.heard_at
            if silent_s > GONE_AFTER_S:
                del self._peers[host]
            elif silent_s <= HEARD_WITHIN_S:
                heard += 1
                window = peer.windows.get(account.account)
                used += window.at(now) if window else 0.0
        fleet = max(self._fleet, len(self._peers) + 1)
        unheard = max(0, fleet - 1 - heard)
        used += unheard * whole / fleet
        return whole - used - self._used_before(now, account, fleet)

    def _used_before(
        self, now: float, account: RoutedAccount, fleet: int
    ) -> float:
        """Return what an earlier process may have used of the window."""
        if self._restarted_at is None:
            return 0.0
        passed_s = now - self._restarted_at
        if passed_s >= self._window_s:
            self._restarted_at = None
            return 0.0
        whole = account.rate * self._window_s + account.burst
        return (whole - account.rate * passed_s * RESTART_PART) / fleet
