"""Operators' changes under failures, by waxwingctl on real daemons."""

import json
import threading
import time
from typing import Any
from unittest import mock

from standins.client import CompletionRequest
from standins.cluster import JsonAnswer
from standins.deployment import (
    OPERATOR_KEY,
    contract_text,
    wait_until,
)
from tests.faults.base import FaultCase
from tests.waxwingctl.helpers import CtlResult, run_ctl
from waxwingarch.const import EXIT_OK, EXIT_UNAVAILABLE

IN_FORCE_LIMIT_S = 6.0


class OperatorCase(FaultCase):
    """Three entry hosts, changed by an operator with waxwingctl."""

    engine_count = 0
    service_count = 0
    host_count = 3

    def setUp(self) -> None:
        super().setUp()
        env = mock.patch.dict("os.environ", {"WAXWINGCTL_KEY": OPERATOR_KEY})
        env.start()
        self.addCleanup(env.stop)
        self.contract_path = self.cluster.root / "contract.ini"

    def ctl(self, *argv: str) -> CtlResult:
        addresses = [
            part
            for host in self.dep.hosts.values()
            for part in ("--address", host.admin)
        ]
        return run_ctl(*argv, *addresses)

    def apply(self, text: str, *options: str) -> CtlResult:
        self.contract_path.write_text(text)
        return self.ctl("contract", "apply", str(self.contract_path), *options)

    def revision_writes(self) -> list[int]:
        """Return the writes of the settings revision, oldest first."""
        return [
            entry
            for entry in self.cluster.journal("platform", "write")
            if "settings/revision" in entry["keys"]
        ]


class ContractChanges(OperatorCase):
    def test_in_force_everywhere_in_time(self) -> None:
        for n in range(3):
            started_at = time.monotonic()
            text = contract_text("charity-2", "account-key-2", rate=n + 1)
            result = self.apply(text, "--wait")
            self.assertEqual(EXIT_OK, result.code, result.err)
            self.assertLess(time.monotonic() - started_at, IN_FORCE_LIMIT_S)
            for name in list(self.dep.hosts):
                state = self.dep.admin(name, "GET", "/admin/contracts").body
                rates = {c["account"]: c["rate"] for c in state["contracts"]}
                self.assertEqual(n + 1, rates["charity-2"], name)

    def test_operators_race(self) -> None:
        """Of eight concurrent changes on three hosts, one is accepted."""
        barrier = threading.Barrier(8)
        answers: list[JsonAnswer] = []

        def apply_change(n: int) -> None:
            text = contract_text("charity-2", "account-key-2", rate=n + 1)
            body = {"contracts": [{"text": text, "expected": ""}]}
            name = list(self.dep.hosts)[n % 3]
            barrier.wait()
            answers.append(
                self.dep.admin(name, "POST", "/admin/contracts", body)
            )

        threads = [
            threading.Thread(target=apply_change, args=(n,)) for n in range(8)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        statuses = sorted(answer.status for answer in answers)
        self.assertEqual([200] + [409] * 7, statuses)
        for answer in answers:
            if answer.status == 409:
                self.assertIn("changed by", answer.body["error"]["message"])
        self.assertEqual(2, len(self.revision_writes()))

    def test_reply_lost_after_the_write(self) -> None:
        self.cluster.fault(
            "platform", "lost_reply", part="table", table="settings", count=1
        )
        text = contract_text("charity-2", "account-key-2")
        result = self.apply(text, "--wait")
        self.assertEqual(EXIT_OK, result.code, result.err)
        lost_replies = self.cluster.journal("platform", "reply_lost")
        self.assertEqual(
            (1, 2), (len(lost_replies), len(self.revision_writes()))
        )

    def test_platform_down_and_back(self) -> None:
        self.cluster.fault("platform", "down")
        text = contract_text("charity-2", "account-key-2")
        result = self.apply(text)
        self.assertEqual(EXIT_UNAVAILABLE, result.code, result.err)
        self.assertNotIn("Traceback", result.err)
        listed = self.ctl("contract", "list")
        self.assertIn("charity-1", listed.out)
        self.cluster.clear_faults("platform")
        wait_until(
            lambda: self.apply(text).code == EXIT_OK, "it is written again"
        )

    def host_states(self) -> list[str]:
        """Return the states of the hosts as `waxwingctl hosts` lists them."""
        hosts = json.loads(self.ctl("hosts", "--output", "json").out)
        return [host["state"] for host in hosts["hosts"]]

    def test_daemon_killed(self) -> None:
        wait_until(
            lambda: self.host_states() == ["alive"] * 3,
            "the hosts know each other",
        )
        self.cluster.kill("entry-1")
        text = contract_text("charity-2", "account-key-2")
        result = self.apply(text)
        self.assertEqual(EXIT_OK, result.code, result.err)
        expected = ["dead", "alive", "alive"]
        wait_until(
            lambda: self.host_states() == expected, "entry-1 is known dead"
        )
        result = self.apply(text, "--wait")
        self.assertIn("of 2 live hosts", result.err)


class ExplainAndReplay(OperatorCase):
    engine_count = 2
    host_count = 1

    def test_lost_attempt_and_replayed_trace(self) -> None:
        for name in ("engine-1", "engine-2"):
            self.cluster.fault(name, "cut", after_tokens=10, count=1)
        ask = CompletionRequest(prompt="a stream to be cut", max_tokens=30)
        [answer] = self.ask_all([ask], [self.http_address("entry-1")])
        self.assertTrue(answer.is_correct, answer)
        state: Any = json.loads(self.ctl("dump", "--host", "entry-1").out)
        [request] = state["last_requests"]
        explained = self.ctl("explain", request["request_id"])
        self.assertIn("attempt lost: cut", explained.out)
        self.assertIn("whole answer", explained.out)
        by_account = state["latencies"]["by_account"]["charity-1"]
        self.assertEqual(1, by_account["whole_answer_ms"]["count"])
        self.assertEqual(0, self.cluster.stop("entry-1"))
        trace = self.cluster.root / "entry-1.trace"
        replayed = run_ctl("replay", str(trace))
        self.assertEqual(EXIT_OK, replayed.code, replayed)
        self.assertIn("the same decisions", replayed.out)
