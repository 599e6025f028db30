"""Tests of the HTTP client on a connection that fails."""

import asyncio
import errno
from unittest import mock

import testtools

from tests.helpers import async_test
from waxwingarch.adapters.http_client import (
    CutLinkError,
    _ClientConnection,
    _CountingReader,
)

PATIENCE_S = 5.0


class LostConnection(testtools.TestCase):
    @async_test
    async def test_unanswered_keep_alive_ends_the_wait(self) -> None:
        """The socket's error was taken for the end of the time to wait.

        A caller that waits in steps then read again at once, and did so
        until its deadline without a pause. Each read added to the traceback
        of the same error, until the process was killed for its memory.
        """
        loop = asyncio.get_running_loop()
        reader = _CountingReader(loop=loop)
        reader.set_exception(TimeoutError(errno.ETIMEDOUT, "timed out"))
        conn = _ClientConnection("127.0.0.1:1", reader, mock.Mock())
        with testtools.ExpectedException(CutLinkError):
            await conn.async_head(loop.time() + PATIENCE_S)
