"""Reads and writes the store rows of rollouts."""

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
from waxwingarch.core.store_version import era_of
from waxwingarch.ports.front import (
    BadRowError,
    FrontPorts,
    RowWrite,
    StoreUnavailableError,
)
from waxwingarch.tasks.action_tasks import ActionTasks
from waxwingarch.tasks.runner import FrontRunner

STOPS_TABLE: Final = "waxwing-stops"
# Delay after a failed read of the stop marks, before the node retries it.
READ_RETRY_DELAY_S: Final = 0.3


class FrontRollouts(ActionTasks):
    """Runs the calls to the store for rollouts in tasks.

    The outcome of each call is posted to the node.
    """

    def __init__(self, runner: FrontRunner, ports: FrontPorts) -> None:
        super().__init__()
        self._runner = runner
        self._ports = ports
        self.connect(
            runner,
            {
                ReadStops: self._async_read_stops,
                MarkStopped: self._async_mark_stopped,
                ReportRolloutStatus: self._async_report_status,
            },
        )

    async def _async_read_stops(self, action: ReadStops) -> None:
        stopped: frozenset[str] | None = None
        try:
            rows = await self._ports.store.async_read(
                STOPS_TABLE, deadline=self._deadline()
            )
            stopped = frozenset(row.key for row in rows.rows)
        except StoreUnavailableError as exc:
            log_message(message_type="stops_not_read", reason=str(exc))
            await asyncio.sleep(READ_RETRY_DELAY_S)
        self._runner.post(StopsRead(stopped=stopped))

    async def _async_mark_stopped(self, action: MarkStopped) -> None:
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

    async def _async_report_status(self, action: ReportRolloutStatus) -> None:
        state: RolloutState | None = None
        try:
            state = await self._async_write_status(action)
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

    async def _async_write_status(
        self, action: ReportRolloutStatus
    ) -> RolloutState | None:
        """Write a rollout's state, unless its row has a final one.

        Returns the state in the row, or None if another host wrote first.
        """
        codec = self._ports.rows
        order = action.order
        key = codec.rollout_status_key(order.service)
        rows = await self._ports.store.async_read(
            codec.status_table, key=key, deadline=self._deadline()
        )
        row = rows.rows[0] if rows.rows else None
        version = row.version if row else 0
        if row is not None and era_of(version) != era_of(order.number):
            # The order has to be read in the era of its status first.
            return None
        if row is not None and row.value is not None:
            stored_state = codec.decode_rollout_state(row.value)
            if _is_final_for(order, version, stored_state):
                return stored_state
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


def _is_final_for(
    order: RolloutOrder, version: int, stored_state: RolloutState | None
) -> bool:
    """Return whether a status row holds the final state of an order.

    `version` is that of the status row, and the number of an order is the
    version of its own row. A status row that is older than the order is
    about an earlier order.
    """
    return version > order.number and stored_state in (
        RolloutState.COMPLETED,
        RolloutState.ROLLED_BACK,
    )
