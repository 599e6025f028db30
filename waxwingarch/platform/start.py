"""Reads the settings and runs the daemon on the users' platform."""

import asyncio
import socket
import sys
from pathlib import Path

from eliot import add_destinations, add_global_fields

from waxwingarch.adapters.front_settings import (
    FrontSettings,
    read_front_settings,
)
from waxwingarch.adapters.held_bytes import HeldBytes
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.log_stream import LogStream
from waxwingarch.const import EXIT_OK, EXIT_SETTINGS
from waxwingarch.exceptions import SettingsError
from waxwingarch.front_daemon import FrontDaemon
from waxwingarch.platform.wiring import platform_ports
from waxwingarch.tasks.settings_watch import SettingsWatch


def run(path: Path, sock: socket.socket | None, *, check: bool) -> int:
    """Run the daemon or only check its settings; returns the exit code.

    `sock` is a socket that already listens for callers, or None where it
    could not be opened early.
    """
    try:
        settings = read_front_settings(path)
    except SettingsError as exc:
        print(exc, file=sys.stderr)  # noqa: T201
        return EXIT_SETTINGS
    if check:
        return EXIT_OK
    log = settings.log
    log_stream = LogStream(
        sys.stdout.fileno(), log.lines_per_s, level=log.level
    )
    add_destinations(log_stream)
    add_global_fields(host=settings.host.name)
    watch = SettingsWatch(
        path,
        settings,
        lambda new_settings: log_stream.configure(
            new_settings.log.lines_per_s, new_settings.log.level
        ),
    )
    return asyncio.run(_async_run(settings, watch, sock))


async def _async_run(
    settings: FrontSettings, watch: SettingsWatch, sock: socket.socket | None
) -> int:
    client = HttpClient(HeldBytes(settings.held_limit_bytes()))
    ports = platform_ports(settings, client)
    daemon = FrontDaemon(settings, client, ports, watch, sock)
    return await daemon.async_run()
