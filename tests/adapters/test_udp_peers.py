"""Tests of the UDP socket for gossip."""

import asyncio

import testtools

from tests.helpers import async_test
from waxwingarch.adapters.addresses import join_address, split_address
from waxwingarch.adapters.peer_codec import DatagramSeal
from waxwingarch.adapters.udp_peers import (
    async_open_udp,
)
from waxwingarch.core.base import HostId
from waxwingarch.core.cluster.messages import Datagram, Gossip

LOOPBACK = "127.0.0.1:0"
GOSSIP = Datagram(
    sender=HostId("h1"),
    incarnation=1,
    applied_revision=0,
    body=Gossip(relay=True),
)


class TestUdpPeers(testtools.TestCase):
    def test_ipv4_and_ipv6_addresses_round_trip(self) -> None:
        for text, parts in (
            ("10.0.0.1:7", ("10.0.0.1", 7)),
            ("[::1]:7", ("::1", 7)),
        ):
            self.assertEqual(parts, split_address(text))
            self.assertEqual(text, join_address(*parts))

    @async_test
    async def test_received_malformed_and_failed_datagrams_are_counted(
        self,
    ) -> None:
        received: asyncio.Queue[tuple[str, Datagram]] = asyncio.Queue()
        seal = DatagramSeal([b"k"])
        sender = await async_open_udp(LOOPBACK, lambda a, d: None, seal)
        receiver = await async_open_udp(
            LOOPBACK, lambda a, d: received.put_nowait((a, d)), seal
        )
        keyless = await async_open_udp(
            LOOPBACK, lambda a, d: None, DatagramSeal()
        )
        keyless.send(receiver.address, GOSSIP)
        sender.send(receiver.address, GOSSIP)
        self.assertEqual((sender.address, GOSSIP), await received.get())
        self.assertEqual(1, receiver.counters.malformed)
        self.assertEqual(2, receiver.counters.received)
        sender.send("no address", GOSSIP)
        self.assertEqual(
            (1, 1), (sender.counters.errors, sender.counters.sent)
        )
        for peers in (sender, receiver, keyless):
            peers.close()
        sender.send(receiver.address, GOSSIP)
        self.assertEqual(1, sender.counters.sent)
