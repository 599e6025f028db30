"""Tests of the own interface beside an engine that falls silent."""

from unittest.mock import Mock

import testtools

from tests.core.front.builders import POOL, server
from waxwingarch.core.base import AccountId, Action, RequestId, ServerKind
from waxwingarch.core.request import (
    ChunkArrived,
    DropAttempt,
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


def started_manager() -> tuple[RequestManager, list[Action]]:
    """Return a manager without retries, whose request is on an engine."""
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
    return manager, actions


class SilentEngines(testtools.TestCase):
    def test_held_stream_is_kept_without_a_retry_to_resume_it(self) -> None:
        # A sound engine's stream was cancelled after 1.5 s of silence, and
        # the request then waited for a retry until its deadline.
        manager, [start] = started_manager()
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
