"""The stand-in model engine.

Run with `python -m standins.engine --port P --server-id S --service V`.
"""

import argparse
import asyncio
import base64
import json
import time
from typing import Any, Final

import xxhash

from standins.answers import BLOCK_WORDS, block_hashes
from standins.bad_versions import BadVersions
from standins.base import ApiError, Exchange, StandIn, async_run, base_parser
from standins.batch import NEVER, Batch, Phase, Speeds, Stream
from standins.engine_messages import (
    CompletionBody,
    ExportBody,
    ImportBody,
    Order,
    StartBody,
    unstreamed_response,
)
from standins.event_stream import EventWriter
from standins.prefix_cache import PrefixCache
from standins.versions import EngineState, WeightLoader

COMPLETION_PATHS: Final = ("/v1/completions", "/v1/chat/completions")
STREAMS_PATH: Final = "/v1/streams/"


class Engine(StandIn):
    """Serves deterministic answers at configured speeds."""

    def __init__(self, args: argparse.Namespace) -> None:
        super().__init__(args.server_id)
        self._args = args
        self._loop = asyncio.get_running_loop()
        self.state = EngineState(
            version=args.version, incarnation=args.incarnation
        )
        self._bad_versions = BadVersions(
            self.faults,
            self._loop.time,
            lambda: self.state.version,
            lambda: self._batch.running,
        )
        self._cache = PrefixCache(
            self._loop.time,
            args.kv_blocks,
            lag_s=args.cache_lag_s,
            gap_every=args.cache_gap_every,
        )
        self._batch = Batch(
            self._cache,
            args.slots,
            Speeds(
                decode=args.tokens_per_second,
                prefill=args.prefill_tokens_per_second,
            ),
            slowdown=self._bad_versions.speed_factor,
            on_end=self._on_end,
        )
        self._loader = WeightLoader(
            args.platform, args.weights_mb, args.load_s
        )
        self._loading_task: asyncio.Task[None] | None = None
        self._streams: dict[str, Stream] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = NEVER
        self._maintenance_task: asyncio.Task[None] | None = None
        self._last_stream_number = 0
        self._published_load = self._current_load()
        self.stopped = False

    async def async_setup(self, port: int) -> int:
        """Start listening and return the port."""
        self._maintenance_task = self._loop.create_task(self._async_maintain())
        return await super().async_setup(port)

    async def async_unload(self) -> None:
        """Stop without waiting for requests in progress."""
        for task in (self._maintenance_task, self._loading_task):
            if task is not None:
                task.cancel()
        if self._timer is not None:
            self._timer.cancel()
        await self._loader.async_unload()
        await super().async_unload()

    # The batch, with one timer for all streams

    def _tick(self) -> None:
        self._timer = None
        self._timer_at = NEVER
        self._batch.advance(self._loop.time())
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        due_s = self._batch.seconds_until_due()
        if due_s == NEVER:
            return
        due_at = self._loop.time() + max(due_s, self._args.tick_ms / 1000)
        if self._timer is not None:
            if self._timer_at <= due_at:
                return
            self._timer.cancel()
        self._timer_at = due_at
        self._timer = self._loop.call_at(due_at, self._tick)

    async def _async_maintain(self) -> None:
        """Publish the load and drop streams whose hold time is over."""
        while True:
            await asyncio.sleep(self._args.load_lag_s)
            self._published_load = self._current_load()
            self._drop_expired_streams(self._loop.time())

    def _drop_expired_streams(self, now: float) -> None:
        expired = [
            s
            for s in self._streams.values()
            if now - s.unread_since > self._args.hold_s
        ]
        for stream in expired:
            self._batch.cancel(now, stream)
            del self._streams[stream.stream_id]

    def _current_load(self) -> dict[str, Any]:
        now = time.time()
        return {
            "running": self._batch.running,
            "waiting": self._batch.waiting,
            "kv_used": self._batch.kv_used,
            "kv_total": self._cache.capacity,
            "as_of": now,
            "as_of_ms": int(now * 1000),
            "incarnation": self.state.incarnation,
        }

    # Requests

    async def async_serve(self, exchange: Exchange) -> None:
        """Dispatch a request by its method and path."""
        if self.stopped:
            exchange.resp.abort()
            return
        req = exchange.req
        if req.path.startswith(STREAMS_PATH):
            await self._async_stream(exchange, req.path[len(STREAMS_PATH) :])
            return
        match req.method, req.path:
            case "POST", path if path in COMPLETION_PATHS:
                await self._async_complete(exchange)
            case "GET", "/v1/load":
                await exchange.async_json(200, self._published_load)
            case "GET", "/v1/state":
                await exchange.async_json(200, self.state.wire())
            case "GET", "/v1/cache/events":
                await self._async_cache_events(exchange)
            case "POST", "/v1/orders":
                await self._async_order(exchange)
            case "POST", "/v1/kv/export":
                await self._async_export(exchange)
            case "POST", "/v1/kv/import":
                await self._async_import(exchange)
            case _:
                raise ApiError(404, "not_found", "no such path")

    async def _async_complete(self, exchange: Exchange) -> None:
        req = exchange.req
        body = CompletionBody.model_validate_json(req.body)
        if self._bad_versions.fails(req.path):
            self.journal.add("failed", path=req.path)
            raise ApiError(500, "internal", "bad version")
        stream = self._submit(exchange, body)
        if body.stream:
            writer = EventWriter(exchange, stream, self._loop.time)
            await writer.async_run(len(stream.resumed), first=True)
            return
        await self._async_send_unstreamed(exchange, body, stream)

    def _submit(self, exchange: Exchange, body: CompletionBody) -> Stream:
        waxwing_fields = body.waxwing
        self._last_stream_number += 1
        stream = Stream(
            stream_id=waxwing_fields.stream_id
            or f"{self.name}-{self._last_stream_number}",
            path=exchange.req.path,
            prompt=body.prompt_text(),
            resumed=tuple(waxwing_fields.resume_text_tokens or ()),
            total=body.max_tokens,
            priority=waxwing_fields.priority,
        )
        if stream.stream_id in self._streams:
            raise ApiError(409, "stream_exists", "attach to the stream")
        if len(stream.resumed) > stream.total:
            raise ApiError(400, "bad_request", "resumed past the end")
        if self._batch.blocks_needed(stream) > self._cache.capacity:
            raise ApiError(400, "too_long", "send a shorter prompt")
        self.journal.add(
            "begun",
            op=stream.stream_id,
            path=stream.path,
            body_digest=xxhash.xxh3_64_hexdigest(stream.prompt.encode()),
            offset=len(stream.resumed),
            priority=stream.priority,
            version=self.state.version,
        )
        stream.unread_since = self._loop.time()
        self._streams[stream.stream_id] = stream
        self._batch.submit(self._loop.time(), stream)
        self._schedule_tick()
        return stream

    def _on_end(self, stream: Stream) -> None:
        self.journal.add(
            "finished" if stream.phase is Phase.FINISHED else "cancelled",
            op=stream.stream_id,
            path=stream.path,
            produced=stream.produced,
            cached_tokens=stream.cached_tokens,
            computed_tokens=stream.computed_tokens,
        )

    async def _async_send_unstreamed(
        self, exchange: Exchange, body: CompletionBody, stream: Stream
    ) -> None:
        writer = EventWriter(exchange, stream, self._loop.time)
        await writer.async_wait_end()
        if stream.phase is Phase.CANCELLED:
            raise ApiError(409, "cancelled", "the stream was cancelled")
        waxwing = {
            "stream_id": stream.stream_id,
            "digest": stream.digest(),
            "cached_tokens": stream.cached_tokens,
            "computed_tokens": stream.computed_tokens,
        }
        text = "".join(stream.tokens(0, stream.total))
        answer = unstreamed_response(body, stream.stream_id, text, waxwing)
        if self.faults.consume("cut") is not None:
            exchange.resp.abort()
            return
        await exchange.async_delay_response()
        await exchange.async_json(200, answer)

    async def _async_stream(self, exchange: Exchange, stream_id: str) -> None:
        stream = self._streams.get(stream_id)
        if exchange.req.method == "DELETE":
            if stream is not None:
                self._batch.cancel(self._loop.time(), stream)
                self._schedule_tick()
            await exchange.async_json(200, {})
            return
        if stream is None or stream.phase is Phase.CANCELLED:
            raise ApiError(404, "not_held", "resume the answer elsewhere")
        offset = exchange.int_query("offset", 0)
        self.journal.add("attached", op=stream_id, offset=offset)
        writer = EventWriter(exchange, stream, self._loop.time)
        await writer.async_run(offset, first=False)

    async def _async_cache_events(self, exchange: Exchange) -> None:
        after = exchange.int_query("after", 0)
        events = self._cache.events_after(after)
        seq = max((e.seq for e in events), default=after)
        body = {"events": [e.wire() for e in events], "seq": seq}
        await exchange.async_json(200, body)

    # KV cache

    async def _async_export(self, exchange: Exchange) -> None:
        body = ExportBody.model_validate_json(exchange.req.body)
        stream = self._streams.get(body.stream_id)
        if stream is None or stream.phase in {Phase.WAITING, Phase.CANCELLED}:
            raise ApiError(404, "not_held", "resume the answer elsewhere")
        words = stream.words()
        text = json.dumps([self.state.version, words]).encode()
        self.journal.add("kv_export", op=body.stream_id, tokens=len(words))
        blob = base64.b64encode(text).decode()
        await exchange.async_json(200, {"blob": blob, "tokens": len(words)})

    async def _async_import(self, exchange: Exchange) -> None:
        body = ImportBody.model_validate_json(exchange.req.body)
        try:
            version, words = json.loads(base64.b64decode(body.blob))
        except ValueError:
            raise ApiError(400, "bad_blob", "export the cache again") from None
        if version != self.state.version:
            raise ApiError(409, "other_version", "recompute the prompt")
        await asyncio.sleep(len(words) / self._args.kv_tokens_per_second)
        blocks = block_hashes(words)
        self._cache.add(blocks)
        cached = len(blocks) * BLOCK_WORDS
        self.journal.add("kv_import", tokens=cached)
        await exchange.async_json(200, {"cached_tokens": cached})

    # Orders

    async def _async_order(self, exchange: Exchange) -> None:
        order = Order.model_validate_json(exchange.req.body)
        ignores_fencing = self._args.ignore_fencing or bool(
            self.faults.active("ignore_fencing")
        )
        try:
            self.state.apply_order(order, check_fencing=not ignores_fencing)
        except ApiError:
            self.journal.add(
                "order_refused", op=order.order_id, fencing=order.fencing
            )
            raise
        self.journal.add(
            "order",
            op=order.order_id,
            fencing=order.fencing,
            want=order.want.model_dump(exclude_none=True),
        )
        if not self.state.loaded and self._loading_task is None:
            self._loading_task = self._loop.create_task(self._async_load())
        await exchange.async_json(200, self.state.wire())

    async def _async_load(self) -> None:
        """Load the wanted version, again if it changed meanwhile."""
        try:
            while not self.state.loaded:
                wanted = self.state.wanted
                await self._loader.async_load(self._args.service, wanted)
                if wanted == self.state.wanted:
                    self._serve_version(wanted)
        finally:
            self._loading_task = None

    def _serve_version(self, version: str) -> None:
        self.state.version = version
        self._cache.clear()
        self.journal.add("loaded", version=version)

    # Start and stop of the host

    async def async_admin(self, exchange: Exchange) -> None:
        """Start or stop the engine when the platform notifies it."""
        match exchange.req.method, exchange.req.path:
            case "PUT", "/admin/start":
                body = StartBody.model_validate_json(exchange.req.body)
                self.state = EngineState(
                    version=body.version, incarnation=body.incarnation
                )
                self.stopped = False
                self._published_load = self._current_load()
                await exchange.async_json(200, {})
            case "PUT", "/admin/stop":
                await exchange.async_json(200, {})
                self._stop(exchange)
            case _:
                await super().async_admin(exchange)

    def _stop(self, exchange: Exchange) -> None:
        self.stopped = True
        self.drop_connections(keep=exchange.resp)
        now = self._loop.time()
        for stream in self._streams.values():
            self._batch.cancel(now, stream)
        self._streams.clear()
        self._cache.clear()


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = base_parser("Stand-in model engine.")
    add = parser.add_argument
    add("--server-id", required=True)
    add("--service", required=True)
    add("--version", default="v1")
    add("--incarnation", type=int, default=1)
    add("--slots", type=int, default=8)
    add("--tokens-per-second", type=float, default=50.0)
    add("--prefill-tokens-per-second", type=float, default=5000.0)
    add("--kv-blocks", type=int, default=4096)
    add("--kv-tokens-per-second", type=float, default=200_000.0)
    add("--hold-s", type=float, default=30.0)
    add("--tick-ms", type=float, default=2.0)
    add("--load-lag-s", type=float, default=0.25)
    add("--cache-lag-s", type=float, default=0.25)
    add("--cache-gap-every", type=int, default=50)
    add("--ignore-fencing", action="store_true")
    add("--platform", help="address of the weight store")
    add("--weights-mb", type=float, default=100.0)
    add("--load-s", type=float, default=0.0)
    return parser


async def _async_main() -> None:
    args = build_parser().parse_args()
    await async_run(Engine(args), args)


if __name__ == "__main__":
    asyncio.run(_async_main())
