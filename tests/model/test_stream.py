"""Checks of the specification of a streamed answer, and broken variants."""

import testtools

from model.stream import check
from waxwingarch.core.requests.assembly import TokenAssembly

PROPERTIES = (
    "delivered_is_a_prefix",
    "complete_is_whole",
    "one_final_answer",
)


class RepeatingAssembly(TokenAssembly):
    """Delivers tokens again that arrived before."""

    def add(self, offset: int, tokens: tuple[str, ...]) -> tuple[str, ...]:
        super().add(offset, tokens)
        return tokens


class GapAcceptingAssembly(TokenAssembly):
    """Accepts a chunk that starts after a gap."""

    def add(self, offset: int, tokens: tuple[str, ...]) -> tuple[str, ...]:
        return super().add(min(offset, self.offset), tokens)


class TestStreamModel(testtools.TestCase):
    def test_every_caller_gets_its_complete_answer(self) -> None:
        result = check()
        self.assertTrue(result["exhaustive"])
        self.assertGreater(result["reachable_states"], 50)
        for name in PROPERTIES:
            self.assertTrue(result["properties"][name]["holds"], name)

    def test_repeated_tokens_would_reach_the_caller(self) -> None:
        found = check(RepeatingAssembly)["properties"]["delivered_is_a_prefix"]
        self.assertIs(False, found["holds"])
        labels = [step["label"] for step in found["counterexample"][1:]]
        self.assertEqual(3, len(labels), labels)

    def test_a_gap_would_reach_the_caller(self) -> None:
        found = check(GapAcceptingAssembly)["properties"][
            "delivered_is_a_prefix"
        ]
        self.assertIs(False, found["holds"])
        labels = [step["label"] for step in found["counterexample"][1:]]
        self.assertEqual(["assign", "chunk 1-2 of 0"], labels)
