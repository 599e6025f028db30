"""The task that owns a host's sockets towards its peers."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from dataclasses import asdict, dataclass
from ssl import SSLContext
from typing import Any, Final, Protocol

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
    """The settings as the platform's table service keeps them.

    Both raise PlatformUnavailableError, at the latest at `deadline` on
    the loop's clock. Documents and revision are read as one: a read
    during which the revision row changed is repeated.
    """

    async def async_read_revision(self, deadline: float) -> int:
        """Return the revision, 0 for none yet."""
        ...

    async def async_read_settings(self, deadline: float) -> SettingsSnapshot:
        """Return all documents with their revision."""
        ...


@dataclass(frozen=True, kw_only=True, slots=True)
class TransportConfig:
    """Where to listen ("ip:port") and how peers know each other."""

    listen_udp: str
    listen_tcp: str
    keys: tuple[bytes, ...] = ()
    server_tls: SSLContext | None = None
    client_tls: SSLContext | None = None


class PeerTransport:
    """Turns messages into events, and the actions on peers into I/O.

    `dispatch` takes each event; the machine behind it hands actions
    back through `execute`.
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
        self._ticker: asyncio.Task[None] | None = None
        self._calls: set[asyncio.Task[None]] = set()
        self._executors: dict[type[Action], Callable[[Any], None]] = {
            SendPeer: self._send,
            PollRevision: self._poll_revision,
            ReadSettings: self._read_settings,
            PullSettings: self._pull_settings,
        }

    @property
    def peers(self) -> GrpcPeers:
        """Return the client for calls to peers."""
        return self._peers

    @property
    def udp(self) -> UdpPeers:
        """Return the socket for datagrams."""
        assert self._udp is not None
        return self._udp

    def counters(self) -> dict[str, int]:
        """Return the traffic with peers since the start."""
        return {**asdict(self.udp.counters), "grpc_calls": self._peers.calls}

    @property
    def tcp_address(self) -> str:
        """Return where peers can call this host."""
        return self._server.address

    async def async_bind(self) -> None:
        """Open the sockets; raises OSError if an address is taken."""
        seal = DatagramSeal(self._cfg.keys)
        self._udp = await async_open_udp(
            self._cfg.listen_udp, self._on_datagram, seal
        )
        await self._server.async_start(self._cfg.listen_tcp)

    def start(self) -> None:
        """Begin to tick; datagrams are dispatched from here on."""
        self._ticker = asyncio.create_task(self._async_tick())

    async def async_stop(self) -> None:
        """Stop ticking and close the sockets."""
        tasks = [task for task in (self._ticker, *self._calls) if task]
        self._ticker = None
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._peers.close()
        await self._server.async_stop()
        if self._udp is not None:
            self._udp.close()

    def execute(self, action: Action) -> bool:
        """Carry out an action on peers or settings; False if it is none."""
        executor = self._executors.get(type(action))
        if executor is None:
            return False
        executor(action)
        return True

    def _on_datagram(self, source: str, datagram: Datagram) -> None:
        if self._ticker is not None:
            self._dispatch(DatagramReceived(source=source, datagram=datagram))

    async def _async_tick(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._dispatch(Tick(unix_now=time.time()))
            # On a fixed grid, so that work done does not delay the next.
            await asyncio.sleep(TICK_PERIOD_S - loop.time() % TICK_PERIOD_S)

    def _send(self, action: SendPeer) -> None:
        self.udp.send(action.address, action.datagram)

    def _poll_revision(self, action: PollRevision) -> None:
        self._spawn(self._async_poll_revision())

    def _read_settings(self, action: ReadSettings) -> None:
        self._spawn(self._async_read_settings())

    def _pull_settings(self, action: PullSettings) -> None:
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
