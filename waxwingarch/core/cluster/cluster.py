"""Core of the cluster of entry hosts: membership, gossip, settings."""

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Final

from waxwingarch.core.base import Action, Event, HostId
from waxwingarch.core.cluster.assignments import DutyTable
from waxwingarch.core.cluster.cluster_events import (
    AskApplied,
    ClusterDump,
    ItemsChanged,
    Leave,
    LoanReceived,
    MembersChanged,
    PublishItem,
    SetDraining,
    Superseded,
)
from waxwingarch.core.cluster.configsync import (
    ConfigSync,
    PullFailed,
    RevisionRead,
    RevisionUnavailable,
    SettingsPulled,
    SettingsRead,
    SettingsUnavailable,
)
from waxwingarch.core.cluster.datagram_packer import (
    GOSSIP_PEERS,
    GOSSIP_PERIOD_S,
    DatagramPacker,
)
from waxwingarch.core.cluster.digest import BucketDigest
from waxwingarch.core.cluster.duty_table_cache import DutyTableCache
from waxwingarch.core.cluster.item_store import ItemStore, RecordKey
from waxwingarch.core.cluster.items import Item, SettingsRevision, SpentShare
from waxwingarch.core.cluster.members import Member, MemberState
from waxwingarch.core.cluster.membership import Membership
from waxwingarch.core.cluster.merge import item_key
from waxwingarch.core.cluster.messages import (
    Ack,
    Body,
    Datagram,
    DatagramReceived,
    Gossip,
    IndirectProbe,
    Loan,
    LoanAnswer,
    LoanAsk,
    Outgoing,
    Probe,
    SendPeer,
    SyncRequest,
    Tick,
)
from waxwingarch.core.cluster.sizes import (
    HEADER_BYTES,
    LOAN_HEADER_BYTES,
    SYNC_HEADER_BYTES,
)
from waxwingarch.core.randomness import RandomSource

SYNC_PERIOD_S: Final = 10.0
# Replaces SYNC_PERIOD_S until a sync finds no difference, and again after one
# that finds some.
SYNC_RETRY_S: Final = 0.5
EXPIRY_PERIOD_S: Final = 5.0
LEAVE_NOTICE_PEERS: Final = 8
MAX_HOSTS_ASKED_AT_ONCE: Final = 50


class Cluster:
    """Facade of the cluster core: takes events and returns actions.

    It has no clock of its own: `handle` gets the time with each event and
    needs a `Tick` about every 0.1 s.
    """

    def __init__(
        self, own: Member, seeds: Iterable[str], rng: RandomSource
    ) -> None:
        digest: BucketDigest[RecordKey] = BucketDigest()
        self._digest = digest
        self._rng = rng
        self.membership = Membership(own, seeds, rng)
        self.store = ItemStore(self.membership, digest)
        self.packer = DatagramPacker(self.membership, self.store, digest, rng)
        self.settings = ConfigSync(own, rng)
        self._unix_now = 0.0
        self._share_sequence = 0
        self._duties = DutyTableCache(self.membership)
        self._in_sync = False
        self._has_left = False
        self._next_gossip_at = 0.0
        self._next_sync_at = 0.0
        self._next_expiry_at = 0.0
        self._handlers: dict[type[Event], Callable[..., list[Action]]] = {
            Tick: self._on_tick,
            DatagramReceived: self._on_datagram,
            PublishItem: self._on_publish,
            SetDraining: self._on_draining,
            Leave: self._on_leave,
            AskApplied: self._on_ask_applied,
            RevisionRead: self.settings.on_revision_read,
            RevisionUnavailable: self.settings.on_revision_unavailable,
            SettingsRead: self.settings.on_settings_read,
            SettingsUnavailable: self.settings.on_settings_unavailable,
            SettingsPulled: self.settings.on_settings_pulled,
            PullFailed: self.settings.on_pull_failed,
        }
        self._body_handlers: dict[type, Callable[..., list[Action]]] = {
            Probe: self._on_probe,
            Ack: self._on_ack,
            IndirectProbe: self._on_indirect_probe,
            Gossip: lambda now, event, body: [],
            SyncRequest: self._on_sync_request,
            LoanAsk: self._on_loan,
            LoanAnswer: self._on_loan,
        }

    @property
    def own(self) -> Member:
        """Return this host's own record."""
        return self.membership.own

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event at `now`, in monotonic seconds.

        Events after `Leave` are ignored.
        """
        if self._has_left:
            return []
        actions = self._handlers[type(event)](now, event)
        actions.extend(self._sync_revision(now))
        actions.extend(self._apply_member_changes())
        actions.extend(self._report_superseded())
        return actions

    def duties(self, region: str = "") -> DutyTable:
        """Return the duties over all hosts, or over those of a region."""
        return self._duties.table(region)

    def hosts_behind(self, revision: int) -> tuple[HostId, ...]:
        """Return the reachable hosts not known to have the revision.

        This host is among them until it has the revision in force itself.
        """
        hosts = [
            m.host_id
            for m in self.membership.reachable()
            if self.settings.peer_revision(m.host_id) < revision
        ]
        if self.settings.applied_revision < revision:
            hosts.append(self.own.host_id)
        return tuple(hosts)

    def dump(self) -> ClusterDump:
        """Return the state of the cluster core for a dump."""
        return ClusterDump(
            own=self.own,
            members=self.membership.members(),
            ready=self.settings.ready,
            basis=self.settings.basis,
            applied=self.settings.applied_revision,
            wanted=self.settings.highest_known,
            in_sync=self._in_sync,
            watches_table=self._duties.polls_table(),
            items=self.store.counts(),
            waiting_records=len(self.packer),
        )

    # -- timers

    def _on_tick(self, now: float, event: Tick) -> list[Action]:
        self._unix_now = event.unix_now
        self.packer.refill(now)
        actions = self._send_all(self.membership.tick(now))
        if now >= self._next_gossip_at:
            self._next_gossip_at = now + GOSSIP_PERIOD_S
            actions.extend(self._send_gossip())
        if now >= self._next_sync_at:
            actions.extend(self._start_sync(now))
        if now >= self._next_expiry_at:
            self._next_expiry_at = now + EXPIRY_PERIOD_S
            for key in self.store.expire(now, self._unix_now):
                self.packer.discard(key)
        peers = self.membership.reachable()
        actions.extend(
            self.settings.tick(now, self._duties.polls_table(), peers)
        )
        return actions

    def _send_gossip(self) -> list[Action]:
        actions: list[Action] = []
        for host_id, datagram in self.packer.flush_direct():
            actions.extend(self._send_if_reachable(host_id, datagram))
        if not self.packer.has_sendable_records():
            return actions
        for peer in self._sample_peers(GOSSIP_PEERS):
            if not self.packer.has_sendable_records():
                break
            body = Gossip(relay=True)
            actions.append(self._send_to_peer(peer, body))
        return actions

    def _sample_peers(self, count: int) -> list[Member]:
        peers = self.membership.reachable()
        return self._rng.sample(peers, min(count, len(peers)))

    def _start_sync(self, now: float) -> list[Action]:
        period_s = SYNC_PERIOD_S if self._in_sync else SYNC_RETRY_S
        self._next_sync_at = now + period_s * self._rng.uniform(0.75, 1.25)
        return [
            self._send_to_peer(
                peer, self._make_sync_request(reply=False), SYNC_HEADER_BYTES
            )
            for peer in self._sample_peers(1)
        ]

    def _make_sync_request(self, *, reply: bool) -> SyncRequest:
        return SyncRequest(sums=self._digest.sums(), reply=reply)

    # -- sending

    def _send_to_peer(
        self,
        peer: Member,
        body: Gossip | SyncRequest,
        header_bytes: int = HEADER_BYTES,
    ) -> Action:
        datagram = self.packer.build_datagram(
            body, peer.host_id, header_bytes=header_bytes
        )
        return SendPeer(address=peer.addresses.peer_udp, datagram=datagram)

    def _send_all(self, messages: Iterable[Outgoing]) -> list[Action]:
        return [self._send(message) for message in messages]

    def _send(self, message: Outgoing) -> Action:
        target = message.target
        known = self.membership.member(target) if target else None
        # An unknown target may not know this host, and one that is not
        # alive may believe it dead: both get its own record.
        introduce = known is None or known.state is not MemberState.ALIVE
        datagram = self.packer.build_datagram(message.body, target, introduce)
        return SendPeer(address=message.address, datagram=datagram)

    def _send_if_reachable(
        self, host_id: HostId, datagram: Datagram
    ) -> list[Action]:
        member = self.membership.member(host_id)
        if member is None or not member.reachable:
            return []
        return [SendPeer(address=member.addresses.peer_udp, datagram=datagram)]

    def send_to(self, host_id: HostId, body: Body) -> list[Action]:
        """Send a message to one host, if it is reachable."""
        datagram = self.packer.build_datagram(
            body, host_id, header_bytes=LOAN_HEADER_BYTES
        )
        return self._send_if_reachable(host_id, datagram)

    # -- receiving

    def _on_datagram(
        self, now: float, event: DatagramReceived
    ) -> list[Action]:
        datagram = event.datagram
        if datagram.sender == self.own.host_id:
            return []
        for record in datagram.members:
            self._merge_member(now, record)
        actions = self._merge_items(now, datagram)
        self._record_sender_revision(now, datagram)
        handler = self._body_handlers[type(datagram.body)]
        actions.extend(handler(now, event, datagram.body))
        return actions

    def _merge_member(self, now: float, member: Member) -> None:
        before = self.membership.member(member.host_id)
        if before == member:
            self.packer.record_duplicate(member.host_id)
            return
        self.membership.merge(now, member)
        known = self.membership.member(member.host_id)
        if known is None or known.reachable or not member.reachable:
            return
        # Some peer does not know yet that the host is unreachable.
        self.packer.queue_member(known)

    def _merge_items(self, now: float, datagram: Datagram) -> list[Action]:
        changed: list[Item] = []
        for item in datagram.items:
            if self.store.accept(now, self._unix_now, item):
                changed.append(item)
            elif self.store.get(item_key(item)) == item:
                self.packer.record_duplicate(item_key(item))
        if not changed:
            return []
        body = datagram.body
        if not isinstance(body, Gossip) or body.relay:
            for item in changed:
                self.packer.queue_item(item)
        return [ItemsChanged(items=tuple(changed))]

    def _record_sender_revision(self, now: float, datagram: Datagram) -> None:
        sender = self.membership.member(datagram.sender)
        if sender is None or datagram.incarnation < sender.incarnation:
            return
        applied = datagram.applied_revision
        self.settings.record_peer_revision(now, datagram.sender, applied)

    def _on_probe(
        self, now: float, event: DatagramReceived, body: Probe
    ) -> list[Action]:
        sender = event.datagram.sender
        ack = self.membership.on_probe(event.source, sender, body)
        if body.target == self.own.host_id:
            return [self._send(ack)]
        # The sender knew only a seed's address, or expected the process
        # that listened here before.
        datagram = self.packer.build_datagram(ack.body, sender, introduce=True)
        return [SendPeer(address=event.source, datagram=datagram)]

    def _on_ack(
        self, now: float, event: DatagramReceived, body: Ack
    ) -> list[Action]:
        return self._send_all(self.membership.on_ack(body))

    def _on_indirect_probe(
        self, now: float, event: DatagramReceived, body: IndirectProbe
    ) -> list[Action]:
        return self._send_all(
            self.membership.on_indirect_probe(now, event.source, body)
        )

    def _on_loan(
        self, now: float, event: DatagramReceived, body: Loan
    ) -> list[Action]:
        return [LoanReceived(sender=event.datagram.sender, body=body)]

    def _on_sync_request(
        self, now: float, event: DatagramReceived, body: SyncRequest
    ) -> list[Action]:
        is_same = not self._digest.differing(body.sums)
        if body.reply:
            self._in_sync = is_same
        datagrams = self.packer.build_sync_datagrams(body.sums)
        actions: list[Action] = [
            SendPeer(address=event.source, datagram=datagram)
            for datagram in datagrams
        ]
        if not body.reply:
            reply = self.packer.build_datagram(
                self._make_sync_request(reply=True),
                event.datagram.sender,
                header_bytes=SYNC_HEADER_BYTES,
            )
            actions.append(SendPeer(address=event.source, datagram=reply))
        return actions

    # -- this host

    def _on_publish(self, now: float, event: PublishItem) -> list[Action]:
        item = event.item
        if isinstance(item, SpentShare) and not item.sequence:
            self._share_sequence += 1
            item = replace(item, sequence=self._share_sequence)
        if not self.store.accept(now, self._unix_now, item):
            return []
        if event.recipients:
            self.packer.queue_direct(item, event.recipients)
        else:
            self.packer.queue_item(item)
        return [ItemsChanged(items=(item,))]

    def _on_draining(self, now: float, event: SetDraining) -> list[Action]:
        self.membership.set_draining(draining=event.draining)
        return []

    def _on_leave(self, now: float, event: Leave) -> list[Action]:
        self.membership.leave()
        self._has_left = True
        datagram = self.packer.build_datagram(
            Gossip(relay=True), introduce=True
        )
        return [
            SendPeer(address=peer.addresses.peer_udp, datagram=datagram)
            for peer in self._sample_peers(LEAVE_NOTICE_PEERS)
        ]

    # -- settings

    def _on_ask_applied(self, now: float, event: AskApplied) -> list[Action]:
        hosts = self.hosts_behind(event.revision)
        others = [host for host in hosts if host != self.own.host_id]
        return self._send_all(
            probe
            for host_id in others[:MAX_HOSTS_ASKED_AT_ONCE]
            if (probe := self.membership.make_extra_probe(host_id)) is not None
        )

    def _sync_revision(self, now: float) -> list[Action]:
        """Give gossip and settings the same highest known revision."""
        self.packer.applied_revision = self.settings.applied_revision
        self.settings.record_revision(now, self.store.revision)
        if self.settings.highest_known <= self.store.revision:
            return []
        item = SettingsRevision(revision=self.settings.highest_known)
        self.store.accept(now, self._unix_now, item)
        self.packer.queue_item(item)
        return [ItemsChanged(items=(item,))]

    def _apply_member_changes(self) -> list[Action]:
        if not self.membership.changed:
            return []
        changed: list[Member] = []
        for host_id in self.membership.pop_changed():
            member = self.membership.member(host_id)
            self._digest.discard(host_id)
            if member is None:
                self.packer.discard(host_id)
                self.settings.forget_peer(host_id)
                continue
            changed.append(member)
            self.packer.queue_member(member)
            if member.reachable:
                self._digest.put(host_id, member)
            else:
                self.settings.forget_peer(host_id)
        self._duties.clear()
        return [MembersChanged(members=tuple(changed))]

    def _report_superseded(self) -> list[Action]:
        if not self.membership.superseded:
            return []
        self.membership.superseded = False
        return [Superseded()]
