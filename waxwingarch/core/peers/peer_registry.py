"""The other hosts, as their reports show them."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from statistics import median
from typing import Final

from waxwingarch.core.base import HostId
from waxwingarch.core.peers.report import (
    HostReport,
    HostsListed,
    WindowCounts,
)

# A host is alive while its last report is no older, nor older than this
# many rounds of reports.
ALIVE_S: Final = 3.0
ALIVE_ROUNDS: Final = 3.0
# A report goes to each host this often, and to so many at once: in a large
# fleet a round takes longer instead of filling small links.
REPORT_EVERY_S: Final = 0.2
MOST_AT_ONCE: Final = 12
TURN_S: Final = 0.1
# An address that does not answer gets a report this often, in case its
# host comes back; a host unheard for long is dropped.
RETRY_S: Final = 2.0
DROP_AFTER_S: Final = 60.0


@dataclass(kw_only=True, slots=True)
class Peer:
    """One other host."""

    address: str
    known_at: float
    heard_at: float = float("-inf")
    sent_at: float = float("-inf")
    report: HostReport | None = None
    usage_counts: WindowCounts = field(default_factory=dict)
    clock_ahead_s: float = 0.0


class PeerRegistry:
    """Who the other hosts are and what they last said."""

    def __init__(self, own: HostId) -> None:
        self._own = own
        self._peers: dict[HostId, Peer] = {}
        self._ended: list[tuple[float, WindowCounts]] = []

    def listed(self, now: float, event: HostsListed) -> None:
        """Take the addresses that hosts wrote down."""
        for host, address in event.addresses.items():
            if host == self._own:
                continue
            known = self._peers.get(host)
            if known is None:
                self._peers[host] = Peer(address=address, known_at=now)
            elif now - known.heard_at > self._alive_s:
                known.address = address

    def received(
        self, now: float, report: HostReport, unix_now: float
    ) -> bool:
        """Take a report; False if a newer one is known."""
        if report.host == self._own:
            return False
        peer = self._peers.get(report.host)
        if peer is None:
            peer = Peer(address=report.address, known_at=now)
            self._peers[report.host] = peer
        last = peer.report
        if last is not None and (last.incarnation, last.sequence) >= (
            report.incarnation,
            report.sequence,
        ):
            return False
        if last is not None and last.incarnation < report.incarnation:
            self._ended.append((now, peer.usage_counts))
            peer.usage_counts = {}
        peer.address = report.address
        peer.heard_at = now
        peer.report = report
        if report.usage_counts is not None:
            peer.usage_counts = report.usage_counts
        peer.clock_ahead_s = report.unix_now - unix_now
        return True

    @property
    def round_s(self) -> float:
        """Return how long it takes until all hosts had a report."""
        turns = len(self._peers) / MOST_AT_ONCE
        return max(REPORT_EVERY_S, turns * TURN_S)

    def due(self, now: float, *, all_at_once: bool = False) -> list[Peer]:
        """Return whom a report goes to now, the longest waiting first."""
        due = []
        limit_s = self._alive_s
        for host, peer in list(self._peers.items()):
            if now - max(peer.heard_at, peer.known_at) > DROP_AFTER_S:
                del self._peers[host]
                continue
            fresh = now - peer.heard_at <= limit_s or peer.report is None
            pause_s = REPORT_EVERY_S if fresh else RETRY_S
            if all_at_once or now - peer.sent_at >= pause_s:
                due.append(peer)
        if not all_at_once:
            due.sort(key=lambda peer: peer.sent_at)
            due = due[:MOST_AT_ONCE]
        for peer in due:
            peer.sent_at = now
        return due

    @property
    def _alive_s(self) -> float:
        """How old the last report of a host may be that is alive."""
        return max(ALIVE_S, ALIVE_ROUNDS * self.round_s)

    def _living(self, now: float) -> list[Peer]:
        since = now - self._alive_s
        return [p for p in self._peers.values() if p.heard_at >= since]

    def live_reports(self, now: float) -> list[HostReport]:
        """Return the last reports of the hosts that are alive."""
        living = self._living(now)
        return [p.report for p in living if p.report is not None]

    def usage_counts(self, now: float) -> list[WindowCounts]:
        """Return the counts of each process, also of ended ones."""
        self._ended = [
            (at, began) for at, began in self._ended if now - at < DROP_AFTER_S
        ]
        known = [peer.usage_counts for peer in self._peers.values()]
        return known + [began for _, began in self._ended]

    def silent(self, now: float) -> Iterable[HostId]:
        """Return the hosts that are not heard of any more."""
        since = now - self._alive_s
        return [h for h, p in self._peers.items() if p.heard_at < since]

    def live_host_count(self, now: float) -> int:
        """Return how many hosts there are, this one included."""
        return 1 + len(self.live_reports(now))

    @property
    def known_host_count(self) -> int:
        """Return how many hosts are known, this one included."""
        return 1 + len(self._peers)

    def clock_ahead_s(self, now: float) -> float:
        """Return by how much the hosts' common time is ahead of ours.

        The median stands against clocks that jumped on some hosts.
        """
        offsets = [peer.clock_ahead_s for peer in self._living(now)]
        return median([0.0, *offsets])
