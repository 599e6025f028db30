"""`waxwingctl replay`: run recorded traces through the core."""

import argparse
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import TYPE_CHECKING, Any

from waxwingarch.const import EXIT_DIFFERS, EXIT_OK
from waxwingctl.context import Context

if TYPE_CHECKING:
    from waxwingarch.adapters.trace import Difference, Step


def add_command(
    subparsers: Any, common_options: argparse.ArgumentParser
) -> None:
    """Add the subcommand and its arguments to the parser."""
    parser = subparsers.add_parser(
        "replay",
        parents=[common_options],
        help="replay recorded traces and compare the decisions",
    )
    parser.add_argument("traces", nargs="+", type=Path, metavar="TRACE")
    parser.set_defaults(run=async_replay)


class _StepCounter:
    """Iterates over steps and counts them."""

    def __init__(self, steps: Iterable["Step"]) -> None:
        self._steps = steps
        self.count = 0

    def __iter__(self) -> Iterator["Step"]:
        for step in self._steps:
            self.count += 1
            yield step


async def async_replay(args: argparse.Namespace, context: Context) -> int:
    """Replay traces; returns `EXIT_DIFFERS` where a decision differs."""
    results = [_replay_trace(path) for path in args.traces]
    text = "\n".join(result["text"] for result in results)
    data = [{k: v for k, v in r.items() if k != "text"} for r in results]
    context.output.print_result(data, text)
    all_same = all(result["same"] for result in results)
    return EXIT_OK if all_same else EXIT_DIFFERS


def _replay_trace(path: Path) -> dict[str, Any]:
    # Imported here because it loads the whole core, which no other
    # command needs.
    from waxwingarch.adapters.trace import read_trace, replay

    header, steps = read_trace(path)
    counter = _StepCounter(steps)
    difference = replay(header, counter)
    result: dict[str, Any] = {
        "trace": str(path),
        "host": header.own.host_id,
        "steps": counter.count,
        "same": difference is None,
    }
    if difference is None:
        text = f"{path}: the same decisions in all {counter.count} steps"
        return result | {"text": text}
    return result | _describe_difference(path, difference)


def _describe_difference(
    path: Path, difference: "Difference"
) -> dict[str, Any]:
    from waxwingarch.adapters.trace import encode

    step = difference.step
    event_name = type(step.event).__name__
    new_names = [type(action).__name__ for action in difference.actions]
    text = (
        f"{path}:{difference.line}: at {step.at:.3f} on {event_name} this"
        f" version decides otherwise; now: {', '.join(new_names) or 'nothing'}"
    )
    if step.actions is not None:
        recorded_names = [type(action).__name__ for action in step.actions]
        text = f"{text}; recorded: {', '.join(recorded_names) or 'nothing'}"
    return {
        "line": difference.line,
        "event": encode(step.event),
        "actions": encode(difference.actions),
        "text": text,
    }
