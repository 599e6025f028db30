"""What is ordered, decided and told of a version move."""

from dataclasses import dataclass
from enum import StrEnum

from waxwingarch.core.base import Action, Event, ServiceId, VersionId


class RolloutPhase(StrEnum):
    """How far a move is.

    HELD: whether it was stopped before is not known here yet.
    """

    HELD = "held"
    TRIAL = "trial"
    SHIFTED = "shifted"
    STOPPED = "stopped"
    COMPLETED = "completed"


class RolloutState(StrEnum):
    """What the operator is told."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled back"


@dataclass(frozen=True, kw_only=True, slots=True)
class RolloutOrder:
    """An operator's order; `number` grows with each order of a service."""

    service: ServiceId
    target: VersionId
    duration_s: float
    number: int

    @property
    def rollout_id(self) -> str:
        """Return the name under which its evidence is counted."""
        return f"{self.service}/{self.number}"


@dataclass(frozen=True, kw_only=True, slots=True)
class RolloutPhaseReport:
    """What a host tells the others of a move."""

    rollout_id: str
    phase: RolloutPhase


# Events


@dataclass(frozen=True, kw_only=True, slots=True)
class RolloutsRead(Event):
    """The orders in force, one a service at most."""

    orders: tuple[RolloutOrder, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class StopsRead(Event):
    """The moves that were stopped, by their ids; None if that failed."""

    stopped: frozenset[str] | None


@dataclass(frozen=True, kw_only=True, slots=True)
class StopMarked(Event):
    """A stop mark was written, or that failed."""

    rollout_id: str
    written: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class RolloutStatusReported(Event):
    """The state that the operator reads now; None if the write failed."""

    rollout_id: str
    state: RolloutState | None


# Actions


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadStops(Action):
    """Read the stop marks."""


@dataclass(frozen=True, kw_only=True, slots=True)
class MarkStopped(Action):
    """Write a stop mark that outlives all processes."""

    rollout_id: str
    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportRolloutStatus(Action):
    """Tell the operator a state, unless an end was told before."""

    order: RolloutOrder
    state: RolloutState
