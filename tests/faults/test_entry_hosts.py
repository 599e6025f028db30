"""Callers of stopped or reclaimed entry hosts get complete responses.

A planned stop drains the host first. After a reclaim notice, callers
reconnect and continue their responses through another host.
"""

import signal
import threading
import time
from typing import Any

from standins.client import CompletionRequest
from standins.deployment import wait_until
from tests.faults.base import CALL_LIMIT_S, FaultCase

STREAMED = CompletionRequest(
    prompt="draft a long appeal to our donors", max_tokens=80
)
NON_STREAMED = CompletionRequest(
    prompt="one stage summary", max_tokens=60, stream=False
)


class PlannedStop(FaultCase):
    host_count = 3

    def test_stop_with_a_stream_in_progress(self) -> None:
        def stop_host() -> None:
            self.wait_for_stream("entry-1")
            self.cluster.signal("entry-1", signal.SIGTERM)
            wait_until(
                lambda: not self.dep.is_ready("entry-1"), "it is not ready"
            )

        [answer, non_streamed] = self.ask_all(
            [STREAMED, NON_STREAMED], [self.http_address("entry-1")], stop_host
        )
        self.assertTrue(answer.is_correct, answer)
        self.assertTrue(non_streamed.is_correct, non_streamed)
        self.assertEqual(1, answer.connections)
        self.assertEqual(0, self.cluster.wait("entry-1", 15))

    def test_second_signal_stops_at_once(self) -> None:
        def stop_twice() -> None:
            self.wait_for_stream("entry-1")
            self.cluster.signal("entry-1", signal.SIGTERM)
            wait_until(
                lambda: not self.dep.is_ready("entry-1"), "it is not ready"
            )
            self.cluster.signal("entry-1", signal.SIGTERM)

        self.ask_all(
            [STREAMED],
            [self.http_address("entry-1"), self.http_address("entry-2")],
            stop_twice,
        )
        self.assertEqual(5, self.cluster.wait("entry-1", 15))

    def test_rolling_restart_under_load(self) -> None:
        all_restarted = threading.Event()
        batch_started = threading.Event()
        answers: list[Any] = []
        restarted: list[str] = []

        def restart_all() -> None:
            # Each stop waits for a batch that starts after the previous
            # host is back, so that it meets requests in progress
            # however slow the computer is.
            for name in list(self.dep.hosts):
                batch_started.clear()
                if not batch_started.wait(CALL_LIMIT_S):
                    break
                self.cluster.stop(name, 15)
                self.dep.start_host(name)
                restarted.append(name)
            all_restarted.set()

        def send_load() -> None:
            entries = [self.http_address(name) for name in self.dep.hosts]
            n = 0
            while not all_restarted.is_set():
                n += 1
                asks = [
                    CompletionRequest(
                        prompt=f"question {n} {i}", max_tokens=20
                    )
                    for i in range(6)
                ]
                answers.extend(
                    self.ask_all(asks, entries, during=batch_started.set)
                )

        restarting = threading.Thread(target=restart_all)
        restarting.start()
        send_load()
        restarting.join()
        self.assertEqual(list(self.dep.hosts), restarted)
        self.assertGreater(len(answers), 12)
        for answer in answers:
            self.assertTrue(answer.is_correct, answer)
            # No response that has started may be cut off. A refused
            # connection is allowed: in production the balancer
            # keeps callers away from a host that is not ready.
            self.assertNotIn("Cut", " ".join(answer.links), answer)


class ReclaimedEntryHost(FaultCase):
    engine_count = 3
    host_count = 3

    def send_reclaim_notice(self, deadline_s: float, **target: str) -> None:
        self.cluster.fault(
            "platform", "notice", deadline_s=deadline_s, **target
        )

    def test_stream_and_response_continue_on_another_host(self) -> None:
        def reclaim() -> None:
            self.wait_for_stream("entry-1")
            self.send_reclaim_notice(1.5, host_id="entry-1")

        answers = self.ask_all(
            [STREAMED, NON_STREAMED],
            [self.http_address("entry-1"), self.http_address("entry-2")],
            reclaim,
        )
        for answer in answers:
            self.assertTrue(answer.is_correct, answer)
            self.assertEqual(2, answer.connections, answer)

    def test_reclaimed_together_with_its_engine(self) -> None:
        def reclaim() -> None:
            engine = self.wait_for_stream("entry-1")
            self.send_reclaim_notice(1.2, host_id="entry-1")
            wait_until(
                lambda: "handed_over" in self.cluster.errors_of("entry-1"),
                "the progress is handed over",
            )
            self.cluster.signal(engine, signal.SIGKILL)
            self.cluster.signal("entry-1", signal.SIGKILL)

        [answer] = self.ask_all(
            [STREAMED],
            [self.http_address("entry-1"), self.http_address("entry-2")],
            reclaim,
        )
        self.assertTrue(answer.is_correct, answer)
        resumed = [
            entry["offset"]
            for entry in self.engine_journal("begun")
            if entry["offset"]
        ]
        self.assertEqual(1, len(resumed), "it went on from its tokens")


class ReplacedEntryHost(FaultCase):
    engine_count = 1
    service_count = 0
    host_count = 1

    def test_notice_to_the_previous_host_is_ignored(self) -> None:
        """A host that replaces a reclaimed host of the same id stays up."""
        self.cluster.fault(
            "platform", "notice", host_id="entry-1", deadline_s=1
        )
        wait_until(
            lambda: not self.cluster.alive("entry-1"),
            "the first host has stopped",
        )
        expired_at = time.time() + 1
        wait_until(lambda: time.time() > expired_at, "the notice has expired")
        self.dep.start_host("entry-1")
        all_read_at = time.monotonic() + 1
        wait_until(
            lambda: time.monotonic() > all_read_at,
            "the host reads all notices",
        )
        self.assertTrue(self.dep.is_ready("entry-1"))
        [answer] = self.ask_all([NON_STREAMED], [self.http_address("entry-1")])
        self.assertTrue(answer.is_correct, answer)
