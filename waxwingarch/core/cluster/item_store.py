"""The items that a host knows, merged and bounded."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from typing import Final, Protocol

from waxwingarch.core.base import HostId, ServerId
from waxwingarch.core.cluster.broadcast_queue import Urgency
from waxwingarch.core.cluster.digest import BucketDigest
from waxwingarch.core.cluster.items import (
    CacheSummary,
    EvidenceCount,
    Item,
    LeavingServer,
    LoadSummary,
    SettingsRevision,
    SpentShare,
    StopMark,
)
from waxwingarch.core.cluster.merge import ItemKey, ItemKind, item_key, wins

# A leaving server stays leaving long after any lagging list has caught up.
LEAVING_RETENTION_S: Final = 86_400.0
VOLATILE_TTL_S: Final = 30.0

MAX_ITEMS: Final = {
    ItemKind.REVISION: 1,
    ItemKind.LEAVING: 16_384,
    # Months of stopped moves: what is dropped first ended long ago.
    ItemKind.STOP: 4_096,
    ItemKind.SHARE: 20_000,
    ItemKind.LOAD: 2_000,
    ItemKind.CACHE: 2_000,
    ItemKind.EVIDENCE: 20_000,
}

DURABLE: Final = frozenset(
    {ItemKind.REVISION, ItemKind.LEAVING, ItemKind.STOP}
)

URGENCY: Final = {
    kind: Urgency.URGENT if kind in DURABLE else Urgency.VOLATILE
    for kind in ItemKind
}

# Members are keyed by their host, items by their own keys.
RecordKey = HostId | ItemKey


class HostView(Protocol):
    """What the store needs to know of the entry hosts."""

    def is_current(self, host_id: HostId, incarnation: int) -> bool:
        """Tell whether this process of the host may still be running."""
        ...


class ItemStore:
    """Items merged by their rules; soft state that never goes back.

    The digest is kept in step with the durable ones.

    Items of one kind are kept in the order in which they were last
    changed; when there are too many, the one changed longest ago goes.
    """

    def __init__(
        self, hosts: HostView, digest: BucketDigest[RecordKey]
    ) -> None:
        self._hosts = hosts
        self._digest = digest
        self._items: dict[ItemKind, OrderedDict[ItemKey, Item]] = {
            kind: OrderedDict() for kind in ItemKind
        }
        self._changed_at: dict[ItemKey, float] = {}

    def get(self, key: ItemKey) -> Item | None:
        """Return the item with this key."""
        return self._items[key.kind].get(key)

    def items(self, kind: ItemKind) -> Iterator[Item]:
        """Iterate over the items of one kind."""
        return iter(self._items[kind].values())

    def __len__(self) -> int:
        """Return how many items are known."""
        return sum(len(items) for items in self._items.values())

    def counts(self) -> dict[str, int]:
        """Return how many items of each kind are known."""
        return {str(kind): len(kept) for kind, kept in self._items.items()}

    @property
    def revision(self) -> int:
        """Return the highest settings revision known, 0 for none."""
        item = self.get(ItemKey(ItemKind.REVISION))
        return item.revision if isinstance(item, SettingsRevision) else 0

    def is_leaving(self, server_id: ServerId, incarnation: int) -> bool:
        """Tell whether this incarnation gets no new requests."""
        key = ItemKey(ItemKind.LEAVING, server_id, str(incarnation))
        return key in self._items[ItemKind.LEAVING]

    def accept(self, now: float, unix_now: float, item: Item) -> bool:
        """Merge an item; return whether it changed what is known."""
        if not self._welcome(unix_now, item):
            return False
        key = item_key(item)
        kept = self._items[key.kind]
        old = kept.get(key)
        if old is not None and not wins(item, old):
            return False
        kept[key] = item
        kept.move_to_end(key)
        if key.kind in DURABLE:
            self._digest.put(key, item)
        else:
            self._changed_at[key] = now
        if len(kept) > MAX_ITEMS[key.kind]:
            self._drop(next(iter(kept)))
        return True

    def expire(self, now: float, unix_now: float) -> list[ItemKey]:
        """Drop what is too old to be of use; return the keys dropped."""
        gone = list(self._stale_volatile(now))
        gone.extend(
            key
            for key, item in self._items[ItemKind.LEAVING].items()
            if not self._welcome(unix_now, item)
        )
        gone.extend(
            key
            for key, item in self._items[ItemKind.SHARE].items()
            if not self._welcome(unix_now, item)
        )
        return self._drop_all(gone)

    def drop_server(self, server_id: ServerId) -> list[ItemKey]:
        """Drop load and cache of a server that is gone."""
        keys = (
            ItemKey(ItemKind.LOAD, server_id),
            ItemKey(ItemKind.CACHE, server_id),
        )
        return self._drop_all(key for key in keys if self.get(key))

    def _welcome(self, unix_now: float, item: Item) -> bool:
        match item:
            case LeavingServer(deadline_unix=deadline):
                # Decided by the item alone, so that no peer brings it back.
                return unix_now < deadline + LEAVING_RETENTION_S
            case SpentShare(host_id=host, incarnation=incarnation):
                return self._hosts.is_current(host, incarnation)
            case EvidenceCount(host_id=host, incarnation=incarnation):
                return self._hosts.is_current(host, incarnation)
            case LoadSummary(server_id=server, incarnation=incarnation):
                return not self.is_leaving(server, incarnation)
            case CacheSummary(server_id=server, incarnation=incarnation):
                return not self.is_leaving(server, incarnation)
            case SettingsRevision() | StopMark():
                return True

    def _stale_volatile(self, now: float) -> Iterator[ItemKey]:
        for kind in ItemKind:
            if kind in DURABLE:
                continue
            # Ordered by the time of change: stop at the first fresh one.
            for key in self._items[kind]:
                if self._changed_at[key] + VOLATILE_TTL_S > now:
                    break
                yield key

    def _drop_all(self, keys: Iterable[ItemKey]) -> list[ItemKey]:
        unique = list(dict.fromkeys(keys))
        for key in unique:
            self._drop(key)
        return unique

    def _drop(self, key: ItemKey) -> None:
        del self._items[key.kind][key]
        self._changed_at.pop(key, None)
        self._digest.discard(key)
