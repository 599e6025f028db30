"""Carries out the singleton duties and the calls around their lease."""

import asyncio
import time
from typing import Final

import orjson
from eliot import log_message

from waxwingarch.core.base import AccountId, HostId
from waxwingarch.core.duties.autoscaler import OrderServers, ServersOrdered
from waxwingarch.core.duties.leader_election import (
    DutyLeaseRow,
    DutyRowRead,
    DutyRowWritten,
    DutyStoreFailed,
    ReadDutyRow,
    WriteDutyRow,
)
from waxwingarch.core.duties.usage import (
    SendUsage,
    SettleUsage,
    UsageSent,
    UsageSettled,
)
from waxwingarch.core.exchange.exchange_messages import MigrateRun, RunMigrated
from waxwingarch.ports.front import (
    FrontPorts,
    Rows,
    RowWrite,
    StoredRow,
    StoreUnavailableError,
    WriteResult,
)
from waxwingarch.tasks.action_tasks import ActionTasks
from waxwingarch.tasks.runner import FrontRunner

LEASE_TABLE: Final = "waxwing-lease"
LEASE_KEY: Final = "duties"
USAGE_TABLE: Final = "waxwing-usage"
CALL_LIMIT_S: Final = 1.0
MOVE_LIMIT_S: Final = 1.0


def boot_now() -> float:
    """Return the clock that also runs while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class FrontDuties(ActionTasks):
    """One task for each call; their outcomes go back to the node."""

    def __init__(
        self, runner: FrontRunner, ports: FrontPorts, own: HostId
    ) -> None:
        super().__init__()
        self._runner = runner
        self._ports = ports
        self._own = own
        self.connect(
            runner,
            {
                ReadDutyRow: self._async_read_lease,
                WriteDutyRow: self._async_write_lease,
                SettleUsage: self._async_settle,
                SendUsage: self._async_report,
                OrderServers: self._async_order,
                MigrateRun: self._async_move,
            },
        )

    def _deadline(self) -> float:
        return asyncio.get_running_loop().time() + CALL_LIMIT_S

    # The lease

    async def _async_read_lease(self, action: ReadDutyRow) -> None:
        sent_at = boot_now()
        try:
            rows = await self._ports.store.async_read(
                LEASE_TABLE, key=LEASE_KEY, deadline=self._deadline()
            )
        except StoreUnavailableError as exc:
            self._store_failed(exc)
            return
        self._runner.post(_row_read(rows, sent_at))

    async def _async_write_lease(self, action: WriteDutyRow) -> None:
        sent_at = boot_now()
        row = action.row
        value = orjson.dumps(
            [row.holder, row.incarnation, row.until_ms, row.busy_accounts]
        )
        write = RowWrite(
            table=LEASE_TABLE,
            key=LEASE_KEY,
            value=value,
            expected_version=action.expected_version,
        )
        try:
            result = await self._ports.store.async_write(
                [write], deadline=self._deadline()
            )
        except StoreUnavailableError as exc:
            self._store_failed(exc)
            return
        if result.applied:
            self._runner.post(
                DutyRowWritten(
                    version=result.version,
                    clock_ms=result.clock_ms,
                    sent_at=sent_at,
                    boot_now=boot_now(),
                )
            )
            return
        self._runner.post(_row_read(result, sent_at))

    def _store_failed(self, exc: StoreUnavailableError) -> None:
        log_message(message_type="lease_call_failed", reason=str(exc))
        self._runner.post(
            DutyStoreFailed(
                boot_now=boot_now(), maybe_applied=exc.maybe_applied
            )
        )

    # Usage

    async def _async_settle(self, action: SettleUsage) -> None:
        writes = [
            RowWrite(
                table=USAGE_TABLE,
                key=str(action.window),
                value=orjson.dumps(dict(sorted(action.counts.items()))),
                expected_version=0,
            ),
            RowWrite(
                table=USAGE_TABLE, key=str(action.drop_window), value=None
            ),
        ]
        counts: dict[AccountId, int] | None = dict(action.counts)
        try:
            result = await self._ports.store.async_write(
                writes, deadline=self._deadline()
            )
        except StoreUnavailableError as exc:
            log_message(
                message_type="usage_not_settled",
                window=action.window,
                reason=str(exc),
            )
            counts = None
        else:
            if not result.applied:
                counts = _stored_counts(result.rows)
        self._runner.post(UsageSettled(window=action.window, counts=counts))

    async def _async_report(self, action: SendUsage) -> None:
        accepted = (
            self._may_act()
            and await self._ports.duties.async_report_usage(
                action.window,
                action.counts,
                holder=self._own,
                fence=action.fence,
                deadline=self._deadline(),
            )
        )
        log_message(
            message_type="usage_sent",
            window=action.window,
            fence=action.fence,
            accepted=accepted,
        )
        self._runner.post(UsageSent(window=action.window, accepted=accepted))

    def _may_act(self) -> bool:
        """Ask right before a call: the lease may have ended meanwhile."""
        return self._runner.node.may_act(boot_now())

    # Servers

    async def _async_order(self, action: OrderServers) -> None:
        if not self._may_act():
            accepted = refused = False
        else:
            reply = await self._ports.duties.async_order_servers(
                action.key,
                action.desired,
                holder=self._own,
                fence=action.fence,
                deadline=self._deadline(),
            )
            accepted, refused = reply.accepted, reply.refused
        log_message(
            message_type="servers_ordered",
            service=action.key.service,
            failure_domain=action.key.domain,
            reclaimable=action.key.reclaimable,
            desired=action.desired,
            running=action.running,
            fence=action.fence,
            accepted=accepted,
            refused=refused,
        )
        self._runner.post(
            ServersOrdered(
                key=action.key,
                desired=action.desired,
                accepted=accepted,
                refused=refused,
            )
        )

    async def _async_move(self, action: MigrateRun) -> None:
        state = await self._ports.engines.async_migrate_run(
            action.source,
            action.target,
            action.request_id,
            deadline=asyncio.get_running_loop().time() + MOVE_LIMIT_S,
        )
        log_message(
            message_type="run_moved",
            request_id=action.request_id,
            source=action.source.server_id,
            target=action.target.server_id,
            moved=state is not None,
        )
        self._runner.post(
            RunMigrated(request_id=action.request_id, cache=state)
        )


def _row_read(reply: Rows | WriteResult, sent_at: float) -> DutyRowRead:
    """Return the lease row in a reply, which has that row at most."""
    found = reply.rows[0] if reply.rows else None
    return DutyRowRead(
        row=_lease_row(found),
        version=found.version if found else 0,
        clock_ms=reply.clock_ms,
        sent_at=sent_at,
        boot_now=boot_now(),
    )


def _lease_row(row: StoredRow | None) -> DutyLeaseRow | None:
    if row is None or row.value is None:
        return None
    holder, incarnation, until_ms, busy = orjson.loads(row.value)
    return DutyLeaseRow(
        holder=HostId(holder),
        incarnation=incarnation,
        until_ms=until_ms,
        busy_accounts=tuple(AccountId(account) for account in busy),
    )


def _stored_counts(
    rows: tuple[StoredRow, ...],
) -> dict[AccountId, int] | None:
    """Return the counts that another host settled first."""
    for row in rows:
        if row.value is not None:
            return dict(orjson.loads(row.value))
    return None
