"""Tests of reports between hosts, of followers, and of table freshness."""

import testtools

from tests.core.front.builders import front
from waxwingarch.core.base import AccountId, Action, FailureDomain, HostId
from waxwingarch.core.front_messages import FrontTick
from waxwingarch.core.peers.peer_registry import MAX_RECIPIENTS_PER_STEP
from waxwingarch.core.peers.report import (
    FollowTables,
    HostReport,
    HostsListed,
    PullState,
    ReportReceived,
    SendReport,
    SharedTable,
)
from waxwingarch.core.peers.report_gossip import (
    ALL_FOLLOW_MAX_HOSTS,
    FOLLOWER_COUNT,
    FOLLOWER_LONG_POLL_S,
    MIN_STALE_AFTER_S,
    ReportGossip,
)

STEP_S = 0.1
UNIX_OFFSET_S = 1e9


def report(host: HostId, **changes: object) -> HostReport:
    """Return a host's report."""
    values = {
        "host": host,
        "incarnation": 1,
        "sequence": 0,
        "address": f"addr-{host}",
        "domain": FailureDomain("z0"),
        "unix_now": 0.0,
        "config_version": 1,
        "listing_version": 1,
        "usage_counts": {7: {AccountId("a"): 3}},
    }
    return HostReport(**(values | changes))  # type: ignore[arg-type]


class Fleet:
    """Simulated hosts; those that follow the store see each change at once.

    Hosts in `partitioned` can't reach the store. Without a change, a call
    to the store returns after `hold_s`; `calls` counts them.
    """

    def __init__(
        self, count: int, change_known_s: float = 2.0, hold_s: float = 0.0
    ) -> None:
        self.names = [HostId(f"h{n}") for n in range(count)]
        self.hosts = {
            name: ReportGossip(name, change_known_s) for name in self.names
        }
        self.hold_s = hold_s
        self.calls = 0
        self._held_until = dict.fromkeys(self.names, 0.0)
        self.versions = dict.fromkeys(self.names, 1)
        self.newest = 1
        self.now = 0.0
        self.partitioned: set[HostId] = set()
        self.max_sent_per_step = 0
        self.pulled_by: list[HostId] = []
        addresses = {name: f"addr-{name}" for name in self.names}
        for gossip in self.hosts.values():
            gossip.peers.record_addresses(
                0.0, HostsListed(addresses=addresses)
            )

    def run(self, for_s: float) -> None:
        for _ in range(round(for_s / STEP_S)):
            self.now += STEP_S
            for name in self.names:
                self._step(name)

    def followers(self) -> list[HostId]:
        return [name for name in self.names if self.hosts[name].is_following]

    def _build_report(self, name: HostId) -> HostReport:
        return report(
            name,
            listing_version=self.versions[name],
            confirmed_age_s=self.hosts[name].confirmed_age_s(self.now),
        )

    def _step(self, name: HostId) -> None:
        gossip = self.hosts[name]
        if not gossip.is_following:
            self._held_until[name] = self.now
        elif name not in self.partitioned and (
            self.now >= self._held_until[name]
            or self.versions[name] < self.newest
        ):
            self._held_until[name] = self.now + self.hold_s
            self.versions[name] = self.newest
            for table in SharedTable:
                self.calls += 1
                gossip.record_table_check(self.now, table)
        gossip.update_following(self.now, self.now, stopping=False)
        sent = gossip.send_reports(self.now, lambda: self._build_report(name))
        count = 0
        for action in sent:
            assert isinstance(action, SendReport)
            count += len(action.addresses)
            for address in action.addresses:
                self._deliver(HostId(address.removeprefix("addr-")), action)
        self.max_sent_per_step = max(self.max_sent_per_step, count)

    def _deliver(self, name: HostId, action: SendReport) -> None:
        gossip = self.hosts[name]
        if not gossip.peers.record_report(self.now, action.report, 0.0):
            return
        own_versions = (1, self.versions[name], 0)
        for pull in gossip.handle_report(
            self.now, self.now, action.report, own_versions
        ):
            assert isinstance(pull, PullState)
            self.pulled_by.append(name)
            peer = HostId(pull.address.removeprefix("addr-"))
            self.versions[name] = self.versions[peer]


class Followers(testtools.TestCase):
    def test_all_hosts_of_a_small_fleet_follow(self) -> None:
        fleet = Fleet(ALL_FOLLOW_MAX_HOSTS)
        fleet.run(5.0)
        self.assertEqual(fleet.names, fleet.followers())

    def test_few_hosts_of_a_large_fleet_follow(self) -> None:
        fleet = Fleet(74)
        fleet.run(10.0)
        self.assertEqual(FOLLOWER_COUNT, len(fleet.followers()))
        for name in fleet.names:
            self.assertLess(
                fleet.hosts[name].confirmed_age_s(fleet.now),
                MIN_STALE_AFTER_S,
            )

    def test_store_calls_do_not_grow_with_the_fleet(self) -> None:
        """A calm fleet of hundreds of hosts, with nothing to tell.

        A round of reports takes 1.6 s there. The copies of most hosts once
        counted as stale before a confirmation had come around, so that
        hosts by turns asked the store for what had not changed.
        """
        duration_s = 6.0
        for count in (74, 195):
            fleet = Fleet(
                count, change_known_s=4.0, hold_s=FOLLOWER_LONG_POLL_S
            )
            fleet.run(8.0)
            fleet.calls = 0
            fleet.run(duration_s)
            per_follower = len(SharedTable) * (
                duration_s / FOLLOWER_LONG_POLL_S + 1
            )
            self.assertLessEqual(fleet.calls, FOLLOWER_COUNT * per_follower)

    def test_a_change_reaches_all_within_two_rounds(self) -> None:
        fleet = Fleet(74)
        fleet.run(10.0)
        fleet.newest = 2
        fleet.run(2 * fleet.hosts[fleet.names[0]].peers.round_s)
        self.assertEqual({2}, set(fleet.versions.values()))

    def test_hosts_follow_if_all_followers_are_partitioned(self) -> None:
        fleet = Fleet(74)
        fleet.run(10.0)
        fleet.partitioned = set(fleet.followers())
        fleet.newest = 2
        fleet.run(MIN_STALE_AFTER_S + 1.5)
        reached = {
            fleet.versions[n]
            for n in fleet.names
            if n not in fleet.partitioned
        }
        self.assertEqual({2}, reached)

    def test_peer_with_an_older_listing_confirms_nothing(self) -> None:
        gossip = ReportGossip(HostId("h1"))
        own_versions = (1, 5, 0)
        older = report(HostId("h2"), listing_version=4, confirmed_age_s=0.0)
        gossip.handle_report(1.0, 1.0, older, own_versions)
        self.assertEqual(float("inf"), gossip.confirmed_age_s(1.0))
        same = report(HostId("h2"), listing_version=5, confirmed_age_s=0.25)
        gossip.handle_report(1.0, 1.0, same, own_versions)
        self.assertEqual(0.25, gossip.confirmed_age_s(1.0))

    def test_tables_of_a_suspended_host_are_stale(self) -> None:
        gossip = ReportGossip(HostId("h1"))
        for table in SharedTable:
            gossip.record_table_check(1.0, table)
        # The event loop's clock stops during the suspension, the boot
        # clock does not.
        self.assertEqual(6.0, gossip.confirmed_age_s(7.0))


class Reports(testtools.TestCase):
    def test_reports_to_a_large_fleet_are_spread_over_steps(self) -> None:
        fleet = Fleet(74)
        fleet.run(3.0)
        self.assertLessEqual(fleet.max_sent_per_step, MAX_RECIPIENTS_PER_STEP)

    def test_usage_goes_to_those_who_may_hold_the_duties(self) -> None:
        fleet = Fleet(40)
        fleet.run(10.0)
        gossip = fleet.hosts[fleet.names[0]]
        recipients = 0
        for _ in range(10):
            fleet.now += STEP_S
            for action in gossip.send_reports(
                fleet.now, lambda: report(fleet.names[0])
            ):
                assert isinstance(action, SendReport)
                if action.report.usage_counts is not None:
                    recipients += len(action.addresses)
        self.assertThat(recipients, testtools.matchers.GreaterThan(2))
        self.assertThat(recipients, testtools.matchers.LessThan(20))

    def test_usage_goes_to_all_of_a_small_fleet(self) -> None:
        # A host took over the duties without the usage counts of a process
        # that had ended before.
        fleet = Fleet(8)
        fleet.run(3.0)
        name = fleet.names[0]
        fleet.now += 1.0
        [sent] = fleet.hosts[name].send_reports(
            fleet.now, lambda: report(name)
        )
        assert isinstance(sent, SendReport)
        self.assertIsNotNone(sent.report.usage_counts)
        self.assertEqual(7, len(sent.addresses))

    def test_usage_counts_outlive_reports_without_them(self) -> None:
        gossip = ReportGossip(HostId("h1"))
        full = report(HostId("h2"), sequence=1)
        gossip.peers.record_report(1.0, full, 0.0)
        without_counts = report(HostId("h2"), sequence=2, usage_counts=None)
        gossip.peers.record_report(1.2, without_counts, 0.0)
        self.assertEqual([full.usage_counts], gossip.peers.usage_counts(1.3))

    def test_a_stopping_host_reports_to_all_at_once(self) -> None:
        fleet = Fleet(74)
        fleet.run(3.0)
        name = fleet.names[0]
        sent = fleet.hosts[name].send_reports(
            fleet.now,
            lambda: report(name, draining=True),
            all_at_once=True,
        )
        addresses = [a for action in sent for a in _addresses(action)]
        self.assertEqual(73, len(addresses))


def _addresses(action: Action) -> tuple[str, ...]:
    return action.addresses if isinstance(action, SendReport) else ()


class FollowDecisions(testtools.TestCase):
    def test_an_unchanged_decision_is_returned_once(self) -> None:
        gossip = ReportGossip(HostId("h1"))
        [first] = gossip.update_following(0.0, 0.0, stopping=False)
        self.assertIsInstance(first, FollowTables)
        self.assertEqual([], gossip.update_following(0.1, 0.1, stopping=False))


class TimeOfDay(testtools.TestCase):
    """The hosts' common time, by which they compare what they saw."""

    # The reports that came before the first tick doubled the time of day
    # until the next ones: its crashes were far in the future.
    def test_reports_before_the_first_tick_do_not_shift_it(self) -> None:
        node = front()
        for n in range(2, 5):
            early = report(HostId(f"h{n}"), unix_now=UNIX_OFFSET_S + 1.0)
            node.handle(1.0, ReportReceived(report=early))
        node.handle(1.1, FrontTick(boot_now=1.1, unix_now=UNIX_OFFSET_S + 1.1))
        self.assertEqual(UNIX_OFFSET_S + 1.2, node.unix_time(1.2))
