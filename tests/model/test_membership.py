"""Checks of the membership specification, and of broken variants."""

from typing import Any

import testtools

from model.membership import check
from waxwingarch.core.cluster.members import STATE_RANK, Member

# The search finds the shortest counterexamples within this many states.
MAX_STATES_OF_VARIANTS = 3_000


def steps(result: dict[str, Any], name: str) -> list[str]:
    found = result["properties"][name]
    assert found["holds"] is False, f"{name} is not refuted"
    return [step["label"] for step in found["counterexample"][1:]]


def last_message_wins(new: Member, old: Member) -> bool:
    return True


def worst_state_wins(new: Member, old: Member) -> bool:
    return STATE_RANK[new.state] > STATE_RANK[old.state]


class TestMembershipModel(testtools.TestCase):
    def test_rule_of_the_core_holds(self) -> None:
        result = check()
        self.assertTrue(result["exhaustive"])
        for found in result["properties"].values():
            self.assertTrue(found["holds"])

    def test_last_message_wins_brings_a_predecessor_back(self) -> None:
        result = check(last_message_wins, MAX_STATES_OF_VARIANTS)
        self.assertEqual(
            ["restart", "suspect", "hear", "hear"],
            steps(result, "no_predecessor_returns"),
        )
        self.assertEqual(
            ["restart", "leave", "hear", "hear"],
            steps(result, "left_stays_left"),
        )

    def test_worst_state_cannot_be_refuted(self) -> None:
        result = check(worst_state_wins, MAX_STATES_OF_VARIANTS)
        self.assertEqual(
            ["restart", "suspect", "hear"],
            steps(result, "refuted_stays_refuted"),
        )
