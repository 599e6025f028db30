"""Errors of the command-line tool and their exit codes."""

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
    """Base class of the tool's errors; each message names a remedy."""

    exit_code = EXIT_FAILURE


class UsageError(CtlError):
    """The command line is incomplete or holds an invalid value."""

    exit_code = EXIT_USAGE


class InvalidInputError(CtlError):
    """A file or a request body failed validation."""

    exit_code = EXIT_SETTINGS


class ConcurrentChangeError(CtlError):
    """Another operator changed the same object first."""

    exit_code = EXIT_CONFLICT


class UnavailableError(CtlError):
    """No daemon answered, or the platform did not answer the daemon."""

    exit_code = EXIT_UNAVAILABLE


class NotFoundError(CtlError):
    """The named account, move, request or host does not exist."""

    exit_code = EXIT_NOT_FOUND


class WaitTimeoutError(CtlError):
    """The awaited state was not reached in time; it still may be."""

    exit_code = EXIT_WAIT_TIMED_OUT


class UnknownOperatorError(CtlError):
    """The daemon does not know the operator key."""

    exit_code = EXIT_UNKNOWN_OPERATOR


ERRORS_BY_HTTP_STATUS: Final[dict[int, type[CtlError]]] = {
    400: InvalidInputError,
    401: UnknownOperatorError,
    404: NotFoundError,
    409: ConcurrentChangeError,
    503: UnavailableError,
}
