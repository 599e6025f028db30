"""Handles sums of the fleet's load and usage on a front host.

In a large fleet a host reports to two collectors of its failure domain, acts
as a collector for the hosts that report to it, and passes the sums that it
gets to the parts that use them.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Final

from waxwingarch.core.backends.load_balancer import LoadBalancer
from waxwingarch.core.base import (
    AccountId,
    Action,
    Event,
    FailureDomain,
    HostId,
)
from waxwingarch.core.front_messages import FrontIdentity
from waxwingarch.core.limits.shared_rate import SharedRates
from waxwingarch.core.node import Handler
from waxwingarch.core.peers.domain_sum import MEMBER_VALID_S, DomainCollector
from waxwingarch.core.peers.fleet_sums import FleetSums, ranked_collectors
from waxwingarch.core.peers.report import HostReport
from waxwingarch.core.peers.report_gossip import ReportGossip
from waxwingarch.core.peers.report_pace import ReportPace
from waxwingarch.core.peers.sum_messages import (
    DomainSumReceived,
    FleetDigestReceived,
    MemberReport,
    MemberReportReceived,
    SendSums,
    SumMessage,
    SumsDropped,
    TableVersions,
)

# A host reports to its collectors, and they send digests, at this interval.
REPORT_INTERVAL_S: Final = 0.2
# Collectors exchange sums at each step: they go to few hosts, and the load
# data of the other domains was 0.58 s old without this, instead of 0.40 s.
SUM_INTERVAL_S: Final = 0.1
# The tick that a message is due at may come this much early.
TICK_TOLERANCE_S: Final = 0.05
# Senders beyond this many are counted but not logged.
MAX_LOGGED_SENDERS: Final = 64


@dataclass(frozen=True, kw_only=True, slots=True)
class SumsState:
    """What operators see of the sums on a host.

    `ages_s` are the ages of the sums by failure domain, and `hosts_counted`
    the other hosts that they count. `dropped` are messages by the reason.
    """

    collectors: tuple[HostId, ...]
    is_collector: bool
    ages_s: Mapping[FailureDomain, float]
    hosts_counted: int
    dropped: Mapping[str, int]


class FrontSums:
    """Sends and receives the messages about sums.

    `own_versions` returns the versions of this host's tables. `dropped`
    counts messages by the reason for which they were dropped.
    """

    def __init__(
        self,
        identity: FrontIdentity,
        gossip: ReportGossip,
        load_balancer: LoadBalancer,
        rates: SharedRates,
        own_versions: Callable[[], tuple[int, int, int]],
        boot_now: Callable[[], float],
    ) -> None:
        self._identity = identity
        self._gossip = gossip
        self._load_balancer = load_balancer
        self._rates = rates
        self._own_versions = own_versions
        self._boot_now = boot_now
        self.fleet = FleetSums(identity.host, identity.domain)
        self.collector = DomainCollector(
            identity.host, identity.incarnation, identity.domain
        )
        self.pace = ReportPace()
        self.dropped: Counter[str] = Counter()
        self._logged_senders: set[HostId] = set()
        self._applied = self.fleet.others
        self._sequence = 0
        self._reported_at = float("-inf")
        self._collected_at = float("-inf")
        self._digest_at = float("-inf")

    def handlers(self) -> Mapping[type[Event], Handler]:
        """Return the handlers of the events about sums."""
        return {
            MemberReportReceived: self._handle_member_report,
            DomainSumReceived: self._handle_domain_sum,
            FleetDigestReceived: self._handle_digest,
        }

    def state(self, now: float) -> SumsState:
        """Return the state of the sums, for operators."""
        others = self.fleet.others
        return SumsState(
            collectors=self.fleet.collectors,
            is_collector=bool(self.collector.members(now)),
            ages_s={d: now - at for d, at in others.taken_at.items()},
            hosts_counted=len(others.covered),
            dropped=self.dropped,
        )

    def tick(
        self, now: float, build_report: Callable[[], HostReport]
    ) -> list[Action]:
        """Send what is due, and drop sums that are too old.

        `build_report` returns this host's whole report.
        """
        self._apply(now)
        if not self._gossip.is_large_fleet:
            return []
        actions: list[Action] = []
        if _is_due(now, self._reported_at, REPORT_INTERVAL_S):
            self._reported_at = now
            actions += self._report(now, build_report())
        if _is_due(
            now, self._collected_at, SUM_INTERVAL_S
        ) and self.collector.members(now):
            self._collected_at = now
            actions += self._collect(now)
        return actions

    @property
    def are_missing(self) -> bool:
        """Whether this host needs the whole reports of a large fleet."""
        return self._gossip.is_large_fleet and not self.pace.sums_suffice

    def may_send_few(
        self, now: float, build_report: Callable[[], HostReport]
    ) -> bool:
        """Return whether this host's whole report may go to few hosts."""
        return self._gossip.is_large_fleet and self.pace.may_send_few(
            now, build_report
        )

    def _hosts_by_domain(
        self, now: float
    ) -> dict[FailureDomain, list[HostId]]:
        """Return the live other hosts that are not stopping."""
        hosts: dict[FailureDomain, list[HostId]] = {}
        for report in self._gossip.peers.live_reports(now):
            if not report.draining:
                hosts.setdefault(report.domain, []).append(report.host)
        return hosts

    def _send(
        self, message: SumMessage, hosts: Iterable[HostId]
    ) -> list[Action]:
        """Send a message to other hosts, those of unknown address excepted."""
        peers = (self._gossip.peers.get(host) for host in hosts)
        addresses = tuple(peer.address for peer in peers if peer is not None)
        if not addresses:
            return []
        return [SendSums(message=message, addresses=addresses)]

    # This host as a member

    def _report(self, now: float, whole: HostReport) -> list[Action]:
        """Report to the collectors, which may have changed."""
        self.pace.update(
            now, self.fleet.others, self._gossip.peers.live_reports(now)
        )
        hosts = self._hosts_by_domain(now).get(whole.domain, [])
        if not whole.draining:
            hosts.append(whole.host)
        actions: list[Action] = [*self.fleet.choose_collectors(now, hosts)]
        self._sequence += 1
        report = _member_report(
            whole, self._sequence, self._rates.offered_per_s(now)
        )
        self.fleet.record_own_report(report)
        if whole.host in self.fleet.collectors:
            self.collector.record_member(now, report)
        return actions + self._send(report, self.fleet.collectors)

    def _handle_digest(
        self, now: float, event: FleetDigestReceived
    ) -> list[Action]:
        digest = event.digest
        reason = self.fleet.record_digest(now, digest)
        actions = self._note_dropped(digest.collector, reason)
        self._apply(now)
        for part in digest.parts if reason is None else ():
            self._gossip.peers.record_heard(
                part.hosts, now - part.age_s - MEMBER_VALID_S
            )
        return actions + self._compare(now, self.fleet.others.tables)

    def _compare(
        self, now: float, found: Iterable[TableVersions]
    ) -> list[Action]:
        """Compare other hosts' tables with those of this host."""
        own_versions = self._own_versions()
        return [
            action
            for tables in found
            for action in self._gossip.compare_tables(
                now, self._boot_now(), tables, own_versions
            )
        ]

    def _apply(self, now: float) -> None:
        """Pass the sums that count now to the parts that use them."""
        others = self.fleet.refresh(now)
        if others is self._applied:
            return
        self._applied = others
        balancer = self._load_balancer
        balancer.loads.record_sums(others.loads, others.covered)
        balancer.peer_evidence.record_sums(others.avoided, others.covered)
        self._rates.record_sum(others.usage)

    # This host as a collector

    def _handle_member_report(
        self, now: float, event: MemberReportReceived
    ) -> list[Action]:
        report = event.report
        reason = self.collector.record_member(now, report)
        return self._note_dropped(report.host, reason)

    def _handle_domain_sum(
        self, now: float, event: DomainSumReceived
    ) -> list[Action]:
        """Record the sum of another domain, and pull newer tables.

        Other hosts pull from hosts of their own domain, so that a change
        does not make the whole fleet call the few hosts that follow the
        store.
        """
        domain_sum = event.domain_sum
        peer = self._gossip.peers.get(domain_sum.collector)
        report = peer.last_report if peer else None
        if report is not None and report.domain != domain_sum.domain:
            reason: str | None = "another failure domain"
        else:
            reason = self.collector.record_sum(now, domain_sum)
        if reason:
            return self._note_dropped(domain_sum.collector, reason)
        return self._compare(now, domain_sum.tables)

    def _collect(self, now: float) -> list[Action]:
        """Send the sum of this domain, and the sums of all to the members."""
        domain_sum = self.collector.build_sum(now)
        if domain_sum is None:
            return []
        others = self._other_collectors(now)
        actions = self._send(replace(domain_sum, sequences=()), others)
        if not _is_due(now, self._digest_at, REPORT_INTERVAL_S):
            return actions
        digest = self.collector.build_digest(now)
        if digest is None:
            return actions
        self._digest_at = now
        if self._identity.host in domain_sum.hosts:
            actions += self._handle_digest(
                now, FleetDigestReceived(digest=digest)
            )
        return actions + self._send(digest, domain_sum.hosts)

    def _other_collectors(self, now: float) -> list[HostId]:
        """Return the collectors of the other domains.

        Those that are first in rank may be lost: the hosts that took their
        place are known by their sums before the others count as silent.
        """
        collectors = self.collector.other_sums.collectors(now)
        for domain, hosts in self._hosts_by_domain(now).items():
            if domain != self._identity.domain:
                collectors.update(ranked_collectors(hosts))
        return sorted(collectors)

    def _note_dropped(
        self, sender: HostId, reason: str | None
    ) -> list[Action]:
        """Count a dropped message; the first of each sender is logged."""
        if not reason:
            return []
        self.dropped[reason] += 1
        if (
            sender in self._logged_senders
            or len(self._logged_senders) >= MAX_LOGGED_SENDERS
        ):
            return []
        self._logged_senders.add(sender)
        return [SumsDropped(sender=sender, reason=reason)]


def _is_due(now: float, last_at: float, interval_s: float) -> bool:
    return now - last_at >= interval_s - TICK_TOLERANCE_S


def _member_report(
    whole: HostReport,
    sequence: int,
    offered_per_s: Mapping[AccountId, float],
) -> MemberReport:
    """Return the part of a whole report that is added up."""
    return MemberReport(
        host=whole.host,
        incarnation=whole.incarnation,
        sequence=sequence,
        domain=whole.domain,
        tables=TableVersions(
            config_version=whole.config_version,
            listing_version=whole.listing_version,
            config_number=whole.config_number,
            confirmed_age_s=whole.confirmed_age_s,
            address=whole.address,
        ),
        loads=whole.loads,
        admitted=whole.admitted,
        offered_per_s=offered_per_s,
        avoided=whole.avoided,
        draining=whole.draining,
    )
