"""Admission of requests: route, client account, rate limit and service."""

from waxwingarch.core.base import ExecutionStatus, ServiceId
from waxwingarch.core.exchange.exchange_messages import Exchange, ExchangeHead
from waxwingarch.core.exchange.state_machine import RETRY_AFTER_S
from waxwingarch.core.limits.shared_rate import SharedRates
from waxwingarch.core.randomness import RandomSource
from waxwingarch.core.refusal import Refusal, RefusalReason
from waxwingarch.core.routing.config import Route, RoutedAccount
from waxwingarch.core.routing.table import RoutingTable
from waxwingarch.exceptions import WaxwingError


class RefusedError(WaxwingError):
    """A request is not admitted; `refusal` is the response to its caller."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


class ExchangeAdmission:
    """Admits a request as an exchange, or refuses it."""

    def __init__(
        self, table: RoutingTable, rates: SharedRates, rng: RandomSource
    ) -> None:
        self._table = table
        self._rates = rates
        self._rng = rng

    def admit(
        self, now: float, head: ExchangeHead, arrived_at: float
    ) -> tuple[Exchange, float]:
        """Return the exchange and its rate cost; raises `RefusedError`.

        The cost is in the unit of the account's limit, and 0 without an
        account. The timeout runs from `arrived_at`, which is before now if
        the request had to wait for this host to become ready.
        """
        if not self._table.is_configured:
            raise _refusal_error(
                RefusalReason.NOT_READY,
                "this host has no configuration yet: send it again",
                RETRY_AFTER_S,
            )
        route = self._table.find_route(head.host, head.path)
        if route is None:
            raise _refusal_error(
                RefusalReason.UNKNOWN_ROUTE,
                f"no route for {head.host}{head.path}: add one",
            )
        caller_timeout_s = head.caller_timeout_s or route.timeout_s
        expires_at = arrived_at + min(caller_timeout_s, route.timeout_s)
        if now >= expires_at:
            raise _refusal_error(
                RefusalReason.NOT_READY,
                "this host was not ready in the time allowed: send it again",
                RETRY_AFTER_S,
            )
        account = self._authenticate(head, route)
        cost = self._charge_rate_limit(now, head, account)
        priority = route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        service = self._choose_service(route)
        routed = self._table.services.get(service)
        exchange = Exchange(
            head=head,
            route=route,
            service=service,
            account=account.account if account else None,
            priority=priority,
            arrived_at=arrived_at,
            expires_at=expires_at,
            traits=routed.engine if routed else None,
        )
        return exchange, cost

    def _authenticate(
        self, head: ExchangeHead, route: Route
    ) -> RoutedAccount | None:
        if not self._table.requires_keys or (route.public and not head.key):
            return None
        account = self._table.account_for_key(head.key)
        if account is None and not route.public:
            raise _refusal_error(
                RefusalReason.UNKNOWN_KEY, "send a key of a client account"
            )
        return account

    def _charge_rate_limit(
        self, now: float, head: ExchangeHead, account: RoutedAccount | None
    ) -> float:
        if account is None:
            return 0.0
        cost = 1.0
        if account.counts_tokens:
            declared_tokens = head.prompt_tokens + head.output_tokens
            cost = (
                declared_tokens
                if head.has_token_counts
                else account.default_tokens
            )
        wait_s = self._rates.admit(now, account, cost)
        if wait_s is not None:
            raise _refusal_error(
                RefusalReason.RATE_LIMIT,
                f"account {account.account} is over its rate limit: "
                f"{self._rates.explain(now, account)}",
                wait_s,
            )
        return cost

    def refund(self, now: float, exchange: Exchange, cost: float) -> None:
        """Refund the rate cost of an exchange that was not sent."""
        if exchange.account is not None:
            account = self._table.accounts[exchange.account]
            self._rates.refund(now, account, cost)

    def _choose_service(self, route: Route) -> ServiceId:
        """Pick one of the route's services at random, by their weights."""
        if len(route.splits) == 1:
            return route.splits[0].service
        weights = [split.weight for split in route.splits]
        return self._rng.choices(route.splits, weights=weights)[0].service


def _refusal_error(
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
