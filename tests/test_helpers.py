"""Tests of the test helpers."""

import testtools

from tests.helpers import async_test


class AsyncTestHelper(testtools.TestCase):
    def test_false_assertion_in_a_coroutine_fails(self) -> None:
        @async_test
        async def body() -> None:
            self.assertEqual(1, 2)

        self.assertRaises(AssertionError, body)

    def test_body_runs(self) -> None:
        seen: list[int] = []

        @async_test
        async def body() -> None:
            seen.append(1)

        body()
        self.assertEqual([1], seen)
