"""What operators ask about version moves."""

import time
import uuid
from collections import Counter
from collections.abc import Callable
from typing import Any, Final

from pydantic import BaseModel, ConfigDict, Field
from returns.result import Failure, Result, Success

from waxwingarch.adapters.http_messages import (
    HttpRequest,
)
from waxwingarch.adapters.ini import Name
from waxwingarch.adapters.settings_moves import read_moves
from waxwingarch.core.base import ServiceId, VersionId
from waxwingarch.core.contract_node import ContractNode
from waxwingarch.core.moves.move import plan_move
from waxwingarch.core.moves.move_policy import PacedPolicy
from waxwingarch.core.moves.move_record import (
    MoveConflict,
    MoveRecord,
    MoveState,
    WriteMove,
    start_move,
    take_back,
    to_json,
)
from waxwingarch.exceptions import (
    ConflictError,
    PlatformUnavailableError,
    SettingsError,
)
from waxwingarch.ports.settings_store import MoveStore, StoredMove
from waxwingarch.tasks.admin import Admin, NotFoundError
from waxwingarch.tasks.operations import (
    MAX_WRITE_TRIES,
    call_deadline,
    last_part,
    parse_body,
)

MOVES_PATH: Final = "/admin/moves"
TAKE_BACK: Final = "/take-back"
TAKEN_BACK_STATES: Final = (MoveState.TAKING_BACK, MoveState.TAKEN_BACK)
DEFAULT_REASON: Final = "taken back by an operator"

Step = Callable[[StoredMove], Result[WriteMove, MoveConflict]]


class StartBody(BaseModel):
    """A move to start; `move_id` makes a repeated call harmless."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    service: Name
    version: Name
    by_unix: float = Field(allow_inf_nan=False)
    move_id: Name | None = None


class TakeBackBody(BaseModel):
    """Why a move is taken back."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    reason: str = Field(DEFAULT_REASON, max_length=500)


def move_view(record: MoveRecord) -> dict[str, Any]:
    """Return a move as JSON, with its explanation in words."""
    return {**to_json(record), "explanation": record.explain()}


class MoveOperations:
    """Starts, shows and takes back version moves."""

    def __init__(
        self,
        node: ContractNode,
        moves: MoveStore,
        unix_now: Callable[[], float] = time.time,
    ) -> None:
        self._node = node
        self._moves = moves
        self._unix_now = unix_now
        self._policy = PacedPolicy()

    def register(self, admin: Admin) -> None:
        """Add the operations to the operators' interface."""
        prefix = f"{MOVES_PATH}/"
        admin.add("GET", MOVES_PATH, self.async_list)
        admin.add("POST", MOVES_PATH, self.async_start)
        admin.add("GET", prefix, self.async_show, prefix=True)
        admin.add("POST", prefix, self.async_take_back, prefix=True)

    async def async_known(self) -> tuple[MoveRecord, ...]:
        """Return the last move of each service.

        With the table service down, as in force on this host.
        """
        try:
            return await self._moves.async_list(call_deadline())
        except PlatformUnavailableError:
            return read_moves(self._node.cluster.settings.history.snapshot)

    async def async_get(self, name: str) -> MoveRecord:
        """Return a move by id or service; raises `NotFoundError`."""
        known = await self.async_known()
        for record in known:
            if name in (record.move_id, record.service):
                return record
        ids = ", ".join(record.move_id for record in known)
        raise NotFoundError(f"no move {name}; there are: {ids or 'none'}")

    async def async_list(self, req: HttpRequest) -> Any:
        """List the last move of each service."""
        known = await self.async_known()
        return {"moves": [move_view(record) for record in known]}

    async def async_show(self, req: HttpRequest) -> Any:
        """Show one move."""
        name = last_part(req, f"{MOVES_PATH}/")
        return move_view(await self.async_get(name))

    async def async_start(self, req: HttpRequest) -> Any:
        """Start a move; raises `SettingsError`, `ConflictError`."""
        body = parse_body(StartBody, req)
        record = self._planned(body)
        service = ServiceId(body.service)
        return await self._async_write(
            service,
            lambda stored: start_move(record, stored.record, stored.version),
        )

    async def async_take_back(self, req: HttpRequest) -> Any:
        """Take a move back; raises `ConflictError`, `NotFoundError`."""
        name = last_part(req, f"{MOVES_PATH}/")
        if not name.endswith(TAKE_BACK):
            raise NotFoundError(f"POST {MOVES_PATH}/MOVE{TAKE_BACK} instead")
        body = parse_body(TakeBackBody, req)
        record = await self.async_get(name.removesuffix(TAKE_BACK))

        def step(stored: StoredMove) -> Result[WriteMove, MoveConflict]:
            current = stored.record
            if current is None or current.move_id != record.move_id:
                raise ConflictError(
                    f"move {record.move_id} is not the last one of"
                    f" {record.service}; run: waxwingctl move status"
                )
            if current.state in TAKEN_BACK_STATES:
                return Success(
                    WriteMove(record=current, expected_version=stored.version)
                )
            now = self._unix_now()
            return take_back(current, stored.version, now, body.reason)

        return await self._async_write(record.service, step)

    async def _async_write(self, service: ServiceId, step: Step) -> Any:
        """Read, decide and write; again where another change came first."""
        for _ in range(MAX_WRITE_TRIES):
            deadline = call_deadline()
            stored = await self._moves.async_get(service, deadline)
            result = step(stored)
            if isinstance(result, Failure):
                raise ConflictError(result.failure().message)
            write = result.unwrap()
            if write.record == stored.record:
                return move_view(write.record) | {"revision": stored.version}
            try:
                revision = await self._moves.async_write(write, deadline)
            except ConflictError:
                continue
            return move_view(write.record) | {"revision": revision}
        raise ConflictError("the settings keep changing: ask again")

    # A new move

    def _planned(self, body: StartBody) -> MoveRecord:
        now = self._unix_now()
        move_id = body.move_id or f"move-{uuid.uuid4().hex[:8]}"
        record = plan_move(
            self._policy,
            move_id=move_id,
            service=ServiceId(body.service),
            old_version=self._version_in_use(body),
            new_version=VersionId(body.version),
            created_unix=now,
            deadline_unix=body.by_unix,
        )
        short_s = now - record.shift_from_unix
        if short_s >= 0:
            raise SettingsError(
                f"--by leaves {max(0.0, body.by_unix - now):.0f} s, too short"
                " to see whether the version is good; allow at least"
                f" {short_s:.0f} s more"
            )
        return record

    def _version_in_use(self, body: StartBody) -> VersionId:
        servers = self._node.servers.candidates(ServiceId(body.service))
        counts = Counter(server.version for server in servers)
        if not counts:
            known = sorted({s.service for s in self._node.servers.all()})
            raise SettingsError(
                f"{body.service} has no live backend server; services that"
                f" have: {', '.join(known) or 'none'}"
            )
        counts.pop(VersionId(body.version), None)
        if not counts:
            raise SettingsError(
                f"all servers of {body.service} run {body.version} already;"
                " name another version"
            )
        return max(counts, key=lambda version: (counts[version], version))
