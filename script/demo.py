"""Shows the system at work: a whole deployment on loopback, in one go.

Starts the platform, three model engines, a plain service and three
entry hosts; applies a contract, asks, kills an engine under a stream,
and looks at what the system says of it. Stops all that it started.
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
ASK_LIMIT_S: Final = 30.0
CTL_LIMIT_S: Final = 30.0
TOKENS_BEFORE_KILL: Final = 10
AUTHORIZATION: Final = {"authorization": f"Bearer {ACCOUNT_KEY}"}
DISBURSEMENT: Final = {"to": "family 17", "amount": 500_000}
APPEAL: Final = CompletionRequest(
    prompt="draft a long appeal to our donors", max_tokens=80
)


class WrongError(Exception):
    """Something did not come out right."""


@dataclass(kw_only=True, slots=True)
class Demo:
    """The steps, and what came of each."""

    cluster: Cluster
    deployment: Deployment
    results: list[tuple[str, str, float]] = field(default_factory=list)
    failed: bool = False

    def run(self) -> bool:
        """Go through all steps; returns whether all came out right."""
        steps: list[tuple[str, Callable[[], str]]] = [
            ("start a deployment", self.start),
            ("apply a contract, in force everywhere", self.apply_contract),
            ("whole answer", self.whole_answer),
            ("streamed answer", self.streamed_answer),
            ("disbursement, at most once", self.disbursement),
            ("the same again through another host", self.disbursement_again),
            ("stream whose engine is killed", self.stream_without_engine),
            ("explain that stream", self.explain_stream),
            ("state dump", self.dump),
            ("graceful stop of all hosts", self.stop_hosts),
        ]
        for name, step in steps:
            if not self._step(name, step):
                break
        return not self.failed

    def _step(self, name: str, step: Callable[[], str]) -> bool:
        print(f"\n== {name}", flush=True)
        began = time.monotonic()
        try:
            result = step()
        except Exception as exc:
            result = f"WRONG: {type(exc).__name__}: {exc}"
            self.failed = True
        took_s = time.monotonic() - began
        print(result, flush=True)
        last = result.strip().splitlines()[-1]
        self.results.append((name, last, took_s))
        return not self.failed

    def print_table(self) -> None:
        """Print what came of each step."""
        width = max(len(name) for name, _, _ in self.results)
        print(f"\n{'STEP'.ljust(width)}  SECONDS  RESULT")
        for name, result, took_s in self.results:
            print(f"{name.ljust(width)}  {took_s:7.2f}  {result}")

    # Steps

    def start(self) -> str:
        """Start stand-ins and entry hosts."""
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
        """Check a contract offline, then put it in force."""
        path = self.cluster.root / "charity-1.ini"
        path.write_text(contract_text())
        self.ctl("check", str(path))
        told = self.ctl("contract", "apply", str(path), "--wait")
        again = self.ctl("contract", "apply", str(path))
        _require("no change" in again, again)
        for name in self.deployment.hosts:
            self.deployment.wait_ready(name)
        self.wait_for_servers()
        return f"{again}\n{told}"

    def wait_for_servers(self) -> None:
        """Wait until each host has the platform's list of servers."""

        def known() -> bool:
            return all(
                len(self.state_of(name)["servers"]) == ENGINES + 1
                for name in self.deployment.hosts
            )

        wait_until(known, "all hosts know all servers")

    def whole_answer(self) -> str:
        """Ask for an answer in one piece."""
        ask = CompletionRequest(
            prompt="who volunteers today", max_tokens=20, stream=False
        )
        return _told(self.ask(ask, "entry-1"))

    def streamed_answer(self) -> str:
        """Ask for a stream."""
        ask = CompletionRequest(
            messages=(("user", "tag this pledge"),), max_tokens=20
        )
        return _told(self.ask(ask, "entry-2"))

    def disbursement(self) -> str:
        """Send a request that may not be repeated."""
        answer = self.disburse("entry-2")
        _require(answer.headers.get("x-replayed") == "false", answer)
        print(json.dumps(answer.body))
        return f"ran as operation {answer.body['operation_id']}"

    def disbursement_again(self) -> str:
        """Send it again, as a caller whose connection was lost does."""
        first = self.disburse("entry-2")
        again = self.disburse("entry-3")
        _require(again.headers.get("x-replayed") == "true", again)
        _require(again.body == first.body, again)
        operation = again.body["operation_id"]
        runs = sum(
            entry.get("op") == operation
            for entry in self.cluster.journal("ledger-1", "begun")
        )
        _require(runs == 1, f"it ran {runs} times")
        return "the same answer; by the service's own journal it ran once"

    def stream_without_engine(self) -> str:
        """Kill the engine under a stream; the answer stays whole."""
        killed: list[str] = []

        def kill() -> None:
            wait_until(self.busy_engine, "the stream has begun")
            killed.append(self.busy_engine())
            self.cluster.signal(killed[0], signal.SIGKILL)

        answer = self.ask(APPEAL, "entry-1", kill)
        _require(answer.connections == 1, answer)
        return (
            f"{killed[0]} killed; {_told(answer)}, longest gap"
            f" {answer.longest_gap_s:.2f} s, on one connection"
        )

    def explain_stream(self) -> str:
        """Let the system explain what became of that stream."""
        requests = self.state_of("entry-1")["last_requests"]
        hit = [r for r in requests if r["losses"]]
        _require(len(hit) == 1, requests)
        told = self.ctl("explain", hit[0]["request_id"])
        _require("attempt lost" in told and "resume attempt" in told, told)
        return f"{told}\nthe loss and the resume are told"

    def dump(self) -> str:
        """Show a part of a state dump."""
        raw = self.ctl("dump", "--host", "entry-1")
        state = json.loads(raw)
        shown = {
            name: state[name]
            for name in ("host", "ready", "revision", "accounts")
        }
        shown["latencies"] = state["latencies"]["by_account"]
        print(json.dumps(shown, indent=1))
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
        """Run waxwingctl, show the call and return what it printed."""
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
            timeout=CTL_LIMIT_S,
            check=False,
        )
        print(result.stderr, end="", flush=True)
        _require(result.returncode == 0, f"exit code {result.returncode}")
        return result.stdout.rstrip()

    def state_of(self, name: str) -> Any:
        """Return the state dump of an entry host."""
        return self.deployment.admin(name, "GET", "/admin/dump").body

    def busy_engine(self) -> str:
        """Return the engine of a stream that is under way, or ""."""
        for request in self.state_of("entry-1")["requests"]:
            if request["tokens"] >= TOKENS_BEFORE_KILL:
                return str(request["server"])
        return ""

    def disburse(self, name: str) -> JsonAnswer:
        """Record a disbursement through an entry host."""
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
        during: Callable[[], None] | None = None,
    ) -> CallResult:
        """Ask through one entry host; `during` runs meanwhile."""
        entry = self.deployment.hosts[name].http
        answer = asyncio.run(_async_ask(ask, entry, during))
        _require(answer.is_correct, answer)
        return answer


async def _async_ask(
    ask: CompletionRequest, entry: str, during: Callable[[], None] | None
) -> CallResult:
    caller = Caller([entry], ACCOUNT_KEY)
    deadline = asyncio.get_running_loop().time() + ASK_LIMIT_S
    task = asyncio.create_task(caller.async_ask(ask, deadline))
    try:
        if during:
            await asyncio.to_thread(during)
        return await task
    finally:
        await caller.async_unload()


def _told(answer: CallResult) -> str:
    return (
        f"{len(answer.text.split())} tokens, whole and right, first after"
        f" {answer.first_token_s or 0:.3f} s, all after"
        f" {answer.whole_s or 0:.3f} s"
    )


def _require(condition: bool, seen: object) -> None:
    if not condition:
        raise WrongError(str(seen))


def main() -> int:
    """Run the demo; returns the exit code."""
    with Cluster() as cluster:
        deployment = Deployment(cluster=cluster)
        demo = Demo(cluster=cluster, deployment=deployment)
        right = demo.run()
    demo.print_table()
    print("\nall came out right" if right else "\nNOT all came out right")
    return 0 if right else 1


if __name__ == "__main__":
    sys.exit(main())
