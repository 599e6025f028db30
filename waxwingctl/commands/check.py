"""`waxwingctl check`: settings and contracts, offline."""

import argparse
from pathlib import Path
from typing import Any

from waxwingarch.adapters.contract_check import FIRST_TOKEN_FLOOR_MS
from waxwingarch.const import EXIT_OK
from waxwingctl.checking import CheckOptions, check_files
from waxwingctl.context import Context
from waxwingctl.errors import RefusedError


def add_to(subparsers: Any, shared: argparse.ArgumentParser) -> None:
    """Add the command."""
    parser = subparsers.add_parser(
        "check",
        parents=[shared],
        help="check settings and contracts, without any daemon",
    )
    parser.add_argument("files", nargs="+", type=Path, metavar="FILE")
    parser.add_argument(
        "--deployment", help="refuse files that are of another deployment"
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
        help="refuse targets that no server can meet (%(default)s)",
    )
    parser.set_defaults(run=async_check)


async def async_check(args: argparse.Namespace, context: Context) -> int:
    """Check files."""
    options = CheckOptions(
        deployment=args.deployment,
        servers=args.servers,
        first_token_floor_ms=args.first_token_floor_ms,
    )
    report = check_files(args.files, options)
    if report.problems:
        raise RefusedError("\n".join(report.problems))
    data = [
        {"file": f.source, "kind": f.kind, "name": f.name}
        for f in report.files
    ]
    context.output.rows(
        {"ok": True, "files": data},
        ("FILE", "IS", "OF"),
        [(f["file"], f["kind"], f["name"]) for f in data],
    )
    return EXIT_OK
