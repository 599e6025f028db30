"""Helpers shared by the tests."""

import asyncio
from collections.abc import Callable, Coroutine
from functools import wraps
from typing import Any

ASYNC_TEST_LIMIT_S = 60.0


def async_test(
    body: Callable[..., Coroutine[Any, Any, None]],
) -> Callable[..., None]:
    """Decorate a coroutine test method to run in a new event loop."""

    @wraps(body)
    def run(*args: Any, **kwargs: Any) -> None:
        asyncio.run(
            asyncio.wait_for(body(*args, **kwargs), ASYNC_TEST_LIMIT_S)
        )

    return run
