"""The facade of all decisions of one host: typed events in, actions out.

Everything a host decides goes through `Node.handle`. The same sequence
of `(now, event)` gives the same actions, so that a recorded trace can be
replayed and any bench can drive many nodes in one process.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from waxwingarch.core.admission import Admission
from waxwingarch.core.base import Action, Event, HostId, Ran
from waxwingarch.core.chooser import Chooser
from waxwingarch.core.desk import Desk
from waxwingarch.core.directory import Directory
from waxwingarch.core.evacuation import Evacuation
from waxwingarch.core.events import (
    CallerGone,
    ContractsApplied,
    Drained,
    DrainRequested,
    PublishItem,
    RequestArrived,
    ServerLeaving,
    ServersListed,
    Tick,
)
from waxwingarch.core.guarded import Identity, OnceReply
from waxwingarch.core.items import LeavingServer
from waxwingarch.core.placement import CostPlacement
from waxwingarch.core.prefix import PrefixIndex
from waxwingarch.core.refusal import Refusal, RefusalReason
from waxwingarch.core.request import (
    AttemptEnded,
    AttemptEvent,
    AttemptLost,
    ChunkArrived,
    PlainAnswered,
    Refuse,
    Request,
)
from waxwingarch.core.servers import ServerBook

if TYPE_CHECKING:
    from random import Random

COME_BACK_AFTER_S = 1.0


class _NobodyGone:
    """Knows nothing of the life of other hosts."""

    def is_gone(self, host: HostId, incarnation: int) -> bool:
        """Return whether that incarnation is known to have ended."""
        return False


class Node:
    """All decisions of one entry host."""

    def __init__(self, identity: Identity, rng: "Random") -> None:
        self.directory = Directory()
        self.servers = ServerBook()
        self.admission = Admission()
        self.prefixes = PrefixIndex()
        self.chooser = Chooser(self.servers, CostPlacement(rng, self.prefixes))
        self.desk = Desk(
            identity,
            self.admission,
            self.servers,
            self.chooser,
            _NobodyGone(),
        )
        self.evacuation = Evacuation(self.servers, self.desk, self.chooser)
        self.draining = False
        self._drained = False
        self._rng = rng
        self._handlers: dict[
            type[Event], Callable[[float, Any], list[Action]]
        ] = {
            Tick: self._tick,
            RequestArrived: self._request_arrived,
            CallerGone: self._caller_gone,
            ChunkArrived: self._attempt_event,
            AttemptEnded: self._attempt_event,
            AttemptLost: self._attempt_event,
            PlainAnswered: self._attempt_event,
            OnceReply: self._once_reply,
            ServersListed: self._servers_listed,
            ServerLeaving: self._server_leaving,
            ContractsApplied: self._contracts_applied,
            DrainRequested: self._drain_requested,
        }

    @property
    def ready(self) -> bool:
        """Whether the balancer may send requests here."""
        return self.directory.revision > 0 and not self.draining

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event and return what is to be done about it.

        `now` is the monotonic clock in seconds and never goes back.
        """
        return self._handlers[type(event)](now, event)

    # Requests

    def _request_arrived(
        self, now: float, event: RequestArrived
    ) -> list[Action]:
        if self.draining:
            return [
                _refuse(
                    event.request,
                    RefusalReason.DRAINING,
                    "this host is stopping: send it again, another answers",
                )
            ]
        if not self.ready:
            return [
                _refuse(
                    event.request,
                    RefusalReason.NOT_READY,
                    "this host has no settings yet: send it again",
                )
            ]
        return self.desk.arrived(now, event.request)

    def _attempt_event(self, now: float, event: AttemptEvent) -> list[Action]:
        return self._checked(self.desk.attempt_event(now, event))

    def _once_reply(self, now: float, event: OnceReply) -> list[Action]:
        return self._checked(self.desk.once_reply(now, event))

    def _caller_gone(self, now: float, event: CallerGone) -> list[Action]:
        return self._checked(self.desk.caller_gone(now, event.request_id))

    # Servers

    def _servers_listed(
        self, now: float, event: ServersListed
    ) -> list[Action]:
        self.servers.listed(event.servers)
        slots = sum(server.slots for server in event.servers)
        self.admission.set_capacity(slots)
        return self.desk.tick(now)

    def _server_leaving(
        self, now: float, event: ServerLeaving
    ) -> list[Action]:
        news = self.servers.leaving(
            event.server_id, event.incarnation, event.deadline
        )
        if not news:
            return []
        item = LeavingServer(
            server_id=event.server_id,
            incarnation=event.incarnation,
            deadline_unix=event.deadline_unix,
        )
        moved = self.evacuation.server_leaving(now, event.server_id)
        return [PublishItem(item=item), *moved]

    # Settings

    def _contracts_applied(
        self, now: float, event: ContractsApplied
    ) -> list[Action]:
        if not self.directory.apply(event.revision, event.contracts):
            return []
        return self.desk.contracts_applied(now, event.contracts)

    # Life

    def _tick(self, now: float, event: Tick) -> list[Action]:
        moved = self.evacuation.tick(now)
        return self._checked(moved + self.desk.tick(now))

    def _drain_requested(
        self, now: float, event: DrainRequested
    ) -> list[Action]:
        self.draining = True
        return self._checked([])

    def _checked(self, actions: list[Action]) -> list[Action]:
        """Add `Drained`, once, when a drain has come to its end."""
        done = self.draining and not self.desk.in_progress
        if not done or self._drained:
            return actions
        self._drained = True
        return [*actions, Drained()]


def _refuse(request: Request, reason: RefusalReason, message: str) -> Refuse:
    refusal = Refusal(
        reason=reason,
        ran=Ran.NOT_RUN,
        message=message,
        retry_after_s=COME_BACK_AFTER_S,
    )
    return Refuse(request_id=request.request_id, refusal=refusal)
