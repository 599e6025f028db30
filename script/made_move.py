"""Discrete-event simulation of one version move, on simulated time.

Hosts, servers, requests and faults are simulated; the decisions are those
of the core. No sockets and no processes are involved.
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
OLD_VERSION, NEW_VERSION = VersionId("v1"), VersionId("v2")
MOVE_ID = "m1"
HOSTS = 4
NEEDED_SERVERS = 6
SLOTS = 8
REQUESTS_PER_S = 40.0
BASE_LATENCY_S = 0.55
MAX_LOAD_RATIO = 1.25
ROUTE_SHARES = {"/draft": 0.5, "/answer": 0.3, "/summary": 0.15, "/tag": 0.05}
LATENCY_FACTORS = {"/draft": 1.6, "/answer": 0.6, "/summary": 0.8, "/tag": 0.2}
DEADLINE_S = 600.0
TICK_S = 0.5
GOSSIP_INTERVAL_S = 1.0
FAULT_KINDS = ("at once", "late", "load", "route")
HASH_RANGE = 1 << 32
POLICIES = {
    "paced": (PacedPolicy, SequentialJudge),
    "fixed steps": (FixedStepPolicy, FixedThresholdJudge),
}


@dataclass
class Fault:
    """A fault of the new version.

    `kind` is one of `FAULT_KINDS`: present at once, after an onset, under
    high load only, or on one route only.
    """

    kind: str
    failure_ratio: float = 0.0
    latency_factor: float = 1.0
    onset_s: float = 0.0
    counts_from_server_start: bool = False
    route: str = ""


@dataclass
class SimulatedServer:
    """A simulated backend server."""

    name: ServerId
    version: VersionId
    ready_at: float
    running: int = 0
    stalled_until: float = 0.0


@dataclass
class MoveResult:
    """The outcome of one move and the figures of its faults."""

    kind: str
    outcome: str = ""
    in_time: bool = False
    onset_at: float | None = None
    stop_marked_at: float | None = None
    last_new_request_at: float = 0.0
    new_requests: int = 0
    total_requests: int = 0
    share_at_stop_mark: float = 0.0
    share_at_onset: float = 0.0
    explanation: str = ""
    score: float = 0.0


def make_fault(kind: str, rng: Random) -> Fault | None:
    """Return a random fault of the kind, large enough for users to notice."""
    if kind == "good":
        return None
    fault = Fault(kind=kind)
    if rng.random() < 0.5:
        fault.failure_ratio = rng.uniform(0.1, 0.6)
    else:
        fault.latency_factor = rng.uniform(1.8, 4.0)
    if kind == "late":
        fault.counts_from_server_start = rng.random() < 0.5
        fault.onset_s = rng.uniform(0.1, 0.85) * DEADLINE_S
    if kind == "route":
        fault.route = rng.choice(sorted(ROUTE_SHARES))
    return fault


@dataclass
class SimulatedMove:
    """One version move from its start to its end, seeded."""

    seed: int
    kind: str
    policy: str
    slots: int = SLOTS
    now: float = 0.0
    result: MoveResult = field(init=False)

    def __post_init__(self) -> None:
        self.rng = Random(f"{self.seed}/{self.kind}")
        self.fault = make_fault(self.kind, self.rng)
        policy, judge = POLICIES[self.policy]
        self.driver = MoveDriver(policy())
        self.recorders = [
            EvidenceRecorder(HostId(f"h{i}"), 1, judge()) for i in range(HOSTS)
        ]
        self.stop_marks = [()] * HOSTS
        self.messages = deque()
        self.record = plan_move(
            policy(),
            move_id=MOVE_ID,
            service=SERVICE,
            old_version=OLD_VERSION,
            new_version=NEW_VERSION,
            created_unix=60.0,
            deadline_unix=60.0 + DEADLINE_S,
        )
        self.record_version = 1
        self.host_records = [self.record] * HOSTS
        self.servers = [
            SimulatedServer(
                name=ServerId(f"old-{i}"), version=OLD_VERSION, ready_at=0.0
            )
            for i in range(NEEDED_SERVERS)
        ]
        self.completions = []
        self.request_count = 0
        self.overload_until = 0.0
        self.mean_running = 0.0
        self.result = MoveResult(kind=self.kind)

    def run(self) -> MoveResult:
        """Run until 5 s after the end of the move and return the result."""
        next_tick, arrival, ended_at = 0.0, 0.0, None
        while ended_at is None or self.now < ended_at + 5.0:
            arrival += self.rng.expovariate(self.arrival_rate())
            while next_tick <= arrival:
                self.now = next_tick
                self.record_finished_requests()
                self.tick()
                next_tick += TICK_S
            self.now = arrival
            self.record_finished_requests()
            self.handle_arrival()
            if ended_at is None and self.record.ended:
                ended_at = self.now
        self.record_end()
        return self.result

    def arrival_rate(self) -> float:
        """Return the current request rate per second.

        It is 1.5 times as high during the random overloads.
        """
        if self.now < self.overload_until:
            return REQUESTS_PER_S * 1.5
        return REQUESTS_PER_S

    def tick(self) -> None:
        """Run one control period of `TICK_S` on all hosts.

        Random overloads and server stalls start here too, and messages
        between the hosts are delivered.
        """
        if self.rng.random() < TICK_S / 150:
            self.overload_until = self.now + self.rng.uniform(10, 30)
        for server in self.servers:
            if self.rng.random() < TICK_S / 300:
                stall_s = self.rng.uniform(1, 3)
                server.stalled_until = self.now + stall_s
        running = sum(m.running for m in self.servers)
        self.mean_running += 0.02 * (running - self.mean_running)
        while self.messages and self.messages[0][0] <= self.now:
            _, host, evidence, stop_marks, record = self.messages.popleft()
            self.recorders[host].merge(evidence)
            self.host_records[host] = record
            self.stop_marks[host] = self.stop_marks[host] or stop_marks
        if self.now < self.record.created_unix:
            return
        self.watch_move()
        for host in range(HOSTS):
            self.judge(host)
        self.tick_driver()
        if self.now % GOSSIP_INTERVAL_S:
            return
        for host, recorder in enumerate(self.recorders):
            evidence = recorder.snapshot(MOVE_ID)
            for peer in range(HOSTS):
                if peer != host:
                    update = (evidence, self.stop_marks[host], self.record)
                    self.messages.append(
                        (self.now + GOSSIP_INTERVAL_S, peer, *update)
                    )

    def watch_move(self) -> None:
        """Make all hosts record evidence for the move."""
        for recorder in self.recorders:
            recorder.watch(
                MOVE_ID,
                service=SERVICE,
                old=OLD_VERSION,
                new=NEW_VERSION,
                duration_s=DEADLINE_S,
            )

    def judge(self, host: int) -> None:
        """Evaluate the evidence on one host; set its stop mark, or close."""
        recorder, record = self.recorders[host], self.host_records[host]
        verdict = recorder.verdict(self.now, MOVE_ID)
        mark = make_stop_mark(record, verdict)
        if verdict:
            self.result.score = max(self.result.score, verdict.score)
        if mark and not self.stop_marks[host]:
            self.stop_marks[host] = (mark,)
            recorder.record_stop_mark(MOVE_ID)
            if self.result.stop_marked_at is None:
                self.result.stop_marked_at = self.now
                self.result.share_at_stop_mark = self.new_version_share()
        if may_close(record, self.now) and not self.stop_marks[host]:
            recorder.close(MOVE_ID)

    def tick_driver(self) -> None:
        """Tick the move driver on the lease holder, which is host 0."""
        recorder = self.recorders[0]
        ready = [m for m in self.servers if m.ready_at <= self.now]
        ready_new = tuple(m.name for m in ready if m.version == NEW_VERSION)
        new_count = sum(m.version == NEW_VERSION for m in self.servers)
        closed = recorder.closed_hosts(MOVE_ID)
        hosts = tuple(HostId(f"h{i}") for i in range(HOSTS))
        view = MoveView(
            unix_now=self.now,
            record=self.record,
            record_version=self.record_version,
            fencing=1,
            stop_marks=self.stop_marks[0],
            verdict=recorder.verdict(self.now, MOVE_ID),
            new_servers=ready_new,
            old_servers=tuple(
                m.name for m in ready if m.version == OLD_VERSION
            ),
            starting_new=new_count - len(ready_new),
            start_s=45.0,
            needed=NEEDED_SERVERS,
            full_load_share=self.slots * 0.95 / max(self.mean_running, 1.0),
            route_shares=recorder.route_shares(MOVE_ID),
            new_running=sum(
                m.running for m in ready if m.version == NEW_VERSION
            ),
            open_hosts=tuple(h for h in hosts if h not in closed),
        )
        for action in self.driver.tick(view):
            if isinstance(action, WriteMove):
                self.record = action.record
                self.host_records[0] = action.record
                self.record_version += 1
            elif isinstance(action, StartServers):
                self.start_servers(action)

    def start_servers(self, action: StartServers) -> None:
        """Start servers; the platform refuses one start in ten."""
        for order_id in action.order_ids:
            if self.rng.random() < 0.1:
                continue
            ready_at = self.now + self.rng.uniform(20, 40)
            server = SimulatedServer(
                name=ServerId(order_id), version=NEW_VERSION, ready_at=ready_at
            )
            self.servers.append(server)

    def handle_arrival(self) -> None:
        """Route one request on a random host; refuse it if all are full."""
        host = self.rng.randrange(HOSTS)
        route = self.rng.choices(
            list(ROUTE_SHARES), list(ROUTE_SHARES.values())
        )[0]
        record = self.host_records[host]
        choice = choose_version(
            record,
            self.stop_marks[host],
            self.rng.randrange(HASH_RANGE),
            route,
            self.now,
        )
        ready = [
            m
            for m in self.servers
            if m.version == choice.version and m.ready_at <= self.now
        ]
        candidates = [m for m in ready if m.name in choice.servers]
        candidates = [
            m for m in candidates if m.running < MAX_LOAD_RATIO * self.slots
        ]
        server = min(
            candidates or ready, key=lambda m: m.running, default=None
        )
        if server and server.running < MAX_LOAD_RATIO * self.slots:
            self.dispatch(host, route, server)

    def dispatch(self, host: int, route: str, server: SimulatedServer) -> None:
        """Send one request to a server and draw its outcome and latency."""
        band = load_band(server.running, self.slots)
        load = server.running / self.slots
        server.running += 1
        latency_s = BASE_LATENCY_S * LATENCY_FACTORS[route]
        latency_s *= self.rng.lognormvariate(0, 0.35)
        latency_s *= 1 + 2 * max(0.0, load - 0.7)
        if self.now < server.stalled_until:
            latency_s *= 2.5
        failure_ratio = 0.003 + 0.1 * max(0.0, load - 1.0)
        if server.version == NEW_VERSION:
            self.result.last_new_request_at = self.now
            failure_ratio, latency_s = self.apply_fault(
                route, server, load, failure_ratio, latency_s
            )
        if (
            self.record.canary_since_unix
            and self.result.stop_marked_at is None
        ):
            self.result.total_requests += 1
            self.result.new_requests += server.version == NEW_VERSION
        ok = self.rng.random() >= failure_ratio
        self.request_count += 1
        completion = (
            self.now + (latency_s if ok else 0.2),
            self.request_count,
            host,
            server,
            route,
            band,
            ok,
            latency_s,
        )
        heapq.heappush(self.completions, completion)

    def apply_fault(
        self,
        route: str,
        server: SimulatedServer,
        load: float,
        failure_ratio: float,
        latency_s: float,
    ) -> tuple[float, float]:
        """Return failure ratio and latency, worsened where the fault acts."""
        fault = self.fault
        if fault is None:
            return failure_ratio, latency_s
        since = (
            server.ready_at
            if fault.counts_from_server_start
            else self.record.created_unix
        )
        before_onset = (
            fault.kind == "late" and self.now - since < fault.onset_s
        )
        low_load = fault.kind == "load" and load < 0.85
        other_route = fault.kind == "route" and route != fault.route
        if before_onset or low_load or other_route:
            return failure_ratio, latency_s
        if self.result.onset_at is None:
            self.result.onset_at = self.now
            self.result.share_at_onset = self.record.share
        return (
            failure_ratio + fault.failure_ratio,
            latency_s * fault.latency_factor,
        )

    def record_finished_requests(self) -> None:
        """Record the outcome of each request that has finished by now."""
        while self.completions and self.completions[0][0] <= self.now:
            completion = heapq.heappop(self.completions)
            _, _, host, server, route, band, ok, latency_s = completion
            server.running -= 1
            self.recorders[host].record_outcome(
                self.now,
                SERVICE,
                server.version,
                route,
                band,
                ok,
                latency_s,
                server.name in self.record.canary_servers,
            )

    def new_version_share(self) -> float:
        """Return the new version's share of the requests since the canary."""
        return self.result.new_requests / max(self.result.total_requests, 1)

    def record_end(self) -> None:
        """Copy the end of the move into the result."""
        outcome = self.record.outcome
        self.result.outcome = outcome.kind
        self.result.explanation = outcome.explanation
        self.result.in_time = outcome.at_unix <= self.record.deadline_unix
        assert not any(
            is_stopped(self.record, m) for m in self.stop_marks
        ) or (outcome.kind is not OutcomeKind.DONE)
