"""Checks a soak's promises about servers and duties."""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from typing import Final

from standins.campaign_report import Report
from standins.fleet_server import Run
from standins.soak.load import Call, LoadGenerator
from standins.soak.promises import (
    CONTACT_S,
    DRAIN_APPLY_LIMIT_S,
    FAULT_RECOVERY_S,
    MAX_CONDEMNED_RUNS,
    PART_CONDEMNED_AFTER,
    REQUEST_CONDEMNED_AFTER,
    SCHEDULING_SLACK_S,
    THAW_SLACK_S,
    Promise,
)
from standins.soak.world import STORE, World

USAGE_PATH_PART: Final = "usage"


class FleetChecker:
    """Checks what reached servers and the duties, after a soak."""

    def __init__(
        self, world: World, load: LoadGenerator, report: Report
    ) -> None:
        self._world = world
        self._load = load
        self._report = report

    def check_all(self, runs: Mapping[str, Sequence[Run]]) -> None:
        """Check all; `runs` are by the id of their request."""
        self._check_draining_servers()
        self._check_crashing_inputs(runs)
        self._check_duties()

    def _had_fault(self, call: Call, names: set[str]) -> bool:
        return self._world.had_fault(
            call.sent_at - FAULT_RECOVERY_S, call.ended_at, names=names
        )

    def _check_draining_servers(self) -> None:
        calls = {call.request_id: call for call in self._load.calls}
        for interval in self._world.fault_intervals:
            if interval.kind != "drain":
                continue
            for run in self._world.fleet.runs:
                late = (
                    interval.begin + DRAIN_APPLY_LIMIT_S
                    < run.began_at
                    < interval.end
                )
                if run.server_id != interval.name or not late:
                    continue
                if self._world.had_fault(
                    interval.begin,
                    run.began_at,
                    names={interval.name},
                    kinds={"crash"},
                ):
                    # The next incarnation is not the one that leaves.
                    continue
                call = calls[run.request_id]
                if not self._had_fault(call, names={call.host, STORE}):
                    self._report.record_check(
                        Promise.DRAIN, False, call.describe()
                    )
            self._report.record_check(Promise.DRAIN, True, "")

    def _check_crashing_inputs(
        self, runs: Mapping[str, Sequence[Run]]
    ) -> None:
        """Check what reached servers once an input had ended several."""
        runs_by_input: dict[str, list[tuple[Call, Run]]] = defaultdict(list)
        for call in self._load.calls:
            if call.crashing_input:
                runs_by_input[call.crashing_input] += [
                    (call, r) for r in runs[call.request_id]
                ]
        for name, found in runs_by_input.items():
            condemned_after = (
                REQUEST_CONDEMNED_AFTER
                if name.startswith("/")
                else PART_CONDEMNED_AFTER
            )
            crashed_at = sorted(
                run.ended_at for _, run in found if run.ended == "crashed"
            )
            if len(crashed_at) < condemned_after:
                continue
            since = crashed_at[condemned_after - 1] + CONTACT_S
            late = [
                f"{run.began_at - since:.1f} s at {call.host}"
                for call, run in found
                if run.began_at > since
                and not self._had_fault(call, names={call.host})
            ]
            evidence = (
                f"{name}: {len(crashed_at)} crashes; begun after"
                f" {CONTACT_S:g} s from number {condemned_after}: {late}"
            )
            kept = len(late) <= MAX_CONDEMNED_RUNS
            self._report.record_check(Promise.QUARANTINE, kept, evidence)

    def _check_duties(self) -> None:
        fences: dict[str, int] = {}
        windows: dict[int, object] = {}
        for duty in self._world.fleet.duty_calls:
            begin = duty.at - THAW_SLACK_S - SCHEDULING_SLACK_S
            excused = duty.fence < fences.get(duty.path, 0) and (
                self._world.had_fault(begin, duty.at)
            )
            if not excused:
                kept = duty.fence >= fences.get(duty.path, 0)
                evidence = f"{duty.path} by {duty.holder}: {duty.fence}"
                self._report.record_check(Promise.FENCE, kept, evidence)
            fences[duty.path] = max(duty.fence, fences.get(duty.path, 0))
            if USAGE_PATH_PART in duty.path:
                number = duty.body["window_number"]
                counts = windows.setdefault(number, duty.body)
                evidence = f"window {number}: {counts}, then {duty.body}"
                self._report.record_check(
                    Promise.USAGE, counts == duty.body, evidence
                )
