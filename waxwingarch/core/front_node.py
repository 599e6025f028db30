"""The decisions of a host whose routes come from one configuration row.

Composes routing, exchanges, servers, limits, peers and duties.
"""

from collections import deque
from collections.abc import Mapping
from typing import Final

from waxwingarch.core.backends.load_balancer import LoadBalancer
from waxwingarch.core.backends.registry import BackendLeaving, BackendsListed
from waxwingarch.core.base import Action, Event, ExecutionStatus
from waxwingarch.core.duties.autoscaler import ServersOrdered
from waxwingarch.core.duties.coordinator import DutyCoordinator
from waxwingarch.core.duties.leader_election import (
    DutyRowRead,
    DutyRowWritten,
    DutyStoreFailed,
    ReadDutyRow,
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
)
from waxwingarch.core.front_messages import (
    ConfigApplied,
    ConfigRead,
    FrontBounds,
    FrontIdentity,
    FrontTick,
    StopBegan,
)
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
from waxwingarch.core.randomness import RandomSource
from waxwingarch.core.refusal import Refusal, RefusalReason
from waxwingarch.core.rollouts.rollout_controller import RolloutController
from waxwingarch.core.rollouts.rollout_messages import (
    RolloutsRead,
    RolloutStatusReported,
    StopMarked,
    StopsRead,
)
from waxwingarch.core.routing.table import RoutingTable

# A stopping host takes requests for this long: the balancer needs two
# missed checks, a second apart, before it sends no new connections.
ACCEPT_WHILE_STOPPING_S: Final = 2.6
# A host that has just started knows the routes and servers within a few
# calls to the store: requests that come before wait so long for them.
STARTUP_WAIT_S: Final = 0.5
# A request that another host may take at once comes back after this.
ELSEWHERE_S: Final = 0.1


def _stopping(head: ExchangeHead) -> LocalResponse:
    refusal = Refusal(
        reason=RefusalReason.DRAINING,
        ran=ExecutionStatus.NOT_RUN,
        message="this host is stopping: send it again, another answers",
        retry_after_s=ELSEWHERE_S,
    )
    return LocalResponse(request_id=head.request_id, refusal=refusal)


class FrontNode(Node):
    """All decisions about exchanges, and what they rest on."""

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
        self.load_balancer = LoadBalancer(rng, identity.domain, self.rollouts)
        self.rates = SharedRates(bounds.rate_window_s)
        self.resends = ResendBudget(
            ratio=bounds.resend_ratio,
            extra=bounds.resend_extra,
            window_s=bounds.resend_window_s,
        )
        self.exchanges = ExchangeManager(
            self.table,
            self.load_balancer,
            self.rates,
            self.resends,
            self.rollouts,
            rng,
        )
        self.gossip = ReportGossip(identity.host)
        self.peers = self.gossip.peers
        self.duties = DutyCoordinator(
            identity.host,
            identity.incarnation,
            identity.duties,
            self.gossip,
            self.rates,
            self.table,
            self.load_balancer.book,
            lease_s=bounds.lease_s,
            usage_window_s=bounds.usage_window_s,
        )
        self.lease = self.duties.lease
        self.usage = self.duties.usage
        self.stopping = False
        self._take_until = float("inf")
        self._unix_at_boot_s = 0.0
        self._unix_ahead_s = 0.0
        self._rows_version = 0
        self._begun = False
        self._waiting: deque[tuple[float, ExchangeHead]] = deque()
        super().__init__(self._table_of_handlers())

    def _table_of_handlers(self) -> Mapping[type[Event], Handler]:
        return {
            FrontTick: self._tick,
            ConfigRead: self._config_read,
            BackendsListed: self._listed,
            ExchangeArrived: self._arrived,
            ResponseStarted: self._began,
            ServerActivity: self._heard,
            AttemptFinished: self.exchanges.handle_attempt_finished,
            CallerDisconnected: self._gone,
            RunMigrated: self.exchanges.handle_run_migrated,
            ReportReceived: self._report,
            HostsListed: self._hosts_listed,
            TableChecked: self._table_checked,
            DutyRowRead: self.duties.row_read,
            DutyRowWritten: self.duties.row_written,
            DutyStoreFailed: lambda now, e: self.lease.failed(e),
            UsageSettled: self.duties.usage_settled,
            UsageSent: self.duties.usage_sent,
            ServersOrdered: self.duties.servers_ordered,
            RolloutsRead: self._rollouts_read,
            StopsRead: self._stops_read,
            StopMarked: self._stop_marked,
            RolloutStatusReported: self._rollout_told,
            StopBegan: self._stop,
        }

    @property
    def ready(self) -> bool:
        """Whether new connections should come here."""
        return self.serving and not self.stopping

    @property
    def serving(self) -> bool:
        """Whether a configuration and some servers are known."""
        return self.table.is_configured and len(self.load_balancer.book) > 0

    def unix(self, now: float) -> float:
        """Return the hosts' common time of day, in seconds."""
        return now + self._unix_ahead_s + self.peers.clock_offset_s(now)

    def _arrived(self, now: float, event: ExchangeArrived) -> list[Action]:
        head = event.head
        if now >= self._take_until:
            return [_stopping(head)]
        if self.serving:
            return self.exchanges.handle_arrival(now, head)
        self._waiting.append((now, head))
        return []

    def _gone(self, now: float, event: CallerDisconnected) -> list[Action]:
        self._waiting = deque(
            (arrived_at, head)
            for arrived_at, head in self._waiting
            if head.request_id != event.request_id
        )
        return self.exchanges.handle_disconnect(now, event)

    def _serve_waiting(self, now: float) -> list[Action]:
        """Take requests that waited for the first beliefs, or refuse."""
        actions: list[Action] = []
        waiting, self._waiting = self._waiting, deque()
        for arrived_at, head in waiting:
            waits_s = min(
                STARTUP_WAIT_S, head.caller_timeout_s or STARTUP_WAIT_S
            )
            if not self.serving and now < arrived_at + waits_s:
                self._waiting.append((arrived_at, head))
            else:
                actions += self.exchanges.handle_arrival(now, head, arrived_at)
        return actions

    # Beliefs

    def _config_read(self, now: float, event: ConfigRead) -> list[Action]:
        self._rows_version = max(self._rows_version, event.rows_version)
        if not self.table.apply(now, event.cfg):
            return []
        self.rates.configured(now, event.rows_version, event.cfg.accounts)
        applied = ConfigApplied(
            version=event.cfg.version,
            idle_timeout_s=event.cfg.idle_timeout_s,
        )
        return [applied, *self._serve_waiting(now)]

    def _listed(self, now: float, event: BackendsListed) -> list[Action]:
        change = self.load_balancer.book.listed(now, event)
        for server_id in change.renewed:
            self.load_balancer.forget(server_id)
        return self._leaving(now, change.leaving) + self._serve_waiting(now)

    def _leaving(
        self, now: float, leaving: list[BackendLeaving]
    ) -> list[Action]:
        actions: list[Action] = []
        for event in leaving:
            actions.append(event)
            actions += self.exchanges.handle_server_leaving(now, event)
        return actions

    def _began(self, now: float, event: ResponseStarted) -> list[Action]:
        state = self.exchanges.record_response_start(now, event)
        if state is not None and state.exchange.account is not None:
            self.usage.began(self.unix(now), state.exchange.account)
        return []

    def _heard(self, now: float, event: ServerActivity) -> list[Action]:
        self.load_balancer.loads.heard(now, event.server_id)
        return []

    # Peers

    def _hosts_listed(self, now: float, event: HostsListed) -> list[Action]:
        self.peers.record_addresses(now, event)
        self._fleet_changed()
        return []

    def _table_checked(self, now: float, event: TableChecked) -> list[Action]:
        self.gossip.record_table_check(self._boot_now, event.table)
        return []

    def _fleet_changed(self) -> None:
        self.rates.set_fleet(self.peers.known_host_count, self.peers.round_s)
        self.resends.set_fleet(self.peers.known_host_count)

    def _report(self, now: float, event: ReportReceived) -> list[Action]:
        report = event.report
        unix_now = now + self._unix_ahead_s
        if not self.peers.record_report(now, report, unix_now):
            return []
        self._fleet_changed()
        self.load_balancer.loads.set_peer(report.host, report.loads)
        self.load_balancer.evidence.set_peer(
            now, report.host, report.domain, report.avoided
        )
        self.rates.reported(
            now, report.host, report.admitted, report.config_version
        )
        self.rollouts.record_peer_report(report.rollouts, report.evidence)
        if report.holds_duties:
            self.lease.holder_heard(self._boot_now)
        own_versions = (self._rows_version, self.load_balancer.book.version)
        return self.gossip.handle_report(
            now, self._boot_now, report, own_versions
        )

    def _own_report(self, now: float) -> HostReport:
        """Return what this host tells of itself; the sender numbers it."""
        return HostReport(
            host=self.identity.host,
            incarnation=self.identity.incarnation,
            sequence=0,
            address=self.identity.address,
            unix_now=now + self._unix_ahead_s,
            config_version=self._rows_version,
            listing_version=self.load_balancer.book.version,
            confirmed_age_s=self.gossip.confirmed_age_s(self._boot_now),
            draining=self.stopping,
            holds_duties=self.lease.may_act(self._boot_now),
            domain=self.identity.domain,
            loads=self.load_balancer.loads.own(),
            avoided=self.load_balancer.health.shunned(now),
            admitted=self.rates.used(now, self.table.accounts.values()),
            usage_counts=self.usage.counts,
            rollouts=self.rollouts.phase_reports(),
            evidence=self.rollouts.own_evidence(),
        )

    @property
    def _boot_now(self) -> float:
        return self.duties.boot_now

    # Duties

    def may_act(self, boot_now: float) -> bool:
        """Tell whether a duty call may be sent at this moment."""
        return self.lease.may_act(boot_now)

    # Version moves

    def _rollouts_read(self, now: float, event: RolloutsRead) -> list[Action]:
        self.rollouts.apply_orders(now, event.orders)
        return []

    def _stops_read(self, now: float, event: StopsRead) -> list[Action]:
        self.rollouts.handle_stops_read(event)
        return []

    def _stop_marked(self, now: float, event: StopMarked) -> list[Action]:
        self.rollouts.handle_stop_marked(now, event)
        return []

    def _rollout_told(
        self, now: float, event: RolloutStatusReported
    ) -> list[Action]:
        self.rollouts.handle_status_reported(now, event)
        return []

    def _moves(self, now: float) -> list[Action]:
        busy = {
            order.service
            for order in self.rollouts.shifted_orders()
            for backend in self.load_balancer.book.of_service(order.service)
            if backend.server.version != order.target
            and self.load_balancer.loads.total(
                backend.server.server_id
            ).running
        }
        return self.rollouts.tick(
            now, holds_duties=self.may_act(self._boot_now), busy=busy
        )

    # Time and life

    def _tick(self, now: float, event: FrontTick) -> list[Action]:
        self.duties.boot_now = event.boot_now
        actions = [] if self._begun else self._begin(now, event)
        self._unix_ahead_s = self._unix_at_boot_s + event.boot_now - now
        actions += self._leaving(now, self.load_balancer.book.tick(now))
        for host in self.peers.silent_hosts(now):
            self.load_balancer.loads.drop_peer(host)
            self.load_balancer.evidence.drop_peer(host)
        actions += self.exchanges.tick(now)
        actions += self._serve_waiting(now)
        if not self.stopping:
            actions += self.duties.tick(now, self.unix(now))
        actions += self._moves(now)
        actions += self.gossip.update_following(
            now, self._boot_now, stopping=self.stopping
        )
        return actions + self.gossip.send_reports(
            now, lambda: self._own_report(now)
        )

    def _begin(self, now: float, event: FrontTick) -> list[Action]:
        """Fix this host's time of day: later jumps of it are ignored."""
        self._begun = True
        self._unix_at_boot_s = event.unix_now - event.boot_now
        self.lease.started(event.boot_now)
        if self.identity.first_start:
            return []
        self.rates.restarted(now)
        return [ReadDutyRow()]

    def _stop(self, now: float, event: StopBegan) -> list[Action]:
        self.stopping = True
        self._take_until = now + ACCEPT_WHILE_STOPPING_S
        last = self.gossip.send_reports(
            now, lambda: self._own_report(now), all_at_once=True
        )
        return self.lease.resign(self._boot_now) + last
