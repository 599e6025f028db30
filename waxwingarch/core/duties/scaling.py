"""Orders of servers: mostly reclaimable, enough left when a domain's go.

Reclaimable servers are spread over the failure domains so that the rest
carries the load when one domain loses all of them at once. Others are
kept until the reclaimable ones serve, and come back while none are to be
had.
"""

from collections.abc import Iterable
from dataclasses import dataclass
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

# An order is repeated when the listing does not show it after the boot
# time and this.
SHOW_S: Final = 3.0
# After a refusal nothing more is asked of a domain for this long.
REFUSED_S: Final = 3.0
# Servers that are taken away get no work while they drain: the number is
# lowered only after the others have served for this long.
SETTLE_S: Final = 1.0


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
    desired: int | None = None
    asked_at: float = float("-inf")
    pending: bool = False
    blocked_until: float = float("-inf")


class ScalingDuty:
    """Works out and places the orders; only the holder acts."""

    def __init__(self) -> None:
        self._orders: dict[OrderKey, _Order] = {}
        self._enough_since: dict[ServiceId, float] = {}
        self._needed: dict[ServiceId, int] = {}

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
            if service.scaling is not None:
                actions += self._service(now, fence, service, known)
        return actions

    def ordered(self, now: float, event: ServersOrdered) -> None:
        """Take the reply to an order."""
        order = self._orders.setdefault(event.key, _Order())
        order.pending = False
        if event.accepted:
            order.desired = event.desired
            return
        order.desired = None
        order.blocked_until = now + REFUSED_S

    def lost(self) -> None:
        """Forget all orders: another host holds the duty."""
        self._orders.clear()
        self._enough_since.clear()

    def _service(
        self,
        now: float,
        fence: int,
        service: RoutedService,
        known: list[Backend],
    ) -> list[Action]:
        bounds = service.scaling
        assert bounds is not None
        own = [b for b in known if b.server.service == service.service]
        usable = [b for b in own if b.usable]
        needed = self._needed.setdefault(service.service, len(usable))
        each = _reclaimable_each(needed, bounds)
        ready = sum(b.server.reclaimable for b in usable)
        enough = ready >= each * (len(bounds.domain_prices) - 1)
        since = self._enough_since.setdefault(service.service, now)
        if not enough:
            self._enough_since[service.service] = now
        lower = enough and now - since >= SETTLE_S
        actions: list[Action] = []
        for domain in sorted(bounds.domain_prices):
            key = OrderKey(
                service=service.service, domain=domain, reclaimable=True
            )
            actions += self._place(now, fence, key, each, bounds)
            if lower:
                key = OrderKey(
                    service=service.service, domain=domain, reclaimable=False
                )
                actions += self._place(now, fence, key, 0, bounds)
        return actions

    def _place(
        self,
        now: float,
        fence: int,
        key: OrderKey,
        desired: int,
        bounds: ScalingBounds,
    ) -> list[Action]:
        order = self._orders.setdefault(key, _Order())
        if order.pending or now < order.blocked_until:
            return []
        if order.desired == desired:
            return []
        order.pending = True
        order.asked_at = now
        return [OrderServers(key=key, desired=desired, fence=fence)]


def _reclaimable_each(needed: int, bounds: ScalingBounds) -> int:
    """Return how many a domain, so that one domain may lose all."""
    domains = len(bounds.domain_prices)
    each = ceil(needed / max(1, domains - 1))
    return max(bounds.minimum, min(bounds.maximum, each))
