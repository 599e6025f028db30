"""Tests of the reclaim plan."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from waxwingarch.core.base import RequestId, ServerId
from waxwingarch.core.servers.reclaim import (
    MARGIN_S,
    ReclaimMethod,
    ReclaimStep,
    StreamView,
    TargetView,
    plan,
    plan_recompute,
)

MB = 1024 * 1024


def stream(name: str, remaining: int, **changes: object) -> StreamView:
    values: dict[str, object] = {
        "request_id": RequestId(name),
        "server_id": ServerId("gone"),
        "prompt_tokens": 1000,
        "generated_tokens": 200,
        "remaining_tokens": remaining,
        "tokens_per_s": 50.0,
        "kv_bytes": 100 * MB,
        "whole_answer_at": 60.0,
    }
    return StreamView(**(values | changes))  # type: ignore[arg-type]


def target(name: str = "stays", slots: int = 4, **kw: object) -> TargetView:
    values: dict[str, object] = {
        "server_id": ServerId(name),
        "free_slots": slots,
        "transfer_bytes_per_s": 200.0 * MB,
    }
    return TargetView(**(values | kw))  # type: ignore[arg-type]


def methods(steps: list[ReclaimStep]) -> dict[str, ReclaimMethod]:
    return {step.request_id: step.method for step in steps}


class ReclaimPlanTest(testtools.TestCase):
    def test_stream_that_finishes_in_time_stays(self) -> None:
        steps = plan(0.0, 5.0, [stream("a", 100)], [target()])
        self.assertEqual({"a": ReclaimMethod.FINISH}, methods(steps))

    def test_nearest_deadlines_are_moved_and_the_rest_is_resumed(
        self,
    ) -> None:
        streams = [
            stream("late", 900, whole_answer_at=90.0),
            stream("soon", 900, whole_answer_at=40.0),
            stream("last", 900, whole_answer_at=95.0),
        ]
        steps = plan(0.0, 2.0, streams, [target()])
        self.assertEqual(
            ["soon", "late", "last"], [s.request_id for s in steps]
        )
        self.assertEqual(
            [
                ReclaimMethod.MOVE_KV,
                ReclaimMethod.MOVE_KV,
                ReclaimMethod.RESUME,
            ],
            [s.method for s in steps],
        )
        self.assertEqual([0, 0, 1200], [s.recomputed_tokens for s in steps])

    def test_stream_resumes_where_its_prompt_is_cached(self) -> None:
        cached = ((RequestId("a"), 900),)
        targets = [target("x"), target("y", cached_tokens=cached)]
        (step,) = plan(0.0, 1.0, [stream("a", 900)], targets)
        self.assertEqual(ServerId("y"), step.target)
        self.assertEqual(300, step.recomputed_tokens)

    def test_stream_resumes_if_a_move_would_be_late(self) -> None:
        large = stream("a", 900, kv_bytes=1000 * MB, whole_answer_at=19.0)
        (step,) = plan(0.0, 30.0, [large], [target()])
        self.assertEqual(ReclaimMethod.FINISH, step.method)
        (step,) = plan(0.0, 12.0, [large], [target()])
        self.assertEqual(ReclaimMethod.RESUME, step.method)

    def test_stream_that_may_not_be_repeated_stays(self) -> None:
        plain = stream("a", 900, movable=False, resumable=False)
        for make_plan in (plan, plan_recompute):
            (step,) = make_plan(0.0, 1.0, [plain], [target()])
            self.assertEqual(ReclaimMethod.FINISH, step.method)

    def test_stream_waits_for_a_target_with_a_slot(self) -> None:
        (step,) = plan(0.0, 1.0, [stream("a", 900)], [target(slots=0)])
        self.assertEqual(
            (ReclaimMethod.RESUME, None), (step.method, step.target)
        )

    def test_baseline_recomputes_all_tokens(self) -> None:
        streams = [stream("a", 10), stream("b", 900)]
        steps = plan_recompute(0.0, 5.0, streams, [target()])
        self.assertEqual(2400, sum(s.recomputed_tokens for s in steps))

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(
        st.lists(
            st.tuples(
                st.integers(1, 2000),
                st.integers(1, 400),
                st.booleans(),
                st.booleans(),
                st.sampled_from(["x", "y"]),
            ),
            max_size=12,
        ),
        st.integers(0, 3),
        st.floats(0.6, 30.0),
    )
    def test_each_stream_is_planned_once_without_overlapping_transfers(
        self,
        shapes: list[tuple[int, int, bool, bool, str]],
        slots: int,
        notice_s: float,
    ) -> None:
        streams = [
            stream(
                f"r{n}",
                remaining,
                kv_bytes=size * MB,
                movable=movable,
                resumable=resumable,
                server_id=ServerId(source),
            )
            for n, (remaining, size, movable, resumable, source) in enumerate(
                shapes
            )
        ]
        targets = [target("s", slots), target("t", slots)]
        steps = plan(0.0, notice_s, streams, targets)
        self.assertEqual(
            sorted(s.request_id for s in streams),
            sorted(s.request_id for s in steps),
        )
        sources = {s.request_id: s.server_id for s in streams}
        moves = [s for s in steps if s.method is ReclaimMethod.MOVE_KV]
        for step in moves:
            self.assertLessEqual(step.done_by, notice_s - MARGIN_S)
        for ends in (
            [(sources[m.request_id], m) for m in moves],
            [(m.target, m) for m in moves],
        ):
            until: dict[object, float] = {}
            for end, move in ends:
                self.assertGreaterEqual(move.start_at, until.get(end, 0.0))
                until[end] = move.done_by
        for name in ("s", "t"):
            used = sum(s.target == ServerId(name) for s in steps)
            self.assertLessEqual(used, slots)
