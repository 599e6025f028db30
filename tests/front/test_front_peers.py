"""Tests of the datagrams between hosts."""

from typing import Any

import testtools

from tests.core.front.builders import front
from tests.core.front.test_fleet_sums import digest, domain_sum, member
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.sums_codec import encode_sums
from waxwingarch.core.base import Event
from waxwingarch.core.peers.sum_messages import (
    DomainSumReceived,
    FleetDigestReceived,
    MemberReportReceived,
)
from waxwingarch.tasks.front_peers import FrontPeers
from waxwingarch.tasks.runner import Runner


class Datagrams(testtools.TestCase):
    # Guards against messages that reach no handler of the node.
    def test_each_kind_of_message_about_sums_is_posted(self) -> None:
        seen: list[type[Event]] = []
        runner = Runner(front())
        runner.post = lambda event: seen.append(type(event))

        async def serve_nothing(*args: Any) -> None:
            pass

        peers = FrontPeers(runner, HttpClient(), [], serve_nothing)
        for message in (member("h2"), domain_sum("b1"), digest("h2")):
            peers.handle_datagram(encode_sums(message))
        peers.handle_datagram(b"M{}")
        expected = [
            MemberReportReceived,
            DomainSumReceived,
            FleetDigestReceived,
        ]
        self.assertEqual(expected, seen)
        self.assertEqual({"reports": 3, "bad_reports": 1}, dict(peers.counts))
