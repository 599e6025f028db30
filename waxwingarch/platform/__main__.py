"""Entry point of the daemon on the users' platform."""

import argparse
import asyncio
import os
import sys
from pathlib import Path
from typing import Final

from eliot import add_destinations

from waxwingarch.adapters.front_settings import (
    FrontSettings,
    read_front_settings,
)
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.log_stream import LogStream
from waxwingarch.const import EXIT_OK, EXIT_SETTINGS, VERSION
from waxwingarch.exceptions import SettingsError
from waxwingarch.front_daemon import FrontDaemon
from waxwingarch.platform.wiring import platform_ports
from waxwingarch.tasks.settings_watch import SettingsWatch

# The platform names the settings file in this variable.
SETTINGS_VARIABLE: Final = "WAXWINGARCH_CONFIG"


def main() -> int:
    """Run the daemon; returns the exit code."""
    args = _parser().parse_args()
    try:
        settings = read_front_settings(args.settings)
    except SettingsError as exc:
        print(exc, file=sys.stderr)  # noqa: T201
        return EXIT_SETTINGS
    if args.check:
        return EXIT_OK
    stream = LogStream(sys.stdout.fileno(), settings.log.lines_per_s)
    add_destinations(stream)
    watch = SettingsWatch(
        args.settings,
        settings,
        lambda fresh: stream.limit(fresh.log.lines_per_s),
    )
    return asyncio.run(_async_main(settings, watch))


async def _async_main(settings: FrontSettings, watch: SettingsWatch) -> int:
    client = HttpClient()
    ports = platform_ports(settings, client)
    return await FrontDaemon(settings, client, ports, watch).async_run()


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="waxwingarch.platform",
        description="Serve routed requests on the users' platform.",
    )
    default = os.environ.get(SETTINGS_VARIABLE)
    parser.add_argument(
        "--settings",
        type=Path,
        default=default,
        required=default is None,
        help=f"the INI file; {SETTINGS_VARIABLE} names it otherwise",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and end"
    )
    parser.add_argument("--version", action="version", version=VERSION)
    return parser


if __name__ == "__main__":
    sys.exit(main())
