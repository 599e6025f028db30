"""Accepts requests: their route, account, limit and service."""

from waxwingarch.core.base import ExecutionStatus, ServiceId
from waxwingarch.core.exchange.exchange_messages import Exchange, ExchangeHead
from waxwingarch.core.exchange.state_machine import COME_BACK_S
from waxwingarch.core.limits.shared_rate import SharedRates
from waxwingarch.core.randomness import RandomSource
from waxwingarch.core.refusal import Refusal, RefusalReason
from waxwingarch.core.routing.config import Route, RoutedAccount
from waxwingarch.core.routing.table import RoutingTable
from waxwingarch.exceptions import WaxwingError


class RefusedError(WaxwingError):
    """A request is refused before it was accepted."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


class ExchangeAdmission:
    """Turns the head of a request into an exchange, or refuses it."""

    def __init__(
        self, table: RoutingTable, rates: SharedRates, rng: RandomSource
    ) -> None:
        self._table = table
        self._rates = rates
        self._rng = rng

    def accept(
        self, now: float, head: ExchangeHead, arrived_at: float
    ) -> tuple[Exchange, float]:
        """Return the exchange and what it counts; raises `RefusedError`.

        Its time counts from `arrived_at`, which may be before now.
        """
        if not self._table.known:
            raise _refused(
                RefusalReason.NOT_READY,
                "this host has no configuration yet: send it again",
                COME_BACK_S,
            )
        route = self._table.find(head.host, head.path)
        if route is None:
            raise _refused(
                RefusalReason.UNKNOWN_ROUTE,
                f"no route for {head.host}{head.path}: add one",
            )
        patience_s = head.caller_timeout_s or route.timeout_s
        expires_at = arrived_at + min(patience_s, route.timeout_s)
        if now >= expires_at:
            raise _refused(
                RefusalReason.NOT_READY,
                "this host was not ready in the time allowed: send it again",
                COME_BACK_S,
            )
        account = self._account(head, route)
        cost = self._admit(now, head, account)
        priority = route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        exchange = Exchange(
            head=head,
            route=route,
            service=self._service(route),
            account=account.account if account else None,
            priority=priority,
            arrived_at=arrived_at,
            expires_at=expires_at,
        )
        return exchange, cost

    def _account(
        self, head: ExchangeHead, route: Route
    ) -> RoutedAccount | None:
        if not self._table.wants_keys or (route.public and not head.key):
            return None
        account = self._table.account_of(head.key)
        if account is None and not route.public:
            raise _refused(
                RefusalReason.UNKNOWN_KEY, "send a key of a client account"
            )
        return account

    def _admit(
        self, now: float, head: ExchangeHead, account: RoutedAccount | None
    ) -> float:
        if account is None:
            return 0.0
        cost = 1.0
        if account.counts_tokens:
            stated = head.prompt_tokens + head.output_tokens
            cost = stated if head.has_token_counts else account.default_tokens
        wait_s = self._rates.admit(now, account, cost)
        if wait_s is not None:
            raise _refused(
                RefusalReason.RATE_LIMIT,
                f"account {account.account} is over its rate limit: "
                f"{self._rates.explain(now, account)}",
                wait_s,
            )
        return cost

    def give_back(self, now: float, exchange: Exchange, cost: float) -> None:
        """Return what an exchange counted that was not sent."""
        if exchange.account is not None:
            account = self._table.accounts[exchange.account]
            self._rates.give_back(now, account, cost)

    def _service(self, route: Route) -> ServiceId:
        """Return the service that a request goes to, by weight."""
        if len(route.splits) == 1:
            return route.splits[0].service
        weights = [split.weight for split in route.splits]
        return self._rng.choices(route.splits, weights=weights)[0].service


def _refused(
    reason: RefusalReason, message: str, retry_after_s: float | None = None
) -> RefusedError:
    return RefusedError(
        Refusal(
            reason=reason,
            ran=ExecutionStatus.NOT_RUN,
            message=message,
            retry_after_s=retry_after_s,
        )
    )
