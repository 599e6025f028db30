"""Refusals: the final answers to requests that are not served."""

from dataclasses import dataclass
from enum import StrEnum

from waxwingarch.core.base import ExecutionStatus


class RefusalReason(StrEnum):
    """Why a request was refused or aborted."""

    BAD_REQUEST = "bad request"
    UNKNOWN_KEY = "unknown key"
    UNKNOWN_ROUTE = "unknown route"
    NO_CONTRACT = "no contract"
    RATE_LIMIT = "rate limit"
    QUEUE_FULL = "queue full"
    DEADLINE_UNREACHABLE = "deadline unreachable"
    NO_CAPACITY = "no capacity"
    NO_SERVER = "no backend server"
    BACKEND_FAILED = "backend failed"
    NOT_READY = "not ready"
    DRAINING = "draining"
    IN_PROGRESS = "in progress"
    KEY_CONFLICT = "idempotency key conflict"
    OUTCOME_UNKNOWN = "outcome unknown"
    STORE_DOWN = "store unavailable"
    QUARANTINED = "quarantined"
    SUSPECTED = "suspected"
    RESUME_MISMATCH = "resume mismatch"


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """The final answer to a request that is not served.

    `ran` says whether a backend server ran the request. `retry_after_s`
    is the Retry-After for the caller, None where a retry does not help.
    `message` tells the caller what to do.
    """

    reason: RefusalReason
    ran: ExecutionStatus
    message: str
    retry_after_s: float | None = None
