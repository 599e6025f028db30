"""Tests of sums of load and usage in a simulated fleet."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import replace

import testtools

from tests.core.front.builders import DOMAINS
from tests.core.front.simulated_fleet import SimulatedFleet, fullest_window
from tests.core.front.test_gossip import report
from waxwingarch.core.base import HostId
from waxwingarch.core.front_messages import FrontTick
from waxwingarch.core.peers.fleet_sums import OtherHosts
from waxwingarch.core.peers.peer_registry import PeerRegistry
from waxwingarch.core.peers.report import SendReport
from waxwingarch.core.peers.report_pace import (
    FULL_PACE_AFTER_CHANGE_S,
    ReportPace,
)
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


class Pace(testtools.TestCase):
    """How often whole reports are sent where sums tell about the hosts."""

    # Load: 76 hosts, 15 requests a second. A host without sums sends 120
    # whole reports a second.
    def test_messages_of_a_host(self) -> None:
        fleet = fleet_of(76)
        fleet.run(8.0)
        before, bytes_before = fleet.messages, fleet.sent_bytes
        fleet.run(9.0)
        self.assertLess((fleet.messages - before) / 76, 60)
        self.assertLess((fleet.sent_bytes - bytes_before) / 76, 15_000)
        for node in fleet.nodes:
            self.assertEqual([], list(node.peers.silent_hosts(fleet.now)))

    # Guards against standbys of the duties, and hosts that lack sums, that
    # hear too rarely of the others.
    def test_hosts_that_need_reports_get_them_in_each_round(self) -> None:
        peers = PeerRegistry(HostId("own"))
        for n in range(76):
            made = report(HostId(f"h{n}"), sequence=1, wants_reports=n == 1)
            peers.record_report(0.0, made, 0.0)
        sent: Counter[str] = Counter()
        for step in range(28):
            sent.update(
                peer.address
                for peer in peers.next_recipients(
                    step * 0.1, few_except={HostId("h0")}
                )
            )
        for name in ("addr-h0", "addr-h1"):
            self.assertEqual(4, sent.pop(name))
        self.assertEqual(2 * 28, sent.total())
        self.assertEqual(1, max(sent.values()))

    # Guards against news that only whole reports carry and that come late.
    def test_report_with_more_than_sums_goes_to_all_as_before(self) -> None:
        pace, host = ReportPace(), HostId("h1")
        plain = report(host, usage_counts=None)
        domain = plain.domain
        for step in range(71):
            now = step * 0.1
            others = OtherHosts(counts_own=True, taken_at={domain: now})
            pace.update(now, others, [plain])
        self.assertTrue(pace.may_send_few(now, lambda: plain))
        for news in (
            {"leaving": {"s1": 1}},
            {"draining": True},
            {"holds_duties": True},
            {"brittle_services": ("s",)},
            {"lost_services": ("s",)},
        ):
            with_news = replace(plain, **news)
            self.assertFalse(pace.may_send_few(now, lambda r=with_news: r))
            now += FULL_PACE_AFTER_CHANGE_S - 0.1
            self.assertFalse(pace.may_send_few(now, lambda: plain))
            now += 0.2
            self.assertTrue(pace.may_send_few(now, lambda: plain))
        pace.update(now, OtherHosts(), [plain])
        self.assertFalse(pace.may_send_few(now, lambda: plain))


class AccountLimits(testtools.TestCase):
    """Guards promise QUOTA: a host that decides by sums sees them late."""

    RATE, COST = 10_000, 100
    WINDOW_LIMIT = RATE * 8 + RATE

    # Load: 76 hosts, 1,100 requests a second for 100 that are allowed. All
    # hosts once admitted what was spare at the same time: 147 % of the limit.
    def test_account_at_eleven_times_its_rate(self) -> None:
        fleet = fleet_of(76, account_rate=self.RATE)
        fleet.run(7.0)
        fleet.rate_per_s = 11 * self.RATE / self.COST
        fleet.run(17.5)
        times = sorted(at for a in fleet.arrivals.values() for at, _ in a)
        used = fullest_window(times, 8.0) * self.COST
        self.assertLessEqual(used, self.WINDOW_LIMIT * 1.1)
        self.assertGreater(used, self.WINDOW_LIMIT * 0.8)

    # Load: 24 hosts, 75 requests a second for 100 that are allowed.
    def test_account_below_its_limit_is_not_refused(self) -> None:
        fleet = fleet_of(24, account_rate=self.RATE)
        fleet.run(7.0)
        fleet.rate_per_s = 0.75 * self.RATE / self.COST
        fleet.run(17.0)
        self.assertEqual([], fleet.refused)


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
