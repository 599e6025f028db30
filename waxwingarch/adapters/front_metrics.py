"""Counters and latency histograms of exchanges in Prometheus format."""

from collections import Counter
from collections.abc import Callable, Mapping
from itertools import islice
from typing import Any, Final

from hdrh.histogram import HdrHistogram

from waxwingarch.adapters.connection_bounds import ConnectionBounds, EndReason
from waxwingarch.adapters.held_bytes import HeldBytes
from waxwingarch.core.duties.demand import DemandTracker
from waxwingarch.core.front_sums import SumsState

LOWEST_US: Final = 100
HIGHEST_US: Final = 60_000_000
SIGNIFICANT_DIGITS: Final = 2
US_PER_S: Final = 1_000_000
# Upper bounds of the exported buckets.
BUCKETS_S: Final = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
# Exchanges with a new set of labels beyond this many count under `OTHER`.
MAX_LABELS: Final = 64
OTHER: Final = ("(other)", "(other)", "(other)")

# The gauge has all its values also while no input is quarantined.
NO_HELD_INPUTS: Final = {
    (kind, origin): 0
    for kind in ("part", "request")
    for origin in ("crashes", "operator")
}

Labels = tuple[str, str, str]


class FrontMetrics:
    """Metrics of exchanges and counts of other events.

    Exchanges are labelled by service, failure domain of the backend
    server, and outcome.
    """

    def __init__(
        self,
        held_inputs: Callable[[], Mapping[tuple[str, str], int]] = dict,
        held: HeldBytes | None = None,
        demand: DemandTracker | None = None,
        cold_servers: Callable[[], int] = int,
        sums: Callable[[], SumsState | None] = lambda: None,
    ) -> None:
        """Begin with no events.

        `held_inputs` returns the number of quarantined inputs by kind and
        origin. `held` is the account of the bytes that the host holds.
        `demand` is the demand on services, followed by the holder of the
        duties. `cold_servers` returns the number of servers that are cold.
        `sums` returns the state of the sums over the fleet.
        """
        self.sums = sums
        self.held_inputs = held_inputs
        self.held = held or HeldBytes()
        self.demand = demand
        self.cold_servers = cold_servers
        # Returns the own requests that run in each evacuated domain.
        self.evacuated_running: Callable[[], Mapping[str, int]] = dict
        self.connections = ConnectionBounds()
        self.refusals: Counter[str] = Counter()
        self.exchanges: Counter[Labels] = Counter()
        self.events: Counter[str] = Counter()
        self._first_byte: dict[Labels, HdrHistogram] = {}
        self._total: dict[Labels, HdrHistogram] = {}

    def record(
        self,
        labels: Labels,
        first_byte_s: float | None,
        total_s: float,
    ) -> None:
        """Record one finished exchange; times count from its arrival."""
        if labels not in self.exchanges and len(self.exchanges) >= MAX_LABELS:
            labels = OTHER
        self.exchanges[labels] += 1
        if first_byte_s is not None:
            _record_value(self._first_byte, labels, first_byte_s)
        _record_value(self._total, labels, total_s)

    def text(self) -> bytes:
        """Return all metrics in the text exposition format."""
        # Imported here because most processes are never scraped.
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(_Collector(self))
        return generate_latest(registry)

    def histograms(self) -> dict[str, dict[Labels, HdrHistogram]]:
        """Return the histograms by metric name and labels."""
        return {
            "waxwingarch_first_byte_seconds": self._first_byte,
            "waxwingarch_whole_answer_seconds": self._total,
        }


class _Collector:
    """Exports the metrics to prometheus_client."""

    def __init__(self, metrics: FrontMetrics) -> None:
        self._metrics = metrics

    def collect(self) -> list[Any]:
        """Return the metric families of the current values."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        names = ("service", "failure_domain", "outcome")
        exchanges = CounterMetricFamily(
            "waxwingarch_exchanges", "Exchanges that ended.", labels=names
        )
        for labels, count in self._metrics.exchanges.items():
            exchanges.add_metric(labels, count)
        events = CounterMetricFamily(
            "waxwingarch_events",
            "Decisions and failures by kind.",
            labels=("kind",),
        )
        for kind, count in self._metrics.events.items():
            events.add_metric((kind,), count)
        refusals = CounterMetricFamily(
            "waxwingarch_refusals",
            "Refusals that this host sent, by reason.",
            labels=("reason",),
        )
        for reason, count in self._metrics.refusals.items():
            refusals.add_metric((reason,), count)
        inputs = GaugeMetricFamily(
            "waxwingarch_quarantined_inputs",
            "Quarantined prompt parts and requests, by who decided on them.",
            labels=("kind", "origin"),
        )
        held = {**NO_HELD_INPUTS, **self._metrics.held_inputs()}
        for kind_and_origin, count in held.items():
            inputs.add_metric(kind_and_origin, count)
        held_bytes = GaugeMetricFamily(
            "waxwingarch_held_bytes",
            "Bytes of bodies and events that are held now, the most so far,"
            " and the limit.",
            labels=("kind",),
        )
        account = self._metrics.held
        for kind, count in (
            ("now", account.held_bytes),
            ("peak", account.peak_bytes),
            ("limit", account.limit_bytes),
        ):
            held_bytes.add_metric((kind,), count)
        given_up = CounterMetricFamily(
            "waxwingarch_given_up_bodies",
            "Bodies without a length that were given up to make room.",
        )
        given_up.add_metric((), account.given_up)
        demand = GaugeMetricFamily(
            "waxwingarch_demand_servers",
            "Servers that the demand on a service takes, and those needed.",
            labels=("service", "kind"),
        )
        ignored_loads = CounterMetricFamily(
            "waxwingarch_ignored_loads",
            "Loads of servers that contradicted themselves.",
        )
        if self._metrics.demand is not None:
            for service, values in self._metrics.demand.state().items():
                for kind, servers in values.items():
                    demand.add_metric((service, kind), servers)
            ignored_loads.add_metric((), self._metrics.demand.ignored_loads)
        evacuated = GaugeMetricFamily(
            "waxwingarch_evacuated_domains",
            "Requests of this host that still run in an evacuated failure"
            " domain; there is a value for each of these.",
            labels=("failure_domain",),
        )
        running = self._metrics.evacuated_running()
        for domain, count in islice(running.items(), MAX_LABELS):
            evacuated.add_metric((domain,), count)
        cold = GaugeMetricFamily(
            "waxwingarch_cold_servers",
            "Servers that this host considers cold.",
            value=self._metrics.cold_servers(),
        )
        connections = GaugeMetricFamily(
            "waxwingarch_client_connections",
            "Connections of clients that are open now, and the limit.",
            labels=("kind",),
        )
        bounds = self._metrics.connections
        connections.add_metric(("now",), bounds.count)
        if bounds.max_connections is not None:
            connections.add_metric(("limit",), bounds.max_connections)
        ended = CounterMetricFamily(
            "waxwingarch_ended_connections",
            "Connections of clients that this host closed, by reason.",
            labels=("reason",),
        )
        for reason in EndReason:
            ended.add_metric((reason.value,), bounds.ended[reason])
        families: list[Any] = [
            exchanges,
            events,
            refusals,
            inputs,
            held_bytes,
            given_up,
            demand,
            ignored_loads,
            evacuated,
            cold,
            connections,
            ended,
        ]
        state = self._metrics.sums()
        if state is not None:
            families += _sums_families(state)
        for name, histograms in self._metrics.histograms().items():
            family = HistogramMetricFamily(
                name, "Seconds since the arrival.", labels=names
            )
            for labels, histogram in histograms.items():
                family.add_metric(
                    labels, _buckets(histogram), sum_value=_sum_s(histogram)
                )
            families.append(family)
        return families


def _sums_families(state: SumsState) -> list[Any]:
    """Return the gauges and the counter of the sums over the fleet."""
    from prometheus_client.core import (
        CounterMetricFamily,
        GaugeMetricFamily,
    )

    ages = GaugeMetricFamily(
        "waxwingarch_sum_age_seconds",
        "Age of the sum of each failure domain.",
        labels=("failure_domain",),
    )
    for domain, age_s in state.ages_s.items():
        ages.add_metric((domain,), age_s)
    counted = GaugeMetricFamily(
        "waxwingarch_sum_hosts", "Other hosts that the sums count."
    )
    counted.add_metric((), state.hosts_counted)
    collects = GaugeMetricFamily(
        "waxwingarch_is_collector", "Whether hosts report to this host."
    )
    collects.add_metric((), state.is_collector)
    dropped = CounterMetricFamily(
        "waxwingarch_dropped_sums",
        "Sums and member reports that were dropped, by reason.",
        labels=("reason",),
    )
    for reason, count in state.dropped.items():
        dropped.add_metric((reason,), count)
    return [ages, counted, collects, dropped]


def _record_value(
    histograms: dict[Labels, HdrHistogram], labels: Labels, value_s: float
) -> None:
    """Record a latency, clamped to the range of the histogram."""
    histogram = histograms.get(labels)
    if histogram is None:
        histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
        histograms[labels] = histogram
    value_us = int(value_s * US_PER_S)
    histogram.record_value(min(HIGHEST_US, max(LOWEST_US, value_us)))


def _buckets(histogram: HdrHistogram) -> list[tuple[str, float]]:
    """Return cumulative counts by the upper bound in seconds."""
    counts = dict.fromkeys(BUCKETS_S, 0)
    total = 0
    for item in histogram.get_recorded_iterator():
        count = item.count_added_in_this_iter_step
        total += count
        for bound in BUCKETS_S:
            if item.value_iterated_to <= bound * US_PER_S:
                counts[bound] += count
    buckets = [(str(bound), float(n)) for bound, n in counts.items()]
    return [*buckets, ("+Inf", float(total))]


def _sum_s(histogram: HdrHistogram) -> float:
    mean = float(histogram.get_mean_value())
    return mean * int(histogram.get_total_count()) / US_PER_S
