"""Events and actions of the node that are not of a single attempt."""

from dataclasses import dataclass

from waxwingarch.core.base import Action, Event, RequestId, Server, ServerId
from waxwingarch.core.contract import Contract
from waxwingarch.core.items import Item
from waxwingarch.core.request import Request


@dataclass(frozen=True, kw_only=True, slots=True)
class Tick(Event):
    """Time has passed; sent several times a second."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestArrived(Event):
    """A caller's request was read and identified."""

    request: Request


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerGone(Event):
    """The caller closed its connection before the final answer."""

    request_id: RequestId


@dataclass(frozen=True, kw_only=True, slots=True)
class ServersListed(Event):
    """The platform's list of backend servers, which may be stale."""

    servers: tuple[Server, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerLeaving(Event):
    """A server's incarnation is leaving.

    `deadline` is when its host goes, on the node's monotonic clock;
    `deadline_unix` the same in Unix seconds, for the other hosts.
    """

    server_id: ServerId
    incarnation: int
    deadline: float
    deadline_unix: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ContractsApplied(Event):
    """A settings revision was read."""

    revision: int
    contracts: tuple[Contract, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainRequested(Event):
    """Stop gracefully: no new requests, those in progress finish."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PublishItem(Action):
    """Spread an item to the other entry hosts."""

    item: Item


@dataclass(frozen=True, kw_only=True, slots=True)
class Drained(Action):
    """No request is in progress any more; the process may end."""
