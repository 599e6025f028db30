"""`waxwingctl quarantine`: prompt parts under which servers crash."""

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
        "quarantine", help="show or change the quarantined prompt parts"
    )
    actions = parser.add_subparsers(
        dest="action", required=True, metavar="ACTION"
    )
    show = actions.add_parser(
        "list", parents=[common_options], help="list the quarantined parts"
    )
    show.add_argument(
        "--all", action="store_true", help="list those that were released too"
    )
    show.set_defaults(run=async_list)
    add = actions.add_parser(
        "add", parents=[common_options], help="refuse requests with a part"
    )
    add.add_argument("part", help="its id, without the number of tokens")
    add.set_defaults(run=async_add)
    lift = actions.add_parser(
        "lift", parents=[common_options], help="serve a part again"
    )
    lift.add_argument("part", help="its id, as the list shows it")
    lift.set_defaults(run=async_lift)


async def async_list(args: argparse.Namespace, context: Context) -> int:
    """List the quarantined parts, with `--all` all that the host knows."""
    data = await context.client.async_call("GET", QUARANTINE_PATH)
    parts = [
        part
        for part in data["parts"]
        if args.all or part["state"] == STATE_HELD
    ]
    context.output.print_table(
        data | {"parts": parts},
        ("PART", "STATE", "ORIGIN", "DECIDED", "LAST REQUEST"),
        [
            (
                part["part"],
                part["state"],
                part["origin"],
                _format_time(part["decided_at_ms"]),
                _format_time(part["last_seen_at_ms"]),
            )
            for part in parts
        ],
    )
    return EXIT_OK


async def async_add(args: argparse.Namespace, context: Context) -> int:
    """Quarantine a part; on one that is, this changes nothing."""
    data = await context.client.async_call(
        "POST", ADD_PATH, {"part": args.part}
    )
    done = "is quarantined" if data["changed"] else "was quarantined already"
    context.output.print_result(data, f"part {data['part']} {done}")
    return EXIT_OK


async def async_lift(args: argparse.Namespace, context: Context) -> int:
    """Lift the quarantine of a part, which is on probation from then on.

    The next daemon is asked if one doesn't know the part yet.
    """
    data = await context.client.async_call(
        "POST", LIFT_PATH, {"part": args.part}, try_all_daemons=True
    )
    done = "is released" if data["changed"] else "was released already"
    context.output.print_result(data, f"part {data['part']} {done}")
    return EXIT_OK


def _format_time(unix_ms: int) -> str:
    at = datetime.fromtimestamp(unix_ms / MS_PER_S, UTC)
    return at.isoformat(timespec="seconds")
