"""What this host tells the others and learns of them, and how fresh it is.

In a large fleet a few hosts follow the tables of the store and the others
hear from them. A host whose beliefs nobody has confirmed for a while
follows the tables itself.
"""

from collections.abc import Callable, Iterable
from dataclasses import replace
from functools import lru_cache
from typing import Final

import xxhash

from waxwingarch.core.base import Action, HostId
from waxwingarch.core.peers.peer_registry import Peer, PeerRegistry
from waxwingarch.core.peers.report import (
    FollowTables,
    HostReport,
    PullState,
    SendReport,
    SharedTable,
)

# Up to so many hosts each follows the tables: their calls cost little.
ALL_FOLLOW: Final = 12
FOLLOWERS: Final = 3
# A call that the store holds returns after this long without a change. A
# few followers keep it short: each return confirms what many believe.
LONG_POLL_S: Final = 3.0
FOLLOWER_HOLD_S: Final = 1.0
# Beliefs that nobody confirmed for this long may be old: half of the time
# in which a leaving server must get no more requests.
STALE_AFTER_S: Final = 1.5
FOLLOW_AT_LEAST_S: Final = 1.0
# A host that follows the tables asks a peer for what is newer only when
# its own call has not brought it after this long.
PULL_AFTER_S: Final = 0.7
# So many hosts that would take the duties next hear of all usage; in a
# small fleet all do.
STANDBYS: Final = 5

# Weights that are kept: those of a large fleet for each salt.
MOST_WEIGHTS: Final = 4096

_DUTY_SALT: Final = ""
_FOLLOW_SALT: Final = "/follow"


class ReportGossip:
    """The other hosts, and whether what is believed is still true.

    Times are on the boot clock, which also runs while the machine is
    suspended.
    """

    def __init__(self, own: HostId) -> None:
        self._own = own
        self.peers = PeerRegistry(own)
        self._sequence = 0
        self._behind_since: float | None = None
        self._checked: dict[SharedTable, float] = {}
        self._fresh_at = float("-inf")
        self._follow_until = float("-inf")
        self._following: FollowTables | None = None

    @property
    def follows(self) -> bool:
        """Whether this host asks the store for changes."""
        return self._following is None or self._following.follow

    # Freshness

    def checked(self, boot_now: float, table: SharedTable) -> None:
        """Note that the store confirmed what is known of a table."""
        self._checked[table] = boot_now
        if len(self._checked) == len(SharedTable):
            self._fresh_at = max(self._fresh_at, min(self._checked.values()))

    def age_s(self, boot_now: float) -> float:
        """Return how long ago the beliefs were surely the newest."""
        return boot_now - self._fresh_at

    def follow(
        self, now: float, boot_now: float, *, stopping: bool
    ) -> list[Action]:
        """Decide whether to follow the tables; tells of a change."""
        small = self.peers.known_host_count <= ALL_FOLLOW
        if self.age_s(boot_now) > STALE_AFTER_S:
            self._follow_until = boot_now + FOLLOW_AT_LEAST_S
        chosen = not stopping and self.rank(now, _FOLLOW_SALT) < FOLLOWERS
        wanted = FollowTables(
            follow=small or chosen or boot_now < self._follow_until,
            hold_s=LONG_POLL_S if small else FOLLOWER_HOLD_S,
        )
        if wanted == self._following:
            return []
        self._following = wanted
        return [wanted]

    # Reports

    def received(
        self,
        now: float,
        boot_now: float,
        report: HostReport,
        mine: tuple[int, int],
    ) -> list[Action]:
        """Compare a peer's beliefs with this host's.

        `mine` are the versions of the configuration and the listing.
        """
        theirs = (report.config_version, report.listing_version)
        if theirs == mine:
            fresh_at = boot_now - report.confirmed_age_s
            self._fresh_at = max(self._fresh_at, fresh_at)
        behind = theirs[0] > mine[0] or theirs[1] > mine[1]
        if not behind:
            return []
        if self.follows:
            if self._behind_since is None:
                self._behind_since = now
            if now - self._behind_since < PULL_AFTER_S:
                return []
        self._behind_since = None
        return [PullState(address=report.address)]

    def send(
        self,
        now: float,
        own: Callable[[], HostReport],
        *,
        all_at_once: bool = False,
    ) -> list[Action]:
        """Send this host's report to whose turn it is.

        Only those who may hold the duties get the counts of usage. `own`
        returns the report; it is asked for only if it is sent.
        """
        due = self.peers.due(now, all_at_once=all_at_once)
        if not due:
            return []
        self._sequence += 1
        report = replace(own(), sequence=self._sequence)
        wanted, others = due, []
        if self.peers.known_host_count > ALL_FOLLOW:
            counting = self._counting(now)
            wanted = [p for p in due if _host_of(p) in counting]
            others = [p for p in due if _host_of(p) not in counting]
        actions: list[Action] = []
        if wanted:
            actions.append(_send(report, wanted))
        if others:
            actions.append(_send(replace(report, usage_counts=None), others))
        return actions

    def _counting(self, now: float) -> set[HostId | None]:
        """Return the holder of the duties and who may be next.

        A host that was not heard yet may be one of them.
        """
        alive = self._candidates(now)
        hosts = sorted(
            (r.host for r in alive),
            key=lambda host: _weight(host, _DUTY_SALT),
            reverse=True,
        )
        holders = {r.host for r in alive if r.holds_duties}
        return {None, *hosts[:STANDBYS], *holders}

    def _candidates(self, now: float) -> list[HostReport]:
        return [r for r in self.peers.live_reports(now) if not r.draining]

    def rank(self, now: float, salt: str = _DUTY_SALT) -> int:
        """Return this host's place among those that may take a task."""
        own = _weight(self._own, salt)
        hosts = [r.host for r in self._candidates(now)]
        return sum(_weight(host, salt) > own for host in hosts)


def _host_of(peer: Peer) -> HostId | None:
    return peer.report.host if peer.report else None


def _send(report: HostReport, peers: Iterable[Peer]) -> SendReport:
    addresses = tuple(peer.address for peer in peers)
    return SendReport(report=report, addresses=addresses)


@lru_cache(maxsize=MOST_WEIGHTS)
def _weight(host: HostId, salt: str) -> int:
    return int(xxhash.xxh3_64_intdigest(f"{host}{salt}".encode()))
