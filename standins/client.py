"""A caller of the entry hosts, for tests, the demo and measurements.

It follows the rules for callers: it resumes a stream that was cut off
through another entry host, with `Last-Event-ID`, and it retries after a
refusal only if `Retry-After` allows it. It appends each piece of text as it
arrives, so that a repeated or lost token shows in the result.
"""

import asyncio
import json
import uuid
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, Final

from standins.answers import chat_text, expected_tokens
from standins.sse import SseEvent, SseReader
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.http_connection import ClientStream
from waxwingarch.adapters.http_messages import (
    JSON_TYPE,
    Headers,
    json_body,
)
from waxwingarch.exceptions import LinkError

CHAT_PATH: Final = "/v1/chat/completions"
COMPLETIONS_PATH: Final = "/v1/completions"
IDLE_TIMEOUT_S: Final = 5.0
MAX_CONNECTIONS: Final = 8
RECONNECT_DELAY_S: Final = 0.1


@dataclass(frozen=True, kw_only=True, slots=True)
class CompletionRequest:
    """A completion request; `messages` are pairs `(role, content)`."""

    prompt: str = ""
    messages: tuple[tuple[str, str], ...] = ()
    max_tokens: int = 16
    stream: bool = True
    key: str = ""

    @property
    def path(self) -> str:
        """The path of the chat or the completions interface."""
        return CHAT_PATH if self.messages else COMPLETIONS_PATH

    def body(self) -> bytes:
        """Return the request body."""
        body: dict[str, Any] = {
            "model": "any",
            "max_tokens": self.max_tokens,
            "stream": self.stream,
        }
        if self.messages:
            body["messages"] = [
                {"role": role, "content": content}
                for role, content in self.messages
            ]
        else:
            body["prompt"] = self.prompt
        return json_body(body)

    def expected(self) -> str:
        """Return the complete text of the correct answer."""
        text = chat_text(self.messages) if self.messages else self.prompt
        return "".join(expected_tokens(text, self.max_tokens))


@dataclass(kw_only=True, slots=True)
class CallResult:
    """The result of a call; times are in seconds since its start.

    `status` is that of the last response, 0 if there was none. `whole` is
    set if the end of the answer arrived, `is_correct` if its text is also the
    expected one. `entries` are the entry hosts used, `links` the connection
    errors.
    """

    text: str = ""
    status: int = 0
    whole: bool = False
    is_correct: bool = False
    error: Any = None
    connections: int = 0
    refusals: int = 0
    last_event_id: str = ""
    first_token_s: float | None = None
    whole_s: float | None = None
    longest_gap_s: float = 0.0
    entries: list[str] = field(default_factory=list)
    links: list[str] = field(default_factory=list)


class Caller:
    """Calls through a list of entry hosts, beginning with the first.

    `silence_limit_s` is how long it waits for the next chunk.
    """

    def __init__(
        self,
        entries: Sequence[str],
        account_key: str = "",
        *,
        silence_limit_s: float = IDLE_TIMEOUT_S,
        max_connections: int = MAX_CONNECTIONS,
        http: HttpClient | None = None,
    ) -> None:
        self._entries = list(entries)
        self._account_key = account_key
        self._silence_limit_s = silence_limit_s
        self._max_connections = max_connections
        self._http = http or HttpClient()
        self._next_entry = 0

    async def async_ask(
        self, request: CompletionRequest, deadline: float
    ) -> CallResult:
        """Send a request and follow its answer to the end.

        `deadline` is on the loop's clock. Errors of entry hosts aren't raised
        but recorded in the result.
        """
        call = _CallState(request, asyncio.get_running_loop().time())
        result = call.result
        while (
            not call.is_finished and result.connections < self._max_connections
        ):
            entry = self._entries[self._next_entry % len(self._entries)]
            result.connections += 1
            result.entries.append(entry)
            wait_s = await self._async_try(call, entry, deadline)
            if call.is_finished:
                break
            self._next_entry += 1
            if asyncio.get_running_loop().time() + wait_s >= deadline:
                break
            await asyncio.sleep(wait_s)
        result.is_correct = result.whole and result.text == request.expected()
        return result

    async def _async_try(
        self, call: "_CallState", entry: str, deadline: float
    ) -> float:
        """Use one connection; return the seconds to wait before the next."""
        request = call.request
        try:
            async with self._http.async_stream(
                "POST",
                entry,
                request.path,
                deadline=min(deadline, self._idle_deadline()),
                headers=self._headers(call),
                body=request.body(),
            ) as stream:
                call.result.status = stream.status
                if stream.status != 200:
                    body = await stream.async_read_rest(self._idle_deadline())
                    return call.record_refusal(stream, body)
                if request.stream:
                    await self._async_follow(call, stream, deadline)
                else:
                    body = await stream.async_read_rest(deadline)
                    call.handle_unstreamed(json.loads(body), _now())
        except (LinkError, ValueError) as exc:
            call.result.links.append(f"{type(exc).__name__}: {exc}")
        return RECONNECT_DELAY_S

    async def _async_follow(
        self, call: "_CallState", stream: ClientStream, deadline: float
    ) -> None:
        reader = SseReader()
        while not call.is_finished:
            limit = min(deadline, self._idle_deadline())
            chunk = await stream.async_read(limit)
            if chunk is None:
                return
            for event in reader.feed(chunk):
                call.handle_event(event, _now())
        await stream.async_read_rest(min(deadline, self._idle_deadline()))

    def _idle_deadline(self) -> float:
        return _now() + self._silence_limit_s

    def _headers(self, call: "_CallState") -> Headers:
        headers = [JSON_TYPE, ("idempotency-key", call.key)]
        if self._account_key:
            headers.append(("authorization", f"Bearer {self._account_key}"))
        if call.result.last_event_id:
            headers.append(("last-event-id", call.result.last_event_id))
        return headers

    async def async_unload(self) -> None:
        """Close the idle connections."""
        await self._http.async_unload()


class _CallState:
    """The state of one call across its connections."""

    def __init__(self, request: CompletionRequest, started_at: float) -> None:
        self.request = request
        self.key = request.key or uuid.uuid4().hex
        self.result = CallResult()
        self.is_finished = False
        self._started_at = started_at
        self._last_text_at = started_at

    def record_refusal(self, stream: ClientStream, body: bytes) -> float:
        """Record a refusal and return the seconds to wait before a retry.

        Without `Retry-After` the call is finished.
        """
        self.result.refusals += 1
        try:
            self.result.error = json.loads(body).get("error")
        except (ValueError, AttributeError):
            self.result.error = body.decode(errors="replace")
        retry_after = stream.headers.get("retry-after")
        if retry_after is None:
            self.is_finished = True
            return 0.0
        return float(retry_after)

    def handle_event(self, event: SseEvent, now: float) -> None:
        """Handle one event of a stream."""
        if event.event_id:
            self.result.last_event_id = event.event_id
        if event.data == "[DONE]":
            self._finish(now)
            return
        data = json.loads(event.data)
        if data.get("error"):
            self.result.error = data["error"]
            self.is_finished = True
        text = _extract_text(data)
        if text:
            self._add_text(text, now)

    def handle_unstreamed(self, data: Any, now: float) -> None:
        """Handle an answer that was not streamed."""
        self._add_text(_extract_text(data), now)
        self._finish(now)

    def _add_text(self, text: str, now: float) -> None:
        result = self.result
        result.text += text
        if result.first_token_s is None:
            result.first_token_s = now - self._started_at
        else:
            gap_s = now - self._last_text_at
            result.longest_gap_s = max(result.longest_gap_s, gap_s)
        self._last_text_at = now

    def _finish(self, now: float) -> None:
        self.is_finished = True
        self.result.whole = True
        self.result.whole_s = now - self._started_at


def _now() -> float:
    return asyncio.get_running_loop().time()


def _extract_text(data: Any) -> str:
    """Return the text of a chunk in the engine's or the public format."""
    if "tokens" in data:
        return "".join(data["tokens"])
    if not data.get("choices"):
        return ""
    choice = data["choices"][0]
    part = choice.get("delta") or choice.get("message") or {}
    return str(choice.get("text") or part.get("content") or "")
