"""Model check of the report of a usage window."""

import testtools
from minicheck import check_safety

from model.usage import usage_spec
from waxwingarch.core.base import AccountId
from waxwingarch.core.duties.usage import UsageReporter, UsageSettled


class _SendsItsOwnCount(UsageReporter):
    """Sends this host's own count instead of the settled one."""

    def handle_settled(self, boot_now: float, event: UsageSettled) -> None:
        if event.counts is not None:
            own = self._counter.counts.get(event.window, {})
            event = UsageSettled(window=event.window, counts=own)
        super().handle_settled(boot_now, event)


class _AssumesLostReplySettled(UsageReporter):
    """Sends its own count though the other's may be settled."""

    def handle_settled(self, boot_now: float, event: UsageSettled) -> None:
        if event.counts is None:
            own = self._counter.counts.get(event.window, {})
            counts = own or {AccountId("a"): 0}
            event = UsageSettled(window=event.window, counts=counts)
        super().handle_settled(boot_now, event)


class UsageModel(testtools.TestCase):
    def test_one_report_a_window(self) -> None:
        result = check_safety(usage_spec())
        self.assertTrue(result["exhaustive"])
        self.assertTrue(result["properties"]["one_report"]["holds"])

    def _counterexample(self, duty: type[UsageReporter]) -> list[str]:
        result = check_safety(usage_spec(duty))
        found = result["properties"]["one_report"]
        self.assertIs(False, found["holds"])
        return [step["label"] for step in found["counterexample"][1:]]

    def test_own_counts_make_two_reports(self) -> None:
        self.assertIn("duty moves", self._counterexample(_SendsItsOwnCount))

    def test_assuming_a_lost_reply_settled_makes_two_reports(self) -> None:
        steps = self._counterexample(_AssumesLostReplySettled)
        self.assertTrue(any("lost" in s or "failed" in s for s in steps))
