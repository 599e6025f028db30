"""Tests of admission: limits, fair shares and deadlines."""

import heapq
import random
from collections.abc import Callable

import testtools

from script.policy_noise import quiet_p99_s
from waxwingarch.core.base import AccountId, ExecutionStatus, RequestId
from waxwingarch.core.contracts.contract import Contract
from waxwingarch.core.limits.admission import Admission
from waxwingarch.core.limits.admission_messages import (
    Admitted,
    PendingRequest,
    Queued,
    Refusal,
    RefusalReason,
)
from waxwingarch.core.limits.fair_queue import FairQueue

DRIVE = AccountId("drive")
RACE = AccountId("race")


def contract(account: AccountId = DRIVE, **changes: object) -> Contract:
    values: dict[str, object] = {
        "account": account,
        "key_digest": "",
        "first_token_s": 2.0,
        "between_tokens_s": 0.1,
        "whole_answer_s": 30.0,
        "priority": 1,
        "rate": 100.0,
        "burst": 100,
        "concurrency": 100,
        "share": 0.5,
        "cost_weight": 1.0,
        "routes": (),
    }
    return Contract(**(values | changes))  # type: ignore[arg-type]


def request(
    name: str, account: AccountId = DRIVE, **changes: object
) -> PendingRequest:
    values: dict[str, object] = {
        "request_id": RequestId(name),
        "account": account,
        "expected_s": 1.0,
    }
    return PendingRequest(**(values | changes))  # type: ignore[arg-type]


def admission(slots: int, *contracts: Contract, hosts: int = 1) -> Admission:
    result = Admission(limit_hosts=hosts)
    result.set_contracts(0.0, contracts)
    result.set_capacity(slots)
    return result


class LimitTest(testtools.TestCase):
    def test_refusal_by_rate_limit_has_the_retry_time(self) -> None:
        adm = admission(9, contract(rate=2.0, burst=1))
        self.assertIsInstance(adm.offer(0.0, request("a")), Admitted)
        refusal = adm.offer(0.1, request("b"))
        assert isinstance(refusal, Refusal)
        self.assertEqual(RefusalReason.RATE_LIMIT, refusal.reason)
        self.assertEqual(ExecutionStatus.NOT_RUN, refusal.ran)
        self.assertAlmostEqual(0.4, refusal.retry_after_s)
        self.assertIn("rate", refusal.message)
        again = adm.offer(0.1 + refusal.retry_after_s, request("b"))
        self.assertIsInstance(again, Admitted)

    def test_concurrency_is_never_exceeded(self) -> None:
        adm = admission(9, contract(concurrency=2))
        for name in "abc":
            adm.offer(0.0, request(name))
        self.assertEqual(2, adm.running(DRIVE))
        self.assertEqual([], adm.start_waiting(0.1, 9))
        adm.release(0.5, RequestId("a"))
        ready = adm.start_waiting(0.5, 9)
        self.assertEqual(["c"], [r.request_id for r in ready])

    def test_expired_share_falls_back_to_the_floor(self) -> None:
        adm = admission(99, contract(rate=10.0, concurrency=20), hosts=10)
        adm.set_limit(0.0, DRIVE, 5.0, 8, 60.0)
        for n in range(8):
            adm.offer(1.0, request(f"early{n}"))
        self.assertEqual(8, adm.running(DRIVE))
        for n in range(8):
            adm.release(2.0, RequestId(f"early{n}"))
        for n in range(4):
            adm.offer(100.0, request(f"late{n}"))
        self.assertEqual(2, adm.running(DRIVE))

    def test_unknown_account_is_refused(self) -> None:
        refusal = admission(9).offer(0.0, request("a"))
        assert isinstance(refusal, Refusal)
        self.assertEqual(RefusalReason.NO_CONTRACT, refusal.reason)

    def test_removed_contract_refuses_its_waiting_requests(self) -> None:
        adm = admission(1, contract())
        adm.offer(0.0, request("runs"))
        adm.offer(0.0, request("waits"))
        refusals = adm.set_contracts(0.1, [])
        self.assertEqual(["waits"], [r.request_id for r in refusals])
        adm.release(1.0, RequestId("runs"))
        self.assertEqual([], adm.start_waiting(1.0, 9))

    def test_running_requests_continue_without_their_contract(self) -> None:
        adm = admission(9, contract(concurrency=1))
        adm.offer(0.0, request("a"))
        adm.set_contracts(0.1, [])
        adm.set_contracts(0.2, [contract(concurrency=1)])
        adm.offer(0.3, request("b"))
        self.assertEqual(1, adm.running(DRIVE))
        adm.release(0.4, RequestId("a"))
        self.assertEqual(0, adm.running(DRIVE))
        self.assertEqual(1, len(adm.start_waiting(0.4, 9)))


class DeadlineTest(testtools.TestCase):
    def test_deadlines_are_fixed_at_acceptance(self) -> None:
        adm = admission(1, contract())
        adm.offer(0.0, request("a"))
        queued = adm.offer(0.5, request("b"))
        assert isinstance(queued, Queued)
        adm.set_contracts(0.6, [contract(first_token_s=9.0)])
        adm.release(1.0, RequestId("a"))
        (ready,) = adm.start_waiting(1.0, 1)
        self.assertEqual(queued.deadlines, ready.deadlines)
        self.assertEqual(2.5, ready.deadlines.first_token_at)

    def test_unreachable_deadline_is_refused_without_cost(self) -> None:
        adm = admission(1, contract(rate=0.001, burst=3))
        adm.offer(0.0, request("a", expected_s=5.0))
        late = adm.offer(0.0, request("b", expected_s=5.0))
        assert isinstance(late, Refusal)
        self.assertEqual(RefusalReason.DEADLINE_UNREACHABLE, late.reason)
        adm.release(0.0, RequestId("a"))
        for name in "cd":
            adm.offer(0.0, request(name, expected_s=0.1))
        refusal = adm.offer(0.0, request("e", expected_s=0.1))
        assert isinstance(refusal, Refusal)
        self.assertEqual(RefusalReason.RATE_LIMIT, refusal.reason)

    def test_waiting_request_is_refused_when_it_becomes_late(self) -> None:
        adm = admission(4, contract(first_token_s=4.0, whole_answer_s=9.0))
        for n in range(4):
            adm.offer(0.0, request(f"run{n}", expected_s=4.0))
        for n in range(3):
            adm.offer(0.0, request(f"wait{n}", expected_s=4.0))
        self.assertEqual([], adm.expire(0.0))
        adm.set_capacity(1)
        refusals = adm.expire(0.1)
        self.assertEqual(["wait1", "wait2"], [r.request_id for r in refusals])
        self.assertTrue(
            all(r.ran is ExecutionStatus.NOT_RUN for r in refusals)
        )

    def test_refused_request_is_never_started(self) -> None:
        rng = random.Random(5)
        adm = admission(3, contract(first_token_s=1.5, concurrency=3))
        refused: set[str] = set()
        started: set[str] = set()
        running: list[tuple[float, RequestId]] = []
        for n in range(500):
            now = n * 0.1
            while running and running[0][0] <= now:
                adm.release(now, heapq.heappop(running)[1])
            decision = adm.offer(now, request(f"r{n}"))
            decisions = [decision, *adm.expire(now)]
            decisions += adm.start_waiting(now, 3 - len(running))
            for item in decisions:
                if isinstance(item, Refusal):
                    refused.add(item.request_id)
                if isinstance(item, Admitted):
                    started.add(item.request_id)
                    heapq.heappush(
                        running, (now + rng.uniform(0.2, 2), item.request_id)
                    )
            self.assertLessEqual(adm.running(DRIVE), 3)
        self.assertEqual(set(), refused & started)
        self.assertTrue(refused)
        self.assertEqual(500, len(refused | started) + adm.waiting(DRIVE))


class _FifoQueue(FairQueue):
    """A queue without shares that starts the oldest request first."""

    def __init__(self) -> None:
        super().__init__()
        self._order: list[tuple[AccountId, RequestId]] = []

    def push(
        self, account: AccountId, request_id: RequestId, work_s: float
    ) -> None:
        super().push(account, request_id, work_s)
        self._order.append((account, request_id))

    def pop(
        self, may_start: Callable[[AccountId], bool]
    ) -> tuple[AccountId, RequestId] | None:
        while self._order:
            account, request_id = self._order.pop(0)
            if self.remove(account, request_id):
                return account, request_id
        return None


class NoisyNeighbourTest(testtools.TestCase):
    # The p99 latency of the quiet account may grow by this factor when its
    # neighbour asks for ten times its share instead of just its share.
    MAX_LATENCY_RATIO = 1.1

    def test_tenfold_load_does_not_delay_the_other_account(self) -> None:
        normal_s = quiet_p99_s(1.0, seed=11)
        overloaded_s = quiet_p99_s(10.0, seed=11)
        self.assertLessEqual(overloaded_s / normal_s, self.MAX_LATENCY_RATIO)

    def test_queue_without_shares_delays_the_other_account(self) -> None:
        normal_s = quiet_p99_s(1.0, 11, _FifoQueue())
        overloaded_s = quiet_p99_s(10.0, 11, _FifoQueue())
        self.assertGreater(overloaded_s / normal_s, self.MAX_LATENCY_RATIO)

    def test_unused_share_is_available_to_others(self) -> None:
        adm = admission(10, contract(share=0.1), contract(RACE, share=0.9))
        for n in range(10):
            adm.offer(0.0, request(f"d{n}"))
        self.assertEqual(10, adm.running(DRIVE))


class PriorityTest(testtools.TestCase):
    def test_urgent_account_exceeds_its_share_by_a_bounded_lead(self) -> None:
        long = {"first_token_s": 1e3, "whole_answer_s": 1e3}
        urgent = contract(DRIVE, priority=0, **long)
        patient = contract(RACE, priority=5, **long)
        adm = admission(1, urgent, patient)
        adm.offer(0.0, request("first"))
        for n in range(50):
            adm.offer(0.0, request(f"d{n}", DRIVE))
            adm.offer(0.0, request(f"r{n}", RACE))
        order = [r.account for r in adm.start_waiting(0.0, 20)]
        self.assertEqual([DRIVE] * 4, order[:4])
        self.assertIn(order.count(RACE), range(7, 11))
