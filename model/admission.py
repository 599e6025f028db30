"""Model of admission: every order of offers, ends, refusals and limits.

The state is the history; each step replays it through the real machine.
Two accounts share two slots; one has three requests and a limit that may
shrink while they are under way.
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

A: Final = AccountId("a")
B: Final = AccountId("b")
REQUESTS: Final = {"a0": A, "a1": A, "a2": A, "b0": B}
SLOTS: Final = 2
STEPS: Final = 6
STEP_S: Final = 1.0
EXPECTED_S: Final = 1.0
FIRST_TOKEN_S: Final = 0.9
WHOLE_ANSWER_S: Final = 2.5


@dataclass(kw_only=True, slots=True)
class Play:
    """What came of a history."""

    admission: Admission
    now: float = 0.0
    limit: int = 2
    offered: set[str] = field(default_factory=set)
    running: set[str] = field(default_factory=set)
    ended: set[str] = field(default_factory=set)
    started: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    over_limit: bool = False

    def take(self, results: list[Any]) -> None:
        """Note what the machine answered."""
        for result in results:
            name = str(result.request_id)
            if isinstance(result, Refusal):
                self.refused[name] += 1
            if isinstance(result, Admitted):
                self.started[name] += 1
                self.running.add(name)
                of_a = [r for r in self.running if REQUESTS[r] == A]
                self.over_limit |= REQUESTS[name] == A and (
                    len(of_a) > self.limit
                )


def _offer(play: Play, name: str) -> None:
    req = PendingRequest(
        request_id=RequestId(name),
        account=REQUESTS[name],
        expected_s=EXPECTED_S,
    )
    play.offered.add(name)
    play.take([play.admission.offer(play.now, req)])


def _end(play: Play, name: str) -> None:
    play.running.discard(name)
    play.ended.add(name)
    play.admission.release(play.now, RequestId(name))


def _start(play: Play, _: str) -> None:
    free = max(0, SLOTS - len(play.running))
    play.take(list(play.admission.start_waiting(play.now, free)))


def _tick(play: Play, _: str) -> None:
    play.now += STEP_S
    play.take(list(play.admission.expire(play.now)))


def _shrink(play: Play, _: str) -> None:
    play.limit = 1
    play.admission.set_limit(play.now, A, 9.0, 1, float("inf"))


STEPS_BY_NAME: Final[dict[str, Callable[[Play, str], None]]] = {
    "offer": _offer,
    "end": _end,
    "start": _start,
    "tick": _tick,
    "shrink": _shrink,
}


def admission_spec(machine: type[Admission] = Admission) -> Spec:
    """Return the specification of a machine class for the checker."""

    @lru_cache(maxsize=1)
    def replayed(history: tuple[str, ...]) -> Play:
        return replay(machine, history)

    def play(state: dict[str, Any]) -> Play:
        return replayed(state["history"])

    return Spec(
        name="admission",
        candidate=False,
        fields=("history",),
        initial=((),),
        transitions=lambda s: list(_steps(replayed(s[0]), s[0])),
        invariants={
            "started_or_refused": lambda d: _one_answer(play(d)),
            "within_limit": lambda d: not play(d).over_limit,
            "none_lost": lambda d: _none_lost(play(d)),
        },
    )


def replay(machine: type[Admission], history: tuple[str, ...]) -> Play:
    """Run a history through a new machine."""
    admission = machine()
    admission.set_contracts(0.0, [_contract(A), _contract(B)])
    admission.set_capacity(SLOTS)
    play = Play(admission=admission)
    for step in history:
        kind, _, name = step.partition(" ")
        STEPS_BY_NAME[kind](play, name)
    return play


def _steps(
    play: Play, history: tuple[str, ...]
) -> Iterator[tuple[str, tuple[tuple[str, ...]]]]:
    if len(history) == STEPS:
        return
    names = [f"offer {r}" for r in _next_offers(play)]
    names += [f"end {r}" for r in sorted(play.running)]
    names += ["start", "tick"]
    if play.limit > 1:
        names.append("shrink")
    for name in names:
        yield name, ((*history, name),)


def _next_offers(play: Play) -> list[str]:
    """Offer the requests of an account in order: they are alike."""
    left = [name for name in REQUESTS if name not in play.offered]
    return [
        name
        for name in left
        if name == min(r for r in left if REQUESTS[r] == REQUESTS[name])
    ]


def _one_answer(play: Play) -> bool:
    return all(
        play.started[name] + play.refused[name] <= 1 for name in REQUESTS
    )


def _none_lost(play: Play) -> bool:
    """Each offered request runs, waits, has ended or was refused."""
    waiting = sum(play.admission.waiting(account) for account in (A, B))
    answered = len(play.running) + len(play.ended) + len(play.refused)
    return len(play.offered) == waiting + answered


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
