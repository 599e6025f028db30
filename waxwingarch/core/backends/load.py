"""What runs on the servers: own sends, and what peers report of theirs."""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from waxwingarch.core.base import HostId, RequestId, ServerId
from waxwingarch.core.exchange.exchange_messages import PromptPart


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerLoad:
    """Requests of one host on one server.

    `prefill_tokens` are those of requests that have no token yet,
    `kv_tokens` what all of them may occupy.
    """

    running: int = 0
    prefill_tokens: int = 0
    kv_tokens: int = 0


@dataclass(kw_only=True, slots=True)
class _Sum:
    """The loads of several hosts on one server."""

    running: int = 0
    prefill_tokens: int = 0
    kv_tokens: int = 0

    def add(self, load: ServerLoad, sign: int) -> None:
        self.running += sign * load.running
        self.prefill_tokens += sign * load.prefill_tokens
        self.kv_tokens += sign * load.kv_tokens


@dataclass(kw_only=True, slots=True)
class ActiveAttempt:
    """One request on a server."""

    server_id: ServerId
    sent_at: float
    prefill_tokens: int
    kv_tokens: int
    expected_s: float
    has_started: bool = False
    first_byte_s: float | None = None


@dataclass(kw_only=True, slots=True)
class _Own:
    running: int = 0
    prefill_tokens: int = 0
    kv_tokens: int = 0
    heard_at: float = float("-inf")


class LoadTracker:
    """Loads by server."""

    def __init__(self) -> None:
        self._sent: dict[RequestId, ActiveAttempt] = {}
        self._own: dict[ServerId, _Own] = {}
        self._peers: dict[HostId, Mapping[ServerId, ServerLoad]] = {}
        self._sums: dict[ServerId, _Sum] = {}

    def record_attempt(
        self, request_id: RequestId, sent: ActiveAttempt
    ) -> None:
        """Count a request as sent."""
        self.record_attempt_end(request_id)
        self._sent[request_id] = sent
        own = self._own.setdefault(sent.server_id, _Own())
        own.running += 1
        own.prefill_tokens += sent.prefill_tokens
        own.kv_tokens += sent.kv_tokens

    def record_response_start(
        self, now: float, request_id: RequestId
    ) -> ActiveAttempt | None:
        """Count a request's prompt as read; returns it the first time."""
        sent = self._sent.get(request_id)
        if sent is None:
            return None
        self._own[sent.server_id].heard_at = now
        if sent.has_started:
            return None
        sent.has_started = True
        sent.first_byte_s = now - sent.sent_at
        self._own[sent.server_id].prefill_tokens -= sent.prefill_tokens
        return sent

    def record_attempt_end(
        self, request_id: RequestId
    ) -> ActiveAttempt | None:
        """Count a request as ended."""
        sent = self._sent.pop(request_id, None)
        if sent is None:
            return None
        own = self._own[sent.server_id]
        own.running -= 1
        own.kv_tokens -= sent.kv_tokens
        if not sent.has_started:
            own.prefill_tokens -= sent.prefill_tokens
        return sent

    def attempt_of(self, request_id: RequestId) -> ActiveAttempt | None:
        """Return what was expected of a request that is on a server."""
        return self._sent.get(request_id)

    def server_of(self, request_id: RequestId) -> ServerId | None:
        """Return the server that a request is on."""
        sent = self._sent.get(request_id)
        return sent.server_id if sent else None

    def requests_on(self, server_id: ServerId) -> list[RequestId]:
        """Return this host's requests on a server."""
        return [r for r, s in self._sent.items() if s.server_id == server_id]

    def record_activity(self, now: float, server_id: ServerId) -> None:
        """Note that bytes came from a server."""
        own = self._own.get(server_id)
        if own is not None:
            own.heard_at = now

    def last_activity_at(self, server_id: ServerId) -> float:
        """Return when bytes last came from a server."""
        own = self._own.get(server_id)
        return own.heard_at if own else float("-inf")

    def record_peer_loads(
        self, host: HostId, loads: Mapping[ServerId, ServerLoad]
    ) -> None:
        """Take what a peer reports of its requests."""
        self.forget_peer(host)
        self._peers[host] = loads
        for server_id, load in loads.items():
            self._sums.setdefault(server_id, _Sum()).add(load, 1)

    def forget_peer(self, host: HostId) -> None:
        """Forget a peer that is not heard of any more."""
        for server_id, load in self._peers.pop(host, {}).items():
            total = self._sums[server_id]
            total.add(load, -1)
            if not total.running:
                del self._sums[server_id]

    def own_loads(self) -> dict[ServerId, ServerLoad]:
        """Return this host's loads, for the peers."""
        return {
            server_id: _load(own)
            for server_id, own in self._own.items()
            if own.running
        }

    def total_load(self, server_id: ServerId) -> ServerLoad:
        """Return the load by all hosts, as far as known."""
        own = self._own.get(server_id)
        peers = self._sums.get(server_id)
        if peers is None:
            return _load(own) if own else ServerLoad()
        if own is None:
            return _load(peers)
        return ServerLoad(
            running=own.running + peers.running,
            prefill_tokens=own.prefill_tokens + peers.prefill_tokens,
            kv_tokens=own.kv_tokens + peers.kv_tokens,
        )

    def forget(self, server_id: ServerId) -> None:
        """Drop a server that is gone and has no requests of this host."""
        own = self._own.get(server_id)
        if own is not None and not own.running:
            del self._own[server_id]


def _load(counted: _Own | _Sum) -> ServerLoad:
    return ServerLoad(
        running=counted.running,
        prefill_tokens=counted.prefill_tokens,
        kv_tokens=counted.kv_tokens,
    )


@dataclass(kw_only=True, slots=True)
class _Cache:
    held: OrderedDict[str, int] = field(default_factory=OrderedDict)
    tokens: int = 0


class PrefixCacheTracker:
    """Which prompt parts a server has read, by what this host sent there.

    A part counts only if all parts before it are held; the least
    recently used yield when the server's memory is full.
    """

    def __init__(self) -> None:
        self._caches: dict[ServerId, _Cache] = {}
        self._holders: dict[str, set[ServerId]] = {}

    def holders(self, part: str) -> Iterable[ServerId]:
        """Return the servers that have read a part."""
        return self._holders.get(part, ())

    def held_tokens(
        self, server_id: ServerId, parts: Iterable[PromptPart]
    ) -> int:
        """Return how many of a prompt's tokens a server has read."""
        cache = self._caches.get(server_id)
        if cache is None:
            return 0
        tokens = 0
        for part in parts:
            if part.part not in cache.held:
                break
            tokens += part.tokens
        return tokens

    def read(
        self, server_id: ServerId, parts: Iterable[PromptPart], room: int
    ) -> None:
        """Note that a server reads parts; it has room for so many tokens."""
        cache = self._caches.setdefault(server_id, _Cache())
        for part in parts:
            if part.part in cache.held:
                cache.held.move_to_end(part.part)
                continue
            cache.held[part.part] = part.tokens
            cache.tokens += part.tokens
            self._holders.setdefault(part.part, set()).add(server_id)
        while cache.tokens > room and cache.held:
            dropped, tokens = cache.held.popitem(last=False)
            cache.tokens -= tokens
            self._unhold(dropped, server_id)

    def forget(self, server_id: ServerId) -> None:
        """Drop a server that is gone or has started again."""
        cache = self._caches.pop(server_id, None)
        for part in cache.held if cache else ():
            self._unhold(part, server_id)

    def _unhold(self, part: str, server_id: ServerId) -> None:
        holders = self._holders[part]
        holders.discard(server_id)
        if not holders:
            del self._holders[part]
