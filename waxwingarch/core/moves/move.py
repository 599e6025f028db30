"""The driver of a version move: one lease holder, table writes only.

The driver keeps nothing: each tick reads the row and what is known of
the servers, so the next holder goes on where the last one stopped.
Stopping a bad version needs neither the holder nor the platform: any
host sets a stop mark by its own evidence (`stop_version`).
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Final

from waxwingarch.core.base import (
    Action,
    HostId,
    ServerId,
    ServiceId,
    VersionId,
)
from waxwingarch.core.cluster.items import StopMark
from waxwingarch.core.moves.move_judge import Decision, Verdict
from waxwingarch.core.moves.move_policy import MovePolicy
from waxwingarch.core.moves.move_record import (
    TRANSITIONS,
    MoveEvent,
    MoveRecord,
    MoveState,
    WriteMove,
    end_move,
)
from waxwingarch.core.moves.move_split import in_burst, is_stopped

ORDER_SETTLE_S: Final = 15.0
MIN_STEP: Final = 0.05
MAX_LOAD_DRIFT: Final = 0.2
LATEST_SHIFT: Final = 0.75
LATEST_HOLD: Final = 0.4


@dataclass(frozen=True, kw_only=True, slots=True)
class StartServers(Action):
    """Start one server of the version for each order id.

    An order id names one start for ever; `fencing` is the holder's.
    """

    service: ServiceId
    version: VersionId
    order_ids: tuple[str, ...]
    fencing: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StopServers(Action):
    """Drain and stop these servers; repeating it does no harm."""

    servers: tuple[ServerId, ...]
    fencing: int


@dataclass(frozen=True, kw_only=True, slots=True)
class MoveView:
    """What the holder knows when it ticks.

    `needed` servers carry all requests of the service;
    `full_load_share` is the share of requests that fills one server;
    `start_s` is how long a server takes from its order to be ready.
    `starting_new` counts new servers ordered and not ready yet;
    `new_running` the requests in progress on the new version;
    `open_hosts` are the live hosts that have not closed the move.
    """

    unix_now: float
    record: MoveRecord
    record_version: int
    fencing: int
    stop_marks: tuple[StopMark, ...]
    verdict: Verdict | None
    new_servers: tuple[ServerId, ...]
    old_servers: tuple[ServerId, ...]
    starting_new: int
    start_s: float
    needed: int
    full_load_share: float
    route_shares: dict[str, float]
    new_running: int
    open_hosts: tuple[HostId, ...]


def make_stop_mark(
    record: MoveRecord, verdict: Verdict | None
) -> StopMark | None:
    """Return the mark that this host's evidence calls for, if any."""
    if verdict is None or verdict.decision is not Decision.STOP:
        return None
    if not record.active:
        return None
    return StopMark(
        service=record.service,
        version=record.new_version,
        move_id=record.move_id,
        reason=verdict.explain(),
    )


def may_close(record: MoveRecord, unix_now: float) -> bool:
    """Return whether a host may promise to set no more stop marks."""
    held = unix_now >= record.hold_until_unix
    return record.state is MoveState.HOLDING and held


def plan_move(
    policy: MovePolicy,
    *,
    move_id: str,
    service: ServiceId,
    old_version: VersionId,
    new_version: VersionId,
    created_unix: float,
    deadline_unix: float,
) -> MoveRecord:
    """Return the record of a new move, its phases planned."""
    plan = policy.plan(created_unix, deadline_unix)
    return MoveRecord(
        move_id=move_id,
        service=service,
        old_version=old_version,
        new_version=new_version,
        state=MoveState.PLANNED,
        created_unix=created_unix,
        deadline_unix=deadline_unix,
        shift_from_unix=plan.shift_from_unix,
        hold_from_unix=plan.hold_from_unix,
        hold_until_unix=plan.hold_until_unix,
    )


class MoveDriver:
    """Advances a move; to be ticked by the lease holder only."""

    def __init__(self, policy: MovePolicy) -> None:
        self._policy = policy
        self._next: dict[MoveState, Callable[[MoveView], MoveEvent | None]] = {
            MoveState.PLANNED: self._from_planned,
            MoveState.STARTING: self._from_starting,
            MoveState.CANARY: self._from_canary,
            MoveState.SHIFTING: self._from_shifting,
            MoveState.HOLDING: self._from_holding,
            MoveState.TAKING_BACK: self._from_taking_back,
        }

    def tick(self, view: MoveView) -> list[Action]:
        """Return what is to be done now; an ended move is cleared up."""
        if view.record.ended:
            return self._clear_up(view)
        record = self._advance(view)
        record, orders = self._order(view, record)
        actions: list[Action] = []
        if record != view.record:
            record = replace(record, fencing=view.fencing)
            actions.append(
                WriteMove(record=record, expected_version=view.record_version)
            )
        return actions + orders

    def _advance(self, view: MoveView) -> MoveRecord:
        record = view.record
        if record.active and is_stopped(record, view.stop_marks):
            event: MoveEvent | None = MoveEvent.STOPPED
        else:
            event = self._next[record.state](view)
        if event is None:
            return self._with_share(view)
        if event in (MoveEvent.STOPPED, MoveEvent.OUT_OF_TIME, MoveEvent.HELD):
            reason = _explain(event, view)
            return end_move(record, event, view.unix_now, reason)
        state = TRANSITIONS[record.state, event]
        moved = replace(record, state=state)
        if state is MoveState.CANARY:
            return self._with_canary(view, moved)
        return moved

    def _from_planned(self, view: MoveView) -> MoveEvent | None:
        return MoveEvent.BEGIN

    def _from_starting(self, view: MoveView) -> MoveEvent | None:
        if view.unix_now > _latest_shift(view.record):
            return MoveEvent.OUT_OF_TIME
        plan = self._policy.canary(view.full_load_share, view.route_shares)
        if len(view.new_servers) < plan.servers or not view.route_shares:
            return None
        return MoveEvent.SERVERS_READY

    def _from_canary(self, view: MoveView) -> MoveEvent | None:
        record, verdict = view.record, view.verdict
        if verdict and self._policy.may_shift(record, verdict, view.unix_now):
            return MoveEvent.EVIDENCE_SUFFICES
        if view.unix_now > _latest_shift(record):
            return MoveEvent.OUT_OF_TIME
        return None

    def _from_shifting(self, view: MoveView) -> MoveEvent | None:
        record = view.record
        if record.share >= self._policy.held_share():
            return MoveEvent.FULL_SHARE
        hold = record.hold_until_unix - record.hold_from_unix
        latest = record.hold_from_unix + LATEST_HOLD * hold
        return MoveEvent.OUT_OF_TIME if view.unix_now > latest else None

    def _from_holding(self, view: MoveView) -> MoveEvent | None:
        record, verdict = view.record, view.verdict
        if view.unix_now < record.hold_until_unix:
            return None
        clean = verdict is not None and not verdict.suspicious
        if clean and not view.open_hosts:
            return MoveEvent.HELD
        late = view.unix_now > record.deadline_unix
        return MoveEvent.OUT_OF_TIME if late else None

    def _from_taking_back(self, view: MoveView) -> MoveEvent | None:
        return MoveEvent.DRAINED if view.new_running == 0 else None

    def _with_canary(self, view: MoveView, record: MoveRecord) -> MoveRecord:
        plan = self._policy.canary(view.full_load_share, view.route_shares)
        return replace(
            record,
            canary_since_unix=view.unix_now,
            share=plan.share,
            route_shares=plan.route_shares,
            concentrated=plan.concentrated,
            burst_share=plan.burst_share,
            burst_s=plan.burst_s,
            canary_servers=view.new_servers[: plan.servers],
            control_servers=view.old_servers[: plan.servers],
        )

    def _with_share(self, view: MoveView) -> MoveRecord:
        """Take the next step of the share, if nothing speaks against it."""
        record, verdict = view.record, view.verdict
        if record.state is MoveState.CANARY:
            return self._with_load(_with_live_servers(view), view)
        if record.state is not MoveState.SHIFTING:
            return record
        if verdict is None or verdict.suspicious:
            return record
        carried = len(view.new_servers) / max(view.needed, 1)
        planned = self._policy.share_at(record, view.unix_now)
        share = min(planned, carried)
        if share - record.share < MIN_STEP and share < planned:
            return record
        return replace(record, share=max(share, record.share))

    def _with_load(self, record: MoveRecord, view: MoveView) -> MoveRecord:
        """Plan the canary again when the load has changed much."""
        if in_burst(record, view.unix_now):
            return record
        plan = self._policy.canary(view.full_load_share, view.route_shares)
        drift = abs(plan.burst_share - record.burst_share)
        if plan.concentrated or drift <= MAX_LOAD_DRIFT * record.burst_share:
            return record
        return replace(
            record,
            route_shares=plan.route_shares,
            burst_share=plan.burst_share,
            burst_s=plan.burst_s,
        )

    def _order(
        self, view: MoveView, record: MoveRecord
    ) -> tuple[MoveRecord, list[Action]]:
        """Order the servers that are missing; count the orders first."""
        known = len(view.new_servers) + view.starting_new
        missing = self._wanted(view, record) - known
        settled = view.unix_now - record.ordered_unix >= ORDER_SETTLE_S
        if missing <= 0 or not settled:
            return record, []
        ids = range(record.orders, record.orders + missing)
        start = StartServers(
            service=record.service,
            version=record.new_version,
            order_ids=tuple(f"{record.move_id}-{i}" for i in ids),
            fencing=view.fencing,
        )
        counted = replace(
            record,
            orders=record.orders + missing,
            ordered_unix=view.unix_now,
        )
        return counted, [start]

    def _wanted(self, view: MoveView, record: MoveRecord) -> int:
        """Return how many servers of the new version are wanted."""
        if not record.active or record.state is MoveState.PLANNED:
            return 0
        plan = self._policy.canary(view.full_load_share, view.route_shares)
        if record.state in (MoveState.SHIFTING, MoveState.HOLDING):
            return max(view.needed, plan.servers)
        verdict = view.verdict
        soon = view.unix_now >= record.shift_from_unix - view.start_s
        canary = record.state is MoveState.CANARY
        if canary and soon and verdict and not verdict.suspicious:
            return max(view.needed, plan.servers)
        return plan.servers

    def _clear_up(self, view: MoveView) -> list[Action]:
        done = view.record.state is MoveState.DONE
        unwanted = view.old_servers if done else view.new_servers
        if not unwanted:
            return []
        return [StopServers(servers=unwanted, fencing=view.fencing)]


def _with_live_servers(view: MoveView) -> MoveRecord:
    """Replace canary and control servers that are gone."""
    record = view.record
    return replace(
        record,
        canary_servers=_refill(record.canary_servers, view.new_servers),
        control_servers=_refill(record.control_servers, view.old_servers),
    )


def _refill(
    chosen: tuple[ServerId, ...], live: tuple[ServerId, ...]
) -> tuple[ServerId, ...]:
    """Keep what is live of `chosen`, fill up with other live servers."""
    kept = tuple(server for server in chosen if server in live)
    others = tuple(server for server in live if server not in chosen)
    return kept + others[: len(chosen) - len(kept)]


def _latest_shift(record: MoveRecord) -> float:
    """Return when the shift must have begun to end in time."""
    whole = record.hold_from_unix - record.shift_from_unix
    return record.shift_from_unix + LATEST_SHIFT * whole


def _explain(event: MoveEvent, view: MoveView) -> str:
    """Return the reason of an end, in words for the operator."""
    record, verdict = view.record, view.verdict
    evidence = verdict.explain() if verdict else "no evidence"
    if event is MoveEvent.STOPPED:
        return next(
            mark.reason
            for mark in view.stop_marks
            if mark.move_id == record.move_id
        )
    if event is MoveEvent.HELD:
        late = view.unix_now - record.deadline_unix
        end = f"{late:.0f} s after its deadline" if late > 0 else "in time"
        return f"held, {end}; worst comparison: {evidence}"
    return f"{_shortage(view)}; worst comparison: {evidence}"


def _shortage(view: MoveView) -> str:
    """Name what kept the move from being done in time."""
    record, verdict = view.record, view.verdict
    if record.state is MoveState.STARTING:
        ready = len(view.new_servers)
        return f"the canary servers did not start in time ({ready} ready)"
    if verdict is not None and verdict.suspicious:
        return "the suspicion against the version was not cleared in time"
    before = record.state is MoveState.CANARY
    if verdict is None or (before and verdict.missing):
        gap = verdict.missing if verdict else "no verdict"
        return f"the evidence did not suffice in time ({gap})"
    if record.state is MoveState.HOLDING and view.open_hosts:
        hosts = ", ".join(view.open_hosts)
        return f"hosts did not confirm the end of the hold: {hosts}"
    ready = len(view.new_servers)
    return f"{ready} of {view.needed} new servers were ready in time"
