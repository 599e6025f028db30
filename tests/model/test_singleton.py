"""Model check of the leader election."""

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
    """Starts its lease when the reply arrives, not when it wrote."""

    def handle_row_written(self, event: DutyRowWritten) -> None:
        self._pending_valid_until = event.boot_now + self._term_s
        super().handle_row_written(replace(event, sent_at=event.boot_now))


class _DoesNotWait(LeaderElection):
    """Takes over a lease that hasn't ended."""

    def handle_row_read(self, event: DutyRowRead) -> list[Action]:
        return super().handle_row_read(replace(event, row=None))


class OneHolder(testtools.TestCase):
    def test_one_holder_at_a_time(self) -> None:
        result = check_safety(singleton_spec())
        self.assertTrue(result["properties"]["one_holder"]["holds"])
        self.assertTrue(result["exhaustive"])

    def _counterexample(
        self, machine: type[LeaderElection], *, steady_clock: bool = False
    ) -> list[str]:
        spec = singleton_spec(machine, steady_clock=steady_clock)
        found = check_safety(spec)["properties"]["one_holder"]
        self.assertIs(False, found["holds"])
        return [step["label"] for step in found["counterexample"][1:]]

    def test_clock_that_stops_during_suspension_overlaps(self) -> None:
        steps = self._counterexample(LeaderElection, steady_clock=True)
        self.assertTrue(any("suspended" in step for step in steps))

    def test_counting_from_the_reply_overlaps(self) -> None:
        steps = self._counterexample(_CountsFromReply)
        self.assertTrue(any("time" in s or "susp" in s for s in steps))

    def test_taking_over_a_valid_lease_overlaps(self) -> None:
        steps = self._counterexample(_DoesNotWait)
        self.assertTrue(any(step == "1:write" for step in steps))
