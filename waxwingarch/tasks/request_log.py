"""Log of the recent requests and their steps, for `waxwingctl explain`."""

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

MAX_FINISHED_ENTRIES: Final = 512
MAX_STEPS_PER_ENTRY: Final = 32

REPLAYED_STEP: Final = "answered from the claim row, not run again"


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestStep:
    """A step of a request; `at_s` counts seconds from its arrival."""

    at_s: float
    what: str
    server_id: ServerId | None = None


@dataclass(kw_only=True, slots=True)
class RequestEntry:
    """The data logged about one request.

    `first_token_s` and `whole_s` are seconds from its arrival, or None if
    that did not happen. `outcome` is empty while the request is in
    progress. `last_server` is the server of the latest attempt.
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

    def add_step(
        self, now: float, what: str, server_id: ServerId | None = None
    ) -> None:
        """Add a step; steps beyond `MAX_STEPS_PER_ENTRY` are only counted."""
        if len(self.steps) >= MAX_STEPS_PER_ENTRY:
            self.steps_left_out += 1
            return
        at_s = round(now - self.request.arrived_at, 4)
        step = RequestStep(at_s=at_s, what=what, server_id=server_id)
        self.steps.append(step)

    def as_json(self) -> dict[str, Any]:
        """Return the entry as JSON values."""
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
    """Observes a node's events and actions and logs them by request.

    All requests in progress are kept, and the latest `max_finished` finished
    ones.
    """

    def __init__(self, max_finished: int = MAX_FINISHED_ENTRIES) -> None:
        self._max_finished = max_finished
        self._in_progress: dict[RequestId, RequestEntry] = {}
        self._finished: OrderedDict[RequestId, RequestEntry] = OrderedDict()
        self._listeners: list[Listener] = []
        self._request_by_attempt: dict[AttemptId, RequestId] = {}
        self._event_handlers: dict[type, Callable[[float, Any], None]] = {
            RequestArrived: self._handle_arrival,
            AttemptLost: self._handle_loss,
        }
        self._action_handlers: dict[type, Callable[[float, Any], None]] = {
            StartAttempt: self._handle_start,
            DropAttempt: self._handle_drop,
            Deliver: self._handle_tokens,
            Complete: self._handle_completion,
            Refuse: self._handle_refusal,
            OnceDispatch: self._handle_dispatch,
            OnceQuery: self._handle_query,
            OnceAnswer: self._handle_answer,
        }

    def add_finished_listener(self, listener: Listener) -> None:
        """Call a listener with the entry of each request that finishes."""
        self._listeners.append(listener)

    def get(self, request_id: str) -> RequestEntry | None:
        """Return the entry of a request, if it is still kept."""
        key = RequestId(request_id)
        return self._in_progress.get(key) or self._finished.get(key)

    def last(self, count: int) -> list[RequestEntry]:
        """Return the latest finished entries, newest first."""
        newest = list(self._finished.values())[-count:] if count else []
        return newest[::-1]

    def observe(self, now: float, event: Event, actions: list[Action]) -> None:
        """Log one event of the node and the actions it led to."""
        event_handler = self._event_handlers.get(type(event))
        if event_handler:
            event_handler(now, event)
        for action in actions:
            action_handler = self._action_handlers.get(type(action))
            if action_handler:
                action_handler(now, action)
        # A disconnect is logged after the actions: if one of them has
        # finished the request, its outcome stays.
        if isinstance(event, CallerGone):
            self._handle_disconnect(now, event)

    # Events

    def _handle_arrival(self, now: float, event: RequestArrived) -> None:
        request = event.request
        self._in_progress[request.request_id] = RequestEntry(
            request=request, arrived_unix=time.time()
        )

    def _handle_loss(self, now: float, event: AttemptLost) -> None:
        entry = self._in_progress.get(event.request_id)
        if entry is None:
            return
        server_id = entry.servers.get(event.attempt_id)
        if server_id is None:
            return
        entry.losses += 1
        entry.add_step(now, f"attempt lost: {event.kind.value}", server_id)

    def _handle_disconnect(self, now: float, event: CallerGone) -> None:
        entry = self._in_progress.get(event.request_id)
        if entry is None:
            return
        if entry.request.non_idempotent:
            entry.add_step(now, "the caller went; the request goes on")
            return
        self._finish(now, entry, "caller gone")

    # Actions

    def _handle_start(self, now: float, action: StartAttempt) -> None:
        entry = self._in_progress.get(action.request_id)
        if entry is None:
            return
        entry.attempts += 1
        entry.last_server = action.server_id
        entry.servers[action.attempt_id] = action.server_id
        self._request_by_attempt[action.attempt_id] = action.request_id
        what = f"{action.mode.value} attempt"
        if action.offset:
            entry.resumes += 1
            what = f"{what} from token {action.offset}"
        if action.kv_from:
            what = f"{what}, KV cache moved there first"
        entry.add_step(now, what, action.server_id)

    def _handle_drop(self, now: float, action: DropAttempt) -> None:
        request_id = self._request_by_attempt.get(action.attempt_id)
        entry = self._in_progress.get(request_id) if request_id else None
        if entry:
            server_id = entry.servers.get(action.attempt_id)
            entry.add_step(now, "attempt given up", server_id)

    def _handle_tokens(self, now: float, action: Deliver) -> None:
        entry = self._in_progress.get(action.request_id)
        if entry is None:
            return
        entry.tokens += len(action.tokens)
        if entry.first_token_s is None:
            entry.first_token_s = now - entry.request.arrived_at
            entry.add_step(now, "first token", action.server_id)

    def _handle_completion(self, now: float, action: Complete) -> None:
        entry = self._in_progress.get(action.request_id)
        if entry:
            self._finish(now, entry, "whole answer")

    def _handle_refusal(self, now: float, action: Refuse) -> None:
        entry = self._in_progress.get(action.request_id)
        if entry:
            entry.refusal = action.refusal
            reason = action.refusal.reason.value
            self._finish(now, entry, f"refused: {reason}")

    def _handle_dispatch(self, now: float, action: OnceDispatch) -> None:
        entry = self._in_progress.get(action.request_id)
        if entry:
            entry.attempts += 1
            entry.last_server = action.server_id
            entry.add_step(now, "sent, at most once", action.server_id)

    def _handle_query(self, now: float, action: OnceQuery) -> None:
        entry = self._in_progress.get(action.request_id)
        if entry:
            entry.add_step(now, "asked for the outcome", entry.last_server)

    def _handle_answer(self, now: float, action: OnceAnswer) -> None:
        entry = self._in_progress.get(action.request_id)
        if entry is None:
            return
        if action.replayed:
            entry.add_step(now, REPLAYED_STEP)
        self._finish(now, entry, "whole answer")

    def _finish(self, now: float, entry: RequestEntry, outcome: str) -> None:
        entry.outcome = outcome
        entry.whole_s = now - entry.request.arrived_at
        entry.add_step(now, outcome, entry.last_server)
        for attempt_id in entry.servers:
            self._request_by_attempt.pop(attempt_id, None)
        entry.servers.clear()
        # The block hashes of a long prompt would be most of an entry's size.
        entry.request = replace(entry.request, prompt_blocks=())
        request_id = entry.request.request_id
        del self._in_progress[request_id]
        self._finished[request_id] = entry
        if len(self._finished) > self._max_finished:
            self._finished.popitem(last=False)
        for listener in self._listeners:
            listener(entry)
