"""Model of lending between two hosts of one limit.

Both run the real ledger. Requests and answers are delayed for any time
or lost; the lender's need comes and goes.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any, Final

from minicheck import Protocol as Spec

from waxwingarch.core.base import HostId
from waxwingarch.core.limits.shares import LoanGrant, LoanRequest, ShareLedger

TIMES: Final = (0.0, 1.0, 3.1, 4.2, 7.0)
LIMIT: Final = 4
LENDER: Final = HostId("lender")
BORROWER: Final = HostId("borrower")


@dataclass(frozen=True, kw_only=True, slots=True)
class Ledger:
    """What one ledger remembers, hashable."""

    need: int = 0
    seq: int = 0
    borrowed: tuple[Any, ...] = ()
    lent: tuple[Any, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class World:
    """Both ledgers and the messages on their way."""

    time: int = 0
    lender: Ledger = Ledger(need=0)
    borrower: Ledger = Ledger(need=LIMIT)
    requests: tuple[LoanRequest, ...] = ()
    grants: tuple[LoanGrant, ...] = ()


Step = tuple[str, tuple[World]]


class SharesModel:
    """Steps of the world around a ledger class."""

    def __init__(self, ledger: type[ShareLedger], requests: int) -> None:
        self._ledger = ledger
        self._requests = requests

    def spec(self) -> Spec:
        """Return the specification for the checker."""
        return Spec(
            name="shares",
            candidate=False,
            fields=("world",),
            initial=(World(),),
            transitions=lambda s: list(self._steps(s[0])),
            invariants={"within_the_limit": self._within_the_limit},
        )

    def _within_the_limit(self, state: dict[str, Any]) -> bool:
        world: World = state["world"]
        now = TIMES[world.time]
        used = self._at(LENDER, world.lender).usable(now)
        used += self._at(BORROWER, world.borrower).usable(now)
        return used <= LIMIT

    def _steps(self, world: World) -> Iterator[Step]:
        now = TIMES[world.time]
        if world.time + 1 < len(TIMES):
            yield "time", (replace(world, time=world.time + 1),)
        yield "lender's need", (self._toggle(world, "lender", 2),)
        yield "borrower's need", (self._toggle(world, "borrower", LIMIT),)
        if world.borrower.seq < self._requests:
            yield "ask", (self._ask(world, now),)
        for request in world.requests:
            yield "request", (self._lend(world, now, request),)
        for grant in world.grants:
            ledger = self._at(BORROWER, world.borrower)
            ledger.handle_grant(now, grant)
            left = tuple(g for g in world.grants if g != grant)
            after = replace(world, borrower=_frozen(ledger), grants=left)
            yield "grant", (after,)

    def _toggle(self, world: World, name: str, need: int) -> World:
        ledger: Ledger = getattr(world, name)
        changed = replace(ledger, need=0 if ledger.need else need)
        if name == "lender":
            return replace(world, lender=changed)
        return replace(world, borrower=changed)

    def _ask(self, world: World, now: float) -> World:
        ledger = self._at(BORROWER, world.borrower)
        sent = [
            r for _, r in ledger.request_loans(now, [(LENDER, LIMIT // 2)])
        ]
        return replace(
            world,
            borrower=_frozen(ledger),
            requests=(*world.requests, *sent),
        )

    def _lend(self, world: World, now: float, request: LoanRequest) -> World:
        ledger = self._at(LENDER, world.lender)
        grant = ledger.handle_request(now, request)
        left = tuple(r for r in world.requests if r != request)
        grants = world.grants if grant is None else (*world.grants, grant)
        return replace(
            world, lender=_frozen(ledger), requests=left, grants=grants
        )

    def _at(self, host: HostId, memory: Ledger) -> ShareLedger:
        ledger = self._ledger(
            host=host, incarnation=1, entitlement=LIMIT // 2, need=memory.need
        )
        ledger._seq = memory.seq
        ledger._borrowed = dict(memory.borrowed)
        ledger._lent = dict(memory.lent)
        return ledger


def _frozen(ledger: ShareLedger) -> Ledger:
    return Ledger(
        need=ledger.need,
        seq=ledger._seq,
        borrowed=tuple(sorted(ledger._borrowed.items())),
        lent=tuple(sorted(ledger._lent.items())),
    )


def shares_spec(
    ledger: type[ShareLedger] = ShareLedger, *, requests: int = 3
) -> Spec:
    """Return the specification, for so many requests of the borrower."""
    return SharesModel(ledger, requests).spec()
