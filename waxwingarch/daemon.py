"""Builds the parts of waxwingarchd; starts and stops them in order."""

import asyncio
import signal
import time
from random import Random
from typing import Any, Final

import orjson
from eliot import log_message, write_traceback

from waxwingarch.adapters.claim_store import ClaimStore
from waxwingarch.adapters.connection_bounds import (
    CALLERS_SHARE,
    ConnectionBounds,
    max_connections,
)
from waxwingarch.adapters.held_bytes import DEFAULT_LIMIT_BYTES
from waxwingarch.adapters.http_messages import (
    HttpRequest,
)
from waxwingarch.adapters.lease_store import LeaseStore
from waxwingarch.adapters.matching_client import MatchingClient
from waxwingarch.adapters.platform import (
    HttpCloud,
    HttpObjectStore,
    HttpTableStore,
)
from waxwingarch.adapters.platform_http import PlatformLink, TableBudget
from waxwingarch.adapters.settings import Settings
from waxwingarch.adapters.settings_store import SettingsRevisionStore
from waxwingarch.adapters.settings_table import SettingsTableReader
from waxwingarch.adapters.table_settings import TableSettings
from waxwingarch.adapters.ticket import TicketSigner
from waxwingarch.adapters.trace import TraceHeader, TraceWriter
from waxwingarch.const import EXIT_ADDRESS_IN_USE, EXIT_FORCED_STOP, EXIT_OK
from waxwingarch.core.base import Action, FailureDomain, HostId, RequestId
from waxwingarch.core.cluster.cluster_events import Leave, Superseded
from waxwingarch.core.cluster.configsync import (
    PollRevision,
    PullSettings,
    ReadSettings,
)
from waxwingarch.core.cluster.members import Addresses, Member, MemberState
from waxwingarch.core.cluster.messages import SendPeer
from waxwingarch.core.events import Drained, DrainRequested
from waxwingarch.core.quarantine.quarantine_messages import QuarantineChanged
from waxwingarch.core.requests.handoff import OwnHostLeaving
from waxwingarch.core.requests.handover import HandOver
from waxwingarch.core.settings.settings import SettingsDelta
from waxwingarch.diagnostics import build_state_dump
from waxwingarch.ports.cloud import EntryHost, ReclaimNotice
from waxwingarch.tasks.admin import Admin
from waxwingarch.tasks.attempts import AttemptRunner
from waxwingarch.tasks.claims import ClaimTasks
from waxwingarch.tasks.control import DutyTasks
from waxwingarch.tasks.entry import Entry
from waxwingarch.tasks.exchange import Exchanges
from waxwingarch.tasks.handovers import HandOverStore, HandOverTasks
from waxwingarch.tasks.intake import Intake
from waxwingarch.tasks.operator_api import register_operations
from waxwingarch.tasks.peer_transport import PeerTransport, TransportConfig
from waxwingarch.tasks.platform_watch import PlatformWatch
from waxwingarch.tasks.quarantine_log import log_quarantine_change
from waxwingarch.tasks.runner import Runner
from waxwingarch.tasks.server_watch import ServerWatch
from waxwingarch.tasks.settings_apply import SettingsApply

MS_PER_S: Final = 1000
TRACE_BUFFER_BYTES: Final = 64 * 1024
# Time for the last responses to be written after the node has drained.
DRAIN_GRACE_S: Final = 0.5
# The rate limits of the table service are divided among at least this many
# entry hosts, also before the cloud's list of hosts has been read.
MIN_BUDGETED_HOSTS: Final = 9


class Daemon:
    """The process of one entry host."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._started_unix = time.time()
        self._incarnation = int(self._started_unix * MS_PER_S)
        self._drained = asyncio.Event()
        self._force_stop = asyncio.Event()
        header = self._build_trace_header()
        self.node = header.node()
        self._runner = Runner(self.node, _open_trace(settings, header))
        self._client = MatchingClient()
        rng = Random()
        self._link = link = PlatformLink(
            self._client,
            settings.platform.address,
            rng,
            TableBudget.for_hosts(MIN_BUDGETED_HOSTS),
        )
        self._table_store = HttpTableStore(link)
        cloud = HttpCloud(link)
        self._platform_watch = PlatformWatch(
            self._runner, cloud, self._host_id, rng
        )
        self._duty_tasks = DutyTasks(
            self._runner,
            LeaseStore(self._table_store),
            cloud,
            SettingsRevisionStore(self._table_store),
        )
        self._platform_watch.on_own_notice = self._handle_own_notice
        self._platform_watch.on_entry_hosts = self._update_table_budget
        self._link = link
        self._budgeted_hosts = MIN_BUDGETED_HOSTS
        self._server_watch = ServerWatch(self._runner, self._client, rng)
        self._peer_transport = PeerTransport(
            self._build_transport_config(),
            SettingsTableReader(self._table_store),
            self,
            self._runner.post,
        )
        self._kept_hand_overs = HandOverStore()
        self._build_request_handling(HttpObjectStore(link))
        self._admin = Admin(settings.security.operator_key, on_error)
        bounds = ConnectionBounds(max_connections(DEFAULT_LIMIT_BYTES))
        self._admin.server.kept = bounds.group()
        self._entry.server.kept = bounds.group(CALLERS_SHARE)
        self._admin.add("GET", "/admin/dump", self._async_dump)
        self._explain_operations = register_operations(
            self._admin,
            self._runner,
            TableSettings(self._table_store),
            host_id=self._host_id,
            deployment=settings.host.deployment,
        )
        self._settings_apply = SettingsApply(
            self._runner, settings.host.deployment
        )
        self._runner.connect(Drained, self._handle_drained)
        self._runner.connect(Superseded, self._handle_superseded)
        self._runner.connect(QuarantineChanged, log_quarantine_change)
        for kind in (SendPeer, PollRevision, ReadSettings, PullSettings):
            self._runner.connect(kind, self._peer_transport.execute)

    @property
    def _host_id(self) -> HostId:
        return HostId(self._settings.host.host_id)

    def _build_trace_header(self) -> TraceHeader:
        """Return the node's initial state, with which a trace begins.

        The node is built from it, so that a replay starts alike.
        """
        host, listen = self._settings.host, self._settings.listen
        own = Member(
            host_id=self._host_id,
            incarnation=self._incarnation,
            refutation=0,
            region=host.region,
            failure_domain=FailureDomain(host.failure_domain),
            addresses=Addresses(
                http=listen.http,
                peer_tcp=listen.peer_tcp,
                peer_udp=listen.peer_udp,
            ),
            state=MemberState.ALIVE,
        )
        loop = asyncio.get_running_loop()
        return TraceHeader(
            own=own,
            seeds=tuple(self._settings.platform.seeds.split()),
            unix_offset=self._started_unix - loop.time(),
            seed=self._incarnation,
        )

    def _build_transport_config(self) -> TransportConfig:
        listen = self._settings.listen
        key = bytes.fromhex(self._settings.security.cluster_key)
        return TransportConfig(
            listen_udp=listen.peer_udp,
            listen_tcp=listen.peer_tcp,
            keys=(key,),
        )

    def _build_request_handling(self, objects: HttpObjectStore) -> None:
        key = bytes.fromhex(self._settings.security.cluster_key)
        tickets = TicketSigner(key)
        exchanges = Exchanges()
        self._attempts = AttemptRunner(self._runner, exchanges, self._client)
        self._claims = ClaimTasks(
            self._runner,
            exchanges,
            self._client,
            ClaimStore(self._table_store),
            objects,
        )
        self._hand_overs = HandOverTasks(
            self._runner,
            exchanges,
            self._peer_transport.peers,
            self._kept_hand_overs,
        )
        id_prefix = f"{self._host_id}-{self._incarnation:x}"
        self._entry = Entry(
            self._runner,
            exchanges,
            Intake(
                id_prefix,
                self.node.directory,
                tickets,
                lambda: self.node.serving,
            ),
            tickets,
            objects,
            on_error,
        )

    # Handlers of peers' calls

    def settings_since(self, revision: int) -> SettingsDelta:
        """Return the settings changed since a revision; 0 means all."""
        history = self.node.cluster.settings.history
        return history.delta_since(revision)

    def store_hand_over(self, hand_over: HandOver) -> bool:
        """Store the progress of a peer's request.

        Returns False if there is no room.
        """
        return self._kept_hand_overs.store(hand_over)

    def find_hand_over(self, request_id: RequestId) -> HandOver | None:
        """Return the progress of a peer's request if it is stored here."""
        return self._kept_hand_overs.find(request_id)

    def dump_state(self) -> str:
        """Return the state of this process as JSON."""
        return orjson.dumps(self._build_dump()).decode()

    # Start and stop

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
        log_message(message_type="started", host=self._settings.host.host_id)
        code = await self._async_wait_for_stop()
        await self._async_unload()
        log_message(message_type="stopped", exit_code=code)
        return code

    async def _async_setup(self) -> None:
        listen = self._settings.listen
        await self._admin.async_setup(*_split_address(listen.admin))
        await self._peer_transport.async_bind()
        self._peer_transport.start()
        await self._claims.async_setup()
        await self._platform_watch.async_setup()
        await self._server_watch.async_setup()
        await self._entry.async_setup(*_split_address(listen.http))

    async def _async_wait_for_stop(self) -> int:
        drained = asyncio.create_task(self._drained.wait())
        forced = asyncio.create_task(self._force_stop.wait())
        await asyncio.wait(
            [drained, forced], return_when=asyncio.FIRST_COMPLETED
        )
        if self._force_stop.is_set():
            return EXIT_FORCED_STOP
        await asyncio.sleep(DRAIN_GRACE_S)
        return EXIT_OK

    async def _async_unload(self) -> None:
        await self._entry.async_unload()
        await self._hand_overs.async_unload()
        await self._attempts.async_unload()
        await self._claims.async_unload()
        await self._platform_watch.async_unload()
        await self._duty_tasks.async_unload()
        await self._server_watch.async_unload()
        self._runner.post(Leave())
        await self._peer_transport.async_stop()
        await self._admin.async_unload()
        await self._client.async_unload()

    def _install_signal_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._handle_stop_signal)

    def _handle_stop_signal(self) -> None:
        if self.node.draining:
            log_message(
                message_type="forced_stop",
                reason="second stop signal: aborting requests in progress",
            )
            self._force_stop.set()
            return
        self.drain()

    def drain(self) -> None:
        """Start a graceful stop; the process ends once it has drained."""
        log_message(message_type="draining")
        self._runner.post(DrainRequested())
        self._entry.server.start_drain()

    # Handlers of notices, actions and operators' calls

    def _handle_own_notice(self, notice: ReclaimNotice) -> None:
        """Stop gracefully by the deadline of this host's reclaim notice."""
        log_message(
            message_type="reclaimed", deadline_unix=notice.deadline_unix
        )
        self._entry.server.start_drain()
        self._runner.post(OwnHostLeaving(deadline_unix=notice.deadline_unix))

    def _update_table_budget(self, hosts: tuple[EntryHost, ...]) -> None:
        """Adjust this host's share of the table service's rate limits."""
        count = max(len(hosts), MIN_BUDGETED_HOSTS)
        if count != self._budgeted_hosts:
            self._budgeted_hosts = count
            self._link.set_budget(TableBudget.for_hosts(count))

    def _handle_drained(self, action: Action) -> None:
        self._drained.set()

    def _handle_superseded(self, action: Action) -> None:
        log_message(
            message_type="superseded",
            reason="a later process uses this host id: stopping",
        )
        if not self.node.draining:
            self.drain()

    async def _async_dump(self, req: HttpRequest) -> Any:
        return self._build_dump()

    def _build_dump(self) -> Any:
        state = build_state_dump(self._settings, self.node, self._started_unix)
        counters = self._peer_transport.counters() | dict(self._link.calls)
        return (
            state
            | {"counters": counters}
            | self._explain_operations.dump_parts()
        )


def _open_trace(settings: Settings, header: TraceHeader) -> TraceWriter | None:
    """Open the trace of events if the settings name a file for it."""
    name = settings.log.trace
    if not name:
        return None
    out = open(name, "wb", buffering=TRACE_BUFFER_BYTES)  # noqa: SIM115
    return TraceWriter(out, header)


def on_error(exc: Exception) -> None:
    """Log an unexpected exception with its traceback."""
    write_traceback(exc_info=(type(exc), exc, exc.__traceback__))


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
