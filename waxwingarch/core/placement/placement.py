"""Server choice by a score in seconds, of which the lowest is best.

The score adds up latency, recomputed prefill, price and reclaim risk.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from math import exp
from typing import Final

from waxwingarch.core.base import RequestId, ServerId
from waxwingarch.core.placement.placement_load import LoadEstimator
from waxwingarch.core.placement.placement_messages import (
    Choice,
    Outcome,
    PlacementRequest,
    ServerView,
)
from waxwingarch.core.placement.placement_outlier import OutlierDetector
from waxwingarch.core.placement.prefix import (
    BLOCK_WORDS,
    PrefixIndex,
    PrefixMatch,
)
from waxwingarch.core.randomness import RandomSource

# A decision compares at most this many servers drawn at random, and this
# many of those with the longest cached prefix of the prompt.
RANDOM_CANDIDATES: Final = 12
PREFIX_CANDIDATES: Final = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class Weights:
    """Weights of the score; a second until the first token weighs 1.

    `lateness` weighs a second past the first-token deadline, `recompute`
    a second of prefill on top of the delay that it causes, `price` a
    second of holding a slot on the cheapest candidate, `reclaim_risk` a
    second of prefill that a reclaim of the server would repeat.
    `temperature_s` is the softmax temperature of the random choice among
    servers of nearly equal score, so that hosts with the same data don't
    all choose the same server; 0 always takes the best.
    """

    lateness: float = 10.0
    recompute: float = 1.0
    price: float = 0.05
    reclaim_risk: float = 1.0
    temperature_s: float = 0.02


DEFAULT_WEIGHTS: Final = Weights()


@dataclass(kw_only=True, slots=True)
class _ScoredServer:
    view: ServerView
    first_token_s: float
    matched_blocks: int
    score_s: float


class CostPlacement:
    """Chooses a server whose score in seconds is at or near the lowest.

    Among many candidates, only a random sample and the servers with the
    longest cached prefixes are scored, so that few scores are computed
    however many servers there are. Load reports lag, so the estimated
    load adds this host's own dispatches since the last report.
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
        self._load_estimator = LoadEstimator()
        self._outliers = OutlierDetector()

    def choose(
        self,
        now: float,
        req: PlacementRequest,
        candidates: Sequence[ServerView],
    ) -> Choice | None:
        """Choose a server; return None if no candidate is left to try."""
        match = self._prefixes.match(req.blocks)
        views = self._shortlist(now, req, candidates, match)
        if not views:
            return None
        lowest_price = min(view.server.price for view in views)
        scored = [
            self._score(now, req, view, match, lowest_price) for view in views
        ]
        best = self._pick_by_score(scored)
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
        """Count a request as in progress on a server.

        The server is expected to cache the prompt from now on.
        """
        self._load_estimator.start(now, req.request_id, server_id)
        self._outliers.record_dispatch(now, req.request_id, server_id)
        self._prefixes.record_dispatch(server_id, req.blocks)

    def record_outcome(
        self, now: float, request_id: RequestId, outcome: Outcome
    ) -> None:
        """Count a request as finished and update its server's health."""
        server_id = self._load_estimator.end(now, request_id)
        if server_id is None:
            return
        if outcome is Outcome.OK:
            self._outliers.record_success(now, server_id)
        elif outcome is Outcome.FAILED:
            self._outliers.record_failure(now, server_id)
        else:
            self._outliers.record_cancellation(request_id, server_id)

    def set_host_count(self, hosts: int) -> None:
        """Set how many hosts, this one included, use the same servers."""
        self._load_estimator.host_count = max(1, hosts)

    def remove_server(self, server_id: ServerId) -> None:
        """Drop all state kept for a server that no longer exists."""
        self._load_estimator.remove_server(server_id)
        self._outliers.remove_server(server_id)
        self._prefixes.remove_server(server_id)

    def _shortlist(
        self,
        now: float,
        req: PlacementRequest,
        candidates: Sequence[ServerView],
        match: PrefixMatch,
    ) -> Sequence[ServerView]:
        """Return the servers to score, without ejected and tried ones."""
        views = self._outliers.filter_candidates(now, candidates)
        if req.exclude:
            views = [
                view
                for view in views
                if view.server.server_id not in req.exclude
            ]
        if len(views) <= RANDOM_CANDIDATES + PREFIX_CANDIDATES:
            return views
        matched = set(
            match.longest(
                PREFIX_CANDIDATES, start=self._rng.randrange(len(views))
            )
        )
        chosen = [
            view
            for view in self._rng.sample(views, RANDOM_CANDIDATES)
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
        lowest_price: float,
    ) -> _ScoredServer:
        weights = self._weights
        server = view.server
        slots = max(1, server.slots)
        load = self._load_estimator.estimate(view)
        hit_ratio = self._prefixes.hit_ratio(server.server_id)
        depth = match.depth(server.server_id)
        cached_tokens = min(req.prompt_tokens, depth * BLOCK_WORDS * hit_ratio)
        tokens_per_s = view.prefill_tokens_per_s / (1.0 + load / slots)
        prefill_s = (req.prompt_tokens - cached_tokens) / tokens_per_s
        wait_s = max(0.0, load + 1 - slots) * view.slot_s / slots
        first_token_s = wait_s + prefill_s
        late_s = max(0.0, now + first_token_s - req.first_token_at)
        price_ratio = server.price / lowest_price if lowest_price > 0 else 1.0
        full_prefill_s = req.prompt_tokens / view.prefill_tokens_per_s
        score_s = (
            first_token_s
            + weights.lateness * late_s
            + weights.recompute * prefill_s
            + weights.price * req.cost_weight * price_ratio * req.expected_s
            + weights.reclaim_risk
            * view.reclaim_per_s
            * req.expected_s
            * full_prefill_s
        )
        return _ScoredServer(
            view=view,
            first_token_s=first_token_s,
            matched_blocks=depth,
            score_s=score_s,
        )

    def _pick_by_score(self, scored: list[_ScoredServer]) -> _ScoredServer:
        """Draw a server with a probability that falls with its score."""
        best = min(item.score_s for item in scored)
        temperature_s = self._weights.temperature_s
        if temperature_s <= 0:
            return min(scored, key=lambda item: item.score_s)
        likelihoods = [
            exp((best - item.score_s) / temperature_s) for item in scored
        ]
        return self._rng.choices(scored, weights=likelihoods)[0]
