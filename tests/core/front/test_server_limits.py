"""Tests of servers that name the requests a second that they take."""

import testtools

from tests.core.front.builders import (
    LEDGER,
    arrive,
    make_listing,
    server,
    serving_front,
)
from tests.core.front.simulated_fleet import SimulatedFleet
from waxwingarch.adapters.report_codec import decode_report, encode_report
from waxwingarch.core.backends.server_limits import (
    EXTRA_OWNERS,
    MIN_RATE_PER_S,
    OWNERS_CHANGE_AFTER_S,
    LimitSource,
    ServerLimitChanged,
    ServerLimitSeen,
)
from waxwingarch.core.base import RequestId, ServerId
from waxwingarch.core.exchange.exchange_messages import (
    AttemptFinished,
    AttemptOutcome,
    LocalResponse,
    SendRequest,
)
from waxwingarch.core.front_node import FrontNode
from waxwingarch.core.peers.report import ReportReceived

NAMED_AT_S = 3.0
RUN_S = 16.0
# The time in which hosts hear of each other, and of a host that is gone.
CONTACT_S = 3.0


def limited_fleet(
    limits: dict[str, float], *, until: float = NAMED_AT_S + RUN_S, **more: int
) -> SimulatedFleet:
    """Return a fleet that has run with servers that named limits."""
    values = {"hosts": 9, "servers": 8, "rate_per_s": 40, "seed": 1} | more
    fleet = SimulatedFleet(**values)
    fleet.run(NAMED_AT_S)
    fleet.limits = dict(limits)
    fleet.run(until)
    return fleet


class SumOverHosts(testtools.TestCase):
    # Guards against hosts that each send to a server as if it had named no
    # limit, or as if the limit were theirs alone.
    def test_server_gets_no_more_than_its_limit_from_all_hosts(self) -> None:
        for limit in (0.0, 0.5, 1.0, 4.0, 20.0):
            for hosts, rate_per_s in ((9, 40), (1, 20)):
                fleet = limited_fleet(
                    {"p0": limit, "p1": limit},
                    hosts=hosts,
                    rate_per_s=rate_per_s,
                )
                for name in fleet.limits:
                    self.assertLessEqual(
                        fleet.excess(name, limit), 0, (hosts, limit, name)
                    )

    def test_many_hosts(self) -> None:
        fleet = limited_fleet(
            {"p0": 1.0}, hosts=60, rate_per_s=120, until=NAMED_AT_S + 9.0
        )
        self.assertLessEqual(fleet.excess("p0", 1.0), 0)

    def test_limit_is_used_and_the_rest_is_served_elsewhere(self) -> None:
        fleet = limited_fleet({"p0": 1.0, "p1": 4.0})
        since = NAMED_AT_S + CONTACT_S
        until = NAMED_AT_S + RUN_S
        for name, limit in fleet.limits.items():
            used = fleet.arrived(name, since, until) / (until - since)
            self.assertBetween(used, 0.4 * limit, 1.1 * limit, name)
        self.assertEqual([], fleet.refused)

    def assertBetween(
        self, value: float, low: float, high: float, note: object
    ) -> None:
        self.assertGreaterEqual(value, low, note)
        self.assertLessEqual(value, high, note)

    def test_hosts_that_hear_nothing_of_each_other(self) -> None:
        fleet = SimulatedFleet(hosts=9, servers=8, rate_per_s=40, seed=2)
        fleet.run(NAMED_AT_S)
        fleet.limits = {"p0": 1.0}
        fleet.unheard = set(range(9))
        fleet.run(NAMED_AT_S + RUN_S)
        self.assertLessEqual(fleet.excess("p0", 1.0), 0)

    def test_hosts_in_two_halves(self) -> None:
        """Reports of four hosts are lost, so that each side is a fleet."""
        fleet = SimulatedFleet(hosts=9, servers=8, rate_per_s=40, seed=3)
        fleet.limits = {"p0": 1.0}
        fleet.run(NAMED_AT_S)
        fleet.unheard = {0, 1, 2, 3}
        fleet.run(NAMED_AT_S + RUN_S)
        self.assertLessEqual(fleet.excess("p0", 1.0), 0)

    def test_others_use_the_limit_when_its_owners_are_gone(self) -> None:
        fleet = limited_fleet({"p0": 1.0}, until=NAMED_AT_S + 6.0)
        limits = [node.load_balancer.limits for node in fleet.nodes]
        owners = {n for n in range(9) if limits[n].share_of(ServerId("p0"))}
        self.assertEqual(1 + EXTRA_OWNERS, len(owners))
        fleet.down = owners
        gone_at = fleet.now
        fleet.run(gone_at + 14.0)
        heard_at = gone_at + 2 * CONTACT_S
        self.assertGreater(fleet.arrived("p0", heard_at, fleet.now), 2)
        self.assertLessEqual(fleet.excess("p0", 1.0), 0)

    def test_restarted_hosts_learn_the_limit(self) -> None:
        fleet = limited_fleet({"p0": 1.0}, until=NAMED_AT_S + 5.0)
        for n in range(4):
            fleet.restart(n)
            fleet.run(fleet.now + 2.0)
        known = {
            node.load_balancer.limits.limit_of(ServerId("p0"))
            for node in fleet.nodes
        }
        self.assertEqual({1.0}, known)
        self.assertLessEqual(fleet.excess("p0", 1.0), 0)


class LimitsBelowDemand(testtools.TestCase):
    def test_rest_is_refused_at_once_and_told_when_to_return(self) -> None:
        limits = {f"p{n}": 2.0 for n in range(4)}
        fleet = limited_fleet(limits, servers=4, rate_per_s=30)
        for name in limits:
            self.assertLessEqual(fleet.excess(name, 2.0), 0, name)
        retry_afters = [after for _, after in fleet.refused]
        self.assertTrue(all(after and after <= 3.0 for after in retry_afters))
        since = NAMED_AT_S + CONTACT_S
        used = sum(fleet.arrived(n, since, fleet.now) for n in limits)
        self.assertGreater(used, 0.6 * 8.0 * (fleet.now - since))
        fleet.finish()
        self.assertEqual(len(fleet.calls), fleet.served + len(fleet.refused))


class EndOfLimits(testtools.TestCase):
    def test_response_without_a_limit_ends_it_on_all_hosts(self) -> None:
        fleet = limited_fleet({"p0": 1.0})
        fleet.limits = {}
        ended_at = fleet.now
        fleet.run(ended_at + 8.0)
        known = {
            node.load_balancer.limits.limit_of(ServerId("p0"))
            for node in fleet.nodes
        }
        self.assertEqual({None}, known)
        used = fleet.arrived("p0", ended_at + 4.0, fleet.now)
        self.assertGreater(used, 8)

    def test_owners_change_if_no_response_confirms_the_limit(self) -> None:
        node = limited_front()
        limits = node.load_balancer.limits
        name = ServerId("p1")
        shares = set()
        for period in range(40):
            now = 1.0 + period * OWNERS_CHANGE_AFTER_S
            hosts = frozenset({node.identity.host, *"abcdefgh"})
            node.load_balancer.ranks.set_hosts(hosts, 1.0)
            limits.tick(now)
            shares.add(limits.share_of(name))
        self.assertEqual({0.0, 1 / (1 + EXTRA_OWNERS)}, shares)


def limited_front(per_s: float = 1.0) -> FrontNode:
    """Return a host that a server has told its limit at time 1."""
    node = serving_front(server("p1", LEDGER), server("p2", LEDGER))
    see_limit(node, per_s, 1.0)
    return node


def see_limit(
    node: FrontNode,
    per_s: float | None,
    now: float,
    *,
    sent_at: float = 0.0,
    incarnation: int = 1,
) -> list[ServerLimitChanged]:
    """Post what a response of the first server says of its limit."""
    first = server("p1", LEDGER, incarnation=incarnation)
    seen = ServerLimitSeen(server=first, per_s=per_s, sent_at=sent_at)
    actions = node.handle(now, seen)
    return [a for a in actions if isinstance(a, ServerLimitChanged)]


class Statements(testtools.TestCase):
    def limit(self, node: FrontNode) -> float | None:
        return node.load_balancer.limits.limit_of(ServerId("p1"))

    def test_changes_are_told_once(self) -> None:
        node = serving_front(server("p1", LEDGER), server("p2", LEDGER))
        self.assertEqual([], see_limit(node, None, 1.0, sent_at=0.9))
        [named] = see_limit(node, 2.0, 1.1)
        self.assertEqual(
            (2.0, LimitSource.RESPONSE), (named.per_s, named.source)
        )
        self.assertEqual([], see_limit(node, 2.0, 1.2))
        [lowered] = see_limit(node, 1.0, 1.3)
        self.assertEqual(1.0, lowered.per_s)

    def test_response_to_an_earlier_request_does_not_end_a_limit(self) -> None:
        node = limited_front()
        self.assertEqual([], see_limit(node, None, 1.2, sent_at=0.9))
        self.assertEqual(1.0, self.limit(node))
        [ended] = see_limit(node, None, 1.3, sent_at=1.1)
        self.assertIsNone(ended.per_s)
        self.assertIsNone(self.limit(node))

    def test_next_incarnation_has_no_limit(self) -> None:
        node = limited_front()
        reborn = server("p1", LEDGER, incarnation=2)
        node.handle(2.0, make_listing(2, reborn, server("p2", LEDGER)))
        self.assertIsNone(self.limit(node))
        self.assertEqual([], see_limit(node, 1.0, 2.1, incarnation=1))
        self.assertIsNone(self.limit(node))

    def test_report_of_a_peer(self) -> None:
        data = encode_report(limited_front()._build_report(1.5))
        other = serving_front(server("p1", LEDGER), server("p2", LEDGER))
        report = decode_report(data.replace(b'"h1"', b'"h2"'))
        actions = other.handle(2.0, ReportReceived(report=report))
        [change] = [a for a in actions if isinstance(a, ServerLimitChanged)]
        self.assertEqual(
            (1.0, LimitSource.PEER), (change.per_s, change.source)
        )
        self.assertAlmostEqual(0.5, change.age_s, places=3)
        # Each host reports only what it heard itself.
        self.assertEqual({}, other._build_report(2.0).limits)

    def test_report_of_an_older_program_has_none(self) -> None:
        data = encode_report(serving_front()._build_report(1.0))
        older = data.replace(b'"limits":{},', b"")
        self.assertNotEqual(data, older)
        self.assertEqual({}, decode_report(older).limits)

    def test_limit_of_zero_lets_its_end_be_seen(self) -> None:
        node = limited_front(0.0)
        wait_s = node.load_balancer.limits.wait_s(1.0, ServerId("p1"))
        self.assertLessEqual(wait_s, 1 / MIN_RATE_PER_S)


class Units(testtools.TestCase):
    def test_unit_returns_if_no_connection_was_made(self) -> None:
        node = serving_front(server("p1", LEDGER))
        see_limit(node, 1.0, 1.0)
        limits = node.load_balancer.limits
        first_at = 1.0 + limits.wait_s(1.0, ServerId("p1"))
        self.assertIsInstance(arrive(node, "r0", "/pay/x", 1.1), LocalResponse)
        sent = arrive(node, "r1", "/pay/x", first_at)
        assert isinstance(sent, SendRequest)
        self.assertGreater(limits.wait_s(first_at, ServerId("p1")), 0.9)
        node.handle(
            first_at,
            AttemptFinished(
                request_id=RequestId("r1"), outcome=AttemptOutcome.NOT_SENT
            ),
        )
        self.assertEqual(0.0, limits.wait_s(first_at, ServerId("p1")))

    def test_refusal_tells_when_the_next_unit_is_free(self) -> None:
        node = serving_front(server("p1", LEDGER))
        see_limit(node, 1.0, 1.0)
        wait_s = node.load_balancer.limits.wait_s(1.1, ServerId("p1"))
        refused = arrive(node, "r0", "/pay/x", 1.1)
        assert isinstance(refused, LocalResponse)
        after_s = refused.refusal.retry_after_s
        assert after_s is not None
        self.assertGreaterEqual(after_s, wait_s)
        self.assertLess(after_s, 1.6 * wait_s)


class HostsWithoutAShare(testtools.TestCase):
    # Guards against callers that are refused at a host which owns no part of
    # the limits, while the owners have units left.
    def test_relay_to_the_owners(self) -> None:
        limits = {"p0": 1.0, "p1": 1.0, "p2": 1.0}
        fleet = limited_fleet(limits, servers=3, rate_per_s=2, until=33.0)
        without_share = {
            n
            for n, node in enumerate(fleet.nodes)
            if not any(
                node.load_balancer.limits.share_of(ServerId(name))
                for name in limits
            )
        }
        served, sent = fleet.served_at(
            without_share, NAMED_AT_S + CONTACT_S, fleet.now - 1
        )
        self.assertGreaterEqual(served, 0.75 * sent)
        for name in limits:
            self.assertLessEqual(fleet.excess(name, 1.0), 0, name)


class BurstsOfOneHost(testtools.TestCase):
    # Guards against debts that are forgotten when shares are updated, so
    # that a host sends several times the limit in bursts.
    def test_high_limits_are_kept(self) -> None:
        for hosts, limit in ((1, 20.0), (3, 60.0)):
            fleet = limited_fleet(
                {"p0": limit, "p1": limit},
                hosts=hosts,
                servers=2,
                rate_per_s=10 * int(limit),
                until=NAMED_AT_S + 8.0,
            )
            for name in fleet.limits:
                self.assertLessEqual(fleet.excess(name, limit), 0, name)
