"""The command line of waxwingctl."""

import argparse
from pathlib import Path
from typing import Final

from waxwingarch.const import VERSION
from waxwingctl.commands import (
    check,
    contract,
    dump,
    explain,
    hosts,
    move,
    replay,
    servers,
)
from waxwingctl.output import Style

COMMANDS: Final = (
    check,
    contract,
    move,
    hosts,
    servers,
    explain,
    dump,
    replay,
)


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    parser = argparse.ArgumentParser(
        prog="waxwingctl",
        description="Operate waxwingarch: contracts, version moves, state.",
        epilog="Exit codes: docs/operators/errors.md.",
    )
    parser.add_argument("--version", action="version", version=VERSION)
    _add_common(parser, address=[], key_file=None, output=Style.TABLE.value)
    shared = argparse.ArgumentParser(add_help=False)
    # Also after the command; there a default would undo what came before.
    _add_common(
        shared,
        address=argparse.SUPPRESS,
        key_file=argparse.SUPPRESS,
        output=argparse.SUPPRESS,
    )
    subparsers = parser.add_subparsers(
        dest="command", required=True, metavar="COMMAND"
    )
    for command in COMMANDS:
        command.add_to(subparsers, shared)
    return parser


def _add_common(
    parser: argparse.ArgumentParser,
    *,
    address: object,
    key_file: object,
    output: object,
) -> None:
    group = parser.add_argument_group("daemons and output")
    group.add_argument(
        "--address",
        action="append",
        metavar="IP:PORT",
        default=address,
        help="admin address of a daemon; may be given again: the next is"
        " asked when one is down",
    )
    group.add_argument(
        "--key-file",
        type=Path,
        metavar="FILE",
        default=key_file,
        help="file with the operator key",
    )
    group.add_argument(
        "--output",
        choices=[style.value for style in Style],
        default=output,
        help="a table for people or JSON for programs",
    )
