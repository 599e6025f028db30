"""Tests of the evacuation of failure domains."""

from collections.abc import Iterable
from dataclasses import replace

import testtools

from tests.core.front.builders import (
    DOMAINS,
    LEDGER,
    POOL,
    arrive,
    config,
    front,
    make_head,
    make_listing,
    scaling,
    server,
)
from waxwingarch.adapters.report_codec import decode_report, encode_report
from waxwingarch.core.backends.evacuations import (
    EVACUATION_KEPT_S,
    EvacuationChanged,
    EvacuationsRead,
    EvacuationWarning,
    WarningReason,
)
from waxwingarch.core.backends.registry import Backend
from waxwingarch.core.base import (
    Action,
    ExecutionStatus,
    FailureDomain,
    HostId,
    RequestId,
)
from waxwingarch.core.duties.autoscaler import Autoscaler, OrderServers
from waxwingarch.core.exchange.exchange_messages import (
    AttemptFinished,
    AttemptOutcome,
    ExchangeArrived,
    LocalResponse,
    MigratedCache,
    MigrateRun,
    ResponseStarted,
    RunMigrated,
    SendRequest,
)
from waxwingarch.core.front_messages import ConfigRead, FrontTick
from waxwingarch.core.front_node import FrontNode
from waxwingarch.core.peers.report import (
    HostsListed,
    ReportReceived,
    SendReport,
)
from waxwingarch.core.store_version import make_version

HOME, OTHER, THIRD = DOMAINS[:3]
NOWHERE = FailureDomain("nowhere")
SERVERS = tuple(
    server(f"{service}-{n}", service, domain=DOMAINS[n % 3])
    for service in (POOL, LEDGER)
    for n in range(6)
)
REQUESTS = 30
RUN = RequestId("r")
BROKEN = AttemptFinished(
    request_id=RUN,
    outcome=AttemptOutcome.BROKEN,
    response_started=True,
    last_event=4,
)


def read(
    *domains: FailureDomain,
    at: int = 10,
    era: int = 1,
    removed: Iterable[FailureDomain] = (),
) -> EvacuationsRead:
    """Return a copy of the table with these rows, all of its version."""
    version = make_version(era, at)
    return EvacuationsRead(
        version=version,
        rows=dict.fromkeys(domains, version),
        removed=dict.fromkeys(removed, version),
    )


def node_of(host: str = "h1", **bounds: float) -> FrontNode:
    """Return a node with servers in three domains that serves requests."""
    node = front(host=host, **(bounds or {"evacuation_s": 5.0}))
    cfg = ConfigRead(cfg=config(), rows_version=make_version(2, 9))
    node.handle(0.0, cfg)
    node.handle(0.0, make_listing(1, *SERVERS))
    return node


def tick(node: FrontNode, now: float) -> list[Action]:
    return list(node.handle(now, FrontTick(boot_now=now, unix_now=now)))


def phases(actions: Iterable[Action]) -> list[tuple[FailureDomain, str]]:
    return [
        (a.domain, a.phase.value)
        for a in actions
        if isinstance(a, EvacuationChanged)
    ]


def domains_used(
    node: FrontNode, now: float, path: str = "/read/x", **head: bool
) -> set[FailureDomain]:
    """Return the domains to which some requests that arrive now are sent."""
    used = set()
    for n in range(REQUESTS):
        send = arrive(node, f"{path}{now}{head}{n}", path, now, **head)
        assert isinstance(send, SendRequest), send
        used.add(send.server.failure_domain)
    return used


def start_stream(node: FrontNode, path: str) -> SendRequest:
    send = arrive(node, RUN, path)
    assert isinstance(send, SendRequest)
    node.handle(1.1, ResponseStarted(request_id=RUN, has_event_ids=True))
    return send


def leave(node: FrontNode, send: SendRequest) -> list[MigrateRun]:
    """List a server as leaving; return the migrations a second later."""
    leaves_in_s = {str(send.server.server_id): 2.0}
    node.handle(1.2, make_listing(2, *SERVERS, **leaves_in_s))
    return [a for a in tick(node, 2.4) if isinstance(a, MigrateRun)]


class Sends(testtools.TestCase):
    """Guards against each way of sending to an evacuated domain."""

    def test_new_relayed_and_probing_requests(self) -> None:
        for path in ("/draft/x", "/chat/x", "/read/x", "/pay/x"):
            node = node_of()
            node.exchanges.may_probe = True
            self.assertEqual({HOME, OTHER, THIRD}, domains_used(node, 1, path))
            node.handle(2.0, read(OTHER))
            for is_relayed in (False, True):
                used = domains_used(node, 2, path, is_relayed=is_relayed)
                self.assertEqual({HOME, THIRD}, used, path)

    def test_resends(self) -> None:
        node = node_of()
        names = [RequestId(f"r{n}") for n in range(REQUESTS)]
        for name in names:
            arrive(node, name, "/read/x")
        node.handle(1.1, read(HOME, OTHER))
        for name in names:
            rejected = AttemptFinished(
                request_id=name, outcome=AttemptOutcome.REJECTED
            )
            [resent] = node.handle(1.2, rejected)
            assert isinstance(resent, SendRequest)
            self.assertEqual(THIRD, resent.server.failure_domain)

    def test_stream_that_breaks_goes_on_elsewhere(self) -> None:
        node = node_of()
        evacuated = start_stream(node, "/draft/x").server.failure_domain
        node.handle(1.2, read(evacuated))
        [resent] = node.handle(1.3, BROKEN)
        assert isinstance(resent, SendRequest)
        self.assertEqual(4, resent.resume_after)
        self.assertNotEqual(evacuated, resent.server.failure_domain)

    def test_stream_of_a_peer_does_not_return_to_its_server(self) -> None:
        for evacuated, returns in (((), True), ((HOME,), False)):
            node = node_of()
            node.handle(1.0, read(*evacuated))
            run_at = SERVERS[0].server_id
            head = make_head("r", run_at=run_at, is_relayed=True)
            [send] = node.handle(1.1, ExchangeArrived(head=head))
            assert isinstance(send, SendRequest)
            self.assertEqual(returns, send.server == SERVERS[0])

    def test_target_of_a_migration_and_the_call_for_it(self) -> None:
        node = node_of()
        send = start_stream(node, "/chat/x")
        evacuated = OTHER if send.server.failure_domain == HOME else HOME
        node.handle(1.2, read(evacuated))
        [move] = leave(node, send)
        self.assertNotEqual(evacuated, move.target.failure_domain)
        node = node_of()
        send = start_stream(node, "/chat/x")
        node.handle(1.2, read(send.server.failure_domain))
        self.assertEqual([], leave(node, send))

    def test_copy_at_a_target_that_is_evacuated_meanwhile(self) -> None:
        for path, goes_on in (("/draft/x", True), ("/chat/x", False)):
            node = node_of()
            [move] = leave(node, start_stream(node, path))
            node.handle(2.5, read(move.target.failure_domain))
            node.handle(2.6, BROKEN)
            cache = MigratedCache(
                address="a:1", handle="h", target=move.target.server_id
            )
            [action] = node.handle(
                2.7, RunMigrated(request_id=RUN, cache=cache)
            )
            self.assertEqual(goes_on, isinstance(action, SendRequest), path)
            if isinstance(action, SendRequest):
                self.assertIsNone(action.migrated_cache)
                self.assertNotEqual(
                    move.target.failure_domain, action.server.failure_domain
                )


class Rows(testtools.TestCase):
    def test_removed_row_ends_the_evacuation(self) -> None:
        node = node_of()
        node.handle(1.0, read(HOME, OTHER))
        ended = node.handle(2.0, read(HOME, at=11, removed=(OTHER,)))
        self.assertEqual([(OTHER, "ended")], phases(ended))
        self.assertEqual({OTHER, THIRD}, domains_used(node, 2.0))
        # A copy of the table that is older says nothing.
        self.assertEqual([], node.handle(2.0, read(at=10)))

    def test_all_domains_and_an_unknown_one(self) -> None:
        for domains, reason in (
            ((NOWHERE,), WarningReason.UNKNOWN_DOMAIN),
            ((HOME, OTHER, THIRD), WarningReason.ALL_DOMAINS),
        ):
            node = node_of()
            node.handle(1.0, read(*domains))
            actions = tick(node, 1.1) + tick(node, 1.2)
            [found] = [a for a in actions if isinstance(a, EvacuationWarning)]
            self.assertEqual(reason, found.reason)
            if domains == (NOWHERE,):
                used = domains_used(node, 2.0)
                self.assertEqual({HOME, OTHER, THIRD}, used)
        refused = arrive(node, "r", "/read/x", 2.0)
        assert isinstance(refused, LocalResponse)
        self.assertEqual(ExecutionStatus.NOT_RUN, refused.refusal.ran)
        self.assertIsNotNone(refused.refusal.retry_after_s)

    # Guards against a change for deployments without the setting.
    def test_rows_are_ignored_without_the_setting(self) -> None:
        node = node_of(lease_s=3.0)
        self.assertEqual([], node.handle(1.0, read(HOME)))
        self.assertIn(HOME, domains_used(node, 2.0))


class StoreReturns(testtools.TestCase):
    """The store returns from a copy without the row: a new era."""

    def returned(self) -> FrontNode:
        node = node_of()
        node.handle(1.0, read(HOME, at=20))
        kept = node.handle(2.0, read(at=9, era=2))
        self.assertEqual([(HOME, "kept")], phases(kept))
        return node

    def test_is_kept_for_a_time(self) -> None:
        node = self.returned()
        node.handle(3.0, read(at=12, era=2))
        self.assertEqual([], phases(tick(node, 1.9 + EVACUATION_KEPT_S)))
        self.assertNotIn(HOME, domains_used(node, 3.0))
        ended = tick(node, 2.0 + EVACUATION_KEPT_S)
        self.assertEqual([(HOME, "ended")], phases(ended))

    def test_ends_when_the_row_is_written_and_removed(self) -> None:
        for copies in (
            (read(HOME, at=10, era=2), read(at=11, era=2)),
            # Both changes came at once.
            (read(at=11, era=2, removed=(HOME,)),),
        ):
            node = self.returned()
            actions = [a for c in copies for a in node.handle(3.0, c)]
            self.assertEqual([(HOME, "ended")], phases(actions))

    def test_row_that_is_in_the_copy_lasts(self) -> None:
        node = node_of()
        node.handle(1.0, read(HOME, at=20))
        node.handle(2.0, read(HOME, at=9, era=2))
        self.assertEqual([], phases(tick(node, 3.0 + EVACUATION_KEPT_S)))

    # Guards against a restart after the return that sends to the domain, as
    # neither the store nor a peer's copy has the row; and against a report
    # of a peer that has not heard of the end, which began it again.
    def test_host_that_starts_learns_of_it_from_a_report(self) -> None:
        node = self.returned()
        node.handle(2.1, HostsListed(addresses={HostId("h2"): "peer:1"}))
        [sent] = [a for a in tick(node, 2.1) if isinstance(a, SendReport)]
        report = decode_report(encode_report(sent.report))
        started = node_of("h2")
        started.handle(2.0, read(at=9, era=2))
        learnt = started.handle(2.2, ReportReceived(report=report))
        self.assertEqual([(HOME, "kept")], phases(learnt))
        self.assertNotIn(HOME, domains_used(started, 2.3))
        ended = tick(started, 2.3 + EVACUATION_KEPT_S)
        self.assertEqual([(HOME, "ended")], phases(ended))
        late = ReportReceived(report=replace(report, sequence=9))
        self.assertEqual([], phases(started.handle(700.0, late)))


class Orders(testtools.TestCase):
    """Orders in so many domains that the maximum leaves room for a share."""

    domains = tuple(FailureDomain(f"z{n}") for n in range(8))

    def orders(
        self, scaler: Autoscaler, now: float, *evacuated: FailureDomain
    ) -> list[int | None]:
        """Return the reclaimable servers that are ordered in each domain."""
        prices = dict.fromkeys(self.domains, 1.0)
        bounds = replace(scaling(maximum=14), domain_prices=prices)
        pool = replace(config().services[0], scaling=bounds)
        backends = [
            Backend(
                server=server(d, domain=d, reclaimable=True), listed_at=0.0
            )
            for d in self.domains
        ]
        placed = {
            a.key.domain: a.desired
            for a in scaler.tick(now, 1, [pool], backends, evacuated=evacuated)
            if isinstance(a, OrderServers) and a.key.reclaimable
        }
        return [placed.get(d) for d in self.domains]

    # Guards against orders in the domain, and against other domains that are
    # short while the servers of the domain start again.
    def test_other_domains_take_the_share_until_servers_are_back(self) -> None:
        home = self.domains[0]
        self.assertEqual([12] * 8, self.orders(Autoscaler(), 0.0))
        placed = self.orders(Autoscaler(), 0.0, home)
        self.assertEqual([None, *[14] * 7], placed)
        for now, share in ((2.0, 14), (8.0, 12)):
            scaler = Autoscaler()
            scaler.handle_evacuation_end(1.0, home)
            self.assertEqual([12, *[share] * 7], self.orders(scaler, now))
        placed = self.orders(Autoscaler(), 0.0, *self.domains)
        self.assertEqual([None] * 8, placed)
