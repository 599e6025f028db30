"""Tests of the servers that are ordered from the measured demand.

The pool has the figures of a deployment: four failure domains of up to 18
servers with 12 slots each, a boot time of 4 s, and a usual load of a fifth
of all slots and a tenth of the time for prompts.
"""

from collections.abc import Callable
from dataclasses import replace
from functools import cache
from math import ceil
from random import Random
from typing import Final

import testtools

from tests.core.front.builders import (
    DOMAINS,
    POOL,
    config,
    front,
    make_listing,
    scaling,
    server,
)
from tests.core.front.test_duties import StoredLease
from waxwingarch.adapters.front_metrics import FrontMetrics
from waxwingarch.core.backends.latency import LatencyTracker
from waxwingarch.core.backends.load import LoadTracker, ServerLoad
from waxwingarch.core.backends.registry import Backend
from waxwingarch.core.base import FailureDomain, HostId
from waxwingarch.core.duties.autoscaler import (
    HEADROOM_FACTOR,
    LISTING_DELAY_S,
    Autoscaler,
    OrderKey,
    OrderServers,
    ServersOrdered,
)
from waxwingarch.core.duties.coordinator import DUTY_SCALING
from waxwingarch.core.duties.demand import DemandTracker, FleetView
from waxwingarch.core.duties.demand_sample import (
    MAX_READ_SHARE,
    measure_demand,
)
from waxwingarch.core.duties.leader_election import ReadDutyRow, WriteDutyRow
from waxwingarch.core.front_messages import ConfigRead, FrontTick
from waxwingarch.core.peers.report import HostsListed

SLOTS: Final = 12
MAXIMUM: Final = 18
PRICES: Final = dict(zip(DOMAINS, (0.85, 0.95, 1.05, 1.2), strict=True))
BOUNDS: Final = replace(
    scaling(MAXIMUM), reclaimable_price=0.18, domain_prices=PRICES
)
LARGEST: Final = MAXIMUM * len(DOMAINS)
USUAL_RUNNING: Final = LARGEST * SLOTS / 5
# The tokens of prompts that are unread at a tenth of the reading capacity.
USUAL_UNREAD: Final = LARGEST * 133
SERVICE: Final = replace(config().services[0], scaling=BOUNDS)
HEARD: Final = FleetView(known_hosts=69, heard_ratio=1.0)
SETTLED_S: Final = 300.0


def reclaimable_in(domain: FailureDomain) -> OrderKey:
    return OrderKey(service=POOL, domain=domain, reclaimable=True)


@cache
def engine(key: OrderKey, n: int) -> Backend:
    name = f"{key.domain}-{key.reclaimable}-{n}"
    started = server(
        name, domain=key.domain, reclaimable=key.reclaimable, slots=SLOTS
    )
    return Backend(server=started, listed_at=0.0)


class Pool:
    """The servers of the pool; more of them start a boot time after an order.

    `load_ratio` is the demand relative to the usual one, to which noise is
    added. `broken_load` is reported of the first server. Orders in
    `refusing` are refused.
    """

    def __init__(self, per_domain: int = MAXIMUM) -> None:
        self.now = 0.0
        self.fleet = HEARD
        self.refusing: set[FailureDomain] = set()
        self.load_ratio: Callable[[float], float] = lambda now: 1.0
        self.broken_load: ServerLoad | None = None
        self.orders: list[OrderServers] = []
        self.least_room = float("inf")
        self._rng = Random(7)
        self._boots: dict[OrderKey, tuple[float, int]] = {}
        self._counts = {reclaimable_in(d): per_domain for d in DOMAINS}
        self.take_over()

    def take_over(self) -> None:
        """Let a host without any state do the duty."""
        self._loads = LoadTracker()
        self.tracker = DemandTracker(self._loads, LatencyTracker())
        self.autoscaler = Autoscaler()

    def count(self, domain: FailureDomain) -> int:
        return sum(n for k, n in self._counts.items() if k.domain == domain)

    @property
    def total(self) -> int:
        return sum(self._counts.values())

    @property
    def price(self) -> float:
        return sum(n * PRICES[key.domain] for key, n in self._counts.items())

    @property
    def without_a_domain(self) -> int:
        """The servers that remain when the largest domain is lost."""
        return self.total - max(self.count(domain) for domain in DOMAINS)

    def lose(self, domain: FailureDomain) -> None:
        self._counts[reclaimable_in(domain)] = 0

    def backends(self) -> list[Backend]:
        return [
            engine(key, n)
            for key, number in self._counts.items()
            for n in range(number)
        ]

    def run(self, until: float) -> None:
        while self.now < until:
            self.now = round(self.now + 0.5, 1)
            for key, (at, desired) in list(self._boots.items()):
                if self.now >= at:
                    del self._boots[key]
                    self._counts[key] = max(self._counts[key], desired)
            self._step(self.backends(), self.load_ratio(self.now))

    def _step(self, backends: list[Backend], load_ratio: float) -> None:
        room = len(backends) * SLOTS - USUAL_RUNNING * load_ratio
        self.least_room = min(self.least_room, room)
        ratio = load_ratio * self._rng.uniform(0.92, 1.08) / len(backends)
        loads = {
            b.server.server_id: ServerLoad(
                running=int(USUAL_RUNNING * ratio + self._rng.random()),
                prefill_tokens=int(USUAL_UNREAD * ratio),
            )
            for b in backends
        }
        if self.broken_load is not None:
            loads[backends[0].server.server_id] = self.broken_load
        self._loads.record_peer_loads(HostId("peers"), loads)
        self.tracker.tick(self.now, [SERVICE], backends, self.fleet)
        for order in self.autoscaler.tick(
            self.now, 1, [SERVICE], backends, self.tracker.needs
        ):
            assert isinstance(order, OrderServers)
            self._carry_out(order)

    def _carry_out(self, order: OrderServers) -> None:
        self.orders.append(order)
        key, desired = order.key, order.desired
        refused = key.reclaimable and key.domain in self.refusing
        reply = ServersOrdered(
            key=key, desired=desired, accepted=not refused, refused=refused
        )
        self.autoscaler.handle_order_reply(self.now, reply)
        if not refused:
            self._counts[key] = min(self._counts.get(key, 0), desired)
            listed_at = self.now + BOUNDS.boot_s + LISTING_DELAY_S
            self._boots[key] = (listed_at, desired)


class OrdersFromDemand(testtools.TestCase):
    def settled_pool(self) -> Pool:
        pool = Pool()
        pool.run(SETTLED_S)
        pool.orders.clear()
        return pool

    # Guards against orders that cost as much as the constant, and against
    # ones that save the servers which a burst needs.
    def test_usual_load_costs_less_and_leaves_room_for_a_burst(self) -> None:
        pool = Pool()
        full_price = pool.price
        pool.run(SETTLED_S)
        self.assertLess(pool.price, 0.85 * full_price)
        self.assertGreaterEqual(
            pool.without_a_domain * SLOTS, 2.5 * USUAL_RUNNING
        )
        needed = pool.tracker.needs[POOL]
        self.assertEqual(ceil(needed * HEADROOM_FACTOR), pool.without_a_domain)
        self.assertEqual([], [o for o in pool.orders if not o.key.reclaimable])

    # Guards against a fall by many servers at once on one low sample.
    def test_servers_are_stopped_a_few_at_a_time_after_settling(self) -> None:
        pool = Pool()
        pool.run(44.0)
        self.assertEqual([], pool.orders)
        while pool.now < SETTLED_S:
            before = pool.total
            pool.run(pool.now + 0.5)
            self.assertLessEqual(before - pool.total, 4)

    # Guards against servers that are ordered for a burst which ends before
    # they have started, or which the running ones can serve.
    def test_burst_orders_nothing(self) -> None:
        for ratio, length_s in ((2.5, 20.0), (4.5, 3.5)):
            pool = self.settled_pool()
            end = pool.now + length_s
            pool.load_ratio = lambda now, e=end, r=ratio: r if now < e else 1.0
            pool.run(end + 20.0)
            self.assertEqual([], pool.orders)

    # Guards against orders that wait for the usual demand to follow.
    def test_more_than_a_burst_is_ordered_after_a_boot_time(self) -> None:
        pool = self.settled_pool()
        begin = pool.now
        pool.load_ratio = lambda now: 3.5
        pool.run(begin + BOUNDS.boot_s + 1.0)
        self.assertGreater(sum(order.desired for order in pool.orders), 60)

    # Guards against full servers, where a domain is reclaimed in a burst.
    def test_burst_while_a_domain_is_reclaimed(self) -> None:
        pool = self.settled_pool()
        pool.least_room = float("inf")
        end = pool.now + 20.0
        pool.load_ratio = lambda now: 2.5 if now < end else 1.0
        before = pool.count(DOMAINS[0])
        pool.refusing.add(DOMAINS[0])
        pool.lose(DOMAINS[0])
        pool.run(end)
        self.assertGreaterEqual(pool.least_room, 0)
        pool.refusing.clear()
        pool.run(end + 20.0)
        self.assertGreaterEqual(pool.count(DOMAINS[0]), before)

    # Guards against a need that follows the usual demand too late.
    def test_slow_growth(self) -> None:
        pool = self.settled_pool()
        begin = pool.now
        pool.load_ratio = lambda now: 1 + 0.005 * (now - begin)
        while pool.load_ratio(pool.now) < 1.4:
            pool.run(pool.now + 0.5)
            running = USUAL_RUNNING * pool.load_ratio(pool.now)
            room = pool.without_a_domain * SLOTS
            self.assertGreater(room, 2.0 * running)
        pool.run(begin + 250.0)
        self.assertEqual(LARGEST, pool.total)

    # Guards against servers that are started or stopped because the new
    # holder of the duty has not seen the demand yet.
    def test_new_holder_begins_with_the_running_servers(self) -> None:
        pool = self.settled_pool()
        pool.take_over()
        end = pool.now + 3.0
        pool.load_ratio = lambda now: 4.0 if now < end else 1.0
        pool.run(end + 40.0)
        self.assertEqual([], pool.orders)

    # Guards against a new holder that takes a lost domain for a small need.
    def test_new_holder_orders_a_lost_domain_again(self) -> None:
        pool = self.settled_pool()
        before = pool.count(DOMAINS[0])
        pool.lose(DOMAINS[0])
        pool.take_over()
        pool.run(pool.now + 10.0)
        self.assertGreaterEqual(pool.count(DOMAINS[0]), before - 1)

    # Guards against orders for a part of the demand, where the requests of
    # other hosts are missing from the loads, or a load is not true.
    def test_need_is_not_lowered_on_incomplete_loads(self) -> None:
        for heard_ratio, load, ignored in (
            (0.45, None, False),
            (1.0, ServerLoad(running=-1), True),
            (1.0, ServerLoad(prefill_tokens=-1), True),
            (1.0, ServerLoad(running=SLOTS * 69 + 1), True),
        ):
            pool = Pool()
            pool.run(45.0)
            pool.fleet = replace(HEARD, heard_ratio=heard_ratio)
            pool.broken_load = load
            pool.load_ratio = lambda now: 0.45
            pool.orders.clear()
            pool.run(SETTLED_S)
            self.assertEqual([], pool.orders)
            self.assertEqual(ignored, pool.tracker.ignored_loads > 0)

    # Guards against a first holder that takes the few servers that a new
    # deployment has for the number that an earlier holder ordered.
    def test_new_deployment_starts_with_the_largest_need(self) -> None:
        pool = Pool(per_domain=2)
        pool.fleet = replace(HEARD, is_new=True)
        pool.run(10.0)
        self.assertEqual([MAXIMUM] * 4, [pool.count(d) for d in DOMAINS])

    # Guards against figures that operators don't see.
    def test_operators_see_demand_and_need(self) -> None:
        pool = Pool()
        pool.run(1.0)
        text = FrontMetrics(demand=pool.tracker).text().decode()
        for kind, servers in pool.tracker.state()[POOL].items():
            labels = f'{{kind="{kind}",service="{POOL}"}}'
            self.assertIn(f"demand_servers{labels} {servers}", text)
        self.assertEqual(LARGEST / 2, pool.tracker.state()[POOL]["needed"])


class MeasuredDemand(testtools.TestCase):
    # Guards against prompts that only the fast servers can read in time.
    def test_work_of_a_fast_server_takes_more_servers_of_the_mean(
        self,
    ) -> None:
        backends = Pool(per_domain=1).backends()
        latency = LatencyTracker()
        fast, *slow = (b.server.server_id for b in backends)
        for server_id in slow:
            for _ in range(100):
                latency.record_latency(0.0, server_id, 0.1, 0.2)
        shares = []
        for busy in (fast, slow[0]):
            loads = LoadTracker()
            load = ServerLoad(running=1, prefill_tokens=1200)
            loads.record_peer_loads(HostId("peer"), {busy: load})
            demand = measure_demand(0.0, backends, loads, latency, 69)
            shares.append(demand.read_servers)
        # Half of the fast server's time, and two thirds of a slow one's at
        # half the speed, where the mean speed is 0.625.
        self.assertAlmostEqual(0.5 / 0.625, shares[0], places=3)
        self.assertAlmostEqual(2 / 3 * 0.5 / 0.625, shares[1], places=3)

    # Guards against orders of many servers for the prompts of one that hangs.
    def test_prompts_of_a_server_that_hangs_count_for_a_few(self) -> None:
        backends = Pool(per_domain=1).backends()
        load = ServerLoad(running=1, prefill_tokens=2_000_000)
        loads = LoadTracker()
        loads.record_peer_loads(
            HostId("peer"), {backends[0].server.server_id: load}
        )
        demand = measure_demand(0.0, backends, loads, LatencyTracker(), 69)
        self.assertEqual(MAX_READ_SHARE, demand.read_servers)


class SizeOfTheFleet(testtools.TestCase):
    def orders(self, hosts: int) -> list[int]:
        """Return the orders of the holder for a pool of 4 idle servers."""
        node = front(first_start=False, duties=frozenset({DUTY_SCALING}))
        node.handle(0.0, ConfigRead(cfg=config()))
        engines = [
            server(f"e{d}", domain=d, reclaimable=True) for d in DOMAINS
        ]
        node.handle(0.0, make_listing(1, *engines))
        addresses = {HostId(f"p{n}"): f"p{n}:1" for n in range(hosts - 1)}
        node.handle(0.0, HostsListed(addresses=addresses))
        lease = StoredLease()
        ordered = []
        for n in range(100):
            now = n / 10
            due = list(node.handle(now, FrontTick(boot_now=now, unix_now=now)))
            while due:
                match due.pop():
                    case ReadDutyRow():
                        due += node.handle(now, lease.read(now))
                    case WriteDutyRow() as write:
                        due += node.handle(now, lease.write(now, write))
                    case OrderServers() as order:
                        ordered.append(order.desired)
        return ordered

    # Guards against other orders than before in a small fleet.
    def test_small_fleet_orders_without_the_demand(self) -> None:
        self.assertEqual([3] * 4, self.orders(12)[:4])
        self.assertEqual([], self.orders(13))
