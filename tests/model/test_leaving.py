"""Checks of the specification of leaving servers, and a broken variant."""

import testtools

from model.leaving import Marks, check
from waxwingarch.core.cluster.items import LeavingServer


def list_clears_marks(marks: Marks, listed: int) -> Marks:
    return tuple(
        mark
        for mark in marks
        if isinstance(mark, LeavingServer) and mark.incarnation != listed
    )


class TestLeavingModel(testtools.TestCase):
    def test_marks_survive_any_list(self) -> None:
        result = check()
        self.assertTrue(result["exhaustive"])
        self.assertTrue(result["properties"]["leaving_never_returns"]["holds"])

    def test_clearing_marks_by_a_stale_list_brings_a_server_back(self) -> None:
        found = check(list_clears_marks)["properties"]["leaving_never_returns"]
        self.assertIs(False, found["holds"])
        labels = [step["label"] for step in found["counterexample"][1:]]
        self.assertEqual(["notice", "host 0", "host 0"], labels)
