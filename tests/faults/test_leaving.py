"""A server with a reclaim notice gets no new requests."""

import time

from standins.client import CompletionRequest
from standins.deployment import wait_until
from tests.faults.base import FaultCase

# All hosts stop sending to a leaving server within this time.
STOP_SENDING_LIMIT_S = 3.0


class LeavingServer(FaultCase):
    host_count = 3

    def request_start_times(self, name: str) -> list[float]:
        return [entry["at"] for entry in self.cluster.journal(name, "begun")]

    def test_nothing_after_the_limit_with_a_stale_list(self) -> None:
        self.cluster.fault("platform", "stale_list")
        noticed_at = time.time()
        self.cluster.fault(
            "platform",
            "notice",
            server_id="engine-1",
            deadline_s=20,
            stop=False,
        )
        entries = [self.http_address(name) for name in self.dep.hosts]
        while time.time() < noticed_at + 2 * STOP_SENDING_LIMIT_S:
            asks = [
                CompletionRequest(prompt=f"{time.time()} {n}", max_tokens=4)
                for n in range(6)
            ]
            for answer in self.ask_all(asks, entries):
                self.assertTrue(answer.is_correct, answer)
        late = [
            at
            for at in self.request_start_times("engine-1")
            if at > noticed_at + STOP_SENDING_LIMIT_S
        ]
        self.assertEqual([], late)
        self.assertGreater(len(self.request_start_times("engine-2")), 6)

    def test_notice_received_only_by_a_host_that_is_killed(self) -> None:
        """The notice spreads by gossip before its only receiver is killed."""
        for name in ("entry-2", "entry-3"):
            self.cluster.kill(name)
        self.cluster.fault("platform", "drop_notices")
        self.cluster.clear_faults("platform")
        self.cluster.fault(
            "platform",
            "notice",
            server_id="engine-1",
            deadline_s=60,
            stop=False,
        )
        wait_until(lambda: self.knows_notice("entry-1"), "entry-1 knows")
        self.cluster.fault("platform", "down")
        for name in ("entry-2", "entry-3"):
            self.dep.start_host(name)
        wait_until(
            lambda: (
                self.knows_notice("entry-2") and self.knows_notice("entry-3")
            ),
            "the others know",
            STOP_SENDING_LIMIT_S,
        )
        self.cluster.kill("entry-1")
        self.assertTrue(self.knows_notice("entry-2"))

    def knows_notice(self, name: str) -> bool:
        leaving = self.dep.admin(name, "GET", "/admin/dump").body["leaving"]
        return "engine-1" in leaving
