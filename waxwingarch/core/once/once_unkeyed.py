"""Requests without an idempotency key that may not be repeated.

They need no row: nobody can ask for them again by name. They are sent
at most once, on a fresh connection, and refused as "not run" only if no
byte was sent.
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
MAX_CONNECTS: Final = 3


class UnkeyedMachine:
    """Decides what happens to one such request.

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
        self._connects = 0
        self.phase = Phase.NEW

    def start(self, now: float) -> list[Action]:
        """Begin."""
        return self._dispatch(now)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event; one that is late or repeated does nothing."""
        name = UNKEYED_TRANSITIONS.get((self.phase, type(event)))
        if name is None:
            return []
        actions: list[Action] = getattr(self, name)(now, event)
        return actions

    def may_dispatch(self, now: float) -> bool:
        """Return whether the first byte may be written now."""
        waiting = self.phase is Phase.DISPATCHING
        return waiting and now < self._dispatch_deadline

    @property
    def finished(self) -> bool:
        """Whether nothing more will come of this machine."""
        return self.phase is Phase.FINISHED

    def _dispatch(self, now: float) -> list[Action]:
        late = now >= self._dispatch_deadline
        if late or self._connects >= MAX_CONNECTS:
            kind = RefusalKind.TOO_LATE if late else RefusalKind.NO_SERVER
            return self._refuse(kind, ExecutionStatus.NOT_RUN, RETRY_AFTER_S)
        self.phase = Phase.DISPATCHING
        self._connects += 1
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

    def _on_lost(self, now: float, _: Event) -> list[Action]:
        if not self._outcome_query:
            return self._unknown()
        self.phase = Phase.ASKING
        return [self._query()]

    def _on_unseen(self, now: float, _: Event) -> list[Action]:
        if now + RETRY_DELAY_S < self._answer_deadline:
            return [SetOnceTimer(at=now + RETRY_DELAY_S)]
        return self._unknown()

    def _on_timer(self, now: float, _: Event) -> list[Action]:
        return [self._query()]

    def _query(self) -> Action:
        return QueryOutcome(
            operation_id=self._operation_id, deadline=self._answer_deadline
        )

    def _unknown(self) -> list[Action]:
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
    (_P.DISPATCHING, DispatchLost): "_on_lost",
    (_P.ASKING, OutcomeRan): "_on_answer",
    (_P.ASKING, OutcomeNotSeen): "_on_unseen",
    (_P.ASKING, OnceTimer): "_on_timer",
}
