"""Tests of exchanges: what is sent where, and what follows a failure."""

import testtools

from tests.core.front.builders import (
    LEDGER,
    arrive,
    config,
    front,
    make_head,
    make_listing,
    server,
    serving_front,
)
from waxwingarch.core.base import ExecutionStatus, RequestId, ServerId
from waxwingarch.core.exchange.exchange_messages import (
    AbortResponse,
    AttemptFinished,
    AttemptOutcome,
    CallerDisconnected,
    ExchangeArrived,
    ForwardFailure,
    LocalResponse,
    MigratedCache,
    MigrateRun,
    ResponseStarted,
    RunMigrated,
    SendRequest,
)
from waxwingarch.core.front_messages import ConfigRead, FrontTick, StopBegan
from waxwingarch.core.front_node import STARTUP_WAIT_S, FrontNode
from waxwingarch.core.refusal import RefusalReason


def ended(name: str, end: AttemptOutcome, **more: object) -> AttemptFinished:
    return AttemptFinished(request_id=RequestId(name), outcome=end, **more)  # type: ignore[arg-type]


def tick(now: float) -> FrontTick:
    return FrontTick(boot_now=now, unix_now=now)


class Patience(testtools.TestCase):
    """How long a server may take for the first byte."""

    def order(self, tokens: int) -> SendRequest:
        made = serving_front()
        parts = {"prompt_tokens": tokens, "parts": ()}
        action = arrive(made, "r", now=1.0, caller_timeout_s=60.0, **parts)
        assert isinstance(action, SendRequest)
        return action

    def test_usual_prompt(self) -> None:
        self.assertLess(self.order(1000).first_byte_deadline - 1.0, 1.1)

    def test_large_prompt_is_not_given_up_while_it_is_read(self) -> None:
        """It was sent elsewhere after half of the time that it needs."""
        needs_s = 120_000 / 60_000
        self.assertGreater(
            self.order(120_000).first_byte_deadline - 1.0, 2 * needs_s
        )


class Refusals(testtools.TestCase):
    def refused(self, made: FrontNode, **more: object) -> LocalResponse:
        action = arrive(made, "r", **more)  # type: ignore[arg-type]
        assert isinstance(action, LocalResponse)
        self.assertEqual(ExecutionStatus.NOT_RUN, action.refusal.ran)
        return action

    def test_without_a_configuration(self) -> None:
        made = front()
        event = ExchangeArrived(head=make_head("r"))
        self.assertEqual([], made.handle(1.0, event))
        until = 1.0 + STARTUP_WAIT_S
        early = made.handle(until - 0.1, tick(until - 0.1))
        self.assertNotIn(LocalResponse, {type(action) for action in early})
        late = made.handle(until, tick(until))
        [answer] = [a for a in late if isinstance(a, LocalResponse)]
        self.assertEqual(ExecutionStatus.NOT_RUN, answer.refusal.ran)
        self.assertEqual(RefusalReason.NOT_READY, answer.refusal.reason)
        self.assertIsNotNone(answer.refusal.retry_after_s)

    def test_request_at_the_start_is_served_once_all_is_known(self) -> None:
        # A host that had just started refused at once what it could
        # serve a moment later.
        made = front()
        made.handle(1.0, ExchangeArrived(head=make_head("r1")))
        made.handle(1.0, ExchangeArrived(head=make_head("gone")))
        made.handle(1.0, CallerDisconnected(request_id=RequestId("gone")))
        made.handle(1.1, ConfigRead(cfg=config()))
        actions = made.handle(1.2, make_listing(1, server("e1")))
        [sent] = [a for a in actions if isinstance(a, SendRequest)]
        self.assertEqual("r1", sent.request_id)
        # Its time has run since it came: 4 s of the caller's patience.
        self.assertEqual(5.0, sent.expires_at)

    def test_impatient_request_at_the_start_is_refused_in_its_time(
        self,
    ) -> None:
        # It was sent to a server after its caller had given up.
        made = front()
        made.handle(1.0, ExchangeArrived(head=make_head("patient")))
        made.handle(
            1.0,
            ExchangeArrived(head=make_head("r", caller_timeout_s=0.2)),
        )
        early = made.handle(1.1, tick(1.1))
        self.assertNotIn(LocalResponse, {type(action) for action in early})
        late = made.handle(1.2, tick(1.2))
        [answer] = [a for a in late if isinstance(a, LocalResponse)]
        self.assertEqual(ExecutionStatus.NOT_RUN, answer.refusal.ran)
        made.handle(
            2.0,
            ExchangeArrived(head=make_head("s", caller_timeout_s=0.2)),
        )
        made.handle(2.1, ConfigRead(cfg=config()))
        actions = made.handle(2.3, make_listing(1, server("e1")))
        [answer] = [a for a in actions if isinstance(a, LocalResponse)]
        self.assertEqual(ExecutionStatus.NOT_RUN, answer.refusal.ran)
        self.assertEqual("s", answer.request_id)

    def test_unknown_route_and_key(self) -> None:
        made = serving_front()
        for more, reason in (
            ({"path": "/none/x"}, RefusalReason.UNKNOWN_ROUTE),
            ({"key": "wrong"}, RefusalReason.UNKNOWN_KEY),
            ({"key": ""}, RefusalReason.UNKNOWN_KEY),
        ):
            answer = self.refused(made, **more)
            self.assertEqual(reason, answer.refusal.reason)

    def test_over_the_rate_limit(self) -> None:
        made = serving_front(rate=200.0)
        self.assertIsInstance(arrive(made, "r1"), SendRequest)
        answer = self.refused(made)
        self.assertEqual(RefusalReason.RATE_LIMIT, answer.refusal.reason)
        assert answer.refusal.retry_after_s is not None
        self.assertGreater(answer.refusal.retry_after_s, 0)

    def test_without_a_server(self) -> None:
        made = serving_front(server("e1"))
        answer = self.refused(made, path="/pay/x")
        self.assertEqual(RefusalReason.NO_SERVER, answer.refusal.reason)


class AfterFailures(testtools.TestCase):
    def sent(self, made: FrontNode, name: str, path: str) -> SendRequest:
        action = arrive(made, name, path)
        assert isinstance(action, SendRequest)
        return action

    def test_idempotent_goes_to_another_server(self) -> None:
        made = serving_front()
        first = self.sent(made, "r", "/read/x")
        [again] = made.handle(1.1, ended("r", AttemptOutcome.BROKEN))
        assert isinstance(again, SendRequest)
        self.assertNotEqual(first.server, again.server)

    def test_attempts_are_bounded_by_the_route(self) -> None:
        made = serving_front()
        self.sent(made, "r", "/read/x")
        made.handle(1.1, ended("r", AttemptOutcome.BROKEN))
        [answer] = made.handle(1.2, ended("r", AttemptOutcome.BROKEN))
        assert isinstance(answer, LocalResponse)
        self.assertEqual(ExecutionStatus.UNKNOWN, answer.refusal.ran)

    def test_non_idempotent_is_never_sent_twice(self) -> None:
        made = serving_front()
        # The route of /chat/ would allow two attempts.
        for path in ("/pay/x", "/chat/x"):
            for end in (
                AttemptOutcome.BROKEN,
                AttemptOutcome.SILENT,
                AttemptOutcome.FAILED,
            ):
                self.sent(made, "r", path)
                [answer] = made.handle(1.1, ended("r", end))
                assert isinstance(answer, LocalResponse)
                self.assertEqual(
                    ExecutionStatus.UNKNOWN, answer.refusal.ran, end
                )

    def test_non_idempotent_goes_on_if_it_did_not_run(self) -> None:
        made = serving_front()
        for end in (
            AttemptOutcome.NOT_SENT,
            AttemptOutcome.REJECTED,
            AttemptOutcome.MISDIRECTED,
        ):
            first = self.sent(made, f"r-{end}", "/pay/x")
            [again] = made.handle(1.1, ended(f"r-{end}", end))
            assert isinstance(again, SendRequest)
            self.assertNotEqual(first.server, again.server)

    def test_refused_by_all_is_truly_not_run(self) -> None:
        made = serving_front()
        self.sent(made, "r", "/pay/x")
        made.handle(1.1, ended("r", AttemptOutcome.REJECTED))
        [answer] = made.handle(1.2, ended("r", AttemptOutcome.REJECTED))
        assert isinstance(answer, LocalResponse)
        self.assertEqual(ExecutionStatus.NOT_RUN, answer.refusal.ran)
        self.assertIsNotNone(answer.refusal.retry_after_s)

    def test_one_that_may_have_run_is_not_called_not_run(self) -> None:
        made = serving_front()
        self.sent(made, "r", "/read/x")
        made.handle(1.1, ended("r", AttemptOutcome.BROKEN))
        [answer] = made.handle(1.2, ended("r", AttemptOutcome.REJECTED))
        assert isinstance(answer, LocalResponse)
        self.assertEqual(ExecutionStatus.UNKNOWN, answer.refusal.ran)

    def test_a_servers_failure_is_passed_on(self) -> None:
        made = serving_front()
        self.sent(made, "r", "/pay/x")
        [action] = made.handle(
            1.1, ended("r", AttemptOutcome.FAILED, has_response=True)
        )
        self.assertIsInstance(action, ForwardFailure)

    def test_stream_resumes_after_its_last_event(self) -> None:
        made = serving_front()
        self.sent(made, "r", "/draft/x")
        made.handle(1.1, ResponseStarted(request_id=RequestId("r")))
        [again] = made.handle(
            1.2,
            ended(
                "r", AttemptOutcome.BROKEN, response_started=True, last_event=7
            ),
        )
        assert isinstance(again, SendRequest)
        self.assertEqual(7, again.resume_after)

    def test_stream_that_may_not_resume_is_cut(self) -> None:
        made = serving_front()
        self.sent(made, "r", "/chat/x")
        [action] = made.handle(
            1.2,
            ended(
                "r", AttemptOutcome.BROKEN, response_started=True, last_event=7
            ),
        )
        self.assertIsInstance(action, AbortResponse)

    def test_nothing_is_sent_after_the_time_is_up(self) -> None:
        made = serving_front()
        self.sent(made, "r", "/read/x")
        [answer] = made.handle(5.1, ended("r", AttemptOutcome.BROKEN))
        self.assertIsInstance(answer, LocalResponse)

    def test_a_caller_that_left_is_forgotten(self) -> None:
        made = serving_front()
        self.sent(made, "r", "/read/x")
        made.handle(1.1, CallerDisconnected(request_id=RequestId("r")))
        self.assertEqual(0, len(made.exchanges))
        self.assertEqual({}, made.load_balancer.loads.own())
        self.assertEqual(
            [], made.handle(1.2, ended("r", AttemptOutcome.BROKEN))
        )


class LeavingServers(testtools.TestCase):
    def tick(self, made: FrontNode, now: float) -> list[object]:
        return list(made.handle(now, FrontTick(boot_now=now, unix_now=now)))

    def running(self) -> tuple[FrontNode, SendRequest]:
        made = serving_front()
        send = arrive(made, "r", "/chat/x")
        assert isinstance(send, SendRequest)
        made.handle(1.1, ResponseStarted(request_id=RequestId("r")))
        return made, send

    def leave(self, made: FrontNode, send: SendRequest) -> list[object]:
        known = [b.server for b in made.load_balancer.book.all()]
        gone = {str(send.server.server_id): 2.0}
        made.handle(1.2, make_listing(2, *known, **gone))
        self.tick(made, 1.3)
        return [a for a in self.tick(made, 2.4) if isinstance(a, MigrateRun)]

    def test_no_new_work_for_a_leaving_server(self) -> None:
        made, send = self.running()
        self.leave(made, send)
        for n in range(10):
            other = arrive(made, f"n{n}", now=2.5)
            assert isinstance(other, SendRequest)
            self.assertNotEqual(send.server, other.server)

    def test_run_is_moved_and_goes_on_from_the_copy(self) -> None:
        made, send = self.running()
        [move] = self.leave(made, send)
        assert isinstance(move, MigrateRun)
        self.assertEqual(send.server, move.source)
        end = ended(
            "r", AttemptOutcome.BROKEN, response_started=True, last_event=4
        )
        self.assertEqual([], made.handle(2.5, end))
        state = MigratedCache(
            address="10.0.0.1:1", handle="h", target=move.target.server_id
        )
        [again] = made.handle(
            2.6, RunMigrated(request_id=RequestId("r"), cache=state)
        )
        assert isinstance(again, SendRequest)
        self.assertEqual(move.target, again.server)
        self.assertEqual(state, again.migrated_cache)
        self.assertEqual(4, again.resume_after)

    def moved(self, path: str) -> FrontNode:
        """Return a host one of whose runs goes on at another server."""
        made = serving_front(*(server(f"e{n}") for n in range(1, 5)))
        send = arrive(made, "r", path)
        assert isinstance(send, SendRequest)
        made.handle(1.1, ResponseStarted(request_id=RequestId("r")))
        [move] = self.leave(made, send)
        assert isinstance(move, MigrateRun)
        made.handle(
            2.5,
            ended(
                "r", AttemptOutcome.BROKEN, response_started=True, last_event=4
            ),
        )
        state = MigratedCache(
            address="10.0.0.1:1", handle="h", target=move.target.server_id
        )
        made.handle(2.6, RunMigrated(request_id=RequestId("r"), cache=state))
        return made

    def test_copy_that_cannot_be_taken_up_is_no_new_run(self) -> None:
        """Its target's address was another server's by then (TWICE)."""
        for end in (
            AttemptOutcome.MISDIRECTED,
            AttemptOutcome.REJECTED,
            AttemptOutcome.NOT_SENT,
        ):
            made = self.moved("/chat/x")
            event = ended("r", end, response_started=True, last_event=4)
            [action] = made.handle(2.7, event)
            self.assertIsInstance(action, AbortResponse, end)

    def test_run_that_may_resume_goes_on_after_its_last_event(self) -> None:
        made = self.moved("/draft/x")
        event = ended(
            "r",
            AttemptOutcome.MISDIRECTED,
            response_started=True,
            last_event=4,
        )
        [action] = made.handle(2.7, event)
        assert isinstance(action, SendRequest)
        self.assertIsNone(action.migrated_cache)
        self.assertEqual(4, action.resume_after)

    def test_failed_move_of_a_run_that_may_not_resume_cuts(self) -> None:
        made, send = self.running()
        self.leave(made, send)
        made.handle(
            2.5,
            ended(
                "r", AttemptOutcome.BROKEN, response_started=True, last_event=4
            ),
        )
        [action] = made.handle(
            2.6, RunMigrated(request_id=RequestId("r"), cache=None)
        )
        self.assertIsInstance(action, AbortResponse)

    def test_server_lost_in_an_outage_is_the_last_choice(self) -> None:
        # A host that was turned away by the store for 10 s went on
        # sending to a server that had left meanwhile (DRAIN).
        made = serving_front()
        known = [b.server for b in made.load_balancer.book.all()]
        left = [s for s in known if s.server_id != ServerId("e1")]
        made.handle(1.0, make_listing(2, *left, after_outage=True))
        for n in range(10):
            send = arrive(made, f"r{n}", now=1.1)
            assert isinstance(send, SendRequest)
            self.assertEqual(ServerId("e2"), send.server.server_id)

    def test_listing_that_lost_all_servers_is_not_believed(self) -> None:
        made = serving_front()
        made.handle(1.0, make_listing(2, after_outage=True))
        self.assertIsInstance(arrive(made, "r", now=1.1), SendRequest)
        self.tick(made, 4.0)
        self.assertIsInstance(arrive(made, "r2", now=4.0), LocalResponse)


class Life(testtools.TestCase):
    def test_ready_with_configuration_and_servers_until_the_stop(self) -> None:
        made = front()
        self.assertFalse(made.ready)
        made.handle(0.0, ConfigRead(cfg=config()))
        self.assertFalse(made.ready)
        made.handle(0.0, make_listing(1, server("p1", LEDGER)))
        self.assertTrue(made.ready)
        made.handle(1.0, StopBegan())
        self.assertFalse(made.ready)
        self.assertIsInstance(arrive(made, "r", "/pay/x"), SendRequest)

    def test_takes_nothing_that_it_may_not_finish_before_the_end(self) -> None:
        # A request that came 7.6 s after the signal was cut (LOST).
        made = serving_front()
        made.handle(1.0, StopBegan())
        self.assertIsInstance(arrive(made, "r", now=3.5), SendRequest)
        answer = arrive(made, "r2", now=3.7)
        assert isinstance(answer, LocalResponse)
        self.assertEqual(ExecutionStatus.NOT_RUN, answer.refusal.ran)
        self.assertIsNotNone(answer.refusal.retry_after_s)
