"""Checks a soak's promises about servers and duties."""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from typing import Final

from standins.campaign_report import Report
from standins.fleet_server import Arrival, FleetServer, Run
from standins.front_process import KEY
from standins.soak.annex import ANNEX_PATH
from standins.soak.load import Call, LoadGenerator
from standins.soak.promises import (
    CONTACT_S,
    DRAIN_APPLY_LIMIT_S,
    FAULT_RECOVERY_S,
    LIMIT_EXTRA,
    LIMIT_RATIO,
    LIMIT_TOLD_S,
    LIMIT_WINDOW_S,
    MAX_CONDEMNED_RUNS,
    PART_CONDEMNED_AFTER,
    PARTITION,
    PARTITIONED_EXTRA,
    PARTITIONED_RATIO,
    PARTITIONED_SERVED_RATIO,
    REQUEST_CONDEMNED_AFTER,
    SCHEDULING_SLACK_S,
    THAW_SLACK_S,
    Promise,
)
from standins.soak.world import STORE, World

USAGE_PATH_PART: Final = "usage"
HTTP_OK: Final = 200


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
        self._check_limits()
        self._check_partitions()
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

    def _check_limits(self) -> None:
        calls = {call.request_id: call for call in self._load.calls}
        for server in self._world.fleet.servers:
            limited: list[Arrival] = []
            for arrival in server.arrivals:
                if limited and arrival.limit_per_s != limited[0].limit_per_s:
                    self._check_limit(server, limited, calls)
                    limited = []
                if arrival.limit_per_s is not None:
                    limited.append(arrival)
            if limited:
                self._check_limit(server, limited, calls)

    def _check_partitions(self) -> None:
        for interval in self._world.fault_intervals:
            if interval.kind != PARTITION:
                continue
            counts = {True: [0, 0], False: [0, 0]}
            for call in self._load.calls:
                if (
                    interval.begin + CONTACT_S <= call.sent_at
                    and call.ended_at <= interval.end
                    and call.key == KEY
                    and not call.crashing_input
                    and call.disconnected_at is None
                    and call.route != ANNEX_PATH
                ):
                    count = counts[call.host == interval.name]
                    count[0] += call.status == HTTP_OK
                    count[1] += 1
            (served, sent), (others_served, others_sent) = (
                counts[True],
                counts[False],
            )
            allowed = PARTITIONED_EXTRA + PARTITIONED_RATIO * (
                sent + others_sent
            )
            kept = (
                sent - served <= allowed
                or served * others_sent
                >= PARTITIONED_SERVED_RATIO * others_served * sent
            )
            evidence = (
                f"{interval.name}: {served} of {sent} served, "
                f"{others_served} of {others_sent} at other hosts"
            )
            self._report.record_check(Promise.RELAYED, kept, evidence)

    def _check_limit(
        self,
        server: FleetServer,
        arrivals: Sequence[Arrival],
        calls: Mapping[str, Call],
    ) -> None:
        """Check what reached a server while it named one limit."""
        limit_per_s = arrivals[0].limit_per_s
        assert limit_per_s is not None
        told_at: dict[str, float] = {}
        counted: list[float] = []
        for arrival in arrivals:
            call = calls.get(arrival.request_id)
            if call is None:
                continue
            told = told_at.setdefault(call.host, arrival.at)
            if (
                arrival.at >= arrivals[0].at + CONTACT_S
                and arrival.at >= told + LIMIT_TOLD_S
                and not self._world.had_fault(
                    arrival.at - CONTACT_S, arrival.at, names={call.host}
                )
            ):
                counted.append(arrival.at)
        allowed = LIMIT_RATIO * limit_per_s * LIMIT_WINDOW_S + LIMIT_EXTRA
        fullest = max(
            (
                sum(at - LIMIT_WINDOW_S < other <= at for other in counted)
                for at in counted
            ),
            default=0,
        )
        evidence = (
            f"{server.server_id}, limit {limit_per_s:g} a second: {fullest} "
            f"in {LIMIT_WINDOW_S:g} s, {allowed:g} allowed"
        )
        self._report.record_check(Promise.LIMIT, fullest <= allowed, evidence)

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
