"""Autoscaling with reclaimable servers, safe against the loss of a domain.

Reclaimable servers are spread over the failure domains so that the
remaining ones carry the load when one domain loses all of its own at
once. Servers that are not reclaimable, here called on-demand servers,
fill the gap while too few reclaimable ones are to be had: first in the
domains that have none to give, then in the cheapest. They are stopped
when the reclaimable servers suffice again.

Nothing is ordered in an evacuated domain, and no server there is stopped; the
other domains take its share.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from math import ceil
from types import MappingProxyType
from typing import Final

from waxwingarch.core.backends.registry import Backend
from waxwingarch.core.base import (
    Action,
    Event,
    FailureDomain,
    ServiceId,
)
from waxwingarch.core.routing.config import RoutedService, ScalingBounds

# An ordered server should be listed after its boot time and this.
LISTING_DELAY_S: Final = 1.5
# An order that failed or was refused is repeated after this time.
ORDER_RETRY_S: Final = 2.0
# On-demand servers are stopped only after the reclaimable servers have
# sufficed for this time, since some of those may just have started.
SETTLE_S: Final = 2.0
# The largest usual load needs this share of the largest number of servers
# that may be ordered: the bounds of a deployment leave room for about twice
# that load. It applies where the demand is not measured.
USUAL_LOAD_RATIO: Final = 0.5
# Reclaimable servers per server that the usual load needs. The spare ones
# serve bursts that coincide with a reclaim, as a boot takes longer than
# most bursts.
HEADROOM_FACTOR: Final = 1.5
# A domain that refused an order has no reclaimable servers to give for
# about this time.
REFUSAL_VALID_S: Final = 5.0

NO_NEEDS: Final[Mapping[ServiceId, int]] = MappingProxyType({})


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderKey:
    """The kind of servers whose number one order sets."""

    service: ServiceId
    domain: FailureDomain
    reclaimable: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderServers(Action):
    """Order that `desired` servers run, if this host still holds the duty.

    `running` is how many servers of the key may get requests now.
    """

    key: OrderKey
    desired: int
    fence: int
    running: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class ServersOrdered(Event):
    """The reply to an order; `refused` if there is no capacity now."""

    key: OrderKey
    desired: int
    accepted: bool
    refused: bool = False


@dataclass(kw_only=True, slots=True)
class _Order:
    """The last order for a key.

    `desired` is the number that was accepted last. `pending` says that the
    reply is outstanding; no order is sent before `next_at`.
    """

    desired: int | None = None
    accepted_at: float = float("-inf")
    next_at: float = float("-inf")
    refused_at: float = float("-inf")
    pending: bool = False

    def listed_by(self, bounds: ScalingBounds) -> float:
        """Return when the servers of the last order should be listed."""
        return self.accepted_at + bounds.boot_s + LISTING_DELAY_S

    def recently_refused(self, now: float) -> bool:
        """Return whether there was recently no capacity for the key."""
        return now - self.refused_at < REFUSAL_VALID_S


@dataclass(kw_only=True, slots=True)
class _ServiceState:
    """The orders of one service.

    `sufficient_since` is when the reclaimable servers began to suffice.
    """

    sufficient_since: float
    orders: dict[OrderKey, _Order] = field(default_factory=dict)


class Autoscaler:
    """Orders servers for the services, on the host that holds the duty."""

    def __init__(self) -> None:
        self._services: dict[ServiceId, _ServiceState] = {}
        # When the last evacuation of a domain ended.
        self._evacuated_until: dict[FailureDomain, float] = {}

    def tick(
        self,
        now: float,
        fence: int,
        services: Iterable[RoutedService],
        backends: Iterable[Backend],
        needs: Mapping[ServiceId, int] = NO_NEEDS,
        evacuated: Collection[FailureDomain] = (),
    ) -> list[Action]:
        """Return the orders that are due, outside evacuated domains.

        `needs` are the numbers of servers that the measured demand needs,
        for the services for which it is known.
        """
        all_backends = list(backends)
        actions: list[Action] = []
        for service in services:
            if service.scaling is None:
                continue
            usable = [
                b
                for b in all_backends
                if b.server.service == service.service
                and b.is_usable
                and b.server.failure_domain not in evacuated
            ]
            actions += self._orders_for(
                now,
                fence,
                service.service,
                service.scaling,
                usable,
                needs.get(service.service),
                evacuated,
            )
        return actions

    def handle_evacuation_end(self, now: float, domain: FailureDomain) -> None:
        """Record that servers are ordered in a domain again."""
        self._evacuated_until[domain] = now

    def _returning_domains(
        self, now: float, bounds: ScalingBounds
    ) -> set[FailureDomain]:
        """Return the domains whose servers may not all have started yet.

        The others keep the share of these until the servers that are ordered
        after an evacuation should be listed.
        """
        return {
            domain
            for domain, ended_at in self._evacuated_until.items()
            if domain in bounds.domain_prices
            and now < ended_at + bounds.boot_s + LISTING_DELAY_S
        }

    def handle_order_reply(self, now: float, event: ServersOrdered) -> None:
        """Record the reply to an order."""
        state = self._services.get(event.key.service)
        order = state.orders.get(event.key) if state else None
        if order is None:
            return
        order.pending = False
        if event.accepted:
            order.desired = event.desired
            order.accepted_at = now
        else:
            order.next_at = now + ORDER_RETRY_S
            if event.refused:
                order.refused_at = now

    def handle_duty_lost(self) -> None:
        """Drop all orders, since another host may place some now."""
        for state in self._services.values():
            state.orders.clear()

    def _orders_for(
        self,
        now: float,
        fence: int,
        service: ServiceId,
        bounds: ScalingBounds,
        usable: list[Backend],
        need: int | None,
        evacuated: Collection[FailureDomain],
    ) -> list[Action]:
        state = self._services.get(service)
        if state is None:
            if not usable:
                return []
            state = _ServiceState(sufficient_since=now)
            self._services[service] = state
        needed = servers_for_usual_load(bounds)
        if need is not None:
            needed = min(needed, need)
        if evacuated:
            bounds = bounds.without_domains(evacuated)
            # Orders there are placed anew when the evacuation has ended.
            state.orders = {
                key: order
                for key, order in state.orders.items()
                if key.domain not in evacuated
            }
        running = _count_running(service, usable)
        desired_counts = self._desired_counts(
            now,
            service,
            state,
            bounds,
            running,
            needed,
            is_measured=need is not None,
        )
        actions: list[Action] = []
        for key, desired in desired_counts.items():
            order = state.orders.setdefault(key, _Order())
            count = running.get(key, 0)
            if self._is_order_due(now, order, desired, count, bounds):
                order.pending = True
                actions.append(
                    OrderServers(
                        key=key, desired=desired, fence=fence, running=count
                    )
                )
        return actions

    def _desired_counts(
        self,
        now: float,
        service: ServiceId,
        state: _ServiceState,
        bounds: ScalingBounds,
        running: dict[OrderKey, int],
        needed: int,
        *,
        is_measured: bool,
    ) -> dict[OrderKey, int]:
        """Return how many servers should run, by the key of the order.

        `needed` is how many carry the usual load.
        """
        if not bounds.domain_prices:
            return {}
        per_domain = self._reclaimable_counts(
            now, needed, bounds, is_measured=is_measured
        )
        desired_counts: dict[OrderKey, int] = {}
        running_reclaimable: dict[FailureDomain, int] = {}
        refusing_domains: set[FailureDomain] = set()
        for domain in bounds.domain_prices:
            key = OrderKey(service=service, domain=domain, reclaimable=True)
            desired_counts[key] = per_domain[domain]
            running_reclaimable[domain] = running.get(key, 0)
            order = state.orders.get(key)
            if order is not None and order.recently_refused(now):
                refusing_domains.add(domain)
        dependable = sum(running_reclaimable.values())
        if refusing_domains:
            # Reclaims come in waves: the domain with most servers may be next.
            dependable -= max(running_reclaimable.values())
        shortfall = max(0, needed - dependable)
        if shortfall > 0:
            state.sufficient_since = now
        kept = _kept_on_demand(service, state, bounds, running)
        on_demand_total = shortfall
        if shortfall > 0 and _is_reclaimable_overdue(
            now, state, bounds, running
        ):
            # On-demand servers may occupy the places that the overdue ones
            # need, so some are stopped, as long as enough servers remain.
            on_demand_limit = ceil(needed * HEADROOM_FACTOR) - sum(
                running_reclaimable.values()
            )
            on_demand_total = max(
                on_demand_total, min(on_demand_limit, sum(kept.values()))
            )
        elif now - state.sufficient_since < SETTLE_S:
            on_demand_total = max(on_demand_total, sum(kept.values()))
        placement_order = sorted(
            kept,
            key=lambda key: (
                key.domain not in refusing_domains,
                bounds.domain_prices[key.domain],
            ),
        )
        room = {
            key: bounds.maximum
            - (
                running_reclaimable[key.domain]
                if key.domain in refusing_domains
                else per_domain[key.domain]
            )
            for key in placement_order
        }
        return desired_counts | _distribute(
            on_demand_total, placement_order, kept, room
        )

    def _reclaimable_counts(
        self,
        now: float,
        needed: int,
        bounds: ScalingBounds,
        *,
        is_measured: bool,
    ) -> dict[FailureDomain, int]:
        """Return how many reclaimable servers each domain should run."""
        returning = self._returning_domains(now, bounds)
        usual = _reclaimable_per_domain(needed, bounds)
        raised = _reclaimable_per_domain(
            needed, bounds.without_domains(returning)
        )
        per_domain = {
            domain: usual if domain in returning else raised
            for domain in bounds.domain_prices
        }
        if is_measured and not returning:
            for domain in _reduced_domains(needed, bounds):
                per_domain[domain] -= 1
        return per_domain

    def _is_order_due(
        self,
        now: float,
        order: _Order,
        desired: int,
        running: int,
        bounds: ScalingBounds,
    ) -> bool:
        if order.pending or now < order.next_at:
            return False
        if order.desired is None:
            return desired != running
        if order.desired != desired:
            return True
        return running < desired and now >= order.listed_by(bounds)


def _kept_on_demand(
    service: ServiceId,
    state: _ServiceState,
    bounds: ScalingBounds,
    running: Mapping[OrderKey, int],
) -> dict[OrderKey, int]:
    """Return the running on-demand servers that no order stops already."""
    kept = {}
    for domain in bounds.domain_prices:
        key = OrderKey(service=service, domain=domain, reclaimable=False)
        kept[key] = running.get(key, 0)
        order = state.orders.get(key)
        if order is not None and order.desired is not None:
            kept[key] = min(kept[key], order.desired)
    return kept


def _is_reclaimable_overdue(
    now: float,
    state: _ServiceState,
    bounds: ScalingBounds,
    running: Mapping[OrderKey, int],
) -> bool:
    """Return whether accepted orders brought too few reclaimable servers."""
    return any(
        key.reclaimable
        and order.desired is not None
        and running.get(key, 0) < order.desired
        and now >= order.listed_by(bounds)
        for key, order in state.orders.items()
    )


def _distribute(
    total: int,
    placement_order: Iterable[OrderKey],
    kept: Mapping[OrderKey, int],
    room: Mapping[OrderKey, int],
) -> dict[OrderKey, int]:
    """Distribute servers over the keys, in their order.

    Each key first keeps its running servers; only then is free room used.
    """
    desired_counts = dict.fromkeys(placement_order, 0)
    for limits in (kept, room):
        for key in desired_counts:
            added = min(total, max(0, limits[key] - desired_counts[key]))
            desired_counts[key] += added
            total -= added
    return desired_counts


def _count_running(
    service: ServiceId, usable: Iterable[Backend]
) -> dict[OrderKey, int]:
    # A key for each server would take most of the time of a tick.
    counts = Counter(
        (b.server.failure_domain, b.server.reclaimable) for b in usable
    )
    return {
        OrderKey(service=service, domain=domain, reclaimable=reclaimable): n
        for (domain, reclaimable), n in counts.items()
    }


def servers_for_usual_load(bounds: ScalingBounds) -> int:
    """Return how many servers carry the largest usual load of a service."""
    return ceil(bounds.maximum * len(bounds.domain_prices) * USUAL_LOAD_RATIO)


def _reclaimable_per_domain(needed: int, bounds: ScalingBounds) -> int:
    """Return how many reclaimable servers each domain should run.

    The rest suffices when one domain loses all of its own.
    """
    domains = len(bounds.domain_prices)
    per_domain = ceil(needed * HEADROOM_FACTOR / max(1, domains - 1))
    return max(bounds.minimum, min(bounds.maximum, per_domain))


def _reduced_domains(
    needed: int, bounds: ScalingBounds
) -> list[FailureDomain]:
    """Return the dearest domains that do with one server less than others.

    The same number in each domain may exceed what has to remain when a
    domain loses its servers, as it is rounded up.
    """
    per_domain = _reclaimable_per_domain(needed, bounds)
    if per_domain <= bounds.minimum:
        return []
    remaining = per_domain * (len(bounds.domain_prices) - 1)
    excess = max(0, remaining - ceil(needed * HEADROOM_FACTOR))
    by_price = sorted(
        bounds.domain_prices,
        key=lambda domain: bounds.domain_prices[domain],
        reverse=True,
    )
    return by_price[:excess]
