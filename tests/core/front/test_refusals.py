"""Tests of what a refusal says about whether the request ran."""

from collections.abc import Callable
from dataclasses import replace

import testtools

from tests.core.front.builders import (
    DOMAINS,
    arrive,
    config,
    make_listing,
    server,
    serving_front,
)
from waxwingarch.core.base import (
    AccountId,
    Action,
    ExecutionStatus,
    HostId,
    RequestId,
)
from waxwingarch.core.exchange.exchange_messages import (
    AbortResponse,
    AttemptFinished,
    AttemptOutcome,
    LocalResponse,
    ResponseStarted,
    SendRequest,
)
from waxwingarch.core.front_messages import ConfigRead, FrontTick, StopBegan
from waxwingarch.core.front_node import FrontNode
from waxwingarch.core.peers.report import HostReport, ReportReceived
from waxwingarch.core.quarantine.inputs import request_key
from waxwingarch.core.quarantine.quarantine_messages import QuarantineOrdered

REQUEST = RequestId("r")
DIGEST = "digest"
MAY_HAVE_RUN = (
    AttemptOutcome.BROKEN,
    AttemptOutcome.SILENT,
    AttemptOutcome.EXPIRED,
    AttemptOutcome.FAILED,
)
DID_NOT_RUN = (
    AttemptOutcome.NOT_SENT,
    AttemptOutcome.REJECTED,
    AttemptOutcome.MISDIRECTED,
)


def finish(
    node: FrontNode, now: float, outcome: AttemptOutcome, **more: object
) -> list[Action]:
    """Post the end of the attempt of the request."""
    event = AttemptFinished(request_id=REQUEST, outcome=outcome, **more)  # type: ignore[arg-type]
    return node.handle(now, event)


def send(node: FrontNode, path: str = "/pay/x") -> SendRequest:
    action = arrive(node, REQUEST, path, digest=DIGEST)
    assert isinstance(action, SendRequest)
    return action


def hear_of_peer(node: FrontNode, host: str = "h2") -> None:
    """Let a node hear of a host that reaches all servers."""
    report = HostReport(
        host=HostId(host),
        incarnation=1,
        sequence=1,
        address="10.0.0.8:1",
        domain=DOMAINS[1],
        unix_now=1.0,
        config_version=1,
        listing_version=1,
    )
    node.handle(1.0, ReportReceived(report=report))


def sent_to_a_server(path: str = "/pay/x") -> FrontNode:
    """Return a node with a request at a server."""
    node = serving_front()
    send(node, path)
    return node


def sent_after_a_rejection() -> FrontNode:
    """Return a node with a request at a second server."""
    node = sent_to_a_server()
    [again] = finish(node, 1.05, AttemptOutcome.REJECTED)
    assert isinstance(again, SendRequest)
    return node


def relayed_to_a_peer() -> FrontNode:
    """Return a node that reaches no server, with a request at a peer."""
    node = serving_front()
    hear_of_peer(node)
    send(node)
    finish(node, 1.01, AttemptOutcome.NOT_SENT)
    actions = finish(node, 1.02, AttemptOutcome.NOT_SENT)
    [relay] = [a for a in actions if isinstance(a, SendRequest)]
    assert relay.relay_to == HostId("h2")
    return node


WAYS_TO_SEND: tuple[Callable[[], FrontNode], ...] = (
    sent_to_a_server,
    sent_after_a_rejection,
    relayed_to_a_peer,
)


def quarantine(node: FrontNode, now: float) -> list[Action]:
    key = request_key(AccountId("a"), DIGEST)
    return node.handle(now, QuarantineOrdered(key=key, held=True))


class UnknownIsNotCalledNotRun(testtools.TestCase):
    """The end of a request that a server or a peer may run."""

    def check(self, actions: list[Action], note: object) -> None:
        ends = [
            a for a in actions if isinstance(a, LocalResponse | AbortResponse)
        ]
        self.assertEqual(1, len(ends), note)
        [end] = ends
        if isinstance(end, LocalResponse):
            self.assertEqual(ExecutionStatus.UNKNOWN, end.refusal.ran, note)
            self.assertIsNone(end.refusal.retry_after_s, note)

    # Guards against callers that are told to send a request again that a
    # peer runs: the quarantine cancelled the relay and took the request for
    # one that no server had.
    def test_quarantined_while_it_is_under_way(self) -> None:
        for way in WAYS_TO_SEND:
            node = way()
            self.check(quarantine(node, 1.1), way.__name__)
            self.assertEqual(0, len(node.exchanges), way.__name__)

    def test_attempt_whose_outcome_does_not_show_it(self) -> None:
        for way in WAYS_TO_SEND:
            for outcome in MAY_HAVE_RUN:
                self.check(finish(way(), 1.1, outcome), (way, outcome))

    def test_attempt_that_ends_after_the_deadline(self) -> None:
        for way in WAYS_TO_SEND:
            for outcome in MAY_HAVE_RUN:
                self.check(finish(way(), 9.0, outcome), (way, outcome))

    def test_host_that_stops(self) -> None:
        for way in WAYS_TO_SEND:
            node = way()
            node.handle(1.1, StopBegan())
            node.handle(4.0, FrontTick(boot_now=4.0, unix_now=4.0))
            self.check(finish(node, 4.1, AttemptOutcome.BROKEN), way)

    def test_route_key_and_servers_that_are_taken_away(self) -> None:
        for way in WAYS_TO_SEND:
            node = way()
            empty = replace(config(version=2), routes=(), accounts=())
            node.handle(1.1, ConfigRead(cfg=empty))
            node.handle(1.2, make_listing(2, server("e9")))
            self.check(finish(node, 1.3, AttemptOutcome.BROKEN), way)

    def test_rejection_after_an_attempt_that_may_have_run(self) -> None:
        node = sent_to_a_server("/read/x")
        [again] = finish(node, 1.1, AttemptOutcome.BROKEN)
        self.assertIsInstance(again, SendRequest)
        for outcome in DID_NOT_RUN:
            actions = finish(node, 1.2, outcome)
            if any(isinstance(a, SendRequest) for a in actions):
                continue
            self.check(actions, outcome)
            break

    def test_quarantined_after_the_resend_of_one_that_may_have_run(
        self,
    ) -> None:
        node = sent_to_a_server("/read/x")
        finish(node, 1.1, AttemptOutcome.BROKEN)
        self.check(quarantine(node, 1.2), "resent")

    def test_stream_at_a_second_server(self) -> None:
        node = sent_to_a_server("/draft/x")
        node.handle(1.05, ResponseStarted(request_id=REQUEST))
        [again] = finish(
            node,
            1.1,
            AttemptOutcome.BROKEN,
            response_started=True,
            last_event=3,
        )
        self.assertIsInstance(again, SendRequest)
        self.check(quarantine(node, 1.2), "resumed")


class NotRun(testtools.TestCase):
    """Only an outcome that shows it makes a refusal say "not run"."""

    def test_attempts_that_all_show_it(self) -> None:
        for way in WAYS_TO_SEND:
            for outcome in DID_NOT_RUN:
                node = way()
                actions: list[Action] = []
                for n in range(6):
                    actions = finish(node, 1.1 + n / 100, outcome)
                    if not any(isinstance(a, SendRequest) for a in actions):
                        break
                [end] = [a for a in actions if isinstance(a, LocalResponse)]
                self.assertEqual(
                    ExecutionStatus.NOT_RUN, end.refusal.ran, (way, outcome)
                )
                self.assertIsNotNone(end.refusal.retry_after_s)
