"""The soak: its links do harm, its judge notices, and a short run."""

import asyncio
import tempfile
import time
from pathlib import Path
from random import Random
from typing import Any

import testtools

from standins.campaign_report import Report
from standins.fleet import DutyCall
from standins.fleet_server import Run
from standins.front_process import KEY
from standins.soak.__main__ import async_soak, build_parser
from standins.soak.checks import Judge
from standins.soak.faults import Injector
from standins.soak.link import Harm, Link
from standins.soak.load import Call, Load
from standins.soak.promises import Promise
from standins.soak.world import STORE, Daemon, World
from tests.helpers import async_test
from waxwingarch.adapters.http_client import HttpResponse

SEED = 7
SECONDS = 10.0


class Links(testtools.TestCase):
    async def async_echo(self) -> Link:
        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while data := await reader.read(100):
                writer.write(data)
                await writer.drain()
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        link = Link(f"127.0.0.1:{port}")
        await link.async_setup()
        return link

    async def async_ask(self, link: Link, within_s: float = 0.2) -> bytes:
        host, _, port = link.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(b"hello")
            async with asyncio.timeout(within_s):
                return await reader.read(100)
        finally:
            writer.transport.abort()

    @async_test
    async def test_passes_what_it_gets(self) -> None:
        link = await self.async_echo()
        self.assertEqual(b"hello", await self.async_ask(link, 5.0))
        await link.async_unload()

    @async_test
    async def test_cuts_either_way_and_both(self) -> None:
        link = await self.async_echo()
        for harm in (Harm.CUT_THERE, Harm.CUT_BACK, Harm.SILENT):
            link.harm = harm
            with testtools.ExpectedException(TimeoutError):
                await self.async_ask(link)
        link.harm = Harm.NONE
        self.assertEqual(b"hello", await self.async_ask(link, 5.0))
        await link.async_unload()

    @async_test
    async def test_refuses_and_delays(self) -> None:
        link = await self.async_echo()
        link.harm = Harm.REFUSE
        with testtools.ExpectedException(ConnectionResetError):
            if not await self.async_ask(link, 5.0):
                raise ConnectionResetError
        link.harm, link.delay_s = Harm.DELAY, 0.1
        before = time.monotonic()
        self.assertEqual(b"hello", await self.async_ask(link, 5.0))
        self.assertGreaterEqual(time.monotonic() - before, 0.2)
        await link.async_unload()

    @async_test
    async def test_what_was_lost_stays_lost(self) -> None:
        link = await self.async_echo()
        host, _, port = link.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        link.harm = Harm.CUT_THERE
        writer.write(b"lost")
        async with asyncio.timeout(5.0):
            while not any(pair.lost for pair in link._pairs):  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        link.harm = Harm.NONE
        writer.write(b"later")
        with testtools.ExpectedException(TimeoutError):
            async with asyncio.timeout(0.2):
                await reader.read(100)
        writer.transport.abort()
        await link.async_unload()


class Judged(testtools.TestCase):
    """Each promise is seen to break where it does."""

    def setUp(self) -> None:
        super().setUp()
        made = tempfile.TemporaryDirectory()
        self.addCleanup(made.cleanup)
        self.report = Report(promises=tuple(Promise))
        self.world = World(folder=Path(made.name), report=self.report)
        link = Link("127.0.0.1:1")
        for name in ("host-0", "host-1"):
            self.world.daemons[name] = Daemon(
                name=name,
                zone="za",
                settings=Path(made.name),
                readiness=1,
                callers=link,
                store=link,
                duties=link,
            )
        self.load = Load(self.world, self.report, SEED)
        self.injector = Injector(self.world, self.load, Random(SEED))
        self.at = time.monotonic() - 100.0

    def call(
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

    def run_of(self, call: Call, **changes: Any) -> Run:
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

    def broken(self) -> set[str]:
        judge = Judge(self.world, self.load, self.injector, self.report)
        judge.conclude()
        return set(self.report.broken_counts)

    def spell(self, name: str, kind: str, begin: float, end: float) -> None:
        spell = self.world.disturb(name, kind)
        spell.begin, spell.end = self.at + begin, self.at + end

    def test_sound_calls_break_nothing(self) -> None:
        call = self.call("/pay/", 200, b'{"echo":7}')
        self.run_of(call)
        self.assertEqual(set(), self.broken())

    def test_answer_of_another_or_not_whole(self) -> None:
        self.call("/pay/", 200, b'{"echo":8}')
        self.assertEqual({Promise.WHOLE}, self.broken())

    def test_stream_without_its_last_event(self) -> None:
        body = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in (1, 2))
        self.call("/chat/", 200, body)
        self.assertEqual({Promise.WHOLE}, self.broken())

    def test_two_runs_of_what_may_not_be_repeated(self) -> None:
        call = self.call("/pay/", 502)
        self.run_of(call)
        self.run_of(call, server_id="e-1")
        self.assertIn(Promise.ONCE, self.broken())

    def test_run_of_what_was_refused_as_not_run(self) -> None:
        self.run_of(self.call("/pay/", 503))
        self.assertIn(Promise.NOT_RUN, self.broken())

    def test_answer_after_the_time_limit(self) -> None:
        late = {"ended_at": self.at + 3.5}
        self.call("/read/", 200, b'{"echo":7}', **late)
        self.assertEqual({Promise.IN_TIME}, self.broken())

    def test_run_that_outlives_its_caller(self) -> None:
        call = self.call("/draft/", left_at=self.at + 0.1)
        self.run_of(call)
        self.assertEqual({Promise.GONE}, self.broken())

    def test_failure_where_all_is_sound(self) -> None:
        self.spell(STORE, "store", -1.0, 1.0)
        self.spell("host-1", "kill", -1.0, 1.0)
        self.call("/read/", 502)
        self.assertEqual({Promise.SERVED}, self.broken())

    def test_failure_at_a_disturbed_host_is_allowed(self) -> None:
        self.spell("host-0", "link to callers", -1.0, -0.5)
        self.call("/read/", 502)
        self.assertEqual(set(), self.broken())

    def test_key_that_was_taken_away(self) -> None:
        self.load.added_keys = ["k1", "k2"]
        changes = [(self.at - 20, 1, ("k1",)), (self.at - 10, 2, ("k2",))]
        self.injector.changes = changes
        self.run_of(self.call("/read/", 200, b'{"echo":7}', key="k1"))
        self.assertEqual({Promise.IN_FORCE}, self.broken())

    def test_older_key_after_a_newer_one(self) -> None:
        self.load.added_keys = ["k1", "k2"]
        self.call("/read/", 200, b'{"echo":7}', key="k2")
        later = {"sent_at": self.at + 1, "ended_at": self.at + 1.1}
        old = self.call("/read/", 200, b'{"echo":7}', key="k1", **later)
        self.run_of(old)
        self.assertIn(Promise.NO_REVERT, self.broken())

    def test_run_on_a_leaving_server(self) -> None:
        self.spell("e-0", "drain", -8.0, 1.0)
        self.run_of(self.call("/draft/", 502))
        self.assertIn(Promise.DRAIN, self.broken())

    def test_call_that_a_planned_stop_cuts(self) -> None:
        self.spell("host-0", "stop", -0.5, 3.0)
        self.run_of(self.call("/pay/"))
        self.assertIn(Promise.STOP, self.broken())

    def duty(self, at: float, fence: int, **body: Any) -> None:
        call = DutyCall(
            path="/usage", holder="h", fence=fence, body=body, at=self.at + at
        )
        self.world.fleet.duty_calls.append(call)

    def test_older_fence(self) -> None:
        self.duty(0.0, 5, window_number=1)
        self.duty(1.0, 4, window_number=2)
        self.assertEqual({Promise.FENCE}, self.broken())

    def test_window_reported_two_ways(self) -> None:
        self.duty(0.0, 5, window_number=1, counts={"a": 1})
        self.duty(1.0, 5, window_number=1, counts={"a": 2})
        self.assertEqual({Promise.USAGE}, self.broken())


class ShortSoak(testtools.TestCase):
    def test_keeps_all_promises(self) -> None:
        """Real processes; `script/soak` runs longer ones."""
        options = ["--hosts=3", f"--seconds={SECONDS}", "--callers=8"]
        args = build_parser().parse_args(options)
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(async_soak(args, SEED, Path(folder)))
        self.assertEqual({}, dict(report.broken), report.text())
        self.assertGreater(report.checks[Promise.WHOLE], 0)
