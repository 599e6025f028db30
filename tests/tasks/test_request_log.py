"""Tests of the log of recent requests and their steps."""

from dataclasses import replace
from typing import Any

import testtools

from waxwingarch.core.base import (
    AccountId,
    Action,
    AttemptId,
    Event,
    ExecutionStatus,
    RequestId,
    ServerId,
    ServerKind,
    ServiceId,
)
from waxwingarch.core.cluster.messages import Tick
from waxwingarch.core.events import CallerGone, RequestArrived
from waxwingarch.core.once.claim import StoredAnswer
from waxwingarch.core.refusal import Refusal, RefusalReason
from waxwingarch.core.request import (
    AttemptLost,
    AttemptMode,
    Complete,
    Deliver,
    DropAttempt,
    LossKind,
    Refuse,
    Request,
    StartAttempt,
)
from waxwingarch.core.requests.guarded import OnceAnswer, OnceDispatch
from waxwingarch.tasks.request_log import (
    MAX_STEPS_PER_ENTRY,
    RequestEntry,
    RequestLog,
)

TICK = Tick(unix_now=0.0)


def request(name: str = "r-1", *, once: bool = False) -> Request:
    return Request(
        request_id=RequestId(name),
        account=AccountId("charity-1"),
        service=ServiceId("waxwing-pool"),
        kind=ServerKind.ENGINE,
        route="/v1/",
        method="POST",
        path="/v1/completions",
        body_digest="",
        arrived_at=10.0,
        deadline=40.0,
        first_token_s=1.0,
        between_tokens_s=0.1,
        priority=1,
        non_idempotent=once,
    )


def start(n: int, server: str, offset: int = 0) -> StartAttempt:
    return StartAttempt(
        request_id=RequestId("r-1"),
        attempt_id=AttemptId(f"r-1.{n}"),
        server_id=ServerId(server),
        address="127.0.0.1:1",
        stream_id=f"r-1-{n}",
        mode=AttemptMode.RESUME if offset else AttemptMode.FRESH,
        offset=offset,
    )


def deliver(server: str, offset: int, *tokens: str) -> Deliver:
    return Deliver(
        request_id=RequestId("r-1"),
        server_id=ServerId(server),
        stream_id="s",
        offset=offset,
        tokens=tokens,
        digest="",
    )


def lost(n: int) -> AttemptLost:
    return AttemptLost(
        request_id=RequestId("r-1"),
        attempt_id=AttemptId(f"r-1.{n}"),
        kind=LossKind.CUT,
    )


def complete(name: str = "r-1") -> Complete:
    return Complete(
        request_id=RequestId(name),
        attempt_id=AttemptId(f"{name}.1"),
        total=3,
        digest="",
    )


class RequestLogTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.log = RequestLog(max_finished=2)
        self.finished: list[RequestEntry] = []
        self.log.add_finished_listener(self.finished.append)

    def step(self, now: float, event: Event, *actions: Action) -> None:
        self.log.observe(now, event, list(actions))

    def entry_json(self, name: str = "r-1") -> dict[str, Any]:
        entry = self.log.get(name)
        assert entry is not None
        return entry.as_json()

    def test_stream_resumed_on_another_server(self) -> None:
        arrived = RequestArrived(request=request())
        self.step(10.0, arrived, start(0, "a"))
        self.step(10.5, TICK, deliver("a", 0, "x", "y"))
        self.assertEqual("in progress", self.entry_json()["outcome"])
        drop = DropAttempt(
            attempt_id=AttemptId("r-1.0"),
            address="127.0.0.1:1",
            stream_id="s",
            cancel=True,
        )
        self.step(11.0, lost(0), drop, start(1, "b", offset=2))
        self.step(12.0, TICK, deliver("b", 2, "z"), complete())
        entry = self.entry_json()
        self.assertEqual("whole answer", entry["outcome"])
        counts = [entry[k] for k in ("attempts", "losses", "resumes")]
        self.assertEqual([2, 1, 1], counts)
        self.assertEqual((0.5, 2.0, 3), (
            entry["first_token_s"], entry["whole_s"], entry["tokens"]
        ))  # fmt: skip
        steps = [(s["what"], s["server_id"]) for s in entry["steps"]]
        self.assertEqual(
            [
                ("fresh attempt", "a"),
                ("first token", "a"),
                ("attempt lost: cut", "a"),
                ("attempt given up", "a"),
                ("resume attempt from token 2", "b"),
                ("whole answer", "b"),
            ],
            steps,
        )

    def test_loss_of_an_unknown_attempt_is_ignored(self) -> None:
        self.step(10.0, RequestArrived(request=request()), start(0, "a"))
        self.step(10.1, lost(7))
        self.assertEqual(0, self.entry_json()["losses"])

    def test_refused_request(self) -> None:
        refusal = Refusal(
            reason=RefusalReason.RATE_LIMIT,
            ran=ExecutionStatus.NOT_RUN,
            message="send it later",
            retry_after_s=2.0,
        )
        refuse = Refuse(request_id=RequestId("r-1"), refusal=refusal)
        self.step(10.0, RequestArrived(request=request()), refuse)
        entry = self.entry_json()
        self.assertEqual("refused: rate limit", entry["outcome"])
        self.assertEqual("not run", entry["refusal"]["ran"])

    def test_disconnect_ends_a_stream_but_not_a_claim(self) -> None:
        disconnect = CallerGone(request_id=RequestId("r-1"))
        self.step(10.0, RequestArrived(request=request()))
        self.step(10.1, disconnect)
        self.assertEqual("caller gone", self.entry_json()["outcome"])
        once = RequestArrived(request=request("r-2", once=True))
        dispatch = OnceDispatch(
            request_id=RequestId("r-2"),
            server_id=ServerId("ledger"),
            address="127.0.0.1:1",
            operation_id="o",
            dispatch_deadline=12.0,
            answer_deadline=12.0,
        )
        self.step(10.0, once, dispatch)
        self.step(10.1, CallerGone(request_id=RequestId("r-2")))
        self.assertEqual("in progress", self.entry_json("r-2")["outcome"])
        answer = OnceAnswer(
            request_id=RequestId("r-2"),
            answer=StoredAnswer(status=200, content_type="text/plain"),
            replayed=True,
        )
        self.step(10.2, TICK, answer)
        steps = [s["what"] for s in self.entry_json("r-2")["steps"]]
        self.assertIn("answered from the claim row, not run again", steps)
        self.assertEqual("whole answer", steps[-1])

    def test_prompt_is_not_kept(self) -> None:
        long_request = replace(request(), prompt_blocks=tuple(range(1000)))
        self.step(10.0, RequestArrived(request=long_request), start(0, "a"))
        self.step(11.0, TICK, complete())
        entry = self.log.get("r-1")
        assert entry is not None
        self.assertEqual(
            ((), {}), (entry.request.prompt_blocks, entry.servers)
        )

    def test_requests_and_steps_are_bounded(self) -> None:
        for name in ("r-1", "r-2", "r-3"):
            arrived = RequestArrived(request=request(name))
            self.step(10.0, arrived, complete(name))
        self.assertIsNone(self.log.get("r-1"))
        newest = [e.request.request_id for e in self.log.last(5)]
        self.assertEqual(["r-3", "r-2"], newest)
        self.assertEqual([], self.log.last(0))
        self.assertEqual(3, len(self.finished))
        self.step(10.0, RequestArrived(request=request()))
        for n in range(MAX_STEPS_PER_ENTRY + 5):
            self.step(11.0, TICK, start(n, "a"))
        entry = self.entry_json()
        self.assertEqual(MAX_STEPS_PER_ENTRY, len(entry["steps"]))
        self.assertEqual(5, entry["steps_left_out"])
