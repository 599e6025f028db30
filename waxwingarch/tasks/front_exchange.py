"""Carries one exchange: from the caller to servers and back."""

import asyncio
from dataclasses import dataclass, field
from typing import Final

from waxwingarch.adapters.event_split import EventSplitter
from waxwingarch.adapters.http_client import (
    ClientStream,
    ConnectFailedError,
    HttpClient,
    SilentLinkError,
)
from waxwingarch.adapters.http_messages import (
    Headers,
    HttpRequest,
    HttpResponder,
)
from waxwingarch.core.base import RequestId
from waxwingarch.core.exchange.exchange_messages import (
    AttemptFinished,
    AttemptOutcome,
    ResponseStarted,
    SendRequest,
    ServerActivity,
)
from waxwingarch.exceptions import LinkError
from waxwingarch.ports.front import ExchangeCodec, ResponseHead
from waxwingarch.tasks.runner import FrontRunner

# A connection within a region is there within a few milliseconds; a lost
# opening packet is sent again only after a second.
CONNECT_LIMIT_S: Final = 0.4
# A request that may run only once goes over a connection that was in use
# just now, or over a new one: a kept one may be closed as it is sent.
FRESH_IDLE_S: Final = 0.5
KEPT_IDLE_S: Final = 4.0
# While a server sends something else, its slow answer is waited for in
# steps of this length.
WAIT_STEP_S: Final = 0.3
HEARD_WITHIN_S: Final = 0.6
HEARD_EVERY_S: Final = 0.2
# Answers of earlier requests that may come first on a connection.
MAX_STRAY: Final = 2

HTTP_OK_FIRST: Final = 200
HTTP_OK_LAST: Final = 299


@dataclass(kw_only=True, slots=True)
class KeptAnswer:
    """A server's whole failure, to be passed on if nothing better comes."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


@dataclass(kw_only=True, slots=True)
class AnswerState:
    """What the caller has of its answer, over all attempts."""

    response_started: bool = False
    last_event: int | None = None
    kept: KeptAnswer | None = None
    heard_at: float = field(default=float("-inf"))


class BadAnswerError(LinkError):
    """An answer is not one of the server that was asked."""


class ExchangeCarrier:
    """Sends one request to one server after the other, as told."""

    def __init__(
        self,
        runner: FrontRunner,
        client: HttpClient,
        codec: ExchangeCodec,
        req: HttpRequest,
        resp: HttpResponder,
        request_id: RequestId,
    ) -> None:
        self._runner = runner
        self._client = client
        self._codec = codec
        self._req = req
        self._resp = resp
        self._request_id = request_id
        self.state = AnswerState()

    async def async_send(self, send: SendRequest) -> AttemptFinished:
        """Carry out one attempt to its end."""
        retry_after_s = None
        try:
            async with asyncio.timeout_at(send.expires_at):
                end, retry_after_s = await self._async_attempt(send)
        except TimeoutError:
            end = AttemptOutcome.EXPIRED
        except ConnectFailedError:
            end = AttemptOutcome.NOT_SENT
        except SilentLinkError:
            end = AttemptOutcome.SILENT
        except LinkError:
            end = AttemptOutcome.BROKEN
        if end in (AttemptOutcome.SILENT, AttemptOutcome.BROKEN):
            late = asyncio.get_running_loop().time() >= send.expires_at
            end = AttemptOutcome.EXPIRED if late else end
        return AttemptFinished(
            request_id=self._request_id,
            outcome=end,
            response_started=self.state.response_started,
            last_event=self.state.last_event,
            has_response=self.state.kept is not None,
            retry_after_s=retry_after_s,
        )

    async def _async_attempt(
        self, send: SendRequest
    ) -> tuple[AttemptOutcome, float | None]:
        loop = asyncio.get_running_loop()
        now = loop.time()
        async with self._client.async_stream(
            self._req.method,
            send.server.address,
            self._req.target,
            deadline=send.expires_at,
            wait_until=lambda: self._wait_until(send),
            connect_deadline=now + CONNECT_LIMIT_S,
            headers=self._codec.encode_request_headers(self._req, send, now),
            body=self._req.body,
            max_idle_s=FRESH_IDLE_S if send.fresh_connection else KEPT_IDLE_S,
        ) as stream:
            stream, head = await self._async_head(stream, send)
            return await self._async_answer(stream, head, send)

    def _wait_until(self, send: SendRequest) -> float | None:
        """Return until when to wait for more; None to give up.

        A server that sends other answers is slow, not dead.
        """
        now = asyncio.get_running_loop().time()
        if now < send.first_byte_deadline:
            return min(send.first_byte_deadline, now + WAIT_STEP_S)
        heard_at = self._runner.node.load_balancer.loads.last_activity_at(
            send.server.server_id
        )
        if now - heard_at > HEARD_WITHIN_S or now >= send.expires_at:
            return None
        return now + WAIT_STEP_S

    async def _async_head(
        self, stream: ClientStream, send: SendRequest
    ) -> tuple[ClientStream, ResponseHead]:
        """Return the answer to this request, past those of others."""
        for _ in range(MAX_STRAY + 1):
            head = self._codec.decode_response_head(
                stream.status, stream.pairs
            )
            if head.request_id in (None, self._request_id):
                return stream, head
            stream = await stream.async_next_response(send.first_byte_deadline)
        raise BadAnswerError(f"{send.server.address}: answers of others")

    async def _async_answer(
        self, stream: ClientStream, head: ResponseHead, send: SendRequest
    ) -> tuple[AttemptOutcome, float | None]:
        if head.not_executed:
            await stream.async_read_rest(send.expires_at)
            end = (
                AttemptOutcome.MISDIRECTED
                if head.misdirected
                else AttemptOutcome.REJECTED
            )
            return end, head.retry_after_s
        if not HTTP_OK_FIRST <= head.status <= HTTP_OK_LAST:
            body = await stream.async_read_rest(send.expires_at)
            self._began(send)
            if head.is_authentic:
                self.state.kept = KeptAnswer(
                    status=head.status,
                    headers=self._codec.filter_response_headers(stream.pairs),
                    body=body,
                )
            return AttemptOutcome.FAILED, None
        if not head.is_authentic:
            raise BadAnswerError(f"{send.server.address}: not signed")
        if send.streaming:
            await self._async_events(stream, send)
        else:
            await self._async_whole(stream, send)
        return AttemptOutcome.DONE, None

    def _began(self, send: SendRequest) -> None:
        self.state.heard_at = asyncio.get_running_loop().time()
        self._runner.post(ResponseStarted(request_id=self._request_id))

    def _heard(self, send: SendRequest) -> None:
        now = asyncio.get_running_loop().time()
        if now - self.state.heard_at >= HEARD_EVERY_S:
            self.state.heard_at = now
            server_id = send.server.server_id
            self._runner.post(ServerActivity(server_id=server_id))

    async def _async_whole(
        self, stream: ClientStream, send: SendRequest
    ) -> None:
        body = await stream.async_read_rest(send.expires_at)
        self._began(send)
        self.state.response_started = True
        headers = self._codec.filter_response_headers(stream.pairs)
        await self._resp.async_send(stream.status, body, headers)

    async def _async_events(
        self, stream: ClientStream, send: SendRequest
    ) -> None:
        """Pass whole events on as they come."""
        splitter = EventSplitter()
        first = True
        while True:
            piece = await self._async_piece(stream, send, first)
            if piece is None:
                break
            events, last_id = splitter.feed(piece)
            if not events:
                continue
            if first:
                first = False
                self._began(send)
            else:
                self._heard(send)
            await self._async_start(stream)
            await self._resp.async_write(events)
            if last_id is not None:
                self.state.last_event = last_id
        if splitter.incomplete:
            raise BadAnswerError(f"{send.server.address}: a cut event")
        await self._async_start(stream)
        await self._resp.async_end()

    async def _async_piece(
        self, stream: ClientStream, send: SendRequest, first: bool
    ) -> bytes | None:
        """Return the next bytes; raises `SilentLinkError`."""
        loop = asyncio.get_running_loop()
        while first:
            until = self._wait_until(send)
            if until is None:
                raise SilentLinkError(f"{send.server.address}: no event")
            try:
                return await stream.async_read(until)
            except SilentLinkError:
                continue
        until = min(send.expires_at, loop.time() + send.stream_idle_timeout_s)
        return await stream.async_read(until)

    async def _async_start(self, stream: ClientStream) -> None:
        """Send the head of the first server's answer, once."""
        if self.state.response_started:
            return
        self.state.response_started = True
        headers: Headers = self._codec.filter_response_headers(stream.pairs)
        await self._resp.async_start(stream.status, headers)

    async def async_pass_failure(self) -> None:
        """Pass on the failure that was kept."""
        kept = self.state.kept
        assert kept is not None
        await self._resp.async_send(kept.status, kept.body, kept.headers)
