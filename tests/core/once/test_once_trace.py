"""Replay of the recorded traces of requests that run at most once."""

import json
from pathlib import Path

import testtools

from waxwingarch.core.once.once_trace import ReplayResult, replay_once

TRACES = Path(__file__).parents[3] / "traces"


def _lines(name: str) -> list[str]:
    return (TRACES / f"once_{name}.jsonl").read_text().splitlines()


class Traces(testtools.TestCase):
    def test_each_trace_replays_to_its_expected_outcome(self) -> None:
        paths = sorted(TRACES.glob("once_*.jsonl"))
        self.assertTrue(len(paths) >= 10)
        for path in paths:
            result = replay_once(path.read_text().splitlines())
            self.assertTrue(result.matches, f"{path.name}: {result}")

    def _replay_with_change(
        self, line: int, **changes: object
    ) -> ReplayResult:
        lines = _lines("plain")
        lines[line] = json.dumps({**json.loads(lines[line]), **changes})
        return replay_once(lines)

    def test_differing_outcome_is_reported(self) -> None:
        other = {"told": "answer", "dispatches": 2, "row": "done"}
        self.assertFalse(self._replay_with_change(0, outcome=other).matches)

    def test_differing_action_is_reported(self) -> None:
        result = self._replay_with_change(2, actions=[])
        self.assertEqual((3,), result.differing_lines)
