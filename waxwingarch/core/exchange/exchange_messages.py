"""What an exchange is, and the events and actions of one."""

from dataclasses import dataclass
from enum import StrEnum

from waxwingarch.core.base import (
    AccountId,
    Action,
    Event,
    RequestId,
    Server,
    ServerId,
    ServiceId,
)
from waxwingarch.core.refusal import Refusal
from waxwingarch.core.routing.config import RetryPolicy, Route


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptPart:
    """A part of a prompt that requests can share, by its id."""

    part: str
    tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ExchangeHead:
    """What the head of a caller's request says.

    `caller_timeout_s` is how long the caller waits. Token counts are 0 where
    the caller states none. `last_event` is the id of the event after
    which the caller goes on.
    """

    request_id: RequestId
    host: str
    path: str
    key: str
    caller_timeout_s: float | None
    prompt_tokens: int = 0
    output_tokens: int = 0
    has_token_counts: bool = False
    parts: tuple[PromptPart, ...] = ()
    last_event: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Exchange:
    """One accepted request; times are on the node's clock.

    `expires_at` is the earlier of the caller's deadline and of the
    route's timeout: by then the caller has its final answer.
    """

    head: ExchangeHead
    route: Route
    service: ServiceId
    account: AccountId | None
    priority: int
    arrived_at: float
    expires_at: float

    @property
    def request_id(self) -> RequestId:
        """Return the id that the caller gave its attempt."""
        return self.head.request_id

    @property
    def retry_policy(self) -> RetryPolicy:
        """Return what may be done again."""
        return self.route.retry_policy

    @property
    def tokens(self) -> int:
        """Return the tokens that the request may take in all."""
        return self.head.prompt_tokens + self.head.output_tokens


@dataclass(frozen=True, kw_only=True, slots=True)
class MigratedCache:
    """Where the KV cache of a stopped run can be taken up.

    `address` is the server that was stopped, `handle` names the copy,
    `target` the server that holds it.
    """

    address: str
    handle: str
    target: ServerId


class AttemptOutcome(StrEnum):
    """How an attempt ended."""

    DONE = "done"
    NOT_SENT = "not sent"
    REJECTED = "rejected"
    MISDIRECTED = "misdirected"
    FAILED = "failed"
    BROKEN = "broken"
    SILENT = "silent"
    EXPIRED = "expired"


# Ends of which it is certain that the request did not run.
NOT_RUN_ENDS = frozenset(
    {
        AttemptOutcome.NOT_SENT,
        AttemptOutcome.REJECTED,
        AttemptOutcome.MISDIRECTED,
    }
)


# Events


@dataclass(frozen=True, kw_only=True, slots=True)
class ExchangeArrived(Event):
    """A caller's request was read."""

    head: ExchangeHead


@dataclass(frozen=True, kw_only=True, slots=True)
class ExchangeEvent(Event):
    """An event of one exchange."""

    request_id: RequestId


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseStarted(ExchangeEvent):
    """The first byte of an answer or the first event came."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerActivity(Event):
    """Bytes came from a server; told a few times a second at most."""

    server_id: ServerId


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptFinished(ExchangeEvent):
    """An attempt ended.

    `response_started` says that the caller has already received a part of
    the response. `has_response` says that a complete error response of the
    server is at hand and can be forwarded. `retry_after_s` is what the
    server asked for, `last_event` the id of the last event that the caller
    has received.
    """

    outcome: AttemptOutcome
    last_event: int | None = None
    response_started: bool = False
    has_response: bool = False
    retry_after_s: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerDisconnected(ExchangeEvent):
    """The caller closed its connection."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RunMigrated(ExchangeEvent):
    """A move of a run ended; `cache` is None if it did not succeed."""

    cache: MigratedCache | None


# Actions


@dataclass(frozen=True, kw_only=True, slots=True)
class SendRequest(Action):
    """Send the request to a server.

    Times are on the node's clock. Where the request may be sent to another
    server, `first_byte_deadline` bounds the wait for the first byte.
    `stream_idle_timeout_s` bounds a pause in a stream. `resume_after` is
    the id of the last event that was passed on. With `migrated_cache` the
    server continues a run whose KV cache was copied to it.
    `fresh_connection` asks for a connection that was not idle for long.
    """

    request_id: RequestId
    server: Server
    account: AccountId | None
    priority: int
    expires_at: float
    first_byte_deadline: float
    stream_idle_timeout_s: float
    resume_after: int | None
    migrated_cache: MigratedCache | None
    fresh_connection: bool
    streaming: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class LocalResponse(Action):
    """Send a final answer of this host's own."""

    request_id: RequestId
    refusal: Refusal


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardFailure(Action):
    """Pass the server's failure on as it came."""

    request_id: RequestId


@dataclass(frozen=True, kw_only=True, slots=True)
class AbortResponse(Action):
    """Close the caller's connection: the answer cannot be completed."""

    request_id: RequestId


@dataclass(frozen=True, kw_only=True, slots=True)
class MigrateRun(Action):
    """Stop a run and copy its KV cache to another server."""

    request_id: RequestId
    source: Server
    target: Server
