"""The decisions of a host that serves by contracts, behind one facade."""

from collections.abc import Callable, Iterable
from typing import Any, Final

from waxwingarch.core.base import Action, Event, ExecutionStatus
from waxwingarch.core.cluster.cluster import Cluster
from waxwingarch.core.cluster.cluster_events import (
    ItemsChanged,
    Leave,
    LoanReceived,
    MembersChanged,
    PublishItem,
    SetDraining,
)
from waxwingarch.core.cluster.configsync import (
    PullFailed,
    Ready,
    RevisionRead,
    RevisionUnavailable,
    SettingsPulled,
    SettingsRead,
    SettingsUnavailable,
)
from waxwingarch.core.cluster.items import LeavingServer
from waxwingarch.core.cluster.members import Member
from waxwingarch.core.cluster.messages import DatagramReceived, Tick
from waxwingarch.core.contracts.directory import ContractDirectory
from waxwingarch.core.duties.duty_leases import DutyLeases, LeaseReply
from waxwingarch.core.events import (
    CacheRead,
    CallerGone,
    Drained,
    DrainRequested,
    LoadRead,
    RequestArrived,
    ServerLeaving,
    ServersListed,
    SettingsParsed,
)
from waxwingarch.core.fleet import Fleet
from waxwingarch.core.limits.admission import Admission
from waxwingarch.core.limits.limits import HostLimits
from waxwingarch.core.limits.shares import LOAN_MARGIN_S
from waxwingarch.core.moves.move_coordinator import MoveCoordinator
from waxwingarch.core.moves.move_duty import MOVES_DUTY, MoveDuty
from waxwingarch.core.node import Handler, Node
from waxwingarch.core.placement.placement import CostPlacement
from waxwingarch.core.placement.prefix import PrefixIndex
from waxwingarch.core.placement.server_selector import ServerSelector
from waxwingarch.core.randomness import RandomSource
from waxwingarch.core.refusal import Refusal, RefusalReason
from waxwingarch.core.request import (
    AttemptEnded,
    AttemptEvent,
    AttemptLost,
    ChunkArrived,
    HandOverFetched,
    PlainAnswered,
    Refuse,
    Request,
)
from waxwingarch.core.requests.evacuation import Evacuation
from waxwingarch.core.requests.guarded import Identity, OnceReply
from waxwingarch.core.requests.handoff import HandOff, OwnHostLeaving
from waxwingarch.core.requests.request_manager import RequestManager
from waxwingarch.core.servers.server_registry import ServerRegistry

COME_BACK_AFTER_S: Final = 1.0

# The loans of a limit end at the borrower this much before the lender
# may use them again.
PAUSE_S: Final = LOAN_MARGIN_S

CLUSTER_EVENTS: Final = (
    DatagramReceived,
    RevisionRead,
    RevisionUnavailable,
    SettingsRead,
    SettingsUnavailable,
    SettingsPulled,
    PullFailed,
)


class ContractNode(Node):
    """All decisions of one entry host."""

    def __init__(
        self,
        own: Member,
        seeds: Iterable[str],
        unix_offset: float,
        rng: RandomSource,
    ) -> None:
        """Begin with nothing known.

        `seeds` are UDP addresses of other hosts; `unix_offset` is Unix
        time less the monotonic clock, in seconds.
        """
        self.directory = ContractDirectory()
        self.servers = ServerRegistry()
        self.admission = Admission()
        self.prefixes = PrefixIndex()
        self.cluster = Cluster(own, seeds, rng)
        self.chooser = ServerSelector(
            self.servers, CostPlacement(rng, self.prefixes)
        )
        self.fleet = Fleet(
            self.cluster,
            self.servers,
            self.chooser,
            self.prefixes,
            self.admission,
        )
        identity = Identity(
            host_id=own.host_id,
            incarnation=own.incarnation,
            unix_offset=unix_offset,
        )
        self.moves = MoveCoordinator(self.cluster, unix_offset)
        self.chooser.narrow = self.moves.narrow
        self.request_manager = RequestManager(
            identity,
            self.admission,
            self.servers,
            self.chooser,
            self.fleet,
            self.moves,
            self.fleet.keepers,
        )
        self.limits = HostLimits(self.cluster, self.admission)
        self.hand_off = HandOff(
            self.request_manager, self.fleet.keepers, unix_offset
        )
        self.leases = DutyLeases(self.cluster, (MOVES_DUTY,))
        self.move_duty = MoveDuty(
            self.cluster,
            self.servers,
            self.chooser,
            self.moves,
            self.leases,
            unix_offset,
        )
        self.evacuation = Evacuation(
            self.servers, self.request_manager, self.chooser
        )
        self.draining = False
        self._settings_known = False
        self._drained = False
        self._unix_offset = unix_offset
        self._handled_at = float("-inf")
        handlers: dict[type[Event], Handler] = {
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
            LoadRead: self._load_read,
            CacheRead: self._cache_read,
            SettingsParsed: self._settings_parsed,
            DrainRequested: self._drain_requested,
            LeaseReply: self._lease_reply,
            HandOverFetched: self._hand_over_fetched,
            OwnHostLeaving: self._own_host_leaving,
            Leave: self._cluster_event,
        }
        for kind in CLUSTER_EVENTS:
            handlers[kind] = self._cluster_event
        super().__init__(handlers)
        self._absorbers: dict[
            type[Action], Callable[[float, Any], list[Action]]
        ] = {
            ItemsChanged: self._items_changed,
            MembersChanged: self._members_changed,
            LoanReceived: self.limits.loan_received,
            Ready: self._on_ready,
        }

    @property
    def ready(self) -> bool:
        """Whether the balancer may send requests here."""
        return self.serving and not self.draining

    @property
    def serving(self) -> bool:
        """Whether the settings in force are known here."""
        return self._settings_known and self.directory.revision > 0

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event and return what is to be done about it.

        `now` is the monotonic clock in seconds and never goes back.
        """
        if now - self._handled_at > PAUSE_S:
            self.limits.resumed(now)
        self._handled_at = now
        return super().handle(now, event)

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
        if not self.serving:
            return [
                _refuse(
                    event.request,
                    RefusalReason.NOT_READY,
                    "this host has no settings yet: send it again",
                )
            ]
        self.limits.arrived(now, event.request.account)
        return self.request_manager.arrived(now, event.request)

    def _attempt_event(self, now: float, event: AttemptEvent) -> list[Action]:
        return self._checked(self.request_manager.attempt_event(now, event))

    def _once_reply(self, now: float, event: OnceReply) -> list[Action]:
        return self._checked(self.request_manager.once_reply(now, event))

    def _caller_gone(self, now: float, event: CallerGone) -> list[Action]:
        return self._checked(
            self.request_manager.caller_gone(now, event.request_id)
        )

    # Servers

    def _servers_listed(
        self, now: float, event: ServersListed
    ) -> list[Action]:
        before = self.servers.generation
        self.servers.listed(event.servers)
        self.servers.starting = event.starting
        self.limits.set_listed(event.entry_hosts)
        if self.servers.generation != before:
            self.fleet.changed(now)
        return self.request_manager.tick(now)

    def _server_leaving(
        self, now: float, event: ServerLeaving
    ) -> list[Action]:
        """Tell the others of a leaving server, and act on it here."""
        item = LeavingServer(
            server_id=event.server_id,
            incarnation=event.incarnation,
            deadline_unix=event.deadline_unix,
        )
        published = PublishItem(item=item)
        return self._absorb(now, self.cluster.handle(now, published))

    def _load_read(self, now: float, event: LoadRead) -> list[Action]:
        return self._absorb(now, self.fleet.load_read(now, event))

    def _cache_read(self, now: float, event: CacheRead) -> list[Action]:
        return self._absorb(now, self.fleet.cache_read(now, event))

    # The other entry hosts

    def _cluster_event(self, now: float, event: Event) -> list[Action]:
        return self._absorb(now, self.cluster.handle(now, event))

    def _absorb(self, now: float, actions: list[Action]) -> list[Action]:
        """Act on what the cluster has learnt; pass the rest on."""
        result: list[Action] = []
        for action in actions:
            absorber = self._absorbers.get(type(action))
            result += absorber(now, action) if absorber else [action]
        return result

    def _items_changed(self, now: float, action: ItemsChanged) -> list[Action]:
        self.fleet.heard(now, action.items)
        self.moves.heard(now, action.items)
        return [
            consequence
            for item in action.items
            if isinstance(item, LeavingServer)
            for consequence in self._heard_leaving(now, item)
        ]

    def _heard_leaving(self, now: float, item: LeavingServer) -> list[Action]:
        deadline = item.deadline_unix - self._unix_offset
        news = self.servers.leaving(item.server_id, item.incarnation, deadline)
        if not news:
            return []
        return self.evacuation.server_leaving(now, item.server_id)

    def _members_changed(
        self, now: float, action: MembersChanged
    ) -> list[Action]:
        self.fleet.changed(now)
        self.limits.members_changed()
        return []

    # Settings

    def _on_ready(self, now: float, action: Ready) -> list[Action]:
        self._settings_known = True
        return []

    def _settings_parsed(
        self, now: float, event: SettingsParsed
    ) -> list[Action]:
        if not self.directory.apply(event.revision, event.contracts):
            return []
        self.moves.apply(now, event.moves)
        self.limits.set_contracts(event.contracts)
        return self.request_manager.contracts_applied(now, event.contracts)

    # Duties

    def _lease_reply(self, now: float, event: LeaseReply) -> list[Action]:
        return self.leases.handle(now, event)

    # Life

    def _tick(self, now: float, event: Tick) -> list[Action]:
        heard = self._absorb(now, self.cluster.handle(now, event))
        judged = self._absorb(now, self.moves.tick(now))
        self.fleet.tick(now)
        asked = self.limits.tick(now)
        duties = self.leases.tick(now) + self.move_duty.tick(now)
        duties += self.hand_off.tick(now)
        moved = self.evacuation.tick(now)
        done = (
            heard
            + judged
            + asked
            + duties
            + moved
            + self.request_manager.tick(now)
        )
        return self._checked(done)

    def _drain_requested(
        self, now: float, event: DrainRequested
    ) -> list[Action]:
        self.draining = True
        told = self.cluster.handle(now, SetDraining(draining=True))
        resigned = self.leases.resign(now)
        return self._checked(self._absorb(now, told) + resigned)

    def _own_host_leaving(
        self, now: float, event: OwnHostLeaving
    ) -> list[Action]:
        drained = self._drain_requested(now, DrainRequested())
        return drained + self.hand_off.begin(now, event)

    def _hand_over_fetched(
        self, now: float, event: HandOverFetched
    ) -> list[Action]:
        return self._checked(
            self.request_manager.hand_over_fetched(now, event)
        )

    def _checked(self, actions: list[Action]) -> list[Action]:
        """Add `Drained`, once, when a drain has come to its end."""
        done = self.draining and not self.request_manager.in_progress
        if not done or self._drained:
            return actions
        self._drained = True
        return [*actions, Drained()]


def _refuse(request: Request, reason: RefusalReason, message: str) -> Refuse:
    refusal = Refusal(
        reason=reason,
        ran=ExecutionStatus.NOT_RUN,
        message=message,
        retry_after_s=COME_BACK_AFTER_S,
    )
    return Refuse(request_id=request.request_id, refusal=refusal)
