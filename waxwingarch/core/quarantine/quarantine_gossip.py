"""Exchange of crashes and quarantined inputs among hosts by gossip."""

from collections import deque
from collections.abc import Iterable
from typing import Final

from waxwingarch.core.base import Action, Server
from waxwingarch.core.cluster.cluster import Cluster
from waxwingarch.core.cluster.cluster_events import PublishItem
from waxwingarch.core.cluster.items import (
    InputCrash,
    Item,
    QuarantinedInput,
    SoundInput,
)
from waxwingarch.core.cluster.merge import ItemKey, ItemKind, item_key, wins
from waxwingarch.core.quarantine.quarantine import Quarantine
from waxwingarch.core.quarantine.quarantine_messages import (
    Crash,
    QuarantineEntry,
    QuarantineReport,
)

# Bounds of what this host publishes of the crashes that it saw: the end of
# many servers at once is not that of a request.
MAX_WAITING_CRASHES: Final = 256
MAX_CRASHES_PER_TICK: Final = 8
# A later sound answer with the same input is published after this time.
SOUND_STEP_S: Final = 1.0


class QuarantineGossip:
    """Publishes what this host knows of inputs, and merges what others do.

    An item stands for one input in one crash, so that items of several
    hosts need no joining.
    """

    def __init__(self, cluster: Cluster, quarantine: Quarantine) -> None:
        self._cluster = cluster
        self._quarantine = quarantine
        self._waiting: deque[InputCrash] = deque(maxlen=MAX_WAITING_CRASHES)

    def record_crash(
        self, unix_now: float, server: Server, key: str, *, in_rollout: bool
    ) -> None:
        """Publish a crash that this host saw, with the next tick.

        An input that was in a crash before goes first.
        """
        item = InputCrash(
            server_id=server.server_id,
            incarnation=server.incarnation,
            domain=server.failure_domain,
            at=unix_now,
            key=key,
            refuted=False,
            in_rollout=in_rollout,
        )
        held = self._quarantine.held
        if len(self._quarantine.evidence.crashes_under(key, held)) > 1:
            self._waiting.appendleft(item)
        elif len(self._waiting) < MAX_WAITING_CRASHES:
            self._waiting.append(item)

    def handle_items(self, now: float, items: Iterable[Item]) -> None:
        """Join the evidence and the entries that were received."""
        crashes = [i for i in items if isinstance(i, InputCrash)]
        entries = [i for i in items if isinstance(i, QuarantinedInput)]
        sound = {i.key: i.at for i in items if isinstance(i, SoundInput)}
        if not (crashes or entries or sound):
            return
        report = QuarantineReport(
            entries=tuple(_to_entry(item) for item in entries),
            crashes=tuple(_to_crash(item) for item in crashes),
            sound=sound,
        )
        self._quarantine.record_report(now, report)

    def tick(self, now: float) -> list[Action]:
        """Publish what the other hosts may not know."""
        items: list[Item] = []
        while self._waiting and len(items) < MAX_CRASHES_PER_TICK:
            items.append(self._waiting.popleft())
        items += self._new_entries()
        if self._quarantine.needs_progress(now):
            items += self._evidence()
        return [
            action
            for item in items
            for action in self._cluster.handle(now, PublishItem(item=item))
        ]

    def _new_entries(self) -> list[Item]:
        items: list[Item] = []
        for entry in self._quarantine.entries:
            item = _to_item(entry)
            known = self._cluster.store.get(item_key(item))
            if known is None or wins(item, known):
                items.append(item)
        return items

    def _evidence(self) -> list[Item]:
        """Return sound answers, and crashes that turned out to be none."""
        report = self._quarantine.report()
        items: list[Item] = []
        for key, at in report.sound.items():
            known = self._cluster.store.get(ItemKey(ItemKind.SOUND, key))
            if isinstance(known, SoundInput) and at < known.at + SOUND_STEP_S:
                continue
            items.append(SoundInput(key=key, at=at))
        for crash in report.crashes:
            if crash.refuted:
                items += self._refuted(crash)
        return items

    def _refuted(self, crash: Crash) -> list[Item]:
        return [
            InputCrash(
                server_id=known.server_id,
                incarnation=known.incarnation,
                domain=known.domain,
                at=known.at,
                key=key,
                refuted=True,
                in_rollout=known.in_rollout,
            )
            for key in crash.inputs
            if isinstance(known := self._known_crash(crash, key), InputCrash)
            and not known.refuted
        ]

    def _known_crash(self, crash: Crash, key: str) -> Item | None:
        process = f"{crash.server_id}\0{crash.incarnation}"
        return self._cluster.store.get(ItemKey(ItemKind.CRASH, process, key))


def _to_item(entry: QuarantineEntry) -> QuarantinedInput:
    return QuarantinedInput(
        key=entry.key,
        number=entry.number,
        state=entry.state,
        origin=entry.origin,
        seen_at=entry.seen_at,
    )


def _to_entry(item: QuarantinedInput) -> QuarantineEntry:
    return QuarantineEntry(
        key=item.key,
        number=item.number,
        state=item.state,
        origin=item.origin,
        seen_at=item.seen_at,
    )


def _to_crash(item: InputCrash) -> Crash:
    return Crash(
        server_id=item.server_id,
        incarnation=item.incarnation,
        domain=item.domain,
        at=item.at,
        inputs={item.key: 0},
        refuted=item.refuted,
        in_rollout=item.in_rollout,
    )
