"""What is marked non-idempotent runs at most once."""

import signal
import threading

from standins.deployment import wait_until
from tests.faults.base import FaultCase

PATH = "/ledger/disbursements"
NOT_RUN = "not run"


class AtMostOnce(FaultCase):
    engine_count = 0
    service_count = 2
    host_count = 3
    service_options = ("--work-ms", "150")

    def total_runs(self) -> int:
        return sum(
            len(self.cluster.journal(name, "begun"))
            for name, row in self.dep.servers.items()
            if row["kind"] == "plain"
        )

    def test_retry_through_another_host_gets_the_same_answer(self) -> None:
        first = self.post("entry-1", PATH, {"x": 1}, "k1")
        again = self.post("entry-2", PATH, {"x": 1}, "k1")
        self.assertEqual(200, first.status)
        self.assertEqual(first.body, again.body)
        self.assertEqual("true", again.headers["x-replayed"])
        other = self.post("entry-3", PATH, {"x": 2}, "k1")
        self.assertEqual(422, other.status)
        self.assertEqual(1, self.total_runs())

    def test_two_entries_at_once(self) -> None:
        statuses: list[int] = []

        def send(host: str) -> None:
            statuses.append(self.post(host, PATH, {"x": 1}, "k2").status)

        threads = [
            threading.Thread(target=send, args=(host,))
            for host in self.dep.hosts
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(1, statuses.count(200), statuses)
        self.assertEqual(2, statuses.count(409), statuses)
        self.assertEqual(1, self.total_runs())

    def test_entry_host_killed_after_dispatch(self) -> None:
        def send() -> None:
            try:
                self.post("entry-1", PATH, {"x": 1}, "k3")
            except OSError:
                return

        thread = threading.Thread(target=send)
        thread.start()
        wait_until(lambda: self.total_runs() == 1, "it was dispatched")
        self.cluster.kill("entry-1")
        thread.join()

        def settled() -> bool:
            answer = self.post("entry-2", PATH, {"x": 1}, "k3")
            return answer.status != 409

        wait_until(settled, "the outcome is known", 40)
        answer = self.post("entry-3", PATH, {"x": 1}, "k3")
        self.assertIn(answer.status, (200, 504))
        self.assertEqual(1, self.total_runs())

    def test_entry_host_frozen_before_dispatch(self) -> None:
        """A thawed owner must not run what others have settled."""
        # The claim is written, its reply lost, the read back slow: the
        # owner is frozen between its claim and its dispatch.
        self.cluster.fault("platform", "slow", part="table", delay_ms=1000)
        self.cluster.fault("platform", "lost_reply", table="claims")

        def send() -> None:
            try:
                self.post("entry-1", PATH, {"x": 1}, "k4")
            except OSError:
                return

        thread = threading.Thread(target=send)
        thread.start()
        wait_until(
            lambda: any(
                key.startswith("claims/")
                for entry in self.cluster.journal("platform", "write")
                for key in entry["keys"]
            ),
            "the claim is written",
        )
        self.cluster.signal("entry-1", signal.SIGSTOP)
        self.cluster.clear_faults("platform")

        def settled() -> bool:
            answer = self.post("entry-2", PATH, {"x": 1}, "k4")
            return answer.status == 504

        wait_until(settled, "another host settles it", 45)
        self.cluster.signal("entry-1", signal.SIGCONT)
        thread.join()
        answer = self.post("entry-3", PATH, {"x": 1}, "k4")
        self.assertEqual(504, answer.status)
        self.assertEqual("unknown", answer.body["error"]["ran"])
        self.assertEqual(0, self.total_runs())

    def test_lost_reply_of_the_claim(self) -> None:
        self.cluster.fault("platform", "lost_reply", part="table", count=1)
        answer = self.post("entry-1", PATH, {"x": 1}, "k5")
        self.assertEqual(200, answer.status, answer.body)
        self.assertEqual(1, self.total_runs())

    def test_table_down_refuses_at_once(self) -> None:
        self.cluster.fault("platform", "down", part="table")
        answer = self.post("entry-1", PATH, {"x": 1}, "k6")
        self.assertEqual(503, answer.status)
        self.assertEqual(NOT_RUN, answer.body["error"]["ran"])
        self.assertIn("retry-after", answer.headers)
        self.assertEqual(0, self.total_runs())
        self.cluster.clear_faults("platform")
        answer = self.post("entry-2", PATH, {"x": 1}, "k6")
        self.assertEqual(200, answer.status, answer.body)
        self.assertEqual(1, self.total_runs())

    def test_reply_of_the_service_is_lost(self) -> None:
        for name in ("ledger-1", "ledger-2"):
            self.cluster.fault(name, "lost_reply", count=1)
        keyed = self.post("entry-1", PATH, {"x": 1}, "k7")
        self.assertEqual(200, keyed.status, keyed.body)
        unkeyed = self.post("entry-1", PATH, {"x": 2})
        self.assertIn(unkeyed.status, (200, 504))
        self.assertEqual(2, self.total_runs())

    def test_server_down_is_not_run(self) -> None:
        for name in ("ledger-1", "ledger-2"):
            self.cluster.kill(name)
        answer = self.post("entry-1", PATH, {"x": 1}, "k8")
        self.assertEqual(503, answer.status, answer.body)
        self.assertEqual(NOT_RUN, answer.body["error"]["ran"])
