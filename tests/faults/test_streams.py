"""Each caller gets its complete response when engines or hosts fail."""

import signal

from standins.client import CompletionRequest
from tests.faults.base import FaultCase

STREAMED = CompletionRequest(
    prompt="draft a long appeal to our donors", max_tokens=80
)


class EngineLost(FaultCase):
    def test_killed_engine(self) -> None:
        def kill_engine() -> None:
            self.cluster.signal(
                self.wait_for_stream("entry-1"), signal.SIGKILL
            )

        [answer] = self.ask_all(
            [STREAMED], [self.http_address("entry-1")], kill_engine
        )
        self.assertTrue(answer.is_correct, answer)
        self.assertEqual(1, answer.connections)

    def test_silent_connection(self) -> None:
        def silence_engine() -> None:
            self.cluster.fault(self.wait_for_stream("entry-1"), "silent")

        [answer] = self.ask_all(
            [STREAMED], [self.http_address("entry-1")], silence_engine
        )
        self.assertTrue(answer.is_correct, answer)
        self.assertEqual(1, answer.connections)
        self.assertLess(answer.longest_gap_s, 2.0)

    def test_frozen_engine(self) -> None:
        def freeze_engine() -> None:
            self.cluster.signal(
                self.wait_for_stream("entry-1"), signal.SIGSTOP
            )

        [answer] = self.ask_all(
            [STREAMED], [self.http_address("entry-1")], freeze_engine
        )
        self.assertTrue(answer.is_correct, answer)

    def test_announced_reclaim(self) -> None:
        def reclaim_engine() -> None:
            self.cluster.fault(
                "platform",
                "notice",
                server_id=self.wait_for_stream("entry-1"),
                deadline_s=1.5,
            )

        [answer] = self.ask_all(
            [STREAMED], [self.http_address("entry-1")], reclaim_engine
        )
        self.assertTrue(answer.is_correct, answer)
        self.assertEqual(1, answer.connections)
        self.assertEqual(1, len(self.engine_journal("kv_import")))

    def test_broken_chunks(self) -> None:
        for kind in ("cut", "repeat_chunk", "wrong_order", "late_answer"):
            for name in ("engine-1", "engine-2"):
                self.cluster.fault(
                    name, kind, after_tokens=10, delay_ms=500, count=2
                )
            asks = [
                CompletionRequest(prompt=f"{kind} {n}", max_tokens=30)
                for n in range(6)
            ]
            for answer in self.ask_all(asks, [self.http_address("entry-1")]):
                self.assertTrue(answer.is_correct, (kind, answer))
                self.assertEqual(1, answer.connections)


class EntryHostLost(FaultCase):
    def test_killed_entry_host(self) -> None:
        entries = [self.http_address("entry-1"), self.http_address("entry-2")]

        def kill_host() -> None:
            self.wait_for_stream("entry-1")
            self.cluster.kill("entry-1")

        [answer] = self.ask_all([STREAMED], entries, kill_host)
        self.assertTrue(answer.is_correct, answer)
        self.assertEqual(2, answer.connections)
        begun = self.engine_journal("begun")
        self.assertEqual(1, len(begun), begun)
