"""Orders of servers: mostly reclaimable, enough left when a domain's go.

Reclaimable servers are spread over the failure domains so that the rest
carries the load when one domain loses all of them at once. Others fill
what the reclaimable ones do not reach, where none of those are to be had
and then in the cheapest domains, and go when those serve again.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import ceil
from typing import Final

from waxwingarch.core.backends.registry import Backend
from waxwingarch.core.base import (
    Action,
    Event,
    FailureDomain,
    ServiceId,
)
from waxwingarch.core.routing.config import RoutedService, ScalingBounds

# A server that was ordered is listed within its boot time and this.
SHOW_S: Final = 1.5
# An order that failed or was refused is repeated after this long.
REPEAT_S: Final = 2.0
# The others are taken away only after the reclaimable servers have been
# enough for this long: they may just have started.
SETTLE_S: Final = 2.0
# Of the most that may be ordered, this part carries the usual load: the
# bounds of a deployment leave room for about twice that.
NEEDED_PART: Final = 0.5
# Reclaimable servers beyond those needed, for bursts that meet a reclaim:
# a boot takes longer than most bursts.
HEADROOM: Final = 1.5
# A domain that refused an order has none to give for about this long.
DRY_S: Final = 5.0


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderKey:
    """What one order is about."""

    service: ServiceId
    domain: FailureDomain
    reclaimable: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderServers(Action):
    """Order that so many servers run, if this host holds the duty.

    `running` are those of the key that may get requests now.
    """

    key: OrderKey
    desired: int
    fence: int
    running: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class ServersOrdered(Event):
    """The reply to an order; `refused` if none are to be had now."""

    key: OrderKey
    desired: int
    accepted: bool
    refused: bool = False


@dataclass(kw_only=True, slots=True)
class _Order:
    """The last order about a key; `desired` is what was accepted."""

    desired: int | None = None
    accepted_at: float = float("-inf")
    next_at: float = float("-inf")
    refused_at: float = float("-inf")
    pending: bool = False

    def shown_by(self, bounds: ScalingBounds) -> float:
        """Return when servers that were ordered should be listed."""
        return self.accepted_at + bounds.boot_s + SHOW_S

    def dry(self, now: float) -> bool:
        """Tell whether such servers were not to be had just now."""
        return now - self.refused_at < DRY_S


@dataclass(kw_only=True, slots=True)
class _Service:
    """What is remembered of one service."""

    enough_since: float
    orders: dict[OrderKey, _Order] = field(default_factory=dict)


class Autoscaler:
    """Works out and places the orders; only the holder acts."""

    def __init__(self) -> None:
        self._services: dict[ServiceId, _Service] = {}

    def tick(
        self,
        now: float,
        fence: int,
        services: Iterable[RoutedService],
        backends: Iterable[Backend],
    ) -> list[Action]:
        """Return the orders that are due."""
        known = list(backends)
        actions: list[Action] = []
        for service in services:
            if service.scaling is None:
                continue
            usable = [
                b
                for b in known
                if b.server.service == service.service and b.is_usable
            ]
            actions += self._service(
                now, fence, service.service, service.scaling, usable
            )
        return actions

    def handle_order_reply(self, now: float, event: ServersOrdered) -> None:
        """Take the reply to an order."""
        state = self._services.get(event.key.service)
        order = state.orders.get(event.key) if state else None
        if order is None:
            return
        order.pending = False
        if event.accepted:
            order.desired = event.desired
            order.accepted_at = now
        else:
            order.next_at = now + REPEAT_S
            if event.refused:
                order.refused_at = now

    def handle_duty_lost(self) -> None:
        """Forget all orders: another host holds the duty."""
        for state in self._services.values():
            state.orders.clear()

    def _service(
        self,
        now: float,
        fence: int,
        service: ServiceId,
        bounds: ScalingBounds,
        usable: list[Backend],
    ) -> list[Action]:
        state = self._services.get(service)
        if state is None:
            if not usable:
                return []
            state = _Service(enough_since=now)
            self._services[service] = state
        running = _count(service, usable)
        wanted = self._wanted(now, service, state, bounds, running)
        actions: list[Action] = []
        for key, desired in wanted.items():
            order = state.orders.setdefault(key, _Order())
            count = running.get(key, 0)
            if self._is_due(now, order, desired, count, bounds):
                order.pending = True
                actions.append(
                    OrderServers(
                        key=key, desired=desired, fence=fence, running=count
                    )
                )
        return actions

    def _wanted(
        self,
        now: float,
        service: ServiceId,
        state: _Service,
        bounds: ScalingBounds,
        running: dict[OrderKey, int],
    ) -> dict[OrderKey, int]:
        """Return the number of servers to run, by order."""
        needed = _needed(bounds)
        each = _reclaimable_each(needed, bounds)
        wanted: dict[OrderKey, int] = {}
        taken: dict[FailureDomain, int] = {}
        dry: set[FailureDomain] = set()
        for domain in bounds.domain_prices:
            key = OrderKey(service=service, domain=domain, reclaimable=True)
            wanted[key] = each
            taken[domain] = running.get(key, 0)
            order = state.orders.get(key)
            if order is not None and order.dry(now):
                dry.add(domain)
        sure = sum(taken.values())
        if dry:
            # Reclaims come in waves: the largest domain may be next.
            sure -= max(taken.values())
        lacking = max(0, needed - sure)
        if lacking > 0:
            state.enough_since = now
        keep = _kept(service, state, bounds, running)
        total = lacking
        if lacking > 0 and _overdue(now, state, bounds, running):
            # Some hold the places of reclaimable servers: they make room
            # while enough are left.
            spare = ceil(needed * HEADROOM) - sum(taken.values())
            total = max(total, min(spare, sum(keep.values())))
        elif now - state.enough_since < SETTLE_S:
            total = max(total, sum(keep.values()))
        first = sorted(
            keep,
            key=lambda key: (
                key.domain not in dry,
                bounds.domain_prices[key.domain],
            ),
        )
        room = {
            key: bounds.maximum
            - (taken[key.domain] if key.domain in dry else each)
            for key in first
        }
        return wanted | _place(total, first, keep, room)

    def _is_due(
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
        return running < desired and now >= order.shown_by(bounds)


def _kept(
    service: ServiceId,
    state: _Service,
    bounds: ScalingBounds,
    running: Mapping[OrderKey, int],
) -> dict[OrderKey, int]:
    """Return the others that run and were not given up already."""
    keep = {}
    for domain in bounds.domain_prices:
        key = OrderKey(service=service, domain=domain, reclaimable=False)
        keep[key] = running.get(key, 0)
        order = state.orders.get(key)
        if order is not None and order.desired is not None:
            keep[key] = min(keep[key], order.desired)
    return keep


def _overdue(
    now: float,
    state: _Service,
    bounds: ScalingBounds,
    running: Mapping[OrderKey, int],
) -> bool:
    """Tell whether reclaimable servers were promised and did not come."""
    return any(
        key.reclaimable
        and order.desired is not None
        and running.get(key, 0) < order.desired
        and now >= order.shown_by(bounds)
        for key, order in state.orders.items()
    )


def _place(
    total: int,
    first: Iterable[OrderKey],
    keep: Mapping[OrderKey, int],
    room: Mapping[OrderKey, int],
) -> dict[OrderKey, int]:
    """Spread servers over the keys: those that run stay where they are."""
    wanted = dict.fromkeys(first, 0)
    for limits in (keep, room):
        for key in wanted:
            more = min(total, max(0, limits[key] - wanted[key]))
            wanted[key] += more
            total -= more
    return wanted


def _count(
    service: ServiceId, usable: Iterable[Backend]
) -> dict[OrderKey, int]:
    running: dict[OrderKey, int] = {}
    for backend in usable:
        key = OrderKey(
            service=service,
            domain=backend.server.failure_domain,
            reclaimable=backend.server.reclaimable,
        )
        running[key] = running.get(key, 0) + 1
    return running


def _needed(bounds: ScalingBounds) -> int:
    """Return how many servers carry the usual load."""
    return ceil(bounds.maximum * len(bounds.domain_prices) * NEEDED_PART)


def _reclaimable_each(needed: int, bounds: ScalingBounds) -> int:
    """Return how many a domain, so that one domain may lose all."""
    domains = len(bounds.domain_prices)
    each = ceil(needed * HEADROOM / max(1, domains - 1))
    return max(bounds.minimum, min(bounds.maximum, each))
