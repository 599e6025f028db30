"""The stored record of a version move: state, plan and outcome.

It also holds the state machine (`TRANSITIONS`) and the operators' actions.
"""

from dataclasses import asdict, dataclass, replace
from enum import StrEnum
from typing import Any, Final

from returns.result import Failure, Result, Success

from waxwingarch.core.base import Action, ServerId, ServiceId, VersionId


class MoveState(StrEnum):
    """The state of a move.

    Holding keeps the share below 1 while the versions are compared further.
    Taking back sends all requests to the old version and drains the new
    one's servers.
    """

    PLANNED = "planned"
    STARTING = "starting"
    CANARY = "canary"
    SHIFTING = "shifting"
    HOLDING = "holding"
    DONE = "done"
    TAKING_BACK = "taking back"
    TAKEN_BACK = "taken back"


class MoveEvent(StrEnum):
    """The events that change the state of a move.

    `HELD` means that the hold phase ended without suspicion, `DRAINED`
    that no request is in progress on the new version.
    """

    BEGIN = "begin"
    SERVERS_READY = "servers ready"
    EVIDENCE_SUFFICES = "evidence suffices"
    FULL_SHARE = "full share"
    HELD = "held"
    STOPPED = "stopped"
    OUT_OF_TIME = "out of time"
    CANCELLED = "cancelled"
    DRAINED = "drained"


ACTIVE_STATES: Final = (
    MoveState.PLANNED,
    MoveState.STARTING,
    MoveState.CANARY,
    MoveState.SHIFTING,
    MoveState.HOLDING,
)
TERMINAL_STATES: Final = (MoveState.DONE, MoveState.TAKEN_BACK)
END_EVENTS: Final = (
    MoveEvent.STOPPED,
    MoveEvent.OUT_OF_TIME,
    MoveEvent.CANCELLED,
)
TRANSITIONS: Final[dict[tuple[MoveState, MoveEvent], MoveState]] = {
    (MoveState.PLANNED, MoveEvent.BEGIN): MoveState.STARTING,
    (MoveState.STARTING, MoveEvent.SERVERS_READY): MoveState.CANARY,
    (MoveState.CANARY, MoveEvent.EVIDENCE_SUFFICES): MoveState.SHIFTING,
    (MoveState.SHIFTING, MoveEvent.FULL_SHARE): MoveState.HOLDING,
    (MoveState.HOLDING, MoveEvent.HELD): MoveState.DONE,
    (MoveState.TAKING_BACK, MoveEvent.DRAINED): MoveState.TAKEN_BACK,
} | {
    (state, event): MoveState.TAKING_BACK
    for state in ACTIVE_STATES
    for event in END_EVENTS
}


class OutcomeKind(StrEnum):
    """How a move ended, as shown to operators."""

    DONE = "done"
    BAD_VERSION = "bad version"
    OUT_OF_TIME = "not done in time"
    CANCELLED = "cancelled by an operator"


OUTCOMES: Final = {
    MoveEvent.HELD: OutcomeKind.DONE,
    MoveEvent.STOPPED: OutcomeKind.BAD_VERSION,
    MoveEvent.OUT_OF_TIME: OutcomeKind.OUT_OF_TIME,
    MoveEvent.CANCELLED: OutcomeKind.CANCELLED,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """How, when and why a move ended; `explanation` is for operators."""

    kind: OutcomeKind
    at_unix: float
    explanation: str


@dataclass(frozen=True, kw_only=True, slots=True)
class RouteShare:
    """The share of one route's requests that go to the new version."""

    route: str
    share: float


@dataclass(frozen=True, kw_only=True, slots=True)
class MoveRecord:
    """One version move; all times are in Unix seconds.

    Shares are fractions of requests between 0 and 1. The new version gets
    `share`. During the canary, the routes in `route_shares` have a share
    of their own, and in a burst, the last `burst_s` seconds of each period
    since `canary_since_unix`, all routes have `burst_share`. A
    `concentrated` canary is at full load without bursts.

    `control_servers` run the old version under the same load as
    `canary_servers`, for comparison. `orders` counts the start orders
    given so far; the last one was given at `ordered_unix`. `fencing` is
    the fencing token of the last writer.
    """

    move_id: str
    service: ServiceId
    old_version: VersionId
    new_version: VersionId
    state: MoveState
    created_unix: float
    deadline_unix: float
    shift_from_unix: float
    hold_from_unix: float
    hold_until_unix: float
    canary_since_unix: float = 0.0
    share: float = 0.0
    route_shares: tuple[RouteShare, ...] = ()
    concentrated: bool = False
    burst_share: float = 0.0
    burst_s: float = 0.0
    canary_servers: tuple[ServerId, ...] = ()
    control_servers: tuple[ServerId, ...] = ()
    orders: int = 0
    ordered_unix: float = 0.0
    fencing: int = 0
    outcome: Outcome | None = None

    @property
    def active(self) -> bool:
        """Whether the move may still succeed, or be stopped."""
        return self.state in ACTIVE_STATES

    @property
    def ended(self) -> bool:
        """Whether the move is in a terminal state."""
        return self.state in TERMINAL_STATES

    def explain(self) -> str:
        """Return the state or the outcome of the move, for the operator."""
        summary = (
            f"move {self.move_id} of {self.service} from "
            f"{self.old_version} to {self.new_version}: {self.state}"
        )
        if self.outcome is None:
            return f"{summary}, {self.share:.0%} of requests moved"
        return f"{summary} ({self.outcome.kind}): {self.outcome.explanation}"


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteMove(Action):
    """Write the move's row if its version is still `expected_version`.

    The actions after it in the same list may be carried out only once the
    write is committed.
    """

    record: MoveRecord
    expected_version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class MoveConflict:
    """The reason why an operator's action isn't possible.

    Either another move of the service is under way, or the move is past
    the states in which it can be taken back.
    """

    move_id: str
    state: MoveState
    message: str


def start_move(
    record: MoveRecord, current: MoveRecord | None, current_version: int
) -> Result[WriteMove, MoveConflict]:
    """Return the write that starts a move, or the move that prevents it.

    Starting a move again, by its id, writes the current record unchanged.
    """
    if current is None or current.ended:
        return Success(
            WriteMove(record=record, expected_version=current_version)
        )
    if current.move_id == record.move_id:
        return Success(
            WriteMove(record=current, expected_version=current_version)
        )
    message = (
        f"move {current.move_id} of {current.service} is {current.state}; "
        f"wait for its end or run: waxwingctl move take-back "
        f"{current.move_id}"
    )
    return Failure(
        MoveConflict(
            move_id=current.move_id, state=current.state, message=message
        )
    )


def take_back(
    record: MoveRecord, version: int, unix_now: float, reason: str
) -> Result[WriteMove, MoveConflict]:
    """Return the write by which an operator takes an active move back."""
    if not record.active:
        message = (
            f"move {record.move_id} is {record.state} and can't be taken "
            "back; start a move to the wanted version instead"
        )
        return Failure(
            MoveConflict(
                move_id=record.move_id, state=record.state, message=message
            )
        )
    ended = end_move(record, MoveEvent.CANCELLED, unix_now, reason)
    return Success(WriteMove(record=ended, expected_version=version))


def end_move(
    record: MoveRecord, event: MoveEvent, unix_now: float, explanation: str
) -> MoveRecord:
    """Return the record after an event that decides the outcome."""
    outcome = Outcome(
        kind=OUTCOMES[event], at_unix=unix_now, explanation=explanation
    )
    state = TRANSITIONS[record.state, event]
    share = 1.0 if state is MoveState.DONE else 0.0
    return replace(
        record,
        state=state,
        share=share,
        route_shares=(),
        burst_share=0.0,
        concentrated=False,
        outcome=outcome,
    )


def to_json(record: MoveRecord) -> dict[str, Any]:
    """Return the record as JSON types, for the table service."""
    return asdict(record)


def from_json(data: dict[str, Any]) -> MoveRecord:
    """Return the record of a row; raise ValueError if it is malformed."""
    fields = dict(data)
    try:
        fields["state"] = MoveState(fields["state"])
        fields["route_shares"] = tuple(
            RouteShare(**share) for share in fields.get("route_shares", ())
        )
        for name in ("canary_servers", "control_servers"):
            fields[name] = tuple(fields.get(name, ()))
        outcome = fields.get("outcome")
        if outcome is not None:
            kind = OutcomeKind(outcome["kind"])
            fields["outcome"] = Outcome(**(outcome | {"kind": kind}))
        return MoveRecord(**fields)
    except (KeyError, TypeError) as exc:
        raise ValueError(
            f"not a move record ({exc}); delete the row or run the "
            "version that wrote it"
        ) from exc
