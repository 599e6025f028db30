"""Counts the table transactions for claims, on simulated time.

Compares hosts that each commit their own claims with a few claim owners
that commit the claims of all hosts. Usage: python script/measure_claims.py
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
DURATION_S: Final = 20.0
SEED: Final = 7


@dataclass(order=True, frozen=True)
class _Event:
    at: float
    order: int
    kind: str
    committer: int


def measure(
    *, committers: int, claims_per_s: float, claim_linger_s: float
) -> tuple[float, float, float]:
    """Return transactions per second, rows per transaction and wait in ms."""
    rng = Random(SEED)
    batchers = [ClaimBatcher() for _ in range(committers)]
    events: list[_Event] = []
    sequence = transactions = rows = claims = 0
    total_wait_s = 0.0
    added_at: dict[str, float] = {}
    pending: dict[int, list[str]] = {}

    def schedule(at: float, kind: str, committer: int) -> None:
        nonlocal sequence
        sequence += 1
        heapq.heappush(events, _Event(at, sequence, kind, committer))

    schedule(rng.expovariate(claims_per_s), "claim", -1)
    while events and events[0].at < DURATION_S:
        event = heapq.heappop(events)
        now, committer = event.at, event.committer
        if event.kind == "claim":
            committer = rng.randrange(committers)
            schedule(now + rng.expovariate(claims_per_s), "claim", -1)
            _add_write(
                batchers[committer],
                f"claim-{event.order}",
                now,
                claim_linger_s,
            )
            added_at[f"claim-{event.order}"] = now
        elif event.kind == "record":
            _add_write(
                batchers[committer],
                f"record-{event.order}",
                now,
                RECORD_LINGER_MAX_S,
            )
        elif event.kind == "committed":
            batch = pending.pop(committer)
            versions = tuple(1 for _ in batch)
            batchers[committer].handle_result(Committed(versions=versions))
            for name in batch:
                if name in added_at:
                    claims += 1
                    total_wait_s += now - added_at.pop(name)
                    schedule(now + SERVICE_S, "record", committer)
        batch_to_commit = batchers[committer].next_batch(now)
        if batch_to_commit is not None:
            transactions += 1
            rows += len(batch_to_commit.writes)
            pending[committer] = [w.write_id for w in batch_to_commit.writes]
            schedule(now + COMMIT_S, "committed", committer)
        else:
            at = batchers[committer].next_batch_at()
            if at is not None and at > now:
                schedule(at, "wake", committer)
    wait_ms = 1000 * total_wait_s / max(1, claims)
    return transactions / DURATION_S, rows / max(1, transactions), wait_ms


def _add_write(
    batcher: ClaimBatcher, name: str, now: float, linger_s: float
) -> None:
    batcher.add(
        BatchedWrite(
            write_id=name,
            condition=Condition(table="claims", key=name, version=0),
            write=Write(table="claims", key=name, value=None),
            send_by=now + linger_s,
            give_up_at=now + DURATION_S,
        )
    )


def main() -> None:
    """Print a table of claim ratios, committers and linger times."""
    print("part  committers  linger_ms  transactions/s  rows/tx  wait_ms")
    for claim_ratio in (0.01, 0.02, 0.05, 0.1):
        for committers, linger_s in (
            (400, 0.0),
            (400, 0.05),
            (16, 0.0),
            (16, 0.05),
            (8, 0.05),
        ):
            transactions_per_s, rows_per_transaction, wait_ms = measure(
                committers=committers,
                claims_per_s=claim_ratio * REQUESTS_PER_S,
                claim_linger_s=linger_s,
            )
            print(
                f"{claim_ratio:4.2f}  {committers:10d}  {linger_s * 1000:9.0f}"
                f"  {transactions_per_s:14.0f}"
                f"  {rows_per_transaction:7.1f}  {wait_ms:7.1f}"
            )


if __name__ == "__main__":
    main()
