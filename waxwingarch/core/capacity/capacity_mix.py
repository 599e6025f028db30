"""The cheapest mix of hosts that outlives the loss of a failure domain."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from waxwingarch.core.base import FailureDomain, ServerId

MAX_BOUNDS: Final = 64
MAX_TRIMMED: Final = 16


@dataclass(frozen=True, kw_only=True, slots=True)
class Offer:
    """Hosts that the cloud offers; `price` is cost units an hour."""

    machine_class: str
    failure_domain: FailureDomain
    reclaimable: bool
    price: float
    available: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """One host that the mix may use; `server_id` if it runs already.

    `capacity` is in units of demand; `price` may be reduced to keep
    what runs.
    """

    machine_class: str
    failure_domain: FailureDomain
    reclaimable: bool
    capacity: float
    price: float
    server_id: ServerId | None = None

    @property
    def unit_price(self) -> float:
        """Price of a unit of capacity."""
        return self.price / self.capacity


@dataclass(frozen=True, kw_only=True, slots=True)
class Mix:
    """Chosen hosts; `enough` says whether they meet the demand."""

    chosen: tuple[Candidate, ...]
    enough: bool

    @property
    def price(self) -> float:
        """Price of the whole mix."""
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
    """Return the capacity left when the largest domain is reclaimed."""
    whole = sum(c.capacity for c in chosen)
    return whole - max(reclaimable_by_domain(chosen).values(), default=0.0)


def cheapest_mix(demand: float, candidates: Sequence[Candidate]) -> Mix:
    """Return the cheapest mix found whose surviving capacity suffices.

    For each bound on the reclaimable capacity of one domain, take the
    cheapest candidates a unit that keep to the bound, then drop what is
    not needed. Without enough candidates, return the best there is.
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
    """Order by unit price; what runs first, then by name."""
    return (
        candidate.unit_price,
        candidate.server_id is None,
        candidate.failure_domain,
        candidate.machine_class,
        candidate.server_id or "",
    )


def _bounds(demand: float, candidates: Sequence[Candidate]) -> list[float]:
    """Return bounds on the reclaimable capacity of one domain."""
    sizes = [c.capacity for c in candidates if c.reclaimable]
    if not sizes:
        return [0.0]
    step = max(min(sizes), demand / MAX_BOUNDS)
    count = int(demand / step) + 2
    return [step * i for i in range(count)]


def _fill(demand: float, bound: float, ordered: Sequence[Candidate]) -> Mix:
    """Take candidates in order until the demand outlives the bound."""
    chosen: list[Candidate] = []
    used: dict[FailureDomain, float] = {}
    total = 0.0
    for candidate in ordered:
        if total >= demand + max(used.values(), default=0.0):
            break
        domain = candidate.failure_domain
        if candidate.reclaimable:
            filled = used.get(domain, 0.0) + candidate.capacity
            if filled > bound + 1e-9:
                continue
            used[domain] = filled
        chosen.append(candidate)
        total += candidate.capacity
    kept = _trim(demand, chosen)
    return Mix(chosen=kept, enough=surviving(kept) >= demand - 1e-9)


def _trim(demand: float, chosen: Sequence[Candidate]) -> tuple[Candidate, ...]:
    """Drop the dearest hosts that the demand does without."""
    kept = list(chosen)
    dearest = sorted(chosen, key=lambda c: c.price, reverse=True)
    for candidate in dearest[:MAX_TRIMMED]:
        rest = [c for c in kept if c is not candidate]
        if surviving(rest) >= demand - 1e-9:
            kept = rest
    return tuple(kept)
