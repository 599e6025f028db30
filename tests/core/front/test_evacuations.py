"""Tests of the evacuation of failure domains."""

from collections.abc import Iterable
from dataclasses import replace

import testtools

from tests.core.front.builders import (
    DOMAINS,
    LEDGER,
    arrive,
    config,
    front,
    make_head,
    make_listing,
    server,
)
from waxwingarch.adapters.report_codec import decode_report, encode_report
from waxwingarch.core.backends.evacuations import (
    EVACUATION_KEPT_S,
    EvacuationChanged,
    EvacuationDoubt,
    EvacuationDoubted,
    EvacuationPhase,
    EvacuationSource,
    EvacuationsRead,
)
from waxwingarch.core.backends.registry import Backend
from waxwingarch.core.base import (
    Action,
    ExecutionStatus,
    FailureDomain,
    HostId,
    RequestId,
)
from waxwingarch.core.duties.autoscaler import (
    Autoscaler,
    OrderServers,
    ServersOrdered,
)
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
    HostReport,
    HostsListed,
    ReportReceived,
    SendReport,
)
from waxwingarch.core.store_version import make_version

HOME, OTHER, THIRD = DOMAINS[:3]
ENGINES = tuple(
    server(f"e{n}", domain=(HOME, OTHER, THIRD)[n % 3]) for n in range(6)
)
PLAIN = tuple(
    server(f"p{n}", LEDGER, domain=(HOME, OTHER, THIRD)[n % 3])
    for n in range(6)
)
REQUESTS = 30
# The largest number of servers in a domain does not bind in so many domains.
MANY_DOMAINS = tuple(FailureDomain(f"z{n}") for n in range(8))
SCALED_SERVICES = tuple(
    replace(
        s,
        scaling=replace(
            s.scaling,
            maximum=14,
            domain_prices=dict.fromkeys(MANY_DOMAINS, 1.0),
        ),
    )
    for s in config().services
    if s.scaling is not None
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


def node_of(host: str = "h1", evacuation_s: float | None = 5.0) -> FrontNode:
    """Return a node with servers in three domains that serves requests."""
    bounds = {} if evacuation_s is None else {"evacuation_s": evacuation_s}
    node = front(host=host, **bounds)
    node.handle(0.0, ConfigRead(cfg=config()))
    node.handle(0.0, make_listing(1, *ENGINES, *PLAIN))
    return node


def tick(node: FrontNode, now: float) -> list[Action]:
    return list(node.handle(now, FrontTick(boot_now=now, unix_now=now)))


def phases(actions: Iterable[Action]) -> list[tuple[FailureDomain, str]]:
    return [
        (a.domain, a.phase.value)
        for a in actions
        if isinstance(a, EvacuationChanged)
    ]


def domains_used(node: FrontNode, now: float, path: str) -> set[FailureDomain]:
    """Return the domains to which some requests that arrive now are sent."""
    used = set()
    for n in range(REQUESTS):
        send = arrive(node, f"{path}{now}-{n}", path, now)
        assert isinstance(send, SendRequest), send
        used.add(send.server.failure_domain)
    return used


def start_stream(node: FrontNode, path: str) -> SendRequest:
    """Start a stream that has an event."""
    send = arrive(node, "r", path)
    assert isinstance(send, SendRequest)
    node.handle(
        1.1, ResponseStarted(request_id=RequestId("r"), has_event_ids=True)
    )
    return send


def broken() -> AttemptFinished:
    return AttemptFinished(
        request_id=RequestId("r"),
        outcome=AttemptOutcome.BROKEN,
        response_started=True,
        last_event=4,
    )


def leave(node: FrontNode, send: SendRequest) -> list[MigrateRun]:
    """List a server as leaving; return the migrations a second later."""
    leaves_in_s = {str(send.server.server_id): 2.0}
    node.handle(1.2, make_listing(2, *ENGINES, *PLAIN, **leaves_in_s))
    return [a for a in tick(node, 2.4) if isinstance(a, MigrateRun)]


class Sends(testtools.TestCase):
    """Guards against each way of sending to an evacuated domain."""

    def test_new_requests(self) -> None:
        for path in ("/draft/x", "/chat/x", "/read/x", "/pay/x"):
            node = node_of()
            self.assertEqual({HOME, OTHER, THIRD}, domains_used(node, 1, path))
            node.handle(2.0, read(OTHER))
            self.assertEqual({HOME, THIRD}, domains_used(node, 2, path), path)

    def test_prompts_whose_parts_are_cached_there(self) -> None:
        node = node_of()
        home = arrive(node, "r")
        assert isinstance(home, SendRequest)
        evacuated = home.server.failure_domain
        node.handle(2.0, read(evacuated))
        self.assertNotIn(evacuated, domains_used(node, 2.0, "/draft/x"))

    def test_resends(self) -> None:
        for n in range(REQUESTS):
            node = node_of()
            send = arrive(node, f"r{n}", "/read/x")
            assert isinstance(send, SendRequest)
            evacuated = {HOME, OTHER, THIRD} - {send.server.failure_domain}
            node.handle(1.1, read(*evacuated))
            failed = AttemptFinished(
                request_id=send.request_id, outcome=AttemptOutcome.NOT_SENT
            )
            [resent] = node.handle(1.2, failed)
            assert isinstance(resent, SendRequest)
            self.assertNotIn(resent.server.failure_domain, evacuated)

    def test_stream_that_breaks_goes_on_elsewhere(self) -> None:
        node = node_of()
        send = start_stream(node, "/draft/x")
        node.handle(1.2, read(send.server.failure_domain))
        [resent] = node.handle(1.3, broken())
        assert isinstance(resent, SendRequest)
        self.assertEqual(4, resent.resume_after)
        self.assertNotEqual(
            send.server.failure_domain, resent.server.failure_domain
        )

    def test_stream_of_a_peer_does_not_return_to_its_server(self) -> None:
        for evacuated, expected in (((), True), ((HOME,), False)):
            node = node_of()
            node.handle(1.0, read(*evacuated))
            head = make_head("r", run_at=ENGINES[0].server_id, is_relayed=True)
            [send] = node.handle(1.1, ExchangeArrived(head=head))
            assert isinstance(send, SendRequest)
            self.assertEqual(expected, send.server == ENGINES[0])

    def test_running_stream_stays(self) -> None:
        node = node_of()
        send = start_stream(node, "/draft/x")
        self.assertEqual(
            [(send.server.failure_domain, "begun")],
            phases(node.handle(1.2, read(send.server.failure_domain))),
        )
        for now in (1.3, 2.0, 4.0):
            sent = [
                a
                for a in tick(node, now)
                if not isinstance(a, EvacuationChanged | SendReport)
            ]
            self.assertFalse(
                [a for a in sent if isinstance(a, MigrateRun | SendRequest)]
            )
        self.assertEqual(
            [RequestId("r")],
            node.load_balancer.loads.requests_on(send.server.server_id),
        )

    def test_migration_off_a_leaving_server(self) -> None:
        node = node_of()
        send = start_stream(node, "/chat/x")
        evacuated = {HOME, OTHER, THIRD} - {send.server.failure_domain}
        evacuated.discard(THIRD if THIRD in evacuated else OTHER)
        node.handle(1.2, read(*evacuated))
        [move] = leave(node, send)
        self.assertNotIn(move.target.failure_domain, evacuated)

    def test_call_that_migrates_a_run(self) -> None:
        node = node_of()
        send = start_stream(node, "/draft/x")
        node.handle(1.2, read(send.server.failure_domain))
        self.assertEqual([], leave(node, send))

    def test_copy_at_a_target_that_is_evacuated_meanwhile(self) -> None:
        for path, goes_on in (("/draft/x", True), ("/chat/x", False)):
            node = node_of()
            [move] = leave(node, start_stream(node, path))
            node.handle(2.5, read(move.target.failure_domain))
            node.handle(2.6, broken())
            cache = MigratedCache(
                address=move.source.address,
                handle="h",
                target=move.target.server_id,
            )
            moved = RunMigrated(request_id=RequestId("r"), cache=cache)
            [action] = node.handle(2.7, moved)
            self.assertEqual(goes_on, isinstance(action, SendRequest), path)
            if isinstance(action, SendRequest):
                self.assertIsNone(action.migrated_cache)
                self.assertNotEqual(
                    move.target.failure_domain, action.server.failure_domain
                )

    def test_relayed_requests_and_probes(self) -> None:
        node = node_of()
        node.exchanges.may_probe = True
        node.handle(1.0, read(HOME, OTHER))
        for n in range(REQUESTS):
            head = make_head(f"r{n}", "/read/x", is_relayed=True)
            [send] = node.handle(1.1, ExchangeArrived(head=head))
            assert isinstance(send, SendRequest)
            self.assertEqual(THIRD, send.server.failure_domain)


class Rows(testtools.TestCase):
    def test_removed_row_ends_the_evacuation(self) -> None:
        node = node_of()
        node.handle(1.0, read(HOME, OTHER))
        ended = node.handle(2.0, read(HOME, at=11, removed=(OTHER,)))
        self.assertEqual([(OTHER, "ended")], phases(ended))
        self.assertEqual({OTHER, THIRD}, domains_used(node, 2.0, "/read/x"))

    def test_older_copy_of_the_table_is_ignored(self) -> None:
        node = node_of()
        node.handle(1.0, read(HOME, at=20))
        self.assertEqual([], node.handle(2.0, read(at=19)))
        self.assertNotIn(HOME, domains_used(node, 2.0, "/read/x"))

    def test_all_domains(self) -> None:
        node = node_of()
        node.handle(1.0, read(HOME, OTHER, THIRD))
        [doubt] = [
            a
            for now in (1.1, 1.2)
            for a in tick(node, now)
            if isinstance(a, EvacuationDoubted)
        ]
        self.assertEqual(EvacuationDoubt.ALL_DOMAINS, doubt.doubt)
        refused = arrive(node, "r", "/read/x", 2.0)
        assert isinstance(refused, LocalResponse)
        self.assertEqual(ExecutionStatus.NOT_RUN, refused.refusal.ran)
        self.assertIsNotNone(refused.refusal.retry_after_s)

    def test_unknown_domain_changes_nothing_and_is_told_once(self) -> None:
        node = node_of()
        node.handle(1.0, read(FailureDomain("nowhere")))
        doubts = [
            a
            for now in (1.1, 1.2, 1.3)
            for a in tick(node, now)
            if isinstance(a, EvacuationDoubted)
        ]
        self.assertEqual(
            [EvacuationDoubt.UNKNOWN_DOMAIN], [d.doubt for d in doubts]
        )
        self.assertEqual(
            {HOME, OTHER, THIRD}, domains_used(node, 2.0, "/read/x")
        )

    # Guards against a change for deployments without the setting.
    def test_rows_are_ignored_without_the_setting(self) -> None:
        node = node_of(evacuation_s=None)
        self.assertEqual([], node.handle(1.0, read(HOME)))
        self.assertIn(HOME, domains_used(node, 2.0, "/read/x"))


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
        self.assertNotIn(HOME, domains_used(node, 3.0, "/read/x"))
        self.assertEqual(
            [(HOME, "ended")], phases(tick(node, 2.0 + EVACUATION_KEPT_S))
        )

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
    # neither the store nor a peer's copy has the row.
    def test_restarted_host_learns_of_it_from_a_report(self) -> None:
        node = self.returned()
        report = self.report_of(node, "h2", 2.1)
        restarted = node_of("h2")
        restarted.handle(2.0, read(at=9, era=2))
        learnt = restarted.handle(2.2, ReportReceived(report=report))
        self.assertEqual([(HOME, "kept")], phases(learnt))
        self.assertNotIn(HOME, domains_used(restarted, 2.3, "/read/x"))
        self.assertEqual(
            [(HOME, "ended")], phases(tick(restarted, 2.3 + EVACUATION_KEPT_S))
        )

    def test_peer_that_is_behind_does_not_begin_it_again(self) -> None:
        node, peer = self.returned(), self.returned()
        node.handle(3.0, read(at=11, era=2, removed=(HOME,)))
        report = replace(self.report_of(peer, "h2", 3.1), host=HostId("h2"))
        self.assertIn(HOME, report.kept_evacuations)
        learnt = node.handle(3.2, ReportReceived(report=report))
        self.assertEqual([], phases(learnt))

    def report_of(self, node: FrontNode, to: str, now: float) -> HostReport:
        """Return the report that a node sends, as it arrives at a peer."""
        node.handle(now, ConfigRead(cfg=config(), rows_version=1))
        node._rows_version = make_version(2, 9)
        node.handle(now, HostsListed(addresses={HostId(to): "peer:1"}))
        [sent] = [a for a in tick(node, now) if isinstance(a, SendReport)]
        return decode_report(encode_report(sent.report))


class Orders(testtools.TestCase):
    """Orders for servers while a domain is evacuated."""

    def orders(
        self, scaler: Autoscaler, now: float, *evacuated: FailureDomain
    ) -> dict[FailureDomain, int]:
        """Return the orders of reclaimable servers; each is accepted."""
        backends = [
            Backend(
                server=server(f"{d}", domain=d, reclaimable=True),
                listed_at=0.0,
            )
            for d in MANY_DOMAINS
        ]
        placed = {}
        for action in scaler.tick(
            now, 1, SCALED_SERVICES, backends, evacuated
        ):
            assert isinstance(action, OrderServers)
            scaler.handle_order_reply(
                now,
                ServersOrdered(
                    key=action.key, desired=action.desired, accepted=True
                ),
            )
            if action.key.reclaimable:
                placed[action.key.domain] = action.desired
        return placed

    # Guards against orders in the domain, and against other domains that are
    # short while the servers of the domain start again.
    def test_other_domains_take_the_share_until_servers_are_back(self) -> None:
        evacuated, others = MANY_DOMAINS[0], MANY_DOMAINS[1:]
        scaler = Autoscaler()
        self.assertEqual(
            dict.fromkeys(MANY_DOMAINS, 12), self.orders(scaler, 0.0)
        )
        self.assertEqual(
            dict.fromkeys(others, 14), self.orders(scaler, 1.0, evacuated)
        )
        scaler.handle_evacuation_ended(2.0, evacuated)
        self.assertEqual({evacuated: 12}, self.orders(scaler, 2.0))
        placed = self.orders(scaler, 8.0)
        self.assertEqual({12}, {placed[d] for d in others})

    def test_no_orders_if_all_domains_are_evacuated(self) -> None:
        self.assertEqual({}, self.orders(Autoscaler(), 0.0, *MANY_DOMAINS))


class Sources(testtools.TestCase):
    def test_change_says_how_it_was_learnt(self) -> None:
        node = node_of()
        event = replace(read(HOME, at=7), source=EvacuationSource.PEER)
        [change] = node.handle(1.0, event)
        assert isinstance(change, EvacuationChanged)
        self.assertEqual(EvacuationPhase.BEGUN, change.phase)
        self.assertEqual(EvacuationSource.PEER, change.source)
        self.assertEqual(make_version(1, 7), change.version)
