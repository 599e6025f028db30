"""State machine of a request with an idempotency key, run at most once.

There is one machine per request, on the entry host that received it. Only
the machine whose claim is in the table may dispatch, and only before its
dispatch deadline. Only that machine may declare its claim "not run", and
only if it has not dispatched or no byte was sent. Other machines answer
from the row, or settle it as "unknown", which is never run again.
"""

from collections.abc import Mapping
from dataclasses import replace
from typing import Final

from waxwingarch.core.base import Action, Event, ExecutionStatus
from waxwingarch.core.once.claim import (
    INLINE_ANSWER_MAX_BYTES,
    ClaimRow,
    ClaimState,
    StoredAnswer,
    Writer,
    may_write,
    row_state,
)
from waxwingarch.core.once.once_messages import (
    Answer,
    AnswerNotStored,
    AnswerStored,
    ClaimConflict,
    ClaimRead,
    ClaimWritten,
    Dispatch,
    DispatchAnswered,
    DispatchLost,
    DispatchNotSent,
    OnceFinished,
    OnceRequest,
    OnceTimer,
    OutcomeNotSeen,
    OutcomeRan,
    QueryOutcome,
    ReadClaim,
    RefusalKind,
    RefuseRequest,
    SetOnceTimer,
    StoreAnswer,
    TableReplyLost,
    TableUnavailable,
    WriteClaim,
)
from waxwingarch.core.once.once_state import OnceState, OwnerView, Phase

RETRY_DELAY_S: Final = 0.5
RETRY_AFTER_S: Final = 1.0
MAX_CLAIM_WRITES: Final = 5
MAX_DISPATCHES: Final = 3


class OnceMachine:
    """State machine of one keyed request that runs at most once."""

    def __init__(self, req: OnceRequest, owners: OwnerView) -> None:
        self._req = req
        self._owners = owners
        self._claim = req.claim()
        self.state = OnceState()

    # Interface

    def start(self, now: float) -> list[Action]:
        """Write a claim; the common case needs no read before it."""
        return self._write_claim(now, expected_version=0)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event; one that is late or repeated has no effect."""
        handler_name = TRANSITIONS.get((self.state.phase, type(event)))
        if handler_name is None:
            return []
        actions: list[Action] = getattr(self, handler_name)(now, event)
        return actions

    def may_dispatch(self, now: float) -> bool:
        """Return whether the first byte of the request may be sent now."""
        is_dispatching = self.state.phase is Phase.DISPATCHING
        return is_dispatching and now < self._req.dispatch_deadline

    @property
    def finished(self) -> bool:
        """Whether this machine will return no further actions."""
        return self.state.phase is Phase.FINISHED

    # Claiming

    def _write_claim(
        self, now: float, *, expected_version: int
    ) -> list[Action]:
        previous = self.state
        is_late = now >= self._req.dispatch_deadline
        if is_late or previous.claim_writes >= MAX_CLAIM_WRITES:
            return self._refuse_not_run(now, RefusalKind.TOO_LATE)
        self.state = replace(
            previous,
            phase=Phase.CLAIMING,
            version=expected_version,
            claim_writes=previous.claim_writes + 1,
        )
        return [
            WriteClaim(
                key=self._req.key,
                row=self._claim,
                expected_version=expected_version,
            )
        ]

    def _on_claimed(self, now: float, event: ClaimWritten) -> list[Action]:
        return self._proceed_with_claim(now, event.version)

    def _proceed_with_claim(self, now: float, version: int) -> list[Action]:
        """Dispatch, as the claim of this machine is in the table."""
        self.state = replace(self.state, version=version, maybe_claimed=True)
        return self._dispatch(now, RefusalKind.TOO_LATE)

    def _on_claim_unavailable(self, now: float, _: Event) -> list[Action]:
        return self._refuse_not_run(now, RefusalKind.TABLE_DOWN)

    def _on_claim_reply_lost(self, now: float, _: Event) -> list[Action]:
        self.state = replace(
            self.state, phase=Phase.READING_BACK, maybe_claimed=True
        )
        return [ReadClaim(key=self._req.key)]

    def _on_read_failed(self, now: float, _: Event) -> list[Action]:
        if now >= self._req.dispatch_deadline:
            return self._refuse_not_run(now, RefusalKind.TABLE_DOWN)
        return [SetOnceTimer(at=now + RETRY_DELAY_S)]

    def _on_read_timer(self, now: float, _: Event) -> list[Action]:
        return [ReadClaim(key=self._req.key)]

    def _on_row(
        self, now: float, event: ClaimRead | ClaimConflict
    ) -> list[Action]:
        row = event.row
        if row is not None and row.claim_id == self._req.claim_id:
            return self._on_own_row(now, row, event.version)
        if row is not None and row.body_digest != self._req.body_digest:
            return self._refuse(
                RefusalKind.KEY_REUSED, ExecutionStatus.NOT_RUN, None
            )
        handler_name = ROW_HANDLERS[row_state(row)]
        actions: list[Action] = getattr(self, handler_name)(
            now, row, event.version
        )
        return actions

    def _on_own_row(
        self, now: float, row: ClaimRow, version: int
    ) -> list[Action]:
        """Dispatch under the claim, unless another host has settled it.

        This machine has not dispatched yet, so a settled claim was not run.
        """
        if row.state is ClaimState.CLAIMED:
            return self._proceed_with_claim(now, version)
        return self._refuse(
            RefusalKind.TOO_LATE, ExecutionStatus.NOT_RUN, None
        )

    def _on_claimable_row(
        self, now: float, row: ClaimRow | None, version: int
    ) -> list[Action]:
        return self._write_claim(now, expected_version=version)

    def _on_done_row(
        self, now: float, row: ClaimRow, version: int
    ) -> list[Action]:
        assert row.answer is not None
        return [Answer(answer=row.answer, replayed=True), *self._finish()]

    # Settling the claim of another owner

    def _on_foreign_claim(
        self, now: float, row: ClaimRow, version: int
    ) -> list[Action]:
        unix_now = now + self._req.unix_offset
        is_overdue = unix_now > row.settle_after_unix
        if is_overdue or self._owners.has_departed(row.owner, row.incarnation):
            return self._settle(now, row, version)
        return self._refuse(
            RefusalKind.IN_PROGRESS, ExecutionStatus.UNKNOWN, RETRY_AFTER_S
        )

    def _settle(self, now: float, row: ClaimRow, version: int) -> list[Action]:
        self.state = replace(
            self.state,
            phase=Phase.SETTLING,
            version=version,
            record=row,
            writer=Writer.OTHER,
        )
        if not self._req.outcome_query:
            return self._on_settle_unseen(now, OutcomeNotSeen())
        return [self._query_outcome()]

    def _on_settle_unseen(self, now: float, _: Event) -> list[Action]:
        """Settle as unknown, even if the service has not seen the operation.

        The owner may be paused right before it sends the first byte.
        """
        return self._refuse_unknown(now)

    # Dispatching

    def _dispatch(self, now: float, refusal_kind: RefusalKind) -> list[Action]:
        previous = self.state
        is_late = now >= self._req.dispatch_deadline
        if is_late or previous.dispatches >= MAX_DISPATCHES:
            return self._refuse_not_run(now, refusal_kind)
        self.state = replace(
            previous,
            phase=Phase.DISPATCHING,
            dispatches=previous.dispatches + 1,
        )
        return [
            Dispatch(
                operation_id=self._req.operation_id,
                dispatch_deadline=self._req.dispatch_deadline,
                answer_deadline=self._req.answer_deadline,
            )
        ]

    def _on_not_sent(self, now: float, _: Event) -> list[Action]:
        return self._dispatch(now, RefusalKind.NO_SERVER)

    def _on_answer(
        self, now: float, event: DispatchAnswered | OutcomeRan
    ) -> list[Action]:
        """Answer the caller at once, then record the outcome with retries."""
        answer = event.answer
        replayed = self.state.writer is Writer.OTHER
        actions: list[Action] = [Answer(answer=answer, replayed=replayed)]
        if len(answer.body) <= INLINE_ANSWER_MAX_BYTES:
            return actions + self._record(now, ClaimState.DONE, answer)
        ref = f"answers/{self._req.operation_id}"
        stored = replace(answer, body=b"", ref=ref)
        store = StoreAnswer(name=ref, body=answer.body)
        base = self.state.record or self._claim
        self.state = replace(
            self.state,
            phase=Phase.STORING,
            record=base.with_state(ClaimState.DONE, stored),
            store=store,
        )
        return [*actions, store]

    def _on_dispatch_lost(self, now: float, _: Event) -> list[Action]:
        if not self._req.outcome_query:
            return self._refuse_unknown(now)
        self.state = replace(self.state, phase=Phase.ASKING)
        return [self._query_outcome()]

    def _on_outcome_unseen(self, now: float, _: Event) -> list[Action]:
        """Query again later, as the request may still be in transit."""
        if now + RETRY_DELAY_S < self._req.answer_deadline:
            return [SetOnceTimer(at=now + RETRY_DELAY_S)]
        return self._refuse_unknown(now)

    def _on_query_timer(self, now: float, _: Event) -> list[Action]:
        return [self._query_outcome()]

    def _query_outcome(self) -> Action:
        return QueryOutcome(
            operation_id=self._req.operation_id,
            deadline=self._req.answer_deadline,
        )

    # Recording the outcome

    def _on_stored(self, now: float, _: Event) -> list[Action]:
        self.state = replace(self.state, phase=Phase.RECORDING)
        return [self._write_record()]

    def _on_not_stored(self, now: float, _: Event) -> list[Action]:
        """Retry, as a row must never refer to an object that is missing."""
        if now >= self._req.record_deadline:
            return self._finish()
        return [SetOnceTimer(at=now + RETRY_DELAY_S)]

    def _on_store_timer(self, now: float, _: Event) -> list[Action]:
        assert self.state.store is not None
        return [self.state.store]

    def _record(
        self,
        now: float,
        state: ClaimState,
        answer: StoredAnswer | None = None,
    ) -> list[Action]:
        previous = self.state
        base = previous.record or self._claim
        if not may_write(base.state, state, previous.writer):
            return self._finish()
        self.state = replace(
            previous,
            phase=Phase.RECORDING,
            record=base.with_state(state, answer),
        )
        return [self._write_record()]

    def _write_record(self) -> Action:
        assert self.state.record is not None
        return WriteClaim(
            key=self._req.key,
            row=self.state.record,
            expected_version=self.state.version,
        )

    def _on_recorded(self, now: float, _: Event) -> list[Action]:
        return self._finish()

    def _on_record_conflict(
        self, now: float, event: ClaimConflict
    ) -> list[Action]:
        record = self.state.record
        assert record is not None
        row = event.row
        is_same_claim = row is None or row.claim_id == record.claim_id
        is_allowed = may_write(row_state(row), record.state, self.state.writer)
        if not is_same_claim or not is_allowed:
            return self._finish()
        self.state = replace(self.state, version=event.version)
        return [self._write_record()]

    def _on_record_failed(self, now: float, _: Event) -> list[Action]:
        """Retry; the version condition makes a repeated write harmless."""
        if now >= self._req.record_deadline:
            return self._finish()
        return [SetOnceTimer(at=now + RETRY_DELAY_S)]

    def _on_record_timer(self, now: float, _: Event) -> list[Action]:
        return [self._write_record()]

    # Final answers

    def _refuse_not_run(self, now: float, kind: RefusalKind) -> list[Action]:
        """Refuse as "not run"; this machine will not dispatch any more.

        If its claim is in the table, or may still get there, a tombstone
        replaces it.
        """
        refusal = RefuseRequest(
            kind=kind, ran=ExecutionStatus.NOT_RUN, retry_after_s=RETRY_AFTER_S
        )
        if not self.state.maybe_claimed:
            return [refusal, *self._finish()]
        return [refusal, *self._record(now, ClaimState.NOT_RUN)]

    def _refuse_unknown(self, now: float) -> list[Action]:
        refusal = RefuseRequest(
            kind=RefusalKind.OUTCOME_UNKNOWN,
            ran=ExecutionStatus.UNKNOWN,
            retry_after_s=None,
        )
        return [refusal, *self._record(now, ClaimState.UNKNOWN)]

    def _refuse(
        self,
        kind: RefusalKind,
        ran: ExecutionStatus,
        retry_after_s: float | None,
    ) -> list[Action]:
        refusal = RefuseRequest(
            kind=kind, ran=ran, retry_after_s=retry_after_s
        )
        return [refusal, *self._finish()]

    def _finish(self) -> list[Action]:
        self.state = replace(self.state, phase=Phase.FINISHED)
        return [OnceFinished()]


ROW_HANDLERS: Final[Mapping[ClaimState, str]] = {
    ClaimState.ABSENT: "_on_claimable_row",
    ClaimState.NOT_RUN: "_on_claimable_row",
    ClaimState.CLAIMED: "_on_foreign_claim",
    ClaimState.UNKNOWN: "_settle",
    ClaimState.DONE: "_on_done_row",
}

_P = Phase
TRANSITIONS: Final[Mapping[tuple[Phase, type[Event]], str]] = {
    (_P.CLAIMING, ClaimWritten): "_on_claimed",
    (_P.CLAIMING, ClaimConflict): "_on_row",
    (_P.CLAIMING, TableUnavailable): "_on_claim_unavailable",
    (_P.CLAIMING, TableReplyLost): "_on_claim_reply_lost",
    (_P.READING_BACK, ClaimRead): "_on_row",
    (_P.READING_BACK, TableUnavailable): "_on_read_failed",
    (_P.READING_BACK, OnceTimer): "_on_read_timer",
    (_P.DISPATCHING, DispatchNotSent): "_on_not_sent",
    (_P.DISPATCHING, DispatchAnswered): "_on_answer",
    (_P.DISPATCHING, DispatchLost): "_on_dispatch_lost",
    (_P.ASKING, OutcomeRan): "_on_answer",
    (_P.ASKING, OutcomeNotSeen): "_on_outcome_unseen",
    (_P.ASKING, OnceTimer): "_on_query_timer",
    (_P.SETTLING, OutcomeRan): "_on_answer",
    (_P.SETTLING, OutcomeNotSeen): "_on_settle_unseen",
    (_P.STORING, AnswerStored): "_on_stored",
    (_P.STORING, AnswerNotStored): "_on_not_stored",
    (_P.STORING, OnceTimer): "_on_store_timer",
    (_P.RECORDING, ClaimWritten): "_on_recorded",
    (_P.RECORDING, ClaimConflict): "_on_record_conflict",
    (_P.RECORDING, TableUnavailable): "_on_record_failed",
    (_P.RECORDING, TableReplyLost): "_on_record_failed",
    (_P.RECORDING, OnceTimer): "_on_record_timer",
}
