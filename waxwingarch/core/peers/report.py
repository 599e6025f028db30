"""The report that a host sends to its peers, and the events around it."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from waxwingarch.core.backends.evacuations import KeptEvacuation
from waxwingarch.core.backends.load import ServerLoad
from waxwingarch.core.backends.server_limits import ReportedLimit
from waxwingarch.core.base import (
    AccountId,
    Action,
    Event,
    FailureDomain,
    HostId,
    ServerId,
    ServiceId,
)
from waxwingarch.core.moves.move_counts import HostEvidence
from waxwingarch.core.quarantine.quarantine_messages import QuarantineReport
from waxwingarch.core.rollouts.rollout_messages import RolloutPhaseReport

# Requests counted when they began to run, by usage window and account.
WindowCounts = Mapping[int, Mapping[AccountId, int]]


@dataclass(frozen=True, kw_only=True, slots=True)
class HostReport:
    """State of one host; a newer report replaces the one before it.

    `address` is where the host receives reports and answers pulls.
    `avoided` are the servers that its own requests found unhealthy, and
    `lost_services` the services of which it reaches no server.
    `leaving` are the incarnations of servers that announced to it or to
    another host that they are leaving; the listing does not show it yet.
    `limits` are the request rates that servers named in responses to it.
    `brittle_services` are those whose servers called themselves brittle.
    `unix_now` is its estimate of the time of day, in Unix seconds.
    `admitted` is what it used of each account's rate limit over the limit's
    window. `usage_counts` counts requests by the usage window in which they
    began to run; it is None in reports to hosts other than the holder of
    the duties and its standbys.
    `rollouts` and `evidence` are about the version moves under way.
    `config_version` and `listing_version` name the versions of the tables
    that it decides by, and `confirmed_age_s` is how long ago these were
    known to be the newest. `config_number` is the operator's number of the
    configuration in force: the store may have lost its row.
    `quarantine` is about inputs under which servers crash.
    `kept_evacuations` are those whose rows the store has lost.
    `wants_reports` asks the others for their whole reports, as this host
    lacks sums.
    """

    host: HostId
    incarnation: int
    sequence: int
    address: str
    domain: FailureDomain
    unix_now: float
    config_version: int
    listing_version: int
    config_number: int = 0
    confirmed_age_s: float = float("inf")
    draining: bool = False
    holds_duties: bool = False
    loads: Mapping[ServerId, ServerLoad] = field(default_factory=dict)
    avoided: tuple[ServerId, ...] = ()
    lost_services: tuple[ServiceId, ...] = ()
    leaving: Mapping[ServerId, int] = field(default_factory=dict)
    limits: Mapping[ServerId, ReportedLimit] = field(default_factory=dict)
    brittle_services: tuple[ServiceId, ...] = ()
    admitted: Mapping[AccountId, float] = field(default_factory=dict)
    usage_counts: WindowCounts | None = None
    rollouts: tuple[RolloutPhaseReport, ...] = ()
    evidence: tuple[HostEvidence, ...] = ()
    quarantine: QuarantineReport = field(default_factory=QuarantineReport)
    kept_evacuations: Mapping[FailureDomain, KeptEvacuation] = field(
        default_factory=dict
    )
    wants_reports: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportReceived(Event):
    """A report was received from another host."""

    report: HostReport


@dataclass(frozen=True, kw_only=True, slots=True)
class HostsListed(Event):
    """Addresses that hosts registered in the store when they started."""

    addresses: Mapping[HostId, str]


@dataclass(frozen=True, kw_only=True, slots=True)
class SendReport(Action):
    """Send a report to each of these addresses."""

    report: HostReport
    addresses: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class PullState(Action):
    """Pull from a peer the rows that are newer than those of this host."""

    address: str


class SharedTable(StrEnum):
    """Tables of the store that every host keeps a copy of."""

    OPERATOR = "operator"
    SERVERS = "servers"


@dataclass(frozen=True, kw_only=True, slots=True)
class TableChecked(Event):
    """The store confirmed that this host's copy of a table is current."""

    table: SharedTable


@dataclass(frozen=True, kw_only=True, slots=True)
class FollowTables(Action):
    """Start or stop following the tables of the store.

    A call for changes is a long poll that the store holds for `hold_s`.
    """

    follow: bool
    hold_s: float
