"""Tests of entries of several servers with one address."""

from dataclasses import replace
from typing import Any

import testtools

from tests.core.front.builders import (
    LEDGER,
    arrive,
    make_listing,
    server,
    serving_front,
)
from waxwingarch.core.backends.server_checks import CheckResult
from waxwingarch.core.base import Action, RequestId, Server
from waxwingarch.core.exchange.exchange_messages import (
    AttemptFinished,
    AttemptOutcome,
    ResponseStarted,
    SendRequest,
)
from waxwingarch.core.front_node import FrontNode

TRIES = 12


def at_one_address(*servers: Server) -> tuple[Server, ...]:
    return tuple(replace(s, address="10.0.0.1:1") for s in servers)


def end(
    node: FrontNode,
    name: str,
    outcome: AttemptOutcome,
    now: float,
    **more: Any,
) -> list[Action]:
    event = AttemptFinished(
        request_id=RequestId(name), outcome=outcome, **more
    )
    return node.handle(now, event)


def used(node: FrontNode, now: float) -> set[str]:
    """Return the servers that get some requests."""
    found = set()
    for n in range(TRIES):
        send = arrive(node, f"r{now}-{n}", "/pay/x", now)
        if isinstance(send, SendRequest):
            found.add(str(send.server.server_id))
    for n in range(TRIES):
        end(node, f"r{now}-{n}", AttemptOutcome.DONE, now)
    return found


OLD, NEW = at_one_address(
    server("old", LEDGER, incarnation=1), server("new", LEDGER, incarnation=2)
)
OTHER_SERVICE = replace(NEW, service=server("e").service)


class TwoEntries(testtools.TestCase):
    """An entry of a server that has ended stands beside a newer one."""

    # Guards against requests to a server that has ended, whose address
    # another one has.
    def test_older_one_gets_no_requests(self) -> None:
        for newer, expected in ((NEW, {"new"}), (OTHER_SERVICE, set())):
            for draining in ({}, {"new": None}):
                node = serving_front(OLD)
                self.assertEqual({"old"}, used(node, 1.0))
                self.assertEqual(
                    [], node.handle(2.0, make_listing(2, OLD, newer))
                )
                self.assertEqual(expected, used(node, 2.1))
                drained = make_listing(3, OLD, newer, **draining)
                node.handle(3.0, drained)
                self.assertNotIn("old", used(node, 3.1))

    def test_it_is_used_again_without_the_newer_one(self) -> None:
        moved = replace(NEW, address="10.0.0.1:2")
        for later, expected in (
            ((OLD,), {"old"}),
            ((OLD, moved), {"old", "new"}),
            ((replace(OLD, incarnation=3), NEW), {"old"}),
        ):
            node = serving_front(OLD, NEW)
            self.assertEqual({"new"}, used(node, 1.0))
            node.handle(2.0, make_listing(2, *later))
            self.assertEqual(expected, used(node, 2.1))

    def test_unknown_and_equal_starts_lose_nothing(self) -> None:
        for starts in ((0, 2), (2, 0), (0, 0), (2, 2)):
            servers = (
                replace(s, incarnation=start)
                for s, start in zip((OLD, NEW), starts, strict=True)
            )
            node = serving_front(*servers)
            self.assertEqual({"old", "new"}, used(node, 1.0), starts)

    # Entries that are missing after an outage may come back.
    def test_newer_one_that_is_missing_after_an_outage_holds(self) -> None:
        node = serving_front(OLD, NEW)
        node.handle(2.0, make_listing(2, OLD, after_outage=True))
        self.assertEqual({"new"}, used(node, 2.1))

    # Guards against a stream that goes back to a process that has ended, as
    # the next one took the connection.
    def test_stream_does_not_return_to_the_older_one(self) -> None:
        old, new = at_one_address(
            server("old", incarnation=1), server("new", incarnation=2)
        )
        node = serving_front(old)
        arrive(node, "r", "/draft/x")
        node.handle(1.1, ResponseStarted(request_id=RequestId("r")))
        node.handle(1.2, make_listing(2, old, new))
        [send] = end(
            node,
            "r",
            AttemptOutcome.BROKEN,
            1.3,
            response_started=True,
            last_event=3,
            next_connection=CheckResult.TAKEN,
        )
        assert isinstance(send, SendRequest)
        self.assertEqual(new, send.server)
