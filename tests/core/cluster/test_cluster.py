"""Tests of many hosts in one cluster, on simulated time."""

import testtools

from tests.core.clusters import UNIX_0, SimulatedCluster, make_member
from waxwingarch.core.base import HostId, ServerId, ServiceId, VersionId
from waxwingarch.core.cluster.assignments import Duty
from waxwingarch.core.cluster.cluster_events import (
    AskApplied,
    Leave,
    PublishItem,
    SetDraining,
    Superseded,
)
from waxwingarch.core.cluster.items import (
    LeavingServer,
    LoadSummary,
    SpentShare,
    StopMark,
)
from waxwingarch.core.cluster.members import MemberState
from waxwingarch.core.cluster.sizes import MAX_DATAGRAM_BYTES, member_bytes
from waxwingarch.core.settings.settings import Document, make_snapshot

S1 = ServerId("s1")
LEAVING = LeavingServer(
    server_id=S1, incarnation=1, deadline_unix=UNIX_0 + 30.0
)
STOP = StopMark(
    service=ServiceId("pool"),
    version=VersionId("v2"),
    move_id="m1",
    reason="fails",
)


def make_cluster(
    hosts: int, regions: int = 1, seed: int = 1
) -> SimulatedCluster:
    cluster = SimulatedCluster(seed)
    for n in range(hosts):
        cluster.add(make_member(f"h{n}", region=f"r{n % regions}"))
    cluster.run_until(cluster.is_all_alive, 30.0)
    return cluster


def in_force(cluster: SimulatedCluster, revision: int) -> bool:
    return all(
        h.settings.applied_revision == revision for h in cluster.hosts.values()
    )


class TestClusterMembership(testtools.TestCase):
    def test_all_hosts_detect_a_killed_host(self) -> None:
        cluster = make_cluster(27)
        cluster.kill("h5")
        cluster.run_until(
            lambda: cluster.count_states("h5")["dead"] == 26, 12.0
        )

    def test_packet_loss_makes_no_host_dead(self) -> None:
        cluster = make_cluster(27)
        cluster.loss_ratio = 0.05
        for _ in range(60):
            cluster.run(1.0)
            for name in cluster.hosts:
                self.assertEqual(0, cluster.count_states(name)["dead"])

    def test_a_paused_host_returns_with_its_incarnation(self) -> None:
        cluster = make_cluster(9)
        cluster.paused.add("h3")
        cluster.run_until(
            lambda: cluster.count_states("h3")["dead"] == 8, 12.0
        )
        cluster.paused.clear()
        cluster.run_until(cluster.is_all_alive, 12.0)
        own = cluster.hosts["h3"].own
        self.assertEqual(1, own.incarnation)
        self.assertGreater(own.refutation, 0)
        # The paused host suspects no other host after it.
        cluster.run(5.0)
        self.assertTrue(cluster.is_all_alive())

    def test_a_new_process_on_an_address_replaces_the_old(self) -> None:
        cluster = make_cluster(9)
        cluster.kill("h4")
        cluster.add(make_member("h14", incarnation=2, address="h4"))
        known = cluster.hosts["h0"].membership
        cluster.run_until(
            lambda: cluster.count_states("h14")["alive"] == 9 - 1, 6.0
        )
        cluster.run_until(
            lambda: cluster.count_states("h4")["dead"] == 9 - 1, 6.0
        )
        self.assertFalse(known.is_current(HostId("h4"), 1))
        self.assertTrue(known.is_current(HostId("h14"), 2))

    def test_a_restarted_host_has_a_new_incarnation(self) -> None:
        cluster = make_cluster(9)
        cluster.kill("h4")
        cluster.add(make_member("h4", incarnation=2))
        cluster.run_until(cluster.is_all_alive, 6.0)
        self.assertFalse(
            cluster.hosts["h0"].membership.is_current(HostId("h4"), 1)
        )

    def test_a_restart_with_an_earlier_clock_supersedes(self) -> None:
        cluster = make_cluster(9)
        cluster.kill("h4")
        cluster.add(make_member("h4", incarnation=0))
        cluster.run_until(cluster.is_all_alive, 12.0)
        self.assertEqual(2, cluster.hosts["h4"].own.incarnation)

    def test_a_process_replaced_elsewhere_is_superseded(self) -> None:
        cluster = make_cluster(9)
        old = cluster.hosts["h4"]
        elsewhere = make_member("h4", incarnation=2, address="h30")
        old.membership.merge(cluster.now, elsewhere)
        cluster.run(0.5)
        self.assertEqual(1, cluster.count_actions(Superseded))
        self.assertEqual(1, old.own.incarnation)

    def test_a_host_that_leaves_is_not_suspected(self) -> None:
        cluster = make_cluster(9)
        cluster.publish("h2", Leave())
        cluster.kill("h2")
        cluster.run_until(lambda: cluster.count_states("h2")["left"] == 8, 2.0)

    def test_a_draining_host_loses_its_duties(self) -> None:
        cluster = make_cluster(9)
        cluster.publish("h2", SetDraining(draining=True))
        cluster.run(2.0)
        duties = cluster.hosts["h0"].duties()
        keys = [f"k{n}" for n in range(50)]
        held = [duties.responsible(k, Duty.WATCH_SERVER, 2) for k in keys]
        self.assertNotIn("h2", {host for hosts in held for host in hosts})

    def test_a_partition_heals_without_a_traffic_burst(self) -> None:
        cluster = make_cluster(28, regions=2)
        cluster.run(5.0)
        cluster.datagrams_sent.clear()
        cluster.is_link_cut = lambda a, b: a.region != b.region
        cluster.run(180.0)
        self.assertEqual(14, cluster.count_states("h0")["dead"])
        rate_parted = max(cluster.datagrams_sent.values()) / 180.0
        cluster.datagrams_sent.clear()
        cluster.is_link_cut = lambda a, b: False
        healing_s = cluster.run_until(cluster.is_all_alive, 60.0)
        rate_healing = max(cluster.datagrams_sent.values()) / healing_s
        # The limit of a host: 3 gossip datagrams each 0.2 s, and the probes
        # and syncs.
        self.assertLess(rate_parted, 20.0)
        self.assertLess(rate_healing, 25.0)

    def test_probe_rate_does_not_depend_on_the_hosts(self) -> None:
        for hosts in (9, 60):
            cluster = make_cluster(hosts)
            cluster.run(20.0)
            cluster.datagrams_sent.clear()
            cluster.run(20.0)
            self.assertLess(max(cluster.datagrams_sent.values()) / 20.0, 5.0)


class TestClusterItems(testtools.TestCase):
    def test_urgent_items_reach_all_within_three_seconds(self) -> None:
        cluster = make_cluster(81)
        cluster.publish("h7", PublishItem(item=LEAVING))
        cluster.publish("h9", PublishItem(item=STOP))
        hosts = cluster.hosts.values()
        cluster.run_until(
            lambda: all(
                h.store.is_leaving(S1, 1) and len(h.store) >= 2 for h in hosts
            ),
            3.0,
        )

    def test_a_host_that_missed_the_gossip_learns_by_sync(self) -> None:
        cluster = make_cluster(9)
        cluster.run(5.0)
        cluster.is_link_cut = lambda a, b: "h3" in (a.host_id, b.host_id)
        cluster.publish("h0", PublishItem(item=LEAVING))
        # Long enough for the gossip about it to end, too short for h3 to be
        # declared dead.
        cluster.run(1.5)
        self.assertFalse(cluster.hosts["h3"].store.is_leaving(S1, 1))
        cluster.is_link_cut = lambda a, b: False
        cluster.run_until(
            lambda: cluster.hosts["h3"].store.is_leaving(S1, 1), 30
        )

    def test_a_new_host_learns_earlier_items(self) -> None:
        cluster = make_cluster(9)
        cluster.publish("h0", PublishItem(item=STOP))
        cluster.run(60.0)
        new = cluster.add(make_member("h10", incarnation=5))
        cluster.run_until(lambda: len(new.store) >= 1, 5.0)

    def test_direct_items_reach_their_recipients_only(self) -> None:
        cluster = make_cluster(9)
        item = LoadSummary(
            server_id=S1,
            incarnation=1,
            as_of_ms=1,
            running=1,
            waiting=0,
            kv_used=0,
            kv_total=1,
        )
        to = (HostId("h1"), HostId("h2"))
        cluster.publish("h0", PublishItem(item=item, recipients=to))
        cluster.run(5.0)
        hosts = {n for n, h in cluster.hosts.items() if len(h.store)}
        self.assertEqual({"h0", "h1", "h2"}, hosts)

    def test_shares_get_sequences_and_expire_with_their_host(self) -> None:
        cluster = make_cluster(9)
        for running in (3, 0):
            share = SpentShare(
                account="a",  # type: ignore[arg-type]
                host_id=HostId("h0"),
                incarnation=1,
                requests=7,
                wanted=1.0,
                running=running,
            )
            cluster.publish("h0", PublishItem(item=share))
            cluster.run(2.0)
        items = list(cluster.hosts["h1"].store._items["share"].values())
        self.assertEqual([0], [item.running for item in items])
        cluster.kill("h0")
        cluster.run(25.0)
        self.assertEqual(0, len(cluster.hosts["h1"].store))


class TestClusterSettings(testtools.TestCase):
    def test_a_revision_is_in_force_on_all_hosts_in_time(self) -> None:
        cluster = make_cluster(60, regions=2)
        cluster.run(3.0)
        cluster.table_snapshot = make_snapshot(
            7, [Document(name="c", text="x")]
        )
        cluster.run_until(lambda: in_force(cluster, 7), 6.0)

    def test_few_hosts_read_the_table(self) -> None:
        cluster = make_cluster(60, regions=2)
        cluster.run(5.0)
        cluster.actions.clear()
        cluster.table_snapshot = make_snapshot(
            7, [Document(name="c", text="x")]
        )
        cluster.run(10.0)
        self.assertTrue(in_force(cluster, 7))
        readers = {
            name for _, name, a in cluster.actions if "ReadSettings" in repr(a)
        }
        pollers = {
            name for _, name, a in cluster.actions if "PollRevision" in repr(a)
        }
        self.assertEqual(4, len(pollers))
        self.assertLessEqual(len(readers), 4)

    def test_new_host_with_table_down_pulls_from_its_peers(self) -> None:
        cluster = make_cluster(9)
        cluster.table_snapshot = make_snapshot(
            7, [Document(name="c", text="x")]
        )
        cluster.run_until(lambda: in_force(cluster, 7), 6.0)
        cluster.is_table_up = False
        new = cluster.add(make_member("h9", incarnation=3))
        cluster.run_until(lambda: new.settings.ready, 15.0)
        self.assertEqual(7, new.settings.applied_revision)

    def test_a_host_can_probe_until_all_have_a_revision(self) -> None:
        cluster = make_cluster(60)
        cluster.run(3.0)
        cluster.paused.add("h9")
        cluster.table_snapshot = make_snapshot(
            7, [Document(name="c", text="x")]
        )
        asker = cluster.hosts["h0"]
        for _ in range(4):
            cluster.publish("h0", AskApplied(revision=7))
            cluster.run(0.4)
        self.assertIn("h9", asker.hosts_behind(7))
        cluster.paused.clear()
        for _ in range(10):
            cluster.publish("h0", AskApplied(revision=7))
            cluster.run(0.4)
        self.assertEqual((), asker.hosts_behind(7))
        self.assertTrue(in_force(cluster, 7))

    def test_dump_has_readiness_members_and_items(self) -> None:
        cluster = make_cluster(9)
        cluster.publish("h0", PublishItem(item=STOP))
        cluster.run(3.0)
        dump = cluster.hosts["h1"].dump()
        self.assertEqual((9, 1), (len(dump.members), dump.items["stop"]))
        self.assertTrue(dump.ready)

    def test_datagrams_are_within_their_size_limit(self) -> None:
        cluster = make_cluster(60)
        packer = cluster.hosts["h0"].packer
        for datagram in packer.build_sync_datagrams(()):
            sizes = sum(member_bytes(m) for m in datagram.members)
            self.assertLess(sizes, MAX_DATAGRAM_BYTES)
            self.assertNotEqual((), datagram.members)
        states = {m.state for m in cluster.hosts["h0"].membership.members()}
        self.assertEqual({MemberState.ALIVE}, states)
