"""Moves a service to a good version on real processes, under load.

Usage: script/measure live_move [--seconds 170] [--rate 80]

Three entry hosts, four engines and five spare ones. Ends with 0 if the
move was done in time and every answer was right.
"""

import argparse
import asyncio
import json
import threading
import time
from typing import Any, Final

from standins.client import Caller, CallResult, CompletionRequest
from standins.cluster import Cluster
from standins.deployment import ACCOUNT_KEY, Deployment, contract_text
from waxwingarch.core.base import ServiceId, VersionId
from waxwingarch.core.moves.move import plan_move
from waxwingarch.core.moves.move_policy import PacedPolicy
from waxwingarch.core.moves.move_record import MoveState, to_json

SERVICE: Final = ServiceId("waxwing-pool")
HOSTS: Final = 3
ENGINES: Final = 4
SPARES: Final = 5
ENGINE_OPTIONS: Final = ("--tokens-per-second", "400")
TOKENS: Final = 40
CALLERS: Final = 24
CALL_LIMIT_S: Final = 20.0
AFTER_S: Final = 10.0


def start_move(dep: Deployment, seconds: float) -> None:
    """Ask for the move."""
    now = time.time()
    record = plan_move(
        PacedPolicy(),
        move_id="move-1",
        service=SERVICE,
        old_version=VersionId("v1"),
        new_version=VersionId("v2"),
        created_unix=now,
        deadline_unix=now + seconds,
    )
    dep.put_documents({f"move/{SERVICE}": json.dumps(to_json(record))})


async def async_call(
    dep: Deployment, rate: float, until: float
) -> list[CallResult]:
    """Call at a rate until a Unix time; returns the answers."""
    entries = [host.http for host in dep.hosts.values()]
    answers: list[CallResult] = []

    async def caller(number: int) -> None:
        first = number % len(entries)
        client = Caller(entries[first:] + entries[:first], ACCOUNT_KEY)
        while (now := time.time()) < until:
            ask = CompletionRequest(
                prompt=f"{number} {now}", max_tokens=TOKENS
            )
            deadline = asyncio.get_running_loop().time() + CALL_LIMIT_S
            answers.append(await client.async_ask(ask, deadline))
            await asyncio.sleep(max(0.0, now + CALLERS / rate - time.time()))
        await client.async_unload()

    async with asyncio.TaskGroup() as group:
        for number in range(CALLERS):
            group.create_task(caller(number))
    return answers


def watch(dep: Deployment, until: float) -> str:
    """Print each change of the move; returns its last state."""
    last: dict[str, Any] = {}
    while time.time() < until:
        host = next(iter(dep.hosts))
        moves = dep.admin(host, "GET", "/admin/dump").body["moves"]
        if moves and moves[0]["explanation"] != last.get("explanation"):
            last = moves[0]
            print(last["explanation"], flush=True)
        time.sleep(1)
    return str(last.get("state"))


def main() -> int:
    """Run the move; 0 if it was done and all answers were right."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=170.0)
    parser.add_argument("--rate", type=float, default=80.0)
    args = parser.parse_args()
    with Cluster() as cluster:
        dep = Deployment(cluster=cluster)
        dep.start_platform()
        dep.start_engines(ENGINES, *ENGINE_OPTIONS)
        dep.put_contracts(contract_text())
        dep.start_hosts(HOSTS)
        dep.start_engines(
            SPARES,
            *ENGINE_OPTIONS,
            version="none",
            prefix="spare",
            state="spare",
        )
        dep.publish()
        start_move(dep, args.seconds)
        until = time.time() + args.seconds + AFTER_S
        answers: list[CallResult] = []
        load = threading.Thread(
            target=lambda: answers.extend(
                asyncio.run(async_call(dep, args.rate, until))
            )
        )
        load.start()
        state = watch(dep, until)
        load.join()
    right = sum(answer.is_correct for answer in answers)
    print(f"{state}; {right} of {len(answers)} answers right")
    return 0 if state == MoveState.DONE and right == len(answers) else 1


if __name__ == "__main__":
    raise SystemExit(main())
