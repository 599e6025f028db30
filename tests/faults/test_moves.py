"""Version moves under failure, on real engines and entry hosts."""

import json
import signal
import time
from typing import Any

from standins.client import Answer, Ask
from standins.cluster import http_json
from standins.deployment import wait_until
from tests.faults.base import FaultCase
from waxwingarch.core.base import ServiceId, VersionId
from waxwingarch.core.moves.move import plan_move
from waxwingarch.core.moves.move_policy import PacedPolicy
from waxwingarch.core.moves.move_record import to_json

QUIET_AFTER_S = 3.0
SMALL_SHARE = 0.1
MOVE_LIMIT_S = 40.0
TAKEOVER_LIMIT_S = 45.0
LEASES = "/v1/table/leases/moves"


class MoveCase(FaultCase):
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

    def in_state(self, state: str, names: list[str]) -> bool:
        dumps = [self.dump(name) for name in names]
        return all(
            [move["state"] for move in dump["moves"]] == [state]
            for dump in dumps
        )

    def entries_of(self, what: str) -> list[Any]:
        return [
            entry
            for name in self.spare_names
            for entry in self.cluster.journal(name, what)
        ]


class BadVersion(MoveCase):
    def ask_round(self) -> list[Answer]:
        entries = [self.http_address(name) for name in self.dep.hosts]
        asks = [
            Ask(prompt=f"{time.time()} {n}", max_tokens=4) for n in range(12)
        ]
        return [
            answer
            for n in range(3)
            for answer in self.ask_all(
                asks[4 * n : 4 * n + 4], entries[n:] + entries[:n]
            )
        ]

    def test_small_share_and_none_after_its_stop_mark(self) -> None:
        """With the platform down from before the fault shows."""
        names = list(self.dep.hosts)
        for name in self.spare_names:
            self.cluster.fault(name, "bad_version", version="v2")
        self.start_move()
        answers: list[Answer] = []
        limit = time.time() + MOVE_LIMIT_S
        while not self.in_state("canary", names) and time.time() < limit:
            answers += self.ask_round()
        self.assertTrue(self.in_state("canary", names))
        self.cluster.fault("platform", "down")
        limit = time.time() + MOVE_LIMIT_S
        marked_at = 0.0
        while not marked_at and time.time() < limit:
            answers += self.ask_round()
            if any(self.dump(name)["stop_marks"] for name in names):
                marked_at = time.time()
        self.assertGreater(marked_at, 0, "no stop mark")
        while time.time() < marked_at + 2 * QUIET_AFTER_S:
            answers += self.ask_round()
        for answer in answers:
            self.assertTrue(answer.right, answer)
        failed = self.entries_of("failed")
        self.assertLess(len(failed), SMALL_SHARE * len(answers))
        late = [e for e in failed if e["at"] > marked_at + QUIET_AFTER_S]
        self.assertEqual([], late)
        self.cluster.clear_faults("platform")
        wait_until(
            lambda: self.in_state("taken back", names),
            "taken back",
            TAKEOVER_LIMIT_S,
        )


class FrozenHolder(MoveCase):
    """The holder of the lease is frozen past it; another takes over."""

    def holder(self) -> str:
        row = http_json("GET", self.dep.platform, LEASES).body["value"]
        return str(row["holder"]) if row else ""

    def take_over(self) -> None:
        names = list(self.dep.hosts)
        wait_until(self.holder, "the lease is held", MOVE_LIMIT_S)
        first = self.holder()
        others = [name for name in names if name != first]
        self.cluster.signal(first, signal.SIGSTOP)
        self.start_move()
        wait_until(
            lambda: self.holder() != first,
            "another holds the lease",
            TAKEOVER_LIMIT_S,
        )
        wait_until(
            lambda: self.in_state("starting", others) and self.canaries(),
            "the canary is started",
            MOVE_LIMIT_S,
        )
        self.cluster.signal(first, signal.SIGCONT)
        wait_until(
            lambda: self.in_state("starting", names),
            "the thawed host follows",
            MOVE_LIMIT_S,
        )
        starts = self.cluster.journal("platform", "start")
        fencing = [entry["fencing"] for entry in starts]
        self.assertEqual(sorted(fencing), fencing)
        started = [entry["server_id"] for entry in starts]
        self.assertEqual(self.canaries(), started)
        self.assertEqual(1, len(started))
        orders = [e["fencing"] for e in self.entries_of("order")]
        self.assertEqual(sorted(orders), orders)
        self.assertNotEqual(first, self.holder())

    def canaries(self) -> list[str]:
        """Return the servers that the platform started for the move."""
        hosts = self.cluster.request("GET", "platform", "/admin/hosts").body
        return [
            row["server_id"]
            for row in hosts["hosts"]
            if row["version"] == "v2" and row["state"] == "live"
        ]


class OnEnginesThatCheck(FrozenHolder):
    def test_one_canary_and_no_old_fencing(self) -> None:
        self.take_over()


class OnEnginesThatIgnoreFencing(FrozenHolder):
    engine_options = (*MoveCase.engine_options, "--ignore-fencing")

    def test_one_canary_and_no_old_fencing(self) -> None:
        self.take_over()
