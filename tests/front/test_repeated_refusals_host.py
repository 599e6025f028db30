"""Tests of servers that send an earlier refusal once more."""

import asyncio
from contextlib import suppress
from dataclasses import replace

import testtools

from tests.core.front.builders import server
from tests.front.base import Host
from tests.front.raw_server import (
    async_read_request,
    only_servers,
    raw_server,
    response_head,
)
from tests.helpers import async_test
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.core.base import RequestId
from waxwingarch.platform.calls import PlatformEngineClient

NOT_EXECUTED = "X-Waxwingarch-Not-Executed: 1"
REFUSALS = ("503 Busy", "429 Too Many", "421 Misdirected")
BODY = b"ok"


class RepeatingServer:
    """Refuses its first request, and again ahead of a later answer.

    The refusal has the id of its request, or none. The later request runs.
    With `answers` as False its answer never comes.
    """

    def __init__(
        self, status: str, *, has_id: bool, answers: bool = True
    ) -> None:
        self._status = status
        self._has_id = has_id
        self._answers = answers
        self.ran: list[str] = []

    async def async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of a connection."""
        first_id = await async_read_request(reader)
        refusal = response_head(
            first_id if self._has_id else None, 0, self._status, NOT_EXECUTED
        )
        writer.write(refusal)
        while True:
            request_id = await async_read_request(reader)
            self.ran.append(request_id)
            writer.write(refusal)
            await asyncio.sleep(0.2)
            if self._answers:
                writer.write(response_head(request_id, len(BODY)) + BODY)


class RefusalOnAKeptConnection(testtools.TestCase):
    # Guards against callers that are told to send a request again that the
    # server runs: an earlier refusal was taken for that of this request.
    @async_test
    async def test_is_not_taken_for_that_of_a_later_request(self) -> None:
        for status in REFUSALS:
            for has_id in (True, False):
                for path in ("/pay/x", "/read/x"):
                    repeating = RepeatingServer(status, has_id=has_id)
                    async with (
                        Host() as host,
                        only_servers(host, repeating.async_serve),
                    ):
                        first = await host.async_send(path)
                        second = await host.async_send(path)
                    note = (status, has_id, path)
                    self.assertEqual(503, first.status, note)
                    self.assertEqual(["req-2"], repeating.ran, note)
                    self.assertEqual(200, second.status, note)
                    self.assertEqual(BODY, second.body, note)

    # Guards against a second run of a request that may run once.
    @async_test
    async def test_request_does_not_run_at_a_second_server(self) -> None:
        for has_id in (True, False):
            servers = [
                RepeatingServer("503 Busy", has_id=has_id) for _ in range(2)
            ]
            async with (
                Host() as host,
                only_servers(host, *(s.async_serve for s in servers)),
            ):
                await host.async_send("/pay/x")
                for _ in range(4):
                    response = await host.async_send("/pay/x")
                    self.assertEqual(200, response.status)
            ran = [r for s in servers for r in s.ran]
            self.assertEqual(sorted(set(ran)), sorted(ran))

    @async_test
    async def test_request_without_an_answer_is_not_called_not_run(
        self,
    ) -> None:
        for has_id in (True, False):
            repeating = RepeatingServer(
                "503 Busy", has_id=has_id, answers=False
            )
            async with (
                Host() as host,
                only_servers(host, repeating.async_serve),
            ):
                await host.async_send("/pay/x")
                response = await host.async_send("/pay/x")
            self.assertEqual(["req-2"], repeating.ran)
            self.assertIn(response.status, (502, 504))


class RefusalOnANewConnection(testtools.TestCase):
    """No other request can be meant there."""

    @async_test
    async def test_counts_without_an_id(self) -> None:
        async def async_refuse(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with suppress(asyncio.IncompleteReadError):
                await async_read_request(reader)
                writer.write(response_head(None, 0, "503 Busy", NOT_EXECUTED))
                await reader.readuntil(b"\r\n\r\n")

        async with Host() as host, only_servers(host, async_refuse):
            response = await host.async_send("/pay/x")
        self.assertEqual(503, response.status)
        self.assertIn("retry-after", response.headers)


class StatusesOfServersThatRan(testtools.TestCase):
    # Guards against callers that send a request again that has run: a server
    # ran it and answered with a status that says otherwise.
    @async_test
    async def test_are_no_word_that_it_did_not_run(self) -> None:
        for status in ("503 Failed", "429 Failed", "408 Failed"):
            passed_on = int(status.partition(" ")[0])
            for path, expected in (("/pay/x", 502), ("/read/x", passed_on)):

                async def async_fail(
                    reader: asyncio.StreamReader,
                    writer: asyncio.StreamWriter,
                    status: str = status,
                ) -> None:
                    while True:
                        request_id = await async_read_request(reader)
                        writer.write(response_head(request_id, 0, status))

                async with Host() as host, only_servers(host, async_fail):
                    response = await host.async_send(path)
                self.assertEqual(expected, response.status, (status, path))


class CallsOfTheHost(testtools.TestCase):
    """Responses to calls have no id."""

    # Guards against a refusal of a request that is taken for the reply to
    # the call that moves a run.
    @async_test
    async def test_call_that_moves_a_run_has_its_own_connection(self) -> None:
        connections = 0

        async def async_serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal connections
            connections += 1
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(response_head(None, 0, "503 Busy", NOT_EXECUTED))

        client = HttpClient()
        async with raw_server(async_serve) as address:
            deadline = asyncio.get_running_loop().time() + 5.0
            for _ in range(2):
                await client.async_request(
                    "GET", address, "/", deadline=deadline
                )
            self.assertEqual(1, connections)
            source = replace(server("e1"), address=address)
            await PlatformEngineClient(client).async_migrate_run(
                source, server("e2"), RequestId("r"), deadline=deadline
            )
            self.assertEqual(2, connections)
            await client.async_unload()
