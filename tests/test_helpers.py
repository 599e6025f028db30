"""Tests of the test helpers."""

import subprocess
import sys
import tempfile
from pathlib import Path

import testtools

from tests.helpers import async_test

CONFTEST = Path(__file__).with_name("conftest.py")


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


class FailureReport(testtools.TestCase):
    def test_shows_the_cause_under_pytest(self) -> None:
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
            done = subprocess.run(
                [sys.executable, "-m", "pytest", "-q", name],
                capture_output=True,
                text=True,
                check=False,
            )
        self.assertIn("left", done.stdout)
        self.assertIn("right", done.stdout)
        self.assertNotIn("NoneType", done.stdout)
        self.assertEqual(1, done.returncode)
