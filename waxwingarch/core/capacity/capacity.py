"""Planning of how many hosts of which class run in which failure domain.

The planner keeps the cheapest mix that still meets the demand if all
reclaimable hosts of one failure domain are lost at the same time,
whichever domain it is. It starts missing hosts immediately, and is slow
to stop or replace hosts: prices change, and each start loads weights
through a store with a rate limit.
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

# An offer that refused a start is skipped for this long, then twice as
# long after each further refusal, up to the maximum.
REFUSAL_BACKOFF_S: Final = 60.0
REFUSAL_BACKOFF_MAX_S: Final = 900.0
# An order is forgotten if the platform has not listed its server by this
# time.
ORDER_TIMEOUT_S: Final = 60.0
# A failure domain under reclaim gets no new reclaimable hosts for this
# long.
RECLAIM_PAUSE_S: Final = 900.0
# A host is not stopped before this age.
MIN_LIFETIME_S: Final = 1800.0
# A host is stopped only after a surplus has lasted this long.
SURPLUS_DELAY_S: Final = 600.0
# A host is replaced only after the mix has been cheaper than the running
# hosts for this long, by at least this ratio of their price.
REPLACE_DELAY_S: Final = 300.0
MIN_SAVING_RATIO: Final = 0.1
# The price of running hosts is discounted by this ratio, so that small
# changes of prices don't make the mix flap.
RUNNING_DISCOUNT_RATIO: Final = 0.3
# The mix is planned for this many times the demand.
DEMAND_HEADROOM_RATIO: Final = 1.05
# Few replacements at a time leave the weight store to urgent starts.
MAX_REPLACEMENTS: Final = 1


class FleetState(StrEnum):
    """State of a server as the platform lists it."""

    STARTING = "starting"
    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetServer:
    """A server of the pool; `price` is in cost units an hour."""

    server_id: ServerId
    machine_class: str
    failure_domain: FailureDomain
    reclaimable: bool
    price: float
    state: FleetState
    first_seen_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """Capacity that the contracts require in one pool.

    `units` has the unit of `capacity`, which is the load that one host
    of each machine class serves within the latency of the contracts.
    """

    service: ServiceId
    version: VersionId
    units: float
    capacity: dict[str, float]


@dataclass(frozen=True, kw_only=True, slots=True)
class StartServer(Action):
    """Start one host; an order id is never used for another start."""

    order_id: str
    service: ServiceId
    version: VersionId
    machine_class: str
    failure_domain: FailureDomain
    reclaimable: bool
    fencing: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StopServer(Action):
    """Drain and stop one host; idempotent."""

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
        """Return True, as the mix itself bounds the loss in a reclaim."""
        return True


class OnDemandPolicy:
    """Uses no reclaimable hosts; a baseline to compare with."""

    def allows(self, offer: Offer) -> bool:
        """Return whether the offer is an on-demand one."""
        return not offer.reclaimable


OfferKey = tuple[str, FailureDomain, bool]


@dataclass(frozen=True, kw_only=True, slots=True)
class _Order:
    """A start whose server the platform does not list yet."""

    start: StartServer
    expires_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Refusal:
    """A refused start; its offer is used again from `retry_at`."""

    retry_at: float
    backoff_s: float


def offer_key(start: StartServer) -> OfferKey:
    """Return the key of the offer that a start uses."""
    return start.machine_class, start.failure_domain, start.reclaimable


class CapacityPlanner:
    """Plans the hosts of one pool; only the lease holder calls it."""

    def __init__(self, policy: CapacityPolicy) -> None:
        self._policy = policy
        self._orders: dict[str, _Order] = {}
        self._refusals: dict[OfferKey, _Refusal] = {}
        self._paused_until: dict[FailureDomain, float] = {}
        self._order_count = 0
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
        self._drop_expired_orders(now)
        self._record_reclaims(now, fleet)
        staying = [s for s in fleet if s.state is not FleetState.LEAVING]
        running = [_running(s, demand) for s in staying]
        running += [_ordered(o.start, demand) for o in self._orders.values()]
        startable = self._startable(now, demand, offers)
        mix = cheapest_mix(
            demand.units * DEMAND_HEADROOM_RATIO, running + startable
        )
        if surviving(running) < demand.units:
            self._surplus_since = self._cheaper_since = None
            return self._start(now, demand, _not_running(mix), fencing)
        is_starting = any(s.state is FleetState.STARTING for s in staying)
        if not is_starting and not self._orders:
            replacements = self._replace(now, running, mix)
            if replacements:
                return self._start(now, demand, replacements, fencing)
        return self._stop(now, demand, staying, fencing)

    def record_started(self, order_id: str) -> None:
        """Record that the platform lists the server of an order."""
        order = self._orders.pop(order_id, None)
        if order is not None:
            self._refusals.pop(offer_key(order.start), None)

    def record_refusal(self, now: float, order_id: str) -> None:
        """Record that the platform refused a start for lack of hosts."""
        order = self._orders.pop(order_id, None)
        if order is None:
            return
        key = offer_key(order.start)
        known = self._refusals.get(key)
        backoff_s = REFUSAL_BACKOFF_S if known is None else 2 * known.backoff_s
        backoff_s = min(backoff_s, REFUSAL_BACKOFF_MAX_S)
        self._refusals[key] = _Refusal(
            retry_at=now + backoff_s, backoff_s=backoff_s
        )

    def _drop_expired_orders(self, now: float) -> None:
        self._orders = {
            order_id: order
            for order_id, order in self._orders.items()
            if order.expires_at > now
        }

    def _record_reclaims(
        self, now: float, fleet: Sequence[FleetServer]
    ) -> None:
        """Pause the use of reclaimable hosts in a domain under reclaim.

        Two reclaimable hosts that leave at the same time count as a
        reclaim of the domain; a single one doesn't.
        """
        leaving = [
            s.failure_domain
            for s in fleet
            if s.reclaimable and s.state is FleetState.LEAVING
        ]
        for domain in leaving:
            if leaving.count(domain) > 1:
                self._paused_until[domain] = now + RECLAIM_PAUSE_S

    def _startable(
        self, now: float, demand: Demand, offers: Sequence[Offer]
    ) -> list[Candidate]:
        """Return the hosts that could be started now as candidates."""
        startable: list[Candidate] = []
        for offer in offers:
            capacity = demand.capacity.get(offer.machine_class, 0.0)
            if capacity <= 0 or not self._is_usable(now, offer):
                continue
            candidate = Candidate(
                machine_class=offer.machine_class,
                failure_domain=offer.failure_domain,
                reclaimable=offer.reclaimable,
                capacity=capacity,
                price=offer.price,
            )
            max_hosts = (
                int(2 * demand.units * DEMAND_HEADROOM_RATIO / capacity) + 1
            )
            startable += [replace(candidate)] * min(offer.available, max_hosts)
        return startable

    def _is_usable(self, now: float, offer: Offer) -> bool:
        key = (offer.machine_class, offer.failure_domain, offer.reclaimable)
        refusal = self._refusals.get(key)
        may_retry = refusal is None or now >= refusal.retry_at
        paused_until = self._paused_until.get(offer.failure_domain, now)
        if offer.reclaimable and now < paused_until:
            return False
        return may_retry and self._policy.allows(offer)

    def _start(
        self,
        now: float,
        demand: Demand,
        missing: Sequence[Candidate],
        fencing: int,
    ) -> list[Action]:
        """Order the missing hosts, each with its own order id."""
        actions: list[Action] = []
        for candidate in missing:
            self._order_count += 1
            start = StartServer(
                order_id=_order_id(demand, fencing, self._order_count),
                service=demand.service,
                version=demand.version,
                machine_class=candidate.machine_class,
                failure_domain=candidate.failure_domain,
                reclaimable=candidate.reclaimable,
                fencing=fencing,
            )
            order = _Order(start=start, expires_at=now + ORDER_TIMEOUT_S)
            self._orders[start.order_id] = order
            actions.append(start)
        return actions

    def _replace(
        self, now: float, running: Sequence[Candidate], mix: Mix
    ) -> list[Candidate]:
        """Return cheaper hosts to start if the mix stays cheaper.

        The more expensive host is stopped as surplus once the new one
        runs.
        """
        missing = _not_running(mix)
        price = sum(c.price for c in running)
        is_worth_it = (
            mix.enough and mix.price <= (1 - MIN_SAVING_RATIO) * price
        )
        if not missing or not is_worth_it:
            self._cheaper_since = None
            return []
        if self._cheaper_since is None:
            self._cheaper_since = now
        if now - self._cheaper_since < REPLACE_DELAY_S:
            return []
        return missing[:MAX_REPLACEMENTS]

    def _stop(
        self,
        now: float,
        demand: Demand,
        staying: Sequence[FleetServer],
        fencing: int,
    ) -> list[Action]:
        """Stop the most expensive host of a surplus that has lasted."""
        live = [s for s in staying if s.state is FleetState.LIVE]
        surplus = _find_surplus(now, demand, live)
        if surplus is None:
            self._surplus_since = None
            return []
        if self._surplus_since is None:
            self._surplus_since = now
        if now - self._surplus_since < SURPLUS_DELAY_S:
            return []
        return [StopServer(server_id=surplus.server_id, fencing=fencing)]


def _order_id(demand: Demand, fencing: int, count: int) -> str:
    """Return an id that is unique over pools and lease holders."""
    return f"{demand.service}-{demand.version}-{fencing}-{count}"


def _running(server: FleetServer, demand: Demand) -> Candidate:
    """Return a running server as a candidate with a discounted price."""
    return Candidate(
        machine_class=server.machine_class,
        failure_domain=server.failure_domain,
        reclaimable=server.reclaimable,
        capacity=demand.capacity.get(server.machine_class, 0.0) or 1e-9,
        price=server.price * (1 - RUNNING_DISCOUNT_RATIO),
        server_id=server.server_id,
    )


def _ordered(start: StartServer, demand: Demand) -> Candidate:
    """Return an ordered host as a candidate.

    Its price is spent, so that the mix prefers it to hosts yet to start.
    """
    return Candidate(
        machine_class=start.machine_class,
        failure_domain=start.failure_domain,
        reclaimable=start.reclaimable,
        capacity=demand.capacity.get(start.machine_class, 0.0) or 1e-9,
        price=0.0,
        server_id=ServerId(start.order_id),
    )


def _not_running(mix: Mix) -> list[Candidate]:
    """Return the hosts of the mix that are neither running nor ordered."""
    return [c for c in mix.chosen if c.server_id is None]


def _find_surplus(
    now: float, demand: Demand, live: Sequence[FleetServer]
) -> FleetServer | None:
    """Return the host with the highest unit price that is not needed."""
    required_units = demand.units * DEMAND_HEADROOM_RATIO
    stoppable = [s for s in live if now - s.first_seen_at >= MIN_LIFETIME_S]

    def unit_price(server: FleetServer) -> float:
        return _running(server, demand).unit_price

    for server in sorted(stoppable, key=unit_price, reverse=True):
        remaining = [_running(s, demand) for s in live if s is not server]
        if surviving(remaining) >= required_units:
            return server
    return None
