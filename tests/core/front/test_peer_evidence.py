"""Tests of servers that are avoided because other hosts avoid them."""

from typing import Any

import testtools

from tests.core.front.builders import (
    DOMAINS,
    LEDGER,
    arrive,
    front,
    server,
    serving_front,
)
from waxwingarch.adapters.report_codec import decode_report, encode_report
from waxwingarch.core.backends.peer_evidence import EVIDENCE_VALID_S
from waxwingarch.core.base import FailureDomain, HostId, RequestId, ServerId
from waxwingarch.core.exchange.exchange_messages import (
    AttemptFinished,
    AttemptOutcome,
    ResponseStarted,
    SendRequest,
)
from waxwingarch.core.front_messages import FrontTick
from waxwingarch.core.front_node import FrontNode
from waxwingarch.core.peers.report import (
    HostReport,
    ReportReceived,
    SendReport,
)

SUSPECT = ServerId("p1")


def report(
    host: str, domain: FailureDomain, *avoided: ServerId, sequence: int = 1
) -> ReportReceived:
    return ReportReceived(
        report=HostReport(
            host=HostId(host),
            incarnation=1,
            sequence=sequence,
            address=f"10.0.1.{len(host)}:1",
            unix_now=0.0,
            config_version=0,
            listing_version=0,
            domain=domain,
            avoided=avoided,
        )
    )


class AvoidedByPeers(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.front = serving_front(
            *(server(f"p{n}", LEDGER) for n in range(1, 6))
        )
        self.request_count = 0

    def chosen_servers(self, now: float, times: int = 60) -> set[str]:
        """Return the servers that get requests which are rejected at once."""
        servers = set()
        for _ in range(times):
            self.request_count += 1
            name = f"r{self.request_count}"
            action = arrive(self.front, name, "/read/x", now=now)
            assert isinstance(action, SendRequest)
            servers.add(str(action.server.server_id))
            self.end_attempt(name, AttemptOutcome.REJECTED, now)
        return servers

    def end_attempt(
        self, name: str, outcome: AttemptOutcome, now: float, **more: Any
    ) -> None:
        request_id = RequestId(name)
        event = AttemptFinished(request_id=request_id, outcome=outcome, **more)
        for action in self.front.handle(now, event):
            if isinstance(action, SendRequest):
                self.end_attempt(name, outcome, now, **more)

    def test_server_is_avoided_if_hosts_of_two_domains_agree(self) -> None:
        self.front.handle(1.0, report("h2", DOMAINS[0], SUSPECT))
        self.front.handle(1.0, report("h3", DOMAINS[1], SUSPECT))
        self.assertNotIn(SUSPECT, self.chosen_servers(1.1))

    def test_hosts_of_one_domain_do_not_suffice(self) -> None:
        self.front.handle(1.0, report("h2", DOMAINS[0], SUSPECT))
        self.front.handle(1.0, report("h3", DOMAINS[0], SUSPECT))
        self.assertIn(SUSPECT, self.chosen_servers(1.1))

    def test_evidence_ends_when_withdrawn_or_old(self) -> None:
        self.front.handle(1.0, report("h2", DOMAINS[0], SUSPECT))
        self.front.handle(1.0, report("h3", DOMAINS[1], SUSPECT))
        self.front.handle(1.1, report("h3", DOMAINS[1], sequence=2))
        self.assertIn(SUSPECT, self.chosen_servers(1.2))
        self.front.handle(2.0, report("h3", DOMAINS[1], SUSPECT, sequence=3))
        self.assertIn(SUSPECT, self.chosen_servers(2.1 + EVIDENCE_VALID_S))

    def test_own_responses_outweigh_reports(self) -> None:
        while True:
            self.request_count += 1
            name = f"r{self.request_count}"
            action = arrive(self.front, name, "/read/x", now=0.9)
            assert isinstance(action, SendRequest)
            if action.server.server_id == SUSPECT:
                break
            self.end_attempt(name, AttemptOutcome.REJECTED, 0.9)
        self.front.handle(1.0, ResponseStarted(request_id=RequestId(name)))
        self.end_attempt(name, AttemptOutcome.DONE, 1.0)
        self.front.handle(1.0, report("h2", DOMAINS[0], SUSPECT))
        self.front.handle(1.0, report("h3", DOMAINS[1], SUSPECT))
        self.assertIn(SUSPECT, self.chosen_servers(1.1))

    def test_servers_are_used_if_all_are_avoided(self) -> None:
        every = [ServerId(f"p{n}") for n in range(1, 6)]
        self.front.handle(1.0, report("h2", DOMAINS[0], *every))
        self.front.handle(1.0, report("h3", DOMAINS[1], *every))
        self.assertEqual({str(s) for s in every}, self.chosen_servers(1.1))

    def test_report_has_only_own_evidence(self) -> None:
        """Otherwise hosts would confirm each other's reports for ever."""
        made = front()
        made.handle(0.5, FrontTick(boot_now=0.5, unix_now=0.5))
        made.handle(1.0, report("h2", DOMAINS[0], SUSPECT))
        made.handle(1.0, report("h3", DOMAINS[1], SUSPECT))
        own = ServerId("p4")
        made.load_balancer.health.record_failure(1.0, own, unreachable=True)
        self.assertEqual((own,), self.reported_avoided(made, 1.2))

    def reported_avoided(
        self, made: FrontNode, now: float
    ) -> tuple[ServerId, ...]:
        actions = made.handle(now, FrontTick(boot_now=now, unix_now=now))
        sent = [a for a in actions if isinstance(a, SendReport)]
        decoded = decode_report(encode_report(sent[0].report))
        self.assertEqual(DOMAINS[0], decoded.domain)
        return decoded.avoided
