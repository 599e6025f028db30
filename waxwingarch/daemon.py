"""Wiring of the daemon: which parts there are and in what order."""

import asyncio
import signal
import time
from random import Random
from typing import Any, Final

from eliot import log_message, write_traceback

from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.http_server import HttpRequest
from waxwingarch.adapters.platform import (
    HttpCloud,
    HttpObjectStore,
    HttpTableStore,
)
from waxwingarch.adapters.platform_http import PlatformLink, TableBudget
from waxwingarch.adapters.settings import Settings
from waxwingarch.adapters.ticket import TicketBook
from waxwingarch.const import EXIT_ADDRESS_IN_USE, EXIT_FORCED_STOP, EXIT_OK
from waxwingarch.core.base import Action, HostId
from waxwingarch.core.events import Drained, DrainRequested, PublishItem
from waxwingarch.core.guarded import Identity
from waxwingarch.core.node import Node
from waxwingarch.diagnostics import dump
from waxwingarch.ports.cloud import Notice
from waxwingarch.tasks.admin import Admin
from waxwingarch.tasks.attempts import AttemptRunner
from waxwingarch.tasks.claims import ClaimTasks
from waxwingarch.tasks.entry import Entry
from waxwingarch.tasks.exchange import Exchanges
from waxwingarch.tasks.intake import Intake
from waxwingarch.tasks.platform_watch import PlatformWatch
from waxwingarch.tasks.runner import Runner
from waxwingarch.tasks.settings_watch import SettingsWatch

DRAIN_GRACE_S: Final = 0.5
EXPECTED_HOSTS: Final = 9


class Daemon:
    """All parts of one entry host's process."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        rng = Random()
        self._started_unix = time.time()
        self._incarnation = int(self._started_unix * 1000)
        self.node = Node(self._identity(), rng)
        self._runner = Runner(self.node)
        self._client = HttpClient()
        link = PlatformLink(
            self._client,
            settings.platform.address,
            rng,
            TableBudget.for_hosts(EXPECTED_HOSTS),
        )
        self._table = HttpTableStore(link)
        host = settings.host
        cluster_key = bytes.fromhex(settings.security.cluster_key)
        tickets = TicketBook(cluster_key)
        exchanges = Exchanges()
        objects = HttpObjectStore(link)
        id_prefix = f"{host.host_id}-{self._incarnation:x}"
        self._attempts = AttemptRunner(self._runner, exchanges, self._client)
        self._claims = ClaimTasks(
            self._runner, exchanges, self._client, self._table, objects
        )
        self._entry = Entry(
            self._runner,
            exchanges,
            Intake(id_prefix, self.node.directory, tickets),
            tickets,
            objects,
            on_error,
        )
        self._platform = PlatformWatch(
            self._runner, HttpCloud(link), HostId(host.host_id), rng
        )
        self._platform.on_own_notice = self._own_notice
        self._settings_watch = SettingsWatch(
            self._runner, self._table, host.deployment, rng
        )
        self._admin = Admin(settings.security.operator_key, on_error)
        self._admin.add("GET", "/admin/dump", self._async_dump)
        self._runner.connect(PublishItem, self._publish)
        self._runner.connect(Drained, self._on_drained)
        self._drained = asyncio.Event()
        self._forced = asyncio.Event()

    def _identity(self) -> Identity:
        loop = asyncio.get_running_loop()
        return Identity(
            host_id=HostId(self._settings.host.host_id),
            incarnation=self._incarnation,
            unix_offset=self._started_unix - loop.time(),
        )

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
        await self._runner.async_setup()
        await self._settings_watch.async_setup()
        await self._platform.async_setup()
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
        await self._attempts.async_unload()
        await self._claims.async_unload()
        await self._platform.async_unload()
        await self._settings_watch.async_unload()
        await self._runner.async_unload()
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
        if not self.node.draining:
            self.drain()

    def _publish(self, action: PublishItem) -> None:
        log_message(message_type="item", item=str(action.item))

    def _on_drained(self, action: Action) -> None:
        self._drained.set()

    async def _async_dump(self, req: HttpRequest) -> Any:
        return dump(self._settings, self.node, self._started_unix)


def on_error(exc: Exception) -> None:
    """Log an error that no one expected."""
    write_traceback(exc_info=(type(exc), exc, exc.__traceback__))


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
