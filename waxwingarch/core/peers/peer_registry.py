"""Registry of the other hosts and of the last report of each."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from statistics import median
from typing import Final

from waxwingarch.core.base import HostId
from waxwingarch.core.peers.report import (
    HostReport,
    HostsListed,
    WindowCounts,
)

# A host is alive while its last report is no older than this duration, or
# than this number of report rounds if that is longer.
LIVENESS_TIMEOUT_S: Final = 3.0
LIVENESS_TIMEOUT_ROUNDS: Final = 3.0
# Each host gets a report once in this interval.
REPORT_INTERVAL_S: Final = 0.2
# A step sends to at most this many hosts, so that reports don't fill small
# links: in a large fleet a round takes several steps and longer than the
# interval.
MAX_RECIPIENTS_PER_STEP: Final = 12
# Where sums tell the hosts about each other, a step sends whole reports to
# this many hosts, and to those that need them sooner.
FEW_RECIPIENTS_PER_STEP: Final = 2
# The time between two steps: the node's tick.
SEND_STEP_S: Final = 0.1
# A host from which no reports come gets one in this interval, in case it
# is back.
UNREACHABLE_INTERVAL_S: Final = 2.0
# A host that was silent for this long is dropped from the registry.
DROP_PEER_AFTER_S: Final = 60.0


@dataclass(kw_only=True, slots=True)
class Peer:
    """One other host.

    `discovered_at` is when its address became known, `last_seen_at` when
    its last report was received. `usage_counts` are those of its current
    process. `clock_offset_s` is by how much its time of day was ahead of
    this host's.
    """

    address: str
    discovered_at: float
    last_seen_at: float = float("-inf")
    last_sent_at: float = float("-inf")
    last_report: HostReport | None = None
    usage_counts: WindowCounts = field(default_factory=dict)
    clock_offset_s: float = 0.0


class PeerRegistry:
    """The known hosts, which of them are alive, and who gets a report next."""

    def __init__(self, own_host: HostId) -> None:
        self._own_host = own_host
        self._peers: dict[HostId, Peer] = {}
        self._ended_usage_counts: list[tuple[float, WindowCounts]] = []
        # Hosts that are listed in the store, this one included. Unlike the
        # peers, they are not dropped when they are silent.
        self.listed_host_count = 0
        self._offset_as_of = float("nan")
        self._offset_s = 0.0

    def record_addresses(self, now: float, event: HostsListed) -> None:
        """Record the addresses that hosts registered in the store.

        The address in a live host's reports takes precedence.
        """
        self.listed_host_count = len(event.addresses.keys() | {self._own_host})
        for host, address in event.addresses.items():
            if host == self._own_host:
                continue
            known = self._peers.get(host)
            if known is None:
                self._peers[host] = Peer(address=address, discovered_at=now)
            elif now - known.last_seen_at > self._liveness_timeout_s:
                known.address = address

    def record_report(
        self, now: float, report: HostReport, unix_now: float
    ) -> bool:
        """Record a host's report; returns False if it is not the newest.

        A higher incarnation means that the host has restarted: the usage
        counts of its earlier process are kept apart, as its new reports
        do not include them.
        """
        if report.host == self._own_host:
            return False
        peer = self._peers.get(report.host)
        if peer is None:
            peer = Peer(address=report.address, discovered_at=now)
            self._peers[report.host] = peer
        last = peer.last_report
        if last is not None and (last.incarnation, last.sequence) >= (
            report.incarnation,
            report.sequence,
        ):
            return False
        if last is not None and last.incarnation < report.incarnation:
            self._ended_usage_counts.append((now, peer.usage_counts))
            peer.usage_counts = {}
        peer.address = report.address
        peer.last_seen_at = now
        peer.last_report = report
        if report.usage_counts is not None:
            peer.usage_counts = report.usage_counts
        peer.clock_offset_s = report.unix_now - unix_now
        self._offset_as_of = float("nan")
        return True

    def record_heard(self, hosts: Iterable[HostId], heard_at: float) -> None:
        """Record that a collector heard these hosts at some time.

        A host is live only if its own report is known as well.
        """
        for host in hosts:
            peer = self._peers.get(host)
            if peer is not None and peer.last_report is not None:
                peer.last_seen_at = max(peer.last_seen_at, heard_at)

    def get(self, host: HostId) -> Peer | None:
        """Return another host, if it is known."""
        return self._peers.get(host)

    @property
    def round_s(self) -> float:
        """Return how long it takes to send a report to every host."""
        turns = len(self._peers) / MAX_RECIPIENTS_PER_STEP
        return max(REPORT_INTERVAL_S, turns * SEND_STEP_S)

    def next_recipients(
        self,
        now: float,
        *,
        all_at_once: bool = False,
        few_except: Collection[HostId | None] | None = None,
    ) -> list[Peer]:
        """Return the hosts that get a report now, longest waiting first.

        They are recorded as sent to. Hosts that were silent for too long
        are dropped. With `few_except`, few hosts get a report, and those
        that ask for reports or are in it get theirs once in a round; None
        stands for the hosts without a report.
        """
        recipients = []
        liveness_timeout_s = self._liveness_timeout_s
        for host, peer in list(self._peers.items()):
            if (
                now - max(peer.last_seen_at, peer.discovered_at)
                > DROP_PEER_AFTER_S
            ):
                del self._peers[host]
                continue
            is_reachable = (
                now - peer.last_seen_at <= liveness_timeout_s
                or peer.last_report is None
            )
            interval_s = (
                REPORT_INTERVAL_S if is_reachable else UNREACHABLE_INTERVAL_S
            )
            if all_at_once or now - peer.last_sent_at >= interval_s:
                recipients.append(peer)
        if not all_at_once:
            recipients.sort(key=lambda peer: peer.last_sent_at)
            if few_except is not None:
                recipients = self._few(now, recipients, few_except)
            recipients = recipients[:MAX_RECIPIENTS_PER_STEP]
        for peer in recipients:
            peer.last_sent_at = now
        return recipients

    def _few(
        self,
        now: float,
        due: list[Peer],
        needing: Collection[HostId | None],
    ) -> list[Peer]:
        """Return the peers that need reports soon, and a few others."""
        round_s = self.round_s
        soon, others = [], []
        for peer in due:
            report = peer.last_report
            if (report.host if report else None) in needing or (
                report is not None and report.wants_reports
            ):
                if now - peer.last_sent_at >= round_s:
                    soon.append(peer)
            else:
                others.append(peer)
        return soon + others[:FEW_RECIPIENTS_PER_STEP]

    @property
    def _liveness_timeout_s(self) -> float:
        """How old the last report of a live host may be."""
        return max(LIVENESS_TIMEOUT_S, LIVENESS_TIMEOUT_ROUNDS * self.round_s)

    def _live_peers(self, now: float) -> list[Peer]:
        since = now - self._liveness_timeout_s
        return [p for p in self._peers.values() if p.last_seen_at >= since]

    def live_reports(self, now: float) -> list[HostReport]:
        """Return the last report of each live host."""
        live_peers = self._live_peers(now)
        return [p.last_report for p in live_peers if p.last_report is not None]

    def usage_counts(self, now: float) -> list[WindowCounts]:
        """Return the usage counts of each process, also of ended ones."""
        self._ended_usage_counts = [
            (at, counts)
            for at, counts in self._ended_usage_counts
            if now - at < DROP_PEER_AFTER_S
        ]
        current = [peer.usage_counts for peer in self._peers.values()]
        return current + [counts for _, counts in self._ended_usage_counts]

    def silent_hosts(self, now: float) -> Iterable[HostId]:
        """Return the known hosts from which no reports come any more."""
        since = now - self._liveness_timeout_s
        return [h for h, p in self._peers.items() if p.last_seen_at < since]

    def live_host_count(self, now: float) -> int:
        """Return how many hosts are alive, this one included."""
        return 1 + len(self.live_reports(now))

    @property
    def known_host_count(self) -> int:
        """Return how many hosts are known, this one included."""
        return 1 + len(self._peers)

    @property
    def is_fleet_known(self) -> bool:
        """Whether the store or another host told of the hosts there are."""
        return self.listed_host_count > 0 or bool(self._peers)

    def clock_offset_s(self, now: float) -> float:
        """Return by how much the hosts' common time is ahead of this host's.

        It is the median over the live hosts, so that clocks that jumped on
        some of them don't shift it.
        """
        if now != self._offset_as_of:
            offsets = [peer.clock_offset_s for peer in self._live_peers(now)]
            self._offset_s = median([0.0, *offsets])
            self._offset_as_of = now
        return self._offset_s
