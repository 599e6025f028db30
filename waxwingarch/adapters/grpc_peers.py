"""gRPC calls between entry hosts, for what gossip datagrams do not suit.

These are rare or large messages, and those that need a reply.
"""

import asyncio
import hmac
import socket
import ssl
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Sequence
from hashlib import blake2s
from typing import TYPE_CHECKING, Final, Protocol, TypeVar

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.events import RecvRequest, SendRequest, listen
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server

from waxwingarch.adapters.addresses import join_address, split_address
from waxwingarch.core.base import AccountId, RequestId, ServerId
from waxwingarch.core.requests.handover import HandOver
from waxwingarch.core.settings.settings import Document, SettingsDelta
from waxwingarch.exceptions import LinkError
from waxwingarch.protocol import peer_pb2 as pb
from waxwingarch.protocol.peer_grpc import PeerBase, PeerStub

if TYPE_CHECKING:
    from grpclib.server import Stream

MAX_CHANNELS: Final = 16
TOKEN_KEY: Final = "x-peer-token"
ReplyT = TypeVar("ReplyT")


class PeerHandlers(Protocol):
    """The operations that a host offers its peers."""

    def settings_since(self, revision: int) -> SettingsDelta:
        """Return the changes since a revision; 0 returns all documents."""
        ...

    def store_hand_over(self, hand_over: HandOver) -> bool:
        """Store the progress of a request; return False if out of room."""
        ...

    def find_hand_over(self, request_id: RequestId) -> HandOver | None:
        """Return the stored progress of a request, or None."""
        ...

    def dump_state(self) -> str:
        """Return the state of this process as JSON."""
        ...


def _write_hand_over(hand_over: HandOver) -> pb.HandOverRecord:
    return pb.HandOverRecord(
        request_id=hand_over.request_id,
        account=hand_over.account,
        path=hand_over.path,
        body=hand_over.body,
        tokens=hand_over.tokens,
        server_id=hand_over.server_id,
        stream_id=hand_over.stream_id,
        deadline_unix=hand_over.deadline_unix,
        digest=hand_over.digest,
    )


def _read_hand_over(raw: pb.HandOverRecord) -> HandOver:
    return HandOver(
        request_id=RequestId(raw.request_id),
        account=AccountId(raw.account),
        path=raw.path,
        body=raw.body,
        tokens=tuple(raw.tokens),
        server_id=ServerId(raw.server_id),
        stream_id=raw.stream_id,
        deadline_unix=raw.deadline_unix,
        digest=raw.digest,
    )


def _write_delta(delta: SettingsDelta) -> pb.PullSettingsReply:
    return pb.PullSettingsReply(
        base_revision=delta.base_revision,
        revision=delta.revision,
        digest=delta.digest,
        changed=[pb.Document(name=d.name, text=d.text) for d in delta.changed],
        removed=delta.removed,
    )


def _read_delta(raw: pb.PullSettingsReply) -> SettingsDelta:
    return SettingsDelta(
        base_revision=raw.base_revision,
        revision=raw.revision,
        digest=raw.digest,
        changed=tuple(Document(name=d.name, text=d.text) for d in raw.changed),
        removed=tuple(raw.removed),
    )


def _method_token(key: bytes, method: str) -> str:
    """Return the keyed digest that authenticates a call of a method."""
    return blake2s(method.encode(), key=key[:32]).hexdigest()


class _Service(PeerBase):
    """Converts between protocol messages and calls of the handlers."""

    def __init__(self, handlers: PeerHandlers) -> None:
        self._handlers = handlers

    async def PullSettings(  # noqa: N802
        self, stream: "Stream[pb.PullSettingsRequest, pb.PullSettingsReply]"
    ) -> None:
        request = await stream.recv_message()
        if request is not None:
            delta = self._handlers.settings_since(request.have_revision)
            await stream.send_message(_write_delta(delta))

    async def HandOver(  # noqa: N802
        self, stream: "Stream[pb.HandOverRecord, pb.HandOverReply]"
    ) -> None:
        request = await stream.recv_message()
        if request is None:
            return
        hand_over = _read_hand_over(request)
        if not hand_over.is_intact:
            raise GRPCError(Status.DATA_LOSS, "tokens do not match digest")
        kept = self._handlers.store_hand_over(hand_over)
        await stream.send_message(pb.HandOverReply(kept=kept))

    async def FetchHandOver(  # noqa: N802
        self,
        stream: "Stream[pb.FetchHandOverRequest, pb.FetchHandOverReply]",
    ) -> None:
        request = await stream.recv_message()
        if request is None:
            return
        hand_over = self._handlers.find_hand_over(
            RequestId(request.request_id)
        )
        reply = pb.FetchHandOverReply()
        if hand_over is not None:
            reply.record.CopyFrom(_write_hand_over(hand_over))
        await stream.send_message(reply)

    async def DumpState(  # noqa: N802
        self, stream: "Stream[pb.DumpStateRequest, pb.DumpStateReply]"
    ) -> None:
        if await stream.recv_message() is not None:
            reply = pb.DumpStateReply(json=self._handlers.dump_state())
            await stream.send_message(reply)


class GrpcPeerServer:
    """Serves the calls of peers.

    With `keys`, a call must carry a token made with any one of them, so
    that keys can be rotated host by host. `keys` empty accepts all calls.
    """

    def __init__(
        self,
        handlers: PeerHandlers,
        keys: Sequence[bytes] = (),
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._keys = tuple(keys)
        self._tls = tls
        self._server = Server([_Service(handlers)])
        self._address = ""
        listen(self._server, RecvRequest, self._check_token)

    @property
    def address(self) -> str:
        """Return the address that the server is bound to."""
        return self._address

    async def async_start(self, address: str) -> None:
        """Listen on "ip:port"; raises OSError if the address is in use."""
        sock = _open_listener(address)
        await self._server.start(sock=sock, ssl=self._tls)
        host, port = sock.getsockname()[:2]
        self._address = join_address(host, port)

    async def async_stop(self) -> None:
        """Stop listening and close open connections."""
        if not self._address:
            return
        self._server.close()
        await self._server.wait_closed()

    async def _check_token(self, event: RecvRequest) -> None:
        if not self._keys:
            return
        token = str(event.metadata.get(TOKEN_KEY, ""))
        for key in self._keys:
            if hmac.compare_digest(
                token, _method_token(key, event.method_name)
            ):
                return
        raise GRPCError(Status.UNAUTHENTICATED, "peer key differs")


def _open_listener(address: str) -> socket.socket:
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.create_server((host, port), family=family)
    sock.setblocking(False)
    return sock


class GrpcPeers:
    """Calls peers; each call ends by its deadline.

    After a call that timed out, its connection is dropped and the next
    call opens a new one: a middlebox may have lost the old one's state.
    """

    def __init__(
        self,
        keys: Sequence[bytes] = (),
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._keys = tuple(keys)
        self._tls = tls
        self._channels: OrderedDict[str, Channel] = OrderedDict()
        self.calls = 0

    async def async_pull_settings(
        self, address: str, have_revision: int, deadline: float
    ) -> SettingsDelta:
        """Return the peer's settings changes since a revision."""
        request = pb.PullSettingsRequest(have_revision=have_revision)
        reply = await self._async_call(
            address,
            lambda stub, timeout_s: stub.PullSettings(
                request, timeout=timeout_s
            ),
            deadline,
        )
        return _read_delta(reply)

    async def async_hand_over(
        self, address: str, hand_over: HandOver, deadline: float
    ) -> bool:
        """Send a request's progress; return whether the peer stored it."""
        request = _write_hand_over(hand_over)
        reply = await self._async_call(
            address,
            lambda stub, timeout_s: stub.HandOver(request, timeout=timeout_s),
            deadline,
        )
        return reply.kept

    async def async_fetch_hand_over(
        self, address: str, request_id: RequestId, deadline: float
    ) -> HandOver | None:
        """Return the progress of a request that the peer has stored.

        Returns None if there is none, or if its digest does not match.
        """
        request = pb.FetchHandOverRequest(request_id=request_id)
        reply = await self._async_call(
            address,
            lambda stub, timeout_s: stub.FetchHandOver(
                request, timeout=timeout_s
            ),
            deadline,
        )
        if not reply.HasField("record"):
            return None
        hand_over = _read_hand_over(reply.record)
        return hand_over if hand_over.is_intact else None

    async def async_dump_state(self, address: str, deadline: float) -> str:
        """Return the state of the peer process as JSON."""
        reply = await self._async_call(
            address,
            lambda stub, timeout_s: stub.DumpState(
                pb.DumpStateRequest(), timeout=timeout_s
            ),
            deadline,
        )
        return reply.json

    def close(self) -> None:
        """Close all connections."""
        for address in list(self._channels):
            self._drop(address)

    async def _async_call(
        self,
        address: str,
        call: Callable[[PeerStub, float], Awaitable[ReplyT]],
        deadline: float,
    ) -> ReplyT:
        """Call by `deadline` on the loop's clock; raises LinkError."""
        timeout_s = deadline - asyncio.get_running_loop().time()
        if timeout_s <= 0:
            raise LinkError(f"no time left to call {address}; try later")
        self.calls += 1
        stub = PeerStub(self._channel(address))
        try:
            # The timeout of the call itself does not cover connecting.
            return await asyncio.wait_for(call(stub, timeout_s), timeout_s)
        except GRPCError as exc:
            raise LinkError(
                f"peer {address} refused: {exc.status.name} {exc.message}; "
                "check its log and the peer key"
            ) from exc
        except (TimeoutError, OSError, StreamTerminatedError) as exc:
            self._drop(address)
            raise LinkError(
                f"peer {address} did not answer in time; try another"
            ) from exc

    def _channel(self, address: str) -> Channel:
        """Return the channel to a peer; the least recently used is closed."""
        channel = self._channels.get(address)
        if channel is None:
            channel = self._open(address)
        self._channels[address] = channel
        self._channels.move_to_end(address)
        if len(self._channels) > MAX_CHANNELS:
            self._drop(next(iter(self._channels)))
        return channel

    def _open(self, address: str) -> Channel:
        host, port = split_address(address)
        channel = Channel(host, port, ssl=self._tls)
        listen(channel, SendRequest, self._add_token)
        return channel

    async def _add_token(self, event: SendRequest) -> None:
        if self._keys:
            token = _method_token(self._keys[0], event.method_name)
            event.metadata[TOKEN_KEY] = token

    def _drop(self, address: str) -> None:
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()
