"""Version moves on this host: which version serves, and the evidence.

Any host stops a bad version by its own evidence: it publishes a stop
mark, which needs neither the platform nor the holder of the lease.
"""

from collections.abc import Collection, Iterable
from typing import Final

import xxhash

from waxwingarch.core.base import (
    Action,
    HostId,
    Server,
    ServerId,
    ServiceId,
    VersionId,
)
from waxwingarch.core.cluster.cluster import Cluster
from waxwingarch.core.cluster.cluster_events import (
    PublishItem,
)
from waxwingarch.core.cluster.items import EvidenceCount, Item, StopMark
from waxwingarch.core.cluster.merge import ItemKind
from waxwingarch.core.moves.evidence import EvidenceRecorder
from waxwingarch.core.moves.move import may_close, stop_version
from waxwingarch.core.moves.move_counts import (
    CellCounts,
    HostEvidence,
    LoadBand,
    load_band,
)
from waxwingarch.core.moves.move_judge import Verdict
from waxwingarch.core.moves.move_record import MoveRecord
from waxwingarch.core.moves.move_split import choose_version, is_stopped
from waxwingarch.core.placement.placement_messages import ServerView
from waxwingarch.core.request import Request

PUBLISH_PERIOD_S: Final = 1.0
REPUBLISH_PERIOD_S: Final = 10.0

Numbers = tuple[int, int, int, int, bool]


class MoveCoordinator:
    """The moves under way, as this host follows them."""

    def __init__(self, cluster: Cluster, unix_offset: float) -> None:
        own = cluster.own
        self._cluster = cluster
        self._unix_offset = unix_offset
        self._own: HostId = own.host_id
        self._incarnation = own.incarnation
        self._records: dict[ServiceId, MoveRecord] = {}
        self.book = EvidenceRecorder(own.host_id, own.incarnation)
        self._heard: dict[tuple[str, HostId], dict[str, EvidenceCount]] = {}
        self._published: dict[str, tuple[Numbers, float]] = {}
        self._publish_at = 0.0

    # Records and marks

    def records(self) -> list[MoveRecord]:
        """Return the latest move of each service, ordered by service."""
        return [self._records[k] for k in sorted(self._records)]

    def find(self, move_id: str) -> MoveRecord | None:
        """Return a move by its id."""
        found = (r for r in self._records.values() if r.move_id == move_id)
        return next(found, None)

    def apply(self, now: float, records: Iterable[MoveRecord]) -> None:
        """Take the moves of a settings revision."""
        before = {r.move_id for r in self._records.values()}
        self._records = {r.service: r for r in records}
        for record in self._records.values():
            if record.active:
                self._watch(now, record)
        kept = {r.move_id for r in self._records.values() if r.active}
        for move_id in before - kept:
            self.book.forget(move_id)

    def _watch(self, now: float, record: MoveRecord) -> None:
        unix_now = now + self._unix_offset
        self.book.watch(
            record.move_id,
            service=record.service,
            old=record.old_version,
            new=record.new_version,
            duration_s=record.deadline_unix - record.created_unix,
            closed=may_close(record, unix_now),
        )

    def stop_marks(self) -> tuple[StopMark, ...]:
        """Return the stop marks known on this host."""
        items = self._cluster.store.items(ItemKind.STOP)
        return tuple(item for item in items if isinstance(item, StopMark))

    # Which version serves

    def narrow(
        self,
        now: float,
        request: Request,
        views: list[ServerView],
        excluded: Collection[ServerId],
    ) -> list[ServerView]:
        """Keep the servers of the version that a request goes to.

        Where that version has no server left, the other one serves,
        unless it is stopped.
        """
        record = self._records.get(request.service)
        if record is None:
            return views
        marks = self.stop_marks()
        choice = choose_version(
            record,
            marks,
            xxhash.xxh32_intdigest(request.request_id.encode()),
            request.route,
            now + self._unix_offset,
        )
        version = choice.version
        if excluded and record.active:
            version = record.old_version
        wanted = [v for v in views if v.server.version == version]
        named = [v for v in wanted if v.server.server_id in choice.servers]
        untried = [v for v in named if v.server.server_id not in excluded]
        if untried:
            return untried
        if any(v.server.server_id not in excluded for v in wanted):
            return wanted
        if not is_stopped(record, marks):
            return views
        return [v for v in views if v.server.version != record.new_version]

    # Evidence

    def record_attempt(
        self,
        now: float,
        request: Request,
        server: Server,
        *,
        running: int,
        ok: bool,
        latency_s: float,
    ) -> None:
        """Count the outcome of an attempt for the moves watched."""
        record = self._records.get(server.service)
        self.book.record(
            now,
            server.service,
            server.version,
            request.route,
            load_band(running, server.slots),
            ok,
            latency_s,
            record is not None and server.server_id in record.canary_servers,
        )

    def heard(self, now: float, items: Iterable[Item]) -> None:
        """Take counts of other hosts."""
        for item in items:
            if isinstance(item, StopMark):
                self.book.learn_stop(item.move_id)
            if isinstance(item, EvidenceCount) and item.host_id != self._own:
                self._merge(item)

    def _merge(self, item: EvidenceCount) -> None:
        key = (item.move_id, item.host_id)
        cells = self._heard.setdefault(key, {})
        newest = max((c.incarnation for c in cells.values()), default=0)
        if item.incarnation > newest:
            cells.clear()
        cells["\0".join((item.version, item.route, item.band))] = item
        self.book.merge(
            HostEvidence(
                move_id=item.move_id,
                host_id=item.host_id,
                incarnation=item.incarnation,
                sequence=sum(c.sequence for c in cells.values()),
                closed=any(c.closed for c in cells.values()),
                cells=tuple(_cell(c) for c in cells.values() if c.version),
            )
        )

    def tick(self, now: float) -> list[Action]:
        """Judge, stop a bad version, and spread this host's counts."""
        actions: list[Action] = []
        for record in self.records():
            if record.active and self.book.watching(record.move_id):
                actions += self._judge(now, record)
        if now >= self._publish_at:
            self._publish_at = now + PUBLISH_PERIOD_S
            actions += self._publish_counts(now)
        return actions

    def verdict(self, now: float, record: MoveRecord) -> Verdict | None:
        """Return the verdict on all counts known here."""
        return self.book.verdict(now, record.move_id)

    def _judge(self, now: float, record: MoveRecord) -> list[Action]:
        mark = stop_version(record, self.verdict(now, record))
        if mark and not is_stopped(record, self.stop_marks()):
            return self._cluster.handle(now, PublishItem(item=mark))
        if may_close(record, now + self._unix_offset):
            self.book.close(record.move_id)
        return []

    def _publish_counts(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for record in self.records():
            if not record.active:
                continue
            evidence = self.book.snapshot(record.move_id)
            if evidence:
                actions += self._publish(now, evidence)
        return actions

    def _publish(self, now: float, evidence: HostEvidence) -> list[Action]:
        """Spread the cells that changed; all of them now and then."""
        actions: list[Action] = []
        cells = evidence.cells or (_empty_cell(),)
        for cell in cells:
            count = self._count(evidence, cell)
            name = "\0".join(
                (count.move_id, count.version, count.route, count.band)
            )
            numbers = _numbers(count)
            known, due = self._published.get(name, (None, 0.0))
            if known == numbers and now < due:
                continue
            self._published[name] = (numbers, now + REPUBLISH_PERIOD_S)
            actions += self._cluster.handle(now, PublishItem(item=count))
        return actions

    def _count(
        self, evidence: HostEvidence, cell: CellCounts
    ) -> EvidenceCount:
        return EvidenceCount(
            move_id=evidence.move_id,
            host_id=self._own,
            incarnation=self._incarnation,
            sequence=evidence.sequence,
            closed=evidence.closed,
            version=cell.version,
            route=cell.route,
            band=cell.band.value,
            requests=cell.requests,
            failures=cell.failures,
            timed=cell.timed,
            slow=cell.slow,
        )


def _numbers(count: EvidenceCount) -> Numbers:
    """Return what changes when counts do, whatever the sequence."""
    return (
        count.requests,
        count.failures,
        count.timed,
        count.slow,
        count.closed,
    )


def _cell(item: EvidenceCount) -> CellCounts:
    return CellCounts(
        version=item.version,
        route=item.route,
        band=LoadBand(item.band),
        requests=item.requests,
        failures=item.failures,
        timed=item.timed,
        slow=item.slow,
    )


def _empty_cell() -> CellCounts:
    return CellCounts(version=VersionId(""), route="", band=LoadBand.LOW)
