"""Events and actions of the node that are not of a single attempt."""

from dataclasses import dataclass

from waxwingarch.core.base import (
    Action,
    Event,
    HostId,
    RequestId,
    Server,
    ServerId,
)
from waxwingarch.core.cluster.items import LoadSummary
from waxwingarch.core.contracts.contract import Contract
from waxwingarch.core.moves.move_record import MoveRecord
from waxwingarch.core.placement.prefix import CacheEvent
from waxwingarch.core.request import Request


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
    starting: tuple[Server, ...] = ()
    entry_hosts: tuple[HostId, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerLeaving(Event):
    """A server's incarnation is leaving.

    `deadline_unix` is when its host goes, in Unix seconds.
    """

    server_id: ServerId
    incarnation: int
    deadline_unix: float


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadRead(Event):
    """This host read the load of a server that it watches."""

    load: LoadSummary


@dataclass(frozen=True, kw_only=True, slots=True)
class CacheRead(Event):
    """This host read cache events of a server that it watches."""

    server_id: ServerId
    incarnation: int
    events: tuple[CacheEvent, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsParsed(Event):
    """The documents of a settings revision were read and checked."""

    revision: int
    contracts: tuple[Contract, ...]
    moves: tuple[MoveRecord, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainRequested(Event):
    """Stop gracefully: no new requests, those in progress finish."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Drained(Action):
    """No request is in progress any more; the process may end."""
