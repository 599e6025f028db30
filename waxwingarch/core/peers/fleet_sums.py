"""What a host knows of the others from digests, and whom it reports to."""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from waxwingarch.core.backends.load import ServerLoad
from waxwingarch.core.base import AccountId, FailureDomain, HostId, ServerId
from waxwingarch.core.limits.shared_rate import UsageSum
from waxwingarch.core.peers.domain_sum import COLLECT_SETTLE_S
from waxwingarch.core.peers.rank import rank_weight
from waxwingarch.core.peers.sum_choice import check
from waxwingarch.core.peers.sum_messages import (
    CollectorsChanged,
    FleetDigest,
    MemberReport,
    TableVersions,
)

COLLECTORS_PER_DOMAIN: Final = 2
# A collector from which no digest comes for this long is replaced by the
# next host in rank: three digests were lost, or it is gone.
DIGEST_SILENCE_S: Final = 0.6
# A digest that is older than this is dropped, so that the whole reports count
# again. Collectors drop the sums of other domains by their own age.
DIGEST_VALID_S: Final = 1.0
# A digest that is newer by less than this does not replace another one.
MIN_NEWER_S: Final = 0.05
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
    usage: UsageSum | None = None
    avoided: Mapping[FailureDomain, frozenset[ServerId]] = field(
        default_factory=dict
    )
    tables: tuple[TableVersions, ...] = ()
    taken_at: Mapping[FailureDomain, float] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class _KnownDigest:
    """A digest, and when its reports were made on average."""

    digest: FleetDigest
    received_at: float
    taken_at: float

    def is_fresh(self, now: float) -> bool:
        return now - self.received_at <= DIGEST_SILENCE_S


class FleetSums:
    """The chosen collectors of this host, and the sums it got from them."""

    def __init__(self, host: HostId, domain: FailureDomain) -> None:
        self._host = host
        self._domain = domain
        self._digests: dict[HostId, _KnownDigest] = {}
        self._own_reports: OrderedDict[int, MemberReport] = OrderedDict()
        self._heard_at: dict[HostId, float] = {}
        self._chosen_at: dict[HostId, float] = {}
        self._silent_until: dict[HostId, float] = {}
        self.collectors: tuple[HostId, ...] = ()
        self.others = OtherHosts()
        self._chosen: _KnownDigest | None = None

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
        """Record a digest; returns why it is dropped, "" if it is not new."""
        if digest.domain != self._domain:
            return "another failure domain"
        known = self._digests.get(digest.collector)
        fault = check(digest, known.digest if known else None)
        if fault is None:
            self._heard_at[digest.collector] = now
            self._digests[digest.collector] = _KnownDigest(
                digest=digest, received_at=now, taken_at=now - digest.age_s
            )
        return fault

    def refresh(self, now: float) -> OtherHosts:
        """Choose the digest that counts now and subtract this host's part.

        One of more hosts is preferred: the other collector may have just
        begun. Returns the same object as long as the same digest counts.
        """
        self._digests = {
            collector: known
            for collector, known in self._digests.items()
            if now - known.received_at <= DIGEST_VALID_S
        }
        chosen = max(
            self._digests.values(),
            key=lambda known: (
                known.digest.host_count if known.is_fresh(now) else 0,
                known.taken_at,
            ),
            default=None,
        )
        if not self._is_better(now, chosen):
            return self.others
        self._chosen = chosen
        self.others = OtherHosts() if chosen is None else self._rest(chosen)
        return self.others

    def _is_better(self, now: float, digest: _KnownDigest | None) -> bool:
        """Return whether a digest is to replace the one that counts.

        The digests of both collectors often come together and say the same.
        """
        last = self._chosen
        if last is None or digest is None or not last.is_fresh(now):
            return digest is not last
        return (
            digest.digest.host_count != last.digest.host_count
            or digest.taken_at - last.taken_at >= MIN_NEWER_S
        )

    def _rest(self, known: _KnownDigest) -> OtherHosts:
        """Return a digest without this host's part.

        It does not count if that is unknown: it may have the report of an
        earlier process of this host.
        """
        digest = known.digest
        hosts = digest.parts[0].hosts
        counts_own = self._host in hosts
        loads = digest.loads
        usage_sum = None
        own_avoided: tuple[ServerId, ...] = ()
        if counts_own:
            if len(digest.sequences) != len(hosts):
                return OtherHosts()
            sequence = digest.sequences[hosts.index(self._host)]
            own = self._own_reports.get(sequence)
            if own is None:
                return OtherHosts()
            loads = _subtract_loads(digest.loads, own.loads)
            if any(loads[s].running < 0 for s in own.loads if s in loads):
                return OtherHosts()
            own_avoided = own.avoided
            usage_sum = self._usage_of_others(known, own)
        covered = digest.hosts - {self._host}
        return OtherHosts(
            covered=covered,
            counts_own=counts_own,
            loads=loads,
            usage=usage_sum,
            avoided={
                part.domain: frozenset(
                    server_id
                    for server_id, count in part.avoided.items()
                    if part.domain != self._domain
                    or count > (server_id in own_avoided)
                )
                for part in digest.parts
            },
            tables=digest.tables,
            taken_at={
                part.domain: known.received_at - part.age_s
                for part in digest.parts
            },
        )

    def _usage_of_others(
        self, known: _KnownDigest, own: MemberReport
    ) -> UsageSum:
        digest = known.digest
        version = own.tables.config_version
        own_usage = digest.usage.get(version, {})
        return UsageSum(
            taken_at=known.taken_at,
            hosts=digest.hosts - {self._host},
            usage={
                **digest.usage,
                version: _subtract(own_usage, own.admitted),
            },
            offered_per_s=digest.offered_per_s,
            own_usage=own.admitted,
            own_offered_per_s=own.offered_per_s,
        )


def _subtract_loads(
    total: Mapping[ServerId, ServerLoad], own: Mapping[ServerId, ServerLoad]
) -> dict[ServerId, ServerLoad]:
    """Return loads less those of a host that is counted."""
    loads = dict(total)
    for server_id, load in own.items():
        known = loads.pop(server_id, ServerLoad())
        rest = ServerLoad(
            running=known.running - load.running,
            prefill_tokens=known.prefill_tokens - load.prefill_tokens,
            kv_tokens=known.kv_tokens - load.kv_tokens,
        )
        if rest.running:
            loads[server_id] = rest
    return loads


def _subtract(
    total: Mapping[AccountId, float], own: Mapping[AccountId, float]
) -> dict[AccountId, float]:
    """Return amounts less those of a host that is counted.

    Amounts are rounded when they are sent, so that a rest may come out just
    below 0.
    """
    return {
        account: max(0.0, amount - own.get(account, 0.0))
        for account, amount in total.items()
    }
