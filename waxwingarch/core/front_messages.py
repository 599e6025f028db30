"""Identity and bounds of a front node, and the events of its lifecycle."""

from dataclasses import dataclass, field

from waxwingarch.core.backends.cold_servers import ColdBounds
from waxwingarch.core.base import Action, Event, FailureDomain, HostId
from waxwingarch.core.rollouts.exposure import ExposureBounds
from waxwingarch.core.routing.config import RoutingConfig


@dataclass(frozen=True, kw_only=True, slots=True)
class FrontBounds:
    """Limits that a deployment sets.

    Over `resend_window_s` the resends for a service are at most
    `resend_ratio` of its requests plus `resend_extra`, over all hosts.
    Rate limits hold over each `rate_window_s`. `lease_s` is the term of the
    lease on the duties. Usage is reported by windows of `usage_window_s`.
    A change of the configuration or of a server has to be known on all
    hosts within `change_known_s`. Without `evacuation_s`, rows that evacuate
    a failure domain are ignored; with it, they have to be obeyed within it.
    `cold` bounds what a cold server gets.
    """

    resend_ratio: float = 0.2
    resend_extra: float = 50.0
    resend_window_s: float = 10.0
    rate_window_s: float = 8.0
    lease_s: float = 3.0
    usage_window_s: float = 5.0
    change_known_s: float = 2.0
    exposure: ExposureBounds = field(default_factory=ExposureBounds)
    evacuation_s: float | None = None
    cold: ColdBounds | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class FrontIdentity:
    """Identity of this host.

    `address` is where peers reach it. `first_start` says that no process
    of the deployment ran before. `duties` are the kinds of duty that this
    host may hold.
    """

    host: HostId
    incarnation: int
    domain: FailureDomain
    address: str
    first_start: bool
    duties: frozenset[str] = field(default_factory=frozenset)


@dataclass(frozen=True, kw_only=True, slots=True)
class FrontTick(Event):
    """A periodic step, with the boot clock and the time of day in seconds.

    The time of day is in Unix seconds.
    """

    boot_now: float
    unix_now: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigRead(Event):
    """The configuration row was read.

    `rows_version` is the version of the newest row of its table.
    """

    cfg: RoutingConfig
    rows_version: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class StopBegan(Event):
    """The process was asked to stop and begins to drain.

    What is in progress is ended at `ends_at`, on the node's clock.
    """

    ends_at: float = float("inf")


@dataclass(frozen=True, kw_only=True, slots=True)
class StopEnds(Event):
    """The process ends now, and with it what is still in progress."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigApplied(Action):
    """A configuration is in force from now on."""

    version: int
    idle_timeout_s: float
