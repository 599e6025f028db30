"""I/O of at-most-once requests: claims, the one dispatch, its outcome."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

import orjson

from waxwingarch.adapters.claim_store import ClaimStore
from waxwingarch.adapters.http_connection import (
    ConnectFailedError,
    CutLinkError,
    HttpResponse,
)
from waxwingarch.adapters.matching_client import MatchingClient
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

STORE_ANSWER_TIMEOUT_S: Final = 2.0
OUTCOME_QUERY_TIMEOUT_S: Final = 2.0
JSON_CONTENT_TYPE: Final = "application/json"
OPERATION_ID_HEADER: Final = "x-operation-id"


class ClaimTasks:
    """Executes the actions of the at-most-once state machines."""

    def __init__(
        self,
        runner: ContractRunner,
        exchanges: Exchanges,
        client: MatchingClient,
        claims: ClaimStore,
        objects: ObjectStore,
    ) -> None:
        self._runner = runner
        self._exchanges = exchanges
        self._client = client
        self._claims = claims
        self._objects = objects
        self._tasks: set[asyncio.Task[None]] = set()
        self._call_handlers: dict[
            type[Any], Callable[[Any], Coroutine[Any, Any, Event]]
        ] = {
            ReadClaim: claims.async_read,
            WriteClaim: claims.async_write,
            StoreAnswer: self._async_store_answer,
        }
        runner.connect(OnceCall, self._handle_call)
        runner.connect(OnceDispatch, self._handle_dispatch)
        runner.connect(OnceQuery, self._handle_query)

    async def async_setup(self) -> None:
        """Start the claim store, which commits many claims per transaction."""
        await self._claims.async_setup()

    async def async_unload(self) -> None:
        """Cancel all calls and stop the claim store."""
        for task in self._tasks:
            task.cancel()
        await self._claims.async_unload()

    def _handle_call(self, action: OnceCall) -> None:
        call = self._call_handlers[type(action.call)](action.call)
        self._spawn(action.request_id, call)

    def _handle_dispatch(self, action: OnceDispatch) -> None:
        exchange = self._exchanges.get(action.request_id)
        if exchange is None:
            self._post_reply(action.request_id, DispatchNotSent())
            return
        self._start(self._async_dispatch(action, exchange))

    def _handle_query(self, action: OnceQuery) -> None:
        self._spawn(action.request_id, self._async_query_outcome(action))

    def _spawn(
        self, request_id: RequestId, call: Coroutine[Any, Any, Event]
    ) -> None:
        self._start(self._async_post_reply(request_id, call))

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_post_reply(
        self, request_id: RequestId, call: Coroutine[Any, Any, Event]
    ) -> None:
        self._post_reply(request_id, await call)

    def _post_reply(self, request_id: RequestId, reply: Event) -> None:
        self._runner.post(OnceReply(request_id=request_id, reply=reply))

    # Object store

    async def _async_store_answer(self, call: StoreAnswer) -> Event:
        try:
            await self._objects.async_put(
                call.name,
                call.body,
                deadline=_deadline_after(STORE_ANSWER_TIMEOUT_S),
            )
        except PlatformUnavailableError:
            return AnswerNotStored()
        return AnswerStored()

    # Backend servers

    async def _async_dispatch(
        self, action: OnceDispatch, exchange: Exchange
    ) -> None:
        """Send the request once, on a new connection.

        Reports `DispatchNotSent` only if no byte can have been sent.
        """
        reply: Event = DispatchLost()
        is_cut = False
        request = exchange.request
        loop = asyncio.get_running_loop()
        try:
            response = await self._client.async_request(
                request.method,
                action.address,
                exchange.target,
                deadline=action.answer_deadline,
                connect_deadline=action.dispatch_deadline,
                headers=(
                    ("content-type", exchange.content_type),
                    (OPERATION_ID_HEADER, action.operation_id),
                ),
                body=_build_body(action, exchange),
                fresh=True,
                permit=lambda: self._runner.node.request_manager.may_dispatch(
                    loop.time(), action.request_id
                ),
            )
            reply = DispatchAnswered(answer=_to_stored_answer(response))
        except ConnectFailedError:
            reply = DispatchNotSent()
        except LinkError as exc:
            is_cut = isinstance(exc, CutLinkError)
        self._runner.post(
            OnceReply(request_id=action.request_id, reply=reply, is_cut=is_cut)
        )

    async def _async_query_outcome(self, action: OnceQuery) -> Event:
        deadline = min(
            action.deadline, _deadline_after(OUTCOME_QUERY_TIMEOUT_S)
        )
        try:
            response = await self._client.async_request(
                "GET",
                action.address,
                f"/v1/outcomes/{action.operation_id}",
                deadline=deadline,
            )
            return _parse_outcome(response)
        except (LinkError, ValueError, KeyError, TypeError):
            return OutcomeNotSeen()


def _deadline_after(timeout_s: float) -> float:
    return asyncio.get_running_loop().time() + timeout_s


def _to_stored_answer(response: HttpResponse) -> StoredAnswer:
    content_type = response.headers.get("content-type", JSON_CONTENT_TYPE)
    return StoredAnswer(
        status=response.status, content_type=content_type, body=response.body
    )


def _parse_outcome(response: HttpResponse) -> Event:
    """Parse a service's reply to an outcome query."""
    reported = response.json() if response.status == 200 else {}
    if not reported.get("ran"):
        return OutcomeNotSeen()
    return OutcomeRan(
        answer=StoredAnswer(
            status=int(reported["status"]),
            content_type=JSON_CONTENT_TYPE,
            body=orjson.dumps(reported["body"]),
        )
    )


def _build_body(action: OnceDispatch, exchange: Exchange) -> bytes:
    """Return the body to send; that for an engine holds the stream id."""
    if exchange.request.kind is ServerKind.PLAIN:
        return exchange.body
    waxwing_fields = {
        "stream_id": action.operation_id,
        "priority": exchange.request.priority,
    }
    return orjson.dumps({**exchange.payload, "waxwing": waxwing_fields})
