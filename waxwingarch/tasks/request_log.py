"""What became of the last requests, for `waxwingctl explain`."""

import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import asdict, dataclass, field, replace
from typing import Any, Final

from waxwingarch.core.base import (
    Action,
    AttemptId,
    Event,
    RequestId,
    ServerId,
)
from waxwingarch.core.events import CallerGone, RequestArrived
from waxwingarch.core.refusal import Refusal
from waxwingarch.core.request import (
    AttemptLost,
    Complete,
    Deliver,
    DropAttempt,
    Refuse,
    Request,
    StartAttempt,
)
from waxwingarch.core.requests.guarded import (
    OnceAnswer,
    OnceDispatch,
    OnceQuery,
)

FINISHED_KEPT: Final = 512
STEPS_KEPT: Final = 32

NON_IDEMPOTENT_RETRY: Final = "answered from the claim row, not run again"


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestStep:
    """One thing that happened, seconds after the request arrived."""

    at_s: float
    what: str
    server_id: ServerId | None = None


@dataclass(kw_only=True, slots=True)
class RequestEntry:
    """One request: who asked for what, and what became of it.

    Times are seconds after its arrival, None for what did not happen.
    `outcome` is empty while the request is in progress; `last_server`
    is the one that answered, or was asked last.
    """

    request: Request
    arrived_unix: float
    steps: list[RequestStep] = field(default_factory=list)
    steps_left_out: int = 0
    attempts: int = 0
    losses: int = 0
    resumes: int = 0
    tokens: int = 0
    first_token_s: float | None = None
    whole_s: float | None = None
    outcome: str = ""
    refusal: Refusal | None = None
    last_server: ServerId | None = None
    servers: dict[AttemptId, ServerId] = field(default_factory=dict)

    def note(
        self, now: float, what: str, server_id: ServerId | None = None
    ) -> None:
        """Add a step; the last ones of a long list are only counted."""
        if len(self.steps) >= STEPS_KEPT:
            self.steps_left_out += 1
            return
        at_s = round(now - self.request.arrived_at, 4)
        step = RequestStep(at_s=at_s, what=what, server_id=server_id)
        self.steps.append(step)

    def as_json(self) -> dict[str, Any]:
        """Return the entry as plain JSON values."""
        request = self.request
        return {
            "request_id": request.request_id,
            "account": request.account,
            "service": request.service,
            "route": request.route,
            "method": request.method,
            "path": request.path,
            "non_idempotent": request.non_idempotent,
            "has_idempotency_key": request.idempotency_key is not None,
            "allowed_s": round(request.deadline - request.arrived_at, 3),
            "arrived_unix": round(self.arrived_unix, 3),
            "outcome": self.outcome or "in progress",
            "refusal": asdict(self.refusal) if self.refusal else None,
            "attempts": self.attempts,
            "losses": self.losses,
            "resumes": self.resumes,
            "tokens": self.tokens,
            "first_token_s": _rounded(self.first_token_s),
            "whole_s": _rounded(self.whole_s),
            "last_server": self.last_server,
            "steps": [asdict(step) for step in self.steps],
            "steps_left_out": self.steps_left_out,
        }


def _rounded(value_s: float | None) -> float | None:
    return None if value_s is None else round(value_s, 4)


Listener = Callable[[RequestEntry], None]


class RequestLog:
    """Follows the events and actions of a node, request by request.

    Requests in progress are all kept; of the finished ones the last
    `kept`.
    """

    def __init__(self, kept: int = FINISHED_KEPT) -> None:
        self._kept = kept
        self._open: dict[RequestId, RequestEntry] = {}
        self._finished: OrderedDict[RequestId, RequestEntry] = OrderedDict()
        self._listeners: list[Listener] = []
        self._by_attempt: dict[AttemptId, RequestId] = {}
        self._on_event: dict[type, Callable[[float, Any], None]] = {
            RequestArrived: self._arrived,
            AttemptLost: self._lost,
        }
        self._on_action: dict[type, Callable[[float, Any], None]] = {
            StartAttempt: self._started,
            DropAttempt: self._dropped,
            Deliver: self._delivered,
            Complete: self._completed,
            Refuse: self._refused,
            OnceDispatch: self._dispatched,
            OnceQuery: self._queried,
            OnceAnswer: self._answered,
        }

    def on_finished(self, listener: Listener) -> None:
        """Call a listener with each entry that comes to its end."""
        self._listeners.append(listener)

    def get(self, request_id: str) -> RequestEntry | None:
        """Return the entry of a request, if it is still kept."""
        key = RequestId(request_id)
        return self._open.get(key) or self._finished.get(key)

    def last(self, count: int) -> list[RequestEntry]:
        """Return the last finished entries, the newest first."""
        newest = list(self._finished.values())[-count:] if count else []
        return newest[::-1]

    def observe(self, now: float, event: Event, actions: list[Action]) -> None:
        """Take one step of the node."""
        on_event = self._on_event.get(type(event))
        if on_event:
            on_event(now, event)
        for action in actions:
            on_action = self._on_action.get(type(action))
            if on_action:
                on_action(now, action)
        # After the actions: a request that they finished has its outcome.
        if isinstance(event, CallerGone):
            self._caller_gone(now, event)

    # Events

    def _arrived(self, now: float, event: RequestArrived) -> None:
        request = event.request
        self._open[request.request_id] = RequestEntry(
            request=request, arrived_unix=time.time()
        )

    def _lost(self, now: float, event: AttemptLost) -> None:
        entry = self._open.get(event.request_id)
        if entry is None:
            return
        server_id = entry.servers.get(event.attempt_id)
        if server_id is None:
            return
        entry.losses += 1
        entry.note(now, f"attempt lost: {event.kind.value}", server_id)

    def _caller_gone(self, now: float, event: CallerGone) -> None:
        entry = self._open.get(event.request_id)
        if entry is None:
            return
        if entry.request.non_idempotent:
            entry.note(now, "the caller went; the request goes on")
            return
        self._finish(now, entry, "caller gone")

    # Actions

    def _started(self, now: float, action: StartAttempt) -> None:
        entry = self._open.get(action.request_id)
        if entry is None:
            return
        entry.attempts += 1
        entry.last_server = action.server_id
        entry.servers[action.attempt_id] = action.server_id
        self._by_attempt[action.attempt_id] = action.request_id
        what = f"{action.mode.value} attempt"
        if action.offset:
            entry.resumes += 1
            what = f"{what} from token {action.offset}"
        if action.kv_from:
            what = f"{what}, KV cache moved there first"
        entry.note(now, what, action.server_id)

    def _dropped(self, now: float, action: DropAttempt) -> None:
        request_id = self._by_attempt.get(action.attempt_id)
        entry = self._open.get(request_id) if request_id else None
        if entry:
            server_id = entry.servers.get(action.attempt_id)
            entry.note(now, "attempt given up", server_id)

    def _delivered(self, now: float, action: Deliver) -> None:
        entry = self._open.get(action.request_id)
        if entry is None:
            return
        entry.tokens += len(action.tokens)
        if entry.first_token_s is None:
            entry.first_token_s = now - entry.request.arrived_at
            entry.note(now, "first token", action.server_id)

    def _completed(self, now: float, action: Complete) -> None:
        entry = self._open.get(action.request_id)
        if entry:
            self._finish(now, entry, "whole answer")

    def _refused(self, now: float, action: Refuse) -> None:
        entry = self._open.get(action.request_id)
        if entry:
            entry.refusal = action.refusal
            reason = action.refusal.reason.value
            self._finish(now, entry, f"refused: {reason}")

    def _dispatched(self, now: float, action: OnceDispatch) -> None:
        entry = self._open.get(action.request_id)
        if entry:
            entry.attempts += 1
            entry.last_server = action.server_id
            entry.note(now, "sent, at most once", action.server_id)

    def _queried(self, now: float, action: OnceQuery) -> None:
        entry = self._open.get(action.request_id)
        if entry:
            entry.note(now, "asked for the outcome", entry.last_server)

    def _answered(self, now: float, action: OnceAnswer) -> None:
        entry = self._open.get(action.request_id)
        if entry is None:
            return
        if action.replayed:
            entry.note(now, NON_IDEMPOTENT_RETRY)
        self._finish(now, entry, "whole answer")

    def _finish(self, now: float, entry: RequestEntry, outcome: str) -> None:
        entry.outcome = outcome
        entry.whole_s = now - entry.request.arrived_at
        entry.note(now, outcome, entry.last_server)
        for attempt_id in entry.servers:
            self._by_attempt.pop(attempt_id, None)
        entry.servers.clear()
        # A long prompt's hashes are most of what an entry would hold.
        entry.request = replace(entry.request, prompt_blocks=())
        request_id = entry.request.request_id
        del self._open[request_id]
        self._finished[request_id] = entry
        if len(self._finished) > self._kept:
            self._finished.popitem(last=False)
        for listener in self._listeners:
            listener(entry)
