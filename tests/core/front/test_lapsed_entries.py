"""Tests of servers whose entry lapses and comes back."""

import testtools

from tests.core.front.builders import (
    LEDGER,
    arrive,
    make_listing,
    server,
    serving_front,
)
from waxwingarch.core.backends.load_balancer import DEPARTED_KEPT_S
from waxwingarch.core.backends.registry import (
    BACK_AFTER_OUTAGE_S,
    RELIST_GRACE_S,
    LeavingAnnounced,
)
from waxwingarch.core.base import Action, RequestId, ServerId
from waxwingarch.core.exchange.exchange_messages import (
    AttemptFinished,
    AttemptOutcome,
    LocalResponse,
    SendRequest,
)
from waxwingarch.core.front_messages import FrontTick
from waxwingarch.core.front_node import FrontNode

P1, P2 = server("p1", LEDGER), server("p2", LEDGER)


def tick(node: FrontNode, now: float) -> list[Action]:
    return node.handle(now, FrontTick(boot_now=now, unix_now=now))


class SameIncarnation(testtools.TestCase):
    """A server lives on, and lost only the store for a while."""

    def used(self, node: FrontNode, now: float) -> set[str]:
        """Return the servers that get some requests."""
        used = set()
        names = [f"r{now}-{n}" for n in range(12)]
        for name in names:
            send = arrive(node, name, "/pay/x", now)
            assert isinstance(send, SendRequest)
            used.add(str(send.server.server_id))
        for name in names:
            done = AttemptFinished(
                request_id=RequestId(name), outcome=AttemptOutcome.DONE
            )
            node.handle(now, done)
        return used

    # Guards against a fleet that gets no requests any more once each of its
    # servers has lost the store for some seconds.
    def test_it_gets_requests_again(self) -> None:
        node = serving_front(P1, P2)
        node.handle(2.0, make_listing(2, P2))
        self.assertEqual({"p2"}, self.used(node, 2.1))
        node.handle(7.0, make_listing(3, P1, P2))
        self.assertEqual({"p1", "p2"}, self.used(node, 7.1))
        node.handle(8.0, make_listing(4, P1))
        node.handle(13.0, make_listing(5, P1, P2))
        self.assertEqual({"p1", "p2"}, self.used(node, 13.1))

    def test_after_an_outage_and_the_time_to_register_again(self) -> None:
        node = serving_front(P1, P2)
        node.handle(2.0, make_listing(2, P2, after_outage=True))
        tick(node, 2.0 + RELIST_GRACE_S)
        backend = node.load_balancer.registry.get(ServerId("p1"))
        assert backend is not None
        self.assertFalse(backend.is_usable)
        node.handle(9.0, make_listing(3, P1, P2))
        self.assertEqual({"p1", "p2"}, self.used(node, 9.1))

    # Guards against requests to a server that has left: a store that returns
    # from an older copy lists it until its heartbeats are missed.
    def test_entry_of_an_older_copy_does_not_count(self) -> None:
        node = serving_front(P1, P2)
        node.handle(2.0, make_listing(2, P2))
        node.handle(7.0, make_listing(3, P1, P2, after_outage=True))
        self.assertEqual({"p2"}, self.used(node, 7.1))
        node.handle(10.0, make_listing(4, P2))
        tick(node, 7.1 + BACK_AFTER_OUTAGE_S)
        self.assertEqual({"p2"}, self.used(node, 7.1 + BACK_AFTER_OUTAGE_S))

    def test_entry_that_stays_after_an_outage_counts(self) -> None:
        node = serving_front(P1, P2)
        node.handle(2.0, make_listing(2, P2))
        node.handle(7.0, make_listing(3, P1, P2, after_outage=True))
        tick(node, 7.1 + BACK_AFTER_OUTAGE_S)
        self.assertEqual(
            {"p1", "p2"}, self.used(node, 7.1 + BACK_AFTER_OUTAGE_S)
        )

    def test_it_is_kept_when_its_entry_is_back(self) -> None:
        node = serving_front(P1, P2)
        node.handle(2.0, make_listing(2, P2))
        node.handle(3.0, make_listing(3, P1, P2))
        tick(node, 3.0 + 2 * DEPARTED_KEPT_S)
        self.assertEqual(
            {"p1", "p2"}, self.used(node, 3.0 + 2 * DEPARTED_KEPT_S)
        )

    def test_one_that_said_that_it_leaves_stays_leaving(self) -> None:
        node = serving_front(P1, P2)
        node.handle(1.0, LeavingAnnounced(server=P1))
        node.handle(2.0, make_listing(2, P2))
        node.handle(3.0, make_listing(3, P1, P2))
        self.assertEqual({"p2"}, self.used(node, 3.1))

    def test_one_that_is_draining_stays_leaving(self) -> None:
        node = serving_front(P1, P2)
        node.handle(1.0, make_listing(2, P1, P2, p1=None))
        node.handle(2.0, make_listing(3, P2))
        node.handle(3.0, make_listing(4, P1, P2))
        self.assertEqual({"p2"}, self.used(node, 3.1))
        node.handle(4.0, make_listing(5, P2))
        node.handle(5.0, make_listing(6, P1, P2, p1=None))
        self.assertEqual({"p2"}, self.used(node, 5.1))

    def test_one_that_does_not_come_back_is_gone(self) -> None:
        node = serving_front(P1)
        node.handle(2.0, make_listing(2))
        self.assertIsInstance(arrive(node, "r", "/pay/x", 2.1), LocalResponse)
        tick(node, 3.0 + DEPARTED_KEPT_S)
        self.assertEqual(0, len(node.load_balancer.registry))


class NewIncarnation(testtools.TestCase):
    """A server is started again under its id, and knows nothing of before."""

    # Guards against a new process that is avoided, or that is taken to have
    # prompts cached, for what the one before it did.
    def test_nothing_is_known_of_it(self) -> None:
        for away_s in (1.0, 2 * DEPARTED_KEPT_S):
            node = serving_front(P1, P2, server("e1"))
            balancer = node.load_balancer
            arrive(node, "r", "/draft/x", 1.0)
            for name in ("p1", "e1"):
                balancer.health.record_failure(
                    1.0, ServerId(name), unreachable=True
                )
                balancer.pauses.record(1.0, ServerId(name), 100.0)
            node.handle(1.1, make_listing(2, P2))
            back_at = 1.1 + away_s
            tick(node, back_at)
            again = (
                server("p1", LEDGER, incarnation=2),
                server("e1", incarnation=2),
            )
            node.handle(back_at, make_listing(3, P2, *again))
            for name in ("p1", "e1"):
                server_id = ServerId(name)
                self.assertFalse(
                    balancer.health.is_avoided(back_at, server_id), away_s
                )
                self.assertEqual(
                    0.0, balancer.pauses.remaining_s(back_at, server_id)
                )
            self.assertEqual([], list(balancer.prefix_caches.holders("p0")))
