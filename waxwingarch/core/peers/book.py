"""The other hosts, as their reports show them."""

from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median
from typing import Final

from waxwingarch.core.base import HostId
from waxwingarch.core.peers.report import HostReport, HostsListed

# A host is alive while its last report is no older.
ALIVE_S: Final = 3.0
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
    clock_ahead_s: float = 0.0


class PeerBook:
    """Who the other hosts are and what they last said."""

    def __init__(self, own: HostId) -> None:
        self._own = own
        self._peers: dict[HostId, Peer] = {}
        self._ended: list[tuple[float, HostReport]] = []

    def listed(self, now: float, event: HostsListed) -> None:
        """Take the addresses that hosts wrote down."""
        for host, address in event.addresses.items():
            if host == self._own:
                continue
            known = self._peers.get(host)
            if known is None:
                self._peers[host] = Peer(address=address, known_at=now)
            elif now - known.heard_at > ALIVE_S:
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
            self._ended.append((now, last))
        peer.address = report.address
        peer.heard_at = now
        peer.report = report
        peer.clock_ahead_s = report.unix_now - unix_now
        return True

    def due(self, now: float) -> list[str]:
        """Return the addresses that a report goes to now."""
        due = []
        for host, peer in list(self._peers.items()):
            last = max(peer.heard_at, peer.known_at)
            if now - last > DROP_AFTER_S:
                del self._peers[host]
            elif now - last <= ALIVE_S or now - peer.sent_at >= RETRY_S:
                peer.sent_at = now
                due.append(peer.address)
        return due

    def alive(self, now: float) -> list[HostReport]:
        """Return the last reports of the hosts that are alive."""
        return [
            peer.report
            for peer in self._peers.values()
            if peer.report is not None and now - peer.heard_at <= ALIVE_S
        ]

    def last_words(self, now: float) -> list[HostReport]:
        """Return the last report of each process, also of ended ones."""
        self._ended = [
            (at, report)
            for at, report in self._ended
            if now - at < DROP_AFTER_S
        ]
        known = [p.report for p in self._peers.values() if p.report]
        return known + [report for _, report in self._ended]

    def silent(self, now: float) -> Iterable[HostId]:
        """Return the hosts that are not heard of any more."""
        return [
            host
            for host, peer in self._peers.items()
            if now - peer.heard_at > ALIVE_S
        ]

    def fleet(self, now: float) -> int:
        """Return how many hosts there are, this one included."""
        return 1 + len(self.alive(now))

    @property
    def known(self) -> int:
        """Return how many hosts are known, this one included."""
        return 1 + len(self._peers)

    def clock_ahead_s(self, now: float) -> float:
        """Return by how much the hosts' common time is ahead of ours.

        The median stands against clocks that jumped on some hosts.
        """
        offsets = [
            peer.clock_ahead_s
            for peer in self._peers.values()
            if now - peer.heard_at <= ALIVE_S
        ]
        return median([0.0, *offsets])
