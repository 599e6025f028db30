"""Checks a soak's promises by the records of its callers and servers."""

import asyncio
import time
from collections import defaultdict
from itertools import combinations
from typing import Final

import orjson

from standins.campaign_report import Report
from standins.fleet import ENGINE_SERVICE, PLAIN_SERVICE
from standins.fleet_server import Run
from standins.front_process import KEY
from standins.soak.annex import ANNEX, ANNEX_PATH
from standins.soak.faults import FaultInjector
from standins.soak.fleet_checks import FleetChecker
from standins.soak.load import (
    NON_IDEMPOTENT_ROUTES,
    ROUTES,
    STREAM_ROUTES,
    Call,
    LoadGenerator,
)
from standins.soak.promises import (
    CANCEL_LIMIT_S,
    CONFIG_APPLY_LIMIT_S,
    CONFIG_SERIES,
    FAULT_RECOVERY_S,
    LOSS_SLACK_S,
    MISSED_CHANGE_S,
    NOT_RUN_STATUSES,
    OVERLAP_LIMIT_S,
    PARTITION,
    PATH_RESET,
    RESPONSE_SLACK_S,
    SCHEDULING_SLACK_S,
    SHORT_PLAIN_TIMEOUT_S,
    SHORT_STREAM_TIMEOUT_S,
    Promise,
)
from standins.soak.world import EVENTS_PER_STREAM, STORE, World

OK: Final = 200
DENIED: Final = (401, 403)
PROCESS_CHECK_INTERVAL_S: Final = 0.25
NOTED_DELAY_S: Final = 0.5
# Faults of a host's links that its callers must not notice.
STORE_LINK_FAULTS: Final = ("link to store", "link to duties")
# Faults of a host after which it may close connections without an answer.
BREAKING_HOST_FAULTS: Final = {"kill", "power", "freeze", "link to callers"}
STOPS: Final = {"stop", "rolling stop"}
# Faults of a server by which it breaks off responses that it began.
BREAKING_SERVER_FAULTS: Final = {
    "crash",
    "leaving",
    "link to server",
    "reborn",
}
# Faults of a server by which it ends a run later than it should.
LATE_END_FAULTS: Final = {"link to server"}
BROKEN_RUNS: Final = ("broken", "crashed")
SERVICES: Final = {
    route: ENGINE_SERVICE if route in STREAM_ROUTES else PLAIN_SERVICE
    for route in ROUTES
} | {ANNEX_PATH: ANNEX}


class PromiseChecker:
    """Checks the promises, during a soak and after it."""

    def __init__(
        self,
        world: World,
        load: LoadGenerator,
        injector: FaultInjector,
        report: Report,
    ) -> None:
        self._world = world
        self._load = load
        self._injector = injector
        self._report = report

    async def async_run(self) -> None:
        """Check that the processes are running, until cancelled.

        Delays of this process, which runs callers, links and servers, go
        into the events: they can explain a late call, but excuse none.
        """
        while True:
            due_at = time.monotonic() + PROCESS_CHECK_INTERVAL_S
            await asyncio.sleep(PROCESS_CHECK_INTERVAL_S)
            delay_s = time.monotonic() - due_at
            if delay_s > NOTED_DELAY_S:
                self._report.record_note(f"soak delayed by {delay_s:.1f} s")
            self._world.check_processes()

    def check_all(self) -> None:
        """Check all calls, runs and duty calls; called after the soak."""
        runs: dict[str, list[Run]] = defaultdict(list)
        for run in self._world.fleet.runs:
            runs[run.request_id].append(run)
        for call in self._load.calls:
            self._check_call(call, runs[call.request_id])
        FleetChecker(self._world, self._load, self._report).check_all(runs)

    def _check_call(self, call: Call, runs: list[Run]) -> None:
        self._check_complete(call)
        if call.route in NON_IDEMPOTENT_ROUTES:
            self._check_run_once(call, runs)
        if call.route in STREAM_ROUTES:
            self._check_alone(call, runs)
        if call.disconnected_at is None:
            self._check_in_time(call)
            self._check_served(call)
            self._check_planned_stop(call, runs)
            self._check_answered(call, runs)
        else:
            self._check_run_cancelled(call, runs)
        self._check_key(call, runs)

    # One call

    def _record_call_check(
        self, promise: Promise, kept: bool, call: Call
    ) -> None:
        evidence = ""
        if not kept:
            nearby_events = self._report.events_between(
                self._as_unix(call.sent_at) - FAULT_RECOVERY_S,
                self._as_unix(call.ended_at),
            )
            evidence = f"{call.describe()} [{nearby_events}]"
        self._report.record_check(promise, kept, evidence)

    def _as_unix(self, monotonic_at: float) -> float:
        return (
            min(monotonic_at, time.monotonic())
            - time.monotonic()
            + time.time()
        )

    def _check_complete(self, call: Call) -> None:
        if call.answer is None or call.status != OK:
            return
        answered_id = call.answer.headers.get("x-waxwingarch-request-id")
        body = orjson.dumps({"echo": call.size})
        if call.route in STREAM_ROUTES:
            events = [
                f"id: {n}\ndata: token {n}\n\n" for n in _event_numbers()
            ]
            body = "".join(events).encode()
        complete = answered_id == call.request_id and call.answer.body == body
        self._record_call_check(Promise.WHOLE, complete, call)

    def _check_run_once(self, call: Call, runs: list[Run]) -> None:
        # A run from a copy continues an earlier run, if the copy is used once.
        copies = [run.copy for run in runs]
        is_once = len(copies) == len(set(copies))
        self._record_call_check(Promise.ONCE, is_once, call)
        if call.status in NOT_RUN_STATUSES:
            untrue = call.is_refused_untruly(runs)
            self._record_call_check(Promise.NOT_RUN, not untrue, call)

    def _check_alone(self, call: Call, runs: list[Run]) -> None:
        """Check that no server still has a run that another has continued.

        A host that was disturbed could not know or end it, nor could one
        that did not reach the first server. One whose connections were only
        reset reaches it.
        """
        ordered = sorted(runs, key=lambda run: run.began_at)
        for earlier, later in combinations(ordered, 2):
            if earlier.server_id == later.server_id:
                continue
            disturbing = {
                interval.kind
                for interval in self._world.intervals_between(
                    call.sent_at - FAULT_RECOVERY_S,
                    later.began_at,
                    {call.host},
                )
            }
            if disturbing - {PATH_RESET} or self._world.had_fault(
                earlier.began_at,
                later.began_at,
                names={earlier.server_id},
                kinds=LATE_END_FAULTS,
            ):
                continue
            overlap_s = earlier.ended_at - later.began_at
            limit_s = OVERLAP_LIMIT_S + SCHEDULING_SLACK_S
            self._record_call_check(Promise.ALONE, overlap_s <= limit_s, call)

    def _check_in_time(self, call: Call) -> None:
        if self._had_fault(call, names={call.host}):
            return
        route_s, _ = ROUTES[call.route]
        limit_s = route_s + RESPONSE_SLACK_S + SCHEDULING_SLACK_S
        in_time = call.ended_at - call.sent_at <= limit_s
        self._record_call_check(Promise.IN_TIME, in_time, call)

    def _check_served(self, call: Call) -> None:
        """Check a call at an undisturbed host, whatever befalls the others.

        Faults of the host's links to the store and to the duties count as
        none, but while it can't read the store it also misses changes of
        servers for longer.
        """
        host_intervals = self._world.intervals_between(
            call.sent_at - FAULT_RECOVERY_S, call.ended_at, {call.host}
        )
        if (
            call.key != KEY
            or call.crashing_input
            or any(
                interval.kind not in STORE_LINK_FAULTS
                for interval in host_intervals
            )
        ):
            return
        if call.route == ANNEX_PATH and self._had_fault(
            call, names={CONFIG_SERIES, STORE, call.host}
        ):
            return
        store_had_fault = bool(host_intervals) or self._had_fault(
            call, names={STORE}
        )
        since = call.sent_at - (
            MISSED_CHANGE_S if store_had_fault else FAULT_RECOVERY_S
        )
        servers = self._world.server_ids(SERVICES[call.route])
        disturbed_servers = {
            interval.name
            for interval in self._world.intervals_between(
                since, call.ended_at, servers
            )
        }
        if not disturbed_servers:
            self._record_call_check(Promise.SERVED, call.status == OK, call)
        elif (
            len(disturbed_servers) == 1
            and call.route not in NON_IDEMPOTENT_ROUTES
        ):
            self._record_call_check(Promise.REPEATED, call.status == OK, call)

    def _check_planned_stop(self, call: Call, runs: list[Run]) -> None:
        """Check a call during a planned stop without any other fault."""
        begin = call.sent_at - FAULT_RECOVERY_S
        kinds = {
            interval.kind for interval in self._world.fault_intervals
        } - STOPS
        if not self._was_stopping(call) or not runs:
            return
        if self._world.had_fault(begin, call.ended_at, kinds=kinds):
            return
        self._record_call_check(Promise.STOP, call.status != 0, call)

    def _was_stopping(self, call: Call) -> bool:
        return self._world.had_fault(
            call.sent_at, call.ended_at, names={call.host}, kinds=STOPS
        )

    def _check_answered(self, call: Call, runs: list[Run]) -> None:
        """Check that no connection ends without the response that is due.

        A host that was killed or cut off owes none, nor does one whose
        server broke off a response that had begun.
        """
        begin = call.sent_at - FAULT_RECOVERY_S
        if call.is_unsent or self._world.had_fault(
            begin,
            call.ended_at,
            names={call.host},
            kinds=BREAKING_HOST_FAULTS,
        ):
            return
        crossed_stop = self._was_stopping(call) and not runs
        lasted_s = call.ended_at - call.sent_at
        excused = (
            lasted_s >= self._timeout_s(call)
            or (crossed_stop and lasted_s <= LOSS_SLACK_S + SCHEDULING_SLACK_S)
            or (call.has_begun and self._was_broken_off(call, runs))
        )
        if call.answer is not None or not excused:
            answered = call.answer is not None
            self._record_call_check(Promise.ANSWERED, answered, call)

    def _timeout_s(self, call: Call) -> float:
        """Return the shortest time limit that may apply to a call."""
        route_s, _ = ROUTES[call.route]
        if not self._had_fault(call, names={CONFIG_SERIES}):
            return route_s
        if call.route in STREAM_ROUTES:
            return SHORT_STREAM_TIMEOUT_S
        return SHORT_PLAIN_TIMEOUT_S

    def _was_broken_off(self, call: Call, runs: list[Run]) -> bool:
        return (
            any(run.ended in BROKEN_RUNS for run in runs)
            or self._was_partitioned_off(call)
            or self._world.had_fault(
                call.sent_at,
                call.ended_at,
                names={call.host},
                kinds={PATH_RESET},
            )
            or self._world.had_fault(
                call.sent_at,
                call.ended_at,
                names={run.server_id for run in runs},
                kinds=BREAKING_SERVER_FAULTS,
            )
        )

    def _was_partitioned_off(self, call: Call) -> bool:
        """Return whether a partition of its host may have cut a response.

        The partition resets the connections to servers at its beginning.
        After that a peer serves the call, which may be killed meanwhile.
        """
        partitions = [
            interval
            for interval in self._world.intervals_between(
                call.sent_at, call.ended_at, {call.host}
            )
            if interval.kind == PARTITION
        ]
        return any(
            call.sent_at <= interval.begin for interval in partitions
        ) or (
            bool(partitions)
            and self._world.had_fault(
                call.sent_at,
                call.ended_at,
                names=set(self._world.daemons),
                kinds=BREAKING_HOST_FAULTS,
            )
        )

    def _check_run_cancelled(self, call: Call, runs: list[Run]) -> None:
        assert call.disconnected_at is not None
        names = {call.host, *(run.server_id for run in runs)}
        until = call.disconnected_at + CANCEL_LIMIT_S + SCHEDULING_SLACK_S
        if self._world.had_fault(
            call.sent_at - FAULT_RECOVERY_S, until, names=names
        ):
            return
        ended = all(run.ended_at <= until for run in runs)
        self._record_call_check(Promise.GONE, ended, call)

    def _had_fault(self, call: Call, names: set[str] | None = None) -> bool:
        return self._world.had_fault(
            call.sent_at - FAULT_RECOVERY_S, call.ended_at, names=names
        )

    # Configuration

    def _check_key(self, call: Call, runs: list[Run]) -> None:
        if call.key == KEY:
            return
        removed_at = self._key_removed_at(call.key)
        if (
            call.sent_at > removed_at + CONFIG_APPLY_LIMIT_S
            and not self._had_fault(call, names={call.host, STORE})
        ):
            self._record_call_check(Promise.IN_FORCE, not runs, call)
        if runs:
            newer = self._saw_newer_key(call)
            self._record_call_check(Promise.NO_REVERT, not newer, call)

    def _key_removed_at(self, key: str) -> float:
        """Return when a key was removed; infinite if it wasn't."""
        was_added = False
        for at, _, keys in self._injector.config.changes:
            was_added |= key in keys
            if was_added and key not in keys:
                return at
        return float("inf")

    def _saw_newer_key(self, call: Call) -> bool:
        """Return whether the same process accepted a newer key before."""
        order = self._load.added_keys
        own_position = order.index(call.key)
        return any(
            other.status == OK
            and other.host == call.host
            and other.incarnation == call.incarnation
            and other.ended_at < call.sent_at
            and other.key != KEY
            and order.index(other.key) > own_position
            for other in self._load.calls
        )


def _event_numbers() -> range:
    return range(1, EVENTS_PER_STREAM + 1)
