"""What this host makes of members, servers and what it hears of them."""

from collections.abc import Callable, Iterable
from typing import Any, Final

from waxwingarch.core.base import Action, Event, HostId, ServerId, ServiceId
from waxwingarch.core.cluster.cluster import Cluster
from waxwingarch.core.cluster.cluster_events import (
    PublishItem,
)
from waxwingarch.core.cluster.items import CacheSummary, Item, LoadSummary
from waxwingarch.core.cluster.members import MemberState
from waxwingarch.core.cluster.watch import Duty, RoutedServer, RoutingSubsets
from waxwingarch.core.events import CacheRead, LoadRead
from waxwingarch.core.limits.admission import Admission
from waxwingarch.core.placement.prefix import PrefixIndex
from waxwingarch.core.placement.server_selector import ServerSelector
from waxwingarch.core.servers.server_registry import ServerRegistry

WATCHERS_PER_SERVER: Final = 2
WORK_OUT_PERIOD_S: Final = 1.0
MANY_SERVERS: Final = 100
KEEPERS: Final = 3
DIRECT_FROM_HOSTS: Final = 17
CACHE_PUBLISH_PERIOD_S: Final = 5.0
SLOT_OVERCOMMIT: Final = 2.0


class Fleet:
    """Routing subsets, watching duties, loads and caches of servers.

    Subsets and duties follow from members and servers alone, and are
    worked out again only when those change.
    """

    def __init__(
        self,
        cluster: Cluster,
        servers: ServerRegistry,
        chooser: ServerSelector,
        prefixes: PrefixIndex,
        admission: Admission,
    ) -> None:
        self._cluster = cluster
        self._servers = servers
        self._chooser = chooser
        self._prefixes = prefixes
        self._admission = admission
        self._own: HostId = cluster.own.host_id
        self._routing = RoutingSubsets((), ())
        self._watched: tuple[ServerId, ...] = ()
        self._stale = False
        self._work_out_at = 0.0
        self._published_at: dict[ServerId, float] = {}
        self._takers: dict[type[Any], Callable[[float, Any], None]] = {
            LoadSummary: self._take_load,
            CacheSummary: self._take_cache,
        }
        chooser.subset = self._subset

    # What the host is to do

    @property
    def watched(self) -> tuple[ServerId, ...]:
        """Return the servers whose load and cache this host reads."""
        return self._watched

    def has_departed(self, host: HostId, incarnation: int) -> bool:
        """Return whether an incarnation of a host is known to be over."""
        member = self._cluster.membership.member(host)
        if member is None:
            return False
        if member.incarnation != incarnation:
            return member.incarnation > incarnation
        return member.state is MemberState.LEFT

    def keepers(self, key: str) -> tuple[str, ...]:
        """Return the gRPC addresses of the hosts that keep a hand-over."""
        hosts = self._cluster.duties().responsible(
            key, Duty.KEEP_HAND_OVER, KEEPERS
        )
        members = [self._cluster.membership.member(h) for h in hosts]
        return tuple(
            m.addresses.peer_tcp
            for m in members
            if m and m.host_id != self._own
        )

    def changed(self, now: float) -> None:
        """Note that members or servers changed.

        Subsets and duties are worked out at once; those of many servers
        not twice within `WORK_OUT_PERIOD_S`, as that is dear.
        """
        self._chooser.forget_views()
        self._stale = True
        self.tick(now)

    def tick(self, now: float) -> None:
        """Work out what is stale."""
        if not self._stale or now < self._work_out_at:
            return
        self._stale = False
        if self._work_out() >= MANY_SERVERS:
            self._work_out_at = now + WORK_OUT_PERIOD_S

    def _work_out(self) -> int:
        """Work all out; return for how many servers."""
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
        self._chooser.set_peers(len(hosts))
        ids = [server.server_id for server in servers]
        watchers = self._cluster.duties().assign(
            ids, Duty.WATCH_SERVER, WATCHERS_PER_SERVER
        )
        self._watched = tuple(i for i in ids if self._own in watchers[i])
        slots = sum(server.slots for server in servers)
        share = slots * SLOT_OVERCOMMIT / max(1, len(hosts))
        self._admission.set_capacity(min(slots, int(share) + 1))
        return len(servers)

    def _hosts(self) -> list[HostId]:
        members = self._cluster.membership.members()
        hosts = [m.host_id for m in members if m.reachable]
        return sorted({*hosts, self._own})

    def _subset(self, service: ServiceId) -> frozenset[ServerId]:
        return frozenset(self._routing.subset(self._own, service))

    # What is heard

    def heard(self, now: float, items: Iterable[Item]) -> None:
        """Take items of load and cache that changed on this host."""
        for item in items:
            take = self._takers.get(type(item))
            if take:
                take(now, item)

    def _take_load(self, now: float, item: LoadSummary) -> None:
        self._chooser.note_load(now, item)

    def _take_cache(self, now: float, item: CacheSummary) -> None:
        if item.server_id not in self._watched:
            self._prefixes.apply_summary(item)

    # What is read by this host as a watcher

    def load_read(self, now: float, event: LoadRead) -> list[Action]:
        """Take a load and pass it on to those who route there."""
        self._chooser.note_load(now, event.load)
        return self._publish(now, event.load, event.load.server_id)

    def cache_read(self, now: float, event: CacheRead) -> list[Action]:
        """Take cache events; pass a summary on now and then."""
        server_id = event.server_id
        self._prefixes.apply_events(server_id, event.incarnation, event.events)
        due = self._published_at.get(server_id, 0.0)
        if not event.events or now < due:
            return []
        self._published_at[server_id] = now + CACHE_PUBLISH_PERIOD_S
        summary = self._prefixes.summary(server_id)
        return self._publish(now, summary, server_id)

    def _publish(
        self, now: float, item: Item, server_id: ServerId
    ) -> list[Action]:
        recipients: tuple[HostId, ...] = ()
        if len(self._hosts()) >= DIRECT_FROM_HOSTS:
            hosts = self._routing.routing_hosts(server_id)
            recipients = tuple(h for h in hosts if h != self._own)
        event: Event = PublishItem(item=item, recipients=recipients)
        return self._cluster.handle(now, event)
