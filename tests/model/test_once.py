"""Model check of requests that run at most once."""

from typing import Any

import testtools
from minicheck import check_safety

from model.once import once_spec
from waxwingarch.core.base import Action, Event
from waxwingarch.core.once.once import OnceMachine, RefusalKind
from waxwingarch.core.once.once_messages import ClaimWritten

MAX_STATES = 1_000_000


class _TrustsTheService(OnceMachine):
    """Concludes "not run" when the service has not seen the operation."""

    def _on_settle_unseen(self, now: float, _: Event) -> list[Action]:
        record = self.state.record
        assert record is not None
        return self._write_claim(now, expected_version=self.state.version)


class _SendsAgain(OnceMachine):
    """Takes a lost answer for a request that was not sent."""

    def _on_dispatch_lost(self, now: float, _: Event) -> list[Action]:
        return self._on_not_sent(now, _)


class _AssumesApplied(OnceMachine):
    """Takes a lost table reply for a claim that took effect."""

    def _on_claim_reply_lost(self, now: float, _: Event) -> list[Action]:
        return self._on_claimed(now, ClaimWritten(version=1))


class _TombstonesTooEarly(OnceMachine):
    """Says "not run" after the first byte may have been sent."""

    def _on_dispatch_lost(self, now: float, _: Event) -> list[Action]:
        return self._refuse_not_run(now, RefusalKind.NO_SERVER)


def _labels(machine: type[OnceMachine], name: str) -> list[str]:
    result = check_safety(once_spec(machine, faults=1, promise=name))
    found = result["properties"][name]
    if found["holds"] is not False:
        return []
    return [step["label"] for step in found["counterexample"][1:]]


class OnceModel(testtools.TestCase):
    def test_every_promise_holds(self) -> None:
        result: dict[str, Any] = check_safety(
            once_spec(faults=2), max_states=MAX_STATES
        )
        self.assertTrue(result["exhaustive"])
        self.assertTrue(result["reachable_states"] > 10_000)
        for name, found in result["properties"].items():
            self.assertTrue(found["holds"], name)

    def test_an_unseen_operation_is_no_proof(self) -> None:
        steps = _labels(_TrustsTheService, "runs_at_most_once")
        self.assertIn("1:outcome False", steps)
        self.assertEqual(
            {"0:runs", "1:runs"},
            {step for step in steps if step.endswith("runs")},
        )

    def test_sending_again_runs_twice(self) -> None:
        steps = _labels(_SendsAgain, "runs_at_most_once")
        self.assertIn("0:answer lost", steps)

    def test_a_lost_claim_is_no_claim(self) -> None:
        steps = _labels(_AssumesApplied, "runs_at_most_once")
        self.assertTrue(any("lost" in s or "delayed" in s for s in steps))

    def test_a_tombstone_after_the_first_byte_lies(self) -> None:
        steps = _labels(_TombstonesTooEarly, "not_run_is_true")
        self.assertIn("0:runs", steps)
