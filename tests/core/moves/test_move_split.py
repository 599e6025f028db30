"""Tests of the split of requests between two versions."""

from dataclasses import replace

from testtools import TestCase

from tests.core.moves.test_move import record, stop_mark
from waxwingarch.core.base import ServerId, VersionId
from waxwingarch.core.moves.move_policy import PacedPolicy
from waxwingarch.core.moves.move_record import (
    MoveRecord,
    MoveState,
    RouteShare,
)
from waxwingarch.core.moves.move_split import (
    BURST_PERIOD_S,
    HASH_RANGE,
    choose_version,
    new_version_share,
)

NEW = VersionId("v2")
STEPS = 1024


def canary() -> MoveRecord:
    return record(
        MoveState.CANARY,
        canary_since_unix=1000.0,
        share=1 / 64,
        route_shares=(RouteShare(route="/tag", share=0.125),),
        burst_share=0.25,
        burst_s=10.0,
        canary_servers=(ServerId("new-0"),),
        control_servers=(ServerId("old-0"),),
    )


def measure_share(
    move: MoveRecord, route: str = "/draft", now: float = 1000.0
) -> float:
    hashes = (i * HASH_RANGE // STEPS for i in range(STEPS))
    choices = [choose_version(move, (), h, route, now) for h in hashes]
    return sum(c.version == NEW for c in choices) / STEPS


class ChooseVersionTest(TestCase):
    def test_stopped_version_is_never_chosen(self) -> None:
        for state in MoveState:
            move = replace(canary(), state=state, share=0.95)
            for i in range(STEPS):
                choice = choose_version(
                    move,
                    (stop_mark(),),
                    i * HASH_RANGE // STEPS,
                    "/tag",
                    1085.0,
                )
                self.assertEqual("v1", choice.version)

    def test_stop_mark_of_another_move_is_ignored(self) -> None:
        other = replace(stop_mark(), move_id="m0")
        choice = choose_version(canary(), (other,), 0, "/draft", 1000.0)
        self.assertEqual("v2", choice.version)

    def test_share_by_state_route_and_burst(self) -> None:
        self.assertEqual(1 / 64, measure_share(canary()))
        self.assertEqual(0.125, measure_share(canary(), route="/tag"))
        self.assertEqual(
            0.25, measure_share(canary(), now=1000 + BURST_PERIOD_S - 1)
        )
        for state, expected in (
            (MoveState.STARTING, 0.0),
            (MoveState.SHIFTING, 0.5),
            (MoveState.HOLDING, 0.5),
            (MoveState.DONE, 1.0),
            (MoveState.TAKING_BACK, 0.0),
        ):
            move = replace(canary(), state=state, share=0.5)
            self.assertEqual(expected, measure_share(move))

    def test_burst_loads_the_control_servers_alike(self) -> None:
        now = 1000 + BURST_PERIOD_S - 1
        control = choose_version(
            canary(), (), HASH_RANGE * 3 // 10, "/tag", now
        )
        self.assertEqual((ServerId("old-0"),), control.servers)
        rest = choose_version(canary(), (), HASH_RANGE * 6 // 10, "/tag", now)
        self.assertEqual((), rest.servers)

    def test_average_share_since_the_start_stays_below_5_percent(self) -> None:
        routes = {"/draft": 0.7, "/tag": 0.3}
        for full_load in (0.002, 0.03, 0.1, 0.28, 0.5, 1.0, 0.0):
            plan = PacedPolicy().canary(full_load, routes)
            move = replace(
                canary(),
                share=plan.share,
                route_shares=plan.route_shares,
                burst_share=plan.burst_share,
                burst_s=plan.burst_s,
            )
            total = 0.0
            for second in range(1, 200):
                now = 999.5 + second
                total += sum(
                    route_share * new_version_share(move, route, now)
                    for route, route_share in routes.items()
                )
                self.assertLessEqual(total / second, 0.05)
