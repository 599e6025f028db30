"""Streams under failure: each caller gets its whole answer."""

import signal

from standins.client import Ask
from tests.faults.base import FaultCase

LONG = Ask(prompt="draft a long appeal to our donors", max_tokens=80)


class EngineLost(FaultCase):
    def test_killed_engine(self) -> None:
        def kill() -> None:
            self.cluster.signal(
                self.wait_for_tokens("entry-1"), signal.SIGKILL
            )

        [answer] = self.ask_all([LONG], [self.http_address("entry-1")], kill)
        self.assertTrue(answer.right, answer)
        self.assertEqual(1, answer.connections)

    def test_silent_connection(self) -> None:
        def silence() -> None:
            self.cluster.fault(self.wait_for_tokens("entry-1"), "silent")

        [answer] = self.ask_all(
            [LONG], [self.http_address("entry-1")], silence
        )
        self.assertTrue(answer.right, answer)
        self.assertEqual(1, answer.connections)
        self.assertLess(answer.longest_gap_s, 2.0)

    def test_frozen_engine(self) -> None:
        def freeze() -> None:
            self.cluster.signal(
                self.wait_for_tokens("entry-1"), signal.SIGSTOP
            )

        [answer] = self.ask_all([LONG], [self.http_address("entry-1")], freeze)
        self.assertTrue(answer.right, answer)

    def test_announced_reclaim(self) -> None:
        def reclaim() -> None:
            self.cluster.fault(
                "platform",
                "notice",
                server_id=self.wait_for_tokens("entry-1"),
                deadline_s=1.5,
            )

        [answer] = self.ask_all(
            [LONG], [self.http_address("entry-1")], reclaim
        )
        self.assertTrue(answer.right, answer)
        self.assertEqual(1, answer.connections)
        self.assertEqual(1, len(self.journal_of_engines("kv_import")))

    def test_broken_chunks(self) -> None:
        for kind in ("cut", "repeat_chunk", "wrong_order", "late_answer"):
            for name in ("engine-1", "engine-2"):
                self.cluster.fault(
                    name, kind, after_tokens=10, delay_ms=500, count=2
                )
            asks = [Ask(prompt=f"{kind} {n}", max_tokens=30) for n in range(6)]
            for answer in self.ask_all(asks, [self.http_address("entry-1")]):
                self.assertTrue(answer.right, (kind, answer))
                self.assertEqual(1, answer.connections)


class EntryHostLost(FaultCase):
    def test_killed_entry_host(self) -> None:
        entries = [self.http_address("entry-1"), self.http_address("entry-2")]

        def kill() -> None:
            self.wait_for_tokens("entry-1")
            self.cluster.kill("entry-1")

        [answer] = self.ask_all([LONG], entries, kill)
        self.assertTrue(answer.right, answer)
        self.assertEqual(2, answer.connections)
        begun = self.journal_of_engines("begun")
        self.assertEqual(1, len(begun), begun)
