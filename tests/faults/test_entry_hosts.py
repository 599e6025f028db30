"""Entry hosts that stop or are reclaimed cut off nobody."""

import signal
import threading
import time
from typing import Any

from standins.client import Ask
from standins.deployment import wait_until
from tests.faults.base import CALL_LIMIT_S, FaultCase

LONG = Ask(prompt="draft a long appeal to our donors", max_tokens=80)
WHOLE = Ask(prompt="one stage summary", max_tokens=60, stream=False)


class PlannedStop(FaultCase):
    host_count = 3

    def test_stop_with_a_stream_in_progress(self) -> None:
        def stop() -> None:
            self.wait_for_tokens("entry-1")
            self.cluster.signal("entry-1", signal.SIGTERM)
            wait_until(
                lambda: not self.dep.is_ready("entry-1"), "it is not ready"
            )

        [answer, whole] = self.ask_all(
            [LONG, WHOLE], [self.http_address("entry-1")], stop
        )
        self.assertTrue(answer.right, answer)
        self.assertTrue(whole.right, whole)
        self.assertEqual(1, answer.connections)
        self.assertEqual(0, self.cluster.wait("entry-1", 15))

    def test_second_signal_stops_at_once(self) -> None:
        def stop_twice() -> None:
            self.wait_for_tokens("entry-1")
            self.cluster.signal("entry-1", signal.SIGTERM)
            wait_until(
                lambda: not self.dep.is_ready("entry-1"), "it is not ready"
            )
            self.cluster.signal("entry-1", signal.SIGTERM)

        self.ask_all(
            [LONG],
            [self.http_address("entry-1"), self.http_address("entry-2")],
            stop_twice,
        )
        self.assertEqual(5, self.cluster.wait("entry-1", 15))

    def test_rolling_restart_under_load(self) -> None:
        over = threading.Event()
        batch_begun = threading.Event()
        answers: list[Any] = []
        restarted: list[str] = []

        def restart_all() -> None:
            # Each stop meets requests in progress, however slow the
            # machine is: it waits for a batch that begins after the
            # last host came back.
            for name in list(self.dep.hosts):
                batch_begun.clear()
                if not batch_begun.wait(CALL_LIMIT_S):
                    break
                self.cluster.stop(name, 15)
                self.dep.start_host(name)
                restarted.append(name)
            over.set()

        def load() -> None:
            entries = [self.http_address(name) for name in self.dep.hosts]
            n = 0
            while not over.is_set():
                n += 1
                asks = [
                    Ask(prompt=f"question {n} {i}", max_tokens=20)
                    for i in range(6)
                ]
                answers.extend(
                    self.ask_all(asks, entries, during=batch_begun.set)
                )

        restarting = threading.Thread(target=restart_all)
        restarting.start()
        load()
        restarting.join()
        self.assertEqual(list(self.dep.hosts), restarted)
        self.assertGreater(len(answers), 12)
        for answer in answers:
            self.assertTrue(answer.right, answer)
            # Cut off is an answer that had begun; a refused connection
            # is what the balancer spares callers.
            self.assertNotIn("Cut", " ".join(answer.links), answer)


class ReclaimedEntryHost(FaultCase):
    engine_count = 3
    host_count = 3

    def notice(self, deadline_s: float, **target: str) -> None:
        self.cluster.fault(
            "platform", "notice", deadline_s=deadline_s, **target
        )

    def test_stream_and_whole_answer_go_on_elsewhere(self) -> None:
        def reclaim() -> None:
            self.wait_for_tokens("entry-1")
            self.notice(1.5, host_id="entry-1")

        answers = self.ask_all(
            [LONG, WHOLE],
            [self.http_address("entry-1"), self.http_address("entry-2")],
            reclaim,
        )
        for answer in answers:
            self.assertTrue(answer.right, answer)
            self.assertEqual(2, answer.connections, answer)

    def test_reclaimed_together_with_its_engine(self) -> None:
        def reclaim() -> None:
            engine = self.wait_for_tokens("entry-1")
            self.notice(1.2, host_id="entry-1")
            wait_until(
                lambda: "handed_over" in self.cluster.errors_of("entry-1"),
                "the progress is at the keepers",
            )
            self.cluster.signal(engine, signal.SIGKILL)
            self.cluster.signal("entry-1", signal.SIGKILL)

        [answer] = self.ask_all(
            [LONG],
            [self.http_address("entry-1"), self.http_address("entry-2")],
            reclaim,
        )
        self.assertTrue(answer.right, answer)
        resumed = [
            entry["offset"]
            for entry in self.journal_of_engines("begun")
            if entry["offset"]
        ]
        self.assertEqual(1, len(resumed), "it went on from its tokens")


class ReplacedEntryHost(FaultCase):
    engine_count = 1
    service_count = 0
    host_count = 1

    def test_notice_of_the_host_before_it_is_not_its_own(self) -> None:
        """A host that takes a reclaimed one's place stays."""
        self.cluster.fault(
            "platform", "notice", host_id="entry-1", deadline_s=1
        )
        wait_until(
            lambda: not self.cluster.alive("entry-1"), "the first is gone"
        )
        deadline = time.time() + 1
        wait_until(lambda: time.time() > deadline, "its notice has run out")
        self.dep.start_host("entry-1")
        heard = time.monotonic() + 1
        wait_until(lambda: time.monotonic() > heard, "it hears all notices")
        self.assertTrue(self.dep.is_ready("entry-1"))
        [answer] = self.ask_all([WHOLE], [self.http_address("entry-1")])
        self.assertTrue(answer.right, answer)
