"""Orders of servers: mostly reclaimable, enough left when a domain's go.

Reclaimable servers are spread over the failure domains so that the rest
carries the load when one domain loses all of them at once. Others fill
what the reclaimable ones do not reach, in the cheapest domains, and go
when those serve again.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import ceil
from typing import Final

from waxwingarch.core.backends.listing import Backend
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
    """Order that so many servers run, if this host holds the duty."""

    key: OrderKey
    desired: int
    fence: int


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

    def dry(self, now: float) -> bool:
        """Tell whether such servers were not to be had just now."""
        return now - self.refused_at < DRY_S


@dataclass(kw_only=True, slots=True)
class _Service:
    """What is remembered of one service."""

    enough_since: float
    orders: dict[OrderKey, _Order] = field(default_factory=dict)


class ScalingDuty:
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
                if b.server.service == service.service and b.usable
            ]
            actions += self._service(
                now, fence, service.service, service.scaling, usable
            )
        return actions

    def ordered(self, now: float, event: ServersOrdered) -> None:
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

    def lost(self) -> None:
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
            if self._is_due(now, order, desired, running.get(key, 0), bounds):
                order.pending = True
                actions.append(
                    OrderServers(key=key, desired=desired, fence=fence)
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
        domains = sorted(
            bounds.domain_prices, key=lambda d: bounds.domain_prices[d]
        )
        wanted: dict[OrderKey, int] = {}
        taken: dict[FailureDomain, int] = {}
        dry: set[FailureDomain] = set()
        for domain in domains:
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
        lacking = needed - sure
        if lacking > 0:
            state.enough_since = now
        settled = now - state.enough_since >= SETTLE_S
        for domain in domains:
            key = OrderKey(service=service, domain=domain, reclaimable=False)
            have = running.get(key, 0)
            held = taken[domain] if domain in dry else each
            room = max(0, bounds.maximum - held)
            share = min(max(0, lacking), room)
            lacking -= max(share, have)
            wanted[key] = share if settled else max(share, have)
        return wanted

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
        shown_by = order.accepted_at + bounds.boot_s + SHOW_S
        return running < desired and now >= shown_by


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
