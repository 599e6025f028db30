"""Tests of servers that are cold after a start."""

from dataclasses import replace
from typing import Any

import testtools

from tests.core.front.builders import (
    DOMAINS,
    LEDGER,
    arrive,
    config,
    front,
    make_listing,
    server,
)
from tests.core.front.simulated_fleet import (
    SimulatedFleet,
    SimulatedServer,
    fullest_window,
)
from waxwingarch.core.backends.cold_reading import NO_READING, ColdReading
from waxwingarch.core.backends.cold_servers import (
    ROW_DELAY_S,
    ColdBounds,
    ColdSource,
    ColdStateSeen,
    ColdValueIgnored,
    ServerColdChanged,
)
from waxwingarch.core.backends.evacuations import EvacuationsRead
from waxwingarch.core.backends.registry import BackendRegistry, BackendsListed
from waxwingarch.core.backends.server_limits import (
    OWNER_CHANGE_WAIT_S,
    ServerLimits,
    ServerLimitSeen,
)
from waxwingarch.core.base import (
    Action,
    FailureDomain,
    HostId,
    Server,
    ServerId,
)
from waxwingarch.core.exchange.exchange_messages import SendRequest
from waxwingarch.core.front_messages import ConfigRead, FrontTick
from waxwingarch.core.front_node import FrontNode
from waxwingarch.core.peers.rank import HostRanks
from waxwingarch.core.peers.report import HostsListed
from waxwingarch.core.routing.config import RoutingConfig
from waxwingarch.platform.exchange_codec import PlatformExchangeCodec
from waxwingarch.platform.rows_codec import PlatformRowCodec

COLD_PER_S = 7.9
COLD_START_S = 3.0
BOUNDS = ColdBounds(overshoot=1.5, slack=5)
ALLOWED = 16.85
WARM = ColdReading(remaining_s=0.0)
P1 = ServerId("p1")


def cold_config(cold_start_s: float = COLD_START_S) -> RoutingConfig:
    """Return a configuration whose plain servers are cold after a start."""
    cfg = config(version=2)
    engines, plain = cfg.services
    plain = replace(plain, cold_start_s=cold_start_s, cold_per_s=COLD_PER_S)
    return replace(cfg, services=(engines, plain))


def cold_listing(
    version: int, *servers: Server, **cold_s: float | None
) -> BackendsListed:
    """Return a listing; `cold_s` is what the rows say, None for nothing."""
    listing = make_listing(version, *servers)
    return replace(
        listing,
        backends=tuple(
            replace(
                backend,
                cold=ColdReading(
                    remaining_s=cold_s.get(backend.server.server_id)
                ),
            )
            for backend in listing.backends
        ),
    )


def plain(name: str, **changes: Any) -> Server:
    return server(name, LEDGER, **changes)


class ColdFleet(SimulatedFleet):
    """A fleet in which servers may start cold."""

    def _node(self, n: int) -> FrontNode:
        node = super()._node(n)
        node.handle(0.0, ConfigRead(cfg=cold_config(), rows_version=2))
        return node

    def start_cold(self, count: int, row_delay_s: float) -> list[str]:
        """Start servers whose rows reach each host within a delay."""
        names = [f"cold{n}" for n in range(count)]
        for n, name in enumerate(names):
            self._servers.append(plain(name, domain=DOMAINS[n % 4]))
            self.simulated[name] = SimulatedServer()
        self._listing_version += 1
        listing = cold_listing(
            self._listing_version,
            *self._servers,
            **dict.fromkeys(names, COLD_START_S),
        )
        for n in range(self.hosts):
            at = self.now + self._rng.uniform(0, row_delay_s)
            self._later(at, lambda n=n: self._post(n, listing))
        return names


class BurstOnColdServers(testtools.TestCase):
    # Guards against hosts that send to idle cold servers what they would
    # send to warm ones, and against callers that are refused because of it.
    # Load: 2.5 times the usual 340 requests a second at 73 hosts, on 15 warm
    # servers that could take twice as much, and 30 that start together.
    def test_bound_holds_when_an_owner_is_lost(self) -> None:
        fleet = ColdFleet(hosts=73, servers=15, rate_per_s=850, seed=1)
        fleet.run(1.2)
        names = fleet.start_cold(30, row_delay_s=1.0)
        began_at = fleet.now
        fleet.run(began_at + 1.5)
        limits = [node.load_balancer.limits for node in fleet.nodes]
        first = ServerId(names[0])
        owners = [n for n, own in enumerate(limits) if own.share_of(first)]
        fleet.down = set(owners[:1])
        fleet.run(began_at + COLD_START_S)
        fullest = [
            fullest_window([at for at, _ in fleet.arrivals[name]], 1.0)
            for name in names
        ]
        self.assertLessEqual(max(fullest), ALLOWED)
        self.assertGreater(sum(map(len, map(fleet.arrivals.get, names))), 30)
        self.assertEqual([], fleet.refused)


class ChangesOfOwners(testtools.TestCase):
    # Guards against former and new owners that send a full rate each: the
    # new ones learn of the change first.
    def test_new_owners_begin_after_the_former_have_stopped(self) -> None:
        former = frozenset(HostId(f"a{n}") for n in range(20))
        later = frozenset(HostId(f"b{n}") for n in range(20))
        sent_at: list[float] = []
        registry = BackendRegistry(departed_kept_s=20.0)
        registry.apply_listing(0.0, make_listing(1, plain("p1")))
        for n, host in enumerate(sorted(former | later, reverse=True)):
            ranks = HostRanks(host)
            limits = ServerLimits(ranks, registry)
            ranks.set_hosts(former, 1.0, 1.0)
            limits.tick(0.0)
            limits.set_cold(0.0, P1, COLD_PER_S)
            changed_at = 10.0 + 0.7 * n / 40
            for step in range(1500):
                now = step / 100
                if now >= changed_at:
                    ranks.set_hosts(later, 1.0, 1.0)
                if step % 10 == 0:
                    limits.tick(now)
                if limits.wait_s(now, P1) <= 0:
                    limits.take(now, P1)
                    sent_at.append(now)
        self.assertLessEqual(fullest_window(sorted(sent_at), 1.0), 9)
        used = sum(at > 10.7 + OWNER_CHANGE_WAIT_S for at in sent_at)
        self.assertGreater(used, 4)

    def test_usable_rate_leaves_room_for_two_sets_of_owners(self) -> None:
        self.assertEqual(COLD_PER_S, BOUNDS.usable_per_s(COLD_PER_S))
        tight = ColdBounds(overshoot=1.0, slack=0)
        self.assertEqual(3, tight.usable_per_s(COLD_PER_S))


class ColdHost:
    """One host on simulated time, with a configuration for cold servers."""

    def __init__(self, hosts: int = 1, **start: float) -> None:
        self.node: FrontNode = front(cold=BOUNDS, evacuation_s=5.0)
        self.version = 0
        self.count = 0
        cfg = cold_config(**start)
        self.node.handle(0.0, ConfigRead(cfg=cfg, rows_version=2))
        addresses = {HostId(f"h{n}"): str(n) for n in range(1, hosts + 1)}
        if hosts:
            self.node.handle(0.0, HostsListed(addresses=addresses))
        self.node.handle(0.0, FrontTick(boot_now=0.0, unix_now=0.0))

    def read(
        self, now: float, *servers: Server, **cold_s: float | None
    ) -> list[Action]:
        """Read the rows of these servers."""
        self.version += 1
        listing = cold_listing(self.version, *servers, **cold_s)
        return self.tick(now) + self.node.handle(now, listing)

    def tick(self, now: float) -> list[Action]:
        return self.node.handle(now, FrontTick(boot_now=now, unix_now=now))

    def evacuate(
        self, now: float, version: int, rows: dict[FailureDomain, int]
    ) -> None:
        """Read the operator's rows of evacuations."""
        event = EvacuationsRead(version=version, rows=rows, removed={})
        self.node.handle(now, event)

    def cold(self, now: float, name: str = "p1") -> ColdSource | None:
        """Return by what a server is considered cold, if it is."""
        self.tick(now)
        state = self.node.load_balancer.cold.state_of(ServerId(name))
        return None if state is None else state.source

    def sends(self, now: float, count: int) -> list[ServerId | None]:
        """Return the servers of requests over the next second."""
        servers: list[ServerId | None] = []
        for n in range(count):
            self.count += 1
            action = arrive(
                self.node, f"r{self.count}", "/read/x", now + n / count
            )
            sent = isinstance(action, SendRequest)
            servers.append(action.server.server_id if sent else None)
        return servers

    def hear(self, now: float, reading: ColdReading, sent_at: float) -> None:
        seen = ColdStateSeen(
            server=plain("p1"), reading=reading, sent_at=sent_at
        )
        self.node.handle(now, seen)


class HostsWithoutPeers(testtools.TestCase):
    def test_unknown_fleet(self) -> None:
        """A host that has just started may be one of many."""
        host = ColdHost(hosts=0)
        host.read(0.1, plain("p1"), plain("p2"), p1=60.0)
        self.assertEqual({ServerId("p2")}, set(host.sends(10.0, 60)))

    def test_share_is_by_the_hosts_listed_in_the_store(self) -> None:
        host = ColdHost(hosts=69)
        host.read(0.1, plain("p1"), plain("p2"), p1=600.0)
        limits = host.node.load_balancer.limits
        # Silent peers are forgotten after a minute.
        for now in (1.0, 90.0, 90.1):
            host.tick(now)
            share = limits.share_of(P1)
            self.assertAlmostEqual(COLD_PER_S / 69, share, 6)

    def test_callers_wait_for_the_rate_where_no_server_is_warm(self) -> None:
        host = ColdHost()
        host.read(0.1, plain("p1"), p1=60.0)
        host.tick(5.0)
        sent = host.sends(5.0, 60)
        self.assertGreater(sent.count(P1), 6)
        self.assertLessEqual(sent.count(P1), ALLOWED)
        refused = arrive(host.node, "last", "/read/x", 6.0)
        self.assertIsNotNone(refused.refusal.retry_after_s)


class RunningServers(testtools.TestCase):
    # Guards against a server that turns cold again and gets its usual load:
    # 60 requests in a second, on two servers.
    def test_turns_cold_again(self) -> None:
        host = ColdHost()
        host.read(0.1, plain("p1"), plain("p2"), p1=0.0)
        host.tick(5.0)
        self.assertGreater(host.sends(5.0, 60).count(P1), 20)
        [change] = [
            a
            for a in host.read(6.0, plain("p1"), plain("p2"), p1=2.5)
            if isinstance(a, ServerColdChanged)
        ]
        self.assertEqual((P1, 2.5), (change.server_id, change.remaining_s))
        sent = host.sends(6.5, 60)
        self.assertLessEqual(sent.count(P1), ALLOWED)
        self.assertNotIn(None, sent)
        self.assertIsNone(host.cold(8.6))

    def test_the_lower_limit_applies(self) -> None:
        host = ColdHost()
        host.read(0.1, plain("p1"), p1=60.0)
        limits = host.node.load_balancer.limits
        # A response without a limit ends the one that was named only.
        for now, named, share in (
            (3.0, 2.0, 2.0),
            (4.0, 20.0, COLD_PER_S),
            (5.0, None, COLD_PER_S),
        ):
            seen = ServerLimitSeen(
                server=plain("p1"), per_s=named, sent_at=now
            )
            host.node.handle(now, seen)
            self.assertAlmostEqual(share, limits.share_of(P1), 6)

    def test_row_that_is_older_than_a_response(self) -> None:
        host = ColdHost()
        host.read(0.1, plain("p1"), p1=0.0)
        host.hear(5.0, ColdReading(remaining_s=9.0), 4.9)
        host.read(6.0, replace(plain("p1"), slots=9), p1=0.0)
        self.assertIs(ColdSource.RESPONSE, host.cold(6.0))
        host.hear(6.1, WARM, 4.9)
        self.assertIs(ColdSource.RESPONSE, host.cold(6.1))
        host.hear(6.2, WARM, 6.15)
        self.assertIsNone(host.cold(6.2))


class ServersThatAppear(testtools.TestCase):
    def test_what_is_listed_at_the_start_is_not_assumed_cold(self) -> None:
        host = ColdHost()
        host.read(0.1, plain("p1"))
        self.assertIsNone(host.cold(0.2))

    def test_new_restarted_and_returned_servers(self) -> None:
        for name, servers in (
            ("new", [plain("p2")]),
            ("restarted", [plain("p1", incarnation=2)]),
            ("returned", [plain("p1")]),
        ):
            for says, want in ((None, ColdSource.APPEARED), (0.0, None)):
                host = ColdHost()
                host.read(0.1, plain("p1"))
                if name == "returned":
                    host.read(5.0)
                shown = servers[0].server_id
                host.read(6.0, *servers, **{shown: says})
                self.assertIs(want, host.cold(6.1, shown), name)
                self.assertIsNone(host.cold(6.0 + COLD_START_S, shown), name)


class EndsOfEvacuations(testtools.TestCase):
    # Guards against a surge onto servers that became cold just before the
    # end of an evacuation, as their rows say so later.
    def test_servers_of_the_domain_are_assumed_cold(self) -> None:
        host = ColdHost(cold_start_s=20.0)
        servers = [plain("p1"), plain("p2", domain=DOMAINS[1])]
        host.read(0.1, *servers, p1=0.0, p2=0.0)
        cold = host.node.load_balancer.cold
        cold.record_evacuation_end(5.0, DOMAINS[0])
        self.assertIs(ColdSource.EVACUATION, host.cold(5.1))
        self.assertIsNone(host.cold(5.1, "p2"))
        # These rows may have been written before the end.
        host.read(5.5, replace(plain("p1"), slots=9), p1=0.0)
        self.assertIs(ColdSource.EVACUATION, host.cold(5.5))
        host.read(5.1 + ROW_DELAY_S, plain("p1"), p1=0.0)
        self.assertIsNone(host.cold(5.2 + ROW_DELAY_S))

    # Guards against the full load on servers whose rows don't say yet that
    # they are cold.
    def test_removed_row_makes_them_cold(self) -> None:
        host = ColdHost()
        host.read(0.1, plain("p1"), p1=0.0)
        host.evacuate(1.0, 1, {DOMAINS[0]: 1})
        self.assertIsNone(host.cold(1.1))
        host.evacuate(2.0, 2, {})
        self.assertIs(ColdSource.EVACUATION, host.cold(2.1))


class BadValues(testtools.TestCase):
    ROW = (
        '{"service": "ledger", "address": "10.0.0.1:80", "zone": "z0",'
        ' "state": "ready", "born": 1%s}'
    )

    def test_rows_stay_valid(self) -> None:
        field = ', "cold_remaining_ms": '
        for text, want in (
            ("", None),
            (field + "1500", 1.5),
            (field + "0", 0.0),
            (field + "3600001", None),
            (field + "-1", None),
            (field + "NaN", None),
            (field + "1e999", None),
            (field + "1" * 5000, None),
            (field + '"1500"', None),
            (field + "true", None),
            (field + "[1]", None),
            (field + "1500" + field + "1500", None),
        ):
            row = (self.ROW % text).encode()
            cold = PlatformRowCodec().decode_backend("p1", row).cold
            self.assertEqual(want, cold.remaining_s, text[:40])
            is_ignored = bool(text) and want is None
            self.assertEqual(is_ignored, cold.ignored is not None, text[:40])

    def test_headers(self) -> None:
        for values, want in (
            ((), NO_READING),
            (("1500",), ColdReading(remaining_s=1.5)),
            (("1", "1"), ColdReading(ignored="occurs more than once")),
            (("-1",), ColdReading(ignored="-1.0")),
            (("nan",), ColdReading(ignored="nan")),
            (("1_0",), ColdReading(ignored="1_0")),
            (("soon",), ColdReading(ignored="soon")),
        ):
            headers = [
                ("X-Waxwingarch-Cold-Remaining-Ms", value) for value in values
            ]
            head = PlatformExchangeCodec().decode_response_head(200, headers)
            self.assertEqual(want, head.cold, values)

    def test_is_told_once_and_counts_as_not_cold(self) -> None:
        host = ColdHost()
        host.read(0.1, plain("p1"), p1=9.0)
        told = []
        for version, slots in ((10, 7), (11, 6)):
            listing = cold_listing(version, replace(plain("p1"), slots=slots))
            [backend] = listing.backends
            bad = replace(backend, cold=ColdReading(ignored="soon"))
            event = replace(listing, backends=(bad,))
            told += [
                a.is_first
                for a in host.node.handle(1.0, event)
                if isinstance(a, ColdValueIgnored)
            ]
        self.assertEqual([True, False], told)
        self.assertIsNone(host.cold(1.0))
