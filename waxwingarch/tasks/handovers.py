"""Hand-overs: keeps those of peers, gives and fetches this host's own."""

import asyncio
import time
from collections import OrderedDict
from collections.abc import Coroutine
from typing import Any, Final

from eliot import log_message

from waxwingarch.adapters.grpc_peers import GrpcPeers
from waxwingarch.core.base import RequestId
from waxwingarch.core.request import FetchHandOver, HandOverFetched
from waxwingarch.core.requests.handoff import SendHandOver
from waxwingarch.core.requests.handover import HandOver, hand_over_key
from waxwingarch.exceptions import LinkError
from waxwingarch.tasks.exchange import Exchange, Exchanges, RequestHandedOver
from waxwingarch.tasks.runner import ContractRunner

MAX_KEPT: Final = 2000
MAX_KEPT_BYTES: Final = 8 * 1024 * 1024
CALL_LIMIT_S: Final = 0.7


class HandOverShelf:
    """Keeps the progress of peers' requests until their deadlines."""

    def __init__(self) -> None:
        self._kept: OrderedDict[RequestId, HandOver] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._kept)

    def keep(self, hand_over: HandOver) -> bool:
        """Keep a hand-over; False if there is no room."""
        self._expire()
        key = hand_over_key(hand_over.stream_id)
        size = _size(hand_over)
        known = self._kept.get(key)
        if known:
            size -= _size(known)
        full = len(self._kept) >= MAX_KEPT and known is None
        if full or self._bytes + size > MAX_KEPT_BYTES:
            return False
        self._kept[key] = hand_over
        self._bytes += size
        return True

    def find(self, key: RequestId) -> HandOver | None:
        """Return what is kept under a key."""
        return self._kept.get(key)

    def _expire(self) -> None:
        unix_now = time.time()
        over = [k for k, h in self._kept.items() if h.deadline_unix < unix_now]
        for key in over:
            self._bytes -= _size(self._kept.pop(key))


class HandOverTasks:
    """Carries out the hand-overs that the node asks for."""

    def __init__(
        self,
        runner: ContractRunner,
        exchanges: Exchanges,
        peers: GrpcPeers,
        shelf: HandOverShelf,
    ) -> None:
        self._runner = runner
        self._exchanges = exchanges
        self._peers = peers
        self._shelf = shelf
        self._tasks: set[asyncio.Task[None]] = set()
        runner.connect(SendHandOver, self._on_send)
        runner.connect(FetchHandOver, self._on_fetch)

    async def async_unload(self) -> None:
        """Wait for hand-overs under way: they are short."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, call: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _on_send(self, action: SendHandOver) -> None:
        exchange = self._exchanges.get(action.request_id)
        if exchange:
            self._spawn(self._async_send(action, exchange))

    async def _async_send(
        self, action: SendHandOver, exchange: Exchange
    ) -> None:
        hand_over = HandOver(
            request_id=action.request_id,
            account=action.account,
            path=exchange.request.path,
            body=exchange.body,
            tokens=action.tokens,
            server_id=action.server_id,
            stream_id=action.stream_id,
            deadline_unix=action.deadline_unix,
            digest=action.digest,
        )
        calls = [self._async_give(peer, hand_over) for peer in action.peers]
        kept = sum(await asyncio.gather(*calls))
        log_message(
            message_type="handed_over",
            request_id=action.request_id,
            tokens=len(action.tokens),
            keepers=kept,
        )
        if action.close:
            exchange.put(
                RequestHandedOver(
                    request_id=action.request_id,
                    server_id=action.server_id,
                    stream_id=action.stream_id,
                )
            )

    async def _async_give(self, peer: str, hand_over: HandOver) -> bool:
        try:
            return await self._peers.async_hand_over(
                peer, hand_over, _deadline()
            )
        except LinkError:
            return False

    def _on_fetch(self, action: FetchHandOver) -> None:
        self._spawn(self._async_fetch(action))

    async def _async_fetch(self, action: FetchHandOver) -> None:
        """Ask all keepers at once; the longest progress wins."""
        calls = [self._async_ask(peer, action.key) for peer in action.peers]
        answers = [self._shelf.find(action.key), *await asyncio.gather(*calls)]
        exchange = self._exchanges.get(action.request_id)
        tokens: tuple[str, ...] = ()
        for answer in answers:
            if answer is None or exchange is None:
                continue
            same = answer.account == exchange.request.account
            if same and len(answer.tokens) > len(tokens):
                tokens = answer.tokens
        self._runner.post(
            HandOverFetched(request_id=action.request_id, tokens=tokens)
        )

    async def _async_ask(self, peer: str, key: RequestId) -> HandOver | None:
        try:
            return await self._peers.async_fetch_hand_over(
                peer, key, _deadline()
            )
        except LinkError:
            return None


def _size(hand_over: HandOver) -> int:
    return len(hand_over.body) + sum(len(t) for t in hand_over.tokens)


def _deadline() -> float:
    return asyncio.get_running_loop().time() + CALL_LIMIT_S
