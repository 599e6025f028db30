"""`waxwingctl hosts`: the entry hosts and what they have in force."""

import argparse
from typing import Any

from waxwingarch.const import EXIT_OK
from waxwingctl.context import Context


def add_to(subparsers: Any, shared: argparse.ArgumentParser) -> None:
    """Add the command."""
    parser = subparsers.add_parser(
        "hosts", parents=[shared], help="list the entry hosts"
    )
    parser.set_defaults(run=async_hosts)


async def async_hosts(args: argparse.Namespace, context: Context) -> int:
    """List the entry hosts."""
    data = await context.client.async_call("GET", "/admin/hosts")
    context.output.rows(
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
