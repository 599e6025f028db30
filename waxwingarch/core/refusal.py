"""Final answers to requests that are not served."""

from dataclasses import dataclass
from enum import StrEnum

from waxwingarch.core.base import Ran


class RefusalReason(StrEnum):
    """Why a request was refused or given up on."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_KEY = "unknown_key"
    UNKNOWN_ROUTE = "unknown_route"
    RATE = "rate_limit"
    CONCURRENCY = "concurrency_limit"
    OVERLOAD = "overload"
    DEADLINE = "deadline_cannot_be_met"
    NO_SERVER = "no_backend_server"
    BACKEND_FAILED = "backend_failed"
    NOT_READY = "not_ready"
    DRAINING = "draining"
    IN_PROGRESS = "in_progress"
    KEY_CONFLICT = "idempotency_key_conflict"
    OUTCOME_UNKNOWN = "outcome_unknown"
    STORE_DOWN = "store_unavailable"
    RESUME_MISMATCH = "resume_mismatch"


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """The final answer to a request that is not served.

    `ran` says whether the request ran on a backend server;
    `retry_after_s` is when to come back, None where retrying does not
    help; `message` names the remedy.
    """

    reason: RefusalReason
    ran: Ran
    message: str
    retry_after_s: float | None = None
