"""Specification of a streamed answer: chunks and losses of all attempts.

The network is as bad as it can be: any chunk of the answer, from any
attempt that was ever begun, may arrive at any time, again and in any
order; any attempt may be lost at any time. The machine is the daemon's.
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

MakeAssembly = Callable[[Prefix | None], TokenAssembly]
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
    """What the machine remembers, and what the caller was given."""

    phase: str = "waiting"
    begun: int = 0
    present: str = ""
    attaches: int = 0
    seen: tuple[str, ...] = ()
    delivered: tuple[str, ...] = ()
    ends: tuple[str, ...] = ()


class Run:
    """A machine and what it has told the caller so far."""

    def __init__(self, make_assembly: MakeAssembly) -> None:
        self.machine = StreamMachine(0.0, REQUEST)
        self.machine.assembly = make_assembly(None)
        self.begun = 0
        self._delivered: tuple[str, ...] = ()
        self._ends: tuple[str, ...] = ()

    def step(self, event: Input) -> None:
        """Take one input and note what comes of it."""
        if isinstance(event, Server):
            actions = self.machine.assign(0.0, event)
        else:
            actions = self.machine.handle(0.0, event)
        for action in actions:
            self._note(action)
        if self.machine.attempt:
            last = int(self.machine.attempt.attempt_id.rpartition(".")[2])
            self.begun = max(self.begun, last + 1)

    def _note(self, action: Action) -> None:
        match action:
            case Deliver(tokens=tokens):
                self._delivered += tokens
            case Complete():
                self._ends += ("complete",)
            case Refuse():
                self._ends += ("refused",)

    def state(self) -> State:
        """Return all that decides what may follow."""
        machine = self.machine
        return State(
            phase=machine.state.value,
            begun=self.begun,
            present=machine.attempt.attempt_id if machine.attempt else "",
            attaches=machine.attaches,
            seen=tuple(machine.assembly.tokens),
            delivered=self._delivered,
            ends=self._ends,
        )


def _inputs(state: State) -> Iterator[tuple[str, Input]]:
    if state.phase == "waiting" and state.begun < MAX_ATTEMPTS:
        yield "assign", SERVER
    for n in range(state.begun):
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


def make_protocol(make_assembly: MakeAssembly = TokenAssembly) -> Protocol:
    """Return the protocol; `make_assembly` may be a broken one.

    A machine cannot be copied: each state keeps a way to it, which is
    run again from the start.
    """
    ways: dict[State, tuple[Input, ...]] = {State(): ()}

    def transitions(raw: tuple[Any, ...]) -> list[tuple[str, State]]:
        state = State(*raw)
        steps = []
        for label, event in _inputs(state):
            run = Run(make_assembly)
            way = (*ways[state], event)
            for known in way:
                run.step(known)
            after = run.state()
            if after.begun > MAX_ATTEMPTS or _is_past_a_fault(after):
                continue
            ways.setdefault(after, way)
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


def _is_past_a_fault(state: State) -> bool:
    """Tell whether more was delivered than shows a broken variant."""
    return len(state.delivered) > len(ANSWER) + 1


def _delivered_is_a_prefix(state: dict[str, Any]) -> bool:
    delivered = tuple(state["delivered"])
    return delivered == ANSWER[: len(delivered)]


def _complete_is_whole(state: dict[str, Any]) -> bool:
    complete = "complete" in state["ends"]
    return not complete or tuple(state["delivered"]) == ANSWER


def _one_final_answer(state: dict[str, Any]) -> bool:
    return len(state["ends"]) <= 1


def check(make_assembly: MakeAssembly = TokenAssembly) -> dict[str, Any]:
    """Check the answer; return the verdict of each property."""
    result: dict[str, Any] = check_safety(make_protocol(make_assembly))
    return result
