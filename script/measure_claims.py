"""Counts table transactions for claims, on made time.

Compares hosts that commit on their own with a few claim owners that
commit for all. Usage: python script/measure_claims.py
"""

import heapq
from dataclasses import dataclass
from random import Random
from typing import Final

from waxwingarch.core.once.claim_batch import (
    RECORD_LINGER_MAX_S,
    BatchedWrite,
    ClaimBatcher,
)
from waxwingarch.core.settings.rows import Committed, Condition, Write

REQUESTS_PER_S: Final = 11_000
COMMIT_S: Final = 0.02
SERVICE_S: Final = 0.2
LENGTH_S: Final = 20.0
SEED: Final = 7


@dataclass(order=True, frozen=True)
class _Due:
    at: float
    order: int
    kind: str
    committer: int


def measure(
    *, committers: int, claims_per_s: float, claim_linger_s: float
) -> tuple[float, float, float]:
    """Return transactions a second, rows a transaction, wait in ms."""
    random = Random(SEED)
    batchers = [ClaimBatcher() for _ in range(committers)]
    due: list[_Due] = []
    count = transactions = rows = claims = 0
    waited = 0.0
    added: dict[str, float] = {}
    pending: dict[int, list[str]] = {}

    def push(at: float, kind: str, committer: int) -> None:
        nonlocal count
        count += 1
        heapq.heappush(due, _Due(at, count, kind, committer))

    push(random.expovariate(claims_per_s), "claim", -1)
    while due and due[0].at < LENGTH_S:
        item = heapq.heappop(due)
        now, who = item.at, item.committer
        if item.kind == "claim":
            who = random.randrange(committers)
            push(now + random.expovariate(claims_per_s), "claim", -1)
            _add(batchers[who], f"claim-{item.order}", now, claim_linger_s)
            added[f"claim-{item.order}"] = now
        elif item.kind == "record":
            _add(
                batchers[who], f"record-{item.order}", now, RECORD_LINGER_MAX_S
            )
        elif item.kind == "committed":
            batch = pending.pop(who)
            versions = tuple(1 for _ in batch)
            batchers[who].handle_result(Committed(versions=versions))
            for name in batch:
                if name in added:
                    claims += 1
                    waited += now - added.pop(name)
                    push(now + SERVICE_S, "record", who)
        found = batchers[who].next_batch(now)
        if found is not None:
            transactions += 1
            rows += len(found.writes)
            pending[who] = [w.write_id for w in found.writes]
            push(now + COMMIT_S, "committed", who)
        else:
            at = batchers[who].next_batch_at()
            if at is not None and at > now:
                push(at, "wake", who)
    wait_ms = 1000 * waited / max(1, claims)
    return transactions / LENGTH_S, rows / max(1, transactions), wait_ms


def _add(
    batcher: ClaimBatcher, name: str, now: float, linger_s: float
) -> None:
    batcher.add(
        BatchedWrite(
            write_id=name,
            condition=Condition(table="claims", key=name, version=0),
            write=Write(table="claims", key=name, value=None),
            send_by=now + linger_s,
            give_up_at=now + LENGTH_S,
        )
    )


def main() -> None:
    """Print a table of the ways."""
    print("part  committers  linger_ms  transactions/s  rows/tx  wait_ms")
    for part in (0.01, 0.02, 0.05, 0.1):
        for committers, linger_s in (
            (400, 0.0),
            (400, 0.05),
            (16, 0.0),
            (16, 0.05),
            (8, 0.05),
        ):
            rate, size, wait_ms = measure(
                committers=committers,
                claims_per_s=part * REQUESTS_PER_S,
                claim_linger_s=linger_s,
            )
            print(
                f"{part:4.2f}  {committers:10d}  {linger_s * 1000:9.0f}"
                f"  {rate:14.0f}  {size:7.1f}  {wait_ms:7.1f}"
            )


if __name__ == "__main__":
    main()
