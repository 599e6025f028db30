"""Demonstrates a complete deployment on loopback.

Starts the platform, three model engines, a plain service and three
entry hosts; applies a contract, sends requests, kills an engine during a
stream, and prints the explanation and the state that the system gives.
Stops all processes that it started.
"""

import asyncio
import json
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

from standins.client import Caller, CallResult, CompletionRequest
from standins.cluster import Cluster, JsonAnswer, http_json
from standins.deployment import (
    ACCOUNT_KEY,
    OPERATOR_KEY,
    Deployment,
    contract_text,
    wait_until,
)

ENGINES: Final = 3
HOSTS: Final = 3
TOKENS_PER_S: Final = "40"
ASK_TIMEOUT_S: Final = 30.0
CTL_TIMEOUT_S: Final = 30.0
TOKENS_BEFORE_KILL: Final = 10
AUTHORIZATION: Final = {"authorization": f"Bearer {ACCOUNT_KEY}"}
DISBURSEMENT: Final = {"to": "family 17", "amount": 500_000}
APPEAL: Final = CompletionRequest(
    prompt="draft a long appeal to our donors", max_tokens=80
)


class WrongError(Exception):
    """A step had an unexpected result."""


@dataclass(kw_only=True, slots=True)
class Demo:
    """The steps of the demo, with the result and duration of each."""

    cluster: Cluster
    deployment: Deployment
    results: list[tuple[str, str, float]] = field(default_factory=list)
    failed: bool = False

    def run(self) -> bool:
        """Run the steps until one fails; return whether all succeeded."""
        steps: list[tuple[str, Callable[[], str]]] = [
            ("start a deployment", self.start),
            ("apply a contract, in force everywhere", self.apply_contract),
            ("whole answer", self.ask_unstreamed),
            ("streamed answer", self.ask_streamed),
            ("disbursement, at most once", self.send_disbursement),
            ("the same again through another host", self.repeat_disbursement),
            ("stream whose engine is killed", self.kill_engine_of_stream),
            ("explain that stream", self.explain_stream),
            ("state dump", self.show_dump),
            ("graceful stop of all hosts", self.stop_hosts),
        ]
        for name, step in steps:
            if not self._run_step(name, step):
                break
        return not self.failed

    def _run_step(self, name: str, step: Callable[[], str]) -> bool:
        print(f"\n== {name}", flush=True)
        start_s = time.monotonic()
        try:
            result = step()
        except Exception as exc:
            result = f"WRONG: {type(exc).__name__}: {exc}"
            self.failed = True
        duration_s = time.monotonic() - start_s
        print(result, flush=True)
        last = result.strip().splitlines()[-1]
        self.results.append((name, last, duration_s))
        return not self.failed

    def print_table(self) -> None:
        """Print the duration and the result of each step."""
        width = max(len(name) for name, _, _ in self.results)
        print(f"\n{'STEP'.ljust(width)}  SECONDS  RESULT")
        for name, result, duration_s in self.results:
            print(f"{name.ljust(width)}  {duration_s:7.2f}  {result}")

    # Steps

    def start(self) -> str:
        """Start the stand-ins and the entry hosts."""
        dep = self.deployment
        dep.start_platform()
        dep.start_engines(ENGINES, "--tokens-per-second", TOKENS_PER_S)
        dep.start_services(1)
        names = dep.start_hosts(HOSTS, wait=False)
        for name in names:
            self.cluster.wait_health(name, "/health/live")
        key_file = self.cluster.root / "operator.key"
        key_file.write_text(OPERATOR_KEY)
        return f"{ENGINES} engines, 1 plain service, {HOSTS} entry hosts"

    def apply_contract(self) -> str:
        """Check a contract offline, then apply it and wait for all hosts."""
        path = self.cluster.root / "charity-1.ini"
        path.write_text(contract_text())
        self.ctl("check", str(path))
        output = self.ctl("contract", "apply", str(path), "--wait")
        again = self.ctl("contract", "apply", str(path))
        _require("no change" in again, again)
        for name in self.deployment.hosts:
            self.deployment.wait_ready(name)
        self.wait_for_servers()
        return f"{again}\n{output}"

    def wait_for_servers(self) -> None:
        """Wait until each host has received the platform's server list."""

        def all_known() -> bool:
            return all(
                len(self.dump_state(name)["servers"]) == ENGINES + 1
                for name in self.deployment.hosts
            )

        wait_until(all_known, "all hosts know all servers")

    def ask_unstreamed(self) -> str:
        """Request a response that isn't streamed."""
        ask = CompletionRequest(
            prompt="who volunteers today", max_tokens=20, stream=False
        )
        return _describe(self.ask(ask, "entry-1"))

    def ask_streamed(self) -> str:
        """Request a streamed response."""
        ask = CompletionRequest(
            messages=(("user", "tag this pledge"),), max_tokens=20
        )
        return _describe(self.ask(ask, "entry-2"))

    def send_disbursement(self) -> str:
        """Send a request that must run at most once."""
        answer = self.post_disbursement("entry-2")
        _require(answer.headers.get("x-replayed") == "false", answer)
        print(json.dumps(answer.body))
        return f"ran as operation {answer.body['operation_id']}"

    def repeat_disbursement(self) -> str:
        """Repeat the request, as a caller does that lost its connection."""
        first = self.post_disbursement("entry-2")
        repeated = self.post_disbursement("entry-3")
        _require(repeated.headers.get("x-replayed") == "true", repeated)
        _require(repeated.body == first.body, repeated)
        operation = repeated.body["operation_id"]
        runs = sum(
            entry.get("op") == operation
            for entry in self.cluster.journal("ledger-1", "begun")
        )
        _require(runs == 1, f"it ran {runs} times")
        return "the same answer; by the service's own journal it ran once"

    def kill_engine_of_stream(self) -> str:
        """Kill the engine of a stream and require a complete response."""
        killed: list[str] = []

        def kill() -> None:
            wait_until(self.streaming_engine, "the stream has begun")
            killed.append(self.streaming_engine())
            self.cluster.signal(killed[0], signal.SIGKILL)

        answer = self.ask(APPEAL, "entry-1", kill)
        _require(answer.connections == 1, answer)
        return (
            f"{killed[0]} killed; {_describe(answer)}, longest gap"
            f" {answer.longest_gap_s:.2f} s, on one connection"
        )

    def explain_stream(self) -> str:
        """Print the history of that stream, with its loss and resume."""
        requests = self.dump_state("entry-1")["last_requests"]
        matches = [r for r in requests if r["losses"]]
        _require(len(matches) == 1, requests)
        output = self.ctl("explain", matches[0]["request_id"])
        _require(
            "attempt lost" in output and "resume attempt" in output, output
        )
        return f"{output}\nthe loss and the resume are told"

    def show_dump(self) -> str:
        """Print a part of a state dump, and the list of hosts."""
        raw = self.ctl("dump", "--host", "entry-1")
        state = json.loads(raw)
        excerpt = {
            name: state[name]
            for name in ("host", "ready", "revision", "accounts")
        }
        excerpt["latencies"] = state["latencies"]["by_account"]
        print(json.dumps(excerpt, indent=1))
        print(self.ctl("hosts"))
        return f"revision {state['revision']}, {state['resident_mb']} MB"

    def stop_hosts(self) -> str:
        """Stop the entry hosts one after the other."""
        codes = {
            name: self.cluster.stop(name) for name in self.deployment.hosts
        }
        _require(set(codes.values()) == {0}, codes)
        return "all ended with exit code 0"

    # Helpers

    def ctl(self, *argv: str) -> str:
        """Run waxwingctl, print the call and return its output."""
        print("$ waxwingctl", *argv, flush=True)
        addresses = [
            part
            for host in self.deployment.hosts.values()
            for part in ("--address", host.admin)
        ]
        key_file = str(self.cluster.root / "operator.key")
        options = [*addresses, "--key-file", key_file]
        result = subprocess.run(
            [sys.executable, "-m", "waxwingctl", *argv, *options],
            capture_output=True,
            text=True,
            timeout=CTL_TIMEOUT_S,
            check=False,
        )
        print(result.stderr, end="", flush=True)
        _require(result.returncode == 0, f"exit code {result.returncode}")
        return result.stdout.rstrip()

    def dump_state(self, name: str) -> Any:
        """Return the state dump of an entry host."""
        return self.deployment.admin(name, "GET", "/admin/dump").body

    def streaming_engine(self) -> str:
        """Return the engine of a stream in progress, or ""."""
        for request in self.dump_state("entry-1")["requests"]:
            if request["tokens"] >= TOKENS_BEFORE_KILL:
                return str(request["server"])
        return ""

    def post_disbursement(self, name: str) -> JsonAnswer:
        """Post a disbursement with an idempotency key to an entry host."""
        answer = http_json(
            "POST",
            self.deployment.hosts[name].http,
            "/ledger/disbursements",
            DISBURSEMENT,
            headers={**AUTHORIZATION, "idempotency-key": "disbursement-17"},
        )
        _require(answer.status == 200, answer)
        return answer

    def ask(
        self,
        ask: CompletionRequest,
        name: str,
        concurrently: Callable[[], None] | None = None,
    ) -> CallResult:
        """Send a request to one entry host and return the response.

        `concurrently` runs in a thread at the same time.
        """
        entry = self.deployment.hosts[name].http
        answer = asyncio.run(_async_ask(ask, entry, concurrently))
        _require(answer.is_correct, answer)
        return answer


async def _async_ask(
    ask: CompletionRequest, entry: str, concurrently: Callable[[], None] | None
) -> CallResult:
    caller = Caller([entry], ACCOUNT_KEY)
    deadline = asyncio.get_running_loop().time() + ASK_TIMEOUT_S
    task = asyncio.create_task(caller.async_ask(ask, deadline))
    try:
        if concurrently:
            await asyncio.to_thread(concurrently)
        return await task
    finally:
        await caller.async_unload()


def _describe(answer: CallResult) -> str:
    return (
        f"{len(answer.text.split())} tokens, whole and right, first after"
        f" {answer.first_token_s or 0:.3f} s, all after"
        f" {answer.whole_s or 0:.3f} s"
    )


def _require(condition: bool, details: object) -> None:
    if not condition:
        raise WrongError(str(details))


def main() -> int:
    """Run the demo and return the exit code."""
    with Cluster() as cluster:
        deployment = Deployment(cluster=cluster)
        demo = Demo(cluster=cluster, deployment=deployment)
        succeeded = demo.run()
    demo.print_table()
    print("\nall came out right" if succeeded else "\nNOT all came out right")
    return 0 if succeeded else 1


if __name__ == "__main__":
    sys.exit(main())
