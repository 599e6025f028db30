"""Tests of the token bucket."""

import testtools

from waxwingarch.core.limits.budget import TokenBucket


class TokenBucketRate(testtools.TestCase):
    def test_many_hosts_stay_within_the_rate(self) -> None:
        bucket = TokenBucket(0.0, rate=2.0, burst=4.0)
        due = [bucket.reserve(0.0, 100.0) for _ in range(24)]
        self.assertEqual([0.0] * 4, due[:4])
        self.assertEqual(10.0, due[-1])

    def test_refuses_what_is_not_due_by_the_deadline(self) -> None:
        bucket = TokenBucket(0.0, rate=1.0, burst=1.0)
        self.assertEqual(0.0, bucket.reserve(0.0, 0.5))
        self.assertIsNone(bucket.reserve(0.0, 0.5))
        self.assertEqual(1.0, bucket.reserve(0.5, 1.0))
