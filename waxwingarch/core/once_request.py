"""Sets the deadlines of a request that runs at most once."""

from dataclasses import dataclass
from typing import Final

from waxwingarch.core.base import AccountId, HostId
from waxwingarch.core.claim import (
    CLAIM_KEEP_S,
    body_digest,
    claim_key,
    operation_id,
)
from waxwingarch.core.once_messages import OnceRequest

DISPATCH_LIMIT_S: Final = 5.0
RECORD_LIMIT_S: Final = 60.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ReceivedRequest:
    """A non-idempotent request with a key, as a caller sent it.

    `answer_deadline` is on the host's monotonic clock.
    """

    account: AccountId
    idempotency_key: str
    method: str
    path: str
    body: bytes
    answer_deadline: float
    outcome_query: bool


def once_request(
    received: ReceivedRequest,
    *,
    now: float,
    unix_now: float,
    host: HostId,
    incarnation: int,
    claim_id: str,
) -> OnceRequest:
    """Return the request with its deadlines, all counted from `now`.

    `claim_id` must never repeat; the host's incarnation and a counter
    are enough.
    """
    account, key = received.account, received.idempotency_key
    latest = now + DISPATCH_LIMIT_S
    return OnceRequest(
        key=claim_key(account, key),
        claim_id=claim_id,
        operation_id=operation_id(account, key),
        body_digest=body_digest(received.method, received.path, received.body),
        owner=host,
        incarnation=incarnation,
        dispatch_deadline=min(latest, received.answer_deadline),
        answer_deadline=received.answer_deadline,
        record_deadline=received.answer_deadline + RECORD_LIMIT_S,
        unix_offset=unix_now - now,
        expires_unix=unix_now + CLAIM_KEEP_S,
        outcome_query=received.outcome_query,
    )
