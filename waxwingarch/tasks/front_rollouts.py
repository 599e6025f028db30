"""Reads and writes the rows of version moves."""

import asyncio
from typing import Final

from eliot import log_message

from waxwingarch.core.rollouts.rollout_messages import (
    MarkStopped,
    ReadStops,
    ReportRolloutStatus,
    RolloutOrder,
    RolloutState,
    RolloutStatusReported,
    StopMarked,
    StopsRead,
)
from waxwingarch.ports.front import (
    BadRowError,
    FrontPorts,
    RowWrite,
    StoreUnavailableError,
)
from waxwingarch.tasks.action_tasks import ActionTasks
from waxwingarch.tasks.runner import FrontRunner

STOPS_TABLE: Final = "waxwing-stops"
CALL_LIMIT_S: Final = 1.0
# Pause before the stop marks are read again.
RETRY_S: Final = 0.3


class FrontRollouts(ActionTasks):
    """One task for each call; their outcomes go back to the node."""

    def __init__(self, runner: FrontRunner, ports: FrontPorts) -> None:
        super().__init__()
        self._runner = runner
        self._ports = ports
        self.connect(
            runner,
            {
                ReadStops: self._async_read_stops,
                MarkStopped: self._async_mark,
                ReportRolloutStatus: self._async_tell,
            },
        )

    def _deadline(self) -> float:
        return asyncio.get_running_loop().time() + CALL_LIMIT_S

    async def _async_read_stops(self, action: ReadStops) -> None:
        stopped: frozenset[str] | None = None
        try:
            rows = await self._ports.store.async_read(
                STOPS_TABLE, deadline=self._deadline()
            )
            stopped = frozenset(row.key for row in rows.rows)
        except StoreUnavailableError as exc:
            log_message(message_type="stops_not_read", reason=str(exc))
            await asyncio.sleep(RETRY_S)
        self._runner.post(StopsRead(stopped=stopped))

    async def _async_mark(self, action: MarkStopped) -> None:
        write = RowWrite(
            table=STOPS_TABLE,
            key=action.rollout_id,
            value=action.reason.encode(),
        )
        written = True
        try:
            await self._ports.store.async_write(
                [write], deadline=self._deadline()
            )
        except StoreUnavailableError as exc:
            log_message(message_type="stop_not_marked", reason=str(exc))
            written = False
        log_message(
            message_type="rollout_stopped",
            rollout=action.rollout_id,
            reason=action.reason,
            marked=written,
        )
        self._runner.post(
            StopMarked(rollout_id=action.rollout_id, written=written)
        )

    async def _async_tell(self, action: ReportRolloutStatus) -> None:
        state: RolloutState | None = None
        try:
            state = await self._async_write_state(action)
        except (StoreUnavailableError, BadRowError) as exc:
            log_message(message_type="rollout_not_told", reason=str(exc))
        else:
            log_message(
                message_type="rollout_told",
                rollout=action.order.rollout_id,
                target=action.order.target,
                wanted=action.state.value,
                state=state.value if state else None,
            )
        self._runner.post(
            RolloutStatusReported(
                rollout_id=action.order.rollout_id, state=state
            )
        )

    async def _async_write_state(
        self, action: ReportRolloutStatus
    ) -> RolloutState | None:
        """Write a state; an end that was told before stays.

        Returns what the row says then, None if another host wrote first.
        """
        codec = self._ports.rows
        order = action.order
        key = codec.rollout_status_key(order.service)
        rows = await self._ports.store.async_read(
            codec.status_table, key=key, deadline=self._deadline()
        )
        row = rows.rows[0] if rows.rows else None
        version = row.version if row else 0
        if row is not None and row.value is not None:
            told = codec.decode_rollout_state(row.value)
            if _is_end(order, version, told):
                return told
        write = RowWrite(
            table=codec.status_table,
            key=key,
            value=codec.encode_rollout_status(order, action.state),
            expected_version=version,
        )
        result = await self._ports.store.async_write(
            [write], deadline=self._deadline()
        )
        return action.state if result.applied else None


def _is_end(
    order: RolloutOrder, version: int, told: RolloutState | None
) -> bool:
    """Tell whether a row written after the order ends it."""
    return version > order.number and told in (
        RolloutState.COMPLETED,
        RolloutState.ROLLED_BACK,
    )
