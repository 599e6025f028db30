"""`waxwingctl servers`: the backend servers."""

import argparse
from typing import Any

from waxwingarch.const import EXIT_OK
from waxwingctl.context import Context


def add_to(subparsers: Any, shared: argparse.ArgumentParser) -> None:
    """Add the command."""
    parser = subparsers.add_parser(
        "servers", parents=[shared], help="list the backend servers"
    )
    parser.add_argument(
        "service", nargs="?", help="only those of this service"
    )
    parser.set_defaults(run=async_servers)


async def async_servers(args: argparse.Namespace, context: Context) -> int:
    """List the backend servers."""
    data = await context.client.async_call("GET", "/admin/servers")
    servers = [
        server
        for server in data["servers"]
        if args.service in (None, server["service"])
    ]
    context.output.rows(
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
