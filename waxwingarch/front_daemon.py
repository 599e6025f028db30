"""Builds the parts of the daemon of a host on the users' platform."""

import asyncio
import gc
import signal
import socket
import time
from random import Random
from typing import Any, Final

import orjson
from eliot import log_message, write_traceback

from waxwingarch.adapters.addresses import check_address, split_address
from waxwingarch.adapters.connection_bounds import (
    CALLERS_SHARE,
    ConnectionBounds,
    EndReason,
    max_connections,
)
from waxwingarch.adapters.front_metrics import FrontMetrics
from waxwingarch.adapters.front_settings import (
    FrontSettings,
)
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.http_messages import JSON_TYPE, HttpRequest
from waxwingarch.const import EXIT_ADDRESS_IN_USE, EXIT_OK, LOGGED_DECIMALS
from waxwingarch.core.backends.brittle_servers import BrittlenessChanged
from waxwingarch.core.backends.cold_servers import (
    ColdValueIgnored,
    ServerColdChanged,
)
from waxwingarch.core.backends.paths import PathChanged
from waxwingarch.core.backends.registry import (
    BackendLeaving,
    BackendsListed,
    BackendSuperseded,
)
from waxwingarch.core.backends.server_limits import ServerLimitChanged
from waxwingarch.core.base import HostId
from waxwingarch.core.duties.leader_election import StoreEraSeen
from waxwingarch.core.front_messages import (
    ConfigApplied,
    ConfigRead,
    FrontTick,
    StopBegan,
    StopEnds,
)
from waxwingarch.core.front_node import ACCEPT_WHILE_STOPPING_S, FrontNode
from waxwingarch.core.peers.report import (
    HostsListed,
    SharedTable,
    TableChecked,
)
from waxwingarch.core.rollouts.rollout_messages import RolloutsRead
from waxwingarch.core.store_version import era_of
from waxwingarch.ports.front import (
    BadRowError,
    FrontPorts,
    Rows,
    RowWrite,
    StoreUnavailableError,
)
from waxwingarch.tasks.admin import Admin
from waxwingarch.tasks.backend_rows import BackendRows
from waxwingarch.tasks.front_checks import FrontChecks
from waxwingarch.tasks.front_duties import FrontDuties, boot_now
from waxwingarch.tasks.front_entry import FrontEntry, Readiness
from waxwingarch.tasks.front_evacuations import FrontEvacuations
from waxwingarch.tasks.front_log import FrontLog
from waxwingarch.tasks.front_peers import FrontPeers
from waxwingarch.tasks.front_quarantine import FrontQuarantine
from waxwingarch.tasks.front_rollouts import FrontRollouts
from waxwingarch.tasks.metrics_pages import MetricsPages, Page
from waxwingarch.tasks.quarantine_operations import (
    QuarantineOperations,
    count_held_inputs,
)
from waxwingarch.tasks.runner import Runner
from waxwingarch.tasks.server_state import (
    SERVERS_OPERATION,
    build_server_list,
    build_server_state,
)
from waxwingarch.tasks.settings_watch import SettingsWatch
from waxwingarch.tasks.table_watch import TableWatch

MS_PER_S: Final = 1000
# Bound of the server names in one log line.
MAX_LOGGED_SERVERS: Final = 16
MAX_LOGGED_REASON_CHARS: Final = 200
TICK_INTERVAL_S: Final = 0.1
# On the metrics address.
QUARANTINE_PATH: Final = "/quarantine"
SERVERS_PATH: Final = "/servers"
METRICS_CONTENT_TYPE: Final = "text/plain; version=0.0.4; charset=utf-8"
HOSTS_TABLE: Final = "waxwing-hosts"
REGISTER_TIMEOUT_S: Final = 1.0
REGISTER_RETRY_DELAY_S: Final = 0.5
# All hosts register again after the store has returned from an older copy.
REGISTER_AGAIN_WITHIN_S: Final = 2.0
# The drain ends this long before the grace period does, so that the process
# can exit by itself.
STOP_MARGIN_S: Final = 0.6
DRAIN_POLL_S: Final = 0.05


class FrontDaemon:
    """The process of one host on the users' platform."""

    def __init__(
        self,
        settings: FrontSettings,
        client: HttpClient,
        ports: FrontPorts,
        watch: SettingsWatch | None = None,
        sock: socket.socket | None = None,
    ) -> None:
        """Build all parts; `sock` may already listen for callers."""
        self._settings = settings
        self._sock = sock
        self._settings_watch = watch
        self._client = client
        self._ports = ports
        incarnation = int(time.time() * MS_PER_S)
        identity = settings.identity(incarnation)
        rng = self._rng = Random()
        self.front = FrontNode(identity, settings.front_bounds(), rng)
        self._runner = Runner(self.front)
        self._operator_table_watch = TableWatch(
            ports.store,
            ports.rows.config_table,
            rng,
            self._handle_operator_rows,
            lambda watch: self._post_table_checked(SharedTable.OPERATOR),
            ports.rows.config_number,
        )
        self._servers_table_watch = TableWatch(
            ports.store,
            ports.rows.servers_table,
            rng,
            self._post_backends,
            lambda watch: self._post_table_checked(SharedTable.SERVERS),
        )
        self._backend_rows = BackendRows(ports.rows)
        watches = [self._operator_table_watch, self._servers_table_watch]
        self._duties = FrontDuties(self._runner, ports, identity.host)
        self._checks = FrontChecks(self._runner, client)
        self._rollouts = FrontRollouts(self._runner, ports)
        self._quarantine = FrontQuarantine(self._runner, ports)
        self._entry = FrontEntry(
            self._runner, client, ports.exchanges, on_error
        )
        self._front_peers = FrontPeers(
            self._runner, client, watches, self._entry.async_handle_relayed
        )
        self._readiness = Readiness(lambda: self.front.ready, on_error)
        self._quarantine_operations = QuarantineOperations(
            self.front.quarantine, self._runner.post
        )
        self._admin: Admin | None = None
        if settings.listen.admin:
            self._admin = Admin(settings.security.operator_key, on_error)
            self._quarantine_operations.register(self._admin)
            self._admin.add("GET", SERVERS_OPERATION, self._async_list_servers)
        self.metrics = FrontMetrics(
            lambda: count_held_inputs(self.front.quarantine),
            client.held,
            self.front.duties.demand,
            self.front.load_balancer.cold.count,
            lambda: self.front.sums.state(self._now()),
        )
        self._evacuations = FrontEvacuations(
            self._runner, ports.rows, self.metrics
        )
        self._metrics_pages = self._build_metrics_pages()
        self._bound_connections()
        self._runner.observe(FrontLog(self.front, self.metrics))
        self._stopping = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._registered_era: int | None = None
        ports.store.on_era = self._post_store_era
        self._runner.connect(ConfigApplied, self._log_config_applied)
        self._runner.connect(BackendLeaving, self._log_server_leaving)
        self._runner.connect(BackendSuperseded, self._log_superseded)
        self._runner.connect(ServerLimitChanged, self._log_server_limit)
        self._runner.connect(PathChanged, self._log_path_change)
        self._runner.connect(BrittlenessChanged, self._log_brittleness)
        self._runner.connect(ServerColdChanged, self._log_cold_change)
        self._runner.connect(ColdValueIgnored, self._log_cold_value)

    def _bound_connections(self) -> None:
        """Bound what the connections of all addresses hold together."""
        held = self._client.held
        bounds = ConnectionBounds(max_connections(held.limit_bytes))
        bounds.on_end = self._log_connection_end
        servers = [
            self._front_peers.server,
            self._readiness.server,
            self._metrics_pages.server,
        ]
        if self._admin is not None:
            servers.append(self._admin.server)
        for server in servers:
            server.held, server.kept = held, bounds.group()
        self._entry.server.held = held
        self._entry.server.kept = bounds.group(CALLERS_SHARE)
        self.metrics.connections = bounds

    async def async_run(self) -> int:
        """Serve until the process is stopped; return the exit code."""
        self._install_signal_handlers()
        try:
            await self._async_setup()
        except OSError as exc:
            log_message(
                message_type="address_in_use",
                reason=f"{exc}; free the address or change [listen]",
            )
            return EXIT_ADDRESS_IN_USE
        log_message(
            message_type="started",
            host=self._settings.host.name,
            incarnation=self.front.identity.incarnation,
            first_start=self.front.identity.first_start,
        )
        # The parts live as long as the process: exempt them from garbage
        # collection.
        gc.collect()
        gc.freeze()
        await self._stopping.wait()
        await self._async_drain()
        await self.async_unload()
        log_message(message_type="stopped", exit_code=EXIT_OK)
        return EXIT_OK

    async def _async_setup(self) -> None:
        listen = self._settings.listen
        await self._front_peers.async_setup(*split_address(listen.peers))
        await self._readiness.server.async_setup(
            *split_address(listen.readiness)
        )
        await self._metrics_pages.server.async_setup(
            *split_address(listen.metrics)
        )
        if self._admin is not None:
            await self._admin.async_setup(*split_address(listen.admin))
        callers = split_address(listen.callers)
        await self._entry.async_setup(*callers, self._sock)
        await self._operator_table_watch.async_setup()
        await self._servers_table_watch.async_setup()
        if self._settings_watch is not None:
            await self._settings_watch.async_setup()
        self._tasks.append(asyncio.create_task(self._async_tick()))
        self._register(0.0)

    async def _async_drain(self) -> None:
        """Let exchanges in progress finish within the grace period.

        At first the host still accepts requests, until the external load
        balancer has noticed that it is stopping. A request that it reads
        after that is refused, so that its caller can go elsewhere. What has
        no response at the end gets one that says so.
        """
        loop = asyncio.get_running_loop()
        drain_deadline = (
            loop.time() + self._settings.bounds.stop_grace_s - STOP_MARGIN_S
        )
        log_message(
            message_type="stopping", in_progress=self._entry.in_progress
        )
        self._runner.post(StopBegan(ends_at=drain_deadline))
        self._entry.server.start_drain()
        await asyncio.sleep(ACCEPT_WHILE_STOPPING_S)
        while loop.time() < drain_deadline and (
            self._entry.in_progress or self._entry.server.is_receiving
        ):
            self._entry.server.close_idle()
            await asyncio.sleep(DRAIN_POLL_S)
        self._runner.post(StopEnds())

    async def async_unload(self) -> None:
        """Stop all parts."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._settings_watch is not None:
            await self._settings_watch.async_unload()
        await self._entry.async_unload()
        await self._readiness.server.async_unload()
        await self._metrics_pages.server.async_unload()
        if self._admin is not None:
            await self._admin.async_unload()
        await self._operator_table_watch.async_unload()
        await self._servers_table_watch.async_unload()
        await self._duties.async_unload()
        await self._checks.async_unload()
        await self._rollouts.async_unload()
        await self._quarantine.async_unload()
        await self._front_peers.async_unload()
        await self._client.async_unload()

    def _install_signal_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)

    @property
    def in_progress(self) -> int:
        """Return the number of exchanges without a final response."""
        return self._entry.in_progress

    @property
    def is_store_unreachable(self) -> bool:
        """Whether the store is unreachable, so that changes are not seen."""
        return self._operator_table_watch.is_store_unreachable

    def stop(self) -> None:
        """Start a graceful stop."""
        self._stopping.set()

    def _reload_settings(self) -> None:
        if self._settings_watch is not None:
            self._settings_watch.reload("signal")

    def _build_metrics_pages(self) -> MetricsPages:
        """Return the pages of metrics, quarantined inputs and servers."""

        def build_servers() -> bytes:
            return orjson.dumps(build_server_state(self.front, self._now()))

        def build_inputs() -> bytes:
            return orjson.dumps(self._quarantine_operations.listing())

        return MetricsPages(
            {
                QUARANTINE_PATH: Page(build=build_inputs, headers=[JSON_TYPE]),
                SERVERS_PATH: Page(build=build_servers, headers=[JSON_TYPE]),
            },
            Page(
                build=self.metrics.text,
                headers=[("content-type", METRICS_CONTENT_TYPE)],
            ),
            on_error,
        )

    def _log_connection_end(self, client: str, reason: EndReason) -> None:
        log_message(
            message_type="connection_ended",
            client=client,
            reason=reason.value,
            connections=self.metrics.connections.count,
        )

    async def _async_list_servers(self, _req: HttpRequest) -> Any:
        return build_server_list(self.front)

    @staticmethod
    def _now() -> float:
        """Return the time on the node's clock."""
        return asyncio.get_running_loop().time()

    # Background tasks

    async def _async_tick(self) -> None:
        while True:
            tick = FrontTick(boot_now=boot_now(), unix_now=time.time())
            try:
                self._runner.post(tick)
            except Exception as exc:
                # Without ticks, nothing with a deadline would ever end.
                on_error(exc)
            await asyncio.sleep(TICK_INTERVAL_S)

    def _register(self, delay_s: float) -> None:
        self._tasks.append(asyncio.create_task(self._async_register(delay_s)))

    def _register_in_era(self, era: int) -> None:
        """Register again if the store has returned without the row."""
        previous = self._registered_era
        if previous is not None and era <= previous:
            return
        self._registered_era = era
        if previous is not None:
            self._register(self._rng.uniform(0.0, REGISTER_AGAIN_WITHIN_S))

    async def _async_register(self, delay_s: float) -> None:
        """Register this host's address and read those of other hosts.

        Retries until the store is available, then ends.
        """
        await asyncio.sleep(delay_s)
        loop = asyncio.get_running_loop()
        identity = self.front.identity
        row = RowWrite(
            table=HOSTS_TABLE,
            key=identity.host,
            value=identity.address.encode(),
        )
        while True:
            deadline = loop.time() + REGISTER_TIMEOUT_S
            try:
                await self._ports.store.async_write([row], deadline=deadline)
                rows = await self._ports.store.async_read(
                    HOSTS_TABLE, deadline=deadline
                )
            except StoreUnavailableError as exc:
                log_message(message_type="not_registered", reason=str(exc))
                await asyncio.sleep(REGISTER_RETRY_DELAY_S)
                continue
            self._runner.post(HostsListed(addresses=_decode_hosts(rows)))
            return

    # Handlers of table changes and of actions

    def _post_store_era(self, era: int) -> None:
        self._runner.post(StoreEraSeen(era=era, boot_now=boot_now()))
        self._register_in_era(era)

    def _handle_operator_rows(self, watch: TableWatch) -> None:
        # A host that relies on its peers learns of the era from them.
        self._register_in_era(era_of(watch.version))
        self._evacuations.post_rows(watch)
        self._post_rollout_orders(watch)
        row = watch.rows.get(self._ports.rows.config_key)
        if row is None or row.value is None:
            return
        try:
            cfg = self._ports.rows.decode_config(row.value)
        except BadRowError as exc:
            log_message(message_type="bad_config", reason=str(exc))
            return
        self._runner.post(ConfigRead(cfg=cfg, rows_version=watch.version))

    def _post_rollout_orders(self, watch: TableWatch) -> None:
        orders = []
        for row in watch.rows.values():
            try:
                order = self._ports.rows.decode_rollout_order(row)
            except BadRowError as exc:
                log_message(
                    message_type="bad_rollout", key=row.key, reason=str(exc)
                )
                continue
            if order is not None:
                orders.append(order)
        if orders:
            self._runner.post(RolloutsRead(orders=tuple(orders)))

    def _post_table_checked(self, table: SharedTable) -> None:
        self._runner.post(TableChecked(table=table))

    def _post_backends(self, watch: TableWatch) -> None:
        self._runner.post(
            BackendsListed(
                version=watch.version,
                backends=self._backend_rows.backends(watch.rows),
                after_outage=watch.after_outage,
            )
        )

    def _log_config_applied(self, action: ConfigApplied) -> None:
        log_message(message_type="config_applied", version=action.version)

    def _log_server_leaving(self, action: BackendLeaving) -> None:
        log_message(
            message_type="server_leaving",
            server=action.server.server_id,
            leaves_at=action.leaves_at,
            learnt_from=action.source.value,
        )

    def _log_superseded(self, action: BackendSuperseded) -> None:
        log_message(
            message_type="server_superseded",
            server=action.server.server_id,
            address=action.server.address,
            incarnation=action.server.incarnation,
            by=action.by,
        )

    def _log_path_change(self, action: PathChanged) -> None:
        log_message(
            message_type="path_lost" if action.is_lost else "path_regained",
            service=action.service,
            failed=action.failed[:MAX_LOGGED_SERVERS],
        )

    def _log_brittleness(self, action: BrittlenessChanged) -> None:
        log_message(
            message_type="service_brittle",
            service=action.service,
            rejections_per_s=action.rejections_per_s,
        )

    def _log_cold_change(self, action: ServerColdChanged) -> None:
        is_cold = action.remaining_s is not None
        self.metrics.events["server cold" if is_cold else "server warm"] += 1
        log_message(
            message_type="server_cold" if is_cold else "server_warm",
            server=action.server_id,
            remaining_s=_round(action.remaining_s),
            learnt_from=action.source.value,
            own_share_per_s=_round(action.own_share_per_s),
        )

    def _log_cold_value(self, action: ColdValueIgnored) -> None:
        self.metrics.events["cold value ignored"] += 1
        if action.is_first:
            log_message(
                message_type="cold_value_ignored",
                server=action.server_id,
                value=action.value,
            )

    def _log_server_limit(self, action: ServerLimitChanged) -> None:
        log_message(
            message_type="server_limit",
            server=action.server_id,
            per_s=action.per_s,
            learnt_from=action.source.value,
            age_s=round(action.age_s, LOGGED_DECIMALS),
        )


def _round(value: float | None) -> float | None:
    """Return a number with the decimals of the log."""
    return None if value is None else round(value, LOGGED_DECIMALS)


def _decode_hosts(rows: Rows) -> dict[HostId, str]:
    """Return the addresses of the hosts; a row that has none is left out."""
    addresses = {}
    for row in rows.rows:
        if row.value is None:
            continue
        try:
            address = row.value.decode()
            check_address(address)
        except ValueError as exc:
            log_message(
                message_type="bad_host_row",
                key=row.key,
                reason=str(exc)[:MAX_LOGGED_REASON_CHARS],
            )
            continue
        addresses[HostId(row.key)] = address
    return addresses


def on_error(exc: Exception) -> None:
    """Log an unexpected exception with its traceback."""
    write_traceback(exc_info=(type(exc), exc, exc.__traceback__))
