"""The ports of a host on the users' platform.

Deadlines are on the event loop's clock.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final, Protocol

from waxwingarch.adapters.http_messages import Headers, HttpRequest
from waxwingarch.core.backends.cold_reading import NO_READING, ColdReading
from waxwingarch.core.backends.registry import ListedBackend
from waxwingarch.core.base import (
    AccountId,
    FailureDomain,
    HostId,
    RequestId,
    Server,
    ServerId,
    ServiceId,
)
from waxwingarch.core.duties.autoscaler import OrderKey
from waxwingarch.core.exchange.exchange_messages import (
    ExchangeHead,
    MigratedCache,
    SendRequest,
)
from waxwingarch.core.rollouts.rollout_messages import (
    RolloutOrder,
    RolloutState,
)
from waxwingarch.core.routing.config import RoutingConfig
from waxwingarch.exceptions import PlatformUnavailableError, WaxwingError

# Marks a request that a peer relays to this host's address for peers.
RELAY_HEADER: Final = "waxwingarch-relay"
# The server that may have a run of a relayed request, in the request, and the
# one that runs it, in the response. A host of an older version sends neither.
RUN_AT_HEADER: Final = "waxwingarch-run-at"


class HistoryLostError(WaxwingError):
    """The store no longer keeps all changes since a version.

    The caller has to read all rows again.
    """


class StoreUnavailableError(PlatformUnavailableError):
    """A call to the store failed, or its response was lost.

    With `maybe_applied`, a write may have been applied or may still be.
    """

    def __init__(self, message: str, *, maybe_applied: bool = False) -> None:
        super().__init__(message)
        self.maybe_applied = maybe_applied


class BadRowError(WaxwingError):
    """A row's value is not valid for its table; its writer has to fix it."""


class BadHeadError(WaxwingError):
    """A caller's request head is not valid; the message says what to send."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredRow:
    """A row of a shared table; `value` is None if the row was deleted."""

    key: str
    value: bytes | None
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Rows:
    """Rows of a table, as of `version` of the store.

    `clock_ms` is the store's monotonic clock.
    """

    rows: tuple[StoredRow, ...]
    version: int
    clock_ms: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class RowWrite:
    """A row to write, or to delete if `value` is None.

    If `expected_version` is given, the write succeeds only if the row has
    this version; 0 means that the row must not exist.
    """

    table: str
    key: str
    value: bytes | None
    expected_version: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteResult:
    """The result of a write.

    After a conflict, `applied` is False and `rows` has the current rows.
    """

    applied: bool
    version: int
    clock_ms: int
    rows: tuple[StoredRow, ...] = ()


class RowStore(Protocol):
    """Shared tables with versioned rows and transactions.

    The store may return from an older copy, without the writes since. It
    then begins a new era, whose versions are greater than all before.
    `on_era` is called with the first era that is seen and each later one,
    before the result that shows it is returned.
    """

    on_era: Callable[[int], None]

    async def async_read(
        self, table: str, *, deadline: float, key: str | None = None
    ) -> Rows:
        """Return all rows of a table, or only the row of a key.

        Raises `StoreUnavailableError`.
        """

    async def async_changes(
        self, table: str, after: int, wait_s: float, *, deadline: float
    ) -> Rows:
        """Return the rows changed after a version, by long poll.

        The call waits up to `wait_s` for the first change. Raises
        `HistoryLostError` or `StoreUnavailableError`.
        """

    async def async_write(
        self, writes: Sequence[RowWrite], *, deadline: float
    ) -> WriteResult:
        """Apply all writes in one transaction, or none of them.

        Raises `StoreUnavailableError`.
        """


class RowCodec(Protocol):
    """Decodes the rows of the operator and of the servers.

    It decodes and encodes the status rows of rollouts, which this system
    writes itself.
    """

    config_table: str
    config_key: str
    servers_table: str
    status_table: str

    def decode_rollout_order(self, row: StoredRow) -> RolloutOrder | None:
        """Decode the rollout order in an operator's row.

        Returns None for a row of another kind; raises `BadRowError`.
        """

    def decode_evacuated_domain(self, key: str) -> FailureDomain | None:
        """Return the failure domain that an operator's row evacuates.

        The row's value does not matter. Returns None for a row of another
        kind.
        """

    def rollout_status_key(self, service: ServiceId) -> str:
        """Return the key of the status row of a service's rollout."""

    def encode_rollout_status(
        self, order: RolloutOrder, state: RolloutState
    ) -> bytes:
        """Encode the value of a status row."""

    def decode_rollout_state(self, value: bytes) -> RolloutState | None:
        """Decode a status row; None if the state is unknown.

        Raises `BadRowError`.
        """

    def decode_config(self, value: bytes) -> RoutingConfig:
        """Decode the configuration row; raises `BadRowError`."""

    def config_number(self, row: StoredRow) -> int:
        """Return the operator's number of the configuration in a row.

        Returns 0 for another row, or one that is not valid.
        """

    def decode_backend(self, key: str, value: bytes) -> ListedBackend:
        """Decode a server's registration; raises `BadRowError`."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseHead:
    """The head of a server's response.

    `is_authentic` means that it has the server's stamp and that its body
    has no content encoding. `not_executed` means that the server says that
    it did not execute the request, and `misdirected` that another server
    now has the address. `leaving` means that the server is shutting down.
    `retry_after_s` is how long the server asks this host to send it nothing.
    `run_at` is the server to which a peer sent the request, if it says so.
    `limit_per_s` are the requests a second that it takes from all hosts, and
    `brittle_rejections_per_s` those that it rejects without falling over.
    `cold` is for how long it is still cold, if it says so.
    """

    status: int
    request_id: RequestId | None
    is_authentic: bool
    not_executed: bool
    misdirected: bool
    leaving: bool = False
    retry_after_s: float | None = None
    limit_per_s: float | None = None
    brittle_rejections_per_s: float | None = None
    run_at: ServerId | None = None
    cold: ColdReading = NO_READING


class ExchangeCodec(Protocol):
    """Decodes and encodes the heads of requests and responses."""

    def decode_request_head(self, req: HttpRequest) -> ExchangeHead:
        """Decode a caller's request head; raises `BadHeadError`."""

    def encode_request_headers(
        self, req: HttpRequest, send: SendRequest, now: float
    ) -> list[tuple[str, str]]:
        """Return the headers of the request that is sent to a server."""

    def encode_relay_headers(
        self, req: HttpRequest, send: SendRequest, now: float
    ) -> list[tuple[str, str]]:
        """Return the headers of the request that is relayed to a peer."""

    def decode_response_head(
        self, status: int, headers: Headers
    ) -> ResponseHead:
        """Decode the head of a server's response."""

    def filter_response_headers(
        self, headers: Headers
    ) -> list[tuple[str, str]]:
        """Return the response headers that are passed on to the caller."""

    def encode_run_headers(self, server_id: ServerId) -> list[tuple[str, str]]:
        """Return the headers that tell a peer which server runs a request."""

    def encode_refusal_headers(
        self, request_id: RequestId
    ) -> list[tuple[str, str]]:
        """Return the headers of this host's own response to a request."""


class EngineClient(Protocol):
    """Control calls to model engines."""

    async def async_migrate_run(
        self,
        source: Server,
        target: Server,
        request_id: RequestId,
        *,
        deadline: float,
    ) -> "MigrationReply":
        """Stop a run and copy its KV cache to the target."""


@dataclass(frozen=True, kw_only=True, slots=True)
class MigrationReply:
    """The reply to a migration; `cache` is None if it failed.

    `not_stopped` means that the source did not stop the run: it was not
    asked to, or no longer had the run. `source_leaving` means that the
    source said that it is shutting down.
    """

    cache: MigratedCache | None = None
    not_stopped: bool = False
    source_leaving: bool = False


class DutyClient(Protocol):
    """Calls of the singleton duties to the platform.

    `holder` is the host that holds the lease and `fence` its fencing token.
    """

    async def async_report_usage(
        self,
        window: int,
        counts: Mapping[AccountId, int],
        *,
        holder: HostId,
        fence: int,
        deadline: float,
    ) -> bool:
        """Report the usage of the window with this number.

        Returns False if the report was not accepted.
        """

    async def async_order_servers(
        self,
        key: OrderKey,
        desired: int,
        *,
        holder: HostId,
        fence: int,
        deadline: float,
    ) -> "OrderReply":
        """Order that `desired` servers run in total for a key.

        A key is a service, a failure domain and reclaimable or not.
        """


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderReply:
    """The reply to an order; `refused` means that there is no capacity.

    If both fields are False, the call failed or was not accepted for
    another reason.
    """

    accepted: bool
    refused: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class FrontPorts:
    """All ports of a host on the users' platform."""

    store: RowStore
    rows: RowCodec
    exchanges: ExchangeCodec
    engines: EngineClient
    duties: DutyClient
