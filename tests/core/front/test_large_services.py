"""Tests of load balancing in a service with very many servers."""

from collections import Counter
from dataclasses import replace
from typing import Any
from unittest.mock import patch

import testtools

from tests.core.front.builders import (
    POOL,
    arrive,
    config,
    make_listing,
    route,
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
from waxwingarch.core.base import ServerKind, ServiceId
from waxwingarch.core.exchange.exchange_messages import (
    LocalResponse,
    PromptPart,
    ResponseStarted,
    SendRequest,
)
from waxwingarch.core.front_messages import ConfigRead
from waxwingarch.core.front_node import FrontNode
from waxwingarch.core.routing.config import TrafficSplit

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


class SharedPartsOfTwoServices(testtools.TestCase):
    """Another service has cached parts of the same prompts."""

    def make_node(self, count: int) -> FrontNode:
        """Return a node with two engine services whose prompts share parts.

        The route /other/ is that of the second service.
        """
        other = ServiceId("other")
        cfg = config(version=2)
        [pool] = [s for s in cfg.services if s.service == POOL]
        routes = (
            *cfg.routes,
            route("other", splits=(TrafficSplit(service=other, weight=1),)),
        )
        node = serving_front()
        services = (*cfg.services, replace(pool, service=other))
        node.handle(
            0.5,
            ConfigRead(cfg=replace(cfg, routes=routes, services=services)),
        )
        others = [
            replace(server(f"o{n}"), service=other, kind=ServerKind.ENGINE)
            for n in range(4)
        ]
        engines = [server(name) for name in names(count)]
        node.handle(0.6, make_listing(2, *engines, *others))
        for n in range(8):
            send = self.send(node, f"o{n}", 0.7, "/other/x")
            self.assertEqual(other, send.server.service)
            node.handle(0.8, ResponseStarted(request_id=send.request_id))
        return node

    def send(
        self, node: FrontNode, name: str, now: float, path: str = "/draft/x"
    ) -> SendRequest:
        """Send a request most of whose prompt is a part that all share."""
        parts = (
            PromptPart(part="p0", tokens=20_000),
            PromptPart(part=f"own-{name}", tokens=100),
        )
        action = arrive(
            node, name, path, now, parts=parts, prompt_tokens=20_100
        )
        assert isinstance(action, SendRequest)
        return action

    # Guards against requests that run on the servers of another service, in
    # a service of which only a sample is compared.
    def test_requests_stay_in_their_service(self) -> None:
        for count in (10, 100, 130, 150, 200, 400):
            node = self.make_node(count)
            for n in range(100):
                send = self.send(node, f"r{n}", 1.0)
                self.assertEqual(POOL, send.server.service, count)

    # Guards against a pause that servers of a large service ask for in vain.
    def test_paused_holders_get_nothing(self) -> None:
        for count in (100, 200):
            node = self.make_node(count)
            paused = self.send(node, "r", 1.0).server.server_id
            node.load_balancer.pauses.record(1.0, paused, 60.0)
            for n in range(100):
                send = self.send(node, f"r{n}", 2.0)
                self.assertNotEqual(paused, send.server.server_id, count)


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
            registry: Any, now: float, listed: ListedBackend, *more: Any
        ) -> bool:
            names_read.append(listed.server.server_id)
            return original(registry, now, listed, *more)

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
