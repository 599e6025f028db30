"""Decides whether an attempt may leave a server that sends nothing.

Silence alone is no evidence: a server that is stopped or busy goes on with
the run when it wakes, beside that of the next server.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Final

from waxwingarch.core.backends.load_balancer import LoadBalancer
from waxwingarch.core.backends.server_checks import (
    CheckResult,
    Contact,
    ServerChecked,
)
from waxwingarch.core.base import Action, RequestId
from waxwingarch.core.exchange.exchange_messages import (
    Exchange,
    SendRequest,
    SilenceLasts,
)
from waxwingarch.core.exchange.state_machine import ExchangeState
from waxwingarch.core.limits.resend_budget import ResendBudget

# A server is left in time for another one to respond before the caller
# leaves.
TAKEOVER_TIME_S: Final = 0.4
# A response that takes this many times as long as the mean of its route is
# slow for its server's reasons, not for the request's.
SLOW_PER_MEAN_RESPONSE: Final = 4.0


def leave_alive_at(
    now: float,
    exchange: Exchange,
    first_byte_deadline: float,
    mean_response_s: float | None,
) -> float:
    """Return when a silent server that is alive may be left for another.

    A stream stays, as it would run at two servers. Any other request that
    may be repeated is left when it takes far longer than others of its route
    do, or as late as possible where others take as long.
    """
    if exchange.route.streaming:
        return float("inf")
    last_resort_at = max(
        first_byte_deadline, exchange.expires_at - TAKEOVER_TIME_S
    )
    if mean_response_s is None:
        return last_resort_at
    leave_at = max(
        first_byte_deadline, now + SLOW_PER_MEAN_RESPONSE * mean_response_s
    )
    is_useful = leave_at + mean_response_s <= exchange.expires_at
    return leave_at if is_useful else last_resort_at


@dataclass(frozen=True, kw_only=True, slots=True)
class Silence:
    """The silence of a server that an attempt waits for.

    `since` is on the node's clock. `response_started` is that of
    `AttemptFinished`.
    """

    send: SendRequest
    since: float
    response_started: bool


class SilenceJudge:
    """Judges the silence of servers for the exchanges in progress."""

    def __init__(
        self,
        load_balancer: LoadBalancer,
        exchanges: Mapping[RequestId, ExchangeState],
        resend_budget: ResendBudget,
    ) -> None:
        self._load_balancer = load_balancer
        self._exchanges = exchanges
        self._resend_budget = resend_budget

    def handle_silence(self, now: float, event: SilenceLasts) -> list[Action]:
        """Avoid and check a silent server, unless it was checked just now."""
        self._load_balancer.health.extend_silence(now, event.server_id)
        backend = self._load_balancer.registry.get(event.server_id)
        if backend is None:
            return []
        return self._load_balancer.checks.begin(
            now, backend.server, event.since
        )

    def handle_check(self, now: float, event: ServerChecked) -> list[Action]:
        """Record the result of a check.

        A server that leaves refuses connections and still ends its
        responses. One whose address a later process has takes none.
        """
        registry = self._load_balancer.registry
        backend = registry.get(event.server_id)
        is_leaving = backend is not None and backend.leaving_since is not None
        if registry.is_superseded(event.server_id):
            if event.result is CheckResult.TAKEN:
                event = replace(event, result=CheckResult.REFUSED)
        elif is_leaving and event.result is CheckResult.REFUSED:
            event = replace(event, result=CheckResult.FAILED)
        self._load_balancer.checks.record(event)
        return []

    def contact(self, silence: Silence) -> Contact:
        """Return what is known of a server since it fell silent.

        Nothing is known of one whose entry has been gone for long, as it is
        checked no more. Keep-alive probes end its connection if it is lost.
        """
        return self._load_balancer.checks.contact(
            silence.send.server.server_id, silence.since
        )

    def may_leave(self, now: float, silence: Silence) -> bool:
        """Return whether the silence may end the attempt.

        Where the server is alive, another attempt must be possible. Where
        it is lost, and nothing of the response was sent, the caller may
        find another server itself.
        """
        send = silence.send
        state = self._exchanges.get(send.request_id)
        if state is None or now < self._leave_at(silence):
            return False
        if self.can_resend(
            now, send.request_id, response_started=silence.response_started
        ):
            return True
        return (
            not silence.response_started
            and self.contact(silence) is not Contact.ALIVE
            and self._has_untried_server(now, state)
        )

    def _leave_at(self, silence: Silence) -> float:
        """Return when the server may be left, as far as known by now."""
        lost_at = silence.since + silence.send.max_silence_s
        return {
            Contact.UNKNOWN: float("inf"),
            Contact.ALIVE: silence.send.leave_alive_at,
            Contact.DOUBTFUL: lost_at,
            Contact.LOST: float("-inf"),
        }[self.contact(silence)]

    def can_resend(
        self, now: float, request_id: RequestId, *, response_started: bool
    ) -> bool:
        """Return whether a request would be resent if its server is silent.

        `response_started` is that of `AttemptFinished`.
        """
        state = self._exchanges.get(request_id)
        server_id = self._load_balancer.loads.server_of(request_id)
        if state is None or server_id is None:
            return False
        if not state.may_resend_after_silence(
            now, server_id, response_started=response_started
        ):
            return False
        return state.migrated_cache is not None or (
            self._resend_budget.can_resend(now, state.exchange.service)
            and self._has_untried_server(now, state)
        )

    def _has_untried_server(self, now: float, state: ExchangeState) -> bool:
        return self._load_balancer.has_choice(
            now, state.exchange.service, state.tried_servers
        )
