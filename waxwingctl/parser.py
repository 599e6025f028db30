"""Command-line parser of waxwingctl."""

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
    quarantine,
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
    quarantine,
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
    _add_common_options(
        parser, address=[], key_file=None, output=Style.TABLE.value
    )
    common_options = argparse.ArgumentParser(add_help=False)
    # The options are also accepted after the command. A default there
    # would overwrite a value that was given before the command.
    _add_common_options(
        common_options,
        address=argparse.SUPPRESS,
        key_file=argparse.SUPPRESS,
        output=argparse.SUPPRESS,
    )
    subparsers = parser.add_subparsers(
        dest="command", required=True, metavar="COMMAND"
    )
    for command in COMMANDS:
        command.add_command(subparsers, common_options)
    return parser


def _add_common_options(
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
        help="admin address of a daemon; repeat the option to name more,"
        " which are tried in turn when one is down",
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
        help="print a table for people or JSON for programs",
    )
