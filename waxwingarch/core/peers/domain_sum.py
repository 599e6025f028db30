"""The sum of a failure domain, which this host makes as a collector.

A host acts as collector for the hosts that send it member reports; the role
needs no agreement between hosts.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Final

from waxwingarch.core.backends.load import ServerLoad
from waxwingarch.core.base import AccountId, FailureDomain, HostId, ServerId
from waxwingarch.core.peers.sum_choice import KnownSum, SumChoice, check
from waxwingarch.core.peers.sum_messages import (
    DomainPart,
    DomainSum,
    FleetDigest,
    MemberReport,
    TableVersions,
    VersionedUsage,
)

# A host that has not reported for this long is not counted.
MEMBER_VALID_S: Final = 1.0
# A collector sends no sum before the hosts of its domain had time for two
# reports: an incomplete sum would replace a complete one.
COLLECT_SETTLE_S: Final = 0.4


@dataclass(frozen=True, kw_only=True, slots=True)
class _Member:
    received_at: float
    report: MemberReport


class DomainCollector:
    """Adds up member reports, and keeps the sums of the other domains."""

    def __init__(
        self, host: HostId, incarnation: int, domain: FailureDomain
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._domain = domain
        self._members: dict[HostId, _Member] = {}
        self._began_at = float("inf")
        self._sequence = 0
        self._own_sum: DomainSum | None = None
        self.other_sums = SumChoice()

    def record_member(self, now: float, report: MemberReport) -> str | None:
        """Record a host's report; returns why it is dropped, "" if old."""
        if report.domain != self._domain:
            return "another failure domain"
        known = self._members.get(report.host)
        fault = check(report, known.report if known else None)
        if fault is None:
            if not self._members:
                self._began_at = now
            self._members[report.host] = _Member(
                received_at=now, report=report
            )
        return fault

    def record_sum(self, now: float, domain_sum: DomainSum) -> str | None:
        """Record the sum of another domain; returns why it is dropped."""
        if domain_sum.domain == self._domain:
            return "this failure domain"
        return self.other_sums.record(now, domain_sum)

    def members(self, now: float) -> list[MemberReport]:
        """Return the last reports of the hosts that report to this one."""
        for host, member in list(self._members.items()):
            if now - member.received_at > MEMBER_VALID_S:
                del self._members[host]
        return [member.report for member in self._members.values()]

    def build_sum(self, now: float) -> DomainSum | None:
        """Return the sum of this domain, None while it is incomplete."""
        reports = self.members(now)
        if not reports or now - self._began_at < COLLECT_SETTLE_S:
            return None
        ages_s = [now - m.received_at for m in self._members.values()]
        self._sequence += 1
        self._own_sum = DomainSum(
            domain=self._domain,
            collector=self._host,
            incarnation=self._incarnation,
            sequence=self._sequence,
            age_s=sum(ages_s) / len(ages_s),
            hosts=tuple(report.host for report in reports),
            sequences=tuple(report.sequence for report in reports),
            loads=add_loads(reports),
            usage=add_usage(
                (report.tables.config_version, report.admitted)
                for report in reports
            ),
            offered_per_s=add_amounts(r.offered_per_s for r in reports),
            avoided=Counter(s for report in reports for s in report.avoided),
            tables=self._newest_tables(now),
        )
        return self._own_sum

    def build_digest(self, now: float) -> FleetDigest | None:
        """Return the sums of all domains, after `build_sum`."""
        if self._own_sum is None:
            return None
        own = KnownSum(
            domain_sum=self._own_sum, taken_at=now - self._own_sum.age_s
        )
        known_sums = [own, *self.other_sums.chosen(now).values()]
        sums = [known.domain_sum for known in known_sums]
        return FleetDigest(
            collector=self._host,
            incarnation=self._incarnation,
            sequence=self._own_sum.sequence,
            parts=tuple(
                DomainPart(
                    domain=known.domain_sum.domain,
                    age_s=now - known.taken_at,
                    hosts=known.domain_sum.hosts,
                    avoided=known.domain_sum.avoided,
                )
                for known in known_sums
            ),
            sequences=self._own_sum.sequences,
            loads=add_loads(sums),
            usage=add_usage(
                (version, amounts)
                for domain_sum in sums
                for version, amounts in domain_sum.usage.items()
            ),
            offered_per_s=add_amounts(s.offered_per_s for s in sums),
            tables=self._own_sum.tables,
        )

    def _newest_tables(self, now: float) -> tuple[TableVersions, ...]:
        """Return the newest versions of each table, and who has them.

        The hosts with the newest configuration may have an older listing,
        so that both are named then. The host that is named changes from sum
        to sum, so that pulls are spread.
        """
        tables = [
            replace(
                member.report.tables,
                confirmed_age_s=member.report.tables.confirmed_age_s
                + now
                - member.received_at,
            )
            for member in self._members.values()
        ]
        by_config = max(
            (t.config_version, t.config_number, t.listing_version)
            for t in tables
        )
        by_listing = max(
            (t.listing_version, t.config_version, t.config_number)
            for t in tables
        )
        wanted = {
            (by_config[0], by_config[2], by_config[1]),
            (by_listing[1], by_listing[0], by_listing[2]),
        }
        newest = []
        for versions in sorted(wanted):
            holders = [t for t in tables if t.versions == versions]
            named = holders[self._sequence % len(holders)]
            age_s = min(t.confirmed_age_s for t in holders)
            newest.append(replace(named, confirmed_age_s=age_s))
        return tuple(newest)


def add_usage(
    parts: Iterable[tuple[int, Mapping[AccountId, float]]],
) -> VersionedUsage:
    """Return the sum of usage by configuration version and account."""
    by_version: dict[int, list[Mapping[AccountId, float]]] = {}
    for version, amounts in parts:
        by_version.setdefault(version, []).append(amounts)
    return {v: add_amounts(found) for v, found in by_version.items()}


def add_amounts(
    parts: Iterable[Mapping[AccountId, float]],
) -> dict[AccountId, float]:
    """Return the sum of amounts by account."""
    totals: dict[AccountId, float] = {}
    for amounts in parts:
        for account, amount in amounts.items():
            totals[account] = totals.get(account, 0.0) + amount
    return totals


def add_loads(
    parts: Iterable[DomainSum | MemberReport],
) -> dict[ServerId, ServerLoad]:
    """Return the sum of loads by server."""
    totals: dict[ServerId, list[int]] = {}
    for part in parts:
        for server_id, load in part.loads.items():
            total = totals.get(server_id)
            if total is None:
                total = totals[server_id] = [0, 0, 0]
            total[0] += load.running
            total[1] += load.prefill_tokens
            total[2] += load.kv_tokens
    return {
        server_id: ServerLoad(
            running=running, prefill_tokens=prefill_tokens, kv_tokens=kv_tokens
        )
        for server_id, (running, prefill_tokens, kv_tokens) in totals.items()
    }
