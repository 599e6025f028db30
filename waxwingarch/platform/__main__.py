"""Entry point of the daemon on the users' platform."""

import argparse
import os
import signal
import sys
from pathlib import Path
from typing import Final

from waxwingarch.adapters.early_socket import listen_early
from waxwingarch.const import VERSION

# The platform passes the path of the settings file in this variable.
SETTINGS_PATH_VARIABLE: Final = "WAXWINGARCH_CONFIG"


def main() -> int:
    """Run the daemon and return its exit code."""
    # The daemon reloads its settings on SIGHUP once it runs. Until then the
    # signal would end the process; the settings are still to be read.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    args = _build_parser().parse_args()
    sock = None if args.check else listen_early(args.settings)
    # This import takes most of the startup time. The socket listens before
    # it, so that callers can already connect.
    from waxwingarch.platform.start import run

    return run(args.settings, sock, check=args.check)


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="waxwingarch.platform",
        description="Serve routed requests on the users' platform.",
    )
    default = os.environ.get(SETTINGS_PATH_VARIABLE)
    parser.add_argument(
        "--settings",
        type=Path,
        default=default and Path(default),
        required=default is None,
        help=f"path of the INI file; defaults to ${SETTINGS_PATH_VARIABLE}",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.add_argument("--version", action="version", version=VERSION)
    return parser


if __name__ == "__main__":
    sys.exit(main())
