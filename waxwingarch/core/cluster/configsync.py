"""Which settings are in force, and where the next ones come from.

A few responsible hosts poll the table for the revision, gossip spreads
the number, and each host pulls what changed from the nearest peer that
has it, or else from the table. The revision in force only ever grows.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from waxwingarch.core.base import Action, Event, HostId
from waxwingarch.core.cluster.members import Member
from waxwingarch.core.randomness import RandomSource
from waxwingarch.core.settings.settings import (
    SettingsDelta,
    SettingsHistory,
    SettingsSnapshot,
    apply_delta,
)

POLL_PERIOD_S: Final = 1.0
POLL_TIMEOUT_S: Final = 2.0
PULL_TIMEOUT_S: Final = 1.0
READ_TIMEOUT_S: Final = 3.0
RETRY_S: Final = 0.5
# How long a host looks for a peer that has it before it asks the table.
PEER_WAIT_S: Final = 1.0
PEERS_ASKED_WHEN_TABLE_DOWN: Final = 3
POLL_FAILURES_FOR_DOWN: Final = 2


class Source(StrEnum):
    """Where settings are being fetched from."""

    PEER = "peer"
    TABLE = "table"


class Basis(StrEnum):
    """What a host's claim to know the settings in force rests on."""

    NONE = "none"
    TABLE = "table"
    PEERS = "peers"


@dataclass(frozen=True, kw_only=True, slots=True)
class RevisionRead(Event):
    """The table answered a poll."""

    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class RevisionUnavailable(Event):
    """The table did not answer a poll."""


@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsRead(Event):
    """The table answered a read of all settings."""

    snapshot: SettingsSnapshot


@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsUnavailable(Event):
    """The table did not answer a read of all settings."""


@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsPulled(Event):
    """A peer answered a pull."""

    peer: HostId
    delta: SettingsDelta


@dataclass(frozen=True, kw_only=True, slots=True)
class PullFailed(Event):
    """A peer did not answer a pull."""

    peer: HostId


@dataclass(frozen=True, kw_only=True, slots=True)
class PollRevision(Action):
    """Read the revision row of the table."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadSettings(Action):
    """Read all settings of at least this revision from the table."""

    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PullSettings(Action):
    """Ask a peer for what changed since `have_revision` (0: all)."""

    peer: HostId
    address: str
    revision: int
    have_revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ApplySettings(Action):
    """Put a snapshot in force on this host."""

    snapshot: SettingsSnapshot


@dataclass(frozen=True, kw_only=True, slots=True)
class Ready(Action):
    """This host knows the settings in force and may serve."""

    revision: int
    basis: Basis


def is_newer(candidate: int, applied: int) -> bool:
    """Tell whether a revision may replace the one in force."""
    return candidate > applied


def may_serve(basis: Basis, applied: int, wanted: int, peers: int) -> bool:
    """Tell whether a host that starts knows enough to serve.

    `wanted` is the highest revision heard of, `peers` the highest one
    in force at a peer. With the table down, a number that no peer has
    in force holds nobody up.
    """
    if basis is Basis.NONE:
        return False
    return applied >= (wanted if basis is Basis.TABLE else peers)


@dataclass(kw_only=True, slots=True)
class _Fetch:
    """The pull or read under way."""

    source: Source
    peer: HostId
    expires_at: float


class ConfigSync:
    """Brings the highest revision in force on this host."""

    def __init__(self, own: Member, rng: RandomSource) -> None:
        self._own = own
        self._rng = rng
        self.history = SettingsHistory()
        self.highest_known = 0
        self.ready = False
        self._basis = Basis.NONE
        self._table_after = 0.0
        self._prefers_table = False
        self._applied_at: dict[HostId, int] = {}
        self._fetch: _Fetch | None = None
        self._failed: set[HostId] = set()
        self._ask_all = False
        self._next_fetch_at = 0.0
        self._next_poll_at = 0.0
        self._poll_expires_at: float | None = None
        self._poll_failures = 0
        self._heard_by: float | None = None
        self._peers_heard = False

    @property
    def applied_revision(self) -> int:
        """Return the revision in force on this host."""
        return self.history.snapshot.revision

    @property
    def basis(self) -> Basis:
        """Return what this host's readiness rests on."""
        return self._basis

    def peer_revision(self, host_id: HostId) -> int:
        """Return the revision last heard to be in force at a peer."""
        return self._applied_at.get(host_id, 0)

    def note_peer(self, now: float, host_id: HostId, applied: int) -> None:
        """Take the revision in force from a peer's datagram."""
        # A peer process that starts anew starts from 0.
        self._applied_at[host_id] = applied
        self.note_revision(now, applied)

    def forget_peer(self, host_id: HostId) -> None:
        """Drop what is known of a host that is gone."""
        self._applied_at.pop(host_id, None)

    def note_revision(self, now: float, revision: int) -> None:
        """Take a revision number heard of in any way."""
        if revision <= self.highest_known:
            return
        self.highest_known = revision
        self._prefers_table = False
        self._failed.clear()
        self._wait_for_peers(now)

    def _wait_for_peers(self, now: float) -> None:
        # Spread over a second: else all hosts read the table at once.
        self._table_after = now + PEER_WAIT_S * self._rng.uniform(1.0, 2.0)

    def tick(
        self, now: float, watching: bool, peers: Sequence[Member]
    ) -> list[Action]:
        """Poll if this host watches the table; fetch what is missing."""
        actions = self._poll(now, watching)
        self._rest_on_peers(peers)
        actions.extend(self._next_fetch(now, peers))
        self._note_heard(now)
        actions.extend(self._check_ready())
        return actions

    def _note_heard(self, now: float) -> None:
        """Note that peers were heard, or had the time to be.

        What a host that starts reads from the table may be stale.
        """
        if self._heard_by is None:
            self._heard_by = now + PEER_WAIT_S
        if self._applied_at or now >= self._heard_by:
            self._peers_heard = True

    # -- the revision row

    def _poll(self, now: float, watching: bool) -> list[Action]:
        expires_at = self._poll_expires_at
        if expires_at is not None and now >= expires_at:
            self._poll_failed()
        wanted = watching or self._basis is Basis.NONE
        if not wanted or self._poll_expires_at or now < self._next_poll_at:
            return []
        self._next_poll_at = now + POLL_PERIOD_S * self._rng.uniform(0.8, 1.2)
        self._poll_expires_at = now + POLL_TIMEOUT_S
        return [PollRevision()]

    def on_revision_read(
        self, now: float, event: RevisionRead
    ) -> list[Action]:
        """Take the table's answer; a stale one changes nothing."""
        self._poll_expires_at = None
        self._poll_failures = 0
        self._basis = Basis.TABLE
        if event.revision > self.highest_known:
            self.note_revision(now, event.revision)
            self._prefers_table = True
        return []

    def on_revision_unavailable(
        self, now: float, event: RevisionUnavailable
    ) -> list[Action]:
        """Count a poll without answer."""
        self._poll_failed()
        return []

    def _poll_failed(self) -> None:
        self._poll_expires_at = None
        self._poll_failures += 1

    def _rest_on_peers(self, peers: Sequence[Member]) -> None:
        down = self._poll_failures >= POLL_FAILURES_FOR_DOWN
        if self._basis is not Basis.NONE or not down:
            return
        heard = sum(1 for m in peers if m.host_id in self._applied_at)
        if heard and heard >= min(len(peers), PEERS_ASKED_WHEN_TABLE_DOWN):
            self._basis = Basis.PEERS

    # -- the settings themselves

    def _next_fetch(self, now: float, peers: Sequence[Member]) -> list[Action]:
        if self._fetch is not None and now >= self._fetch.expires_at:
            self._fetch_failed(now)
        if self._fetch is not None or now < self._next_fetch_at:
            return []
        if not is_newer(self.highest_known, self.applied_revision):
            return []
        peer = None if self._prefers_table else self._nearest(peers)
        if peer is not None:
            return [self._pull(now, peer)]
        if not self._prefers_table and now < self._table_after:
            return []
        self._fetch = _Fetch(
            source=Source.TABLE,
            peer=HostId(""),
            expires_at=now + READ_TIMEOUT_S,
        )
        return [ReadSettings(revision=self.highest_known)]

    def _nearest(self, peers: Sequence[Member]) -> Member | None:
        having = [
            m
            for m in peers
            if self.peer_revision(m.host_id) >= self.highest_known
            and m.host_id not in self._failed
        ]
        if not having:
            return None
        closest = min(self._distance(m) for m in having)
        nearest = [m for m in having if self._distance(m) == closest]
        return self._rng.choice(nearest)

    def _distance(self, member: Member) -> int:
        if member.failure_domain == self._own.failure_domain:
            return 0
        return 1 if member.region == self._own.region else 2

    def _pull(self, now: float, peer: Member) -> Action:
        self._fetch = _Fetch(
            source=Source.PEER,
            peer=peer.host_id,
            expires_at=now + PULL_TIMEOUT_S,
        )
        return PullSettings(
            peer=peer.host_id,
            address=peer.addresses.peer_tcp,
            revision=self.highest_known,
            have_revision=0 if self._ask_all else self.applied_revision,
        )

    def _fetch_failed(self, now: float) -> None:
        if self._fetch is None:
            return
        if self._fetch.source is Source.PEER:
            self._failed.add(self._fetch.peer)
        else:
            # The table did not help: any peer may be tried again.
            self._prefers_table = False
            self._failed.clear()
            self._wait_for_peers(now)
        self._fetch = None
        self._next_fetch_at = now + RETRY_S * self._rng.uniform(0.5, 1.0)

    def on_settings_read(
        self, now: float, event: SettingsRead
    ) -> list[Action]:
        """Take all settings from the table."""
        if self._fetch and self._fetch.source is Source.TABLE:
            if event.snapshot.revision >= self.highest_known:
                self._fetch = None
            else:
                self._fetch_failed(now)
        return self._apply(event.snapshot)

    def on_settings_unavailable(
        self, now: float, event: SettingsUnavailable
    ) -> list[Action]:
        """Try elsewhere after the table did not answer."""
        if self._fetch and self._fetch.source is Source.TABLE:
            self._fetch_failed(now)
        return []

    def on_settings_pulled(
        self, now: float, event: SettingsPulled
    ) -> list[Action]:
        """Take what changed from a peer."""
        if not self._awaits(event.peer):
            return []
        self._fetch = None
        snapshot = apply_delta(self.history.snapshot, event.delta)
        self._ask_all = snapshot is None and event.delta.base_revision != 0
        if self._ask_all:
            return []
        if snapshot is None or snapshot.revision < self.highest_known:
            self._failed.add(event.peer)
        return [] if snapshot is None else self._apply(snapshot)

    def on_pull_failed(self, now: float, event: PullFailed) -> list[Action]:
        """Try another peer."""
        if self._awaits(event.peer):
            self._fetch_failed(now)
        return []

    def _awaits(self, peer: HostId) -> bool:
        return self._fetch is not None and self._fetch.peer == peer

    def _apply(self, snapshot: SettingsSnapshot) -> list[Action]:
        if not is_newer(snapshot.revision, self.applied_revision):
            return self._check_ready()
        self.history.advance(snapshot)
        self.highest_known = max(self.highest_known, snapshot.revision)
        return [ApplySettings(snapshot=snapshot), *self._check_ready()]

    def _check_ready(self) -> list[Action]:
        if self.ready or not self._peers_heard:
            return []
        highest = max(self._applied_at.values(), default=0)
        if not may_serve(
            self._basis, self.applied_revision, self.highest_known, highest
        ):
            return []
        self.ready = True
        return [Ready(revision=self.applied_revision, basis=self._basis)]
