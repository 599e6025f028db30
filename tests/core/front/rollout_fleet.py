"""Simulated hosts and servers of a service that moves to a new version.

Requests take time on the servers, so that evidence comes as it does in
production: late, and from the fast answers first.
"""

import heapq
from dataclasses import dataclass, field, replace
from itertools import count
from math import log
from random import Random
from typing import Final

from tests.core.front.builders import (
    POOL,
    config,
    make_head,
    make_listing,
    route,
    server,
)
from waxwingarch.core.base import (
    Action,
    Event,
    HostId,
    Server,
    VersionId,
)
from waxwingarch.core.exchange.exchange_messages import (
    AttemptFinished,
    AttemptOutcome,
    ExchangeArrived,
    ResponseStarted,
    SendRequest,
)
from waxwingarch.core.front_messages import (
    ConfigRead,
    FrontBounds,
    FrontIdentity,
    FrontTick,
)
from waxwingarch.core.front_node import FrontNode
from waxwingarch.core.rollouts.rollout_messages import (
    MarkStopped,
    ReadStops,
    ReportRolloutStatus,
    RolloutOrder,
    RolloutsRead,
    RolloutState,
    RolloutStatusReported,
    StopMarked,
    StopsRead,
)

TICK_S: Final = 0.1
REPORT_TICKS: Final = 5
ORDERED_AT_S: Final = 4.0
DURATION_S: Final = 15.0
ROLLBACK_S: Final = 5.0
BAD_ANSWERS: Final = 50
# A bad answer takes this many times as long as a sound one.
SLOWDOWN: Final = 4.0
TARGET: Final = VersionId("v2")
ORDER: Final = RolloutOrder(
    service=POOL, target=TARGET, duration_s=DURATION_S, number=7
)
# Routes with their share of the requests, the median seconds to the first
# byte and from there to the end.
ROUTES: Final = {
    "digest": (0.25, 0.2, 1.7),
    "talk": (0.4, 0.05, 1.2),
    "flag": (0.35, 0.06, 0.1),
}
SPREAD: Final = 0.6


@dataclass(frozen=True, kw_only=True)
class Fault:
    """What is wrong with a part of the new version's answers.

    It begins `after_s` after the order, on one route or on all.
    """

    share: float = 1.0
    fails: bool = False
    after_s: float = 0.0
    route: str = ""


@dataclass(kw_only=True)
class RolloutFleet:
    """Hosts with servers of two versions, on simulated time."""

    hosts: int
    rate_per_s: float
    seed: int
    fault: Fault | None = None
    load_factor: float = 1.0
    now: float = 0.0
    new_requests: int = 0
    requests: int = 0
    bad_at: list[float] = field(default_factory=list)
    last_new_at: float = 0.0
    told: list[tuple[float, RolloutState]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._rng = Random(self.seed)
        self._ids = count()
        self._due: list[tuple[float, int, FrontNode, Event]] = []
        self._nodes = [self._node(n) for n in range(self.hosts)]
        self._stops: set[str] = set()

    def _node(self, n: int) -> FrontNode:
        identity = FrontIdentity(
            host=HostId(f"h{n}"),
            incarnation=1,
            domain=server("e0").failure_domain,
            address=f"10.0.0.9:{n}",
            first_start=True,
            duties=frozenset(),
        )
        bounds = FrontBounds()
        node = FrontNode(identity, bounds, Random(self.seed * 1000 + n))
        routes = tuple(route(name, timeout_s=6.0) for name in ROUTES)
        node.handle(0.0, ConfigRead(cfg=replace(config(), routes=routes)))
        old = [server(f"old{i}") for i in range(10)]
        new = [replace(server(f"new{i}"), version=TARGET) for i in range(10)]
        node.handle(0.0, make_listing(1, *old))
        self._listing = make_listing(2, *old, *new)
        return node

    def run(self, until: float) -> None:
        """Run up to a time in steps of a tick."""
        step = round(self.now / TICK_S)
        while self.now < until:
            step += 1
            self.now = step * TICK_S
            self._step(step)

    def _step(self, step: int) -> None:
        if step == round(ORDERED_AT_S / TICK_S):
            for node in self._nodes:
                self._post(node, self._listing)
                self._post(node, RolloutsRead(orders=(ORDER,)))
        self._arrive()
        while self._due and self._due[0][0] <= self.now:
            at, _, node, event = heapq.heappop(self._due)
            self._post(node, event, at)
        for n, node in enumerate(self._nodes):
            self._post(node, FrontTick(boot_now=self.now, unix_now=self.now))
            if n == 0:
                self._perform(
                    node,
                    node.rollouts.tick(
                        self.now, holds_duties=True, busy=set()
                    ),
                )
        if step % REPORT_TICKS == 0:
            self._report()

    def _report(self) -> None:
        reports = [
            (node.rollouts.phase_reports(), node.rollouts.own_evidence())
            for node in self._nodes
        ]
        for n, node in enumerate(self._nodes):
            for other, report in enumerate(reports):
                if other != n:
                    node.rollouts.record_peer_report(*report)

    def _arrive(self) -> None:
        expected = self.rate_per_s * TICK_S
        number = int(expected) + (self._rng.random() < expected % 1)
        names = list(ROUTES)
        shares = [ROUTES[name][0] for name in names]
        for _ in range(number):
            node = self._rng.choice(self._nodes)
            [name] = self._rng.choices(names, shares)
            head = make_head(
                f"r{next(self._ids)}",
                f"/{name}/x",
                caller_timeout_s=6.0,
                prompt_tokens=400,
                parts=(),
            )
            self._post(node, ExchangeArrived(head=head))

    def _post(
        self, node: FrontNode, event: Event, at: float | None = None
    ) -> None:
        self._perform(node, node.handle(self.now if at is None else at, event))

    def _perform(self, node: FrontNode, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendRequest():
                    self._serve(node, action)
                case ReadStops():
                    stopped = frozenset(self._stops)
                    self._post(node, StopsRead(stopped=stopped))
                case MarkStopped(rollout_id=rollout_id):
                    self._stops.add(rollout_id)
                    self._post(
                        node,
                        StopMarked(rollout_id=rollout_id, written=True),
                    )
                case ReportRolloutStatus():
                    self._tell(node, action)

    def _tell(self, node: FrontNode, action: ReportRolloutStatus) -> None:
        self.told.append((self.now, action.state))
        self._post(
            node,
            RolloutStatusReported(
                rollout_id=action.order.rollout_id, state=action.state
            ),
        )

    def _serve(self, node: FrontNode, send: SendRequest) -> None:
        """Schedule the first byte and the end of an attempt."""
        state = node.exchanges.get(send.request_id)
        assert state is not None
        name = state.exchange.route.name
        is_bad = self._is_bad(send.server, name)
        self._count(send.server, is_bad)
        slowdown = self.load_factor
        if is_bad and self.fault is not None and not self.fault.fails:
            slowdown *= SLOWDOWN
        _, first_s, rest_s = ROUTES[name]
        first_at = self.now + self._draw(first_s) * slowdown
        end_at = first_at + self._draw(rest_s) * slowdown
        outcome = AttemptOutcome.DONE
        if is_bad and self.fault is not None and self.fault.fails:
            end_at, outcome = first_at, AttemptOutcome.FAILED
        elif first_at > send.first_byte_deadline:
            end_at, outcome = send.first_byte_deadline, AttemptOutcome.SILENT
        elif end_at > send.expires_at:
            end_at, outcome = send.expires_at, AttemptOutcome.EXPIRED
        has_started = first_at <= end_at and outcome not in (
            AttemptOutcome.FAILED,
            AttemptOutcome.SILENT,
        )
        if has_started:
            started = ResponseStarted(request_id=send.request_id)
            heapq.heappush(
                self._due, (first_at, next(self._ids), node, started)
            )
        finished = AttemptFinished(
            request_id=send.request_id,
            outcome=outcome,
            response_started=has_started,
        )
        heapq.heappush(self._due, (end_at, next(self._ids), node, finished))

    def _draw(self, median_s: float) -> float:
        return self._rng.lognormvariate(log(median_s), SPREAD)

    def _is_bad(self, target: Server, name: str) -> bool:
        fault = self.fault
        return (
            fault is not None
            and target.version == TARGET
            and fault.route in ("", name)
            and self.now >= ORDERED_AT_S + fault.after_s
            and self._rng.random() < fault.share
        )

    def _count(self, target: Server, is_bad: bool) -> None:
        in_move = ORDERED_AT_S <= self.now < ORDERED_AT_S + DURATION_S
        self.requests += in_move
        if target.version != TARGET:
            return
        self.new_requests += in_move
        self.last_new_at = self.now
        if is_bad:
            self.bad_at.append(self.now)

    @property
    def state(self) -> RolloutState:
        """The last state that the operator was told."""
        return self.told[-1][1]

    @property
    def exposure_bound(self) -> float:
        """The most requests that a bad version may get."""
        return 0.1 * self.requests + 50

    @property
    def late_rollback_s(self) -> float:
        """Seconds from the end of the time to roll back to the last use."""
        if len(self.bad_at) < BAD_ANSWERS:
            return 0.0
        shown_at = self.bad_at[BAD_ANSWERS - 1]
        return max(0.0, self.last_new_at - shown_at - ROLLBACK_S)
