"""Tests of many hosts together, on made time."""

import testtools

from tests.core.clusters import UNIX_0, Bench, make_member
from waxwingarch.core.base import HostId, ServerId, ServiceId, VersionId
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
from waxwingarch.core.cluster.watch import Duty
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


def make_bench(hosts: int, regions: int = 1, seed: int = 1) -> Bench:
    bench = Bench(seed)
    for n in range(hosts):
        bench.add(make_member(f"h{n}", region=f"r{n % regions}"))
    bench.run_until(bench.all_alive, 30.0)
    return bench


def in_force(bench: Bench, revision: int) -> bool:
    return all(
        h.settings.applied_revision == revision for h in bench.hosts.values()
    )


class TestMembershipTogether(testtools.TestCase):
    def test_a_killed_host_is_found_dead_by_all(self) -> None:
        bench = make_bench(27)
        bench.kill("h5")
        bench.run_until(lambda: bench.states_of("h5")["dead"] == 26, 12.0)

    def test_loss_of_datagrams_kills_nobody(self) -> None:
        bench = make_bench(27)
        bench.loss = 0.05
        for _ in range(60):
            bench.run(1.0)
            for name in bench.hosts:
                self.assertEqual(0, bench.states_of(name)["dead"])

    def test_a_paused_host_comes_back_as_itself(self) -> None:
        bench = make_bench(9)
        bench.paused.add("h3")
        bench.run_until(lambda: bench.states_of("h3")["dead"] == 8, 12.0)
        bench.paused.clear()
        bench.run_until(bench.all_alive, 12.0)
        own = bench.hosts["h3"].own
        self.assertEqual(1, own.incarnation)
        self.assertGreater(own.refutation, 0)
        # The host that stood still blames nobody else for it.
        bench.run(5.0)
        self.assertTrue(bench.all_alive())

    def test_a_new_process_on_an_address_is_not_its_predecessor(self) -> None:
        bench = make_bench(9)
        bench.kill("h4")
        bench.add(make_member("h14", incarnation=2, address="h4"))
        known = bench.hosts["h0"].membership
        bench.run_until(lambda: bench.states_of("h14")["alive"] == 9 - 1, 6.0)
        bench.run_until(lambda: bench.states_of("h4")["dead"] == 9 - 1, 6.0)
        self.assertFalse(known.is_current(HostId("h4"), 1))
        self.assertTrue(known.is_current(HostId("h14"), 2))

    def test_a_restarted_host_has_a_new_incarnation(self) -> None:
        bench = make_bench(9)
        bench.kill("h4")
        bench.add(make_member("h4", incarnation=2))
        bench.run_until(bench.all_alive, 6.0)
        self.assertFalse(
            bench.hosts["h0"].membership.is_current(HostId("h4"), 1)
        )

    def test_a_restart_whose_clock_went_back_passes_its_old_self(self) -> None:
        bench = make_bench(9)
        bench.kill("h4")
        bench.add(make_member("h4", incarnation=0))
        bench.run_until(bench.all_alive, 12.0)
        self.assertEqual(2, bench.hosts["h4"].own.incarnation)

    def test_a_process_replaced_elsewhere_is_told_to_stop(self) -> None:
        bench = make_bench(9)
        old = bench.hosts["h4"]
        elsewhere = make_member("h4", incarnation=2, address="h30")
        old.membership.learn(bench.now, elsewhere)
        bench.run(0.5)
        self.assertEqual(1, bench.count(Superseded))
        self.assertEqual(1, old.own.incarnation)

    def test_a_host_that_leaves_is_not_suspected(self) -> None:
        bench = make_bench(9)
        bench.publish("h2", Leave())
        bench.kill("h2")
        bench.run_until(lambda: bench.states_of("h2")["left"] == 8, 2.0)

    def test_a_draining_host_loses_its_duties(self) -> None:
        bench = make_bench(9)
        bench.publish("h2", SetDraining(draining=True))
        bench.run(2.0)
        duties = bench.hosts["h0"].duties()
        keys = [f"k{n}" for n in range(50)]
        held = [duties.responsible(k, Duty.WATCH_SERVER, 2) for k in keys]
        self.assertNotIn("h2", {host for hosts in held for host in hosts})

    def test_a_cut_between_regions_heals_without_a_flood(self) -> None:
        bench = make_bench(28, regions=2)
        bench.run(5.0)
        bench.sent.clear()
        bench.cut = lambda a, b: a.region != b.region
        bench.run(180.0)
        self.assertEqual(14, bench.states_of("h0")["dead"])
        during = max(bench.sent.values()) / 180.0
        bench.sent.clear()
        bench.cut = lambda a, b: False
        took = bench.run_until(bench.all_alive, 60.0)
        healing = max(bench.sent.values()) / took
        # 3 gossips each 0.2 s, probes, syncs: what a host may send at all.
        self.assertLess(during, 20.0)
        self.assertLess(healing, 25.0)

    def test_probes_are_constant_at_any_size(self) -> None:
        for hosts in (9, 60):
            bench = make_bench(hosts)
            bench.run(20.0)
            bench.sent.clear()
            bench.run(20.0)
            self.assertLess(max(bench.sent.values()) / 20.0, 5.0)


class TestItemsTogether(testtools.TestCase):
    def test_urgent_items_reach_all_within_three_seconds(self) -> None:
        bench = make_bench(81)
        bench.publish("h7", PublishItem(item=LEAVING))
        bench.publish("h9", PublishItem(item=STOP))
        hosts = bench.hosts.values()
        bench.run_until(
            lambda: all(
                h.store.is_leaving(S1, 1) and len(h.store) >= 2 for h in hosts
            ),
            3.0,
        )

    def test_who_missed_the_rumour_learns_it_by_sync(self) -> None:
        bench = make_bench(9)
        bench.run(5.0)
        bench.cut = lambda a, b: "h3" in (a.host_id, b.host_id)
        bench.publish("h0", PublishItem(item=LEAVING))
        # Long enough for the rumour to die, too short for a death.
        bench.run(1.5)
        self.assertFalse(bench.hosts["h3"].store.is_leaving(S1, 1))
        bench.cut = lambda a, b: False
        bench.run_until(lambda: bench.hosts["h3"].store.is_leaving(S1, 1), 30)

    def test_a_new_host_learns_what_spread_before(self) -> None:
        bench = make_bench(9)
        bench.publish("h0", PublishItem(item=STOP))
        bench.run(60.0)
        new = bench.add(make_member("h10", incarnation=5))
        bench.run_until(lambda: len(new.store) >= 1, 5.0)

    def test_direct_items_reach_their_recipients_only(self) -> None:
        bench = make_bench(9)
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
        bench.publish("h0", PublishItem(item=item, recipients=to))
        bench.run(5.0)
        having = {n for n, h in bench.hosts.items() if len(h.store)}
        self.assertEqual({"h0", "h1", "h2"}, having)

    def test_shares_are_numbered_and_dropped_with_their_host(self) -> None:
        bench = make_bench(9)
        for running in (3, 0):
            share = SpentShare(
                account="a",  # type: ignore[arg-type]
                host_id=HostId("h0"),
                incarnation=1,
                requests=7,
                wanted=1.0,
                running=running,
            )
            bench.publish("h0", PublishItem(item=share))
            bench.run(2.0)
        items = list(bench.hosts["h1"].store._items["share"].values())
        self.assertEqual([0], [item.running for item in items])
        bench.kill("h0")
        bench.run(25.0)
        self.assertEqual(0, len(bench.hosts["h1"].store))


class TestSettingsTogether(testtools.TestCase):
    def test_a_revision_is_in_force_everywhere_soon(self) -> None:
        bench = make_bench(60, regions=2)
        bench.run(3.0)
        bench.table = make_snapshot(7, [Document(name="c", text="x")])
        bench.run_until(lambda: in_force(bench, 7), 6.0)

    def test_few_hosts_read_the_table(self) -> None:
        bench = make_bench(60, regions=2)
        bench.run(5.0)
        bench.seen.clear()
        bench.table = make_snapshot(7, [Document(name="c", text="x")])
        bench.run(10.0)
        self.assertTrue(in_force(bench, 7))
        readers = {
            name for _, name, a in bench.seen if "ReadSettings" in repr(a)
        }
        pollers = {
            name for _, name, a in bench.seen if "PollRevision" in repr(a)
        }
        self.assertEqual(4, len(pollers))
        self.assertLessEqual(len(readers), 4)

    def test_new_host_with_table_down_takes_highest_of_its_peers(self) -> None:
        bench = make_bench(9)
        bench.table = make_snapshot(7, [Document(name="c", text="x")])
        bench.run_until(lambda: in_force(bench, 7), 6.0)
        bench.table_up = False
        new = bench.add(make_member("h9", incarnation=3))
        bench.run_until(lambda: new.settings.ready, 15.0)
        self.assertEqual(7, new.settings.applied_revision)

    def test_a_host_can_ask_until_all_have_a_revision(self) -> None:
        bench = make_bench(60)
        bench.run(3.0)
        bench.paused.add("h9")
        bench.table = make_snapshot(7, [Document(name="c", text="x")])
        asker = bench.hosts["h0"]
        for _ in range(4):
            bench.publish("h0", AskApplied(revision=7))
            bench.run(0.4)
        self.assertIn("h9", asker.behind(7))
        bench.paused.clear()
        for _ in range(10):
            bench.publish("h0", AskApplied(revision=7))
            bench.run(0.4)
        self.assertEqual((), asker.behind(7))
        self.assertTrue(in_force(bench, 7))

    def test_dump_names_revision_members_and_items(self) -> None:
        bench = make_bench(9)
        bench.publish("h0", PublishItem(item=STOP))
        bench.run(3.0)
        dump = bench.hosts["h1"].dump()
        self.assertEqual((9, 1), (len(dump.members), dump.items["stop"]))
        self.assertTrue(dump.ready)

    def test_datagrams_stay_under_their_bound(self) -> None:
        bench = make_bench(60)
        packer = bench.hosts["h0"].packer
        for page in packer.sync_pages(()):
            sizes = sum(member_bytes(m) for m in page.members)
            self.assertLess(sizes, MAX_DATAGRAM_BYTES)
            self.assertNotEqual((), page.members)
        states = {m.state for m in bench.hosts["h0"].membership.members()}
        self.assertEqual({MemberState.ALIVE}, states)
