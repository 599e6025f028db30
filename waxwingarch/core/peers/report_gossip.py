"""Gossip of host reports, and the choice of who follows the store's tables.

In a large fleet a few hosts, the followers, ask the store for changes of
its tables; the others compare the table versions in the reports and pull
newer rows from their peers. A host whose copy of the tables has not been
confirmed as current for a while follows the tables itself.
"""

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Final

from waxwingarch.core.base import Action, HostId
from waxwingarch.core.peers.peer_registry import Peer, PeerRegistry
from waxwingarch.core.peers.rank import rank_of, rank_weight
from waxwingarch.core.peers.report import (
    FollowTables,
    HostReport,
    PullState,
    SendReport,
    SharedTable,
)
from waxwingarch.core.peers.sum_messages import TableVersions

# In a fleet of up to this many hosts each follows the tables, as their
# calls cost the store little. In a larger one only the followers do.
ALL_FOLLOW_MAX_HOSTS: Final = 12
FOLLOWER_COUNT: Final = 3
# A long poll returns after this time without a change. Followers of a
# large fleet use a shorter one, as each return confirms the tables of many
# hosts.
LONG_POLL_S: Final = 3.0
FOLLOWER_LONG_POLL_S: Final = 0.7
# Tables that were not confirmed for this share of the time in which a change
# has to be known count as stale; the rest is for the host's own call. A host
# with stale tables follows them itself for at least the minimum below.
STALE_AFTER_RATIO: Final = 0.6
# In a fleet of up to 20 hosts a confirmation may be this old on arrival.
MIN_STALE_AFTER_S: Final = 1.5
MIN_FOLLOW_S: Final = 1.0
# A host that follows the tables pulls newer rows from a peer only if its
# own call to the store has not returned them after this time.
PULL_DELAY_S: Final = 0.7
# This many hosts next in rank for the duties get the usage counts of all
# hosts, so that they can take over; in a small fleet all hosts get them.
STANDBY_COUNT: Final = 5

_DUTY_SALT: Final = ""
_FOLLOW_SALT: Final = "/follow"


class ReportGossip:
    """Exchanges reports with the peers and tracks how current the tables are.

    `boot_now` is the boot clock, which also runs while the host is
    suspended: tables that were confirmed before that are stale after it.
    """

    def __init__(self, own_host: HostId, change_known_s: float = 0.0) -> None:
        """Start without peers.

        A change of the tables has to be known within `change_known_s`.
        """
        self._own_host = own_host
        self.stale_after_s = max(
            MIN_STALE_AFTER_S, STALE_AFTER_RATIO * change_known_s
        )
        self.peers = PeerRegistry(own_host)
        self._sequence = 0
        self._behind_since: float | None = None
        self._table_checked_at: dict[SharedTable, float] = {}
        self._confirmed_at = float("-inf")
        self._follow_until = float("-inf")
        self._follow_action: FollowTables | None = None

    @property
    def is_following(self) -> bool:
        """Whether this host asks the store for changes of its tables."""
        return self._follow_action is None or self._follow_action.follow

    @property
    def is_large_fleet(self) -> bool:
        """Whether there are so many hosts that not all follow the tables."""
        return self.peers.known_host_count > ALL_FOLLOW_MAX_HOSTS

    # Freshness of the tables

    def record_table_check(self, boot_now: float, table: SharedTable) -> None:
        """Record that the store confirmed this host's copy of a table."""
        self._table_checked_at[table] = boot_now
        if len(self._table_checked_at) == len(SharedTable):
            self._confirmed_at = max(
                self._confirmed_at, min(self._table_checked_at.values())
            )

    def confirmed_age_s(self, boot_now: float) -> float:
        """Return how long ago all tables were known to be current."""
        return boot_now - self._confirmed_at

    def update_following(
        self, now: float, boot_now: float, *, stopping: bool
    ) -> list[Action]:
        """Decide whether to follow the tables; returns only a change."""
        is_small_fleet = not self.is_large_fleet
        if self.confirmed_age_s(boot_now) > self.stale_after_s:
            self._follow_until = boot_now + MIN_FOLLOW_S
        is_chosen = (
            not stopping and self.rank(now, _FOLLOW_SALT) < FOLLOWER_COUNT
        )
        wanted = FollowTables(
            follow=is_small_fleet
            or is_chosen
            or boot_now < self._follow_until,
            hold_s=LONG_POLL_S if is_small_fleet else FOLLOWER_LONG_POLL_S,
        )
        if wanted == self._follow_action:
            return []
        self._follow_action = wanted
        return [wanted]

    # Reports

    def handle_report(
        self,
        now: float,
        boot_now: float,
        report: HostReport,
        own_versions: tuple[int, int, int],
    ) -> list[Action]:
        """Compare a peer's table versions with this host's; pull if behind.

        `own_versions` are those of the operator's table and of the listing
        of servers, and the number of the configuration in force. A peer
        with the same versions confirms the tables as of the time at which
        they were confirmed to the peer.
        """
        tables = TableVersions(
            config_version=report.config_version,
            listing_version=report.listing_version,
            config_number=report.config_number,
            confirmed_age_s=report.confirmed_age_s,
            address=report.address,
        )
        return self.compare_tables(now, boot_now, tables, own_versions)

    def compare_tables(
        self,
        now: float,
        boot_now: float,
        tables: TableVersions,
        own_versions: tuple[int, int, int],
    ) -> list[Action]:
        """Compare the tables of a host with this host's; pull if behind."""
        peer_versions = tables.versions
        if peer_versions == own_versions:
            confirmed_at = boot_now - tables.confirmed_age_s
            self._confirmed_at = max(self._confirmed_at, confirmed_at)
        is_behind = any(
            peer > own
            for peer, own in zip(peer_versions, own_versions, strict=True)
        )
        if not is_behind:
            return []
        if self.is_following:
            if self._behind_since is None:
                self._behind_since = now
            if now - self._behind_since < PULL_DELAY_S:
                return []
        self._behind_since = None
        return [PullState(address=tables.address)]

    def send_reports(
        self,
        now: float,
        build_report: Callable[[], HostReport],
        *,
        all_at_once: bool = False,
        few: bool = False,
    ) -> list[Action]:
        """Send this host's report to the peers that are due.

        Only hosts that may hold the duties get the usage counts. With `few`,
        these get a report as often as otherwise and the other hosts rarely.
        `build_report` is called only if there is a peer to send to.
        """
        recipients = self._usage_recipients(now) if few else None
        peers = self.peers.next_recipients(
            now, all_at_once=all_at_once, few_except=recipients
        )
        if not peers:
            return []
        self._sequence += 1
        report = replace(build_report(), sequence=self._sequence)
        with_usage, without_usage = peers, []
        if self.is_large_fleet:
            recipients = recipients or self._usage_recipients(now)
            with_usage = [p for p in peers if _host_of(p) in recipients]
            without_usage = [p for p in peers if _host_of(p) not in recipients]
        actions: list[Action] = []
        if with_usage:
            actions.append(_send_report(report, with_usage))
        if without_usage:
            actions.append(
                _send_report(replace(report, usage_counts=None), without_usage)
            )
        return actions

    def _usage_recipients(self, now: float) -> set[HostId | None]:
        """Return the holder of the duties and its standbys.

        None stands for peers without a report yet: one of them may be a
        standby.
        """
        candidates = self._candidates(now)
        hosts = sorted(
            (r.host for r in candidates),
            key=lambda host: rank_weight(host, _DUTY_SALT),
            reverse=True,
        )
        holders = {r.host for r in candidates if r.holds_duties}
        return {None, *hosts[:STANDBY_COUNT], *holders}

    def _candidates(self, now: float) -> list[HostReport]:
        return [r for r in self.peers.live_reports(now) if not r.draining]

    def rank(self, now: float, salt: str = _DUTY_SALT) -> int:
        """Return this host's rank for a task, 0 being the first.

        Hosts are ranked by a hash, so that all hosts with the same peers
        agree; `salt` gives each task a ranking of its own.
        """
        hosts = (r.host for r in self._candidates(now))
        return rank_of(self._own_host, hosts, salt)

    def serving_hosts(self, now: float) -> frozenset[HostId]:
        """Return this host and the live ones that are not stopping."""
        hosts = {r.host for r in self._candidates(now)}
        return frozenset(hosts | {self._own_host})

    def heard_ratio(self, now: float) -> float:
        """Return the share of the known hosts that are heard of."""
        return self.peers.live_host_count(now) / self.peers.known_host_count

    def fleet_ratio(self, now: float) -> float:
        """Return the share of the fleet that is heard of; 0 if unknown.

        The fleet has at least the hosts that were listed in the store.
        """
        if not self.peers.is_fleet_known:
            return 0.0
        fleet_size = max(
            self.peers.known_host_count, self.peers.listed_host_count
        )
        return self.peers.live_host_count(now) / fleet_size


def _host_of(peer: Peer) -> HostId | None:
    return peer.last_report.host if peer.last_report else None


def _send_report(report: HostReport, peers: Iterable[Peer]) -> SendReport:
    addresses = tuple(peer.address for peer in peers)
    return SendReport(report=report, addresses=addresses)
