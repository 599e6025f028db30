"""Events and actions of a node that do not belong to one attempt."""

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
    """A caller's request was read, and its account and route are known."""

    request: Request


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerGone(Event):
    """The caller closed its connection before it had the final answer."""

    request_id: RequestId


@dataclass(frozen=True, kw_only=True, slots=True)
class ServersListed(Event):
    """The platform's lists of servers and entry hosts, which may be stale.

    `starting` are the backend servers that are not ready yet.
    """

    servers: tuple[Server, ...]
    starting: tuple[Server, ...] = ()
    entry_hosts: tuple[HostId, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerLeaving(Event):
    """Notice that one incarnation of a server will be removed.

    `deadline_unix` is when its host is taken away, in Unix seconds.
    """

    server_id: ServerId
    incarnation: int
    deadline_unix: float


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadRead(Event):
    """This host polled the load of a server that it watches."""

    load: LoadSummary


@dataclass(frozen=True, kw_only=True, slots=True)
class CacheRead(Event):
    """This host polled the cache events of a server that it watches."""

    server_id: ServerId
    incarnation: int
    events: tuple[CacheEvent, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsParsed(Event):
    """The documents of a settings revision were parsed and validated."""

    revision: int
    contracts: tuple[Contract, ...]
    moves: tuple[MoveRecord, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainRequested(Event):
    """Request to drain: accept no new requests, finish those in progress."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Drained(Action):
    """The drain is complete: no request is left; the process may exit."""
