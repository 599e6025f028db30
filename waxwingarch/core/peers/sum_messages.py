"""Messages that carry sums of the fleet's load, and the events around them.

Hosts of a failure domain send a `MemberReport` to the collectors of their
domain. Collectors exchange a `DomainSum` and send a `FleetDigest` to the
hosts that reported to them.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from waxwingarch.core.backends.load import ServerLoad
from waxwingarch.core.base import (
    AccountId,
    Action,
    Event,
    FailureDomain,
    HostId,
    ServerId,
)

# What was used of each account's limit, by the version of the configuration
# under which it was counted.
VersionedUsage = Mapping[int, Mapping[AccountId, float]]


@dataclass(frozen=True, kw_only=True, slots=True)
class TableVersions:
    """The versions of the tables on a host, which can be pulled from it.

    `confirmed_age_s` is how long ago they were known to be the newest.
    """

    config_version: int
    listing_version: int
    config_number: int
    confirmed_age_s: float
    address: str

    @property
    def versions(self) -> tuple[int, int, int]:
        """Return the versions without their age."""
        return self.config_version, self.listing_version, self.config_number


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberReport:
    """What a host tells the collectors of its failure domain.

    `admitted` is what it used of each account's limit, counted under the
    configuration in `tables`, and `offered_per_s` what was asked of it of
    late, with what it refused for the limit. `sequence` names the report, so
    that the host can subtract its own part of a sum.
    """

    host: HostId
    incarnation: int
    sequence: int
    domain: FailureDomain
    tables: TableVersions
    loads: Mapping[ServerId, ServerLoad] = field(default_factory=dict)
    admitted: Mapping[AccountId, float] = field(default_factory=dict)
    offered_per_s: Mapping[AccountId, float] = field(default_factory=dict)
    avoided: tuple[ServerId, ...] = ()
    draining: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class DomainSum:
    """The sum of what the hosts of one failure domain reported.

    `hosts` are those counted, and `sequences` the numbers of their reports
    in the same order, which are left out in other domains. `age_s` is the
    mean age of the reports. `avoided` says how many hosts avoid a server.
    `tables` are the newest versions that hosts of the domain have.
    """

    domain: FailureDomain
    collector: HostId
    incarnation: int
    sequence: int
    age_s: float
    hosts: tuple[HostId, ...]
    sequences: tuple[int, ...] = ()
    loads: Mapping[ServerId, ServerLoad] = field(default_factory=dict)
    usage: VersionedUsage = field(default_factory=dict)
    offered_per_s: Mapping[AccountId, float] = field(default_factory=dict)
    avoided: Mapping[ServerId, int] = field(default_factory=dict)
    tables: tuple[TableVersions, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class DomainPart:
    """What a digest says of one failure domain: a sum without its amounts.

    `avoided` says how many hosts of the domain avoid a server.
    """

    domain: FailureDomain
    age_s: float
    hosts: tuple[HostId, ...]
    avoided: Mapping[ServerId, int] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetDigest:
    """The sum over all failure domains, from one collector.

    It has one sum of each domain in `parts`. The domains are added up by
    the collector, so that each of its hosts need not do so. `sequences` are
    those of the reports of the hosts in the first part, which is the
    collector's own domain, and `tables` the newest ones there.
    """

    collector: HostId
    incarnation: int
    sequence: int
    parts: tuple[DomainPart, ...]
    sequences: tuple[int, ...]
    loads: Mapping[ServerId, ServerLoad] = field(default_factory=dict)
    usage: VersionedUsage = field(default_factory=dict)
    offered_per_s: Mapping[AccountId, float] = field(default_factory=dict)
    tables: tuple[TableVersions, ...] = ()

    @property
    def domain(self) -> FailureDomain:
        """Return the collector's domain."""
        return self.parts[0].domain

    @property
    def hosts(self) -> frozenset[HostId]:
        """Return the hosts that are counted."""
        return frozenset(host for part in self.parts for host in part.hosts)

    @property
    def host_count(self) -> int:
        """Return how many hosts are counted."""
        return sum(len(part.hosts) for part in self.parts)

    @property
    def age_s(self) -> float:
        """Return the mean age of the reports of the hosts counted."""
        return (
            sum(part.age_s * len(part.hosts) for part in self.parts)
            / self.host_count
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberReportReceived(Event):
    """A host reported to this host as its collector."""

    report: MemberReport


@dataclass(frozen=True, kw_only=True, slots=True)
class DomainSumReceived(Event):
    """A collector of another failure domain sent its sum."""

    domain_sum: DomainSum


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetDigestReceived(Event):
    """A collector of this host's failure domain sent the sums."""

    digest: FleetDigest


SumMessage = MemberReport | DomainSum | FleetDigest


def received(message: SumMessage) -> Event:
    """Return the event that a message was received."""
    match message:
        case MemberReport():
            return MemberReportReceived(report=message)
        case DomainSum():
            return DomainSumReceived(domain_sum=message)
        case FleetDigest():
            return FleetDigestReceived(digest=message)


@dataclass(frozen=True, kw_only=True, slots=True)
class SendSums(Action):
    """Send a message about sums to each of these addresses."""

    message: SumMessage
    addresses: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class CollectorsChanged(Action):
    """This host reports to other collectors than before."""

    collectors: tuple[HostId, ...]
    silent: tuple[HostId, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class SumsDropped(Action):
    """The first message of a sender was dropped for this reason."""

    sender: HostId
    reason: str
