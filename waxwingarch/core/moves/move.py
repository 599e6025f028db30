"""Drives a version move from the host that holds its lease.

The driver has no state of its own. Each tick reads the move's row and the
known state of the servers, so that the next lease holder continues where
the last one stopped; all progress is a write to the table. Stopping a bad
version needs neither the lease holder nor the platform, as any host can
set a stop mark by the evidence that it has (`make_stop_mark`).
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

# Orders are this far apart, so that the servers of one are listed as starting
# before the missing servers are counted again.
MIN_ORDER_INTERVAL_S: Final = 15.0
# A smaller increase of the share is written only if it reaches the planned
# share.
MIN_SHARE_STEP: Final = 0.05
# A canary is planned anew when its burst share changes by this fraction.
MAX_BURST_SHARE_DRIFT: Final = 0.2
# A move is out of time if the shift hasn't begun after this fraction of the
# time planned for the shift.
LATEST_SHIFT_FRACTION: Final = 0.75
# A move is out of time if the hold hasn't begun after this fraction of the
# time planned for the hold.
LATEST_HOLD_FRACTION: Final = 0.4


@dataclass(frozen=True, kw_only=True, slots=True)
class StartServers(Action):
    """Start one server of the version for each order id.

    An order id is never used for a second start; `fencing` is the lease
    holder's fencing token.
    """

    service: ServiceId
    version: VersionId
    order_ids: tuple[str, ...]
    fencing: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StopServers(Action):
    """Drain and stop these servers; the action is idempotent."""

    servers: tuple[ServerId, ...]
    fencing: int


@dataclass(frozen=True, kw_only=True, slots=True)
class MoveView:
    """What the lease holder knows of a move at a tick.

    `needed` is how many servers it takes to carry all requests of the
    service, `full_load_share` the share of its requests that fills one
    server, and `start_s` the time from the order of a server until it is
    ready. `starting_new` counts the new version's servers that were
    ordered and aren't ready yet, `new_running` the requests in progress on
    the new version. `open_hosts` are the live hosts that haven't closed
    the move yet, that is, may still set a stop mark on it.
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
    """Return the stop mark that this host's verdict calls for, or None."""
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
    """Return whether hosts may promise to set no more stop marks.

    They may once the hold phase has lasted as long as planned.
    """
    hold_is_over = unix_now >= record.hold_until_unix
    return record.state is MoveState.HOLDING and hold_is_over


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
    """Return the record of a new move with the times of its phases."""
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
    """Advances a move by at most one state or share change per tick.

    Only the lease holder may tick it.
    """

    def __init__(self, policy: MovePolicy) -> None:
        self._policy = policy
        self._event_by_state: dict[
            MoveState, Callable[[MoveView], MoveEvent | None]
        ] = {
            MoveState.PLANNED: self._event_in_planned,
            MoveState.STARTING: self._event_in_starting,
            MoveState.CANARY: self._event_in_canary,
            MoveState.SHIFTING: self._event_in_shifting,
            MoveState.HOLDING: self._event_in_holding,
            MoveState.TAKING_BACK: self._event_in_taking_back,
        }

    def tick(self, view: MoveView) -> list[Action]:
        """Return the writes and orders that are due now.

        After a move has ended, the servers of the unused version are
        stopped.
        """
        if view.record.ended:
            return self._stop_unneeded_servers(view)
        record = self._advance(view)
        record, orders = self._order_servers(view, record)
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
            event = self._event_by_state[record.state](view)
        if event is None:
            return self._update_share(view)
        if event in (MoveEvent.STOPPED, MoveEvent.OUT_OF_TIME, MoveEvent.HELD):
            reason = _explain(event, view)
            return end_move(record, event, view.unix_now, reason)
        state = TRANSITIONS[record.state, event]
        advanced = replace(record, state=state)
        if state is MoveState.CANARY:
            return self._begin_canary(view, advanced)
        return advanced

    def _event_in_planned(self, view: MoveView) -> MoveEvent | None:
        return MoveEvent.BEGIN

    def _event_in_starting(self, view: MoveView) -> MoveEvent | None:
        if view.unix_now > _latest_shift_unix(view.record):
            return MoveEvent.OUT_OF_TIME
        plan = self._policy.canary(view.full_load_share, view.route_shares)
        if len(view.new_servers) < plan.servers or not view.route_shares:
            return None
        return MoveEvent.SERVERS_READY

    def _event_in_canary(self, view: MoveView) -> MoveEvent | None:
        record, verdict = view.record, view.verdict
        if verdict and self._policy.may_shift(record, verdict, view.unix_now):
            return MoveEvent.EVIDENCE_SUFFICES
        if view.unix_now > _latest_shift_unix(record):
            return MoveEvent.OUT_OF_TIME
        return None

    def _event_in_shifting(self, view: MoveView) -> MoveEvent | None:
        record = view.record
        if record.share >= self._policy.held_share():
            return MoveEvent.FULL_SHARE
        hold_s = record.hold_until_unix - record.hold_from_unix
        latest_unix = record.hold_from_unix + LATEST_HOLD_FRACTION * hold_s
        return MoveEvent.OUT_OF_TIME if view.unix_now > latest_unix else None

    def _event_in_holding(self, view: MoveView) -> MoveEvent | None:
        record, verdict = view.record, view.verdict
        if view.unix_now < record.hold_until_unix:
            return None
        is_clean = verdict is not None and not verdict.suspicious
        if is_clean and not view.open_hosts:
            return MoveEvent.HELD
        is_late = view.unix_now > record.deadline_unix
        return MoveEvent.OUT_OF_TIME if is_late else None

    def _event_in_taking_back(self, view: MoveView) -> MoveEvent | None:
        return MoveEvent.DRAINED if view.new_running == 0 else None

    def _begin_canary(self, view: MoveView, record: MoveRecord) -> MoveRecord:
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

    def _update_share(self, view: MoveView) -> MoveRecord:
        """Raise the share by the plan, unless the verdict is suspicious.

        It is raised no further than the ready servers can carry. During
        the canary phase, its servers and its load are updated instead.
        """
        record, verdict = view.record, view.verdict
        if record.state is MoveState.CANARY:
            return self._replan_canary(_replace_missing_servers(view), view)
        if record.state is not MoveState.SHIFTING:
            return record
        if verdict is None or verdict.suspicious:
            return record
        max_carried_share = len(view.new_servers) / max(view.needed, 1)
        planned_share = self._policy.share_at(record, view.unix_now)
        share = min(planned_share, max_carried_share)
        if share - record.share < MIN_SHARE_STEP and share < planned_share:
            return record
        return replace(record, share=max(share, record.share))

    def _replan_canary(self, record: MoveRecord, view: MoveView) -> MoveRecord:
        """Plan the canary anew, outside of a burst, if the load changed."""
        if in_burst(record, view.unix_now):
            return record
        plan = self._policy.canary(view.full_load_share, view.route_shares)
        burst_share_drift = abs(plan.burst_share - record.burst_share)
        if (
            plan.concentrated
            or burst_share_drift <= MAX_BURST_SHARE_DRIFT * record.burst_share
        ):
            return record
        return replace(
            record,
            route_shares=plan.route_shares,
            burst_share=plan.burst_share,
            burst_s=plan.burst_s,
        )

    def _order_servers(
        self, view: MoveView, record: MoveRecord
    ) -> tuple[MoveRecord, list[Action]]:
        """Order the missing servers of the new version.

        The returned record counts the orders. It is written before they
        are given, so that no order id is ever used twice.
        """
        ordered_or_ready = len(view.new_servers) + view.starting_new
        missing = self._servers_wanted(view, record) - ordered_or_ready
        may_order = view.unix_now - record.ordered_unix >= MIN_ORDER_INTERVAL_S
        if missing <= 0 or not may_order:
            return record, []
        ids = range(record.orders, record.orders + missing)
        start = StartServers(
            service=record.service,
            version=record.new_version,
            order_ids=tuple(f"{record.move_id}-{i}" for i in ids),
            fencing=view.fencing,
        )
        updated = replace(
            record,
            orders=record.orders + missing,
            ordered_unix=view.unix_now,
        )
        return updated, [start]

    def _servers_wanted(self, view: MoveView, record: MoveRecord) -> int:
        """Return how many servers of the new version should run.

        All that the service needs are ordered `start_s` before the shift,
        if the verdict isn't suspicious by then.
        """
        if not record.active or record.state is MoveState.PLANNED:
            return 0
        plan = self._policy.canary(view.full_load_share, view.route_shares)
        if record.state in (MoveState.SHIFTING, MoveState.HOLDING):
            return max(view.needed, plan.servers)
        verdict = view.verdict
        shift_is_near = view.unix_now >= record.shift_from_unix - view.start_s
        in_canary = record.state is MoveState.CANARY
        if in_canary and shift_is_near and verdict and not verdict.suspicious:
            return max(view.needed, plan.servers)
        return plan.servers

    def _stop_unneeded_servers(self, view: MoveView) -> list[Action]:
        is_done = view.record.state is MoveState.DONE
        unwanted = view.old_servers if is_done else view.new_servers
        if not unwanted:
            return []
        return [StopServers(servers=unwanted, fencing=view.fencing)]


def _replace_missing_servers(view: MoveView) -> MoveRecord:
    """Replace canary and control servers that no longer exist."""
    record = view.record
    return replace(
        record,
        canary_servers=_refill(record.canary_servers, view.new_servers),
        control_servers=_refill(record.control_servers, view.old_servers),
    )


def _refill(
    chosen: tuple[ServerId, ...], live: tuple[ServerId, ...]
) -> tuple[ServerId, ...]:
    """Replace the servers of `chosen` that aren't live by live ones."""
    live_chosen = tuple(server for server in chosen if server in live)
    replacements = tuple(server for server in live if server not in chosen)
    return live_chosen + replacements[: len(chosen) - len(live_chosen)]


def _latest_shift_unix(record: MoveRecord) -> float:
    """Return the latest time at which the shift may begin."""
    shift_s = record.hold_from_unix - record.shift_from_unix
    return record.shift_from_unix + LATEST_SHIFT_FRACTION * shift_s


def _explain(event: MoveEvent, view: MoveView) -> str:
    """Return the reason for a move's end, for the operator."""
    record, verdict = view.record, view.verdict
    evidence = verdict.explain() if verdict else "no evidence"
    if event is MoveEvent.STOPPED:
        return next(
            mark.reason
            for mark in view.stop_marks
            if mark.move_id == record.move_id
        )
    if event is MoveEvent.HELD:
        late_s = view.unix_now - record.deadline_unix
        end = f"{late_s:.0f} s after its deadline" if late_s > 0 else "in time"
        return f"held, {end}; worst comparison: {evidence}"
    return f"{_explain_delay(view)}; worst comparison: {evidence}"


def _explain_delay(view: MoveView) -> str:
    """Return why the move wasn't done in time, for the operator."""
    record, verdict = view.record, view.verdict
    if record.state is MoveState.STARTING:
        ready = len(view.new_servers)
        return f"the canary servers did not start in time ({ready} ready)"
    if verdict is not None and verdict.suspicious:
        return "the suspicion against the version was not cleared in time"
    in_canary = record.state is MoveState.CANARY
    if verdict is None or (in_canary and verdict.missing):
        gap = verdict.missing if verdict else "no verdict"
        return f"the evidence did not suffice in time ({gap})"
    if record.state is MoveState.HOLDING and view.open_hosts:
        hosts = ", ".join(view.open_hosts)
        return f"hosts did not confirm the end of the hold: {hosts}"
    ready = len(view.new_servers)
    return f"{ready} of {view.needed} new servers were ready in time"
