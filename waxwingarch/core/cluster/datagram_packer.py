"""Which records ride on which datagram, within a budget of bytes."""

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
# Records that are not urgent share this; urgent ones are few.
BUDGET_BYTES_PER_S: Final = 4_000.0
BUDGET_BURST_BYTES: Final = 4_800.0
SYNC_DATAGRAMS: Final = 4
MAX_DIRECT_ITEMS: Final = 4_096

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
        self._direct: dict[HostId, dict[ItemKey, Item]] = {}
        self._tokens = BUDGET_BURST_BYTES
        self._filled_at: float | None = None
        self.applied_revision = 0

    def __len__(self) -> int:
        """Return how many records wait to be passed on."""
        return len(self._queue)

    def put_member(self, member: Member) -> None:
        """Pass a member's record on."""
        size = member_bytes(member)
        self._queue.put(member.host_id, Urgency.MEMBER, size)

    def put_item(self, item: Item) -> None:
        """Pass an item on to all hosts."""
        key = item_key(item)
        self._queue.put(key, URGENCY[key.kind], item_bytes(item))

    def put_direct(self, item: Item, recipients: Iterable[HostId]) -> None:
        """Send an item to the recipients only, with the next gossip."""
        for host_id in recipients:
            waiting = self._direct.setdefault(host_id, {})
            if len(waiting) < MAX_DIRECT_ITEMS:
                waiting[item_key(item)] = item

    def forget(self, key: RecordKey) -> None:
        """Stop passing a record on."""
        self._queue.discard(key)

    def heard(self, key: RecordKey) -> None:
        """Note that a peer sent a record just as it is known here."""
        self._queue.heard(key, self._send_limit())

    def refill(self, now: float) -> None:
        """Let the budget grow with time."""
        since = now if self._filled_at is None else self._filled_at
        self._filled_at = now
        self._tokens = min(
            BUDGET_BURST_BYTES,
            self._tokens + BUDGET_BYTES_PER_S * (now - since),
        )

    def worth_sending(self) -> bool:
        """Tell whether records wait that may be sent now."""
        if self._queue.pending(Urgency.URGENT):
            return True
        return self._tokens > 0 and len(self._queue) > 0

    def datagram(
        self,
        body: Body,
        target: HostId | None = None,
        introduce: bool = False,
        header_bytes: int = HEADER_BYTES,
    ) -> Datagram:
        """Wrap a message and fill it up with the records due next.

        The target learns first what is held against it, if anything;
        `introduce` adds this host's own record.
        """
        own = self._membership.own
        first = self._first_records(target, introduce)
        room = MAX_DATAGRAM_BYTES - header_bytes
        room -= sum(member_bytes(m) for m in first)
        last = Urgency.VOLATILE if self._tokens > 0 else Urgency.URGENT
        keys = self._queue.select(max(0, room), self._send_limit(), last)
        records: list[Record] = [*first, *self._records(keys)]
        return self._wrap(own, body, records)

    def direct(self) -> list[tuple[HostId, Datagram]]:
        """Return the datagrams with what goes to named hosts only."""
        waiting, self._direct = self._direct, {}
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
        left = 0
        for record in records:
            size = record_bytes(record)
            if size > left:
                if len(pages) == limit:
                    break
                pages.append([])
                left = MAX_DATAGRAM_BYTES - HEADER_BYTES
            pages[-1].append(record)
            left -= size
        own = self._membership.own
        body = Gossip(relay=relay)
        return [self._wrap(own, body, page) for page in pages]

    def sync_pages(self, sums: Sequence[int]) -> list[Datagram]:
        """Return what a peer with these bucket sums may lack."""
        buckets = self._digest.differing(sums)
        self._rng.shuffle(buckets)
        keys = self._digest.keys(buckets)
        return self.pack(self._records(keys), relay=True, limit=SYNC_DATAGRAMS)

    def _send_limit(self) -> int:
        return send_limit(len(self._membership.reachable()) + 1)

    def _records(self, keys: Iterable[RecordKey]) -> list[Record]:
        found = [self._record(key) for key in keys]
        return [record for record in found if record is not None]

    def _record(self, key: RecordKey) -> Record | None:
        if isinstance(key, ItemKey):
            return self._store.get(key)
        return self._membership.member(key)

    def _first_records(
        self, target: HostId | None, introduce: bool
    ) -> list[Member]:
        first: list[Member] = []
        if introduce:
            first.append(self._membership.own)
        member = self._membership.member(target) if target else None
        if member is not None and member.state is not MemberState.ALIVE:
            first.append(member)
        return first

    def _wrap(
        self, own: Member, body: Body, records: Sequence[Record]
    ) -> Datagram:
        self._tokens -= sum(record_bytes(record) for record in records)
        return Datagram(
            sender=own.host_id,
            incarnation=own.incarnation,
            applied_revision=self.applied_revision,
            body=body,
            members=tuple(r for r in records if isinstance(r, Member)),
            items=tuple(r for r in records if not isinstance(r, Member)),
        )


def record_bytes(record: Record) -> int:
    """Return at least the encoded size of a record."""
    if isinstance(record, Member):
        return member_bytes(record)
    return item_bytes(record)
