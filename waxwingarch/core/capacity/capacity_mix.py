"""The cheapest mix of hosts that survives the loss of a failure domain."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from waxwingarch.core.base import FailureDomain, ServerId

# The demand is divided into at most this many steps, as bounds on the
# reclaimable capacity of one domain to try.
MAX_BOUNDS: Final = 64
# At most this many hosts of a mix, most expensive first, are considered
# for removal.
MAX_TRIMMED: Final = 16


@dataclass(frozen=True, kw_only=True, slots=True)
class Offer:
    """Hosts that the platform offers; `price` is in cost units an hour."""

    machine_class: str
    failure_domain: FailureDomain
    reclaimable: bool
    price: float
    available: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """One host that the mix may use.

    `server_id` is set if the host is running or ordered. `capacity` is
    in units of demand. `price` may be discounted, so that running hosts
    are kept.
    """

    machine_class: str
    failure_domain: FailureDomain
    reclaimable: bool
    capacity: float
    price: float
    server_id: ServerId | None = None

    @property
    def unit_price(self) -> float:
        """Price of one unit of capacity."""
        return self.price / self.capacity


@dataclass(frozen=True, kw_only=True, slots=True)
class Mix:
    """Chosen hosts; `enough` tells whether they meet the demand."""

    chosen: tuple[Candidate, ...]
    enough: bool

    @property
    def price(self) -> float:
        """Sum of the prices of the hosts."""
        return sum(c.price for c in self.chosen)


def reclaimable_by_domain(
    chosen: Iterable[Candidate],
) -> dict[FailureDomain, float]:
    """Return the reclaimable capacity in each failure domain."""
    domains: dict[FailureDomain, float] = {}
    for candidate in chosen:
        if candidate.reclaimable:
            domain = candidate.failure_domain
            domains[domain] = domains.get(domain, 0) + candidate.capacity
    return domains


def surviving(chosen: Sequence[Candidate]) -> float:
    """Return the capacity that remains if the largest domain is lost."""
    total = sum(c.capacity for c in chosen)
    return total - max(reclaimable_by_domain(chosen).values(), default=0.0)


def cheapest_mix(demand: float, candidates: Sequence[Candidate]) -> Mix:
    """Return the cheapest mix found whose surviving capacity suffices.

    For each bound on the reclaimable capacity of one domain, this adds
    the candidates with the lowest unit price that keep to the bound, and
    then removes hosts that are not needed. If no mix is sufficient, it
    returns the one with the most surviving capacity.
    """
    if demand <= 0:
        return Mix(chosen=(), enough=True)
    ordered = sorted(candidates, key=_preference)
    mixes = [
        _fill(demand, bound, ordered) for bound in _bounds(demand, ordered)
    ]
    enough = [mix for mix in mixes if mix.enough]
    if enough:
        return min(enough, key=lambda mix: mix.price)
    return max(mixes, key=lambda mix: surviving(mix.chosen))


def _preference(candidate: Candidate) -> tuple[float, bool, str, str, str]:
    """Return the sort key: unit price, running hosts first, then names."""
    return (
        candidate.unit_price,
        candidate.server_id is None,
        candidate.failure_domain,
        candidate.machine_class,
        candidate.server_id or "",
    )


def _bounds(demand: float, candidates: Sequence[Candidate]) -> list[float]:
    """Return the bounds on the reclaimable capacity of a domain to try."""
    sizes = [c.capacity for c in candidates if c.reclaimable]
    if not sizes:
        return [0.0]
    step = max(min(sizes), demand / MAX_BOUNDS)
    count = int(demand / step) + 2
    return [step * i for i in range(count)]


def _fill(demand: float, bound: float, ordered: Sequence[Candidate]) -> Mix:
    """Add candidates in order until the demand survives a domain's loss."""
    chosen: list[Candidate] = []
    by_domain: dict[FailureDomain, float] = {}
    total = 0.0
    for candidate in ordered:
        if total >= demand + max(by_domain.values(), default=0.0):
            break
        domain = candidate.failure_domain
        if candidate.reclaimable:
            domain_capacity = by_domain.get(domain, 0.0) + candidate.capacity
            if domain_capacity > bound + 1e-9:
                continue
            by_domain[domain] = domain_capacity
        chosen.append(candidate)
        total += candidate.capacity
    kept = _trim(demand, chosen)
    return Mix(chosen=kept, enough=surviving(kept) >= demand - 1e-9)


def _trim(demand: float, chosen: Sequence[Candidate]) -> tuple[Candidate, ...]:
    """Remove the most expensive hosts that the demand doesn't need."""
    kept = list(chosen)
    most_expensive = sorted(chosen, key=lambda c: c.price, reverse=True)
    for candidate in most_expensive[:MAX_TRIMMED]:
        remaining = [c for c in kept if c is not candidate]
        if surviving(remaining) >= demand - 1e-9:
            kept = remaining
    return tuple(kept)
