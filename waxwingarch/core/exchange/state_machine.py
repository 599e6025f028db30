"""State machine of one exchange: the next step after each attempt."""

from collections.abc import Collection
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from waxwingarch.core.backends.server_checks import CheckResult
from waxwingarch.core.base import ExecutionStatus, HostId, ServerId
from waxwingarch.core.exchange.exchange_messages import (
    NOT_RUN_OUTCOMES,
    AttemptFinished,
    AttemptOutcome,
    Exchange,
    MigratedCache,
)
from waxwingarch.core.refusal import Refusal, RefusalReason
from waxwingarch.core.routing.config import RetryPolicy

# The retry-after of a refusal: the time in which load falls, or in which
# requests are routed around a server that crashed.
RETRY_AFTER_S: Final = 0.5
# A request is resent after at most this many rejections by backend servers;
# a misdirected attempt counts as one. They count apart from the route's
# `max_attempts`, which bounds the servers that may have run the request.
MAX_REJECTIONS: Final = 3
# A stream goes back to a server that is alive after at most this many broken
# connections in a row without an event: the server breaks them itself then.
MAX_RETURNS: Final = 3
# The retry-after of a refusal by a stopping host: another host can serve
# the request at once.
RETRY_ELSEWHERE_AFTER_S: Final = 0.1


# Outcomes after which the server may still be at work on the request.
RUN_GOES_ON_OUTCOMES: Final = frozenset(
    {AttemptOutcome.BROKEN, AttemptOutcome.SILENT}
)
# Outcomes by which a server says that it has no run, or has no more.
ENDED_OUTCOMES: Final = frozenset(
    {
        AttemptOutcome.REJECTED,
        AttemptOutcome.MISDIRECTED,
        AttemptOutcome.FAILED,
        AttemptOutcome.DONE,
    }
)


class NextStep(StrEnum):
    """What the host does after an attempt ended."""

    FINISH = "finish"
    RESEND = "send again"
    FORWARD_FAILURE = "pass failure"
    REFUSE = "refuse"
    ABORT = "cut"


@dataclass(kw_only=True, slots=True)
class ExchangeState:
    """State of an exchange in progress.

    `sent_to` is the server or peer of the attempt in progress, which may run
    the request until its outcome says that it did not. `may_have_run_on` are
    those of the ended attempts that may have run it. `tried_servers` are the
    servers that get it no more, and `unreachable_servers` those to which no
    connection could be made.
    `response_started` is about the current attempt, `is_usage_counted` about
    the whole exchange. Without `has_event_ids` its stream can't be resumed.
    `migrated_cache` says where the KV cache of its run was copied, and
    `may_be_stopped` that the server may have stopped the run to copy it.
    `deferred_outcome` is the end of an attempt that is handled only when
    the migration of its run has ended. `relayed_to` is the peer that the
    current attempt was relayed to, and `tried_peers` all of them.
    `rate_cost` is what the account's limit was charged here. `run_at` is the
    server that may still have a run whose connection broke or fell silent.
    `returns_to` is the same server if the stream has to go on there, and
    `return_count` how often it did since its last event.
    """

    exchange: Exchange
    tried_servers: set[ServerId] = field(default_factory=set)
    unreachable_servers: set[ServerId] = field(default_factory=set)
    sent_to: ServerId | None = None
    may_have_run_on: set[ServerId] = field(default_factory=set)
    rejection_count: int = 0
    response_started: bool = False
    is_usage_counted: bool = False
    has_event_ids: bool = True
    last_event: int | None = None
    migrated_cache: MigratedCache | None = None
    is_migrating: bool = False
    may_be_stopped: bool = False
    deferred_outcome: AttemptFinished | None = None
    relayed_to: HostId | None = None
    tried_peers: set[HostId] = field(default_factory=set)
    rate_cost: float = 0.0
    run_at: ServerId | None = None
    returns_to: ServerId | None = None
    return_count: int = 0

    @property
    def may_have_run(self) -> bool:
        """Whether any server may have run the request, or still runs it."""
        return self.sent_to is not None or bool(self.may_have_run_on)

    def may_try_another(self, also_run_on: Collection[ServerId] = ()) -> bool:
        """Return whether the route allows an attempt at another server."""
        run_on = self.may_have_run_on.union(also_run_on)
        return len(run_on) < self.exchange.route.max_attempts

    def record_dispatch(self, server: ServerId) -> None:
        """Record that an attempt is sent to a server, or to a peer."""
        self.sent_to = server
        self.returns_to = None
        self.response_started = False

    def record_outcome(
        self, now: float, finished: AttemptFinished
    ) -> NextStep:
        """Record the end of the attempt and return the next step.

        A resend also needs a server and a unit of the resend budget.
        """
        assert self.sent_to is not None
        server, self.sent_to = self.sent_to, None
        not_run = finished.outcome in NOT_RUN_OUTCOMES
        if finished.outcome is AttemptOutcome.NOT_SENT:
            self.unreachable_servers.add(server)
        if not_run:
            self.rejection_count += (
                finished.outcome is not AttemptOutcome.NOT_SENT
            )
        else:
            self.may_have_run_on.add(server)
        self._note_run(server, finished)
        if finished.outcome is AttemptOutcome.DONE:
            return NextStep.FINISH
        if finished.outcome is not AttemptOutcome.EXPIRED and self._may_resend(
            now, finished, not_run
        ):
            return NextStep.RESEND
        return self.final_step(finished)

    def _note_run(self, server: ServerId, finished: AttemptFinished) -> None:
        """Note which server may still have the run, and whether to go back.

        A connection that broke is no end of a run: its path may have been
        reset, and the server notices late. One that takes the next
        connection gets the stream again. So does the server of a peer
        whose connection broke, which sees whether that server is there.
        """
        self.returns_to = None
        if self.relayed_to is not None:
            self.run_at = finished.served_by or self.run_at
        elif finished.outcome in ENDED_OUTCOMES:
            self.run_at = None if server == self.run_at else self.run_at
            return
        elif finished.outcome in RUN_GOES_ON_OUTCOMES:
            self.run_at = server
        if (
            finished.outcome is AttemptOutcome.BROKEN
            and self.exchange.retry_policy is RetryPolicy.RESUMABLE
            and (
                self.relayed_to is not None
                or finished.next_connection is CheckResult.TAKEN
            )
            and self.return_count < MAX_RETURNS
        ):
            self.returns_to = self.run_at

    def may_resend_after_silence(
        self, now: float, server: ServerId, *, response_started: bool
    ) -> bool:
        """Return whether the request may be resent if its server is silent.

        `response_started` is that of `AttemptFinished`. While a migration
        is under way, its outcome decides.
        """
        if self.is_migrating:
            return False
        silent = AttemptFinished(
            request_id=self.exchange.request_id,
            outcome=AttemptOutcome.SILENT,
            response_started=response_started,
            last_event=self._position(),
        )
        return self._may_resend(
            now, silent, not_run=False, also_run_on=(server,)
        )

    def _position(self) -> int | None:
        """Return after which event a stream goes on; None if unknown.

        While it runs, its forwarder knows how far it has come.
        """
        if not self.has_event_ids:
            return None
        return self.last_event if self.last_event is not None else 0

    def _may_resend(
        self,
        now: float,
        finished: AttemptFinished,
        not_run: bool,
        also_run_on: Collection[ServerId] = (),
    ) -> bool:
        exchange = self.exchange
        if now >= exchange.expires_at:
            return False
        if finished.response_started and finished.last_event is None:
            # Nothing tells which part of the response the caller has.
            return False
        if not_run:
            # A non-idempotent request that may have run before was sent
            # again only to continue its migrated run, and that server did
            # not continue it. Any other server would run it a second time.
            cache_lost = (
                exchange.retry_policy is RetryPolicy.NON_IDEMPOTENT
                and bool(self.may_have_run_on)
            )
            return not cache_lost and self.rejection_count <= MAX_REJECTIONS
        if self.migrated_cache is not None:
            return True
        if exchange.retry_policy is RetryPolicy.NON_IDEMPOTENT:
            return False
        if (
            finished.response_started
            and exchange.retry_policy is not RetryPolicy.RESUMABLE
        ):
            return False
        if self.returns_to is not None:
            return True
        return self.may_try_another(also_run_on)

    def final_step(self, finished: AttemptFinished) -> NextStep:
        """Return the step that ends the exchange without a resend.

        A caller would send a request again that may run once, and may have
        run, if the server's status says that it did not.
        """
        if finished.response_started:
            return NextStep.ABORT
        is_misleading = (
            finished.says_not_run
            and self.exchange.retry_policy is RetryPolicy.NON_IDEMPOTENT
        )
        if finished.has_response and not is_misleading:
            return NextStep.FORWARD_FAILURE
        return NextStep.REFUSE

    def refusal(
        self, finished: AttemptFinished, not_run_refusal: Refusal
    ) -> Refusal:
        """Return the refusal that this host sends as the final response.

        `not_run_refusal` is for a request that no server has run. An attempt
        that was cancelled has no outcome, so that its server may run it.
        """
        if not self.may_have_run:
            return not_run_refusal
        if finished.outcome is AttemptOutcome.STOPPED:
            return Refusal(
                reason=RefusalReason.DEADLINE_UNREACHABLE,
                ran=ExecutionStatus.UNKNOWN,
                message="this host stopped before the answer came; the"
                " request may have run",
            )
        if finished.outcome is AttemptOutcome.EXPIRED:
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


def no_server_refusal(retry_after_s: float | None = None) -> Refusal:
    """Build the refusal of a request that no backend server ran."""
    return Refusal(
        reason=RefusalReason.NO_SERVER,
        ran=ExecutionStatus.NOT_RUN,
        message="no backend server has room: send it again later",
        retry_after_s=retry_after_s or RETRY_AFTER_S,
    )


def stopping_refusal() -> Refusal:
    """Build the refusal of a request that came while this host stops."""
    return Refusal(
        reason=RefusalReason.DRAINING,
        ran=ExecutionStatus.NOT_RUN,
        message="this host is stopping: send it again, another answers",
        retry_after_s=RETRY_ELSEWHERE_AFTER_S,
    )
