"""Entry point of waxwingctl."""

import argparse
import asyncio
import os
import sys
from collections.abc import Sequence
from typing import Final

from waxwingarch.const import EXIT_FAILURE, EXIT_SETTINGS
from waxwingarch.exceptions import SettingsError, WaxwingError
from waxwingctl.context import Context, make_context
from waxwingctl.errors import CtlError
from waxwingctl.parser import build_parser

EXIT_INTERRUPTED: Final = 130
ENV_DEBUG: Final = "WAXWINGCTL_DEBUG"


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    args = build_parser().parse_args(argv)
    try:
        return asyncio.run(_async_main(args))
    except CtlError as exc:
        return _report_error(str(exc), exc.exit_code)
    except SettingsError as exc:
        return _report_error(str(exc), EXIT_SETTINGS)
    except WaxwingError as exc:
        return _report_error(str(exc), EXIT_FAILURE)
    except KeyboardInterrupt:
        return _report_error(
            "interrupted; what was begun goes on",
            EXIT_INTERRUPTED,
        )
    except BrokenPipeError:
        # The reader of standard output is gone. The interpreter's flush at
        # exit would print a second error, so it writes to devnull.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_FAILURE
    except Exception as exc:
        if os.environ.get(ENV_DEBUG):
            raise
        return _report_error(
            f"unexpected {type(exc).__name__}: {exc}; set {ENV_DEBUG}=1 to"
            " see where, and report it",
            EXIT_FAILURE,
        )


async def _async_main(args: argparse.Namespace) -> int:
    context = make_context(args)
    try:
        return await _async_command(args, context)
    finally:
        await context.client.async_unload()


async def _async_command(args: argparse.Namespace, context: Context) -> int:
    code: int = await args.run(args, context)
    return code


def _report_error(message: str, code: int) -> int:
    for line in message.splitlines():
        print(f"waxwingctl: {line}", file=sys.stderr)
    return code


if __name__ == "__main__":
    sys.exit(main())
