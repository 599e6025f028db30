"""Merge rules of gossip items: commutative, associative, idempotent.

Each rule picks the greater item of a total order over the items with
the same key, so that hosts that have seen the same items agree.
"""

from collections.abc import Callable
from enum import StrEnum
from typing import Any, Final, NamedTuple

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


class ItemKind(StrEnum):
    """Kind of an item, as part of its key."""

    REVISION = "revision"
    LEAVING = "leaving"
    STOP = "stop"
    SHARE = "share"
    LOAD = "load"
    CACHE = "cache"
    EVIDENCE = "evidence"
    CRASH = "crash"
    QUARANTINED = "quarantined"
    SOUND = "sound"


class ItemKey(NamedTuple):
    """Key of an item; items with the same key are merged into one."""

    kind: ItemKind
    name: str = ""
    detail: str = ""


class MergeRule(NamedTuple):
    """How items of one type are keyed and ordered."""

    key: Callable[[Any], ItemKey]
    order: Callable[[Any], tuple[Any, ...]]


def _leaving_key(item: LeavingServer) -> ItemKey:
    return ItemKey(ItemKind.LEAVING, item.server_id, str(item.incarnation))


def _stop_key(item: StopMark) -> ItemKey:
    name = f"{item.service}\0{item.version}"
    return ItemKey(ItemKind.STOP, name, item.move_id)


def _share_key(item: SpentShare) -> ItemKey:
    return ItemKey(ItemKind.SHARE, item.account, item.host_id)


def _share_order(item: SpentShare) -> tuple[Any, ...]:
    return (
        item.incarnation,
        item.sequence,
        item.requests,
        item.wanted,
        item.running,
    )


def _evidence_key(item: EvidenceCount) -> ItemKey:
    parts = (item.host_id, item.version, item.route, item.band)
    return ItemKey(ItemKind.EVIDENCE, item.move_id, "\0".join(parts))


def _evidence_order(item: EvidenceCount) -> tuple[Any, ...]:
    return (
        item.incarnation,
        item.sequence,
        item.closed,
        item.requests,
        item.failures,
        item.timed,
        item.slow,
    )


def _crash_key(item: InputCrash) -> ItemKey:
    process = f"{item.server_id}\0{item.incarnation}"
    return ItemKey(ItemKind.CRASH, process, item.key)


def _crash_order(item: InputCrash) -> tuple[Any, ...]:
    return (item.at, item.refuted, item.in_rollout, item.domain)


def _quarantined_order(item: QuarantinedInput) -> tuple[Any, ...]:
    return (item.number, item.seen_at, item.state, item.origin)


def _load_order(item: LoadSummary) -> tuple[Any, ...]:
    return (
        item.incarnation,
        item.as_of_ms,
        item.running,
        item.waiting,
        item.kv_used,
        item.kv_total,
    )


RULES: Final[dict[type, MergeRule]] = {
    SettingsRevision: MergeRule(
        key=lambda item: ItemKey(ItemKind.REVISION),
        order=lambda item: (item.revision,),
    ),
    # The earliest deadline wins.
    LeavingServer: MergeRule(
        key=_leaving_key, order=lambda item: (-item.deadline_unix,)
    ),
    StopMark: MergeRule(key=_stop_key, order=lambda item: (item.reason,)),
    SpentShare: MergeRule(key=_share_key, order=_share_order),
    LoadSummary: MergeRule(
        key=lambda item: ItemKey(ItemKind.LOAD, item.server_id),
        order=_load_order,
    ),
    CacheSummary: MergeRule(
        key=lambda item: ItemKey(ItemKind.CACHE, item.server_id),
        order=lambda item: (item.incarnation, item.sequence, item.blocks),
    ),
    EvidenceCount: MergeRule(key=_evidence_key, order=_evidence_order),
    InputCrash: MergeRule(key=_crash_key, order=_crash_order),
    QuarantinedInput: MergeRule(
        key=lambda item: ItemKey(ItemKind.QUARANTINED, item.key),
        order=_quarantined_order,
    ),
    SoundInput: MergeRule(
        key=lambda item: ItemKey(ItemKind.SOUND, item.key),
        order=lambda item: (item.at,),
    ),
}


def item_key(item: Item) -> ItemKey:
    """Return the key under which the item is merged."""
    return RULES[type(item)].key(item)


def wins(new: Item, old: Item) -> bool:
    """Return whether the new item replaces the old one of its key."""
    order = RULES[type(new)].order
    return order(new) > order(old)


def merge(left: Item, right: Item) -> Item:
    """Return the winner of two items with the same key."""
    return right if wins(right, left) else left
