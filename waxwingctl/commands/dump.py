"""`waxwingctl dump`: the state of one daemon, or of all named ones."""

import argparse
from typing import Any

from waxwingarch.const import EXIT_OK
from waxwingctl.context import Context
from waxwingctl.errors import UnknownNameError


def add_to(subparsers: Any, shared: argparse.ArgumentParser) -> None:
    """Add the command."""
    parser = subparsers.add_parser(
        "dump",
        parents=[shared],
        help="print the state of the daemons at --address, as JSON",
    )
    parser.add_argument("--host", metavar="HOST", help="only this host")
    parser.set_defaults(run=async_dump)


async def async_dump(args: argparse.Namespace, context: Context) -> int:
    """Print state dumps."""
    answers = await context.client.async_call_all("/admin/dump")
    dumps = {a.body["host"]["host_id"]: a.body for a in answers}
    if args.host is None:
        context.output.json(list(dumps.values()))
        return EXIT_OK
    if args.host not in dumps:
        raise UnknownNameError(
            f"none of the daemons that answer is {args.host}; they are:"
            f" {', '.join(sorted(dumps))}; add its --address"
        )
    context.output.json(dumps[args.host])
    return EXIT_OK
