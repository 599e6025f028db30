"""What the other hosts' requests showed of servers."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from waxwingarch.core.base import FailureDomain, HostId, ServerId

# A host's word counts for so long after its report: its requests soon
# try the server again.
EVIDENCE_VALID_S: Final = 3.0
# Hosts of so many failure domains have to agree: one domain's hosts may
# all be cut off from servers that are sound.
DOMAINS_AGREE: Final = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class _Word:
    domain: FailureDomain
    heard_at: float


class PeerEvidence:
    """Servers that other hosts avoid, each by its own requests."""

    def __init__(self) -> None:
        self._words: dict[ServerId, dict[HostId, _Word]] = {}
        self._told: dict[HostId, frozenset[ServerId]] = {}

    def record_avoided(
        self,
        now: float,
        host: HostId,
        domain: FailureDomain,
        avoided: Iterable[ServerId],
    ) -> None:
        """Take which servers a host avoids; replaces its last word."""
        self.forget_peer(host)
        told = frozenset(avoided)
        word = _Word(domain=domain, heard_at=now)
        for server_id in told:
            self._words.setdefault(server_id, {})[host] = word
        if told:
            self._told[host] = told

    def forget_peer(self, host: HostId) -> None:
        """Forget a host's word."""
        for server_id in self._told.pop(host, ()):
            words = self._words[server_id]
            del words[host]
            if not words:
                del self._words[server_id]

    def is_avoided(self, now: float, server_id: ServerId) -> bool:
        """Tell whether hosts of several domains avoid a server now."""
        words = self._words.get(server_id)
        if words is None:
            return False
        domains = {
            word.domain
            for word in words.values()
            if now - word.heard_at <= EVIDENCE_VALID_S
        }
        return len(domains) >= DOMAINS_AGREE
