"""Tests of the move driver, the move record and the operators' actions."""

import json
from dataclasses import replace
from typing import Any

from returns.result import Failure, Success
from testtools import TestCase

from waxwingarch.core.base import HostId, ServerId, ServiceId, VersionId
from waxwingarch.core.cluster.items import StopMark
from waxwingarch.core.moves.move import (
    MoveDriver,
    MoveView,
    StartServers,
    StopServers,
    make_stop_mark,
    may_close,
    plan_move,
)
from waxwingarch.core.moves.move_counts import Signal
from waxwingarch.core.moves.move_judge import Decision, Verdict
from waxwingarch.core.moves.move_policy import HELD_SHARE, PacedPolicy
from waxwingarch.core.moves.move_record import (
    MoveRecord,
    MoveState,
    OutcomeKind,
    WriteMove,
    from_json,
    start_move,
    take_back,
    to_json,
)

SERVICE = ServiceId("waxwing-pool")
SERVERS = tuple(ServerId(f"new-{i}") for i in range(6))
OLD_SERVERS = tuple(ServerId(f"old-{i}") for i in range(6))
START = 1000.0
DEADLINE = 1600.0


def record(state: MoveState = MoveState.PLANNED, **changes: Any) -> MoveRecord:
    default = plan_move(
        PacedPolicy(),
        move_id="m1",
        service=SERVICE,
        old_version=VersionId("v1"),
        new_version=VersionId("v2"),
        created_unix=START,
        deadline_unix=DEADLINE,
    )
    return replace(default, state=state, **changes)


def verdict(
    decision: Decision = Decision.SUFFICIENT, score: float = 0.1
) -> Verdict:
    return Verdict(
        decision=decision,
        score=score,
        route="/draft",
        band="high",
        signal=Signal.FAILURE,
        requests=100,
        new_rate=0.3,
        old_rate=0.01,
        missing="" if decision is Decision.SUFFICIENT else "route /draft",
    )


def view(move: MoveRecord, at: float, **changes: Any) -> MoveView:
    default = MoveView(
        unix_now=at,
        record=move,
        record_version=7,
        fencing=3,
        stop_marks=(),
        verdict=verdict(),
        new_servers=SERVERS,
        old_servers=OLD_SERVERS,
        starting_new=0,
        start_s=30.0,
        needed=6,
        full_load_share=0.28,
        route_shares={"/draft": 0.9, "/tag": 0.1},
        new_running=0,
        open_hosts=(),
    )
    return replace(default, **changes)


def stop_mark() -> StopMark:
    return StopMark(
        service=SERVICE,
        version=VersionId("v2"),
        move_id="m1",
        reason="failure on route /draft",
    )


class MoveCase(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.driver = MoveDriver(PacedPolicy())

    def record_after_tick(self, move_view: MoveView) -> MoveRecord:
        write = self.driver.tick(move_view)[0]
        assert isinstance(write, WriteMove)
        self.assertEqual(7, write.expected_version)
        self.assertEqual(3, write.record.fencing)
        return write.record


class GoodMoveTest(MoveCase):
    def test_move_passes_all_states_and_ends_in_time(self) -> None:
        current, states, shares = record(), [], []
        at = START
        while not current.ended and at < DEADLINE:
            actions = self.driver.tick(view(current, at))
            for action in actions:
                if isinstance(action, WriteMove):
                    current = action.record
            if not states or states[-1] is not current.state:
                states.append(current.state)
            shares.append(current.share)
            at += 1.0
        self.assertEqual(
            ["starting", "canary", "shifting", "holding", "done"], states
        )
        self.assertLessEqual(
            max(s for s in shares[: int(current.shift_from_unix - START)]),
            0.05,
        )
        self.assertEqual(shares, sorted(shares))
        assert current.outcome
        self.assertEqual(OutcomeKind.DONE, current.outcome.kind)
        self.assertIn("in time", current.explain())
        self.assertEqual(
            [StopServers(servers=OLD_SERVERS, fencing=3)],
            self.driver.tick(view(current, at)),
        )

    def test_share_waits_for_servers_and_until_suspicion_is_cleared(
        self,
    ) -> None:
        current = record(MoveState.SHIFTING, share=0.04)
        late = current.hold_from_unix
        limited = self.record_after_tick(
            view(current, late, new_servers=SERVERS[:3])
        )
        self.assertEqual(0.5, limited.share)
        actions = self.driver.tick(
            view(current, late, verdict=verdict(score=0.6))
        )
        self.assertEqual([], actions)
        self.assertEqual(
            HELD_SHARE, self.record_after_tick(view(current, late)).share
        )

    def test_canary_replaces_servers_that_no_longer_exist(self) -> None:
        current = record(
            MoveState.CANARY,
            canary_servers=(ServerId("gone"),),
            control_servers=OLD_SERVERS[:1],
        )
        written = self.record_after_tick(view(current, START + 50))
        self.assertEqual(SERVERS[:1], written.canary_servers)
        self.assertEqual(OLD_SERVERS[:1], written.control_servers)

    def test_orders_are_counted_before_they_are_given(self) -> None:
        current = record(MoveState.STARTING)
        move_view = view(current, START, new_servers=())
        write, start = self.driver.tick(move_view)
        assert isinstance(write, WriteMove)
        self.assertEqual(1, write.record.orders)
        assert isinstance(start, StartServers)
        self.assertEqual(("m1-0",), start.order_ids)
        again = self.driver.tick(view(write.record, START + 1, new_servers=()))
        self.assertEqual([], again)
        refused = self.driver.tick(
            view(write.record, START + 20, new_servers=())
        )
        assert isinstance(refused[1], StartServers)
        self.assertEqual(("m1-1",), refused[1].order_ids)


class BadMoveTest(MoveCase):
    def test_stop_mark_takes_the_move_back_from_every_active_state(
        self,
    ) -> None:
        for state in MoveState:
            current = record(state, share=0.4)
            if not current.active:
                continue
            written = self.record_after_tick(
                view(current, START, stop_marks=(stop_mark(),))
            )
            self.assertEqual(MoveState.TAKING_BACK, written.state)
            self.assertEqual(0.0, written.share)
            self.assertIn("failure on route /draft", written.explain())

    def test_taken_back_once_drained(self) -> None:
        current = record(MoveState.TAKING_BACK)
        self.assertEqual(
            [], self.driver.tick(view(current, START, new_running=2))
        )
        written = self.record_after_tick(view(current, START))
        self.assertEqual(MoveState.TAKEN_BACK, written.state)
        self.assertEqual(
            [StopServers(servers=SERVERS, fencing=3)],
            self.driver.tick(view(written, START)),
        )

    def test_stop_verdict_on_an_active_move_gives_a_stop_mark(self) -> None:
        current = record(MoveState.CANARY)
        found = make_stop_mark(current, verdict(Decision.STOP, 1.2))
        assert found
        self.assertEqual("m1", found.move_id)
        self.assertIsNone(make_stop_mark(current, verdict()))
        self.assertIsNone(make_stop_mark(current, None))
        ended = record(MoveState.DONE)
        self.assertIsNone(make_stop_mark(ended, verdict(Decision.STOP, 1.2)))

    def test_hold_does_not_end_while_a_host_is_open(self) -> None:
        current = record(MoveState.HOLDING, share=HELD_SHARE)
        held = current.hold_until_unix
        self.assertTrue(may_close(current, held))
        self.assertFalse(may_close(current, held - 1))
        host = (HostId("h9"),)
        self.assertEqual(
            [], self.driver.tick(view(current, held, open_hosts=host))
        )
        written = self.record_after_tick(
            view(current, DEADLINE + 1, open_hosts=host)
        )
        self.assertEqual(MoveState.TAKING_BACK, written.state)
        self.assertIn("h9", written.explain())


class OutOfTimeTest(MoveCase):
    def explanation_after_tick(self, move_view: MoveView) -> str:
        made = self.record_after_tick(move_view)
        assert made.outcome
        self.assertEqual(OutcomeKind.OUT_OF_TIME, made.outcome.kind)
        return made.explain()

    def test_evidence_did_not_suffice(self) -> None:
        current = record(MoveState.CANARY)
        collecting = verdict(Decision.COLLECTING)
        due = current.shift_from_unix
        move_view = view(current, due, verdict=collecting)
        self.assertEqual([], [*self.driver.tick(move_view)][1:])
        move_view = view(current, current.hold_from_unix, verdict=collecting)
        self.assertIn(
            "did not suffice", self.explanation_after_tick(move_view)
        )

    def test_servers_did_not_start(self) -> None:
        current = record(MoveState.STARTING)
        move_view = view(current, current.hold_from_unix, new_servers=())
        self.assertIn("did not start", self.explanation_after_tick(move_view))

    def test_too_few_servers_for_the_share(self) -> None:
        current = record(MoveState.SHIFTING, share=0.3)
        move_view = view(current, DEADLINE, new_servers=SERVERS[:2])
        self.assertIn("2 of 6", self.explanation_after_tick(move_view))

    def test_explanation_names_the_delay_of_a_late_end(self) -> None:
        current = record(MoveState.HOLDING, share=HELD_SHARE)
        written = self.record_after_tick(view(current, DEADLINE + 60))
        self.assertEqual(MoveState.DONE, written.state)
        self.assertIn("60 s after its deadline", written.explain())


class OperatorActionsTest(TestCase):
    def test_second_move_of_a_service_conflicts(self) -> None:
        other = replace(record(), move_id="m2")
        running = record(MoveState.CANARY)
        result = start_move(other, running, 7)
        assert isinstance(result, Failure)
        self.assertIn("take-back m1", result.failure().message)

    def test_move_starts_when_none_is_under_way(self) -> None:
        for current in (None, replace(record(MoveState.DONE), move_id="m0")):
            result = start_move(record(), current, 7)
            expected = WriteMove(record=record(), expected_version=7)
            self.assertEqual(Success(expected), result)

    def test_start_repeated_keeps_the_move(self) -> None:
        running = record(MoveState.CANARY)
        result = start_move(record(), running, 7)
        self.assertEqual(running, result.unwrap().record)

    def test_take_back(self) -> None:
        result = take_back(record(MoveState.SHIFTING), 7, START, "by an")
        ended = result.unwrap().record
        self.assertEqual(MoveState.TAKING_BACK, ended.state)
        self.assertIn("by an", ended.explain())
        refused = take_back(record(MoveState.DONE), 7, START, "by an")
        self.assertIsInstance(refused, Failure)


class JsonTest(TestCase):
    def test_round_trip(self) -> None:
        driver = MoveDriver(PacedPolicy())
        current = record(MoveState.STARTING)
        write = driver.tick(view(current, START))[0]
        assert isinstance(write, WriteMove)
        self.assertEqual(MoveState.CANARY, write.record.state)
        ended = take_back(write.record, 1, START, "x").unwrap().record
        for made in (write.record, ended):
            text = json.dumps(to_json(made))
            self.assertEqual(made, from_json(json.loads(text)))

    def test_malformed_rows_are_refused(self) -> None:
        self.assertRaises(ValueError, from_json, {"state": "odd"})
        self.assertRaises(ValueError, from_json, {"state": "done"})
