"""Tests of the gossip socket."""

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
    def test_addresses_of_both_families(self) -> None:
        for text, parts in (
            ("10.0.0.1:7", ("10.0.0.1", 7)),
            ("[::1]:7", ("::1", 7)),
        ):
            self.assertEqual(parts, split_address(text))
            self.assertEqual(text, join_address(*parts))

    @async_test
    async def test_datagrams_arrive_and_junk_is_counted(self) -> None:
        heard: asyncio.Queue[tuple[str, Datagram]] = asyncio.Queue()
        seal = DatagramSeal([b"k"])
        left = await async_open_udp(LOOPBACK, lambda a, d: None, seal)
        right = await async_open_udp(
            LOOPBACK, lambda a, d: heard.put_nowait((a, d)), seal
        )
        stranger = await async_open_udp(
            LOOPBACK, lambda a, d: None, DatagramSeal()
        )
        stranger.send(right.address, GOSSIP)
        left.send(right.address, GOSSIP)
        self.assertEqual((left.address, GOSSIP), await heard.get())
        self.assertEqual(1, right.counters.malformed)
        self.assertEqual(2, right.counters.received)
        left.send("no address", GOSSIP)
        self.assertEqual((1, 1), (left.counters.errors, left.counters.sent))
        for peers in (left, right, stranger):
            peers.close()
        left.send(right.address, GOSSIP)
        self.assertEqual(1, left.counters.sent)
