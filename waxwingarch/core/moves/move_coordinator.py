"""Version moves on this host: the split of requests, and the evidence.

Any host can stop a bad version by the evidence that it has. To do so it
gossips a stop mark, which needs neither the platform nor the lease holder.
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
from waxwingarch.core.moves.move import make_stop_mark, may_close
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
# Unchanged counts are gossiped again after this time.
REPUBLISH_PERIOD_S: Final = 10.0

CountValues = tuple[int, int, int, int, bool]


class MoveCoordinator:
    """This host's part in the version moves.

    It chooses the version for each request, counts outcomes, exchanges
    the counts with the other hosts, and stops a bad version.
    """

    def __init__(self, cluster: Cluster, unix_offset: float) -> None:
        own_member = cluster.own
        self._cluster = cluster
        self._unix_offset = unix_offset
        self._own_host: HostId = own_member.host_id
        self._incarnation = own_member.incarnation
        self._records: dict[ServiceId, MoveRecord] = {}
        self.evidence = EvidenceRecorder(
            own_member.host_id, own_member.incarnation
        )
        self._peer_counts: dict[
            tuple[str, HostId], dict[str, EvidenceCount]
        ] = {}
        self._last_published: dict[str, tuple[CountValues, float]] = {}
        self._next_publish_at = 0.0

    # Move records and stop marks

    def records(self) -> list[MoveRecord]:
        """Return the latest move of each service, ordered by service."""
        return [self._records[k] for k in sorted(self._records)]

    def find_move(self, move_id: str) -> MoveRecord | None:
        """Return the move with an id, or None if it is unknown."""
        matching = (r for r in self._records.values() if r.move_id == move_id)
        return next(matching, None)

    def apply_moves(self, now: float, records: Iterable[MoveRecord]) -> None:
        """Replace the moves by those of a settings revision.

        Outcomes are recorded for the active ones; the counts of the others
        are dropped.
        """
        previous_ids = {r.move_id for r in self._records.values()}
        self._records = {r.service: r for r in records}
        for record in self._records.values():
            if record.active:
                self._watch_move(now, record)
        active_ids = {r.move_id for r in self._records.values() if r.active}
        for move_id in previous_ids - active_ids:
            self.evidence.unwatch(move_id)

    def _watch_move(self, now: float, record: MoveRecord) -> None:
        unix_now = now + self._unix_offset
        self.evidence.watch(
            record.move_id,
            service=record.service,
            old=record.old_version,
            new=record.new_version,
            duration_s=record.deadline_unix - record.created_unix,
            closed=may_close(record, unix_now),
        )

    def stop_marks(self) -> tuple[StopMark, ...]:
        """Return the stop marks known to this host."""
        items = self._cluster.store.items(ItemKind.STOP)
        return tuple(item for item in items if isinstance(item, StopMark))

    def is_on_trial(self, server: Server) -> bool:
        """Return whether a server has the new version of an active move."""
        record = self._records.get(server.service)
        return (
            record is not None
            and record.active
            and server.version == record.new_version
        )

    # Choice of the version for a request

    def filter_by_version(
        self,
        now: float,
        request: Request,
        views: list[ServerView],
        excluded: Collection[ServerId],
    ) -> list[ServerView]:
        """Keep the servers of the version that the request is assigned to.

        Retries go to the old version while the move is active. If the
        assigned version has no untried server, any server of the service
        may be used, except those of a stopped version.
        """
        record = self._records.get(request.service)
        if record is None:
            return views
        stop_marks = self.stop_marks()
        version_choice = choose_version(
            record,
            stop_marks,
            xxhash.xxh32_intdigest(request.request_id.encode()),
            request.route,
            now + self._unix_offset,
        )
        version = version_choice.version
        if excluded and record.active:
            version = record.old_version
        version_views = [v for v in views if v.server.version == version]
        preferred = [
            v
            for v in version_views
            if v.server.server_id in version_choice.servers
        ]
        untried_preferred = [
            v for v in preferred if v.server.server_id not in excluded
        ]
        if untried_preferred:
            return untried_preferred
        if any(v.server.server_id not in excluded for v in version_views):
            return version_views
        if not is_stopped(record, stop_marks):
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
        """Count the outcome of an attempt for the move of its service."""
        record = self._records.get(server.service)
        self.evidence.record_outcome(
            now,
            server.service,
            server.version,
            request.route,
            load_band(running, server.slots),
            ok,
            latency_s,
            record is not None and server.server_id in record.canary_servers,
        )

    def handle_items(self, now: float, items: Iterable[Item]) -> None:
        """Merge the counts and record the stop marks that were received."""
        for item in items:
            if isinstance(item, StopMark):
                self.evidence.record_stop_mark(item.move_id)
            if (
                isinstance(item, EvidenceCount)
                and item.host_id != self._own_host
            ):
                self._merge_count(item)

    def _merge_count(self, item: EvidenceCount) -> None:
        key = (item.move_id, item.host_id)
        cells = self._peer_counts.setdefault(key, {})
        newest_incarnation = max(
            (c.incarnation for c in cells.values()), default=0
        )
        if item.incarnation > newest_incarnation:
            cells.clear()
        cells["\0".join((item.version, item.route, item.band))] = item
        self.evidence.merge(
            HostEvidence(
                move_id=item.move_id,
                host_id=item.host_id,
                incarnation=item.incarnation,
                sequence=sum(c.sequence for c in cells.values()),
                closed=any(c.closed for c in cells.values()),
                cells=tuple(
                    _to_cell_counts(c) for c in cells.values() if c.version
                ),
            )
        )

    def tick(self, now: float) -> list[Action]:
        """Judge the moves, stop bad versions, publish this host's counts."""
        actions: list[Action] = []
        for record in self.records():
            if record.active and self.evidence.is_watched(record.move_id):
                actions += self._judge_move(now, record)
        if now >= self._next_publish_at:
            self._next_publish_at = now + PUBLISH_PERIOD_S
            actions += self._publish_counts(now)
        return actions

    def verdict(self, now: float, record: MoveRecord) -> Verdict | None:
        """Return the verdict by all counts known to this host."""
        return self.evidence.verdict(now, record.move_id)

    def _judge_move(self, now: float, record: MoveRecord) -> list[Action]:
        mark = make_stop_mark(record, self.verdict(now, record))
        if mark and not is_stopped(record, self.stop_marks()):
            return self._cluster.handle(now, PublishItem(item=mark))
        if may_close(record, now + self._unix_offset):
            self.evidence.close(record.move_id)
        return []

    def _publish_counts(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for record in self.records():
            if not record.active:
                continue
            evidence = self.evidence.snapshot(record.move_id)
            if evidence:
                actions += self._publish_cells(now, evidence)
        return actions

    def _publish_cells(
        self, now: float, evidence: HostEvidence
    ) -> list[Action]:
        """Publish changed cells, and others every `REPUBLISH_PERIOD_S`.

        Without any cell yet, a placeholder carries the `closed` flag.
        """
        actions: list[Action] = []
        cells = evidence.cells or (_placeholder_cell(),)
        for cell in cells:
            count = self._to_item(evidence, cell)
            cell_key = "\0".join(
                (count.move_id, count.version, count.route, count.band)
            )
            values = _count_values(count)
            last_values, republish_at = self._last_published.get(
                cell_key, (None, 0.0)
            )
            if last_values == values and now < republish_at:
                continue
            self._last_published[cell_key] = (values, now + REPUBLISH_PERIOD_S)
            actions += self._cluster.handle(now, PublishItem(item=count))
        return actions

    def _to_item(
        self, evidence: HostEvidence, cell: CellCounts
    ) -> EvidenceCount:
        return EvidenceCount(
            move_id=evidence.move_id,
            host_id=self._own_host,
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


def _count_values(count: EvidenceCount) -> CountValues:
    """Return the values that call for publishing when they change.

    The sequence number isn't one of them, as each snapshot raises it.
    """
    return (
        count.requests,
        count.failures,
        count.timed,
        count.slow,
        count.closed,
    )


def _to_cell_counts(item: EvidenceCount) -> CellCounts:
    return CellCounts(
        version=item.version,
        route=item.route,
        band=LoadBand(item.band),
        requests=item.requests,
        failures=item.failures,
        timed=item.timed,
        slow=item.slow,
    )


def _placeholder_cell() -> CellCounts:
    return CellCounts(version=VersionId(""), route="", band=LoadBand.LOW)
