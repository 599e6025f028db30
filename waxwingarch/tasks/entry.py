"""HTTP server for callers: reads requests and writes the responses."""

import asyncio
from collections.abc import Callable
from typing import Final

from eliot import start_action

from waxwingarch.adapters.caller_api import (
    REFUSAL_STATUS,
    chunk_body,
    completion_body,
    refusal_body,
    refusal_headers,
    token_usage,
)
from waxwingarch.adapters.http_messages import (
    CallerDisconnectedError,
    HttpRequest,
    HttpResponder,
)
from waxwingarch.adapters.http_server import (
    HttpServer,
)
from waxwingarch.adapters.sse import sse_event
from waxwingarch.adapters.ticket import TicketSigner
from waxwingarch.const import (
    HEADER_REPLAYED,
    HEADER_REQUEST_ID,
    HEADER_RESUME_ID,
)
from waxwingarch.core.base import ExecutionStatus, ServerKind
from waxwingarch.core.events import CallerGone, RequestArrived
from waxwingarch.core.refusal import Refusal, RefusalReason
from waxwingarch.core.request import Complete, Deliver, Refuse, ResumeFrom
from waxwingarch.core.requests.guarded import OnceAnswer
from waxwingarch.exceptions import PlatformUnavailableError
from waxwingarch.ports.objects import ObjectStore
from waxwingarch.tasks.exchange import Exchange, Exchanges, RequestHandedOver
from waxwingarch.tasks.intake import Intake, IntakeError
from waxwingarch.tasks.runner import ContractRunner

DONE_EVENT: Final = sse_event(b"[DONE]")
SSE_HEADERS: Final = (
    ("content-type", "text/event-stream"),
    ("cache-control", "no-store"),
)
JSON_HEADERS: Final = (("content-type", "application/json"),)
BODY_FETCH_TIMEOUT_S: Final = 5.0
# Retry-After of a refusal that tells the caller to resume elsewhere.
RESUME_RETRY_AFTER_S: Final = 1.0
ANSWER_UNAVAILABLE: Final = Refusal(
    reason=RefusalReason.STORE_DOWN,
    ran=ExecutionStatus.UNKNOWN,
    message="it ran; its answer is not at hand: ask again with the same key",
    retry_after_s=1.0,
)


class Entry:
    """Serves the requests of callers on one address."""

    def __init__(
        self,
        runner: ContractRunner,
        exchanges: Exchanges,
        intake: Intake,
        tickets: TicketSigner,
        objects: ObjectStore,
        on_error: Callable[[Exception], None],
    ) -> None:
        self._runner = runner
        self._objects = objects
        self._exchanges = exchanges
        self._intake = intake
        self._tickets = tickets
        self.server = HttpServer(self._async_handle, on_error)
        runner.connect(Deliver, exchanges.put)
        runner.connect(Complete, exchanges.put)
        runner.connect(Refuse, exchanges.put)
        runner.connect(OnceAnswer, exchanges.put)

    async def async_setup(self, host: str, port: int) -> int:
        """Start listening; return the port."""
        return await self.server.async_setup(host, port)

    async def async_unload(self) -> None:
        """Stop listening."""
        await self.server.async_unload()

    async def _async_handle(
        self, req: HttpRequest, resp: HttpResponder
    ) -> None:
        if req.path == "/health/live":
            await resp.async_send(200, b'{"live":true}', JSON_HEADERS)
            return
        if req.path == "/health/ready":
            await self._async_send_readiness(resp)
            return
        await self._async_handle_request(req, resp)

    async def _async_send_readiness(self, resp: HttpResponder) -> None:
        ready = self._runner.node.ready
        status = 200 if ready else 503
        body = b'{"ready":true}' if ready else b'{"ready":false}'
        await resp.async_send(status, body, JSON_HEADERS)

    async def _async_handle_request(
        self, req: HttpRequest, resp: HttpResponder
    ) -> None:
        request_id = self._intake.next_id()
        now = asyncio.get_running_loop().time()
        with start_action(
            action_type="request", request_id=request_id, path=req.path
        ) as action:
            try:
                exchange = self._intake.build_exchange(now, request_id, req)
            except IntakeError as exc:
                action.add_success_fields(refused=exc.refusal.reason.value)
                await _async_send_refusal(resp, request_id, exc.refusal)
                return
            outcome = await self._async_serve(exchange, resp)
            action.add_success_fields(
                account=exchange.request.account, outcome=outcome
            )

    async def _async_serve(
        self, exchange: Exchange, resp: HttpResponder
    ) -> str:
        """Run a request to its end; return the outcome for the log."""
        request_id = exchange.request.request_id
        self._exchanges.add(exchange)
        disconnect_watch = asyncio.create_task(
            self._async_watch_disconnect(exchange, resp)
        )
        try:
            self._runner.post(RequestArrived(request=exchange.request))
            writer = self._response_writer_for(exchange, resp)
            return await writer.async_write_response()
        except CallerDisconnectedError:
            self._runner.post(CallerGone(request_id=request_id))
            return "caller gone"
        finally:
            disconnect_watch.cancel()
            self._exchanges.remove(request_id)

    async def _async_watch_disconnect(
        self, exchange: Exchange, resp: HttpResponder
    ) -> None:
        """Notify the node and the response writer of a disconnect."""
        await resp.disconnected.wait()
        request_id = exchange.request.request_id
        self._runner.post(CallerGone(request_id=request_id))
        exchange.outcome_available.set()

    def _response_writer_for(
        self, exchange: Exchange, resp: HttpResponder
    ) -> "ResponseWriter":
        if exchange.request.non_idempotent:
            return OnceResponseWriter(exchange, resp, self._objects)
        if exchange.request.kind is ServerKind.PLAIN:
            return PlainResponseWriter(exchange, resp)
        if exchange.payload.get("stream"):
            return StreamingResponseWriter(exchange, resp, self._tickets)
        return CollectingResponseWriter(exchange, resp, self._tickets)


class ResponseWriter:
    """Writes the response of one exchange from the node's outcomes."""

    def __init__(self, exchange: Exchange, resp: HttpResponder) -> None:
        self._exchange = exchange
        self._resp = resp
        self._request_id = exchange.request.request_id
        self._headers = [(HEADER_REQUEST_ID, str(self._request_id))]

    async def async_write_response(self) -> str:
        """Write the complete response; return the outcome for the log.

        Raises `CallerDisconnectedError`.
        """
        while True:
            outcomes = await self._exchange.async_next_outcomes()
            if not outcomes and self._resp.disconnected.is_set():
                raise CallerDisconnectedError(
                    "the caller closed the connection"
                )
            delivered = [o for o in outcomes if isinstance(o, Deliver)]
            if delivered:
                await self.async_handle_tokens(delivered)
            last = outcomes[-1] if outcomes else None
            if isinstance(last, Refuse):
                await self.async_refuse(last.refusal)
                return last.refusal.reason.value
            if isinstance(last, RequestHandedOver):
                await self.async_handle_hand_over(last)
                return "handed over"
            if isinstance(last, Complete | OnceAnswer):
                await self.async_complete(last)
                return "done"

    async def async_handle_tokens(self, delivered: list[Deliver]) -> None:
        """Handle tokens that the node delivered; by default, ignore them."""

    async def async_complete(self, outcome: Complete | OnceAnswer) -> None:
        """Finish the response of a request that was served."""

    async def async_handle_hand_over(self, outcome: RequestHandedOver) -> None:
        """Abort the connection; the caller can resume after its last event."""
        self._resp.abort()

    async def async_refuse(self, refusal: Refusal) -> None:
        """Send the refusal as the response."""
        await _async_send_refusal(
            self._resp, self._request_id, refusal, self._headers
        )


class PlainResponseWriter(ResponseWriter):
    """Forwards the response of a plain service."""

    async def async_complete(self, outcome: Complete | OnceAnswer) -> None:
        """Send the response of the service."""
        assert isinstance(outcome, Complete)
        answer = self._exchange.responses[outcome.attempt_id]
        content_type = answer.headers.get("content-type", "application/json")
        await self._resp.async_send(
            answer.status,
            answer.body,
            [("content-type", content_type), *self._headers],
        )


class OnceResponseWriter(ResponseWriter):
    """Sends the answer of an at-most-once request, new or replayed."""

    def __init__(
        self, exchange: Exchange, resp: HttpResponder, objects: ObjectStore
    ) -> None:
        super().__init__(exchange, resp)
        self._objects = objects

    async def async_complete(self, outcome: Complete | OnceAnswer) -> None:
        """Send the answer; a large body is read from the object store."""
        assert isinstance(outcome, OnceAnswer)
        answer = outcome.answer
        body = answer.body
        if answer.ref:
            try:
                body = await self._async_fetch_body(answer.ref)
            except PlatformUnavailableError:
                await self.async_refuse(ANSWER_UNAVAILABLE)
                return
        replayed = "true" if outcome.replayed else "false"
        await self._resp.async_send(
            answer.status,
            body,
            [
                ("content-type", answer.content_type),
                (HEADER_REPLAYED, replayed),
                *self._headers,
            ],
        )

    async def _async_fetch_body(self, name: str) -> bytes:
        deadline = asyncio.get_running_loop().time() + BODY_FETCH_TIMEOUT_S
        body = await self._objects.async_get(name, deadline=deadline)
        if body is None:
            raise PlatformUnavailableError(f"{name} is not stored: ask again")
        return body


class CollectingResponseWriter(ResponseWriter):
    """Collects the tokens and sends them in one JSON response."""

    def __init__(
        self, exchange: Exchange, resp: HttpResponder, tickets: TicketSigner
    ) -> None:
        super().__init__(exchange, resp)
        self._tickets = tickets
        self._tokens: list[str] = []

    async def async_handle_hand_over(self, outcome: RequestHandedOver) -> None:
        """Send a refusal whose ticket gets the answer from another host."""
        ticket = self._tickets.issue(
            self._exchange.request.account,
            ResumeFrom(
                server_id=outcome.server_id,
                stream_id=outcome.stream_id,
                offset=0,
                digest="",
            ),
        )
        self._headers.append((HEADER_RESUME_ID, ticket))
        await self.async_refuse(resume_elsewhere_refusal(ticket))

    async def async_handle_tokens(self, delivered: list[Deliver]) -> None:
        """Collect the tokens."""
        for outcome in delivered:
            self._tokens.extend(outcome.tokens)

    async def async_complete(self, outcome: Complete | OnceAnswer) -> None:
        """Send all tokens with their usage."""
        assert isinstance(outcome, Complete)
        request = self._exchange.request
        usage = token_usage(
            request.prompt_tokens, outcome.total, self._exchange.usage
        )
        body = completion_body(
            request.path, self._request_id, "".join(self._tokens), usage
        )
        await self._resp.async_send(200, body, [*JSON_HEADERS, *self._headers])


def resume_elsewhere_refusal(ticket: str) -> Refusal:
    """Return the refusal that tells the caller to resume elsewhere."""
    return Refusal(
        reason=RefusalReason.DRAINING,
        ran=ExecutionStatus.UNKNOWN,
        message=f"this host goes: send it again with Last-Event-ID: {ticket}",
        retry_after_s=RESUME_RETRY_AFTER_S,
    )


class StreamingResponseWriter(ResponseWriter):
    """Streams tokens as server-sent events.

    The id of each event is a ticket from which the caller can resume.
    """

    def __init__(
        self, exchange: Exchange, resp: HttpResponder, tickets: TicketSigner
    ) -> None:
        super().__init__(exchange, resp)
        self._tickets = tickets

    async def _async_start_response(self) -> None:
        if not self._resp.started:
            await self._resp.async_start(200, [*SSE_HEADERS, *self._headers])

    async def async_handle_tokens(self, delivered: list[Deliver]) -> None:
        """Send the tokens of all outcomes as one event."""
        await self._async_start_response()
        last = delivered[-1]
        text = "".join(t for outcome in delivered for t in outcome.tokens)
        request = self._exchange.request
        ticket = self._tickets.issue(
            request.account,
            ResumeFrom(
                server_id=last.server_id,
                stream_id=last.stream_id,
                offset=last.offset + len(last.tokens),
                digest=last.digest,
            ),
        )
        data = chunk_body(request.path, self._request_id, text)
        await self._resp.async_write(sse_event(data, ticket))

    async def async_complete(self, outcome: Complete | OnceAnswer) -> None:
        """Send the end-of-stream event and end the response."""
        assert isinstance(outcome, Complete)
        await self._async_start_response()
        await self._resp.async_write(DONE_EVENT)
        await self._resp.async_end()

    async def async_refuse(self, refusal: Refusal) -> None:
        """Refuse with a status, or with an event if the response has begun."""
        if not self._resp.started:
            await super().async_refuse(refusal)
            return
        body = refusal_body(refusal, self._request_id)
        await self._resp.async_write(sse_event(body, kind="error"))
        await self._resp.async_end()


async def _async_send_refusal(
    resp: HttpResponder,
    request_id: str,
    refusal: Refusal,
    headers: list[tuple[str, str]] | None = None,
) -> None:
    await resp.async_send(
        REFUSAL_STATUS[refusal.reason],
        refusal_body(refusal, request_id),
        [*refusal_headers(refusal), *(headers or [])],
    )
