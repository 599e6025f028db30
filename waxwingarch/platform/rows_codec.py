"""Decodes rows of the operator and the servers; encodes status rows.

The `_*Row` models have the field names of the platform's JSON. There, a zone
is a failure domain, a tenant is a client account, and a spot server is a
reclaimable one.
"""

from collections.abc import Callable
from typing import Annotated, Any, Final, TypeVar

import orjson
from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
)

from waxwingarch.adapters.addresses import check_address
from waxwingarch.core.backends.registry import ListedBackend
from waxwingarch.core.base import (
    AccountId,
    FailureDomain,
    Server,
    ServerId,
    ServerKind,
    ServiceId,
    VersionId,
)
from waxwingarch.core.rollouts.rollout_messages import (
    RolloutOrder,
    RolloutState,
)
from waxwingarch.core.routing.config import (
    EngineTraits,
    RetryPolicy,
    Route,
    RoutedAccount,
    RoutedService,
    RoutingConfig,
    ScalingBounds,
    TrafficSplit,
)
from waxwingarch.platform.cold_values import parse_any_number, parse_cold_row
from waxwingarch.platform.const import (
    CONFIG_KEY,
    EVACUATION_KEY_PREFIX,
    FIELD_COLD_REMAINING,
    MS_PER_S,
    OPERATOR_TABLE,
    ROLLOUT_KEY_PREFIX,
    SERVERS_TABLE,
    STATUS_TABLE,
)
from waxwingarch.ports.front import BadRowError, StoredRow

ROUTE_IDEMPOTENT = "idempotent"
ROUTE_STREAMING = "streaming"
SERVER_READY = "ready"
SERVER_DRAINING = "draining"
RATE_UNIT_TOKENS = "tokens"
# Defaults for a route that states no latency objective, or no longest pause
# between two events of a stream.
DEFAULT_LATENCY_OBJECTIVE_MS = 1000
DEFAULT_MAX_GAP_MS = 300
# A caller leaves a stream after the longest of a time without an event, a
# multiple of the latency objective and a multiple of the longest pause.
MIN_CALLER_PATIENCE_S: Final = 2.0
CALLER_PATIENCE_PER_OBJECTIVE: Final = 4
CALLER_PATIENCE_PER_GAP: Final = 8
# Bounds of what a server says of itself. Beyond these, the entry is by
# another writer or damaged.
MAX_NAME_CHARS: Final = 200
MAX_SLOTS: Final = 1_000_000
MAX_UNIX_MS: Final = 2**53
MAX_LEAVES_MS: Final = 86_400_000.0
MAX_LOGGED_REASON_CHARS: Final = 200

_COLD_FIELD: Final = f'"{FIELD_COLD_REMAINING}"'.encode()

Model = TypeVar("Model", bound=BaseModel)


class _SplitRow(BaseModel):
    service: str
    weight: int


class _RouteRow(BaseModel):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = DEFAULT_LATENCY_OBJECTIVE_MS
    target_gap_ms: float = DEFAULT_MAX_GAP_MS
    priority: int = 0
    service: str | None = None
    traffic_split: list[_SplitRow] | None = None
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False


class _EngineRow(BaseModel):
    slots: int = 1
    kv_cache_tokens: int = 0
    # Whether running requests can be migrated with their KV cache, and
    # whether that cache can be backed up.
    moves: bool = False
    backups: bool = False


class _ScalingRow(BaseModel):
    minimum: int
    maximum: int
    boot_time_s: float = 0.0
    # Relative to the price of a server that is not reclaimable.
    spot_price: float = 1.0
    zone_prices: dict[str, float] = Field(default_factory=dict)


class _ServiceRow(BaseModel):
    name: str
    health_path: str = "/health"
    max_connections: int = 0
    engine: _EngineRow | None = None
    scaling: _ScalingRow | None = None
    # How long a server is cold after its start, and the requests a second
    # that it takes meanwhile, from all hosts.
    cold_start_s: float = Field(default=0.0, ge=0)
    cold_per_s: float = Field(default=0.0, ge=0)


class _TenantRow(BaseModel):
    name: str
    api_keys: list[str] = Field(default_factory=list)
    priority: int | None = None
    # "tokens" if the rate limit counts tokens, requests otherwise.
    unit: str = ""
    # The tokens that a request costs that declares no token counts.
    uncached_tokens: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0


class _LimitsRow(BaseModel):
    idle_timeout_ms: float = 15_000


class _ConfigVersion(BaseModel):
    version: int


class _ConfigRow(BaseModel):
    version: int
    routes: list[_RouteRow]
    services: list[_ServiceRow]
    tenants: list[_TenantRow] = Field(default_factory=list)
    limits: _LimitsRow = Field(default_factory=_LimitsRow)


_Name = Annotated[str, Field(min_length=1, max_length=MAX_NAME_CHARS)]
_Address = Annotated[
    str,
    Field(max_length=MAX_NAME_CHARS, pattern=r"^[0-9A-Fa-f.:\[\]]+\z"),
    AfterValidator(check_address),
]


class _ServerRow(BaseModel):
    # Any host may read this row, and any writer may have left it.
    model_config = ConfigDict(strict=True, allow_inf_nan=False)

    service: _Name
    address: _Address
    zone: _Name
    state: str
    version: str = Field(default="", max_length=MAX_NAME_CHARS)
    slots: int = Field(default=1, ge=1, le=MAX_SLOTS)
    # When the process started, in Unix milliseconds: its incarnation.
    born: int = Field(default=0, ge=0, le=MAX_UNIX_MS)
    spot: bool = False
    # Time until a server that is being taken away stops serving.
    leaves_ms: float | None = Field(default=None, ge=0, le=MAX_LEAVES_MS)
    # Time for which the server is still cold. A bad value is ignored and
    # does not make the row invalid.
    cold_remaining_ms: Any = None
    # The models that a model engine serves; plain services have none.
    models: list[dict[str, Any]] | None = None


class _RolloutRow(BaseModel):
    service: str
    # The version that gets all requests when the rollout completes.
    target: str
    duration_s: float = Field(gt=0)


class _StatusRow(BaseModel):
    state: str


_STATE_NAMES = {
    RolloutState.RUNNING: "running",
    RolloutState.COMPLETED: "completed",
    RolloutState.ROLLED_BACK: "rolled_back",
}


class PlatformRowCodec:
    """`RowCodec` over the platform's JSON rows."""

    config_table = OPERATOR_TABLE
    config_key = CONFIG_KEY
    servers_table = SERVERS_TABLE
    status_table = STATUS_TABLE

    def decode_rollout_order(self, row: StoredRow) -> RolloutOrder | None:
        """Decode the rollout order in a row; None if it holds none.

        Raises `BadRowError`.
        """
        if not row.key.startswith(ROLLOUT_KEY_PREFIX) or row.value is None:
            return None
        order = _decode_row(_RolloutRow, row.value)
        return RolloutOrder(
            service=ServiceId(order.service),
            target=VersionId(order.target),
            duration_s=order.duration_s,
            number=row.version,
        )

    def decode_evacuated_domain(self, key: str) -> FailureDomain | None:
        """Return the failure domain that a row evacuates, whatever its value.

        Returns None for a row of another kind.
        """
        if not key.startswith(EVACUATION_KEY_PREFIX):
            return None
        return FailureDomain(key.removeprefix(EVACUATION_KEY_PREFIX))

    def rollout_status_key(self, service: ServiceId) -> str:
        """Return the key of the status row of a service's rollout."""
        return f"{ROLLOUT_KEY_PREFIX}{service}"

    def encode_rollout_status(
        self, order: RolloutOrder, state: RolloutState
    ) -> bytes:
        """Encode the value of a status row."""
        return orjson.dumps(
            {"state": _STATE_NAMES[state], "target": order.target}
        )

    def decode_rollout_state(self, value: bytes) -> RolloutState | None:
        """Decode a status row; None if the state is unknown.

        Raises `BadRowError`.
        """
        name = _decode_row(_StatusRow, value).state
        return next((s for s, n in _STATE_NAMES.items() if n == name), None)

    def decode_config(self, value: bytes) -> RoutingConfig:
        """Decode the configuration row; raises `BadRowError`."""
        row = _decode_row(_ConfigRow, value)
        return RoutingConfig(
            version=row.version,
            routes=tuple(_to_route(route) for route in row.routes),
            services=tuple(_to_service(service) for service in row.services),
            accounts=tuple(_to_account(tenant) for tenant in row.tenants),
            idle_timeout_s=row.limits.idle_timeout_ms / MS_PER_S,
        )

    def config_number(self, row: StoredRow) -> int:
        """Return the version of the configuration in a row, 0 if none."""
        if row.key != self.config_key or row.value is None:
            return 0
        try:
            return _decode_row(_ConfigVersion, row.value).version
        except BadRowError:
            # `decode_config` reports what is wrong with the row.
            return 0

    def decode_backend(self, key: str, value: bytes) -> ListedBackend:
        """Decode a server's registration; raises `BadRowError`."""
        if not _is_header_value(key):
            raise BadRowError(f"id {key!r} can't be sent in a header")
        row = _decode_server_row(value)
        if row.state not in (SERVER_READY, SERVER_DRAINING):
            raise BadRowError(f"state {row.state!r} is unknown")
        kind = ServerKind.ENGINE if row.models else ServerKind.PLAIN
        server = Server(
            server_id=ServerId(key),
            address=row.address,
            failure_domain=FailureDomain(row.zone),
            service=ServiceId(row.service),
            kind=kind,
            version=VersionId(row.version),
            machine_class="",
            reclaimable=row.spot,
            price=0.0,
            slots=row.slots,
            incarnation=row.born,
        )
        leaves_ms = row.leaves_ms
        return ListedBackend(
            server=server,
            draining=row.state == SERVER_DRAINING,
            leaves_in_s=None if leaves_ms is None else leaves_ms / MS_PER_S,
            cold=parse_cold_row(
                row.cold_remaining_ms,
                # The parser keeps the last of several fields of one name.
                is_duplicated=value.count(_COLD_FIELD) > 1,
            ),
        )


def _is_header_value(text: str) -> bool:
    """Return whether a text can be sent as the value of a header."""
    return text.isascii() and text.isprintable() and text.strip() == text != ""


def _decode_row(
    model: type[Model],
    value: bytes,
    parse: Callable[[bytes], Any] = orjson.loads,
) -> Model:
    """Parse and validate a JSON value; raises `BadRowError`."""
    try:
        return model.model_validate(parse(value))
    except (ValueError, RecursionError) as exc:
        reason = str(exc)[:MAX_LOGGED_REASON_CHARS]
        raise BadRowError(f"not a {model.__name__}: {reason}") from exc


def _decode_server_row(value: bytes) -> _ServerRow:
    """Decode a server's row; raises `BadRowError`.

    The usual parser rejects numbers that are not finite or too long. Where
    only the cold time may be one, the row is still valid.
    """
    try:
        return _decode_row(_ServerRow, value)
    except BadRowError:
        if _COLD_FIELD not in value:
            raise
    return _decode_row(_ServerRow, value, parse_any_number)


def _to_route(row: _RouteRow) -> Route:
    streaming = row.kind == ROUTE_STREAMING
    retry_policy = RetryPolicy.NON_IDEMPOTENT
    if row.kind == ROUTE_IDEMPOTENT:
        retry_policy = RetryPolicy.IDEMPOTENT
    elif streaming and row.resumable:
        retry_policy = RetryPolicy.RESUMABLE
    splits = tuple(
        TrafficSplit(service=ServiceId(split.service), weight=split.weight)
        for split in row.traffic_split or ()
    )
    if not splits and row.service:
        splits = (TrafficSplit(service=ServiceId(row.service), weight=1),)
    latency_objective_s = row.target_latency_ms / MS_PER_S
    max_event_gap_s = row.target_gap_ms / MS_PER_S
    return Route(
        name=row.name,
        host=row.host,
        prefix=row.prefix,
        streaming=streaming,
        retry_policy=retry_policy,
        timeout_s=row.timeout_ms / MS_PER_S,
        latency_objective_s=latency_objective_s,
        max_event_gap_s=max_event_gap_s,
        caller_patience_s=max(
            MIN_CALLER_PATIENCE_S,
            CALLER_PATIENCE_PER_OBJECTIVE * latency_objective_s,
            CALLER_PATIENCE_PER_GAP * max_event_gap_s,
        ),
        priority=row.priority,
        splits=splits,
        max_attempts=row.max_attempts,
        public=row.public,
    )


def _to_service(row: _ServiceRow) -> RoutedService:
    engine = scaling = None
    if row.engine is not None:
        engine = EngineTraits(
            slots=row.engine.slots,
            kv_tokens=row.engine.kv_cache_tokens,
            can_migrate=row.engine.moves,
            can_back_up=row.engine.backups,
        )
    if row.scaling is not None:
        scaling = ScalingBounds(
            minimum=row.scaling.minimum,
            maximum=row.scaling.maximum,
            boot_s=row.scaling.boot_time_s,
            reclaimable_price=row.scaling.spot_price,
            domain_prices={
                FailureDomain(zone): price
                for zone, price in row.scaling.zone_prices.items()
            },
        )
    return RoutedService(
        service=ServiceId(row.name),
        health_path=row.health_path,
        max_connections=row.max_connections,
        engine=engine,
        scaling=scaling,
        cold_start_s=row.cold_start_s,
        cold_per_s=row.cold_per_s,
    )


def _to_account(row: _TenantRow) -> RoutedAccount:
    return RoutedAccount(
        account=AccountId(row.name),
        keys=tuple(row.api_keys),
        priority=row.priority,
        counts_tokens=row.unit == RATE_UNIT_TOKENS,
        default_tokens=row.uncached_tokens,
        rate=row.rate_per_s,
        burst=row.burst,
    )
