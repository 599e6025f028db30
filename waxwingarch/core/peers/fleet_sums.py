"""What a host knows of the others from digests, and whom it reports to."""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Final

from waxwingarch.core.backends.load import ServerLoad
from waxwingarch.core.base import FailureDomain, HostId, ServerId
from waxwingarch.core.limits.shared_rate import UsageSum
from waxwingarch.core.peers.domain_sum import COLLECT_SETTLE_S, add_loads
from waxwingarch.core.peers.rank import rank_weight
from waxwingarch.core.peers.sum_choice import KnownSum, SumChoice, fault_of
from waxwingarch.core.peers.sum_messages import (
    CollectorsChanged,
    DomainSum,
    FleetDigest,
    MemberReport,
    TableVersions,
)

COLLECTORS_PER_DOMAIN: Final = 2
# A collector from which no digest comes for this long is replaced by the
# next host in rank: three digests were lost, or it is gone.
DIGEST_SILENCE_S: Final = 0.6
# A silent collector is tried again after this time. The host has dropped
# out of the live ones by then if it is down.
RETRY_COLLECTOR_S: Final = 5.0
# Own reports that are kept to be subtracted from sums: those of the time in
# which a sum is valid, at two reports a step of 0.1 s.
MAX_OWN_REPORTS: Final = 32

_COLLECTOR_SALT: Final = "/collector"


def ranked_collectors(
    hosts: Iterable[HostId], count: int = COLLECTORS_PER_DOMAIN
) -> tuple[HostId, ...]:
    """Return the hosts of a failure domain that are first in rank."""
    ranked = sorted(
        hosts,
        key=lambda host: rank_weight(host, _COLLECTOR_SALT),
        reverse=True,
    )
    return tuple(ranked[:count])


@dataclass(frozen=True, kw_only=True, slots=True)
class OtherHosts:
    """The sums over the other hosts, without this host's part.

    `covered` are the other hosts counted, and `heard_at` is when each
    domain's sum was taken. `avoided` are the servers that other hosts of a
    domain avoid, and `tables` the newest ones in this host's domain.
    """

    covered: frozenset[HostId] = frozenset()
    counts_own: bool = False
    loads: Mapping[ServerId, ServerLoad] = field(default_factory=dict)
    usage: tuple[UsageSum, ...] = ()
    avoided: Mapping[FailureDomain, frozenset[ServerId]] = field(
        default_factory=dict
    )
    tables: tuple[TableVersions, ...] = ()
    taken_at: Mapping[FailureDomain, float] = field(default_factory=dict)


class FleetSums:
    """The chosen collectors of this host, and the sums it got from them."""

    def __init__(self, host: HostId, domain: FailureDomain) -> None:
        self._host = host
        self._domain = domain
        self._sums = SumChoice()
        self._own_reports: OrderedDict[int, MemberReport] = OrderedDict()
        self._heard_at: dict[HostId, float] = {}
        self._chosen_at: dict[HostId, float] = {}
        self._silent_until: dict[HostId, float] = {}
        self.collectors: tuple[HostId, ...] = ()
        self.others = OtherHosts()
        self._chosen: Mapping[FailureDomain, KnownSum] = {}

    # Collectors

    def choose_collectors(
        self, now: float, hosts: Iterable[HostId]
    ) -> list[CollectorsChanged]:
        """Choose among the live hosts of the domain; returns only a change."""
        for host in self.collectors:
            heard_at = max(
                self._heard_at.get(host, float("-inf")),
                self._chosen_at[host] + COLLECT_SETTLE_S,
            )
            if host != self._host and now - heard_at > DIGEST_SILENCE_S:
                self._silent_until[host] = now + RETRY_COLLECTOR_S
        silent = tuple(
            host for host, until in self._silent_until.items() if now < until
        )
        self._silent_until = {h: self._silent_until[h] for h in silent}
        chosen = ranked_collectors(h for h in hosts if h not in silent)
        if chosen == self.collectors:
            return []
        self._chosen_at = {h: self._chosen_at.get(h, now) for h in chosen}
        self._heard_at = {
            h: at for h, at in self._heard_at.items() if h in chosen
        }
        self.collectors = chosen
        return [CollectorsChanged(collectors=chosen, silent=silent)]

    def record_own_report(self, report: MemberReport) -> None:
        """Keep an own report, to subtract it from sums that count it."""
        self._own_reports[report.sequence] = report
        if len(self._own_reports) > MAX_OWN_REPORTS:
            self._own_reports.popitem(last=False)

    # Sums

    def record_digest(self, now: float, digest: FleetDigest) -> str | None:
        """Record the sums in a digest; returns why one is dropped."""
        if digest.domain != self._domain:
            return "another failure domain"
        self._heard_at[digest.collector] = now
        reason = None
        for domain_sum in digest.sums:
            reason = self._sums.record(now, domain_sum) or reason
        return reason

    def refresh(self, now: float) -> OtherHosts:
        """Choose the sums that count now and subtract this host's part.

        Returns the same object as long as the same sums count.
        """
        chosen = self._sums.chosen(now)
        if chosen == self._chosen:
            return self.others
        self._chosen = chosen
        usable = {}
        for domain, known in chosen.items():
            rest = self._without_own(known.domain_sum)
            if rest is not None:
                usable[domain] = KnownSum(
                    domain_sum=rest, taken_at=known.taken_at
                )
        sums = [known.domain_sum for known in usable.values()]
        own_domain = usable.get(self._domain)
        covered = frozenset(h for s in sums for h in s.hosts)
        self.others = OtherHosts(
            covered=covered - {self._host},
            counts_own=self._host in covered,
            loads=add_loads(sums),
            usage=tuple(
                UsageSum(
                    source=(
                        known.domain_sum.domain,
                        known.domain_sum.collector,
                    ),
                    taken_at=known.taken_at,
                    hosts=frozenset(known.domain_sum.hosts) - {self._host},
                    usage=known.domain_sum.usage,
                )
                for known in usable.values()
            ),
            avoided={s.domain: frozenset(s.avoided) for s in sums},
            tables=own_domain.domain_sum.tables if own_domain else (),
            taken_at={d: known.taken_at for d, known in usable.items()},
        )
        return self.others

    def _without_own(self, domain_sum: DomainSum) -> DomainSum | None:
        """Return a sum without this host's part; None if that is unknown.

        The sum may count a report of an earlier process of this host.
        """
        if self._host not in domain_sum.hosts:
            return domain_sum
        if len(domain_sum.sequences) != len(domain_sum.hosts):
            return None
        index = domain_sum.hosts.index(self._host)
        own = self._own_reports.get(domain_sum.sequences[index])
        if own is None:
            return None
        rest = _subtract(domain_sum, own)
        return None if fault_of(rest) else rest


def _subtract(domain_sum: DomainSum, own: MemberReport) -> DomainSum:
    """Return a sum less the report of a host that it counts.

    Amounts of usage are rounded when they are sent, so that a rest may come
    out just below 0.
    """
    loads = dict(domain_sum.loads)
    for server_id, load in own.loads.items():
        known = loads.get(server_id, ServerLoad())
        loads[server_id] = ServerLoad(
            running=known.running - load.running,
            prefill_tokens=known.prefill_tokens - load.prefill_tokens,
            kv_tokens=known.kv_tokens - load.kv_tokens,
        )
    version = own.tables.config_version
    usage = {**domain_sum.usage}
    usage[version] = {
        account: max(0.0, amount - own.admitted.get(account, 0.0))
        for account, amount in usage.get(version, {}).items()
    }
    avoided = dict(domain_sum.avoided)
    for server_id in own.avoided:
        avoided[server_id] = avoided.get(server_id, 0) - 1
    return replace(
        domain_sum,
        loads={s: load for s, load in loads.items() if load != ServerLoad()},
        usage=usage,
        avoided={s: count for s, count in avoided.items() if count},
    )
