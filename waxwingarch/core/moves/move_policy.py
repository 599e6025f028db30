"""Plans the phases and shares of a version move, back from its deadline."""

from collections.abc import Mapping
from dataclasses import dataclass
from math import floor
from typing import Final, Protocol

from waxwingarch.core.moves.move_judge import Decision, Verdict
from waxwingarch.core.moves.move_record import MoveRecord, RouteShare
from waxwingarch.core.moves.move_split import BURST_PERIOD_S

# Greatest average share of all requests that the canary gets.
CANARY_SHARE: Final = 0.045
# The part of CANARY_SHARE that is sent outside of bursts, if there are any.
TRICKLE_SHARE: Final = 0.018
MAX_BURST_SHARE: Final = 0.5
# Outside of bursts, at most this share of a route's requests is sent to the
# canary.
MAX_ROUTE_SHARE: Final = 0.3
# Outside of bursts, a route gets at least this fraction of its burst share.
MIN_TRICKLE_RATIO: Final = 0.1
MAX_CANARY_SERVERS: Final = 8
# Share of the new version in the hold phase; the old version keeps the rest,
# so that the two can still be compared.
HELD_SHARE: Final = 0.95
SHARE_STEPS: Final = (0.1, 0.2, 0.4, 0.7, HELD_SHARE)

# Each phase lasts a fraction of the time from the move's creation to its
# deadline, within a minimum and a maximum. The canary has the rest of it;
# the hosts close the move in the last phase.
SHIFT_FRACTION: Final = 0.15
SHIFT_MIN_S: Final = 20.0
SHIFT_MAX_S: Final = 900.0
HOLD_FRACTION: Final = 0.15
HOLD_MIN_S: Final = 30.0
HOLD_MAX_S: Final = 1800.0
CLOSE_FRACTION: Final = 0.02
CLOSE_MIN_S: Final = 5.0
CLOSE_MAX_S: Final = 30.0


@dataclass(frozen=True, kw_only=True, slots=True)
class MovePlan:
    """When the shift and the hold begin and the hold ends, in Unix seconds."""

    shift_from_unix: float
    hold_from_unix: float
    hold_until_unix: float


@dataclass(frozen=True, kw_only=True, slots=True)
class CanaryPlan:
    """The servers and the load of a canary; see `MoveRecord`.

    A `concentrated` canary is at full load all the time, without bursts.
    """

    servers: int
    share: float
    route_shares: tuple[RouteShare, ...] = ()
    concentrated: bool = False
    burst_share: float = 0.0
    burst_s: float = 0.0


class MovePolicy(Protocol):
    """Decides on the times and shares of a move's phases."""

    def plan(self, created_unix: float, deadline_unix: float) -> MovePlan:
        """Return when the phases begin."""
        ...

    def canary(
        self, full_load_share: float, route_shares: Mapping[str, float]
    ) -> CanaryPlan:
        """Return the servers and the load of the canary.

        `full_load_share` is the share of all requests that brings one
        server to full load, `route_shares` each route's share of them.
        """
        ...

    def may_shift(
        self, record: MoveRecord, verdict: Verdict, unix_now: float
    ) -> bool:
        """Return whether the move may go from the canary to the shift."""
        ...

    def share_at(self, record: MoveRecord, unix_now: float) -> float:
        """Return the new version's share by the plan at a time."""
        ...

    def held_share(self) -> float:
        """Return the new version's share during the hold phase."""
        ...


def _clamp(value: float, low: float, high: float) -> float:
    return min(max(value, low), high)


class PacedPolicy:
    """Keeps the canary for as long as the deadline allows, then shifts.

    A long canary finds late faults at a small share, and most servers of
    the new version are paid for only from the shift on. In the hold phase
    the old version keeps some of the requests, so that the two versions
    can still be compared.
    """

    def plan(self, created_unix: float, deadline_unix: float) -> MovePlan:
        """Return the phases' times, counted back from the deadline."""
        total_s = max(deadline_unix - created_unix, 0.0)
        close_s = _clamp(total_s * CLOSE_FRACTION, CLOSE_MIN_S, CLOSE_MAX_S)
        hold_s = _clamp(total_s * HOLD_FRACTION, HOLD_MIN_S, HOLD_MAX_S)
        shift_s = _clamp(total_s * SHIFT_FRACTION, SHIFT_MIN_S, SHIFT_MAX_S)
        hold_until_unix = deadline_unix - close_s
        return MovePlan(
            shift_from_unix=hold_until_unix - hold_s - shift_s,
            hold_from_unix=hold_until_unix - hold_s,
            hold_until_unix=hold_until_unix,
        )

    def canary(
        self, full_load_share: float, route_shares: Mapping[str, float]
    ) -> CanaryPlan:
        """Return a canary at full load, all the time or in bursts.

        It is at full load all the time if `CANARY_SHARE` of the requests
        fill a server; else a single server gets bursts.
        """
        if 0 < full_load_share <= CANARY_SHARE:
            server_count = min(
                floor(CANARY_SHARE / full_load_share), MAX_CANARY_SERVERS
            )
            return CanaryPlan(
                servers=server_count,
                share=server_count * full_load_share,
                concentrated=True,
            )
        burst_share = min(full_load_share, MAX_BURST_SHARE) or MAX_BURST_SHARE
        burst_budget = CANARY_SHARE - TRICKLE_SHARE
        return CanaryPlan(
            servers=1,
            share=TRICKLE_SHARE,
            route_shares=_balance_routes(route_shares),
            burst_share=burst_share,
            burst_s=BURST_PERIOD_S * burst_budget / burst_share,
        )

    def may_shift(
        self, record: MoveRecord, verdict: Verdict, unix_now: float
    ) -> bool:
        """Return whether the shift is due and the evidence suffices."""
        is_due = unix_now >= record.shift_from_unix
        return is_due and verdict.decision is Decision.SUFFICIENT

    def share_at(self, record: MoveRecord, unix_now: float) -> float:
        """Return the share of the step that is due now."""
        shift_s = record.hold_from_unix - record.shift_from_unix
        progress = (unix_now - record.shift_from_unix) / max(shift_s, 1e-9)
        step_index = int(_clamp(progress, 0.0, 0.999) * len(SHARE_STEPS))
        return SHARE_STEPS[step_index]

    def held_share(self) -> float:
        """Return the new version's share during the hold phase."""
        return HELD_SHARE


def _balance_routes(
    route_shares: Mapping[str, float],
) -> tuple[RouteShare, ...]:
    """Return the routes' shares outside of bursts.

    They give all routes like amounts of evidence: in a burst each route
    has its usual share of the requests, and the shares outside of bursts
    make up for the difference, rarest routes first.
    """
    burst_budget = CANARY_SHARE - TRICKLE_SHARE
    burst_shares = {
        r: s * burst_budget for r, s in route_shares.items() if s > 0
    }
    level = _fill_level(sorted(burst_shares.values()), TRICKLE_SHARE)
    return tuple(
        RouteShare(
            route=route,
            share=min(
                max(level - burst_share, MIN_TRICKLE_RATIO * burst_share)
                / route_shares[route],
                MAX_ROUTE_SHARE,
            ),
        )
        for route, burst_share in sorted(burst_shares.items())
    )


def _fill_level(ascending: list[float], volume: float) -> float:
    """Return the level to which `volume` raises the lowest values.

    This is water-filling: the values below the level are raised to it, and
    what is added to them amounts to `volume`.
    """
    level = 0.0
    for count in range(1, len(ascending) + 1):
        level = (volume + sum(ascending[:count])) / count
        if count == len(ascending) or level <= ascending[count]:
            break
    return level
