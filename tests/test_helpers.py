"""Tests of the test helpers."""

import subprocess
import sys
import tempfile
from pathlib import Path

import testtools

from tests.helpers import async_test

CONFTEST = Path(__file__).with_name("conftest.py")


class AsyncTestDecorator(testtools.TestCase):
    def test_failed_assertion_in_a_coroutine_fails_the_test(self) -> None:
        @async_test
        async def body() -> None:
            self.assertEqual(1, 2)

        self.assertRaises(AssertionError, body)

    def test_body_runs(self) -> None:
        calls: list[int] = []

        @async_test
        async def body() -> None:
            calls.append(1)

        body()
        self.assertEqual([1], calls)


class PytestFailureReport(testtools.TestCase):
    def test_shows_the_compared_values(self) -> None:
        case = (
            "import testtools\n"
            "class T(testtools.TestCase):\n"
            "    def test_it(self):\n"
            "        self.assertEqual('left', 'right')\n"
        )
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            (folder / "conftest.py").write_text(CONFTEST.read_text())
            (folder / "test_case.py").write_text(case)
            result = subprocess.run(
                [sys.executable, "-m", "pytest", "-q", name],
                capture_output=True,
                text=True,
                check=False,
            )
        self.assertIn("left", result.stdout)
        self.assertIn("right", result.stdout)
        self.assertNotIn("NoneType", result.stdout)
        self.assertEqual(1, result.returncode)
