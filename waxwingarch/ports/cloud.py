"""The port to the cloud API."""

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
    """The cloud has no capacity for an offer; try another offer."""


class StaleFencingTokenError(WaxwingError):
    """A later lease holder has given orders with a higher fencing token.

    The caller has to stop acting and acquire the lease again.
    """


class ServerState(StrEnum):
    """State of a server in the cloud's list.

    The list lags behind the actual state.
    """

    STARTING = "starting"
    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedServer:
    """A backend server and its state in the cloud's list."""

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
    """The cloud's list of hosts as it was at `as_of`, in Unix seconds.

    The list lags behind the actual state.
    """

    servers: tuple[ListedServer, ...]
    entry_hosts: tuple[EntryHost, ...]
    as_of: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Offer:
    """A kind of backend server that can be started, and the number available.

    `price` is in cost units per hour.
    """

    machine_class: str
    failure_domain: FailureDomain
    reclaimable: bool
    price: float
    available: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StartOrder:
    """An order to start one server.

    `order_id` makes repeated orders idempotent; `fencing` is the fencing
    token of the lease under which the order is given.
    """

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

    The host is taken away at `deadline_unix`, in Unix seconds. A notice can
    be repeated, late, or about an incarnation that no longer runs.
    """

    seq: int
    incarnation: int
    deadline_unix: float
    server_id: ServerId | None = None
    host_id: HostId | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ReclaimNotices:
    """Notices after a sequence number; the next call continues at `seq`."""

    notices: tuple[ReclaimNotice, ...]
    seq: int


class Cloud(Protocol):
    """The cloud API; each call may raise `PlatformUnavailableError`.

    Deadlines are on the event loop's clock.
    """

    async def async_hosts(self, *, deadline: float) -> HostList:
        """Return the list of backend servers and entry hosts."""

    async def async_offers(self, *, deadline: float) -> tuple[Offer, ...]:
        """Return the kinds of backend servers that can be started now."""

    async def async_start(
        self, order: StartOrder, *, deadline: float
    ) -> ServerId:
        """Start a server and return its id; idempotent by order id.

        Raises `StartRefusedError` or `StaleFencingTokenError`.
        """

    async def async_stop(
        self, server_id: ServerId, fencing: int, *, deadline: float
    ) -> None:
        """Stop a server; raises `StaleFencingTokenError`."""

    async def async_notices(
        self, after: int, *, wait_s: float, deadline: float
    ) -> ReclaimNotices:
        """Return reclaim notices after a sequence number, by long poll.

        The call waits up to `wait_s` for the first one.
        """
