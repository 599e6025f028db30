"""Tests of hosts that are partitioned from all backend servers."""

import testtools

from tests.core.front.builders import LEDGER, arrive, server, serving_front
from tests.core.front.simulated_fleet import SimulatedFleet
from waxwingarch.adapters.report_codec import decode_report, encode_report
from waxwingarch.core.backends.paths import PathChanged
from waxwingarch.core.base import RequestId, ServerId
from waxwingarch.core.exchange.exchange_messages import (
    AttemptFinished,
    AttemptOutcome,
    SendRequest,
)

# The users' rule counts requests from this time after a partition began.
CONTACT_S = 3.0
PARTITIONED_AT_S = 3.0
PARTITIONED_S = 9.0
# Broken where the partitioned hosts serve their callers less than this
# times as often as the others, and more than `FAILED_EXTRA` and
# `FAILED_RATIO` of all requests fail there.
SERVED_RATIO = 2 / 3
FAILED_EXTRA = 10
FAILED_RATIO = 0.02


def is_rule_kept(fleet: SimulatedFleet, since: float, until: float) -> bool:
    """Return whether the callers of partitioned hosts are served as others."""
    sound = set(range(fleet.hosts)) - fleet.partitioned
    served, sent = fleet.served_at(fleet.partitioned, since, until)
    others_served, others_sent = fleet.served_at(sound, since, until)
    as_often = served / max(1, sent) >= SERVED_RATIO * others_served / max(
        1, others_sent
    )
    allowed = FAILED_EXTRA + FAILED_RATIO * (sent + others_sent)
    return as_often or sent - served <= allowed


def partitioned_fleet(
    hosts: set[int], path: str = "/read/x", *, resets: bool = False
) -> SimulatedFleet:
    """Return a fleet in which some hosts were partitioned for a time."""
    fleet = SimulatedFleet(
        hosts=9, servers=4, rate_per_s=40, seed=1, path=path, resets=resets
    )
    fleet.run(PARTITIONED_AT_S)
    fleet.partitioned = set(hosts)
    fleet.run(PARTITIONED_AT_S + PARTITIONED_S)
    return fleet


class CallersOfPartitionedHosts(testtools.TestCase):
    # Guards against hosts that refuse what their peers could serve, as they
    # have no other way to a server than connections of their own.
    def test_are_served_as_often_as_others(self) -> None:
        for hosts in ({0, 1, 2, 3, 4}, {0, 4, 8}, {2}):
            for path in ("/read/x", "/pay/x"):
                for resets in (False, True):
                    fleet = partitioned_fleet(hosts, path, resets=resets)
                    self.assertTrue(
                        is_rule_kept(
                            fleet, PARTITIONED_AT_S + CONTACT_S, fleet.now - 1
                        ),
                        (hosts, path, resets),
                    )

    def test_are_refused_soon_if_all_hosts_are_partitioned(self) -> None:
        fleet = partitioned_fleet(set(range(9)))
        since = PARTITIONED_AT_S + CONTACT_S
        waits = [
            call.ended_at - call.arrived_at
            for call in fleet.calls.values()
            if call.ended_at is not None and call.arrived_at >= since
        ]
        self.assertGreater(len(waits), 100)
        at_once = [wait for wait in waits if wait < 0.05]
        self.assertGreater(len(at_once), 0.5 * len(waits))
        self.assertLess(max(waits), 1.0)

    def test_are_served_by_own_servers_again_afterwards(self) -> None:
        fleet = partitioned_fleet({0, 1, 2, 3, 4})
        fleet.partitioned = set()
        healed_at = fleet.now
        fleet.run(healed_at + 4.0)
        lost = [n.load_balancer.paths.lost_services() for n in fleet.nodes]
        self.assertEqual([()] * 9, lost)
        arrived_from = {
            host
            for arrivals in fleet.arrivals.values()
            for at, host in arrivals
            if at > healed_at + 2.0
        }
        self.assertEqual(set(range(9)), arrived_from)


class SoundHosts(testtools.TestCase):
    def test_avoid_no_server_because_of_the_partitioned_ones(self) -> None:
        for hosts in ({0, 1, 2, 3, 4}, {0, 4, 8}):
            fleet = partitioned_fleet(hosts)
            for n in set(range(9)) - hosts:
                balancer = fleet.nodes[n].load_balancer
                avoided = [
                    server_id
                    for server_id in ("p0", "p1", "p2", "p3")
                    if balancer._is_avoided(fleet.now, ServerId(server_id))
                ]
                self.assertEqual([], avoided, n)

    def test_silence_of_one_server_is_no_partition(self) -> None:
        node = serving_front(server("p1", LEDGER), server("p2", LEDGER))
        for n in range(3):
            sent = arrive(node, f"r{n}", "/pay/x", 1.0 + n)
            assert isinstance(sent, SendRequest)
            silent = AttemptFinished(
                request_id=RequestId(f"r{n}"), outcome=AttemptOutcome.SILENT
            )
            if sent.server.server_id == ServerId("p1"):
                node.handle(2.0 + n, silent)
        self.assertEqual((), node.load_balancer.paths.lost_services())

    def test_broken_connections_are_no_partition(self) -> None:
        """Servers that crash under a request break their connections."""
        node = serving_front(server("p1", LEDGER), server("p2", LEDGER))
        for n in range(6):
            arrive(node, f"r{n}", "/pay/x", 1.0)
            broken = AttemptFinished(
                request_id=RequestId(f"r{n}"), outcome=AttemptOutcome.BROKEN
            )
            node.handle(1.1, broken)
        self.assertEqual((), node.load_balancer.paths.lost_services())


class Reports(testtools.TestCase):
    def test_lost_services_are_told(self) -> None:
        node = serving_front(server("p1", LEDGER))
        arrive(node, "r", "/pay/x", 1.0)
        not_sent = AttemptFinished(
            request_id=RequestId("r"), outcome=AttemptOutcome.NOT_SENT
        )
        actions = node.handle(1.4, not_sent)
        [change] = [a for a in actions if isinstance(a, PathChanged)]
        self.assertEqual((LEDGER, True), (change.service, change.is_lost))
        data = encode_report(node._build_report(1.5))
        report = decode_report(data)
        self.assertEqual((LEDGER,), report.lost_services)
        self.assertEqual((), report.avoided)
        older = data.replace(b'"lost":["ledger"],', b"")
        self.assertNotEqual(data, older)
        self.assertEqual((), decode_report(older).lost_services)
