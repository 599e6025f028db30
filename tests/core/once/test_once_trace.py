"""Replays the recorded traces of requests that run at most once."""

import json
from pathlib import Path

import testtools

from waxwingarch.core.once.once_trace import Replayed, replay_once

TRACES = Path(__file__).parents[3] / "traces"


def _lines(name: str) -> list[str]:
    return (TRACES / f"once_{name}.jsonl").read_text().splitlines()


class Traces(testtools.TestCase):
    def test_each_ends_as_stated(self) -> None:
        paths = sorted(TRACES.glob("once_*.jsonl"))
        self.assertTrue(len(paths) >= 10)
        for path in paths:
            replayed = replay_once(path.read_text().splitlines())
            self.assertTrue(replayed.matches, f"{path.name}: {replayed}")

    def _changed(self, line: int, **changes: object) -> Replayed:
        lines = _lines("plain")
        lines[line] = json.dumps({**json.loads(lines[line]), **changes})
        return replay_once(lines)

    def test_another_outcome_is_told(self) -> None:
        other = {"told": "answer", "dispatches": 2, "row": "done"}
        self.assertFalse(self._changed(0, outcome=other).matches)

    def test_another_action_is_told(self) -> None:
        replayed = self._changed(2, actions=[])
        self.assertEqual((3,), replayed.differing_lines)
