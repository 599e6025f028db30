"""Orders to backend servers under a lease.

An order states the wished end, never a step, and carries the fencing
number. The holder reads back and repairs, for as long as an order of an
earlier holder may still arrive at a server that ignores the number.
"""

from dataclasses import dataclass
from typing import Final

from waxwingarch.core.base import Action, Event, ServerId, VersionId
from waxwingarch.core.duties.lease import LONGEST_ORDER_S, LeaseMachine

READ_BACK_INTERVAL_S: Final = 2.0
WATCH_S: Final = 2 * LONGEST_ORDER_S


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerConfig:
    """What a server is to become."""

    version: VersionId
    role: str
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerConfigRead(Event):
    """The reply to `ReadServerEnd`; `end` is None if it failed."""

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
    """Read what the server is."""

    server_id: ServerId


@dataclass(frozen=True, kw_only=True, slots=True)
class SendOrder(Action):
    """Order the wished end; idempotent by `order_id`.

    Ask the lease's `may_act` right before the first byte is written.
    """

    server_id: ServerId
    order_id: str
    fencing: int
    desired: ServerConfig


@dataclass(frozen=True, kw_only=True, slots=True)
class DesiredConfigReached(Action):
    """The server is what was wished, and stays watched for a while."""

    server_id: ServerId


class ServerOrders:
    """Brings one incarnation of a server to a wished end.

    `checks_fencing` says whether the server refuses old numbers.
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
        self._orders = 0
        self._refused_at = 0
        self._next_read = 0.0
        self._watch_until: float | None = None

    def tick(self, now: float, lease: LeaseMachine) -> list[Action]:
        """Return the next read, if one is due and the duty is held."""
        over = self._watch_until is not None and now >= self._watch_until
        if over or now < self._next_read or not self._may_act(now, lease):
            return []
        self._next_read = now + READ_BACK_INTERVAL_S
        return [ReadServerConfig(server_id=self.server_id)]

    def handle_config_read(
        self, now: float, event: ServerConfigRead, lease: LeaseMachine
    ) -> list[Action]:
        """Compare what was read; order again if it differs."""
        if event.config is None or event.incarnation != self._incarnation:
            return []
        if event.config == self.desired:
            return self._on_wished_end(now)
        self._watch_until = None
        if not self._may_act(now, lease):
            return []
        self._orders += 1
        order_id = (
            f"{lease.duty}-{lease.fencing}-{self.server_id}"
            f"-{self._incarnation}-{self._orders}"
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
        """Stop until this host holds a newer number than the server's."""
        self._refused_at = max(self._refused_at, event.current)

    def _on_wished_end(self, now: float) -> list[Action]:
        if self._watch_until is not None:
            return []
        self._watch_until = now + WATCH_S
        return [DesiredConfigReached(server_id=self.server_id)]

    def _may_act(self, now: float, lease: LeaseMachine) -> bool:
        if lease.fencing < self._refused_at:
            return False
        return lease.may_act(now, checks_fencing=self._checks_fencing)
