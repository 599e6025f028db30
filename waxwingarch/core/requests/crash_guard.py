"""Keeps requests under which servers crash from the other servers.

Its input is the whole request: one that comes again has the same account,
method, target and body.
"""

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Final

from waxwingarch.core.base import (
    Action,
    ExecutionStatus,
    Server,
    ServerId,
)
from waxwingarch.core.cluster.cluster import Cluster
from waxwingarch.core.cluster.items import Item
from waxwingarch.core.once.once_messages import DispatchAnswered
from waxwingarch.core.quarantine.inputs import request_key
from waxwingarch.core.quarantine.quarantine import (
    BEGUN_WITHIN_S,
    GONE_ON_BEFORE_S,
    Quarantine,
)
from waxwingarch.core.quarantine.quarantine_gossip import QuarantineGossip
from waxwingarch.core.quarantine.quarantine_messages import RequestInputs
from waxwingarch.core.refusal import Refusal, RefusalReason
from waxwingarch.core.request import (
    AttemptEnded,
    AttemptEvent,
    AttemptLost,
    ChunkArrived,
    LossKind,
    PlainAnswered,
    Refuse,
    Request,
)
from waxwingarch.core.requests.active_request import ActiveRequest
from waxwingarch.core.requests.guarded import OnceReply
from waxwingarch.core.servers.server_registry import ServerRegistry

RETRY_AFTER_S: Final = 1.0
NOT_RESENT: Final = Refusal(
    reason=RefusalReason.BACKEND_FAILED,
    ran=ExecutionStatus.UNKNOWN,
    message="servers crashed while this request was on them: it is not sent"
    " to another one",
    retry_after_s=RETRY_AFTER_S,
)


class CrashGuard:
    """Passes the outcomes of attempts to the quarantine, and asks it.

    `is_on_trial` says whether a server's version is on trial, `may_probe`
    whether this host may let a probe through.
    """

    def __init__(
        self,
        cluster: Cluster,
        servers: ServerRegistry,
        unix_offset: float,
        *,
        is_on_trial: Callable[[Server], bool],
        may_probe: Callable[[float], bool],
    ) -> None:
        self._servers = servers
        self._quarantine = Quarantine(lambda now: now + unix_offset)
        self._gossip = QuarantineGossip(cluster, self._quarantine)
        self._unix_offset = unix_offset
        self._is_on_trial = is_on_trial
        self._may_probe = may_probe
        self._active_at: dict[ServerId, float] = {}

    # Decisions on requests

    def inputs_of(self, request: Request) -> RequestInputs:
        """Return the inputs of a request."""
        keys: tuple[str, ...] = ()
        if request.body_digest:
            keys = (request_key(request.account, request.body_digest),)
        return RequestInputs(request_id=request.request_id, keys=keys)

    def refuse_arrival(self, now: float, request: Request) -> Refuse | None:
        """Return the refusal of a request that arrives.

        An earlier request with the same idempotency key may have run.
        """
        refusal = self._quarantine.refusal_for(
            now, self.inputs_of(request), may_probe=self._may_probe(now)
        )
        if refusal is None:
            return None
        if request.idempotency_key is not None:
            refusal = replace(refusal, ran=ExecutionStatus.UNKNOWN)
        return Refuse(request_id=request.request_id, refusal=refusal)

    def refusal_on_dispatch(
        self, now: float, entry: ActiveRequest
    ) -> Refusal | None:
        """Return why a request must not be sent to a server, if so."""
        if entry.assignments:
            may_resend = self._quarantine.may_resend(now, entry.inputs)
            return None if may_resend else NOT_RESENT
        if not self._quarantine.is_held(entry.inputs):
            return None
        return self._quarantine.refusal_for(now, entry.inputs, may_probe=False)

    # Outcomes

    def record_event(
        self, now: float, entry: ActiveRequest, event: AttemptEvent
    ) -> None:
        """Record what happened to the current attempt of a request."""
        attempt = entry.machine.attempt
        if attempt is None or attempt.attempt_id != event.attempt_id:
            return
        match event:
            case ChunkArrived() | AttemptEnded() | PlainAnswered():
                self._active_at[attempt.server.server_id] = now
                if entry.answer_began_at is None:
                    entry.answer_began_at = now
            case AttemptLost(kind=LossKind.CUT):
                self._record_break(now, entry, attempt.server)

    def record_once_reply(
        self, now: float, entry: ActiveRequest, event: OnceReply
    ) -> None:
        """Record the outcome of a request that runs at most once."""
        attempt = entry.machine.attempt
        if attempt is None:
            return
        if isinstance(event.reply, DispatchAnswered):
            self._active_at[attempt.server.server_id] = now
            self.record_sound(now, entry)
        elif event.is_cut:
            self._record_break(now, entry, attempt.server)

    def record_sound(self, now: float, entry: ActiveRequest) -> None:
        """Record that an answer is complete."""
        self._quarantine.record_sound(now, entry.inputs)

    def note_progress(self, now: float, entry: ActiveRequest) -> None:
        """Record an answer in progress as sound if it has gone on well."""
        if entry.server and self._quarantine.needs_progress(now):
            self._quarantine.note_progress(
                now, entry.inputs, answered_for_s=entry.answered_for_s(now)
            )

    def handle_items(self, now: float, items: Iterable[Item]) -> None:
        """Join what other hosts know of inputs."""
        self._gossip.handle_items(now, items)

    def tick(self, now: float) -> list[Action]:
        """Judge the evidence; returns the changes, and what to gossip."""
        changes = self._quarantine.tick(
            now, lambda server_id: self._active_at.get(server_id, -1e9)
        )
        if self._active_at and not self._quarantine.needs_progress(now):
            self._active_at = {
                server_id: at
                for server_id, at in self._active_at.items()
                if now - at < GONE_ON_BEFORE_S
            }
        return changes + self._gossip.tick(now)

    def _record_break(
        self, now: float, entry: ActiveRequest, server: Server
    ) -> None:
        """Record a broken connection, unless its server is leaving.

        An operator or the platform ends such a server.
        """
        server_id = server.server_id
        is_listed = self._servers.get(server_id) is not None
        if not is_listed or self._servers.departure(server_id) is not None:
            return
        in_rollout = self._is_on_trial(server)
        answered_for_s = entry.answered_for_s(now)
        self._quarantine.record_break(
            now,
            entry.inputs,
            server,
            answered_for_s=answered_for_s,
            in_rollout=in_rollout,
        )
        if answered_for_s <= BEGUN_WITHIN_S:
            for key in entry.inputs.keys:
                self._gossip.record_crash(
                    now + self._unix_offset, server, key, in_rollout=in_rollout
                )
