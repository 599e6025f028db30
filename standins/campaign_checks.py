"""Checks a campaign's promises by journals and samples of the hosts."""

import json
from collections import defaultdict
from pathlib import Path
from typing import Any, Final

from standins.campaign_load import ONCE_PATH, Call, LoadGenerator
from standins.campaign_report import Promise, Report
from standins.campaign_watch import Sample, StateSampler
from standins.campaign_world import World
from standins.fault_intervals import FaultInterval

DRAIN_APPLY_LIMIT_S: Final = 3.0
APPLY_LIMIT_S: Final = 6.0


def read_journal(path: Path) -> list[Any]:
    """Return the entries of a journal file without an incomplete last one."""
    if not path.exists():
        return []
    lines = path.read_text().split("\n")[:-1]
    return [json.loads(line) for line in lines]


class PromiseChecker:
    """Checks the promises that need journals and samples.

    `LoadGenerator` and the fault injector check the others while they run.
    """

    def __init__(
        self,
        world: World,
        report: Report,
        load: LoadGenerator,
        sampler: StateSampler,
    ) -> None:
        self._world = world
        self._report = report
        self._load = load
        self._samples = sorted(sampler.samples, key=lambda s: s.at)
        self._run_starts: dict[str, list[Any]] = {
            name: [
                entry
                for entry in read_journal(world.journal_path(name))
                if entry["what"] == "begun"
            ]
            for name in world.dep.servers
        }

    def run(self) -> None:
        """Check all calls, changes, samples and journals."""
        self._check_executions()
        self._check_leaving_servers()
        self._check_changes_applied()
        self._check_no_revert()

    def _check_executions(self) -> None:
        runs: dict[str, list[Any]] = defaultdict(list)
        ops: dict[str, int] = defaultdict(int)
        for name, entries in self._run_starts.items():
            for entry in entries:
                runs[entry["body_digest"]].append((name, entry))
                if entry["path"] == ONCE_PATH:
                    ops[entry["op"]] += 1
        for op, count in ops.items():
            self._report.record_check(
                Promise.ONCE, count == 1, f"op {op}: {count}"
            )
        for call in self._load.calls:
            if call.path == ONCE_PATH:
                found = runs[call.digest]
                kept = len(found) <= 1
                self._report.record_check(
                    Promise.ONCE, kept, self._describe(call, found)
                )
        for call in [*self._load.calls, *self._load.model_calls]:
            if call.never_ran:
                found = runs[call.digest]
                self._report.record_check(
                    Promise.NOT_RUN, not found, self._describe(call, found)
                )

    def _describe(self, call: Call, found: list[Any]) -> str:
        events_between = self._report.events_between(
            call.begin - 3, call.begin + 10
        )
        return f"{call} ran {found} after {events_between}"

    def _check_leaving_servers(self) -> None:
        for interval in self._world.fault_intervals:
            if not interval.kind.startswith("reclaim"):
                continue
            if interval.name not in self._run_starts:
                continue
            first_known_at = self._first_known_at(interval)
            if first_known_at is None:
                continue
            end = interval.end
            late = [
                entry
                for entry in self._run_starts[interval.name]
                if first_known_at + DRAIN_APPLY_LIMIT_S < entry["at"] < end
            ]
            self._report.record_check(
                Promise.LEAVING,
                not late,
                f"{interval} heard at {first_known_at}: {late[:2]} "
                + self._report.events_between(
                    interval.begin - 12, interval.begin + 10
                ),
            )

    def _first_known_at(self, interval: FaultInterval) -> float | None:
        """Return when a sample first listed the server as leaving."""
        end = interval.end
        for sample in self._samples:
            during_fault = interval.begin <= sample.at < end
            known = (interval.name, interval.incarnation) in sample.leaving
            if during_fault and known:
                return sample.at
        return None

    def _check_changes_applied(self) -> None:
        for change in self._load.changes:
            due = change.at + APPLY_LIMIT_S
            for name in self._world.dep.hosts:
                if self._world.faults_between(name, change.at, due + 1):
                    continue
                first = self._first_sample_after(name, due)
                if first is None:
                    continue
                self._report.record_check(
                    Promise.IN_FORCE,
                    first.revision >= change.revision,
                    f"{name} has {first.revision}, not {change.revision}: "
                    + self._report.events_between(change.at - 10, due),
                )

    def _first_sample_after(self, name: str, after: float) -> Sample | None:
        for sample in self._samples:
            if sample.host == name and after < sample.at < after + 1:
                return sample
        return None

    def _check_no_revert(self) -> None:
        highest: dict[tuple[str, float], int] = defaultdict(int)
        for sample in self._samples:
            process = (sample.host, sample.started)
            kept = sample.revision >= highest[process]
            self._report.record_check(
                Promise.NO_REVERT, kept, f"{sample} after {highest[process]}"
            )
            highest[process] = max(highest[process], sample.revision)
