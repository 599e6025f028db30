"""`waxwingctl hosts`: the entry hosts, their state and revision."""

import argparse
from typing import Any

from waxwingarch.const import EXIT_OK
from waxwingctl.context import Context


def add_command(
    subparsers: Any, common_options: argparse.ArgumentParser
) -> None:
    """Add the subcommand and its arguments to the parser."""
    parser = subparsers.add_parser(
        "hosts", parents=[common_options], help="list the entry hosts"
    )
    parser.set_defaults(run=async_hosts)


async def async_hosts(args: argparse.Namespace, context: Context) -> int:
    """List the entry hosts with their state and applied revision."""
    data = await context.client.async_call("GET", "/admin/hosts")
    context.output.print_table(
        data,
        ("HOST", "STATE", "DRAINING", "FAILURE DOMAIN", "HTTP", "REVISION"),
        [
            (
                host["host_id"],
                host["state"],
                host["draining"],
                host["failure_domain"],
                host["http"],
                host["applied_revision"],
            )
            for host in data["hosts"]
        ],
    )
    return EXIT_OK
