"""Contracts of client accounts, independent of their file format."""

from dataclasses import dataclass

from waxwingarch.core.base import AccountId, ServiceId


@dataclass(frozen=True, kw_only=True, slots=True)
class RouteRule:
    """Rules for the requests of one path of a service.

    `path` is a prefix of the URL path; `non_idempotent` requests run at
    most once; `outcome_query` says that the service can be asked for
    the outcome of an operation.
    """

    path: str
    service: ServiceId
    non_idempotent: bool = False
    outcome_query: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Contract:
    """Everything that a client account was promised.

    Latencies are seconds; `rate` is requests a second; `share` is a
    fraction of capacity between 0 and 1; `priority` 0 is the most
    urgent; `cost_weight` scales cost against latency in placement.
    """

    account: AccountId
    key_digest: str
    first_token_s: float
    between_tokens_s: float
    whole_answer_s: float
    priority: int
    rate: float
    burst: int
    concurrency: int
    share: float
    cost_weight: float
    routes: tuple[RouteRule, ...]

    def route(self, path: str) -> RouteRule | None:
        """Return the rule with the longest matching path, if any."""
        matching = [r for r in self.routes if path.startswith(r.path)]
        return max(matching, key=lambda r: len(r.path), default=None)
