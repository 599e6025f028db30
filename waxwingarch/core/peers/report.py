"""The report that a host sends to the others."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from waxwingarch.core.backends.load import ServerLoad
from waxwingarch.core.base import (
    AccountId,
    Action,
    Event,
    FailureDomain,
    HostId,
    ServerId,
)
from waxwingarch.core.moves.move_counts import HostEvidence
from waxwingarch.core.rollouts.rollout_messages import RolloutPhaseReport

# Requests that began to run, by usage window and account.
WindowCounts = Mapping[int, Mapping[AccountId, int]]


@dataclass(frozen=True, kw_only=True, slots=True)
class HostReport:
    """What one host knows and does; each report replaces the last.

    `address` is where the host takes reports and answers pulls.
    `avoided` are the servers that its own requests found bad.
    `unix_now` is its idea of the time of day in seconds. `admitted` is
    what it used of the accounts' rates over their window. `usage_counts`
    are the requests that began to run by usage window; None where the
    receiver is not one that may hold the duties.
    `rollouts` and `evidence` are about the version moves under way.
    `config_version` and `listing_version` name its beliefs, and
    `confirmed_age_s` is how long ago they were the newest there are.
    """

    host: HostId
    incarnation: int
    sequence: int
    address: str
    domain: FailureDomain
    unix_now: float
    config_version: int
    listing_version: int
    confirmed_age_s: float = float("inf")
    draining: bool = False
    holds_duties: bool = False
    loads: Mapping[ServerId, ServerLoad] = field(default_factory=dict)
    avoided: tuple[ServerId, ...] = ()
    admitted: Mapping[AccountId, float] = field(default_factory=dict)
    usage_counts: WindowCounts | None = None
    rollouts: tuple[RolloutPhaseReport, ...] = ()
    evidence: tuple[HostEvidence, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportReceived(Event):
    """A report came from another host."""

    report: HostReport


@dataclass(frozen=True, kw_only=True, slots=True)
class HostsListed(Event):
    """Addresses of hosts, as they were written down at their starts."""

    addresses: Mapping[HostId, str]


@dataclass(frozen=True, kw_only=True, slots=True)
class SendReport(Action):
    """Send a report to some addresses."""

    report: HostReport
    addresses: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class PullState(Action):
    """Ask a peer for what it knows newer than this host."""

    address: str


class SharedTable(StrEnum):
    """The tables of the store that all hosts have to know."""

    OPERATOR = "operator"
    SERVERS = "servers"


@dataclass(frozen=True, kw_only=True, slots=True)
class TableChecked(Event):
    """The store said what the newest version of a table is."""

    table: SharedTable


@dataclass(frozen=True, kw_only=True, slots=True)
class FollowTables(Action):
    """Ask the store for changes, each call held for `hold_s`; or stop."""

    follow: bool
    hold_s: float
