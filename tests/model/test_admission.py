"""Model check of admission."""

import testtools
from minicheck import check_safety

from model.admission import admission_spec
from waxwingarch.core.base import AccountId
from waxwingarch.core.limits.admission import Admission
from waxwingarch.core.limits.admission_messages import Refusal


class _IgnoresConcurrency(Admission):
    """Starts requests regardless of the account's limit."""

    def _may_start(self, account: AccountId) -> bool:
        return True


class _KeepsRefused(Admission):
    """Refuses a waiting request and leaves it in its queue."""

    def expire(self, now: float) -> list[Refusal]:
        before = dict(self._accepted)
        refusals = super().expire(now)
        for refusal in refusals:
            accepted = before[refusal.request_id]
            self._accepted[refusal.request_id] = accepted
            self._queue.push(refusal.account, refusal.request_id, 1.0)
        return refusals


class AdmissionModel(testtools.TestCase):
    def test_each_request_gets_one_response_within_the_limit(self) -> None:
        result = check_safety(admission_spec())
        self.assertTrue(result["exhaustive"])
        for name, found in result["properties"].items():
            self.assertTrue(found["holds"], name)

    def _counterexample(
        self, machine: type[Admission], name: str
    ) -> list[str]:
        found = check_safety(admission_spec(machine))["properties"][name]
        self.assertIs(False, found["holds"])
        return [step["label"] for step in found["counterexample"][1:]]

    def test_ignoring_the_limit_runs_too_many(self) -> None:
        steps = self._counterexample(_IgnoresConcurrency, "within_limit")
        self.assertIn("shrink", steps)

    def test_a_refused_request_left_in_the_queue_is_started(self) -> None:
        steps = self._counterexample(_KeepsRefused, "started_or_refused")
        self.assertIn("tick", steps)
