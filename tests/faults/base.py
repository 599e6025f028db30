"""What the failure tests share: a deployment and callers on it."""

import asyncio
from typing import Any

import testtools

from standins.client import Answer, Ask, Caller
from standins.cluster import Cluster, JsonAnswer, http_json
from standins.deployment import (
    ACCOUNT_KEY,
    Deployment,
    contract_text,
    wait_until,
)
from tests.helpers import ASYNC_TEST_LIMIT_S
from waxwingarch.const import HEADER_DEADLINE_MS

AUTHORIZATION = {"authorization": f"Bearer {ACCOUNT_KEY}"}
CALL_LIMIT_S = 30.0
# The answer to a request is due within this time.
ALLOWED_S = 10.0
MS_PER_S = 1000


class FaultCase(testtools.TestCase):
    """Starts a deployment for a test and ends it after."""

    engine_count = 2
    engine_options: tuple[str, ...] = ("--tokens-per-second", "40")
    service_count = 1
    service_options: tuple[str, ...] = ()
    host_count = 2

    def setUp(self) -> None:
        super().setUp()
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)
        self.dep = Deployment(cluster=self.cluster)
        self.dep.start_platform()
        if self.engine_count:
            self.dep.start_engines(self.engine_count, *self.engine_options)
        if self.service_count:
            self.dep.start_services(self.service_count, *self.service_options)
        self.dep.put_contracts(contract_text())
        self.dep.start_hosts(self.host_count)

    def http_address(self, name: str) -> str:
        """Return the callers' address of an entry host."""
        return self.dep.hosts[name].http

    def post(
        self, host: str, path: str, body: object, key: str = ""
    ) -> JsonAnswer:
        """Send one request through an entry host.

        The caller listens for longer than the time that it allows.
        """
        headers = {
            **AUTHORIZATION,
            HEADER_DEADLINE_MS: str(int(ALLOWED_S * MS_PER_S)),
        }
        if key:
            headers["idempotency-key"] = key
        return http_json(
            "POST",
            self.http_address(host),
            path,
            body,
            timeout_s=CALL_LIMIT_S,
            headers=headers,
        )

    def runs_of(self, op: str) -> int:
        """Return how often an operation ran, by the services' journals."""
        return sum(
            entry.get("op") == op
            for name, row in self.dep.servers.items()
            if row["kind"] == "plain"
            for entry in self.cluster.journal(name, "begun")
        )

    def ask_all(
        self, asks: list[Ask], entries: list[str], during: Any = None
    ) -> list[Answer]:
        """Ask side by side; `during` runs meanwhile in a thread."""

        async def run() -> list[Answer]:
            loop = asyncio.get_running_loop()
            deadline = loop.time() + CALL_LIMIT_S
            callers = [Caller(entries, ACCOUNT_KEY) for _ in asks]
            calls = [
                caller.async_ask(ask, deadline)
                for caller, ask in zip(callers, asks, strict=True)
            ]
            tasks = [asyncio.create_task(call) for call in calls]
            if during:
                await asyncio.to_thread(during)
            answers = await asyncio.gather(*tasks)
            for caller in callers:
                await caller.async_unload()
            return list(answers)

        return asyncio.run(asyncio.wait_for(run(), ASYNC_TEST_LIMIT_S))

    def wait_for_tokens(self, host: str) -> str:
        """Wait for a stream in progress; return the engine it is on."""
        found: list[str] = []

        def running() -> bool:
            dump = self.dep.admin(host, "GET", "/admin/dump").body
            found.extend(
                request["server"]
                for request in dump["requests"]
                if request["tokens"] > 5
            )
            return bool(found)

        wait_until(running, "a stream is in progress")
        return found[0]

    def journal_of_engines(self, what: str) -> list[Any]:
        """Return the entries of all engines that still run."""
        return [
            entry
            for name, row in self.dep.servers.items()
            if row["kind"] == "engine" and self.cluster.alive(name)
            for entry in self.cluster.journal(name, what)
        ]
