"""Events and actions of the state machines in `once`."""

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
    """A request that runs at most once, on one entry host.

    `dispatch_deadline`, `answer_deadline` and `record_deadline` are on
    this host's monotonic clock and are fixed before anything is written.
    `unix_offset` is Unix time minus that clock. `outcome_query` says that
    the service can be asked whether an operation ran. `key` is the key of
    the claim row, and the other fields are those of `ClaimRow`.
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
        """Return the claim row that this host writes."""
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
    """The reply to `WriteClaim`: it was applied."""

    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimConflict(Event):
    """The reply to `WriteClaim`: the row has another version."""

    row: ClaimRow | None
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class TableUnavailable(Event):
    """A read or write failed and was certainly not applied."""


@dataclass(frozen=True, kw_only=True, slots=True)
class TableReplyLost(Event):
    """The reply to a write was lost; it may have been applied."""


@dataclass(frozen=True, kw_only=True, slots=True)
class DispatchNotSent(Event):
    """No byte of the dispatched request was sent, and none will be."""


@dataclass(frozen=True, kw_only=True, slots=True)
class DispatchAnswered(Event):
    """The service answered the dispatched request, with any status."""

    answer: StoredAnswer


@dataclass(frozen=True, kw_only=True, slots=True)
class DispatchLost(Event):
    """The request may have been sent, but no complete answer arrived."""


@dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeRan(Event):
    """The service reports that the operation ran, with this answer."""

    answer: StoredAnswer


@dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeNotSeen(Event):
    """The service has not seen the operation, or could not be queried."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerStored(Event):
    """The reply to `StoreAnswer`: the object is stored."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerNotStored(Event):
    """The reply to `StoreAnswer`: it failed, or its reply was lost."""


@dataclass(frozen=True, kw_only=True, slots=True)
class OnceTimer(Event):
    """The time of the last `SetOnceTimer` has been reached."""


# Actions


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadClaim(Action):
    """Read the claim row, to learn whether a write was applied."""

    key: str


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteClaim(Action):
    """Write the row if its version is still `expected_version`."""

    key: str
    row: ClaimRow
    expected_version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Dispatch(Action):
    """Send the request to a server once, on a new connection.

    Call the machine's `may_dispatch` after connecting, right before the
    first byte is sent. If it returns False, report `DispatchNotSent`.
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

    `replayed` marks the answer to an earlier request of the same key. If
    `answer.ref` is set, the body is in that object.
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
    """Deliver `OnceTimer` at this time of the monotonic clock."""

    at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class OnceFinished(Action):
    """The machine will return no further actions and can be removed."""
