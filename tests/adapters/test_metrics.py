"""Tests of the latency histograms."""

import testtools

from waxwingarch.adapters.metrics import (
    MAX_ACCOUNTS,
    OTHER,
    LabelSet,
    Metrics,
    Sample,
)


def sample(account: str, total_s: float = 1.0) -> Sample:
    return Sample(
        account=account,
        service="waxwing-pool",
        failure_domain="hn-a",
        first_token_s=total_s / 10,
        total_s=total_s,
    )


class MetricsTest(testtools.TestCase):
    def test_percentiles_to_two_digits(self) -> None:
        metrics = Metrics()
        for n in range(1, 101):
            metrics.record(sample("a", n / 10))
        whole = metrics.as_json()["by_account"]["a"]["whole_answer_ms"]
        self.assertEqual(100, whole["count"])
        for name, expected_ms in (("p50", 5000), ("p99", 9900)):
            error = abs(whole[name] - expected_ms) / expected_ms
            self.assertLess(error, 0.01, (name, whole))

    def test_values_out_of_range_are_counted(self) -> None:
        metrics = Metrics()
        metrics.record(sample("a", 0.0))
        metrics.record(sample("a", 1e9))
        whole = metrics.as_json()["by_service"]["waxwing-pool"]
        self.assertEqual(2, whole["whole_answer_ms"]["count"])

    def test_no_first_token(self) -> None:
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

    def test_labels_are_bounded_and_no_answer_is_lost(self) -> None:
        metrics = Metrics()
        for n in range(MAX_ACCOUNTS * 3):
            metrics.record(sample(f"account-{n:03}"))
        by_account = metrics.as_json()["by_account"]
        self.assertEqual(MAX_ACCOUNTS + 1, len(by_account))
        counts = [v["whole_answer_ms"]["count"] for v in by_account.values()]
        self.assertEqual(MAX_ACCOUNTS * 3, sum(counts))
        other = by_account[OTHER]["whole_answer_ms"]["count"]
        self.assertEqual(MAX_ACCOUNTS * 2, other)

    def test_least_recently_used_goes_first(self) -> None:
        labels = LabelSet(2)
        for label, total_s in (("a", 1), ("b", 9), ("a", 1), ("c", 2)):
            labels.record(label, sample(label, total_s))
        shown = labels.as_json()
        self.assertEqual(["a", "c", OTHER], list(shown))
        # Histograms are reused: nothing of "b" may show under "c".
        whole = shown["c"]["whole_answer_ms"]
        self.assertEqual(1, whole["count"])
        self.assertLess(whole["max"], 2100)
