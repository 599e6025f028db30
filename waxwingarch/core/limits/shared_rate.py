"""Rate limits of client accounts, enforced jointly by all hosts.

The hosts on the platform use these. The contract node divides its limits
into shares instead, see `account_shares`.

Each host counts what it admits over a sliding window and reports it to
the others. It admits up to the limit minus its own usage and the usage
that the other hosts report. For each host without a recent report it
reserves an even share of the limit.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import prod
from typing import Final

from waxwingarch.core.base import AccountId, HostId
from waxwingarch.core.limits.window import WindowSum
from waxwingarch.core.randomness import RandomSource
from waxwingarch.core.routing.config import RoutedAccount

# A host is assumed to use its even share of each limit when its last
# report is older than both this time and this number of report rounds.
REPORT_FRESH_S: Final = 1.5
REPORT_FRESH_ROUNDS: Final = 2.5
# A host that has sent no report for this long counts as departed, and its
# reports are forgotten.
DEPARTED_AFTER_S: Final = 20.0
MIN_RETRY_AFTER_S: Final = 0.25
# Until a whole window has passed since a restart, the earlier process may
# have used up the window, so only this share of the rate is admitted. What
# this admits in excess is within the tolerance of the limit, and accounts
# usually ask for about half of their rate.
RESTART_RATE_RATIO: Final = 0.5
# An account that uses more than this share of its limit is busy. After a
# restart it gets no more than `RESTART_RATE_RATIO` of its rate.
BUSY_USAGE_RATIO: Final = 0.7
# An account that was not busy may use this share of its limit immediately
# after a restart.
IDLE_FREE_RATIO: Final = 0.15
# Hosts decide by one sum for up to this long after it was taken: what they
# admit meanwhile is not known to the others.
SUM_IN_USE_S: Final = 0.6
# A host whose part is smaller than a request may exceed it by chance. It
# draws again after this time, when the others know what it admitted.
REDRAW_S: Final = 0.6
# The number of reductions of a limit that are remembered. The usage of a
# host whose configuration is older than all of these is scaled by these
# only.
MAX_REDUCTIONS: Final = 8
# Two reports that arrive closer together than this say nothing about the
# growth between them, so the growth is computed over at least this time.
MIN_REPORT_INTERVAL_S: Final = 0.1


@dataclass(kw_only=True, slots=True)
class _PeerReport:
    """The last report of another host on what it admitted.

    `growth_per_s` is the growth of that usage since the report before,
    by account. `config_version` is the version of the configuration
    that the host applies.
    """

    received_at: float
    usage: Mapping[AccountId, float]
    config_version: int
    growth_per_s: dict[AccountId, float] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageSum:
    """The usage of several other hosts.

    `usage` is by the configuration version under which it was counted, and
    `taken_at` is when it was on average. `offered_per_s` is what was asked
    of all these hosts and of this one. The own amounts are those of this
    host that were known to the others then.
    """

    taken_at: float
    hosts: frozenset[HostId]
    usage: Mapping[int, Mapping[AccountId, float]]
    offered_per_s: Mapping[AccountId, float] = field(default_factory=dict)
    own_usage: Mapping[AccountId, float] = field(default_factory=dict)
    own_offered_per_s: Mapping[AccountId, float] = field(default_factory=dict)

    def usage_of(
        self, account: AccountId, history: "_LimitHistory | None"
    ) -> float:
        """Return the usage of the other hosts, under the current limit."""
        return sum(
            usage.get(account, 0.0)
            * (history.remaining_ratio(version) if history else 1.0)
            for version, usage in self.usage.items()
        )

    def own_part(self, account: AccountId, spare: float) -> float:
        """Return how much of what is spare this host may use of it.

        All of it while what is asked of all hosts fits into it, otherwise a
        part: half of it is divided evenly and half by what was asked of
        each host. The parts of all hosts add up to what is spare.
        """
        offered_per_s = self.offered_per_s.get(account, 0.0)
        if offered_per_s * SUM_IN_USE_S <= spare:
            return spare
        own_ratio = self.own_offered_per_s.get(account, 0.0) / offered_per_s
        return spare * (own_ratio + 1 / (len(self.hosts) + 1)) / 2


@dataclass(kw_only=True, slots=True)
class _LimitHistory:
    """The current limit of an account and its recent reductions.

    `reductions` holds the configuration versions that lowered the limit
    since it was last raised, each with the ratio of the new limit to
    the old one.
    """

    window_limit: float
    reductions: tuple[tuple[int, float], ...] = ()

    def remaining_ratio(self, version: int) -> float:
        """Return the ratio of the limit to that of an older version."""
        return prod(
            ratio for reduced, ratio in self.reductions if reduced > version
        )


class SharedRates:
    """Admits requests up to each limit minus the usage of other hosts."""

    def __init__(
        self, window_s: float, rng: RandomSource | None = None
    ) -> None:
        """Start without usage; `rng` is needed where sums are used."""
        self._window_s = window_s
        self._rng = rng
        self._drawn = 0.0
        self._redraw_at = float("-inf")
        self._own_windows: dict[AccountId, WindowSum] = {}
        self._reports: dict[HostId, _PeerReport] = {}
        self._sum: UsageSum | None = None
        self._offered: dict[AccountId, float] = {}
        self._offered_since = float("-inf")
        self._host_count = 1
        self._report_fresh_s = REPORT_FRESH_S
        self._limits: dict[AccountId, _LimitHistory] = {}
        self._restarted_at: float | None = None
        self._busy_before_restart: frozenset[AccountId] | None = None

    def record_restart(self, now: float) -> None:
        """Record that an earlier process of this host admitted requests.

        How many is unknown, so this host's even share counts as used and
        is freed over the window, at `RESTART_RATE_RATIO` of the rate.
        """
        self._restarted_at = now

    def set_busy_before_restart(self, busy: Iterable[AccountId]) -> None:
        """Set which accounts were busy right before the restart."""
        self._busy_before_restart = frozenset(busy)

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
        own = self._estimate_own_usage(now, account)
        spare = self._available_to_host(now, account) - own
        return spare < self._window_limit(account) * (1 - BUSY_USAGE_RATIO)

    def apply_config(
        self, now: float, version: int, accounts: Iterable[RoutedAccount]
    ) -> None:
        """Apply the limits of a configuration.

        When a limit is lowered, earlier usage is scaled by the same
        ratio, because it was within the limit of its time. `version` is
        compared with the `config_version` of the other hosts' reports.
        """
        for account in accounts:
            window_limit = self._window_limit(account)
            known = self._limits.get(account.account)
            if (
                known is None
                or known.window_limit <= 0
                or window_limit > known.window_limit
            ):
                self._limits[account.account] = _LimitHistory(
                    window_limit=window_limit
                )
            elif window_limit < known.window_limit:
                ratio = window_limit / known.window_limit
                window = self._own_windows.get(account.account)
                if window is not None:
                    window.scale(ratio)
                reductions = (*known.reductions, (version, ratio))[
                    -MAX_REDUCTIONS:
                ]
                history = _LimitHistory(
                    window_limit=window_limit, reductions=reductions
                )
                self._limits[account.account] = history

    def _window_limit(self, account: RoutedAccount) -> float:
        """Return how much an account may use in one window."""
        return account.rate * self._window_s + account.burst

    def set_host_count(self, hosts: int, round_s: float = 0.0) -> None:
        """Set the number of hosts and the time of one report round."""
        self._host_count = max(1, hosts)
        self._report_fresh_s = max(
            REPORT_FRESH_S, REPORT_FRESH_ROUNDS * round_s
        )

    def own_usage(
        self, now: float, accounts: Iterable[RoutedAccount]
    ) -> dict[AccountId, float]:
        """Return this host's usage of the window, to report to others."""
        usage = {a.account: self._estimate_own_usage(now, a) for a in accounts}
        return {
            account: amount for account, amount in usage.items() if amount > 0
        }

    def record_report(
        self,
        now: float,
        host: HostId,
        usage: Mapping[AccountId, float],
        config_version: int = 0,
    ) -> None:
        """Record what another host reports of its usage of the window.

        `config_version` is the version of the configuration that the
        host applies.
        """
        previous = self._reports.get(host)
        report = _PeerReport(
            received_at=now, usage=usage, config_version=config_version
        )
        if previous is not None:
            elapsed_s = max(MIN_REPORT_INTERVAL_S, now - previous.received_at)
            for account, amount in usage.items():
                growth = amount - previous.usage.get(account, 0.0)
                if growth > 0:
                    report.growth_per_s[account] = growth / elapsed_s
        self._reports[host] = report

    def record_sum(self, usage_sum: UsageSum | None) -> None:
        """Replace the sum of the usage of other hosts.

        The report of a host does not count while a sum counts the host.
        """
        self._sum = usage_sum

    def offered_per_s(self, now: float) -> dict[AccountId, float]:
        """Return what was asked of this host since the last call."""
        elapsed_s = max(MIN_REPORT_INTERVAL_S, now - self._offered_since)
        rates = {
            account: amount / elapsed_s
            for account, amount in self._offered.items()
        }
        self._offered.clear()
        self._offered_since = now
        return rates

    def _excess_over_part(
        self, now: float, account: RoutedAccount, cost: float
    ) -> float:
        """Return by how much a request exceeds this host's part of a sum."""
        known = self._sum
        if known is None or now - known.taken_at > REPORT_FRESH_S:
            return 0.0
        own = known.own_usage.get(account.account, 0.0)
        spare = max(0.0, self._available_to_host(now, account) - own)
        used = self._estimate_own_usage(now, account) - own
        part = known.own_part(account.account, spare)
        if now >= self._redraw_at and self._rng is not None:
            self._drawn = self._rng.random()
            self._redraw_at = now + REDRAW_S
        return used + cost * self._drawn - part

    def admit(
        self, now: float, account: RoutedAccount, cost: float
    ) -> float | None:
        """Count a request and return None, or return the time to wait."""
        if account.rate <= 0:
            return None
        excess = self._estimate_own_usage(now, account) + cost
        excess -= self._available_to_host(now, account)
        excess = max(excess, self._excess_over_part(now, account, cost))
        self._offered[account.account] = (
            self._offered.get(account.account, 0.0) + cost
        )
        window = self._own_windows.setdefault(
            account.account, WindowSum(self._window_s)
        )
        if excess > 0:
            refill_s = excess / account.rate
            wait_s = min(refill_s, window.wait_s(now, cost))
            return max(MIN_RETRY_AFTER_S, wait_s)
        window.add(now, cost)
        return None

    def refund(self, now: float, account: RoutedAccount, cost: float) -> None:
        """Return the cost of a counted request that did not run."""
        window = self._own_windows.get(account.account)
        if window is not None:
            window.add(now, -cost)

    def explain(self, now: float, account: RoutedAccount) -> str:
        """Return how a limit is used now, as a text for refusals."""
        window_limit = self._window_limit(account)
        reported, reserved = self._usage_of_others(now, account)
        return (
            f"{self._estimate_own_usage(now, account):.0f} used here, "
            f"{reported:.0f} by other hosts and {reserved:.0f} kept for "
            f"hosts not heard, of {window_limit:.0f} in {self._window_s:g} s"
        )

    def _available_to_host(self, now: float, account: RoutedAccount) -> float:
        """Return the limit minus the usage of the other hosts."""
        return self._window_limit(account) - sum(
            self._usage_of_others(now, account)
        )

    def _usage_of_others(
        self, now: float, account: RoutedAccount
    ) -> tuple[float, float]:
        """Return the reported usage, and the reserve for silent hosts."""
        window_limit = self._window_limit(account)
        history = self._limits.get(account.account)
        covered: frozenset[HostId] = frozenset()
        reported = 0.0
        if (
            self._sum is not None
            and now - self._sum.taken_at <= REPORT_FRESH_S
        ):
            covered = self._sum.hosts
            reported = self._sum.usage_of(account.account, history)
        fresh_count = len(covered)
        for host, report in list(self._reports.items()):
            age_s = now - report.received_at
            if age_s > DEPARTED_AFTER_S:
                del self._reports[host]
            elif host not in covered and age_s <= self._report_fresh_s:
                fresh_count += 1
                usage = report.usage.get(account.account, 0.0)
                # Extrapolates what the host admitted since its report.
                usage += report.growth_per_s.get(account.account, 0.0) * age_s
                if history is not None:
                    usage *= history.remaining_ratio(report.config_version)
                reported += usage
        host_count = max(self._host_count, len(self._reports) + 1)
        silent_count = max(0, host_count - 1 - fresh_count)
        return reported, silent_count * window_limit / host_count

    def _estimate_own_usage(self, now: float, account: RoutedAccount) -> float:
        """Return this host's usage, with that of an earlier process."""
        window = self._own_windows.get(account.account)
        usage = window.total(now) if window else 0.0
        if self._restarted_at is None:
            return usage
        elapsed_s = now - self._restarted_at
        if elapsed_s >= self._window_s:
            self._restarted_at = None
            return usage
        window_limit = self._window_limit(account)
        free = account.rate * elapsed_s * RESTART_RATE_RATIO
        if (
            self._busy_before_restart is not None
            and account.account not in self._busy_before_restart
        ):
            free += window_limit * IDLE_FREE_RATIO
        return usage + max(0.0, window_limit - free) / self._host_count
