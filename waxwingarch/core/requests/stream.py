"""State machine of a model request: attempts, resumes, complete answer.

The state `WAITING` asks the request manager for a server. It calls
`assign` when it has selected one.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
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
    AttemptEnded,
    AttemptEvent,
    AttemptLost,
    AttemptMode,
    ChunkArrived,
    Complete,
    Deliver,
    DropAttempt,
    KvSource,
    LossKind,
    Refuse,
    Request,
    StartAttempt,
)
from waxwingarch.core.requests.assembly import GapError, Prefix, TokenAssembly

# An attempt is lost if no chunk arrives in time. The limit is twice the
# contract's time to the first token, and after that token, its interval
# between tokens times BETWEEN_TOKENS_FACTOR. Both limits are clamped to
# SILENCE_LIMIT_MIN_S and SILENCE_LIMIT_MAX_S.
SILENCE_LIMIT_MAX_S: Final = 2.0
SILENCE_LIMIT_MIN_S: Final = 0.5
BETWEEN_TOKENS_FACTOR: Final = 20.0
MAX_CONSECUTIVE_ATTACHES: Final = 2
RETRY_AFTER_S: Final = 1.0


class RequestState(StrEnum):
    """State of an accepted request."""

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES: Final = frozenset(
    {RequestState.DONE, RequestState.FAILED, RequestState.CANCELLED}
)

# Whether the server may still hold the stream of a lost attempt. Then the
# next attempt attaches to it; otherwise the stream is resumed on another
# server from the tokens received so far. A mismatch fails the request.
ATTACHABLE: Final[dict[LossKind, bool]] = {
    LossKind.NOT_SENT: False,
    LossKind.REFUSED: False,
    LossKind.CUT: True,
    LossKind.SILENT: True,
    LossKind.FAILED: False,
    LossKind.NOT_HELD: False,
    LossKind.GAP: True,
    LossKind.MISMATCH: False,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """The current attempt; events of earlier ones are ignored."""

    attempt_id: AttemptId
    server: Server
    stream_id: str


class StreamMachine:
    """State machine of one accepted model request.

    `may_resume` says whether it could be resumed on another server now.
    """

    def __init__(
        self,
        now: float,
        request: Request,
        may_resume: Callable[[], bool] = lambda: True,
    ) -> None:
        self.request = request
        self._may_resume = may_resume
        self.state = RequestState.WAITING
        resume = request.resume
        self.assembly = TokenAssembly(
            Prefix(offset=resume.offset, digest=resume.digest)
            if resume
            else None
        )
        self.attempt: Attempt | None = None
        self.progress_deadline = request.deadline
        self.failed_servers: set[ServerId] = set()
        self.is_dispatched = False
        self.first_token_at: float | None = None
        self.started_at = now
        self._attempts = 0
        self.attaches = 0
        self._kv_from: KvSource | None = None
        self._undelivered: tuple[str, ...] = ()
        self._handlers: dict[
            type[AttemptEvent], Callable[[float, AttemptEvent], list[Action]]
        ] = {
            ChunkArrived: self._handle_chunk,
            AttemptEnded: self._handle_end,
            AttemptLost: self._handle_loss,
        }

    @property
    def finished(self) -> bool:
        """Whether the request has its final answer or was cancelled."""
        return self.state in FINAL_STATES

    # Calls of the request manager

    def assign(self, now: float, server: Server) -> list[Action]:
        """Start an attempt on the server that was selected."""
        if self.state is not RequestState.WAITING:
            return []
        mode = AttemptMode.FRESH
        if self.assembly.offset:
            mode = AttemptMode.RESUME
        stream_id = f"{self.request.request_id}-{self._attempts}"
        return self._start(now, server, stream_id, mode)

    def attach(
        self, now: float, server: Server, stream_id: str
    ) -> list[Action]:
        """Attach to a stream that a server is expected to hold."""
        return self._start(now, server, stream_id, AttemptMode.ATTACH)

    def preload(self, tokens: tuple[str, ...]) -> None:
        """Add the tokens that another entry host had received.

        Those that the caller lacks are delivered with the next chunk.
        """
        self._undelivered = self.assembly.add(0, tokens)

    def handle(self, now: float, event: AttemptEvent) -> list[Action]:
        """Handle an event of the current attempt; ignore earlier ones."""
        if self.finished or self.attempt is None:
            return []
        if event.attempt_id != self.attempt.attempt_id:
            return []
        return self._handlers[type(event)](now, event)

    def migrate(self, now: float, *, move_kv: bool) -> list[Action]:
        """Stop on the current server and resume on another one.

        With `move_kv` the KV cache is moved to the next server first.
        """
        if self.state is not RequestState.RUNNING or self.attempt is None:
            return []
        if move_kv:
            self._kv_from = KvSource(
                address=self.attempt.server.address,
                stream_id=self.attempt.stream_id,
            )
        drop = self._drop_attempt(cancel=not move_kv)
        self._wait_for_server()
        return drop

    def detach(self) -> list[Action]:
        """End without a final answer; the server continues the stream."""
        if self.finished:
            return []
        drop = self._drop_attempt(cancel=False)
        self.state = RequestState.CANCELLED
        return drop

    def handle_disconnect(self) -> list[Action]:
        """Cancel the stream, as nobody reads the answer."""
        if self.finished:
            return []
        drop = self._drop_attempt(cancel=True)
        self.state = RequestState.CANCELLED
        return drop

    def tick(self, now: float) -> list[Action]:
        """Handle the deadlines of the request and of the next chunk."""
        if self.finished:
            return []
        if now >= self.request.deadline:
            return self._fail(
                RefusalReason.DEADLINE_UNREACHABLE,
                "ask for a shorter answer or a later deadline",
            )
        is_silent = now >= self.progress_deadline
        if self.state is not RequestState.RUNNING or not is_silent:
            return []
        assert self.attempt is not None
        lost = AttemptLost(
            request_id=self.request.request_id,
            attempt_id=self.attempt.attempt_id,
            kind=LossKind.SILENT,
        )
        return self._handle_loss(now, lost)

    def abort(self, reason: RefusalReason, message: str) -> list[Action]:
        """End the request with a refusal."""
        return self._fail(reason, message)

    # Attempts

    def _start(
        self, now: float, server: Server, stream_id: str, mode: AttemptMode
    ) -> list[Action]:
        attempt_id = AttemptId(f"{self.request.request_id}.{self._attempts}")
        self._attempts += 1
        self.attempt = Attempt(
            attempt_id=attempt_id, server=server, stream_id=stream_id
        )
        self.state = RequestState.RUNNING
        self.is_dispatched = True
        self._extend_progress_deadline(
            now, attached=mode is AttemptMode.ATTACH
        )
        kv_from, self._kv_from = self._kv_from, None
        resumed = mode is AttemptMode.RESUME
        return [
            StartAttempt(
                request_id=self.request.request_id,
                attempt_id=attempt_id,
                server_id=server.server_id,
                address=server.address,
                stream_id=stream_id,
                mode=mode,
                offset=self.assembly.offset,
                tokens=tuple(self.assembly.tokens) if resumed else (),
                kv_from=kv_from,
                answer_deadline=self.request.deadline,
            )
        ]

    def _extend_progress_deadline(
        self, now: float, *, attached: bool = False
    ) -> None:
        """Set the time by which the next chunk must arrive.

        An attempt that attaches to a stream of which the caller already
        has tokens does not get the longer time for a first token.
        """
        limit_s = min(SILENCE_LIMIT_MAX_S, self.request.first_token_s * 2)
        is_in_progress = attached and self.request.resume is not None
        if self.assembly.offset or is_in_progress:
            limit_s = self.request.between_tokens_s * BETWEEN_TOKENS_FACTOR
        limit_s = min(max(limit_s, SILENCE_LIMIT_MIN_S), SILENCE_LIMIT_MAX_S)
        self.progress_deadline = now + limit_s

    def _drop_attempt(self, *, cancel: bool) -> list[Action]:
        if self.attempt is None:
            return []
        return [
            DropAttempt(
                attempt_id=self.attempt.attempt_id,
                address=self.attempt.server.address,
                stream_id=self.attempt.stream_id,
                cancel=cancel,
            )
        ]

    def _wait_for_server(self) -> None:
        self.state = RequestState.WAITING
        self.attempt = None
        self.attaches = 0
        self.progress_deadline = self.request.deadline

    # Events of the current attempt

    def _handle_chunk(self, now: float, event: AttemptEvent) -> list[Action]:
        assert isinstance(event, ChunkArrived) and self.attempt is not None
        try:
            fresh = self.assembly.add(event.offset, event.tokens)
        except GapError:
            return self._abandon_attempt(now, LossKind.GAP)
        if not self.assembly.is_prefix_valid:
            return self._fail(
                RefusalReason.RESUME_MISMATCH,
                "start anew without Last-Event-ID: the answer has changed",
            )
        fresh, self._undelivered = self._undelivered + fresh, ()
        self._extend_progress_deadline(now)
        self.attaches = 0
        if fresh and self.first_token_at is None:
            self.first_token_at = now
        return self._deliver(fresh)

    def _deliver(self, fresh: tuple[str, ...]) -> list[Action]:
        if not fresh or self.attempt is None:
            return []
        return [
            Deliver(
                request_id=self.request.request_id,
                server_id=self.attempt.server.server_id,
                stream_id=self.attempt.stream_id,
                offset=self.assembly.offset - len(fresh),
                tokens=fresh,
                digest=self.assembly.digest,
            )
        ]

    def _handle_end(self, now: float, event: AttemptEvent) -> list[Action]:
        assert isinstance(event, AttemptEnded) and self.attempt is not None
        if not self.assembly.is_complete(event.total, event.digest):
            is_short = self.assembly.offset < event.total
            kind = LossKind.GAP if is_short else LossKind.MISMATCH
            return self._abandon_attempt(now, kind)
        self.state = RequestState.DONE
        remaining, self._undelivered = self._undelivered, ()
        return [
            *self._deliver(remaining),
            Complete(
                request_id=self.request.request_id,
                attempt_id=self.attempt.attempt_id,
                total=event.total,
                digest=event.digest,
            ),
        ]

    def _abandon_attempt(self, now: float, kind: LossKind) -> list[Action]:
        assert self.attempt is not None
        lost = AttemptLost(
            request_id=self.request.request_id,
            attempt_id=self.attempt.attempt_id,
            kind=kind,
        )
        return self._handle_loss(now, lost)

    def _handle_loss(self, now: float, event: AttemptEvent) -> list[Action]:
        assert isinstance(event, AttemptLost) and self.attempt is not None
        if event.kind is LossKind.MISMATCH:
            return self._fail(
                RefusalReason.BACKEND_FAILED,
                "send the request again: the answer failed its check",
            )
        attempt = self.attempt
        # A silent server still holds the stream, and nothing else does
        # unless the request can be resumed.
        must_wait = event.kind is LossKind.SILENT and not self._may_resume()
        may_attach = self.attaches < MAX_CONSECUTIVE_ATTACHES or must_wait
        if ATTACHABLE[event.kind] and may_attach:
            self.attaches += 1
            drop = self._drop_attempt(cancel=False)
            return drop + self._start(
                now, attempt.server, attempt.stream_id, AttemptMode.ATTACH
            )
        if event.kind is not LossKind.NOT_HELD:
            self.failed_servers.add(attempt.server.server_id)
        drop = self._drop_attempt(cancel=True)
        self._wait_for_server()
        return drop

    def _fail(self, reason: RefusalReason, message: str) -> list[Action]:
        drop = self._drop_attempt(cancel=True)
        self.state = RequestState.FAILED
        refusal = Refusal(
            reason=reason,
            ran=ExecutionStatus.UNKNOWN
            if self.is_dispatched
            else ExecutionStatus.NOT_RUN,
            message=message,
            retry_after_s=RETRY_AFTER_S,
        )
        request_id = self.request.request_id
        return [*drop, Refuse(request_id=request_id, refusal=refusal)]
