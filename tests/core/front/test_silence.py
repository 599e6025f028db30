"""Tests of when an attempt may leave a server that sends nothing."""

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
from waxwingarch.core.backends.server_checks import (
    CHECK_INTERVAL_S,
    CheckResult,
    CheckServer,
    ServerChecked,
)
from waxwingarch.core.base import RequestId
from waxwingarch.core.exchange.exchange_messages import (
    AttemptFinished,
    AttemptOutcome,
    ResponseStarted,
    SendRequest,
    ServerActivity,
    ServerSilent,
    SilenceLasts,
)
from waxwingarch.core.front_node import FrontNode

SILENT_SINCE_S = 1.1
LONG_S = 3.0
MISSED = (CheckResult.NO_ANSWER, CheckResult.REFUSED)


def start_stream(node: FrontNode) -> SendRequest:
    send = arrive(node, "r", "/draft/x")
    assert isinstance(send, SendRequest)
    node.handle(SILENT_SINCE_S, ResponseStarted(request_id=RequestId("r")))
    return send


class SilentStreams(testtools.TestCase):
    """A stream pauses for longer than its route allows."""

    # Guards against a stream at two servers: the first one was stopped, and
    # took connections all the while.
    def test_stays_with_a_server_that_is_alive(self) -> None:
        node = serving_front()
        send = start_stream(node)
        for at in (2.0, 2.7, 3.9):
            check(node, send, at, CheckResult.TAKEN)
            self.assertFalse(may_leave(node, send, at, since=SILENT_SINCE_S))

    def test_stays_while_nothing_is_known(self) -> None:
        node = serving_front()
        send = start_stream(node)
        self.assertFalse(may_leave(node, send, LONG_S, since=SILENT_SINCE_S))
        check(node, send, 1.05, CheckResult.NO_ANSWER)
        # That check began before the silence.
        self.assertFalse(may_leave(node, send, LONG_S, since=SILENT_SINCE_S))
        check(node, send, 2.5, CheckResult.FAILED)
        self.assertFalse(may_leave(node, send, LONG_S, since=SILENT_SINCE_S))

    def test_leaves_a_server_that_two_checks_missed(self) -> None:
        for result in MISSED:
            node = serving_front()
            send = start_stream(node)
            check(node, send, 1.2, result)
            self.assertFalse(may_leave(node, send, 1.3, since=SILENT_SINCE_S))
            check(node, send, 2.0, result)
            self.assertTrue(may_leave(node, send, 2.0, since=SILENT_SINCE_S))

    def test_leaves_a_doubtful_server_before_its_caller_does(self) -> None:
        node = serving_front()
        send = start_stream(node)
        check(node, send, 1.2, CheckResult.NO_ANSWER)
        leave_at = SILENT_SINCE_S + send.max_silence_s
        self.assertFalse(
            may_leave(node, send, leave_at - 0.1, since=SILENT_SINCE_S)
        )
        self.assertTrue(may_leave(node, send, leave_at, since=SILENT_SINCE_S))

    def test_server_that_is_alive_again_is_not_left(self) -> None:
        node = serving_front()
        send = start_stream(node)
        check(node, send, 1.2, CheckResult.NO_ANSWER)
        check(node, send, 2.0, CheckResult.TAKEN)
        self.assertFalse(may_leave(node, send, LONG_S, since=SILENT_SINCE_S))

    # A server that leaves closes its listening socket first.
    def test_leaving_server_may_refuse_connections(self) -> None:
        node = serving_front()
        send = start_stream(node)
        others = (server("e1"), server("e2"))
        leaving = {str(send.server.server_id): 5.0}
        node.handle(1.2, make_listing(2, *others, **leaving))
        for at in (1.3, 2.0):
            check(node, send, at, CheckResult.REFUSED)
        self.assertFalse(may_leave(node, send, LONG_S, since=SILENT_SINCE_S))


class SilentRequests(testtools.TestCase):
    """A request that may be repeated gets no response."""

    # Guards against requests that sound servers are slow with, and that
    # were sent elsewhere until no server was left.
    def test_stays_with_a_server_that_is_alive(self) -> None:
        node = serving_front()
        send = arrive(node, "r", "/read/x")
        assert isinstance(send, SendRequest)
        check(node, send, 2.0, CheckResult.TAKEN)
        stays = {"since": 1.0, "response_started": False}
        early, late = 3.0, send.expires_at - 0.3
        self.assertFalse(may_leave(node, send, early, **stays))
        # In time for another server to answer.
        self.assertTrue(may_leave(node, send, late, **stays))

    def respond(self, node: FrontNode, took_s: float) -> None:
        """Let requests of the route be answered in a time."""
        for n in range(30):
            arrive(node, f"before-{n}", "/read/x", now=0.1)
            for event in (
                ResponseStarted(request_id=RequestId(f"before-{n}")),
                AttemptFinished(
                    request_id=RequestId(f"before-{n}"),
                    outcome=AttemptOutcome.DONE,
                ),
            ):
                node.handle(0.1 + took_s, event)

    # Guards against a wait until the caller's limit for a server that hangs,
    # and against leaving sound servers of a service that has become slow.
    def test_leaves_when_others_are_answered_far_sooner(self) -> None:
        for took_s, may_leave_at_2_s in ((0.05, True), (0.8, False)):
            node = serving_front()
            self.respond(node, took_s)
            send = arrive(node, "r", "/read/x")
            check(node, send, 1.7, CheckResult.TAKEN)
            self.assertEqual(
                may_leave_at_2_s,
                may_leave(node, send, 2.0, response_started=False),
            )

    def test_last_attempt_is_not_ended(self) -> None:
        node = serving_front(
            *(server(name, LEDGER) for name in ("p1", "p2", "p3"))
        )
        arrive(node, "r", "/read/x")
        [again] = node.handle(
            2.0,
            AttemptFinished(
                request_id=RequestId("r"), outcome=AttemptOutcome.SILENT
            ),
        )
        check(node, again, 3.0, CheckResult.TAKEN)
        self.assertFalse(
            may_leave(node, again, 4.9, since=2.0, response_started=False)
        )

    def test_silent_servers_that_are_alive_are_no_lost_path(self) -> None:
        for result, is_lost in (
            (CheckResult.TAKEN, False),
            (CheckResult.NO_ANSWER, True),
        ):
            node = serving_front()
            for n in range(2):
                send = arrive(node, f"r{n}", "/read/x")
                check(node, send, 2.0 + n, result)
                node.handle(
                    2.5 + n,
                    AttemptFinished(
                        request_id=RequestId(f"r{n}"),
                        outcome=AttemptOutcome.SILENT,
                    ),
                )
                node.handle(
                    2.6 + n,
                    AttemptFinished(
                        request_id=RequestId(f"r{n}"),
                        outcome=AttemptOutcome.EXPIRED,
                    ),
                )
            paths = node.load_balancer.paths
            self.assertEqual(is_lost, paths.is_lost(LEDGER), result)


class ServerChecksInTurn(testtools.TestCase):
    """Checks are shared by all requests at a server."""

    def report(
        self,
        node: FrontNode,
        send: SendRequest,
        at: float,
        since: float = SILENT_SINCE_S,
    ) -> int:
        event = SilenceLasts(
            request_id=send.request_id,
            server_id=send.server.server_id,
            since=since,
        )
        actions = node.handle(at, event)
        return sum(isinstance(a, CheckServer) for a in actions)

    def test_one_at_a_time(self) -> None:
        node = serving_front()
        send = start_stream(node)
        self.assertEqual(1, self.report(node, send, 2.0))
        self.assertEqual(0, self.report(node, send, 3.0))
        node.handle(
            3.0,
            ServerChecked(
                server_id=send.server.server_id,
                result=CheckResult.NO_ANSWER,
                began_at=2.0,
            ),
        )
        self.assertEqual(1, self.report(node, send, 3.0))
        again_at = 3.0 + CHECK_INTERVAL_S
        self.assertEqual(0, self.report(node, send, again_at - 0.1))

    def test_server_found_alive_is_checked_less_often(self) -> None:
        node = serving_front()
        send = start_stream(node)
        check(node, send, 2.0, CheckResult.TAKEN)
        later = 2.0 + CHECK_INTERVAL_S
        self.assertEqual(0, self.report(node, send, later))
        # Nothing is known yet of a silence that began after the check.
        self.assertEqual(1, self.report(node, send, later, since=2.1))

    # New requests waited at a server for which others waited already.
    def test_silent_server_is_avoided_until_bytes_come(self) -> None:
        node = serving_front()
        send = start_stream(node)
        server_id = send.server.server_id
        node.handle(
            2.0,
            ServerSilent(request_id=send.request_id, server_id=server_id),
        )
        health = node.load_balancer.health
        for at in (2.0, 2.9, 3.8):
            check(node, send, at, CheckResult.TAKEN)
            self.assertTrue(health.is_avoided(at + 0.5, server_id))
        node.handle(4.0, ServerActivity(server_id=server_id))
        self.assertFalse(health.is_avoided(4.0, server_id))

    # Guards against leaving a server that serves on after its entry is gone.
    def test_server_without_an_entry_is_not_checked_or_left(self) -> None:
        node = serving_front()
        send = start_stream(node)
        del node.load_balancer.registry._backends[send.server.server_id]
        self.assertEqual(0, self.report(node, send, 2.0))
        self.assertFalse(may_leave(node, send, LONG_S, since=SILENT_SINCE_S))
