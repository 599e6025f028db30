"""Recorded version moves: loading a trace and replaying it in the core.

A trace is JSON lines, `{"at": unix seconds, "event": {...}}`. The replay
gives each event to the same evidence and driver that the daemon runs, so
one trace always gives the same states.
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
START_S: Final = 30.0


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class TraceCell(_Model):
    """Requests that ended in one window, of one version and route."""

    version: str
    route: str
    band: LoadBand
    canary: bool = False
    failed: int = Field(ge=0)
    latencies_s: tuple[float, ...]


class TraceStart(_Model):
    """An operator asked for a move."""

    kind: Literal["start"]
    move_id: str
    service: str
    old_version: str
    new_version: str
    deadline_unix: float


class TraceWindow(_Model):
    """One window; without `holder` no one could write the row."""

    kind: Literal["window"]
    cells: tuple[TraceCell, ...]
    new_servers: tuple[str, ...]
    old_servers: tuple[str, ...]
    needed: int = Field(ge=1)
    full_load_share: float = Field(ge=0)
    holder: bool = True


class TraceLine(_Model):
    """One line of a trace."""

    at: float
    event: Annotated[TraceStart | TraceWindow, Field(discriminator="kind")]


@dataclass(kw_only=True, slots=True)
class Replay:
    """What became of the move; `marked_at` is when it was stopped."""

    record: MoveRecord | None = None
    states: list[tuple[float, MoveState]] = field(default_factory=list)
    marked_at: float | None = None


def load_trace(path: Path) -> list[TraceLine]:
    """Return the lines of a trace; raise SettingsError on a bad one."""
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
    """Gives the events of one trace to the core, as a single host."""

    def __init__(self) -> None:
        self.result = Replay()
        self._driver = MoveDriver(PacedPolicy())
        self._book = EvidenceRecorder(HOST, 1)
        self._marks: tuple[StopMark, ...] = ()

    def run(self, lines: list[TraceLine]) -> Replay:
        """Replay all lines and return what became of the move."""
        for line in lines:
            if isinstance(line.event, TraceStart):
                self._start(line.at, line.event)
            else:
                self._window(line.at, line.event)
        return self.result

    def _start(self, at: float, event: TraceStart) -> None:
        record = plan_move(
            PacedPolicy(),
            move_id=event.move_id,
            service=ServiceId(event.service),
            old_version=VersionId(event.old_version),
            new_version=VersionId(event.new_version),
            created_unix=at,
            deadline_unix=event.deadline_unix,
        )
        self._book.watch(
            record.move_id,
            service=record.service,
            old=record.old_version,
            new=record.new_version,
            duration_s=record.deadline_unix - at,
        )
        self._keep(at, record)

    def _window(self, at: float, event: TraceWindow) -> None:
        record = self.result.record
        if record is None:
            return
        for cell in event.cells:
            self._count(at, record, cell)
        verdict = self._book.verdict(at, record.move_id)
        mark = make_stop_mark(record, verdict)
        if mark and not self._marks:
            self._marks = (mark,)
            self._book.record_stop_mark(record.move_id)
            self.result.marked_at = at
        if may_close(record, at):
            self._book.close(record.move_id)
        if event.holder:
            self._tick(at, record, event)

    def _count(self, at: float, record: MoveRecord, cell: TraceCell) -> None:
        outcomes = [(True, s) for s in cell.latencies_s]
        outcomes += [(False, 0.0)] * cell.failed
        for ok, latency_s in outcomes:
            self._book.record_outcome(
                at,
                record.service,
                VersionId(cell.version),
                cell.route,
                cell.band,
                ok,
                latency_s,
                cell.canary,
            )

    def _tick(self, at: float, record: MoveRecord, event: TraceWindow) -> None:
        closed = self._book.closed_hosts(record.move_id)
        view = MoveView(
            unix_now=at,
            record=record,
            record_version=len(self.result.states),
            fencing=1,
            stop_marks=self._marks,
            verdict=self._book.verdict(at, record.move_id),
            new_servers=tuple(ServerId(s) for s in event.new_servers),
            old_servers=tuple(ServerId(s) for s in event.old_servers),
            starting_new=0,
            start_s=START_S,
            needed=event.needed,
            full_load_share=event.full_load_share,
            route_shares=self._book.route_shares(record.move_id),
            new_running=0,
            open_hosts=() if HOST in closed else (HOST,),
        )
        for action in self._driver.tick(view):
            if isinstance(action, WriteMove):
                self._keep(at, action.record)

    def _keep(self, at: float, record: MoveRecord) -> None:
        before = self.result.record
        self.result.record = record
        if before is None or before.state is not record.state:
            self.result.states.append((at, record.state))
