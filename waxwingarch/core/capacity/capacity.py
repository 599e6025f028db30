"""How many hosts of which class to run in which failure domain.

The planner keeps the cheapest mix that still meets the demand when the
largest failure domain's reclaimable hosts are lost at once. It starts at
once what is missing, and is slow to stop or replace: prices change, and
each start loads weights through a store with a rate limit.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Final, Protocol

from waxwingarch.core.base import (
    Action,
    FailureDomain,
    ServerId,
    ServiceId,
    VersionId,
)
from waxwingarch.core.capacity.capacity_mix import (
    Candidate,
    Mix,
    Offer,
    cheapest_mix,
    surviving,
)

REFUSED_BACKOFF_S: Final = 60.0
REFUSED_BACKOFF_MAX_S: Final = 900.0
ORDER_SETTLE_S: Final = 60.0
RECLAIM_QUIET_S: Final = 900.0
MIN_LIFE_S: Final = 1800.0
SURPLUS_S: Final = 600.0
CHEAPER_S: Final = 300.0
MIN_SAVING: Final = 0.1
KEEP_DISCOUNT: Final = 0.3
HEADROOM: Final = 1.05
MAX_REPLACEMENTS: Final = 1


class FleetState(StrEnum):
    """State of a server as the platform lists it."""

    STARTING = "starting"
    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetServer:
    """A server of the pool; `since` is when it was first seen."""

    server_id: ServerId
    machine_class: str
    failure_domain: FailureDomain
    reclaimable: bool
    price: float
    state: FleetState
    since: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """Capacity that the contracts call for in one pool.

    `units` is in the unit of `capacity`, which gives what one host of
    each machine class carries within the contracts' latency.
    """

    service: ServiceId
    version: VersionId
    units: float
    capacity: dict[str, float]


@dataclass(frozen=True, kw_only=True, slots=True)
class StartServer(Action):
    """Start one host; an order id names one start for ever."""

    order_id: str
    service: ServiceId
    version: VersionId
    machine_class: str
    failure_domain: FailureDomain
    reclaimable: bool
    fencing: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StopServer(Action):
    """Drain and stop one host; repeating it does no harm."""

    server_id: ServerId
    fencing: int


class CapacityPolicy(Protocol):
    """Decides which offers may be used."""

    def allows(self, offer: Offer) -> bool:
        """Return whether hosts of this offer may be started."""
        ...


class MixedPolicy:
    """Uses all offers."""

    def allows(self, offer: Offer) -> bool:
        """Return True: the mix itself bounds what a reclaim can take."""
        return True


class OnDemandPolicy:
    """The baseline: no reclaimable hosts."""

    def allows(self, offer: Offer) -> bool:
        """Return whether the offer is an on-demand one."""
        return not offer.reclaimable


OfferKey = tuple[str, FailureDomain, bool]


@dataclass(frozen=True, kw_only=True, slots=True)
class _Order:
    """A start that the platform's list does not show yet."""

    start: StartServer
    until: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Refusal:
    """An offer that refused a start; asked again after `until`."""

    until: float
    backoff_s: float


def offer_key(start: StartServer) -> OfferKey:
    """Return which offer a start takes from."""
    return start.machine_class, start.failure_domain, start.reclaimable


class CapacityPlanner:
    """Plans one pool; to be asked by the lease holder only."""

    def __init__(self, policy: CapacityPolicy) -> None:
        self._policy = policy
        self._orders: dict[str, _Order] = {}
        self._refusals: dict[OfferKey, _Refusal] = {}
        self._quiet_until: dict[FailureDomain, float] = {}
        self._count = 0
        self._surplus_since: float | None = None
        self._cheaper_since: float | None = None

    def plan(
        self,
        now: float,
        demand: Demand,
        offers: Sequence[Offer],
        fleet: Sequence[FleetServer],
        fencing: int,
    ) -> list[Action]:
        """Return the starts and stops that are due now."""
        self._forget_orders(now)
        self._note_reclaims(now, fleet)
        staying = [s for s in fleet if s.state is not FleetState.LEAVING]
        running = [_running(s, demand) for s in staying]
        running += [_ordered(o.start, demand) for o in self._orders.values()]
        fresh = self._fresh(now, demand, offers)
        mix = cheapest_mix(demand.units * HEADROOM, running + fresh)
        if surviving(running) < demand.units:
            self._surplus_since = self._cheaper_since = None
            return self._start(now, demand, _missing(mix), fencing)
        loading = any(s.state is FleetState.STARTING for s in staying)
        if not loading and not self._orders:
            due = self._replace(now, running, mix)
            if due:
                return self._start(now, demand, due, fencing)
        return self._stop(now, demand, staying, fencing)

    def started(self, order_id: str) -> None:
        """Note that the platform's list shows the order's server."""
        order = self._orders.pop(order_id, None)
        if order is not None:
            self._refusals.pop(offer_key(order.start), None)

    def refused(self, now: float, order_id: str) -> None:
        """Note that the platform refused a start for lack of hosts."""
        order = self._orders.pop(order_id, None)
        if order is None:
            return
        key = offer_key(order.start)
        known = self._refusals.get(key)
        backoff = REFUSED_BACKOFF_S if known is None else 2 * known.backoff_s
        backoff = min(backoff, REFUSED_BACKOFF_MAX_S)
        self._refusals[key] = _Refusal(until=now + backoff, backoff_s=backoff)

    def _forget_orders(self, now: float) -> None:
        self._orders = {
            order_id: order
            for order_id, order in self._orders.items()
            if order.until > now
        }

    def _note_reclaims(self, now: float, fleet: Sequence[FleetServer]) -> None:
        """Leave a domain alone for a while when it is being reclaimed.

        One host that leaves is no wave; two at once are.
        """
        leaving = [
            s.failure_domain
            for s in fleet
            if s.reclaimable and s.state is FleetState.LEAVING
        ]
        for domain in leaving:
            if leaving.count(domain) > 1:
                self._quiet_until[domain] = now + RECLAIM_QUIET_S

    def _fresh(
        self, now: float, demand: Demand, offers: Sequence[Offer]
    ) -> list[Candidate]:
        """Return hosts that could be started now."""
        fresh: list[Candidate] = []
        for offer in offers:
            capacity = demand.capacity.get(offer.machine_class, 0.0)
            if capacity <= 0 or not self._open(now, offer):
                continue
            candidate = Candidate(
                machine_class=offer.machine_class,
                failure_domain=offer.failure_domain,
                reclaimable=offer.reclaimable,
                capacity=capacity,
                price=offer.price,
            )
            most = int(2 * demand.units * HEADROOM / capacity) + 1
            fresh += [replace(candidate)] * min(offer.available, most)
        return fresh

    def _open(self, now: float, offer: Offer) -> bool:
        key = (offer.machine_class, offer.failure_domain, offer.reclaimable)
        refusal = self._refusals.get(key)
        waited = refusal is None or now >= refusal.until
        quiet_until = self._quiet_until.get(offer.failure_domain, now)
        if offer.reclaimable and now < quiet_until:
            return False
        return waited and self._policy.allows(offer)

    def _start(
        self,
        now: float,
        demand: Demand,
        missing: Sequence[Candidate],
        fencing: int,
    ) -> list[Action]:
        """Order the missing hosts, each under an id of its own."""
        actions: list[Action] = []
        for candidate in missing:
            self._count += 1
            start = StartServer(
                order_id=_order_id(demand, fencing, self._count),
                service=demand.service,
                version=demand.version,
                machine_class=candidate.machine_class,
                failure_domain=candidate.failure_domain,
                reclaimable=candidate.reclaimable,
                fencing=fencing,
            )
            order = _Order(start=start, until=now + ORDER_SETTLE_S)
            self._orders[start.order_id] = order
            actions.append(start)
        return actions

    def _replace(
        self, now: float, running: Sequence[Candidate], mix: Mix
    ) -> list[Candidate]:
        """Return a cheaper host if the mix stays cheaper for a while.

        The dearer one is stopped as surplus once the new one runs. One
        at a time leaves the weight store to starts that are urgent.
        """
        missing = _missing(mix)
        price = sum(c.price for c in running)
        worth = mix.enough and mix.price <= (1 - MIN_SAVING) * price
        if not missing or not worth:
            self._cheaper_since = None
            return []
        if self._cheaper_since is None:
            self._cheaper_since = now
        if now - self._cheaper_since < CHEAPER_S:
            return []
        return missing[:MAX_REPLACEMENTS]

    def _stop(
        self,
        now: float,
        demand: Demand,
        staying: Sequence[FleetServer],
        fencing: int,
    ) -> list[Action]:
        """Stop the dearest live host that has been surplus for a while."""
        live = [s for s in staying if s.state is FleetState.LIVE]
        unneeded = _unneeded(now, demand, live)
        if unneeded is None:
            self._surplus_since = None
            return []
        if self._surplus_since is None:
            self._surplus_since = now
        if now - self._surplus_since < SURPLUS_S:
            return []
        return [StopServer(server_id=unneeded.server_id, fencing=fencing)]


def _order_id(demand: Demand, fencing: int, count: int) -> str:
    """Return an id that no pool and no other holder uses again."""
    return f"{demand.service}-{demand.version}-{fencing}-{count}"


def _running(server: FleetServer, demand: Demand) -> Candidate:
    """Return a running server, with a discount against flapping."""
    return Candidate(
        machine_class=server.machine_class,
        failure_domain=server.failure_domain,
        reclaimable=server.reclaimable,
        capacity=demand.capacity.get(server.machine_class, 0.0) or 1e-9,
        price=server.price * (1 - KEEP_DISCOUNT),
        server_id=server.server_id,
    )


def _ordered(start: StartServer, demand: Demand) -> Candidate:
    """Return a host that is ordered already; its price is spent."""
    return Candidate(
        machine_class=start.machine_class,
        failure_domain=start.failure_domain,
        reclaimable=start.reclaimable,
        capacity=demand.capacity.get(start.machine_class, 0.0) or 1e-9,
        price=0.0,
        server_id=ServerId(start.order_id),
    )


def _missing(mix: Mix) -> list[Candidate]:
    """Return the hosts of the mix that do not run yet."""
    return [c for c in mix.chosen if c.server_id is None]


def _unneeded(
    now: float, demand: Demand, live: Sequence[FleetServer]
) -> FleetServer | None:
    """Return the dearest host a unit that the live rest does without."""
    needed = demand.units * HEADROOM
    old = [s for s in live if now - s.since >= MIN_LIFE_S]

    def unit_price(server: FleetServer) -> float:
        return _running(server, demand).unit_price

    for server in sorted(old, key=unit_price, reverse=True):
        rest = [_running(s, demand) for s in live if s is not server]
        if surviving(rest) >= needed:
            return server
    return None
