"""A queueing feed in made time: servers, entry hosts, stale reports.

Each server has slots, one prefill at a time, a prefix cache of limited
size (least recently used goes first) and a speed and price by class.
All entry hosts see the same load reports, late; cache events reach two
watching hosts late and with gaps, the others get their summaries.
"""

import heapq
import time
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from hdrh.histogram import HdrHistogram
from policy_workload import BLOCK_TOKENS, Arrival, Deployment, arrivals

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
REPORT_S = 1.0
REPORT_LAG_S = 0.5
EVENT_GAP = 0.1
WARM_UP_S = 30.0
DECODE_TOKENS_PER_S = 60.0
DOMAIN_PRICES = (0.8, 1.0, 1.0, 1.3)
CLASSES = {"small": (1.0, 2500.0), "large": (2.2, 4000.0)}
EXPECTED_SLOT_S = 2.5


@dataclass(kw_only=True, slots=True)
class Running:
    """A request on a server."""

    arrival: Arrival
    started_at: float
    first_token_at: float
    ends_at: float
    tokens_per_s: float


class FakeServer:
    """One backend server of the feed."""

    def __init__(self, number: int, cache_blocks: int) -> None:
        machine_class = "large" if number % 3 == 2 else "small"
        price, self.prefill_tokens_per_s = CLASSES[machine_class]
        domain = number % len(DOMAIN_PRICES)
        self.info = Server(
            server_id=ServerId(f"s{number}"),
            address="",
            failure_domain=FailureDomain(f"zone-{domain}"),
            service=ServiceId("waxwing-pool"),
            kind=ServerKind.ENGINE,
            version=VersionId("v1"),
            machine_class=machine_class,
            reclaimable=True,
            price=price * DOMAIN_PRICES[domain],
            slots=SLOTS,
            incarnation=1,
        )
        self.cache_blocks = cache_blocks
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.running: dict[int, Running] = {}
        self.waiting: list[Arrival] = []
        self.prefill_free_at = 0.0
        self.events: list[CacheEvent] = []
        self.sequence = 0

    def cached_blocks(self, blocks: tuple[int, ...]) -> int:
        """Return how long a prefix of a prompt is cached."""
        count = 0
        for block in blocks:
            if block not in self.cache:
                break
            count += 1
        return count

    def start(self, now: float, arrival: Arrival) -> tuple[Running, int]:
        """Begin a request; return it and its cached blocks."""
        cached = self.cached_blocks(arrival.blocks)
        self._insert(arrival.blocks)
        missing = (len(arrival.blocks) - cached) * BLOCK_TOKENS
        prefill_at = max(now, self.prefill_free_at)
        self.prefill_free_at = prefill_at + missing / self.prefill_tokens_per_s
        speed = DECODE_TOKENS_PER_S / (1 + 0.5 * len(self.running) / SLOTS)
        first_at = self.prefill_free_at + 1 / speed
        running = Running(
            arrival=arrival,
            started_at=now,
            first_token_at=first_at,
            ends_at=first_at + arrival.output_tokens / speed,
            tokens_per_s=speed,
        )
        self.running[arrival.number] = running
        return running, cached

    def _insert(self, blocks: tuple[int, ...]) -> None:
        # The end of a prompt is the coldest, so it is touched first.
        for block in reversed(blocks):
            if block not in self.cache:
                self._event(CacheOp.ADD, block)
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > self.cache_blocks:
            block, _ = self.cache.popitem(last=False)
            self._event(CacheOp.EVICT, block)

    def _event(self, op: CacheOp, block: int) -> None:
        self.sequence += 1
        self.events.append(
            CacheEvent(sequence=self.sequence, op=op, block=f"{block:x}")
        )


@dataclass(kw_only=True)
class Result:
    """Figures of one run of one policy."""

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
    peaks: list[float] = field(default_factory=list)


@dataclass(kw_only=True)
class Host:
    """An entry host: its policy and its view of the caches."""

    placement: Placement
    prefixes: PrefixIndex


MakeHost = Callable[[Random, int], Host]
Watch = Callable[[float, list[FakeServer]], None]


class Feed:
    """Runs one policy against one workload."""

    def __init__(
        self,
        deployment: Deployment,
        make_host: MakeHost,
        seed: int,
        seconds: float,
        load: float,
        cache_blocks: int = CACHE_BLOCKS,
        watch: Watch | None = None,
    ) -> None:
        self._rng = Random(seed)
        self._servers = [
            FakeServer(n, cache_blocks) for n in range(deployment.servers)
        ]
        self._by_id = {s.info.server_id: s for s in self._servers}
        self._hosts = [
            make_host(Random(seed * 1000 + n), deployment.hosts)
            for n in range(deployment.hosts)
        ]
        self._views: list[ServerView] = []
        self._sent: Counter[str] = Counter()
        self._events: list[tuple[float, int, str, object]] = []
        self._seen: set[int] = set()
        self._order = 0
        self._seconds = seconds
        self._watch = watch
        self.result = Result()
        work = arrivals(deployment, Random(seed + 1), seconds, load)
        for arrival in work:
            self._at(arrival.at, "arrive", arrival)
        self._at(0.0, "report", None)

    def run(self) -> Result:
        """Run to the end of the arrivals."""
        while self._events:
            now, _, name, value = heapq.heappop(self._events)
            getattr(self, f"_{name}")(now, value)
        return self.result

    def _at(self, when: float, name: str, value: object) -> None:
        self._order += 1
        heapq.heappush(self._events, (when, self._order, name, value))

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
        self._sent[choice.server_id] += 1
        server = self._by_id[choice.server_id]
        if len(server.running) < SLOTS:
            self._start(now, server, arrival, choice.matched_blocks)
        else:
            server.waiting.append(arrival)

    def _start(
        self, now: float, server: FakeServer, arrival: Arrival, predicted: int
    ) -> None:
        known = self._know(arrival.blocks)
        running, cached = server.start(now, arrival)
        self._at(running.ends_at, "end", (server, running))
        prefixes = self._hosts[arrival.host].prefixes
        server_id = server.info.server_id
        prefixes.record_prefix_hit(server_id, predicted, cached)
        if arrival.at < WARM_UP_S:
            return
        taken_s = running.first_token_at - arrival.at
        result = self.result
        result.requests += 1
        result.in_time += taken_s <= arrival.kind.first_token_s
        result.first_token_us.record_value(int(taken_s * 1e6))
        result.reused_tokens += cached * BLOCK_TOKENS
        result.prompt_tokens += arrival.prompt_tokens
        result.reusable_tokens += known * BLOCK_TOKENS
        slot_s = running.ends_at - running.started_at
        result.cost += server.info.price * slot_s / SLOTS / 3600

    def _know(self, blocks: tuple[int, ...]) -> int:
        """Return how much one cache without limit would have held."""
        known = 0
        while known < len(blocks) and blocks[known] in self._seen:
            known += 1
        self._seen.update(blocks)
        return known

    def _end(self, now: float, value: tuple[FakeServer, Running]) -> None:
        server, running = value
        arrival = running.arrival
        del server.running[arrival.number]
        self._hosts[arrival.host].placement.record_outcome(
            now, RequestId(str(arrival.number)), Outcome.OK
        )
        if server.waiting:
            self._start(now, server, server.waiting.pop(0), 0)

    def _report(self, now: float, value: object) -> None:
        """Take the loads now; they arrive at the hosts late."""
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
            self._at(now + REPORT_LAG_S, "cache", (server, server.events))
            server.events = []
        self._at(now + REPORT_LAG_S, "deliver", views)
        if now < self._seconds:
            self._at(now + REPORT_S, "report", None)
        if not self._views:
            self._views = views
        if self._watch is not None and now >= WARM_UP_S:
            self._watch(now, self._servers)

    def _deliver(self, now: float, views: list[ServerView]) -> None:
        """Show a report to all hosts; count what went out before it."""
        total = sum(self._sent.values())
        if total >= len(self._servers):
            peak = max(self._sent.values()) * len(self._servers) / total
            self.result.peaks.append(peak)
        self._sent.clear()
        self._views = views

    def _cache(
        self, now: float, value: tuple[FakeServer, list[CacheEvent]]
    ) -> None:
        """Bring cache events to two watchers, summaries to the rest."""
        server, events = value
        server_id = server.info.server_id
        number = self._servers.index(server)
        count = len(self._hosts)
        watchers = {number % count, (number + count // 2) % count}
        for watcher in sorted(watchers):
            seen = [e for e in events if self._rng.random() >= EVENT_GAP]
            self._hosts[watcher].prefixes.apply_events(server_id, 1, seen)
        summary = self._hosts[number % count].prefixes.summary(server_id)
        for other in range(count):
            if other not in watchers:
                self._hosts[other].prefixes.apply_summary(summary)
