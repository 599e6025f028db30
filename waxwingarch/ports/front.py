"""What a host with routed exchanges meets outside, as protocols."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from waxwingarch.adapters.http_messages import Headers, HttpRequest
from waxwingarch.core.backends.registry import ListedBackend
from waxwingarch.core.base import (
    AccountId,
    HostId,
    RequestId,
    Server,
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


class HistoryLostError(WaxwingError):
    """Changes since a version are not kept any more; read all rows."""


class StoreUnavailableError(PlatformUnavailableError):
    """The store did not do it, or its answer was lost.

    `maybe_applied` says that a write may have taken effect, or may yet.
    """

    def __init__(self, message: str, *, maybe_applied: bool = False) -> None:
        super().__init__(message)
        self.maybe_applied = maybe_applied


class BadRowError(WaxwingError):
    """A row's value is not what its table holds; its writer has to mend it."""


class BadHeadError(WaxwingError):
    """A caller's request lacks something; the message says what to send."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredRow:
    """A row of a shared table; `value` is None for a row that is gone."""

    key: str
    value: bytes | None
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Rows:
    """Rows of a table, up to date at `version` of the store.

    `clock_ms` is the store's steady clock.
    """

    rows: tuple[StoredRow, ...]
    version: int
    clock_ms: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class RowWrite:
    """A row to write, or to drop where `value` is None.

    With `expected_version` only if the row has it; 0 means no such row.
    """

    table: str
    key: str
    value: bytes | None
    expected_version: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteResult:
    """What became of a write; `rows` are the present ones on a conflict."""

    applied: bool
    version: int
    clock_ms: int
    rows: tuple[StoredRow, ...] = ()


class RowStore(Protocol):
    """Shared tables with versioned rows; deadlines on the loop's clock."""

    async def async_read(
        self, table: str, *, deadline: float, key: str | None = None
    ) -> Rows:
        """Return all rows of a table, or one; raises StoreUnavailable."""

    async def async_changes(
        self, table: str, after: int, wait_s: float, *, deadline: float
    ) -> Rows:
        """Return rows changed after a version, as soon as there are any.

        Raises `HistoryLostError`, `StoreUnavailableError`.
        """

    async def async_write(
        self, writes: Sequence[RowWrite], *, deadline: float
    ) -> WriteResult:
        """Apply all writes or none; raises `StoreUnavailableError`."""


class RowCodec(Protocol):
    """Decodes the rows that others write."""

    config_table: str
    config_key: str
    servers_table: str
    status_table: str

    def decode_rollout_order(self, row: StoredRow) -> RolloutOrder | None:
        """Return the order in an operator's row; raises `BadRowError`.

        None for a row that is about something else.
        """

    def rollout_status_key(self, service: ServiceId) -> str:
        """Return the key of the row that tells the state of a move."""

    def encode_rollout_status(
        self, order: RolloutOrder, state: RolloutState
    ) -> bytes:
        """Return the value of that row."""

    def decode_rollout_state(self, value: bytes) -> RolloutState | None:
        """Return the state in that row; raises `BadRowError`."""

    def decode_config(self, value: bytes) -> RoutingConfig:
        """Return the configuration; raises `BadRowError`."""

    def decode_backend(self, key: str, value: bytes) -> ListedBackend:
        """Return a server's registration; raises `BadRowError`."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseHead:
    """What the head of a server's answer says.

    `genuine` means that it bears the server's signature and its body is
    not encoded; `not_run` that the server says it did not run the
    request, `misdirected` that another server has the address now.
    """

    status: int
    request_id: RequestId | None
    is_authentic: bool
    not_executed: bool
    misdirected: bool
    retry_after_s: float | None = None


class ExchangeCodec(Protocol):
    """Reads and writes the heads of exchanges."""

    def decode_request_head(self, req: HttpRequest) -> ExchangeHead:
        """Return what a request's head says; raises `BadHeadError`."""

    def encode_request_headers(
        self, req: HttpRequest, send: SendRequest, now: float
    ) -> list[tuple[str, str]]:
        """Return the headers of a request to a server."""

    def decode_response_head(
        self, status: int, headers: Headers
    ) -> ResponseHead:
        """Return what the head of a server's answer says."""

    def filter_response_headers(
        self, headers: Headers
    ) -> list[tuple[str, str]]:
        """Return the headers of an answer that are passed on."""


class EngineClient(Protocol):
    """Calls to model engines besides requests."""

    async def async_migrate_run(
        self,
        source: Server,
        target: Server,
        request_id: RequestId,
        *,
        deadline: float,
    ) -> MigratedCache | None:
        """Stop a run and copy its KV cache; None if that failed."""


class DutyClient(Protocol):
    """Calls of the singleton duties; False where one was not accepted."""

    async def async_report_usage(
        self,
        window: int,
        counts: Mapping[AccountId, int],
        *,
        holder: HostId,
        fence: int,
        deadline: float,
    ) -> bool:
        """Report the usage of a window."""

    async def async_order_servers(
        self,
        key: OrderKey,
        desired: int,
        *,
        holder: HostId,
        fence: int,
        deadline: float,
    ) -> "OrderReply":
        """Order a number of servers."""


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderReply:
    """The reply to an order; `refused` if there are none to be had."""

    accepted: bool
    refused: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class FrontPorts:
    """All that a host with routed exchanges needs from outside."""

    store: RowStore
    rows: RowCodec
    exchanges: ExchangeCodec
    engines: EngineClient
    duties: DutyClient
