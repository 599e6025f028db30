"""Specification of a streamed answer: chunks and losses of all attempts.

The network is the worst possible: any chunk of the answer, from any attempt
that was ever begun, may arrive at any time, repeatedly and in any order, and
any attempt may be lost at any time. The state machine is the daemon's.
"""

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import xxhash
from minicheck import Protocol, check_safety

from waxwingarch.core.base import (
    AccountId,
    Action,
    AttemptId,
    FailureDomain,
    RequestId,
    Server,
    ServerId,
    ServerKind,
    ServiceId,
    VersionId,
)
from waxwingarch.core.request import (
    AttemptEnded,
    AttemptEvent,
    AttemptLost,
    ChunkArrived,
    Complete,
    Deliver,
    LossKind,
    Refuse,
    Request,
)
from waxwingarch.core.requests.assembly import Prefix, TokenAssembly
from waxwingarch.core.requests.stream import StreamMachine

ANSWER = ("a", "b")
DIGEST = xxhash.xxh3_64_hexdigest("".join(ANSWER).encode())
MAX_ATTEMPTS = 5
LOSSES = (LossKind.CUT, LossKind.NOT_HELD)
REQUEST_ID = RequestId("r")

AssemblyFactory = Callable[[Prefix | None], TokenAssembly]
Input = AttemptEvent | Server

SERVER = Server(
    server_id=ServerId("s"),
    address="s:1",
    failure_domain=FailureDomain("d"),
    service=ServiceId("pool"),
    kind=ServerKind.ENGINE,
    version=VersionId("v1"),
    machine_class="large",
    reclaimable=True,
    price=1.0,
    slots=1,
    incarnation=1,
)
REQUEST = Request(
    request_id=REQUEST_ID,
    account=AccountId("a"),
    service=ServiceId("pool"),
    kind=ServerKind.ENGINE,
    route="/v1/",
    method="POST",
    path="/v1/completions",
    body_digest="",
    arrived_at=0.0,
    deadline=1000.0,
    first_token_s=1.0,
    between_tokens_s=0.025,
    priority=1,
)


class State(NamedTuple):
    """The state of the machine, and the output that the caller received."""

    phase: str = "waiting"
    attempts_begun: int = 0
    current_attempt: str = ""
    attaches: int = 0
    assembled: tuple[str, ...] = ()
    delivered: tuple[str, ...] = ()
    ends: tuple[str, ...] = ()


class MachineRun:
    """A state machine and the output that the caller received from it."""

    def __init__(self, make_assembly: AssemblyFactory) -> None:
        self.machine = StreamMachine(0.0, REQUEST)
        self.machine.assembly = make_assembly(None)
        self.attempts_begun = 0
        self._delivered: tuple[str, ...] = ()
        self._ends: tuple[str, ...] = ()

    def apply_input(self, event: Input) -> None:
        """Apply one input and record the resulting actions."""
        if isinstance(event, Server):
            actions = self.machine.assign(0.0, event)
        else:
            actions = self.machine.handle(0.0, event)
        for action in actions:
            self._record_action(action)
        if self.machine.attempt:
            last = int(self.machine.attempt.attempt_id.rpartition(".")[2])
            self.attempts_begun = max(self.attempts_begun, last + 1)

    def _record_action(self, action: Action) -> None:
        match action:
            case Deliver(tokens=tokens):
                self._delivered += tokens
            case Complete():
                self._ends += ("complete",)
            case Refuse():
                self._ends += ("refused",)

    def state(self) -> State:
        """Return all that determines the next steps."""
        machine = self.machine
        return State(
            phase=machine.state.value,
            attempts_begun=self.attempts_begun,
            current_attempt=machine.attempt.attempt_id
            if machine.attempt
            else "",
            attaches=machine.attaches,
            assembled=tuple(machine.assembly.tokens),
            delivered=self._delivered,
            ends=self._ends,
        )


def _inputs(state: State) -> Iterator[tuple[str, Input]]:
    if state.phase == "waiting" and state.attempts_begun < MAX_ATTEMPTS:
        yield "assign", SERVER
    for n in range(state.attempts_begun):
        attempt = AttemptId(f"{REQUEST_ID}.{n}")
        for start in range(len(ANSWER)):
            for end in range(start + 1, len(ANSWER) + 1):
                label = f"chunk {start}-{end} of {n}"
                yield label, _chunk(attempt, start, end)
        yield f"end of {n}", _end(attempt)
        for kind in LOSSES:
            yield f"{kind.value} {n}", _lost(attempt, kind)


def _chunk(attempt: AttemptId, start: int, end: int) -> ChunkArrived:
    return ChunkArrived(
        request_id=REQUEST_ID,
        attempt_id=attempt,
        offset=start,
        tokens=ANSWER[start:end],
    )


def _end(attempt: AttemptId) -> AttemptEnded:
    return AttemptEnded(
        request_id=REQUEST_ID,
        attempt_id=attempt,
        total=len(ANSWER),
        digest=DIGEST,
    )


def _lost(attempt: AttemptId, kind: LossKind) -> AttemptLost:
    return AttemptLost(request_id=REQUEST_ID, attempt_id=attempt, kind=kind)


def make_protocol(make_assembly: AssemblyFactory = TokenAssembly) -> Protocol:
    """Return the specification; `make_assembly` may return a broken variant.

    A state machine can't be copied. Each state therefore keeps one path of
    inputs to it, which is replayed from the start for each step.
    """
    paths: dict[State, tuple[Input, ...]] = {State(): ()}

    def transitions(raw: tuple[Any, ...]) -> list[tuple[str, State]]:
        state = State(*raw)
        steps = []
        for label, event in _inputs(state):
            run = MachineRun(make_assembly)
            input_path = (*paths[state], event)
            for earlier_input in input_path:
                run.apply_input(earlier_input)
            after = run.state()
            if after.attempts_begun > MAX_ATTEMPTS or _is_beyond_violation(
                after
            ):
                continue
            paths.setdefault(after, input_path)
            if after != state:
                steps.append((label, after))
        return steps

    return Protocol(
        name="stream",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=transitions,
        invariants={
            "delivered_is_a_prefix": _delivered_is_a_prefix,
            "complete_is_whole": _complete_is_whole,
            "one_final_answer": _one_final_answer,
        },
    )


def _is_beyond_violation(state: State) -> bool:
    """Return whether more was delivered than any violation needs.

    This bounds the states of broken variants.
    """
    return len(state.delivered) > len(ANSWER) + 1


def _delivered_is_a_prefix(state: dict[str, Any]) -> bool:
    delivered = tuple(state["delivered"])
    return delivered == ANSWER[: len(delivered)]


def _complete_is_whole(state: dict[str, Any]) -> bool:
    complete = "complete" in state["ends"]
    return not complete or tuple(state["delivered"]) == ANSWER


def _one_final_answer(state: dict[str, Any]) -> bool:
    return len(state["ends"]) <= 1


def check(make_assembly: AssemblyFactory = TokenAssembly) -> dict[str, Any]:
    """Check the specification and return the result of each property."""
    result: dict[str, Any] = check_safety(make_protocol(make_assembly))
    return result
