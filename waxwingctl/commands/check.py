"""`waxwingctl check`: validate settings and contracts offline."""

import argparse
from pathlib import Path
from typing import Any

from waxwingarch.adapters.contract_check import FIRST_TOKEN_FLOOR_MS
from waxwingarch.const import EXIT_OK
from waxwingctl.checking import CheckOptions, check_files
from waxwingctl.context import Context
from waxwingctl.errors import InvalidInputError


def add_command(
    subparsers: Any, common_options: argparse.ArgumentParser
) -> None:
    """Add the subcommand and its arguments to the parser."""
    parser = subparsers.add_parser(
        "check",
        parents=[common_options],
        help="check settings and contracts without calling a daemon",
    )
    parser.add_argument("files", nargs="+", type=Path, metavar="FILE")
    parser.add_argument(
        "--deployment", help="refuse files of another deployment"
    )
    parser.add_argument(
        "--servers",
        type=Path,
        metavar="FILE",
        help="hosts list of the platform (JSON): routes may only name its"
        " services",
    )
    parser.add_argument(
        "--first-token-floor-ms",
        type=float,
        default=FIRST_TOKEN_FLOOR_MS,
        metavar="MS",
        help="refuse first token targets below this, which no server can meet"
        " (%(default)s)",
    )
    parser.set_defaults(run=async_check)


async def async_check(args: argparse.Namespace, context: Context) -> int:
    """Check the files and list them; the problems go into the error."""
    options = CheckOptions(
        deployment=args.deployment,
        servers=args.servers,
        first_token_floor_ms=args.first_token_floor_ms,
    )
    report = check_files(args.files, options)
    if report.problems:
        raise InvalidInputError("\n".join(report.problems))
    data = [
        {"file": f.source, "kind": f.kind, "name": f.name}
        for f in report.files
    ]
    context.output.print_table(
        {"ok": True, "files": data},
        ("FILE", "IS", "OF"),
        [(f["file"], f["kind"], f["name"]) for f in data],
    )
    return EXIT_OK
