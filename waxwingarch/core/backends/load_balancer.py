"""Choice of a server for an exchange, by the wait expected there."""

from collections.abc import Collection
from dataclasses import dataclass
from typing import Final, Protocol

import xxhash

from waxwingarch.core.backends.health import HealthTracker
from waxwingarch.core.backends.latency import LatencyTracker
from waxwingarch.core.backends.load import (
    ActiveAttempt,
    LoadTracker,
    PrefixCacheTracker,
)
from waxwingarch.core.backends.peer_evidence import PeerEvidence
from waxwingarch.core.backends.registry import Backend, BackendRegistry
from waxwingarch.core.base import FailureDomain, Server, ServerId, ServiceId
from waxwingarch.core.exchange.exchange_messages import Exchange
from waxwingarch.core.randomness import RandomSource
from waxwingarch.core.routing.config import EngineTraits

# Prompt tokens that an idle engine reads in a second; the speed book
# corrects it server by server.
PREFILL_TOKENS_PER_S: Final = 60_000.0
# Each running request slows an engine's steps by about this part.
STEP_SHARE: Final = 0.01
# Time until the first token of an idle engine, and of a plain answer.
FIRST_TOKEN_S: Final = 0.02
PLAIN_S: Final = 0.09
# The delay that a full server adds, for each round of its slots.
FULL_S: Final = 1.0
# What a send to another failure domain costs more in bytes, as delay.
OTHER_DOMAIN_S: Final = 0.003
# Hosts that know of no server with a prompt's shared parts agree on one
# by its rank in a hash; the first counts as holding this part of them.
RANK_TRUST: Final = 0.5
# A failing server's score is multiplied by up to 1 and this.
FAILING_FACTOR: Final = 8.0
# Of a larger service's servers so many are compared, drawn anew for each
# request: the best of them is hardly ever busier than the best of all.
MAX_COMPARED_SERVERS: Final = 128
SAMPLED_SERVERS: Final = 64
# Bytes that came from a server within this time stand against what other
# hosts say of it.
OWN_WORD_S: Final = 1.0
# Scores within this of the best are taken to be equal.
SPREAD_S: Final = 0.002


@dataclass(frozen=True, kw_only=True, slots=True)
class Pick:
    """The server chosen and what is expected of it."""

    server: Server
    expected_s: float
    uncached_tokens: int


class VersionFilter(Protocol):
    """Decides which version of a service a request goes to."""

    def allowed_backends(
        self, service: ServiceId, backends: list[Backend]
    ) -> list[Backend]:
        """Return the servers of that version."""


class LoadBalancer:
    """Compares all usable servers of a service."""

    def __init__(
        self,
        rng: RandomSource,
        own_domain: FailureDomain,
        versions: VersionFilter,
    ) -> None:
        self._rng = rng
        self._own_domain = own_domain
        self._versions = versions
        self.registry = BackendRegistry(linger_s=LINGER_S)
        self.loads = LoadTracker()
        self.parts = PrefixCacheTracker()
        self.health = HealthTracker()
        self.peer_evidence = PeerEvidence()
        self.speeds = LatencyTracker()

    def choose(
        self,
        now: float,
        exchange: Exchange,
        traits: EngineTraits | None,
        exclude: Collection[ServerId] = (),
    ) -> Pick | None:
        """Return the best server; None if the service has none to try."""
        service = exchange.service
        usable = self._versions.allowed_backends(
            service, self.registry.usable_backends(service)
        )
        first = None
        if len(usable) > MAX_COMPARED_SERVERS:
            first = _first_by_place(exchange, usable)
            usable = self._sampled(exchange, usable, first)
        candidates = self._candidates(now, usable, exclude)
        if not candidates:
            return None
        if traits and first is None:
            first = _first_by_hash(exchange, candidates)
        scored = []
        for backend in candidates:
            server = backend.server
            uncached = self._uncached(exchange, server, first)
            wait_s = self._wait_s(now, server, traits, uncached, exchange)
            scored.append((self._score(now, server, wait_s), wait_s, server))
        best = min(score for score, _, _ in scored)
        near = [entry for entry in scored if entry[0] <= best + SPREAD_S]
        _, wait_s, server = near[self._rng.randrange(len(near))]
        return Pick(
            server=server,
            expected_s=wait_s,
            uncached_tokens=self._uncached(exchange, server, None),
        )

    def record_attempt(
        self,
        now: float,
        exchange: Exchange,
        pick: Pick,
        traits: EngineTraits | None,
    ) -> None:
        """Count an exchange as sent to a server."""
        server_id = pick.server.server_id
        self.health.record_attempt(now, server_id)
        self.loads.record_attempt(
            exchange.request_id,
            ActiveAttempt(
                server_id=server_id,
                sent_at=now,
                prefill_tokens=pick.uncached_tokens,
                kv_tokens=exchange.tokens,
                expected_s=pick.expected_s,
            ),
        )
        if traits:
            self.parts.record_prompt(
                server_id, exchange.head.parts, traits.kv_tokens
            )

    def record_response_start(self, now: float, exchange: Exchange) -> None:
        """Note the first byte of an answer."""
        sent = self.loads.record_response_start(now, exchange.request_id)
        if sent is not None:
            took_s = now - sent.sent_at
            self.speeds.record_latency(
                now, sent.server_id, sent.expected_s, took_s
            )

    def forget(self, server_id: ServerId) -> None:
        """Drop what is known of a server that has left or started anew."""
        self.parts.forget(server_id)
        self.health.forget(server_id)
        self.speeds.forget(server_id)
        self.loads.forget(server_id)

    def _candidates(
        self,
        now: float,
        usable: list[Backend],
        exclude: Collection[ServerId],
    ) -> list[Backend]:
        """Return whom to compare, the avoided only where none is left."""
        left = [b for b in usable if b.server.server_id not in exclude]
        # Servers that a listing lost may be gone; only where it lost all
        # of them was it likelier the store than the servers.
        listed = [b for b in left if b.unlisted_since is None]
        left = listed or left
        sound = [b for b in left if not self._avoided(now, b.server.server_id)]
        return sound or left

    def _avoided(self, now: float, server_id: ServerId) -> bool:
        """Weigh own answers first, then what other hosts saw."""
        if self.health.is_avoided(now, server_id):
            return True
        if now - self.loads.last_activity_at(server_id) <= OWN_WORD_S:
            return False
        return self.peer_evidence.is_avoided(now, server_id)

    def _sampled(
        self,
        exchange: Exchange,
        usable: list[Backend],
        first: ServerId | None,
    ) -> list[Backend]:
        """Return some servers, and those that may hold the prompt's parts."""
        count = len(usable)
        places = {self._rng.randrange(count) for _ in range(SAMPLED_SERVERS)}
        shared = _shared_part(exchange)
        likely = {first} if first is not None else set()
        if shared is not None:
            likely.update(sorted(self.parts.holders(shared))[:SAMPLED_SERVERS])
        likely -= {usable[place].server.server_id for place in places}
        some = [usable[place] for place in sorted(places)]
        for server_id in sorted(likely):
            backend = self.registry.get(server_id)
            if backend is not None and backend.is_usable:
                some.append(backend)
        return some

    def _uncached(
        self, exchange: Exchange, server: Server, first: ServerId | None
    ) -> int:
        """Return the prompt tokens that a server would have to read."""
        head = exchange.head
        held = self.parts.cached_tokens(server.server_id, head.parts)
        if not held and first == server.server_id:
            shared = sum(part.tokens for part in head.parts[:-1])
            held = int(shared * RANK_TRUST)
        return max(0, head.prompt_tokens - held)

    def _wait_s(
        self,
        now: float,
        server: Server,
        traits: EngineTraits | None,
        uncached: int,
        exchange: Exchange,
    ) -> float:
        """Return the expected time until the first byte of an answer."""
        load = self.loads.total_load(server.server_id)
        slots = max(1, server.slots)
        full_s = FULL_S * max(0, load.running + 1 - slots) / slots
        if traits is None:
            return PLAIN_S * (1 + load.running / slots) + full_s
        crowded = 1 + STEP_SHARE * load.running
        prefill = load.prefill_tokens + uncached
        wait_s = FIRST_TOKEN_S + prefill / PREFILL_TOKENS_PER_S * crowded
        over = load.kv_tokens + exchange.tokens - traits.kv_tokens
        if over > 0:
            full_s += FULL_S * over / traits.kv_tokens
        return wait_s + full_s

    def _score(self, now: float, server: Server, wait_s: float) -> float:
        slow = self.speeds.ratio(now, server.server_id)
        failing = self.health.failure_ratio(now, server.server_id)
        score = wait_s * slow * (1 + FAILING_FACTOR * failing)
        if server.failure_domain != self._own_domain:
            score += OTHER_DOMAIN_S
        return score


# How long the state of a server that has left is kept: its last answers
# may still be on their way.
LINGER_S: Final = 20.0


def _first_by_hash(
    exchange: Exchange, candidates: list[Backend]
) -> ServerId | None:
    """Return the server that all hosts agree on for a prompt's parts."""
    shared = _shared_part(exchange)
    if shared is None:
        return None
    return max(
        (b.server.server_id for b in candidates),
        key=lambda s: xxhash.xxh3_64_intdigest(f"{shared}/{s}".encode()),
    )


def _first_by_place(
    exchange: Exchange, usable: list[Backend]
) -> ServerId | None:
    """Return the server that hosts with the same listing agree on."""
    shared = _shared_part(exchange)
    if shared is None:
        return None
    place = xxhash.xxh3_64_intdigest(shared.encode()) % len(usable)
    return usable[place].server.server_id


def _shared_part(exchange: Exchange) -> str | None:
    """Return the last part of a prompt that other prompts may share."""
    parts = exchange.head.parts
    return parts[-2].part if len(parts) > 1 else None
