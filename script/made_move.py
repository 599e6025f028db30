"""One made version move: hosts, servers, requests and faults on made time.

It drives the decisions of the core; nothing here is a server or a socket.
"""

import heapq
from collections import deque
from dataclasses import dataclass, field
from random import Random

from waxwingarch.core.base import HostId, ServerId, ServiceId, VersionId
from waxwingarch.core.moves.evidence import EvidenceRecorder
from waxwingarch.core.moves.move import (
    MoveDriver,
    MoveView,
    StartServers,
    make_stop_mark,
    may_close,
    plan_move,
)
from waxwingarch.core.moves.move_baseline import (
    FixedStepPolicy,
    FixedThresholdJudge,
)
from waxwingarch.core.moves.move_counts import load_band
from waxwingarch.core.moves.move_judge import SequentialJudge
from waxwingarch.core.moves.move_policy import PacedPolicy
from waxwingarch.core.moves.move_record import OutcomeKind, WriteMove
from waxwingarch.core.moves.move_split import choose_version, is_stopped

SERVICE = ServiceId("waxwing-pool")
OLD, NEW = VersionId("v1"), VersionId("v2")
MOVE = "m1"
HOSTS = 4
SERVERS = 6
SLOTS = 8
RATE = 40.0
SERVICE_S = 0.55
REFUSED_ABOVE = 1.25
ROUTES = {"/draft": 0.5, "/answer": 0.3, "/summary": 0.15, "/tag": 0.05}
ROUTE_FACTOR = {"/draft": 1.6, "/answer": 0.6, "/summary": 0.8, "/tag": 0.2}
DEADLINE_S = 600.0
TICK_S = 0.5
GOSSIP_S = 1.0
KINDS = ("at once", "late", "load", "route")
HASH_RANGE = 1 << 32
POLICIES = {
    "paced": (PacedPolicy, SequentialJudge),
    "fixed steps": (FixedStepPolicy, FixedThresholdJudge),
}


@dataclass
class Fault:
    """What is wrong with the new version."""

    kind: str
    fails: float = 0.0
    slower: float = 1.0
    onset: float = 0.0
    by_age: bool = False
    route: str = ""


@dataclass
class Machine:
    """A made server."""

    name: ServerId
    version: VersionId
    ready: float
    running: int = 0
    stalled_until: float = 0.0


@dataclass
class Result:
    """What became of one move."""

    kind: str
    outcome: str = ""
    in_time: bool = False
    onset: float | None = None
    shown: float | None = None
    last_new: float = 0.0
    new: int = 0
    all: int = 0
    share_shown: float = 0.0
    share_onset: float = 0.0
    explanation: str = ""
    score: float = 0.0


def made_fault(kind: str, rng: Random) -> Fault | None:
    """Return a fault of the kind, of a size that a user would notice."""
    if kind == "good":
        return None
    fault = Fault(kind=kind)
    if rng.random() < 0.5:
        fault.fails = rng.uniform(0.1, 0.6)
    else:
        fault.slower = rng.uniform(1.8, 4.0)
    if kind == "late":
        fault.by_age = rng.random() < 0.5
        fault.onset = rng.uniform(0.1, 0.85) * DEADLINE_S
    if kind == "route":
        fault.route = rng.choice(sorted(ROUTES))
    return fault


@dataclass
class SimulatedMove:
    """One move from its start to its end."""

    seed: int
    kind: str
    policy: str
    slots: int = SLOTS
    now: float = 0.0
    result: Result = field(init=False)

    def __post_init__(self) -> None:
        self.rng = Random(f"{self.seed}/{self.kind}")
        self.fault = made_fault(self.kind, self.rng)
        policy, judge = POLICIES[self.policy]
        self.driver = MoveDriver(policy())
        self.books = [
            EvidenceRecorder(HostId(f"h{i}"), 1, judge()) for i in range(HOSTS)
        ]
        self.marks = [()] * HOSTS
        self.mail = deque()
        self.record = plan_move(
            policy(),
            move_id=MOVE,
            service=SERVICE,
            old_version=OLD,
            new_version=NEW,
            created_unix=60.0,
            deadline_unix=60.0 + DEADLINE_S,
        )
        self.version = 1
        self.seen = [self.record] * HOSTS
        self.machines = [
            Machine(name=ServerId(f"old-{i}"), version=OLD, ready=0.0)
            for i in range(SERVERS)
        ]
        self.ends = []
        self.count = 0
        self.overload_until = 0.0
        self.running = 0.0
        self.result = Result(kind=self.kind)

    def run(self) -> Result:
        """Run to the end of the move and a little on."""
        next_tick, arrival, ended = 0.0, 0.0, None
        while ended is None or self.now < ended + 5.0:
            arrival += self.rng.expovariate(self.rate())
            while next_tick <= arrival:
                self.now = next_tick
                self.finish()
                self.tick()
                next_tick += TICK_S
            self.now = arrival
            self.finish()
            self.arrive()
            if ended is None and self.record.ended:
                ended = self.now
        self.conclude()
        return self.result

    def rate(self) -> float:
        """Return the requests a second now; overloads come at random."""
        if self.now < self.overload_until:
            return RATE * 1.5
        return RATE

    def tick(self) -> None:
        """Let half a second's control work be done."""
        if self.rng.random() < TICK_S / 150:
            self.overload_until = self.now + self.rng.uniform(10, 30)
        for machine in self.machines:
            if self.rng.random() < TICK_S / 300:
                stall = self.rng.uniform(1, 3)
                machine.stalled_until = self.now + stall
        running = sum(m.running for m in self.machines)
        self.running += 0.02 * (running - self.running)
        while self.mail and self.mail[0][0] <= self.now:
            _, host, evidence, marks, record = self.mail.popleft()
            self.books[host].merge(evidence)
            self.seen[host] = record
            self.marks[host] = self.marks[host] or marks
        if self.now < self.record.created_unix:
            return
        self.watch()
        for host in range(HOSTS):
            self.judge(host)
        self.drive()
        if self.now % GOSSIP_S:
            return
        for host, book in enumerate(self.books):
            evidence = book.snapshot(MOVE)
            for peer in range(HOSTS):
                if peer != host:
                    mail = (evidence, self.marks[host], self.record)
                    self.mail.append((self.now + GOSSIP_S, peer, *mail))

    def watch(self) -> None:
        """Let all hosts learn of the move."""
        for book in self.books:
            book.watch(
                MOVE,
                service=SERVICE,
                old=OLD,
                new=NEW,
                duration_s=DEADLINE_S,
            )

    def judge(self, host: int) -> None:
        """Let one host judge, stop and close."""
        book, record = self.books[host], self.seen[host]
        verdict = book.verdict(self.now, MOVE)
        mark = make_stop_mark(record, verdict)
        if verdict:
            self.result.score = max(self.result.score, verdict.score)
        if mark and not self.marks[host]:
            self.marks[host] = (mark,)
            book.record_stop_mark(MOVE)
            if self.result.shown is None:
                self.result.shown = self.now
                self.result.share_shown = self.share()
        if may_close(record, self.now) and not self.marks[host]:
            book.close(MOVE)

    def drive(self) -> None:
        """Let the lease holder, host 0, tick."""
        book = self.books[0]
        ready = [m for m in self.machines if m.ready <= self.now]
        new = tuple(m.name for m in ready if m.version == NEW)
        all_new = sum(m.version == NEW for m in self.machines)
        closed = book.closed_hosts(MOVE)
        hosts = tuple(HostId(f"h{i}") for i in range(HOSTS))
        view = MoveView(
            unix_now=self.now,
            record=self.record,
            record_version=self.version,
            fencing=1,
            stop_marks=self.marks[0],
            verdict=book.verdict(self.now, MOVE),
            new_servers=new,
            old_servers=tuple(m.name for m in ready if m.version == OLD),
            starting_new=all_new - len(new),
            start_s=45.0,
            needed=SERVERS,
            full_load_share=self.slots * 0.95 / max(self.running, 1.0),
            route_shares=book.route_shares(MOVE),
            new_running=sum(m.running for m in ready if m.version == NEW),
            open_hosts=tuple(h for h in hosts if h not in closed),
        )
        for action in self.driver.tick(view):
            if isinstance(action, WriteMove):
                self.record = action.record
                self.seen[0] = action.record
                self.version += 1
            elif isinstance(action, StartServers):
                self.start(action)

    def start(self, action: StartServers) -> None:
        """Start servers; one start in ten is refused."""
        for order_id in action.order_ids:
            if self.rng.random() < 0.1:
                continue
            ready = self.now + self.rng.uniform(20, 40)
            machine = Machine(
                name=ServerId(order_id), version=NEW, ready=ready
            )
            self.machines.append(machine)

    def arrive(self) -> None:
        """Route one request at a random host."""
        host = self.rng.randrange(HOSTS)
        route = self.rng.choices(list(ROUTES), list(ROUTES.values()))[0]
        record = self.seen[host]
        choice = choose_version(
            record,
            self.marks[host],
            self.rng.randrange(HASH_RANGE),
            route,
            self.now,
        )
        ready = [
            m
            for m in self.machines
            if m.version == choice.version and m.ready <= self.now
        ]
        named = [m for m in ready if m.name in choice.servers]
        named = [m for m in named if m.running < REFUSED_ABOVE * self.slots]
        machine = min(named or ready, key=lambda m: m.running, default=None)
        if machine and machine.running < REFUSED_ABOVE * self.slots:
            self.dispatch(host, route, machine)

    def dispatch(self, host: int, route: str, machine: Machine) -> None:
        """Send one request to a server and make up its outcome."""
        band = load_band(machine.running, self.slots)
        load = machine.running / self.slots
        machine.running += 1
        latency = SERVICE_S * ROUTE_FACTOR[route]
        latency *= self.rng.lognormvariate(0, 0.35)
        latency *= 1 + 2 * max(0.0, load - 0.7)
        if self.now < machine.stalled_until:
            latency *= 2.5
        failing = 0.003 + 0.1 * max(0.0, load - 1.0)
        if machine.version == NEW:
            self.result.last_new = self.now
            failing, latency = self.worsen(
                route, machine, load, failing, latency
            )
        if self.record.canary_since_unix and self.result.shown is None:
            self.result.all += 1
            self.result.new += machine.version == NEW
        ok = self.rng.random() >= failing
        self.count += 1
        end = (
            self.now + (latency if ok else 0.2),
            self.count,
            host,
            machine,
            route,
            band,
            ok,
            latency,
        )
        heapq.heappush(self.ends, end)

    def worsen(
        self,
        route: str,
        machine: Machine,
        load: float,
        failing: float,
        latency: float,
    ) -> tuple[float, float]:
        """Apply the fault of the new version where it strikes."""
        fault = self.fault
        if fault is None:
            return failing, latency
        since = machine.ready if fault.by_age else self.record.created_unix
        late = fault.kind == "late" and self.now - since < fault.onset
        light = fault.kind == "load" and load < 0.85
        other = fault.kind == "route" and route != fault.route
        if late or light or other:
            return failing, latency
        if self.result.onset is None:
            self.result.onset = self.now
            self.result.share_onset = self.record.share
        return failing + fault.fails, latency * fault.slower

    def finish(self) -> None:
        """Record what has ended by now."""
        while self.ends and self.ends[0][0] <= self.now:
            end = heapq.heappop(self.ends)
            _, _, host, machine, route, band, ok, latency = end
            machine.running -= 1
            self.books[host].record_outcome(
                self.now,
                SERVICE,
                machine.version,
                route,
                band,
                ok,
                latency,
                machine.name in self.record.canary_servers,
            )

    def share(self) -> float:
        """Return the new version's share of requests since the canary."""
        return self.result.new / max(self.result.all, 1)

    def conclude(self) -> None:
        """Note how the move ended."""
        outcome = self.record.outcome
        self.result.outcome = outcome.kind
        self.result.explanation = outcome.explanation
        self.result.in_time = outcome.at_unix <= self.record.deadline_unix
        assert not any(is_stopped(self.record, m) for m in self.marks) or (
            outcome.kind is not OutcomeKind.DONE
        )
