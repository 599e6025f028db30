"""The pace of a version move, planned back from its deadline."""

from collections.abc import Mapping
from dataclasses import dataclass
from math import floor
from typing import Final, Protocol

from waxwingarch.core.moves.move_judge import Decision, Verdict
from waxwingarch.core.moves.move_record import MoveRecord, RouteShare
from waxwingarch.core.moves.move_split import BURST_PERIOD_S

CANARY_SHARE: Final = 0.045
TRICKLE_SHARE: Final = 0.018
MAX_BURST_SHARE: Final = 0.5
MAX_ROUTE_SHARE: Final = 0.3
MIN_TRICKLE: Final = 0.1
MAX_CANARY_SERVERS: Final = 8
HELD_SHARE: Final = 0.95
SHARE_STEPS: Final = (0.1, 0.2, 0.4, 0.7, HELD_SHARE)

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
    """When the phases begin, in Unix seconds."""

    shift_from_unix: float
    hold_from_unix: float
    hold_until_unix: float


@dataclass(frozen=True, kw_only=True, slots=True)
class CanaryPlan:
    """How the canary is loaded; see `MoveRecord`."""

    servers: int
    share: float
    route_shares: tuple[RouteShare, ...] = ()
    concentrated: bool = False
    burst_share: float = 0.0
    burst_s: float = 0.0


class MovePolicy(Protocol):
    """Decides on the pace of a move."""

    def plan(self, created_unix: float, deadline_unix: float) -> MovePlan:
        """Return when the phases begin."""
        ...

    def canary(
        self, full_load_share: float, route_shares: Mapping[str, float]
    ) -> CanaryPlan:
        """Return how to load the canary.

        `full_load_share` is the share of all requests that brings one
        server to full load; `route_shares` the share of each route.
        """
        ...

    def may_shift(
        self, record: MoveRecord, verdict: Verdict, unix_now: float
    ) -> bool:
        """Return whether the canary may end."""
        ...

    def share_at(self, record: MoveRecord, unix_now: float) -> float:
        """Return the share that the plan has reached."""
        ...

    def held_share(self) -> float:
        """Return the share at which the move is held."""
        ...


def _clamp(value: float, low: float, high: float) -> float:
    return min(max(value, low), high)


class PacedPolicy:
    """Stay small for as long as the deadline allows, then shift fast.

    A long canary finds late faults at a small share, and the servers of
    the new version are paid for only from the shift on. While the move
    is held, a remainder of the requests stays with the old version, so
    that the two can still be compared.
    """

    def plan(self, created_unix: float, deadline_unix: float) -> MovePlan:
        """Return when the phases begin, counted back from the deadline."""
        whole = max(deadline_unix - created_unix, 0.0)
        close = _clamp(whole * CLOSE_FRACTION, CLOSE_MIN_S, CLOSE_MAX_S)
        hold = _clamp(whole * HOLD_FRACTION, HOLD_MIN_S, HOLD_MAX_S)
        shift = _clamp(whole * SHIFT_FRACTION, SHIFT_MIN_S, SHIFT_MAX_S)
        hold_until = deadline_unix - close
        return MovePlan(
            shift_from_unix=hold_until - hold - shift,
            hold_from_unix=hold_until - hold,
            hold_until_unix=hold_until,
        )

    def canary(
        self, full_load_share: float, route_shares: Mapping[str, float]
    ) -> CanaryPlan:
        """Return a canary at full load, all the time or in bursts."""
        if 0 < full_load_share <= CANARY_SHARE:
            count = min(
                floor(CANARY_SHARE / full_load_share), MAX_CANARY_SERVERS
            )
            return CanaryPlan(
                servers=count,
                share=count * full_load_share,
                concentrated=True,
            )
        burst = min(full_load_share, MAX_BURST_SHARE) or MAX_BURST_SHARE
        budget = CANARY_SHARE - TRICKLE_SHARE
        return CanaryPlan(
            servers=1,
            share=TRICKLE_SHARE,
            route_shares=_even_routes(route_shares),
            burst_share=burst,
            burst_s=BURST_PERIOD_S * budget / burst,
        )

    def may_shift(
        self, record: MoveRecord, verdict: Verdict, unix_now: float
    ) -> bool:
        """Return whether the evidence suffices and the time has come."""
        due = unix_now >= record.shift_from_unix
        return due and verdict.decision is Decision.SUFFICIENT

    def share_at(self, record: MoveRecord, unix_now: float) -> float:
        """Return the step that the plan has reached."""
        whole = record.hold_from_unix - record.shift_from_unix
        passed = (unix_now - record.shift_from_unix) / max(whole, 1e-9)
        step = int(_clamp(passed, 0.0, 0.999) * len(SHARE_STEPS))
        return SHARE_STEPS[step]

    def held_share(self) -> float:
        """Return the share at which the move is held."""
        return HELD_SHARE


def _even_routes(route_shares: Mapping[str, float]) -> tuple[RouteShare, ...]:
    """Spread the trickle so that all routes gather like evidence.

    The bursts take all routes as they come; the trickle makes up for it
    and fills the rarest routes first.
    """
    budget = CANARY_SHARE - TRICKLE_SHARE
    bursts = {r: s * budget for r, s in route_shares.items() if s > 0}
    level = _fill_level(sorted(bursts.values()), TRICKLE_SHARE)
    return tuple(
        RouteShare(
            route=route,
            share=min(
                max(level - burst, MIN_TRICKLE * burst) / route_shares[route],
                MAX_ROUTE_SHARE,
            ),
        )
        for route, burst in sorted(bursts.items())
    )


def _fill_level(rising: list[float], volume: float) -> float:
    """Return the level to which `volume` fills up the lowest values."""
    level = 0.0
    for count in range(1, len(rising) + 1):
        level = (volume + sum(rising[:count])) / count
        if count == len(rising) or level <= rising[count]:
            break
    return level
