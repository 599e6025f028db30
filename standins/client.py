"""A caller of the entry hosts, for tests, the demo and measurements.

It does what a caller is told to do: go on with `Last-Event-ID` through
another entry host when a stream is cut, and come back after a refusal
only when `Retry-After` says so. It joins what it gets as it comes, so
that a repeated or lost token shows.
"""

import asyncio
import json
import uuid
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, Final

from standins.answers import chat_text, expected_tokens
from standins.sse import SseEvent, SseReader
from waxwingarch.adapters.http_client import ClientStream, HttpClient
from waxwingarch.adapters.http_messages import (
    JSON_TYPE,
    Headers,
    json_body,
)
from waxwingarch.exceptions import LinkError

CHAT_PATH: Final = "/v1/chat/completions"
COMPLETIONS_PATH: Final = "/v1/completions"
SILENCE_LIMIT_S: Final = 5.0
MAX_CONNECTIONS: Final = 8
RECONNECT_S: Final = 0.1


@dataclass(frozen=True, kw_only=True, slots=True)
class Ask:
    """A completion to ask for; `messages` are `(role, content)`."""

    prompt: str = ""
    messages: tuple[tuple[str, str], ...] = ()
    max_tokens: int = 16
    stream: bool = True
    key: str = ""

    @property
    def path(self) -> str:
        """Return the path of the usual interface."""
        return CHAT_PATH if self.messages else COMPLETIONS_PATH

    def body(self) -> bytes:
        """Return the body to send."""
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
        """Return the text of the whole, right answer."""
        text = chat_text(self.messages) if self.messages else self.prompt
        return "".join(expected_tokens(text, self.max_tokens))


@dataclass(kw_only=True, slots=True)
class Answer:
    """What came back; times are seconds after the call began.

    `status` is that of the last answer, 0 where none came; `whole` says
    that the end was seen, `right` that the text is the expected one.
    """

    text: str = ""
    status: int = 0
    whole: bool = False
    right: bool = False
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

    `silence_limit_s` is how long it waits for the next piece.
    """

    def __init__(
        self,
        entries: Sequence[str],
        account_key: str = "",
        *,
        silence_limit_s: float = SILENCE_LIMIT_S,
        max_connections: int = MAX_CONNECTIONS,
        http: HttpClient | None = None,
    ) -> None:
        self._entries = list(entries)
        self._account_key = account_key
        self._silence_limit_s = silence_limit_s
        self._max_connections = max_connections
        self._http = http or HttpClient()
        self._next = 0

    async def async_ask(self, ask: Ask, deadline: float) -> Answer:
        """Ask and follow the answer to its end; `deadline` is loop time.

        Never raises for what entry hosts do: see `Answer`.
        """
        call = _Call(ask, asyncio.get_running_loop().time())
        answer = call.answer
        while not call.over and answer.connections < self._max_connections:
            entry = self._entries[self._next % len(self._entries)]
            answer.connections += 1
            answer.entries.append(entry)
            wait_s = await self._async_try(call, entry, deadline)
            if call.over:
                break
            self._next += 1
            if asyncio.get_running_loop().time() + wait_s >= deadline:
                break
            await asyncio.sleep(wait_s)
        answer.right = answer.whole and answer.text == ask.expected()
        return answer

    async def _async_try(
        self, call: "_Call", entry: str, deadline: float
    ) -> float:
        """Use one connection; returns the seconds to wait for the next."""
        ask = call.ask
        try:
            async with self._http.async_stream(
                "POST",
                entry,
                ask.path,
                deadline=min(deadline, self._silence_at()),
                headers=self._headers(call),
                body=ask.body(),
            ) as stream:
                call.answer.status = stream.status
                if stream.status != 200:
                    body = await stream.async_read_rest(self._silence_at())
                    return call.refused(stream, body)
                if ask.stream:
                    await self._async_follow(call, stream, deadline)
                else:
                    body = await stream.async_read_rest(deadline)
                    call.take_whole(json.loads(body), _now())
        except (LinkError, ValueError) as exc:
            call.answer.links.append(f"{type(exc).__name__}: {exc}")
        return RECONNECT_S

    async def _async_follow(
        self, call: "_Call", stream: ClientStream, deadline: float
    ) -> None:
        reader = SseReader()
        while not call.over:
            limit = min(deadline, self._silence_at())
            piece = await stream.async_read(limit)
            if piece is None:
                return
            for event in reader.feed(piece):
                call.take_event(event, _now())
        await stream.async_read_rest(min(deadline, self._silence_at()))

    def _silence_at(self) -> float:
        return _now() + self._silence_limit_s

    def _headers(self, call: "_Call") -> Headers:
        headers = [JSON_TYPE, ("idempotency-key", call.key)]
        if self._account_key:
            headers.append(("authorization", f"Bearer {self._account_key}"))
        if call.answer.last_event_id:
            headers.append(("last-event-id", call.answer.last_event_id))
        return headers

    async def async_unload(self) -> None:
        """Close the idle connections."""
        await self._http.async_unload()


class _Call:
    """One call under way."""

    def __init__(self, ask: Ask, began: float) -> None:
        self.ask = ask
        self.key = ask.key or uuid.uuid4().hex
        self.answer = Answer()
        self.over = False
        self._began = began
        self._last = began

    def refused(self, stream: ClientStream, body: bytes) -> float:
        """Take a refusal; returns when to come back, if at all."""
        self.answer.refusals += 1
        try:
            self.answer.error = json.loads(body).get("error")
        except (ValueError, AttributeError):
            self.answer.error = body.decode(errors="replace")
        after = stream.headers.get("retry-after")
        if after is None:
            self.over = True
            return 0.0
        return float(after)

    def take_event(self, event: SseEvent, now: float) -> None:
        """Take one event of a stream."""
        if event.event_id:
            self.answer.last_event_id = event.event_id
        if event.data == "[DONE]":
            self._finish(now)
            return
        data = json.loads(event.data)
        if data.get("error"):
            self.answer.error = data["error"]
            self.over = True
        text = _text_of(data)
        if text:
            self._take_text(text, now)

    def take_whole(self, data: Any, now: float) -> None:
        """Take an answer that was not streamed."""
        self._take_text(_text_of(data), now)
        self._finish(now)

    def _take_text(self, text: str, now: float) -> None:
        answer = self.answer
        answer.text += text
        if answer.first_token_s is None:
            answer.first_token_s = now - self._began
        else:
            gap_s = now - self._last
            answer.longest_gap_s = max(answer.longest_gap_s, gap_s)
        self._last = now

    def _finish(self, now: float) -> None:
        self.over = True
        self.answer.whole = True
        self.answer.whole_s = now - self._began


def _now() -> float:
    return asyncio.get_running_loop().time()


def _text_of(data: Any) -> str:
    """Return the text of a chunk, in the engine's or the usual shape."""
    if "tokens" in data:
        return "".join(data["tokens"])
    if not data.get("choices"):
        return ""
    choice = data["choices"][0]
    part = choice.get("delta") or choice.get("message") or {}
    return str(choice.get("text") or part.get("content") or "")
