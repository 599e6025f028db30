"""State machine of a request without an idempotency key, run at most once.

It needs no claim row, because no later request can refer to it without a key.
The request is sent at most once, on a new connection, and is refused as
"not run" only if no byte was sent.
"""

from collections.abc import Mapping
from typing import Final

from waxwingarch.core.base import Action, Event, ExecutionStatus
from waxwingarch.core.once.once_messages import (
    Answer,
    Dispatch,
    DispatchAnswered,
    DispatchLost,
    DispatchNotSent,
    OnceFinished,
    OnceTimer,
    OutcomeNotSeen,
    OutcomeRan,
    QueryOutcome,
    RefusalKind,
    RefuseRequest,
    SetOnceTimer,
)
from waxwingarch.core.once.once_state import Phase

RETRY_DELAY_S: Final = 0.5
RETRY_AFTER_S: Final = 1.0
MAX_DISPATCHES: Final = 3


class UnkeyedMachine:
    """State machine of one unkeyed request that runs at most once.

    Deadlines are on the host's monotonic clock; `operation_id` is
    unique to the request.
    """

    def __init__(
        self,
        *,
        operation_id: str,
        dispatch_deadline: float,
        answer_deadline: float,
        outcome_query: bool,
    ) -> None:
        self._operation_id = operation_id
        self._dispatch_deadline = dispatch_deadline
        self._answer_deadline = answer_deadline
        self._outcome_query = outcome_query
        self._dispatches = 0
        self.phase = Phase.NEW

    def start(self, now: float) -> list[Action]:
        """Dispatch the request."""
        return self._dispatch(now)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event; one that is late or repeated has no effect."""
        handler_name = UNKEYED_TRANSITIONS.get((self.phase, type(event)))
        if handler_name is None:
            return []
        actions: list[Action] = getattr(self, handler_name)(now, event)
        return actions

    def may_dispatch(self, now: float) -> bool:
        """Return whether the first byte of the request may be sent now."""
        is_dispatching = self.phase is Phase.DISPATCHING
        return is_dispatching and now < self._dispatch_deadline

    @property
    def finished(self) -> bool:
        """Whether this machine will return no further actions."""
        return self.phase is Phase.FINISHED

    def _dispatch(self, now: float) -> list[Action]:
        is_late = now >= self._dispatch_deadline
        if is_late or self._dispatches >= MAX_DISPATCHES:
            kind = RefusalKind.TOO_LATE if is_late else RefusalKind.NO_SERVER
            return self._refuse(kind, ExecutionStatus.NOT_RUN, RETRY_AFTER_S)
        self.phase = Phase.DISPATCHING
        self._dispatches += 1
        return [
            Dispatch(
                operation_id=self._operation_id,
                dispatch_deadline=self._dispatch_deadline,
                answer_deadline=self._answer_deadline,
            )
        ]

    def _on_not_sent(self, now: float, _: Event) -> list[Action]:
        return self._dispatch(now)

    def _on_answer(
        self, now: float, event: DispatchAnswered | OutcomeRan
    ) -> list[Action]:
        self.phase = Phase.FINISHED
        answer = Answer(answer=event.answer, replayed=False)
        return [answer, OnceFinished()]

    def _on_dispatch_lost(self, now: float, _: Event) -> list[Action]:
        if not self._outcome_query:
            return self._refuse_unknown()
        self.phase = Phase.ASKING
        return [self._query_outcome()]

    def _on_outcome_unseen(self, now: float, _: Event) -> list[Action]:
        if now + RETRY_DELAY_S < self._answer_deadline:
            return [SetOnceTimer(at=now + RETRY_DELAY_S)]
        return self._refuse_unknown()

    def _on_query_timer(self, now: float, _: Event) -> list[Action]:
        return [self._query_outcome()]

    def _query_outcome(self) -> Action:
        return QueryOutcome(
            operation_id=self._operation_id, deadline=self._answer_deadline
        )

    def _refuse_unknown(self) -> list[Action]:
        return self._refuse(
            RefusalKind.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN, None
        )

    def _refuse(
        self,
        kind: RefusalKind,
        ran: ExecutionStatus,
        retry_after_s: float | None,
    ) -> list[Action]:
        self.phase = Phase.FINISHED
        refusal = RefuseRequest(
            kind=kind, ran=ran, retry_after_s=retry_after_s
        )
        return [refusal, OnceFinished()]


_P = Phase
UNKEYED_TRANSITIONS: Final[Mapping[tuple[Phase, type[Event]], str]] = {
    (_P.DISPATCHING, DispatchNotSent): "_on_not_sent",
    (_P.DISPATCHING, DispatchAnswered): "_on_answer",
    (_P.DISPATCHING, DispatchLost): "_on_dispatch_lost",
    (_P.ASKING, OutcomeRan): "_on_answer",
    (_P.ASKING, OutcomeNotSeen): "_on_outcome_unseen",
    (_P.ASKING, OnceTimer): "_on_query_timer",
}
