"""Settings of a front node (a host on the platform), from an INI file."""

from pathlib import Path
from typing import Annotated, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    model_validator,
)

from waxwingarch.adapters.ini import (
    Address,
    Name,
    parse_ini,
    read_text,
    validate,
)
from waxwingarch.adapters.log_stream import Level
from waxwingarch.core.backends.cold_servers import ColdBounds
from waxwingarch.core.base import FailureDomain, HostId
from waxwingarch.core.front_messages import FrontBounds, FrontIdentity
from waxwingarch.core.rollouts.exposure import ExposureBounds

PositiveSeconds = Annotated[float, Field(gt=0)]
PositiveInt = Annotated[int, Field(gt=0)]
NotNegative = Annotated[float, Field(ge=0)]
MS_PER_S = 1000
BYTES_PER_MB = 1_000_000
# The share of the memory that bodies may hold: the process itself, buffers of
# connections and copies that are being made take the rest.
HELD_MEMORY_RATIO = 0.2


def _normalize_list(value: str) -> str:
    """Return names separated by commas or spaces as separated by spaces."""
    return " ".join(value.replace(",", " ").split())


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class HostSection(_Section):
    """The identity of this host.

    `first_start` is true when all hosts of the deployment start for the
    first time.
    """

    name: Name
    failure_domain: Name
    first_start: bool = False


class ListenSection(_Section):
    """Addresses that this host listens on; `admin` may be empty."""

    callers: Address
    readiness: Address
    peers: Address
    metrics: Address
    admin: Address | Literal[""] = ""


class SecuritySection(_Section):
    """The key that operators send to the admin address."""

    operator_key: Annotated[str, Field(min_length=8)] | Literal[""] = ""


class StoreSection(_Section):
    """Address of the platform's row store."""

    address: Address


class DutiesSection(_Section):
    """Address of the service that performs duties, and their kinds."""

    address: Address | Literal[""] = ""
    kinds: Annotated[str, AfterValidator(_normalize_list)] = ""


class BoundsSection(_Section):
    """Limits and windows of a deployment.

    `cold_overshoot` and `cold_slack` are set only in a deployment that bounds
    the requests of cold servers.

    `memory_mb` is the memory that this process may use in all. Its default
    is that of the smallest machines of a deployment. Without
    `evacuation_ms`, failure domains can't be evacuated.
    """

    resend_ratio: NotNegative = 0.2
    resend_extra: NotNegative = 50.0
    resend_window_s: PositiveSeconds = 10.0
    rate_window_s: PositiveSeconds = 8.0
    lease_ms: PositiveSeconds = 3000.0
    usage_window_s: PositiveSeconds = 5.0
    config_known_ms: PositiveSeconds = 2000.0
    leaving_known_ms: PositiveSeconds = 2000.0
    stop_grace_s: PositiveSeconds = 8.0
    exposure_share: NotNegative = 0.1
    exposure_extra: NotNegative = 50.0
    evacuation_ms: PositiveSeconds | None = None
    cold_overshoot: NotNegative | None = None
    cold_slack: NotNegative = 0.0
    memory_mb: PositiveInt = 160


class LogSection(_Section):
    """The log level, and the limit of lines per second of one kind."""

    lines_per_s: Annotated[int, Field(gt=0)] = 50
    level: Level = Level.INFO


class FrontSettings(BaseModel):
    """All settings of the daemon of a front node."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    host: HostSection
    listen: ListenSection
    store: StoreSection
    duties: DutiesSection = DutiesSection()
    bounds: BoundsSection = BoundsSection()
    log: LogSection = LogSection()
    security: SecuritySection = SecuritySection()

    @model_validator(mode="after")
    def _check_operator_key(self) -> "FrontSettings":
        if self.listen.admin and not self.security.operator_key:
            raise ValueError(
                "[listen] admin needs [security] operator_key: set it, or"
                " leave admin out"
            )
        return self

    def identity(self, incarnation: int) -> FrontIdentity:
        """Return this host's identity for the front node.

        Without an address for duties, the host takes on none.
        """
        kinds = self.duties.kinds.split() if self.duties.address else []
        return FrontIdentity(
            host=HostId(self.host.name),
            incarnation=incarnation,
            domain=FailureDomain(self.host.failure_domain),
            address=self.listen.peers,
            first_start=self.host.first_start,
            duties=frozenset(kinds),
        )

    def held_limit_bytes(self) -> int:
        """Return how many bytes of bodies the host holds at most."""
        return int(self.bounds.memory_mb * BYTES_PER_MB * HELD_MEMORY_RATIO)

    def front_bounds(self) -> FrontBounds:
        """Return the limits for the front node."""
        bounds = self.bounds
        known_within_ms = [bounds.config_known_ms, bounds.leaving_known_ms]
        evacuation_s = None
        if bounds.evacuation_ms is not None:
            known_within_ms.append(bounds.evacuation_ms)
            evacuation_s = bounds.evacuation_ms / MS_PER_S
        return FrontBounds(
            resend_ratio=bounds.resend_ratio,
            resend_extra=bounds.resend_extra,
            resend_window_s=bounds.resend_window_s,
            rate_window_s=bounds.rate_window_s,
            lease_s=bounds.lease_ms / MS_PER_S,
            usage_window_s=bounds.usage_window_s,
            change_known_s=min(known_within_ms) / MS_PER_S,
            exposure=ExposureBounds(
                share=bounds.exposure_share, extra=bounds.exposure_extra
            ),
            evacuation_s=evacuation_s,
            cold=None
            if bounds.cold_overshoot is None
            else ColdBounds(
                overshoot=bounds.cold_overshoot, slack=bounds.cold_slack
            ),
        )


def read_front_settings(path: Path) -> FrontSettings:
    """Read and validate a settings file; raises `SettingsError`."""
    source = str(path)
    return validate(FrontSettings, parse_ini(read_text(path), source), source)
