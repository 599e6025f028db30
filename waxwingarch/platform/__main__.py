"""Entry point of the daemon on the users' platform."""

import argparse
import os
import sys
from pathlib import Path
from typing import Final

from waxwingarch.adapters.early_socket import listen_early
from waxwingarch.const import VERSION

# The platform names the settings file in this variable.
SETTINGS_VARIABLE: Final = "WAXWINGARCH_CONFIG"


def main() -> int:
    """Run the daemon; returns the exit code."""
    args = _parser().parse_args()
    sock = None if args.check else listen_early(args.settings)
    # Imported only now: callers can connect while this takes its time.
    from waxwingarch.platform.start import run

    return run(args.settings, sock, check=args.check)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="waxwingarch.platform",
        description="Serve routed requests on the users' platform.",
    )
    default = os.environ.get(SETTINGS_VARIABLE)
    parser.add_argument(
        "--settings",
        type=Path,
        default=default and Path(default),
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
