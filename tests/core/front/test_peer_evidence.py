"""Servers judged by what other hosts' requests showed."""

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
from waxwingarch.core.backends.peer_evidence import COUNTS_S
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

BAD = ServerId("p1")


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


class Evidence(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.front = serving_front(
            *(server(f"p{n}", LEDGER) for n in range(1, 6))
        )
        self.count = 0

    def chosen(self, now: float, times: int = 60) -> set[str]:
        """Return where requests go that end at once."""
        found = set()
        for _ in range(times):
            self.count += 1
            name = f"r{self.count}"
            action = arrive(self.front, name, "/read/x", now=now)
            assert isinstance(action, SendRequest)
            found.add(str(action.server.server_id))
            self.end(name, AttemptOutcome.REJECTED, now)
        return found

    def end(
        self, name: str, end: AttemptOutcome, now: float, **more: Any
    ) -> None:
        request_id = RequestId(name)
        event = AttemptFinished(request_id=request_id, outcome=end, **more)
        for action in self.front.handle(now, event):
            if isinstance(action, SendRequest):
                self.end(name, end, now, **more)

    def test_hosts_of_two_domains_agree(self) -> None:
        self.front.handle(1.0, report("h2", DOMAINS[0], BAD))
        self.front.handle(1.0, report("h3", DOMAINS[1], BAD))
        self.assertNotIn(BAD, self.chosen(1.1))

    def test_one_domain_alone_may_be_cut_off(self) -> None:
        self.front.handle(1.0, report("h2", DOMAINS[0], BAD))
        self.front.handle(1.0, report("h3", DOMAINS[0], BAD))
        self.assertIn(BAD, self.chosen(1.1))

    def test_taken_back_and_forgotten(self) -> None:
        self.front.handle(1.0, report("h2", DOMAINS[0], BAD))
        self.front.handle(1.0, report("h3", DOMAINS[1], BAD))
        self.front.handle(1.1, report("h3", DOMAINS[1], sequence=2))
        self.assertIn(BAD, self.chosen(1.2))
        self.front.handle(2.0, report("h3", DOMAINS[1], BAD, sequence=3))
        self.assertIn(BAD, self.chosen(2.1 + COUNTS_S))

    def test_own_answers_stand_against_it(self) -> None:
        while True:
            self.count += 1
            name = f"r{self.count}"
            action = arrive(self.front, name, "/read/x", now=0.9)
            assert isinstance(action, SendRequest)
            if action.server.server_id == BAD:
                break
            self.end(name, AttemptOutcome.REJECTED, 0.9)
        self.front.handle(1.0, ResponseStarted(request_id=RequestId(name)))
        self.end(name, AttemptOutcome.DONE, 1.0)
        self.front.handle(1.0, report("h2", DOMAINS[0], BAD))
        self.front.handle(1.0, report("h3", DOMAINS[1], BAD))
        self.assertIn(BAD, self.chosen(1.1))

    def test_last_servers_are_not_thrown_out(self) -> None:
        every = [ServerId(f"p{n}") for n in range(1, 6)]
        self.front.handle(1.0, report("h2", DOMAINS[0], *every))
        self.front.handle(1.0, report("h3", DOMAINS[1], *every))
        self.assertEqual({str(s) for s in every}, self.chosen(1.1))

    def test_only_own_evidence_is_told(self) -> None:
        """Else hosts would confirm each other for ever."""
        made = front()
        made.handle(0.5, FrontTick(boot_now=0.5, unix_now=0.5))
        made.handle(1.0, report("h2", DOMAINS[0], BAD))
        made.handle(1.0, report("h3", DOMAINS[1], BAD))
        own = ServerId("p4")
        made.load_balancer.health.failed(1.0, own, sure=True)
        self.assertEqual((own,), self.told(made, 1.2))

    def told(self, made: FrontNode, now: float) -> tuple[ServerId, ...]:
        actions = made.handle(now, FrontTick(boot_now=now, unix_now=now))
        sent = [a for a in actions if isinstance(a, SendReport)]
        decoded = decode_report(encode_report(sent[0].report))
        self.assertEqual(DOMAINS[0], decoded.domain)
        return decoded.avoided
