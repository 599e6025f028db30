"""Requests, and the events and actions of their attempts."""

from dataclasses import dataclass
from enum import StrEnum

from waxwingarch.core.base import (
    AccountId,
    Action,
    AttemptId,
    Event,
    RequestId,
    ServerId,
    ServerKind,
    ServiceId,
)
from waxwingarch.core.refusal import Refusal


@dataclass(frozen=True, kw_only=True, slots=True)
class ResumeFrom:
    """Position at which a caller resumes a broken stream.

    It is decoded from the caller's Last-Event-ID. `digest` covers the
    tokens before `offset`.
    """

    server_id: ServerId
    stream_id: str
    offset: int
    digest: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """One request of a caller, unchanged from its arrival on.

    `deadline` is on the node's monotonic clock and is fixed at arrival.
    `prompt_blocks` are chained block hashes of the prompt; `max_tokens`
    limits the length of the answer. `body_digest` covers the method, the
    path and the body; it shows whether an idempotency key is reused for
    another request.
    """

    request_id: RequestId
    account: AccountId
    service: ServiceId
    kind: ServerKind
    route: str
    method: str
    path: str
    body_digest: str
    arrived_at: float
    deadline: float
    first_token_s: float
    between_tokens_s: float
    priority: int
    cost_weight: float = 1.0
    non_idempotent: bool = False
    outcome_query: bool = False
    idempotency_key: str | None = None
    prompt_blocks: tuple[int, ...] = ()
    prompt_tokens: int = 0
    max_tokens: int = 0
    resume: ResumeFrom | None = None


class AttemptMode(StrEnum):
    """How an attempt obtains the answer from a server."""

    FRESH = "fresh"
    ATTACH = "attach"
    RESUME = "resume"


class LossKind(StrEnum):
    """Why an attempt failed."""

    NOT_SENT = "not sent"
    REFUSED = "refused"
    CUT = "cut"
    SILENT = "silent"
    FAILED = "failed"
    NOT_HELD = "not held"
    GAP = "gap"
    MISMATCH = "mismatch"


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptEvent(Event):
    """Base class of the events of one attempt."""

    request_id: RequestId
    attempt_id: AttemptId


@dataclass(frozen=True, kw_only=True, slots=True)
class ChunkArrived(AttemptEvent):
    """Tokens arrived; `offset` is the index of the first one."""

    offset: int
    tokens: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptEnded(AttemptEvent):
    """The server reports the end of the answer, after `total` tokens."""

    total: int
    digest: str


@dataclass(frozen=True, kw_only=True, slots=True)
class PlainAnswered(AttemptEvent):
    """A plain service answered; the attempt task keeps the body."""

    status: int


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptLost(AttemptEvent):
    """The attempt failed; `retry_after_s` is the server's Retry-After."""

    kind: LossKind
    retry_after_s: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class KvSource:
    """The server and stream from which a KV cache can be exported."""

    address: str
    stream_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class StartAttempt(Action):
    """Start an attempt on a server.

    If `kv_from` is set, the KV cache is first moved from that server.
    `answer_deadline` limits the wait for the answer of a plain service.
    """

    request_id: RequestId
    attempt_id: AttemptId
    server_id: ServerId
    address: str
    stream_id: str
    mode: AttemptMode
    offset: int = 0
    tokens: tuple[str, ...] = ()
    kv_from: KvSource | None = None
    answer_deadline: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class DropAttempt(Action):
    """Close an attempt's connection; `cancel` also stops the generation."""

    attempt_id: AttemptId
    address: str
    stream_id: str
    cancel: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class FetchHandOver(Action):
    """Ask peers ("ip:port" each) for the progress stored under a key."""

    request_id: RequestId
    key: RequestId
    peers: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class HandOverFetched(Event):
    """The progress that peers had stored; no tokens if there was none."""

    request_id: RequestId
    tokens: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Deliver(Action):
    """Send tokens to the caller; `digest` covers all tokens so far."""

    request_id: RequestId
    server_id: ServerId
    stream_id: str
    offset: int
    tokens: tuple[str, ...]
    digest: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Complete(Action):
    """The answer is complete.

    For a plain service the task of attempt `attempt_id` has the body.
    """

    request_id: RequestId
    attempt_id: AttemptId
    total: int
    digest: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Refuse(Action):
    """Refuse a request, or abort it when it was already in progress."""

    request_id: RequestId
    refusal: Refusal
