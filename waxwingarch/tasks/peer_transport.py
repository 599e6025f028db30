"""The sockets of a host for its peers, and the cluster core's I/O.

The I/O includes polls and reads of the settings in the table service.
"""

import asyncio
import time
from collections.abc import Callable, Coroutine
from dataclasses import asdict, dataclass
from ssl import SSLContext
from typing import Any, Final, Protocol

from eliot import write_traceback

from waxwingarch.adapters.grpc_peers import (
    GrpcPeers,
    GrpcPeerServer,
    PeerHandlers,
)
from waxwingarch.adapters.peer_codec import DatagramSeal
from waxwingarch.adapters.udp_peers import UdpPeers, async_open_udp
from waxwingarch.core.base import Action, Event
from waxwingarch.core.cluster.configsync import (
    POLL_TIMEOUT_S,
    PULL_TIMEOUT_S,
    READ_TIMEOUT_S,
    PollRevision,
    PullFailed,
    PullSettings,
    ReadSettings,
    RevisionRead,
    RevisionUnavailable,
    SettingsPulled,
    SettingsRead,
    SettingsUnavailable,
)
from waxwingarch.core.cluster.messages import (
    Datagram,
    DatagramReceived,
    SendPeer,
    Tick,
)
from waxwingarch.core.settings.settings import SettingsSnapshot
from waxwingarch.exceptions import LinkError, PlatformUnavailableError

TICK_PERIOD_S: Final = 0.1


class SettingsTable(Protocol):
    """The settings in the platform's table service.

    Both methods raise `PlatformUnavailableError`, at the latest at
    `deadline` on the loop's clock. Documents and revision are read
    consistently: a read during which the revision row changed is
    repeated.
    """

    async def async_read_revision(self, deadline: float) -> int:
        """Return the revision, 0 for none yet."""
        ...

    async def async_read_settings(self, deadline: float) -> SettingsSnapshot:
        """Return all documents with their revision."""
        ...


@dataclass(frozen=True, kw_only=True, slots=True)
class TransportConfig:
    """Addresses to listen on ("ip:port") and the peers' keys and TLS."""

    listen_udp: str
    listen_tcp: str
    keys: tuple[bytes, ...] = ()
    server_tls: SSLContext | None = None
    client_tls: SSLContext | None = None


class PeerTransport:
    """Turns received messages into events and actions into I/O.

    Each event is passed to `dispatch`. The node returns actions for it,
    and those on peers or settings are passed to `execute`.
    """

    def __init__(
        self,
        cfg: TransportConfig,
        table: SettingsTable,
        handlers: PeerHandlers,
        dispatch: Callable[[Event], None],
    ) -> None:
        self._cfg = cfg
        self._table = table
        self._dispatch = dispatch
        self._server = GrpcPeerServer(handlers, cfg.keys, cfg.server_tls)
        self._peers = GrpcPeers(cfg.keys, cfg.client_tls)
        self._udp: UdpPeers | None = None
        self._tick_task: asyncio.Task[None] | None = None
        self._calls: set[asyncio.Task[None]] = set()
        self._executors: dict[type[Action], Callable[[Any], None]] = {
            SendPeer: self._send_datagram,
            PollRevision: self._start_revision_poll,
            ReadSettings: self._start_settings_read,
            PullSettings: self._start_settings_pull,
        }

    @property
    def peers(self) -> GrpcPeers:
        """The client for calls to peers."""
        return self._peers

    @property
    def udp(self) -> UdpPeers:
        """The socket for datagrams."""
        assert self._udp is not None
        return self._udp

    def counters(self) -> dict[str, int]:
        """Return counters of the traffic with peers since the start."""
        return {**asdict(self.udp.counters), "grpc_calls": self._peers.calls}

    @property
    def tcp_address(self) -> str:
        """The address at which peers can call this host."""
        return self._server.address

    async def async_bind(self) -> None:
        """Open the sockets; raises OSError if an address is taken."""
        seal = DatagramSeal(self._cfg.keys)
        self._udp = await async_open_udp(
            self._cfg.listen_udp, self._handle_datagram, seal
        )
        await self._server.async_start(self._cfg.listen_tcp)

    def start(self) -> None:
        """Start the ticks; datagrams are dispatched only from now on."""
        self._tick_task = asyncio.create_task(self._async_tick())

    async def async_stop(self) -> None:
        """Stop ticking and close the sockets."""
        tasks = [task for task in (self._tick_task, *self._calls) if task]
        self._tick_task = None
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._peers.close()
        await self._server.async_stop()
        if self._udp is not None:
            self._udp.close()

    def execute(self, action: Action) -> bool:
        """Execute an action; return False if it is of another kind."""
        executor = self._executors.get(type(action))
        if executor is None:
            return False
        executor(action)
        return True

    def _handle_datagram(self, source: str, datagram: Datagram) -> None:
        if self._tick_task is not None:
            self._dispatch(DatagramReceived(source=source, datagram=datagram))

    async def _async_tick(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                self._dispatch(Tick(unix_now=time.time()))
            except Exception as exc:
                # Without ticks, nothing with a deadline would ever end.
                write_traceback(exc_info=(type(exc), exc, exc.__traceback__))
            # Ticks start at multiples of the period, so that the time that
            # a tick takes does not delay the next one.
            await asyncio.sleep(TICK_PERIOD_S - loop.time() % TICK_PERIOD_S)

    def _send_datagram(self, action: SendPeer) -> None:
        self.udp.send(action.address, action.datagram)

    def _start_revision_poll(self, action: PollRevision) -> None:
        self._spawn(self._async_poll_revision())

    def _start_settings_read(self, action: ReadSettings) -> None:
        self._spawn(self._async_read_settings())

    def _start_settings_pull(self, action: PullSettings) -> None:
        self._spawn(self._async_pull_settings(action))

    def _spawn(self, call: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(call)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _async_poll_revision(self) -> None:
        deadline = asyncio.get_running_loop().time() + POLL_TIMEOUT_S
        try:
            revision = await self._table.async_read_revision(deadline)
        except PlatformUnavailableError:
            self._dispatch(RevisionUnavailable())
        else:
            self._dispatch(RevisionRead(revision=revision))

    async def _async_read_settings(self) -> None:
        deadline = asyncio.get_running_loop().time() + READ_TIMEOUT_S
        try:
            snapshot = await self._table.async_read_settings(deadline)
        except PlatformUnavailableError:
            self._dispatch(SettingsUnavailable())
        else:
            self._dispatch(SettingsRead(snapshot=snapshot))

    async def _async_pull_settings(self, action: PullSettings) -> None:
        deadline = asyncio.get_running_loop().time() + PULL_TIMEOUT_S
        try:
            delta = await self._peers.async_pull_settings(
                action.address, action.have_revision, deadline
            )
        except LinkError:
            self._dispatch(PullFailed(peer=action.peer))
        else:
            self._dispatch(SettingsPulled(peer=action.peer, delta=delta))
