"""The task that keeps this host together with its peers."""

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
    """Keeps the progress of requests for peers, and describes itself."""

    def store_hand_over(self, hand_over: HandOver) -> bool:
        """Keep the progress of a request; False if there is no room."""
        ...

    def find_hand_over(self, request_id: RequestId) -> HandOver | None:
        """Return the progress of a request, if this host keeps it."""
        ...

    def dump_state(self) -> str:
        """Return the state of this process as JSON."""
        ...


@dataclass(frozen=True, kw_only=True, slots=True)
class PeersConfig:
    """Who this host is and where it finds its first peers.

    `incarnation` must grow with each start, such as the time of the
    start in Unix milliseconds. `advertised_ip` replaces the ip that the
    sockets are bound to in what peers are told.
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
    """Owns the sockets towards peers and drives the cluster core.

    Listeners get each action that is not about I/O: `ItemsChanged`,
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
        """Return the core; there is one after `async_setup`."""
        assert self._cluster is not None
        return self._cluster

    @property
    def transport(self) -> PeerTransport:
        """Return the sockets, for calls to peers."""
        return self._transport

    async def async_setup(self) -> None:
        """Bind the sockets and join; raises OSError if one is taken."""
        try:
            await self._transport.async_bind()
        except OSError:
            await self._transport.async_stop()
            raise
        seeds = self._cfg.seeds
        self._cluster = Cluster(self._own_record(), seeds, self._rng)
        self._transport.start()

    async def async_unload(self) -> None:
        """Tell the peers that this process ends, and close."""
        if self._cluster is not None:
            self.dispatch(Leave())
        await self._transport.async_stop()

    def members(self) -> tuple[Member, ...]:
        """Return all hosts known, this one included."""
        return self.cluster.membership.members()

    def publish(self, item: Item, recipients: tuple[HostId, ...] = ()) -> None:
        """Spread an item to all hosts, or to the recipients only."""
        self.dispatch(PublishItem(item=item, recipients=recipients))

    def set_draining(self, draining: bool) -> None:
        """Tell the peers that this host takes no new duties, or does."""
        self.dispatch(SetDraining(draining=draining))

    def add_listener(self, listener: Listener) -> Callable[[], None]:
        """Call the listener with each action; return how to stop that."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def dispatch(self, event: Event) -> None:
        """Hand an event to the core and carry out what it says."""
        now = asyncio.get_running_loop().time()
        for action in self.cluster.handle(now, event):
            if self._transport.execute(action):
                continue
            for listener in list(self._listeners):
                listener(action)

    # -- what peers ask for

    def settings_since(self, revision: int) -> SettingsDelta:
        """Return what changed since a revision, 0 for everything."""
        return self.cluster.settings.history.delta_since(revision)

    def store_hand_over(self, hand_over: HandOver) -> bool:
        """Keep the progress of a request for a peer."""
        return self._keeper.store_hand_over(hand_over)

    def find_hand_over(self, request_id: RequestId) -> HandOver | None:
        """Return the progress of a request kept here."""
        return self._keeper.find_hand_over(request_id)

    def dump_state(self) -> str:
        """Return the state of this process as JSON."""
        return self._keeper.dump_state()

    def _own_record(self) -> Member:
        cfg = self._cfg
        addresses = Addresses(
            http=cfg.http,
            peer_tcp=self._advertised(self._transport.tcp_address),
            peer_udp=self._advertised(self._transport.udp.address),
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

    def _advertised(self, bound: str) -> str:
        if not self._cfg.advertised_ip:
            return bound
        return join_address(self._cfg.advertised_ip, split_address(bound)[1])
