"""Carries out asynchronous actions of a front node in tasks."""

import asyncio
from collections.abc import Callable, Coroutine, Mapping
from functools import partial
from typing import Any, Final

from eliot import write_traceback

from waxwingarch.core.base import Action
from waxwingarch.tasks.runner import FrontRunner

CALL_TIMEOUT_S: Final = 1.0

Call = Callable[[Any], Coroutine[Any, Any, None]]


class ActionTasks:
    """Runs the call of each action in a task of its own.

    Unloading cancels the calls in progress.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def connect(
        self, runner: FrontRunner, calls: Mapping[type[Action], Call]
    ) -> None:
        """Register the calls for these kinds of actions."""
        for kind, call in calls.items():
            runner.connect(kind, partial(self._start, call))

    async def async_unload(self) -> None:
        """Cancel the calls in progress."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _deadline(self) -> float:
        """Return the deadline of a call that begins now."""
        return asyncio.get_running_loop().time() + CALL_TIMEOUT_S

    def _start(self, call: Call, action: Action) -> None:
        task = asyncio.create_task(call(action))
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)

    def _handle_task_end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        exc = None if task.cancelled() else task.exception()
        if exc is not None:
            write_traceback(exc_info=(type(exc), exc, exc.__traceback__))
