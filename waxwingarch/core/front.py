"""The decisions of a host whose routes come from one configuration row.

Composes routing, exchanges, servers, limits, peers and duties.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

import xxhash

from waxwingarch.core.backends.chooser import BackendChooser
from waxwingarch.core.backends.listing import BackendLeaving, BackendsListed
from waxwingarch.core.base import Action, Event, FailureDomain, HostId, Ran
from waxwingarch.core.duties.scaling import ScalingDuty, ServersOrdered
from waxwingarch.core.duties.singleton import (
    DutyRowRead,
    DutyRowWritten,
    DutyStoreFailed,
    SingletonLease,
)
from waxwingarch.core.duties.usage import (
    UsageCounter,
    UsageDuty,
    UsageSent,
    UsageSettled,
)
from waxwingarch.core.exchange.board import ExchangeBoard
from waxwingarch.core.exchange.messages import (
    Answer,
    AnswerBegan,
    ExchangeArrived,
    ExchangeGone,
    RunMoved,
    SendEnded,
    ServerHeard,
)
from waxwingarch.core.limits.resend_budget import ResendBudget
from waxwingarch.core.limits.shared_rate import SharedRates
from waxwingarch.core.node import Handler, Node
from waxwingarch.core.peers.book import PeerBook
from waxwingarch.core.peers.report import (
    HostReport,
    HostsListed,
    PullState,
    ReportReceived,
    SendReport,
)
from waxwingarch.core.randomness import RandomSource
from waxwingarch.core.refusal import Refusal, RefusalReason
from waxwingarch.core.routing.config import RoutingConfig
from waxwingarch.core.routing.table import RoutingTable

# Pause between two reports to the other hosts, and what each host adds
# to it, so that a large fleet does not drown in reports.
REPORT_EVERY_S: Final = 0.2
REPORT_PER_HOST_S: Final = 0.01
# A peer's newer version is asked for when the own watch has not brought
# it after this long.
PULL_AFTER_S: Final = 0.7

# A stopping host takes requests for this long: the balancer needs two
# missed checks, a second apart, before it sends no new connections.
TAKE_WHILE_STOPPING_S: Final = 2.6
# A request that another host may take at once comes back after this.
ELSEWHERE_S: Final = 0.1

DUTY_USAGE: Final = "usage_report"
DUTY_SCALING: Final = "scaling"


@dataclass(frozen=True, kw_only=True, slots=True)
class FrontBounds:
    """Limits of a deployment that the decisions keep.

    Durations are in seconds; `fleet` is how many hosts are known to be
    there at least.
    """

    resend_ratio: float = 0.2
    resend_extra: float = 50.0
    resend_window_s: float = 10.0
    rate_window_s: float = 8.0
    lease_s: float = 3.0
    usage_window_s: float = 5.0


@dataclass(frozen=True, kw_only=True, slots=True)
class FrontIdentity:
    """Who this host is; `address` is where peers reach it."""

    host: HostId
    incarnation: int
    domain: FailureDomain
    address: str
    first_start: bool
    duties: frozenset[str] = field(default_factory=frozenset)


@dataclass(frozen=True, kw_only=True, slots=True)
class FrontTick(Event):
    """Time has passed: boot clock and time of day, in seconds."""

    boot_now: float
    unix_now: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigRead(Event):
    """The configuration row was read."""

    cfg: RoutingConfig


@dataclass(frozen=True, kw_only=True, slots=True)
class StopBegan(Event):
    """The process was told to stop."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigApplied(Action):
    """A configuration came into force."""

    version: int
    idle_timeout_s: float


class Front(Node):
    """All decisions about exchanges, and what they rest on."""

    def __init__(
        self,
        identity: FrontIdentity,
        bounds: FrontBounds,
        rng: RandomSource,
    ) -> None:
        self.identity = identity
        self.table = RoutingTable()
        self.chooser = BackendChooser(rng, identity.domain)
        self.rates = SharedRates(bounds.rate_window_s)
        self.resends = ResendBudget(
            ratio=bounds.resend_ratio,
            extra=bounds.resend_extra,
            window_s=bounds.resend_window_s,
        )
        self.board = ExchangeBoard(
            self.table, self.chooser, self.rates, self.resends, rng
        )
        self.peers = PeerBook(identity.host)
        self.lease = SingletonLease(
            identity.host, identity.incarnation, bounds.lease_s
        )
        self.usage = UsageCounter(bounds.usage_window_s)
        self.usage_duty = UsageDuty(self.usage)
        self.scaling = ScalingDuty()
        self.stopping = False
        self._take_until = float("inf")
        self._boot_now = 0.0
        self._unix_at_boot_s = 0.0
        self._unix_ahead_s = 0.0
        self._next_report_at = 0.0
        self._sequence = 0
        self._behind_since: float | None = None
        self._was_holder = False
        self._begun = False
        super().__init__(self._table_of_handlers())

    def _table_of_handlers(self) -> Mapping[type[Event], Handler]:
        return {
            FrontTick: self._tick,
            ConfigRead: self._config_read,
            BackendsListed: self._listed,
            ExchangeArrived: self._arrived,
            AnswerBegan: self._began,
            ServerHeard: self._heard,
            SendEnded: self.board.ended,
            ExchangeGone: self.board.gone,
            RunMoved: self.board.run_moved,
            ReportReceived: self._report,
            HostsListed: self._hosts_listed,
            DutyRowRead: lambda now, e: self.lease.read(e),
            DutyRowWritten: self._duty_written,
            DutyStoreFailed: lambda now, e: self.lease.failed(e),
            UsageSettled: self._usage_settled,
            UsageSent: self._usage_sent,
            ServersOrdered: self._servers_ordered,
            StopBegan: self._stop,
        }

    @property
    def ready(self) -> bool:
        """Whether new connections should come here."""
        return self.serving and not self.stopping

    @property
    def serving(self) -> bool:
        """Whether a configuration and some servers are known."""
        return self.table.known and len(self.chooser.book) > 0

    def unix(self, now: float) -> float:
        """Return the hosts' common time of day, in seconds."""
        return now + self._unix_ahead_s + self.peers.clock_ahead_s(now)

    def _arrived(self, now: float, event: ExchangeArrived) -> list[Action]:
        if now < self._take_until:
            return self.board.arrived(now, event.head)
        refusal = Refusal(
            reason=RefusalReason.DRAINING,
            ran=Ran.NOT_RUN,
            message="this host is stopping: send it again, another answers",
            retry_after_s=ELSEWHERE_S,
        )
        return [Answer(request_id=event.head.request_id, refusal=refusal)]

    # Beliefs

    def _config_read(self, now: float, event: ConfigRead) -> list[Action]:
        if not self.table.apply(now, event.cfg):
            return []
        return [
            ConfigApplied(
                version=event.cfg.version,
                idle_timeout_s=event.cfg.idle_timeout_s,
            )
        ]

    def _listed(self, now: float, event: BackendsListed) -> list[Action]:
        before = {
            b.server.server_id: b.server.incarnation
            for b in self.chooser.book.all()
        }
        leaving = self.chooser.book.listed(now, event)
        for backend in self.chooser.book.all():
            server = backend.server
            if before.get(server.server_id, 0) not in (0, server.incarnation):
                self.chooser.forget(server.server_id)
        return self._leaving(now, leaving)

    def _leaving(
        self, now: float, leaving: list[BackendLeaving]
    ) -> list[Action]:
        actions: list[Action] = []
        for event in leaving:
            actions.append(event)
            actions += self.board.leaving(now, event)
        return actions

    def _began(self, now: float, event: AnswerBegan) -> list[Action]:
        state = self.board.began(now, event)
        if state is not None and state.exchange.account is not None:
            self.usage.began(self.unix(now), state.exchange.account)
        return []

    def _heard(self, now: float, event: ServerHeard) -> list[Action]:
        self.chooser.loads.heard(now, event.server_id)
        return []

    # Peers

    def _hosts_listed(self, now: float, event: HostsListed) -> list[Action]:
        self.peers.listed(now, event)
        self._fleet_changed(now)
        return []

    def _fleet_changed(self, now: float) -> None:
        self.rates.set_fleet(self.peers.known)
        self.resends.set_fleet(self.peers.known)

    def _report(self, now: float, event: ReportReceived) -> list[Action]:
        report = event.report
        unix_now = now + self._unix_ahead_s
        if not self.peers.received(now, report, unix_now):
            return []
        self._fleet_changed(now)
        self.chooser.loads.set_peer(report.host, report.loads)
        self.rates.reported(now, report.host, report.admitted)
        if report.holds_duties:
            self.lease.holder_heard(self._boot_now)
        return self._check_behind(now, report)

    def _check_behind(self, now: float, report: HostReport) -> list[Action]:
        """Pull from a peer that has known something newer for a while."""
        behind = (
            report.config_version > self.table.version
            or report.listing_version > self.chooser.book.version
        )
        if not behind:
            return []
        if self._behind_since is None:
            self._behind_since = now
        if now - self._behind_since < PULL_AFTER_S:
            return []
        self._behind_since = None
        return [PullState(address=report.address)]

    def _send_report(self, now: float) -> list[Action]:
        if now < self._next_report_at:
            return []
        pause_s = max(REPORT_EVERY_S, REPORT_PER_HOST_S * self.peers.known)
        self._next_report_at = now + pause_s
        due = self.peers.due(now)
        if not due:
            return []
        self._sequence += 1
        report = HostReport(
            host=self.identity.host,
            incarnation=self.identity.incarnation,
            sequence=self._sequence,
            address=self.identity.address,
            unix_now=now + self._unix_ahead_s,
            config_version=self.table.version,
            listing_version=self.chooser.book.version,
            draining=self.stopping,
            holds_duties=self.lease.may_act(self._boot_now),
            loads=self.chooser.loads.own(),
            admitted=self.rates.used(now, self.table.accounts.values()),
            began=self.usage.counts,
        )
        return [SendReport(report=report, addresses=tuple(due))]

    # Duties

    def may_act(self, boot_now: float) -> bool:
        """Tell whether a duty call may be sent at this moment."""
        return self.lease.may_act(boot_now)

    def _duty_written(self, now: float, event: DutyRowWritten) -> list[Action]:
        self.lease.written(event)
        return []

    def _usage_settled(self, now: float, event: UsageSettled) -> list[Action]:
        self.usage_duty.settled(self._boot_now, event)
        return []

    def _usage_sent(self, now: float, event: UsageSent) -> list[Action]:
        self.usage_duty.sent(self._boot_now, event)
        return []

    def _servers_ordered(
        self, now: float, event: ServersOrdered
    ) -> list[Action]:
        self.scaling.ordered(now, event)
        return []

    def _duties(self, now: float) -> list[Action]:
        if not self.identity.duties or self.stopping:
            return []
        boot_now = self._boot_now
        actions = self.lease.tick(boot_now, self._rank(now))
        if not self.lease.may_act(boot_now):
            if self._was_holder:
                self.usage_duty.lost()
                self.scaling.lost()
            self._was_holder = False
            return actions
        self._was_holder = True
        fence = self.lease.fence
        if DUTY_USAGE in self.identity.duties:
            reports = self.peers.last_words(now)
            actions += self.usage_duty.tick(
                boot_now, self.unix(now), fence, reports
            )
        if DUTY_SCALING in self.identity.duties:
            actions += self.scaling.tick(
                now,
                fence,
                self.table.services.values(),
                self.chooser.book.all(),
            )
        return actions

    def _rank(self, now: float) -> int:
        """Return this host's place among those that may hold the duties."""
        hosts = [r.host for r in self.peers.alive(now) if not r.draining]
        own = _weight(self.identity.host)
        return sum(_weight(host) > own for host in hosts)

    # Time and life

    def _tick(self, now: float, event: FrontTick) -> list[Action]:
        self._boot_now = event.boot_now
        if not self._begun:
            self._begin(now, event)
        self._unix_ahead_s = self._unix_at_boot_s + event.boot_now - now
        actions = self._leaving(now, self.chooser.book.tick(now))
        for host in self.peers.silent(now):
            self.chooser.loads.drop_peer(host)
        actions += self.board.tick(now)
        actions += self._duties(now)
        return actions + self._send_report(now)

    def _begin(self, now: float, event: FrontTick) -> None:
        """Fix this host's time of day: later jumps of it are ignored."""
        self._begun = True
        self._unix_at_boot_s = event.unix_now - event.boot_now
        self.lease.started(event.boot_now)
        if not self.identity.first_start:
            self.rates.restarted(now)

    def _stop(self, now: float, event: StopBegan) -> list[Action]:
        self.stopping = True
        self._take_until = now + TAKE_WHILE_STOPPING_S
        self._next_report_at = 0.0
        return self.lease.resign(self._boot_now) + self._send_report(now)


def _weight(host: HostId) -> int:
    return int(xxhash.xxh3_64_intdigest(host.encode()))
