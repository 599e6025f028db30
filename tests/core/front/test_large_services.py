"""Choice among the servers of a service that has very many."""

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
    MOST_COMPARED,
    SAMPLED,
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

MANY = 3000
# A share that holds whatever is drawn: with 64 drawn of 3,000 a server
# that is in use is chosen only if all of them are.
BUSIEST = 2


def names(count: int) -> list[str]:
    return [f"s{n:04}" for n in range(count)]


def large(count: int = MANY) -> FrontNode:
    return serving_front(*[server(name) for name in names(count)])


class Compared(testtools.TestCase):
    def scored(self, made: FrontNode, request: str) -> int:
        """Return how many servers a choice compares."""
        count = 0
        plain = LoadBalancer._score

        def counting(*args: Any) -> float:
            nonlocal count
            count += 1
            return plain(*args)

        with patch.object(LoadBalancer, "_score", counting):
            arrive(made, request)
        return count

    def test_some_of_very_many(self) -> None:
        made = large()
        for n in range(20):
            self.assertLessEqual(self.scored(made, f"r{n}"), 2 * SAMPLED + 1)

    def test_all_of_as_many_as_may_be(self) -> None:
        made = large(MOST_COMPARED)
        self.assertEqual(MOST_COMPARED, self.scored(made, "r"))

    def test_requests_spread(self) -> None:
        made = large()
        chosen: Counter[str] = Counter()
        for n in range(600):
            action = arrive(made, f"r{n}", parts=())
            assert isinstance(action, SendRequest)
            chosen[action.server.server_id] += 1
        self.assertLessEqual(max(chosen.values()), BUSIEST)

    def test_shared_parts_meet_on_one_server(self) -> None:
        """Two hosts that know the same listing agree on the first one."""
        first = [arrive(large(), name) for name in ("a", "b")]
        servers = {
            a.server.server_id for a in first if isinstance(a, SendRequest)
        }
        self.assertEqual(1, len(servers))

    def test_server_that_leaves_is_never_chosen(self) -> None:
        made = large()
        leaving = dict.fromkeys(names(MANY)[: MANY - 5], 9.0)
        servers = [server(name) for name in names(MANY)]
        made.handle(2.0, make_listing(2, *servers, **leaving))
        left = set(names(MANY)[MANY - 5 :])
        for n in range(30):
            action = arrive(made, f"r{n}", now=2.0)
            assert isinstance(action, SendRequest)
            self.assertIn(action.server.server_id, left)

    def test_avoided_servers_are_not_all_there_is(self) -> None:
        made = large()
        for name in names(MANY):
            made.load_balancer.health.failed(
                1.0, server(name).server_id, sure=True
            )
        self.assertNotIsInstance(arrive(made, "r"), LocalResponse)


class Listing(testtools.TestCase):
    def test_what_lingers_is_all_that_a_tick_looks_at(self) -> None:
        made = large()
        book = made.load_balancer.book
        servers = [server(name) for name in names(MANY)]
        made.handle(2.0, make_listing(2, *servers[1:]))
        self.assertEqual(MANY - 1, len(book.of_service(servers[0].service)))
        self.assertEqual({"s0000"}, book._unlisted)
        book.tick(2.0 + 60)
        self.assertIsNone(book.get(servers[0].server_id))
        self.assertEqual(set(), book._unlisted)

    def test_server_back_after_an_outage_stays(self) -> None:
        made = large(3)
        book = made.load_balancer.book
        servers = [server(name) for name in names(3)]
        made.handle(2.0, make_listing(2, after_outage=True))
        made.handle(3.0, make_listing(3, *servers))
        self.assertEqual([], book.tick(20.0))
        self.assertEqual(3, len(book.of_service(servers[0].service)))

    def test_unchanged_servers_are_not_read_again(self) -> None:
        made = large()
        book = made.load_balancer.book
        names_read: list[str] = []
        plain = BackendRegistry._take

        def taking(book: Any, now: float, one: ListedBackend) -> bool:
            names_read.append(one.server.server_id)
            return plain(book, now, one)

        servers = [server(name) for name in names(MANY)]
        first = make_listing(2, *servers)
        made.handle(2.0, first)
        renewed = server("s0007", incarnation=2)
        backends = list(first.backends)
        backends[7] = replace(backends[7], server=renewed)
        with patch.object(BackendRegistry, "_take", taking):
            change = book.listed(
                3.0, BackendsListed(version=3, backends=tuple(backends))
            )
        self.assertEqual(["s0007"], names_read)
        self.assertEqual(["s0007"], change.renewed)
        self.assertEqual([], change.leaving)
