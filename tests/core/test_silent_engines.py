"""Tests of the own interface beside engines that are silent or gone."""

from unittest.mock import Mock

import testtools

from tests.core.front.builders import POOL, server
from waxwingarch.core.base import AccountId, Action, RequestId, ServerKind
from waxwingarch.core.limits.retry_budget import RetryBudget
from waxwingarch.core.request import (
    AttemptLost,
    ChunkArrived,
    DropAttempt,
    LossKind,
    Request,
    StartAttempt,
)
from waxwingarch.core.requests.request_manager import RequestManager

REQUEST = Request(
    request_id=RequestId("r"),
    account=AccountId("a"),
    service=POOL,
    kind=ServerKind.ENGINE,
    route="chat",
    method="POST",
    path="/v1/chat/completions",
    body_digest="",
    arrived_at=0.0,
    deadline=20.0,
    first_token_s=0.5,
    between_tokens_s=0.02,
    priority=1,
)


def started_manager() -> tuple[RequestManager, list[Action], Mock]:
    """Return a manager without retries, its actions and its selector.

    Its request is on an engine.
    """
    admission, servers, selector = Mock(), Mock(), Mock()
    admission.offer.return_value.request_id = REQUEST.request_id
    admission.expire.return_value = []
    admission.start_waiting.return_value = []
    servers.departure.return_value = None
    selector.choose.return_value = server("e1")
    guard = Mock()
    guard.refuse_arrival.return_value = None
    guard.refusal_on_dispatch.return_value = None
    manager = RequestManager(
        Mock(),
        admission,
        servers,
        selector,
        Mock(),
        Mock(),
        Mock(),
        guard,
    )
    actions = manager.handle_arrival(0.0, REQUEST)
    while manager._retry_budget.try_retry():
        pass
    return manager, actions, selector


class SilentEngines(testtools.TestCase):
    def test_held_stream_is_kept_without_a_retry_to_resume_it(self) -> None:
        # A sound engine's stream was cancelled after 1.5 s of silence, and
        # the request then waited for a retry until its deadline.
        manager, [start], _ = started_manager()
        assert isinstance(start, StartAttempt)
        chunk = ChunkArrived(
            request_id=REQUEST.request_id,
            attempt_id=start.attempt_id,
            offset=0,
            tokens=("a",),
        )
        manager.handle_attempt_event(0.1, chunk)
        for tenths in range(2, 20):
            cancelled = [
                action
                for action in manager.tick(tenths / 10)
                if isinstance(action, DropAttempt) and action.cancel
            ]
            self.assertEqual([], cancelled, tenths)


class GoneEngines(testtools.TestCase):
    # Guards against a request that waits until its deadline beside sound
    # engines, as the retries were spent on engines that were gone (LOST).
    def test_attempt_that_reached_no_engine_costs_no_retry(self) -> None:
        manager, actions, selector = started_manager()
        for n in range(2, 6):
            [start] = actions
            assert isinstance(start, StartAttempt)
            lost = AttemptLost(
                request_id=REQUEST.request_id,
                attempt_id=start.attempt_id,
                kind=LossKind.NOT_SENT,
            )
            selector.choose.return_value = server(f"e{n}")
            actions = [
                action
                for action in manager.handle_attempt_event(0.1, lost)
                if not isinstance(action, DropAttempt)
            ]

    def test_wait_for_an_engine_costs_no_retry(self) -> None:
        manager, [start], selector = started_manager()
        assert isinstance(start, StartAttempt)
        manager._retry_budget = RetryBudget(burst=1.0)
        selector.choose.return_value = None
        lost = AttemptLost(
            request_id=REQUEST.request_id,
            attempt_id=start.attempt_id,
            kind=LossKind.FAILED,
        )
        manager.handle_attempt_event(0.1, lost)
        for tenths in range(2, 20):
            self.assertEqual([], manager.tick(tenths / 10), tenths)
        selector.choose.return_value = server("e2")
        [start] = manager.tick(2.0)
        self.assertIsInstance(start, StartAttempt)
