"""Registry of backend servers: which are listed, usable or leaving."""

from collections.abc import Container, Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import islice
from typing import Final

from waxwingarch.core.backends.cold_reading import NO_READING, ColdReading
from waxwingarch.core.base import (
    Action,
    Event,
    FailureDomain,
    Server,
    ServerId,
    ServiceId,
)

# Servers that are missing from a listing after an outage of the store
# register again within about two heartbeats after it.
RELIST_GRACE_S: Final = 2.5
# A store that returns from an older copy lists servers that have left since,
# until their heartbeats are missed. An entry that is back after an outage
# counts once it has stayed for this long.
BACK_AFTER_OUTAGE_S: Final = 5.0
# The incarnation of an entry that does not say when its process started.
UNKNOWN_INCARNATION: Final = 0
# A server that was not at its address is tried there again after this time,
# if its entry still stands.
MISDIRECTED_HOLD_S: Final = 10.0
# A report has to fit into one datagram.
MAX_REPORTED_LEAVING: Final = 32


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedBackend:
    """A server as it registered itself.

    `leaves_in_s` is how long a draining server will still serve, if it
    says so, and `cold` how long it is cold.
    """

    server: Server
    draining: bool = False
    leaves_in_s: float | None = None
    cold: ColdReading = NO_READING


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendsListed(Event):
    """A listing of all servers that are registered now.

    `version` grows with each change of the listing. `after_outage` says
    that the store was unavailable, so that servers which are missing may
    still be there.
    """

    version: int
    backends: tuple[ListedBackend, ...]
    after_outage: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class LeavingAnnounced(Event):
    """A server said in a response to this host that it is leaving."""

    server: Server


class LeavingSource(StrEnum):
    """How this host learnt that a server is leaving."""

    LISTING = "listing"
    RESPONSE = "response"
    PEER = "peer"


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendLeaving(Action):
    """A server is leaving; `leaves_at` is on the node's clock, if known."""

    server: Server
    leaves_at: float | None
    source: LeavingSource = LeavingSource.LISTING


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendSuperseded(Action):
    """A later process, `by`, has the address of a server."""

    server: Server
    by: ServerId


@dataclass(frozen=True, kw_only=True, slots=True)
class ListingChange:
    """What a listing changed: servers that leave or have restarted.

    `read` are the entries that differ from the last listing. `appeared` are
    servers that are new, have restarted, or are back after they were gone.
    """

    leaving: list[BackendLeaving]
    restarted: list[ServerId]
    read: list[ListedBackend] = field(default_factory=list)
    appeared: set[ServerId] = field(default_factory=set)


@dataclass(kw_only=True, slots=True)
class Backend:
    """What this host knows of a server.

    `listed_at` is when this incarnation was first listed, and
    `unlisted_since` when a listing first lacked it. `is_lapsed` says that it
    counts as leaving only because its entry was missing, and `back_at` when
    an entry that is back counts. `changed_at` is when its entry last changed,
    and `restarted_at` when it first told of another process under its id.
    """

    server: Server
    listed_at: float
    changed_at: float = float("-inf")
    restarted_at: float = float("-inf")
    leaving_since: float | None = None
    leaves_at: float | None = None
    unlisted_since: float | None = None
    is_lapsed: bool = False
    back_at: float = float("inf")

    @property
    def is_usable(self) -> bool:
        """Whether the server may get new requests, as far as it says."""
        return self.leaving_since is None

    @property
    def has_entry(self) -> bool:
        """Whether its entry stands, or may come back after an outage."""
        return self.unlisted_since is None or self.is_usable


class BackendRegistry:
    """The known servers by id.

    An incarnation that says that it leaves stays leaving. One whose entry
    lapsed is usable again when its entry is back: it may have lost only the
    store for a while. Of the entries with one address, those that are older
    than another get no requests.
    """

    def __init__(self, departed_kept_s: float) -> None:
        """Create an empty registry.

        Departed servers are dropped after `departed_kept_s`.
        """
        self._departed_kept_s = departed_kept_s
        self._backends: dict[ServerId, Backend] = {}
        self._last_listing: dict[ServerId, ListedBackend] = {}
        self._usable_by_service: dict[ServiceId, list[Backend]] | None = None
        # The usable servers of evacuated domains, which get no requests.
        self._evacuated_by_service: dict[ServiceId, list[Backend]] = {}
        self.evacuated_domains: frozenset[FailureDomain] = frozenset()
        self._superseded: dict[ServerId, ServerId] = {}
        self._newly_superseded: list[BackendSuperseded] = []
        self._services: Container[ServiceId] = ()
        # Another process has answered at the addresses of these, which
        # counts until the given times.
        self._misdirected: dict[ServerId, float] = {}
        self._unlisted: set[ServerId] = set()
        self._dropped: list[ServerId] = []
        # Lapsed servers whose entry is back, but does not count yet.
        self._returning: set[ServerId] = set()
        # Servers that announced that they are leaving, by incarnation. The
        # listing does not say so yet.
        self._announced: dict[ServerId, int] = {}
        self.version = 0
        self.last_listed_at = float("-inf")

    def __len__(self) -> int:
        return len(self._backends)

    def get(self, server_id: ServerId) -> Backend | None:
        """Return a server by its id."""
        return self._backends.get(server_id)

    def all_backends(self) -> Iterable[Backend]:
        """Return all servers, including departed ones that are still kept."""
        return self._backends.values()

    def usable_backends(self, service: ServiceId) -> list[Backend]:
        """Return the servers that may get a service's requests, in id order.

        The list is shared; the caller must not change it.
        """
        return self._evaluate().get(service, [])

    def evacuated_backends(self, service: ServiceId) -> list[Backend]:
        """Return the servers that get no requests of a service for now.

        They are usable, but their failure domains are evacuated.
        """
        self._evaluate()
        return self._evacuated_by_service.get(service, [])

    def set_evacuated(self, domains: frozenset[FailureDomain]) -> None:
        """Set the failure domains whose servers get no requests."""
        self.evacuated_domains = domains
        self._usable_by_service = None

    def is_evacuated(self, server: Server) -> bool:
        """Return whether the failure domain of a server is evacuated."""
        return server.failure_domain in self.evacuated_domains

    def has_restarted_since(self, server_id: ServerId, sent_at: float) -> bool:
        """Return whether a request was sent to an earlier process."""
        backend = self._backends.get(server_id)
        return backend is not None and sent_at < backend.restarted_at

    def set_services(self, services: Container[ServiceId]) -> None:
        """Set the services of the configuration.

        An entry of another service may be by another writer, and supersedes
        none.
        """
        self._services = services
        self._usable_by_service = None

    def is_superseded(self, server_id: ServerId) -> bool:
        """Return whether a later process has the address of a server.

        It began after this one, so that this one has ended, though its entry
        still stands.
        """
        self._evaluate()
        return server_id in self._superseded

    def _evaluate(self) -> dict[ServiceId, list[Backend]]:
        """Return the usable servers, evaluated anew after a change."""
        if self._usable_by_service is not None:
            return self._usable_by_service
        known, self._superseded = self._superseded, self._find_superseded()
        self._newly_superseded += (
            BackendSuperseded(server=self._backends[server_id].server, by=by)
            for server_id, by in self._superseded.items()
            if server_id not in known
        )
        usable: dict[ServiceId, list[Backend]] = {}
        evacuated: dict[ServiceId, list[Backend]] = {}
        for server_id, backend in sorted(self._backends.items()):
            if backend.is_usable and server_id not in self._superseded:
                server = backend.server
                found = evacuated if self.is_evacuated(server) else usable
                found.setdefault(server.service, []).append(backend)
        self._evacuated_by_service = evacuated
        self._usable_by_service = usable
        return usable

    def take_superseded(self) -> list[BackendSuperseded]:
        """Return the servers found superseded since the last call."""
        found, self._newly_superseded = self._newly_superseded, []
        return found

    def _find_superseded(self) -> dict[ServerId, ServerId]:
        """Return the servers whose address a later process has, and that."""
        addresses = {b.server.address for b in self._backends.values()}
        if len(addresses) == len(self._backends):
            return {}
        newest: dict[str, Server] = {}
        for server_id, backend in self._backends.items():
            server = backend.server
            if (
                backend.has_entry
                and server_id not in self._misdirected
                and server.service in self._services
            ):
                newest[server.address] = max(
                    newest.get(server.address, server),
                    server,
                    key=lambda each: each.incarnation,
                )
        return {
            server_id: holder.server_id
            for server_id, backend in self._backends.items()
            if (holder := newest.get(backend.server.address)) is not None
            and UNKNOWN_INCARNATION
            < backend.server.incarnation
            < holder.incarnation
        }

    def apply_listing(
        self, now: float, event: BackendsListed
    ) -> ListingChange:
        """Apply a listing; only entries that differ from the last are read."""
        change = ListingChange(leaving=[], restarted=[])
        if event.version < self.version:
            return change
        self.version = event.version
        self.last_listed_at = now
        self._usable_by_service = None
        previous = self._last_listing
        self._last_listing = {b.server.server_id: b for b in event.backends}
        for server_id, listed in self._last_listing.items():
            if previous.get(server_id) is listed:
                continue
            known = self._backends.get(server_id)
            old_incarnation = (
                known.server.incarnation if known else UNKNOWN_INCARNATION
            )
            was_gone = known is None or (
                known.unlisted_since is not None and not known.is_usable
            )
            if self._apply_entry(now, listed, event.after_outage):
                change.leaving.append(self._leaving_action(server_id))
            self._backends[server_id].unlisted_since = None
            self._unlisted.discard(server_id)
            if old_incarnation not in (
                UNKNOWN_INCARNATION,
                self._backends[server_id].server.incarnation,
            ):
                change.restarted.append(server_id)
                was_gone = True
            if was_gone:
                change.appeared.add(server_id)
            if listed.server == self._backends[server_id].server:
                change.read.append(listed)
        for server_id in previous.keys() - self._last_listing.keys():
            if self._mark_unlisted(
                now, self._backends[server_id], event.after_outage
            ):
                change.leaving.append(self._leaving_action(server_id))
        return change

    def announce_leaving(
        self,
        now: float,
        server_id: ServerId,
        incarnation: int,
        source: LeavingSource,
    ) -> list[BackendLeaving]:
        """Mark a server as leaving that said so in a response.

        An announcement of another incarnation is ignored. Returns the
        action if this host did not know it yet.
        """
        backend = self._backends.get(server_id)
        if (
            backend is None
            or backend.server.incarnation != incarnation
            or not backend.is_usable
        ):
            return []
        backend.leaving_since = now
        self._usable_by_service = None
        self._announced[server_id] = incarnation
        return [self._leaving_action(server_id, source)]

    def record_misdirected(
        self, now: float, server_id: ServerId, sent_at: float
    ) -> None:
        """Record that another process answered a request to a server.

        It holds for `MISDIRECTED_HOLD_S`, or until the entry changes, if it
        has not since `sent_at`.
        """
        backend = self._backends.get(server_id)
        if backend is not None and sent_at >= backend.changed_at:
            if server_id not in self._misdirected:
                self._usable_by_service = None
            self._misdirected[server_id] = now + MISDIRECTED_HOLD_S

    def record_found(self, server_id: ServerId) -> None:
        """Record that a server itself may have its address."""
        if self._misdirected.pop(server_id, None) is not None:
            self._usable_by_service = None

    def is_misdirected(self, server_id: ServerId) -> bool:
        """Return whether another process has answered for a server."""
        return server_id in self._misdirected

    def misdirected_servers(self) -> Iterable[ServerId]:
        """Return the servers for which another process has answered."""
        return self._misdirected

    def announced_leaving(self) -> dict[ServerId, int]:
        """Return the announcements to report to the peers.

        They are incarnations by server. Those that the listing shows are
        left out.
        """
        return dict(islice(self._announced.items(), MAX_REPORTED_LEAVING))

    def tick(self, now: float) -> list[BackendLeaving]:
        """Drop departed servers, and return those that now count as leaving.

        These were missing from a listing after an outage, and have not
        registered again since.
        """
        leaving = []
        for server_id in sorted(self._unlisted):
            backend = self._backends[server_id]
            since = backend.unlisted_since
            assert since is not None
            if backend.is_usable:
                if now - since >= RELIST_GRACE_S:
                    backend.leaving_since = now
                    backend.is_lapsed = True
                    self._usable_by_service = None
                    leaving.append(self._leaving_action(server_id))
            elif now - since > self._departed_kept_s:
                del self._backends[server_id]
                self._usable_by_service = None
                self._unlisted.discard(server_id)
                self._misdirected.pop(server_id, None)
                self._announced.pop(server_id, None)
                self._dropped.append(server_id)
        for server_id, until in list(self._misdirected.items()):
            if now >= until:
                self.record_found(server_id)
        for server_id in sorted(self._returning):
            returning = self._backends[server_id]
            if now >= returning.back_at:
                self._end_lapse(returning)
        return leaving

    def take_dropped(self) -> list[ServerId]:
        """Return the servers that were dropped since the last call."""
        dropped, self._dropped = self._dropped, []
        return dropped

    def _end_lapse(self, backend: Backend) -> None:
        """Use a server again whose entry is back."""
        backend.is_lapsed = False
        backend.leaving_since = None
        self._returning.discard(backend.server.server_id)
        self._usable_by_service = None

    def _apply_entry(
        self, now: float, listed: ListedBackend, after_outage: bool
    ) -> bool:
        """Apply one entry; return whether the server is newly leaving."""
        server = listed.server
        known = self._backends.get(server.server_id)
        if known is not None and known.server.incarnation > server.incarnation:
            return False
        if (
            known is None
            or known.server != server
            or known.unlisted_since is not None
        ):
            self._misdirected.pop(server.server_id, None)
            changed_at = now
        else:
            changed_at = known.changed_at
        if known is None or known.server.incarnation < server.incarnation:
            has_restarted = (
                known is not None
                and known.server.incarnation != UNKNOWN_INCARNATION
            )
            known = Backend(
                server=server,
                listed_at=now,
                restarted_at=now if has_restarted else float("-inf"),
            )
            self._backends[server.server_id] = known
            self._announced.pop(server.server_id, None)
        known.server, known.changed_at = server, changed_at
        if not listed.draining:
            if known.is_lapsed and after_outage:
                known.back_at = now + BACK_AFTER_OUTAGE_S
                self._returning.add(server.server_id)
            elif known.is_lapsed:
                self._end_lapse(known)
            return False
        known.is_lapsed = False
        self._returning.discard(server.server_id)
        self._announced.pop(server.server_id, None)
        if listed.leaves_in_s is not None and known.leaves_at is None:
            known.leaves_at = now + listed.leaves_in_s
        if known.leaving_since is not None:
            return False
        known.leaving_since = now
        return True

    def _mark_unlisted(
        self, now: float, backend: Backend, after_outage: bool
    ) -> bool:
        """Record that a server is missing; return whether it is newly leaving.

        After an outage it may still register again, see `tick`.
        """
        if backend.unlisted_since is not None:
            return False
        backend.unlisted_since = now
        self._returning.discard(backend.server.server_id)
        self._unlisted.add(backend.server.server_id)
        if not after_outage:
            self._announced.pop(backend.server.server_id, None)
        if after_outage or not backend.is_usable:
            return False
        backend.leaving_since = now
        backend.is_lapsed = True
        return True

    def _leaving_action(
        self,
        server_id: ServerId,
        source: LeavingSource = LeavingSource.LISTING,
    ) -> BackendLeaving:
        backend = self._backends[server_id]
        return BackendLeaving(
            server=backend.server, leaves_at=backend.leaves_at, source=source
        )
