"""Tests of load balancing in a service with very many servers."""

from collections import Counter
from dataclasses import replace
from typing import Any
from unittest.mock import patch

import testtools

from tests.core.front.builders import (
    arrive,
    make_listing,
    server,
    serving_front,
)
from waxwingarch.core.backends.load_balancer import (
    MAX_COMPARED_SERVERS,
    SAMPLED_SERVERS,
    LoadBalancer,
)
from waxwingarch.core.backends.registry import (
    BackendRegistry,
    BackendsListed,
    ListedBackend,
)
from waxwingarch.core.exchange.exchange_messages import (
    LocalResponse,
    SendRequest,
)
from waxwingarch.core.front_node import FrontNode

SERVER_COUNT = 3000
# A bound that holds whichever servers are drawn: with 64 drawn of 3,000, a
# server in use is chosen only if all of them are in use.
MAX_REQUESTS_PER_SERVER = 2


def names(count: int) -> list[str]:
    return [f"s{n:04}" for n in range(count)]


def large(count: int = SERVER_COUNT) -> FrontNode:
    return serving_front(*[server(name) for name in names(count)])


class ComparedServers(testtools.TestCase):
    def count_scored(self, made: FrontNode, request: str) -> int:
        """Return how many servers are scored for a request."""
        count = 0
        original = LoadBalancer._score

        def counting(*args: Any) -> float:
            nonlocal count
            count += 1
            return original(*args)

        with patch.object(LoadBalancer, "_score", counting):
            arrive(made, request)
        return count

    def test_a_sample_of_very_many_is_compared(self) -> None:
        made = large()
        for n in range(20):
            self.assertLessEqual(
                self.count_scored(made, f"r{n}"), 2 * SAMPLED_SERVERS + 1
            )

    def test_all_are_compared_up_to_the_maximum(self) -> None:
        made = large(MAX_COMPARED_SERVERS)
        self.assertEqual(MAX_COMPARED_SERVERS, self.count_scored(made, "r"))

    def test_requests_are_spread(self) -> None:
        made = large()
        chosen: Counter[str] = Counter()
        for n in range(600):
            action = arrive(made, f"r{n}", parts=())
            assert isinstance(action, SendRequest)
            chosen[action.server.server_id] += 1
        self.assertLessEqual(max(chosen.values()), MAX_REQUESTS_PER_SERVER)

    def test_hosts_prefer_the_same_server_for_shared_parts(self) -> None:
        """Two hosts with the same listing agree on the first server."""
        actions = [arrive(large(), name) for name in ("a", "b")]
        servers = {
            a.server.server_id for a in actions if isinstance(a, SendRequest)
        }
        self.assertEqual(1, len(servers))

    def test_leaving_server_is_never_chosen(self) -> None:
        made = large()
        leaving = dict.fromkeys(names(SERVER_COUNT)[: SERVER_COUNT - 5], 9.0)
        servers = [server(name) for name in names(SERVER_COUNT)]
        made.handle(2.0, make_listing(2, *servers, **leaving))
        remaining = set(names(SERVER_COUNT)[SERVER_COUNT - 5 :])
        for n in range(30):
            action = arrive(made, f"r{n}", now=2.0)
            assert isinstance(action, SendRequest)
            self.assertIn(action.server.server_id, remaining)

    def test_avoided_servers_are_used_if_there_are_no_others(self) -> None:
        made = large()
        for name in names(SERVER_COUNT):
            made.load_balancer.health.record_failure(
                1.0, server(name).server_id, unreachable=True
            )
        self.assertNotIsInstance(arrive(made, "r"), LocalResponse)


class AppliedListings(testtools.TestCase):
    def test_tick_visits_only_unlisted_servers(self) -> None:
        made = large()
        registry = made.load_balancer.registry
        servers = [server(name) for name in names(SERVER_COUNT)]
        made.handle(2.0, make_listing(2, *servers[1:]))
        self.assertEqual(
            SERVER_COUNT - 1, len(registry.usable_backends(servers[0].service))
        )
        self.assertEqual({"s0000"}, registry._unlisted)
        registry.tick(2.0 + 60)
        self.assertIsNone(registry.get(servers[0].server_id))
        self.assertEqual(set(), registry._unlisted)

    def test_server_that_registers_again_after_an_outage_stays(self) -> None:
        made = large(3)
        registry = made.load_balancer.registry
        servers = [server(name) for name in names(3)]
        made.handle(2.0, make_listing(2, after_outage=True))
        made.handle(3.0, make_listing(3, *servers))
        self.assertEqual([], registry.tick(20.0))
        self.assertEqual(3, len(registry.usable_backends(servers[0].service)))

    def test_unchanged_servers_are_not_read_again(self) -> None:
        made = large()
        registry = made.load_balancer.registry
        names_read: list[str] = []
        original = BackendRegistry._apply_entry

        def recording(
            registry: Any, now: float, listed_backend: ListedBackend
        ) -> bool:
            names_read.append(listed_backend.server.server_id)
            return original(registry, now, listed_backend)

        servers = [server(name) for name in names(SERVER_COUNT)]
        first = make_listing(2, *servers)
        made.handle(2.0, first)
        restarted = server("s0007", incarnation=2)
        backends = list(first.backends)
        backends[7] = replace(backends[7], server=restarted)
        with patch.object(BackendRegistry, "_apply_entry", recording):
            change = registry.apply_listing(
                3.0, BackendsListed(version=3, backends=tuple(backends))
            )
        self.assertEqual(["s0007"], names_read)
        self.assertEqual(["s0007"], change.restarted)
        self.assertEqual([], change.leaving)
