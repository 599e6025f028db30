"""Tests that a host ends each answer in full, or refuses the request."""

import asyncio
from base64 import b64encode
from unittest.mock import AsyncMock, patch

import orjson
import testtools

from standins.fleet_server import FleetServer, Run
from standins.soak.link import LinkFault
from tests.front.base import Host, async_until, event_ids
from tests.helpers import async_test
from waxwingarch.adapters.http_connection import HttpResponse
from waxwingarch.exceptions import LinkError

# Longer than a host waits for a silent server that another can replace.
SILENCE_S = 2.0
SLOW_REQUESTS = 20
MAX_RUNS_PER_REQUEST = 1.2
# Longer than callers wait for an event.
SLOW_EVENT_S = 2.2
# How long a sound server may send nothing, and its pause before that.
SOUND_SILENCE_S = 1.3
PAUSE_BEFORE_SILENCE_S = 0.3
# How long a run may go on at a server after another has continued it.
MAX_OVERLAP_S = 0.4
EVENT_PAUSE_S = 0.05
# Longer than a host waits for the copy of a run that can go on without it.
MOVE_DELAY_S = 1.5


class SilentServers(testtools.TestCase):
    """A server sends nothing for a while in a response and then goes on."""

    async def async_send_past_silence(
        self, host: Host, path: str, servers: list[FleetServer]
    ) -> HttpResponse:
        """Send a request whose servers are silent after two events."""
        for server in servers:
            server.behaviour.event_s = EVENT_PAUSE_S
        request = asyncio.create_task(host.async_send(path))
        await _async_begun_run(host)
        await asyncio.gather(
            *(server.async_fall_silent(SILENCE_S) for server in servers)
        )
        return await request

    # The host closed the caller's connection in the middle of the answer.
    @async_test
    async def test_stream_that_cannot_be_resumed_is_not_cut(self) -> None:
        async with Host() as host:
            request = asyncio.create_task(
                self.async_send_past_silence(
                    host, "/chat/x", host.fleet.engines()
                )
            )
            await _async_begun_run(host)
            host.fleet.config.version = 2
            host.fleet.put_config()
            response = await request
            self.assertEqual([1, 2, 3, 4, 5], event_ids(response.body))
            self.assertEqual(2, host.front.table.version)

    # The host gave up the only server, and then had none to resume at.
    @async_test
    async def test_stream_is_not_cut_without_another_server(self) -> None:
        async with Host() as host:
            used, other = host.fleet.engines()
            host.fleet.register(other, "draining")
            await async_until(
                lambda: _usable_engines(host) == 1, "one server is left"
            )
            response = await self.async_send_past_silence(
                host, "/draft/x", [used]
            )
            self.assertEqual([1, 2, 3, 4, 5], event_ids(response.body))

    # A lost server must not hold a stream that another can continue.
    @async_test
    async def test_resumable_stream_goes_on_at_another_server(self) -> None:
        async with Host() as host:
            links = await host.async_add_links()
            for server in host.fleet.engines():
                server.behaviour.event_s = EVENT_PAUSE_S
            request = asyncio.create_task(host.async_send("/draft/x"))
            run = await _async_begun_run(host)
            lost = _server_of(host, run)
            links[lost.server_id].fault = LinkFault.SILENT
            lost.behaviour.event_s = 60.0
            response = await request
            self.assertEqual([1, 2, 3, 4, 5], event_ids(response.body))
            self.assertEqual(2, len(host.fleet.runs))

    # The stream ran at two servers: the silent one was alive.
    @async_test
    async def test_resumable_stream_stays_with_a_slow_server(self) -> None:
        async with Host() as host:
            await host.async_change_config(stream_timeout_ms=15_000)
            for server in host.fleet.engines():
                server.behaviour.event_s = EVENT_PAUSE_S
            request = asyncio.create_task(
                host.async_send("/draft/x", deadline_ms=15_000)
            )
            run = await _async_begun_run(host)
            _server_of(host, run).behaviour.event_s = SLOW_EVENT_S
            response = await request
            self.assertEqual([1, 2, 3, 4, 5], event_ids(response.body))
            self.assertEqual(1, len(host.fleet.runs))

    # The host gave up a silent server for one that had just crashed, and cut
    # the answer when that one refused the connection.
    @async_test
    async def test_stream_is_not_cut_if_the_next_server_has_crashed(
        self,
    ) -> None:
        async with Host() as host:
            for server in host.fleet.engines():
                server.behaviour.event_s = EVENT_PAUSE_S
            request = asyncio.create_task(host.async_send("/draft/x"))
            used = _server_of(host, await _async_begun_run(host))
            [other] = [s for s in host.fleet.engines() if s is not used]
            silence = asyncio.create_task(used.async_fall_silent(SILENCE_S))
            await other.async_unload()
            response = await request
            await silence
            self.assertEqual([1, 2, 3, 4, 5], event_ids(response.body))


class SilenceOfSoundServers(testtools.TestCase):
    """A sound server sends nothing for a second or so, and then goes on."""

    async def async_send_in_silence(
        self, host: Host, path: str, *, begun: bool
    ) -> HttpResponse:
        """Send a request whose server falls silent, begun or not.

        The server had not sent an event for a while.
        """
        for server in host.fleet.engines():
            server.behaviour.event_s = PAUSE_BEFORE_SILENCE_S
        request = asyncio.create_task(host.async_send(path))
        await async_until(lambda: host.fleet.runs, "it runs")
        [run] = host.fleet.runs
        if begun:
            await async_until(lambda: run.events == 2, "events came")
        # The pause before the next event is nearly over.
        await asyncio.sleep(PAUSE_BEFORE_SILENCE_S - 0.05)
        await _server_of(host, run).async_fall_silent(SOUND_SILENCE_S)
        return await request

    def assert_not_twice(self, runs: list[Run]) -> None:
        for run in runs:
            for later in runs:
                if later.began_at > run.began_at:
                    overlap_s = run.ended_at - later.began_at
                    self.assertLess(overlap_s, MAX_OVERLAP_S)

    # The stream was continued elsewhere while its server still had the run.
    @async_test
    async def test_stream_does_not_run_at_two_servers(self) -> None:
        for begun in (True, False):
            async with Host() as host:
                response = await self.async_send_in_silence(
                    host, "/draft/x", begun=begun
                )
                self.assertEqual([1, 2, 3, 4, 5], event_ids(response.body))
                self.assert_not_twice(host.fleet.runs)

    # The host left the server and then found no room elsewhere, so that it
    # closed the caller's connection in the middle of the answer.
    @async_test
    async def test_stream_is_not_cut_where_the_others_are_full(self) -> None:
        async with Host() as host:
            for server in host.fleet.engines():
                server.behaviour.how = "shed"

            async def async_be_full() -> None:
                await async_until(lambda: host.fleet.runs, "it runs")
                for server in host.fleet.engines():
                    server.behaviour.count = 10

            full = asyncio.create_task(async_be_full())
            response = await self.async_send_in_silence(
                host, "/draft/x", begun=True
            )
            await full
            self.assertEqual([1, 2, 3, 4, 5], event_ids(response.body))

    # New requests must not wait at a server because its streams do.
    @async_test
    async def test_silent_server_gets_no_new_streams(self) -> None:
        async with Host() as host:
            for server in host.fleet.engines():
                server.behaviour.event_s = EVENT_PAUSE_S
                server.behaviour.events = 40
            calls = [
                asyncio.create_task(host.async_send("/draft/x"))
                for _ in range(6)
            ]
            silent = _server_of(host, await _async_begun_run(host))
            await async_until(
                lambda: (
                    [r.server_id for r in host.fleet.runs if r.events].count(
                        silent.server_id
                    )
                    > 1
                ),
                "the server has two streams",
            )
            silence = asyncio.create_task(silent.async_fall_silent(1.5))
            await async_until(
                lambda: host.front.load_balancer.health.is_avoided(
                    asyncio.get_running_loop().time(), silent.server_id
                ),
                "the server is avoided",
            )
            self.assertFalse(silence.done())
            known = len(silent.arrivals)
            calls += [
                asyncio.create_task(host.async_send("/draft/x"))
                for _ in range(8)
            ]
            await silence
            self.assertEqual(known, len(silent.arrivals))
            for response in await asyncio.gather(*calls):
                self.assertEqual(list(range(1, 41)), event_ids(response.body))


class ReplacedConfigurations(testtools.TestCase):
    """A new configuration is applied beside requests in progress."""

    # A request that was admitted must not end with its route or key.
    @async_test
    async def test_requests_in_progress_outlive_their_configuration(
        self,
    ) -> None:
        for path, body in (
            ("/chat/x", b"id: 5"),
            ("/draft/x", b"id: 5"),
            ("/read/x", b'{"echo":0}'),
            ("/pay/x", b'{"echo":0}'),
        ):
            async with Host() as host:
                for server in host.fleet.servers:
                    server.behaviour.event_s = 0.1
                    server.behaviour.work_s = 0.5
                request = asyncio.create_task(host.async_send(path))
                await async_until(lambda: host.fleet.runs, "it runs")
                empty = {"version": 2, "routes": [], "services": []}
                value = b64encode(orjson.dumps(empty)).decode()
                host.fleet.store.put("op", "config", value)
                await async_until(
                    lambda: host.front.table.version == 2,
                    "the configuration is applied",
                )
                self.assertFalse(request.done())
                response = await request
                self.assertEqual(200, response.status, path)
                self.assertIn(body, response.body)


class SilentBeforeTheResponse(testtools.TestCase):
    """All servers of a service are silent before their first byte."""

    # The host answered 502 in the place of sound servers.
    @async_test
    async def test_request_waits_where_no_server_is_left_to_try(self) -> None:
        async with Host() as host:
            await host.async_change_config(plain_timeout_ms=5000)
            for path, servers in (
                ("/read/x", host.fleet.plain()),
                ("/draft/x", host.fleet.engines()),
            ):
                request = asyncio.create_task(host.async_send(path))
                silences = (s.async_fall_silent(3.0) for s in servers)
                await asyncio.gather(*silences)
                response = await request
                self.assertEqual(200, response.status, path)

    # The host took sound servers that were slow for lost ones, ran requests
    # twice and answered 502.
    @async_test
    async def test_slow_service_is_not_refused(self) -> None:
        async with Host() as host:
            await host.async_change_config(plain_timeout_ms=10_000)
            for work_s in (1.0, 3.0):
                for server in host.fleet.plain():
                    server.behaviour.work_s = work_s
                host.fleet.runs.clear()
                responses = await asyncio.gather(
                    *(
                        host.async_send("/read/x", deadline_ms=10_000)
                        for _ in range(SLOW_REQUESTS)
                    )
                )
                statuses = [response.status for response in responses]
                self.assertEqual([200] * SLOW_REQUESTS, statuses)
                self.assertLessEqual(
                    len(host.fleet.runs), MAX_RUNS_PER_REQUEST * SLOW_REQUESTS
                )


class MovedRuns(testtools.TestCase):
    """A run whose server leaves is moved while that server is silent."""

    async def async_send_and_move(
        self, host: Host, path: str = "/chat/x", **behaviour: object
    ) -> HttpResponse:
        """Send a request whose server leaves in the middle of its run."""
        for server in host.fleet.engines():
            server.behaviour.event_s = 0.3
            server.behaviour.events = 10
            for name, value in behaviour.items():
                setattr(server.behaviour, name, value)
        request = asyncio.create_task(host.async_send(path))
        run = await _async_begun_run(host)
        host.fleet.register(_server_of(host, run), "draining")
        return await request

    # The call was given up after a second; the run was stopped and lost.
    @async_test
    async def test_slow_move_call_does_not_lose_the_run(self) -> None:
        async with Host() as host:
            response = await self.async_send_and_move(
                host, move_delay_s=MOVE_DELAY_S
            )
            self.assertEqual(list(range(1, 11)), event_ids(response.body))
            self.assertEqual(2, len(host.fleet.runs))

    # The host never decided what follows, and the caller got no end.
    @async_test
    async def test_invalid_reply_to_the_move_call_ends_the_answer(
        self,
    ) -> None:
        for reply in (b"{}", b"not json"):
            async with Host() as host:
                response = await self.async_send_and_move(
                    host, "/draft/x", move_reply=reply
                )
                self.assertEqual(list(range(1, 11)), event_ids(response.body))

    # The answer looked complete, as its connection ended after an event.
    @async_test
    async def test_answer_without_a_length_goes_on_after_the_move(
        self,
    ) -> None:
        for path, delay_s in (("/chat/x", 0.0), ("/chat/x", 0.5)):
            async with Host() as host:
                response = await self.async_send_and_move(
                    host, path, until_close=True, move_delay_s=delay_s
                )
                self.assertEqual(list(range(1, 11)), event_ids(response.body))
                self.assertEqual(2, len(host.fleet.runs))

    # The caller waited for an end that nothing owed it any more.
    @async_test
    async def test_unexpected_error_in_the_move_call_ends_the_move(
        self,
    ) -> None:
        async with Host() as host:
            for server in host.fleet.engines():
                server.behaviour.event_s = 0.3
                server.behaviour.events = 10
            failing = AsyncMock(side_effect=ValueError("unexpected"))
            engines = host.daemon._ports.engines
            with patch.object(engines, "async_migrate_run", failing):
                request = asyncio.create_task(host.async_send("/draft/x"))
                server = _server_of(host, await _async_begun_run(host))
                host.fleet.register(server, "draining")
                await async_until(lambda: failing.called, "a move fails")
                await server.async_unload()
                response = await request
            self.assertEqual(list(range(1, 11)), event_ids(response.body))

    # The server had kept the memory of the run, and was not asked again.
    @async_test
    async def test_run_without_room_elsewhere_goes_on_where_it_was(
        self,
    ) -> None:
        async with Host() as host:
            response = await self.async_send_and_move(host, move_status=503)
            self.assertEqual(list(range(1, 11)), event_ids(response.body))
            first, second = host.fleet.runs
            self.assertEqual(first.server_id, second.server_id)
            self.assertIn("kv-from", second.headers)

    # The end of a whole answer was taken for that of a stopped run.
    @async_test
    async def test_whole_answer_after_a_move_that_could_not_be_asked_for(
        self,
    ) -> None:
        async with Host() as host:
            for server in host.fleet.engines():
                server.behaviour.until_close = True
                server.behaviour.event_s = 0.3
                server.behaviour.events = 10
            request = asyncio.create_task(host.async_send("/chat/x"))
            server = _server_of(host, await _async_begun_run(host))
            # The server takes no new connection; the run goes on.
            assert server.server._server is not None
            server.server._server.close()
            host.fleet.register(server, "draining")
            response = await request
            self.assertEqual(list(range(1, 11)), event_ids(response.body))
            self.assertEqual(1, len(host.fleet.runs))


class AnswersThatEndWithTheirConnection(testtools.TestCase):
    """A server's answers have neither a length nor chunks."""

    def set_fault(self, host: Host, how: str) -> None:
        """Make the next response of one engine faulty."""
        for server in host.fleet.servers:
            server.behaviour.until_close = True
        engine = host.fleet.engines()[0]
        engine.behaviour.how, engine.behaviour.count = how, 1

    async def async_send_until_faulty(
        self, host: Host, path: str
    ) -> HttpResponse:
        """Send requests until one has met the fault."""
        engine = host.fleet.engines()[0]
        while True:
            response = await host.async_send(path)
            if not engine.behaviour.count:
                return response

    @async_test
    async def test_whole_answer_is_passed_on(self) -> None:
        async with Host() as host:
            self.set_fault(host, "")
            for path in ("/chat/x", "/draft/x"):
                response = await host.async_send(path)
                self.assertEqual([1, 2, 3, 4, 5], event_ids(response.body))
            for path in ("/read/x", "/pay/x"):
                response = await host.async_send(path, body=b"1234")
                self.assertEqual(b'{"echo":4}', response.body)

    @async_test
    async def test_broken_stream_is_resumed(self) -> None:
        for how in ("cut", "reset"):
            async with Host() as host:
                self.set_fault(host, how)
                response = await self.async_send_until_faulty(host, "/draft/x")
                self.assertEqual([1, 2, 3, 4, 5], event_ids(response.body))

    @async_test
    async def test_broken_stream_does_not_look_complete(self) -> None:
        for how in ("cut", "reset"):
            async with Host() as host:
                self.set_fault(host, how)
                with self.assertRaisesRegex(LinkError, "closed|peer"):
                    await self.async_send_until_faulty(host, "/chat/x")


async def _async_begun_run(host: Host) -> Run:
    """Return the first run, once its response has begun."""
    await async_until(
        lambda: host.fleet.runs and host.fleet.runs[0].events, "events came"
    )
    return host.fleet.runs[0]


def _server_of(host: Host, run: Run) -> FleetServer:
    return next(s for s in host.fleet.servers if s.server_id == run.server_id)


def _usable_engines(host: Host) -> int:
    return len(host.front.load_balancer.registry.usable_backends("pool"))
