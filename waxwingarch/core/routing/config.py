"""Routing configuration: routes, services, client accounts and limits."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum

from waxwingarch.core.base import AccountId, FailureDomain, ServiceId


class RetryPolicy(StrEnum):
    """When a request that was sent before may be sent again.

    An idempotent request may be sent again in full, a resumable stream
    also after its last event; a non-idempotent request only if it did
    not run.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    RESUMABLE = "resumable"


@dataclass(frozen=True, kw_only=True, slots=True)
class TrafficSplit:
    """A service's share of a route's requests, by its weight."""

    service: ServiceId
    weight: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """How requests under one path prefix of one host name are treated.

    `timeout_s` bounds the wait of a caller. `latency_objective_s` is the
    objective for the time to the response or, for a stream, to its first
    event; `max_event_gap_s` is the longest pause between two events.
    A caller leaves a stream that has sent nothing for `caller_patience_s`.
    Priority 0 is the most urgent. `max_attempts` bounds the backend
    servers that may run one request. The requests of a `public` route need
    no key of a client account.
    """

    name: str
    host: str
    prefix: str
    streaming: bool
    retry_policy: RetryPolicy
    timeout_s: float
    latency_objective_s: float
    max_event_gap_s: float
    caller_patience_s: float
    priority: int
    splits: tuple[TrafficSplit, ...]
    max_attempts: int
    public: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineTraits:
    """Capabilities of the model engines of a service.

    `kv_tokens` is the size of a server's KV cache in tokens. `can_migrate`
    says that a run can be continued on another server with a copy of its
    KV cache.
    """

    slots: int
    kv_tokens: int
    can_migrate: bool
    can_back_up: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ScalingBounds:
    """How many servers of a service may be ordered in each failure domain.

    `boot_s` is how long a server takes to start. Prices are relative: a
    reclaimable server costs `reclaimable_price` times what another one
    costs in the same failure domain.
    """

    minimum: int
    maximum: int
    boot_s: float
    reclaimable_price: float
    domain_prices: Mapping[FailureDomain, float]

    def without_domains(
        self, excluded: Collection[FailureDomain]
    ) -> "ScalingBounds":
        """Return the bounds of the domains that are not excluded."""
        prices = {
            domain: price
            for domain, price in self.domain_prices.items()
            if domain not in excluded
        }
        return replace(self, domain_prices=prices)


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutedService:
    """A service that requests are routed to.

    A server is cold for `cold_start_s` after its start, and takes
    `cold_per_s` requests a second from all hosts meanwhile. A service whose
    `cold_per_s` is 0 has no cold servers.
    """

    service: ServiceId
    health_path: str
    max_connections: int
    engine: EngineTraits | None = None
    scaling: ScalingBounds | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutedAccount:
    """A client account: its keys, its priority and its rate limit.

    `rate` (per second) and `burst` are in tokens if `counts_tokens`, in
    requests otherwise; a rate of 0 means no limit. A request that declares
    no token counts costs `default_tokens`. `priority` replaces that of
    the route, unless it is None.
    """

    account: AccountId
    keys: tuple[str, ...]
    priority: int | None
    counts_tokens: bool
    default_tokens: int
    rate: float
    burst: float


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutingConfig:
    """A complete configuration; a higher version replaces a lower one."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[RoutedService, ...]
    accounts: tuple[RoutedAccount, ...] = ()
    idle_timeout_s: float = field(default=15.0)
