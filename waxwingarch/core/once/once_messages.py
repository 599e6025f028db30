"""Events and actions of requests that run at most once."""

from dataclasses import dataclass
from enum import StrEnum

from waxwingarch.core.base import Action, Event, ExecutionStatus, HostId
from waxwingarch.core.once.claim import (
    ClaimRow,
    ClaimState,
    StoredAnswer,
)


class RefusalKind(StrEnum):
    """Why a request that runs at most once was refused."""

    TABLE_DOWN = "table_down"
    TOO_LATE = "too_late"
    NO_SERVER = "no_server"
    IN_PROGRESS = "in_progress"
    KEY_REUSED = "key_reused"
    OUTCOME_UNKNOWN = "outcome_unknown"


@dataclass(frozen=True, kw_only=True, slots=True)
class OnceRequest:
    """A request that runs at most once, as one entry host has it.

    `dispatch_deadline`, `answer_deadline` and `record_deadline` are on
    this host's monotonic clock and are set before anything is written;
    `unix_offset` is Unix time less that clock. See `ClaimRow` for the
    rest.
    """

    key: str
    claim_id: str
    operation_id: str
    body_digest: str
    owner: HostId
    incarnation: int
    dispatch_deadline: float
    answer_deadline: float
    record_deadline: float
    unix_offset: float
    expires_unix: float
    outcome_query: bool

    def claim(self) -> ClaimRow:
        """Return the claim that this host writes."""
        return ClaimRow(
            state=ClaimState.CLAIMED,
            owner=self.owner,
            incarnation=self.incarnation,
            claim_id=self.claim_id,
            operation_id=self.operation_id,
            body_digest=self.body_digest,
            settle_after_unix=self.answer_deadline + self.unix_offset,
            expires_unix=self.expires_unix,
        )


# Events


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimRead(Event):
    """The reply to `ReadClaim`; `row` is None if there is none."""

    row: ClaimRow | None
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimWritten(Event):
    """The reply to `WriteClaim`: it took effect."""

    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimConflict(Event):
    """The reply to `WriteClaim`: the row has another version."""

    row: ClaimRow | None
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class TableUnavailable(Event):
    """A read or write was certainly not applied."""


@dataclass(frozen=True, kw_only=True, slots=True)
class TableReplyLost(Event):
    """A write may have been applied."""


@dataclass(frozen=True, kw_only=True, slots=True)
class DispatchNotSent(Event):
    """No byte of the request was sent, and none will be."""


@dataclass(frozen=True, kw_only=True, slots=True)
class DispatchAnswered(Event):
    """The service answered, whatever the status."""

    answer: StoredAnswer


@dataclass(frozen=True, kw_only=True, slots=True)
class DispatchLost(Event):
    """The request may have been sent; no whole answer came."""


@dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeRan(Event):
    """The service says that the operation ran, with this answer."""

    answer: StoredAnswer


@dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeNotSeen(Event):
    """The service has not seen the operation, or could not be asked."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerStored(Event):
    """The reply to `StoreAnswer`: the object is there."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerNotStored(Event):
    """The reply to `StoreAnswer`: it failed or may have."""


@dataclass(frozen=True, kw_only=True, slots=True)
class OnceTimer(Event):
    """The time of the last `SetOnceTimer` has come."""


# Actions


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadClaim(Action):
    """Read the row back."""

    key: str


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteClaim(Action):
    """Write the row if it still has `expected_version`."""

    key: str
    row: ClaimRow
    expected_version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Dispatch(Action):
    """Send the request to a server on a fresh connection, once.

    Ask the machine's `may_dispatch` after connecting, right before the
    first byte is written; if it says no, report `DispatchNotSent`.
    """

    operation_id: str
    dispatch_deadline: float
    answer_deadline: float


@dataclass(frozen=True, kw_only=True, slots=True)
class QueryOutcome(Action):
    """Ask the service whether the operation ran."""

    operation_id: str
    deadline: float


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreAnswer(Action):
    """Put a large answer into the object store."""

    name: str
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer(Action):
    """Send the caller the service's answer.

    `replayed` says that it is an earlier one. If `answer.ref` is set,
    the body is in that object.
    """

    answer: StoredAnswer
    replayed: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class RefuseRequest(Action):
    """Refuse the request; no Retry-After if `retry_after_s` is None."""

    kind: RefusalKind
    ran: ExecutionStatus
    retry_after_s: float | None


@dataclass(frozen=True, kw_only=True, slots=True)
class SetOnceTimer(Action):
    """Send `OnceTimer` at this time of the monotonic clock."""

    at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class OnceFinished(Action):
    """Nothing more will come of this machine; drop it."""
