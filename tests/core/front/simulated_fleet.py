"""Simulated hosts and servers that share callers' requests.

Servers may name limits, and hosts may be partitioned from all servers.
"""

import heapq
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from itertools import count
from random import Random
from typing import Any, Final

from tests.core.front.builders import (
    DOMAINS,
    LEDGER,
    config,
    make_head,
    make_listing,
    server,
)
from waxwingarch.adapters.report_codec import decode_report, encode_report
from waxwingarch.adapters.sums_codec import decode_sums, encode_sums
from waxwingarch.core.backends.brittle_servers import BrittlenessSeen
from waxwingarch.core.backends.server_limits import ServerLimitSeen
from waxwingarch.core.base import (
    Action,
    Event,
    ExecutionStatus,
    HostId,
    Server,
    ServerId,
)
from waxwingarch.core.exchange.exchange_messages import (
    AttemptFinished,
    AttemptOutcome,
    ExchangeArrived,
    LocalResponse,
    ResponseStarted,
    SendRequest,
)
from waxwingarch.core.front_messages import (
    ConfigRead,
    FrontBounds,
    FrontIdentity,
    FrontTick,
)
from waxwingarch.core.front_node import FrontNode
from waxwingarch.core.peers.report import (
    HostsListed,
    ReportReceived,
    SendReport,
)
from waxwingarch.core.peers.sum_messages import SendSums, received
from waxwingarch.core.refusal import Refusal

TICK_S: Final = 0.1
LINK_S: Final = 0.002
# The users' rule: in some `WINDOW_S`, from `CONTACT_S` after a server first
# named its limit, it gets more than `RATIO` of what the limit allows and
# `EXTRA`, from hosts that had a response with the limit `TOLD_S` before.
WINDOW_S: Final = 4.0
RATIO: Final = 1.5
EXTRA: Final = 5
CONTACT_S: Final = 3.0
TOLD_S: Final = 0.5
# How long a host waits for a connection that is not made.
CONNECT_S: Final = 0.4
# How long a server that fell over is away.
FALL_S: Final = 3.0
# The median and the spread of how long a server works on a request.
WORK_S: Final = 0.06
WORK_SPREAD: Final = 0.5


@dataclass(kw_only=True)
class Call:
    """A caller's request at a host."""

    arrived_at: float
    host: int
    is_served: bool = False
    ended_at: float | None = None


@dataclass(kw_only=True)
class SimulatedServer:
    """A server with slots, and room for some requests that wait.

    It is `brittle` where it falls over if it rejects more requests in a
    second than this. `running` are the ends of the requests that it has.
    """

    room: int = 1_000
    brittle: int | None = None
    running: list[float] = field(default_factory=list)
    rejected_at: list[float] = field(default_factory=list)
    fell_at: list[float] = field(default_factory=list)
    is_up: bool = True
    incarnation: int = 1

    def end_of(self, now: float, slots: int, work_s: float) -> float | None:
        """Return when a request that arrives ends; None if it is rejected."""
        self.running = sorted(end for end in self.running if end > now)
        if len(self.running) >= slots + self.room:
            self.rejected_at.append(now)
            return None
        waits_for = len(self.running) - slots
        begin = self.running[waits_for] if waits_for >= 0 else now
        self.running.append(begin + work_s)
        return begin + work_s

    def falls_over(self, now: float) -> bool:
        """Return whether it has rejected too many in the last second."""
        late = [at for at in self.rejected_at if at > now - 1.0]
        return self.brittle is not None and len(late) > self.brittle


@dataclass(kw_only=True)
class SimulatedFleet:
    """Hosts and plain servers on simulated time, with requests at random.

    `limits` are the limits that servers name now. Hosts in `unheard` neither
    send reports nor receive any; hosts in `down` do nothing. Hosts in
    `partitioned` reach no server: their connections hang, or are reset at
    once with `resets`. `arrivals` are the times and hosts of what reached
    each server, and `refused` the times of refusals and their retry-after.
    `messages` and the bytes are those that hosts sent each other.
    """

    hosts: int
    servers: int
    rate_per_s: float
    seed: int
    limits: dict[str, float] = field(default_factory=dict)
    unheard: set[int] = field(default_factory=set)
    down: set[int] = field(default_factory=set)
    partitioned: set[int] = field(default_factory=set)
    resets: bool = False
    path: str = "/read/x"
    work_s: float = WORK_S
    account_rate: float = 0.0
    now: float = 0.0

    def __post_init__(self) -> None:
        self._rng = Random(self.seed)
        self._ids = count()
        self._due: list[tuple[float, int, Any]] = []
        self._servers = [
            server(f"p{n}", LEDGER, domain=DOMAINS[n % len(DOMAINS)])
            for n in range(self.servers)
        ]
        self.arrivals: dict[str, list[tuple[float, int]]] = defaultdict(list)
        self.told_at: dict[tuple[str, int], float] = {}
        self.named_at: dict[str, float] = {}
        self.refused: list[tuple[float, float | None]] = []
        self.simulated = {
            str(s.server_id): SimulatedServer() for s in self._servers
        }
        self.calls: dict[str, Call] = {}
        self.relayed_by: dict[tuple[int, str], int] = {}
        self.nodes = [self._node(n) for n in range(self.hosts)]
        self._next_arrival_at = 0.0
        self._next_tick_at = 0.0
        self._listing_version = 1
        self.messages = 0
        self.sent_bytes = 0
        self.bytes_between_domains = 0

    def _node(self, n: int, incarnation: int = 1) -> FrontNode:
        identity = FrontIdentity(
            host=HostId(f"h{n}"),
            incarnation=incarnation,
            domain=DOMAINS[n % len(DOMAINS)],
            address=str(n),
            first_start=True,
            duties=frozenset(),
        )
        node = FrontNode(identity, FrontBounds(), Random(self.seed * 999 + n))
        cfg = config(rate=self.account_rate)
        node.handle(0.0, ConfigRead(cfg=cfg))
        node.handle(0.0, make_listing(1, *self._servers))
        addresses = {HostId(f"h{i}"): str(i) for i in range(self.hosts)}
        node.handle(0.0, HostsListed(addresses=addresses))
        return node

    def restart(self, n: int, incarnation: int = 1) -> None:
        """Replace the process of a host."""
        self.nodes[n] = self._node(n, incarnation)

    def run(self, until: float) -> None:
        """Run up to a time."""
        while True:
            at = min(
                self._next_tick_at,
                self._next_arrival_at,
                self._due[0][0] if self._due else float("inf"),
            )
            if at > until:
                self.now = until
                return
            self.now = at
            if at == self._next_tick_at:
                self._next_tick_at += TICK_S
                for n in range(self.hosts):
                    self._post(n, FrontTick(boot_now=at, unix_now=at))
            elif at == self._next_arrival_at:
                self._next_arrival_at += self._rng.expovariate(self.rate_per_s)
                self._arrive()
            else:
                _, _, step = heapq.heappop(self._due)
                step()

    def finish(self) -> None:
        """Send no more requests, and let those under way end."""
        self._next_arrival_at = float("inf")
        self.run(self.now + 2.0)

    def _later(self, at: float, step: Any) -> None:
        heapq.heappush(self._due, (at, next(self._ids), step))

    def _arrive(self) -> None:
        head = make_head(
            f"r{next(self._ids)}", self.path, parts=(), prompt_tokens=0
        )
        up = [n for n in range(self.hosts) if n not in self.down]
        host = self._rng.choice(up)
        self.calls[head.request_id] = Call(arrived_at=self.now, host=host)
        self._post(host, ExchangeArrived(head=head))

    def _post(self, n: int, event: Event) -> None:
        if n in self.down:
            return
        self._perform(n, self.nodes[n].handle(self.now, event))

    def _perform(self, n: int, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendRequest(relay_to=str()):
                    self._later(
                        self.now + LINK_S,
                        lambda send=action: self._reach_peer(n, send),
                    )
                case SendRequest() if n in self.partitioned:
                    self._fail_to_connect(n, action)
                case SendRequest():
                    sent_at = self.now
                    self._later(
                        sent_at + LINK_S,
                        lambda send=action, at=sent_at: self._reach(
                            n, send, at
                        ),
                    )
                case SendReport() if n not in self.unheard:
                    data = encode_report(action.report)
                    event = ReportReceived(report=decode_report(data))
                    self._deliver(n, event, data, action.addresses)
                case SendSums() if n not in self.unheard:
                    data = encode_sums(action.message)
                    message = decode_sums(data)
                    self._deliver(n, received(message), data, action.addresses)
                case LocalResponse(refusal=refusal):
                    self._refuse(n, action.request_id, refusal)

    def _reach_peer(self, n: int, send: SendRequest) -> None:
        """Let a relayed request reach a peer, which serves it as its own."""
        peer = int(send.server.address)
        if peer in self.down:
            self._end_relay(n, send.request_id, AttemptOutcome.BROKEN)
            return
        self.relayed_by[peer, send.request_id] = n
        head = self.nodes[n].exchanges.get(send.request_id).exchange.head
        self._post(peer, ExchangeArrived(head=replace(head, is_relayed=True)))

    def _end_relay(
        self, n: int, request_id: str, outcome: AttemptOutcome
    ) -> None:
        event = AttemptFinished(request_id=request_id, outcome=outcome)
        self._later(self.now + LINK_S, lambda: self._post(n, event))

    def _refuse(self, n: int, request_id: str, refusal: Refusal) -> None:
        relayed_by = self.relayed_by.pop((n, request_id), None)
        if relayed_by is not None:
            not_run = refusal.ran is ExecutionStatus.NOT_RUN
            outcome = (
                AttemptOutcome.REJECTED if not_run else AttemptOutcome.FAILED
            )
            self._end_relay(relayed_by, request_id, outcome)
            return
        self.refused.append((self.now, refusal.retry_after_s))
        self.calls[request_id].ended_at = self.now

    def _fail_to_connect(self, n: int, send: SendRequest) -> None:
        event = AttemptFinished(
            request_id=send.request_id, outcome=AttemptOutcome.NOT_SENT
        )
        after_s = LINK_S if self.resets else CONNECT_S
        self._later(self.now + after_s, lambda: self._post(n, event))

    def _deliver(
        self, sender: int, event: Event, data: bytes, addresses: Iterable[str]
    ) -> None:
        for address in addresses:
            receiver = int(address)
            self.messages += 1
            self.sent_bytes += len(data)
            if sender % len(DOMAINS) != receiver % len(DOMAINS):
                self.bytes_between_domains += len(data)
            if receiver not in self.unheard:
                self._later(
                    self.now + LINK_S,
                    lambda n=receiver: self._post(n, event),
                )

    def _reach(self, n: int, send: SendRequest, sent_at: float) -> None:
        """Let a request reach its server, which answers later."""
        name = str(send.server.server_id)
        simulated = self.simulated[name]
        if (
            not simulated.is_up
            or simulated.incarnation != send.server.incarnation
        ):
            self._end_early(n, send, AttemptOutcome.NOT_SENT)
            return
        self.arrivals[name].append((self.now, n))
        work_s = self.work_s * self._rng.lognormvariate(0, WORK_SPREAD)
        end = simulated.end_of(self.now, send.server.slots, work_s)
        if end is not None:
            self._later(end, lambda: self._answer(n, send, name, sent_at))
            return
        self._tell_brittleness(n, send, sent_at)
        self._end_early(n, send, AttemptOutcome.REJECTED)
        if simulated.falls_over(self.now):
            self._fall_over(name)

    def _end_early(
        self, n: int, send: SendRequest, outcome: AttemptOutcome
    ) -> None:
        event = AttemptFinished(request_id=send.request_id, outcome=outcome)
        self._later(self.now + LINK_S, lambda: self._post(n, event))

    def _fall_over(self, name: str) -> None:
        """End a server, which is back after some seconds."""
        simulated = self.simulated[name]
        simulated.fell_at.append(self.now)
        simulated.is_up = False
        simulated.incarnation += 1
        simulated.running.clear()
        self._later(self.now + FALL_S, lambda: self._start_again(name))

    def _start_again(self, name: str) -> None:
        simulated = self.simulated[name]
        simulated.is_up = True
        self._servers = [
            replace(s, incarnation=simulated.incarnation)
            if s.server_id == name
            else s
            for s in self._servers
        ]
        self._listing_version += 1
        listing = make_listing(self._listing_version, *self._servers)
        for n in range(self.hosts):
            self._post(n, listing)

    def _answer(
        self, n: int, send: SendRequest, name: str, sent_at: float
    ) -> None:
        if self.simulated[name].incarnation != send.server.incarnation:
            self._end_early(n, send, AttemptOutcome.BROKEN)
            return
        self._tell_brittleness(n, send, sent_at)
        limit = self.limits.get(name)
        if limit is not None:
            self.named_at.setdefault(name, self.now)
            self.told_at.setdefault((name, n), self.now + LINK_S)
        self._later(
            self.now + LINK_S, lambda: self._end(n, send, limit, sent_at)
        )

    def _end(
        self, n: int, send: SendRequest, limit: float | None, sent_at: float
    ) -> None:
        known = self.nodes[n].load_balancer.limits.limit_of(
            send.server.server_id
        )
        if limit is not None or known is not None:
            seen = ServerLimitSeen(
                server=send.server, per_s=limit, sent_at=sent_at
            )
            self._post(n, seen)
        if self.nodes[n].load_balancer.paths.lost_services():
            # The times of other answers are left out, so that all servers
            # look the same to the load balancer.
            self._post(n, ResponseStarted(request_id=send.request_id))
        self._post(
            n,
            AttemptFinished(
                request_id=send.request_id, outcome=AttemptOutcome.DONE
            ),
        )
        relayed_by = self.relayed_by.pop((n, send.request_id), None)
        if relayed_by is not None:
            self._end_relay(relayed_by, send.request_id, AttemptOutcome.DONE)
        call = self.calls[send.request_id]
        call.is_served, call.ended_at = True, self.now

    @property
    def served(self) -> int:
        """The number of callers' requests that were served."""
        return sum(call.is_served for call in self.calls.values())

    def served_at(
        self, hosts: set[int], since: float, until: float
    ) -> tuple[int, int]:
        """Return the served and all requests that arrived at some hosts."""
        calls = [
            call
            for call in self.calls.values()
            if call.host in hosts and since <= call.arrived_at < until
        ]
        return sum(call.is_served for call in calls), len(calls)

    def _tell_brittleness(
        self, n: int, send: SendRequest, sent_at: float
    ) -> None:
        """Let a response tell whether its server is brittle."""
        brittle = self.simulated[str(send.server.server_id)].brittle
        seen = BrittlenessSeen(
            server=send.server, rejections_per_s=brittle, sent_at=sent_at
        )
        if brittle is not None:
            self._later(self.now + LINK_S, lambda: self._post(n, seen))

    # What the rule counts

    def counted(self, name: str) -> list[float]:
        """Return the times of the requests that the rule counts."""
        since = self.named_at.get(name, float("inf")) + CONTACT_S
        return [
            at
            for at, n in self.arrivals[name]
            if at >= since
            and at - TOLD_S >= self.told_at.get((name, n), float("inf"))
        ]

    def excess(self, name: str, limit: float) -> float:
        """Return by how much the fullest window is over what is allowed."""
        allowed = RATIO * limit * WINDOW_S + EXTRA
        return fullest_window(self.counted(name)) - allowed

    def arrived(self, name: str, since: float, until: float) -> int:
        """Return how many requests reached a server in a time, of any host."""
        return sum(since <= at < until for at, _ in self.arrivals[name])

    def server(self, name: str) -> Server:
        """Return one of the servers."""
        [found] = [s for s in self._servers if s.server_id == ServerId(name)]
        return found


def fullest_window(times: list[float], window_s: float = WINDOW_S) -> int:
    """Return the most events in any window of this length."""
    most, first = 0, 0
    for last, at in enumerate(times):
        while times[first] <= at - window_s:
            first += 1
        most = max(most, last - first + 1)
    return most
