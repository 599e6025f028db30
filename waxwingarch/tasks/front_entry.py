"""The caller side of routed exchanges, and the answer to the balancer."""

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import orjson
from eliot import log_message

from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.http_messages import (
    JSON_TYPE,
    CallerDisconnectedError,
    HttpRequest,
    HttpResponder,
)
from waxwingarch.adapters.http_server import HttpServer
from waxwingarch.core.base import Action, RequestId
from waxwingarch.core.exchange.exchange_messages import (
    AbortResponse,
    AttemptOutcome,
    CallerDisconnected,
    ExchangeArrived,
    ExchangeHead,
    ForwardFailure,
    LocalResponse,
    SendRequest,
)
from waxwingarch.core.refusal import Refusal, RefusalReason
from waxwingarch.ports.front import BadHeadError, ExchangeCodec
from waxwingarch.tasks.front_exchange import ExchangeCarrier
from waxwingarch.tasks.runner import FrontRunner

# Statuses of this host's own answers.
STATUS: Final[dict[RefusalReason, int]] = {
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.UNKNOWN_KEY: 401,
    RefusalReason.UNKNOWN_ROUTE: 404,
    RefusalReason.RATE_LIMIT: 429,
    RefusalReason.NO_SERVER: 503,
    RefusalReason.NO_CAPACITY: 503,
    RefusalReason.NOT_READY: 503,
    RefusalReason.DRAINING: 503,
    RefusalReason.BACKEND_FAILED: 502,
    RefusalReason.DEADLINE_UNREACHABLE: 504,
}


@dataclass(kw_only=True, slots=True)
class _Mailbox:
    """What the node says of one exchange."""

    actions: deque[Action] = field(default_factory=deque)
    news: asyncio.Event = field(default_factory=asyncio.Event)

    async def async_take(self) -> Action:
        while not self.actions:
            self.news.clear()
            await self.news.wait()
        return self.actions.popleft()


class FrontEntry:
    """Serves callers; one task an exchange."""

    def __init__(
        self,
        runner: FrontRunner,
        client: HttpClient,
        codec: ExchangeCodec,
        on_error: Callable[[Exception], None],
    ) -> None:
        self._runner = runner
        self._client = client
        self._codec = codec
        self._open: dict[RequestId, _Mailbox] = {}
        self.server = HttpServer(self._async_handle, on_error)
        for kind in (
            SendRequest,
            LocalResponse,
            ForwardFailure,
            AbortResponse,
        ):
            runner.connect(kind, self._deliver)

    @property
    def in_progress(self) -> int:
        """Return how many exchanges have no final answer yet."""
        return len(self._open)

    async def async_setup(
        self, host: str, port: int, sock: socket.socket | None = None
    ) -> int:
        """Listen, on a socket that does so already if there is one."""
        return await self.server.async_setup(host, port, sock)

    async def async_unload(self) -> None:
        """Stop listening."""
        await self.server.async_unload()

    def _deliver(
        self,
        action: SendRequest | LocalResponse | ForwardFailure | AbortResponse,
    ) -> None:
        mailbox = self._open.get(action.request_id)
        if mailbox is not None:
            mailbox.actions.append(action)
            mailbox.news.set()

    async def _async_handle(
        self, req: HttpRequest, resp: HttpResponder
    ) -> None:
        try:
            head = self._codec.decode_request_head(req)
            if head.request_id in self._open:
                raise BadHeadError("this request id is in progress here")
        except BadHeadError as exc:
            log_message(message_type="bad_request", reason=str(exc))
            await _async_refuse(resp, 400, str(exc), None)
            return
        self._open[head.request_id] = _Mailbox()
        work = asyncio.ensure_future(self._async_serve(head, req, resp))
        gone = asyncio.ensure_future(resp.disconnected.wait())
        try:
            await asyncio.wait(
                {work, gone}, return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                raise CallerDisconnectedError(
                    "the caller closed the connection"
                )
            work.result()
        except CallerDisconnectedError:
            self._runner.post(CallerDisconnected(request_id=head.request_id))
            raise
        finally:
            gone.cancel()
            if not work.done():
                work.cancel()
                await asyncio.gather(work, return_exceptions=True)
            self._open.pop(head.request_id, None)

    async def _async_serve(
        self, head: ExchangeHead, req: HttpRequest, resp: HttpResponder
    ) -> None:
        mailbox = self._open[head.request_id]
        carrier = ExchangeCarrier(
            self._runner,
            self._client,
            self._codec,
            req,
            resp,
            head.request_id,
        )
        self._runner.post(ExchangeArrived(head=head))
        while True:
            match await mailbox.async_take():
                case SendRequest() as send:
                    ended = await carrier.async_send(send)
                    self._runner.post(ended)
                    if ended.outcome is AttemptOutcome.DONE:
                        return
                case LocalResponse(refusal=refusal):
                    await self._async_answer(resp, refusal)
                    return
                case ForwardFailure():
                    await carrier.async_pass_failure()
                    return
                case AbortResponse():
                    resp.abort()
                    return

    async def _async_answer(
        self, resp: HttpResponder, refusal: Refusal
    ) -> None:
        status = STATUS[refusal.reason]
        await _async_refuse(
            resp, status, refusal.message, refusal.retry_after_s
        )


async def _async_refuse(
    resp: HttpResponder,
    status: int,
    message: str,
    retry_after_s: float | None,
) -> None:
    headers = [JSON_TYPE]
    if retry_after_s is not None:
        headers.append(("retry-after", f"{retry_after_s:.2f}"))
    body = orjson.dumps({"error": {"message": message}})
    await resp.async_send(status, body, headers)


class Readiness:
    """Tells the balancer whether new connections should come here."""

    def __init__(
        self,
        ready: Callable[[], bool],
        on_error: Callable[[Exception], None],
    ) -> None:
        self._ready = ready
        self.server = HttpServer(self._async_handle, on_error)

    async def _async_handle(
        self, req: HttpRequest, resp: HttpResponder
    ) -> None:
        ready = self._ready()
        body = b'{"ready":true}' if ready else b'{"ready":false}'
        await resp.async_send(200 if ready else 503, body, [JSON_TYPE])
