"""`waxwingctl quarantine`: inputs under which servers crash."""

import argparse
from datetime import UTC, datetime
from typing import Any, Final

from waxwingarch.const import EXIT_OK
from waxwingarch.tasks.quarantine_operations import (
    ADD_PATH,
    LIFT_PATH,
    QUARANTINE_PATH,
)
from waxwingctl.context import Context

STATE_HELD: Final = "held"
MS_PER_S: Final = 1000


def add_command(
    subparsers: Any, common_options: argparse.ArgumentParser
) -> None:
    """Add the subcommand and its arguments to the parser."""
    parser = subparsers.add_parser(
        "quarantine", help="show or change the quarantined parts and requests"
    )
    actions = parser.add_subparsers(
        dest="action", required=True, metavar="ACTION"
    )
    show = actions.add_parser(
        "list", parents=[common_options], help="list the quarantined inputs"
    )
    show.add_argument(
        "--all", action="store_true", help="list those that were released too"
    )
    show.set_defaults(run=async_list)
    add = actions.add_parser(
        "add", parents=[common_options], help="refuse requests with an input"
    )
    add.add_argument(
        "input",
        help="id of a prompt part, without the number of tokens, or key of a"
        " whole request, as the logs show it",
    )
    add.set_defaults(run=async_add)
    lift = actions.add_parser(
        "lift", parents=[common_options], help="serve an input again"
    )
    lift.add_argument("input", help="its key, as the list shows it")
    lift.set_defaults(run=async_lift)


async def async_list(args: argparse.Namespace, context: Context) -> int:
    """List the quarantined inputs, with `--all` all that the host knows."""
    data = await context.client.async_call("GET", QUARANTINE_PATH)
    inputs = [
        entry
        for entry in data["inputs"]
        if args.all or entry["state"] == STATE_HELD
    ]
    context.output.print_table(
        data | {"inputs": inputs},
        ("INPUT", "KIND", "STATE", "ORIGIN", "DECIDED", "LAST REQUEST"),
        [
            (
                entry["input"],
                entry["kind"],
                entry["state"],
                entry["origin"],
                _format_time(entry["decided_at_ms"]),
                _format_time(entry["last_seen_at_ms"]),
            )
            for entry in inputs
        ],
    )
    return EXIT_OK


async def async_add(args: argparse.Namespace, context: Context) -> int:
    """Quarantine an input; on one that is, this changes nothing."""
    data = await context.client.async_call(
        "POST", ADD_PATH, {"input": args.input}
    )
    done = "is quarantined" if data["changed"] else "was quarantined already"
    context.output.print_result(data, f"{data['kind']} {data['input']} {done}")
    return EXIT_OK


async def async_lift(args: argparse.Namespace, context: Context) -> int:
    """Lift the quarantine of an input, which is on probation from then on.

    The next daemon is asked if one doesn't know the input yet.
    """
    data = await context.client.async_call(
        "POST", LIFT_PATH, {"input": args.input}, try_all_daemons=True
    )
    done = "is released" if data["changed"] else "was released already"
    context.output.print_result(data, f"{data['kind']} {data['input']} {done}")
    return EXIT_OK


def _format_time(unix_ms: int) -> str:
    at = datetime.fromtimestamp(unix_ms / MS_PER_S, UTC)
    return at.isoformat(timespec="seconds")
