"""Tests of servers that announce their end or ask for a pause."""

from random import Random

import testtools

from tests.core.front.builders import (
    LEDGER,
    arrive,
    config,
    front,
    make_listing,
    server,
    serving_front,
)
from waxwingarch.adapters.report_codec import decode_report, encode_report
from waxwingarch.core.backends.pauses import (
    MAX_PAUSE_S,
    PAUSE_SPREAD_RATIO,
    ServerPauses,
)
from waxwingarch.core.backends.registry import (
    BackendLeaving,
    LeavingAnnounced,
    LeavingSource,
)
from waxwingarch.core.base import Action, RequestId, Server, ServerId
from waxwingarch.core.exchange.exchange_messages import (
    AttemptFinished,
    AttemptOutcome,
    LocalResponse,
    SendRequest,
)
from waxwingarch.core.front_messages import ConfigRead
from waxwingarch.core.front_node import FrontNode
from waxwingarch.core.peers.report import HostReport, ReportReceived
from waxwingarch.core.refusal import RefusalReason


def announce(node: FrontNode, backend: Server, now: float) -> list[Action]:
    return node.handle(now, LeavingAnnounced(server=backend))


def used_servers(node: FrontNode, path: str, now: float) -> set[ServerId]:
    sent = (arrive(node, f"u{n}-{now}", path, now) for n in range(30))
    return {s.server.server_id for s in sent if isinstance(s, SendRequest)}


class Announcements(testtools.TestCase):
    """A server says in its responses that it is leaving."""

    def setUp(self) -> None:
        super().setUp()
        self.first = server("p1", LEDGER)
        self.second = server("p2", LEDGER)
        self.node = serving_front(self.first, self.second)

    def test_no_new_requests_although_the_listing_says_ready(self) -> None:
        actions = announce(self.node, self.first, 1.0)
        [leaving] = [a for a in actions if isinstance(a, BackendLeaving)]
        self.assertEqual(LeavingSource.RESPONSE, leaving.source)
        self.assertEqual({"p2"}, used_servers(self.node, "/read/x", 1.1))
        self.node.handle(2.0, make_listing(2, self.first, self.second))
        self.assertEqual({"p2"}, used_servers(self.node, "/read/x", 2.1))

    def test_second_announcement_changes_nothing(self) -> None:
        announce(self.node, self.first, 1.0)
        self.assertEqual([], announce(self.node, self.first, 1.1))

    def test_next_incarnation_is_used_again(self) -> None:
        announce(self.node, self.first, 1.0)
        reborn = server("p1", LEDGER, incarnation=2)
        self.node.handle(2.0, make_listing(2, reborn, self.second))
        self.assertIn("p1", used_servers(self.node, "/read/x", 2.1))
        announce(self.node, self.first, 2.2)
        self.assertIn("p1", used_servers(self.node, "/read/x", 2.3))

    def test_request_is_refused_at_once_if_all_leave(self) -> None:
        announce(self.node, self.first, 1.0)
        announce(self.node, self.second, 1.0)
        response = arrive(self.node, "r", "/pay/x", 1.1)
        assert isinstance(response, LocalResponse)
        self.assertEqual(RefusalReason.NO_SERVER, response.refusal.reason)


class AnnouncementsOfPeers(testtools.TestCase):
    """One host's response saves the others a request of their own."""

    def backends(self) -> tuple[Server, Server]:
        return server("p1", LEDGER), server("p2", LEDGER)

    def test_peers_learn_it_also_at_second_hand(self) -> None:
        first, second, third = (self.host(name) for name in ("a", "b", "c"))
        announce(first, server("p1", LEDGER), 1.0)
        second.handle(1.1, ReportReceived(report=self.own_report(first)))
        self.assertEqual({"p2"}, used_servers(second, "/read/x", 1.2))
        third.handle(1.2, ReportReceived(report=self.own_report(second)))
        self.assertEqual({"p2"}, used_servers(third, "/read/x", 1.3))

    def test_no_longer_reported_once_the_listing_shows_it(self) -> None:
        node = self.host("a")
        announce(node, server("p1", LEDGER), 1.0)
        self.assertEqual({"p1": 1}, self.own_report(node).leaving)
        node.handle(2.0, make_listing(2, *self.backends(), p1=None))
        self.assertEqual({}, self.own_report(node).leaving)

    def test_report_of_an_older_program_has_none(self) -> None:
        data = encode_report(self.own_report(self.host("a")))
        older = data.replace(b'"leaving":{},', b"")
        self.assertNotEqual(data, older)
        self.assertEqual({}, decode_report(older).leaving)

    def host(self, name: str) -> FrontNode:
        node = front(host=name)
        node.handle(0.0, ConfigRead(cfg=config()))
        node.handle(0.0, make_listing(1, *self.backends()))
        return node

    def own_report(self, node: FrontNode) -> HostReport:
        report = node._build_report(1.0)
        return decode_report(encode_report(report))


class Pauses(testtools.TestCase):
    """A full server asks this host to send it nothing for a time."""

    def setUp(self) -> None:
        super().setUp()
        self.node = serving_front(
            server("p1", LEDGER), server("p2", LEDGER), server("e1")
        )

    def turn_away(
        self, name: str, now: float, retry_after_s: float, path: str
    ) -> tuple[ServerId, list[Action]]:
        """Send a request, which its server rejects; return what follows."""
        sent = arrive(self.node, name, path, now)
        assert isinstance(sent, SendRequest)
        event = AttemptFinished(
            request_id=RequestId(name),
            outcome=AttemptOutcome.REJECTED,
            retry_after_s=retry_after_s,
        )
        return sent.server.server_id, self.node.handle(now, event)

    def test_request_goes_to_another_server(self) -> None:
        paused, actions = self.turn_away("r1", 1.0, 5.0, "/pay/x")
        [resent] = [a for a in actions if isinstance(a, SendRequest)]
        self.assertNotEqual(paused, resent.server.server_id)
        for now in (1.1, 3.0, 5.9):
            used = used_servers(self.node, "/read/x", now)
            self.assertNotIn(paused, used, now)
        later = 1.0 + 5.0 * (1 + PAUSE_SPREAD_RATIO)
        self.assertIn(paused, used_servers(self.node, "/read/x", later))

    def test_all_servers_paused(self) -> None:
        """The caller returns when the first server takes requests again."""
        self.turn_away("r1", 1.0, 5.0, "/pay/x")
        event = AttemptFinished(
            request_id=RequestId("r1"),
            outcome=AttemptOutcome.REJECTED,
            retry_after_s=3.0,
        )
        [first] = self.node.handle(1.0, event)
        second = arrive(self.node, "r2", "/pay/x", 1.5)
        for now, response in ((1.0, first), (1.5, second)):
            assert isinstance(response, LocalResponse)
            retry_after_s = response.refusal.retry_after_s
            assert retry_after_s is not None
            self.assertGreaterEqual(now + retry_after_s, 1.0 + 3.0)
            self.assertLess(now + retry_after_s, 1.0 + 3.0 * 1.25 * 1.5)
        other_service = arrive(self.node, "r3", "/draft/x", 1.5)
        self.assertIsInstance(other_service, SendRequest)

    def test_restarted_server_takes_requests(self) -> None:
        paused, _ = self.turn_away("r1", 1.0, 5.0, "/pay/x")
        reborn = [
            server(name, LEDGER, incarnation=1 + (name == paused))
            for name in ("p1", "p2")
        ]
        self.node.handle(2.0, make_listing(2, *reborn, server("e1")))
        self.assertIn(paused, used_servers(self.node, "/read/x", 2.1))

    def test_longest_pause_and_spread(self) -> None:
        pauses = ServerPauses(Random(1))
        name = ServerId("p1")
        longest = pauses.record(0.0, name, 1e9)
        self.assertLessEqual(longest, MAX_PAUSE_S * (1 + PAUSE_SPREAD_RATIO))
        ends = {
            ServerPauses(Random(seed)).record(0.0, name, 4.0)
            for seed in range(20)
        }
        self.assertGreater(max(ends) - min(ends), 0.5)
        self.assertGreaterEqual(min(ends), 4.0)

    def test_shorter_request_does_not_end_a_pause(self) -> None:
        pauses = ServerPauses(Random(1))
        name = ServerId("p1")
        pauses.record(0.0, name, 10.0)
        pauses.record(1.0, name, 0.0)
        self.assertTrue(pauses.is_paused(9.9, name))
