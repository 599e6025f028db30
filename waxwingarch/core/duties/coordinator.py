"""Coordination of the singleton duties that the host with the lease runs.

The duties are usage reports and autoscaling.
"""

from typing import Final

from waxwingarch.core.backends.registry import BackendRegistry
from waxwingarch.core.base import AccountId, Action, HostId
from waxwingarch.core.duties.autoscaler import Autoscaler, ServersOrdered
from waxwingarch.core.duties.demand import DemandTracker, FleetView
from waxwingarch.core.duties.leader_election import (
    DutyRowRead,
    DutyRowWritten,
    LeaderElection,
    StoreEraSeen,
)
from waxwingarch.core.duties.usage import (
    UsageCounter,
    UsageReporter,
    UsageSent,
    UsageSettled,
)
from waxwingarch.core.limits.shared_rate import SharedRates
from waxwingarch.core.peers.report_gossip import ReportGossip
from waxwingarch.core.routing.table import RoutingTable

# Usage of a window is settled this many rounds of reports after its end, so
# that the counts of all hosts have come in.
SETTLE_ROUNDS: Final = 3.0

# In a deployment that started for the first time less than this ago, the
# number of servers that run says nothing of what earlier holders ordered.
NEW_DEPLOYMENT_S: Final = 20.0

DUTY_USAGE: Final = "usage_report"
DUTY_SCALING: Final = "scaling"


class DutyCoordinator:
    """Keeps or acquires the lease, and runs the duties while it is held.

    The lease and the usage duty count on the boot clock, whose time is
    in `boot_now`, see `leader_election`.
    """

    def __init__(
        self,
        host: HostId,
        incarnation: int,
        kinds: frozenset[str],
        gossip: ReportGossip,
        rates: SharedRates,
        table: RoutingTable,
        backends: BackendRegistry,
        demand: DemandTracker,
        *,
        lease_s: float,
        usage_window_s: float,
        first_start: bool = True,
    ) -> None:
        self._kinds = kinds
        self._gossip = gossip
        self._rates = rates
        self._table = table
        self._backends = backends
        self._was_holder = False
        self._first_start = first_start
        self._started_at: float | None = None
        self.boot_now = 0.0
        self.lease = LeaderElection(
            host, incarnation, lease_s, first_start=first_start
        )
        self.usage = UsageCounter(usage_window_s)
        self.usage_reporter = UsageReporter(self.usage)
        self.demand = demand
        self.autoscaler = Autoscaler()

    def may_act(self) -> bool:
        """Return whether this host may act for the duties now."""
        return self.lease.may_act(self.boot_now)

    def tick(self, now: float, unix_now: float) -> list[Action]:
        """Renew or acquire the lease, and return the calls that are due."""
        if not self._kinds:
            return []
        if self._started_at is None:
            self._started_at = now
        peers = self._gossip.peers
        busy_accounts: tuple[AccountId, ...] = ()
        if self.lease.held:
            busy_accounts = self._rates.busy_accounts(
                now, self._table.accounts.values()
            )
        rank = self._gossip.rank(now)
        actions = self.lease.tick(
            self.boot_now,
            rank,
            peers.round_s,
            busy_accounts,
            self.usage.window_of(unix_now),
        )
        if not self.may_act():
            if self._was_holder:
                self.usage_reporter.handle_duty_lost()
                self.autoscaler.handle_duty_lost()
                self.demand.clear()
            self._was_holder = False
            return actions
        self._was_holder = True
        fence = self.lease.fence
        if DUTY_USAGE in self._kinds:
            actions += self.usage_reporter.tick(
                self.boot_now,
                unix_now,
                fence,
                peers.usage_counts(now),
                settle_delay_s=SETTLE_ROUNDS * peers.round_s,
                first_window=self.lease.first_window,
            )
        if DUTY_SCALING in self._kinds:
            actions += self._tick_demand(now)
            actions += self.autoscaler.tick(
                now,
                fence,
                self._table.services.values(),
                self._backends.all_backends(),
                self.demand.needs,
                self._backends.evacuated_domains,
            )
        return actions

    def _tick_demand(self, now: float) -> list[Action]:
        """Measure the demand; a small fleet orders without it."""
        if not self._gossip.is_large_fleet:
            self.demand.clear()
            return []
        assert self._started_at is not None
        is_new = (
            self._first_start and now - self._started_at < NEW_DEPLOYMENT_S
        )
        return self.demand.tick(
            now,
            self._table.services.values(),
            self._backends.all_backends(),
            FleetView(
                known_hosts=self._gossip.peers.known_host_count,
                heard_ratio=self._gossip.heard_ratio(now),
                is_new=is_new,
            ),
        )

    # Replies of the store and the platform

    def handle_era(self, event: StoreEraSeen, *, returned: bool) -> None:
        """Handle an era of the store.

        `returned` says that the store came back from an older copy.
        """
        self.lease.record_era(event)
        if returned:
            self.usage_reporter.handle_store_returned()

    def handle_lease_row_read(
        self, now: float, event: DutyRowRead
    ) -> list[Action]:
        """Handle the row of the lease, and the busy accounts in it."""
        busy_accounts = self.lease.recently_busy_accounts(event)
        if busy_accounts is not None:
            self._rates.set_busy_before_restart(busy_accounts)
        return self.lease.handle_row_read(event)

    def handle_lease_row_written(
        self, now: float, event: DutyRowWritten
    ) -> list[Action]:
        """Handle a write of that row that was applied."""
        self.lease.handle_row_written(event)
        return []

    def handle_usage_settled(
        self, now: float, event: UsageSettled
    ) -> list[Action]:
        """Handle the counts that the store has of a usage window."""
        self.usage_reporter.handle_settled(self.boot_now, event)
        return []

    def handle_usage_sent(self, now: float, event: UsageSent) -> list[Action]:
        """Handle the reply to a usage report."""
        self.usage_reporter.handle_sent(self.boot_now, event)
        return []

    def handle_order_reply(
        self, now: float, event: ServersOrdered
    ) -> list[Action]:
        """Handle the reply to an order of servers."""
        self.autoscaler.handle_order_reply(now, event)
        return []
