"""Events, actions and the dump of the cluster core."""

from dataclasses import dataclass

from waxwingarch.core.base import Action, Event, HostId
from waxwingarch.core.cluster.configsync import Basis
from waxwingarch.core.cluster.items import Item
from waxwingarch.core.cluster.members import Member
from waxwingarch.core.cluster.messages import Loan


@dataclass(frozen=True, kw_only=True, slots=True)
class PublishItem(Event):
    """Spread an item: to all hosts, or to the recipients only.

    Load and cache of a server, and shares, are of use to few hosts; in
    a large cluster they are sent to those directly.
    """

    item: Item
    recipients: tuple[HostId, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class SetDraining(Event):
    """This host stops taking new duties, or takes them again."""

    draining: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class Leave(Event):
    """This process ends."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AskApplied(Event):
    """Ask hosts not known to have the revision in force.

    Repeat it until `Cluster.behind` is empty; the answers change it.
    """

    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ClusterDump:
    """State of the cluster core, for a dump on request."""

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
    """Members whose records changed, this host among them."""

    members: tuple[Member, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Superseded(Action):
    """A later process runs as this host elsewhere: this one must stop."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LoanReceived(Action):
    """A peer asks for a loan of a limit, or answers."""

    sender: HostId
    body: Loan
