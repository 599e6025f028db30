"""Servers that are avoided because several other hosts avoid them."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from waxwingarch.core.base import FailureDomain, HostId, ServerId

# A host's report counts for this long: later its own requests have tried
# the server again, and its next report says how they went.
EVIDENCE_VALID_S: Final = 3.0
# Hosts of this many failure domains have to agree, since all hosts of one
# domain may be cut off from servers that are healthy.
MIN_AGREEING_DOMAINS: Final = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class _Report:
    domain: FailureDomain
    received_at: float


class PeerEvidence:
    """The servers that other hosts avoid.

    Each host reports only what its own requests showed, so that hosts
    don't confirm each other's reports.
    """

    def __init__(self) -> None:
        self._reports: dict[ServerId, dict[HostId, _Report]] = {}
        self._avoided_by: dict[HostId, frozenset[ServerId]] = {}
        self._avoided_in: Mapping[FailureDomain, frozenset[ServerId]] = {}
        self._covered: frozenset[HostId] = frozenset()

    def record_avoided(
        self,
        now: float,
        host: HostId,
        domain: FailureDomain,
        avoided: Iterable[ServerId],
    ) -> None:
        """Record the servers that a host avoids, in place of earlier ones."""
        self.forget_peer(host)
        server_ids = frozenset(avoided)
        report = _Report(domain=domain, received_at=now)
        for server_id in server_ids:
            self._reports.setdefault(server_id, {})[host] = report
        if server_ids:
            self._avoided_by[host] = server_ids

    def record_sums(
        self,
        avoided: Mapping[FailureDomain, frozenset[ServerId]],
        covered: frozenset[HostId],
    ) -> None:
        """Replace what sums say that hosts of each domain avoid.

        The reports of the hosts that the sums cover do not count meanwhile.
        """
        self._avoided_in = avoided
        self._covered = covered

    def forget_peer(self, host: HostId) -> None:
        """Drop what a host reported."""
        for server_id in self._avoided_by.pop(host, ()):
            reports = self._reports[server_id]
            del reports[host]
            if not reports:
                del self._reports[server_id]

    def is_avoided(self, now: float, server_id: ServerId) -> bool:
        """Return whether hosts of several domains avoid a server now."""
        domains = {
            report.domain
            for host, report in self._reports.get(server_id, {}).items()
            if host not in self._covered
            and now - report.received_at <= EVIDENCE_VALID_S
        }
        domains.update(
            domain
            for domain, avoided in self._avoided_in.items()
            if server_id in avoided
        )
        return len(domains) >= MIN_AGREEING_DOMAINS
