"""Request rates that backend servers name as the most that they take.

The limit of a server holds for all hosts together. A few hosts, its owners,
divide it among them, and the others send it nothing. All hosts with the
same peers agree on the owners, by a hash. Each owner spaces its requests.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from math import floor
from typing import Final

from waxwingarch.core.backends.registry import BackendRegistry
from waxwingarch.core.base import Action, Event, Server, ServerId
from waxwingarch.core.peers.rank import HostRanks

# A server whose limit is lower still gets this, as only its responses tell
# that the limit has ended.
MIN_RATE_PER_S: Final = 0.1
# A server has an owner for each request a second that it takes, and these
# more, so that more hosts can use it.
EXTRA_OWNERS: Final = 2
# Requests may come earlier than their even spacing by this much.
BURST_S: Final = 0.25
# A limit that no response has named for this long gets other owners: those
# that it has may have no requests for it.
OWNERS_CHANGE_AFTER_S: Final = 10.0
# The end of a limit is reported to the peers for this long.
END_REPORTED_S: Final = 10.0
# A report has to fit into one datagram.
MAX_REPORTED_LIMITS: Final = 32
# The wait for a server to which only other hosts may send: a caller that
# comes back mostly reaches another host.
OTHER_HOST_WAIT_S: Final = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerLimitSeen(Event):
    """A response told which rate a server takes from all hosts together.

    `per_s` is in requests a second, None if the response named no limit.
    `sent_at` is when the request of the response was sent.
    """

    server: Server
    per_s: float | None
    sent_at: float


class LimitSource(StrEnum):
    """How this host learnt of a server's limit."""

    RESPONSE = "response"
    PEER = "peer"


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerLimitChanged(Action):
    """A server has a new limit, or none any more if `per_s` is None."""

    server_id: ServerId
    per_s: float | None
    source: LimitSource
    age_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitStatement:
    """What one incarnation of a server said of its limit.

    `as_of` is on the node's clock: the server said it then or later.
    """

    incarnation: int
    per_s: float | None
    as_of: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportedLimit:
    """A `LimitStatement` in a report, with its age in place of a time."""

    incarnation: int
    per_s: float | None
    age_s: float


@dataclass(kw_only=True, slots=True)
class _KnownLimit:
    """The newest statement, and this host's share of the limit.

    `is_own` says that a response to this host made the statement. From
    `free_at` on, this host may send the next request; None if it is not
    an owner. `interval_s` is the even spacing of its requests.
    """

    statement: LimitStatement
    is_own: bool
    interval_s: float = 0.0
    free_at: float | None = None


class ServerLimits:
    """The limits that servers named, and this host's shares of them."""

    def __init__(self, ranks: HostRanks, registry: BackendRegistry) -> None:
        """Start without limits; `ranks` tells who may be an owner."""
        self._ranks = ranks
        self._registry = registry
        self._known: dict[ServerId, _KnownLimit] = {}

    def __len__(self) -> int:
        return len(self._known)

    def limit_of(self, server_id: ServerId) -> float | None:
        """Return a server's limit in requests a second; None without one."""
        known = self._known.get(server_id)
        return known.statement.per_s if known else None

    def share_of(self, server_id: ServerId) -> float | None:
        """Return this host's share of a limit, in requests a second."""
        known = self._known.get(server_id)
        if known is None or known.statement.per_s is None:
            return None
        return 0.0 if known.free_at is None else 1 / known.interval_s

    # Statements

    def record_response(
        self, now: float, event: ServerLimitSeen
    ) -> list[Action]:
        """Record what a response said; returns the change, if it is one.

        A response without a limit ends an earlier one only if its request
        was sent after that was named.
        """
        statement = LimitStatement(
            incarnation=event.server.incarnation,
            per_s=event.per_s,
            as_of=now if event.per_s is not None else event.sent_at,
        )
        return self._record(
            now, event.server.server_id, statement, LimitSource.RESPONSE
        )

    def record_report(
        self, now: float, reported: Mapping[ServerId, ReportedLimit]
    ) -> list[Action]:
        """Record what a peer heard itself; returns the changes."""
        changes: list[Action] = []
        for server_id, limit in reported.items():
            statement = LimitStatement(
                incarnation=limit.incarnation,
                per_s=limit.per_s,
                as_of=now - limit.age_s,
            )
            changes += self._record(
                now, server_id, statement, LimitSource.PEER
            )
        return changes

    def _record(
        self,
        now: float,
        server_id: ServerId,
        statement: LimitStatement,
        source: LimitSource,
    ) -> list[Action]:
        backend = self._registry.get(server_id)
        if (
            backend is None
            or backend.server.incarnation != statement.incarnation
        ):
            return []
        known = self._known.get(server_id)
        if known is None and statement.per_s is None:
            return []
        if known is not None and known.statement.as_of >= statement.as_of:
            return []
        previous = known.statement.per_s if known else None
        is_own = source is LimitSource.RESPONSE
        if known is None:
            known = _KnownLimit(statement=statement, is_own=is_own)
            self._known[server_id] = known
        known.statement, known.is_own = statement, is_own
        self._update_share(now, server_id, known)
        if previous == statement.per_s:
            return []
        return [
            ServerLimitChanged(
                server_id=server_id,
                per_s=statement.per_s,
                source=source,
                age_s=now - statement.as_of,
            )
        ]

    def reported(self, now: float) -> dict[ServerId, ReportedLimit]:
        """Return what responses to this host said, for its reports.

        What a peer has heard later is left to the peer.
        """
        own = [
            (server_id, known.statement)
            for server_id, known in self._known.items()
            if known.is_own
            and (
                known.statement.per_s is not None
                or now - known.statement.as_of <= END_REPORTED_S
            )
        ]
        own.sort(key=lambda item: item[1].as_of, reverse=True)
        return {
            server_id: ReportedLimit(
                incarnation=statement.incarnation,
                per_s=statement.per_s,
                age_s=now - statement.as_of,
            )
            for server_id, statement in own[:MAX_REPORTED_LIMITS]
        }

    def forget(self, server_id: ServerId) -> None:
        """Drop the limit of a server that has departed or restarted."""
        self._known.pop(server_id, None)

    # Shares

    def tick(self, now: float) -> None:
        """Update the shares to the hosts that may be owners now."""
        for server_id, known in list(self._known.items()):
            if self._registry.get(server_id) is None:
                del self._known[server_id]
            else:
                self._update_share(now, server_id, known)

    def _update_share(
        self, now: float, server_id: ServerId, known: _KnownLimit
    ) -> None:
        """Set the spacing of this host's requests.

        The part of the hosts that this one does not hear of is left to them.
        A new owner waits for its first request, so that a change of owners
        is no occasion for all of them to send at once.
        """
        per_s = known.statement.per_s
        if per_s is None:
            known.free_at = None
            return
        owners = min(len(self._ranks.hosts), floor(per_s) + EXTRA_OWNERS)
        period = (now - known.statement.as_of) // OWNERS_CHANGE_AFTER_S
        rank = self._ranks.rank(f"/limit/{server_id}/{period:.0f}")
        if rank is None or rank >= owners:
            known.free_at = None
            return
        rate_per_s = max(per_s, MIN_RATE_PER_S) * self._ranks.heard_ratio
        previous_s, known.interval_s = known.interval_s, owners / rate_per_s
        if known.free_at is None:
            known.free_at = now + known.interval_s * (rank + 1) / owners
        elif known.free_at > now:
            # What was sent early stays counted, at the new spacing.
            remaining_s = known.free_at - now
            known.free_at = now + remaining_s * known.interval_s / previous_s

    def wait_s(self, now: float, server_id: ServerId) -> float:
        """Return in how long this host may send a server a request."""
        known = self._known.get(server_id)
        if known is None or known.statement.per_s is None:
            return 0.0
        if known.free_at is None:
            return OTHER_HOST_WAIT_S
        early_s = max(0.0, BURST_S - known.interval_s)
        return max(0.0, known.free_at - early_s - now)

    def take(self, now: float, server_id: ServerId) -> None:
        """Count a request to a server, also one that may not wait."""
        known = self._known.get(server_id)
        if known is not None and known.free_at is not None:
            known.free_at = max(known.free_at, now) + known.interval_s

    def give_back(self, server_id: ServerId) -> None:
        """Return the unit of a request that did not reach its server."""
        known = self._known.get(server_id)
        if known is not None and known.free_at is not None:
            known.free_at -= known.interval_s
