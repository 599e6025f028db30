"""Mutation tests: runs the tests of the promises without their guards.

Each mutation is applied to a scratch copy of the committed tree, where
its test must fail. Prints each mutation with the failing assertion.
"""

import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Final

from script.red_front import FRONT_MUTATIONS
from script.red_mutations import Mutation

TEST_TIMEOUT_S: Final = 240
TESTS_FAILED_CODE: Final = 1
ROOT: Final = Path(__file__).resolve().parent.parent
FAULTS: Final = "tests/faults/"


MUTATIONS: Final = (
    Mutation(
        promise="survives",
        path="waxwingarch/core/requests/handoff.py",
        old="peers=self._hand_over_peers(hand_over_key(attempt.stream_id))",
        new="peers=()",
        test=FAULTS + "test_entry_hosts.py::ReclaimedEntryHost::"
        "test_reclaimed_together_with_its_engine",
    ),
    Mutation(
        promise="bad-version",
        path="waxwingarch/core/moves/move_split.py",
        old="    if is_stopped(record, stop_marks):\n"
        "        return VersionChoice(version=record.old_version)\n",
        new="",
        test=FAULTS + "test_moves.py::BadVersion",
    ),
    Mutation(
        promise="whole-answer",
        path="waxwingarch/core/requests/assembly.py",
        old="fresh = tokens[self.offset - offset :]",
        new="fresh = tokens",
        test=FAULTS + "test_streams.py::EngineLost::test_broken_chunks",
    ),
    Mutation(
        promise="not-run",
        path="waxwingarch/tasks/claims.py",
        old="        reply: Event = DispatchLost()\n",
        new="        reply: Event = DispatchNotSent()\n",
        test=FAULTS + "test_once.py::AtMostOnce::"
        "test_reply_of_the_service_is_lost",
    ),
    Mutation(
        promise="at-most-once",
        path="waxwingarch/core/once/once.py",
        old='(_P.CLAIMING, ClaimConflict): "_on_row"',
        new='(_P.CLAIMING, ClaimConflict): "_on_claimed"',
        test=FAULTS + "test_once.py::AtMostOnce::test_two_entries_at_once",
    ),
    Mutation(
        promise="leaving",
        path="waxwingarch/core/servers/server_registry.py",
        old="            and self.departure(server.server_id) is None\n",
        new="",
        test=FAULTS + "test_leaving.py::LeavingServer::"
        "test_nothing_after_the_limit_with_a_stale_list",
    ),
    Mutation(
        promise="planned-stop",
        path="waxwingarch/core/contract_node.py",
        old="done = self.draining and not self.request_manager.in_progress",
        new="done = self.draining",
        test=FAULTS + "test_entry_hosts.py::PlannedStop::"
        "test_stop_with_a_stream_in_progress",
    ),
    Mutation(
        promise="in-force",
        path="waxwingarch/core/cluster/configsync.py",
        old="peer = None if self._prefers_table else self._nearest(peers)",
        new="peer = None",
        test=FAULTS + "test_together.py::SettingsAndTwoFaults::"
        "test_host_frozen_and_platform_gone_after_the_write",
    ),
    Mutation(
        promise="never-reverts",
        path="waxwingarch/core/cluster/configsync.py",
        old="return candidate > applied",
        new="return candidate != applied",
        test="tests/model/test_settings_spread.py",
    ),
)


def failing_line(output: str) -> str:
    """Return the assertion or error that a test ended with."""
    lines = [
        line.strip()
        for line in output.splitlines()
        if "Error" in line or "Mismatch" in line or " != " in line
    ]
    return lines[-1][:150] if lines else "no assertion found"


def run(mutation: Mutation) -> bool:
    """Run one test on a mutated copy and return whether it failed."""
    with tempfile.TemporaryDirectory(prefix="red-") as scratch:
        archive = subprocess.run(
            ["git", "archive", "HEAD"],
            cwd=ROOT,
            check=True,
            capture_output=True,
        )
        subprocess.run(
            ["tar", "x", "-C", scratch], input=archive.stdout, check=True
        )
        mutation.apply(Path(scratch))
        result = subprocess.run(
            [sys.executable, "-m", "pytest", "-q", mutation.test],
            cwd=scratch,
            env={"PYTHONPATH": scratch, "PATH": "/usr/bin:/bin"},
            capture_output=True,
            text=True,
            timeout=TEST_TIMEOUT_S,
        )
    has_failed = result.returncode == TESTS_FAILED_CODE
    state = "red" if has_failed else f"GREEN (exit {result.returncode})"
    print(f"{mutation.promise}: {state}: {mutation.test}", flush=True)
    print(f"    {failing_line(result.stdout)}", flush=True)
    return has_failed


def main() -> int:
    """Run all mutations, or those of the named promises."""
    promises = set(sys.argv[1:])
    known = (*MUTATIONS, *FRONT_MUTATIONS)
    selected = [m for m in known if not promises or m.promise in promises]
    results = [run(mutation) for mutation in selected]
    return 0 if results and all(results) else 1


if __name__ == "__main__":
    raise SystemExit(main())
