"""Data of an exchange, and the events and actions about it."""

from dataclasses import dataclass
from enum import StrEnum

from waxwingarch.core.backends.server_checks import CheckResult
from waxwingarch.core.base import (
    AccountId,
    Action,
    Event,
    HostId,
    RequestId,
    Server,
    ServerId,
    ServiceId,
)
from waxwingarch.core.quarantine.inputs import part_key, request_key
from waxwingarch.core.quarantine.quarantine_messages import RequestInputs
from waxwingarch.core.refusal import Refusal
from waxwingarch.core.routing.config import EngineTraits, RetryPolicy, Route


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptPart:
    """A section of a prompt that several prompts can share.

    `part` is the id by which prompts share it.
    """

    part: str
    tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ExchangeHead:
    """Head of a caller's request.

    `caller_timeout_s` is how long the caller waits, None if it does not say.
    Token counts are 0 where the caller gives none; `output_tokens` is the
    most that may be generated. `last_event` is the id of the event after
    which the caller resumes a stream. `digest` is that of the method, target
    and body; it is empty where no request can be known by its content.
    `is_relayed` says that a peer sent it, which reaches no server itself or
    has no part of what the servers take. `run_at` is the server that may
    still have a run of it, as far as that peer knows, and `asks_for_server`
    that the peer has to be told which one runs it.
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
    digest: str = ""
    is_relayed: bool = False
    run_at: ServerId | None = None
    asks_for_server: bool = False

    @property
    def shared_part(self) -> str | None:
        """Return the last part of the prompt that other prompts may share."""
        return self.parts[-2].part if len(self.parts) > 1 else None

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Return all parts of the prompt that other prompts may share."""
        return tuple(part.part for part in self.parts[:-1])


@dataclass(frozen=True, kw_only=True, slots=True)
class Exchange:
    """An admitted request; times are on the node's clock.

    `expires_at` is the earlier of the caller's deadline and the end of the
    route's timeout: the caller has the final response by then. `traits` are
    those of the service when the request was admitted.
    """

    head: ExchangeHead
    route: Route
    service: ServiceId
    account: AccountId | None
    priority: int
    arrived_at: float
    expires_at: float
    traits: EngineTraits | None = None

    @property
    def request_id(self) -> RequestId:
        """Return the id that the caller gave to its request."""
        return self.head.request_id

    @property
    def whole_request(self) -> str | None:
        """Return the key by which the same request is known again."""
        if not self.head.digest:
            return None
        return request_key(self.account, self.head.digest)

    @property
    def inputs(self) -> RequestInputs:
        """Return the inputs under which servers may crash."""
        keys = [part_key(part) for part in self.head.shared_parts]
        if self.whole_request is not None:
            keys.append(self.whole_request)
        return RequestInputs(request_id=self.request_id, keys=tuple(keys))

    @property
    def retry_policy(self) -> RetryPolicy:
        """Return the route's policy on sending the request again."""
        return self.route.retry_policy

    @property
    def tokens(self) -> int:
        """Return the tokens of the prompt and of the longest output."""
        return self.head.prompt_tokens + self.head.output_tokens


@dataclass(frozen=True, kw_only=True, slots=True)
class MigratedCache:
    """A copy of the KV cache of a stopped run, to continue the run from.

    `address` is that of the source, the server on which the run was
    stopped. `handle` names the copy at the source, `target` is the server
    that the run can continue on: that which the copy was sent to, or the
    source if it found no room there.
    """

    address: str
    handle: str
    target: ServerId


class AttemptOutcome(StrEnum):
    """How an attempt ended.

    DONE: the response was passed on in full.
    NOT_SENT: no connection to the server could be made.
    REJECTED: the server says that it did not run the request.
    MISDIRECTED: likewise, as another server now has the address.
    FAILED: the server sent an error response.
    BROKEN: the connection failed or the response was not valid.
    SILENT: no bytes came from the server in the time allowed.
    EXPIRED: the time of the request was over.
    STOPPED: this host ended before the response did.
    """

    DONE = "done"
    NOT_SENT = "not sent"
    REJECTED = "rejected"
    MISDIRECTED = "misdirected"
    FAILED = "failed"
    BROKEN = "broken"
    SILENT = "silent"
    EXPIRED = "expired"
    STOPPED = "stopped"


# Outcomes after which it is certain that the request did not run.
NOT_RUN_OUTCOMES = frozenset(
    {
        AttemptOutcome.NOT_SENT,
        AttemptOutcome.REJECTED,
        AttemptOutcome.MISDIRECTED,
    }
)


# Events


@dataclass(frozen=True, kw_only=True, slots=True)
class ExchangeArrived(Event):
    """A caller's request was read in full."""

    head: ExchangeHead


@dataclass(frozen=True, kw_only=True, slots=True)
class ExchangeEvent(Event):
    """Base of the events of one exchange."""

    request_id: RequestId


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseStarted(ExchangeEvent):
    """The first byte of a response, or its first event, was received.

    `on_new_connection` says that the request opened its connection, and
    `has_event_ids` that the stream can be resumed after its events.
    """

    on_new_connection: bool = True
    has_event_ids: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerActivity(Event):
    """Bytes were received from a server.

    It is posted a few times a second at most.
    """

    server_id: ServerId


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerSilent(ExchangeEvent):
    """A server sends nothing, in a stream that stays with it so far.

    It is posted once for each pause that is too long.
    """

    server_id: ServerId


@dataclass(frozen=True, kw_only=True, slots=True)
class SilenceLasts(ExchangeEvent):
    """A server still sends nothing; posted a few times a second.

    `since` is on the node's clock.
    """

    server_id: ServerId
    since: float


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptFinished(ExchangeEvent):
    """An attempt ended.

    `response_started` says that the caller has already received a part of
    the response. `has_response` says that a complete error response of the
    server is at hand and can be forwarded, and `says_not_run` that a caller
    takes its status for that of a request that did not run. `retry_after_s`
    is what the server asked for, `last_event` the id of the last event that
    the caller has received, None if it had none. `ended_by_close` means that
    only the end of the connection ended the response: a crash of the server
    may look the same. `next_connection` is what became of a connection to
    the server that was opened after that of the attempt broke, None without
    one. `served_by` is the server that a peer sent the request to, as it
    says. `ended_by_host` says that this host closed the connection for what
    the server had written, and not the server.
    """

    outcome: AttemptOutcome
    last_event: int | None = None
    response_started: bool = False
    has_response: bool = False
    says_not_run: bool = False
    retry_after_s: float | None = None
    ended_by_close: bool = False
    next_connection: CheckResult | None = None
    served_by: ServerId | None = None
    ended_by_host: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerDisconnected(ExchangeEvent):
    """The caller closed its connection before the response was complete."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RunMigrated(ExchangeEvent):
    """A migration of a run ended; `cache` is None if it failed.

    `not_stopped` means that the server did not stop the run, which has
    ended or goes on.
    """

    cache: MigratedCache | None
    not_stopped: bool = False


# Actions


@dataclass(frozen=True, kw_only=True, slots=True)
class SendRequest(Action):
    """Send the request to a backend server.

    Times are on the node's clock. Where the request may be sent to another
    server, `first_byte_deadline` bounds the wait for the first byte.
    After a pause of `stream_idle_timeout_s` in a stream the server counts as
    silent. One that has sent nothing, to any request of this host, for
    `max_silence_s` may be left for another if it does not take a connection
    either; one that does may be left at `leave_alive_at`. `resume_after` is
    the id of the last event that was passed on. With `migrated_cache` the
    server continues a run whose KV cache was copied to it.
    `fresh_connection` asks for a connection that was not idle for long, and
    `new_connection` for one that was not used before. With `relay_to` the
    server stands for a peer, which serves the request as its own; `run_at`
    is the server that may still have a run of it.
    """

    request_id: RequestId
    server: Server
    account: AccountId | None
    priority: int
    expires_at: float
    first_byte_deadline: float
    stream_idle_timeout_s: float
    max_silence_s: float
    leave_alive_at: float
    resume_after: int | None
    migrated_cache: MigratedCache | None
    fresh_connection: bool
    streaming: bool
    new_connection: bool = False
    relay_to: HostId | None = None
    run_at: ServerId | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class LocalResponse(Action):
    """Send a refusal of this host's own as the final response."""

    request_id: RequestId
    refusal: Refusal


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardFailure(Action):
    """Pass the server's error response on unchanged."""

    request_id: RequestId


@dataclass(frozen=True, kw_only=True, slots=True)
class AbortResponse(Action):
    """Close the caller's connection: the response can't be completed."""

    request_id: RequestId


@dataclass(frozen=True, kw_only=True, slots=True)
class MigrateRun(Action):
    """Stop a run and copy its KV cache to another server.

    `deadline` for the reply is on the node's clock.
    """

    request_id: RequestId
    source: Server
    target: Server
    deadline: float
