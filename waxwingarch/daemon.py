"""Wiring of the daemon: which parts there are and in what order."""

import asyncio
import signal
import time
from random import Random
from typing import Any, Final

import orjson
from eliot import log_message, write_traceback

from waxwingarch.adapters.claim_store import ClaimStore
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.http_messages import (
    HttpRequest,
)
from waxwingarch.adapters.lease_store import LeaseStore
from waxwingarch.adapters.platform import (
    HttpCloud,
    HttpObjectStore,
    HttpTableStore,
)
from waxwingarch.adapters.platform_http import PlatformLink, TableBudget
from waxwingarch.adapters.settings import Settings
from waxwingarch.adapters.settings_store import SettingsStore
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
from waxwingarch.core.requests.handoff import OwnHostLeaving
from waxwingarch.core.requests.handover import HandOver
from waxwingarch.core.settings.settings import SettingsDelta
from waxwingarch.diagnostics import dump
from waxwingarch.ports.cloud import EntryHost, Notice
from waxwingarch.tasks.admin import Admin
from waxwingarch.tasks.attempts import AttemptRunner
from waxwingarch.tasks.claims import ClaimTasks
from waxwingarch.tasks.control import Control
from waxwingarch.tasks.entry import Entry
from waxwingarch.tasks.exchange import Exchanges
from waxwingarch.tasks.handovers import HandOverShelf, HandOverTasks
from waxwingarch.tasks.intake import Intake
from waxwingarch.tasks.operator_api import register
from waxwingarch.tasks.peer_transport import PeerTransport, TransportConfig
from waxwingarch.tasks.platform_watch import PlatformWatch
from waxwingarch.tasks.runner import Runner
from waxwingarch.tasks.server_watch import ServerWatch
from waxwingarch.tasks.settings_apply import SettingsApply

MS_PER_S: Final = 1000
TRACE_BUFFER_BYTES: Final = 64 * 1024
DRAIN_GRACE_S: Final = 0.5
EXPECTED_HOSTS: Final = 9


class Daemon:
    """All parts of one entry host's process."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._started_unix = time.time()
        self._incarnation = int(self._started_unix * MS_PER_S)
        self._drained = asyncio.Event()
        self._forced = asyncio.Event()
        header = self._trace_header()
        self.node = header.node()
        self._runner = Runner(self.node, _recorder(settings, header))
        self._client = HttpClient()
        rng = Random()
        self._link = link = PlatformLink(
            self._client,
            settings.platform.address,
            rng,
            TableBudget.for_hosts(EXPECTED_HOSTS),
        )
        self._table = HttpTableStore(link)
        cloud = HttpCloud(link)
        self._platform = PlatformWatch(self._runner, cloud, self._host_id, rng)
        self._control = Control(
            self._runner,
            LeaseStore(self._table),
            cloud,
            SettingsStore(self._table),
        )
        self._platform.on_own_notice = self._own_notice
        self._platform.on_entry_hosts = self._on_entry_hosts
        self._link = link
        self._hosts = EXPECTED_HOSTS
        self._servers = ServerWatch(self._runner, self._client, rng)
        self._peers = PeerTransport(
            self._transport_config(),
            SettingsTableReader(self._table),
            self,
            self._runner.post,
        )
        self._shelf = HandOverShelf()
        self._build_caller_side(HttpObjectStore(link))
        self._admin = Admin(settings.security.operator_key, on_error)
        self._admin.add("GET", "/admin/dump", self._async_dump)
        self._explain = register(
            self._admin,
            self._runner,
            TableSettings(self._table),
            host_id=self._host_id,
            deployment=settings.host.deployment,
        )
        self._settings_apply = SettingsApply(
            self._runner, settings.host.deployment
        )
        self._runner.connect(Drained, self._on_drained)
        self._runner.connect(Superseded, self._on_superseded)
        for kind in (SendPeer, PollRevision, ReadSettings, PullSettings):
            self._runner.connect(kind, self._peers.execute)

    @property
    def _host_id(self) -> HostId:
        return HostId(self._settings.host.host_id)

    def _trace_header(self) -> TraceHeader:
        """Return what the node is made with, for its record."""
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

    def _transport_config(self) -> TransportConfig:
        listen = self._settings.listen
        key = bytes.fromhex(self._settings.security.cluster_key)
        return TransportConfig(
            listen_udp=listen.peer_udp,
            listen_tcp=listen.peer_tcp,
            keys=(key,),
        )

    def _build_caller_side(self, objects: HttpObjectStore) -> None:
        key = bytes.fromhex(self._settings.security.cluster_key)
        tickets = TicketSigner(key)
        exchanges = Exchanges()
        self._attempts = AttemptRunner(self._runner, exchanges, self._client)
        self._claims = ClaimTasks(
            self._runner,
            exchanges,
            self._client,
            ClaimStore(self._table),
            objects,
        )
        self._hand_overs = HandOverTasks(
            self._runner, exchanges, self._peers.peers, self._shelf
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

    # What peers ask for

    def settings_since(self, revision: int) -> SettingsDelta:
        """Return what changed since a revision, 0 for everything."""
        history = self.node.cluster.settings.history
        return history.delta_since(revision)

    def store_hand_over(self, hand_over: HandOver) -> bool:
        """Keep the progress of a request for a peer."""
        return self._shelf.keep(hand_over)

    def find_hand_over(self, request_id: RequestId) -> HandOver | None:
        """Return the progress of a request kept here."""
        return self._shelf.find(request_id)

    def dump_state(self) -> str:
        """Return the state of this process as JSON."""
        return orjson.dumps(self._dump()).decode()

    # Life

    async def async_run(self) -> int:
        """Serve until stopped; returns the exit code."""
        self._catch_signals()
        try:
            await self._async_setup()
        except OSError as exc:
            log_message(
                message_type="address_in_use",
                reason=f"{exc}; free the address or change [listen]",
            )
            return EXIT_ADDRESS_IN_USE
        log_message(message_type="started", host=self._settings.host.host_id)
        code = await self._async_wait()
        await self._async_unload()
        log_message(message_type="stopped", exit_code=code)
        return code

    async def _async_setup(self) -> None:
        listen = self._settings.listen
        await self._admin.async_setup(*_split(listen.admin))
        await self._peers.async_bind()
        self._peers.start()
        await self._claims.async_setup()
        await self._platform.async_setup()
        await self._servers.async_setup()
        await self._entry.async_setup(*_split(listen.http))

    async def _async_wait(self) -> int:
        drained = asyncio.create_task(self._drained.wait())
        forced = asyncio.create_task(self._forced.wait())
        await asyncio.wait(
            [drained, forced], return_when=asyncio.FIRST_COMPLETED
        )
        if self._forced.is_set():
            return EXIT_FORCED_STOP
        await asyncio.sleep(DRAIN_GRACE_S)
        return EXIT_OK

    async def _async_unload(self) -> None:
        await self._entry.async_unload()
        await self._hand_overs.async_unload()
        await self._attempts.async_unload()
        await self._claims.async_unload()
        await self._platform.async_unload()
        await self._control.async_unload()
        await self._servers.async_unload()
        self._runner.post(Leave())
        await self._peers.async_stop()
        await self._admin.async_unload()
        await self._client.async_unload()

    def _catch_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop_signal)

    def _stop_signal(self) -> None:
        if self.node.draining:
            log_message(
                message_type="forced_stop",
                reason="a second signal came: requests in progress are cut",
            )
            self._forced.set()
            return
        self.drain()

    def drain(self) -> None:
        """Begin a graceful stop."""
        log_message(message_type="draining")
        self._runner.post(DrainRequested())
        self._entry.server.start_drain()

    # Actions and calls

    def _own_notice(self, notice: Notice) -> None:
        """Stop gracefully by a deadline: this host is reclaimed."""
        log_message(
            message_type="reclaimed", deadline_unix=notice.deadline_unix
        )
        self._entry.server.start_drain()
        self._runner.post(OwnHostLeaving(deadline_unix=notice.deadline_unix))

    def _on_entry_hosts(self, hosts: tuple[EntryHost, ...]) -> None:
        """Keep to this host's part of the table's limits."""
        count = max(len(hosts), EXPECTED_HOSTS)
        if count != self._hosts:
            self._hosts = count
            self._link.set_budget(TableBudget.for_hosts(count))

    def _on_drained(self, action: Action) -> None:
        self._drained.set()

    def _on_superseded(self, action: Action) -> None:
        log_message(
            message_type="superseded",
            reason="a later process runs as this host: stopping",
        )
        if not self.node.draining:
            self.drain()

    async def _async_dump(self, req: HttpRequest) -> Any:
        return self._dump()

    def _dump(self) -> Any:
        state = dump(self._settings, self.node, self._started_unix)
        counters = self._peers.counters() | dict(self._link.calls)
        return state | {"counters": counters} | self._explain.dump_parts()


def _recorder(settings: Settings, header: TraceHeader) -> TraceWriter | None:
    """Return the record of events, if the settings name a file."""
    name = settings.log.trace
    if not name:
        return None
    out = open(name, "wb", buffering=TRACE_BUFFER_BYTES)  # noqa: SIM115
    return TraceWriter(out, header)


def on_error(exc: Exception) -> None:
    """Log an error that no one expected."""
    write_traceback(exc_info=(type(exc), exc, exc.__traceback__))


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
