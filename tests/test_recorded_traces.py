"""Recorded traces of an entry host, against their stated outcomes."""

import json
from pathlib import Path

import testtools

from standins.trace_outcomes import outcomes_of
from waxwingarch.adapters.trace import read_trace, replay

TRACES = Path(__file__).parents[1] / "traces"
HOST_TRACE = TRACES / "host_under_failures.jsonl"


class HostUnderFailures(testtools.TestCase):
    """Engines silent, reclaimed and killed under streams; a claim."""

    def setUp(self) -> None:
        super().setUp()
        self.header, steps = read_trace(HOST_TRACE)
        self.steps = list(steps)
        stated = HOST_TRACE.with_suffix(".outcomes.json")
        self.stated = json.loads(stated.read_text())

    def test_same_actions_byte_for_byte(self) -> None:
        self.assertIsNone(replay(self.header, self.steps))

    def test_stated_outcomes(self) -> None:
        self.assertEqual(self.stated, outcomes_of(self.steps, self.header))

    def test_outcomes_keep_the_promises(self) -> None:
        answers = [r["answers"] for r in self.stated["requests"].values()]
        streams = [a[0] for a in answers if a[0].startswith("whole")]
        self.assertEqual(6, len(streams))
        self.assertTrue(all("40 tokens" in s for s in streams), streams)
        claims = [a for a in answers if not a[0].startswith("whole")]
        expected = [
            ["ran"],
            ["replayed"],
            ["refused, idempotency key conflict, not run"],
        ]
        self.assertEqual(expected, claims)
        leaving = self.stated["sent_to_leaving"]
        self.assertEqual([[]], list(leaving.values()))

    def test_a_changed_event_changes_the_outcome(self) -> None:
        """A replay that cannot differ would prove nothing."""
        kept = [s for s in self.steps if type(s.event).__name__ != "Tick"]
        self.assertIsNotNone(replay(self.header, kept))
