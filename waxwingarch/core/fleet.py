"""This host's share of routing and of watching the backend servers."""

from collections.abc import Callable, Iterable
from typing import Any, Final

from waxwingarch.core.base import Action, Event, HostId, ServerId, ServiceId
from waxwingarch.core.cluster.assignments import (
    Duty,
    RoutedServer,
    RoutingSubsets,
)
from waxwingarch.core.cluster.cluster import Cluster
from waxwingarch.core.cluster.cluster_events import (
    PublishItem,
)
from waxwingarch.core.cluster.items import CacheSummary, Item, LoadSummary
from waxwingarch.core.cluster.members import MemberState
from waxwingarch.core.events import CacheRead, LoadRead
from waxwingarch.core.limits.admission import Admission
from waxwingarch.core.placement.prefix import PrefixIndex
from waxwingarch.core.placement.server_selector import ServerSelector
from waxwingarch.core.servers.server_registry import ServerRegistry

# Hosts that poll the load and the cache events of each server.
WATCHERS_PER_SERVER: Final = 2
# Subsets and watch duties of a large fleet are expensive to recompute. This
# is therefore done at most once per period.
RECOMPUTE_PERIOD_S: Final = 1.0
LARGE_FLEET_MIN_SERVERS: Final = 100
# Hosts that are responsible for a hand-over. The sending host may be one
# of them, so that at least two others store it.
HAND_OVER_COPIES: Final = 3
# From this many hosts on, the load and cache of a server are sent directly
# to the hosts that route to it, instead of to all hosts.
DIRECT_SEND_MIN_HOSTS: Final = 17
CACHE_PUBLISH_PERIOD_S: Final = 5.0
# Slots that all hosts together may use, relative to those that exist.
SLOT_OVERCOMMIT_RATIO: Final = 2.0


class Fleet:
    """Routing subsets, watch duties, loads and cache contents of servers.

    Subsets and duties depend on members and servers alone, and are
    recomputed only when those change.
    """

    def __init__(
        self,
        cluster: Cluster,
        servers: ServerRegistry,
        selector: ServerSelector,
        prefixes: PrefixIndex,
        admission: Admission,
    ) -> None:
        self._cluster = cluster
        self._servers = servers
        self._selector = selector
        self._prefixes = prefixes
        self._admission = admission
        self._own_host: HostId = cluster.own.host_id
        self._routing = RoutingSubsets((), ())
        self._watched: tuple[ServerId, ...] = ()
        self._is_stale = False
        self._next_recompute_at = 0.0
        self._next_publish_at: dict[ServerId, float] = {}
        self._item_handlers: dict[type[Any], Callable[[float, Any], None]] = {
            LoadSummary: self._apply_load,
            CacheSummary: self._apply_cache_summary,
        }
        selector.routing_subset = self._subset

    # Duties and peers

    @property
    def watched_servers(self) -> tuple[ServerId, ...]:
        """Return the servers whose load and cache this host reads."""
        return self._watched

    def has_departed(self, host: HostId, incarnation: int) -> bool:
        """Return whether an incarnation of a host is known to have ended."""
        member = self._cluster.membership.member(host)
        if member is None:
            return False
        if member.incarnation != incarnation:
            return member.incarnation > incarnation
        return member.state is MemberState.LEFT

    def hand_over_peers(self, key: str) -> tuple[str, ...]:
        """Return the gRPC addresses of the peers that store a hand-over."""
        hosts = self._cluster.duties().responsible(
            key, Duty.KEEP_HAND_OVER, HAND_OVER_COPIES
        )
        members = [self._cluster.membership.member(h) for h in hosts]
        return tuple(
            m.addresses.peer_tcp
            for m in members
            if m and m.host_id != self._own_host
        )

    def handle_change(self, now: float) -> None:
        """Recompute subsets and duties, as members or servers changed.

        In a large fleet this is deferred to a later tick if the last
        recomputation is less than `RECOMPUTE_PERIOD_S` ago.
        """
        self._selector.invalidate_views()
        self._is_stale = True
        self.tick(now)

    def tick(self, now: float) -> None:
        """Recompute subsets and duties if they are stale and it is time."""
        if not self._is_stale or now < self._next_recompute_at:
            return
        self._is_stale = False
        if self._recompute() >= LARGE_FLEET_MIN_SERVERS:
            self._next_recompute_at = now + RECOMPUTE_PERIOD_S

    def _recompute(self) -> int:
        """Recompute subsets, duties and slots; return the server count."""
        hosts = self._hosts()
        servers = self._servers.all()
        routed = [
            RoutedServer(
                server_id=server.server_id,
                failure_domain=server.failure_domain,
                service=server.service,
            )
            for server in servers
        ]
        self._routing = RoutingSubsets(hosts, routed)
        self._selector.set_host_count(len(hosts))
        ids = [server.server_id for server in servers]
        watchers = self._cluster.duties().assign(
            ids, Duty.WATCH_SERVER, WATCHERS_PER_SERVER
        )
        self._watched = tuple(i for i in ids if self._own_host in watchers[i])
        slots = sum(server.slots for server in servers)
        share = slots * SLOT_OVERCOMMIT_RATIO / max(1, len(hosts))
        self._admission.set_capacity(min(slots, int(share) + 1))
        return len(servers)

    def _hosts(self) -> list[HostId]:
        members = self._cluster.membership.members()
        hosts = [m.host_id for m in members if m.reachable]
        return sorted({*hosts, self._own_host})

    def _subset(self, service: ServiceId) -> frozenset[ServerId]:
        return frozenset(self._routing.subset(self._own_host, service))

    # Reports of other hosts

    def apply_items(self, now: float, items: Iterable[Item]) -> None:
        """Apply the load and cache summaries among changed items."""
        for item in items:
            handler = self._item_handlers.get(type(item))
            if handler:
                handler(now, item)

    def _apply_load(self, now: float, item: LoadSummary) -> None:
        self._selector.record_load(now, item)

    def _apply_cache_summary(self, now: float, item: CacheSummary) -> None:
        if item.server_id not in self._watched:
            self._prefixes.apply_summary(item)

    # Reports that this host reads as a watcher

    def handle_load_read(self, now: float, event: LoadRead) -> list[Action]:
        """Apply a load and publish it to the hosts that route there."""
        self._selector.record_load(now, event.load)
        return self._publish(now, event.load, event.load.server_id)

    def handle_cache_read(self, now: float, event: CacheRead) -> list[Action]:
        """Apply cache events and publish a summary of the cache.

        At most one summary per server is published in each
        `CACHE_PUBLISH_PERIOD_S`.
        """
        server_id = event.server_id
        self._prefixes.apply_events(server_id, event.incarnation, event.events)
        due = self._next_publish_at.get(server_id, 0.0)
        if not event.events or now < due:
            return []
        self._next_publish_at[server_id] = now + CACHE_PUBLISH_PERIOD_S
        summary = self._prefixes.summary(server_id)
        return self._publish(now, summary, server_id)

    def _publish(
        self, now: float, item: Item, server_id: ServerId
    ) -> list[Action]:
        recipients: tuple[HostId, ...] = ()
        if len(self._hosts()) >= DIRECT_SEND_MIN_HOSTS:
            hosts = self._routing.routing_hosts(server_id)
            recipients = tuple(h for h in hosts if h != self._own_host)
        event: Event = PublishItem(item=item, recipients=recipients)
        return self._cluster.handle(now, event)
