"""Tests of the latency histograms."""

import testtools

from waxwingarch.adapters.metrics import (
    MAX_ACCOUNTS,
    OTHER,
    LabelSet,
    Metrics,
    Sample,
)


def make_sample(account: str, total_s: float = 1.0) -> Sample:
    return Sample(
        account=account,
        service="waxwing-pool",
        failure_domain="hn-a",
        first_token_s=total_s / 10,
        total_s=total_s,
    )


class MetricsTest(testtools.TestCase):
    def test_percentiles_have_an_error_below_one_percent(self) -> None:
        metrics = Metrics()
        for n in range(1, 101):
            metrics.record(make_sample("a", n / 10))
        total = metrics.as_json()["by_account"]["a"]["whole_answer_ms"]
        self.assertEqual(100, total["count"])
        for name, expected_ms in (("p50", 5000), ("p99", 9900)):
            error = abs(total[name] - expected_ms) / expected_ms
            self.assertLess(error, 0.01, (name, total))

    def test_values_out_of_range_are_counted(self) -> None:
        metrics = Metrics()
        metrics.record(make_sample("a", 0.0))
        metrics.record(make_sample("a", 1e9))
        latencies = metrics.as_json()["by_service"]["waxwing-pool"]
        self.assertEqual(2, latencies["whole_answer_ms"]["count"])

    def test_response_without_first_token_has_no_such_latency(self) -> None:
        metrics = Metrics()
        metrics.record(
            Sample(
                account="a",
                service="s",
                failure_domain="d",
                first_token_s=None,
                total_s=1.0,
            )
        )
        latencies = metrics.as_json()["by_failure_domain"]["d"]
        self.assertEqual({"count": 0}, latencies["first_token_ms"])

    def test_labels_are_bounded_and_every_response_counts(self) -> None:
        metrics = Metrics()
        for n in range(MAX_ACCOUNTS * 3):
            metrics.record(make_sample(f"account-{n:03}"))
        by_account = metrics.as_json()["by_account"]
        self.assertEqual(MAX_ACCOUNTS + 1, len(by_account))
        counts = [v["whole_answer_ms"]["count"] for v in by_account.values()]
        self.assertEqual(MAX_ACCOUNTS * 3, sum(counts))
        other = by_account[OTHER]["whole_answer_ms"]["count"]
        self.assertEqual(MAX_ACCOUNTS * 2, other)

    def test_least_recently_used_label_is_merged_first(self) -> None:
        labels = LabelSet(2)
        for label, total_s in (("a", 1), ("b", 9), ("a", 1), ("c", 2)):
            labels.record(label, make_sample(label, total_s))
        result = labels.as_json()
        self.assertEqual(["a", "c", OTHER], list(result))
        # "c" reuses the histograms of "b" and must hold none of its values.
        total = result["c"]["whole_answer_ms"]
        self.assertEqual(1, total["count"])
        self.assertLess(total["max"], 2100)
