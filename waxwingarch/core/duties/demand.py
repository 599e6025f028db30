"""The measured demand of services, and the number of servers it needs.

Demand is counted in servers of a service at its mean size and speed. The
need covers a burst over the usual demand while one failure domain is lost.
It is raised at once when demand lasts for a boot time, and lowered in small
steps after a settling time.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import ceil, floor
from statistics import median
from typing import Final

from waxwingarch.core.backends.registry import Backend
from waxwingarch.core.base import Action, ServiceId
from waxwingarch.core.duties.autoscaler import (
    HEADROOM_FACTOR,
    LISTING_DELAY_S,
    servers_for_usual_load,
)
from waxwingarch.core.duties.demand_sample import (
    NO_DEMAND,
    Demand,
    LatencySource,
    LoadSource,
    measure_demand,
)
from waxwingarch.core.routing.config import RoutedService, ScalingBounds

# A sample of 600 servers took 2.6 ms of CPU time, so it is not taken at each
# tick of the node.
SAMPLE_INTERVAL_S: Final = 0.5
# The usual demand is the median over this many samples, 45 s or a little
# more: bursts of up to 20 s don't move it. The need is lowered only when
# they are complete.
USUAL_SAMPLES: Final = 90
# Bursts reach 2.5 times the usual demand, also while a domain is lost.
BURST_RATIO: Final = 2.5
# Demand has to last for a boot time, and for two samples at least.
MIN_SUSTAINED_S: Final = 2 * SAMPLE_INTERVAL_S
# Half of what the recent peak exceeds the usual demand by is forgotten in
# this time.
PEAK_HALF_LIFE_S: Final = 120.0
# The trend is that of the sample of this rank, the lowest being 0, in each
# half of the samples: a burst of 20 s leaves four of a half as they were.
FLOOR_RANK: Final = 2
# The forecast exceeds the usual demand at most by this ratio: a burst that is
# as long as a half looks like a steep trend.
MAX_GROWTH_RATIO: Final = 0.25
# The need is lowered to this ratio above what was computed, so that noise
# does not raise it again.
LOWERED_MARGIN_RATIO: Final = 0.05
# The need is lowered once in this time, by at most this ratio or by 1.
LOWER_INTERVAL_S: Final = 5.0
MAX_LOWERED_RATIO: Final = 0.05
# The need is not lowered while fewer of the known hosts are heard: the
# requests of the others are missing from the loads.
MIN_HEARD_RATIO: Final = 0.8


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetView:
    """What a host knows of the other hosts.

    `is_new` says that the deployment has just started for the first time.
    """

    known_hosts: int
    heard_ratio: float
    is_new: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class NeedChanged(Action):
    """The number of servers that a service needs has changed.

    `usual`, `peak`, `forecast` and `sustained` are numbers of servers.
    """

    service: ServiceId
    needed: int
    previous: int | None
    largest: int
    demand: Demand
    usual: float
    peak: float
    forecast: float
    sustained: float
    heard_ratio: float


@dataclass(kw_only=True, slots=True)
class _DemandHistory:
    """Recent samples of the demand on one service, in servers."""

    usual_samples: deque[float] = field(
        default_factory=lambda: deque(maxlen=USUAL_SAMPLES)
    )
    recent: deque[tuple[float, float]] = field(default_factory=deque)
    peak: float = 0.0
    sampled_at: float = float("-inf")

    @property
    def is_settled(self) -> bool:
        """Whether the usual demand is known."""
        return len(self.usual_samples) == USUAL_SAMPLES

    def record(
        self,
        now: float,
        servers: float,
        lasting_s: float,
        *,
        is_complete: bool,
    ) -> None:
        """Add a sample; one that is not complete is left out of the usual."""
        elapsed_s = now - self.sampled_at
        if elapsed_s > USUAL_SAMPLES * SAMPLE_INTERVAL_S:
            self.usual_samples.clear()
            self.recent.clear()
        elif elapsed_s > lasting_s:
            self.recent.clear()
        self.sampled_at = now
        self.recent.append((now, servers))
        while len(self.recent) > 1 and self.recent[1][0] <= now - lasting_s:
            self.recent.popleft()
        if not is_complete:
            return
        self.usual_samples.append(servers)
        if not self.is_settled:
            return
        usual = self.usual()
        decay = 0.5 ** (elapsed_s / PEAK_HALF_LIFE_S)
        self.peak = max(usual, usual + (self.peak - usual) * decay)

    def usual(self) -> float:
        """Return the usual demand; 0 while it is not known."""
        return median(self.usual_samples) if self.is_settled else 0.0

    def forecast(self, ahead_s: float) -> float:
        """Return the usual demand after a time, if it grows as lately."""
        if not self.is_settled:
            return 0.0
        samples = list(self.usual_samples)
        half = USUAL_SAMPLES // 2
        growth = _floor(samples[half:]) - _floor(samples[:half])
        growth_s = half * SAMPLE_INTERVAL_S
        usual = self.usual()
        ahead = max(0.0, growth) * ahead_s / growth_s
        return usual + min(ahead, usual * MAX_GROWTH_RATIO)

    def sustained(self, now: float, lasting_s: float) -> float:
        """Return the demand that was exceeded for the whole of a time."""
        if not self.recent or self.recent[0][0] > now - lasting_s:
            return 0.0
        return min(servers for _, servers in self.recent)


def _floor(samples: Iterable[float]) -> float:
    """Return the demand that nearly all samples exceed, also in a burst."""
    return sorted(samples)[FLOOR_RANK]


@dataclass(kw_only=True, slots=True)
class _ServiceNeed:
    """The need of one service and what it is based on."""

    needed: int
    history: _DemandHistory = field(default_factory=_DemandHistory)
    demand: Demand = NO_DEMAND
    may_lower_at: float = float("-inf")


class DemandTracker:
    """Tracks the demand on the services that have scaling bounds.

    It runs on the host that holds the duty. `needs` are the numbers of
    servers that the services need, and `ignored_loads` counts the loads of
    servers that contradict themselves.
    """

    def __init__(self, loads: LoadSource, latency: LatencySource) -> None:
        self._loads = loads
        self._latency = latency
        self._services: dict[ServiceId, _ServiceNeed] = {}
        self.needs: dict[ServiceId, int] = {}
        self.ignored_loads = 0

    def clear(self) -> None:
        """Forget the demand: this host does not follow it any more."""
        self._services.clear()
        self.needs.clear()

    def state(self) -> dict[ServiceId, dict[str, float]]:
        """Return the demand and the need by service, for operators."""
        return {
            service: {
                "needed": float(state.needed),
                "slots": state.demand.slot_servers,
                "prompts": state.demand.read_servers,
                "usual": state.history.usual(),
                "peak": state.history.peak,
            }
            for service, state in self._services.items()
        }

    def tick(
        self,
        now: float,
        services: Iterable[RoutedService],
        backends: Iterable[Backend],
        fleet: FleetView,
    ) -> list[Action]:
        """Sample the demand where it is due; return the changed needs."""
        scaled = {s.service: s.scaling for s in services if s.scaling}
        for service in self._services.keys() - scaled.keys():
            del self._services[service]
            del self.needs[service]
        due = {
            service: bounds
            for service, bounds in scaled.items()
            if service not in self._services
            or now
            >= self._services[service].history.sampled_at + SAMPLE_INTERVAL_S
        }
        if not due:
            return []
        by_service: dict[ServiceId, list[Backend]] = {}
        for backend in backends:
            by_service.setdefault(backend.server.service, []).append(backend)
        actions: list[Action] = []
        for service, bounds in due.items():
            actions += self._update(
                now, service, bounds, by_service.get(service, []), fleet
            )
        return actions

    def _update(
        self,
        now: float,
        service: ServiceId,
        bounds: ScalingBounds,
        backends: list[Backend],
        fleet: FleetView,
    ) -> list[Action]:
        largest = servers_for_usual_load(bounds)
        usable = [b for b in backends if b.is_usable]
        state = self._services.get(service)
        previous = state.needed if state else None
        if state is None:
            if not usable:
                return []
            needed = (
                largest if fleet.is_new else _need_of_running(bounds, usable)
            )
            state = _ServiceNeed(needed=min(largest, max(1, needed)))
            self._services[service] = state
        demand = measure_demand(
            now, backends, self._loads, self._latency, fleet.known_hosts
        )
        self.ignored_loads += demand.ignored
        state.demand = demand
        is_complete = (
            bool(usable)
            and not demand.ignored
            and fleet.heard_ratio >= MIN_HEARD_RATIO
        )
        history = state.history
        lasting_s = max(bounds.boot_s, MIN_SUSTAINED_S)
        history.record(now, demand.servers, lasting_s, is_complete=is_complete)
        forecast = history.forecast(bounds.boot_s + LISTING_DELAY_S)
        sustained = history.sustained(now, lasting_s)
        # The headroom of the orders is part of what serves a burst.
        required = (
            max(BURST_RATIO * max(history.peak, forecast), sustained)
            / HEADROOM_FACTOR
        )
        needed = _next_need(now, state, required, may_lower=is_complete)
        state.needed = min(largest, needed)
        self.needs[service] = state.needed
        if state.needed == previous:
            return []
        return [
            NeedChanged(
                service=service,
                needed=state.needed,
                previous=previous,
                largest=largest,
                demand=demand,
                usual=history.usual(),
                peak=history.peak,
                forecast=forecast,
                sustained=sustained,
                heard_ratio=fleet.heard_ratio,
            )
        ]


def _next_need(
    now: float, state: _ServiceNeed, required: float, *, may_lower: bool
) -> int:
    """Return the need: raised at once, lowered slowly."""
    raised = max(1, ceil(required))
    if raised > state.needed:
        state.may_lower_at = now + LOWER_INTERVAL_S
        return raised
    lowered = max(1, ceil(required * (1 + LOWERED_MARGIN_RATIO)))
    if (
        lowered >= state.needed
        or not may_lower
        or not state.history.is_settled
        or now < state.may_lower_at
    ):
        return state.needed
    state.may_lower_at = now + LOWER_INTERVAL_S
    step = max(1, floor(state.needed * MAX_LOWERED_RATIO))
    return max(lowered, state.needed - step)


def _need_of_running(bounds: ScalingBounds, usable: Iterable[Backend]) -> int:
    """Return the need for which an earlier holder ordered these servers.

    A domain with far fewer reclaimable servers than another has lost them.
    """
    reclaimable = dict.fromkeys(bounds.domain_prices, 0)
    on_demand = 0
    for backend in usable:
        domain = backend.server.failure_domain
        if not backend.server.reclaimable:
            on_demand += 1
        elif domain in reclaimable:
            reclaimable[domain] += 1
    most = max(reclaimable.values(), default=0)
    ordered = sum(max(count, most - 1) for count in reclaimable.values())
    needed = floor((ordered - most) / HEADROOM_FACTOR)
    if not on_demand:
        return needed
    # On-demand servers fill up what the need lacks while a domain has no
    # reclaimable servers to give.
    return max(needed, sum(reclaimable.values()) - most + on_demand)
