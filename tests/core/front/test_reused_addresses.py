"""Tests of entries of several servers with one address."""

from dataclasses import replace
from typing import Any

import testtools

from tests.core.front.builders import (
    LEDGER,
    arrive,
    check,
    make_listing,
    may_leave,
    server,
    serving_front,
)
from waxwingarch.core.backends.paths import PathMonitor
from waxwingarch.core.backends.registry import (
    MISDIRECTED_HOLD_S,
    BackendRegistry,
    BackendSuperseded,
)
from waxwingarch.core.backends.server_checks import CheckResult
from waxwingarch.core.base import Action, RequestId, Server, ServiceId
from waxwingarch.core.exchange.exchange_messages import (
    AttemptFinished,
    AttemptOutcome,
    ResponseStarted,
    SendRequest,
)
from waxwingarch.core.front_messages import FrontTick
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
P1, P2 = server("p1", LEDGER), server("p2", LEDGER)
P3 = server("p3")
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
                superseded = [
                    action.by
                    for now in (2.2, 2.3)
                    for action in node.handle(
                        now, FrontTick(boot_now=now, unix_now=now)
                    )
                    if isinstance(action, BackendSuperseded)
                ]
                self.assertEqual([newer.server_id], superseded)
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

    # Guards against a row of another writer that takes a sound server out.
    def test_entry_of_a_service_that_is_not_configured_takes_none(
        self,
    ) -> None:
        odd = replace(NEW, service=ServiceId("odd"))
        node = serving_front(OLD, odd)
        self.assertEqual({"old"}, used(node, 1.0))

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

    # Guards against a stream that waits until its caller leaves, as the next
    # process at the address of its server takes the connections.
    def test_silent_server_is_not_alive_by_the_next_process(self) -> None:
        old, new = at_one_address(
            server("old", incarnation=1), server("new", incarnation=2)
        )
        for listed, expected in (((old, new), True), ((old, P3), False)):
            node = serving_front(old)
            send = arrive(node, "r", "/draft/x")
            node.handle(1.1, ResponseStarted(request_id=RequestId("r")))
            check(node, send, 1.3, CheckResult.TAKEN, since=1.2)
            node.handle(1.4, make_listing(2, *listed))
            check(node, send, 3.4, CheckResult.TAKEN, since=1.2)
            check(node, send, 4.1, CheckResult.TAKEN, since=1.2)
            self.assertEqual(expected, may_leave(node, send, 4.2, since=1.2))

    # Guards against a path that counts as lost as one machine fails twice,
    # under two ids.
    def test_failures_at_one_address_are_no_lost_path(self) -> None:
        registry = BackendRegistry(departed_kept_s=20.0)
        paths = PathMonitor(registry)
        for n, (listed, failing, is_lost) in enumerate(
            (
                ((OLD, P1, P2), OLD, False),
                ((OLD, NEW, P1, P2), NEW, False),
                ((NEW, P1, P2), P1, True),
            )
        ):
            registry.apply_listing(n, make_listing(n, *listed))
            paths.record_failure(
                n,
                failing.server_id,
                AttemptOutcome.NOT_SENT,
                response_started=False,
                last_activity_at=0.0,
                sent_at=n,
            )
            self.assertEqual(is_lost, paths.is_lost(LEDGER), failing)

    # Guards against a service whose path counts as lost by a server that has
    # ended, whose address another service has.
    def test_superseded_server_says_nothing_of_the_path(self) -> None:
        registry = BackendRegistry(departed_kept_s=20.0)
        registry.set_services({LEDGER, OTHER_SERVICE.service})
        paths = PathMonitor(registry)
        registry.apply_listing(1.0, make_listing(1, OLD, OTHER_SERVICE, P1))
        for outcome in (AttemptOutcome.SILENT, AttemptOutcome.NOT_SENT):
            paths.record_failure(
                2.0,
                OLD.server_id,
                outcome,
                response_started=False,
                last_activity_at=0.0,
                sent_at=1.5,
            )
            self.assertFalse(paths.is_lost(LEDGER), outcome)


class Misdirected(testtools.TestCase):
    """Another process answers at the address of an entry."""

    def node_with_misdirected(self) -> FrontNode:
        """Return a node that one 421 has told that "p1" is not there."""
        node = serving_front(P1, P2)
        for n in range(TRIES):
            send = arrive(node, f"r{n}", "/pay/x", 1.0)
            assert isinstance(send, SendRequest)
            outcome = AttemptOutcome.DONE
            if send.server == P1:
                outcome = AttemptOutcome.MISDIRECTED
                end(node, f"r{n}", outcome, 1.1)
                end(node, f"r{n}", AttemptOutcome.DONE, 1.2)
                return node
            end(node, f"r{n}", outcome, 1.0)
        raise AssertionError

    # Guards against hosts that ask again and again at an address that
    # another server has, and pay each time from the budget of resends.
    def test_one_answer_tells_for_as_long_as_it_holds(self) -> None:
        node = self.node_with_misdirected()
        for now in (1.3, 2.5, 5.0, 1.0 + MISDIRECTED_HOLD_S):
            node.handle(now, FrontTick(boot_now=now, unix_now=now))
            self.assertEqual({"p2"}, used(node, now), now)

    # Guards against a sound server that gets no requests for as long as
    # its entry stays the same, by one wrong answer.
    def test_it_is_tried_again_after_that(self) -> None:
        node = self.node_with_misdirected()
        now = 1.2 + MISDIRECTED_HOLD_S
        node.handle(now, FrontTick(boot_now=now, unix_now=now))
        self.assertEqual({"p1", "p2"}, used(node, now))

    def test_changed_entry_is_used_again(self) -> None:
        moved = replace(P1, address="10.0.0.1:9")
        restarted = replace(P1, incarnation=2)
        for listings in ([(moved, P2)], [(restarted, P2)], [(P2,), (P1, P2)]):
            node = self.node_with_misdirected()
            for n, servers in enumerate(listings):
                node.handle(2.0, make_listing(n + 2, *servers))
            self.assertEqual({"p1", "p2"}, used(node, 2.1))

    def test_answer_to_an_older_entry_says_nothing(self) -> None:
        node = serving_front(P1)
        arrive(node, "r", "/pay/x")
        moved = replace(P1, address="10.0.0.1:9")
        node.handle(2.0, make_listing(2, moved, P2))
        end(node, "r", AttemptOutcome.MISDIRECTED, 2.1)
        end(node, "r", AttemptOutcome.DONE, 2.2)
        self.assertEqual({"p1", "p2"}, used(node, 2.3))

    def test_it_is_used_if_there_is_no_other(self) -> None:
        node = self.node_with_misdirected()
        node.handle(2.0, make_listing(2, P1, P2, p2=None))
        self.assertEqual({"p1"}, used(node, 2.1))
        node.handle(3.0, make_listing(3, P1, P2, server("p3", LEDGER)))
        # It has answered itself.
        self.assertIn("p1", used(node, 3.1))

    # Guards against servers that get no requests for the start that a wrong
    # clock named.
    def test_newest_entry_that_is_not_there_supersedes_none(self) -> None:
        node = serving_front(OLD, NEW)
        arrive(node, "r", "/pay/x")
        [action] = end(node, "r", AttemptOutcome.MISDIRECTED, 1.1)
        assert isinstance(action, SendRequest)
        self.assertEqual(OLD, action.server)
        end(node, "r", AttemptOutcome.DONE, 1.2)
        self.assertEqual({"old"}, used(node, 1.3))

    def test_peers_are_told(self) -> None:
        node = self.node_with_misdirected()
        self.assertEqual(("p1",), node.load_balancer.avoided_servers(1.3))


class SameId(testtools.TestCase):
    """A server starts again under its id."""

    # Guards against a new process that is paused or avoided for what the one
    # before did: a host that was stopped may read the listing first.
    def test_end_of_an_attempt_at_the_process_before_says_nothing(
        self,
    ) -> None:
        for outcome, retry_after_s in (
            (AttemptOutcome.REJECTED, 30.0),
            (AttemptOutcome.BROKEN, None),
            (AttemptOutcome.NOT_SENT, None),
        ):
            node = serving_front(P1)
            for name in ("a", "b"):
                arrive(node, name, "/pay/x")
            restarted = replace(P1, incarnation=2)
            node.handle(2.0, make_listing(2, restarted, P2))
            for name in ("a", "b"):
                end(node, name, outcome, 2.1, retry_after_s=retry_after_s)
                end(node, name, AttemptOutcome.DONE, 2.2)
            self.assertEqual({"p1", "p2"}, used(node, 2.3), outcome)

    # Guards against a server that stays on trial for ever, as its entry
    # begins to state its start.
    def test_entry_that_begins_to_state_its_start_is_no_restart(self) -> None:
        registry = BackendRegistry(departed_kept_s=20.0)
        for n, (start, expected) in enumerate(
            ((0, False), (1, False), (2, True))
        ):
            listed = make_listing(n + 1, replace(P1, incarnation=start))
            registry.apply_listing(float(n + 1), listed)
            self.assertEqual(
                expected, registry.has_restarted_since(P1.server_id, 0.5)
            )
