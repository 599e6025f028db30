"""Distribution of the settings to the hosts of the cluster.

A few responsible hosts poll the table for the revision and gossip spreads
its number. Each host then pulls the changes from the nearest peer that
has the revision in force, or else reads all settings from the table. The
revision in force on a host never decreases.
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
FETCH_RETRY_S: Final = 0.5
# How long a host looks for a peer that has a new revision in force before
# it reads the table, and how long one that starts waits for peers' reports.
PEER_WAIT_S: Final = 1.0
# Reports of this many peers, or of all if there are fewer, replace the
# answer of a table that is down.
PEERS_NEEDED_WHEN_TABLE_DOWN: Final = 3
POLL_FAILURES_UNTIL_TABLE_DOWN: Final = 2


class Source(StrEnum):
    """Where settings are being fetched from."""

    PEER = "peer"
    TABLE = "table"


class Basis(StrEnum):
    """Whose answer a host relies on for the revision in force."""

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
    """Return whether a revision may replace the one in force."""
    return candidate > applied


def may_serve(
    basis: Basis, applied: int, highest_known: int, peers_highest: int
) -> bool:
    """Return whether a starting host has recent enough settings to serve.

    `peers_highest` is the highest revision in force at a peer. While the
    table is down, a higher number that no peer has in force does not keep
    the host from serving: it has nowhere to get that revision from.
    """
    if basis is Basis.NONE:
        return False
    return applied >= (
        highest_known if basis is Basis.TABLE else peers_highest
    )


@dataclass(kw_only=True, slots=True)
class _Fetch:
    """The pull or read in progress."""

    source: Source
    peer: HostId
    expires_at: float


class ConfigSync:
    """Puts the highest known revision in force on this host."""

    def __init__(self, own: Member, rng: RandomSource) -> None:
        self._own = own
        self._rng = rng
        self.history = SettingsHistory()
        self.highest_known = 0
        self.ready = False
        self._basis = Basis.NONE
        self._read_table_after = 0.0
        self._prefers_table = False
        self._peer_revisions: dict[HostId, int] = {}
        self._fetch: _Fetch | None = None
        self._failed_peers: set[HostId] = set()
        self._pull_all = False
        self._next_fetch_at = 0.0
        self._next_poll_at = 0.0
        self._poll_expires_at: float | None = None
        self._poll_failures = 0
        self._peer_wait_ends_at: float | None = None
        self._is_peer_wait_over = False

    @property
    def applied_revision(self) -> int:
        """Return the revision in force on this host."""
        return self.history.snapshot.revision

    @property
    def basis(self) -> Basis:
        """Return whose answer this host relies on for its readiness."""
        return self._basis

    def peer_revision(self, host_id: HostId) -> int:
        """Return the revision that a peer last reported in force, or 0."""
        return self._peer_revisions.get(host_id, 0)

    def record_peer_revision(
        self, now: float, host_id: HostId, applied: int
    ) -> None:
        """Record the revision in force that a peer's datagram reports."""
        # It may be lower than before: a restarted process begins at 0.
        self._peer_revisions[host_id] = applied
        self.record_revision(now, applied)

    def forget_peer(self, host_id: HostId) -> None:
        """Drop the revision of a peer that is no longer reachable."""
        self._peer_revisions.pop(host_id, None)

    def record_revision(self, now: float, revision: int) -> None:
        """Record a revision number, whichever source it came from."""
        if revision <= self.highest_known:
            return
        self.highest_known = revision
        self._prefers_table = False
        self._failed_peers.clear()
        self._delay_table_read(now)

    def _delay_table_read(self, now: float) -> None:
        # Spread over a second, lest all hosts read the table at once.
        self._read_table_after = now + PEER_WAIT_S * self._rng.uniform(
            1.0, 2.0
        )

    def tick(
        self, now: float, polls_table: bool, peers: Sequence[Member]
    ) -> list[Action]:
        """Poll the table if that is this host's duty; fetch a new revision.

        A host that starts polls the table in any case.
        """
        actions = self._poll(now, polls_table)
        self._fall_back_to_peers(peers)
        actions.extend(self._next_fetch(now, peers))
        self._update_peer_wait(now)
        actions.extend(self._check_ready())
        return actions

    def _update_peer_wait(self, now: float) -> None:
        """End a starting host's wait for its peers' reports.

        The host waits because its first read of the table may be stale,
        which shows when a peer reports a higher revision.
        """
        if self._peer_wait_ends_at is None:
            self._peer_wait_ends_at = now + PEER_WAIT_S
        if self._peer_revisions or now >= self._peer_wait_ends_at:
            self._is_peer_wait_over = True

    # -- the revision row

    def _poll(self, now: float, polls_table: bool) -> list[Action]:
        expires_at = self._poll_expires_at
        if expires_at is not None and now >= expires_at:
            self._record_poll_failure()
        is_due = polls_table or self._basis is Basis.NONE
        if not is_due or self._poll_expires_at or now < self._next_poll_at:
            return []
        self._next_poll_at = now + POLL_PERIOD_S * self._rng.uniform(0.8, 1.2)
        self._poll_expires_at = now + POLL_TIMEOUT_S
        return [PollRevision()]

    def on_revision_read(
        self, now: float, event: RevisionRead
    ) -> list[Action]:
        """Record the table's answer; a stale one changes nothing."""
        self._poll_expires_at = None
        self._poll_failures = 0
        self._basis = Basis.TABLE
        if event.revision > self.highest_known:
            self.record_revision(now, event.revision)
            self._prefers_table = True
        return []

    def on_revision_unavailable(
        self, now: float, event: RevisionUnavailable
    ) -> list[Action]:
        """Count a poll that the table did not answer."""
        self._record_poll_failure()
        return []

    def _record_poll_failure(self) -> None:
        self._poll_expires_at = None
        self._poll_failures += 1

    def _fall_back_to_peers(self, peers: Sequence[Member]) -> None:
        is_down = self._poll_failures >= POLL_FAILURES_UNTIL_TABLE_DOWN
        if self._basis is not Basis.NONE or not is_down:
            return
        reports = sum(1 for m in peers if m.host_id in self._peer_revisions)
        if reports and reports >= min(
            len(peers), PEERS_NEEDED_WHEN_TABLE_DOWN
        ):
            self._basis = Basis.PEERS

    # -- the documents

    def _next_fetch(self, now: float, peers: Sequence[Member]) -> list[Action]:
        if self._fetch is not None and now >= self._fetch.expires_at:
            self._record_fetch_failure(now)
        if self._fetch is not None or now < self._next_fetch_at:
            return []
        if not is_newer(self.highest_known, self.applied_revision):
            return []
        peer = None if self._prefers_table else self._nearest(peers)
        if peer is not None:
            return [self._pull(now, peer)]
        if not self._prefers_table and now < self._read_table_after:
            return []
        self._fetch = _Fetch(
            source=Source.TABLE,
            peer=HostId(""),
            expires_at=now + READ_TIMEOUT_S,
        )
        return [ReadSettings(revision=self.highest_known)]

    def _nearest(self, peers: Sequence[Member]) -> Member | None:
        """Choose among the nearest peers that have the revision in force."""
        candidates = [
            m
            for m in peers
            if self.peer_revision(m.host_id) >= self.highest_known
            and m.host_id not in self._failed_peers
        ]
        if not candidates:
            return None
        closest = min(self._distance(m) for m in candidates)
        nearest = [m for m in candidates if self._distance(m) == closest]
        return self._rng.choice(nearest)

    def _distance(self, member: Member) -> int:
        """Return 0 within the failure domain, 1 in the region, else 2."""
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
            have_revision=0 if self._pull_all else self.applied_revision,
        )

    def _record_fetch_failure(self, now: float) -> None:
        if self._fetch is None:
            return
        if self._fetch.source is Source.PEER:
            self._failed_peers.add(self._fetch.peer)
        else:
            # The table failed: peers that failed before may be tried again.
            self._prefers_table = False
            self._failed_peers.clear()
            self._delay_table_read(now)
        self._fetch = None
        self._next_fetch_at = now + FETCH_RETRY_S * self._rng.uniform(0.5, 1.0)

    def on_settings_read(
        self, now: float, event: SettingsRead
    ) -> list[Action]:
        """Apply the settings read from the table."""
        if self._fetch and self._fetch.source is Source.TABLE:
            if event.snapshot.revision >= self.highest_known:
                self._fetch = None
            else:
                self._record_fetch_failure(now)
        return self._apply(event.snapshot)

    def on_settings_unavailable(
        self, now: float, event: SettingsUnavailable
    ) -> list[Action]:
        """Have the fetch retried after the table did not answer."""
        if self._fetch and self._fetch.source is Source.TABLE:
            self._record_fetch_failure(now)
        return []

    def on_settings_pulled(
        self, now: float, event: SettingsPulled
    ) -> list[Action]:
        """Apply the changes pulled from a peer.

        If they do not fit the settings here, everything is pulled next.
        """
        if not self._is_pulling_from(event.peer):
            return []
        self._fetch = None
        snapshot = apply_delta(self.history.snapshot, event.delta)
        self._pull_all = snapshot is None and event.delta.base_revision != 0
        if self._pull_all:
            return []
        if snapshot is None or snapshot.revision < self.highest_known:
            self._failed_peers.add(event.peer)
        return [] if snapshot is None else self._apply(snapshot)

    def on_pull_failed(self, now: float, event: PullFailed) -> list[Action]:
        """Have the fetch retried, with another peer if there is one."""
        if self._is_pulling_from(event.peer):
            self._record_fetch_failure(now)
        return []

    def _is_pulling_from(self, peer: HostId) -> bool:
        return self._fetch is not None and self._fetch.peer == peer

    def _apply(self, snapshot: SettingsSnapshot) -> list[Action]:
        if not is_newer(snapshot.revision, self.applied_revision):
            return self._check_ready()
        self.history.advance(snapshot)
        self.highest_known = max(self.highest_known, snapshot.revision)
        return [ApplySettings(snapshot=snapshot), *self._check_ready()]

    def _check_ready(self) -> list[Action]:
        if self.ready or not self._is_peer_wait_over:
            return []
        highest = max(self._peer_revisions.values(), default=0)
        if not may_serve(
            self._basis, self.applied_revision, self.highest_known, highest
        ):
            return []
        self.ready = True
        return [Ready(revision=self.applied_revision, basis=self._basis)]
