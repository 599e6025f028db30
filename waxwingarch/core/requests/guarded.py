"""State machine of an accepted request that runs at most once.

It wraps the state machine of the claim protocol (`once`, or `once_unkeyed`
without an idempotency key). It adds the selection of a server, and labels
the events and actions with the request's id.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from waxwingarch.core.base import (
    Action,
    AttemptId,
    Event,
    HostId,
    RequestId,
    Server,
    ServerId,
)
from waxwingarch.core.once.claim import StoredAnswer, claim_key, operation_id
from waxwingarch.core.once.once import OnceMachine
from waxwingarch.core.once.once_messages import (
    Answer,
    Dispatch,
    DispatchNotSent,
    OnceFinished,
    OnceRequest,
    OnceTimer,
    OutcomeNotSeen,
    QueryOutcome,
    ReadClaim,
    RefusalKind,
    RefuseRequest,
    SetOnceTimer,
    StoreAnswer,
    WriteClaim,
)
from waxwingarch.core.once.once_state import OwnerView
from waxwingarch.core.once.once_unkeyed import UnkeyedMachine
from waxwingarch.core.refusal import Refusal, RefusalReason
from waxwingarch.core.request import Refuse, Request
from waxwingarch.core.requests.stream import Attempt, RequestState

# Time from the start of a request in which it may be dispatched, at most
# until its deadline.
DISPATCH_WINDOW_S: Final = 5.0
# Time after the request's deadline in which its outcome may be recorded.
RECORD_WINDOW_S: Final = 30.0
CLAIM_RETENTION_S: Final = 24 * 3600.0

REFUSAL_REASONS: Final[dict[RefusalKind, RefusalReason]] = {
    RefusalKind.TABLE_DOWN: RefusalReason.STORE_DOWN,
    RefusalKind.TOO_LATE: RefusalReason.DEADLINE_UNREACHABLE,
    RefusalKind.NO_SERVER: RefusalReason.NO_SERVER,
    RefusalKind.IN_PROGRESS: RefusalReason.IN_PROGRESS,
    RefusalKind.KEY_REUSED: RefusalReason.KEY_CONFLICT,
    RefusalKind.OUTCOME_UNKNOWN: RefusalReason.OUTCOME_UNKNOWN,
}
REFUSAL_MESSAGES: Final[dict[RefusalKind, str]] = {
    RefusalKind.TABLE_DOWN: "the table service is down: send it again later",
    RefusalKind.TOO_LATE: "it was not sent in time: send it again",
    RefusalKind.NO_SERVER: "no server could be reached: send it again later",
    RefusalKind.IN_PROGRESS: "it is in progress: ask again with the same key",
    RefusalKind.KEY_REUSED: "the key was used for another body: use a new key",
    RefusalKind.OUTCOME_UNKNOWN: (
        "it may have run and will not be run again: check the outcome"
    ),
}

Call = ReadClaim | WriteClaim | StoreAnswer


@dataclass(frozen=True, kw_only=True, slots=True)
class Identity:
    """Identity of this process, for claim rows that outlive it.

    `unix_offset` is Unix time minus the monotonic clock, in seconds.
    """

    host_id: HostId
    incarnation: int
    unix_offset: float


@dataclass(frozen=True, kw_only=True, slots=True)
class OnceReply(Event):
    """The reply to a call of a request that runs at most once.

    `is_cut` says that the connection of a dispatch broke, as it does when
    the server crashes.
    """

    request_id: RequestId
    reply: Event
    is_cut: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class OnceCall(Action):
    """Call the table service or the object store."""

    request_id: RequestId
    call: Call


@dataclass(frozen=True, kw_only=True, slots=True)
class OnceDispatch(Action):
    """Send the request once to this server, on a new connection."""

    request_id: RequestId
    server_id: ServerId
    address: str
    operation_id: str
    dispatch_deadline: float
    answer_deadline: float


@dataclass(frozen=True, kw_only=True, slots=True)
class OnceQuery(Action):
    """Ask this server for the outcome of the operation."""

    request_id: RequestId
    address: str
    operation_id: str
    deadline: float


@dataclass(frozen=True, kw_only=True, slots=True)
class OnceAnswer(Action):
    """Send the caller the final answer.

    If `answer.ref` is set, the body is in that object of the store.
    `replayed` marks the answer to an earlier request of the same key.
    """

    request_id: RequestId
    answer: StoredAnswer
    replayed: bool


class AtMostOnceMachine:
    """State machine of one accepted request that runs at most once."""

    def __init__(
        self,
        now: float,
        request: Request,
        identity: Identity,
        owners: OwnerView,
    ) -> None:
        self.request = request
        self.state = RequestState.RUNNING
        self.attempt: Attempt | None = None
        self.failed_servers: set[ServerId] = set()
        self.started_at = now
        self.is_answered = False
        self._claim_machine = _make_claim_machine(
            now, request, identity, owners
        )
        self._pending_dispatch: Dispatch | None = None
        self._pending_query: QueryOutcome | None = None
        self._timer_at: float | None = None
        self._translations: dict[
            type[Action], Callable[[Any], list[Action]]
        ] = {
            ReadClaim: self._call,
            WriteClaim: self._call,
            StoreAnswer: self._call,
            Dispatch: self._request_server,
            QueryOutcome: self._query_outcome,
            Answer: self._answer,
            RefuseRequest: self._refuse,
            SetOnceTimer: self._set_timer,
            OnceFinished: self._mark_done,
        }

    @property
    def finished(self) -> bool:
        """Whether the outcome is recorded, or there is none to record."""
        return self.state is RequestState.DONE

    def start(self, now: float) -> list[Action]:
        """Start the claim protocol."""
        return self._translate(self._claim_machine.start(now))

    def may_dispatch(self, now: float) -> bool:
        """Return whether the first byte of the request may be sent now."""
        return self._claim_machine.may_dispatch(now)

    def assign(self, now: float, server: Server) -> list[Action]:
        """Dispatch or query the outcome on the server that was selected."""
        if self.state is not RequestState.WAITING:
            return []
        self.state = RequestState.RUNNING
        if self._pending_query:
            return [self._query_server(self._pending_query, server)]
        assert self._pending_dispatch is not None
        dispatch, self._pending_dispatch = self._pending_dispatch, None
        self.attempt = Attempt(
            attempt_id=_attempt_id(self.request),
            server=server,
            stream_id=dispatch.operation_id,
        )
        return [
            OnceDispatch(
                request_id=self.request.request_id,
                server_id=server.server_id,
                address=server.address,
                operation_id=dispatch.operation_id,
                dispatch_deadline=dispatch.dispatch_deadline,
                answer_deadline=dispatch.answer_deadline,
            )
        ]

    def handle_no_server(self, now: float) -> list[Action]:
        """Report to the claim protocol that no server is available."""
        reply: Event = DispatchNotSent()
        if self._pending_query:
            self._pending_query, reply = None, OutcomeNotSeen()
        self.state = RequestState.RUNNING
        return self.handle_reply(now, reply)

    def handle_reply(self, now: float, reply: Event) -> list[Action]:
        """Handle the reply to a call, a dispatch or an outcome query."""
        if isinstance(reply, DispatchNotSent) and self.attempt:
            self.failed_servers.add(self.attempt.server.server_id)
        return self._translate(self._claim_machine.handle(now, reply))

    def handle(self, now: float, event: Event) -> list[Action]:
        """Ignore attempt events: a dispatch reports to `handle_reply`."""
        return []

    def handle_disconnect(self) -> list[Action]:
        """Continue, as the outcome is recorded even if nobody waits for it."""
        return []

    def tick(self, now: float) -> list[Action]:
        """Fire the timer of the claim protocol when it is due."""
        if self._timer_at is None or now < self._timer_at:
            return []
        self._timer_at = None
        return self._translate(self._claim_machine.handle(now, OnceTimer()))

    # Translation of the claim protocol's actions

    def _translate(self, actions: list[Action]) -> list[Action]:
        return [
            translated
            for action in actions
            for translated in self._translations[type(action)](action)
        ]

    def _call(self, action: Call) -> list[Action]:
        return [OnceCall(request_id=self.request.request_id, call=action)]

    def _request_server(self, action: Dispatch) -> list[Action]:
        self._pending_dispatch = action
        self.state = RequestState.WAITING
        return []

    def _query_outcome(self, action: QueryOutcome) -> list[Action]:
        if self.attempt:
            return [self._query_server(action, self.attempt.server)]
        self._pending_query = action
        self.state = RequestState.WAITING
        return []

    def _query_server(self, query: QueryOutcome, server: Server) -> Action:
        self._pending_query = None
        return OnceQuery(
            request_id=self.request.request_id,
            address=server.address,
            operation_id=query.operation_id,
            deadline=query.deadline,
        )

    def _answer(self, action: Answer) -> list[Action]:
        self.is_answered = True
        return [
            OnceAnswer(
                request_id=self.request.request_id,
                answer=action.answer,
                replayed=action.replayed,
            )
        ]

    def _refuse(self, action: RefuseRequest) -> list[Action]:
        refusal = Refusal(
            reason=REFUSAL_REASONS[action.kind],
            ran=action.ran,
            message=REFUSAL_MESSAGES[action.kind],
            retry_after_s=action.retry_after_s,
        )
        request_id = self.request.request_id
        return [Refuse(request_id=request_id, refusal=refusal)]

    def _set_timer(self, action: SetOnceTimer) -> list[Action]:
        self._timer_at = action.at
        return []

    def _mark_done(self, action: OnceFinished) -> list[Action]:
        self.state = RequestState.DONE
        return []


def _attempt_id(request: Request) -> AttemptId:
    return AttemptId(f"{request.request_id}.once")


def _make_claim_machine(
    now: float, request: Request, identity: Identity, owners: OwnerView
) -> OnceMachine | UnkeyedMachine:
    dispatch_deadline = min(request.deadline, now + DISPATCH_WINDOW_S)
    if request.idempotency_key is None:
        return UnkeyedMachine(
            operation_id=str(request.request_id),
            dispatch_deadline=dispatch_deadline,
            answer_deadline=request.deadline,
            outcome_query=request.outcome_query,
        )
    key = request.idempotency_key
    once = OnceRequest(
        key=claim_key(request.account, key),
        claim_id=str(request.request_id),
        operation_id=operation_id(request.account, key),
        body_digest=request.body_digest,
        owner=identity.host_id,
        incarnation=identity.incarnation,
        dispatch_deadline=dispatch_deadline,
        answer_deadline=request.deadline,
        record_deadline=request.deadline + RECORD_WINDOW_S,
        unix_offset=identity.unix_offset,
        expires_unix=now + identity.unix_offset + CLAIM_RETENTION_S,
        outcome_query=request.outcome_query,
    )
    return OnceMachine(once, owners)
