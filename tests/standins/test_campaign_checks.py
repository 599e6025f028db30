"""A campaign's checks report each promise that its records break."""

import json
import tempfile
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from testtools import TestCase

from standins.campaign_checks import PromiseChecker
from standins.campaign_load import ONCE_PATH, Call, Change
from standins.campaign_report import Promise, Report
from standins.campaign_watch import Sample
from standins.campaign_world import World
from standins.fault_intervals import FaultInterval


class PromiseCheckerTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        cluster = SimpleNamespace(root=Path(scratch.name))
        dep: Any = SimpleNamespace(
            cluster=cluster, servers={"s": {}}, hosts={"h": {}}
        )
        self.report = Report()
        self.world = World(dep=dep, report=self.report)
        self.load = SimpleNamespace(calls=[], model_calls=[], changes=[])
        self.samples: list[Sample] = []

    def write_run_starts(self, *entries: tuple[float, str, str]) -> None:
        lines = [
            json.dumps(
                {
                    "what": "begun",
                    "at": at,
                    "op": op,
                    "body_digest": digest,
                    "path": ONCE_PATH,
                }
            )
            for at, op, digest in entries
        ]
        text = "\n".join([*lines, "half a li"])
        self.world.journal_path("s").write_text(text)

    def add_sample(
        self, at: float, revision: int, *leaving: tuple[str, int]
    ) -> None:
        self.samples.append(
            Sample(
                host="h",
                at=at,
                started=1.0,
                ready=True,
                revision=revision,
                leaving=frozenset(leaving),
            )
        )

    def broken_promises(self) -> set[Promise]:
        load: Any = self.load
        sampler: Any = SimpleNamespace(samples=self.samples)
        PromiseChecker(self.world, self.report, load, sampler).run()
        return set(self.report.broken)

    def add_call(self, *outcomes: str) -> None:
        call = Call(digest="d", key="k", begin=0.0, path=ONCE_PATH)
        call.outcomes.extend(outcomes)
        self.load.calls.append(call)

    def test_no_promise_broken(self) -> None:
        self.add_call("200")
        self.write_run_starts((1.0, "op", "d"))
        self.add_sample(1.0, 1)
        self.add_sample(2.0, 2)
        self.assertEqual(set(), self.broken_promises())

    def test_runs_twice_under_one_operation(self) -> None:
        self.write_run_starts((1.0, "op", "d"), (2.0, "op", "e"))
        self.assertEqual({Promise.ONCE}, self.broken_promises())

    def test_runs_twice_under_two_operations(self) -> None:
        self.add_call("lost", "200")
        self.write_run_starts((1.0, "op", "d"), (2.0, "other", "d"))
        self.assertEqual({Promise.ONCE}, self.broken_promises())

    def test_runs_after_a_refusal_as_not_run(self) -> None:
        self.add_call("not run")
        self.write_run_starts((1.0, "op", "d"))
        self.assertEqual({Promise.NOT_RUN}, self.broken_promises())

    def test_new_work_on_a_leaving_server(self) -> None:
        interval = FaultInterval(
            name="s", kind="reclaim late", begin=1.0, end=9.0, incarnation=3
        )
        self.world.fault_intervals.append(interval)
        self.add_sample(1.1, 1, ("s", 1))
        self.add_sample(1.5, 1, ("s", 1), ("s", 3))
        self.write_run_starts((4.0, "op", "d"), (9.5, "op-2", "e"))
        self.assertEqual(set(), self.broken_promises())
        self.write_run_starts((4.6, "op", "d"))
        self.assertEqual({Promise.LEAVING}, self.broken_promises())

    def test_change_not_applied_in_time(self) -> None:
        self.load.changes.append(Change(revision=2, at=1.0))
        self.add_sample(7.2, 1)
        self.assertEqual({Promise.IN_FORCE}, self.broken_promises())

    def test_revision_reverts(self) -> None:
        self.add_sample(1.0, 2)
        self.add_sample(2.0, 1)
        self.assertEqual({Promise.NO_REVERT}, self.broken_promises())
