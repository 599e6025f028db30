"""Latency histograms by account, service and failure domain."""

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any, Final

from hdrh.histogram import HdrHistogram

LOWEST_US: Final = 100
HIGHEST_US: Final = 3_600_000_000
SIGNIFICANT_DIGITS: Final = 2
US_PER_S: Final = 1_000_000
US_PER_MS: Final = 1000
PERCENTILES: Final = (50.0, 95.0, 99.0)

# Numbers of labels that have histograms of their own.
MAX_ACCOUNTS: Final = 16
MAX_SERVICES: Final = 8
MAX_DOMAINS: Final = 16
OTHER: Final = "(other)"


@dataclass(frozen=True, kw_only=True, slots=True)
class Sample:
    """Latencies of one response and the labels it is counted under."""

    account: str
    service: str
    failure_domain: str
    first_token_s: float | None
    total_s: float


class _Latencies:
    """The first-token and total latency histograms of one label."""

    def __init__(self) -> None:
        self.first_token = _new_histogram()
        self.total = _new_histogram()

    def record(self, sample: Sample) -> None:
        """Record the latencies of one response."""
        if sample.first_token_s is not None:
            _record_value(self.first_token, sample.first_token_s)
        _record_value(self.total, sample.total_s)

    def merge(self, other: "_Latencies") -> None:
        """Add the histograms of another label."""
        self.first_token.add(other.first_token)
        self.total.add(other.total)

    def reset(self) -> None:
        """Clear both histograms."""
        self.first_token.reset()
        self.total.reset()

    def as_json(self) -> dict[str, Any]:
        """Return counts and percentiles in milliseconds."""
        return {
            "first_token_ms": _summary(self.first_token),
            "whole_answer_ms": _summary(self.total),
        }


@dataclass(slots=True)
class LabelSet:
    """Latencies by label, for a bounded number of labels.

    The `max_labels` most recently used ones have histograms of their own;
    the others are merged into one.
    """

    max_labels: int
    _labels: OrderedDict[str, _Latencies] = field(default_factory=OrderedDict)
    _other: _Latencies | None = None

    def record(self, label: str, sample: Sample) -> None:
        """Record one response under a label."""
        latencies = self._labels.get(label)
        if latencies is None:
            latencies = self._labels[label] = self._allocate()
        latencies.record(sample)
        self._labels.move_to_end(label)

    def _allocate(self) -> _Latencies:
        """Return empty histograms for a new label.

        Beyond the limit, the least recently used label is merged into the
        others and its histograms are reused. New histograms would hold
        reference cycles, which accumulate as labels change.
        """
        if len(self._labels) < self.max_labels:
            return _Latencies()
        _, oldest = self._labels.popitem(last=False)
        self._other = self._other or _Latencies()
        self._other.merge(oldest)
        oldest.reset()
        return oldest

    def as_json(self) -> dict[str, Any]:
        """Return the latencies by label in sorted order, the others last."""
        result = {
            label: self._labels[label].as_json()
            for label in sorted(self._labels)
        }
        if self._other:
            result[OTHER] = self._other.as_json()
        return result


class Metrics:
    """Latencies of this process's responses since it started."""

    def __init__(self) -> None:
        self._accounts = LabelSet(MAX_ACCOUNTS)
        self._services = LabelSet(MAX_SERVICES)
        self._domains = LabelSet(MAX_DOMAINS)

    def record(self, sample: Sample) -> None:
        """Record one response under each of its labels."""
        self._accounts.record(sample.account, sample)
        self._services.record(sample.service, sample)
        self._domains.record(sample.failure_domain, sample)

    def as_json(self) -> dict[str, Any]:
        """Return counts and percentiles of all histograms."""
        return {
            "by_account": self._accounts.as_json(),
            "by_service": self._services.as_json(),
            "by_failure_domain": self._domains.as_json(),
        }


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


def _record_value(histogram: HdrHistogram, value_s: float) -> None:
    """Record a latency, clamped to the range of the histogram."""
    value_us = round(value_s * US_PER_S)
    histogram.record_value(min(max(value_us, LOWEST_US), HIGHEST_US))


def _summary(histogram: HdrHistogram) -> dict[str, float]:
    count = histogram.get_total_count()
    result: dict[str, float] = {"count": count}
    if not count:
        return result
    for percentile in PERCENTILES:
        value_us = histogram.get_value_at_percentile(percentile)
        result[f"p{percentile:g}"] = round(value_us / US_PER_MS, 2)
    result["max"] = round(histogram.get_max_value() / US_PER_MS, 2)
    return result
