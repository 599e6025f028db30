"""An accepted request, as the decisions see it."""

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
    """Where a caller goes on after a cut, from its event id.

    `digest` is over the tokens before `offset`.
    """

    server_id: ServerId
    stream_id: str
    offset: int
    digest: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """One request from its arrival on.

    `deadline` is on the node's monotonic clock and fixed at arrival.
    `prompt_blocks` are chained block hashes of the prompt; `max_tokens`
    bounds the answer. `body_digest` tells different bodies under one
    idempotency key apart.
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
    """How an attempt gets its answer from a server."""

    FRESH = "fresh"
    ATTACH = "attach"
    RESUME = "resume"


class LossKind(StrEnum):
    """How an attempt was lost."""

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
    """An event of one attempt."""

    request_id: RequestId
    attempt_id: AttemptId


@dataclass(frozen=True, kw_only=True, slots=True)
class ChunkArrived(AttemptEvent):
    """Tokens arrived; `offset` is the index of the first of them."""

    offset: int
    tokens: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptEnded(AttemptEvent):
    """The server says the answer is whole: `total` tokens in all."""

    total: int
    digest: str


@dataclass(frozen=True, kw_only=True, slots=True)
class PlainAnswered(AttemptEvent):
    """A plain service answered; the body stays with the attempt task."""

    status: int


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptLost(AttemptEvent):
    """The attempt failed; `retry_after_s` is what the server asked for."""

    kind: LossKind
    retry_after_s: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class KvSource:
    """Where the KV cache of a stream can be exported."""

    address: str
    stream_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class StartAttempt(Action):
    """Begin an attempt on a server.

    With `kv_from` the KV cache is first moved from that server.
    `answer_deadline` bounds the wait for a plain service's answer.
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
    """Abandon an attempt's connection; with `cancel` stop the server too."""

    attempt_id: AttemptId
    address: str
    stream_id: str
    cancel: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class FetchHandOver(Action):
    """Ask peers ("ip:port" each) for the progress kept under a key."""

    request_id: RequestId
    key: RequestId
    peers: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class HandOverFetched(Event):
    """What peers keep of a request; no tokens if they keep nothing."""

    request_id: RequestId
    tokens: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Deliver(Action):
    """Pass tokens on to the caller; `digest` is over all up to here."""

    request_id: RequestId
    server_id: ServerId
    stream_id: str
    offset: int
    tokens: tuple[str, ...]
    digest: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Complete(Action):
    """The answer is whole; `attempt_id` holds a plain service's body."""

    request_id: RequestId
    attempt_id: AttemptId
    total: int
    digest: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Refuse(Action):
    """The final answer to a request that is not served (any more)."""

    request_id: RequestId
    refusal: Refusal
