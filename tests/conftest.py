"""Makes pytest show the cause of a failure in a testtools case."""

import sys
from collections.abc import Callable
from typing import Any

import pytest
from _pytest.unittest import TestCaseFunction


def _with_traceback(
    report: Callable[..., None],
) -> Callable[..., None]:
    """Give an exception without a traceback one, which pytest needs.

    testtools hands over failures as an exception made of text.
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
    """Wrap both ways in which a case reports a failure."""
    TestCaseFunction.addError = _with_traceback(TestCaseFunction.addError)
    TestCaseFunction.addFailure = _with_traceback(TestCaseFunction.addFailure)
