"""Records of crashes and quarantined inputs, events and actions."""

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
class RequestInputs:
    """A request and the keys of its inputs.

    These are the shared parts of its prompt from the first to the deepest,
    then the whole request.
    """

    request_id: RequestId
    keys: tuple[str, ...]

    def depths(self) -> dict[str, int]:
        """Return how deep each input is."""
        return {key: n for n, key in enumerate(self.keys)}


@dataclass(frozen=True, kw_only=True, slots=True)
class Crash:
    """The end of one server process, as far as hosts have seen it.

    `at` is in Unix seconds. `inputs` are the shared parts of the requests
    that had not begun to be answered, with their depth in the prompt, and
    these requests as a whole, which are deeper than their parts. `refuted`
    means that the process went on. `in_rollout` means that its version was
    on trial.
    """

    server_id: ServerId
    incarnation: int
    domain: FailureDomain
    at: float
    inputs: Mapping[str, int]
    refuted: bool = False
    in_rollout: bool = False


class InputState(StrEnum):
    """State of an input that was quarantined.

    HELD: requests with it are refused.
    CLEARED: an answer with it went well; it is an input like any other.
    PROBATION: released after a time, or by an operator; one crash is
    enough to quarantine it again.
    """

    HELD = "held"
    CLEARED = "cleared"
    PROBATION = "probation"


class QuarantineOrigin(StrEnum):
    """Who decided on the state of an input."""

    CRASHES = "crashes"
    OPERATOR = "operator"


@dataclass(frozen=True, kw_only=True, slots=True)
class QuarantineEntry:
    """What the fleet decided about an input, which is known by its key.

    The entry with the highest `number` holds; it is the Unix time of the
    decision in milliseconds. `seen_at` is when a request with the input
    last came, in Unix seconds.
    """

    key: str
    number: int
    state: InputState
    origin: QuarantineOrigin
    seen_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class QuarantineReport:
    """What a host tells its peers about crashes and quarantined inputs.

    `sound` has, for the inputs under suspicion, when an answer with them
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
    """An operator quarantines an input, or lifts its quarantine."""

    key: str
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
    """This host learnt or decided a new state of an input; it is logged.

    `own` says that this host decided it, on the crashes of `servers`.
    """

    entry: QuarantineEntry
    own: bool
    servers: tuple[ServerId, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class CancelAttempt(Action):
    """Cancel the attempt of a request; its final response follows."""

    request_id: RequestId
