"""Tests of log lines, their bound, metrics, and explaining from logs."""

import asyncio
import json
import os
import tempfile
from pathlib import Path
from typing import Any

import testtools

from tests.front.base import Host
from tests.helpers import async_test
from tests.waxwingctl.helpers import async_ctl
from waxwingarch.adapters.front_metrics import MAX_LABELS, FrontMetrics
from waxwingarch.adapters.log_stream import LogStream
from waxwingarch.const import EXIT_NOT_FOUND, EXIT_OK


class Stream(testtools.TestCase):
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

    def test_reader_that_does_not_read_is_not_waited_for(self) -> None:
        for n in range(4000):
            self.now = 10.0 + n
            self.stream({"message_type": "refused", "text": "x" * 1000})
        self.assertGreater(self.stream.lost_lines, 0)
        self.lines()
        self.now += 1
        self.stream({"message_type": "stopped"})
        told = [
            line
            for line in self.lines()
            if line["message_type"] == "lines_left_out"
        ]
        self.assertGreater(told[0]["not_taken"], 0)


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
        self.assertLessEqual(len(metrics.ended), MAX_LABELS + 1)
        self.assertEqual(MAX_LABELS * 3, sum(metrics.ended.values()))

    @async_test
    async def test_served_on_the_metrics_address(self) -> None:
        async with Host() as host:
            await host.async_ask("/pay/x")
            now = asyncio.get_running_loop().time()
            answer = await host.client.async_request(
                "GET",
                f"127.0.0.1:{host.ports[3]}",
                "/metrics",
                deadline=now + 5,
            )
            self.assertEqual(200, answer.status)
            self.assertIn(b'outcome="answered",service="ledger"', answer.body)


class Explain(testtools.TestCase):
    def write(self, folder: str, name: str, *lines: dict[str, Any]) -> str:
        path = Path(folder) / name
        text = "".join(json.dumps(line) + "\n" for line in lines)
        path.write_text("not json\n" + text)
        return str(path)

    def logs(self, folder: str) -> list[str]:
        one = self.write(
            folder,
            "h1.log",
            {"timestamp": 3.0, "message_type": "attempt_failed",
             "request_id": "r", "server": "e1", "end": "broken"},
            {"timestamp": 4.0, "message_type": "exchange_ended",
             "request_id": "r", "outcome": "answered"},
            {"timestamp": 2.5, "message_type": "server_leaving",
             "server": "e1"},
        )  # fmt: skip
        two = self.write(
            folder,
            "h2.log",
            {"timestamp": 3.5, "message_type": "refused", "request_id": "q"},
        )
        return [one, two]

    @async_test
    async def test_story_of_a_request_over_many_files(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            one, two = self.logs(folder)
            done = await async_ctl("explain", "r", "--log", one, "--log", two)
        self.assertEqual(EXIT_OK, done.code, done.err)
        order = ["server_leaving", "attempt_failed", "exchange_ended"]
        places = [done.out.index(kind) for kind in order]
        self.assertEqual(sorted(places), places)
        self.assertNotIn("refused", done.out)

    @async_test
    async def test_unknown_request_and_missing_file(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            one, _ = self.logs(folder)
            done = await async_ctl("explain", "nobody", "--log", one)
            self.assertEqual(EXIT_NOT_FOUND, done.code)
            done = await async_ctl("explain", "r", "--log", f"{folder}/none")
            self.assertIn("cannot be read", done.err)
