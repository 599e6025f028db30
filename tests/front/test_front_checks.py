"""Tests of the checks of silent servers."""

import asyncio
import errno
import time

import testtools

from standins.fleet_store import LISTEN_IP
from standins.ports import free_port
from standins.soak.link import Link, LinkFault
from tests.core.front.builders import server, serving_front
from tests.helpers import async_test
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.http_connection import ConnectFailedError
from waxwingarch.core.backends.server_checks import (
    CheckResult,
    CheckServer,
    ServerChecked,
)
from waxwingarch.core.base import Event
from waxwingarch.tasks.front_checks import FrontChecks
from waxwingarch.tasks.runner import Runner


class RecordingRunner(Runner):
    """A runner that keeps the results of checks."""

    def __init__(self) -> None:
        super().__init__(serving_front())
        self.results: list[CheckResult] = []

    def post(self, event: Event) -> None:
        assert isinstance(event, ServerChecked)
        self.results.append(event.result)


class FailingClient(HttpClient):
    """A client that can open no connection, for a given reason."""

    def __init__(self, cause: OSError, blocks_s: float = 0.0) -> None:
        super().__init__()
        self._cause = cause
        self._blocks_s = blocks_s

    async def async_check(self, address: str, deadline: float) -> None:
        await asyncio.sleep(deadline - asyncio.get_running_loop().time())
        time.sleep(self._blocks_s)  # noqa: ASYNC251
        raise ConnectFailedError(address) from self._cause


async def async_result(client: HttpClient, address: str) -> CheckResult:
    """Return the result of one check of an address."""
    runner = RecordingRunner()
    checks = FrontChecks(runner, client)
    target = server("e1")
    object.__setattr__(target, "address", address)
    try:
        await checks._async_check(CheckServer(server=target))
    finally:
        await checks.async_unload()
        await client.async_unload()
    [result] = runner.results
    return result


class FrontChecksTest(testtools.TestCase):
    """What a host can see of a server by a second connection."""

    @async_test
    async def test_what_an_address_shows(self) -> None:
        closed = f"{LISTEN_IP}:{free_port()}"
        self.assertEqual(
            CheckResult.REFUSED, await async_result(HttpClient(), closed)
        )
        link = Link(closed)
        await link.async_setup()
        try:
            self.assertEqual(
                CheckResult.TAKEN,
                await async_result(HttpClient(), link.address),
            )
            link.fault = LinkFault.SILENT
            self.assertEqual(
                CheckResult.NO_ANSWER,
                await async_result(HttpClient(), link.address),
            )
        finally:
            await link.async_unload()

    # Guards against streams that leave sound servers because their own host
    # was frozen, or had no processor time, during a check.
    @async_test
    async def test_own_sleep_is_no_evidence(self) -> None:
        for blocks_s, result in (
            (0.0, CheckResult.NO_ANSWER),
            (0.5, CheckResult.FAILED),
        ):
            client = FailingClient(TimeoutError(), blocks_s)
            self.assertEqual(result, await async_result(client, "a:1"))

    @async_test
    async def test_own_error_is_no_evidence(self) -> None:
        client = FailingClient(OSError(errno.EMFILE, "too many open files"))
        self.assertEqual(CheckResult.FAILED, await async_result(client, "a:1"))
