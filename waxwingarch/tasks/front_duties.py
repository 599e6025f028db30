"""Calls of a host on the users' platform for duties and run migrations.

One host does the duties for all; the hosts elect it with a lease in the
store. Each host migrates the runs of its own exchanges.
"""

import time
from typing import Final

import orjson
from eliot import log_message

from waxwingarch.const import LOGGED_DECIMALS
from waxwingarch.core.backends.registry import LeavingAnnounced
from waxwingarch.core.base import AccountId, HostId
from waxwingarch.core.duties.autoscaler import OrderServers, ServersOrdered
from waxwingarch.core.duties.demand import NeedChanged
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
    MigrationReply,
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


def boot_now() -> float:
    """Return the seconds since boot, including time in suspend.

    Leases also expire while the host is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class FrontDuties(ActionTasks):
    """Runs the calls for the duties and for run migrations in tasks.

    The outcome of each call is posted to the node.
    """

    def __init__(
        self, runner: FrontRunner, ports: FrontPorts, host: HostId
    ) -> None:
        super().__init__()
        self._runner = runner
        self._ports = ports
        self._host = host
        self.connect(
            runner,
            {
                ReadDutyRow: self._async_read_lease,
                WriteDutyRow: self._async_write_lease,
                SettleUsage: self._async_settle_usage,
                SendUsage: self._async_send_usage,
                OrderServers: self._async_order_servers,
                MigrateRun: self._async_migrate_run,
            },
        )
        runner.connect(NeedChanged, _log_need)

    # Leader election lease

    async def _async_read_lease(self, action: ReadDutyRow) -> None:
        sent_at = boot_now()
        try:
            rows = await self._ports.store.async_read(
                LEASE_TABLE, key=LEASE_KEY, deadline=self._deadline()
            )
        except StoreUnavailableError as exc:
            self._post_store_failure(exc)
            return
        self._runner.post(_row_read_event(rows, sent_at))

    async def _async_write_lease(self, action: WriteDutyRow) -> None:
        sent_at = boot_now()
        row = action.row
        value = orjson.dumps(
            [
                row.holder,
                row.incarnation,
                row.until_ms,
                row.busy_accounts,
                row.era,
                row.first_window,
            ]
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
            self._post_store_failure(exc)
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
        self._runner.post(_row_read_event(result, sent_at))

    def _post_store_failure(self, exc: StoreUnavailableError) -> None:
        log_message(message_type="lease_call_failed", reason=str(exc))
        self._runner.post(
            DutyStoreFailed(
                boot_now=boot_now(), maybe_applied=exc.maybe_applied
            )
        )

    # Usage

    async def _async_settle_usage(self, action: SettleUsage) -> None:
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
                counts = _decode_settled_counts(result.rows)
        self._runner.post(UsageSettled(window=action.window, counts=counts))

    async def _async_send_usage(self, action: SendUsage) -> None:
        accepted = (
            self._may_act()
            and await self._ports.duties.async_report_usage(
                action.window,
                action.counts,
                holder=self._host,
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
        """Return whether the lease still allows a call of the duties.

        It is checked right before each call, because the lease may have
        ended since the node issued the action.
        """
        return self._runner.node.may_act(boot_now())

    # Server orders and run migration

    async def _async_order_servers(self, action: OrderServers) -> None:
        if not self._may_act():
            accepted = refused = False
        else:
            reply = await self._ports.duties.async_order_servers(
                action.key,
                action.desired,
                holder=self._host,
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

    async def _async_migrate_run(self, action: MigrateRun) -> None:
        """Migrate a run; its outcome is posted even after an error."""
        reply = MigrationReply()
        try:
            reply = await self._ports.engines.async_migrate_run(
                action.source,
                action.target,
                action.request_id,
                deadline=action.deadline,
            )
        finally:
            self._post_migration(action, reply)

    def _post_migration(
        self, action: MigrateRun, reply: MigrationReply
    ) -> None:
        log_message(
            message_type="run_moved",
            request_id=action.request_id,
            source=action.source.server_id,
            target=action.target.server_id,
            moved=reply.cache is not None,
        )
        if reply.source_leaving:
            self._runner.post(LeavingAnnounced(server=action.source))
        self._runner.post(
            RunMigrated(
                request_id=action.request_id,
                cache=reply.cache,
                not_stopped=reply.not_stopped,
            )
        )


def _log_need(action: NeedChanged) -> None:
    log_message(
        message_type="servers_needed",
        service=action.service,
        needed=action.needed,
        previous=action.previous,
        largest=action.largest,
        slots=round(action.demand.slot_servers, LOGGED_DECIMALS),
        prompts=round(action.demand.read_servers, LOGGED_DECIMALS),
        ignored=action.demand.ignored,
        usual=round(action.usual, LOGGED_DECIMALS),
        peak=round(action.peak, LOGGED_DECIMALS),
        forecast=round(action.forecast, LOGGED_DECIMALS),
        sustained=round(action.sustained, LOGGED_DECIMALS),
        heard_ratio=round(action.heard_ratio, LOGGED_DECIMALS),
    )


def _row_read_event(reply: Rows | WriteResult, sent_at: float) -> DutyRowRead:
    """Return the event for a reply that has the lease row or no row."""
    stored = reply.rows[0] if reply.rows else None
    return DutyRowRead(
        row=_decode_lease_row(stored),
        version=stored.version if stored else 0,
        clock_ms=reply.clock_ms,
        sent_at=sent_at,
        boot_now=boot_now(),
    )


def _decode_lease_row(row: StoredRow | None) -> DutyLeaseRow | None:
    """Return the lease in a row; a row that is not valid holds none."""
    if row is None or row.value is None:
        return None
    try:
        holder, incarnation, until_ms, busy, *rest = orjson.loads(row.value)
        # Hosts of an older version write no era.
        era, first_window = rest or (0, 0)
        return DutyLeaseRow(
            holder=HostId(str(holder)),
            incarnation=int(incarnation),
            until_ms=int(until_ms),
            busy_accounts=tuple(AccountId(str(account)) for account in busy),
            era=int(era),
            first_window=int(first_window),
        )
    except (TypeError, ValueError, OverflowError) as exc:
        log_message(message_type="bad_lease_row", reason=repr(exc))
        return None


def _decode_settled_counts(
    rows: tuple[StoredRow, ...],
) -> dict[AccountId, int] | None:
    """Return the counts from the row that another host wrote first.

    Returns None without such a row, or if it is not valid.
    """
    for row in rows:
        if row.value is not None:
            try:
                return {
                    AccountId(str(account)): int(count)
                    for account, count in orjson.loads(row.value).items()
                }
            except (AttributeError, TypeError, ValueError) as exc:
                log_message(message_type="bad_usage_row", reason=repr(exc))
    return None
