"""Attempts at backend servers, each a task with its own connection."""

import asyncio
from typing import Any, Final

import orjson
from eliot import log_message, write_traceback

from waxwingarch.adapters.http_connection import (
    ClientStream,
    ConnectFailedError,
    CutLinkError,
    HttpResponse,
    SilentLinkError,
)
from waxwingarch.adapters.matching_client import MatchingClient
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

CONNECT_TIMEOUT_S: Final = 1.0
CANCEL_TIMEOUT_S: Final = 2.0
# Bounds export and import together.
KV_MIGRATION_TIMEOUT_S: Final = 5.0
DONE_EVENT_DATA: Final = b"[DONE]"
JSON_HEADERS: Final = (("content-type", "application/json"),)
MS_PER_S: Final = 1000.0

LOSS_KIND_BY_STATUS: Final = {
    404: LossKind.NOT_HELD,
    429: LossKind.REFUSED,
    503: LossKind.REFUSED,
}
LOSS_KIND_BY_ERROR: Final[dict[type[Exception], LossKind]] = {
    ConnectFailedError: LossKind.NOT_SENT,
    SilentLinkError: LossKind.SILENT,
    CutLinkError: LossKind.CUT,
}


class AttemptRunner:
    """Executes the node's `StartAttempt` and `DropAttempt` actions.

    What happens to an attempt is posted to the node as events.
    """

    def __init__(
        self,
        runner: ContractRunner,
        exchanges: Exchanges,
        client: MatchingClient,
    ) -> None:
        self._runner = runner
        self._exchanges = exchanges
        self._client = client
        self._tasks: dict[AttemptId, asyncio.Task[None]] = {}
        self._cancels: set[asyncio.Task[None]] = set()
        runner.connect(StartAttempt, self.start_attempt)
        runner.connect(DropAttempt, self.drop_attempt)

    def __len__(self) -> int:
        return len(self._tasks)

    def start_attempt(self, action: StartAttempt) -> None:
        """Start an attempt, unless its request has ended."""
        exchange = self._exchanges.get(action.request_id)
        if exchange is None:
            return
        task = asyncio.create_task(self._async_run_attempt(action, exchange))
        self._tasks[action.attempt_id] = task
        task.add_done_callback(
            lambda _: self._tasks.pop(action.attempt_id, None)
        )

    def drop_attempt(self, action: DropAttempt) -> None:
        """Close an attempt's connection.

        With `action.cancel` the engine is also told to stop the stream.
        """
        task = self._tasks.get(action.attempt_id)
        if task:
            task.cancel()
        if not action.cancel:
            return
        cancel = asyncio.create_task(
            self._async_cancel_stream(action.address, action.stream_id)
        )
        self._cancels.add(cancel)
        cancel.add_done_callback(self._cancels.discard)

    async def async_unload(self) -> None:
        """Cancel all attempts and stream cancellations in progress."""
        for task in [*self._tasks.values(), *self._cancels]:
            task.cancel()

    # Lifecycle of an attempt

    async def _async_run_attempt(
        self, action: StartAttempt, exchange: Exchange
    ) -> None:
        try:
            if exchange.request.kind is ServerKind.ENGINE:
                await self._async_run_engine(action, exchange)
            else:
                await self._async_run_plain(action, exchange)
        except LinkError as exc:
            kind = LOSS_KIND_BY_ERROR.get(type(exc), LossKind.FAILED)
            self._report_loss(action, kind)
        except (ValueError, KeyError, TypeError):
            self._report_loss(action, LossKind.FAILED)
        except Exception as exc:
            # Nothing else would end the attempt.
            write_traceback(exc_info=(type(exc), exc, exc.__traceback__))
            self._report_loss(action, LossKind.FAILED)

    def _post(self, event: AttemptEvent) -> None:
        self._runner.post(event)

    def _report_loss(
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

    def _report_error_status(
        self, action: StartAttempt, response: ClientStream | HttpResponse
    ) -> None:
        kind = LOSS_KIND_BY_STATUS.get(response.status, LossKind.FAILED)
        retry_after = response.headers.get("retry-after", "")
        self._report_loss(
            action, kind, float(retry_after) if retry_after.isdigit() else None
        )

    # Model engines

    async def _async_run_engine(
        self, action: StartAttempt, exchange: Exchange
    ) -> None:
        if action.kv_from:
            await self._async_migrate_kv_cache(action.kv_from, action.address)
        method, target, body = _build_engine_request(action, exchange)
        loop = asyncio.get_running_loop()
        async with self._client.async_stream(
            method,
            action.address,
            target,
            deadline=action.answer_deadline,
            connect_deadline=loop.time() + CONNECT_TIMEOUT_S,
            headers=JSON_HEADERS,
            body=body,
        ) as stream:
            if stream.status != 200:
                self._report_error_status(action, stream)
                return
            await self._async_read_events(action, exchange, stream)

    async def _async_read_events(
        self, action: StartAttempt, exchange: Exchange, stream: ClientStream
    ) -> None:
        reader = SseReader()
        is_finished = False
        while True:
            data = await stream.async_read(action.answer_deadline)
            if data is None:
                break
            for event in _parse_and_merge(reader.feed(data)):
                is_finished = (
                    self._handle_engine_event(action, exchange, event)
                    or is_finished
                )
        if not is_finished:
            self._report_loss(action, LossKind.CUT)

    def _handle_engine_event(
        self, action: StartAttempt, exchange: Exchange, event: dict[str, Any]
    ) -> bool:
        """Post one event of an engine; return whether it was the last one."""
        for field in ("cached_tokens", "computed_tokens"):
            if field in event:
                previous = exchange.usage.get(field, 0)
                exchange.usage[field] = previous + int(event[field])
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

    async def _async_migrate_kv_cache(
        self, source: KvSource, target: str
    ) -> None:
        """Migrate the KV cache of a stream, then cancel it at its source.

        The stream is cancelled even if the migration fails; the target then
        recomputes the cache from the tokens.
        """
        deadline = asyncio.get_running_loop().time() + KV_MIGRATION_TIMEOUT_S
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
        await self._async_cancel_stream(source.address, source.stream_id)

    async def _async_cancel_stream(self, address: str, stream_id: str) -> None:
        deadline = asyncio.get_running_loop().time() + CANCEL_TIMEOUT_S
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

    async def _async_run_plain(
        self, action: StartAttempt, exchange: Exchange
    ) -> None:
        request = exchange.request
        response = await self._client.async_request(
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
        if response.status in (429, 503):
            self._report_error_status(action, response)
            return
        exchange.responses[action.attempt_id] = response
        self._post(
            PlainAnswered(
                request_id=action.request_id,
                attempt_id=action.attempt_id,
                status=response.status,
            )
        )


def _build_engine_request(
    action: StartAttempt, exchange: Exchange
) -> tuple[str, str, bytes]:
    """Return the method, target and body of the request to an engine."""
    if action.mode is AttemptMode.ATTACH:
        target = f"/v1/streams/{action.stream_id}?offset={action.offset}"
        return "GET", target, b""
    loop = asyncio.get_running_loop()
    remaining_s = max(0.0, action.answer_deadline - loop.time())
    waxwing_fields: dict[str, Any] = {
        "stream_id": action.stream_id,
        "priority": exchange.request.priority,
        "deadline_ms": int(remaining_s * MS_PER_S),
    }
    if action.mode is AttemptMode.RESUME:
        waxwing_fields["resume_text_tokens"] = action.tokens
    payload = {**exchange.payload, "stream": True, "waxwing": waxwing_fields}
    return "POST", exchange.request.path, orjson.dumps(payload)


def _parse_and_merge(events: list[bytes]) -> list[dict[str, Any]]:
    """Parse events; merge chunks whose tokens are contiguous."""
    merged: list[dict[str, Any]] = []
    for data in events:
        if data == DONE_EVENT_DATA:
            continue
        event = orjson.loads(data)
        last = merged[-1] if merged else None
        if last and _is_contiguous(last, event):
            last["tokens"] += event.pop("tokens")
            event.pop("offset")
            last.update(event)
        else:
            merged.append(event)
    return merged


def _is_contiguous(last: dict[str, Any], event: dict[str, Any]) -> bool:
    if not last.get("tokens") or not event.get("tokens"):
        return False
    return bool(last["offset"] + len(last["tokens"]) == event["offset"])
