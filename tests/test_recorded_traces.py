"""Replays a recorded entry host trace and checks its stored outcomes."""

import json
from pathlib import Path

import testtools

from standins.trace_outcomes import outcomes_of
from waxwingarch.adapters.trace import read_trace, replay

TRACES = Path(__file__).parents[1] / "traces"
HOST_TRACE = TRACES / "host_under_failures.jsonl"


class RecordedHostTrace(testtools.TestCase):
    """Trace of a host whose engines go silent, are reclaimed and are killed.

    It has streams during each of these faults, and idempotent requests.
    """

    def setUp(self) -> None:
        super().setUp()
        self.header, steps = read_trace(HOST_TRACE)
        self.steps = list(steps)
        expected_outcomes = HOST_TRACE.with_suffix(".outcomes.json")
        self.expected_outcomes = json.loads(expected_outcomes.read_text())

    def test_replay_gives_the_same_actions(self) -> None:
        self.assertIsNone(replay(self.header, self.steps))

    def test_outcomes_are_as_recorded(self) -> None:
        self.assertEqual(
            self.expected_outcomes, outcomes_of(self.steps, self.header)
        )

    def test_outcomes_meet_the_guarantees(self) -> None:
        answers = [
            r["answers"] for r in self.expected_outcomes["requests"].values()
        ]
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
        sent_to_leaving = self.expected_outcomes["sent_to_leaving"]
        self.assertEqual([[]], list(sent_to_leaving.values()))

    def test_missing_events_change_the_replay(self) -> None:
        """Guards against a replay that reports no difference for any input."""
        kept = [s for s in self.steps if type(s.event).__name__ != "Tick"]
        self.assertIsNotNone(replay(self.header, kept))
