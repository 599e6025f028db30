"""HTTP client of servers that repeat the id of a call in its answer."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, Final
from uuid import uuid4

from eliot import log_message

from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.http_connection import ClientStream, Headers
from waxwingarch.const import HEADER_CALL_ID
from waxwingarch.exceptions import LinkError

MAX_STRAY_ANSWERS: Final = 8


class UnmatchedAnswerError(LinkError):
    """An answer can't be told from another's; the request may have run."""


class MatchingClient(HttpClient):
    """Takes for the answer to a call only what can't be another's.

    Each call has an id of its own. An answer without an id is taken only as
    the first one on its connection, which is then closed, so that a server
    that repeats no ids gets each call on a new connection.
    """

    @asynccontextmanager
    async def async_stream(
        self,
        method: str,
        address: str,
        target: str,
        *,
        deadline: float,
        headers: Headers = (),
        **options: Any,
    ) -> AsyncIterator[ClientStream]:
        """Send a request and yield its response as a stream.

        Arguments and errors are those of `HttpClient.async_stream`. Raises
        `UnmatchedAnswerError` as well.
        """
        call_id = uuid4().hex
        async with super().async_stream(
            method,
            address,
            target,
            deadline=deadline,
            headers=[*headers, (HEADER_CALL_ID, call_id)],
            **options,
        ) as stream:
            yield await _async_find_answer(stream, address, call_id, deadline)


async def _async_find_answer(
    stream: ClientStream, address: str, call_id: str, deadline: float
) -> ClientStream:
    """Return the answer to a call; skip those to other calls."""
    loop = asyncio.get_running_loop()
    is_first = stream.on_new_connection
    for _ in range(MAX_STRAY_ANSWERS):
        answered_id = stream.headers.get(HEADER_CALL_ID)
        if answered_id == call_id:
            return stream
        if answered_id is None and is_first:
            stream.forbid_reuse()
            return stream
        log_message(
            message_type="answer_skipped",
            address=address,
            call_id=call_id,
            answers=answered_id,
            status=stream.status,
        )
        if answered_id is None:
            break
        is_first = False
        stream = await stream.async_next_response(
            deadline, lambda: deadline if loop.time() < deadline else None
        )
    raise UnmatchedAnswerError(
        f"{address}: an answer without the id of its call; have the server"
        f" repeat {HEADER_CALL_ID} in each"
    )
