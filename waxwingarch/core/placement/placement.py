"""Placement by expected latency, recomputed tokens, price and risk."""

from collections.abc import Sequence
from dataclasses import dataclass
from math import exp
from typing import Final

from waxwingarch.core.base import RequestId, ServerId
from waxwingarch.core.placement.placement_load import OwnLoad
from waxwingarch.core.placement.placement_messages import (
    Choice,
    Outcome,
    PlacementRequest,
    ServerView,
)
from waxwingarch.core.placement.placement_outlier import OutlierGate
from waxwingarch.core.placement.prefix import (
    BLOCK_WORDS,
    PrefixIndex,
    PrefixMatch,
)
from waxwingarch.core.randomness import RandomSource

SAMPLED: Final = 12
MATCHED: Final = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class Weights:
    """What placement trades against a second until the first token.

    `late` counts a second past the deadline, `recompute` a second of
    prefill on top of its own delay, `price` the cost of holding a slot
    for a second, `risk` a second of prefill that a reclaim would repeat.
    `spread_s` is the difference in score within which servers are taken
    at random, so that hosts with the same picture don't all take one.
    """

    late: float = 10.0
    recompute: float = 1.0
    price: float = 0.05
    risk: float = 1.0
    spread_s: float = 0.02


DEFAULT_WEIGHTS: Final = Weights()


@dataclass(kw_only=True, slots=True)
class _Scored:
    view: ServerView
    first_token_s: float
    matched_blocks: int
    score_s: float


class CostPlacement:
    """Chooses by a score in seconds; the lowest is the best.

    Of many candidates those with the longest cached prefixes and a
    random sample are compared, so that a decision's cost does not grow
    with the number of servers. Own dispatches correct lagging loads.
    """

    def __init__(
        self,
        rng: RandomSource,
        prefixes: PrefixIndex,
        *,
        weights: Weights = DEFAULT_WEIGHTS,
    ) -> None:
        self._rng = rng
        self._prefixes = prefixes
        self._weights = weights
        self._own = OwnLoad()
        self._gate = OutlierGate()

    def choose(
        self,
        now: float,
        req: PlacementRequest,
        candidates: Sequence[ServerView],
    ) -> Choice | None:
        """Choose a server; None when no candidate is left to try."""
        match = self._prefixes.match(req.blocks)
        views = self._shortlist(now, req, candidates, match)
        if not views:
            return None
        cheapest = min(view.server.price for view in views)
        scored = [
            self._score(now, req, view, match, cheapest) for view in views
        ]
        best = self._pick(scored)
        return Choice(
            server_id=best.view.server.server_id,
            expected_first_token_s=best.first_token_s,
            matched_blocks=best.matched_blocks,
            score_s=best.score_s,
            considered=len(scored),
        )

    def record_dispatch(
        self, now: float, req: PlacementRequest, server_id: ServerId
    ) -> None:
        """Count a request as sent to a server."""
        self._own.start(now, req.request_id, server_id)
        self._gate.record_dispatch(now, req.request_id, server_id)
        self._prefixes.record_dispatch(server_id, req.blocks)

    def record_outcome(
        self, now: float, request_id: RequestId, outcome: Outcome
    ) -> None:
        """Count a dispatched request as ended; learn from failures."""
        server_id = self._own.end(now, request_id)
        if server_id is None:
            return
        if outcome is Outcome.OK:
            self._gate.note_ok(now, server_id)
        elif outcome is Outcome.FAILED:
            self._gate.note_failed(now, server_id)
        else:
            self._gate.note_cancelled(request_id, server_id)

    def set_host_count(self, hosts: int) -> None:
        """Set how many hosts, this one included, use the same servers."""
        self._own.peers = max(1, hosts)

    def forget(self, server_id: ServerId) -> None:
        """Drop what is known of a server that is gone."""
        self._own.forget(server_id)
        self._gate.forget(server_id)
        self._prefixes.forget(server_id)

    def _shortlist(
        self,
        now: float,
        req: PlacementRequest,
        candidates: Sequence[ServerView],
        match: PrefixMatch,
    ) -> Sequence[ServerView]:
        """Return the servers to compare."""
        views = self._gate.allowed(now, candidates)
        if req.exclude:
            views = [
                view
                for view in views
                if view.server.server_id not in req.exclude
            ]
        if len(views) <= SAMPLED + MATCHED:
            return views
        matched = set(
            match.longest(MATCHED, start=self._rng.randrange(len(views)))
        )
        chosen = [
            view
            for view in self._rng.sample(views, SAMPLED)
            if view.server.server_id not in matched
        ]
        if matched:
            chosen += [
                view for view in views if view.server.server_id in matched
            ]
        return chosen

    def _score(
        self,
        now: float,
        req: PlacementRequest,
        view: ServerView,
        match: PrefixMatch,
        cheapest: float,
    ) -> _Scored:
        weights = self._weights
        server = view.server
        slots = max(1, server.slots)
        load = self._own.estimate(view)
        trust = self._prefixes.trust(server.server_id)
        depth = match.depth(server.server_id)
        cached = min(req.prompt_tokens, depth * BLOCK_WORDS * trust)
        speed = view.prefill_tokens_per_s / (1.0 + load / slots)
        prefill_s = (req.prompt_tokens - cached) / speed
        wait_s = max(0.0, load + 1 - slots) * view.slot_s / slots
        first_token_s = wait_s + prefill_s
        late_s = max(0.0, now + first_token_s - req.first_token_at)
        dearer = server.price / cheapest if cheapest > 0 else 1.0
        repeat_s = req.prompt_tokens / view.prefill_tokens_per_s
        score_s = (
            first_token_s
            + weights.late * late_s
            + weights.recompute * prefill_s
            + weights.price * req.cost_weight * dearer * req.expected_s
            + weights.risk * view.reclaim_per_s * req.expected_s * repeat_s
        )
        return _Scored(
            view=view,
            first_token_s=first_token_s,
            matched_blocks=depth,
            score_s=score_s,
        )

    def _pick(self, scored: list[_Scored]) -> _Scored:
        """Take one at random, the likelier the lower its score is."""
        best = min(item.score_s for item in scored)
        spread_s = self._weights.spread_s
        if spread_s <= 0:
            return min(scored, key=lambda item: item.score_s)
        odds = [exp((best - item.score_s) / spread_s) for item in scored]
        return self._rng.choices(scored, weights=odds)[0]
