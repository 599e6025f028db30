"""Store of the gossip items that a host knows, merged and bounded."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from typing import Final, Protocol

from waxwingarch.core.base import HostId, ServerId
from waxwingarch.core.cluster.broadcast_queue import Urgency
from waxwingarch.core.cluster.digest import BucketDigest
from waxwingarch.core.cluster.items import (
    CacheSummary,
    EvidenceCount,
    InputCrash,
    Item,
    LeavingServer,
    LoadSummary,
    QuarantinedInput,
    SettingsRevision,
    SoundInput,
    SpentShare,
    StopMark,
)
from waxwingarch.core.cluster.merge import ItemKey, ItemKind, item_key, wins
from waxwingarch.core.quarantine.entries import RELEASED_KEPT_S
from waxwingarch.core.quarantine.quarantine_messages import InputState

# A leaving server is remembered for a day after its deadline, far longer
# than a list of servers can lag behind.
LEAVING_RETENTION_S: Final = 86_400.0
VOLATILE_TTL_S: Final = 30.0

MAX_ITEMS: Final = {
    ItemKind.REVISION: 1,
    ItemKind.LEAVING: 16_384,
    # This many stop marks take months to collect, so that the move of the
    # oldest one, which is dropped first, ended long ago.
    ItemKind.STOP: 4_096,
    ItemKind.SHARE: 20_000,
    ItemKind.LOAD: 2_000,
    ItemKind.CACHE: 2_000,
    ItemKind.EVIDENCE: 20_000,
    ItemKind.CRASH: 1_024,
    ItemKind.QUARANTINED: 256,
    ItemKind.SOUND: 1_024,
}

# Kinds that outlive VOLATILE_TTL_S and that the sync digest covers.
DURABLE: Final = frozenset(
    {
        ItemKind.REVISION,
        ItemKind.LEAVING,
        ItemKind.STOP,
        ItemKind.QUARANTINED,
    }
)

URGENCY: Final = {
    kind: Urgency.URGENT if kind in DURABLE else Urgency.VOLATILE
    for kind in ItemKind
}

# Member records are keyed by host id, items by their own keys.
RecordKey = HostId | ItemKey


class HostView(Protocol):
    """What the store has to know about the entry hosts."""

    def is_current(self, host_id: HostId, incarnation: int) -> bool:
        """Return whether this process of the host may still be running."""
        ...


class ItemStore:
    """Items merged by key; an older one never replaces a newer one.

    The digest covers the durable items and is updated with them.

    Items of one kind are ordered by their last change; above the kind's
    maximum, the one that changed longest ago is dropped.
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
        return {str(kind): len(items) for kind, items in self._items.items()}

    @property
    def revision(self) -> int:
        """Return the highest settings revision known, 0 for none."""
        item = self.get(ItemKey(ItemKind.REVISION))
        return item.revision if isinstance(item, SettingsRevision) else 0

    def is_leaving(self, server_id: ServerId, incarnation: int) -> bool:
        """Return whether this server incarnation gets no new requests."""
        key = ItemKey(ItemKind.LEAVING, server_id, str(incarnation))
        return key in self._items[ItemKind.LEAVING]

    def accept(self, now: float, unix_now: float, item: Item) -> bool:
        """Merge an item; return whether the store changed."""
        if not self._is_acceptable(unix_now, item):
            return False
        key = item_key(item)
        items = self._items[key.kind]
        old = items.get(key)
        if old is not None and not wins(item, old):
            return False
        items[key] = item
        items.move_to_end(key)
        if key.kind in DURABLE:
            self._digest.put(key, item)
        else:
            self._changed_at[key] = now
        if len(items) > MAX_ITEMS[key.kind]:
            self._drop(next(iter(items)))
        return True

    def expire(self, now: float, unix_now: float) -> list[ItemKey]:
        """Drop the items that are out of date; return their keys."""
        expired = list(self._expired_volatile(now))
        expired.extend(
            key
            for kind in (
                ItemKind.LEAVING,
                ItemKind.SHARE,
                ItemKind.QUARANTINED,
            )
            for key, item in self._items[kind].items()
            if not self._is_acceptable(unix_now, item)
        )
        return self._drop_all(expired)

    def drop_server(self, server_id: ServerId) -> list[ItemKey]:
        """Drop the load and cache summaries of a removed server."""
        keys = (
            ItemKey(ItemKind.LOAD, server_id),
            ItemKey(ItemKind.CACHE, server_id),
        )
        return self._drop_all(key for key in keys if self.get(key))

    def _is_acceptable(self, unix_now: float, item: Item) -> bool:
        match item:
            case LeavingServer(deadline_unix=deadline):
                # Depends on the item alone, so that no peer that still has
                # it brings it back.
                return unix_now < deadline + LEAVING_RETENTION_S
            case SpentShare(host_id=host, incarnation=incarnation):
                return self._hosts.is_current(host, incarnation)
            case EvidenceCount(host_id=host, incarnation=incarnation):
                return self._hosts.is_current(host, incarnation)
            case LoadSummary(server_id=server, incarnation=incarnation):
                return not self.is_leaving(server, incarnation)
            case CacheSummary(server_id=server, incarnation=incarnation):
                return not self.is_leaving(server, incarnation)
            case InputCrash(at=at):
                return unix_now < at + VOLATILE_TTL_S
            case QuarantinedInput(state=state, number=number):
                # As with a leaving server. A probation ends with its entry.
                is_held = state is InputState.HELD
                return is_held or unix_now < number / 1000 + RELEASED_KEPT_S
            case SettingsRevision() | StopMark() | SoundInput():
                return True

    def _expired_volatile(self, now: float) -> Iterator[ItemKey]:
        for kind in ItemKind:
            if kind in DURABLE:
                continue
            # Items are ordered by the time of their last change, so none
            # after the first fresh one has expired.
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
