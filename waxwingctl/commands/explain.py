"""`waxwingctl explain`: the history of a request or a version move."""

import argparse
from typing import Any, Final
from urllib.parse import quote

from waxwingarch.const import EXIT_OK
from waxwingctl.context import Context
from waxwingctl.errors import NotFoundError
from waxwingctl.logs import read_log_lines, select_request_lines
from waxwingctl.output import format_table

HIDDEN_FIELDS: Final = frozenset(
    {
        "timestamp",
        "source",
        "message_type",
        "task_uuid",
        "task_level",
        "request_id",
    }
)


def add_command(
    subparsers: Any, common_options: argparse.ArgumentParser
) -> None:
    """Add the subcommand and its arguments to the parser."""
    parser = subparsers.add_parser(
        "explain",
        parents=[common_options],
        help="print the history of a request or a move",
    )
    parser.add_argument(
        "name",
        metavar="REQUEST|MOVE",
        help="the x-request-id of a response, or a move's id or service",
    )
    parser.add_argument(
        "--log",
        metavar="FILE",
        action="append",
        default=[],
        help="read log files instead of asking a daemon; - is standard input",
    )
    parser.set_defaults(run=async_explain)


async def async_explain(args: argparse.Namespace, context: Context) -> int:
    """Print the history of a request or a move."""
    if args.log:
        return _explain_from_logs(args, context)
    path = f"/admin/explain/{quote(args.name, safe='')}"
    data = await context.client.async_call("GET", path, try_all_daemons=True)
    is_request = data["kind"] == "request"
    text = format_request(data) if is_request else data["explanation"]
    context.output.print_result(data, text)
    return EXIT_OK


def _explain_from_logs(args: argparse.Namespace, context: Context) -> int:
    lines = select_request_lines(args.name, read_log_lines(args.log))
    if not lines:
        raise NotFoundError(
            f"no line of {args.name} in {', '.join(args.log)}; give the logs"
            " of all hosts, of the time of the request"
        )
    context.output.print_result(lines, format_log_lines(lines))
    return EXIT_OK


def format_log_lines(lines: list[dict[str, Any]]) -> str:
    """Return log lines as a table, with times relative to the first."""
    start_s = lines[0].get("timestamp", 0.0)
    rows = [
        (
            f"{line.get('timestamp', start_s) - start_s:.3f}",
            line["source"],
            line.get("message_type", ""),
            " ".join(
                f"{key}={value}"
                for key, value in line.items()
                if key not in HIDDEN_FIELDS and value is not None
            ),
        )
        for line in lines
    ]
    return format_table(("SECONDS", "LOG", "WHAT", "DETAILS"), rows)


def format_request(data: Any) -> str:
    """Return the outcome, attempts and steps of a request as text."""
    lines = [
        f"request {data['request_id']}: {data['outcome']}",
        f"  {data['method']} {data['path']} of {data['account']}"
        f" to {data['service']}, route {data['route']}"
        f"{', at most once' if data['non_idempotent'] else ''}",
        f"  allowed {data['allowed_s']:g} s, {_format_times(data)}",
        f"  {data['attempts']} attempts, {data['losses']} lost,"
        f" {data['resumes']} resumed, {data['tokens']} tokens",
    ]
    refusal = data["refusal"]
    if refusal:
        lines.append(f"  {refusal['ran']}: {refusal['message']}")
    rows = [
        (f"{step['at_s']:.3f}", step["what"], step["server_id"])
        for step in data["steps"]
    ]
    lines.append(format_table(("SECONDS", "WHAT", "SERVER"), rows))
    if data["steps_left_out"]:
        lines.append(f"({data['steps_left_out']} more steps were not kept)")
    return "\n".join(lines)


def _format_times(data: Any) -> str:
    parts = []
    if data["first_token_s"] is not None:
        parts.append(f"first token after {data['first_token_s']:.3f} s")
    if data["whole_s"] is not None:
        parts.append(f"ended after {data['whole_s']:.3f} s")
    return ", ".join(parts) or "still going"
