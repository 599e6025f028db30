"""Moves a service to a good version under load, with real processes.

Usage: script/measure live_move [--seconds 170] [--rate 80]

Starts three entry hosts, four engines and five spare engines. Exits with
0 if the move was done in time and every response was correct.
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
SPARE_ENGINES: Final = 5
ENGINE_OPTIONS: Final = ("--tokens-per-second", "400")
TOKENS_PER_RESPONSE: Final = 40
CALLERS: Final = 24
CALL_TIMEOUT_S: Final = 20.0
LOAD_AFTER_DEADLINE_S: Final = 10.0


def start_move(dep: Deployment, duration_s: float) -> None:
    """Store the record of a move, which starts it."""
    now = time.time()
    record = plan_move(
        PacedPolicy(),
        move_id="move-1",
        service=SERVICE,
        old_version=VersionId("v1"),
        new_version=VersionId("v2"),
        created_unix=now,
        deadline_unix=now + duration_s,
    )
    dep.put_documents({f"move/{SERVICE}": json.dumps(to_json(record))})


async def async_generate_load(
    dep: Deployment, requests_per_s: float, until_unix: float
) -> list[CallResult]:
    """Send requests at a rate until a Unix time; return the answers."""
    addresses = [host.http for host in dep.hosts.values()]
    answers: list[CallResult] = []

    async def run_caller(number: int) -> None:
        first = number % len(addresses)
        client = Caller(addresses[first:] + addresses[:first], ACCOUNT_KEY)
        while (now := time.time()) < until_unix:
            ask = CompletionRequest(
                prompt=f"{number} {now}", max_tokens=TOKENS_PER_RESPONSE
            )
            deadline = asyncio.get_running_loop().time() + CALL_TIMEOUT_S
            answers.append(await client.async_ask(ask, deadline))
            await asyncio.sleep(
                max(0.0, now + CALLERS / requests_per_s - time.time())
            )
        await client.async_unload()

    async with asyncio.TaskGroup() as group:
        for number in range(CALLERS):
            group.create_task(run_caller(number))
    return answers


def watch_move(dep: Deployment, until_unix: float) -> str:
    """Print each change of the move and return its last state."""
    last_move: dict[str, Any] = {}
    while time.time() < until_unix:
        host = next(iter(dep.hosts))
        moves = dep.admin(host, "GET", "/admin/dump").body["moves"]
        if moves and moves[0]["explanation"] != last_move.get("explanation"):
            last_move = moves[0]
            print(last_move["explanation"], flush=True)
        time.sleep(1)
    return str(last_move.get("state"))


def main() -> int:
    """Run the move; return 0 if it was done and all answers were right."""
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
            SPARE_ENGINES,
            *ENGINE_OPTIONS,
            version="none",
            prefix="spare",
            state="spare",
        )
        dep.publish()
        start_move(dep, args.seconds)
        until_unix = time.time() + args.seconds + LOAD_AFTER_DEADLINE_S
        answers: list[CallResult] = []
        load = threading.Thread(
            target=lambda: answers.extend(
                asyncio.run(async_generate_load(dep, args.rate, until_unix))
            )
        )
        load.start()
        state = watch_move(dep, until_unix)
        load.join()
    right_count = sum(answer.is_correct for answer in answers)
    print(f"{state}; {right_count} of {len(answers)} answers right")
    return 0 if state == MoveState.DONE and right_count == len(answers) else 1


if __name__ == "__main__":
    raise SystemExit(main())
