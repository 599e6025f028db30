"""`waxwingctl servers`: the backend servers and their state."""

import argparse
from typing import Any

from waxwingarch.const import EXIT_OK
from waxwingctl.context import Context


def add_command(
    subparsers: Any, common_options: argparse.ArgumentParser
) -> None:
    """Add the subcommand and its arguments to the parser."""
    parser = subparsers.add_parser(
        "servers", parents=[common_options], help="list the backend servers"
    )
    parser.add_argument(
        "service", nargs="?", help="list only the servers of this service"
    )
    parser.set_defaults(run=async_servers)


async def async_servers(args: argparse.Namespace, context: Context) -> int:
    """List the backend servers, of one service where it is named."""
    data = await context.client.async_call("GET", "/admin/servers")
    servers = [
        server
        for server in data["servers"]
        if args.service in (None, server["service"])
    ]
    context.output.print_table(
        data | {"servers": servers},
        (
            "SERVER",
            "SERVICE",
            "VERSION",
            "STATE",
            "FAILURE DOMAIN",
            "CLASS",
            "RECLAIMABLE",
            "PRICE",
            "SLOTS",
        ),
        [
            (
                server["server_id"],
                server["service"],
                server["version"],
                server["state"],
                server["failure_domain"],
                server["machine_class"],
                server["reclaimable"],
                server["price"],
                server["slots"],
            )
            for server in servers
        ],
    )
    return EXIT_OK
