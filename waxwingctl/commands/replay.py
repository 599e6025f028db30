"""`waxwingctl replay`: run recorded traces through the core again."""

import argparse
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import TYPE_CHECKING, Any

from waxwingarch.const import EXIT_DIFFERS, EXIT_OK
from waxwingctl.context import Context

if TYPE_CHECKING:
    from waxwingarch.adapters.trace import Difference, Step


def add_to(subparsers: Any, shared: argparse.ArgumentParser) -> None:
    """Add the command."""
    parser = subparsers.add_parser(
        "replay",
        parents=[shared],
        help="replay recorded traces and compare what is decided",
    )
    parser.add_argument("traces", nargs="+", type=Path, metavar="TRACE")
    parser.set_defaults(run=async_replay)


class _Counted:
    """Counts the steps that pass through."""

    def __init__(self, steps: Iterable["Step"]) -> None:
        self._steps = steps
        self.count = 0

    def __iter__(self) -> Iterator["Step"]:
        for step in self._steps:
            self.count += 1
            yield step


async def async_replay(args: argparse.Namespace, context: Context) -> int:
    """Replay traces; 10 where one differs."""
    results = [_replayed(path) for path in args.traces]
    text = "\n".join(result["text"] for result in results)
    data = [{k: v for k, v in r.items() if k != "text"} for r in results]
    context.output.result(data, text)
    same = all(result["same"] for result in results)
    return EXIT_OK if same else EXIT_DIFFERS


def _replayed(path: Path) -> dict[str, Any]:
    # Here, as it loads all of the core, which no other command needs.
    from waxwingarch.adapters.trace import read_trace, replay

    header, steps = read_trace(path)
    counted = _Counted(steps)
    difference = replay(header, counted)
    result: dict[str, Any] = {
        "trace": str(path),
        "host": header.own.host_id,
        "steps": counted.count,
        "same": difference is None,
    }
    if difference is None:
        text = f"{path}: the same decisions in all {counted.count} steps"
        return result | {"text": text}
    return result | _difference(path, difference)


def _difference(path: Path, difference: "Difference") -> dict[str, Any]:
    from waxwingarch.adapters.trace import encode

    step = difference.step
    kind = type(step.event).__name__
    now = [type(action).__name__ for action in difference.actions]
    text = (
        f"{path}:{difference.line}: at {step.at:.3f} on {kind} this version"
        f" decides otherwise; now: {', '.join(now) or 'nothing'}"
    )
    if step.actions is not None:
        then = [type(action).__name__ for action in step.actions]
        text = f"{text}; recorded: {', '.join(then) or 'nothing'}"
    return {
        "line": difference.line,
        "event": encode(step.event),
        "actions": encode(difference.actions),
        "text": text,
    }
