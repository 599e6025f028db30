"""Requests to be admitted, and the decisions of admission."""

from dataclasses import dataclass
from typing import Final

from waxwingarch.core.base import AccountId, ExecutionStatus, RequestId
from waxwingarch.core.refusal import RefusalReason

MIN_RETRY_AFTER_S: Final = 0.05
MAX_RETRY_AFTER_S: Final = 60.0

REMEDIES: Final = {
    RefusalReason.NO_CONTRACT: "apply a contract for this client account",
    RefusalReason.RATE_LIMIT: "retry later or raise [limits] rate or burst",
    RefusalReason.QUEUE_FULL: "retry later or raise [limits] concurrency",
    RefusalReason.DEADLINE_UNREACHABLE: (
        "retry later, allow more time, or raise [limits] share"
    ),
    RefusalReason.NO_CAPACITY: "retry later; no backend server is available",
}


@dataclass(frozen=True, kw_only=True, slots=True)
class PendingRequest:
    """A request that is to be admitted.

    `expected_s` is how long it is expected to occupy a slot of a backend
    server, `first_token_s` the expected time to the first token on a
    free server. `deadline` is set if the caller sent one.
    """

    request_id: RequestId
    account: AccountId
    expected_s: float
    first_token_s: float = 0.0
    streaming: bool = True
    deadline: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Deadlines:
    """Deadlines of a request, fixed at the time of its acceptance."""

    first_token_at: float
    whole_answer_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Admitted:
    """The request may be sent to a backend server now."""

    request_id: RequestId
    account: AccountId
    deadlines: Deadlines


@dataclass(frozen=True, kw_only=True, slots=True)
class Queued:
    """The request waits and is expected to meet its deadlines."""

    request_id: RequestId
    account: AccountId
    deadlines: Deadlines
    expected_start_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """The request is refused; it has not run and will not run."""

    request_id: RequestId
    account: AccountId
    reason: RefusalReason
    retry_after_s: float
    message: str
    ran: ExecutionStatus = ExecutionStatus.NOT_RUN


def refuse(
    req: PendingRequest, reason: RefusalReason, retry_after_s: float
) -> Refusal:
    """Return a refusal, with the retry time clamped to its bounds."""
    clamped_s = min(max(retry_after_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    return Refusal(
        request_id=req.request_id,
        account=req.account,
        reason=reason,
        retry_after_s=clamped_s,
        message=f"refused, not run ({reason}): {REMEDIES[reason]}",
    )
