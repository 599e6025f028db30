"""Tests of sums of load and usage in a simulated fleet."""

from collections.abc import Iterable

import testtools

from tests.core.front.builders import DOMAINS
from tests.core.front.simulated_fleet import SimulatedFleet
from waxwingarch.core.base import HostId
from waxwingarch.core.front_messages import FrontTick
from waxwingarch.core.peers.report import SendReport
from waxwingarch.core.peers.sum_choice import SUM_VALID_S

# A request arrives at each host every 5 s, so that hosts have loads.
REQUESTS_PER_HOST_S = 0.2


def fleet_of(hosts: int, **changes: int) -> SimulatedFleet:
    return SimulatedFleet(
        hosts=hosts,
        servers=20,
        rate_per_s=hosts * REQUESTS_PER_HOST_S,
        seed=1,
        **changes,  # type: ignore[arg-type]
    )


def covered(fleet: SimulatedFleet, n: int) -> int:
    """Return how many other hosts the sums of a host count."""
    return len(fleet.nodes[n].sums.fleet.others.covered)


def collectors_of(fleet: SimulatedFleet, n: int) -> list[int]:
    """Return the collectors that a host chose."""
    chosen = fleet.nodes[n].sums.fleet.collectors
    return [int(host.removeprefix("h")) for host in chosen]


def others_than(fleet: SimulatedFleet, excluded: Iterable[int]) -> list[int]:
    return [n for n in range(fleet.hosts) if n not in set(excluded)]


class Sums(testtools.TestCase):
    # Load: 76 hosts, 15 requests a second.
    def test_sums_count_all_hosts_and_their_loads(self) -> None:
        fleet = fleet_of(76, work_s=30)
        fleet.run(5.0)
        fleet.finish()
        for node in fleet.nodes:
            others = node.sums.fleet.others
            self.assertEqual(75, len(others.covered))
            self.assertTrue(others.counts_own)
            own = sum(
                load.running
                for load in node.load_balancer.loads.own_loads().values()
            )
            running = sum(load.running for load in others.loads.values())
            self.assertEqual(len(fleet.calls) - fleet.served, running + own)

    def test_load_data_is_less_than_half_a_second_old(self) -> None:
        fleet = fleet_of(80)
        fleet.run(4.0)
        ages_s = []
        while fleet.now < 6.0:
            fleet.run(fleet.now + 0.03)
            for node in fleet.nodes:
                taken_at = node.sums.fleet.others.taken_at
                self.assertEqual(set(DOMAINS), set(taken_at))
                ages_s.append(fleet.now - min(taken_at.values()))
        self.assertLess(max(ages_s), 0.5)

    # Guards against new messages between the hosts of a small fleet.
    def test_small_fleet_sends_whole_reports_only(self) -> None:
        fleet = fleet_of(12)
        fleet.run(3.0)
        now = fleet.now + 0.3
        for node in fleet.nodes:
            sent = node.handle(now, FrontTick(boot_now=now, unix_now=now))
            self.assertEqual(
                [SendReport],
                [type(a) for a in sent if hasattr(a, "addresses")],
            )
            self.assertEqual((), node.sums.fleet.collectors)


class LostCollectors(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet = fleet_of(24)
        self.fleet.run(3.0)

    def test_one_collector_is_lost(self) -> None:
        lost, kept = collectors_of(self.fleet, 0)
        self.fleet.down = {lost}
        self.fleet.run(6.0)
        for n in others_than(self.fleet, {lost}):
            self.assertEqual(22, covered(self.fleet, n))
        chosen = collectors_of(self.fleet, kept)
        self.assertIn(kept, chosen)
        self.assertNotIn(lost, chosen)

    def test_sums_count_all_hosts_while_one_collector_is_lost(self) -> None:
        [lost, _] = collectors_of(self.fleet, 0)
        self.fleet.down = {lost}
        while self.fleet.now < 6.0:
            self.fleet.run(self.fleet.now + 0.1)
            for n in others_than(self.fleet, {lost}):
                self.assertGreaterEqual(covered(self.fleet, n), 22)

    def test_both_collectors_are_lost(self) -> None:
        lost = set(collectors_of(self.fleet, 0))
        self.fleet.down = lost
        self.fleet.run(4.0 + SUM_VALID_S)
        for n in others_than(self.fleet, lost):
            self.assertEqual(21, covered(self.fleet, n))

    def test_whole_domain_is_lost(self) -> None:
        lost = set(range(0, 24, len(DOMAINS)))
        self.fleet.down = lost
        self.fleet.run(3.2 + SUM_VALID_S)
        for n in others_than(self.fleet, lost):
            others = self.fleet.nodes[n].sums.fleet.others
            self.assertEqual(set(DOMAINS[1:]), set(others.taken_at))
            self.assertEqual(17, len(others.covered))

    def test_collector_is_frozen_and_returns(self) -> None:
        [frozen, _] = collectors_of(self.fleet, 0)
        self.fleet.down = {frozen}
        self.fleet.run(5.0)
        self.fleet.down = set()
        self.fleet.run(12.0)
        self.assertIn(frozen, collectors_of(self.fleet, 0))
        for n in range(24):
            self.assertEqual(23, covered(self.fleet, n))

    def test_collector_is_cut_off(self) -> None:
        [cut, _] = collectors_of(self.fleet, 0)
        self.fleet.unheard = {cut}
        self.fleet.run(6.0)
        self.assertEqual(0, covered(self.fleet, cut))
        for n in others_than(self.fleet, {cut}):
            self.assertEqual(22, covered(self.fleet, n))

    def test_all_hosts_restart(self) -> None:
        for n in range(24):
            self.fleet.restart(n, incarnation=2)
        self.fleet.run(5.0)
        for n in range(24):
            self.assertEqual(23, covered(self.fleet, n))
            self.assertEqual({}, dict(self.fleet.nodes[n].sums.dropped))


class Liveness(testtools.TestCase):
    def test_lost_host_is_noticed_within_the_liveness_timeout(self) -> None:
        fleet = fleet_of(76)
        fleet.run(3.0)
        fleet.down = {5}
        fleet.run(3.0 + 3.2)
        for n in others_than(fleet, {5}):
            silent = fleet.nodes[n].peers.silent_hosts(fleet.now)
            self.assertEqual([HostId("h5")], list(silent))
