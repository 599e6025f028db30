"""Chooses the peer that serves what a host can't send to a server itself."""

from collections import Counter
from collections.abc import Callable, Collection, Iterable
from typing import Final

from waxwingarch.core.base import (
    FailureDomain,
    HostId,
    Server,
    ServerId,
    ServerKind,
    ServiceId,
    VersionId,
)
from waxwingarch.core.peers.report import HostReport
from waxwingarch.core.randomness import RandomSource

# A host relays at most this many requests at a time to one peer.
MAX_RELAYS_PER_PEER: Final = 128
# A host serves at most this many relayed requests at a time.
MAX_RELAYED_REQUESTS: Final = 256


class PeerSelector:
    """Chooses among the live peers, by the relays of this host to each."""

    def __init__(
        self,
        own_domain: FailureDomain,
        live_reports: Callable[[float], Iterable[HostReport]],
        rng: RandomSource,
    ) -> None:
        self._own_domain = own_domain
        self._live_reports = live_reports
        self._rng = rng
        self._in_progress: Counter[HostId] = Counter()

    def choose(
        self, now: float, service: ServiceId, exclude: Collection[HostId]
    ) -> HostReport | None:
        """Return a peer with a path to a service; None if there is none.

        The peer with the fewest relays is chosen, of these one in the own
        failure domain, and one at random among equals.
        """
        candidates = [
            report
            for report in self._live_reports(now)
            if not report.draining
            and service not in report.lost_services
            and report.host not in exclude
            and self._in_progress[report.host] < MAX_RELAYS_PER_PEER
        ]
        return min(
            candidates,
            key=lambda r: (
                self._in_progress[r.host],
                r.domain != self._own_domain,
                self._rng.random(),
            ),
            default=None,
        )

    def begin(self, host: HostId) -> None:
        """Count a relay to a peer."""
        self._in_progress[host] += 1

    def end(self, host: HostId) -> None:
        """Count the end of a relay."""
        self._in_progress[host] -= 1


def relay_server_id(host: HostId) -> ServerId:
    """Return the id that stands for a peer among the servers of a request."""
    return ServerId(f"host/{host}")


def as_server(report: HostReport, service: ServiceId) -> Server:
    """Return a peer as the server that a request is sent to."""
    return Server(
        server_id=relay_server_id(report.host),
        address=report.address,
        failure_domain=report.domain,
        service=service,
        kind=ServerKind.PLAIN,
        version=VersionId(""),
        machine_class="",
        reclaimable=False,
        price=0.0,
        slots=0,
        incarnation=report.incarnation,
    )
