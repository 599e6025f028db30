"""Tests of the assignment of duties and of routing subsets."""

from collections import Counter

import testtools

from waxwingarch.core.base import FailureDomain, HostId, ServerId, ServiceId
from waxwingarch.core.cluster.assignments import (
    Duty,
    DutyCandidate,
    DutyTable,
    RoutedServer,
    RoutingSubsets,
)

POOL = ServiceId("pool")
DOMAINS = 7


def make_candidates(count: int) -> list[DutyCandidate]:
    return [
        DutyCandidate(
            host_id=HostId(f"h{n}"),
            failure_domain=FailureDomain(f"d{n % DOMAINS}"),
        )
        for n in range(count)
    ]


def make_servers(count: int) -> list[RoutedServer]:
    return [
        RoutedServer(
            server_id=ServerId(f"s{n}"),
            failure_domain=FailureDomain(f"d{n % DOMAINS}"),
            service=POOL,
        )
        for n in range(count)
    ]


def overlap(left: RoutingSubsets, right: RoutingSubsets, host: HostId) -> int:
    one = set(left.subset(host, POOL))
    return len(one - set(right.subset(host, POOL)))


class TestDutyTable(testtools.TestCase):
    def test_responsible_hosts_are_in_different_domains(self) -> None:
        candidates = make_candidates(9)
        domain_of = {p.host_id: p.failure_domain for p in candidates}
        table = DutyTable(candidates)
        for n in range(200):
            hosts = table.responsible(f"s{n}", Duty.WATCH_SERVER, 3)
            self.assertEqual(3, len({domain_of[h] for h in hosts}))

    def test_fewer_domains_than_hosts_requested(self) -> None:
        candidates = [
            DutyCandidate(host_id=HostId(h), failure_domain=FailureDomain("d"))
            for h in "abc"
        ]
        hosts = DutyTable(candidates).responsible("k", Duty.POLL_TABLE, 5)
        self.assertEqual({"a", "b", "c"}, set(hosts))
        self.assertEqual(3, len(hosts))
        self.assertEqual(
            (), DutyTable([]).responsible("k", Duty.POLL_TABLE, 1)
        )

    def test_a_lost_host_moves_few_keys_of_others(self) -> None:
        candidates = make_candidates(400)
        before = DutyTable(candidates)
        after = DutyTable(candidates[1:])
        moved = 0
        for n in range(600):
            old = before.responsible(f"s{n}", Duty.WATCH_SERVER, 2)
            new = after.responsible(f"s{n}", Duty.WATCH_SERVER, 2)
            moved += old != new and candidates[0].host_id not in old
        self.assertLess(moved, 600 * 0.02)

    def test_duties_are_balanced_at_400_hosts(self) -> None:
        table = DutyTable(make_candidates(400))
        held = Counter(
            host
            for n in range(600)
            for host in table.responsible(f"s{n}", Duty.WATCH_SERVER, 2)
        )
        # 3 on average; a random draw seldom gives a host four times as many.
        self.assertLess(max(held.values()), 12)

    def test_assigned_duties_are_even_and_in_different_domains(self) -> None:
        candidates = make_candidates(400)
        domain_of = {p.host_id: p.failure_domain for p in candidates}
        keys = [f"s{n}" for n in range(600)]
        assigned = DutyTable(candidates).assign(keys, Duty.WATCH_SERVER, 2)
        first = Counter(hosts[0] for hosts in assigned.values())
        self.assertLessEqual(max(first.values()), 2)
        for hosts in assigned.values():
            self.assertEqual(2, len({domain_of[h] for h in hosts}))
        after = DutyTable(candidates[1:]).assign(keys, Duty.WATCH_SERVER, 2)
        moved = sum(assigned[key] != after[key] for key in keys)
        self.assertLess(moved, 600 * 0.06)

    def test_duties_are_assigned_with_too_few_hosts(self) -> None:
        self.assertEqual(
            {"k": ()}, DutyTable([]).assign(["k"], Duty.WATCH_SERVER, 2)
        )
        one = DutyTable(make_candidates(1)).assign("abc", Duty.WATCH_SERVER, 2)
        self.assertEqual({"a": ("h0",), "b": ("h0",), "c": ("h0",)}, one)

    def test_duties_differ_by_name(self) -> None:
        table = DutyTable(make_candidates(40))
        self.assertNotEqual(
            [table.responsible(f"{n}", Duty.OWN_CLAIMS, 2) for n in range(9)],
            [table.responsible(f"{n}", Duty.OWN_SHARES, 2) for n in range(9)],
        )


class TestRoutingSubsets(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.hosts = [p.host_id for p in make_candidates(400)]
        self.servers = make_servers(600)
        self.routing = RoutingSubsets(self.hosts, self.servers, size=40)

    def test_load_is_balanced_over_servers(self) -> None:
        held = Counter(
            s for h in self.hosts for s in self.routing.subset(h, POOL)
        )
        self.assertEqual(600, len(held))
        # 26.7 hosts a server on average.
        self.assertLessEqual(max(held.values()) - min(held.values()), 2)

    def test_subset_is_bounded_and_spread_over_domains(self) -> None:
        domain_of = {s.server_id: s.failure_domain for s in self.servers}
        for host in self.hosts:
            subset = self.routing.subset(host, POOL)
            self.assertEqual(40, len(set(subset)))
            domains = Counter(domain_of[s] for s in subset)
            self.assertEqual(DOMAINS, len(domains))
            self.assertLessEqual(max(domains.values()), 8)

    def test_one_change_moves_few_servers_of_a_subset(self) -> None:
        fewer_hosts = RoutingSubsets(self.hosts[1:], self.servers, size=40)
        fewer_servers = RoutingSubsets(self.hosts, self.servers[1:], size=40)
        for host in self.hosts[1:]:
            self.assertLessEqual(overlap(self.routing, fewer_hosts, host), 3)
            self.assertLessEqual(overlap(self.routing, fewer_servers, host), 8)

    def test_routing_hosts_is_the_inverse_of_subset(self) -> None:
        for server in self.servers[:20]:
            self.assertEqual(
                {
                    h
                    for h in self.hosts
                    if server.server_id in self.routing.subset(h, POOL)
                },
                set(self.routing.routing_hosts(server.server_id)),
            )

    def test_subset_of_a_small_pool_has_all_servers(self) -> None:
        routing = RoutingSubsets(self.hosts[:9], make_servers(15), size=40)
        for host in self.hosts[:9]:
            self.assertEqual(15, len(routing.subset(host, POOL)))
        self.assertEqual(9, len(routing.routing_hosts(ServerId("s1"))))
        self.assertEqual((), routing.routing_hosts(ServerId("none")))
