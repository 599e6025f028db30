"""Makes pytest report the cause of a failure in a testtools case."""

import sys
from collections.abc import Callable
from typing import Any

import pytest
from _pytest.unittest import TestCaseFunction

from tests.helpers import note_stream_writers


def _with_traceback(
    report: Callable[..., None],
) -> Callable[..., None]:
    """Wrap `report` to add a missing traceback, which pytest needs.

    testtools reports a failure as an exception that holds the text and
    has no traceback.
    """

    def wrapped(self: Any, case: Any, info: Any) -> None:
        if isinstance(info, tuple) and info[1] is not None and not info[2]:
            try:
                raise info[1]
            except type(info[1]):
                info = sys.exc_info()
        report(self, case, info)

    return wrapped


@pytest.hookimpl
def pytest_configure() -> None:
    """Wrap the methods that report a failure; note stream writers."""
    note_stream_writers()
    TestCaseFunction.addError = _with_traceback(TestCaseFunction.addError)
    TestCaseFunction.addFailure = _with_traceback(TestCaseFunction.addFailure)
