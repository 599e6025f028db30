"""The node of an entry host that serves client accounts by contracts."""

from collections.abc import Callable, Iterable
from typing import Any, Final

from waxwingarch.core.base import Action, Event
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
from waxwingarch.core.refusal import RefusalReason
from waxwingarch.core.request import (
    AttemptEnded,
    AttemptEvent,
    AttemptLost,
    ChunkArrived,
    HandOverFetched,
    PlainAnswered,
)
from waxwingarch.core.requests.crash_guard import CrashGuard
from waxwingarch.core.requests.evacuation import Evacuation
from waxwingarch.core.requests.guarded import Identity, OnceReply
from waxwingarch.core.requests.handoff import HandOverSender, OwnHostLeaving
from waxwingarch.core.requests.request_manager import RequestManager
from waxwingarch.core.requests.request_refusals import host_refusal
from waxwingarch.core.servers.server_registry import ServerRegistry

# A lender may reuse loaned units of a limit this long after the loan has
# ended at the borrower. A process that was paused for longer therefore has
# to refresh its limits before it admits requests.
PAUSE_THRESHOLD_S: Final = LOAN_MARGIN_S

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
    """All decisions of one entry host, wired together from their parts."""

    def __init__(
        self,
        own: Member,
        seeds: Iterable[str],
        unix_offset: float,
        rng: RandomSource,
    ) -> None:
        """Create a node that knows no servers and no settings yet.

        `seeds` are UDP addresses of other hosts; `unix_offset` is Unix
        time minus the monotonic clock, in seconds.
        """
        self.directory = ContractDirectory()
        self.servers = ServerRegistry()
        self.admission = Admission()
        self.prefixes = PrefixIndex()
        self.cluster = Cluster(own, seeds, rng)
        self.selector = ServerSelector(
            self.servers, CostPlacement(rng, self.prefixes)
        )
        self.fleet = Fleet(
            self.cluster,
            self.servers,
            self.selector,
            self.prefixes,
            self.admission,
        )
        identity = Identity(
            host_id=own.host_id,
            incarnation=own.incarnation,
            unix_offset=unix_offset,
        )
        self.moves = MoveCoordinator(self.cluster, unix_offset)
        self.selector.filter_candidates = self.moves.filter_by_version
        self.leases = DutyLeases(self.cluster, (MOVES_DUTY,))
        self.crash_guard = CrashGuard(
            self.cluster,
            self.servers,
            unix_offset,
            is_on_trial=self.moves.is_on_trial,
            may_probe=lambda now: self.leases.may_act(now, MOVES_DUTY),
        )
        self.request_manager = RequestManager(
            identity,
            self.admission,
            self.servers,
            self.selector,
            self.fleet,
            self.moves,
            self.fleet.hand_over_peers,
            self.crash_guard,
        )
        self.limits = HostLimits(self.cluster, self.admission)
        self.hand_over_sender = HandOverSender(
            self.request_manager, self.fleet.hand_over_peers, unix_offset
        )
        self.move_duty = MoveDuty(
            self.cluster,
            self.servers,
            self.selector,
            self.moves,
            self.leases,
            unix_offset,
        )
        self.evacuation = Evacuation(
            self.servers, self.request_manager, self.selector
        )
        self.draining = False
        self._has_settings = False
        self._is_drain_reported = False
        self._unix_offset = unix_offset
        self._last_handled_at = float("-inf")
        handlers: dict[type[Event], Handler] = {
            Tick: self._tick,
            RequestArrived: self._handle_arrival,
            CallerGone: self._handle_disconnect,
            ChunkArrived: self._handle_attempt_event,
            AttemptEnded: self._handle_attempt_event,
            AttemptLost: self._handle_attempt_event,
            PlainAnswered: self._handle_attempt_event,
            OnceReply: self._handle_once_reply,
            ServersListed: self._handle_listing,
            ServerLeaving: self._handle_leaving_notice,
            LoadRead: self._handle_load_read,
            CacheRead: self._handle_cache_read,
            SettingsParsed: self._apply_settings,
            DrainRequested: self._handle_drain,
            LeaseReply: self._handle_lease_reply,
            HandOverFetched: self._handle_hand_over,
            OwnHostLeaving: self._handle_own_host_leaving,
            Leave: self._handle_cluster_event,
        }
        for event_type in CLUSTER_EVENTS:
            handlers[event_type] = self._handle_cluster_event
        super().__init__(handlers)
        self._internal_handlers: dict[
            type[Action], Callable[[float, Any], list[Action]]
        ] = {
            ItemsChanged: self._handle_items_changed,
            MembersChanged: self._handle_members_changed,
            LoanReceived: self.limits.handle_loan_message,
            Ready: self._handle_ready,
        }

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send requests to this host."""
        return self.serving and not self.draining

    @property
    def serving(self) -> bool:
        """Whether this host knows the settings in force."""
        return self._has_settings and self.directory.revision > 0

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event and return the actions to carry out.

        `now` is the monotonic clock in seconds and never decreases.
        """
        if now - self._last_handled_at > PAUSE_THRESHOLD_S:
            self.limits.refresh_all(now)
        self._last_handled_at = now
        return super().handle(now, event)

    # Requests

    def _handle_arrival(
        self, now: float, event: RequestArrived
    ) -> list[Action]:
        if self.draining:
            return [
                host_refusal(
                    event.request,
                    RefusalReason.DRAINING,
                    "this host is stopping: send it again, another answers",
                )
            ]
        if not self.serving:
            return [
                host_refusal(
                    event.request,
                    RefusalReason.NOT_READY,
                    "this host has no settings yet: send it again",
                )
            ]
        self.limits.record_arrival(now, event.request.account)
        return self.request_manager.handle_arrival(now, event.request)

    def _handle_attempt_event(
        self, now: float, event: AttemptEvent
    ) -> list[Action]:
        return self._append_drained(
            self.request_manager.handle_attempt_event(now, event)
        )

    def _handle_once_reply(self, now: float, event: OnceReply) -> list[Action]:
        return self._append_drained(
            self.request_manager.handle_once_reply(now, event)
        )

    def _handle_disconnect(
        self, now: float, event: CallerGone
    ) -> list[Action]:
        return self._append_drained(
            self.request_manager.handle_disconnect(now, event.request_id)
        )

    # Servers

    def _handle_listing(
        self, now: float, event: ServersListed
    ) -> list[Action]:
        before = self.servers.generation
        self.servers.apply_list(event.servers)
        self.servers.starting = event.starting
        self.limits.set_listed_hosts(event.entry_hosts)
        if self.servers.generation != before:
            self.fleet.handle_change(now)
        return self.request_manager.tick(now)

    def _handle_leaving_notice(
        self, now: float, event: ServerLeaving
    ) -> list[Action]:
        """Publish the notice to all hosts and apply it to this one."""
        item = LeavingServer(
            server_id=event.server_id,
            incarnation=event.incarnation,
            deadline_unix=event.deadline_unix,
        )
        publish = PublishItem(item=item)
        return self._consume_internal(now, self.cluster.handle(now, publish))

    def _handle_load_read(self, now: float, event: LoadRead) -> list[Action]:
        return self._consume_internal(
            now, self.fleet.handle_load_read(now, event)
        )

    def _handle_cache_read(self, now: float, event: CacheRead) -> list[Action]:
        return self._consume_internal(
            now, self.fleet.handle_cache_read(now, event)
        )

    # Other entry hosts

    def _handle_cluster_event(self, now: float, event: Event) -> list[Action]:
        return self._consume_internal(now, self.cluster.handle(now, event))

    def _consume_internal(
        self, now: float, actions: list[Action]
    ) -> list[Action]:
        """Consume the actions for parts of this node; return the others."""
        result: list[Action] = []
        for action in actions:
            handler = self._internal_handlers.get(type(action))
            result += handler(now, action) if handler else [action]
        return result

    def _handle_items_changed(
        self, now: float, action: ItemsChanged
    ) -> list[Action]:
        self.fleet.apply_items(now, action.items)
        self.moves.handle_items(now, action.items)
        self.crash_guard.handle_items(now, action.items)
        return [
            consequence
            for item in action.items
            if isinstance(item, LeavingServer)
            for consequence in self._handle_leaving_server(now, item)
        ]

    def _handle_leaving_server(
        self, now: float, item: LeavingServer
    ) -> list[Action]:
        deadline = item.deadline_unix - self._unix_offset
        is_new = self.servers.mark_leaving(
            item.server_id, item.incarnation, deadline
        )
        if not is_new:
            return []
        return self.evacuation.handle_server_leaving(now, item.server_id)

    def _handle_members_changed(
        self, now: float, action: MembersChanged
    ) -> list[Action]:
        self.fleet.handle_change(now)
        self.limits.update_members()
        return []

    # Settings

    def _handle_ready(self, now: float, action: Ready) -> list[Action]:
        self._has_settings = True
        return []

    def _apply_settings(
        self, now: float, event: SettingsParsed
    ) -> list[Action]:
        if not self.directory.apply(event.revision, event.contracts):
            return []
        self.moves.apply_moves(now, event.moves)
        self.limits.set_contracts(event.contracts)
        return self.request_manager.apply_contracts(now, event.contracts)

    # Duties

    def _handle_lease_reply(
        self, now: float, event: LeaseReply
    ) -> list[Action]:
        return self.leases.handle(now, event)

    # Ticks, draining and hand-over

    def _tick(self, now: float, event: Tick) -> list[Action]:
        cluster_actions = self._consume_internal(
            now, self.cluster.handle(now, event)
        )
        move_actions = self._consume_internal(now, self.moves.tick(now))
        quarantine_actions = self._consume_internal(
            now, self.crash_guard.tick(now)
        )
        self.fleet.tick(now)
        loan_actions = self.limits.tick(now)
        duty_actions = self.leases.tick(now) + self.move_duty.tick(now)
        duty_actions += self.hand_over_sender.tick(now)
        evacuation_actions = self.evacuation.tick(now)
        actions = (
            cluster_actions
            + move_actions
            + quarantine_actions
            + loan_actions
            + duty_actions
            + evacuation_actions
            + self.request_manager.tick(now)
        )
        return self._append_drained(actions)

    def _handle_drain(self, now: float, event: DrainRequested) -> list[Action]:
        self.draining = True
        actions = self.cluster.handle(now, SetDraining(draining=True))
        lease_actions = self.leases.resign(now)
        return self._append_drained(
            self._consume_internal(now, actions) + lease_actions
        )

    def _handle_own_host_leaving(
        self, now: float, event: OwnHostLeaving
    ) -> list[Action]:
        drain_actions = self._handle_drain(now, DrainRequested())
        return drain_actions + self.hand_over_sender.start(now, event)

    def _handle_hand_over(
        self, now: float, event: HandOverFetched
    ) -> list[Action]:
        return self._append_drained(
            self.request_manager.handle_hand_over(now, event)
        )

    def _append_drained(self, actions: list[Action]) -> list[Action]:
        """Add `Drained`, once, when no request of a drain is left."""
        done = self.draining and not self.request_manager.in_progress
        if not done or self._is_drain_reported:
            return actions
        self._is_drain_reported = True
        return [*actions, Drained()]
