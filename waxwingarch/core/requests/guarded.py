"""One accepted request that runs at most once, among the others.

Wraps the machine of the claim protocol (`once`, `once_unkeyed`): adds
the choice of a server and ties its events and actions to the request.
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
from waxwingarch.core.requests.stream import Attempt, StreamState

DISPATCH_WINDOW_S: Final = 5.0
RECORD_WINDOW_S: Final = 30.0
KEEP_CLAIM_S: Final = 24 * 3600.0

REASONS: Final[dict[RefusalKind, RefusalReason]] = {
    RefusalKind.TABLE_DOWN: RefusalReason.STORE_DOWN,
    RefusalKind.TOO_LATE: RefusalReason.DEADLINE_UNREACHABLE,
    RefusalKind.NO_SERVER: RefusalReason.NO_SERVER,
    RefusalKind.IN_PROGRESS: RefusalReason.IN_PROGRESS,
    RefusalKind.KEY_REUSED: RefusalReason.KEY_CONFLICT,
    RefusalKind.OUTCOME_UNKNOWN: RefusalReason.OUTCOME_UNKNOWN,
}
REMEDIES: Final[dict[RefusalKind, str]] = {
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
    """Who this process is, for rows that outlive it.

    `unix_offset` is Unix time less the monotonic clock, in seconds.
    """

    host_id: HostId
    incarnation: int
    unix_offset: float


@dataclass(frozen=True, kw_only=True, slots=True)
class OnceReply(Event):
    """The reply to a call of a request that runs at most once."""

    request_id: RequestId
    reply: Event


@dataclass(frozen=True, kw_only=True, slots=True)
class OnceCall(Action):
    """Call the table service or the object store."""

    request_id: RequestId
    call: Call


@dataclass(frozen=True, kw_only=True, slots=True)
class OnceDispatch(Action):
    """Send the request, once, to this server on a fresh connection."""

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
    """The final answer; with `answer.ref` its body is in that object."""

    request_id: RequestId
    answer: StoredAnswer
    replayed: bool


class GuardedMachine:
    """State of one accepted request that runs at most once."""

    def __init__(
        self,
        now: float,
        request: Request,
        identity: Identity,
        owners: OwnerView,
    ) -> None:
        self.request = request
        self.state = StreamState.RUNNING
        self.attempt: Attempt | None = None
        self.failed_servers: set[ServerId] = set()
        self.started_at = now
        self.answered = False
        self._inner = _inner_machine(now, request, identity, owners)
        self._dispatch: Dispatch | None = None
        self._query: QueryOutcome | None = None
        self._timer: float | None = None
        self._translations: dict[
            type[Action], Callable[[Any], list[Action]]
        ] = {
            ReadClaim: self._call,
            WriteClaim: self._call,
            StoreAnswer: self._call,
            Dispatch: self._want_server,
            QueryOutcome: self._want_outcome,
            Answer: self._answer,
            RefuseRequest: self._refuse,
            SetOnceTimer: self._set_timer,
            OnceFinished: self._finish,
        }

    @property
    def finished(self) -> bool:
        """Whether the outcome was recorded, or nothing is to record."""
        return self.state is StreamState.DONE

    def start(self, now: float) -> list[Action]:
        """Begin."""
        return self._translate(self._inner.start(now))

    def may_dispatch(self, now: float) -> bool:
        """Return whether the first byte may be written now."""
        return self._inner.may_dispatch(now)

    def assign(self, now: float, server: Server) -> list[Action]:
        """Send to, or ask, a server that the node has chosen."""
        if self.state is not StreamState.WAITING:
            return []
        self.state = StreamState.RUNNING
        if self._query:
            return [self._ask(self._query, server)]
        assert self._dispatch is not None
        dispatch, self._dispatch = self._dispatch, None
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

    def no_server(self, now: float) -> list[Action]:
        """Tell the machine that no server can be had at present."""
        reply: Event = DispatchNotSent()
        if self._query:
            self._query, reply = None, OutcomeNotSeen()
        self.state = StreamState.RUNNING
        return self.reply(now, reply)

    def reply(self, now: float, reply: Event) -> list[Action]:
        """Take the reply to a call, a dispatch or a query."""
        if isinstance(reply, DispatchNotSent) and self.attempt:
            self.failed_servers.add(self.attempt.server.server_id)
        return self._translate(self._inner.handle(now, reply))

    def handle(self, now: float, event: Event) -> list[Action]:
        """Ignore attempts: a dispatch answers by `reply`."""
        return []

    def caller_gone(self) -> list[Action]:
        """Go on: the outcome is recorded also when nobody waits."""
        return []

    def tick(self, now: float) -> list[Action]:
        """Fire the timer that is due."""
        if self._timer is None or now < self._timer:
            return []
        self._timer = None
        return self._translate(self._inner.handle(now, OnceTimer()))

    # Translation of the inner machine's actions

    def _translate(self, actions: list[Action]) -> list[Action]:
        return [
            translated
            for action in actions
            for translated in self._translations[type(action)](action)
        ]

    def _call(self, action: Call) -> list[Action]:
        return [OnceCall(request_id=self.request.request_id, call=action)]

    def _want_server(self, action: Dispatch) -> list[Action]:
        self._dispatch = action
        self.state = StreamState.WAITING
        return []

    def _want_outcome(self, action: QueryOutcome) -> list[Action]:
        if self.attempt:
            return [self._ask(action, self.attempt.server)]
        self._query = action
        self.state = StreamState.WAITING
        return []

    def _ask(self, query: QueryOutcome, server: Server) -> Action:
        self._query = None
        return OnceQuery(
            request_id=self.request.request_id,
            address=server.address,
            operation_id=query.operation_id,
            deadline=query.deadline,
        )

    def _answer(self, action: Answer) -> list[Action]:
        self.answered = True
        return [
            OnceAnswer(
                request_id=self.request.request_id,
                answer=action.answer,
                replayed=action.replayed,
            )
        ]

    def _refuse(self, action: RefuseRequest) -> list[Action]:
        refusal = Refusal(
            reason=REASONS[action.kind],
            ran=action.ran,
            message=REMEDIES[action.kind],
            retry_after_s=action.retry_after_s,
        )
        request_id = self.request.request_id
        return [Refuse(request_id=request_id, refusal=refusal)]

    def _set_timer(self, action: SetOnceTimer) -> list[Action]:
        self._timer = action.at
        return []

    def _finish(self, action: OnceFinished) -> list[Action]:
        self.state = StreamState.DONE
        return []


def _attempt_id(request: Request) -> AttemptId:
    return AttemptId(f"{request.request_id}.once")


def _inner_machine(
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
        expires_unix=now + identity.unix_offset + KEEP_CLAIM_S,
        outcome_query=request.outcome_query,
    )
    return OnceMachine(once, owners)
