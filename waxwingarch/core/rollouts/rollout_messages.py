"""Orders, phases, events and actions of version moves."""

from dataclasses import dataclass
from enum import StrEnum

from waxwingarch.core.base import Action, Event, ServiceId, VersionId
from waxwingarch.core.moves.move_counts import Cell
from waxwingarch.core.moves.move_judge import Verdict
from waxwingarch.core.store_version import count_of, era_of


class RolloutPhase(StrEnum):
    """How far a version move is; a host only goes on to a later phase.

    HELD: this host has not read yet whether the move was stopped before;
    its requests go to the old versions.
    TRIAL: a small share of the requests goes to the new version.
    SHIFTED: all requests go to the new version.
    STOPPED: all requests go to the old versions.
    COMPLETED: the move has ended with the new version.
    """

    HELD = "held"
    TRIAL = "trial"
    SHIFTED = "shifted"
    STOPPED = "stopped"
    COMPLETED = "completed"


class RolloutState(StrEnum):
    """State of a version move as the operator reads it."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled back"


@dataclass(frozen=True, kw_only=True, slots=True)
class RolloutOrder:
    """An operator's order to move a service's requests to a version.

    `number` grows with each order for a service: it is the version of the
    order's row. `duration_s` is the time from the order's first reading by
    a host to the deadline of the move.
    """

    service: ServiceId
    target: VersionId
    duration_s: float
    number: int

    @property
    def rollout_id(self) -> str:
        """Return the id under which stop marks and evidence are kept.

        It stays the same for a row that the store has from an older copy.
        """
        return f"{self.service}/{count_of(self.number)}/{self.target}"

    def is_of_later_era(self, other: "RolloutOrder") -> bool:
        """Return whether the store has returned from a copy between both."""
        return era_of(self.number) > era_of(other.number)

    def has_same_row(self, other: "RolloutOrder") -> bool:
        """Return whether both are one row, which was in the store's copy."""
        return count_of(self.number) == count_of(other.number)

    def asks_the_same(self, other: "RolloutOrder") -> bool:
        """Return whether both ask for the same move."""
        return (
            self.target == other.target and self.duration_s == other.duration_s
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class RolloutPhaseReport:
    """The phase of a move on one host, as it reports it to its peers."""

    rollout_id: str
    phase: RolloutPhase


@dataclass(frozen=True, kw_only=True, slots=True)
class RolloutProgress:
    """The phase of a move on one host, with the evidence it has by now.

    `new` and `old` are the counts of all hosts; `reason` says why the move
    was stopped, `trust_gap` what the evidence for the version lacks.
    """

    rollout_id: str
    phase: RolloutPhase
    reason: str
    remaining_s: float
    new: Cell
    old: Cell
    verdict: Verdict | None
    trust_gap: str


# Events


@dataclass(frozen=True, kw_only=True, slots=True)
class RolloutsRead(Event):
    """The orders in force were read, at most one for each service."""

    orders: tuple[RolloutOrder, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class StopsRead(Event):
    """The ids of stopped moves were read; None if the read failed."""

    stopped: frozenset[str] | None


@dataclass(frozen=True, kw_only=True, slots=True)
class StopMarked(Event):
    """The write of a stop mark has ended; `written` if it succeeded."""

    rollout_id: str
    written: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class RolloutStatusReported(Event):
    """A write of the state that the operator reads has ended.

    `state` is what the operator reads now, None if that is not known.
    """

    rollout_id: str
    state: RolloutState | None


# Actions


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadStops(Action):
    """Read all stop marks from the store."""


@dataclass(frozen=True, kw_only=True, slots=True)
class MarkStopped(Action):
    """Write a stop mark to the store, where it outlives all processes."""

    rollout_id: str
    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportRolloutStatus(Action):
    """Write the state for the operator, unless a final one is there."""

    order: RolloutOrder
    state: RolloutState
