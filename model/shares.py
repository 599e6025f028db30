"""Model of loans between two hosts that share one limit.

Both run the real ledger. Requests and grants are delayed for any time or
lost, and the needs of both change at any time.
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
class LedgerSnapshot:
    """The state of one ledger, hashable."""

    need: int = 0
    seq: int = 0
    borrowed: tuple[Any, ...] = ()
    lent: tuple[Any, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class World:
    """The state of the model: both ledgers and the messages in transit."""

    time: int = 0
    lender: LedgerSnapshot = LedgerSnapshot(need=0)
    borrower: LedgerSnapshot = LedgerSnapshot(need=LIMIT)
    requests: tuple[LoanRequest, ...] = ()
    grants: tuple[LoanGrant, ...] = ()


Step = tuple[str, tuple[World]]


class SharesModel:
    """The steps of the model, for one ledger class."""

    def __init__(self, ledger: type[ShareLedger], requests: int) -> None:
        self._ledger = ledger
        self._max_requests = requests

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
        used = self._restore(LENDER, world.lender).usable(now)
        used += self._restore(BORROWER, world.borrower).usable(now)
        return used <= LIMIT

    def _steps(self, world: World) -> Iterator[Step]:
        now = TIMES[world.time]
        if world.time + 1 < len(TIMES):
            yield "time", (replace(world, time=world.time + 1),)
        yield "lender's need", (self._toggle_need(world, "lender", 2),)
        yield "borrower's need", (self._toggle_need(world, "borrower", LIMIT),)
        if world.borrower.seq < self._max_requests:
            yield "ask", (self._request_loan(world, now),)
        for request in world.requests:
            yield "request", (self._answer_request(world, now, request),)
        for grant in world.grants:
            ledger = self._restore(BORROWER, world.borrower)
            ledger.handle_grant(now, grant)
            remaining = tuple(g for g in world.grants if g != grant)
            after = replace(
                world, borrower=_snapshot(ledger), grants=remaining
            )
            yield "grant", (after,)

    def _toggle_need(self, world: World, name: str, need: int) -> World:
        ledger: LedgerSnapshot = getattr(world, name)
        changed = replace(ledger, need=0 if ledger.need else need)
        if name == "lender":
            return replace(world, lender=changed)
        return replace(world, borrower=changed)

    def _request_loan(self, world: World, now: float) -> World:
        ledger = self._restore(BORROWER, world.borrower)
        new_requests = [
            r for _, r in ledger.request_loans(now, [(LENDER, LIMIT // 2)])
        ]
        return replace(
            world,
            borrower=_snapshot(ledger),
            requests=(*world.requests, *new_requests),
        )

    def _answer_request(
        self, world: World, now: float, request: LoanRequest
    ) -> World:
        ledger = self._restore(LENDER, world.lender)
        grant = ledger.handle_request(now, request)
        remaining = tuple(r for r in world.requests if r != request)
        grants = world.grants if grant is None else (*world.grants, grant)
        return replace(
            world, lender=_snapshot(ledger), requests=remaining, grants=grants
        )

    def _restore(self, host: HostId, snapshot: LedgerSnapshot) -> ShareLedger:
        ledger = self._ledger(
            host=host,
            incarnation=1,
            entitlement=LIMIT // 2,
            need=snapshot.need,
        )
        ledger._seq = snapshot.seq
        ledger._borrowed = dict(snapshot.borrowed)
        ledger._lent = dict(snapshot.lent)
        return ledger


def _snapshot(ledger: ShareLedger) -> LedgerSnapshot:
    return LedgerSnapshot(
        need=ledger.need,
        seq=ledger._seq,
        borrowed=tuple(sorted(ledger._borrowed.items())),
        lent=tuple(sorted(ledger._lent.items())),
    )


def shares_spec(
    ledger: type[ShareLedger] = ShareLedger, *, requests: int = 3
) -> Spec:
    """Return the specification; `requests` bounds those of the borrower."""
    return SharesModel(ledger, requests).spec()
