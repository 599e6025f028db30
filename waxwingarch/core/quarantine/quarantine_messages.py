"""Records of crashes and quarantined prompt parts, events and actions."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from waxwingarch.core.base import (
    Action,
    Event,
    FailureDomain,
    RequestId,
    ServerId,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Crash:
    """The end of one server process, as far as hosts have seen it.

    `at` is in Unix seconds. `parts` are the shared parts of the requests
    that had not begun to be answered, with their depth in the prompt.
    `refuted` means that the process went on. `in_rollout` means that its
    version was on trial.
    """

    server_id: ServerId
    incarnation: int
    domain: FailureDomain
    at: float
    parts: Mapping[str, int]
    refuted: bool = False
    in_rollout: bool = False


class PartState(StrEnum):
    """State of a prompt part that was quarantined.

    HELD: requests with it are refused.
    CLEARED: an answer with it went well; it is a part like any other.
    PROBATION: released after a time, or by an operator; one crash is
    enough to quarantine it again.
    """

    HELD = "held"
    CLEARED = "cleared"
    PROBATION = "probation"


class PartOrigin(StrEnum):
    """Who decided on the state of a part."""

    CRASHES = "crashes"
    OPERATOR = "operator"


@dataclass(frozen=True, kw_only=True, slots=True)
class QuarantineEntry:
    """What the fleet decided about a prompt part.

    The entry with the highest `number` holds; it is the Unix time of the
    decision in milliseconds. `seen_at` is when a request with the part last
    came, in Unix seconds.
    """

    part: str
    number: int
    state: PartState
    origin: PartOrigin
    seen_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class QuarantineReport:
    """What a host tells its peers about crashes and quarantined parts.

    `sound` has, for the parts under suspicion, when an answer with them
    last went well, in Unix seconds.
    """

    entries: tuple[QuarantineEntry, ...] = ()
    crashes: tuple[Crash, ...] = ()
    sound: Mapping[str, float] = field(default_factory=dict)


# Events


@dataclass(frozen=True, kw_only=True, slots=True)
class QuarantineRead(Event):
    """The entries in the store were read; None if the read failed."""

    entries: tuple[QuarantineEntry, ...] | None


@dataclass(frozen=True, kw_only=True, slots=True)
class QuarantineWritten(Event):
    """A write of the entries has ended; `written` if it succeeded."""

    written: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class QuarantineOrdered(Event):
    """An operator quarantines a prompt part, or lifts its quarantine."""

    part: str
    held: bool


# Actions


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadQuarantine(Action):
    """Read the entries from the store."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteQuarantine(Action):
    """Write the entries to the store, where they outlive all processes."""

    entries: tuple[QuarantineEntry, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class QuarantineChanged(Action):
    """This host learnt or decided a new state of a part; it is logged.

    `own` says that this host decided it, on the crashes of `servers`.
    """

    entry: QuarantineEntry
    own: bool
    servers: tuple[ServerId, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class CancelAttempt(Action):
    """Cancel the attempt of a request; its final response follows."""

    request_id: RequestId
