"""Decision node of a front: a gateway host of the platform.

Its routes come from one configuration row. It composes routing, exchanges,
load balancing, limits, gossip with the peers, duties and version moves.
"""

from collections import deque
from collections.abc import Mapping
from functools import cache
from typing import Final

from waxwingarch.core.backends.brittle_servers import (
    BrittlenessChanged,
    BrittlenessSeen,
)
from waxwingarch.core.backends.cold_servers import ColdStateSeen
from waxwingarch.core.backends.evacuations import Evacuations
from waxwingarch.core.backends.load_balancer import LoadBalancer
from waxwingarch.core.backends.registry import (
    BackendLeaving,
    BackendsListed,
    LeavingAnnounced,
    LeavingSource,
)
from waxwingarch.core.backends.server_checks import ServerChecked
from waxwingarch.core.backends.server_limits import ServerLimitSeen
from waxwingarch.core.base import Action, Event, ServerId
from waxwingarch.core.duties.autoscaler import ServersOrdered
from waxwingarch.core.duties.coordinator import DutyCoordinator
from waxwingarch.core.duties.demand import DemandTracker
from waxwingarch.core.duties.leader_election import (
    DutyRowRead,
    DutyRowWritten,
    DutyStoreFailed,
    ReadDutyRow,
    StoreEraSeen,
)
from waxwingarch.core.duties.usage import UsageSent, UsageSettled
from waxwingarch.core.exchange.exchange_manager import ExchangeManager
from waxwingarch.core.exchange.exchange_messages import (
    AttemptFinished,
    CallerDisconnected,
    ExchangeArrived,
    ExchangeHead,
    LocalResponse,
    ResponseStarted,
    RunMigrated,
    ServerActivity,
    ServerSilent,
    SilenceLasts,
)
from waxwingarch.core.exchange.relays import PeerSelector
from waxwingarch.core.exchange.state_machine import stopping_refusal
from waxwingarch.core.front_evacuations import FrontEvacuations
from waxwingarch.core.front_messages import (
    ConfigApplied,
    ConfigRead,
    FrontBounds,
    FrontIdentity,
    FrontTick,
    StopBegan,
    StopEnds,
)
from waxwingarch.core.front_sums import FrontSums
from waxwingarch.core.limits.resend_budget import ResendBudget
from waxwingarch.core.limits.shared_rate import SharedRates
from waxwingarch.core.node import Handler, Node
from waxwingarch.core.peers.report import (
    HostReport,
    HostsListed,
    ReportReceived,
    TableChecked,
)
from waxwingarch.core.peers.report_gossip import ReportGossip
from waxwingarch.core.quarantine.quarantine import Quarantine
from waxwingarch.core.quarantine.quarantine_messages import (
    QuarantineChanged,
    QuarantineOrdered,
    QuarantineRead,
    QuarantineWritten,
)
from waxwingarch.core.quarantine.quarantine_rows import QuarantineRows
from waxwingarch.core.randomness import RandomSource
from waxwingarch.core.rollouts.rollout_controller import RolloutController
from waxwingarch.core.rollouts.rollout_messages import (
    RolloutsRead,
    RolloutStatusReported,
    StopMarked,
    StopsRead,
)
from waxwingarch.core.routing.table import RoutingTable

# A stopping host still admits requests for this long: the balancer in front
# of the hosts needs two failed readiness checks, a second apart, before it
# sends no new connections.
ACCEPT_WHILE_STOPPING_S: Final = 2.6
# A host that has just started knows the routes and servers after a few
# calls to the store. Requests that arrive earlier wait up to this long.
STARTUP_WAIT_S: Final = 0.5
# Changes of the limits that servers name are told to the peers at once, but
# no more often than this.
LIMITS_TOLD_INTERVAL_S: Final = 0.1


class FrontNode(Node):
    """Decides about exchanges and keeps the state that this needs.

    `duties.boot_now` is the boot clock as of the last tick.
    """

    def __init__(
        self,
        identity: FrontIdentity,
        bounds: FrontBounds,
        rng: RandomSource,
    ) -> None:
        self.identity = identity
        self.table = RoutingTable()
        self.rollouts = RolloutController(
            identity.host, identity.incarnation, bounds.exposure, rng
        )
        self.load_balancer = LoadBalancer(
            rng, identity.host, identity.domain, self.rollouts, bounds.cold
        )
        self.evacuations = Evacuations()
        self.rates = SharedRates(bounds.rate_window_s, rng)
        self.resend_budget = ResendBudget(
            ratio=bounds.resend_ratio,
            extra=bounds.resend_extra,
            window_s=bounds.resend_window_s,
        )
        self.quarantine = Quarantine(self.unix_time)
        self.quarantine_rows = QuarantineRows(self.quarantine)
        self.gossip = ReportGossip(identity.host, bounds.change_known_s)
        self.peers = self.gossip.peers
        self.exchanges = ExchangeManager(
            self.table,
            self.load_balancer,
            self.rates,
            self.resend_budget,
            self.rollouts,
            rng,
            bounds.change_known_s,
            self.quarantine,
            PeerSelector(identity.domain, self.peers.live_reports, rng),
        )
        self.duties = DutyCoordinator(
            identity.host,
            identity.incarnation,
            identity.duties,
            self.gossip,
            self.rates,
            self.table,
            self.load_balancer.registry,
            DemandTracker(
                self.load_balancer.loads, self.load_balancer.latency
            ),
            lease_s=bounds.lease_s,
            usage_window_s=bounds.usage_window_s,
            first_start=identity.first_start,
        )
        self.lease = self.duties.lease
        self.usage = self.duties.usage
        self.sums = FrontSums(
            identity,
            self.gossip,
            self.load_balancer,
            self.rates,
            self._table_versions,
            lambda: self._boot_now,
        )
        self._front_evacuations = FrontEvacuations(
            self.evacuations,
            self.load_balancer,
            self.duties.autoscaler,
            is_enabled=bounds.evacuation_s is not None,
        )
        self.stopping = False
        self._accept_until = float("inf")
        self._unix_at_boot_s = 0.0
        self._unix_offset_s = 0.0
        self._rows_version = 0
        self._limits_told_at = float("-inf")
        self._store_era: int | None = None
        self._is_started = False
        self._waiting_requests: deque[tuple[float, ExchangeHead]] = deque()
        super().__init__(self._event_handlers())

    def _event_handlers(self) -> Mapping[type[Event], Handler]:
        return {
            FrontTick: self._handle_tick,
            ConfigRead: self._handle_config_read,
            BackendsListed: self._handle_backends_listed,
            LeavingAnnounced: self._handle_leaving_announced,
            ServerLimitSeen: self._handle_limit_seen,
            BrittlenessSeen: self._handle_brittleness_seen,
            ColdStateSeen: self.load_balancer.cold.record_response,
            ExchangeArrived: self._handle_arrival,
            ResponseStarted: self._handle_response_started,
            ServerActivity: self._handle_server_activity,
            ServerSilent: self._handle_server_silent,
            SilenceLasts: self.exchanges.silence.handle_silence,
            ServerChecked: self.exchanges.silence.handle_check,
            AttemptFinished: self._handle_attempt_finished,
            CallerDisconnected: self._handle_disconnect,
            RunMigrated: self.exchanges.handle_run_migrated,
            ReportReceived: self._handle_report_received,
            HostsListed: self._handle_hosts_listed,
            TableChecked: self._handle_table_checked,
            StoreEraSeen: self._handle_store_era,
            DutyRowRead: self.duties.handle_lease_row_read,
            DutyRowWritten: self.duties.handle_lease_row_written,
            DutyStoreFailed: lambda now, e: self.lease.handle_store_failure(e),
            UsageSettled: self.duties.handle_usage_settled,
            UsageSent: self.duties.handle_usage_sent,
            ServersOrdered: self.duties.handle_order_reply,
            RolloutsRead: self._handle_rollouts_read,
            StopsRead: self._handle_stops_read,
            StopMarked: self._handle_stop_marked,
            RolloutStatusReported: self._handle_rollout_status_reported,
            QuarantineRead: self._handle_quarantine_read,
            QuarantineWritten: self._handle_quarantine_written,
            QuarantineOrdered: self._handle_quarantine_ordered,
            **self.sums.handlers(),
            **self._front_evacuations.handlers(),
            StopBegan: self._handle_stop,
            StopEnds: self._handle_stop_end,
        }

    @property
    def ready(self) -> bool:
        """Whether the balancer should send new connections to this host."""
        return self.serving and not self.stopping

    @property
    def serving(self) -> bool:
        """Whether a configuration and some servers are known."""
        return (
            self.table.is_configured and len(self.load_balancer.registry) > 0
        )

    def unix_time(self, now: float) -> float:
        """Return the hosts' common time of day, in Unix seconds."""
        return now + self._unix_offset_s + self.peers.clock_offset_s(now)

    def _handle_arrival(
        self, now: float, event: ExchangeArrived
    ) -> list[Action]:
        head = event.head
        if now >= self._accept_until:
            return [
                LocalResponse(
                    request_id=head.request_id, refusal=stopping_refusal()
                )
            ]
        if self.serving:
            return self.exchanges.handle_arrival(now, head)
        self._waiting_requests.append((now, head))
        return []

    def _handle_disconnect(
        self, now: float, event: CallerDisconnected
    ) -> list[Action]:
        self._waiting_requests = deque(
            (arrived_at, head)
            for arrived_at, head in self._waiting_requests
            if head.request_id != event.request_id
        )
        return self.exchanges.handle_disconnect(now, event)

    def _serve_waiting_requests(self, now: float) -> list[Action]:
        """Admit or refuse the requests that waited for this host to start.

        A request is refused once it has waited for the startup wait or for
        its caller's timeout, whichever is shorter.
        """
        actions: list[Action] = []
        waiting, self._waiting_requests = self._waiting_requests, deque()
        for arrived_at, head in waiting:
            wait_s = min(
                STARTUP_WAIT_S, head.caller_timeout_s or STARTUP_WAIT_S
            )
            if not self.serving and now < arrived_at + wait_s:
                self._waiting_requests.append((arrived_at, head))
            else:
                actions += self.exchanges.handle_arrival(now, head, arrived_at)
        return actions

    # Configuration and servers

    def _handle_config_read(
        self, now: float, event: ConfigRead
    ) -> list[Action]:
        self._rows_version = max(self._rows_version, event.rows_version)
        if not self.table.apply(now, event.cfg):
            return []
        self.load_balancer.registry.set_services(self.table.services)
        cold = self.load_balancer.cold
        changes = cold.set_services(now, self.table.services)
        self.rates.apply_config(now, event.rows_version, event.cfg.accounts)
        applied = ConfigApplied(
            version=event.cfg.version,
            idle_timeout_s=event.cfg.idle_timeout_s,
        )
        return [applied, *changes, *self._serve_waiting_requests(now)]

    def _handle_backends_listed(
        self, now: float, event: BackendsListed
    ) -> list[Action]:
        change = self.load_balancer.registry.apply_listing(now, event)
        for server_id in change.restarted:
            self.load_balancer.forget(server_id)
        cold_changes = self.load_balancer.cold.record_listing(now, change)
        return (
            self._handle_leaving_backends(now, change.leaving)
            + cold_changes
            + self._serve_waiting_requests(now)
        )

    def _handle_leaving_announced(
        self, now: float, event: LeavingAnnounced
    ) -> list[Action]:
        leaving = self.load_balancer.registry.announce_leaving(
            now,
            event.server.server_id,
            event.server.incarnation,
            LeavingSource.RESPONSE,
        )
        return self._handle_leaving_backends(now, leaving)

    def _handle_limit_seen(
        self, now: float, event: ServerLimitSeen
    ) -> list[Action]:
        """Record a server's limit; a change is told to the peers at once."""
        self._start_limits(now)
        changes = self.load_balancer.limits.record_response(now, event)
        if changes and now >= self._limits_told_at + LIMITS_TOLD_INTERVAL_S:
            self._limits_told_at = now
            changes += self._tell_all_peers(now)
        return changes

    def _handle_brittleness_seen(
        self, now: float, event: BrittlenessSeen
    ) -> list[Action]:
        """Record whether a server is brittle; peers hear at once that it is.

        That it is no longer brittle, they learn from their own responses.
        """
        if not self.load_balancer.brittle:
            self._update_limit_hosts(now)
        if not self.load_balancer.brittle.record_response(now, event):
            return []
        changed = BrittlenessChanged(
            service=event.server.service,
            rejections_per_s=event.rejections_per_s,
        )
        if event.rejections_per_s is None:
            return [changed]
        return [changed, *self._tell_all_peers(now)]

    def _tell_all_peers(self, now: float) -> list[Action]:
        return self.gossip.send_reports(
            now, lambda: self._build_report(now), all_at_once=True
        )

    def _handle_peer_announcements(
        self, now: float, announced: Mapping[ServerId, int]
    ) -> list[Action]:
        """Mark the servers as leaving that peers heard it from."""
        leaving = [
            action
            for server_id, incarnation in announced.items()
            for action in self.load_balancer.registry.announce_leaving(
                now, server_id, incarnation, LeavingSource.PEER
            )
        ]
        return self._handle_leaving_backends(now, leaving)

    def _handle_leaving_backends(
        self, now: float, leaving: list[BackendLeaving]
    ) -> list[Action]:
        """Return the actions about leaving servers, which are logged too."""
        actions: list[Action] = []
        for event in leaving:
            actions.append(event)
            actions += self.exchanges.handle_server_leaving(now, event)
        return actions

    def _handle_response_started(
        self, now: float, event: ResponseStarted
    ) -> list[Action]:
        state = self.exchanges.record_response_start(now, event)
        if state is not None and state.exchange.account is not None:
            self.usage.record_start(
                self.unix_time(now), state.exchange.account
            )
        return self._tell_path_changes(now)

    def _handle_attempt_finished(
        self, now: float, event: AttemptFinished
    ) -> list[Action]:
        actions = self.exchanges.handle_attempt_finished(now, event)
        return actions + self._tell_path_changes(now)

    def _tell_path_changes(self, now: float) -> list[Action]:
        """Tell the peers at once that a path was lost, or is there again."""
        changes = self.load_balancer.paths.take_changes()
        if not changes:
            return []
        return [*changes, *self._tell_all_peers(now)]

    def _handle_server_activity(
        self, now: float, event: ServerActivity
    ) -> list[Action]:
        self.load_balancer.loads.record_activity(now, event.server_id)
        self.load_balancer.health.end_silence(now, event.server_id)
        return []

    def _handle_server_silent(
        self, now: float, event: ServerSilent
    ) -> list[Action]:
        """Avoid the server for new requests; the response may go on."""
        self.load_balancer.health.record_silence(now, event.server_id)
        return []

    # Peers

    def _handle_hosts_listed(
        self, now: float, event: HostsListed
    ) -> list[Action]:
        self.peers.record_addresses(now, event)
        self._update_fleet_size()
        return []

    def _handle_table_checked(
        self, now: float, event: TableChecked
    ) -> list[Action]:
        self.gossip.record_table_check(self._boot_now, event.table)
        return []

    def _update_fleet_size(self) -> None:
        self.rates.set_host_count(
            self.peers.known_host_count, self.peers.round_s
        )
        self.resend_budget.set_host_count(self.peers.known_host_count)

    def _handle_report_received(
        self, now: float, event: ReportReceived
    ) -> list[Action]:
        report = event.report
        # The own time of day is unknown before the first tick.
        unix_now = report.unix_now
        if self._is_started:
            unix_now = now + self._unix_offset_s
        if not self.peers.record_report(now, report, unix_now):
            return []
        self._update_fleet_size()
        self.load_balancer.loads.record_peer_loads(report.host, report.loads)
        self.load_balancer.peer_evidence.record_avoided(
            now, report.host, report.domain, report.avoided
        )
        self.rates.record_report(
            now, report.host, report.admitted, report.config_version
        )
        self.rollouts.record_peer_report(report.rollouts, report.evidence)
        self.quarantine.record_report(now, report.quarantine)
        if report.holds_duties:
            self.lease.record_holder_report(self._boot_now)
        changes: list[Action] = []
        if report.brittle_services:
            if not self.load_balancer.brittle:
                self._update_limit_hosts(now)
            self.load_balancer.brittle.record_report(
                now, report.brittle_services
            )
        if report.limits:
            self._start_limits(now)
            changes += self.load_balancer.limits.record_report(
                now, report.limits
            )
        changes += self._handle_peer_announcements(now, report.leaving)
        changes += self._front_evacuations.record_report(now, report)
        return changes + self.gossip.handle_report(
            now, self._boot_now, report, self._table_versions()
        )

    def _table_versions(self) -> tuple[int, int, int]:
        """Return the versions of this host's copies of the tables."""
        return (
            self._rows_version,
            self.load_balancer.registry.version,
            self.table.version,
        )

    def _build_report(self, now: float) -> HostReport:
        """Build this host's report; the gossip sets its sequence number.

        `config_version` is the version of the newest row of the operator's
        table, not that of the configuration.
        """
        return HostReport(
            host=self.identity.host,
            incarnation=self.identity.incarnation,
            sequence=0,
            address=self.identity.address,
            unix_now=now + self._unix_offset_s,
            config_version=self._rows_version,
            listing_version=self.load_balancer.registry.version,
            config_number=self.table.version,
            confirmed_age_s=self.gossip.confirmed_age_s(self._boot_now),
            draining=self.stopping,
            holds_duties=self.lease.may_act(self._boot_now),
            domain=self.identity.domain,
            loads=self.load_balancer.loads.own_loads(),
            avoided=self.load_balancer.avoided_servers(now),
            lost_services=self.load_balancer.paths.lost_services(),
            leaving=self.load_balancer.registry.announced_leaving(),
            limits=self.load_balancer.limits.reported(now),
            brittle_services=self.load_balancer.brittle.reported(now),
            admitted=self.rates.own_usage(now, self.table.accounts.values()),
            usage_counts=self.usage.counts,
            rollouts=self.rollouts.phase_reports(),
            evidence=self.rollouts.own_evidence(),
            quarantine=self.quarantine.report(),
            kept_evacuations=self.evacuations.reported(now),
            wants_reports=self.sums.are_missing,
        )

    @property
    def _boot_now(self) -> float:
        return self.duties.boot_now

    # Duties

    def may_act(self, boot_now: float) -> bool:
        """Return whether this host may make a call of the duties now."""
        return self.lease.may_act(boot_now)

    def _handle_store_era(
        self, now: float, event: StoreEraSeen
    ) -> list[Action]:
        """Note the store's era; a later one means that rows are lost."""
        returned = self._store_era is not None
        self._store_era = event.era
        self.duties.handle_era(event, returned=returned)
        if returned:
            self.rollouts.handle_store_returned()
            self.quarantine_rows.handle_store_returned()
        return []

    # Version moves

    def _handle_rollouts_read(
        self, now: float, event: RolloutsRead
    ) -> list[Action]:
        self.rollouts.apply_orders(now, event.orders)
        return []

    def _handle_stops_read(self, now: float, event: StopsRead) -> list[Action]:
        self.rollouts.handle_stops_read(event)
        return []

    def _handle_stop_marked(
        self, now: float, event: StopMarked
    ) -> list[Action]:
        self.rollouts.handle_stop_marked(now, event)
        return []

    def _handle_rollout_status_reported(
        self, now: float, event: RolloutStatusReported
    ) -> list[Action]:
        self.rollouts.handle_status_reported(now, event)
        return []

    # Quarantine

    def _handle_quarantine_read(
        self, now: float, event: QuarantineRead
    ) -> list[Action]:
        self.quarantine_rows.handle_read(event)
        return self._tick_quarantine(now)

    def _handle_quarantine_written(
        self, now: float, event: QuarantineWritten
    ) -> list[Action]:
        self.quarantine_rows.handle_written(now, event)
        return []

    def _handle_quarantine_ordered(
        self, now: float, event: QuarantineOrdered
    ) -> list[Action]:
        self.quarantine.order(now, event.key, held=event.held)
        return self._tick_quarantine(now)

    def _tick_quarantine(self, now: float) -> list[Action]:
        """Judge the evidence; a verdict of this host is told at once."""
        changes = self.exchanges.tick_quarantine(now)
        if any(isinstance(c, QuarantineChanged) and c.own for c in changes):
            changes += self._tell_all_peers(now)
        return changes

    def _tick_rollouts(self, now: float) -> list[Action]:
        busy_services = {
            order.service
            for order in self.rollouts.shifted_orders()
            for backend in (
                *self.load_balancer.registry.usable_backends(order.service),
                *self.load_balancer.registry.evacuated_backends(order.service),
            )
            if backend.server.version != order.target
            and self.load_balancer.loads.total_load(
                backend.server.server_id
            ).running
        }
        return self.rollouts.tick(
            now, holds_duties=self.may_act(self._boot_now), busy=busy_services
        )

    # Ticks, start and stop

    def _handle_tick(self, now: float, event: FrontTick) -> list[Action]:
        self.duties.boot_now = event.boot_now
        actions = [] if self._is_started else self._start(now, event)
        self._unix_offset_s = self._unix_at_boot_s + event.boot_now - now
        actions += self._handle_leaving_backends(
            now, self.load_balancer.registry.tick(now)
        )
        actions += self.load_balancer.registry.take_superseded()
        for server_id in self.load_balancer.registry.take_dropped():
            self.load_balancer.forget(server_id)
        if self._has_shared_limits:
            self._update_limit_hosts(now)
        actions += self.load_balancer.cold.tick(now)
        for host in self.peers.silent_hosts(now):
            self.load_balancer.loads.forget_peer(host)
            self.load_balancer.peer_evidence.forget_peer(host)
        actions += self._front_evacuations.tick(now, serving=self.serving)
        actions += self.exchanges.tick(now)
        actions += self._serve_waiting_requests(now)
        if not self.stopping:
            actions += self.duties.tick(now, self.unix_time(now))
        actions += self._tick_rollouts(now)
        holds_duties = self.may_act(self._boot_now)
        self.exchanges.may_probe = holds_duties
        actions += self._tick_quarantine(now)
        actions += self.quarantine_rows.tick(now, holds_duties=holds_duties)
        actions += self.gossip.update_following(
            now, self._boot_now, stopping=self.stopping
        )
        build_report = cache(lambda: self._build_report(now))
        actions += self.sums.tick(now, build_report)
        few = self.sums.may_send_few(now, build_report)
        return actions + self.gossip.send_reports(now, build_report, few=few)

    @property
    def _has_shared_limits(self) -> bool:
        """Whether the hosts that share a limit have to be known.

        With cold servers they are followed before one is known, so that a
        change of hosts just before a server becomes cold is known too.
        """
        balancer = self.load_balancer
        return bool(
            balancer.limits or balancer.brittle or balancer.cold.is_in_use
        )

    def _start_limits(self, now: float) -> None:
        """Set the hosts that share limits, before the first limit is known."""
        if not self.load_balancer.limits:
            self._update_limit_hosts(now)

    def _update_limit_hosts(self, now: float) -> None:
        hosts = self.gossip.serving_hosts(now)
        if self.stopping:
            hosts -= {self.identity.host}
        self.load_balancer.ranks.set_hosts(
            hosts, self.gossip.heard_ratio(now), self.gossip.fleet_ratio(now)
        )
        self.load_balancer.limits.tick(now)

    def _start(self, now: float, event: FrontTick) -> list[Action]:
        """Start at the first tick.

        The time of day is read only here and follows the boot clock from
        then on, so that later jumps of it are ignored. After a restart the
        row of the lease tells which accounts were busy before.
        """
        self._is_started = True
        self._unix_at_boot_s = event.unix_now - event.boot_now
        self.lease.start(event.boot_now)
        if self.identity.first_start:
            return []
        self.rates.record_restart(now)
        return [ReadDutyRow()]

    def _handle_stop(self, now: float, event: StopBegan) -> list[Action]:
        self.stopping = True
        self._accept_until = now + ACCEPT_WHILE_STOPPING_S
        self.exchanges.ends_at = event.ends_at
        return self.lease.resign(self._boot_now) + self._tell_all_peers(now)

    def _handle_stop_end(self, now: float, event: StopEnds) -> list[Action]:
        return self.exchanges.end_all(now)
