"""Serves callers, and the readiness checks of the external balancer."""

import asyncio
import socket
from collections import deque
from collections.abc import Callable, Coroutine, Sequence
from contextlib import suppress
from dataclasses import dataclass, field, replace
from typing import Any, Final

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
from waxwingarch.core.base import Action, ExecutionStatus, RequestId
from waxwingarch.core.exchange.exchange_messages import (
    AbortResponse,
    AttemptFinished,
    AttemptOutcome,
    CallerDisconnected,
    ExchangeArrived,
    ExchangeHead,
    ForwardFailure,
    LocalResponse,
    SendRequest,
)
from waxwingarch.core.exchange.relays import MAX_RELAYED_REQUESTS
from waxwingarch.core.exchange.state_machine import RETRY_AFTER_S
from waxwingarch.core.front_node import STARTUP_WAIT_S
from waxwingarch.core.quarantine.quarantine_messages import CancelAttempt
from waxwingarch.core.refusal import Refusal, RefusalReason
from waxwingarch.ports.front import BadHeadError, ExchangeCodec
from waxwingarch.tasks.front_exchange import ExchangeForwarder
from waxwingarch.tasks.runner import FrontRunner

# The node decides on an exchange at the latest when its own limit of time is
# over: the startup wait of a new one, the deadline of one that was sent. If
# there is no decision this long after it, it was lost by an error.
DECISION_SLACK_S: Final = 1.0
# HTTP statuses of the refusals that this host sends itself.
REFUSAL_STATUS: Final[dict[RefusalReason, int]] = {
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.UNKNOWN_KEY: 401,
    RefusalReason.UNKNOWN_ROUTE: 404,
    RefusalReason.RATE_LIMIT: 429,
    RefusalReason.NO_SERVER: 503,
    RefusalReason.NO_CAPACITY: 503,
    RefusalReason.NOT_READY: 503,
    RefusalReason.DRAINING: 503,
    RefusalReason.QUARANTINED: 503,
    RefusalReason.SUSPECTED: 503,
    RefusalReason.BACKEND_FAILED: 502,
    RefusalReason.DEADLINE_UNREACHABLE: 504,
}
UNDECIDED: Final = Refusal(
    reason=RefusalReason.NOT_READY,
    ran=ExecutionStatus.NOT_RUN,
    message="this host failed to handle the request: send it again",
    retry_after_s=RETRY_AFTER_S,
)
TOO_MANY_RELAYS: Final = Refusal(
    reason=RefusalReason.NO_CAPACITY,
    ran=ExecutionStatus.NOT_RUN,
    message="too many relayed requests",
    retry_after_s=RETRY_AFTER_S,
)
UNDECIDED_AFTER_SENDING: Final = Refusal(
    reason=RefusalReason.DEADLINE_UNREACHABLE,
    ran=ExecutionStatus.UNKNOWN,
    message="no answer in the time allowed: raise the timeout",
)


@dataclass(kw_only=True, slots=True)
class _ActionQueue:
    """The node's actions for one exchange that are not carried out yet."""

    actions: deque[Action] = field(default_factory=deque)
    action_available: asyncio.Event = field(default_factory=asyncio.Event)
    attempt: asyncio.Task[AttemptFinished] | None = None

    async def async_next_action(self, deadline: float) -> Action | None:
        """Return the next action; None if there is none by a deadline."""
        if not self.actions:
            self.action_available.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout_at(deadline):
                    await self.action_available.wait()
        return self.actions.popleft() if self.actions else None

    async def async_attempt(
        self, attempt: Coroutine[Any, Any, AttemptFinished]
    ) -> AttemptFinished | None:
        """Return the outcome of an attempt; None if it was cancelled."""
        self.attempt = asyncio.create_task(attempt)
        try:
            return await self.attempt
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            return None
        finally:
            self.attempt = None

    def cancel_attempt(self) -> None:
        """Cancel the attempt, also one that has not begun."""
        self.actions = deque(
            a for a in self.actions if not isinstance(a, SendRequest)
        )
        if self.attempt is not None:
            self.attempt.cancel()


class FrontEntry:
    """HTTP server for callers, which runs one task for each exchange."""

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
        self._queues: dict[RequestId, _ActionQueue] = {}
        self._relayed_count = 0
        self.server = HttpServer(self._async_handle, on_error)
        for kind in (
            SendRequest,
            LocalResponse,
            ForwardFailure,
            AbortResponse,
        ):
            runner.connect(kind, self._enqueue)
        runner.connect(CancelAttempt, self._cancel_attempt)

    @property
    def in_progress(self) -> int:
        """Return the number of exchanges without a final response."""
        return len(self._queues)

    async def async_setup(
        self, host: str, port: int, sock: socket.socket | None = None
    ) -> int:
        """Start to accept callers, on `sock` if it already listens."""
        return await self.server.async_setup(host, port, sock)

    async def async_unload(self) -> None:
        """Stop listening."""
        await self.server.async_unload()

    def _enqueue(
        self,
        action: SendRequest | LocalResponse | ForwardFailure | AbortResponse,
    ) -> None:
        queue = self._queues.get(action.request_id)
        if queue is not None:
            queue.actions.append(action)
            queue.action_available.set()

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        queue = self._queues.get(action.request_id)
        if queue is not None:
            queue.cancel_attempt()

    async def async_handle_relayed(
        self, req: HttpRequest, resp: HttpResponder
    ) -> None:
        """Serve a request that a peer relays, within the bound for these."""
        self._relayed_count += 1
        try:
            await self._async_serve_request(req, resp, is_relayed=True)
        finally:
            self._relayed_count -= 1

    async def _async_handle(
        self, req: HttpRequest, resp: HttpResponder
    ) -> None:
        await self._async_serve_request(req, resp, is_relayed=False)

    async def _async_serve_request(
        self, req: HttpRequest, resp: HttpResponder, *, is_relayed: bool
    ) -> None:
        try:
            head = self._codec.decode_request_head(req)
            head = replace(
                head,
                is_relayed=is_relayed,
                run_at=head.run_at if is_relayed else None,
                asks_for_server=is_relayed and head.asks_for_server,
            )
            if head.request_id in self._queues:
                raise BadHeadError("this request id is in progress here")
        except BadHeadError as exc:
            log_message(message_type="bad_request", reason=str(exc))
            await _async_refuse(resp, 400, str(exc), None)
            return
        if is_relayed and self._relayed_count > MAX_RELAYED_REQUESTS:
            log_message(
                message_type="relay_refused", request_id=head.request_id
            )
            await self._async_send_local_response(head, resp, TOO_MANY_RELAYS)
            return
        self._queues[head.request_id] = _ActionQueue()
        serve_task = asyncio.ensure_future(self._async_serve(head, req, resp))
        disconnect_task = asyncio.ensure_future(resp.disconnected.wait())
        try:
            await asyncio.wait(
                {serve_task, disconnect_task},
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not serve_task.done():
                raise CallerDisconnectedError(
                    "the caller closed the connection"
                )
            serve_task.result()
        except Exception:
            # After any error the node has to drop the exchange as well.
            self._runner.post(CallerDisconnected(request_id=head.request_id))
            raise
        finally:
            disconnect_task.cancel()
            if not serve_task.done():
                serve_task.cancel()
                await asyncio.gather(serve_task, return_exceptions=True)
            self._queues.pop(head.request_id, None)

    async def _async_serve(
        self, head: ExchangeHead, req: HttpRequest, resp: HttpResponder
    ) -> None:
        queue = self._queues[head.request_id]
        forwarder = ExchangeForwarder(
            self._runner,
            self._client,
            self._codec,
            req,
            resp,
            head.request_id,
            names_server=head.asks_for_server,
        )
        decided_by = asyncio.get_running_loop().time() + STARTUP_WAIT_S
        was_sent = False
        self._runner.post(ExchangeArrived(head=head))
        while True:
            match await queue.async_next_action(decided_by + DECISION_SLACK_S):
                case SendRequest() as send:
                    was_sent, decided_by = True, send.expires_at
                    finished = await queue.async_attempt(
                        forwarder.async_send(send)
                    )
                    if finished is None:
                        continue
                    self._runner.post(finished)
                    if finished.outcome is AttemptOutcome.DONE:
                        return
                case LocalResponse(refusal=refusal):
                    await self._async_send_local_response(head, resp, refusal)
                    return
                case ForwardFailure():
                    await forwarder.async_forward_failure()
                    return
                case AbortResponse():
                    resp.abort()
                    return
                case None:
                    await self._async_end_undecided(head, resp, was_sent)
                    return

    async def _async_end_undecided(
        self, head: ExchangeHead, resp: HttpResponder, was_sent: bool
    ) -> None:
        """End an exchange on which the node's decision was lost."""
        log_message(message_type="no_decision", request_id=head.request_id)
        self._runner.post(CallerDisconnected(request_id=head.request_id))
        if resp.started:
            resp.abort()
            return
        refusal = UNDECIDED_AFTER_SENDING if was_sent else UNDECIDED
        await self._async_send_local_response(head, resp, refusal)

    async def _async_send_local_response(
        self, head: ExchangeHead, resp: HttpResponder, refusal: Refusal
    ) -> None:
        """Send a refusal, with the id by which a peer knows its request."""
        await _async_refuse(
            resp,
            REFUSAL_STATUS[refusal.reason],
            refusal.message,
            refusal.retry_after_s,
            self._codec.encode_refusal_headers(head.request_id),
        )


async def _async_refuse(
    resp: HttpResponder,
    status: int,
    message: str,
    retry_after_s: float | None,
    more_headers: Sequence[tuple[str, str]] = (),
) -> None:
    headers = [JSON_TYPE, *more_headers]
    if retry_after_s is not None:
        headers.append(("retry-after", f"{retry_after_s:.2f}"))
    body = orjson.dumps({"error": {"message": message}})
    await resp.async_send(status, body, headers)


class Readiness:
    """Answers the readiness checks of the external load balancer.

    With 503 the balancer sends no new connections to this host.
    """

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
