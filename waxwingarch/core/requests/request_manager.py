"""Requests in progress on a node: admission, attempts, final answers."""

from collections.abc import Callable
from dataclasses import dataclass
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
from waxwingarch.core.once.once_state import OwnerView
from waxwingarch.core.placement.placement_messages import Outcome
from waxwingarch.core.placement.server_selector import ServerSelector
from waxwingarch.core.request import (
    AttemptEvent,
    FetchHandOver,
    HandOverFetched,
    Request,
)
from waxwingarch.core.requests.durations import Durations
from waxwingarch.core.requests.guarded import (
    GuardedMachine,
    Identity,
    OnceReply,
)
from waxwingarch.core.requests.handover import hand_over_key
from waxwingarch.core.requests.observer import AttemptObserver
from waxwingarch.core.requests.plain import PlainMachine
from waxwingarch.core.requests.request_refusals import no_server, not_admitted
from waxwingarch.core.requests.stream import StreamMachine, StreamState
from waxwingarch.core.servers.server_registry import ServerRegistry

RETRY_PAUSE_S: Final = 0.1
FETCH_LIMIT_S: Final = 1.0

ENDS: Final = {
    StreamState.DONE: Outcome.OK,
    StreamState.FAILED: Outcome.FAILED,
    StreamState.CANCELLED: Outcome.CANCELLED,
}

Machine = StreamMachine | PlainMachine | GuardedMachine


@dataclass(kw_only=True, slots=True)
class _Work:
    """One accepted request; `server` is the one of its present attempt."""

    machine: Machine
    server: Server | None = None
    attempt_at: float = 0.0
    tokens_before: int = 0
    target: ServerId | None = None
    fetched: bool = False
    retry_at: float = 0.0
    tried: int = 0


class RequestManager:
    """Accepts requests and sees each through to its final answer."""

    def __init__(
        self,
        identity: Identity,
        admission: Admission,
        servers: ServerRegistry,
        chooser: ServerSelector,
        owners: OwnerView,
        observer: AttemptObserver,
        keepers: Callable[[str], tuple[str, ...]],
    ) -> None:
        self._observer = observer
        self._hand_over_peers = keepers
        self._identity = identity
        self._owners = owners
        self._admission = admission
        self._servers = servers
        self._chooser = chooser
        self._budget = RetryBudget()
        self._queued: dict[RequestId, Request] = {}
        self._works: dict[RequestId, _Work] = {}
        self._durations = Durations()

    @property
    def in_progress(self) -> int:
        """How many accepted requests have no final answer yet."""
        return len(self._works) + len(self._queued)

    def machines(self) -> list[Machine]:
        """Return the machines of the requests that were started."""
        return [work.machine for work in self._works.values()]

    # Events

    def arrived(self, now: float, request: Request) -> list[Action]:
        """Admit, queue or refuse a request."""
        if not self._servers.candidates(request.service):
            return [no_server(request)]
        verdict = self._admission.offer(now, self._durations.pending(request))
        if isinstance(verdict, NotAdmitted):
            return [not_admitted(verdict)]
        self._budget.note_fresh()
        self._queued[request.request_id] = request
        if isinstance(verdict, Queued):
            return []
        return self._begin(now, verdict.request_id)

    def attempt_event(self, now: float, event: AttemptEvent) -> list[Action]:
        """Pass an event on to its request."""
        work = self._works.get(event.request_id)
        if work is None:
            return []
        return self._after(now, work, work.machine.handle(now, event))

    def once_reply(self, now: float, event: OnceReply) -> list[Action]:
        """Pass a reply on to a request that runs at most once."""
        work = self._works.get(event.request_id)
        if work is None or not isinstance(work.machine, GuardedMachine):
            return []
        return self._after(now, work, work.machine.reply(now, event.reply))

    def hand_over_fetched(
        self, now: float, event: HandOverFetched
    ) -> list[Action]:
        """Go on from what another entry host had seen."""
        work = self._works.get(event.request_id)
        if work is None or not isinstance(work.machine, StreamMachine):
            return []
        if work.machine.state is not StreamState.WAITING:
            return []
        work.machine.preload(event.tokens)
        work.retry_at = now
        return self._after(now, work, [])

    def let_go(self, now: float, request_id: RequestId) -> list[Action]:
        """Forget a stream that goes on elsewhere; its server goes on."""
        work = self._works.get(request_id)
        if work is None or not isinstance(work.machine, StreamMachine):
            return []
        return self._after(now, work, work.machine.let_go())

    def may_dispatch(self, now: float, request_id: RequestId) -> bool:
        """Return whether a request that runs at most once may be sent."""
        work = self._works.get(request_id)
        if work is None or not isinstance(work.machine, GuardedMachine):
            return False
        return work.machine.may_dispatch(now)

    def caller_gone(self, now: float, request_id: RequestId) -> list[Action]:
        """Stop work that nobody waits for."""
        if self._queued.pop(request_id, None):
            self._admission.release(now, request_id)
            return self._start_ready(now)
        work = self._works.get(request_id)
        if work is None:
            return []
        return self._after(now, work, work.machine.caller_gone())

    def contracts_applied(
        self, now: float, contracts: tuple[Contract, ...]
    ) -> list[Action]:
        """Put contracts in force; refuse what waits without one."""
        refused = self._admission.set_contracts(now, contracts)
        return self._give_up_queued(refused) + self._start_ready(now)

    def tick(self, now: float) -> list[Action]:
        """Act on deadlines and on servers that came free."""
        actions = self._give_up_queued(self._admission.expire(now))
        for work in list(self._works.values()):
            actions += self._after(now, work, work.machine.tick(now))
        return actions + self._start_ready(now)

    def displace(
        self,
        now: float,
        request_id: RequestId,
        *,
        target: ServerId | None,
        move_kv: bool,
    ) -> list[Action]:
        """Move a stream off its server, which is going.

        It goes on at `target`, or where placement puts it; with
        `move_kv` its KV cache goes there first.
        """
        work = self._works.get(request_id)
        if work is None or not isinstance(work.machine, StreamMachine):
            return []
        work.target = target
        self._note_attempt_end(now, work, Outcome.CANCELLED)
        moved = work.machine.displace(now, move_kv=move_kv)
        return self._after(now, work, moved)

    def on_server(self, server_id: ServerId) -> list[Machine]:
        """Return what is running on a server."""
        return [
            work.machine
            for work in self._works.values()
            if work.server and work.server.server_id == server_id
        ]

    # Steps

    def _give_up_queued(self, refused: list[NotAdmitted]) -> list[Action]:
        for refusal in refused:
            self._queued.pop(refusal.request_id, None)
        return [not_admitted(refusal) for refusal in refused]

    def _begin(self, now: float, request_id: RequestId) -> list[Action]:
        request = self._queued.pop(request_id)
        machine = self._machine(now, request)
        work = _Work(machine=machine)
        self._works[request_id] = work
        return self._after(now, work, self._first_attempt(now, work))

    def _machine(self, now: float, request: Request) -> Machine:
        if request.non_idempotent:
            return GuardedMachine(now, request, self._identity, self._owners)
        if request.kind is Kind.ENGINE:
            return StreamMachine(now, request)
        return PlainMachine(now, request)

    def _first_attempt(self, now: float, work: _Work) -> list[Action]:
        """Claim the request, or attach to a stream still held."""
        if isinstance(work.machine, GuardedMachine):
            return work.machine.start(now)
        resume = work.machine.request.resume
        if resume is None or isinstance(work.machine, PlainMachine):
            return []
        server = self._servers.get(resume.server_id)
        if server is None:
            return []
        self._note_attempt(now, work, server)
        return work.machine.attach(now, server, resume.stream_id)

    def _after(
        self, now: float, work: _Work, actions: list[Action]
    ) -> list[Action]:
        """Follow up a step: choose a server, or clear up at the end."""
        machine = work.machine
        if machine.finished:
            return actions + self._finish(now, work)
        if machine.state is not StreamState.WAITING:
            return actions
        self._note_attempt_end(now, work, Outcome.FAILED)
        if now < work.retry_at:
            return actions
        if machine.request.resume and not work.fetched:
            return [*actions, self._fetch(now, work)]
        return actions + self._assign(now, work)

    def _fetch(self, now: float, work: _Work) -> Action:
        """Ask peers what was seen of a stream that no server holds."""
        resume = work.machine.request.resume
        assert resume is not None
        work.fetched = True
        work.retry_at = now + FETCH_LIMIT_S
        key = hand_over_key(resume.stream_id)
        return FetchHandOver(
            request_id=work.machine.request.request_id,
            key=key,
            peers=self._hand_over_peers(key),
        )

    def _assign(self, now: float, work: _Work) -> list[Action]:
        request = work.machine.request
        again = work.tried and work.target is None
        if again and not self._budget.try_retry():
            work.retry_at = now + RETRY_PAUSE_S
            return []
        server = self._wanted_server(work)
        if server is None:
            failed = work.machine.failed_servers
            server = self._chooser.choose(now, request, failed)
        if server is None:
            return self._without_server(now, work)
        work.tried += 1
        self._note_attempt(now, work, server)
        return work.machine.assign(now, server)

    def _wanted_server(self, work: _Work) -> Server | None:
        """Return the server a stream was to move to, if it may."""
        wanted, work.target = work.target, None
        if wanted is None or self._servers.departure(wanted):
            return None
        return self._servers.get(wanted)

    def _without_server(self, now: float, work: _Work) -> list[Action]:
        """Pause, then try all servers again; a claim ends at once."""
        if isinstance(work.machine, GuardedMachine):
            told = work.machine.no_server(now)
            return self._after(now, work, told)
        work.machine.failed_servers.clear()
        work.retry_at = now + RETRY_PAUSE_S
        return []

    def _note_attempt(self, now: float, work: _Work, server: Server) -> None:
        work.server = server
        work.attempt_at = now
        work.tokens_before = _tokens(work.machine)
        self._chooser.note_dispatch(now, work.machine.request, server)

    def _note_attempt_end(
        self, now: float, work: _Work, outcome: Outcome
    ) -> None:
        if work.server is None:
            return
        request = work.machine.request
        self._chooser.note_done(now, request, outcome)
        self._observe(now, work, work.server, outcome)
        work.server = None

    def _observe(
        self, now: float, work: _Work, server: Server, outcome: Outcome
    ) -> None:
        """Report what an attempt says of its server's version.

        An attempt that was cancelled, or lost as its server was leaving,
        says nothing.
        """
        leaving = self._servers.departure(server.server_id) is not None
        if outcome is Outcome.CANCELLED or leaving:
            return
        tokens = _tokens(work.machine) - work.tokens_before
        self._observer.record_attempt(
            now,
            work.machine.request,
            server,
            running=self._chooser.running(server),
            ok=outcome is Outcome.OK,
            latency_s=(now - work.attempt_at) / (tokens + 1),
        )

    def _finish(self, now: float, work: _Work) -> list[Action]:
        machine = work.machine
        request = machine.request
        done = machine.state is StreamState.DONE
        self._note_attempt_end(now, work, ENDS[machine.state])
        if done:
            self._durations.note(request, now - machine.started_at)
        self._works.pop(request.request_id, None)
        self._admission.release(now, request.request_id)
        return self._start_ready(now)

    def _start_ready(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for admitted in self._admission.next_ready(now, len(self._queued)):
            actions += self._begin(now, admitted.request_id)
        return actions


def _tokens(machine: Machine) -> int:
    if isinstance(machine, StreamMachine):
        return machine.assembly.offset
    return 0
