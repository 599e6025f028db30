"""How the entry hosts act together: membership, gossip, settings."""

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Final

from waxwingarch.core.base import Action, Event, HostId
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
from waxwingarch.core.cluster.duties import Duties
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
from waxwingarch.core.cluster.watch import DutyTable
from waxwingarch.core.randomness import RandomSource

SYNC_PERIOD_S: Final = 10.0
SYNC_RETRY_S: Final = 0.5
EXPIRY_PERIOD_S: Final = 5.0
LEAVE_DATAGRAMS: Final = 8
ASKED_AT_ONCE: Final = 50


class Cluster:
    """Facade: typed events in, typed actions out, on the caller's clock.

    `handle` wants a `Tick` every 0.1 s or so.
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
        self._duties = Duties(self.membership)
        self._in_sync = False
        self._left = False
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
        self._bodies: dict[type, Callable[..., list[Action]]] = {
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
        """Take one event at `now`, monotonic seconds; return what to do."""
        if self._left:
            return []
        actions = self._handlers[type(event)](now, event)
        actions.extend(self._note_revision(now))
        actions.extend(self._note_members())
        actions.extend(self._note_superseded())
        return actions

    def duties(self, region: str = "") -> DutyTable:
        """Return the duties over all hosts, or over those of a region."""
        return self._duties.table(region)

    def behind(self, revision: int) -> tuple[HostId, ...]:
        """Return the reachable hosts not known to have it in force."""
        hosts = [
            m.host_id
            for m in self.membership.reachable()
            if self.settings.peer_revision(m.host_id) < revision
        ]
        if self.settings.applied_revision < revision:
            hosts.append(self.own.host_id)
        return tuple(hosts)

    def dump(self) -> ClusterDump:
        """Return the state of this core."""
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

    # -- time

    def _on_tick(self, now: float, event: Tick) -> list[Action]:
        self._unix_now = event.unix_now
        self.packer.refill(now)
        actions = self._send_all(self.membership.tick(now))
        if now >= self._next_gossip_at:
            self._next_gossip_at = now + GOSSIP_PERIOD_S
            actions.extend(self._gossip())
        if now >= self._next_sync_at:
            actions.extend(self._start_sync(now))
        if now >= self._next_expiry_at:
            self._next_expiry_at = now + EXPIRY_PERIOD_S
            for key in self.store.expire(now, self._unix_now):
                self.packer.forget(key)
        peers = self.membership.reachable()
        actions.extend(
            self.settings.tick(now, self._duties.polls_table(), peers)
        )
        return actions

    def _gossip(self) -> list[Action]:
        actions: list[Action] = []
        for host_id, datagram in self.packer.direct():
            actions.extend(self._to_host(host_id, datagram))
        if not self.packer.worth_sending():
            return actions
        for peer in self._some_peers(GOSSIP_PEERS):
            if not self.packer.worth_sending():
                break
            body = Gossip(relay=True)
            actions.append(self._wrap(peer, body))
        return actions

    def _some_peers(self, count: int) -> list[Member]:
        peers = self.membership.reachable()
        return self._rng.sample(peers, min(count, len(peers)))

    def _start_sync(self, now: float) -> list[Action]:
        period = SYNC_PERIOD_S if self._in_sync else SYNC_RETRY_S
        self._next_sync_at = now + period * self._rng.uniform(0.75, 1.25)
        return [
            self._wrap(peer, self._sums(reply=False), SYNC_HEADER_BYTES)
            for peer in self._some_peers(1)
        ]

    def _sums(self, *, reply: bool) -> SyncRequest:
        return SyncRequest(sums=self._digest.sums(), reply=reply)

    # -- sending

    def _wrap(
        self,
        peer: Member,
        body: Gossip | SyncRequest,
        header_bytes: int = HEADER_BYTES,
    ) -> Action:
        datagram = self.packer.datagram(
            body, peer.host_id, header_bytes=header_bytes
        )
        return SendPeer(address=peer.addresses.peer_udp, datagram=datagram)

    def _send_all(self, messages: Iterable[Outgoing]) -> list[Action]:
        return [self._send(message) for message in messages]

    def _send(self, message: Outgoing) -> Action:
        target = message.target
        known = self.membership.member(target) if target else None
        # Who may not know this host, or thinks it dead, gets its record.
        introduce = known is None or known.state is not MemberState.ALIVE
        datagram = self.packer.datagram(message.body, target, introduce)
        return SendPeer(address=message.address, datagram=datagram)

    def _to_host(self, host_id: HostId, datagram: Datagram) -> list[Action]:
        member = self.membership.member(host_id)
        if member is None or not member.reachable:
            return []
        return [SendPeer(address=member.addresses.peer_udp, datagram=datagram)]

    def send_to(self, host_id: HostId, body: Body) -> list[Action]:
        """Send a message to one host, if it is reachable."""
        datagram = self.packer.datagram(
            body, host_id, header_bytes=LOAN_HEADER_BYTES
        )
        return self._to_host(host_id, datagram)

    # -- receiving

    def _on_datagram(
        self, now: float, event: DatagramReceived
    ) -> list[Action]:
        datagram = event.datagram
        if datagram.sender == self.own.host_id:
            return []
        for record in datagram.members:
            self._learn_member(now, record)
        actions = self._learn_items(now, datagram)
        self._note_sender(now, datagram)
        handler = self._bodies[type(datagram.body)]
        actions.extend(handler(now, event, datagram.body))
        return actions

    def _learn_member(self, now: float, member: Member) -> None:
        before = self.membership.member(member.host_id)
        if before == member:
            self.packer.heard(member.host_id)
            return
        self.membership.learn(now, member)
        known = self.membership.member(member.host_id)
        if known is None or known.reachable or not member.reachable:
            return
        # Somebody has not heard yet that this host is gone.
        self.packer.put_member(known)

    def _learn_items(self, now: float, datagram: Datagram) -> list[Action]:
        changed: list[Item] = []
        for item in datagram.items:
            if self.store.accept(now, self._unix_now, item):
                changed.append(item)
            elif self.store.get(item_key(item)) == item:
                self.packer.heard(item_key(item))
        if not changed:
            return []
        body = datagram.body
        if not isinstance(body, Gossip) or body.relay:
            for item in changed:
                self.packer.put_item(item)
        return [ItemsChanged(items=tuple(changed))]

    def _note_sender(self, now: float, datagram: Datagram) -> None:
        sender = self.membership.member(datagram.sender)
        if sender is None or datagram.incarnation < sender.incarnation:
            return
        applied = datagram.applied_revision
        self.settings.note_peer(now, datagram.sender, applied)

    def _on_probe(
        self, now: float, event: DatagramReceived, body: Probe
    ) -> list[Action]:
        sender = event.datagram.sender
        answer = self.membership.on_probe(event.source, sender, body)
        if body.target == self.own.host_id:
            return [self._send(answer)]
        # A seed was asked, or another process was here before.
        datagram = self.packer.datagram(answer.body, sender, introduce=True)
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
        same = not self._digest.differing(body.sums)
        if body.reply:
            self._in_sync = same
        pages = self.packer.sync_pages(body.sums)
        actions: list[Action] = [
            SendPeer(address=event.source, datagram=page) for page in pages
        ]
        if not body.reply:
            answer = self.packer.datagram(
                self._sums(reply=True),
                event.datagram.sender,
                header_bytes=SYNC_HEADER_BYTES,
            )
            actions.append(SendPeer(address=event.source, datagram=answer))
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
            self.packer.put_direct(item, event.recipients)
        else:
            self.packer.put_item(item)
        return [ItemsChanged(items=(item,))]

    def _on_draining(self, now: float, event: SetDraining) -> list[Action]:
        self.membership.update_own(draining=event.draining)
        return []

    def _on_leave(self, now: float, event: Leave) -> list[Action]:
        self.membership.leave()
        self._left = True
        datagram = self.packer.datagram(Gossip(relay=True), introduce=True)
        return [
            SendPeer(address=peer.addresses.peer_udp, datagram=datagram)
            for peer in self._some_peers(LEAVE_DATAGRAMS)
        ]

    # -- settings

    def _on_ask_applied(self, now: float, event: AskApplied) -> list[Action]:
        behind = self.behind(event.revision)
        others = [host for host in behind if host != self.own.host_id]
        return self._send_all(
            out
            for host_id in others[:ASKED_AT_ONCE]
            if (out := self.membership.ask(host_id)) is not None
        )

    def _note_revision(self, now: float) -> list[Action]:
        """Keep gossip and settings at the same highest revision."""
        self.packer.applied_revision = self.settings.applied_revision
        self.settings.note_revision(now, self.store.revision)
        if self.settings.highest_known <= self.store.revision:
            return []
        item = SettingsRevision(revision=self.settings.highest_known)
        self.store.accept(now, self._unix_now, item)
        self.packer.put_item(item)
        return [ItemsChanged(items=(item,))]

    def _note_members(self) -> list[Action]:
        if not self.membership.changed:
            return []
        changed: list[Member] = []
        for host_id in self.membership.take_changed():
            member = self.membership.member(host_id)
            self._digest.discard(host_id)
            if member is None:
                self.packer.forget(host_id)
                self.settings.forget_peer(host_id)
                continue
            changed.append(member)
            self.packer.put_member(member)
            if member.reachable:
                self._digest.put(host_id, member)
            else:
                self.settings.forget_peer(host_id)
        self._duties.clear()
        return [MembersChanged(members=tuple(changed))]

    def _note_superseded(self) -> list[Action]:
        if not self.membership.superseded:
            return []
        self.membership.superseded = False
        return [Superseded()]
