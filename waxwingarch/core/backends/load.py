"""Loads and prefix caches of servers, from own and reported requests."""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from waxwingarch.core.base import HostId, RequestId, ServerId
from waxwingarch.core.exchange.exchange_messages import PromptPart


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerLoad:
    """The requests of one or more hosts on one server.

    `prefill_tokens` are the prompt tokens that the server still has to
    read, those of requests without a first token. `kv_tokens` are the
    tokens that all the requests may occupy in its key-value cache.
    """

    running: int = 0
    prefill_tokens: int = 0
    kv_tokens: int = 0


@dataclass(kw_only=True, slots=True)
class _PeerLoad:
    """The sum of what the peers reported of one server."""

    running: int = 0
    prefill_tokens: int = 0
    kv_tokens: int = 0

    def add(self, load: ServerLoad, sign: int) -> None:
        self.running += sign * load.running
        self.prefill_tokens += sign * load.prefill_tokens
        self.kv_tokens += sign * load.kv_tokens


@dataclass(kw_only=True, slots=True)
class ActiveAttempt:
    """An attempt of a request that has not ended on its server.

    `expected_s` is the expected time to the first byte, and
    `first_byte_s` the time it took. The last two say whether the time to
    the first byte, and from there to the end, were counted as evidence.
    """

    server_id: ServerId
    sent_at: float
    prefill_tokens: int
    kv_tokens: int
    expected_s: float
    has_started: bool = False
    first_byte_s: float | None = None
    is_wait_counted: bool = False
    is_rest_counted: bool = False

    def answered_for_s(self, now: float) -> float:
        """Return the time since the first byte, 0 without one."""
        if self.first_byte_s is None:
            return 0.0
        return now - self.sent_at - self.first_byte_s


@dataclass(kw_only=True, slots=True)
class _OwnLoad:
    """The requests of this host on one server."""

    running: int = 0
    prefill_tokens: int = 0
    kv_tokens: int = 0
    last_activity_at: float = float("-inf")


class LoadTracker:
    """Loads by server: this host's own, and those that peers report."""

    def __init__(self) -> None:
        self._attempts: dict[RequestId, ActiveAttempt] = {}
        self._own: dict[ServerId, _OwnLoad] = {}
        self._peers: dict[HostId, Mapping[ServerId, ServerLoad]] = {}
        self._peer_totals: dict[ServerId, _PeerLoad] = {}
        self._sums: Mapping[ServerId, ServerLoad] = {}
        self._covered: frozenset[HostId] = frozenset()

    def record_attempt(
        self, request_id: RequestId, attempt: ActiveAttempt
    ) -> None:
        """Add a request to the load of a server, and end its last attempt."""
        self.record_attempt_end(request_id)
        self._attempts[request_id] = attempt
        own = self._own.setdefault(attempt.server_id, _OwnLoad())
        own.running += 1
        own.prefill_tokens += attempt.prefill_tokens
        own.kv_tokens += attempt.kv_tokens

    def record_response_start(
        self, now: float, request_id: RequestId
    ) -> ActiveAttempt | None:
        """Record the first byte; return the attempt if it is the first.

        The server has read the prompt then.
        """
        attempt = self._attempts.get(request_id)
        if attempt is None:
            return None
        self._own[attempt.server_id].last_activity_at = now
        if attempt.has_started:
            return None
        attempt.has_started = True
        attempt.first_byte_s = now - attempt.sent_at
        self._own[attempt.server_id].prefill_tokens -= attempt.prefill_tokens
        return attempt

    def record_attempt_end(
        self, request_id: RequestId
    ) -> ActiveAttempt | None:
        """Take the request off the load of its server."""
        attempt = self._attempts.pop(request_id, None)
        if attempt is None:
            return None
        own = self._own[attempt.server_id]
        own.running -= 1
        own.kv_tokens -= attempt.kv_tokens
        if not attempt.has_started:
            own.prefill_tokens -= attempt.prefill_tokens
        return attempt

    def attempt_of(self, request_id: RequestId) -> ActiveAttempt | None:
        """Return the attempt of a request that is on a server."""
        return self._attempts.get(request_id)

    def server_of(self, request_id: RequestId) -> ServerId | None:
        """Return the server that a request is on."""
        attempt = self._attempts.get(request_id)
        return attempt.server_id if attempt else None

    def requests_on(self, server_id: ServerId) -> list[RequestId]:
        """Return this host's requests on a server."""
        return [
            request_id
            for request_id, attempt in self._attempts.items()
            if attempt.server_id == server_id
        ]

    def record_activity(self, now: float, server_id: ServerId) -> None:
        """Record that bytes were received from a server."""
        own = self._own.get(server_id)
        if own is not None:
            own.last_activity_at = now

    def last_activity_at(self, server_id: ServerId) -> float:
        """Return when bytes were last received from a server."""
        own = self._own.get(server_id)
        return own.last_activity_at if own else float("-inf")

    def record_peer_loads(
        self, host: HostId, loads: Mapping[ServerId, ServerLoad]
    ) -> None:
        """Replace what a peer reported of its requests."""
        self.forget_peer(host)
        self._peers[host] = loads
        if host not in self._covered:
            self._add_to_totals(loads)

    def record_sums(
        self,
        loads: Mapping[ServerId, ServerLoad],
        covered: frozenset[HostId],
    ) -> None:
        """Replace the sum of the loads of some hosts.

        The reports of these hosts do not count as long as the sum does.
        """
        self._sums = loads
        for host in covered - self._covered:
            self._remove_from_totals(self._peers.get(host, {}))
        for host in self._covered - covered:
            self._add_to_totals(self._peers.get(host, {}))
        self._covered = covered

    def forget_peer(self, host: HostId) -> None:
        """Drop the loads of a peer that sends no reports any more."""
        loads = self._peers.pop(host, {})
        if host not in self._covered:
            self._remove_from_totals(loads)

    def _add_to_totals(self, loads: Mapping[ServerId, ServerLoad]) -> None:
        for server_id, load in loads.items():
            self._peer_totals.setdefault(server_id, _PeerLoad()).add(load, 1)

    def _remove_from_totals(
        self, loads: Mapping[ServerId, ServerLoad]
    ) -> None:
        for server_id, load in loads.items():
            total = self._peer_totals[server_id]
            total.add(load, -1)
            if not total.running:
                del self._peer_totals[server_id]

    def own_loads(self) -> dict[ServerId, ServerLoad]:
        """Return this host's own loads, for its report to the peers."""
        return {
            server_id: _as_server_load(own)
            for server_id, own in self._own.items()
            if own.running
        }

    def own_running(self, server_id: ServerId) -> int:
        """Return how many requests of this host are on a server."""
        own = self._own.get(server_id)
        return own.running if own else 0

    def total_load(self, server_id: ServerId) -> ServerLoad:
        """Return the load by all hosts, as far as they reported it."""
        own = self._own.get(server_id)
        peers = self._peer_totals.get(server_id)
        sums = self._sums.get(server_id)
        if peers is None and own is None:
            return sums or ServerLoad()
        parts = [p for p in (own, peers, sums) if p is not None]
        if len(parts) == 1:
            return _as_server_load(parts[0])
        running = prefill_tokens = kv_tokens = 0
        for part in parts:
            running += part.running
            prefill_tokens += part.prefill_tokens
            kv_tokens += part.kv_tokens
        return ServerLoad(
            running=running, prefill_tokens=prefill_tokens, kv_tokens=kv_tokens
        )

    def forget(self, server_id: ServerId) -> None:
        """Drop a departed server, unless requests of this host are on it."""
        own = self._own.get(server_id)
        if own is not None and not own.running:
            del self._own[server_id]


def _as_server_load(load: _OwnLoad | _PeerLoad | ServerLoad) -> ServerLoad:
    return ServerLoad(
        running=load.running,
        prefill_tokens=load.prefill_tokens,
        kv_tokens=load.kv_tokens,
    )


@dataclass(kw_only=True, slots=True)
class _PrefixCache:
    """The tokens of each part in a server's cache, and their sum.

    The least recently used part is first.
    """

    part_tokens: OrderedDict[str, int] = field(default_factory=OrderedDict)
    tokens: int = 0


class PrefixCacheTracker:
    """An estimate of the prompt parts that each server has cached.

    It is based on what this host sent there. A part is of use only if
    all parts before it are cached as well. When the server's cache is
    full, the least recently used parts are evicted.
    """

    def __init__(self) -> None:
        self._caches: dict[ServerId, _PrefixCache] = {}
        self._holders: dict[str, set[ServerId]] = {}

    def holders(self, part: str) -> Iterable[ServerId]:
        """Return the servers that have cached a part."""
        return self._holders.get(part, ())

    def cached_tokens(
        self, server_id: ServerId, parts: Iterable[PromptPart]
    ) -> int:
        """Return how many tokens of a prompt a server has cached."""
        cache = self._caches.get(server_id)
        if cache is None:
            return 0
        tokens = 0
        for part in parts:
            if part.part not in cache.part_tokens:
                break
            tokens += part.tokens
        return tokens

    def record_prompt(
        self,
        server_id: ServerId,
        parts: Iterable[PromptPart],
        capacity_tokens: int,
    ) -> None:
        """Record that a server reads a prompt of these parts.

        Its cache holds up to `capacity_tokens`.
        """
        cache = self._caches.setdefault(server_id, _PrefixCache())
        for part in parts:
            if part.part in cache.part_tokens:
                cache.part_tokens.move_to_end(part.part)
                continue
            cache.part_tokens[part.part] = part.tokens
            cache.tokens += part.tokens
            self._holders.setdefault(part.part, set()).add(server_id)
        while cache.tokens > capacity_tokens and cache.part_tokens:
            evicted, tokens = cache.part_tokens.popitem(last=False)
            cache.tokens -= tokens
            self._remove_holder(evicted, server_id)

    def forget(self, server_id: ServerId) -> None:
        """Drop the cache of a server that has departed or restarted."""
        cache = self._caches.pop(server_id, None)
        for part in cache.part_tokens if cache else ():
            self._remove_holder(part, server_id)

    def _remove_holder(self, part: str, server_id: ServerId) -> None:
        holders = self._holders[part]
        holders.discard(server_id)
        if not holders:
            del self._holders[part]
