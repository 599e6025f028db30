"""Model of admission: all orders of offers, ends, refusals and limits.

The state is the history of steps, which is replayed through the real
admission control. Two client accounts share two slots. One of them has three
requests and a limit that may shrink while these run or wait.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Any, Final

from minicheck import Protocol as Spec

from waxwingarch.core.base import AccountId, RequestId
from waxwingarch.core.contracts.contract import Contract
from waxwingarch.core.limits.admission import Admission
from waxwingarch.core.limits.admission_messages import (
    Admitted,
    PendingRequest,
    Refusal,
)

ACCOUNT_A: Final = AccountId("a")
ACCOUNT_B: Final = AccountId("b")
REQUESTS: Final = {
    "a0": ACCOUNT_A,
    "a1": ACCOUNT_A,
    "a2": ACCOUNT_A,
    "b0": ACCOUNT_B,
}
SLOTS: Final = 2
MAX_STEPS: Final = 6
STEP_S: Final = 1.0
EXPECTED_S: Final = 1.0
FIRST_TOKEN_S: Final = 0.9
WHOLE_ANSWER_S: Final = 2.5


@dataclass(kw_only=True, slots=True)
class Simulation:
    """The admission control and its results after a history of steps."""

    admission: Admission
    now: float = 0.0
    limit: int = 2
    offered: set[str] = field(default_factory=set)
    running: set[str] = field(default_factory=set)
    ended: set[str] = field(default_factory=set)
    started: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    over_limit: bool = False

    def record_results(self, results: list[Any]) -> None:
        """Record the requests that were admitted or refused."""
        for result in results:
            name = str(result.request_id)
            if isinstance(result, Refusal):
                self.refused[name] += 1
            if isinstance(result, Admitted):
                self.started[name] += 1
                self.running.add(name)
                running_of_a = [
                    r for r in self.running if REQUESTS[r] == ACCOUNT_A
                ]
                self.over_limit |= REQUESTS[name] == ACCOUNT_A and (
                    len(running_of_a) > self.limit
                )


def _offer(simulation: Simulation, name: str) -> None:
    req = PendingRequest(
        request_id=RequestId(name),
        account=REQUESTS[name],
        expected_s=EXPECTED_S,
    )
    simulation.offered.add(name)
    simulation.record_results(
        [simulation.admission.offer(simulation.now, req)]
    )


def _end(simulation: Simulation, name: str) -> None:
    simulation.running.discard(name)
    simulation.ended.add(name)
    simulation.admission.release(simulation.now, RequestId(name))


def _start(simulation: Simulation, _: str) -> None:
    free = max(0, SLOTS - len(simulation.running))
    simulation.record_results(
        list(simulation.admission.start_waiting(simulation.now, free))
    )


def _tick(simulation: Simulation, _: str) -> None:
    simulation.now += STEP_S
    simulation.record_results(
        list(simulation.admission.expire(simulation.now))
    )


def _shrink(simulation: Simulation, _: str) -> None:
    simulation.limit = 1
    simulation.admission.set_limit(
        simulation.now, ACCOUNT_A, 9.0, 1, float("inf")
    )


STEP_FUNCTIONS: Final[dict[str, Callable[[Simulation, str], None]]] = {
    "offer": _offer,
    "end": _end,
    "start": _start,
    "tick": _tick,
    "shrink": _shrink,
}


def admission_spec(machine: type[Admission] = Admission) -> Spec:
    """Return the specification for one class of admission control."""

    @lru_cache(maxsize=1)
    def cached_replay(history: tuple[str, ...]) -> Simulation:
        return replay(machine, history)

    def simulation(state: dict[str, Any]) -> Simulation:
        return cached_replay(state["history"])

    return Spec(
        name="admission",
        candidate=False,
        fields=("history",),
        initial=((),),
        transitions=lambda s: list(_steps(cached_replay(s[0]), s[0])),
        invariants={
            "started_or_refused": lambda d: _at_most_one_response(
                simulation(d)
            ),
            "within_limit": lambda d: not simulation(d).over_limit,
            "none_lost": lambda d: _none_lost(simulation(d)),
        },
    )


def replay(machine: type[Admission], history: tuple[str, ...]) -> Simulation:
    """Replay a history with a new admission control."""
    admission = machine()
    admission.set_contracts(0.0, [_contract(ACCOUNT_A), _contract(ACCOUNT_B)])
    admission.set_capacity(SLOTS)
    simulation = Simulation(admission=admission)
    for step in history:
        kind, _, name = step.partition(" ")
        STEP_FUNCTIONS[kind](simulation, name)
    return simulation


def _steps(
    simulation: Simulation, history: tuple[str, ...]
) -> Iterator[tuple[str, tuple[tuple[str, ...]]]]:
    if len(history) == MAX_STEPS:
        return
    names = [f"offer {r}" for r in _next_offers(simulation)]
    names += [f"end {r}" for r in sorted(simulation.running)]
    names += ["start", "tick"]
    if simulation.limit > 1:
        names.append("shrink")
    for name in names:
        yield name, ((*history, name),)


def _next_offers(simulation: Simulation) -> list[str]:
    """Return the requests to offer next.

    Those of one account are interchangeable, so they are offered in order.
    """
    not_offered = [name for name in REQUESTS if name not in simulation.offered]
    return [
        name
        for name in not_offered
        if name == min(r for r in not_offered if REQUESTS[r] == REQUESTS[name])
    ]


def _at_most_one_response(simulation: Simulation) -> bool:
    return all(
        simulation.started[name] + simulation.refused[name] <= 1
        for name in REQUESTS
    )


def _none_lost(simulation: Simulation) -> bool:
    """Return whether each offered request runs, waits, ended or is refused."""
    waiting = sum(
        simulation.admission.waiting(account)
        for account in (ACCOUNT_A, ACCOUNT_B)
    )
    answered = (
        len(simulation.running)
        + len(simulation.ended)
        + len(simulation.refused)
    )
    return len(simulation.offered) == waiting + answered


def _contract(account: AccountId) -> Contract:
    return Contract(
        account=account,
        key_digest="",
        first_token_s=FIRST_TOKEN_S,
        between_tokens_s=1.0,
        whole_answer_s=WHOLE_ANSWER_S,
        priority=0,
        rate=9.0,
        burst=9,
        concurrency=2,
        share=0.5,
        cost_weight=1.0,
        routes=(),
    )
