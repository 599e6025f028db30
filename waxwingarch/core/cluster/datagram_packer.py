"""Packing of gossip records into datagrams, within a budget of bytes."""

from collections.abc import Iterable, Sequence
from typing import Final

from waxwingarch.core.base import HostId
from waxwingarch.core.cluster.broadcast_queue import (
    BroadcastQueue,
    Urgency,
    send_limit,
)
from waxwingarch.core.cluster.digest import BucketDigest
from waxwingarch.core.cluster.item_store import URGENCY, ItemStore, RecordKey
from waxwingarch.core.cluster.items import Item
from waxwingarch.core.cluster.members import Member, MemberState
from waxwingarch.core.cluster.membership import Membership
from waxwingarch.core.cluster.merge import ItemKey, item_key
from waxwingarch.core.cluster.messages import Body, Datagram, Gossip
from waxwingarch.core.cluster.sizes import (
    HEADER_BYTES,
    MAX_DATAGRAM_BYTES,
    item_bytes,
    member_bytes,
)
from waxwingarch.core.randomness import RandomSource

GOSSIP_PERIOD_S: Final = 0.2
GOSSIP_PEERS: Final = 3
# Bounds the records that are not urgent. Urgent ones are few and are sent
# even when the budget is spent.
BUDGET_BYTES_PER_S: Final = 4_000.0
BUDGET_BURST_BYTES: Final = 4_800.0
MAX_SYNC_DATAGRAMS: Final = 4
MAX_DIRECT_ITEMS_PER_HOST: Final = 4_096

Record = Member | Item


class DatagramPacker:
    """Queues records and packs them into datagrams of bounded size."""

    def __init__(
        self,
        membership: Membership,
        store: ItemStore,
        digest: BucketDigest[RecordKey],
        rng: RandomSource,
    ) -> None:
        self._membership = membership
        self._store = store
        self._digest = digest
        self._rng = rng
        self._queue: BroadcastQueue[RecordKey] = BroadcastQueue()
        self._direct_items: dict[HostId, dict[ItemKey, Item]] = {}
        self._budget_bytes = BUDGET_BURST_BYTES
        self._refilled_at: float | None = None
        self.applied_revision = 0

    def __len__(self) -> int:
        """Return how many records wait to be broadcast."""
        return len(self._queue)

    def queue_member(self, member: Member) -> None:
        """Broadcast a member's record to all hosts."""
        size_bytes = member_bytes(member)
        self._queue.put(member.host_id, Urgency.MEMBER, size_bytes)

    def queue_item(self, item: Item) -> None:
        """Broadcast an item to all hosts."""
        key = item_key(item)
        self._queue.put(key, URGENCY[key.kind], item_bytes(item))

    def queue_direct(self, item: Item, recipients: Iterable[HostId]) -> None:
        """Send an item to the recipients only, in the next gossip round."""
        for host_id in recipients:
            waiting = self._direct_items.setdefault(host_id, {})
            if len(waiting) < MAX_DIRECT_ITEMS_PER_HOST:
                waiting[item_key(item)] = item

    def discard(self, key: RecordKey) -> None:
        """Stop broadcasting a record."""
        self._queue.discard(key)

    def record_duplicate(self, key: RecordKey) -> None:
        """Count a record that a peer sent just as it is known here."""
        self._queue.record_duplicate(key, self._send_limit())

    def refill(self, now: float) -> None:
        """Refill the byte budget for the time since the last refill."""
        since = now if self._refilled_at is None else self._refilled_at
        self._refilled_at = now
        self._budget_bytes = min(
            BUDGET_BURST_BYTES,
            self._budget_bytes + BUDGET_BYTES_PER_S * (now - since),
        )

    def has_sendable_records(self) -> bool:
        """Return whether records are queued that the budget allows."""
        if self._queue.has_pending(Urgency.URGENT):
            return True
        return self._budget_bytes > 0 and len(self._queue) > 0

    def build_datagram(
        self,
        body: Body,
        target: HostId | None = None,
        introduce: bool = False,
        header_bytes: int = HEADER_BYTES,
    ) -> Datagram:
        """Wrap a message and fill it up with the records due next.

        A target that is not believed alive gets its own record first, so
        that it can refute it. `introduce` adds this host's own record.
        """
        own = self._membership.own
        leading = self._leading_records(target, introduce)
        room_bytes = MAX_DATAGRAM_BYTES - header_bytes
        room_bytes -= sum(member_bytes(m) for m in leading)
        least_urgent = (
            Urgency.VOLATILE if self._budget_bytes > 0 else Urgency.URGENT
        )
        keys = self._queue.select(
            max(0, room_bytes), self._send_limit(), least_urgent
        )
        records: list[Record] = [*leading, *self._records(keys)]
        return self._make_datagram(own, body, records)

    def flush_direct(self) -> list[tuple[HostId, Datagram]]:
        """Return datagrams of the direct items, and clear these items."""
        waiting, self._direct_items = self._direct_items, {}
        return [
            (host_id, datagram)
            for host_id, items in waiting.items()
            for datagram in self.pack(items.values(), relay=False)
        ]

    def pack(
        self, records: Iterable[Record], relay: bool, limit: int = 64
    ) -> list[Datagram]:
        """Pack records into at most `limit` datagrams of their own."""
        pages: list[list[Record]] = []
        remaining_bytes = 0
        for record in records:
            size_bytes = record_bytes(record)
            if size_bytes > remaining_bytes:
                if len(pages) == limit:
                    break
                pages.append([])
                remaining_bytes = MAX_DATAGRAM_BYTES - HEADER_BYTES
            pages[-1].append(record)
            remaining_bytes -= size_bytes
        own = self._membership.own
        body = Gossip(relay=relay)
        return [self._make_datagram(own, body, page) for page in pages]

    def build_sync_datagrams(self, sums: Sequence[int]) -> list[Datagram]:
        """Return the records that a peer with these bucket sums may lack.

        The buckets are shuffled, as not all of them may fit: another sync
        then sends others.
        """
        buckets = self._digest.differing(sums)
        self._rng.shuffle(buckets)
        keys = self._digest.keys(buckets)
        return self.pack(
            self._records(keys), relay=True, limit=MAX_SYNC_DATAGRAMS
        )

    def _send_limit(self) -> int:
        return send_limit(len(self._membership.reachable()) + 1)

    def _records(self, keys: Iterable[RecordKey]) -> list[Record]:
        found = [self._record(key) for key in keys]
        return [record for record in found if record is not None]

    def _record(self, key: RecordKey) -> Record | None:
        if isinstance(key, ItemKey):
            return self._store.get(key)
        return self._membership.member(key)

    def _leading_records(
        self, target: HostId | None, introduce: bool
    ) -> list[Member]:
        leading: list[Member] = []
        if introduce:
            leading.append(self._membership.own)
        member = self._membership.member(target) if target else None
        if member is not None and member.state is not MemberState.ALIVE:
            leading.append(member)
        return leading

    def _make_datagram(
        self, own: Member, body: Body, records: Sequence[Record]
    ) -> Datagram:
        self._budget_bytes -= sum(record_bytes(record) for record in records)
        return Datagram(
            sender=own.host_id,
            incarnation=own.incarnation,
            applied_revision=self.applied_revision,
            body=body,
            members=tuple(r for r in records if isinstance(r, Member)),
            items=tuple(r for r in records if not isinstance(r, Member)),
        )


def record_bytes(record: Record) -> int:
    """Return an upper bound of the encoded size of a record."""
    if isinstance(record, Member):
        return member_bytes(record)
    return item_bytes(record)
