"""Base class of the failure tests: a deployment and callers of it."""

import asyncio
from typing import Any

import testtools

from standins.client import Caller, CallResult, CompletionRequest
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
# The deadline that a request states in its header.
REQUEST_DEADLINE_S = 10.0
MS_PER_S = 1000


class FaultCase(testtools.TestCase):
    """A test with its own deployment, which is stopped after the test."""

    engine_count = 2
    engine_options: tuple[str, ...] = ("--tokens-per-second", "40")
    service_count = 1
    service_options: tuple[str, ...] = ()
    host_count = 2
    platform_options: tuple[str, ...] = ()

    def setUp(self) -> None:
        super().setUp()
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)
        self.dep = Deployment(cluster=self.cluster)
        self.dep.start_platform(*self.platform_options)
        if self.engine_count:
            self.dep.start_engines(self.engine_count, *self.engine_options)
        if self.service_count:
            self.dep.start_services(self.service_count, *self.service_options)
        self.dep.put_contracts(contract_text())
        self.dep.start_hosts(self.host_count)

    def http_address(self, name: str) -> str:
        """Return the address at which an entry host serves callers."""
        return self.dep.hosts[name].http

    def post(
        self, host: str, path: str, body: object, key: str = ""
    ) -> JsonAnswer:
        """Send one request through an entry host.

        The caller waits for longer than the deadline that it states, so
        that it still reads a late response.
        """
        headers = {
            **AUTHORIZATION,
            HEADER_DEADLINE_MS: str(int(REQUEST_DEADLINE_S * MS_PER_S)),
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

    def count_runs_of(self, op: str) -> int:
        """Count the runs of an operation in the journals of the services."""
        return sum(
            entry.get("op") == op
            for name, row in self.dep.servers.items()
            if row["kind"] == "plain"
            for entry in self.cluster.journal(name, "begun")
        )

    def ask_all(
        self,
        asks: list[CompletionRequest],
        entries: list[str],
        during: Any = None,
    ) -> list[CallResult]:
        """Send requests concurrently, each from a caller of its own.

        `during` runs in a thread while the requests are in progress.
        """

        async def async_ask_all() -> list[CallResult]:
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

        return asyncio.run(
            asyncio.wait_for(async_ask_all(), ASYNC_TEST_LIMIT_S)
        )

    def wait_for_stream(self, host: str) -> str:
        """Wait for a stream in progress and return the name of its engine."""
        engine_names: list[str] = []

        def is_stream_in_progress() -> bool:
            dump = self.dep.admin(host, "GET", "/admin/dump").body
            engine_names.extend(
                request["server"]
                for request in dump["requests"]
                if request["tokens"] > 5
            )
            return bool(engine_names)

        wait_until(is_stream_in_progress, "a stream is in progress")
        return engine_names[0]

    def engine_journal(self, kind: str) -> list[Any]:
        """Return the journal entries of one kind of all running engines."""
        return [
            entry
            for name, row in self.dep.servers.items()
            if row["kind"] == "engine" and self.cluster.alive(name)
            for entry in self.cluster.journal(name, kind)
        ]
