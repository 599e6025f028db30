"""Orders to backend servers under a lease.

An order states the desired configuration, never a step towards it, and
carries the fencing number. The holder of the lease reads back the
configuration and repairs it, for as long as an order of an earlier
holder may still arrive at a server that ignores the number.
"""

from dataclasses import dataclass
from typing import Final

from waxwingarch.core.base import Action, Event, ServerId, VersionId
from waxwingarch.core.duties.lease import LONGEST_ORDER_S, LeaseMachine

READ_BACK_INTERVAL_S: Final = 2.0
# The configuration is read back for this long after it was as desired: twice
# the time in which an order of an earlier holder may still arrive.
WATCH_S: Final = 2 * LONGEST_ORDER_S


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerConfig:
    """The version, role and adapters that a server runs."""

    version: VersionId
    role: str
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerConfigRead(Event):
    """The reply to `ReadServerConfig`; `config` is None if that failed."""

    server_id: ServerId
    incarnation: int
    config: ServerConfig | None


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderRefused(Event):
    """The server has seen a newer fencing number."""

    server_id: ServerId
    current: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadServerConfig(Action):
    """Read the current configuration of a server."""

    server_id: ServerId


@dataclass(frozen=True, kw_only=True, slots=True)
class SendOrder(Action):
    """Order the desired configuration; idempotent by `order_id`.

    The sender checks `may_act` of the lease right before it writes the
    first byte.
    """

    server_id: ServerId
    order_id: str
    fencing: int
    desired: ServerConfig


@dataclass(frozen=True, kw_only=True, slots=True)
class DesiredConfigReached(Action):
    """The server has the desired configuration, and is still watched."""

    server_id: ServerId


class ServerOrders:
    """Brings one incarnation of a server to a desired configuration.

    `checks_fencing` tells whether the server refuses an old fencing
    number.
    """

    def __init__(
        self,
        *,
        server_id: ServerId,
        incarnation: int,
        checks_fencing: bool,
        desired: ServerConfig,
    ) -> None:
        self.server_id = server_id
        self.desired = desired
        self._incarnation = incarnation
        self._checks_fencing = checks_fencing
        self._order_count = 0
        self._newest_fencing = 0
        self._next_read_at = 0.0
        self._watch_until: float | None = None

    def tick(self, now: float, lease: LeaseMachine) -> list[Action]:
        """Return the next read, if one is due and the lease is held."""
        is_over = self._watch_until is not None and now >= self._watch_until
        if (
            is_over
            or now < self._next_read_at
            or not self._may_act(now, lease)
        ):
            return []
        self._next_read_at = now + READ_BACK_INTERVAL_S
        return [ReadServerConfig(server_id=self.server_id)]

    def handle_config_read(
        self, now: float, event: ServerConfigRead, lease: LeaseMachine
    ) -> list[Action]:
        """Send an order if the configuration that was read differs."""
        if event.config is None or event.incarnation != self._incarnation:
            return []
        if event.config == self.desired:
            return self._handle_desired_reached(now)
        self._watch_until = None
        if not self._may_act(now, lease):
            return []
        self._order_count += 1
        order_id = (
            f"{lease.duty}-{lease.fencing}-{self.server_id}"
            f"-{self._incarnation}-{self._order_count}"
        )
        return [
            SendOrder(
                server_id=self.server_id,
                order_id=order_id,
                fencing=lease.fencing,
                desired=self.desired,
            )
        ]

    def handle_order_refused(self, event: OrderRefused) -> None:
        """Stop until this host has a fencing number as new as the server's."""
        self._newest_fencing = max(self._newest_fencing, event.current)

    def _handle_desired_reached(self, now: float) -> list[Action]:
        if self._watch_until is not None:
            return []
        self._watch_until = now + WATCH_S
        return [DesiredConfigReached(server_id=self.server_id)]

    def _may_act(self, now: float, lease: LeaseMachine) -> bool:
        if lease.fencing < self._newest_fencing:
            return False
        return lease.may_act(now, checks_fencing=self._checks_fencing)
