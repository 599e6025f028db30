"""`waxwingctl move`: start, follow and take back version moves."""

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
from waxwingctl.wait import async_wait_move

UNIT_S: Final = {"s": 1, "m": 60, "h": 3600, "d": 86400}
RELATIVE: Final = re.compile(r"\+(\d+)([smhd])")
AFTER_DEADLINE_S: Final = 120.0
TAKE_BACK_LIMIT_S: Final = 300.0
DONE: Final = "done"


def add_to(subparsers: Any, shared: argparse.ArgumentParser) -> None:
    """Add the command."""
    parser = subparsers.add_parser(
        "move", help="move a service to another version"
    )
    actions = parser.add_subparsers(
        dest="action", required=True, metavar="ACTION"
    )
    start = actions.add_parser(
        "start", parents=[shared], help="start a move, with its deadline"
    )
    start.add_argument("service")
    start.add_argument("new_version", metavar="version")
    start.add_argument(
        "--by",
        required=True,
        metavar="TIME",
        help="when it must be done: 2026-12-04T18:00+07:00, or +90m from now",
    )
    _add_wait(start, "wait until it is done or taken back")
    start.set_defaults(run=async_start)
    status = actions.add_parser(
        "status", parents=[shared], help="show one move, or all"
    )
    status.add_argument("move", nargs="?", help="its id or its service")
    status.set_defaults(run=async_status)
    back = actions.add_parser(
        "take-back", parents=[shared], help="go back to the old version"
    )
    back.add_argument("move", help="its id or its service")
    back.add_argument("--reason", help="why, for those who ask later")
    _add_wait(back, "wait until the old version has all requests")
    back.set_defaults(run=async_take_back)


def _add_wait(parser: argparse.ArgumentParser, text: str) -> None:
    parser.add_argument("--wait", action="store_true", help=text)


def parse_time(text: str, now: float) -> float:
    """Return a time given by an operator, in Unix seconds."""
    relative = RELATIVE.fullmatch(text)
    if relative:
        return now + int(relative[1]) * UNIT_S[relative[2]]
    try:
        moment = datetime.fromisoformat(text)
    except ValueError:
        moment = None
    if moment is None or moment.tzinfo is None:
        raise UsageError(
            f"--by {text}: want a time with its zone, as in"
            " 2026-12-04T18:00+07:00, or one from now, as in +90m (s, m, h"
            " or d)"
        )
    return moment.timestamp()


async def async_start(args: argparse.Namespace, context: Context) -> int:
    """Start a move."""
    now = time.time()
    by_unix = parse_time(args.by, now)
    if by_unix <= now:
        raise UsageError(f"--by {args.by} has passed: name a later time")
    body = {
        "service": args.service,
        "version": args.new_version,
        "by_unix": by_unix,
        "move_id": f"move-{uuid.uuid4().hex[:8]}",
    }
    move = await context.client.async_call("POST", "/admin/moves", body)
    return await _async_follow(
        args, context, move, by_unix - now + AFTER_DEADLINE_S, DONE
    )


async def async_take_back(args: argparse.Namespace, context: Context) -> int:
    """Take a move back."""
    body = {"reason": args.reason} if args.reason else {}
    path = f"/admin/moves/{quote(args.move, safe='')}/take-back"
    move = await context.client.async_call("POST", path, body)
    return await _async_follow(
        args, context, move, TAKE_BACK_LIMIT_S, "taken back"
    )


async def _async_follow(
    args: argparse.Namespace,
    context: Context,
    move: Any,
    limit_s: float,
    wanted: str,
) -> int:
    if not args.wait:
        context.output.result(move, move["explanation"])
        return EXIT_OK
    move = await async_wait_move(context, move["move_id"], limit_s)
    context.output.result(move, move["explanation"])
    return EXIT_OK if move["state"] == wanted else EXIT_OTHER_OUTCOME


async def async_status(args: argparse.Namespace, context: Context) -> int:
    """Show one move, or the last one of each service."""
    if args.move:
        path = f"/admin/moves/{quote(args.move, safe='')}"
        move = await context.client.async_call("GET", path)
        context.output.result(move, move["explanation"])
        return EXIT_OK
    data = await context.client.async_call("GET", "/admin/moves")
    context.output.rows(
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
                _utc(move["deadline_unix"]),
            )
            for move in data["moves"]
        ],
    )
    return EXIT_OK


def _utc(unix: float) -> str:
    moment = datetime.fromtimestamp(unix, UTC)
    return moment.isoformat(timespec="seconds")
