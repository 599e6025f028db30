"""Model check of leases."""

from dataclasses import replace

import testtools
from minicheck import check_safety

from model.lease import LONG_TIMES, lease_spec
from waxwingarch.core.base import Action, Event
from waxwingarch.core.duties.lease import LeaseMachine, LeaseWritten


class _CountsFromReply(LeaseMachine):
    """Starts its lease when the reply arrives, not when it wrote."""

    def _on_written(self, now: float, event: LeaseWritten) -> list[Action]:
        self.memory = replace(self.memory, sent_at=now)
        return super()._on_written(now, event)


class _DoesNotWait(LeaseMachine):
    """Takes the lease over without waiting for its end."""

    def _watch_row(self, now: float) -> list[Action]:
        return self._acquire(now, True)


class _AssumesLostReplyWritten(LeaseMachine):
    """Treats a lost reply as a write that took effect."""

    def _on_reply_lost(self, now: float, _: Event) -> list[Action]:
        return self._on_written(now, LeaseWritten(version=1))


class LeaseModel(testtools.TestCase):
    def _counterexample(
        self, machine: type[LeaseMachine], faults: int = 0
    ) -> list[str]:
        spec = lease_spec(machine, faults=faults, times=(0.0, 16.0))
        result = check_safety(spec)
        found = result["properties"]["one_holder"]
        self.assertIs(False, found["holds"])
        return [step["label"] for step in found["counterexample"][1:]]

    def test_one_holder_at_a_time(self) -> None:
        for spec in (lease_spec(), lease_spec(faults=0, times=LONG_TIMES)):
            result = check_safety(spec)
            self.assertTrue(result["exhaustive"])
            self.assertTrue(result["properties"]["one_holder"]["holds"])

    def test_counting_from_the_reply_overlaps(self) -> None:
        self.assertIn("time", self._counterexample(_CountsFromReply))

    def test_taking_over_at_once_overlaps(self) -> None:
        self.assertIn("1:write", self._counterexample(_DoesNotWait))

    def test_assuming_a_lost_reply_written_overlaps(self) -> None:
        steps = self._counterexample(_AssumesLostReplyWritten, 1)
        self.assertTrue(any("lost" in s or "delayed" in s for s in steps))

    def test_older_order_at_a_server_that_ignores_fencing(self) -> None:
        """A holder is suspended between its check and its order.

        Meanwhile its lease ends and the other host takes over.
        """
        spec = lease_spec(
            checks_fencing=False,
            orders=True,
            faults=0,
            times=(0.0, 16.0, 48.0),
            promise="no_older_order",
        )
        found = check_safety(spec)["properties"]["no_older_order"]
        steps = [step["label"] for step in found["counterexample"][1:]]
        self.assertEqual(["1:order", "0:order"], steps[-2:])
        self.assertEqual(2, steps.count("time"))
