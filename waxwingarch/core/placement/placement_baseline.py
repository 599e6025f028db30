"""Baselines of placement: round robin and least loaded."""

from collections.abc import Sequence

from waxwingarch.core.base import RequestId, ServerId
from waxwingarch.core.placement.placement_load import OwnLoad
from waxwingarch.core.placement.placement_messages import (
    Choice,
    Outcome,
    PlacementRequest,
    ServerView,
)


class RoundRobin:
    """Takes the servers in turn."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(
        self,
        now: float,
        req: PlacementRequest,
        candidates: Sequence[ServerView],
    ) -> Choice | None:
        """Choose the next server in turn."""
        views = _not_tried(req, candidates)
        if not views:
            return None
        self._turn += 1
        return _choice(views[self._turn % len(views)], len(views))

    def record_dispatch(
        self, now: float, req: PlacementRequest, server_id: ServerId
    ) -> None:
        """Need nothing to remember."""

    def record_outcome(
        self, now: float, request_id: RequestId, outcome: Outcome
    ) -> None:
        """Need nothing to remember."""

    def set_host_count(self, hosts: int) -> None:
        """Need nothing to know of the others."""


class LeastLoaded:
    """Takes the server with the fewest requests a slot.

    With `count_own` it corrects the reports by its own dispatches, with
    `peers` also by what that many hosts are likely to have sent.
    """

    def __init__(self, *, count_own: bool = True, host_count: int = 1) -> None:
        self._own = OwnLoad()
        self._own.peers = host_count
        self._count_own = count_own

    def choose(
        self,
        now: float,
        req: PlacementRequest,
        candidates: Sequence[ServerView],
    ) -> Choice | None:
        """Choose the server with the lowest load."""
        views = _not_tried(req, candidates)
        if not views:
            return None
        return _choice(min(views, key=self._load), len(views))

    def record_dispatch(
        self, now: float, req: PlacementRequest, server_id: ServerId
    ) -> None:
        """Count a request as sent to a server."""
        self._own.start(now, req.request_id, server_id)

    def record_outcome(
        self, now: float, request_id: RequestId, outcome: Outcome
    ) -> None:
        """Count a dispatched request as ended."""
        self._own.end(now, request_id)

    def set_host_count(self, hosts: int) -> None:
        """Set how many hosts, this one included, use the same servers."""
        self._own.peers = max(1, hosts)

    def _load(self, view: ServerView) -> float:
        if self._count_own:
            load = self._own.estimate(view)
        else:
            load = view.running + view.waiting
        return load / max(1, view.server.slots)


def _not_tried(
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
