"""Tests that replay recorded version moves and check their outcomes."""

import json
from pathlib import Path
from tempfile import TemporaryDirectory

from testtools import TestCase

from waxwingarch.adapters.move_trace import MoveReplay, load_trace
from waxwingarch.core.moves.move_record import MoveState
from waxwingarch.exceptions import SettingsError

TRACES = Path(__file__).parents[2] / "traces"
OUTCOMES = json.loads((TRACES / "move_outcomes.json").read_text())


class MoveReplayTest(TestCase):
    def test_every_trace_has_its_expected_outcome(self) -> None:
        self.assertEqual(
            sorted(OUTCOMES), sorted(p.name for p in TRACES.glob("move_*l"))
        )
        for name, expected in OUTCOMES.items():
            result = MoveReplay().run(load_trace(TRACES / name))
            assert result.record is not None
            self.assertEqual(expected["state"], result.record.state, name)
            outcome = result.record.outcome
            kind = outcome.kind if outcome else None
            self.assertEqual(expected["outcome"], kind, name)
            if expected["marked_by"] is None:
                self.assertIsNone(result.marked_at, name)
                continue
            assert result.marked_at is not None
            self.assertGreaterEqual(result.marked_at, expected["marked_from"])
            self.assertLessEqual(result.marked_at, expected["marked_by"])

    def test_replay_is_deterministic(self) -> None:
        lines = load_trace(TRACES / "move_bad_route.jsonl")
        first, second = MoveReplay().run(lines), MoveReplay().run(lines)
        self.assertEqual(first, second)
        self.assertEqual(
            [
                MoveState.PLANNED,
                MoveState.STARTING,
                MoveState.CANARY,
                MoveState.TAKING_BACK,
                MoveState.TAKEN_BACK,
            ],
            [state for _, state in first.states],
        )

    def test_error_names_the_invalid_line(self) -> None:
        with TemporaryDirectory() as directory:
            path = Path(directory) / "odd.jsonl"
            path.write_text('{"at": 1, "event": {"kind": "odd"}}\n')
            exc = self.assertRaises(SettingsError, load_trace, path)
        self.assertIn("line 1", str(exc))
