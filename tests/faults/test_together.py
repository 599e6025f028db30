"""Two faults at once, silent callers and an unreachable platform."""

import signal
import socket
import threading
import time

from standins.client import CompletionRequest
from standins.cluster import JsonAnswer
from standins.deployment import ACCOUNT_KEY, contract_text, wait_until
from tests.faults.base import FaultCase

STREAMED = CompletionRequest(
    prompt="draft a long appeal to our donors", max_tokens=80
)
NON_STREAMED = CompletionRequest(
    prompt="one stage summary", max_tokens=60, stream=False
)
ONCE_PATH = "/ledger/disbursements"
SILENT_CONNECTIONS = 16
DRAIN_LIMIT_S = 15.0


class TwoFaults(FaultCase):
    engine_count = 3
    service_count = 2
    host_count = 3
    service_options = ("--work-ms", "150")

    def started_ops(self) -> list[str]:
        return [
            entry["op"]
            for name, row in self.dep.servers.items()
            if row["kind"] == "plain"
            for entry in self.cluster.journal(name, "begun")
        ]

    def post_until_settled(
        self, host: str, body: object, key: str
    ) -> JsonAnswer:
        """Repeat a request until its outcome is recorded.

        A host answers before it records the outcome. Until then a retry
        gets 409, which may only say that the request may have run.
        """
        answers: list[JsonAnswer] = []

        def is_settled() -> bool:
            answers.append(self.post(host, ONCE_PATH, body, key))
            if answers[-1].status != 409:
                return True
            self.assertEqual("unknown", answers[-1].body["error"]["ran"])
            return False

        wait_until(is_settled, "the outcome is recorded")
        return answers[-1]

    def test_engine_killed_and_platform_black_hole(self) -> None:
        def inject_faults() -> None:
            engine = self.wait_for_stream("entry-1")
            self.cluster.fault("platform", "black_hole")
            self.cluster.signal(engine, signal.SIGKILL)

        answers = self.ask_all(
            [STREAMED, NON_STREAMED],
            [self.http_address("entry-1")],
            inject_faults,
        )
        for answer in answers:
            self.assertTrue(answer.is_correct, answer)
            self.assertEqual(1, answer.connections, answer)
        refused = self.post("entry-1", ONCE_PATH, {"x": 1}, "k1")
        self.assertEqual(503, refused.status, refused.body)
        self.assertEqual("not run", refused.body["error"]["ran"])
        self.assertEqual([], self.started_ops())
        self.cluster.clear_faults("platform")
        wait_until(
            lambda: (
                self.post("entry-2", ONCE_PATH, {"x": 1}, "k1").status == 200
            ),
            "it runs once the platform is back",
        )
        self.assertEqual(1, len(self.started_ops()))

    def test_engine_frozen_and_entry_host_killed(self) -> None:
        def inject_faults() -> None:
            engine = self.wait_for_stream("entry-1")
            self.cluster.signal(engine, signal.SIGSTOP)
            self.cluster.kill("entry-1")

        entries = [self.http_address("entry-1"), self.http_address("entry-2")]
        [answer] = self.ask_all([STREAMED], entries, inject_faults)
        self.assertTrue(answer.is_correct, answer)

    def test_lost_reply_of_claim_and_service_killed(self) -> None:
        """A retry through another host does not run the request again."""
        self.cluster.fault("platform", "lost_reply", part="table", count=1)
        first_statuses: list[int] = []

        def send() -> None:
            first_statuses.append(
                self.post("entry-1", ONCE_PATH, {"x": 2}, "k").status
            )

        thread = threading.Thread(target=send)
        thread.start()
        wait_until(self.started_ops, "it was dispatched")
        [op] = self.started_ops()
        [server] = [
            name
            for name in ("ledger-1", "ledger-2")
            if self.cluster.journal(name, "begun")
        ]
        self.cluster.kill(server)
        thread.join()
        other = next(n for n in ("ledger-1", "ledger-2") if n != server)
        answer = self.post_until_settled("entry-2", {"x": 2}, "k")
        self.assertIn(answer.status, (200, 504), answer.body)
        self.assertEqual([], self.cluster.journal(other, "begun"), op)
        self.assertEqual([answer.status], first_statuses)


class SilentCallers(FaultCase):
    host_count = 2

    def open_silent_connection(self) -> socket.socket:
        """Send a request whose body is incomplete and keep it open."""
        host, _, port = self.http_address("entry-1").rpartition(":")
        connection = socket.create_connection((host, int(port)))
        self.addCleanup(connection.close)
        connection.sendall(
            b"POST /v1/completions HTTP/1.1\r\nhost: x\r\n"
            b"authorization: Bearer " + ACCOUNT_KEY.encode() + b"\r\n"
            b"content-length: 100\r\n\r\n{"
        )
        return connection

    def test_others_are_served_and_a_planned_stop_ends(self) -> None:
        for _ in range(SILENT_CONNECTIONS):
            self.open_silent_connection()
        answers = self.ask_all(
            [STREAMED, NON_STREAMED], [self.http_address("entry-1")]
        )
        for answer in answers:
            self.assertTrue(answer.is_correct, answer)
        self.cluster.signal("entry-1", signal.SIGTERM)
        self.assertEqual(0, self.cluster.wait("entry-1", DRAIN_LIMIT_S))

    def test_caller_leaves_a_frozen_entry_host(self) -> None:
        def freeze_host() -> None:
            self.wait_for_stream("entry-1")
            self.cluster.signal("entry-1", signal.SIGSTOP)

        entries = [self.http_address("entry-1"), self.http_address("entry-2")]
        [answer] = self.ask_all([STREAMED], entries, freeze_host)
        self.assertTrue(answer.is_correct, answer)
        self.assertEqual(2, answer.connections, answer)


class SettingsAndTwoFaults(FaultCase):
    engine_count = 0
    service_count = 0
    host_count = 3

    def revision(self, name: str) -> int:
        dump = self.dep.admin(name, "GET", "/admin/dump").body
        return int(dump["revision"])

    def test_host_frozen_and_platform_gone_after_the_write(self) -> None:
        self.cluster.signal("entry-3", signal.SIGSTOP)
        text = contract_text("charity-2", "account-key-2", share=0.1)
        body = {"contracts": [{"text": text, "expected": ""}]}
        answer = self.dep.admin("entry-1", "POST", "/admin/contracts", body)
        self.assertEqual(200, answer.status, answer.body)
        revision = answer.body["revision"]
        wait_until(
            lambda: self.revision("entry-1") == revision, "in force", 6.0
        )
        self.cluster.fault("platform", "black_hole")
        self.cluster.signal("entry-3", signal.SIGCONT)
        started_at = time.monotonic()
        for name in self.dep.hosts:
            remaining_s = 6.0 - (time.monotonic() - started_at)
            wait_until(
                lambda name=name: self.revision(name) == revision,
                f"in force at {name}",
                remaining_s,
            )

    def test_platform_unreachable_right_after_acceptance(self) -> None:
        """Accepted settings are in force without another platform read."""
        text = contract_text("charity-2", "account-key-2", share=0.1)
        body = {"contracts": [{"text": text, "expected": ""}]}
        answer = self.dep.admin("entry-1", "POST", "/admin/contracts", body)
        self.cluster.fault("platform", "black_hole")
        self.assertEqual(200, answer.status, answer.body)
        revision = answer.body["revision"]
        wait_until(
            lambda: {self.revision(n) for n in self.dep.hosts} == {revision},
            "in force everywhere",
            6.0,
        )

    def test_late_and_stale_read_does_not_revert(self) -> None:
        """Neither running hosts nor one that starts meanwhile revert."""
        self.dep.put_contracts(contract_text(), contract_text("more", "k" * 9))
        names = list(self.dep.hosts)
        wait_until(
            lambda: {self.revision(name) for name in names} == {2},
            "in force",
        )
        self.cluster.fault("platform", "stale_read")
        self.cluster.fault("platform", "slow", part="table", delay_ms=400)
        self.cluster.kill("entry-3")
        self.dep.start_host("entry-3", wait=False)
        seen_revisions: list[int] = []
        watched_until = time.monotonic() + 8.0

        def is_watch_over() -> bool:
            ready = [n for n in names if self.dep.is_ready(n)]
            seen_revisions.extend(self.revision(name) for name in ready)
            return time.monotonic() > watched_until

        wait_until(is_watch_over, "the hosts were watched for 8 s")
        self.assertTrue(self.dep.is_ready("entry-3"))
        self.assertEqual({2}, set(seen_revisions))
