"""Operators' operations on version moves."""

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
    MAX_WRITE_ATTEMPTS,
    call_deadline,
    parse_body,
    path_suffix,
)

MOVES_PATH: Final = "/admin/moves"
TAKE_BACK_SUFFIX: Final = "/take-back"
TAKEN_BACK_STATES: Final = (MoveState.TAKING_BACK, MoveState.TAKEN_BACK)
DEFAULT_REASON: Final = "taken back by an operator"

MoveUpdate = Callable[[StoredMove], Result[WriteMove, MoveConflict]]


class StartBody(BaseModel):
    """Body of a call that starts a move.

    The move has to be complete by `by_unix`, in Unix seconds. `move_id`
    makes the call idempotent.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    service: Name
    version: Name
    by_unix: float = Field(allow_inf_nan=False)
    move_id: Name | None = None


class TakeBackBody(BaseModel):
    """Body of a call that takes a move back, with the reason."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    reason: str = Field(DEFAULT_REASON, max_length=500)


def move_view(record: MoveRecord) -> dict[str, Any]:
    """Return a move as JSON with a text that explains its state."""
    return {**to_json(record), "explanation": record.explain()}


class MoveOperations:
    """Operations to start, show and take back version moves."""

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
        """Register the operations at the operators' interface."""
        move_path = f"{MOVES_PATH}/"
        admin.add("GET", MOVES_PATH, self.async_list)
        admin.add("POST", MOVES_PATH, self.async_start)
        admin.add("GET", move_path, self.async_show, prefix=True)
        admin.add("POST", move_path, self.async_take_back, prefix=True)

    async def async_last_moves(self) -> tuple[MoveRecord, ...]:
        """Return the last move of each service.

        If the table service is unavailable, the moves are read from the
        settings in force on this host.
        """
        try:
            return await self._moves.async_list(call_deadline())
        except PlatformUnavailableError:
            return read_moves(self._node.cluster.settings.history.snapshot)

    async def async_get(self, name: str) -> MoveRecord:
        """Return a move by id or service; raises `NotFoundError`."""
        records = await self.async_last_moves()
        for record in records:
            if name in (record.move_id, record.service):
                return record
        ids = ", ".join(record.move_id for record in records)
        raise NotFoundError(f"no move {name}; there are: {ids or 'none'}")

    async def async_list(self, req: HttpRequest) -> Any:
        """List the last move of each service."""
        records = await self.async_last_moves()
        return {"moves": [move_view(record) for record in records]}

    async def async_show(self, req: HttpRequest) -> Any:
        """Show one move."""
        name = path_suffix(req, f"{MOVES_PATH}/")
        return move_view(await self.async_get(name))

    async def async_start(self, req: HttpRequest) -> Any:
        """Start a move; raises `SettingsError`, `ConflictError`."""
        body = parse_body(StartBody, req)
        record = self._plan(body)
        service = ServiceId(body.service)
        return await self._async_write(
            service,
            lambda stored: start_move(record, stored.record, stored.version),
        )

    async def async_take_back(self, req: HttpRequest) -> Any:
        """Take a move back; raises `ConflictError`, `NotFoundError`.

        A move that is being or has been taken back is left as it is.
        """
        name = path_suffix(req, f"{MOVES_PATH}/")
        if not name.endswith(TAKE_BACK_SUFFIX):
            raise NotFoundError(
                f"POST {MOVES_PATH}/MOVE{TAKE_BACK_SUFFIX} instead"
            )
        body = parse_body(TakeBackBody, req)
        record = await self.async_get(name.removesuffix(TAKE_BACK_SUFFIX))

        def update(stored: StoredMove) -> Result[WriteMove, MoveConflict]:
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

        return await self._async_write(record.service, update)

    async def _async_write(
        self, service: ServiceId, update: MoveUpdate
    ) -> Any:
        """Read a move, compute its update and write it.

        Starts over if another change of the settings was written first.
        """
        for _ in range(MAX_WRITE_ATTEMPTS):
            deadline = call_deadline()
            stored = await self._moves.async_get(service, deadline)
            result = update(stored)
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

    # Planning of a new move

    def _plan(self, body: StartBody) -> MoveRecord:
        now = self._unix_now()
        move_id = body.move_id or f"move-{uuid.uuid4().hex[:8]}"
        record = plan_move(
            self._policy,
            move_id=move_id,
            service=ServiceId(body.service),
            old_version=self._most_used_old_version(body),
            new_version=VersionId(body.version),
            created_unix=now,
            deadline_unix=body.by_unix,
        )
        shortfall_s = now - record.shift_from_unix
        if shortfall_s >= 0:
            raise SettingsError(
                f"--by leaves {max(0.0, body.by_unix - now):.0f} s, too short"
                " to see whether the version is good; allow at least"
                f" {shortfall_s:.0f} s more"
            )
        return record

    def _most_used_old_version(self, body: StartBody) -> VersionId:
        servers = self._node.servers.candidates(ServiceId(body.service))
        counts = Counter(server.version for server in servers)
        if not counts:
            services = sorted({s.service for s in self._node.servers.all()})
            raise SettingsError(
                f"{body.service} has no live backend server; services that"
                f" have: {', '.join(services) or 'none'}"
            )
        counts.pop(VersionId(body.version), None)
        if not counts:
            raise SettingsError(
                f"all servers of {body.service} run {body.version} already;"
                " name another version"
            )
        return max(counts, key=lambda version: (counts[version], version))
