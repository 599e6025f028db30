"""The singleton duties of a host: the lease, usage reports and scaling."""

from typing import Final

from waxwingarch.core.backends.registry import BackendRegistry
from waxwingarch.core.base import AccountId, Action, HostId
from waxwingarch.core.duties.autoscaler import Autoscaler, ServersOrdered
from waxwingarch.core.duties.leader_election import (
    DutyRowRead,
    DutyRowWritten,
    LeaderElection,
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

# Usage is settled when the reports of so many rounds can be in.
SETTLE_ROUNDS: Final = 3.0

DUTY_USAGE: Final = "usage_report"
DUTY_SCALING: Final = "scaling"


class DutyCoordinator:
    """What the host does while it holds the lease, and how it gets it.

    Leases are counted on the boot clock, see `leader_election`.
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
        *,
        lease_s: float,
        usage_window_s: float,
    ) -> None:
        self._kinds = kinds
        self._gossip = gossip
        self._rates = rates
        self._table = table
        self._backends = backends
        self._was_holder = False
        self.boot_now = 0.0
        self.lease = LeaderElection(host, incarnation, lease_s)
        self.usage = UsageCounter(usage_window_s)
        self.usage_duty = UsageReporter(self.usage)
        self.scaling = Autoscaler()

    def may_act(self) -> bool:
        """Tell whether the lease is held now."""
        return self.lease.may_act(self.boot_now)

    def tick(self, now: float, unix_now: float) -> list[Action]:
        """Keep the lease or try for it; carry out what is due."""
        if not self._kinds:
            return []
        peers = self._gossip.peers
        busy: tuple[AccountId, ...] = ()
        if self.lease.held:
            busy = self._rates.busy(now, self._table.accounts.values())
        rank = self._gossip.rank(now)
        actions = self.lease.tick(self.boot_now, rank, peers.round_s, busy)
        if not self.may_act():
            if self._was_holder:
                self.usage_duty.lost()
                self.scaling.lost()
            self._was_holder = False
            return actions
        self._was_holder = True
        fence = self.lease.fence
        if DUTY_USAGE in self._kinds:
            actions += self.usage_duty.tick(
                self.boot_now,
                unix_now,
                fence,
                peers.usage_counts(now),
                settle_s=SETTLE_ROUNDS * peers.round_s,
            )
        if DUTY_SCALING in self._kinds:
            actions += self.scaling.tick(
                now, fence, self._table.services.values(), self._backends.all()
            )
        return actions

    # What the store and the platform said

    def row_read(self, now: float, event: DutyRowRead) -> list[Action]:
        """Take the row of the lease."""
        busy = self.lease.busy_before(event)
        if busy is not None:
            self._rates.busy_before(busy)
        return self.lease.read(event)

    def row_written(self, now: float, event: DutyRowWritten) -> list[Action]:
        """Take the end of a write of that row."""
        self.lease.written(event)
        return []

    def usage_settled(self, now: float, event: UsageSettled) -> list[Action]:
        """Take the counts that the store has of a window."""
        self.usage_duty.settled(self.boot_now, event)
        return []

    def usage_sent(self, now: float, event: UsageSent) -> list[Action]:
        """Take the end of a report of usage."""
        self.usage_duty.sent(self.boot_now, event)
        return []

    def servers_ordered(
        self, now: float, event: ServersOrdered
    ) -> list[Action]:
        """Take the end of an order."""
        self.scaling.ordered(now, event)
        return []
