"""One accepted request to a plain service that may be repeated.

It goes to another server when an attempt is lost. Requests that may not
be repeated are in `guarded`.
"""

from collections.abc import Callable
from typing import Final

from waxwingarch.core.base import (
    Action,
    AttemptId,
    ExecutionStatus,
    Server,
    ServerId,
)
from waxwingarch.core.refusal import Refusal, RefusalReason
from waxwingarch.core.request import (
    AttemptEvent,
    AttemptLost,
    AttemptMode,
    Complete,
    DropAttempt,
    LossKind,
    PlainAnswered,
    Refuse,
    Request,
    StartAttempt,
)
from waxwingarch.core.requests.stream import FINAL_STATES, Attempt, StreamState

MAX_ATTEMPTS: Final = 3
RETRY_AFTER_S: Final = 1.0
NOT_RUN_LOSSES: Final = frozenset({LossKind.NOT_SENT, LossKind.REFUSED})


class PlainMachine:
    """State of one accepted request to a plain service."""

    def __init__(self, now: float, request: Request) -> None:
        self.request = request
        self.state = StreamState.WAITING
        self.attempt: Attempt | None = None
        self.failed_servers: set[ServerId] = set()
        self.started_at = now
        self._maybe_ran = False
        self._attempts = 0
        self._handlers: dict[
            type[AttemptEvent], Callable[[AttemptEvent], list[Action]]
        ] = {PlainAnswered: self._answered, AttemptLost: self._lost}

    @property
    def finished(self) -> bool:
        """Whether the final answer was given."""
        return self.state in FINAL_STATES

    def assign(self, now: float, server: Server) -> list[Action]:
        """Send the request to a server that the node has chosen."""
        if self.state is not StreamState.WAITING:
            return []
        request_id = self.request.request_id
        attempt_id = AttemptId(f"{request_id}.{self._attempts}")
        self._attempts += 1
        self.attempt = Attempt(
            attempt_id=attempt_id, server=server, stream_id=str(request_id)
        )
        self.state = StreamState.RUNNING
        return [
            StartAttempt(
                request_id=request_id,
                attempt_id=attempt_id,
                server_id=server.server_id,
                address=server.address,
                stream_id=str(request_id),
                mode=AttemptMode.FRESH,
                answer_deadline=self.request.deadline,
            )
        ]

    def handle(self, now: float, event: AttemptEvent) -> list[Action]:
        """Take an event of an attempt; those of old attempts are void."""
        if self.finished or self.attempt is None:
            return []
        if event.attempt_id != self.attempt.attempt_id:
            return []
        return self._handlers[type(event)](event)

    def caller_gone(self) -> list[Action]:
        """Drop the request: nobody waits for its answer."""
        if self.finished:
            return []
        drop = self._drop()
        self.state = StreamState.CANCELLED
        return drop

    def tick(self, now: float) -> list[Action]:
        """Give up at the deadline."""
        if self.finished or now < self.request.deadline:
            return []
        return self._fail(
            RefusalReason.DEADLINE_UNREACHABLE,
            "send it again with a later deadline",
        )

    def _answered(self, event: AttemptEvent) -> list[Action]:
        self.state = StreamState.DONE
        return [
            Complete(
                request_id=self.request.request_id,
                attempt_id=event.attempt_id,
                total=0,
                digest="",
            )
        ]

    def _lost(self, event: AttemptEvent) -> list[Action]:
        assert isinstance(event, AttemptLost) and self.attempt is not None
        self.failed_servers.add(self.attempt.server.server_id)
        if event.kind not in NOT_RUN_LOSSES:
            self._maybe_ran = True
        drop = self._drop()
        self.state = StreamState.WAITING
        self.attempt = None
        if self._attempts < MAX_ATTEMPTS:
            return drop
        return drop + self._fail(
            RefusalReason.BACKEND_FAILED, "send it again later"
        )

    def _drop(self) -> list[Action]:
        if self.attempt is None:
            return []
        return [
            DropAttempt(
                attempt_id=self.attempt.attempt_id,
                address=self.attempt.server.address,
                stream_id=self.attempt.stream_id,
                cancel=False,
            )
        ]

    def _fail(self, reason: RefusalReason, message: str) -> list[Action]:
        ran = self._maybe_ran or self.state is StreamState.RUNNING
        drop = self._drop()
        self.state = StreamState.FAILED
        refusal = Refusal(
            reason=reason,
            ran=ExecutionStatus.UNKNOWN if ran else ExecutionStatus.NOT_RUN,
            message=message,
            retry_after_s=RETRY_AFTER_S,
        )
        request_id = self.request.request_id
        return [*drop, Refuse(request_id=request_id, refusal=refusal)]
