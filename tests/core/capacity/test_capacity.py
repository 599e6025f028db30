"""Tests of the capacity planner."""

from dataclasses import replace

from testtools import TestCase

from waxwingarch.core.base import (
    Action,
    FailureDomain,
    ServerId,
    ServiceId,
    VersionId,
)
from waxwingarch.core.capacity.capacity import (
    MIN_LIFETIME_S,
    ORDER_TIMEOUT_S,
    REPLACE_DELAY_S,
    SURPLUS_DELAY_S,
    CapacityPlanner,
    Demand,
    FleetServer,
    FleetState,
    MixedPolicy,
    OnDemandPolicy,
    StartServer,
    StopServer,
)
from waxwingarch.core.capacity.capacity_mix import Offer


def demand(units: float) -> Demand:
    return Demand(
        service=ServiceId("waxwing-pool"),
        version=VersionId("v1"),
        units=units,
        capacity={"one": 1.0},
    )


def offer(domain: str, price: float, reclaimable: bool = True) -> Offer:
    return Offer(
        machine_class="one",
        failure_domain=FailureDomain(domain),
        reclaimable=reclaimable,
        price=price,
        available=6,
    )


def server(name: str, domain: str, price: float = 1.0) -> FleetServer:
    return FleetServer(
        server_id=ServerId(name),
        machine_class="one",
        failure_domain=FailureDomain(domain),
        reclaimable=price < 3.0,
        price=price,
        state=FleetState.LIVE,
        first_seen_at=0.0,
    )


OFFERS = [offer(d, 1.0) for d in "abcd"] + [offer("a", 3.0, False)]


def starts(actions: list[Action]) -> list[StartServer]:
    return [a for a in actions if isinstance(a, StartServer)]


class StartTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.planner = CapacityPlanner(MixedPolicy())

    def test_starts_are_spread_over_domains_and_fenced(self) -> None:
        started = starts(self.planner.plan(0, demand(5.5), OFFERS, [], 7))
        self.assertEqual(8, len(started))
        by_domain = [s.failure_domain for s in started]
        self.assertEqual(
            [2, 2, 2, 2], [by_domain.count(FailureDomain(d)) for d in "abcd"]
        )
        self.assertEqual({7}, {s.fencing for s in started})
        self.assertEqual(8, len({s.order_id for s in started}))

    def test_pending_orders_are_not_repeated(self) -> None:
        first = starts(self.planner.plan(0, demand(5.5), OFFERS, [], 7))
        self.assertEqual([], self.planner.plan(1, demand(5.5), OFFERS, [], 7))
        later = 1 + ORDER_TIMEOUT_S
        again = starts(self.planner.plan(later, demand(5.5), OFFERS, [], 7))
        self.assertEqual(8, len(again))
        ids = {s.order_id for s in first + again}
        self.assertEqual(16, len(ids))

    def test_refused_start_is_replaced_by_another_offer(self) -> None:
        first = starts(self.planner.plan(0, demand(5.5), OFFERS, [], 7))
        for start in first:
            if start.failure_domain == "a":
                self.planner.record_refusal(0, start.order_id)
        more = starts(self.planner.plan(1, demand(5.5), OFFERS, [], 7))
        self.assertNotEqual([], more)
        for start in more:
            is_reclaimable_in_a = (
                start.failure_domain == "a" and start.reclaimable
            )
            self.assertFalse(is_reclaimable_in_a)

    def test_leaving_hosts_are_replaced_immediately(self) -> None:
        fleet = [server(f"{d}{i}", d) for d in "abcd" for i in range(2)]
        with_leaving = [
            replace(s, state=FleetState.LEAVING)
            if s.failure_domain == "a"
            else s
            for s in fleet
        ]
        self.assertEqual(
            [], self.planner.plan(0, demand(5.5), OFFERS, fleet, 7)
        )
        started = starts(
            self.planner.plan(1, demand(5.5), OFFERS, with_leaving, 7)
        )
        self.assertNotEqual([], started)

    def test_baseline_starts_on_demand_only(self) -> None:
        planner = CapacityPlanner(OnDemandPolicy())
        started = starts(planner.plan(0, demand(5.5), OFFERS, [], 7))
        self.assertEqual({False}, {s.reclaimable for s in started})
        self.assertEqual(6, len(started))


class FlappingTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.planner = CapacityPlanner(MixedPolicy())

    def test_lasting_surplus_is_stopped_one_by_one(self) -> None:
        fleet = [server(f"{d}{i}", d) for d in "abcd" for i in range(3)]
        at = MIN_LIFETIME_S
        plan = self.planner.plan
        self.assertEqual([], plan(at, demand(5.5), OFFERS, fleet, 7))
        at += SURPLUS_DELAY_S - 1
        self.assertEqual([], plan(at, demand(5.5), OFFERS, fleet, 7))
        actions = plan(at + 1, demand(5.5), OFFERS, fleet, 7)
        self.assertEqual(1, len(actions))
        self.assertIsInstance(actions[0], StopServer)

    def test_interrupted_surplus_stops_nothing(self) -> None:
        fleet = [server(f"{d}{i}", d) for d in "abcd" for i in range(3)]
        plan = self.planner.plan
        plan(MIN_LIFETIME_S, demand(5.5), OFFERS, fleet, 7)
        plan(MIN_LIFETIME_S + 300, demand(8.0), OFFERS, fleet, 7)
        at = MIN_LIFETIME_S + SURPLUS_DELAY_S
        self.assertEqual([], plan(at, demand(5.5), OFFERS, fleet, 7))

    def test_young_hosts_are_kept(self) -> None:
        fleet = [server(f"{d}{i}", d) for d in "abcd" for i in range(3)]
        for at in range(0, int(MIN_LIFETIME_S), 60):
            self.assertEqual(
                [], self.planner.plan(at, demand(5.5), OFFERS, fleet, 7)
            )

    def test_small_saving_changes_nothing(self) -> None:
        fleet = [server(f"{d}{i}", d, 1.1) for d in "abcd" for i in range(2)]
        for at in (0, REPLACE_DELAY_S, 2 * REPLACE_DELAY_S):
            self.assertEqual(
                [], self.planner.plan(at, demand(5.5), OFFERS, fleet, 7)
            )

    def test_lasting_saving_replaces_one_host_at_a_time(self) -> None:
        fleet = [server(f"o{i}", "a", 3.0) for i in range(6)]
        plan = self.planner.plan
        self.assertEqual([], plan(0, demand(5.5), OFFERS, fleet, 7))
        started = plan(REPLACE_DELAY_S, demand(5.5), OFFERS, fleet, 7)
        self.assertEqual(1, len(starts(started)))
        self.assertEqual(
            [], plan(REPLACE_DELAY_S, demand(5.5), OFFERS, fleet, 7)
        )


class ReclaimTest(TestCase):
    def test_domain_under_reclaim_gets_no_reclaimable_hosts(self) -> None:
        for leaving_count in (1, 2):
            planner = CapacityPlanner(MixedPolicy())
            fleet = [server(f"{d}{i}", d) for d in "abcd" for i in range(2)]
            leaving = [
                replace(s, state=FleetState.LEAVING)
                for s in fleet[:leaving_count]
            ]
            seen = leaving + fleet[leaving_count:]
            plan = planner.plan(0, demand(7.0), OFFERS, seen, 7)
            domains = {s.failure_domain for s in starts(plan) if s.reclaimable}
            self.assertEqual(leaving_count == 1, "a" in domains)
