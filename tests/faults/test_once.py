"""Non-idempotent requests run at most once, whatever fails."""

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

    def count_runs(self) -> int:
        return sum(
            len(self.cluster.journal(name, "begun"))
            for name, row in self.dep.servers.items()
            if row["kind"] == "plain"
        )

    def test_retry_through_another_host_gets_the_same_answer(self) -> None:
        first = self.post("entry-1", PATH, {"x": 1}, "k1")
        retried = self.post("entry-2", PATH, {"x": 1}, "k1")
        self.assertEqual(200, first.status)
        self.assertEqual(first.body, retried.body)
        self.assertEqual("true", retried.headers["x-replayed"])
        conflicting = self.post("entry-3", PATH, {"x": 2}, "k1")
        self.assertEqual(422, conflicting.status)
        self.assertEqual(1, self.count_runs())

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
        self.assertEqual(1, self.count_runs())

    def test_entry_host_killed_after_dispatch(self) -> None:
        def send() -> None:
            try:
                self.post("entry-1", PATH, {"x": 1}, "k3")
            except OSError:
                return

        thread = threading.Thread(target=send)
        thread.start()
        wait_until(lambda: self.count_runs() == 1, "it was dispatched")
        self.cluster.kill("entry-1")
        thread.join()

        def is_outcome_known() -> bool:
            answer = self.post("entry-2", PATH, {"x": 1}, "k3")
            return answer.status != 409

        wait_until(is_outcome_known, "the outcome is known", 40)
        answer = self.post("entry-3", PATH, {"x": 1}, "k3")
        self.assertIn(answer.status, (200, 504))
        self.assertEqual(1, self.count_runs())

    def test_entry_host_frozen_before_dispatch(self) -> None:
        """The owner of a claim continues after others have settled it.

        It must not dispatch the request then.
        """
        # The claim is written, but the reply is lost and the owner's
        # read of the row is slow, so that the owner is frozen between
        # its claim and its dispatch.
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

        def is_settled_as_unknown() -> bool:
            answer = self.post("entry-2", PATH, {"x": 1}, "k4")
            return answer.status == 504

        wait_until(is_settled_as_unknown, "another host settles it", 45)
        self.cluster.signal("entry-1", signal.SIGCONT)
        thread.join()
        answer = self.post("entry-3", PATH, {"x": 1}, "k4")
        self.assertEqual(504, answer.status)
        self.assertEqual("unknown", answer.body["error"]["ran"])
        self.assertEqual(0, self.count_runs())

    def test_lost_reply_of_the_claim(self) -> None:
        self.cluster.fault("platform", "lost_reply", part="table", count=1)
        answer = self.post("entry-1", PATH, {"x": 1}, "k5")
        self.assertEqual(200, answer.status, answer.body)
        self.assertEqual(1, self.count_runs())

    def test_table_down_refuses_at_once(self) -> None:
        self.cluster.fault("platform", "down", part="table")
        answer = self.post("entry-1", PATH, {"x": 1}, "k6")
        self.assertEqual(503, answer.status)
        self.assertEqual(NOT_RUN, answer.body["error"]["ran"])
        self.assertIn("retry-after", answer.headers)
        self.assertEqual(0, self.count_runs())
        self.cluster.clear_faults("platform")
        answer = self.post("entry-2", PATH, {"x": 1}, "k6")
        self.assertEqual(200, answer.status, answer.body)
        self.assertEqual(1, self.count_runs())

    def test_reply_of_the_service_is_lost(self) -> None:
        for name in ("ledger-1", "ledger-2"):
            self.cluster.fault(name, "lost_reply", count=1)
        keyed = self.post("entry-1", PATH, {"x": 1}, "k7")
        self.assertEqual(200, keyed.status, keyed.body)
        unkeyed = self.post("entry-1", PATH, {"x": 2})
        self.assertIn(unkeyed.status, (200, 504))
        self.assertEqual(2, self.count_runs())

    def test_response_says_not_run_with_all_servers_down(self) -> None:
        for name in ("ledger-1", "ledger-2"):
            self.cluster.kill(name)
        answer = self.post("entry-1", PATH, {"x": 1}, "k8")
        self.assertEqual(503, answer.status, answer.body)
        self.assertEqual(NOT_RUN, answer.body["error"]["ran"])
