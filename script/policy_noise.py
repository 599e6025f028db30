"""Noisy neighbour on simulated time: two accounts share a set of slots."""

import heapq
from random import Random

from waxwingarch.core.base import AccountId, RequestId
from waxwingarch.core.contracts.contract import Contract
from waxwingarch.core.limits.admission import Admission
from waxwingarch.core.limits.admission_messages import Admitted, PendingRequest
from waxwingarch.core.limits.fair_queue import FairQueue

SLOTS = 48
RUN_S = 120.0
EXPECTED_DURATION_S = 2.0
QUIET_LOAD = 0.7
QUIET = AccountId("quiet")
NOISY = AccountId("noisy")


def make_share_limited_contract(account: AccountId) -> Contract:
    """Return a contract that is limited only by its share of capacity."""
    return Contract(
        account=account,
        key_digest="",
        first_token_s=2.0,
        between_tokens_s=0.1,
        whole_answer_s=30.0,
        priority=1,
        rate=1e6,
        burst=10**6,
        concurrency=10**6,
        share=0.5,
        cost_weight=1.0,
        routes=(),
    )


def quiet_p99_s(
    noisy_load: float, seed: int, queue: FairQueue | None = None
) -> float:
    """Return the 99th percentile of the quiet account's latencies.

    Both accounts have half of the capacity. The quiet one uses
    `QUIET_LOAD` of its half; the noisy one requests `noisy_load` times
    its own half.
    """
    rng = Random(seed)
    admission = Admission()
    if queue is not None:
        admission._queue = queue
    admission.set_contracts(
        0.0,
        [
            make_share_limited_contract(QUIET),
            make_share_limited_contract(NOISY),
        ],
    )
    admission.set_capacity(SLOTS)
    events = _make_arrivals(rng, noisy_load)
    arrived_at = {name: at for at, _, name, _ in events}
    latencies_s: list[float] = []
    while events:
        now, kind, name, account = heapq.heappop(events)
        decisions: list[object] = []
        if kind == 0:
            req = PendingRequest(
                request_id=RequestId(name),
                account=account,
                expected_s=EXPECTED_DURATION_S,
            )
            decisions.append(admission.offer(now, req))
        else:
            admission.release(now, RequestId(name))
            if account == QUIET:
                latencies_s.append(now - arrived_at[name])
        admission.expire(now)
        free = SLOTS - admission.running(QUIET) - admission.running(NOISY)
        decisions += admission.start_waiting(now, free)
        for decision in decisions:
            if isinstance(decision, Admitted):
                ends_at = now + Random(decision.request_id).uniform(1.0, 3.0)
                event = (
                    ends_at,
                    1,
                    str(decision.request_id),
                    decision.account,
                )
                heapq.heappush(events, event)
    latencies_s.sort()
    return latencies_s[int(0.99 * len(latencies_s))]


def _make_arrivals(
    rng: Random, noisy_load: float
) -> list[tuple[float, int, str, AccountId]]:
    events = []
    for account, load in ((QUIET, QUIET_LOAD), (NOISY, noisy_load)):
        now = 0.0
        while now < RUN_S:
            now += rng.expovariate(load * SLOTS / 2 / EXPECTED_DURATION_S)
            events.append((now, 0, f"{account}{len(events)}", account))
    heapq.heapify(events)
    return events
