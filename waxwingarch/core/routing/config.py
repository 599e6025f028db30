"""The routing configuration: routes, services, accounts and limits."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from waxwingarch.core.base import AccountId, FailureDomain, ServiceId


class Repeat(StrEnum):
    """What may be done again with a request that was sent once."""

    FREELY = "idempotent"
    ONCE = "non-idempotent"
    RESUME = "resumable"


@dataclass(frozen=True, kw_only=True, slots=True)
class Split:
    """A service's part of a route's requests."""

    service: ServiceId
    weight: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """How requests to one prefix of one host name are treated.

    `timeout_s` bounds the wait of a caller, `objective_s` is the latency
    objective up to the answer or the first event, `gap_s` the longest
    pause between two events. Priority 0 is the most urgent.
    `max_attempts` bounds the servers that may run one request.
    """

    name: str
    host: str
    prefix: str
    streaming: bool
    repeat: Repeat
    timeout_s: float
    objective_s: float
    gap_s: float
    priority: int
    splits: tuple[Split, ...]
    max_attempts: int
    public: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineTraits:
    """What the model engines of a service can do.

    `kv_tokens` is the size of a server's KV cache; `can_move` says that
    running requests can be moved with it.
    """

    slots: int
    kv_tokens: int
    can_move: bool
    can_back_up: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ScalingBounds:
    """How many servers of a service may be ordered, a failure domain.

    Prices are relative; a reclaimable server costs `reclaimable_price`
    of what another one costs in the same failure domain.
    """

    minimum: int
    maximum: int
    boot_s: float
    reclaimable_price: float
    domain_prices: Mapping[FailureDomain, float]


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutedService:
    """One service that requests are routed to."""

    service: ServiceId
    health_path: str
    max_connections: int
    engine: EngineTraits | None = None
    scaling: ScalingBounds | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutedAccount:
    """A client account: its keys, its priority and its rate limit.

    `rate` and `burst` count tokens where `counts_tokens`, requests
    otherwise; a rate of 0 is no limit. A request that states no tokens
    counts `default_tokens`.
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
    """A whole configuration; higher versions replace lower ones."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[RoutedService, ...]
    accounts: tuple[RoutedAccount, ...] = ()
    idle_timeout_s: float = field(default=15.0)
