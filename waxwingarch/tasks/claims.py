"""Calls of requests that run at most once: claims, one dispatch, outcome."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

import orjson

from waxwingarch.adapters.claim_store import ClaimStore
from waxwingarch.adapters.http_client import (
    ConnectFailedError,
    HttpClient,
    HttpResponse,
)
from waxwingarch.core.base import Event, RequestId, ServerKind
from waxwingarch.core.once.claim import StoredAnswer
from waxwingarch.core.once.once_messages import (
    AnswerNotStored,
    AnswerStored,
    DispatchAnswered,
    DispatchLost,
    DispatchNotSent,
    OutcomeNotSeen,
    OutcomeRan,
    ReadClaim,
    StoreAnswer,
    WriteClaim,
)
from waxwingarch.core.requests.guarded import (
    OnceCall,
    OnceDispatch,
    OnceQuery,
    OnceReply,
)
from waxwingarch.exceptions import LinkError, PlatformUnavailableError
from waxwingarch.ports.objects import ObjectStore
from waxwingarch.tasks.exchange import Exchange, Exchanges
from waxwingarch.tasks.runner import ContractRunner

TABLE_CALL_LIMIT_S: Final = 2.0
QUERY_LIMIT_S: Final = 2.0
JSON_TYPE: Final = "application/json"
OPERATION_HEADER: Final = "x-operation-id"


class ClaimTasks:
    """Carries out what the machines of such requests ask for."""

    def __init__(
        self,
        runner: ContractRunner,
        exchanges: Exchanges,
        client: HttpClient,
        claims: ClaimStore,
        objects: ObjectStore,
    ) -> None:
        self._runner = runner
        self._exchanges = exchanges
        self._client = client
        self._claims = claims
        self._objects = objects
        self._tasks: set[asyncio.Task[None]] = set()
        self._calls: dict[
            type[Any], Callable[[Any], Coroutine[Any, Any, Event]]
        ] = {
            ReadClaim: claims.async_read,
            WriteClaim: claims.async_write,
            StoreAnswer: self._async_store,
        }
        runner.connect(OnceCall, self._on_call)
        runner.connect(OnceDispatch, self._on_dispatch)
        runner.connect(OnceQuery, self._on_query)

    async def async_setup(self) -> None:
        """Begin to commit claims, many in a transaction."""
        await self._claims.async_setup()

    async def async_unload(self) -> None:
        """Drop all calls."""
        for task in self._tasks:
            task.cancel()
        await self._claims.async_unload()

    def _on_call(self, action: OnceCall) -> None:
        call = self._calls[type(action.call)](action.call)
        self._spawn(action.request_id, call)

    def _on_dispatch(self, action: OnceDispatch) -> None:
        exchange = self._exchanges.get(action.request_id)
        if exchange is None:
            self._reply(action.request_id, DispatchNotSent())
            return
        call = self._async_dispatch(action, exchange)
        self._spawn(action.request_id, call)

    def _on_query(self, action: OnceQuery) -> None:
        self._spawn(action.request_id, self._async_query(action))

    def _spawn(
        self, request_id: RequestId, call: Coroutine[Any, Any, Event]
    ) -> None:
        task = asyncio.create_task(self._async_reply(request_id, call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_reply(
        self, request_id: RequestId, call: Coroutine[Any, Any, Event]
    ) -> None:
        self._reply(request_id, await call)

    def _reply(self, request_id: RequestId, reply: Event) -> None:
        self._runner.post(OnceReply(request_id=request_id, reply=reply))

    # Table service and object store

    async def _async_store(self, call: StoreAnswer) -> Event:
        try:
            await self._objects.async_put(
                call.name, call.body, deadline=_deadline(TABLE_CALL_LIMIT_S)
            )
        except PlatformUnavailableError:
            return AnswerNotStored()
        return AnswerStored()

    # Backend servers

    async def _async_dispatch(
        self, action: OnceDispatch, exchange: Exchange
    ) -> Event:
        """Send once; "not sent" only when no byte can have gone out."""
        request = exchange.request
        loop = asyncio.get_running_loop()
        try:
            answer = await self._client.async_request(
                request.method,
                action.address,
                exchange.target,
                deadline=action.answer_deadline,
                connect_deadline=action.dispatch_deadline,
                headers=(
                    ("content-type", exchange.content_type),
                    (OPERATION_HEADER, action.operation_id),
                ),
                body=_body(action, exchange),
                fresh=True,
                permit=lambda: self._runner.node.request_manager.may_dispatch(
                    loop.time(), action.request_id
                ),
            )
        except ConnectFailedError:
            return DispatchNotSent()
        except LinkError:
            return DispatchLost()
        return DispatchAnswered(answer=_stored(answer))

    async def _async_query(self, action: OnceQuery) -> Event:
        deadline = min(action.deadline, _deadline(QUERY_LIMIT_S))
        try:
            answer = await self._client.async_request(
                "GET",
                action.address,
                f"/v1/outcomes/{action.operation_id}",
                deadline=deadline,
            )
            return _outcome(answer)
        except (LinkError, ValueError, KeyError, TypeError):
            return OutcomeNotSeen()


def _deadline(limit_s: float) -> float:
    return asyncio.get_running_loop().time() + limit_s


def _stored(answer: HttpResponse) -> StoredAnswer:
    kind = answer.headers.get("content-type", JSON_TYPE)
    return StoredAnswer(
        status=answer.status, content_type=kind, body=answer.body
    )


def _outcome(answer: HttpResponse) -> Event:
    """Read what a service says of an operation."""
    said = answer.json() if answer.status == 200 else {}
    if not said.get("ran"):
        return OutcomeNotSeen()
    return OutcomeRan(
        answer=StoredAnswer(
            status=int(said["status"]),
            content_type=JSON_TYPE,
            body=orjson.dumps(said["body"]),
        )
    )


def _body(action: OnceDispatch, exchange: Exchange) -> bytes:
    """Return the body to send; an engine is told the stream's id."""
    if exchange.request.kind is ServerKind.PLAIN:
        return exchange.body
    extra = {
        "stream_id": action.operation_id,
        "priority": exchange.request.priority,
    }
    return orjson.dumps({**exchange.payload, "waxwing": extra})
