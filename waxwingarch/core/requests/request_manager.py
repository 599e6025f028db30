"""Requests in progress on a host: admission, attempts, final answers."""

from collections.abc import Callable
from typing import Final

from waxwingarch.core.base import Action, RequestId, Server, ServerId
from waxwingarch.core.base import ServerKind as Kind
from waxwingarch.core.contracts.contract import Contract
from waxwingarch.core.limits.admission import Admission
from waxwingarch.core.limits.admission_messages import (
    Queued,
)
from waxwingarch.core.limits.admission_messages import Refusal as NotAdmitted
from waxwingarch.core.limits.retry_budget import RetryBudget
from waxwingarch.core.once.once_messages import DispatchNotSent
from waxwingarch.core.once.once_state import OwnerView
from waxwingarch.core.placement.placement_messages import Outcome
from waxwingarch.core.placement.server_selector import ServerSelector
from waxwingarch.core.request import (
    AttemptEvent,
    AttemptLost,
    FetchHandOver,
    HandOverFetched,
    LossKind,
    Request,
)
from waxwingarch.core.requests.active_request import ActiveRequest, Machine
from waxwingarch.core.requests.crash_guard import CrashGuard
from waxwingarch.core.requests.durations import DurationTracker
from waxwingarch.core.requests.guarded import (
    AtMostOnceMachine,
    Identity,
    OnceReply,
)
from waxwingarch.core.requests.handover import hand_over_key
from waxwingarch.core.requests.observer import AttemptObserver
from waxwingarch.core.requests.plain import PlainMachine
from waxwingarch.core.requests.request_refusals import (
    admission_refusal,
    no_server_refusal,
)
from waxwingarch.core.requests.stream import RequestState, StreamMachine
from waxwingarch.core.servers.server_registry import ServerRegistry

RETRY_DELAY_S: Final = 0.1
FETCH_TIMEOUT_S: Final = 1.0

FINAL_OUTCOMES: Final = {
    RequestState.DONE: Outcome.OK,
    RequestState.FAILED: Outcome.FAILED,
    RequestState.CANCELLED: Outcome.CANCELLED,
}


class RequestManager:
    """Admits requests and drives each one to its final answer."""

    def __init__(
        self,
        identity: Identity,
        admission: Admission,
        servers: ServerRegistry,
        selector: ServerSelector,
        owners: OwnerView,
        observer: AttemptObserver,
        hand_over_peers: Callable[[str], tuple[str, ...]],
        crash_guard: CrashGuard,
    ) -> None:
        self._crash_guard = crash_guard
        self._observer = observer
        self._hand_over_peers = hand_over_peers
        self._identity = identity
        self._owners = owners
        self._admission = admission
        self._servers = servers
        self._selector = selector
        self._retry_budget = RetryBudget()
        self._queued: dict[RequestId, Request] = {}
        self._active: dict[RequestId, ActiveRequest] = {}
        self._durations = DurationTracker()

    @property
    def in_progress(self) -> int:
        """Number of accepted requests without a final answer."""
        return len(self._active) + len(self._queued)

    def machines(self) -> list[Machine]:
        """Return the state machines of the requests that were started."""
        return [entry.machine for entry in self._active.values()]

    # Events

    def handle_arrival(self, now: float, request: Request) -> list[Action]:
        """Admit, queue or refuse a request."""
        if not self._servers.candidates(request.service):
            return [no_server_refusal(request)]
        refuse = self._crash_guard.refuse_arrival(now, request)
        if refuse is not None:
            return [refuse]
        verdict = self._admission.offer(
            now, self._durations.pending_request(request)
        )
        if isinstance(verdict, NotAdmitted):
            return [admission_refusal(verdict)]
        self._retry_budget.record_request()
        self._queued[request.request_id] = request
        if isinstance(verdict, Queued):
            return []
        return self._start(now, verdict.request_id)

    def handle_attempt_event(
        self, now: float, event: AttemptEvent
    ) -> list[Action]:
        """Pass an attempt's event to the state machine of its request."""
        entry = self._active.get(event.request_id)
        if entry is None:
            return []
        self._crash_guard.record_event(now, entry, event)
        attempt = entry.machine.attempt
        if attempt is not None and attempt.attempt_id == event.attempt_id:
            entry.is_unsent = (
                isinstance(event, AttemptLost)
                and event.kind is LossKind.NOT_SENT
            )
        return self._follow_up(now, entry, entry.machine.handle(now, event))

    def handle_once_reply(self, now: float, event: OnceReply) -> list[Action]:
        """Pass a reply to its request, which runs at most once."""
        entry = self._active.get(event.request_id)
        if entry is None or not isinstance(entry.machine, AtMostOnceMachine):
            return []
        self._crash_guard.record_once_reply(now, entry, event)
        entry.is_unsent = isinstance(event.reply, DispatchNotSent)
        return self._follow_up(
            now, entry, entry.machine.handle_reply(now, event.reply)
        )

    def handle_hand_over(
        self, now: float, event: HandOverFetched
    ) -> list[Action]:
        """Continue a stream from the progress that peers had stored."""
        entry = self._active.get(event.request_id)
        if entry is None or not isinstance(entry.machine, StreamMachine):
            return []
        if entry.machine.state is not RequestState.WAITING:
            return []
        entry.machine.preload(event.tokens)
        entry.retry_at = now
        return self._follow_up(now, entry, [])

    def detach(self, now: float, request_id: RequestId) -> list[Action]:
        """Drop a stream that was handed over, without cancelling it."""
        entry = self._active.get(request_id)
        if entry is None or not isinstance(entry.machine, StreamMachine):
            return []
        return self._follow_up(now, entry, entry.machine.detach())

    def may_dispatch(self, now: float, request_id: RequestId) -> bool:
        """Return whether an at-most-once request may be sent now."""
        entry = self._active.get(request_id)
        if entry is None or not isinstance(entry.machine, AtMostOnceMachine):
            return False
        return entry.machine.may_dispatch(now)

    def handle_disconnect(
        self, now: float, request_id: RequestId
    ) -> list[Action]:
        """Cancel the request, unless it is one that runs at most once."""
        if self._queued.pop(request_id, None):
            self._admission.release(now, request_id)
            return self._start_ready(now)
        entry = self._active.get(request_id)
        if entry is None:
            return []
        return self._follow_up(now, entry, entry.machine.handle_disconnect())

    def apply_contracts(
        self, now: float, contracts: tuple[Contract, ...]
    ) -> list[Action]:
        """Apply contracts; refuse queued requests that have none any more."""
        refusals = self._admission.set_contracts(now, contracts)
        return self._refuse_queued(refusals) + self._start_ready(now)

    def tick(self, now: float) -> list[Action]:
        """Handle expired deadlines; start requests if slots are free."""
        actions = self._refuse_queued(self._admission.expire(now))
        for entry in list(self._active.values()):
            self._crash_guard.note_progress(now, entry)
            actions += self._follow_up(now, entry, entry.machine.tick(now))
        return actions + self._start_ready(now)

    def migrate(
        self,
        now: float,
        request_id: RequestId,
        *,
        target: ServerId | None,
        move_kv: bool,
    ) -> list[Action]:
        """Migrate a stream off its server, which is leaving.

        It continues on `target`, or where placement puts it. With
        `move_kv` its KV cache is moved there first.
        """
        entry = self._active.get(request_id)
        if entry is None or not isinstance(entry.machine, StreamMachine):
            return []
        entry.target = target
        self._record_outcome(now, entry, Outcome.CANCELLED)
        actions = entry.machine.migrate(now, move_kv=move_kv)
        return self._follow_up(now, entry, actions)

    def machines_on(self, server_id: ServerId) -> list[Machine]:
        """Return the state machines whose current attempt is on a server."""
        return [
            entry.machine
            for entry in self._active.values()
            if entry.server and entry.server.server_id == server_id
        ]

    # Steps

    def _refuse_queued(self, refusals: list[NotAdmitted]) -> list[Action]:
        for refusal in refusals:
            self._queued.pop(refusal.request_id, None)
        return [admission_refusal(refusal) for refusal in refusals]

    def _start(self, now: float, request_id: RequestId) -> list[Action]:
        request = self._queued.pop(request_id)
        machine = self._make_machine(now, request)
        inputs = self._crash_guard.inputs_of(request)
        entry = ActiveRequest(machine=machine, inputs=inputs)
        self._active[request_id] = entry
        return self._follow_up(now, entry, self._start_machine(now, entry))

    def _make_machine(self, now: float, request: Request) -> Machine:
        if request.non_idempotent:
            return AtMostOnceMachine(
                now, request, self._identity, self._owners
            )
        if request.kind is Kind.ENGINE:
            return StreamMachine(
                now, request, lambda: self._retry_budget.can_retry
            )
        return PlainMachine(now, request)

    def _start_machine(self, now: float, entry: ActiveRequest) -> list[Action]:
        """Start the claim protocol, or attach to a stream to resume.

        Any other request waits for a server.
        """
        if isinstance(entry.machine, AtMostOnceMachine):
            return entry.machine.start(now)
        resume = entry.machine.request.resume
        if resume is None or isinstance(entry.machine, PlainMachine):
            return []
        server = self._servers.get(resume.server_id)
        if server is None:
            return []
        self._record_dispatch(now, entry, server)
        return entry.machine.attach(now, server, resume.stream_id)

    def _follow_up(
        self, now: float, entry: ActiveRequest, actions: list[Action]
    ) -> list[Action]:
        """Finish a request that ended; find a server for one that waits."""
        machine = entry.machine
        if machine.finished:
            return actions + self._finish(now, entry)
        if machine.state is not RequestState.WAITING:
            return actions
        self._record_outcome(now, entry, Outcome.FAILED)
        if now < entry.retry_at:
            return actions
        if machine.request.resume and not entry.is_hand_over_requested:
            return [*actions, self._fetch_hand_over(now, entry)]
        return actions + self._assign_server(now, entry)

    def _fetch_hand_over(self, now: float, entry: ActiveRequest) -> Action:
        """Ask peers for the progress of a stream that no server holds."""
        resume = entry.machine.request.resume
        assert resume is not None
        entry.is_hand_over_requested = True
        entry.retry_at = now + FETCH_TIMEOUT_S
        key = hand_over_key(resume.stream_id)
        return FetchHandOver(
            request_id=entry.machine.request.request_id,
            key=key,
            peers=self._hand_over_peers(key),
        )

    def _assign_server(self, now: float, entry: ActiveRequest) -> list[Action]:
        machine = entry.machine
        request = machine.request
        if not isinstance(machine, AtMostOnceMachine):
            refusal = self._crash_guard.refusal_on_dispatch(now, entry)
            if refusal is not None:
                actions = machine.abort(refusal.reason, refusal.message)
                return self._follow_up(now, entry, actions)
        # What reached no server adds no load that the budget has to bound.
        costs_retry = (
            entry.assignments and entry.target is None and not entry.is_unsent
        )
        if costs_retry and not self._retry_budget.can_retry:
            entry.retry_at = now + RETRY_DELAY_S
            return []
        server = self._target_server(entry)
        if server is None:
            excluded = entry.machine.failed_servers
            server = self._selector.choose(now, request, excluded)
        if server is None:
            return self._handle_no_server(now, entry)
        if costs_retry:
            self._retry_budget.try_retry()
        entry.assignments += 1
        self._record_dispatch(now, entry, server)
        return entry.machine.assign(now, server)

    def _target_server(self, entry: ActiveRequest) -> Server | None:
        """Return the migration target, or None if it is removed or leaving."""
        target_id, entry.target = entry.target, None
        if target_id is None or self._servers.departure(target_id):
            return None
        return self._servers.get(target_id)

    def _handle_no_server(
        self, now: float, entry: ActiveRequest
    ) -> list[Action]:
        """Delay the next attempt and allow all servers for it again.

        That attempt is charged to the budget, which bounds how often all
        servers are tried. A request that runs at most once is not delayed:
        its claim protocol decides what follows.
        """
        if isinstance(entry.machine, AtMostOnceMachine):
            actions = entry.machine.handle_no_server(now)
            return self._follow_up(now, entry, actions)
        entry.machine.failed_servers.clear()
        entry.is_unsent = False
        entry.retry_at = now + RETRY_DELAY_S
        return []

    def _record_dispatch(
        self, now: float, entry: ActiveRequest, server: Server
    ) -> None:
        entry.server = server
        entry.attempt_started_at = now
        entry.answer_began_at = None
        entry.tokens_before_attempt = entry.tokens
        self._selector.record_dispatch(now, entry.machine.request, server)

    def _record_outcome(
        self, now: float, entry: ActiveRequest, outcome: Outcome
    ) -> None:
        if entry.server is None:
            return
        request = entry.machine.request
        self._selector.record_outcome(now, request, outcome)
        self._report_outcome(now, entry, entry.server, outcome)
        entry.server = None

    def _report_outcome(
        self,
        now: float,
        entry: ActiveRequest,
        server: Server,
        outcome: Outcome,
    ) -> None:
        """Report the outcome as evidence on the server's version.

        An attempt that was cancelled, or whose server is leaving, is no
        evidence.
        """
        leaving = self._servers.departure(server.server_id) is not None
        if outcome is Outcome.CANCELLED or leaving:
            return
        tokens = entry.tokens - entry.tokens_before_attempt
        self._observer.record_attempt(
            now,
            entry.machine.request,
            server,
            running=self._selector.running(server),
            ok=outcome is Outcome.OK,
            latency_s=(now - entry.attempt_started_at) / (tokens + 1),
        )

    def _finish(self, now: float, entry: ActiveRequest) -> list[Action]:
        machine = entry.machine
        request = machine.request
        is_done = machine.state is RequestState.DONE
        self._record_outcome(now, entry, FINAL_OUTCOMES[machine.state])
        if is_done:
            if not isinstance(machine, AtMostOnceMachine):
                self._crash_guard.record_sound(now, entry)
            self._durations.record_duration(request, now - machine.started_at)
        self._active.pop(request.request_id, None)
        self._admission.release(now, request.request_id)
        return self._start_ready(now)

    def _start_ready(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for admitted in self._admission.start_waiting(now, len(self._queued)):
            actions += self._start(now, admitted.request_id)
        return actions
