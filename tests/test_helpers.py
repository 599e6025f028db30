"""Tests of the test helpers."""

import asyncio
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

    # Guards against a failed test whose open connection also fails each test
    # that comes after it in the same process.
    def test_open_connection_fails_only_its_own_test(self) -> None:
        writers: list[asyncio.StreamWriter] = []

        @async_test
        async def failing_body() -> None:
            server = await asyncio.start_server(
                lambda _, writer: writers.append(writer), "127.0.0.1", 0
            )
            port = server.sockets[0].getsockname()[1]
            writers.append((await asyncio.open_connection(port=port))[1])
            self.assertEqual(1, 2)

        @async_test
        async def later_body() -> None:
            pass

        self.assertRaises(AssertionError, failing_body)
        later_body()


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
