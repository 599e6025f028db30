"""One exchange: what follows from how each attempt ended."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from waxwingarch.core.base import ExecutionStatus, ServerId
from waxwingarch.core.exchange.exchange_messages import (
    NOT_RUN_ENDS,
    AttemptFinished,
    AttemptOutcome,
    Exchange,
    MigratedCache,
)
from waxwingarch.core.refusal import Refusal, RefusalReason
from waxwingarch.core.routing.config import RetryPolicy

# When to come back after a refusal, in seconds: the time in which load
# falls or a server that crashed is replaced by another choice.
COME_BACK_S: Final = 0.5
# Sends of one request that the servers' refusals may cause, besides
# those that the route allows to run.
MAX_REJECTED: Final = 3


class Next(StrEnum):
    """What to do after an attempt ended."""

    FINISH = "finish"
    SEND_AGAIN = "send again"
    PASS_FAILURE = "pass failure"
    REFUSE = "refuse"
    CUT = "cut"


@dataclass(kw_only=True, slots=True)
class ExchangeState:
    """What is remembered of an exchange in progress.

    `ran_on` are the servers that may have run the request, `tried` all that
    it was sent to. `migrated_cache` says where the KV cache of its run was
    copied, `held_end` is the end of an attempt that waits for the outcome
    of a migration.
    """

    exchange: Exchange
    tried: set[ServerId] = field(default_factory=set)
    ran_on: set[ServerId] = field(default_factory=set)
    rejections: int = 0
    began: bool = False
    counted: bool = False
    last_event: int | None = None
    migrated_cache: MigratedCache | None = None
    moving: bool = False
    held_end: AttemptFinished | None = None

    def after(
        self, now: float, ended: AttemptFinished, server: ServerId
    ) -> Next:
        """Take the end of an attempt; return what may follow.

        Sending again still needs a server and a unit of the budget.
        """
        not_run = ended.outcome in NOT_RUN_ENDS
        if not_run:
            self.rejections += ended.outcome is not AttemptOutcome.NOT_SENT
        else:
            self.ran_on.add(server)
        if ended.outcome is AttemptOutcome.DONE:
            return Next.FINISH
        if ended.outcome is not AttemptOutcome.EXPIRED and self._may_repeat(
            now, ended, not_run
        ):
            return Next.SEND_AGAIN
        return self.give_up(ended)

    def _may_repeat(
        self, now: float, ended: AttemptFinished, not_run: bool
    ) -> bool:
        exchange = self.exchange
        if now >= exchange.expires_at:
            return False
        if not_run:
            # A copy of a run that could not be taken up: the run itself
            # has begun, without its memory it would be a second one.
            lost = (
                exchange.retry_policy is RetryPolicy.NON_IDEMPOTENT
                and bool(self.ran_on)
            )
            return not lost and self.rejections <= MAX_REJECTED
        if self.migrated_cache is not None:
            return True
        if exchange.retry_policy is RetryPolicy.NON_IDEMPOTENT:
            return False
        if (
            ended.response_started
            and exchange.retry_policy is not RetryPolicy.RESUMABLE
        ):
            return False
        return len(self.ran_on) < exchange.route.max_attempts

    def give_up(self, ended: AttemptFinished) -> Next:
        """Return the final step where nothing is sent again."""
        if ended.response_started:
            return Next.CUT
        if ended.has_response:
            return Next.PASS_FAILURE
        return Next.REFUSE

    def refusal(self, ended: AttemptFinished) -> Refusal:
        """Return the final answer of this host's own."""
        if not self.ran_on:
            return not_served(ended.retry_after_s)
        if ended.outcome is AttemptOutcome.EXPIRED:
            return Refusal(
                reason=RefusalReason.DEADLINE_UNREACHABLE,
                ran=ExecutionStatus.UNKNOWN,
                message="no answer in the time allowed: raise the timeout",
            )
        return Refusal(
            reason=RefusalReason.BACKEND_FAILED,
            ran=ExecutionStatus.UNKNOWN,
            message="the backend server failed; it may have run",
        )


def not_served(retry_after_s: float | None = None) -> Refusal:
    """Return the refusal of a request that no server took."""
    return Refusal(
        reason=RefusalReason.NO_SERVER,
        ran=ExecutionStatus.NOT_RUN,
        message="no backend server has room: send it again later",
        retry_after_s=retry_after_s or COME_BACK_S,
    )
