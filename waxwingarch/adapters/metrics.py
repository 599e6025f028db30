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

ACCOUNTS_KEPT: Final = 16
SERVICES_KEPT: Final = 8
DOMAINS_KEPT: Final = 16
OTHER: Final = "(other)"


@dataclass(frozen=True, kw_only=True, slots=True)
class Sample:
    """Latencies of one answer in seconds, under its labels."""

    account: str
    service: str
    failure_domain: str
    first_token_s: float | None
    total_s: float


class _Latencies:
    """The two histograms of one label."""

    def __init__(self) -> None:
        self.first_token = _histogram()
        self.whole = _histogram()

    def record(self, sample: Sample) -> None:
        """Count one answer."""
        if sample.first_token_s is not None:
            _record(self.first_token, sample.first_token_s)
        _record(self.whole, sample.total_s)

    def merge(self, other: "_Latencies") -> None:
        """Count all answers of another label here."""
        self.first_token.add(other.first_token)
        self.whole.add(other.whole)

    def reset(self) -> None:
        """Count from 0 again."""
        self.first_token.reset()
        self.whole.reset()

    def as_json(self) -> dict[str, Any]:
        """Return counts and percentiles in milliseconds."""
        return {
            "first_token_ms": _summary(self.first_token),
            "whole_answer_ms": _summary(self.whole),
        }


@dataclass(slots=True)
class LabelSet:
    """Latencies by label: the `kept` last used ones, others together."""

    kept: int
    _labels: OrderedDict[str, _Latencies] = field(default_factory=OrderedDict)
    _other: _Latencies | None = None

    def record(self, label: str, sample: Sample) -> None:
        """Count one answer under a label."""
        latencies = self._labels.get(label)
        if latencies is None:
            latencies = self._labels[label] = self._unused()
        latencies.record(sample)
        self._labels.move_to_end(label)

    def _unused(self) -> _Latencies:
        """Return histograms for a new label.

        Those of the oldest label are reused: new ones hold reference
        cycles, which would pile up as labels come and go.
        """
        if len(self._labels) < self.kept:
            return _Latencies()
        _, oldest = self._labels.popitem(last=False)
        self._other = self._other or _Latencies()
        self._other.merge(oldest)
        oldest.reset()
        return oldest

    def as_json(self) -> dict[str, Any]:
        """Return all labels in their order, the others last."""
        result = {
            label: self._labels[label].as_json()
            for label in sorted(self._labels)
        }
        if self._other:
            result[OTHER] = self._other.as_json()
        return result


class Metrics:
    """Latencies of the answers of this process since it started."""

    def __init__(self) -> None:
        self._accounts = LabelSet(ACCOUNTS_KEPT)
        self._services = LabelSet(SERVICES_KEPT)
        self._domains = LabelSet(DOMAINS_KEPT)

    def record(self, sample: Sample) -> None:
        """Count one answer."""
        self._accounts.record(sample.account, sample)
        self._services.record(sample.service, sample)
        self._domains.record(sample.failure_domain, sample)

    def as_json(self) -> dict[str, Any]:
        """Return all histograms' counts and percentiles."""
        return {
            "by_account": self._accounts.as_json(),
            "by_service": self._services.as_json(),
            "by_failure_domain": self._domains.as_json(),
        }


def _histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


def _record(histogram: HdrHistogram, value_s: float) -> None:
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
