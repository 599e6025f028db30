"""Tests of the division of a contract limit over hosts."""

from dataclasses import dataclass, replace
from random import Random

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from waxwingarch.core.base import HostId
from waxwingarch.core.limits.share_members import MembersRow, next_members
from waxwingarch.core.limits.shares import (
    LOAN_TERM_S,
    RATE_UNITS,
    REQUEST_INTERVAL_S,
    LoanGrant,
    LoanRequest,
    ShareLedger,
    entitlements,
    spare_units,
)

MAX_IDLE_RATIO = 0.05
STEP_S = 0.05


@dataclass(frozen=True)
class _Message:
    at: float
    to: HostId
    body: LoanRequest | LoanGrant


class _Cluster:
    """Ledgers of one limit on a network.

    With `faults`, messages are lost, delayed and duplicated, half of the
    hosts are cut off, hosts pause, and clocks run at different speeds.
    """

    def __init__(
        self,
        hosts: int,
        limit: int,
        random: Random,
        *,
        ledger: type[ShareLedger] = ShareLedger,
        faults: bool = False,
        drain_s: float = 0.0,
    ) -> None:
        names = [HostId(f"h{n}") for n in range(hosts)]
        self.limit = limit
        self.entitled = entitlements(limit, names)
        self.ledgers = {
            name: ledger(
                host=name,
                incarnation=1,
                entitlement=self.entitled[name],
                drain_s=drain_s,
            )
            for name in names
        }
        self.clock_rates = {
            name: random.uniform(0.97, 1.03) if faults else 1.0
            for name in names
        }
        self.now = 0.0
        self._random = random
        self._faults = faults
        self._messages: list[_Message] = []
        self._cut: set[HostId] = set()
        self._paused_until: dict[HostId, float] = {}

    def clock(self, host: HostId) -> float:
        return self.now * self.clock_rates[host]

    def _send(
        self, sender: HostId, to: HostId, body: LoanRequest | LoanGrant
    ) -> None:
        lost = self._faults and self._random.random() < 0.2
        if lost or {sender, to} & self._cut:
            return
        copies = 2 if self._faults and self._random.random() < 0.1 else 1
        for _ in range(copies):
            late_s = self._random.choice((0.0, 1.0, 5.0))
            delay_s = 0.002 + (late_s if self._faults else 0.0)
            self._messages.append(_Message(self.now + delay_s, to, body))

    def step(self, send_requests: bool) -> None:
        self.now += STEP_S
        if self._faults and self._random.random() < 0.02:
            names = list(self.ledgers)
            self._cut = set(self._random.sample(names, len(names) // 2))
        self._deliver()
        if send_requests:
            wanted = {h: x.need for h, x in self.ledgers.items()}
            for host in self.ledgers:
                self._request_loans(host, spare_units(self.entitled, wanted))
            self._deliver(all_due=not self._faults)

    def _request_loans(
        self, host: HostId, lenders: list[tuple[HostId, int]]
    ) -> None:
        if self.now < self._paused_until.get(host, 0.0):
            return
        if self._faults and self._random.random() < 0.1:
            self._paused_until[host] = self.now + self._random.uniform(0, 8)
        ledger = self.ledgers[host]
        for to, request in ledger.request_loans(self.clock(host), lenders):
            self._send(host, to, request)

    def _deliver(self, *, all_due: bool = False) -> None:
        while True:
            due = [m for m in self._messages if all_due or m.at <= self.now]
            if not due:
                return
            for message in due:
                self._messages.remove(message)
                self._receive(message)

    def _receive(self, message: _Message) -> None:
        ledger, now = self.ledgers[message.to], self.clock(message.to)
        if isinstance(message.body, LoanGrant):
            ledger.handle_grant(now, message.body)
            return
        grant = ledger.handle_request(now, message.body)
        if grant is not None:
            self._send(message.to, message.body.borrower, grant)

    def used(self) -> int:
        return sum(x.usable(self.clock(h)) for h, x in self.ledgers.items())


class CountsTermFromReply(ShareLedger):
    """Counts the term of a loan from the response, not the request."""

    def handle_grant(self, now: float, grant: LoanGrant) -> None:
        borrowed = self._borrowed.get(grant.lender)
        if borrowed is not None:
            self._borrowed[grant.lender] = replace(borrowed, requested_at=now)
        super().handle_grant(now, grant)


class AcceptsStaleGrants(ShareLedger):
    """Uses the grant of any request, not only of the last one."""

    def handle_grant(self, now: float, grant: LoanGrant) -> None:
        borrowed = self._borrowed.get(grant.lender)
        if borrowed is not None:
            self._borrowed[grant.lender] = replace(borrowed, seq=grant.seq)
        super().handle_grant(now, grant)


def _max_usage_ratio(seed: int, ledger: type[ShareLedger]) -> float:
    """Return the largest ratio of a limit that is in use under faults."""
    random = Random(seed)
    cluster = _Cluster(5, 101, random, ledger=ledger, faults=True)
    most = 0
    for step in range(600):
        if step % 20 == 0:
            for item in cluster.ledgers.values():
                item.need = random.choice((0, 5, 20, 60, 101))
        cluster.step(send_requests=step % 5 == 0)
        most = max(most, cluster.used())
    return most / cluster.limit


DRAIN_S = 2.0


class _EndsRunningRequests(ShareLedger):
    """Takes a smaller request for the end of requests that still run."""

    def _remaining_use(self, units: int, request: LoanRequest) -> int:
        return min(units, request.units)


def _max_excess(seed: int, ledger: type[ShareLedger]) -> int:
    """Return how far running requests exceed a concurrency limit."""
    random = Random(seed)
    cluster = _Cluster(
        4, 20, random, ledger=ledger, faults=True, drain_s=DRAIN_S * 1.05
    )
    ends: dict[HostId, list[float]] = {host: [] for host in cluster.ledgers}
    wanted = dict.fromkeys(ends, 0)
    most = 0
    for step in range(600):
        for host, item in cluster.ledgers.items():
            if step % 40 == 0:
                wanted[host] = random.choice((0, 2, 10, 20))
            ends[host] = [end for end in ends[host] if end > cluster.now]
            item.need = max(wanted[host], len(ends[host]))
            free = item.usable(cluster.clock(host)) - len(ends[host])
            for _ in range(min(free, wanted[host] - len(ends[host]))):
                end = cluster.now + random.uniform(0, DRAIN_S)
                ends[host].append(end)
        most = max(most, sum(map(len, ends.values())))
        cluster.step(send_requests=step % 5 == 0)
    return most - cluster.limit


class Loans(testtools.TestCase):
    def test_entitlements_add_up_to_the_limit(self) -> None:
        names = [HostId(f"h{n}") for n in range(9)]
        for limit in (0, 4, 9, 100):
            entitled = entitlements(limit, names)
            self.assertEqual(limit, sum(entitled.values()))

    @settings(derandomize=True, deadline=None, max_examples=25)
    @given(st.integers(0, 10_000))
    def test_usage_stays_within_the_limit_under_faults(
        self, seed: int
    ) -> None:
        self.assertTrue(_max_usage_ratio(seed, ShareLedger) <= 1.0)

    def test_weakened_ledgers_exceed_the_limit(self) -> None:
        for broken in (CountsTermFromReply, AcceptsStaleGrants):
            worst = max(_max_usage_ratio(seed, broken) for seed in range(10))
            self.assertTrue(worst > 1.0, broken.__name__)

    @settings(derandomize=True, deadline=None, max_examples=25)
    @given(st.integers(0, 10_000))
    def test_running_requests_stay_within_the_limit(self, seed: int) -> None:
        self.assertTrue(_max_excess(seed, ShareLedger) <= 0)

    def test_ledger_that_releases_running_requests_exceeds_the_limit(
        self,
    ) -> None:
        worst = max(_max_excess(n, _EndsRunningRequests) for n in range(10))
        self.assertTrue(worst > 0)

    def test_isolated_host_falls_back_to_its_entitlement(self) -> None:
        cluster = _Cluster(3, 90, Random(1))
        first = cluster.ledgers[HostId("h0")]
        first.need = 90
        cluster.step(send_requests=True)
        self.assertEqual(90, first.usable(cluster.now))
        later = cluster.now + LOAN_TERM_S
        self.assertEqual(30, first.usable(later))

    def test_lender_waits_for_requests_that_drain(self) -> None:
        cluster = _Cluster(2, 10, Random(1), drain_s=60.0)
        borrower, lender = cluster.ledgers.values()
        borrower.need = 10
        cluster.step(send_requests=True)
        self.assertEqual(0, lender.usable(cluster.now + 60.0))
        self.assertEqual(5, lender.usable(cluster.now + 64.0))

    def test_little_is_idle_while_someone_is_refused(self) -> None:
        """Nine hosts; the high demand moves to others every ten seconds."""
        random = Random(5)
        cluster = _Cluster(9, RATE_UNITS, random)
        idle = refused = 0.0
        steps_per_request = int(REQUEST_INTERVAL_S / STEP_S)
        for step in range(60 * 20):
            if step % 200 == 0:
                hot = random.sample(list(cluster.ledgers), 2)
                for host, ledger in cluster.ledgers.items():
                    ledger.need = 6000 if host in hot else 100
            cluster.step(send_requests=step % steps_per_request == 0)
            usable_and_need = [
                (x.usable(cluster.now), x.need)
                for x in cluster.ledgers.values()
            ]
            if any(usable < need for usable, need in usable_and_need):
                refused += 1
                served = sum(min(pair) for pair in usable_and_need)
                idle += 1 - served / cluster.limit
        self.assertTrue(refused > 0)
        self.addDetail(
            "idle", testtools.content.text_content(f"{idle / refused:.3f}")
        )
        self.assertTrue(idle / refused <= MAX_IDLE_RATIO, idle / refused)


class Members(testtools.TestCase):
    a, b, c = ((HostId(name), 1) for name in "abc")

    def _next(
        self,
        row: MembersRow,
        now: float = 100.0,
        *,
        live: set[tuple[HostId, int]] | None = None,
        ended: dict[tuple[HostId, int], float] | None = None,
        known: dict[tuple[HostId, int], int] | None = None,
    ) -> MembersRow | None:
        return next_members(
            row,
            now,
            live=live or set(),
            ended_since=ended or {},
            known_epoch=known or {},
            loans_expire_s=4.0,
        )

    def test_new_member_waits_until_all_members_know(self) -> None:
        row = MembersRow(epoch=3, members=(self.a, self.b))
        pending = self._next(row, live={self.a, self.b, self.c})
        assert pending is not None
        self.assertEqual(
            [33, 33, 0],
            [pending.entitlement(99, m) for m in (self.a, self.b, self.c)],
        )
        self.assertIsNone(self._next(pending, known={self.a: 4}))
        settled = self._next(pending, known={self.a: 4, self.b: 4})
        assert settled is not None
        self.assertEqual(33, settled.entitlement(99, self.c))

    def test_silent_member_keeps_its_entitlement(self) -> None:
        row = MembersRow(epoch=3, members=(self.a, self.b))
        self.assertIsNone(self._next(row, live={self.a}))

    def test_entitlement_of_ended_member_returns_when_its_loans_expire(
        self,
    ) -> None:
        row = MembersRow(epoch=3, members=(self.a, self.b))
        self.assertIsNone(self._next(row, ended={self.b: 97.0}))
        pending = self._next(row, ended={self.b: 96.0})
        assert pending is not None
        done = self._next(pending, ended={self.b: 96.0}, known={self.a: 4})
        assert done is not None
        self.assertEqual(99, done.entitlement(99, self.a))
        self.assertEqual(done, MembersRow.from_json(done.to_json()))
