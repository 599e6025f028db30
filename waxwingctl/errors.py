"""Errors of the command-line tool, each with its exit code."""

from typing import Final

from waxwingarch.const import (
    EXIT_CONFLICT,
    EXIT_FAILURE,
    EXIT_NOT_FOUND,
    EXIT_SETTINGS,
    EXIT_UNAVAILABLE,
    EXIT_UNKNOWN_OPERATOR,
    EXIT_USAGE,
    EXIT_WAIT_TIMED_OUT,
)
from waxwingarch.exceptions import WaxwingError


class CtlError(WaxwingError):
    """Root of the tool's errors; the message names the remedy."""

    exit_code = EXIT_FAILURE


class UsageError(CtlError):
    """The command line asks for something that cannot be."""

    exit_code = EXIT_USAGE


class RefusedError(CtlError):
    """A file or a value was refused."""

    exit_code = EXIT_SETTINGS


class RaceLostError(CtlError):
    """Someone else changed the same thing first."""

    exit_code = EXIT_CONFLICT


class UnavailableError(CtlError):
    """No daemon answered, or the platform did not answer the daemon."""

    exit_code = EXIT_UNAVAILABLE


class UnknownNameError(CtlError):
    """There is no such account, move, request or host."""

    exit_code = EXIT_NOT_FOUND


class WaitEndedError(CtlError):
    """What was waited for did not come in time; it may still come."""

    exit_code = EXIT_WAIT_TIMED_OUT


class UnknownOperatorError(CtlError):
    """The daemon does not know the operator key."""

    exit_code = EXIT_UNKNOWN_OPERATOR


BY_STATUS: Final[dict[int, type[CtlError]]] = {
    400: RefusedError,
    401: UnknownOperatorError,
    404: UnknownNameError,
    409: RaceLostError,
    503: UnavailableError,
}
