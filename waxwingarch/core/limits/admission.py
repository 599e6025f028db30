"""Admission of requests by the limits, share and deadlines of contracts."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from waxwingarch.core.base import AccountId, RequestId
from waxwingarch.core.contracts.contract import Contract
from waxwingarch.core.limits.account_limit import AccountLimit
from waxwingarch.core.limits.admission_messages import (
    MAX_RETRY_AFTER_S,
    Admitted,
    Deadlines,
    PendingRequest,
    Queued,
    Refusal,
    refuse,
)
from waxwingarch.core.limits.fair_queue import FairQueue
from waxwingarch.core.refusal import RefusalReason

# The number of requests of one account that may wait on this host.
MAX_QUEUED_REQUESTS: Final = 1024
NO_CAPACITY_RETRY_AFTER_S: Final = 2.0


@dataclass(kw_only=True, slots=True)
class _Account:
    """An account with a contract.

    `earliest_start_deadline` is a lower bound for its waiting requests,
    so that `expire` scans the queue only if one may be late.
    """

    contract: Contract
    limit: AccountLimit
    earliest_start_deadline: float = float("inf")


@dataclass(frozen=True, kw_only=True, slots=True)
class _Accepted:
    """A request that runs, or waits if `started_at` is None."""

    request: PendingRequest
    deadlines: Deadlines
    start_deadline: float
    started_at: float | None = None


class Admission:
    """Decides which request starts, waits or is refused.

    Without a valid share of a contract's limit, for example on a host
    that is isolated from the others, the host's limit is the contract's
    divided by `limit_hosts`. Work is counted in slot seconds. `offer`
    and `release` take O(accounts) time, and so does `expire` unless a
    waiting request is about to miss its deadline.
    """

    def __init__(self, *, limit_hosts: int = 1) -> None:
        self._limit_hosts = max(1, limit_hosts)
        self._slots = 0
        self._queue = FairQueue()
        self._accounts: dict[AccountId, _Account] = {}
        self._accepted: dict[RequestId, _Accepted] = {}
        self._running: Counter[AccountId] = Counter()
        self._now = 0.0

    def set_contracts(
        self, now: float, contracts: Iterable[Contract]
    ) -> list[Refusal]:
        """Apply contracts; refuse waiting requests that lost theirs.

        Accepted requests keep their deadlines.
        """
        by_account = {contract.account: contract for contract in contracts}
        refusals = []
        for account in [a for a in self._accounts if a not in by_account]:
            refusals += self._drop_account(account)
        for contract in by_account.values():
            self._set_contract(now, contract)
        return refusals

    def set_capacity(self, slots: int) -> None:
        """Set how many requests of all accounts this host may run at once."""
        self._slots = max(0, slots)

    def set_limit(
        self,
        now: float,
        account: AccountId,
        rate: float,
        concurrency: int,
        until: float,
    ) -> None:
        """Set this host's share of a contract's limits until a deadline."""
        state = self._accounts.get(account)
        if state is None:
            return
        state.limit.set_share(now, rate, concurrency, until)

    def offer(
        self, now: float, req: PendingRequest
    ) -> Admitted | Queued | Refusal:
        """Admit, queue or refuse a new request.

        A refusal costs the account no token. Raises ValueError for a
        request id that is already accepted.
        """
        if req.request_id in self._accepted:
            raise ValueError(f"{req.request_id} is accepted; use a new id")
        self._now = now
        state = self._accounts.get(req.account)
        if state is None:
            return refuse(req, RefusalReason.NO_CONTRACT, MAX_RETRY_AFTER_S)
        token_wait_s = state.limit.token_wait_s(now)
        if token_wait_s > 0:
            return refuse(req, RefusalReason.RATE_LIMIT, token_wait_s)
        accepted = _accept(now, state.contract, req)
        refusal = self._check_admissible(now, state, accepted)
        if refusal is not None:
            return refusal
        state.limit.spend_token(now)
        self._accepted[req.request_id] = accepted
        if self._can_start_at_once(req.account):
            self._queue.charge(req.account, req.expected_s)
            return self._start(now, accepted)
        return self._enqueue(now, state, accepted)

    def release(self, now: float, request_id: RequestId) -> None:
        """Remove a request that has ended or was cancelled."""
        accepted = self._accepted.pop(request_id, None)
        if accepted is None:
            return
        account = accepted.request.account
        if accepted.started_at is None:
            self._queue.remove(account, request_id)
            return
        self._running[account] -= 1
        spent_s = now - accepted.started_at
        self._queue.correct(account, spent_s - accepted.request.expected_s)

    def start_waiting(self, now: float, free_slots: int) -> list[Admitted]:
        """Start waiting requests, at most one for each free slot."""
        self._now = now
        started: list[Admitted] = []
        while len(started) < free_slots:
            entry = self._queue.pop(self._may_start)
            if entry is None:
                break
            started.append(self._start(now, self._accepted[entry[1]]))
        return started

    def expire(self, now: float) -> list[Refusal]:
        """Refuse each waiting request that can no longer be in time.

        Call it before `start_waiting`, after each event and at least a
        few times a second, so that a caller is refused as soon as the
        deadline becomes unreachable.
        """
        self._now = now
        refusals: list[Refusal] = []
        for account, state in self._accounts.items():
            if not self._queue.waiting_count(account):
                continue
            rate = self._work_rate(account, state)
            work_s = self._queue.waiting_work_s(account)
            if _wait_s(work_s, rate) + now > state.earliest_start_deadline:
                refusals += self._expire_account(now, account, state, rate)
        return refusals

    def running(self, account: AccountId) -> int:
        """Return how many requests of an account have a slot."""
        return self._running[account]

    def waiting(self, account: AccountId) -> int:
        """Return how many requests of an account wait."""
        return self._queue.waiting_count(account)

    def _set_contract(self, now: float, contract: Contract) -> None:
        account = contract.account
        self._queue.set_lane(account, contract.share, contract.priority)
        state = self._accounts.get(account)
        if state is None:
            self._accounts[account] = _Account(
                contract=contract,
                limit=AccountLimit(now, contract, self._limit_hosts),
            )
            return
        state.contract = contract
        state.limit.set_contract(now, contract)

    def _drop_account(self, account: AccountId) -> list[Refusal]:
        del self._accounts[account]
        return [
            refuse(
                self._accepted.pop(request_id).request,
                RefusalReason.NO_CONTRACT,
                MAX_RETRY_AFTER_S,
            )
            for request_id in self._queue.drop_lane(account)
        ]

    def _may_start(self, account: AccountId) -> bool:
        state = self._accounts[account]
        return self._running[account] < state.limit.concurrency(self._now)

    def _can_start_at_once(self, account: AccountId) -> bool:
        return (
            self._running.total() < self._slots
            and self._may_start(account)
            and not self._queue.has_ready(self._may_start)
        )

    def _start(self, now: float, accepted: _Accepted) -> Admitted:
        req = accepted.request
        self._accepted[req.request_id] = _Accepted(
            request=req,
            deadlines=accepted.deadlines,
            start_deadline=accepted.start_deadline,
            started_at=now,
        )
        self._running[req.account] += 1
        return Admitted(
            request_id=req.request_id,
            account=req.account,
            deadlines=accepted.deadlines,
        )

    def _enqueue(
        self, now: float, state: _Account, accepted: _Accepted
    ) -> Queued:
        req = accepted.request
        rate = self._work_rate(req.account, state)
        ahead_s = self._queue.waiting_work_s(req.account)
        wait_s = _wait_s(ahead_s + req.expected_s, rate)
        if not self._queue.waiting_count(req.account):
            state.earliest_start_deadline = float("inf")
        state.earliest_start_deadline = min(
            state.earliest_start_deadline, accepted.start_deadline
        )
        self._queue.push(req.account, req.request_id, req.expected_s)
        return Queued(
            request_id=req.request_id,
            account=req.account,
            deadlines=accepted.deadlines,
            expected_start_at=now + wait_s,
        )

    def _check_admissible(
        self, now: float, state: _Account, accepted: _Accepted
    ) -> Refusal | None:
        """Refuse a request without capacity, queue space or time for it."""
        req = accepted.request
        if self._slots == 0:
            return refuse(
                req, RefusalReason.NO_CAPACITY, NO_CAPACITY_RETRY_AFTER_S
            )
        if self._queue.waiting_count(req.account) >= MAX_QUEUED_REQUESTS:
            rate = self._work_rate(req.account, state)
            wait_s = _wait_s(req.expected_s, rate)
            return refuse(req, RefusalReason.QUEUE_FULL, wait_s)
        wait_s = 0.0
        if not self._can_start_at_once(req.account):
            rate = self._work_rate(req.account, state)
            ahead_s = self._queue.waiting_work_s(req.account)
            wait_s = _wait_s(ahead_s + req.expected_s, rate)
        late_s = now + wait_s - accepted.start_deadline
        if late_s <= 0:
            return None
        return refuse(req, RefusalReason.DEADLINE_UNREACHABLE, late_s)

    def _work_rate(self, account: AccountId, state: _Account) -> float:
        """Estimate the slot seconds a second that an account gets.

        Accounts with waiting requests divide the slots that the others
        don't use by their shares. An account gets at least its share of
        all slots, and at most its concurrency limit.
        """
        share = state.contract.share
        running_without_queue = 0
        waiting_share = share
        for other, other_state in self._accounts.items():
            if other == account:
                continue
            if self._queue.waiting_count(other):
                waiting_share += other_state.contract.share
            else:
                running_without_queue += self._running[other]
        free_slots = max(0, self._slots - running_without_queue)
        total_share = sum(s.contract.share for s in self._accounts.values())
        fair = free_slots * share / waiting_share if waiting_share > 0 else 0.0
        guaranteed = (
            self._slots * share / total_share if total_share > 0 else 0
        )
        return min(max(fair, guaranteed), state.limit.concurrency(self._now))

    def _expire_account(
        self, now: float, account: AccountId, state: _Account, rate: float
    ) -> list[Refusal]:
        """Refuse the late requests of an account in queue order."""
        refusals = []
        ahead_s = 0.0
        earliest = float("inf")
        for request_id, work_s in self._queue.waiting(account):
            accepted = self._accepted[request_id]
            late_s = now + _wait_s(ahead_s, rate) - accepted.start_deadline
            if late_s <= 0:
                ahead_s += work_s
                earliest = min(earliest, accepted.start_deadline)
                continue
            self._queue.remove(account, request_id)
            del self._accepted[request_id]
            state.limit.refund_token(now)
            refusals.append(
                refuse(
                    accepted.request,
                    RefusalReason.DEADLINE_UNREACHABLE,
                    late_s,
                )
            )
        state.earliest_start_deadline = earliest
        return refusals


def _accept(now: float, contract: Contract, req: PendingRequest) -> _Accepted:
    """Set the deadlines of a request and the latest time to start it."""
    caller_limit = float("inf") if req.deadline is None else req.deadline
    complete_at = min(now + contract.whole_answer_s, caller_limit)
    first_token_at = min(now + contract.first_token_s, complete_at)
    start_deadline = complete_at - req.expected_s
    if req.streaming:
        start_deadline = min(
            start_deadline, first_token_at - req.first_token_s
        )
    return _Accepted(
        request=req,
        deadlines=Deadlines(
            first_token_at=first_token_at, whole_answer_at=complete_at
        ),
        start_deadline=start_deadline,
    )


def _wait_s(work_s: float, rate: float) -> float:
    """Return how long work takes at a rate, 0 without work."""
    if work_s <= 0:
        return 0.0
    return work_s / rate if rate > 0 else float("inf")
