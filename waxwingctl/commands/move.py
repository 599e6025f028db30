"""`waxwingctl move`: start, watch and roll back version moves."""

import argparse
import re
import time
import uuid
from datetime import UTC, datetime
from typing import Any, Final
from urllib.parse import quote

from waxwingarch.const import EXIT_OK, EXIT_OTHER_OUTCOME
from waxwingctl.context import Context
from waxwingctl.errors import UsageError
from waxwingctl.wait import async_wait_for_move

SECONDS_BY_UNIT: Final = {"s": 1, "m": 60, "h": 3600, "d": 86400}
RELATIVE_TIME: Final = re.compile(r"\+(\d+)([smhd])")
WAIT_AFTER_DEADLINE_S: Final = 120.0
TAKE_BACK_TIMEOUT_S: Final = 300.0
STATE_DONE: Final = "done"


def add_command(
    subparsers: Any, common_options: argparse.ArgumentParser
) -> None:
    """Add the subcommand and its arguments to the parser."""
    parser = subparsers.add_parser(
        "move", help="move a service to another version"
    )
    actions = parser.add_subparsers(
        dest="action", required=True, metavar="ACTION"
    )
    start = actions.add_parser(
        "start",
        parents=[common_options],
        help="start a move that has a deadline",
    )
    start.add_argument("service")
    start.add_argument("new_version", metavar="version")
    start.add_argument(
        "--by",
        required=True,
        metavar="TIME",
        help="deadline of the move: 2026-12-04T18:00+07:00, or +90m from now",
    )
    _add_wait_option(start, "wait until the move is done or taken back")
    start.set_defaults(run=async_start)
    status = actions.add_parser(
        "status", parents=[common_options], help="show one move, or all"
    )
    status.add_argument("move", nargs="?", help="its id or its service")
    status.set_defaults(run=async_status)
    take_back = actions.add_parser(
        "take-back",
        parents=[common_options],
        help="roll back to the old version",
    )
    take_back.add_argument("move", help="its id or its service")
    take_back.add_argument(
        "--reason", help="the reason, recorded with the move"
    )
    _add_wait_option(
        take_back, "wait until the old version serves all requests"
    )
    take_back.set_defaults(run=async_take_back)


def _add_wait_option(parser: argparse.ArgumentParser, text: str) -> None:
    parser.add_argument("--wait", action="store_true", help=text)


def parse_time(text: str, now_unix: float) -> float:
    """Return an absolute or relative time as Unix seconds."""
    relative = RELATIVE_TIME.fullmatch(text)
    if relative:
        return now_unix + int(relative[1]) * SECONDS_BY_UNIT[relative[2]]
    try:
        parsed = datetime.fromisoformat(text)
    except ValueError:
        parsed = None
    if parsed is None or parsed.tzinfo is None:
        raise UsageError(
            f"--by {text}: want a time with its zone, as in"
            " 2026-12-04T18:00+07:00, or one from now, as in +90m (s, m, h"
            " or d)"
        )
    return parsed.timestamp()


async def async_start(args: argparse.Namespace, context: Context) -> int:
    """Start a version move with a deadline."""
    now_unix = time.time()
    by_unix = parse_time(args.by, now_unix)
    if by_unix <= now_unix:
        raise UsageError(f"--by {args.by} has passed: name a later time")
    body = {
        "service": args.service,
        "version": args.new_version,
        "by_unix": by_unix,
        "move_id": f"move-{uuid.uuid4().hex[:8]}",
    }
    move = await context.client.async_call("POST", "/admin/moves", body)
    return await _async_report(
        args,
        context,
        move,
        by_unix - now_unix + WAIT_AFTER_DEADLINE_S,
        STATE_DONE,
    )


async def async_take_back(args: argparse.Namespace, context: Context) -> int:
    """Roll a move back to the old version."""
    body = {"reason": args.reason} if args.reason else {}
    path = f"/admin/moves/{quote(args.move, safe='')}/take-back"
    move = await context.client.async_call("POST", path, body)
    return await _async_report(
        args, context, move, TAKE_BACK_TIMEOUT_S, "taken back"
    )


async def _async_report(
    args: argparse.Namespace,
    context: Context,
    move: Any,
    timeout_s: float,
    expected_state: str,
) -> int:
    if not args.wait:
        context.output.print_result(move, move["explanation"])
        return EXIT_OK
    move = await async_wait_for_move(context, move["move_id"], timeout_s)
    context.output.print_result(move, move["explanation"])
    return EXIT_OK if move["state"] == expected_state else EXIT_OTHER_OUTCOME


async def async_status(args: argparse.Namespace, context: Context) -> int:
    """Print one move, or list the last one of each service."""
    if args.move:
        path = f"/admin/moves/{quote(args.move, safe='')}"
        move = await context.client.async_call("GET", path)
        context.output.print_result(move, move["explanation"])
        return EXIT_OK
    data = await context.client.async_call("GET", "/admin/moves")
    context.output.print_table(
        data,
        ("MOVE", "SERVICE", "FROM", "TO", "STATE", "SHARE", "BY"),
        [
            (
                move["move_id"],
                move["service"],
                move["old_version"],
                move["new_version"],
                move["state"],
                f"{move['share']:.0%}",
                _format_utc(move["deadline_unix"]),
            )
            for move in data["moves"]
        ],
    )
    return EXIT_OK


def _format_utc(unix: float) -> str:
    time_utc = datetime.fromtimestamp(unix, UTC)
    return time_utc.isoformat(timespec="seconds")
