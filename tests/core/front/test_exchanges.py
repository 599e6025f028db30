"""Tests of exchanges: admission, dispatch, resends and migration of runs."""

from dataclasses import replace

import testtools

from tests.core.front.builders import (
    LEDGER,
    POOL,
    arrive,
    config,
    front,
    make_head,
    make_listing,
    may_leave_lost_server,
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
    ServerActivity,
    ServerSilent,
)
from waxwingarch.core.front_messages import ConfigRead, FrontTick, StopBegan
from waxwingarch.core.front_node import STARTUP_WAIT_S, FrontNode
from waxwingarch.core.refusal import RefusalReason


def attempt_finished(
    name: str, end: AttemptOutcome, **more: object
) -> AttemptFinished:
    return AttemptFinished(request_id=RequestId(name), outcome=end, **more)  # type: ignore[arg-type]


def tick(now: float) -> FrontTick:
    return FrontTick(boot_now=now, unix_now=now)


class FirstByteTimeout(testtools.TestCase):
    """The deadline of the first byte of a response."""

    def dispatch(self, tokens: int) -> SendRequest:
        node = serving_front()
        parts = {"prompt_tokens": tokens, "parts": ()}
        action = arrive(node, "r", now=1.0, caller_timeout_s=60.0, **parts)
        assert isinstance(action, SendRequest)
        return action

    def test_usual_prompt_gets_about_a_second(self) -> None:
        self.assertLess(self.dispatch(1000).first_byte_deadline - 1.0, 1.1)

    def test_large_prompt_gets_more_than_its_prefill_time(self) -> None:
        """Guards against a resend in the middle of a long prefill.

        Such a request was sent to another server after half of the time
        that its prompt needs.
        """
        needs_s = 120_000 / 60_000
        self.assertGreater(
            self.dispatch(120_000).first_byte_deadline - 1.0, 2 * needs_s
        )


class Refusals(testtools.TestCase):
    def refused(self, node: FrontNode, **more: object) -> LocalResponse:
        action = arrive(node, "r", **more)  # type: ignore[arg-type]
        assert isinstance(action, LocalResponse)
        self.assertEqual(ExecutionStatus.NOT_RUN, action.refusal.ran)
        return action

    def test_no_configuration_within_the_startup_wait(self) -> None:
        node = front()
        event = ExchangeArrived(head=make_head("r"))
        self.assertEqual([], node.handle(1.0, event))
        until = 1.0 + STARTUP_WAIT_S
        early = node.handle(until - 0.1, tick(until - 0.1))
        self.assertNotIn(LocalResponse, {type(action) for action in early})
        late = node.handle(until, tick(until))
        [response] = [a for a in late if isinstance(a, LocalResponse)]
        self.assertEqual(ExecutionStatus.NOT_RUN, response.refusal.ran)
        self.assertEqual(RefusalReason.NOT_READY, response.refusal.reason)
        self.assertIsNotNone(response.refusal.retry_after_s)

    def test_request_at_the_start_is_served_once_all_is_known(self) -> None:
        # A host that had just started refused requests at once that it
        # could serve a moment later.
        node = front()
        node.handle(1.0, ExchangeArrived(head=make_head("r1")))
        node.handle(1.0, ExchangeArrived(head=make_head("gone")))
        node.handle(1.0, CallerDisconnected(request_id=RequestId("gone")))
        node.handle(1.1, ConfigRead(cfg=config()))
        actions = node.handle(1.2, make_listing(1, server("e1")))
        [sent] = [a for a in actions if isinstance(a, SendRequest)]
        self.assertEqual("r1", sent.request_id)
        # The caller's timeout of 4 s runs from the arrival.
        self.assertEqual(5.0, sent.expires_at)

    def test_short_timeout_at_the_start_is_kept(self) -> None:
        # Such a request was sent to a server after its caller had given up.
        node = front()
        node.handle(1.0, ExchangeArrived(head=make_head("patient")))
        node.handle(
            1.0,
            ExchangeArrived(head=make_head("r", caller_timeout_s=0.2)),
        )
        early = node.handle(1.1, tick(1.1))
        self.assertNotIn(LocalResponse, {type(action) for action in early})
        late = node.handle(1.2, tick(1.2))
        [response] = [a for a in late if isinstance(a, LocalResponse)]
        self.assertEqual(ExecutionStatus.NOT_RUN, response.refusal.ran)
        node.handle(
            2.0,
            ExchangeArrived(head=make_head("s", caller_timeout_s=0.2)),
        )
        node.handle(2.1, ConfigRead(cfg=config()))
        actions = node.handle(2.3, make_listing(1, server("e1")))
        [response] = [a for a in actions if isinstance(a, LocalResponse)]
        self.assertEqual(ExecutionStatus.NOT_RUN, response.refusal.ran)
        self.assertEqual("s", response.request_id)

    def test_unknown_route_and_key(self) -> None:
        node = serving_front()
        for more, reason in (
            ({"path": "/none/x"}, RefusalReason.UNKNOWN_ROUTE),
            ({"key": "wrong"}, RefusalReason.UNKNOWN_KEY),
            ({"key": ""}, RefusalReason.UNKNOWN_KEY),
        ):
            response = self.refused(node, **more)
            self.assertEqual(reason, response.refusal.reason)

    def test_over_the_rate_limit(self) -> None:
        node = serving_front(rate=200.0)
        self.assertIsInstance(arrive(node, "r1"), SendRequest)
        response = self.refused(node)
        self.assertEqual(RefusalReason.RATE_LIMIT, response.refusal.reason)
        assert response.refusal.retry_after_s is not None
        self.assertGreater(response.refusal.retry_after_s, 0)

    def test_without_a_server(self) -> None:
        node = serving_front(server("e1"))
        response = self.refused(node, path="/pay/x")
        self.assertEqual(RefusalReason.NO_SERVER, response.refusal.reason)


class AfterFailures(testtools.TestCase):
    def sent(self, node: FrontNode, name: str, path: str) -> SendRequest:
        action = arrive(node, name, path)
        assert isinstance(action, SendRequest)
        return action

    def test_idempotent_goes_to_another_server(self) -> None:
        node = serving_front()
        first = self.sent(node, "r", "/read/x")
        [resent] = node.handle(
            1.1, attempt_finished("r", AttemptOutcome.BROKEN)
        )
        assert isinstance(resent, SendRequest)
        self.assertNotEqual(first.server, resent.server)

    def test_attempts_are_bounded_by_the_route(self) -> None:
        node = serving_front()
        self.sent(node, "r", "/read/x")
        node.handle(1.1, attempt_finished("r", AttemptOutcome.BROKEN))
        [response] = node.handle(
            1.2, attempt_finished("r", AttemptOutcome.BROKEN)
        )
        assert isinstance(response, LocalResponse)
        self.assertEqual(ExecutionStatus.UNKNOWN, response.refusal.ran)

    def test_non_idempotent_is_never_sent_twice(self) -> None:
        node = serving_front()
        # The route of /chat/ would allow two attempts.
        for path in ("/pay/x", "/chat/x"):
            for end in (
                AttemptOutcome.BROKEN,
                AttemptOutcome.SILENT,
                AttemptOutcome.FAILED,
            ):
                self.sent(node, "r", path)
                [response] = node.handle(1.1, attempt_finished("r", end))
                assert isinstance(response, LocalResponse)
                self.assertEqual(
                    ExecutionStatus.UNKNOWN, response.refusal.ran, end
                )

    def test_non_idempotent_is_resent_if_it_did_not_run(self) -> None:
        node = serving_front()
        for end in (
            AttemptOutcome.NOT_SENT,
            AttemptOutcome.REJECTED,
            AttemptOutcome.MISDIRECTED,
        ):
            first = self.sent(node, f"r-{end}", "/pay/x")
            [resent] = node.handle(1.1, attempt_finished(f"r-{end}", end))
            assert isinstance(resent, SendRequest)
            self.assertNotEqual(first.server, resent.server)

    def test_rejected_by_all_servers_is_reported_as_not_run(self) -> None:
        node = serving_front()
        self.sent(node, "r", "/pay/x")
        node.handle(1.1, attempt_finished("r", AttemptOutcome.REJECTED))
        [response] = node.handle(
            1.2, attempt_finished("r", AttemptOutcome.REJECTED)
        )
        assert isinstance(response, LocalResponse)
        self.assertEqual(ExecutionStatus.NOT_RUN, response.refusal.ran)
        self.assertIsNotNone(response.refusal.retry_after_s)

    def test_one_that_may_have_run_is_not_called_not_run(self) -> None:
        node = serving_front()
        self.sent(node, "r", "/read/x")
        node.handle(1.1, attempt_finished("r", AttemptOutcome.BROKEN))
        [response] = node.handle(
            1.2, attempt_finished("r", AttemptOutcome.REJECTED)
        )
        assert isinstance(response, LocalResponse)
        self.assertEqual(ExecutionStatus.UNKNOWN, response.refusal.ran)

    def test_error_response_of_a_server_is_forwarded(self) -> None:
        node = serving_front()
        self.sent(node, "r", "/pay/x")
        [action] = node.handle(
            1.1,
            attempt_finished("r", AttemptOutcome.FAILED, has_response=True),
        )
        self.assertIsInstance(action, ForwardFailure)

    def test_stream_resumes_after_its_last_event(self) -> None:
        node = serving_front()
        self.sent(node, "r", "/draft/x")
        node.handle(1.1, ResponseStarted(request_id=RequestId("r")))
        [resent] = node.handle(
            1.2,
            attempt_finished(
                "r", AttemptOutcome.BROKEN, response_started=True, last_event=7
            ),
        )
        assert isinstance(resent, SendRequest)
        self.assertEqual(7, resent.resume_after)

    def test_server_that_had_it_gets_it_again(self) -> None:
        node = serving_front(server("e1"), server("e2"))
        first = self.sent(node, "r", "/draft/x")
        node.handle(1.1, ResponseStarted(request_id=RequestId("r")))
        for n, end in enumerate(
            (AttemptOutcome.SILENT, AttemptOutcome.NOT_SENT)
        ):
            actions = node.handle(
                1.2 + n / 10,
                attempt_finished(
                    "r", end, response_started=True, last_event=1
                ),
            )
        [again] = [a for a in actions if isinstance(a, SendRequest)]
        self.assertEqual(first.server, again.server)

    def test_stream_that_may_not_resume_is_aborted(self) -> None:
        node = serving_front()
        self.sent(node, "r", "/chat/x")
        [action] = node.handle(
            1.2,
            attempt_finished(
                "r", AttemptOutcome.BROKEN, response_started=True, last_event=7
            ),
        )
        self.assertIsInstance(action, AbortResponse)

    def test_nothing_is_resent_after_the_deadline(self) -> None:
        node = serving_front()
        self.sent(node, "r", "/read/x")
        [response] = node.handle(
            5.1, attempt_finished("r", AttemptOutcome.BROKEN)
        )
        self.assertIsInstance(response, LocalResponse)

    def test_exchange_of_a_disconnected_caller_is_dropped(self) -> None:
        node = serving_front()
        self.sent(node, "r", "/read/x")
        node.handle(1.1, CallerDisconnected(request_id=RequestId("r")))
        self.assertEqual(0, len(node.exchanges))
        self.assertEqual({}, node.load_balancer.loads.own_loads())
        self.assertEqual(
            [], node.handle(1.2, attempt_finished("r", AttemptOutcome.BROKEN))
        )


class LeavingServers(testtools.TestCase):
    def tick(self, node: FrontNode, now: float) -> list[object]:
        return list(node.handle(now, FrontTick(boot_now=now, unix_now=now)))

    def start_run(self) -> tuple[FrontNode, SendRequest]:
        node = serving_front()
        send = arrive(node, "r", "/chat/x")
        assert isinstance(send, SendRequest)
        node.handle(1.1, ResponseStarted(request_id=RequestId("r")))
        return node, send

    def announce_leaving(
        self, node: FrontNode, send: SendRequest
    ) -> list[object]:
        known = [b.server for b in node.load_balancer.registry.all_backends()]
        leaves_in_s = {str(send.server.server_id): 2.0}
        node.handle(1.2, make_listing(2, *known, **leaves_in_s))
        self.tick(node, 1.3)
        return [a for a in self.tick(node, 2.4) if isinstance(a, MigrateRun)]

    def test_no_new_work_for_a_leaving_server(self) -> None:
        node, send = self.start_run()
        self.announce_leaving(node, send)
        for n in range(10):
            other = arrive(node, f"n{n}", now=2.5)
            assert isinstance(other, SendRequest)
            self.assertNotEqual(send.server, other.server)

    def test_migrated_run_continues_from_the_copied_cache(self) -> None:
        node, send = self.start_run()
        [move] = self.announce_leaving(node, send)
        assert isinstance(move, MigrateRun)
        self.assertEqual(send.server, move.source)
        end = attempt_finished(
            "r", AttemptOutcome.BROKEN, response_started=True, last_event=4
        )
        self.assertEqual([], node.handle(2.5, end))
        state = MigratedCache(
            address="10.0.0.1:1", handle="h", target=move.target.server_id
        )
        [resent] = node.handle(
            2.6, RunMigrated(request_id=RequestId("r"), cache=state)
        )
        assert isinstance(resent, SendRequest)
        self.assertEqual(move.target, resent.server)
        self.assertEqual(state, resent.migrated_cache)
        self.assertEqual(4, resent.resume_after)

    def node_with_migrated_run(self, path: str) -> FrontNode:
        """Return a node one of whose runs was migrated to another server."""
        node = serving_front(*(server(f"e{n}") for n in range(1, 5)))
        send = arrive(node, "r", path)
        assert isinstance(send, SendRequest)
        node.handle(1.1, ResponseStarted(request_id=RequestId("r")))
        [move] = self.announce_leaving(node, send)
        assert isinstance(move, MigrateRun)
        node.handle(
            2.5,
            attempt_finished(
                "r", AttemptOutcome.BROKEN, response_started=True, last_event=4
            ),
        )
        state = MigratedCache(
            address="10.0.0.1:1", handle="h", target=move.target.server_id
        )
        node.handle(2.6, RunMigrated(request_id=RequestId("r"), cache=state))
        return node

    def test_copy_that_cannot_be_taken_up_is_no_new_run(self) -> None:
        """Guards against a second run of a non-idempotent request.

        The address of the migration's target belonged to another server
        by then, and the request was sent again without its KV cache.
        """
        for end in (
            AttemptOutcome.MISDIRECTED,
            AttemptOutcome.REJECTED,
            AttemptOutcome.NOT_SENT,
        ):
            node = self.node_with_migrated_run("/chat/x")
            event = attempt_finished(
                "r", end, response_started=True, last_event=4
            )
            [action] = node.handle(2.7, event)
            self.assertIsInstance(action, AbortResponse, end)

    def test_resumable_run_resumes_if_the_cache_is_lost(self) -> None:
        node = self.node_with_migrated_run("/draft/x")
        event = attempt_finished(
            "r",
            AttemptOutcome.MISDIRECTED,
            response_started=True,
            last_event=4,
        )
        [action] = node.handle(2.7, event)
        assert isinstance(action, SendRequest)
        self.assertIsNone(action.migrated_cache)
        self.assertEqual(4, action.resume_after)

    def test_run_whose_events_have_no_ids_stays(self) -> None:
        # It was stopped, and could not go on after its last event.
        node = serving_front()
        send = arrive(node, "r", "/chat/x")
        assert isinstance(send, SendRequest)
        started = ResponseStarted(
            request_id=RequestId("r"), has_event_ids=False
        )
        node.handle(1.1, started)
        self.assertEqual([], self.announce_leaving(node, send))

    def test_failed_migration_of_a_non_resumable_run_aborts(self) -> None:
        node, send = self.start_run()
        self.announce_leaving(node, send)
        node.handle(
            2.5,
            attempt_finished(
                "r", AttemptOutcome.BROKEN, response_started=True, last_event=4
            ),
        )
        [action] = node.handle(
            2.6, RunMigrated(request_id=RequestId("r"), cache=None)
        )
        self.assertIsInstance(action, AbortResponse)

    def test_run_of_a_dropped_service_is_moved(self) -> None:
        # The run ended with its server: no run of a service that was no
        # longer in the configuration was moved.
        node, send = self.start_run()
        cfg = config(version=2)
        services = tuple(s for s in cfg.services if s.service != POOL)
        node.handle(1.15, ConfigRead(cfg=replace(cfg, services=services)))
        [move] = self.announce_leaving(node, send)
        assert isinstance(move, MigrateRun)
        self.assertEqual(send.server, move.source)

    def test_run_that_needs_the_copy_waits_for_it(self) -> None:
        # The run was stopped, and its copy given up after a second, where
        # the route allowed no other attempt.
        cfg = config()
        routes = tuple(replace(r, max_attempts=1) for r in cfg.routes)
        node = front()
        node.handle(0.0, ConfigRead(cfg=replace(cfg, routes=routes)))
        node.handle(0.0, make_listing(1, server("e1"), server("e2")))
        send = arrive(node, "r", "/draft/x")
        assert isinstance(send, SendRequest)
        node.handle(1.1, ResponseStarted(request_id=RequestId("r")))
        [move] = self.announce_leaving(node, send)
        assert isinstance(move, MigrateRun)
        self.assertEqual(send.expires_at, move.deadline)

    # All streams of a server moved whose entry had lapsed for a moment.
    def test_run_stays_where_the_entry_is_back(self) -> None:
        node, send = self.start_run()
        known = [b.server for b in node.load_balancer.registry.all_backends()]
        others = [s for s in known if s != send.server]
        node.handle(1.2, make_listing(2, *others))
        node.handle(1.8, make_listing(3, *known))
        for now in (2.3, 3.0):
            moves = [
                a for a in self.tick(node, now) if isinstance(a, MigrateRun)
            ]
            self.assertEqual([], moves)

    # A stopped server stopped the run late, when its call was given up.
    def test_run_on_a_silent_server_is_moved_when_bytes_come(self) -> None:
        node, send = self.start_run()
        server_id = send.server.server_id
        node.handle(
            2.3,
            ServerSilent(request_id=RequestId("r"), server_id=server_id),
        )
        self.assertEqual([], self.announce_leaving(node, send))
        node.handle(3.0, ServerActivity(server_id=server_id))
        moves = [a for a in self.tick(node, 3.1) if isinstance(a, MigrateRun)]
        self.assertEqual([send.server], [move.source for move in moves])

    def test_server_unlisted_after_an_outage_is_the_last_choice(self) -> None:
        # A host whose calls the store refused for 10 s went on sending to
        # a server that had left in the meantime.
        node = serving_front()
        known = [b.server for b in node.load_balancer.registry.all_backends()]
        remaining = [s for s in known if s.server_id != ServerId("e1")]
        node.handle(1.0, make_listing(2, *remaining, after_outage=True))
        for n in range(10):
            send = arrive(node, f"r{n}", now=1.1)
            assert isinstance(send, SendRequest)
            self.assertEqual(ServerId("e2"), send.server.server_id)

    def test_empty_listing_after_an_outage_is_held_back(self) -> None:
        node = serving_front()
        node.handle(1.0, make_listing(2, after_outage=True))
        self.assertIsInstance(arrive(node, "r", now=1.1), SendRequest)
        self.tick(node, 4.0)
        self.assertIsInstance(arrive(node, "r2", now=4.0), LocalResponse)


class Life(testtools.TestCase):
    def test_ready_with_configuration_and_servers_until_the_stop(self) -> None:
        node = front()
        self.assertFalse(node.ready)
        node.handle(0.0, ConfigRead(cfg=config()))
        self.assertFalse(node.ready)
        node.handle(0.0, make_listing(1, server("p1", LEDGER)))
        self.assertTrue(node.ready)
        node.handle(1.0, StopBegan())
        self.assertFalse(node.ready)
        self.assertIsInstance(arrive(node, "r", "/pay/x"), SendRequest)

    def test_takes_nothing_that_it_may_not_finish_before_the_end(self) -> None:
        # A request that arrived 7.6 s after the stop signal was aborted
        # when the process ended.
        node = serving_front()
        node.handle(1.0, StopBegan())
        self.assertIsInstance(arrive(node, "r", now=3.5), SendRequest)
        response = arrive(node, "r2", now=3.7)
        assert isinstance(response, LocalResponse)
        self.assertEqual(ExecutionStatus.NOT_RUN, response.refusal.ran)
        self.assertIsNotNone(response.refusal.retry_after_s)


class SilenceInAResponse(testtools.TestCase):
    """Whether another server may continue a response of a lost server."""

    def can_leave(
        self, node: FrontNode, path: str = "/draft/x", now: float = 2.0
    ) -> bool:
        send = arrive(node, "r", path=path)
        node.handle(1.1, ResponseStarted(request_id=RequestId("r")))
        return may_leave_lost_server(node, send, now)

    def test_resumable_stream_may_go_on_elsewhere(self) -> None:
        self.assertTrue(self.can_leave(serving_front()))

    # A silent server's response was ended although nothing replaced it.
    def test_response_stays_where_nothing_can_replace_it(self) -> None:
        self.assertFalse(self.can_leave(serving_front(), "/chat/x"))
        self.assertFalse(self.can_leave(serving_front(server("e1"))))
        self.assertFalse(self.can_leave(serving_front(), now=5.0))
        without_budget = serving_front()
        while without_budget.resend_budget.try_resend(1.0, POOL):
            pass
        self.assertFalse(self.can_leave(without_budget))

    def test_stream_whose_events_have_no_ids_stays(self) -> None:
        node = serving_front()
        send = arrive(node, "r")
        started = ResponseStarted(
            request_id=RequestId("r"), has_event_ids=False
        )
        node.handle(1.1, started)
        self.assertFalse(may_leave_lost_server(node, send, 2.0))

    def test_last_attempt_stays(self) -> None:
        node = serving_front(server("e1"), server("e2"), server("e3"))
        self.assertTrue(self.can_leave(node))
        [again] = node.handle(
            2.0, attempt_finished("r", AttemptOutcome.SILENT)
        )
        self.assertFalse(may_leave_lost_server(node, again, 2.1))

    def test_silent_server_gets_no_new_requests(self) -> None:
        node = serving_front()
        sent = [
            arrive(node, f"r{n}", path="/chat/x").server.server_id
            for n in range(2)
        ]
        for n in range(2):
            event = ServerSilent(
                request_id=RequestId(f"r{n}"), server_id=sent[0]
            )
            self.assertEqual([], node.handle(2.0, event))
        for n in range(10):
            action = arrive(node, f"s{n}", path="/chat/x", now=2.1)
            self.assertNotEqual(sent[0], action.server.server_id)

    def test_server_that_goes_on_gets_requests_again(self) -> None:
        # One stream that was tried on it kept all others off a sound server
        # for as long as it lasted.
        node = serving_front(server("e1"))
        for n in range(2):
            arrive(node, f"r{n}", path="/chat/x")
            event = ServerSilent(
                request_id=RequestId(f"r{n}"), server_id=ServerId("e1")
            )
            node.handle(2.0, event)
        node.handle(2.3, ServerActivity(server_id=ServerId("e1")))
        arrive(node, "trial", path="/chat/x", now=3.5)
        node.handle(3.6, ResponseStarted(request_id=RequestId("trial")))
        node.handle(3.9, ServerActivity(server_id=ServerId("e1")))
        health = node.load_balancer.health
        self.assertFalse(health.is_avoided(4.0, ServerId("e1")))
