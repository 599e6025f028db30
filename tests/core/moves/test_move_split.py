"""Tests of the choice of a version."""

from dataclasses import replace

from testtools import TestCase

from tests.core.moves.test_move import mark, record
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


def share(of: MoveRecord, route: str = "/draft", at: float = 1000.0) -> float:
    hashes = (i * HASH_RANGE // STEPS for i in range(STEPS))
    chosen = [choose_version(of, (), h, route, at) for h in hashes]
    return sum(c.version == NEW for c in chosen) / STEPS


class ChooseVersionTest(TestCase):
    def test_stopped_version_is_never_chosen(self) -> None:
        for state in MoveState:
            of = replace(canary(), state=state, share=0.95)
            for i in range(STEPS):
                chosen = choose_version(
                    of, (mark(),), i * HASH_RANGE // STEPS, "/tag", 1085.0
                )
                self.assertEqual("v1", chosen.version)

    def test_mark_of_another_move_does_not_count(self) -> None:
        other = replace(mark(), move_id="m0")
        chosen = choose_version(canary(), (other,), 0, "/draft", 1000.0)
        self.assertEqual("v2", chosen.version)

    def test_shares(self) -> None:
        self.assertEqual(1 / 64, share(canary()))
        self.assertEqual(0.125, share(canary(), route="/tag"))
        self.assertEqual(0.25, share(canary(), at=1000 + BURST_PERIOD_S - 1))
        for state, expected in (
            (MoveState.STARTING, 0.0),
            (MoveState.SHIFTING, 0.5),
            (MoveState.HOLDING, 0.5),
            (MoveState.DONE, 1.0),
            (MoveState.TAKING_BACK, 0.0),
        ):
            of = replace(canary(), state=state, share=0.5)
            self.assertEqual(expected, share(of))

    def test_burst_loads_as_many_old_servers(self) -> None:
        at = 1000 + BURST_PERIOD_S - 1
        control = choose_version(
            canary(), (), HASH_RANGE * 3 // 10, "/tag", at
        )
        self.assertEqual((ServerId("old-0"),), control.servers)
        rest = choose_version(canary(), (), HASH_RANGE * 6 // 10, "/tag", at)
        self.assertEqual((), rest.servers)

    def test_share_since_the_start_stays_small(self) -> None:
        routes = {"/draft": 0.7, "/tag": 0.3}
        for full_load in (0.002, 0.03, 0.1, 0.28, 0.5, 1.0, 0.0):
            plan = PacedPolicy().canary(full_load, routes)
            of = replace(
                canary(),
                share=plan.share,
                route_shares=plan.route_shares,
                burst_share=plan.burst_share,
                burst_s=plan.burst_s,
            )
            total = 0.0
            for second in range(1, 200):
                at = 999.5 + second
                total += sum(
                    part * new_version_share(of, route, at)
                    for route, part in routes.items()
                )
                self.assertLessEqual(total / second, 0.05)
