"""Runs the cluster core of one host by itself, for tests and measurements.

In the daemon the cluster core is part of the contract node, and the daemon
uses `PeerTransport` directly.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from waxwingarch.adapters.addresses import join_address, split_address
from waxwingarch.core.base import (
    Action,
    Event,
    FailureDomain,
    HostId,
    RequestId,
)
from waxwingarch.core.cluster.cluster import Cluster
from waxwingarch.core.cluster.cluster_events import (
    Leave,
    PublishItem,
    SetDraining,
)
from waxwingarch.core.cluster.items import Item
from waxwingarch.core.cluster.members import Addresses, Member, MemberState
from waxwingarch.core.requests.handover import HandOver
from waxwingarch.core.settings.settings import SettingsDelta
from waxwingarch.tasks.peer_transport import (
    PeerTransport,
    SettingsTable,
    TransportConfig,
)

if TYPE_CHECKING:
    from random import Random

Listener = Callable[[Action], None]


class HandOverKeeper(Protocol):
    """Stores the progress of peers' requests and dumps its state."""

    def store_hand_over(self, hand_over: HandOver) -> bool:
        """Store a request's progress; return False if there is no room."""
        ...

    def find_hand_over(self, request_id: RequestId) -> HandOver | None:
        """Return the progress of a request if it is stored here."""
        ...

    def dump_state(self) -> str:
        """Return the state of this process as JSON."""
        ...


@dataclass(frozen=True, kw_only=True, slots=True)
class PeersConfig:
    """Identity and addresses of this host, and the seeds that it contacts.

    `incarnation` must increase with each start, for example the start
    time in Unix milliseconds. `advertised_ip` replaces the IP address of
    the bound sockets in the addresses that peers receive.
    """

    host_id: HostId
    incarnation: int
    region: str
    failure_domain: FailureDomain
    http: str
    seeds: tuple[str, ...]
    transport: TransportConfig
    advertised_ip: str = ""


class PeersTask:
    """Owns the peer transport and drives the cluster core.

    Listeners are called with each action that needs no I/O: `ItemsChanged`,
    `MembersChanged`, `ApplySettings`, `Ready`, `Superseded`.
    """

    def __init__(
        self,
        cfg: PeersConfig,
        table: SettingsTable,
        keeper: HandOverKeeper,
        rng: "Random",
    ) -> None:
        self._cfg = cfg
        self._keeper = keeper
        self._rng = rng
        self._listeners: list[Listener] = []
        self._cluster: Cluster | None = None
        self._transport = PeerTransport(
            cfg.transport, table, self, self.dispatch
        )

    @property
    def cluster(self) -> Cluster:
        """The cluster core, available after `async_setup`."""
        assert self._cluster is not None
        return self._cluster

    @property
    def transport(self) -> PeerTransport:
        """The sockets, for calls to peers."""
        return self._transport

    async def async_setup(self) -> None:
        """Bind the sockets and join; raises OSError if a bind fails."""
        try:
            await self._transport.async_bind()
        except OSError:
            await self._transport.async_stop()
            raise
        seeds = self._cfg.seeds
        self._cluster = Cluster(self._build_own_member(), seeds, self._rng)
        self._transport.start()

    async def async_unload(self) -> None:
        """Announce to the peers that this host leaves; close the sockets."""
        if self._cluster is not None:
            self.dispatch(Leave())
        await self._transport.async_stop()

    def members(self) -> tuple[Member, ...]:
        """Return all known hosts, including this one."""
        return self.cluster.membership.members()

    def publish(self, item: Item, recipients: tuple[HostId, ...] = ()) -> None:
        """Publish an item to all hosts, or only to the recipients."""
        self.dispatch(PublishItem(item=item, recipients=recipients))

    def set_draining(self, draining: bool) -> None:
        """Announce whether this host is draining and takes no new duties."""
        self.dispatch(SetDraining(draining=draining))

    def add_listener(self, listener: Listener) -> Callable[[], None]:
        """Call the listener with each action; return the function to stop."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def dispatch(self, event: Event) -> None:
        """Let the core handle an event and execute its actions."""
        now = asyncio.get_running_loop().time()
        for action in self.cluster.handle(now, event):
            if self._transport.execute(action):
                continue
            for listener in list(self._listeners):
                listener(action)

    # Handlers of peers' calls

    def settings_since(self, revision: int) -> SettingsDelta:
        """Return the settings changed since a revision; 0 means all."""
        return self.cluster.settings.history.delta_since(revision)

    def store_hand_over(self, hand_over: HandOver) -> bool:
        """Store the progress of a peer's request."""
        return self._keeper.store_hand_over(hand_over)

    def find_hand_over(self, request_id: RequestId) -> HandOver | None:
        """Return the progress of a request if it is stored here."""
        return self._keeper.find_hand_over(request_id)

    def dump_state(self) -> str:
        """Return the state of this process as JSON."""
        return self._keeper.dump_state()

    def _build_own_member(self) -> Member:
        cfg = self._cfg
        addresses = Addresses(
            http=cfg.http,
            peer_tcp=self._advertised_address(self._transport.tcp_address),
            peer_udp=self._advertised_address(self._transport.udp.address),
        )
        return Member(
            host_id=cfg.host_id,
            incarnation=cfg.incarnation,
            refutation=0,
            region=cfg.region,
            failure_domain=cfg.failure_domain,
            addresses=addresses,
            state=MemberState.ALIVE,
        )

    def _advertised_address(self, bound: str) -> str:
        if not self._cfg.advertised_ip:
            return bound
        return join_address(self._cfg.advertised_ip, split_address(bound)[1])
