"""Division of one contract limit over the entry hosts.

Each host is entitled to a share of the limit, and lends units that it
does not need to hosts that lack them, until a deadline. A lender counts
a loan as lent for longer than the borrower uses it, each measured on its
own clock, so the units in use never add up to more than the limit. A
host that loses contact with the others falls back to its entitlement
when its loans expire.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Final

from waxwingarch.core.base import HostId

# A rate limit is divided into this many units, whatever the rate.
RATE_UNITS: Final = 10_000
# The borrower's time to use a loan, counted from when it was requested.
LOAN_TERM_S: Final = 3.0
# The lender waits this much longer than the term. This covers clocks of
# hosts that run at different speeds.
LOAN_MARGIN_S: Final = 0.3
REQUEST_INTERVAL_S: Final = 0.25
# The spare units that a lender reported are used for this long to choose
# lenders.
SPARE_VALID_S: Final = 1.0
# One round of requests goes to at most this many hosts, unless more hosts
# have lent units already.
MAX_LENDERS: Final = 8


@dataclass(frozen=True, kw_only=True, slots=True)
class LoanRequest:
    """A request for a loan of `units`, which replaces earlier requests.

    It also states that the borrower now uses at most `units` of earlier
    loans of this lender. `seq` grows with each request of the borrower's
    incarnation.
    """

    borrower: HostId
    incarnation: int
    seq: int
    units: int


@dataclass(frozen=True, kw_only=True, slots=True)
class LoanGrant:
    """The response to the request `seq`: `units` are lent.

    `spare` is the number of units that the lender could lend on top.
    """

    lender: HostId
    incarnation: int
    seq: int
    units: int
    spare: int


@dataclass(frozen=True, kw_only=True, slots=True)
class _Borrowed:
    """The units that one lender has lent, usable until `deadline`.

    `seq` and `requested_at` are those of the last request to it, which may
    not have been granted yet.
    """

    units: int = 0
    deadline: float = 0.0
    seq: int = 0
    requested_at: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class _Lent:
    """Loans that one borrower may still use, as (units, expires_at)."""

    seq: int = 0
    loans: tuple[tuple[int, float], ...] = ()


@dataclass(slots=True)
class ShareLedger:
    """One host's entitlement, loans and debts of one limit, in units.

    `drain_s` is how long requests that were admitted on a loan may run
    after it expired: 0 for a rate, the longest request for a concurrency
    limit.
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
    def has_borrowed(self) -> bool:
        """Whether any lender gets a request in each round.

        Each one does from the first request to it until it grants no units.
        """
        return bool(self._borrowed)

    def is_within_entitlement(self, now: float, running: int) -> bool:
        """Return whether loans and requests fit a lowered entitlement.

        Only then may the host confirm that it knows a new set of members.
        """
        loans_fit = self.lent(now) <= self.entitlement
        return loans_fit and running <= self.usable(now)

    # Borrowing

    def request_loans(
        self, now: float, lenders: Sequence[tuple[HostId, int]]
    ) -> list[tuple[HostId, LoanRequest]]:
        """Return the requests for the units that this host lacks.

        `lenders` are the hosts that are believed to have spare units,
        with their number. Current lenders get a request each time, for
        fewer units or none if the need has shrunk, so this is called
        every `REQUEST_INTERVAL_S`.
        """
        own = max(0, self.entitlement - self.lent(now))
        missing = max(0, self.need - own)
        requests: list[tuple[HostId, LoanRequest]] = []
        for lender, spare in self._rank_lenders(now, lenders):
            units = min(missing, spare)
            is_current = lender in self._borrowed
            if not units and not is_current:
                continue
            missing -= units
            requests.append((lender, self._request(now, lender, units)))
        return requests

    def _rank_lenders(
        self, now: float, lenders: Sequence[tuple[HostId, int]]
    ) -> list[tuple[HostId, int]]:
        """Return the lenders to ask, with the current lenders first."""
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
        """Return a request; this host now uses at most `units` of a loan."""
        self._seq += 1
        previous = self._borrowed.get(lender, _Borrowed())
        self._borrowed[lender] = replace(
            previous,
            units=min(previous.units, units),
            seq=self._seq,
            requested_at=now,
        )
        return LoanRequest(
            borrower=self.host,
            incarnation=self.incarnation,
            seq=self._seq,
            units=units,
        )

    def handle_grant(self, now: float, grant: LoanGrant) -> None:
        """Use a granted loan; its term counts from the request.

        A response to any request but the last is dropped, because the
        lender took the last request as a release of older loans.
        """
        borrowed = self._borrowed.get(grant.lender)
        if borrowed is None or grant.seq != borrowed.seq:
            return
        self._spare[grant.lender] = (grant.spare, now + SPARE_VALID_S)
        if not grant.units:
            del self._borrowed[grant.lender]
            return
        deadline = borrowed.requested_at + LOAN_TERM_S
        self._borrowed[grant.lender] = replace(
            borrowed, units=grant.units, deadline=deadline
        )

    # Lending

    def handle_request(
        self, now: float, request: LoanRequest
    ) -> LoanGrant | None:
        """Lend spare units; return None if the request is outdated."""
        self._drop_expired_loans(now)
        key = (request.borrower, request.incarnation)
        previous = self._lent.get(key, _Lent())
        if request.seq <= previous.seq:
            return None
        unexpired = tuple(
            (self._remaining_use(units, request), expires_at)
            for units, expires_at in previous.loans
            if now < expires_at
        )
        self._lent[key] = _Lent(seq=request.seq, loans=unexpired)
        others = self.lent(now) - _in_use(self._lent[key], now)
        spare = max(0, self.entitlement - self.need - others)
        units = min(request.units, spare)
        expires_at = now + LOAN_TERM_S + LOAN_MARGIN_S + self.drain_s
        loans = (*unexpired, (units, expires_at)) if units else unexpired
        self._lent[key] = _Lent(seq=request.seq, loans=_drop_covered(loans))
        return LoanGrant(
            lender=self.host,
            incarnation=self.incarnation,
            seq=request.seq,
            units=units,
            spare=spare - units,
        )

    def _remaining_use(self, units: int, request: LoanRequest) -> int:
        """Return how many units of an older loan may still be in use.

        With `drain_s`, requests that were admitted on it may still run:
        a request for fewer units gives up the right to admit more, but
        doesn't end them.
        """
        return units if self.drain_s else min(units, request.units)

    def _drop_expired_loans(self, now: float) -> None:
        """Drop the expired loans of borrowers that have no other.

        The last `seq` is kept, so that late requests remain outdated.
        """
        expired = [
            key
            for key, lent in self._lent.items()
            if lent.loans and not _in_use(lent, now)
        ]
        for key in expired:
            self._lent[key] = replace(self._lent[key], loans=())


def _in_use(lent: _Lent, now: float) -> int:
    """Return the units lent now; a borrower uses only one loan at a time."""
    return max(
        (u for u, expires_at in lent.loans if now < expires_at), default=0
    )


def _drop_covered(
    loans: tuple[tuple[int, float], ...],
) -> tuple[tuple[int, float], ...]:
    """Drop each loan that a later one covers in units and time."""
    return tuple(
        loan
        for i, loan in enumerate(loans)
        if not any(u >= loan[0] and at >= loan[1] for u, at in loans[i + 1 :])
    )


def entitlements(limit: int, members: Sequence[HostId]) -> dict[HostId, int]:
    """Divide a limit evenly; the entitlements add up to it exactly."""
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
    """Return the hosts believed to have spare units, most first.

    `wanted` comes from gossip and may be stale. It only guides which
    hosts are asked for loans.
    """
    spare = [
        (host, units - wanted.get(host, 0)) for host, units in entitled.items()
    ]
    ranked = sorted(spare, key=lambda pair: (-pair[1], pair[0]))
    return [(host, units) for host, units in ranked if units > 0]
