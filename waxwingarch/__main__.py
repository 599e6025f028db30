"""Entry point of waxwingarchd."""

import argparse
import asyncio
import sys
from pathlib import Path

from eliot import FileDestination, add_destinations

from waxwingarch.adapters.settings import Settings, read_settings
from waxwingarch.const import EXIT_OK, EXIT_SETTINGS, VERSION
from waxwingarch.daemon import Daemon
from waxwingarch.exceptions import SettingsError


def main() -> int:
    """Run the daemon and return its exit code."""
    args = _build_parser().parse_args()
    try:
        settings = read_settings(args.settings)
    except SettingsError as exc:
        print(exc, file=sys.stderr)  # noqa: T201
        return EXIT_SETTINGS
    if args.check:
        return EXIT_OK
    _set_up_logging(settings)
    return asyncio.run(_async_main(settings))


async def _async_main(settings: Settings) -> int:
    return await Daemon(settings).async_run()


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="waxwingarchd",
        description="Serve language models on reclaimable hosts.",
    )
    parser.add_argument(
        "--settings", type=Path, required=True, help="path of the INI file"
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.add_argument("--version", action="version", version=VERSION)
    return parser


def _set_up_logging(settings: Settings) -> None:
    name = settings.log.file
    log_file = open(name, "a", buffering=1) if name else sys.stderr  # noqa: SIM115
    add_destinations(FileDestination(file=log_file))


if __name__ == "__main__":
    sys.exit(main())
