"""Who a host with routed exchanges is, and the events of its life."""

from dataclasses import dataclass, field

from waxwingarch.core.base import Action, Event, FailureDomain, HostId
from waxwingarch.core.rollouts.rollout_controller import ExposureBounds
from waxwingarch.core.routing.config import RoutingConfig


@dataclass(frozen=True, kw_only=True, slots=True)
class FrontBounds:
    """Limits of a deployment that the decisions keep.

    Durations are in seconds; `fleet` is how many hosts are known to be
    there at least.
    """

    resend_ratio: float = 0.2
    resend_extra: float = 50.0
    resend_window_s: float = 10.0
    rate_window_s: float = 8.0
    lease_s: float = 3.0
    usage_window_s: float = 5.0
    exposure: ExposureBounds = field(default_factory=ExposureBounds)


@dataclass(frozen=True, kw_only=True, slots=True)
class FrontIdentity:
    """Who this host is; `address` is where peers reach it."""

    host: HostId
    incarnation: int
    domain: FailureDomain
    address: str
    first_start: bool
    duties: frozenset[str] = field(default_factory=frozenset)


@dataclass(frozen=True, kw_only=True, slots=True)
class FrontTick(Event):
    """Time has passed: boot clock and time of day, in seconds."""

    boot_now: float
    unix_now: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigRead(Event):
    """The configuration row was read.

    `rows_version` is that of the newest row beside it.
    """

    cfg: RoutingConfig
    rows_version: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class StopBegan(Event):
    """The process was told to stop."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigApplied(Action):
    """A configuration came into force."""

    version: int
    idle_timeout_s: float
