"""Model check of the leader election."""

from dataclasses import replace

import testtools
from minicheck import check_safety

from model.singleton import singleton_spec
from waxwingarch.core.base import Action
from waxwingarch.core.duties.leader_election import (
    DutyLeaseRow,
    DutyRowRead,
    DutyRowWritten,
    LeaderElection,
    StoreEraSeen,
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


class _IgnoresEras(LeaderElection):
    """Relies on a row that the store has from an older copy."""

    def record_era(self, event: StoreEraSeen) -> None:
        pass

    def _is_of_this_era(self, row: DutyLeaseRow | None) -> bool:
        return True


class _KeepsLateWrite(LeaderElection):
    """Counts on a write that replaced another row than it was meant to."""

    def handle_row_written(self, event: DutyRowWritten) -> None:
        self._written_era = self._era
        super().handle_row_written(event)


class OneHolder(testtools.TestCase):
    def test_one_holder_at_a_time(self) -> None:
        result = check_safety(singleton_spec())
        self.assertTrue(result["properties"]["one_holder"]["holds"])
        self.assertTrue(result["exhaustive"])

    def test_one_holder_when_the_store_returns_from_a_copy(self) -> None:
        result = check_safety(singleton_spec(store_returns=True))
        self.assertTrue(result["properties"]["one_holder"]["holds"])
        self.assertTrue(result["exhaustive"])

    def test_relying_on_the_row_of_a_copy_overlaps(self) -> None:
        steps = self._counterexample(_IgnoresEras, store_returns=True)
        self.assertIn("store returns", steps)

    def test_extending_by_a_write_in_another_era_overlaps(self) -> None:
        steps = self._counterexample(_KeepsLateWrite, store_returns=True)
        self.assertIn("store returns", steps)

    def _counterexample(
        self,
        machine: type[LeaderElection],
        *,
        steady_clock: bool = False,
        store_returns: bool = False,
    ) -> list[str]:
        spec = singleton_spec(
            machine, steady_clock=steady_clock, store_returns=store_returns
        )
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
