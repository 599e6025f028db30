"""Load balancing: sends an exchange where the expected wait is shortest.

A score is the expected time to the first byte in seconds, raised for
servers that are slow, fail or are in another failure domain.
"""

from bisect import bisect_left
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from heapq import nlargest
from itertools import chain, islice
from types import MappingProxyType
from typing import Final, Protocol

import xxhash

from waxwingarch.core.backends.brittle_servers import (
    ROOM_WAIT_S,
    BrittleServers,
)
from waxwingarch.core.backends.cold_servers import ColdBounds, ColdServers
from waxwingarch.core.backends.health import (
    MAX_REPORTED_SERVERS,
    HealthTracker,
)
from waxwingarch.core.backends.latency import LatencyTracker
from waxwingarch.core.backends.load import (
    ActiveAttempt,
    LoadTracker,
    PrefixCacheTracker,
)
from waxwingarch.core.backends.paths import PathMonitor
from waxwingarch.core.backends.pauses import ServerPauses
from waxwingarch.core.backends.peer_evidence import PeerEvidence
from waxwingarch.core.backends.registry import Backend, BackendRegistry
from waxwingarch.core.backends.server_checks import ServerChecks
from waxwingarch.core.backends.server_limits import ServerLimits
from waxwingarch.core.base import (
    FailureDomain,
    HostId,
    Server,
    ServerId,
    ServiceId,
)
from waxwingarch.core.exchange.exchange_messages import Exchange
from waxwingarch.core.peers.rank import HostRanks
from waxwingarch.core.randomness import RandomSource
from waxwingarch.core.routing.config import EngineTraits

# Prompt tokens that an idle engine reads in a second; the latency tracker
# corrects this for each server.
PREFILL_TOKENS_PER_S: Final = 60_000.0
# Each running request slows the steps of an engine by about this ratio.
STEP_SLOWDOWN_RATIO: Final = 0.01
# Time that an idle engine needs for the first token besides reading the
# prompt.
FIRST_TOKEN_S: Final = 0.02
# Time until the response of an idle plain server.
PLAIN_RESPONSE_S: Final = 0.09
# The wait at a server whose requests exceed its slots, for an excess as
# large as its slots; a smaller excess counts in proportion. Requests that
# exceed its KV cache are counted in the same way.
FULL_SERVER_WAIT_S: Final = 1.0
# The cost of traffic to another failure domain, expressed as a delay.
CROSS_DOMAIN_DELAY_S: Final = 0.003
# All hosts agree by a hash on the servers that a prompt with certain shared
# parts goes to first and second. On these servers this share of the shared
# tokens is assumed to be cached, as other hosts have sent such prompts there.
ASSUMED_CACHED_RATIOS: Final = (0.95, 0.6)
# The score of a server that fails all requests is multiplied by 1 plus this.
FAILURE_FACTOR: Final = 8.0
# Of a service with more servers than this, only a sample is compared.
MAX_COMPARED_SERVERS: Final = 128
# The size of that sample, which is drawn anew for each request. The best
# server of the sample is hardly ever busier than the best of all servers.
SAMPLED_SERVERS: Final = 64
# Bytes received from a server within this time outweigh what other hosts
# report of it.
OWN_EVIDENCE_S: Final = 1.0
# Scores within this of the best count as equal.
TIE_MARGIN_S: Final = 0.002


NONE_PREFERRED: Final[Mapping[ServerId, float]] = MappingProxyType({})


@dataclass(frozen=True, kw_only=True, slots=True)
class Pick:
    """The chosen server and what is expected of it.

    `expected_s` is the time to the first byte, `uncached_tokens` the part
    of the prompt that the server has to read.
    """

    server: Server
    expected_s: float
    uncached_tokens: int


class VersionFilter(Protocol):
    """Restricts a request to the servers of one version, in a rollout."""

    def allowed_backends(
        self, service: ServiceId, backends: list[Backend]
    ) -> list[Backend]:
        """Return the servers that a request of the service may go to."""


class LoadBalancer:
    """Chooses servers, and tracks their load, health, latency and caches.

    In a very large service it compares a sample of the servers.
    """

    def __init__(
        self,
        rng: RandomSource,
        own_host: HostId,
        own_domain: FailureDomain,
        versions: VersionFilter,
        cold_bounds: ColdBounds | None = None,
    ) -> None:
        self._rng = rng
        self._own_domain = own_domain
        self._versions = versions
        self.registry = BackendRegistry(departed_kept_s=DEPARTED_KEPT_S)
        self.loads = LoadTracker()
        self.prefix_caches = PrefixCacheTracker()
        self.health = HealthTracker()
        self.checks = ServerChecks()
        self.peer_evidence = PeerEvidence()
        self.latency = LatencyTracker()
        self.pauses = ServerPauses(rng)
        self.ranks = HostRanks(own_host)
        self.limits = ServerLimits(self.ranks, self.registry)
        self.cold = ColdServers(self.registry, self.limits, cold_bounds)
        self.brittle = BrittleServers(self.ranks)
        self.paths = PathMonitor(self.registry)

    def choose(
        self,
        now: float,
        exchange: Exchange,
        traits: EngineTraits | None,
        exclude: Collection[ServerId] = (),
    ) -> Pick | None:
        """Return the best server; None if the service has none to try."""
        usable = self._open_backends(now, exchange.service)
        preferred: dict[ServerId, float] = {}
        if len(usable) > MAX_COMPARED_SERVERS:
            preferred = _preferred_by_index(exchange, usable)
            usable = self._sample(exchange, usable, preferred)
        candidates = self._candidates(now, usable, exclude)
        if not candidates:
            return None
        if traits and not preferred:
            preferred = _preferred_by_hash(exchange, candidates)
        scored = []
        for backend in candidates:
            pick = self.pick(now, exchange, traits, backend.server, preferred)
            score = self._score(now, pick.server, pick.expected_s)
            scored.append((score, pick))
        best = min(score for score, _ in scored)
        tied = [pick for score, pick in scored if score <= best + TIE_MARGIN_S]
        return tied[self._rng.randrange(len(tied))]

    def pick(
        self,
        now: float,
        exchange: Exchange,
        traits: EngineTraits | None,
        server: Server,
        preferred: Mapping[ServerId, float] = NONE_PREFERRED,
    ) -> Pick:
        """Return a server with what it has to do for an exchange."""
        uncached_tokens = self._uncached_tokens(exchange, server, preferred)
        return Pick(
            server=server,
            expected_s=self._expected_wait_s(
                now, server, traits, uncached_tokens, exchange
            ),
            uncached_tokens=uncached_tokens,
        )

    def open_backend(
        self, now: float, service: ServiceId, server_id: ServerId
    ) -> Backend | None:
        """Return a server of a service if it takes a request now."""
        for backend in self._open_backends(now, service):
            if backend.server.server_id == server_id:
                return backend
        return None

    def has_choice(
        self,
        now: float,
        service: ServiceId,
        exclude: Collection[ServerId] = (),
    ) -> bool:
        """Return whether the service has a server to try."""
        usable = self._open_backends(now, service)
        return any(
            b.server.server_id not in exclude
            and not self.registry.is_misdirected(b.server.server_id)
            for b in usable
        )

    def open_in_s(self, now: float, service: ServiceId) -> float | None:
        """Return when a service takes requests that it does not take now.

        Returns None unless this host has to wait for all its servers: they
        asked it for a pause, are at their limit, or are brittle and have no
        room.
        """
        waits_s = (
            self._wait_s(now, b.server)
            for b in self._allowed_backends(service)
        )
        return min(waits_s, default=0.0) or None

    def is_shared_out(self, now: float, service: ServiceId) -> bool:
        """Return whether hosts have parts of what a service takes."""
        return self.brittle.is_brittle(now, service) or any(
            self.limits.is_limited(b.server.server_id)
            for b in self._allowed_backends(service)
        )

    def _wait_s(self, now: float, server: Server) -> float:
        """Return in how long a server takes a request from this host."""
        server_id = server.server_id
        has_room = not self.brittle or self.brittle.has_room(
            now, server, self.loads.own_running(server_id)
        )
        return max(
            self.pauses.remaining_s(now, server_id),
            self.limits.wait_s(now, server_id),
            0.0 if has_room else ROOM_WAIT_S,
        )

    def _allowed_backends(self, service: ServiceId) -> list[Backend]:
        """Return the usable servers of the versions that are allowed."""
        return self._versions.allowed_backends(
            service, self.registry.usable_backends(service)
        )

    def _open_backends(self, now: float, service: ServiceId) -> list[Backend]:
        """Return the usable servers that take a request of this host now."""
        allowed = self._allowed_backends(service)
        if not self.pauses and not self.limits and not self.brittle:
            return allowed
        return [
            backend
            for backend in allowed
            if self._wait_s(now, backend.server) <= 0
        ]

    def record_attempt(
        self,
        now: float,
        exchange: Exchange,
        pick: Pick,
        traits: EngineTraits | None,
    ) -> None:
        """Record that an exchange is sent to a server."""
        server_id = pick.server.server_id
        self.health.record_attempt(now, server_id)
        self.limits.take(now, server_id)
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
            self.prefix_caches.record_prompt(
                server_id, exchange.head.parts, traits.kv_tokens
            )

    def record_response_start(self, now: float, exchange: Exchange) -> None:
        """Record the first byte of a response."""
        attempt = self.loads.record_response_start(now, exchange.request_id)
        if attempt is not None:
            first_byte_s = now - attempt.sent_at
            self.latency.record_latency(
                now, attempt.server_id, attempt.expected_s, first_byte_s
            )

    def forget(self, server_id: ServerId) -> None:
        """Drop what is known of a server that has departed or restarted."""
        self.prefix_caches.forget(server_id)
        self.health.forget(server_id)
        self.checks.forget(server_id)
        self.latency.forget(server_id)
        self.loads.forget(server_id)
        self.pauses.forget(server_id)
        self.limits.forget(server_id)
        self.cold.forget(server_id)

    def _candidates(
        self,
        now: float,
        usable: list[Backend],
        exclude: Collection[ServerId],
    ) -> list[Backend]:
        """Return the servers to compare.

        Avoided servers are among them only if there are no others, and
        those that are not at their addresses only if there are none else.
        """
        remaining = [b for b in usable if b.server.server_id not in exclude]
        found = [
            b
            for b in remaining
            if not self.registry.is_misdirected(b.server.server_id)
        ]
        remaining = found or remaining
        # Servers that are missing from the last listing may be gone. If
        # all are missing, the store is likelier at fault than the servers.
        listed = [b for b in remaining if b.unlisted_since is None]
        remaining = listed or remaining
        healthy = [
            b
            for b in remaining
            if not self._is_avoided(now, b.server.server_id)
        ]
        return healthy or remaining

    def is_avoided_here(self, now: float, server_id: ServerId) -> bool:
        """Return whether a server is avoided by what this host has seen."""
        return self.registry.is_misdirected(
            server_id
        ) or self.health.is_avoided(now, server_id)

    def _is_avoided(self, now: float, server_id: ServerId) -> bool:
        """Return whether a server gets no requests while there are others.

        What this host's own requests showed outweighs the other hosts'
        reports.
        """
        if self.health.is_avoided(now, server_id):
            return True
        if now - self.loads.last_activity_at(server_id) <= OWN_EVIDENCE_S:
            return False
        return self.peer_evidence.is_avoided(now, server_id)

    def avoided_servers(self, now: float) -> tuple[ServerId, ...]:
        """Return the avoided servers, to report to the peers.

        Those of services to which this host has no path are left out: the
        peers may well reach them.
        """
        avoided = chain(
            self.health.avoided_servers(now),
            sorted(self.registry.misdirected_servers()),
        )
        reported = (
            server_id
            for server_id in dict.fromkeys(avoided)
            if (backend := self.registry.get(server_id)) is None
            or not self.paths.is_lost(backend.server.service)
        )
        return tuple(islice(reported, MAX_REPORTED_SERVERS))

    def _sample(
        self,
        exchange: Exchange,
        usable: list[Backend],
        preferred: Collection[ServerId],
    ) -> list[Backend]:
        """Return random servers, and those that may have a prompt cached.

        All are among the usable ones: other services may have cached the
        same parts.
        """
        count = len(usable)
        indices = {self._rng.randrange(count) for _ in range(SAMPLED_SERVERS)}
        shared_part = exchange.head.shared_part
        likely_holders = set(preferred)
        if shared_part is not None:
            likely_holders.update(
                sorted(self.prefix_caches.holders(shared_part))[
                    :SAMPLED_SERVERS
                ]
            )
        likely_holders -= {usable[index].server.server_id for index in indices}
        sample = [usable[index] for index in sorted(indices)]
        for server_id in sorted(likely_holders):
            backend = _find_by_id(usable, server_id)
            if backend is not None:
                sample.append(backend)
        return sample

    def _uncached_tokens(
        self,
        exchange: Exchange,
        server: Server,
        preferred: Mapping[ServerId, float],
    ) -> int:
        """Return the prompt tokens that a server would have to read.

        `preferred` has the share of the shared tokens that a server is
        assumed to have cached.
        """
        head = exchange.head
        cached_tokens = self.prefix_caches.cached_tokens(
            server.server_id, head.parts
        )
        assumed_ratio = preferred.get(server.server_id)
        if assumed_ratio is not None:
            shared_tokens = sum(part.tokens for part in head.parts[:-1])
            cached_tokens = max(
                cached_tokens, int(shared_tokens * assumed_ratio)
            )
        return max(0, head.prompt_tokens - cached_tokens)

    def _expected_wait_s(
        self,
        now: float,
        server: Server,
        traits: EngineTraits | None,
        uncached_tokens: int,
        exchange: Exchange,
    ) -> float:
        """Return the expected time until the first byte of a response."""
        load = self.loads.total_load(server.server_id)
        slots = max(1, server.slots)
        overload_s = (
            FULL_SERVER_WAIT_S * max(0, load.running + 1 - slots) / slots
        )
        if traits is None:
            return PLAIN_RESPONSE_S * (1 + load.running / slots) + overload_s
        slowdown = 1 + STEP_SLOWDOWN_RATIO * load.running
        prefill_tokens = load.prefill_tokens + uncached_tokens
        wait_s = (
            FIRST_TOKEN_S + prefill_tokens / PREFILL_TOKENS_PER_S * slowdown
        )
        excess_tokens = load.kv_tokens + exchange.tokens - traits.kv_tokens
        if excess_tokens > 0:
            overload_s += FULL_SERVER_WAIT_S * excess_tokens / traits.kv_tokens
        return wait_s + overload_s

    def _score(self, now: float, server: Server, wait_s: float) -> float:
        latency_ratio = self.latency.ratio(now, server.server_id)
        failure_ratio = self.health.failure_ratio(now, server.server_id)
        score = wait_s * latency_ratio * (1 + FAILURE_FACTOR * failure_ratio)
        if server.failure_domain != self._own_domain:
            score += CROSS_DOMAIN_DELAY_S
        return score


# How long the state of a departed server is kept: the end of its last
# responses may still arrive.
DEPARTED_KEPT_S: Final = 20.0


def _find_by_id(
    backends: Sequence[Backend], server_id: ServerId
) -> Backend | None:
    """Return the server with an id from a list in id order."""
    index = bisect_left(
        backends, server_id, key=lambda backend: backend.server.server_id
    )
    if index == len(backends):
        return None
    found = backends[index]
    return found if found.server.server_id == server_id else None


def _preferred_by_hash(
    exchange: Exchange, candidates: list[Backend]
) -> dict[ServerId, float]:
    """Return the servers that all hosts prefer for a prompt's shared parts.

    The values are the shares that are assumed to be cached. Rendezvous
    hashing keeps the servers the same while others come and go.
    """
    shared_part = exchange.head.shared_part
    if shared_part is None:
        return {}
    ranked = nlargest(
        len(ASSUMED_CACHED_RATIOS),
        (b.server.server_id for b in candidates),
        key=lambda s: xxhash.xxh3_64_intdigest(f"{shared_part}/{s}".encode()),
    )
    return dict(zip(ranked, ASSUMED_CACHED_RATIOS, strict=False))


def _preferred_by_index(
    exchange: Exchange, usable: list[Backend]
) -> dict[ServerId, float]:
    """Return the servers that hosts with the same listing prefer.

    It takes one hash, where there are too many servers to hash each.
    """
    shared_part = exchange.head.shared_part
    if shared_part is None:
        return {}
    index = xxhash.xxh3_64_intdigest(shared_part.encode())
    return {
        usable[(index + rank) % len(usable)].server.server_id: ratio
        for rank, ratio in enumerate(ASSUMED_CACHED_RATIOS)
    }
