"""Request rates that backend servers name as the most that they take.

The limit of a server holds for all hosts together. A few hosts, its owners,
divide it among them, and the others send it nothing. All hosts with the
same peers agree on the owners, by a hash. Each owner spaces its requests.
A limit is named in a response, or holds while a server is cold. The lower
one applies.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from math import ceil, floor
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
# Hosts learn of a change of hosts up to about 0.7 s apart in a large fleet,
# and the bound of a cold server counts the requests of one second. A new
# owner waits for both, so that the former owner has stopped.
OWNER_CHANGE_WAIT_S: Final = 2.0


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

    `is_own` says that a response to this host made the statement.
    `cold_per_s` is the limit while the server is cold, if it is. From
    `free_at` on, this host may send the next request; None if it is not
    an owner. `interval_s` is the even spacing of its requests.
    """

    statement: LimitStatement | None = None
    is_own: bool = False
    cold_per_s: float | None = None
    interval_s: float = 0.0
    free_at: float | None = None

    @property
    def named_per_s(self) -> float | None:
        """The limit that the server named, if it did."""
        return None if self.statement is None else self.statement.per_s

    @property
    def has_limit(self) -> bool:
        """Whether a limit applies."""
        return self.named_per_s is not None or self.cold_per_s is not None


@dataclass(frozen=True, kw_only=True, slots=True)
class _Share:
    """This host's part of a limit, and when it may send its first request."""

    interval_s: float
    first_at: float


class ServerLimits:
    """The limits that servers named, and this host's shares of them."""

    def __init__(self, ranks: HostRanks, registry: BackendRegistry) -> None:
        """Start without limits; `ranks` tells who may be an owner."""
        self._ranks = ranks
        self._registry = registry
        self._known: dict[ServerId, _KnownLimit] = {}
        self._hosts = ranks.hosts
        self._hosts_changed_at = float("-inf")

    def __len__(self) -> int:
        return len(self._known)

    def limit_of(self, server_id: ServerId) -> float | None:
        """Return the limit that a server named, in requests a second."""
        known = self._known.get(server_id)
        return known.named_per_s if known else None

    def is_limited(self, server_id: ServerId) -> bool:
        """Return whether a limit applies to a server, of either kind."""
        known = self._known.get(server_id)
        return known is not None and known.has_limit

    def share_of(self, server_id: ServerId) -> float | None:
        """Return this host's share of a limit, in requests a second."""
        known = self._known.get(server_id)
        if known is None or not known.has_limit:
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
        last = known.statement if known else None
        if last is None and statement.per_s is None:
            return []
        if last is not None and last.as_of >= statement.as_of:
            return []
        previous = last.per_s if last else None
        if known is None:
            known = self._known[server_id] = _KnownLimit()
        known.statement = statement
        known.is_own = source is LimitSource.RESPONSE
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
            and known.statement is not None
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

    # Cold servers

    def set_cold(
        self, now: float, server_id: ServerId, per_s: float | None
    ) -> None:
        """Set the limit of a server while it is cold; None once it is not.

        A response without a limit does not end it.
        """
        known = self._known.get(server_id)
        if known is None:
            if per_s is None:
                return
            known = self._known[server_id] = _KnownLimit()
        if known.cold_per_s == per_s:
            return
        known.cold_per_s = per_s
        if per_s is None and known.statement is None:
            del self._known[server_id]
            return
        self._update_share(now, server_id, known)

    # Shares

    def tick(self, now: float) -> None:
        """Update the shares to the hosts that may be owners now."""
        if self._hosts != self._ranks.hosts:
            self._hosts = self._ranks.hosts
            self._hosts_changed_at = now
        for server_id, known in list(self._known.items()):
            if self._registry.get(server_id) is None:
                del self._known[server_id]
            else:
                self._update_share(now, server_id, known)

    def _update_share(
        self, now: float, server_id: ServerId, known: _KnownLimit
    ) -> None:
        """Set the spacing of this host's requests.

        A new owner waits for its first request, so that a change of owners
        is no occasion for all of them to send at once.
        """
        share = self._share(now, server_id, known)
        if share is None:
            known.free_at = None
            return
        previous_s, known.interval_s = known.interval_s, share.interval_s
        if known.free_at is None:
            known.free_at = share.first_at
        elif known.free_at > now:
            # What was sent early stays counted, at the new spacing.
            remaining_s = known.free_at - now
            known.free_at = now + remaining_s * known.interval_s / previous_s

    def _share(
        self, now: float, server_id: ServerId, known: _KnownLimit
    ) -> _Share | None:
        """Return this host's share of the lower limit; None without one."""
        named_per_s, cold_per_s = known.named_per_s, known.cold_per_s
        if cold_per_s is not None and (
            named_per_s is None or cold_per_s <= named_per_s
        ):
            return self._cold_share(now, server_id, cold_per_s)
        if known.statement is None or named_per_s is None:
            return None
        period = (now - known.statement.as_of) // OWNERS_CHANGE_AFTER_S
        return self._named_share(now, server_id, named_per_s, period)

    def _named_share(
        self, now: float, server_id: ServerId, per_s: float, period: float
    ) -> _Share | None:
        """Return this host's share of a limit that a server named.

        The part of the hosts that this one does not hear of is left to them.
        """
        owners = min(len(self._ranks.hosts), floor(per_s) + EXTRA_OWNERS)
        rank = self._ranks.rank(f"/limit/{server_id}/{period:.0f}")
        if rank is None or rank >= owners:
            return None
        rate_per_s = max(per_s, MIN_RATE_PER_S) * self._ranks.heard_ratio
        interval_s = owners / rate_per_s
        return _Share(
            interval_s=interval_s,
            first_at=now + interval_s * (rank + 1) / owners,
        )

    def _cold_share(
        self, now: float, server_id: ServerId, per_s: float
    ) -> _Share | None:
        """Return this host's share of the limit of a cold server.

        The bound of a cold server counts single seconds. With an owner for
        each request a second, each sends at most one in a second. Hosts that
        do not hear each other may each be the first in rank, so that a hash
        spreads their first requests.
        """
        ratio = self._ranks.fleet_ratio
        task = f"/cold/{server_id}"
        rank = self._ranks.rank(task)
        if rank is None or ratio <= 0:
            return None
        rate_per_s = max(per_s, MIN_RATE_PER_S) * ratio
        owners = min(len(self._ranks.hosts), ceil(rate_per_s))
        if rank >= owners:
            return None
        interval_s = owners / rate_per_s
        begin = max(now, self._hosts_changed_at + OWNER_CHANGE_WAIT_S)
        phase = (rank + self._ranks.own_fraction(task)) / owners
        return _Share(
            interval_s=interval_s, first_at=begin + interval_s * phase
        )

    def wait_s(self, now: float, server_id: ServerId) -> float:
        """Return in how long this host may send a server a request."""
        known = self._known.get(server_id)
        if known is None or not known.has_limit:
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
