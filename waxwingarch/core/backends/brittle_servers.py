"""Servers that fall over if they have to reject many requests.

While a service says that its servers are brittle, each host keeps to its
own part of a server's slots, so that their sum stays below the slots
without any message: a rejected request would come too late to learn from.
"""

from dataclasses import dataclass
from typing import Final

from waxwingarch.core.base import Action, Event, Server, ServiceId
from waxwingarch.core.peers.rank import HostRanks

# The part of the slots that is used: a server notices a moment later than
# its host that a request has ended.
USED_SLOTS_RATIO: Final = 0.9
# A service that no response has called brittle for this long is not.
BRITTLE_VALID_S: Final = 10.0
# A host reports what its responses said within this time, so that one that
# has no more requests does not remind the others of what has ended.
REPORTED_FOR_S: Final = 1.0
# What a peer reports holds until its next reports.
PEER_VALID_S: Final = 3.0
# When callers come back that find no room.
ROOM_WAIT_S: Final = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class BrittlenessSeen(Event):
    """A response told whether its server is brittle.

    `rejections_per_s` is how many it survives, None if it is not brittle.
    `sent_at` is when the request of the response was sent.
    """

    server: Server
    rejections_per_s: float | None
    sent_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class BrittlenessChanged(Action):
    """The servers of a service are brittle, or no longer.

    `rejections_per_s` is as in `BrittlenessSeen`.
    """

    service: ServiceId
    rejections_per_s: float | None


@dataclass(kw_only=True, slots=True)
class _Statement:
    """When a service was last called brittle, and last not."""

    brittle_at: float = float("-inf")
    sound_at: float = float("-inf")
    told_by_peer_at: float = float("-inf")

    def is_own(self, now: float) -> bool:
        """Return whether a response to this host called it brittle."""
        return (
            self.brittle_at > self.sound_at
            and now - self.brittle_at <= BRITTLE_VALID_S
        )

    def is_brittle(self, now: float) -> bool:
        """Return whether a response or a peer calls it brittle."""
        told = (
            self.told_by_peer_at > self.sound_at
            and now - self.told_by_peer_at <= PEER_VALID_S
        )
        return told or self.is_own(now)


class BrittleServers:
    """The services whose servers are brittle, and this host's room there."""

    def __init__(self, ranks: HostRanks) -> None:
        """Start without any; `ranks` tells who shares the slots."""
        self._ranks = ranks
        self._statements: dict[ServiceId, _Statement] = {}

    def __len__(self) -> int:
        return len(self._statements)

    def is_brittle(self, now: float, service: ServiceId) -> bool:
        """Return whether the servers of a service are brittle."""
        statement = self._statements.get(service)
        return statement is not None and statement.is_brittle(now)

    def record_response(self, now: float, event: BrittlenessSeen) -> bool:
        """Record what a response said; returns whether it is a change."""
        service = event.server.service
        was_brittle = self.is_brittle(now, service)
        statement = self._statements.setdefault(service, _Statement())
        if event.rejections_per_s is not None:
            statement.brittle_at = now
        else:
            statement.sound_at = max(statement.sound_at, event.sent_at)
        return was_brittle != self.is_brittle(now, service)

    def record_report(
        self, now: float, services: tuple[ServiceId, ...]
    ) -> None:
        """Record the services that responses to a peer called brittle."""
        for service in services:
            statement = self._statements.setdefault(service, _Statement())
            statement.told_by_peer_at = now

    def reported(self, now: float) -> tuple[ServiceId, ...]:
        """Return what responses to this host said, for its reports."""
        return tuple(
            service
            for service, statement in sorted(self._statements.items())
            if statement.is_own(now)
            and now - statement.brittle_at <= REPORTED_FOR_S
        )

    def has_room(self, now: float, server: Server, own_running: int) -> bool:
        """Return whether this host may send a server one more request."""
        if not self.is_brittle(now, server.service):
            return True
        return own_running < self._own_slots(server)

    def _own_slots(self, server: Server) -> int:
        """Return this host's part of a server's slots."""
        rank = self._ranks.rank(f"/slots/{server.server_id}")
        if rank is None:
            return 0
        slots = max(1, int(server.slots * USED_SLOTS_RATIO))
        used = int(slots * self._ranks.heard_ratio)
        part, rest = divmod(used, len(self._ranks.hosts))
        return part + (rank < rest)
