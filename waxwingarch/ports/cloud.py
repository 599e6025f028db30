"""The cloud API, as the daemon sees it."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from waxwingarch.core.base import (
    FailureDomain,
    HostId,
    Server,
    ServerId,
    ServerKind,
    ServiceId,
    VersionId,
)
from waxwingarch.exceptions import WaxwingError


class StartRefusedError(WaxwingError):
    """The cloud has no capacity for this offer; try another one."""


class StaleFencingTokenError(WaxwingError):
    """A newer holder has given orders; stop acting and acquire again."""


class ServerState(StrEnum):
    """States of a server in the cloud's lagging list."""

    STARTING = "starting"
    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedServer:
    """A backend server and its state in the list."""

    server: Server
    state: ServerState


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryHost:
    """An entry host; addresses are "ip:port"."""

    host_id: HostId
    region: str
    failure_domain: FailureDomain
    http: str
    peer_tcp: str
    peer_udp: str
    incarnation: int


@dataclass(frozen=True, kw_only=True, slots=True)
class HostList:
    """The cloud's list; `as_of` is in Unix seconds and lags."""

    servers: tuple[ListedServer, ...]
    entry_hosts: tuple[EntryHost, ...]
    as_of: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Offer:
    """Hosts that can be started; `price` is in cost units an hour."""

    machine_class: str
    failure_domain: FailureDomain
    reclaimable: bool
    price: float
    available: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StartOrder:
    """An order for one server; idempotent by `order_id`."""

    order_id: str
    service: ServiceId
    kind: ServerKind
    version: VersionId
    machine_class: str
    failure_domain: FailureDomain
    reclaimable: bool
    fencing: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ReclaimNotice:
    """A reclaim notice for a server or an entry host.

    `deadline_unix` is when the host goes, in Unix seconds. Notices can
    be repeated, late, or for incarnations already gone.
    """

    seq: int
    incarnation: int
    deadline_unix: float
    server_id: ServerId | None = None
    host_id: HostId | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ReclaimNotices:
    """Notices after a sequence number; ask again after `seq`."""

    notices: tuple[ReclaimNotice, ...]
    seq: int


class Cloud(Protocol):
    """The cloud API; raises `PlatformUnavailableError` throughout."""

    async def async_hosts(self, *, deadline: float) -> HostList:
        """Return the lagging list of hosts."""

    async def async_offers(self, *, deadline: float) -> tuple[Offer, ...]:
        """Return what can be started now."""

    async def async_start(
        self, order: StartOrder, *, deadline: float
    ) -> ServerId:
        """Start a server; repeating an order id is harmless.

        Raises `StartRefusedError`, `OldFencingError`.
        """

    async def async_stop(
        self, server_id: ServerId, fencing: int, *, deadline: float
    ) -> None:
        """Stop a server; raises `OldFencingError`."""

    async def async_notices(
        self, after: int, *, wait_s: float, deadline: float
    ) -> ReclaimNotices:
        """Return notices after `after`, waiting up to `wait_s` for one."""
