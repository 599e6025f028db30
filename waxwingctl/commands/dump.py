"""`waxwingctl dump`: print the state of one daemon or of all named."""

import argparse
from typing import Any

from waxwingarch.const import EXIT_OK
from waxwingctl.context import Context
from waxwingctl.errors import NotFoundError


def add_command(
    subparsers: Any, common_options: argparse.ArgumentParser
) -> None:
    """Add the subcommand and its arguments to the parser."""
    parser = subparsers.add_parser(
        "dump",
        parents=[common_options],
        help="print the state of the daemons at --address, as JSON",
    )
    parser.add_argument("--host", metavar="HOST", help="only this host")
    parser.set_defaults(run=async_dump)


async def async_dump(args: argparse.Namespace, context: Context) -> int:
    """Print the state dump of one host, or of each daemon that responds."""
    answers = await context.client.async_call_all("/admin/dump")
    dumps = {a.body["host"]["host_id"]: a.body for a in answers}
    if args.host is None:
        context.output.print_json(list(dumps.values()))
        return EXIT_OK
    if args.host not in dumps:
        raise NotFoundError(
            f"no daemon that responds is host {args.host}; these do:"
            f" {', '.join(sorted(dumps))}; add its --address"
        )
    context.output.print_json(dumps[args.host])
    return EXIT_OK
