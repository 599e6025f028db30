"""The listed servers: who may get requests, who is leaving."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from waxwingarch.core.base import Action, Event, Server, ServerId, ServiceId

# Servers that a listing lost while the store was away register again
# within about two heartbeats of its return.
RELIST_GRACE_S: Final = 2.5


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedBackend:
    """A server as it registered itself.

    `leaves_in_s` is how long it will still be there, where it says so.
    """

    server: Server
    draining: bool = False
    leaves_in_s: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendsListed(Event):
    """All servers that are registered now.

    `version` grows with each change of the listing; `after_outage` says
    that changes may have been missed before.
    """

    version: int
    backends: tuple[ListedBackend, ...]
    after_outage: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendLeaving(Action):
    """A server was seen to leave; `leaves_at` is on the node's clock."""

    server: Server
    leaves_at: float | None


@dataclass(frozen=True, kw_only=True, slots=True)
class ListingChange:
    """What a listing told: who leaves, and who has started again."""

    leaving: list[BackendLeaving]
    restarted: list[ServerId]


@dataclass(kw_only=True, slots=True)
class Backend:
    """A server, as this host knows it now."""

    server: Server
    listed_at: float
    leaving_since: float | None = None
    leaves_at: float | None = None
    unlisted_since: float | None = None

    @property
    def is_usable(self) -> bool:
        """Whether it may get new requests."""
        return self.leaving_since is None


class BackendRegistry:
    """Servers by id; an incarnation that leaves stays leaving."""

    def __init__(self, linger_s: float) -> None:
        """Begin empty; what has left is forgotten after `linger_s`."""
        self._linger_s = linger_s
        self._known: dict[ServerId, Backend] = {}
        self._listed: dict[ServerId, ListedBackend] = {}
        self._usable: dict[ServiceId, list[Backend]] | None = None
        self._unlisted: set[ServerId] = set()
        self.version = 0
        self.last_listed_at = float("-inf")

    def __len__(self) -> int:
        return len(self._known)

    def get(self, server_id: ServerId) -> Backend | None:
        """Return a server by its id."""
        return self._known.get(server_id)

    def all_backends(self) -> Iterable[Backend]:
        """Return all servers that are not forgotten."""
        return self._known.values()

    def usable_backends(self, service: ServiceId) -> list[Backend]:
        """Return the servers of a service that may get requests, by id.

        The list is shared: it is not to be changed.
        """
        if self._usable is None:
            self._usable = {}
            for _, backend in sorted(self._known.items()):
                if backend.is_usable:
                    of = self._usable.setdefault(backend.server.service, [])
                    of.append(backend)
        return self._usable.get(service, [])

    def apply_listing(
        self, now: float, event: BackendsListed
    ) -> ListingChange:
        """Take a listing; only what differs from the last one is read."""
        change = ListingChange(leaving=[], restarted=[])
        if event.version < self.version:
            return change
        self.version = event.version
        self.last_listed_at = now
        self._usable = None
        before = self._listed
        self._listed = {b.server.server_id: b for b in event.backends}
        for server_id, listed in self._listed.items():
            if before.get(server_id) is listed:
                continue
            known = self._known.get(server_id)
            was = known.server.incarnation if known else 0
            if self._apply_entry(now, listed):
                change.leaving.append(self._departure(server_id))
            self._known[server_id].unlisted_since = None
            self._unlisted.discard(server_id)
            if was not in (0, self._known[server_id].server.incarnation):
                change.restarted.append(server_id)
        for server_id in before.keys() - self._listed.keys():
            if self._unlist(now, self._known[server_id], event.after_outage):
                change.leaving.append(self._departure(server_id))
        return change

    def tick(self, now: float) -> list[BackendLeaving]:
        """Forget who has left; returns who did not register again."""
        leaving = []
        for server_id in sorted(self._unlisted):
            backend = self._known[server_id]
            since = backend.unlisted_since
            assert since is not None
            if backend.is_usable:
                if now - since >= RELIST_GRACE_S:
                    backend.leaving_since = now
                    self._usable = None
                    leaving.append(self._departure(server_id))
            elif now - since > self._linger_s:
                del self._known[server_id]
                self._unlisted.discard(server_id)
        return leaving

    def _apply_entry(self, now: float, listed: ListedBackend) -> bool:
        """Take one entry; True if the server is newly leaving."""
        server = listed.server
        known = self._known.get(server.server_id)
        if known is not None and known.server.incarnation > server.incarnation:
            return False
        if known is None or known.server.incarnation < server.incarnation:
            known = Backend(server=server, listed_at=now)
            self._known[server.server_id] = known
        known.server = server
        if not listed.draining:
            return False
        if listed.leaves_in_s is not None and known.leaves_at is None:
            known.leaves_at = now + listed.leaves_in_s
        if known.leaving_since is not None:
            return False
        known.leaving_since = now
        return True

    def _unlist(self, now: float, backend: Backend, late: bool) -> bool:
        """Note that a server is not listed; True if it is leaving."""
        if backend.unlisted_since is not None:
            return False
        backend.unlisted_since = now
        self._unlisted.add(backend.server.server_id)
        if late or not backend.is_usable:
            return False
        backend.leaving_since = now
        return True

    def _departure(self, server_id: ServerId) -> BackendLeaving:
        backend = self._known[server_id]
        return BackendLeaving(
            server=backend.server, leaves_at=backend.leaves_at
        )
