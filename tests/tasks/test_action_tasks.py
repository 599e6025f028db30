"""Tests of the tasks that carry out actions."""

import asyncio
from unittest.mock import patch

import testtools

from tests.front.base import async_until
from tests.helpers import async_test
from waxwingarch.core.base import Action
from waxwingarch.tasks import action_tasks


class FailedCalls(testtools.TestCase):
    # An error in a call left no line, and its outcome was never posted.
    @async_test
    async def test_error_in_a_call_is_logged(self) -> None:
        async def async_fail(action: Action) -> None:
            await asyncio.sleep(0)
            raise KeyError("handle")

        tasks = action_tasks.ActionTasks()
        with patch.object(action_tasks, "write_traceback") as logged:
            tasks._start(async_fail, Action())
            await async_until(lambda: logged.called, "the error is logged")
        kind = logged.call_args.kwargs["exc_info"][0]
        self.assertIs(KeyError, kind)
