"""Tests of the token bucket."""

import testtools

from waxwingarch.core.limits.token_bucket import TokenBucket


class TokenBucketTest(testtools.TestCase):
    def test_reservations_are_spread_at_the_rate(self) -> None:
        bucket = TokenBucket(0.0, rate=2.0, burst=4.0)
        times = [bucket.reserve(0.0, 100.0) for _ in range(24)]
        self.assertEqual([0.0] * 4, times[:4])
        self.assertEqual(10.0, times[-1])

    def test_reserves_no_token_that_is_available_too_late(self) -> None:
        bucket = TokenBucket(0.0, rate=1.0, burst=1.0)
        self.assertEqual(0.0, bucket.reserve(0.0, 0.5))
        self.assertIsNone(bucket.reserve(0.0, 0.5))
        self.assertEqual(1.0, bucket.reserve(0.5, 1.0))
