"""Events, actions and the dump of the cluster core."""

from dataclasses import dataclass

from waxwingarch.core.base import Action, Event, HostId
from waxwingarch.core.cluster.configsync import Basis
from waxwingarch.core.cluster.items import Item
from waxwingarch.core.cluster.members import Member
from waxwingarch.core.cluster.messages import Loan


@dataclass(frozen=True, kw_only=True, slots=True)
class PublishItem(Event):
    """Publish an item to all hosts, or to the recipients only.

    The load and cache of a server, and shares, are of use to few hosts;
    in a large cluster they are sent directly to those.
    """

    item: Item
    recipients: tuple[HostId, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class SetDraining(Event):
    """This host stops accepting new duties, or accepts them again."""

    draining: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class Leave(Event):
    """This process ends; peers are notified."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AskApplied(Event):
    """Probe hosts that are not known to have the revision in force.

    Their answers carry it. To be repeated until `Cluster.hosts_behind` is
    empty.
    """

    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ClusterDump:
    """State of the cluster core, for a dump on request.

    `watches_table` says that this host polls the table for the revision.
    """

    own: Member
    members: tuple[Member, ...]
    ready: bool
    basis: Basis
    applied: int
    wanted: int
    in_sync: bool
    watches_table: bool
    items: dict[str, int]
    waiting_records: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ItemsChanged(Action):
    """Items that are new or changed on this host."""

    items: tuple[Item, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class MembersChanged(Action):
    """Members whose records changed; this host may be among them."""

    members: tuple[Member, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Superseded(Action):
    """A later process with this host id runs elsewhere; stop this one."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LoanReceived(Action):
    """A peer asks for a loan of an account's limit, or answers."""

    sender: HostId
    body: Loan
