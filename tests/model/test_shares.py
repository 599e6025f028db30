"""Model check of loans between hosts."""

import testtools
from minicheck import check_safety

from model.shares import shares_spec
from tests.core.limits.test_shares import (
    AcceptsStaleGrants,
    CountsTermFromReply,
)
from waxwingarch.core.limits.shares import LoanRequest, ShareLedger


class _AcceptsOldRequests(ShareLedger):
    """Ignores the sequence numbers of a borrower's requests."""

    def handle_request(self, now: float, request: LoanRequest) -> object:
        for key, lent in list(self._lent.items()):
            self._lent[key] = type(lent)(seq=0, loans=lent.loans)
        return super().handle_request(now, request)


class SharesModel(testtools.TestCase):
    def _counterexample(
        self, ledger: type[ShareLedger], requests: int = 2
    ) -> list[str]:
        result = check_safety(shares_spec(ledger, requests=requests))
        found = result["properties"]["within_the_limit"]
        self.assertIs(False, found["holds"])
        return [step["label"] for step in found["counterexample"][1:]]

    def test_within_the_limit(self) -> None:
        result = check_safety(shares_spec())
        self.assertTrue(result["exhaustive"])
        self.assertTrue(result["properties"]["within_the_limit"]["holds"])

    def test_counting_from_the_reply_exceeds_the_limit(self) -> None:
        steps = self._counterexample(CountsTermFromReply)
        self.assertEqual(["ask", "request"], steps[:2])

    def test_accepting_stale_grants_exceeds_the_limit(self) -> None:
        steps = self._counterexample(AcceptsStaleGrants)
        self.assertEqual(2, steps.count("ask"))

    def test_accepting_old_requests_exceeds_the_limit(self) -> None:
        steps = self._counterexample(_AcceptsOldRequests, 3)
        self.assertIn("request", steps)
