"""Messages and the interface of placement."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Final, Protocol

from waxwingarch.core.base import AccountId, RequestId, Server, ServerId

PREFILL_TOKENS_PER_S: Final = 4000.0
SLOT_S: Final = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerView:
    """A backend server as this host last knew it.

    `running` and `waiting` were true at `load_at` on this host's clock.
    `prefill_tokens_per_s` is the speed of an idle server, `slot_s` how
    long a request holds a slot on average, `reclaim_per_s` the rate at
    which such servers are reclaimed.
    """

    server: Server
    running: int = 0
    waiting: int = 0
    load_at: float = float("-inf")
    prefill_tokens_per_s: float = PREFILL_TOKENS_PER_S
    slot_s: float = SLOT_S
    reclaim_per_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementRequest:
    """A request that needs a backend server.

    `blocks` are the block hashes of its prompt, `expected_s` how long it
    is expected to hold a slot, `exclude` the servers it has tried.
    """

    request_id: RequestId
    account: AccountId
    blocks: tuple[int, ...] = ()
    prompt_tokens: int = 0
    expected_s: float = SLOT_S
    first_token_at: float = float("inf")
    cost_weight: float = 1.0
    exclude: frozenset[ServerId] = frozenset()


@dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """The server chosen, and what is expected of it there.

    `matched_blocks` is the predicted prefix, to be compared with what
    the server reports (`PrefixIndex.note_result`). `score_s` is the value
    that was minimised, in seconds; `considered` counts the servers that
    were compared.
    """

    server_id: ServerId
    expected_first_token_s: float
    matched_blocks: int
    score_s: float
    considered: int


class Outcome(StrEnum):
    """How a dispatched request ended, as far as the server goes."""

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
        """Choose among candidates; None when none may be used.

        The caller passes no server that is leaving or stopped.
        """

    def record_dispatch(
        self, now: float, req: PlacementRequest, server_id: ServerId
    ) -> None:
        """Count a request as sent to a server."""

    def record_outcome(
        self, now: float, request_id: RequestId, outcome: Outcome
    ) -> None:
        """Count a dispatched request as ended."""

    def set_host_count(self, hosts: int) -> None:
        """Set how many hosts, this one included, use the same servers."""
