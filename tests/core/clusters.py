"""Drives many pure cluster cores on made time, for tests only."""

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


class Bench:
    """Hosts, a table and the network between them, all on made time."""

    def __init__(self, seed: int = 1, delay_s: float = 0.001) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.delay_s = delay_s
        self.loss = 0.0
        self.hosts: dict[str, Cluster] = {}
        self.by_address: dict[str, str] = {}
        self.paused: set[str] = set()
        self.table: SettingsSnapshot | None = make_snapshot(0, ())
        self.table_up = True
        self.cut: Callable[[Member, Member], bool] = lambda a, b: False
        self.sent: Counter[str] = Counter()
        self.seen: list[tuple[float, str, Action]] = []
        self._queue: list[tuple[float, int, str, Event | None]] = []
        self._order = count()

    def add(self, own: Member, seeds: Iterable[str] = ("h0:82",)) -> Cluster:
        name = own.host_id
        rng = random.Random(self.rng.getrandbits(32))
        self.hosts[name] = Cluster(own, seeds, rng)
        self.by_address[own.addresses.peer_udp] = name
        self.by_address[own.addresses.peer_tcp] = name
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

    def run_until(self, done: Callable[[], bool], limit_s: float) -> float:
        """Run until the condition holds; return the seconds it took."""
        start = self.now
        while not done():
            if self.now - start > limit_s:
                raise AssertionError(f"not reached within {limit_s} s")
            self.run(TICK_S)
        return self.now - start

    def count(self, kind: type[Action]) -> int:
        return sum(1 for _, _, action in self.seen if isinstance(action, kind))

    def states_of(self, name: str) -> Counter[str]:
        found: Counter[str] = Counter()
        for other, host in self.hosts.items():
            member = host.membership.member(HostId(name))
            if other != name:
                found[member.state if member else "unknown"] += 1
        return found

    def all_alive(self) -> bool:
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
            self._act(name, action)

    def _act(self, name: str, action: Action) -> None:
        match action:
            case SendPeer():
                self._send(name, action)
                return
            case PollRevision():
                self._answer(name, self._poll())
            case ReadSettings():
                self._answer(name, self._read())
            case PullSettings():
                self._answer(name, self._pull(name, action))
            case ItemsChanged() | ApplySettings() | Ready() | Superseded():
                pass
        self.seen.append((self.now, name, action))

    def _answer(self, name: str, event: Event) -> None:
        self._push(self.now + 2 * self.delay_s, name, event)

    def _poll(self) -> Event:
        if not self.table_up or self.table is None:
            return RevisionUnavailable()
        return RevisionRead(revision=self.table.revision)

    def _read(self) -> Event:
        if not self.table_up or self.table is None:
            return SettingsUnavailable()
        return SettingsRead(snapshot=self.table)

    def _pull(self, name: str, action: PullSettings) -> Event:
        peer = self.by_address.get(action.address, "")
        if not self._connected(name, peer):
            return PullFailed(peer=action.peer)
        history = self.hosts[peer].settings.history
        return SettingsPulled(
            peer=action.peer, delta=history.delta_since(action.have_revision)
        )

    def _connected(self, name: str, peer: str) -> bool:
        if peer not in self.hosts or peer in self.paused:
            return False
        return not self.cut(self.hosts[name].own, self.hosts[peer].own)

    def _send(self, name: str, action: SendPeer) -> None:
        self.sent[name] += 1
        peer = self.by_address.get(action.address, "")
        if peer not in self.hosts or self.rng.random() < self.loss:
            return
        if self.cut(self.hosts[name].own, self.hosts[peer].own):
            return
        event = DatagramReceived(
            source=self.hosts[name].own.addresses.peer_udp,
            datagram=action.datagram,
        )
        self._push(self.now + self.delay_s, peer, event)
