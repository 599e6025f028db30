"""Context of a command: the daemons to call and the output."""

import argparse
import os
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from waxwingctl.client import AdminClient
from waxwingctl.errors import UsageError
from waxwingctl.output import Output, Style

ENV_KEY: Final = "WAXWINGCTL_KEY"
ENV_ADDRESS: Final = "WAXWINGCTL_ADDRESS"


@dataclass(frozen=True, kw_only=True, slots=True)
class Context:
    """The client of the daemons, and the output to print to."""

    client: AdminClient
    output: Output


Command = Callable[[argparse.Namespace, Context], Awaitable[int]]


def make_context(
    args: argparse.Namespace, environ: Mapping[str, str] = os.environ
) -> Context:
    """Return the context for the arguments and the environment."""
    addresses = args.address or environ.get(ENV_ADDRESS, "").split()
    for address in addresses:
        _check_address(address)
    key = (
        _read_key(args.key_file) if args.key_file else environ.get(ENV_KEY, "")
    )
    return Context(
        client=AdminClient(addresses, key),
        output=Output(style=Style(args.output)),
    )


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise UsageError(f"--address {address}: want IP:PORT")


def _read_key(path: Path) -> str:
    try:
        key = path.read_text().strip()
    except (OSError, UnicodeDecodeError) as exc:
        raise UsageError(
            f"--key-file {path}: cannot be read ({exc}); name the file that"
            " holds the operator key"
        ) from exc
    if not key.isascii() or not key.isprintable():
        raise UsageError(f"--key-file {path}: want the key alone, on one line")
    return key
