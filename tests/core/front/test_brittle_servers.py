"""Tests of servers that fall over if they reject many requests."""

from dataclasses import replace

import testtools

from tests.core.front.builders import LEDGER, server, serving_front
from tests.core.front.simulated_fleet import SimulatedFleet
from waxwingarch.adapters.report_codec import decode_report, encode_report
from waxwingarch.core.backends.brittle_servers import (
    BRITTLE_VALID_S,
    BrittlenessChanged,
    BrittlenessSeen,
)
from waxwingarch.core.base import Action
from waxwingarch.core.front_node import FrontNode
from waxwingarch.core.peers.report import ReportReceived

BRITTLE_AT_S = 3.0
# The users' rule: servers may let fewer requests wait from this time on.
CONTACT_S = 3.0
BRITTLE_S = 10.0
SERVERS = 4
SLOTS = 8
WORK_S = 0.4
# The servers may fall over more often than this only if the rule is broken.
MAX_FALLS = 2 + SERVERS / 10


def brittle_fleet(
    rejections: int, rate_per_s: float, hosts: int = 9
) -> SimulatedFleet:
    """Return a fleet whose servers were brittle for a time."""
    fleet = SimulatedFleet(
        hosts=hosts,
        servers=SERVERS,
        rate_per_s=rate_per_s,
        seed=1,
        work_s=WORK_S,
    )
    for simulated in fleet.simulated.values():
        simulated.room = 3 * SLOTS
    fleet.run(BRITTLE_AT_S)
    for simulated in fleet.simulated.values():
        simulated.brittle = rejections
    fleet.run(BRITTLE_AT_S + CONTACT_S)
    for simulated in fleet.simulated.values():
        simulated.room = 1
    fleet.run(BRITTLE_AT_S + CONTACT_S + BRITTLE_S)
    return fleet


class BrittleServers(testtools.TestCase):
    # Guards against rejections that are sent on to the next server, which
    # rejects and falls over as well.
    def test_do_not_fall_over_one_after_the_other(self) -> None:
        capacity_per_s = SERVERS * SLOTS / WORK_S
        for rejections in (0, 1, 5):
            for load in (0.7, 1.5, 3.0):
                fleet = brittle_fleet(rejections, load * capacity_per_s)
                falls = sum(len(s.fell_at) for s in fleet.simulated.values())
                self.assertLessEqual(falls, MAX_FALLS, (rejections, load))

    def test_serve_what_their_slots_allow(self) -> None:
        capacity_per_s = SERVERS * SLOTS / WORK_S
        for load, least in ((0.4, 0.9), (0.7, 0.75), (1.5, 0.4)):
            fleet = brittle_fleet(1, load * capacity_per_s)
            since = BRITTLE_AT_S + CONTACT_S
            served, sent = fleet.served_at(
                set(range(9)), since, fleet.now - 2.0
            )
            self.assertGreater(served / sent, least, load)

    def test_refuse_the_rest_at_once(self) -> None:
        fleet = brittle_fleet(1, 2.0 * SERVERS * SLOTS / WORK_S)
        waits = [
            call.ended_at - call.arrived_at
            for call in fleet.calls.values()
            if call.ended_at is not None
            and not call.is_served
            and call.arrived_at > BRITTLE_AT_S + CONTACT_S
        ]
        self.assertGreater(len(waits), 100)
        self.assertLess(max(waits), 0.1)


class WhatIsSaid(testtools.TestCase):
    def see(
        self, node: FrontNode, rejections: float | None, now: float
    ) -> list[Action]:
        seen = BrittlenessSeen(
            server=server("p1", LEDGER),
            rejections_per_s=rejections,
            sent_at=now - 0.1,
        )
        return node.handle(now, seen)

    def is_brittle(self, node: FrontNode, now: float) -> bool:
        return node.load_balancer.brittle.is_brittle(now, LEDGER)

    def test_holds_until_a_later_response(self) -> None:
        node = serving_front()
        [change, *_] = self.see(node, 1.0, 1.0)
        self.assertIsInstance(change, BrittlenessChanged)
        self.assertEqual([], self.see(node, 1.0, 1.05))
        # The request of this response was sent before.
        self.assertEqual([], self.see(node, None, 1.1))
        self.assertTrue(self.is_brittle(node, 1.1))
        [change, *_] = self.see(node, None, 1.3)
        self.assertFalse(self.is_brittle(node, 1.3))

    def test_ends_if_it_is_not_said_again(self) -> None:
        node = serving_front()
        self.see(node, 1.0, 1.0)
        self.assertFalse(self.is_brittle(node, 1.1 + BRITTLE_VALID_S))

    # Guards against hosts that remind each other of what has ended, and tell
    # all peers of each change of mind.
    def test_end_is_not_undone_by_the_reports_of_an_idle_peer(self) -> None:
        node, idle = serving_front(), serving_front()
        self.see(idle, 1.0, 1.0)
        self.see(node, 1.0, 1.0)
        self.see(node, None, 1.3)
        changes = []
        for step in range(60):
            now = 1.4 + 0.1 * step
            data = encode_report(idle._build_report(now))
            report = replace(
                decode_report(data.replace(b'"h1"', b'"h2"')), sequence=step
            )
            node.handle(now, ReportReceived(report=report))
            if self.is_brittle(node, now):
                changes += self.see(node, None, now + 0.05)
        self.assertLess(len(changes), 20)
        self.assertFalse(self.is_brittle(node, 5.0))

    def test_peers_learn_it(self) -> None:
        node, other = serving_front(), serving_front()
        self.see(node, 1.0, 1.0)
        data = encode_report(node._build_report(1.1))
        report = decode_report(data.replace(b'"h1"', b'"h2"'))
        other.handle(1.2, ReportReceived(report=report))
        self.assertTrue(self.is_brittle(other, 1.2))
        self.assertEqual((), other._build_report(1.2).brittle_services)
        older = data.replace(b'"brittle":["ledger"],', b"")
        self.assertNotEqual(data, older)
        self.assertEqual((), decode_report(older).brittle_services)
