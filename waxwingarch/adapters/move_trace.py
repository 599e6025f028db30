"""Loading of recorded version moves and their replay through the core.

A trace is JSON lines, `{"at": unix seconds, "event": {...}}`. The replay
passes each event to the evidence recorder and move driver that the daemon
runs as well, so that the same trace always yields the same states.
"""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Final, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from waxwingarch.core.base import HostId, ServerId, ServiceId, VersionId
from waxwingarch.core.cluster.items import StopMark
from waxwingarch.core.moves.evidence import EvidenceRecorder
from waxwingarch.core.moves.move import (
    MoveDriver,
    MoveView,
    make_stop_mark,
    may_close,
    plan_move,
)
from waxwingarch.core.moves.move_counts import LoadBand
from waxwingarch.core.moves.move_policy import PacedPolicy
from waxwingarch.core.moves.move_record import MoveRecord, MoveState, WriteMove
from waxwingarch.exceptions import SettingsError

HOST: Final = HostId("replay")
SERVER_START_S: Final = 30.0


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class TraceCell(_Model):
    """Requests of one version and route that ended in one window."""

    version: str
    route: str
    band: LoadBand
    canary: bool = False
    failed: int = Field(ge=0)
    latencies_s: tuple[float, ...]


class TraceStart(_Model):
    """The event of an operator who requests a move."""

    kind: Literal["start"]
    move_id: str
    service: str
    old_version: str
    new_version: str
    deadline_unix: float


class TraceWindow(_Model):
    """One evidence window.

    `holder` is false when no host held the lease of the move duty, so
    that the move's record could not be written.
    """

    kind: Literal["window"]
    cells: tuple[TraceCell, ...]
    new_servers: tuple[str, ...]
    old_servers: tuple[str, ...]
    needed: int = Field(ge=1)
    full_load_share: float = Field(ge=0)
    holder: bool = True


class TraceLine(_Model):
    """One line of a trace; `at` is in Unix seconds."""

    at: float
    event: Annotated[TraceStart | TraceWindow, Field(discriminator="kind")]


@dataclass(kw_only=True, slots=True)
class Replay:
    """The result of a replay.

    `states` has the time of each state change; `marked_at` is when the
    first stop mark was made.
    """

    record: MoveRecord | None = None
    states: list[tuple[float, MoveState]] = field(default_factory=list)
    marked_at: float | None = None


def load_trace(path: Path) -> list[TraceLine]:
    """Return the lines of a trace; raises `SettingsError`."""
    lines: list[TraceLine] = []
    text = path.read_text(encoding="utf-8")
    for number, line in enumerate(text.splitlines(), start=1):
        try:
            lines.append(TraceLine.model_validate_json(line))
        except ValidationError as exc:
            raise SettingsError(
                f"{path.name}, line {number}: not an event of a move "
                f"({exc.error_count()} faults); record the trace again"
            ) from exc
    return lines


class MoveReplay:
    """Replays the events of one trace in the core, as a single host."""

    def __init__(self) -> None:
        self.result = Replay()
        self._driver = MoveDriver(PacedPolicy())
        self._evidence = EvidenceRecorder(HOST, 1)
        self._marks: tuple[StopMark, ...] = ()

    def run(self, lines: list[TraceLine]) -> Replay:
        """Replay all lines and return the result."""
        for line in lines:
            if isinstance(line.event, TraceStart):
                self._handle_start(line.at, line.event)
            else:
                self._handle_window(line.at, line.event)
        return self.result

    def _handle_start(self, at: float, event: TraceStart) -> None:
        record = plan_move(
            PacedPolicy(),
            move_id=event.move_id,
            service=ServiceId(event.service),
            old_version=VersionId(event.old_version),
            new_version=VersionId(event.new_version),
            created_unix=at,
            deadline_unix=event.deadline_unix,
        )
        self._evidence.watch(
            record.move_id,
            service=record.service,
            old=record.old_version,
            new=record.new_version,
            duration_s=record.deadline_unix - at,
        )
        self._store_record(at, record)

    def _handle_window(self, at: float, event: TraceWindow) -> None:
        record = self.result.record
        if record is None:
            return
        for cell in event.cells:
            self._record_cell(at, record, cell)
        verdict = self._evidence.verdict(at, record.move_id)
        mark = make_stop_mark(record, verdict)
        if mark and not self._marks:
            self._marks = (mark,)
            self._evidence.record_stop_mark(record.move_id)
            self.result.marked_at = at
        if may_close(record, at):
            self._evidence.close(record.move_id)
        if event.holder:
            self._tick_driver(at, record, event)

    def _record_cell(
        self, at: float, record: MoveRecord, cell: TraceCell
    ) -> None:
        outcomes = [(True, s) for s in cell.latencies_s]
        outcomes += [(False, 0.0)] * cell.failed
        for ok, latency_s in outcomes:
            self._evidence.record_outcome(
                at,
                record.service,
                VersionId(cell.version),
                cell.route,
                cell.band,
                ok,
                latency_s,
                cell.canary,
            )

    def _tick_driver(
        self, at: float, record: MoveRecord, event: TraceWindow
    ) -> None:
        closed = self._evidence.closed_hosts(record.move_id)
        view = MoveView(
            unix_now=at,
            record=record,
            record_version=len(self.result.states),
            fencing=1,
            stop_marks=self._marks,
            verdict=self._evidence.verdict(at, record.move_id),
            new_servers=tuple(ServerId(s) for s in event.new_servers),
            old_servers=tuple(ServerId(s) for s in event.old_servers),
            starting_new=0,
            start_s=SERVER_START_S,
            needed=event.needed,
            full_load_share=event.full_load_share,
            route_shares=self._evidence.route_shares(record.move_id),
            new_running=0,
            open_hosts=() if HOST in closed else (HOST,),
        )
        for action in self._driver.tick(view):
            if isinstance(action, WriteMove):
                self._store_record(at, action.record)

    def _store_record(self, at: float, record: MoveRecord) -> None:
        """Keep the record as written, and note a change of its state."""
        previous = self.result.record
        self.result.record = record
        if previous is None or previous.state is not record.state:
            self.result.states.append((at, record.state))
