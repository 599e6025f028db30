"""One contract limit, divided over the entry hosts.

Each host is entitled to a part of the limit, and lends what it does not
need to hosts that lack it, until a deadline. A lender counts a loan as
gone for longer than its borrower uses it, each on its own clock, so the
parts in use never add up to more than the limit. A host that is cut off
falls back to its entitlement when its loans lapse.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Final

from waxwingarch.core.base import HostId

RATE_UNITS: Final = 10_000
LOAN_TERM_S: Final = 3.0
LOAN_MARGIN_S: Final = 0.3
ASK_INTERVAL_S: Final = 0.25
SPARE_KNOWN_S: Final = 1.0
MAX_LENDERS: Final = 8


@dataclass(frozen=True, kw_only=True, slots=True)
class LoanRequest:
    """Ask for `units` until further notice.

    It also states that the borrower now uses no more than `units` of
    what this lender lent before. `seq` grows with each request of the
    borrower's incarnation.
    """

    borrower: HostId
    incarnation: int
    seq: int
    units: int


@dataclass(frozen=True, kw_only=True, slots=True)
class LoanGrant:
    """The answer to the request `seq`: `units` are lent.

    `spare` is what the lender could lend besides.
    """

    lender: HostId
    incarnation: int
    seq: int
    units: int
    spare: int


@dataclass(frozen=True, kw_only=True, slots=True)
class _Borrowed:
    """What one lender lent us; usable until `deadline`."""

    units: int = 0
    deadline: float = 0.0
    seq: int = 0
    sent_at: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class _Lent:
    """What one borrower may still use: (units, lapses at) each."""

    seq: int = 0
    loans: tuple[tuple[int, float], ...] = ()


@dataclass(slots=True)
class ShareLedger:
    """One host's part of one limit, in whole units.

    `tail_s` is how long what was admitted on a loan may go on after the
    loan: nothing for a rate, the longest request for a concurrency.
    """

    host: HostId
    incarnation: int
    drain_s: float = 0.0
    entitlement: int = 0
    need: int = 0
    _seq: int = 0
    _borrowed: dict[HostId, _Borrowed] = field(default_factory=dict)
    _spare: dict[HostId, tuple[int, float]] = field(default_factory=dict)
    _lent: dict[tuple[HostId, int], _Lent] = field(default_factory=dict)

    def usable(self, now: float) -> int:
        """Return the units that this host may use now."""
        borrowed = sum(
            b.units for b in self._borrowed.values() if now < b.deadline
        )
        return max(0, self.entitlement - self.lent(now)) + borrowed

    def lent(self, now: float) -> int:
        """Return the units that others may still use now."""
        return sum(_in_use(lent, now) for lent in self._lent.values())

    @property
    def borrows(self) -> bool:
        """Whether any host has lent to this one and may have to be told."""
        return bool(self._borrowed)

    def fits(self, now: float, running: int) -> bool:
        """Return whether a lower entitlement is kept to by now.

        Only then may the host say that it knows of a new set of members.
        """
        kept = self.lent(now) <= self.entitlement
        return kept and running <= self.usable(now)

    # Borrowing

    def request_loans(
        self, now: float, lenders: Sequence[tuple[HostId, int]]
    ) -> list[tuple[HostId, LoanRequest]]:
        """Return requests that bring this host to its need.

        `lenders` are the hosts believed to have units to spare, and how
        many. Lenders asked before are asked again, for less or none if
        less is needed; so call this every `ASK_INTERVAL_S`.
        """
        own = max(0, self.entitlement - self.lent(now))
        lacking = max(0, self.need - own)
        requests: list[tuple[HostId, LoanRequest]] = []
        for lender, spare in self._ordered(now, lenders):
            units = min(lacking, spare)
            known = lender in self._borrowed
            if not units and not known:
                continue
            lacking -= units
            requests.append((lender, self._request(now, lender, units)))
        return requests

    def _ordered(
        self, now: float, lenders: Sequence[tuple[HostId, int]]
    ) -> list[tuple[HostId, int]]:
        """Return lenders to ask: those that lend now come first."""
        current = {
            host: b.units if now < b.deadline else 0
            for host, b in self._borrowed.items()
        }
        spare = dict(lenders)
        spare |= {
            host: units
            for host, (units, until) in self._spare.items()
            if now < until
        }
        offers = {
            host: current.get(host, 0) + spare.get(host, 0)
            for host in sorted({*current, *spare})
            if host != self.host
        }
        ranked = sorted(
            offers.items(), key=lambda o: (-current.get(o[0], 0), -o[1], o[0])
        )
        return ranked[: max(MAX_LENDERS, len(current))]

    def _request(self, now: float, lender: HostId, units: int) -> LoanRequest:
        self._seq += 1
        before = self._borrowed.get(lender, _Borrowed())
        self._borrowed[lender] = replace(
            before,
            units=min(before.units, units),
            seq=self._seq,
            sent_at=now,
        )
        return LoanRequest(
            borrower=self.host,
            incarnation=self.incarnation,
            seq=self._seq,
            units=units,
        )

    def handle_grant(self, now: float, grant: LoanGrant) -> None:
        """Use a loan, counted from when it was asked for.

        An answer to any but the last request is dropped: the lender
        took that request for our word that older loans are given up.
        """
        asked = self._borrowed.get(grant.lender)
        if asked is None or grant.seq != asked.seq:
            return
        self._spare[grant.lender] = (grant.spare, now + SPARE_KNOWN_S)
        if not grant.units:
            del self._borrowed[grant.lender]
            return
        deadline = asked.sent_at + LOAN_TERM_S
        self._borrowed[grant.lender] = replace(
            asked, units=grant.units, deadline=deadline
        )

    # Lending

    def handle_request(
        self, now: float, request: LoanRequest
    ) -> LoanGrant | None:
        """Lend what this host does not need itself; None if outdated."""
        self._forget(now)
        key = (request.borrower, request.incarnation)
        before = self._lent.get(key, _Lent())
        if request.seq <= before.seq:
            return None
        kept = tuple(
            (self._still_used(units, request), lapses)
            for units, lapses in before.loans
            if now < lapses
        )
        self._lent[key] = _Lent(seq=request.seq, loans=kept)
        others = self.lent(now) - _in_use(self._lent[key], now)
        spare = max(0, self.entitlement - self.need - others)
        units = min(request.units, spare)
        lapses = now + LOAN_TERM_S + LOAN_MARGIN_S + self.drain_s
        parts = (*kept, (units, lapses)) if units else kept
        self._lent[key] = _Lent(seq=request.seq, loans=_needed(parts))
        return LoanGrant(
            lender=self.host,
            incarnation=self.incarnation,
            seq=request.seq,
            units=units,
            spare=spare - units,
        )

    def _still_used(self, units: int, request: LoanRequest) -> int:
        """Return what may be in use of an older loan.

        With a tail, requests admitted on it may run on: a lower request
        gives up the right to admit more, not what is running.
        """
        return units if self.drain_s else min(units, request.units)

    def _forget(self, now: float) -> None:
        """Drop borrowers that are long gone; late requests are older."""
        gone = [
            key
            for key, lent in self._lent.items()
            if lent.loans and not _in_use(lent, now)
        ]
        for key in gone:
            self._lent[key] = replace(self._lent[key], loans=())


def _in_use(lent: _Lent, now: float) -> int:
    return max((u for u, lapses in lent.loans if now < lapses), default=0)


def _needed(
    parts: tuple[tuple[int, float], ...],
) -> tuple[tuple[int, float], ...]:
    """Drop parts that a larger, later one covers."""
    return tuple(
        part
        for i, part in enumerate(parts)
        if not any(u >= part[0] and at >= part[1] for u, at in parts[i + 1 :])
    )


def entitlements(limit: int, members: Sequence[HostId]) -> dict[HostId, int]:
    """Divide `limit` units; the parts add up to it exactly."""
    ordered = sorted(set(members))
    if not ordered:
        return {}
    each, rest = divmod(limit, len(ordered))
    return {
        host: each + (1 if index < rest else 0)
        for index, host in enumerate(ordered)
    }


def spare_units(
    entitled: Mapping[HostId, int], wanted: Mapping[HostId, int]
) -> list[tuple[HostId, int]]:
    """Return who is believed to have units to spare, most first.

    `wanted` comes by gossip; it only guides whom to ask.
    """
    spare = [
        (host, units - wanted.get(host, 0)) for host, units in entitled.items()
    ]
    ranked = sorted(spare, key=lambda pair: (-pair[1], pair[0]))
    return [(host, units) for host, units in ranked if units > 0]
