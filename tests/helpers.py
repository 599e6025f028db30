"""Helpers shared by the tests."""

import asyncio
import weakref
from collections.abc import Callable, Coroutine
from functools import wraps
from typing import Any

ASYNC_TEST_LIMIT_S = 60.0

_init_writer = asyncio.StreamWriter.__init__
_writers: weakref.WeakSet[asyncio.StreamWriter] = weakref.WeakSet()


def _init_and_note(
    writer: asyncio.StreamWriter, *args: Any, **kwargs: Any
) -> None:
    _init_writer(writer, *args, **kwargs)
    _writers.add(writer)


def note_stream_writers() -> None:
    """Note all stream writers, so that a test can tell which it left open."""
    asyncio.StreamWriter.__init__ = _init_and_note  # type: ignore[method-assign]


def _abort_open_writers() -> list[asyncio.StreamWriter]:
    """Abort and return the writers that this test has left open.

    On some versions of Python a writer is closed when it is collected, in a
    later test, and raises there as its loop has ended. None is kept for that
    test either: its check would fail for the writers of this one.
    """
    left_open = [w for w in _writers if not w.transport.is_closing()]
    _writers.clear()
    for writer in left_open:
        writer.transport.abort()
    return left_open


def async_test(
    body: Callable[..., Coroutine[Any, Any, None]],
) -> Callable[..., None]:
    """Decorate a coroutine test method to run in a new event loop.

    The test fails if it leaves a stream writer open.
    """

    async def async_run(*args: Any, **kwargs: Any) -> None:
        try:
            await asyncio.wait_for(body(*args, **kwargs), ASYNC_TEST_LIMIT_S)
        finally:
            left_open = _abort_open_writers()
        if left_open:
            peers = [w.get_extra_info("peername") for w in left_open]
            raise AssertionError(f"connections were left open: {peers}")

    @wraps(body)
    def run(*args: Any, **kwargs: Any) -> None:
        asyncio.run(async_run(*args, **kwargs))

    return run
