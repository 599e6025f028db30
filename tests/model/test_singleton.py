"""Model check of the lease of the singleton duties."""

from dataclasses import replace

import testtools
from minicheck import check_safety

from model.singleton import singleton_spec
from waxwingarch.core.base import Action
from waxwingarch.core.duties.leader_election import (
    DutyRowRead,
    DutyRowWritten,
    LeaderElection,
)


class _CountsFromReply(LeaderElection):
    """Counts its lease from when the reply came."""

    def handle_row_written(self, event: DutyRowWritten) -> None:
        self._pending_valid_until = event.boot_now + self._term_s
        super().handle_row_written(replace(event, sent_at=event.boot_now))


class _DoesNotWait(LeaderElection):
    """Takes a lease that still runs."""

    def handle_row_read(self, event: DutyRowRead) -> list[Action]:
        return super().handle_row_read(replace(event, row=None))


class OneHolder(testtools.TestCase):
    def test_one_holder_at_a_time(self) -> None:
        result = check_safety(singleton_spec())
        self.assertTrue(result["properties"]["one_holder"]["holds"])
        self.assertTrue(result["exhaustive"])

    def _broken(
        self, machine: type[LeaderElection], *, steady_clock: bool = False
    ) -> list[str]:
        spec = singleton_spec(machine, steady_clock=steady_clock)
        found = check_safety(spec)["properties"]["one_holder"]
        self.assertIs(False, found["holds"])
        return [step["label"] for step in found["counterexample"][1:]]

    def test_a_clock_that_stands_still_overlaps(self) -> None:
        steps = self._broken(LeaderElection, steady_clock=True)
        self.assertTrue(any("suspended" in step for step in steps))

    def test_counting_from_the_reply_overlaps(self) -> None:
        steps = self._broken(_CountsFromReply)
        self.assertTrue(any("time" in s or "susp" in s for s in steps))

    def test_taking_a_lease_that_runs_overlaps(self) -> None:
        steps = self._broken(_DoesNotWait)
        self.assertTrue(any(step == "1:write" for step in steps))
