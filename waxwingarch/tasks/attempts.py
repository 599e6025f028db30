"""Attempts: each is a task that owns one connection to a server."""

import asyncio
from typing import Any, Final

import orjson
from eliot import log_message

from waxwingarch.adapters.http_client import (
    ClientStream,
    ConnectFailedError,
    CutLinkError,
    HttpClient,
    HttpResponse,
    SilentLinkError,
)
from waxwingarch.adapters.sse import SseReader
from waxwingarch.core.base import AttemptId, ServerKind
from waxwingarch.core.request import (
    AttemptEnded,
    AttemptEvent,
    AttemptLost,
    AttemptMode,
    ChunkArrived,
    DropAttempt,
    KvSource,
    LossKind,
    PlainAnswered,
    StartAttempt,
)
from waxwingarch.exceptions import LinkError
from waxwingarch.tasks.exchange import Exchange, Exchanges
from waxwingarch.tasks.runner import ContractRunner

CONNECT_LIMIT_S: Final = 1.0
CANCEL_LIMIT_S: Final = 2.0
KV_MOVE_LIMIT_S: Final = 5.0
DONE_MARK: Final = b"[DONE]"
JSON_HEADERS: Final = (("content-type", "application/json"),)
MS_PER_S: Final = 1000.0

STATUS_LOSSES: Final = {
    404: LossKind.NOT_HELD,
    429: LossKind.REFUSED,
    503: LossKind.REFUSED,
}
ERROR_LOSSES: Final[dict[type[Exception], LossKind]] = {
    ConnectFailedError: LossKind.NOT_SENT,
    SilentLinkError: LossKind.SILENT,
    CutLinkError: LossKind.CUT,
}


class AttemptRunner:
    """Starts and drops attempts on the node's word."""

    def __init__(
        self, runner: ContractRunner, exchanges: Exchanges, client: HttpClient
    ) -> None:
        self._runner = runner
        self._exchanges = exchanges
        self._client = client
        self._tasks: dict[AttemptId, asyncio.Task[None]] = {}
        self._cancels: set[asyncio.Task[None]] = set()
        runner.connect(StartAttempt, self.start)
        runner.connect(DropAttempt, self.drop)

    def __len__(self) -> int:
        return len(self._tasks)

    def start(self, action: StartAttempt) -> None:
        """Begin an attempt."""
        exchange = self._exchanges.get(action.request_id)
        if exchange is None:
            return
        task = asyncio.create_task(self._async_run(action, exchange))
        self._tasks[action.attempt_id] = task
        task.add_done_callback(
            lambda _: self._tasks.pop(action.attempt_id, None)
        )

    def drop(self, action: DropAttempt) -> None:
        """Abandon an attempt's connection; cancel its stream if asked."""
        task = self._tasks.get(action.attempt_id)
        if task:
            task.cancel()
        if not action.cancel:
            return
        cancel = asyncio.create_task(
            self._async_cancel(action.address, action.stream_id)
        )
        self._cancels.add(cancel)
        cancel.add_done_callback(self._cancels.discard)

    async def async_unload(self) -> None:
        """Drop all attempts."""
        for task in [*self._tasks.values(), *self._cancels]:
            task.cancel()

    # One attempt

    async def _async_run(
        self, action: StartAttempt, exchange: Exchange
    ) -> None:
        try:
            if exchange.request.kind is ServerKind.ENGINE:
                await self._async_engine(action, exchange)
            else:
                await self._async_plain(action, exchange)
        except LinkError as exc:
            kind = ERROR_LOSSES.get(type(exc), LossKind.FAILED)
            self._lost(action, kind)
        except (ValueError, KeyError, TypeError):
            self._lost(action, LossKind.FAILED)

    def _post(self, event: AttemptEvent) -> None:
        self._runner.post(event)

    def _lost(
        self,
        action: StartAttempt,
        kind: LossKind,
        retry_after_s: float | None = None,
    ) -> None:
        self._post(
            AttemptLost(
                request_id=action.request_id,
                attempt_id=action.attempt_id,
                kind=kind,
                retry_after_s=retry_after_s,
            )
        )

    def _lost_by_status(
        self, action: StartAttempt, answer: ClientStream | HttpResponse
    ) -> None:
        kind = STATUS_LOSSES.get(answer.status, LossKind.FAILED)
        after = answer.headers.get("retry-after", "")
        self._lost(action, kind, float(after) if after.isdigit() else None)

    # Model engines

    async def _async_engine(
        self, action: StartAttempt, exchange: Exchange
    ) -> None:
        if action.kv_from:
            await self._async_move_kv(action.kv_from, action.address)
        method, target, body = _engine_call(action, exchange)
        loop = asyncio.get_running_loop()
        async with self._client.async_stream(
            method,
            action.address,
            target,
            deadline=action.answer_deadline,
            connect_deadline=loop.time() + CONNECT_LIMIT_S,
            headers=JSON_HEADERS,
            body=body,
        ) as stream:
            if stream.status != 200:
                self._lost_by_status(action, stream)
                return
            await self._async_events(action, exchange, stream)

    async def _async_events(
        self, action: StartAttempt, exchange: Exchange, stream: ClientStream
    ) -> None:
        reader = SseReader()
        ended = False
        while True:
            data = await stream.async_read(action.answer_deadline)
            if data is None:
                break
            for event in _merged(reader.feed(data)):
                ended = self._engine_event(action, exchange, event) or ended
        if not ended:
            self._lost(action, LossKind.CUT)

    def _engine_event(
        self, action: StartAttempt, exchange: Exchange, event: dict[str, Any]
    ) -> bool:
        """Post one event of an engine; True when it was the last one."""
        for field in ("cached_tokens", "computed_tokens"):
            if field in event:
                known = exchange.usage.get(field, 0)
                exchange.usage[field] = known + int(event[field])
        if event.get("tokens"):
            self._post(
                ChunkArrived(
                    request_id=action.request_id,
                    attempt_id=action.attempt_id,
                    offset=int(event["offset"]),
                    tokens=tuple(event["tokens"]),
                )
            )
        if not event.get("finished"):
            return False
        self._post(
            AttemptEnded(
                request_id=action.request_id,
                attempt_id=action.attempt_id,
                total=int(event["total"]),
                digest=str(event["digest"]),
            )
        )
        return True

    async def _async_move_kv(self, source: KvSource, target: str) -> None:
        """Move the KV cache; without it the tokens are recomputed."""
        deadline = asyncio.get_running_loop().time() + KV_MOVE_LIMIT_S
        try:
            exported = await self._client.async_request(
                "POST",
                source.address,
                "/v1/kv/export",
                deadline=deadline,
                headers=JSON_HEADERS,
                body=orjson.dumps({"stream_id": source.stream_id}),
            )
            if exported.status == 200:
                blob = orjson.dumps({"blob": exported.json()["blob"]})
                await self._client.async_request(
                    "POST",
                    target,
                    "/v1/kv/import",
                    deadline=deadline,
                    headers=JSON_HEADERS,
                    body=blob,
                )
        except (LinkError, ValueError, KeyError):
            log_message(message_type="kv_not_moved", source=source.address)
        await self._async_cancel(source.address, source.stream_id)

    async def _async_cancel(self, address: str, stream_id: str) -> None:
        deadline = asyncio.get_running_loop().time() + CANCEL_LIMIT_S
        try:
            await self._client.async_request(
                "DELETE",
                address,
                f"/v1/streams/{stream_id}",
                deadline=deadline,
            )
        except LinkError:
            return

    # Plain services

    async def _async_plain(
        self, action: StartAttempt, exchange: Exchange
    ) -> None:
        request = exchange.request
        answer = await self._client.async_request(
            request.method,
            action.address,
            exchange.target,
            deadline=action.answer_deadline,
            headers=(
                ("content-type", exchange.content_type),
                ("x-operation-id", action.stream_id),
            ),
            body=exchange.body,
        )
        if answer.status in (429, 503):
            self._lost_by_status(action, answer)
            return
        exchange.answers[action.attempt_id] = answer
        self._post(
            PlainAnswered(
                request_id=action.request_id,
                attempt_id=action.attempt_id,
                status=answer.status,
            )
        )


def _engine_call(
    action: StartAttempt, exchange: Exchange
) -> tuple[str, str, bytes]:
    """Return method, target and body of a call to an engine."""
    if action.mode is AttemptMode.ATTACH:
        target = f"/v1/streams/{action.stream_id}?offset={action.offset}"
        return "GET", target, b""
    loop = asyncio.get_running_loop()
    left_s = max(0.0, action.answer_deadline - loop.time())
    extra: dict[str, Any] = {
        "stream_id": action.stream_id,
        "priority": exchange.request.priority,
        "deadline_ms": int(left_s * MS_PER_S),
    }
    if action.mode is AttemptMode.RESUME:
        extra["resume_text_tokens"] = action.tokens
    payload = {**exchange.payload, "stream": True, "waxwing": extra}
    return "POST", exchange.request.path, orjson.dumps(payload)


def _merged(events: list[bytes]) -> list[dict[str, Any]]:
    """Parse events; join chunks that follow on each other."""
    merged: list[dict[str, Any]] = []
    for data in events:
        if data == DONE_MARK:
            continue
        event = orjson.loads(data)
        last = merged[-1] if merged else None
        if last and _follows(last, event):
            last["tokens"] += event.pop("tokens")
            event.pop("offset")
            last.update(event)
        else:
            merged.append(event)
    return merged


def _follows(last: dict[str, Any], event: dict[str, Any]) -> bool:
    if not last.get("tokens") or not event.get("tokens"):
        return False
    return bool(last["offset"] + len(last["tokens"]) == event["offset"])
