"""State machine of an idempotent request to a plain service.

A failed attempt is retried on another server. Requests that must not be
repeated are handled in `guarded`.
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
from waxwingarch.core.requests.stream import (
    FINAL_STATES,
    Attempt,
    RequestState,
)

MAX_ATTEMPTS: Final = 3
RETRY_AFTER_S: Final = 1.0
NOT_RUN_LOSSES: Final = frozenset({LossKind.NOT_SENT, LossKind.REFUSED})


class PlainMachine:
    """State machine of one accepted request to a plain service."""

    def __init__(self, now: float, request: Request) -> None:
        self.request = request
        self.state = RequestState.WAITING
        self.attempt: Attempt | None = None
        self.failed_servers: set[ServerId] = set()
        self.started_at = now
        self._may_have_run = False
        self._attempts = 0
        self._handlers: dict[
            type[AttemptEvent], Callable[[AttemptEvent], list[Action]]
        ] = {
            PlainAnswered: self._handle_answer,
            AttemptLost: self._handle_loss,
        }

    @property
    def finished(self) -> bool:
        """Whether the request has its final answer or was cancelled."""
        return self.state in FINAL_STATES

    def assign(self, now: float, server: Server) -> list[Action]:
        """Send the request to the server that was selected."""
        if self.state is not RequestState.WAITING:
            return []
        request_id = self.request.request_id
        attempt_id = AttemptId(f"{request_id}.{self._attempts}")
        self._attempts += 1
        self.attempt = Attempt(
            attempt_id=attempt_id, server=server, stream_id=str(request_id)
        )
        self.state = RequestState.RUNNING
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
        """Handle an event of the current attempt; ignore earlier ones."""
        if self.finished or self.attempt is None:
            return []
        if event.attempt_id != self.attempt.attempt_id:
            return []
        return self._handlers[type(event)](event)

    def handle_disconnect(self) -> list[Action]:
        """Cancel the request, as nobody waits for its answer."""
        if self.finished:
            return []
        drop = self._drop_attempt()
        self.state = RequestState.CANCELLED
        return drop

    def tick(self, now: float) -> list[Action]:
        """Fail the request once its deadline has passed."""
        if self.finished or now < self.request.deadline:
            return []
        return self._fail(
            RefusalReason.DEADLINE_UNREACHABLE,
            "send it again with a later deadline",
        )

    def abort(self, reason: RefusalReason, message: str) -> list[Action]:
        """End the request with a refusal."""
        return self._fail(reason, message)

    def _handle_answer(self, event: AttemptEvent) -> list[Action]:
        self.state = RequestState.DONE
        return [
            Complete(
                request_id=self.request.request_id,
                attempt_id=event.attempt_id,
                total=0,
                digest="",
            )
        ]

    def _handle_loss(self, event: AttemptEvent) -> list[Action]:
        assert isinstance(event, AttemptLost) and self.attempt is not None
        self.failed_servers.add(self.attempt.server.server_id)
        if event.kind not in NOT_RUN_LOSSES:
            self._may_have_run = True
        drop = self._drop_attempt()
        self.state = RequestState.WAITING
        self.attempt = None
        if self._attempts < MAX_ATTEMPTS:
            return drop
        return drop + self._fail(
            RefusalReason.BACKEND_FAILED, "send it again later"
        )

    def _drop_attempt(self) -> list[Action]:
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
        may_have_run = self._may_have_run or self.state is RequestState.RUNNING
        drop = self._drop_attempt()
        self.state = RequestState.FAILED
        refusal = Refusal(
            reason=reason,
            ran=ExecutionStatus.UNKNOWN
            if may_have_run
            else ExecutionStatus.NOT_RUN,
            message=message,
            retry_after_s=RETRY_AFTER_S,
        )
        request_id = self.request.request_id
        return [*drop, Refuse(request_id=request_id, refusal=refusal)]
