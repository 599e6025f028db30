"""Simulation of many cluster cores on simulated time, for tests only."""

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterable
from itertools import count

from waxwingarch.core.base import Action, Event, FailureDomain, HostId
from waxwingarch.core.cluster.cluster import Cluster
from waxwingarch.core.cluster.cluster_events import ItemsChanged, Superseded
from waxwingarch.core.cluster.configsync import (
    ApplySettings,
    PollRevision,
    PullFailed,
    PullSettings,
    ReadSettings,
    Ready,
    RevisionRead,
    RevisionUnavailable,
    SettingsPulled,
    SettingsRead,
    SettingsUnavailable,
)
from waxwingarch.core.cluster.members import Addresses, Member, MemberState
from waxwingarch.core.cluster.messages import DatagramReceived, SendPeer, Tick
from waxwingarch.core.settings.settings import SettingsSnapshot, make_snapshot

TICK_S = 0.1
UNIX_0 = 1_000.0


def make_member(
    name: str, incarnation: int = 1, region: str = "r0", address: str = ""
) -> Member:
    address = address or name
    return Member(
        host_id=HostId(name),
        incarnation=incarnation,
        refutation=0,
        region=region,
        failure_domain=FailureDomain(f"{region}-{int(name[1:]) % 4}"),
        addresses=Addresses(
            http=f"{address}:80",
            peer_tcp=f"{address}:81",
            peer_udp=f"{address}:82",
        ),
        state=MemberState.ALIVE,
    )


class SimulatedCluster:
    """Hosts, their network and the table, all on simulated time."""

    def __init__(self, seed: int = 1, delay_s: float = 0.001) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.delay_s = delay_s
        self.loss_ratio = 0.0
        self.hosts: dict[str, Cluster] = {}
        self.names_by_address: dict[str, str] = {}
        self.paused: set[str] = set()
        self.table_snapshot: SettingsSnapshot | None = make_snapshot(0, ())
        self.is_table_up = True
        self.is_link_cut: Callable[[Member, Member], bool] = lambda a, b: False
        self.datagrams_sent: Counter[str] = Counter()
        self.actions: list[tuple[float, str, Action]] = []
        self._queue: list[tuple[float, int, str, Event | None]] = []
        self._order = count()

    def add(self, own: Member, seeds: Iterable[str] = ("h0:82",)) -> Cluster:
        name = own.host_id
        rng = random.Random(self.rng.getrandbits(32))
        self.hosts[name] = Cluster(own, seeds, rng)
        self.names_by_address[own.addresses.peer_udp] = name
        self.names_by_address[own.addresses.peer_tcp] = name
        self._push(self.now + self.rng.uniform(0, TICK_S), name, None)
        return self.hosts[name]

    def kill(self, name: str) -> None:
        del self.hosts[name]

    def publish(self, name: str, event: Event) -> None:
        self._handle(name, event)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, name, event = heapq.heappop(self._queue)
            self._deliver(name, event)
        self.now = end

    def run_until(
        self, condition: Callable[[], bool], limit_s: float
    ) -> float:
        """Run until the condition holds; return the seconds it took."""
        start = self.now
        while not condition():
            if self.now - start > limit_s:
                raise AssertionError(f"condition not met within {limit_s} s")
            self.run(TICK_S)
        return self.now - start

    def count_actions(self, kind: type[Action]) -> int:
        return sum(
            1 for _, _, action in self.actions if isinstance(action, kind)
        )

    def count_states(self, name: str) -> Counter[str]:
        """Count the states in which the other hosts believe a host to be."""
        states: Counter[str] = Counter()
        for other, host in self.hosts.items():
            member = host.membership.member(HostId(name))
            if other != name:
                states[member.state if member else "unknown"] += 1
        return states

    def is_all_alive(self) -> bool:
        return all(
            sum(m.state is MemberState.ALIVE for m in h.membership.members())
            == len(self.hosts)
            for h in self.hosts.values()
        )

    def _push(self, at: float, name: str, event: Event | None) -> None:
        heapq.heappush(self._queue, (at, next(self._order), name, event))

    def _deliver(self, name: str, event: Event | None) -> None:
        if name not in self.hosts:
            return
        if name in self.paused:
            self._push(self.now + TICK_S, name, event)
            return
        if event is None:
            self._push(self.now + TICK_S, name, None)
            event = Tick(unix_now=UNIX_0 + self.now)
        self._handle(name, event)

    def _handle(self, name: str, event: Event) -> None:
        for action in self.hosts[name].handle(self.now, event):
            self._perform(name, action)

    def _perform(self, name: str, action: Action) -> None:
        match action:
            case SendPeer():
                self._send(name, action)
                return
            case PollRevision():
                self._reply(name, self._poll())
            case ReadSettings():
                self._reply(name, self._read())
            case PullSettings():
                self._reply(name, self._pull(name, action))
            case ItemsChanged() | ApplySettings() | Ready() | Superseded():
                pass
        self.actions.append((self.now, name, action))

    def _reply(self, name: str, event: Event) -> None:
        self._push(self.now + 2 * self.delay_s, name, event)

    def _poll(self) -> Event:
        if not self.is_table_up or self.table_snapshot is None:
            return RevisionUnavailable()
        return RevisionRead(revision=self.table_snapshot.revision)

    def _read(self) -> Event:
        if not self.is_table_up or self.table_snapshot is None:
            return SettingsUnavailable()
        return SettingsRead(snapshot=self.table_snapshot)

    def _pull(self, name: str, action: PullSettings) -> Event:
        peer = self.names_by_address.get(action.address, "")
        if not self._connected(name, peer):
            return PullFailed(peer=action.peer)
        history = self.hosts[peer].settings.history
        return SettingsPulled(
            peer=action.peer, delta=history.delta_since(action.have_revision)
        )

    def _connected(self, name: str, peer: str) -> bool:
        if peer not in self.hosts or peer in self.paused:
            return False
        return not self.is_link_cut(self.hosts[name].own, self.hosts[peer].own)

    def _send(self, name: str, action: SendPeer) -> None:
        self.datagrams_sent[name] += 1
        peer = self.names_by_address.get(action.address, "")
        if peer not in self.hosts or self.rng.random() < self.loss_ratio:
            return
        if self.is_link_cut(self.hosts[name].own, self.hosts[peer].own):
            return
        event = DatagramReceived(
            source=self.hosts[name].own.addresses.peer_udp,
            datagram=action.datagram,
        )
        self._push(self.now + self.delay_s, peer, event)
