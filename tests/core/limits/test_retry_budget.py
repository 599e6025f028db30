"""Tests of the retry budget."""

import testtools

from waxwingarch.core.limits.retry_budget import RetryBudget


class RetryBudgetTest(testtools.TestCase):
    def test_retries_in_an_outage_are_bounded_by_the_fraction(self) -> None:
        budget = RetryBudget(fraction=0.1, burst=5.0)
        retries = 0
        for _ in range(10_000):
            budget.record_request()
            while budget.try_retry():
                retries += 1
        self.assertLessEqual(retries, 0.1 * 10_000 + 5)
        self.assertGreater(retries, 900)

    def test_earned_retries_are_bounded_by_the_burst(self) -> None:
        budget = RetryBudget(fraction=0.5, burst=2.0)
        for _ in range(100):
            budget.record_request()
        spent = sum(budget.try_retry() for _ in range(10))
        self.assertEqual(2, spent)
