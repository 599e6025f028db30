"""The UDP socket for gossip between entry hosts."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

from waxwingarch.adapters.addresses import join_address, split_address
from waxwingarch.adapters.item_codec import MalformedMessageError
from waxwingarch.adapters.peer_codec import (
    DatagramSeal,
    decode_datagram,
    encode_datagram,
)
from waxwingarch.core.cluster.messages import Datagram

# Called with the sender's address and the datagram.
Receive = Callable[[str, Datagram], None]


@dataclass(kw_only=True, slots=True)
class UdpCounters:
    """Traffic counters since the socket was opened.

    `malformed` datagrams are included in `received`; `errors` counts
    failed sends and errors reported by the network.
    """

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    malformed: int = 0
    errors: int = 0


class UdpPeers(asyncio.DatagramProtocol):
    """Sends and receives datagrams; created by `async_open_udp`."""

    def __init__(self, receive: Receive, seal: DatagramSeal) -> None:
        self.counters = UdpCounters()
        self._receive = receive
        self._seal = seal
        self._transport: asyncio.DatagramTransport | None = None

    @property
    def address(self) -> str:
        """Return the address that the socket is bound to."""
        if self._transport is None:
            return ""
        host, port = self._transport.get_extra_info("sockname")[:2]
        return join_address(host, port)

    def send(self, address: str, datagram: Datagram) -> None:
        """Send a datagram; one that cannot be sent is counted and dropped."""
        if self._transport is None or self._transport.is_closing():
            return
        data = self._seal.seal(encode_datagram(datagram))
        try:
            self._transport.sendto(data, split_address(address))
        except (OSError, ValueError):
            self.counters.errors += 1
            return
        self.counters.sent += 1
        self.counters.sent_bytes += len(data)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    # -- called by asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for sending."""
        # The transport of the selector loop is no subclass of
        # asyncio.DatagramTransport, although it has its interface.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Decode a datagram and pass it to the receiver."""
        self.counters.received += 1
        self.counters.received_bytes += len(data)
        try:
            datagram = decode_datagram(self._seal.open(data))
        except MalformedMessageError:
            self.counters.malformed += 1
            return
        self._receive(join_address(addr[0], addr[1]), datagram)

    def error_received(self, exc: Exception) -> None:
        """Count a network error; gossip tolerates lost datagrams."""
        self.counters.errors += 1


async def async_open_udp(
    address: str, receive: Receive, seal: DatagramSeal
) -> UdpPeers:
    """Bind a socket to "ip:port"; raises OSError if it is in use."""
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_datagram_endpoint(
        lambda: UdpPeers(receive, seal), local_addr=split_address(address)
    )
    return protocol
