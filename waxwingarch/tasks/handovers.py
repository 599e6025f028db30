"""Hand-overs, which let a peer continue a request of a leaving host.

This host stores the hand-overs of its peers, sends those of its own requests
and fetches those of requests that callers resume here.
"""

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

# Bounds on the hand-overs that one host stores for its peers.
MAX_STORED_HAND_OVERS: Final = 2000
MAX_STORED_BYTES: Final = 8 * 1024 * 1024
CALL_TIMEOUT_S: Final = 0.7


class HandOverStore:
    """Stores the progress of peers' requests until their deadlines."""

    def __init__(self) -> None:
        self._by_key: OrderedDict[RequestId, HandOver] = OrderedDict()
        self._stored_bytes = 0

    def __len__(self) -> int:
        return len(self._by_key)

    def store(self, hand_over: HandOver) -> bool:
        """Store or replace a hand-over; return False if there is no room."""
        self._remove_expired()
        key = hand_over_key(hand_over.stream_id)
        added_bytes = _size_bytes(hand_over)
        replaced = self._by_key.get(key)
        if replaced:
            added_bytes -= _size_bytes(replaced)
        is_full = (
            len(self._by_key) >= MAX_STORED_HAND_OVERS and replaced is None
        )
        if is_full or self._stored_bytes + added_bytes > MAX_STORED_BYTES:
            return False
        self._by_key[key] = hand_over
        self._stored_bytes += added_bytes
        return True

    def find(self, key: RequestId) -> HandOver | None:
        """Return the hand-over stored under a key, if any."""
        return self._by_key.get(key)

    def _remove_expired(self) -> None:
        unix_now = time.time()
        expired = [
            k for k, h in self._by_key.items() if h.deadline_unix < unix_now
        ]
        for key in expired:
            self._stored_bytes -= _size_bytes(self._by_key.pop(key))


class HandOverTasks:
    """Executes the node's `SendHandOver` and `FetchHandOver` actions."""

    def __init__(
        self,
        runner: ContractRunner,
        exchanges: Exchanges,
        peers: GrpcPeers,
        store: HandOverStore,
    ) -> None:
        self._runner = runner
        self._exchanges = exchanges
        self._peers = peers
        self._store = store
        self._tasks: set[asyncio.Task[None]] = set()
        runner.connect(SendHandOver, self._handle_send)
        runner.connect(FetchHandOver, self._handle_fetch)

    async def async_unload(self) -> None:
        """Wait for the hand-overs in progress, bounded by `CALL_TIMEOUT_S`."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, call: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _handle_send(self, action: SendHandOver) -> None:
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
        calls = [
            self._async_send_to_peer(peer, hand_over) for peer in action.peers
        ]
        keeper_count = sum(await asyncio.gather(*calls))
        log_message(
            message_type="handed_over",
            request_id=action.request_id,
            tokens=len(action.tokens),
            keepers=keeper_count,
        )
        if action.close:
            exchange.put(
                RequestHandedOver(
                    request_id=action.request_id,
                    server_id=action.server_id,
                    stream_id=action.stream_id,
                )
            )

    async def _async_send_to_peer(
        self, peer: str, hand_over: HandOver
    ) -> bool:
        try:
            return await self._peers.async_hand_over(
                peer, hand_over, _deadline()
            )
        except LinkError:
            return False

    def _handle_fetch(self, action: FetchHandOver) -> None:
        self._spawn(self._async_fetch(action))

    async def _async_fetch(self, action: FetchHandOver) -> None:
        """Query this host and all peers at once; use the longest progress."""
        calls = [
            self._async_fetch_from_peer(peer, action.key)
            for peer in action.peers
        ]
        found = [self._store.find(action.key), *await asyncio.gather(*calls)]
        exchange = self._exchanges.get(action.request_id)
        tokens: tuple[str, ...] = ()
        for hand_over in found:
            if hand_over is None or exchange is None:
                continue
            same_account = hand_over.account == exchange.request.account
            if same_account and len(hand_over.tokens) > len(tokens):
                tokens = hand_over.tokens
        self._runner.post(
            HandOverFetched(request_id=action.request_id, tokens=tokens)
        )

    async def _async_fetch_from_peer(
        self, peer: str, key: RequestId
    ) -> HandOver | None:
        try:
            return await self._peers.async_fetch_hand_over(
                peer, key, _deadline()
            )
        except LinkError:
            return None


def _size_bytes(hand_over: HandOver) -> int:
    """Return the approximate size: a token counts a byte per character."""
    return len(hand_over.body) + sum(len(t) for t in hand_over.tokens)


def _deadline() -> float:
    return asyncio.get_running_loop().time() + CALL_TIMEOUT_S
