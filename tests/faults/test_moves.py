"""Version moves under failures, with processes of engines and hosts."""

import json
import signal
import time
from typing import Any

from standins.client import CallResult, CompletionRequest
from standins.cluster import http_json
from standins.deployment import wait_until
from tests.faults.base import FaultCase
from waxwingarch.core.base import ServiceId, VersionId
from waxwingarch.core.moves.move import plan_move
from waxwingarch.core.moves.move_policy import PacedPolicy
from waxwingarch.core.moves.move_record import to_json

# All hosts stop sending to the new version within this time of a stop mark.
STOP_SENDING_LIMIT_S = 3.0
MAX_FAILED_RATIO = 0.1
MOVE_LIMIT_S = 40.0
TAKEOVER_LIMIT_S = 45.0
LEASE_PATH = "/v1/table/leases/moves"


class MoveCase(FaultCase):
    """A deployment with spare engines, on which a move can start."""

    engine_count = 3
    engine_options = ("--tokens-per-second", "400")
    spare_count = 2
    service_count = 0
    host_count = 3

    def setUp(self) -> None:
        super().setUp()
        self.spare_names = self.dep.start_engines(
            self.spare_count,
            *self.engine_options,
            version="none",
            prefix="spare",
            state="spare",
        )
        self.dep.publish()

    def start_move(self) -> None:
        now = time.time()
        record = plan_move(
            PacedPolicy(),
            move_id="move-1",
            service=ServiceId("waxwing-pool"),
            old_version=VersionId("v1"),
            new_version=VersionId("v2"),
            created_unix=now,
            deadline_unix=now + 3600,
        )
        text = json.dumps(to_json(record))
        self.dep.put_documents({"move/waxwing-pool": text})

    def dump(self, name: str) -> Any:
        return self.dep.admin(name, "GET", "/admin/dump").body

    def all_in_state(self, state: str, names: list[str]) -> bool:
        dumps = [self.dump(name) for name in names]
        return all(
            [move["state"] for move in dump["moves"]] == [state]
            for dump in dumps
        )

    def spare_journal(self, kind: str) -> list[Any]:
        return [
            entry
            for name in self.spare_names
            for entry in self.cluster.journal(name, kind)
        ]


class BadVersion(MoveCase):
    def ask_on_all_hosts(self) -> list[CallResult]:
        entries = [self.http_address(name) for name in self.dep.hosts]
        asks = [
            CompletionRequest(prompt=f"{time.time()} {n}", max_tokens=4)
            for n in range(12)
        ]
        return [
            answer
            for n in range(3)
            for answer in self.ask_all(
                asks[4 * n : 4 * n + 4], entries[n:] + entries[:n]
            )
        ]

    def test_few_failures_and_none_after_the_stop_mark(self) -> None:
        """The platform goes down at the canary, before its failures show.

        The stop mark thus reaches the other hosts by gossip alone.
        """
        names = list(self.dep.hosts)
        for name in self.spare_names:
            self.cluster.fault(name, "bad_version", version="v2")
        self.start_move()
        answers: list[CallResult] = []
        deadline = time.time() + MOVE_LIMIT_S
        while (
            not self.all_in_state("canary", names) and time.time() < deadline
        ):
            answers += self.ask_on_all_hosts()
        self.assertTrue(self.all_in_state("canary", names))
        self.cluster.fault("platform", "down")
        deadline = time.time() + MOVE_LIMIT_S
        marked_at = 0.0
        while not marked_at and time.time() < deadline:
            answers += self.ask_on_all_hosts()
            if any(self.dump(name)["stop_marks"] for name in names):
                marked_at = time.time()
        self.assertGreater(marked_at, 0, "no stop mark")
        while time.time() < marked_at + 2 * STOP_SENDING_LIMIT_S:
            answers += self.ask_on_all_hosts()
        for answer in answers:
            self.assertTrue(answer.is_correct, answer)
        failed = self.spare_journal("failed")
        self.assertLess(len(failed), MAX_FAILED_RATIO * len(answers))
        late = [
            e for e in failed if e["at"] > marked_at + STOP_SENDING_LIMIT_S
        ]
        self.assertEqual([], late)
        self.cluster.clear_faults("platform")
        wait_until(
            lambda: self.all_in_state("taken back", names),
            "taken back",
            TAKEOVER_LIMIT_S,
        )


class FrozenHolder(MoveCase):
    """The lease holder is frozen past the end of its lease.

    Another host takes over, and the first holder must not act on its
    expired lease when it continues.
    """

    def lease_holder(self) -> str:
        row = http_json("GET", self.dep.platform, LEASE_PATH).body["value"]
        return str(row["holder"]) if row else ""

    def assert_fenced_takeover(self) -> None:
        names = list(self.dep.hosts)
        wait_until(self.lease_holder, "the lease is held", MOVE_LIMIT_S)
        first_holder = self.lease_holder()
        other_names = [name for name in names if name != first_holder]
        self.cluster.signal(first_holder, signal.SIGSTOP)
        self.start_move()
        wait_until(
            lambda: self.lease_holder() != first_holder,
            "another holds the lease",
            TAKEOVER_LIMIT_S,
        )
        wait_until(
            lambda: (
                self.all_in_state("starting", other_names)
                and self.started_canaries()
            ),
            "the canary is started",
            MOVE_LIMIT_S,
        )
        self.cluster.signal(first_holder, signal.SIGCONT)
        wait_until(
            lambda: self.all_in_state("starting", names),
            "the first holder has the new state",
            MOVE_LIMIT_S,
        )
        starts = self.cluster.journal("platform", "start")
        fencing = [entry["fencing"] for entry in starts]
        self.assertEqual(sorted(fencing), fencing)
        started_ids = [entry["server_id"] for entry in starts]
        self.assertEqual(self.started_canaries(), started_ids)
        self.assertEqual(1, len(started_ids))
        order_fencing = [e["fencing"] for e in self.spare_journal("order")]
        self.assertEqual(sorted(order_fencing), order_fencing)
        self.assertNotEqual(first_holder, self.lease_holder())

    def started_canaries(self) -> list[str]:
        """Return the servers that the platform started for the move."""
        hosts = self.cluster.request("GET", "platform", "/admin/hosts").body
        return [
            row["server_id"]
            for row in hosts["hosts"]
            if row["version"] == "v2" and row["state"] == "live"
        ]


class EnginesThatCheckFencing(FrozenHolder):
    def test_one_canary_and_no_stale_fencing_number(self) -> None:
        self.assert_fenced_takeover()


class EnginesThatIgnoreFencing(FrozenHolder):
    engine_options = (*MoveCase.engine_options, "--ignore-fencing")

    def test_one_canary_and_no_stale_fencing_number(self) -> None:
        self.assert_fenced_takeover()
