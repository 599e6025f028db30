"""Baseline placements: round robin and least loaded."""

from collections.abc import Sequence

from waxwingarch.core.base import RequestId, ServerId
from waxwingarch.core.placement.placement_load import LoadEstimator
from waxwingarch.core.placement.placement_messages import (
    Choice,
    Outcome,
    PlacementRequest,
    ServerView,
)


class RoundRobin:
    """Chooses the servers in turn, whatever their load."""

    def __init__(self) -> None:
        self._choice_count = 0

    def choose(
        self,
        now: float,
        req: PlacementRequest,
        candidates: Sequence[ServerView],
    ) -> Choice | None:
        """Choose the next server in turn."""
        views = _without_excluded(req, candidates)
        if not views:
            return None
        self._choice_count += 1
        return _choice(views[self._choice_count % len(views)], len(views))

    def record_dispatch(
        self, now: float, req: PlacementRequest, server_id: ServerId
    ) -> None:
        """Do nothing: the choice doesn't depend on load."""

    def record_outcome(
        self, now: float, request_id: RequestId, outcome: Outcome
    ) -> None:
        """Do nothing: the choice doesn't depend on outcomes."""

    def set_host_count(self, hosts: int) -> None:
        """Do nothing: the choice doesn't depend on other hosts."""


class LeastLoaded:
    """Chooses the server with the fewest requests per slot.

    With `count_own`, reported loads are corrected by this host's own
    dispatches, scaled up for `host_count` hosts as in `LoadEstimator`.
    """

    def __init__(self, *, count_own: bool = True, host_count: int = 1) -> None:
        self._load_estimator = LoadEstimator()
        self._load_estimator.host_count = host_count
        self._counts_own_requests = count_own

    def choose(
        self,
        now: float,
        req: PlacementRequest,
        candidates: Sequence[ServerView],
    ) -> Choice | None:
        """Choose the server with the lowest load per slot."""
        views = _without_excluded(req, candidates)
        if not views:
            return None
        return _choice(min(views, key=self._load_per_slot), len(views))

    def record_dispatch(
        self, now: float, req: PlacementRequest, server_id: ServerId
    ) -> None:
        """Count a request as in progress on a server."""
        self._load_estimator.start(now, req.request_id, server_id)

    def record_outcome(
        self, now: float, request_id: RequestId, outcome: Outcome
    ) -> None:
        """Count a request as finished, whatever its outcome."""
        self._load_estimator.end(now, request_id)

    def set_host_count(self, hosts: int) -> None:
        """Set how many hosts, this one included, use the same servers."""
        self._load_estimator.host_count = max(1, hosts)

    def _load_per_slot(self, view: ServerView) -> float:
        if self._counts_own_requests:
            load = self._load_estimator.estimate(view)
        else:
            load = view.running + view.waiting
        return load / max(1, view.server.slots)


def _without_excluded(
    req: PlacementRequest, candidates: Sequence[ServerView]
) -> list[ServerView]:
    return [
        view for view in candidates if view.server.server_id not in req.exclude
    ]


def _choice(view: ServerView, considered: int) -> Choice:
    return Choice(
        server_id=view.server.server_id,
        expected_first_token_s=0.0,
        matched_blocks=0,
        score_s=0.0,
        considered=considered,
    )
