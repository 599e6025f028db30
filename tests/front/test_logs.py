"""Tests of the log, its bounds, the metrics and `explain`."""

import asyncio
import json
import os
import tempfile
from pathlib import Path
from typing import Any

import testtools
from eliot import add_destinations, remove_destination

from tests.core.front.builders import make_head, server, serving_front
from tests.front.base import Host
from tests.helpers import async_test
from tests.waxwingctl.helpers import async_ctl
from waxwingarch.adapters.front_metrics import MAX_LABELS, FrontMetrics
from waxwingarch.adapters.log_stream import Level, LogStream
from waxwingarch.const import EXIT_NOT_FOUND, EXIT_OK
from waxwingarch.core.base import Event, RequestId
from waxwingarch.core.exchange.exchange_messages import (
    AttemptFinished,
    AttemptOutcome,
    ExchangeArrived,
)
from waxwingarch.core.quarantine.inputs import request_key
from waxwingarch.tasks.front_log import FrontLog


class LogStreamBounds(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.reading, writing = os.pipe()
        self.addCleanup(os.close, self.reading)
        self.addCleanup(os.close, writing)
        self.now = 10.0
        self.stream = LogStream(writing, 5, lambda: self.now)

    def lines(self) -> list[dict[str, Any]]:
        os.set_blocking(self.reading, False)
        try:
            data = os.read(self.reading, 1 << 20)
        except BlockingIOError:
            return []
        return [json.loads(line) for line in data.splitlines()]

    def test_flood_of_one_kind_is_bounded_and_counted(self) -> None:
        for n in range(100):
            self.stream({"message_type": "refused", "n": n})
        self.stream({"message_type": "started"})
        kinds = [line["message_type"] for line in self.lines()]
        self.assertEqual(["refused"] * 5 + ["started"], kinds)
        self.now = 11.0
        self.stream({"message_type": "stopped"})
        summary, last = self.lines()
        self.assertEqual({"refused": 95}, summary["kinds"])
        self.assertEqual("stopped", last["message_type"])

    def test_full_pipe_drops_lines_instead_of_blocking(self) -> None:
        for n in range(4000):
            self.now = 10.0 + n
            self.stream({"message_type": "refused", "text": "x" * 1000})
        self.assertGreater(self.stream.lost_lines, 0)
        self.lines()
        self.now += 1
        self.stream({"message_type": "stopped"})
        summaries = [
            line
            for line in self.lines()
            if line["message_type"] == "lines_left_out"
        ]
        self.assertGreater(summaries[0]["not_taken"], 0)

    def test_line_too_long_for_one_write_is_still_valid_json(self) -> None:
        text = "x" * 5000
        self.stream({"message_type": "refused", "request_id": "r", "t": text})
        (line,) = self.lines()
        self.assertEqual("r", line["request_id"])
        self.assertEqual("refused", line["message_type"])
        self.assertGreater(line["cut_bytes"], 5000)

    def test_levels_select_the_lines(self) -> None:
        messages = [
            {"message_type": "dispatched"},
            {"message_type": "exchange_ended", "outcome": "answered"},
            {"message_type": "exchange_ended", "outcome": "cut"},
        ]
        for level, count in (
            (Level.INFO, 3), (Level.NOTICE, 1), (Level.OFF, 0),
        ):  # fmt: skip
            self.stream.configure(5, level)
            self.now += 1
            for message in messages:
                self.stream(message)
            self.assertEqual(count, len(self.lines()), level)


class DispatchLog(testtools.TestCase):
    def new_lines(self) -> list[dict[str, Any]]:
        """Return a list that gets the lines of this test.

        The first destination of a process also gets the lines that were
        written before.
        """
        lines: list[dict[str, Any]] = []
        add_destinations(lines.append)
        self.addCleanup(remove_destination, lines.append)
        lines.clear()
        return lines

    @async_test
    async def test_each_server_selection_is_logged_with_its_inputs(
        self,
    ) -> None:
        lines = self.new_lines()
        async with Host() as host:
            for server in host.fleet.plain():
                server.behaviour.how = "shed"
            host.fleet.plain()[0].behaviour.count = 1
            host.fleet.plain()[1].behaviour.count = 1
            await host.async_send("/read/x")
        sent = [x for x in lines if x.get("message_type") == "dispatched"]
        self.assertEqual([1, 2], [line["attempt"] for line in sent][:2])
        for line in sent:
            self.assertEqual("req-1", line["request_id"])
            self.assertEqual("read", line["route"])
            self.assertGreater(line["expected_s"], 0)
            self.assertGreater(line["config_version"], 0)
            self.assertIn("listing_age_s", line)

    def test_failed_attempt_names_what_its_request_shares(self) -> None:
        lines = self.new_lines()
        node = serving_front(server("e1"))
        log = FrontLog(node, FrontMetrics())
        for name in ("r1", "r2"):
            head = make_head(name, digest="d")
            event: Event = ExchangeArrived(head=head)
            log(1.0, event, node.handle(1.0, event))
        event = AttemptFinished(
            request_id=RequestId("r1"), outcome=AttemptOutcome.BROKEN
        )
        log(1.1, event, node.handle(1.1, event))
        [line] = [x for x in lines if x["message_type"] == "attempt_failed"]
        self.assertEqual(("p0",), line["parts"])
        account = node.table.account_for_key(head.key)
        assert account is not None
        key = request_key(account.account, "d")
        self.assertEqual(key, line["whole_request"])
        self.assertEqual(1, line["beside"])


class Metrics(testtools.TestCase):
    def test_text_format(self) -> None:
        metrics = FrontMetrics()
        for n in range(10):
            labels = ("pool", "za", "answered")
            metrics.record(labels, 0.01 * n, 0.3)
        text = metrics.text().decode()
        self.assertIn(
            'waxwingarch_exchanges_total{failure_domain="za",'
            'outcome="answered",service="pool"} 10.0',
            text,
        )
        self.assertIn('le="0.4",outcome="answered",service="pool"} 10.0', text)

    def test_label_sets_are_bounded(self) -> None:
        metrics = FrontMetrics()
        for n in range(MAX_LABELS * 3):
            metrics.record((f"s{n}", "za", "answered"), None, 0.1)
        self.assertLessEqual(len(metrics.exchanges), MAX_LABELS + 1)
        self.assertEqual(MAX_LABELS * 3, sum(metrics.exchanges.values()))

    @async_test
    async def test_metrics_are_served_on_their_address(self) -> None:
        async with Host() as host:
            await host.async_send("/pay/x")
            now = asyncio.get_running_loop().time()
            response = await host.client.async_request(
                "GET",
                f"127.0.0.1:{host.ports[3]}",
                "/metrics",
                deadline=now + 5,
            )
            self.assertEqual(200, response.status)
            self.assertIn(
                b'outcome="answered",service="ledger"', response.body
            )


class ExplainRequest(testtools.TestCase):
    def write(self, folder: str, name: str, *lines: dict[str, Any]) -> str:
        path = Path(folder) / name
        text = "".join(json.dumps(line) + "\n" for line in lines)
        path.write_text("not json\n" + text)
        return str(path)

    def logs(self, folder: str) -> list[str]:
        first_log = self.write(
            folder,
            "h1.log",
            {"timestamp": 3.0, "message_type": "attempt_failed",
             "request_id": "r", "server": "e1", "end": "broken"},
            {"timestamp": 4.0, "message_type": "exchange_ended",
             "request_id": "r", "outcome": "answered"},
            {"timestamp": 2.5, "message_type": "server_leaving",
             "server": "e1"},
        )  # fmt: skip
        second_log = self.write(
            folder,
            "h2.log",
            {"timestamp": 3.5, "message_type": "refused", "request_id": "q"},
        )
        return [first_log, second_log]

    @async_test
    async def test_request_is_explained_from_several_files(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            first_log, second_log = self.logs(folder)
            result = await async_ctl(
                "explain", "r", "--log", first_log, "--log", second_log
            )
        self.assertEqual(EXIT_OK, result.code, result.err)
        order = ["server_leaving", "attempt_failed", "exchange_ended"]
        positions = [result.out.index(kind) for kind in order]
        self.assertEqual(sorted(positions), positions)
        self.assertNotIn("refused", result.out)

    @async_test
    async def test_restart_of_its_host_explains_a_lost_request(self) -> None:
        sent = {"timestamp": 3.0, "message_type": "dispatched", "host": "h1",
                "request_id": "r", "server": "e1"}  # fmt: skip
        starts = [
            {"timestamp": at, "message_type": "started", "host": host}
            for at, host in ((3.5, "h2"), (9.0, "h1"), (12.0, "h1"))
        ]
        with tempfile.TemporaryDirectory() as folder:
            log_path = self.write(folder, "all.log", sent, *starts)
            result = await async_ctl("explain", "r", "--log", log_path)
        self.assertEqual(EXIT_OK, result.code, result.err)
        self.assertEqual(1, result.out.count("started"), result.out)
        self.assertIn("6.000", result.out)

    @async_test
    async def test_unknown_request_and_missing_file(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            first_log, _ = self.logs(folder)
            result = await async_ctl("explain", "nobody", "--log", first_log)
            self.assertEqual(EXIT_NOT_FOUND, result.code)
            result = await async_ctl("explain", "r", "--log", f"{folder}/none")
            self.assertIn("cannot be read", result.err)
