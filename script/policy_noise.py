"""Noisy neighbour in made time: two accounts before one set of slots."""

import heapq
from random import Random

from waxwingarch.core.base import AccountId, RequestId
from waxwingarch.core.contracts.contract import Contract
from waxwingarch.core.limits.admission import Admission
from waxwingarch.core.limits.admission_messages import Admitted, PendingRequest
from waxwingarch.core.limits.fair_queue import FairQueue

SLOTS = 48
RUN_S = 120.0
EXPECTED_S = 2.0
QUIET_LOAD = 0.7
QUIET = AccountId("quiet")
NOISY = AccountId("noisy")


def wide_contract(account: AccountId) -> Contract:
    """Return a contract that only its share of capacity limits."""
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
    noise: float, seed: int, queue: FairQueue | None = None
) -> float:
    """Return the 99th percentile of the quiet account's answer times.

    Both accounts have half of the capacity; the quiet one asks for
    `QUIET_LOAD` of its half, the noisy one for `noise` times its own.
    """
    rng = Random(seed)
    adm = Admission()
    if queue is not None:
        adm._queue = queue
    adm.set_contracts(0.0, [wide_contract(QUIET), wide_contract(NOISY)])
    adm.set_capacity(SLOTS)
    events = _arrivals(rng, noise)
    arrived = {name: at for at, _, name, _ in events}
    taken: list[float] = []
    while events:
        now, kind, name, account = heapq.heappop(events)
        out: list[object] = []
        if kind == 0:
            req = PendingRequest(
                request_id=RequestId(name),
                account=account,
                expected_s=EXPECTED_S,
            )
            out.append(adm.offer(now, req))
        else:
            adm.release(now, RequestId(name))
            if account == QUIET:
                taken.append(now - arrived[name])
        adm.expire(now)
        free = SLOTS - adm.running(QUIET) - adm.running(NOISY)
        out += adm.start_waiting(now, free)
        for item in out:
            if isinstance(item, Admitted):
                ends_at = now + Random(item.request_id).uniform(1.0, 3.0)
                event = (ends_at, 1, str(item.request_id), item.account)
                heapq.heappush(events, event)
    taken.sort()
    return taken[int(0.99 * len(taken))]


def _arrivals(
    rng: Random, noise: float
) -> list[tuple[float, int, str, AccountId]]:
    events = []
    for account, load in ((QUIET, QUIET_LOAD), (NOISY, noise)):
        now = 0.0
        while now < RUN_S:
            now += rng.expovariate(load * SLOTS / 2 / EXPECTED_S)
            events.append((now, 0, f"{account}{len(events)}", account))
    heapq.heapify(events)
    return events
