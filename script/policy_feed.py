"""Queueing simulation of servers and entry hosts on simulated time.

Each server has slots, one prefill at a time, a prefix cache of limited
size with least recently used eviction, and a speed and price by machine
class. All entry hosts receive the same load reports with a delay. Cache
events reach two watching hosts with a delay and with losses; the other
hosts receive summaries from a watching host.
"""

import heapq
import time
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from hdrh.histogram import HdrHistogram
from policy_workload import (
    BLOCK_TOKENS,
    Arrival,
    Deployment,
    generate_arrivals,
)

from waxwingarch.core.base import (
    AccountId,
    FailureDomain,
    RequestId,
    Server,
    ServerId,
    ServerKind,
    ServiceId,
    VersionId,
)
from waxwingarch.core.placement.placement_messages import (
    Outcome,
    Placement,
    PlacementRequest,
    ServerView,
)
from waxwingarch.core.placement.prefix import CacheEvent, CacheOp, PrefixIndex

SLOTS = 8
CACHE_BLOCKS = 1500
REPORT_INTERVAL_S = 1.0
REPORT_LAG_S = 0.5
EVENT_LOSS_RATIO = 0.1
WARM_UP_S = 30.0
DECODE_TOKENS_PER_S = 60.0
# Price factor of each failure domain.
DOMAIN_PRICE_FACTORS = (0.8, 1.0, 1.0, 1.3)
# Price, and prefilled tokens per second.
MACHINE_CLASSES = {"small": (1.0, 2500.0), "large": (2.2, 4000.0)}
EXPECTED_SLOT_S = 2.5


@dataclass(kw_only=True, slots=True)
class RunningRequest:
    """A request in progress on a server."""

    arrival: Arrival
    started_at: float
    first_token_at: float
    ends_at: float
    tokens_per_s: float


class SimulatedServer:
    """One backend server of the simulation."""

    def __init__(self, number: int, cache_blocks: int) -> None:
        machine_class = "large" if number % 3 == 2 else "small"
        price, self.prefill_tokens_per_s = MACHINE_CLASSES[machine_class]
        domain = number % len(DOMAIN_PRICE_FACTORS)
        self.info = Server(
            server_id=ServerId(f"s{number}"),
            address="",
            failure_domain=FailureDomain(f"zone-{domain}"),
            service=ServiceId("waxwing-pool"),
            kind=ServerKind.ENGINE,
            version=VersionId("v1"),
            machine_class=machine_class,
            reclaimable=True,
            price=price * DOMAIN_PRICE_FACTORS[domain],
            slots=SLOTS,
            incarnation=1,
        )
        self.cache_blocks = cache_blocks
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.running: dict[int, RunningRequest] = {}
        self.waiting: list[Arrival] = []
        self.prefill_free_at = 0.0
        self.events: list[CacheEvent] = []
        self.sequence = 0

    def cached_blocks(self, blocks: tuple[int, ...]) -> int:
        """Return the number of leading blocks of a prompt in the cache."""
        count = 0
        for block in blocks:
            if block not in self.cache:
                break
            count += 1
        return count

    def start(
        self, now: float, arrival: Arrival
    ) -> tuple[RunningRequest, int]:
        """Start a request; return it and its number of cached blocks."""
        cached = self.cached_blocks(arrival.blocks)
        self._insert_blocks(arrival.blocks)
        missing = (len(arrival.blocks) - cached) * BLOCK_TOKENS
        prefill_at = max(now, self.prefill_free_at)
        self.prefill_free_at = prefill_at + missing / self.prefill_tokens_per_s
        speed = DECODE_TOKENS_PER_S / (1 + 0.5 * len(self.running) / SLOTS)
        first_at = self.prefill_free_at + 1 / speed
        running = RunningRequest(
            arrival=arrival,
            started_at=now,
            first_token_at=first_at,
            ends_at=first_at + arrival.output_tokens / speed,
            tokens_per_s=speed,
        )
        self.running[arrival.number] = running
        return running, cached

    def _insert_blocks(self, blocks: tuple[int, ...]) -> None:
        # The end of a prompt is least likely to be reused, so it is
        # inserted first and evicted first.
        for block in reversed(blocks):
            if block not in self.cache:
                self._record_cache_event(CacheOp.ADD, block)
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > self.cache_blocks:
            block, _ = self.cache.popitem(last=False)
            self._record_cache_event(CacheOp.EVICT, block)

    def _record_cache_event(self, op: CacheOp, block: int) -> None:
        self.sequence += 1
        self.events.append(
            CacheEvent(sequence=self.sequence, op=op, block=f"{block:x}")
        )


@dataclass(kw_only=True)
class PolicyResult:
    """Figures of one run of one policy.

    `peak_ratios` are, for each load report interval, the requests sent to
    the busiest server over the mean of all servers.
    """

    first_token_us: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, 600_000_000, 3)
    )
    decision_ns: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, 1_000_000_000, 3)
    )
    requests: int = 0
    in_time: int = 0
    reused_tokens: int = 0
    prompt_tokens: int = 0
    reusable_tokens: int = 0
    cost: float = 0.0
    peak_ratios: list[float] = field(default_factory=list)


@dataclass(kw_only=True)
class SimulatedHost:
    """An entry host: its placement policy and its prefix index."""

    placement: Placement
    prefixes: PrefixIndex


HostFactory = Callable[[Random, int], SimulatedHost]
Observer = Callable[[float, list[SimulatedServer]], None]


class PlacementSimulation:
    """Runs one policy against one workload.

    An event named `report` is handled by the method `_report`.
    """

    def __init__(
        self,
        deployment: Deployment,
        make_host: HostFactory,
        seed: int,
        duration_s: float,
        load: float,
        cache_blocks: int = CACHE_BLOCKS,
        observe: Observer | None = None,
    ) -> None:
        self._rng = Random(seed)
        self._servers = [
            SimulatedServer(n, cache_blocks) for n in range(deployment.servers)
        ]
        self._servers_by_id = {s.info.server_id: s for s in self._servers}
        self._hosts = [
            make_host(Random(seed * 1000 + n), deployment.hosts)
            for n in range(deployment.hosts)
        ]
        self._views: list[ServerView] = []
        self._dispatch_counts: Counter[str] = Counter()
        self._events: list[tuple[float, int, str, object]] = []
        self._seen_blocks: set[int] = set()
        self._sequence = 0
        self._duration_s = duration_s
        self._observe = observe
        self.result = PolicyResult()
        workload = generate_arrivals(
            deployment, Random(seed + 1), duration_s, load
        )
        for arrival in workload:
            self._schedule(arrival.at, "arrive", arrival)
        self._schedule(0.0, "report", None)

    def run(self) -> PolicyResult:
        """Run until all requests have finished and return the figures."""
        while self._events:
            now, _, name, value = heapq.heappop(self._events)
            getattr(self, f"_{name}")(now, value)
        return self.result

    def _schedule(self, at: float, name: str, value: object) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at, self._sequence, name, value))

    def _arrive(self, now: float, arrival: Arrival) -> None:
        req = PlacementRequest(
            request_id=RequestId(str(arrival.number)),
            account=AccountId("account"),
            blocks=arrival.blocks,
            prompt_tokens=arrival.prompt_tokens,
            expected_s=arrival.kind.output_tokens / DECODE_TOKENS_PER_S,
            first_token_at=now + arrival.kind.first_token_s,
        )
        placement = self._hosts[arrival.host].placement
        start_ns = time.perf_counter_ns()
        choice = placement.choose(now, req, self._views)
        self.result.decision_ns.record_value(time.perf_counter_ns() - start_ns)
        assert choice is not None
        placement.record_dispatch(now, req, choice.server_id)
        self._dispatch_counts[choice.server_id] += 1
        server = self._servers_by_id[choice.server_id]
        if len(server.running) < SLOTS:
            self._start(now, server, arrival, choice.matched_blocks)
        else:
            server.waiting.append(arrival)

    def _start(
        self,
        now: float,
        server: SimulatedServer,
        arrival: Arrival,
        predicted_blocks: int,
    ) -> None:
        reusable_blocks = self._count_reusable_blocks(arrival.blocks)
        running, cached = server.start(now, arrival)
        self._schedule(running.ends_at, "end", (server, running))
        prefixes = self._hosts[arrival.host].prefixes
        server_id = server.info.server_id
        prefixes.record_prefix_hit(server_id, predicted_blocks, cached)
        if arrival.at < WARM_UP_S:
            return
        first_token_s = running.first_token_at - arrival.at
        result = self.result
        result.requests += 1
        result.in_time += first_token_s <= arrival.kind.first_token_s
        result.first_token_us.record_value(int(first_token_s * 1e6))
        result.reused_tokens += cached * BLOCK_TOKENS
        result.prompt_tokens += arrival.prompt_tokens
        result.reusable_tokens += reusable_blocks * BLOCK_TOKENS
        slot_s = running.ends_at - running.started_at
        result.cost += server.info.price * slot_s / SLOTS / 3600

    def _count_reusable_blocks(self, blocks: tuple[int, ...]) -> int:
        """Return the leading blocks that one unlimited cache would hold."""
        reusable_blocks = 0
        while (
            reusable_blocks < len(blocks)
            and blocks[reusable_blocks] in self._seen_blocks
        ):
            reusable_blocks += 1
        self._seen_blocks.update(blocks)
        return reusable_blocks

    def _end(
        self, now: float, value: tuple[SimulatedServer, RunningRequest]
    ) -> None:
        server, running = value
        arrival = running.arrival
        del server.running[arrival.number]
        self._hosts[arrival.host].placement.record_outcome(
            now, RequestId(str(arrival.number)), Outcome.OK
        )
        if server.waiting:
            self._start(now, server, server.waiting.pop(0), 0)

    def _report(self, now: float, value: object) -> None:
        """Record the loads now; they reach the hosts after a delay."""
        views = [
            ServerView(
                server=server.info,
                running=len(server.running),
                waiting=len(server.waiting),
                load_at=now,
                prefill_tokens_per_s=server.prefill_tokens_per_s,
                slot_s=EXPECTED_SLOT_S,
            )
            for server in self._servers
        ]
        for server in self._servers:
            self._schedule(
                now + REPORT_LAG_S, "cache", (server, server.events)
            )
            server.events = []
        self._schedule(now + REPORT_LAG_S, "deliver", views)
        if now < self._duration_s:
            self._schedule(now + REPORT_INTERVAL_S, "report", None)
        if not self._views:
            self._views = views
        if self._observe is not None and now >= WARM_UP_S:
            self._observe(now, self._servers)

    def _deliver(self, now: float, views: list[ServerView]) -> None:
        """Deliver a report to all hosts and record the last peak ratio."""
        total = sum(self._dispatch_counts.values())
        if total >= len(self._servers):
            peak_ratio = (
                max(self._dispatch_counts.values())
                * len(self._servers)
                / total
            )
            self.result.peak_ratios.append(peak_ratio)
        self._dispatch_counts.clear()
        self._views = views

    def _cache(
        self, now: float, value: tuple[SimulatedServer, list[CacheEvent]]
    ) -> None:
        """Deliver cache events to two watchers, summaries to the others."""
        server, events = value
        server_id = server.info.server_id
        number = self._servers.index(server)
        count = len(self._hosts)
        watchers = {number % count, (number + count // 2) % count}
        for watcher in sorted(watchers):
            received = [
                e for e in events if self._rng.random() >= EVENT_LOSS_RATIO
            ]
            self._hosts[watcher].prefixes.apply_events(server_id, 1, received)
        summary = self._hosts[number % count].prefixes.summary(server_id)
        for other in range(count):
            if other not in watchers:
                self._hosts[other].prefixes.apply_summary(summary)
