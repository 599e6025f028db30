"""Data types and the protocol of placement."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Final, Protocol

from waxwingarch.core.base import AccountId, RequestId, Server, ServerId

DEFAULT_PREFILL_TOKENS_PER_S: Final = 4000.0
DEFAULT_SLOT_S: Final = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerView:
    """A backend server with its last known load.

    `running` and `waiting` count its requests at `load_at` on this host's
    clock. `prefill_tokens_per_s` is the prefill speed of an idle server,
    `slot_s` how long a request holds a slot on average, `reclaim_per_s`
    the rate at which such servers are reclaimed.
    """

    server: Server
    running: int = 0
    waiting: int = 0
    load_at: float = float("-inf")
    prefill_tokens_per_s: float = DEFAULT_PREFILL_TOKENS_PER_S
    slot_s: float = DEFAULT_SLOT_S
    reclaim_per_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementRequest:
    """A request that needs a backend server.

    `blocks` are the block hashes of its prompt, `expected_s` is how long
    it is expected to hold a slot, `first_token_at` the deadline of its
    first token, `exclude` are the servers that it has tried already.
    """

    request_id: RequestId
    account: AccountId
    blocks: tuple[int, ...] = ()
    prompt_tokens: int = 0
    expected_s: float = DEFAULT_SLOT_S
    first_token_at: float = float("inf")
    cost_weight: float = 1.0
    exclude: frozenset[ServerId] = frozenset()


@dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """The chosen server, with the predictions behind the choice.

    `matched_blocks` is the predicted length of the cached prefix, to be
    compared with the server's report by `PrefixIndex.record_prefix_hit`.
    `score_s` is the minimised score in seconds; `considered` is how many
    servers were scored.
    """

    server_id: ServerId
    expected_first_token_s: float
    matched_blocks: int
    score_s: float
    considered: int


class Outcome(StrEnum):
    """How a dispatched request ended, from the server's point of view."""

    OK = "ok"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Placement(Protocol):
    """Chooses a backend server for each request."""

    def choose(
        self,
        now: float,
        req: PlacementRequest,
        candidates: Sequence[ServerView],
    ) -> Choice | None:
        """Return the chosen candidate, or None if all are excluded.

        The caller passes no server that is leaving or stopped.
        """

    def record_dispatch(
        self, now: float, req: PlacementRequest, server_id: ServerId
    ) -> None:
        """Count a request as in progress on a server."""

    def record_outcome(
        self, now: float, request_id: RequestId, outcome: Outcome
    ) -> None:
        """Count a request as finished, with its outcome."""

    def set_host_count(self, hosts: int) -> None:
        """Set how many hosts, this one included, use the same servers."""
