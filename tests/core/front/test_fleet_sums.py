"""Tests of the sums of load and usage that collectors make."""

from dataclasses import replace
from typing import Any

import testtools

from waxwingarch.adapters.report_codec import BadReportError
from waxwingarch.adapters.sums_codec import decode_sums, encode_sums
from waxwingarch.core.backends.load import LoadTracker, ServerLoad
from waxwingarch.core.backends.peer_evidence import PeerEvidence
from waxwingarch.core.base import AccountId, FailureDomain, HostId, ServerId
from waxwingarch.core.peers.domain_sum import (
    COLLECT_SETTLE_S,
    MEMBER_VALID_S,
    DomainCollector,
)
from waxwingarch.core.peers.fleet_sums import (
    DIGEST_SILENCE_S,
    DIGEST_VALID_S,
    FleetSums,
    ranked_collectors,
)
from waxwingarch.core.peers.sum_messages import (
    DomainPart,
    DomainSum,
    FleetDigest,
    MemberReport,
    TableVersions,
)

ZONE, OTHER_ZONE = FailureDomain("z0"), FailureDomain("z1")
ACCOUNT = AccountId("a")
SERVER = ServerId("s1")


def tables(listing_version: int = 1, address: str = "h:1") -> TableVersions:
    return TableVersions(
        config_version=1,
        listing_version=listing_version,
        config_number=1,
        confirmed_age_s=0.5,
        address=address,
    )


def member(host: str, running: int = 1, **changes: Any) -> MemberReport:
    values: dict[str, Any] = {
        "host": HostId(host),
        "incarnation": 1,
        "sequence": 1,
        "domain": ZONE,
        "tables": tables(address=host),
        "loads": {SERVER: ServerLoad(running=running, kv_tokens=10)},
        "admitted": {ACCOUNT: 100.0},
    }
    return MemberReport(**(values | changes))


def domain_sum(collector: str, sequence: int = 1, **changes: Any) -> DomainSum:
    values: dict[str, Any] = {
        "domain": OTHER_ZONE,
        "collector": HostId(collector),
        "incarnation": 1,
        "sequence": sequence,
        "age_s": 0.1,
        "hosts": (HostId("b1"), HostId("b2")),
        "loads": {SERVER: ServerLoad(running=5)},
    }
    return DomainSum(**(values | changes))


def digest(
    *hosts: str, collector: str = "c1", sequence: int = 1, **changes: Any
) -> FleetDigest:
    part = DomainPart(
        domain=ZONE, age_s=0.1, hosts=tuple(HostId(h) for h in hosts)
    )
    values: dict[str, Any] = {
        "collector": HostId(collector),
        "incarnation": 1,
        "sequence": sequence,
        "parts": (part,),
        "sequences": (1,) * len(hosts),
        "loads": {SERVER: ServerLoad(running=5)},
    }
    return FleetDigest(**(values | changes))


def collector_of(*members: MemberReport, at: float = 0.0) -> DomainCollector:
    collector = DomainCollector(HostId("c1"), 1, ZONE)
    for report in members:
        collector.record_member(at, report)
    return collector


class Collectors(testtools.TestCase):
    def test_sum_has_loads_usage_and_the_newest_tables(self) -> None:
        collector = collector_of(
            member("h1", 2, avoided=(SERVER,)),
            member("h2", 3, tables=replace(tables(7, "h2"), config_version=2)),
        )
        made = collector.build_sum(COLLECT_SETTLE_S)
        assert made is not None
        self.assertEqual(
            ServerLoad(running=5, kv_tokens=20), made.loads[SERVER]
        )
        usage = {1: {ACCOUNT: 100.0}, 2: {ACCOUNT: 100.0}}
        self.assertEqual(usage, made.usage)
        self.assertEqual({SERVER: 1}, made.avoided)
        [newest] = made.tables
        self.assertEqual(("h2", 7), (newest.address, newest.listing_version))
        self.assertEqual(0.5 + COLLECT_SETTLE_S, newest.confirmed_age_s)

    # Guards against an incomplete sum in place of a complete one.
    def test_no_sum_before_all_hosts_had_time_to_report(self) -> None:
        self.assertIsNone(collector_of(member("h1")).build_sum(0.1))

    def test_silent_member_is_not_counted(self) -> None:
        collector = collector_of(member("h1"))
        collector.record_member(1.0, member("h2"))
        made = collector.build_sum(MEMBER_VALID_S + 0.1)
        assert made is not None
        self.assertEqual(("h2",), made.hosts)

    # Guards against a host that is counted twice after its restart.
    def test_former_process_of_a_member_is_dropped(self) -> None:
        collector = collector_of(member("h1", 1, incarnation=2))
        reason = collector.record_member(0.1, member("h1", 9, sequence=5))
        self.assertEqual("former incarnation", reason)

    def test_two_collectors_of_a_domain_are_never_added(self) -> None:
        collector = collector_of(member("h1"))
        for name in ("b1", "b2"):
            collector.record_sum(COLLECT_SETTLE_S, domain_sum(name))
        collector.build_sum(COLLECT_SETTLE_S)
        made = collector.build_digest(COLLECT_SETTLE_S + 0.1)
        assert made is not None
        self.assertEqual([ZONE, OTHER_ZONE], [p.domain for p in made.parts])
        self.assertAlmostEqual(0.2, made.parts[1].age_s)
        self.assertEqual(1 + 5, made.loads[SERVER].running)


class BadSums(testtools.TestCase):
    """Sums that can't be true are dropped, with the reason."""

    def reason(self, **changes: Any) -> str | None:
        collector = collector_of(member("h1"))
        return collector.record_sum(1.0, domain_sum("b1", **changes))

    def test_reasons(self) -> None:
        for reason, changes in (
            ("negative load", {"loads": {SERVER: ServerLoad(running=-1)}}),
            (
                "too many requests on a server",
                {"loads": {SERVER: ServerLoad(running=10_001)}},
            ),
            ("negative usage", {"usage": {1: {ACCOUNT: -1.0}}}),
            ("from the future", {"age_s": -0.1}),
            ("this failure domain", {"domain": ZONE}),
            ("bad count of hosts", {"hosts": ()}),
        ):
            self.assertEqual(reason, self.reason(**changes))
        self.assertIsNone(self.reason())

    def test_former_process_of_a_collector_is_dropped(self) -> None:
        sums = FleetSums(HostId("h1"), ZONE)
        sums.record_digest(1.0, digest("h2", incarnation=2))
        reason = sums.record_digest(1.1, digest("h2", sequence=9))
        self.assertEqual("former incarnation", reason)

    def test_digest_of_another_domain_is_dropped(self) -> None:
        sums = FleetSums(HostId("h1"), OTHER_ZONE)
        reason = sums.record_digest(1.0, digest("h2"))
        self.assertEqual("another failure domain", reason)
        self.assertEqual({}, sums.refresh(1.0).taken_at)

    def test_datagrams_that_are_no_sums(self) -> None:
        whole = encode_sums(digest("h2"))
        for data in (b"M{}", b"S", b"Dx", whole[:-5], b"M[1]", b"M" + whole):
            self.assertRaises(BadReportError, decode_sums, data)

    def test_messages_survive_the_encoding(self) -> None:
        made = domain_sum(
            "b1",
            usage={3: {ACCOUNT: 1.5}},
            avoided={SERVER: 2},
            sequences=(4, 5),
            tables=(tables(),),
        )
        for message in (made, member("h1"), digest("h1", "h2")):
            self.assertEqual(message, decode_sums(encode_sums(message)))


class Receivers(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.sums = FleetSums(HostId("h1"), ZONE)

    # Guards against counting this host's own requests twice.
    def test_own_part_is_subtracted_by_its_sequence(self) -> None:
        collector = collector_of(
            member("h1", 4, sequence=3, avoided=(SERVER,)), member("h2", 3)
        )
        for sequence, running in ((3, 4), (4, 6)):
            self.sums.record_own_report(
                member("h1", running, sequence=sequence, avoided=(SERVER,))
            )
        self.receive(collector)
        others = self.sums.refresh(0.5)
        self.assertEqual(3, others.loads[SERVER].running)
        self.assertEqual({HostId("h2")}, others.covered)
        self.assertTrue(others.counts_own)
        assert others.usage is not None
        self.assertEqual({1: {ACCOUNT: 100.0}}, others.usage.usage)
        self.assertEqual(frozenset(), others.avoided[ZONE])

    def receive(self, collector: DomainCollector) -> None:
        collector.build_sum(0.5)
        made = collector.build_digest(0.5)
        assert made is not None
        self.assertIsNone(self.sums.record_digest(0.5, made))

    def test_sum_with_an_unknown_own_part_does_not_count(self) -> None:
        self.receive(collector_of(member("h1"), member("h2")))
        self.assertEqual(frozenset(), self.sums.refresh(0.5).covered)

    def test_old_digest_expires(self) -> None:
        self.sums.record_digest(1.0, digest("h2", "h3"))
        valid_until = 1.0 + DIGEST_VALID_S
        self.assertEqual(2, len(self.sums.refresh(valid_until).covered))
        self.assertEqual(set(), self.sums.refresh(valid_until + 0.1).covered)

    # Guards against a collector that has just begun, whose sum lacks hosts.
    def test_digest_of_more_hosts_is_preferred_while_fresh(self) -> None:
        self.sums.record_digest(1.0, digest("h2", "h3"))
        self.sums.record_digest(1.1, digest("h2", collector="c2"))
        self.assertEqual(2, len(self.sums.refresh(1.2).covered))
        self.assertEqual(1, len(self.sums.refresh(1.65).covered))

    def test_silent_collector_is_replaced_by_the_next_in_rank(self) -> None:
        hosts = [HostId(f"h{n}") for n in range(2, 8)]
        first, second, third = ranked_collectors(hosts, 3)
        [change] = self.sums.choose_collectors(0.0, hosts)
        self.assertEqual((first, second), change.collectors)
        later = COLLECT_SETTLE_S + DIGEST_SILENCE_S + 0.1
        self.sums.record_digest(later, digest("h2", collector=first))
        [change] = self.sums.choose_collectors(later, hosts)
        self.assertEqual((first, third), change.collectors)
        self.assertEqual((second,), change.silent)

    def test_sums_and_reports_of_one_host_are_not_added(self) -> None:
        tracker, evidence = LoadTracker(), PeerEvidence()
        load = ServerLoad(running=2)
        covered = frozenset((HostId("b1"),))
        for host in ("b1", "b2"):
            tracker.record_peer_loads(HostId(host), {SERVER: load})
        evidence.record_avoided(0.0, HostId("b1"), ZONE, (SERVER,))
        tracker.record_sums({SERVER: ServerLoad(running=7)}, covered)
        evidence.record_sums({OTHER_ZONE: frozenset((SERVER,))}, covered)
        tracker.record_peer_loads(HostId("b1"), {SERVER: load})
        self.assertEqual(9, tracker.total_load(SERVER).running)
        self.assertFalse(evidence.is_avoided(0.1, SERVER))
        tracker.record_sums({}, frozenset())
        evidence.record_sums({OTHER_ZONE: frozenset((SERVER,))}, frozenset())
        self.assertEqual(4, tracker.total_load(SERVER).running)
        self.assertTrue(evidence.is_avoided(0.1, SERVER))
