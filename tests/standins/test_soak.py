"""Tests of the soak: link faults, the promise checks, and a short run."""

import asyncio
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any
from unittest import mock

import testtools

from standins.campaign_report import Report
from standins.fleet import DutyCall
from standins.fleet_server import Run
from standins.front_process import KEY
from standins.soak.__main__ import async_soak, build_parser
from standins.soak.checks import (
    NOTED_DELAY_S,
    PROCESS_CHECK_INTERVAL_S,
    PromiseChecker,
)
from standins.soak.faults import FaultInjector
from standins.soak.link import DROPS_ANYTHING, Link, LinkFault
from standins.soak.load import Call, LoadGenerator
from standins.soak.promises import Promise
from standins.soak.world import STORE, Daemon, World
from tests.front.raw_server import raw_server
from tests.helpers import async_test
from waxwingarch.adapters.http_connection import HttpResponse

SEED = 7
SECONDS = 10.0


def make_daemon(name: str, folder: Path) -> Daemon:
    """Return a host without a process."""
    link = Link("127.0.0.1:1")
    return Daemon(
        name=name,
        zone="za",
        settings=folder,
        readiness=1,
        callers=link,
        store=link,
        duties=link,
    )


def _is_dropping(link: Link) -> bool:
    return any(conn.dropping_writers for conn in link._connections)


class LinkTest(testtools.TestCase):
    @asynccontextmanager
    async def echo_link(self) -> AsyncIterator[Link]:
        """Run a link to a server that sends back what it gets."""

        async def echo(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while data := await reader.read(100):
                writer.write(data)
                await writer.drain()
            writer.close()

        async with raw_server(echo) as address:
            link = Link(address)
            await link.async_setup()
            try:
                yield link
            finally:
                await link.async_unload()

    async def async_echo_once(
        self, link: Link, within_s: float = 0.2
    ) -> bytes:
        host, _, port = link.address.rpartition(":")
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(b"hello")
                return await reader.read(100)
            finally:
                writer.transport.abort()

    @async_test
    async def test_forwards_bytes_unchanged(self) -> None:
        async with self.echo_link() as link:
            self.assertEqual(b"hello", await self.async_echo_once(link, 5.0))

    @async_test
    async def test_drops_one_direction_or_both(self) -> None:
        async with self.echo_link() as link:
            for fault in (
                LinkFault.CUT_THERE,
                LinkFault.CUT_BACK,
                LinkFault.SILENT,
            ):
                link.fault = fault
                with testtools.ExpectedException(TimeoutError):
                    await self.async_echo_once(link)
            link.fault = LinkFault.NONE
            self.assertEqual(b"hello", await self.async_echo_once(link, 5.0))

    # A path that loses packets loses those that open connections as well.
    @async_test
    async def test_new_connections_get_no_answer_while_bytes_are_dropped(
        self,
    ) -> None:
        async with self.echo_link() as link:
            host, _, port = link.address.rpartition(":")
            for fault in DROPS_ANYTHING:
                link.fault = fault
                with testtools.ExpectedException(TimeoutError):
                    async with asyncio.timeout(0.2):
                        await asyncio.open_connection(host, int(port))

    @async_test
    async def test_refuses_and_delays(self) -> None:
        async with self.echo_link() as link:
            link.fault = LinkFault.REFUSE
            with testtools.ExpectedException(ConnectionResetError):
                if not await self.async_echo_once(link, 5.0):
                    raise ConnectionResetError
            link.fault, link.delay_s = LinkFault.DELAY, 0.1
            before = time.monotonic()
            self.assertEqual(b"hello", await self.async_echo_once(link, 5.0))
            self.assertGreaterEqual(time.monotonic() - before, 0.2)

    @async_test
    async def test_closed_link_refuses_until_it_is_reopened(self) -> None:
        async with self.echo_link() as link:
            link.close()
            with testtools.ExpectedException(ConnectionRefusedError):
                await self.async_echo_once(link)
            await link.async_reopen(link.target)
            self.assertEqual(b"hello", await self.async_echo_once(link, 5.0))

    @async_test
    async def test_direction_stays_silent_after_a_dropped_byte(self) -> None:
        async with self.echo_link() as link:
            host, _, port = link.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            link.fault = LinkFault.CUT_THERE
            writer.write(b"lost")
            async with asyncio.timeout(5.0):
                while not _is_dropping(link):  # noqa: ASYNC110
                    await asyncio.sleep(0.01)
            link.fault = LinkFault.NONE
            writer.write(b"later")
            with testtools.ExpectedException(TimeoutError):
                async with asyncio.timeout(0.2):
                    await reader.read(100)
            writer.transport.abort()


class PromiseCheckerTest(testtools.TestCase):
    """Records that break a promise are reported as that promise."""

    def setUp(self) -> None:
        super().setUp()
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.report = Report(promises=tuple(Promise))
        self.world = World(folder=Path(scratch.name), report=self.report)
        for name in ("host-0", "host-1"):
            self.world.daemons[name] = make_daemon(name, Path(scratch.name))
        self.load = LoadGenerator(self.world, self.report, SEED)
        self.injector = FaultInjector(self.world, self.load, Random(SEED))
        self.at = time.monotonic() - 100.0

    def add_call(
        self, route: str, status: int = 0, body: bytes = b"", **changes: Any
    ) -> Call:
        name = f"r{len(self.load.calls)}"
        answer = None
        if status:
            headers = {"x-waxwingarch-request-id": name}
            answer = HttpResponse(status=status, headers=headers, body=body)
        values = {
            "request_id": name,
            "route": route,
            "key": KEY,
            "size": 7,
            "host": "host-0",
            "incarnation": 1,
            "sent_at": self.at,
            "ended_at": self.at + 0.1,
            "answer": answer,
        }
        call = Call(**(values | changes))
        self.load.calls.append(call)
        return call

    def add_run(self, call: Call, **changes: Any) -> Run:
        values = {
            "request_id": call.request_id,
            "server_id": "e-0",
            "headers": {},
            "target": call.route,
            "body": b"",
            "began_at": call.sent_at,
        }
        run = Run(**(values | changes))
        self.world.fleet.runs.append(run)
        return run

    def broken_promises(self) -> set[str]:
        checker = PromiseChecker(
            self.world, self.load, self.injector, self.report
        )
        checker.check_all()
        return set(self.report.broken_counts)

    def add_interval(
        self, name: str, kind: str, begin: float, end: float
    ) -> None:
        interval = self.world.begin_fault(name, kind)
        interval.begin, interval.end = self.at + begin, self.at + end

    def test_no_promise_broken_without_faults(self) -> None:
        call = self.add_call("/pay/", 200, b'{"echo":7}')
        self.add_run(call)
        self.assertEqual(set(), self.broken_promises())

    def test_response_with_a_wrong_body(self) -> None:
        self.add_call("/pay/", 200, b'{"echo":8}')
        self.assertEqual({Promise.WHOLE}, self.broken_promises())

    def test_stream_without_its_last_event(self) -> None:
        body = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in (1, 2))
        self.add_call("/chat/", 200, body)
        self.assertEqual({Promise.WHOLE}, self.broken_promises())

    def test_two_runs_of_a_non_idempotent_call(self) -> None:
        call = self.add_call("/pay/", 502)
        self.add_run(call)
        self.add_run(call, server_id="e-1")
        self.assertIn(Promise.ONCE, self.broken_promises())

    def test_second_run_from_one_copy_of_a_run(self) -> None:
        call = self.add_call("/chat/", 502)
        self.add_run(call)
        for server_id in ("e-1", "e-2"):
            run = self.add_run(call, server_id=server_id)
            run.headers["kv-from"] = "127.0.0.1:1/h-1"
            expected = server_id == "e-2"
            self.assertEqual(
                expected, Promise.ONCE in self.broken_promises(), server_id
            )

    def test_run_of_a_call_refused_as_not_run(self) -> None:
        self.add_run(self.add_call("/pay/", 503))
        self.assertIn(Promise.NOT_RUN, self.broken_promises())

    def test_runs_of_a_refused_call_that_its_caller_repeats(self) -> None:
        for repeated_s, expected in ((0.5, False), (1.5, True)):
            at = self.at + repeated_s
            call = self.add_call("/pay/", 421, repeated_at=at)
            self.add_run(call, began_at=self.at + 1.0)
            broken = self.broken_promises()
            self.assertEqual(expected, Promise.NOT_RUN in broken, repeated_s)

    def test_answer_after_the_time_limit(self) -> None:
        late = {"ended_at": self.at + 3.5}
        self.add_call("/read/", 200, b'{"echo":7}', **late)
        self.assertEqual({Promise.IN_TIME}, self.broken_promises())

    def test_run_that_outlives_its_caller(self) -> None:
        call = self.add_call("/draft/", disconnected_at=self.at + 0.1)
        self.add_run(call)
        self.assertEqual({Promise.GONE}, self.broken_promises())

    def test_failure_at_an_undisturbed_host(self) -> None:
        self.add_interval(STORE, "store", -1.0, 1.0)
        self.add_interval("host-1", "kill", -1.0, 1.0)
        self.add_call("/read/", 502)
        self.assertEqual({Promise.SERVED}, self.broken_promises())

    def test_failure_at_a_disturbed_host_is_allowed(self) -> None:
        self.add_interval("host-0", "link to callers", -1.0, -0.5)
        self.add_call("/read/", 502)
        self.assertEqual(set(), self.broken_promises())

    def test_removed_key_accepted(self) -> None:
        self.load.added_keys = ["k1", "k2"]
        changes = [(self.at - 20, 1, ("k1",)), (self.at - 10, 2, ("k2",))]
        self.injector.config.changes = changes
        self.add_run(self.add_call("/read/", 200, b'{"echo":7}', key="k1"))
        self.assertEqual({Promise.IN_FORCE}, self.broken_promises())

    def test_older_key_accepted_after_a_newer_one(self) -> None:
        self.load.added_keys = ["k1", "k2"]
        self.add_call("/read/", 200, b'{"echo":7}', key="k2")
        later = {"sent_at": self.at + 1, "ended_at": self.at + 1.1}
        old = self.add_call("/read/", 200, b'{"echo":7}', key="k1", **later)
        self.add_run(old)
        self.assertIn(Promise.NO_REVERT, self.broken_promises())

    def test_run_on_a_leaving_server(self) -> None:
        self.add_interval("e-0", "drain", -8.0, 1.0)
        self.add_run(self.add_call("/draft/", 502))
        self.assertIn(Promise.DRAIN, self.broken_promises())

    def test_call_aborted_by_a_planned_stop(self) -> None:
        self.add_interval("host-0", "stop", -0.5, 3.0)
        self.add_run(self.add_call("/pay/"))
        self.assertIn(Promise.STOP, self.broken_promises())

    def test_connection_that_ends_without_an_answer(self) -> None:
        self.add_interval("config series", "config series", -1.0, 1.0)
        self.add_interval("e-0", "silence", -1.0, 1.0)
        self.add_interval("e-1", "crash", -1.0, 1.0)
        self.add_interval("host-1", "kill", -1.0, 1.0)
        self.add_run(self.add_call("/draft/", has_begun=True), ended="dropped")
        self.assertIn(Promise.ANSWERED, self.broken_promises())

    def test_server_that_fails_before_the_answer_is_no_excuse(self) -> None:
        self.add_interval("e-0", "crash", -1.0, 1.0)
        self.add_run(self.add_call("/draft/"), ended="broken")
        self.assertIn(Promise.ANSWERED, self.broken_promises())

    def test_stop_of_the_host_is_no_excuse_once_it_passed_on(self) -> None:
        self.add_interval("host-0", "stop", -0.5, 3.0)
        self.add_interval(STORE, "store", -0.5, 3.0)
        self.add_run(self.add_call("/draft/"), ended="done")
        self.assertEqual({Promise.ANSWERED}, self.broken_promises())

    def test_late_end_at_a_stopping_host_that_passed_nothing_on(self) -> None:
        self.add_interval("host-0", "stop", -0.5, 3.0)
        self.add_call("/draft/", ended_at=self.at + 1.0)
        self.assertEqual({Promise.ANSWERED}, self.broken_promises())

    def test_connections_that_may_end_without_an_answer(self) -> None:
        self.add_interval("host-0", "kill", 0.0, 0.05)
        self.add_call("/draft/")
        self.add_interval("host-1", "stop", -0.5, 3.0)
        self.add_call("/draft/", host="host-1")
        self.add_call("/draft/", host="host-2", is_unsent=True)
        begun = {"host": "host-2", "has_begun": True}
        self.add_run(self.add_call("/chat/", **begun), ended="broken")
        late = {"host": "host-2", "ended_at": self.at + 5.1}
        self.add_run(self.add_call("/chat/", **late), ended="dropped")
        self.add_interval("p-0", "link to server", -1.0, 1.0)
        self.add_interval("p-1", "silence", -1.0, 1.0)
        self.add_interval("e-0", "spoiled", -1.0, 1.0)
        self.add_interval("e-1", "spoiled", -1.0, 1.0)
        broken = self.broken_promises()
        self.assertNotIn(Promise.ANSWERED, broken)

    def add_crashes(
        self,
        late_runs: int,
        crashes: int = 5,
        route: str = "/chat/",
        name: str = "bad",
    ) -> None:
        """Add crashes under an input, and runs long after them."""
        crash_end = self.at + 0.2
        for n in range(crashes + late_runs):
            sent_at = self.at + (0.1 if n < crashes else 4.0)
            call = self.add_call(
                route,
                502,
                sent_at=sent_at,
                ended_at=sent_at + 1,
                crashing_input=name,
            )
            self.add_run(call, ended="crashed", ended_at=crash_end)

    def test_few_runs_of_a_part_that_crashed_five_servers(self) -> None:
        self.add_interval("e-0", "crash", 0.0, 9.0)
        self.add_interval("e-1", "crash", 0.0, 9.0)
        self.add_crashes(late_runs=3)
        self.assertNotIn(Promise.QUARANTINE, self.broken_promises())

    def test_more_runs_of_a_part_that_crashed_five_servers(self) -> None:
        self.add_crashes(late_runs=4)
        self.assertIn(Promise.QUARANTINE, self.broken_promises())

    def test_few_runs_of_a_request_that_crashed_three_servers(self) -> None:
        self.add_crashes(3, crashes=3, route="/read/", name="/read/4000")
        self.assertNotIn(Promise.QUARANTINE, self.broken_promises())

    def test_more_runs_of_a_request_that_crashed_three_servers(self) -> None:
        self.add_crashes(4, crashes=3, route="/read/", name="/read/4000")
        self.assertIn(Promise.QUARANTINE, self.broken_promises())

    def add_duty_call(self, at: float, fence: int, **body: Any) -> None:
        call = DutyCall(
            path="/usage", holder="h", fence=fence, body=body, at=self.at + at
        )
        self.world.fleet.duty_calls.append(call)

    def test_older_fence(self) -> None:
        self.add_duty_call(0.0, 5, window_number=1)
        self.add_duty_call(1.0, 4, window_number=2)
        self.assertEqual({Promise.FENCE}, self.broken_promises())

    def test_usage_window_reported_with_two_counts(self) -> None:
        self.add_duty_call(0.0, 5, window_number=1, counts={"a": 1})
        self.add_duty_call(1.0, 5, window_number=1, counts={"a": 2})
        self.assertEqual({Promise.USAGE}, self.broken_promises())


class ProcessCheckTest(testtools.TestCase):
    """A process that the soak itself ended did not end by itself."""

    def setUp(self) -> None:
        super().setUp()
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.report = Report(promises=tuple(Promise))
        self.world = World(folder=Path(scratch.name), report=self.report)
        self.daemon = make_daemon("host-0", Path(scratch.name))
        self.world.daemons["host-0"] = self.daemon

    @async_test
    async def test_check_while_a_killed_process_is_started_again(self) -> None:
        """The check runs after the kill, before the new process is there."""
        started = asyncio.Event()

        async def start_slowly(*args: Any, **options: Any) -> Any:
            started.set()
            await asyncio.sleep(0)
            return await asyncio.create_subprocess_exec("sleep", "60")

        with mock.patch("standins.soak.world.async_start_front", start_slowly):
            await self.world.async_start(self.daemon)
            await self.world.async_kill(self.daemon)
            started.clear()
            start = asyncio.create_task(self.world.async_start(self.daemon))
            await started.wait()
            self.world.check_processes()
            await start
            self.assertEqual({}, dict(self.report.broken))
            assert self.daemon.process
            self.daemon.process.kill()
            await self.daemon.process.wait()
            self.world.check_processes()
            self.assertEqual({Promise.ALIVE}, set(self.report.broken_counts))

    @async_test
    async def test_delay_of_the_soak_is_among_the_events(self) -> None:
        checker = PromiseChecker(
            self.world, mock.Mock(), mock.Mock(), self.report
        )
        task = asyncio.create_task(checker.async_run())
        await asyncio.sleep(0)
        time.sleep(PROCESS_CHECK_INTERVAL_S + 2 * NOTED_DELAY_S)  # noqa: ASYNC251
        await asyncio.sleep(0.01)
        task.cancel()
        [(_, event)] = self.report.log
        self.assertIn("soak delayed by 1.0 s", event)

    @async_test
    async def test_host_that_never_becomes_ready(self) -> None:
        with mock.patch("standins.soak.world.READY_LIMIT_S", 0.1):
            await self.world.async_check_ready(self.daemon)
        self.assertEqual({Promise.READY}, set(self.report.broken_counts))


class ShortSoak(testtools.TestCase):
    """Real processes for some seconds; `script/soak` runs longer ones."""

    def run_soak(self, *options: str) -> Report:
        args = build_parser().parse_args(
            ["--hosts=3", f"--seconds={SECONDS}", "--callers=8", *options]
        )
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(async_soak(args, SEED, Path(folder)))
        self.assertEqual({}, dict(report.broken), report.format())
        return report

    def test_keeps_all_promises(self) -> None:
        report = self.run_soak()
        self.assertGreater(report.checks[Promise.WHOLE], 0)

    # Guards against requests that a host has read and that end without an
    # answer while the configuration changes again and again.
    def test_answers_each_request_beside_reloads_in_series(self) -> None:
        report = self.run_soak("--only", "config series", "reload", "stop")
        self.assertGreater(report.checks[Promise.ANSWERED], 0)

    # Guards against streams that a host ends because their server is silent
    # for a second or two and then goes on.
    def test_ends_no_stream_of_a_silent_server(self) -> None:
        report = self.run_soak(
            "--engines=3", "--callers=16", "--only", "silence"
        )
        self.assertGreater(report.checks[Promise.ANSWERED], 0)

    # Guards against what only the kernel of a stopped or killed server does.
    def test_keeps_promises_with_servers_as_processes(self) -> None:
        report = self.run_soak("--processes", "--engines=3")
        self.assertGreater(report.checks[Promise.ONCE], 0)
