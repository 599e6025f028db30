"""Tests of servers that copy a refusal into a later attempt."""

import asyncio
from collections.abc import Iterable, Sequence
from itertools import product

import testtools

from tests.front.base import Host, async_until
from tests.front.refusing_servers import (
    CHAT,
    COPIES,
    DRAFT,
    EVENTS,
    FAILURES,
    PATHS,
    PAY,
    READ,
    REFUSALS,
    RETRY_AFTER,
    TWO,
    WORK_S,
    RefusingServers,
    async_call,
    host_of,
)
from tests.helpers import async_test

INFORMATIONAL = (
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 102 Processing\r\n\r\n" * 3,
    b"HTTP/1.1 103 Early Hints\r\nX-Waxwingarch-Not-Executed: 1\r\n"
    b"Retry-After: 1\r\n\r\n",
)
# A server that asks for a pause gets no moved run meanwhile.
WITHOUT_PAUSE = [r for r in REFUSALS if RETRY_AFTER not in r]
# The paths of one service after the other, for either service at once.
TURNS = ((PAY, CHAT), (READ, DRAFT))


async def async_refuse(host: Host, name: str, count: int = 1) -> None:
    """Have requests refused, so that copies are due on connections."""
    await asyncio.gather(
        *(
            async_call(host, f"{path}refuse", f"{path[1]}-{name}-{n}")
            for path in TURNS[1]
            for n in range(count)
        )
    )
    await asyncio.sleep(0.03)


class CopiesOfRefusals(testtools.TestCase):
    """Copies with the id of the refused request, of another one, or none."""

    async def async_check(
        self,
        names: Sequence[str],
        refusals: Iterable[Sequence[str]],
        last: str,
        *,
        refuses_others: bool = True,
        before: bytes = b"",
        copies: Iterable[Sequence[float]] = COPIES,
        **options: bool,
    ) -> None:
        """Check that each request runs once, and gets its answer."""
        results = await asyncio.gather(
            *(
                self.async_check_refusal(
                    RefusingServers(refusal=refusal, before=before),
                    names,
                    last,
                    refuses_others,
                    tuple(copies),
                    options,
                )
                for refusal in refusals
            ),
            return_exceptions=True,
        )
        self.assertEqual([None] * len(results), results)

    async def async_check_refusal(
        self,
        servers: RefusingServers,
        names: Sequence[str],
        last: str,
        refuses_others: bool,
        copies: Sequence[Sequence[float]],
        options: dict[str, bool],
    ) -> None:
        one_address = options.get("one_address", False)
        serves = [servers.serve(name) for name in names]
        async with host_of(*serves, one_address=one_address) as host:
            for n, (delays_s, has_id, paths) in enumerate(
                product(copies, (True, False), TURNS)
            ):
                servers.delays_s, servers.has_id = delays_s, has_id
                if refuses_others:
                    await async_refuse(host, f"{n}")
                servers.runs.clear()
                sent = [
                    async_call(
                        host,
                        f"{path}{last}",
                        f"{path[1]}-{n}",
                        is_relayed=options.get("is_relayed", False),
                    )
                    for path in paths
                ]
                responses = await asyncio.gather(*sent)
                await asyncio.sleep(WORK_S)
                note = f"{servers} {n} {paths}"
                for response in responses:
                    self.assertEqual(200, response.status, note)
                    self.assertEqual(EVENTS, response.body, note)
                ran = sorted(run.request_id for run in servers.runs)
                expected = sorted(f"{path[1]}-{n}" for path in paths)
                self.assertEqual(expected, ran, note)

    # Guards against a request that ran and is called "not run", or runs
    # again, as another one's refusal is taken for its own.
    @async_test
    async def test_first_attempt(self) -> None:
        await self.async_check(["one"], REFUSALS + FAILURES, "run")

    @async_test
    async def test_relayed_by_a_peer(self) -> None:
        await self.async_check(
            ["one"], REFUSALS + FAILURES, "run", is_relayed=True
        )

    @async_test
    async def test_resend(self) -> None:
        await self.async_check(["one", "two"], REFUSALS, "resend")

    # Guards against the same where two entries name one address: the copy
    # of the refusal by the first comes amid the attempt at the second.
    @async_test
    async def test_two_servers_at_one_address(self) -> None:
        await self.async_check(
            ["one"],
            REFUSALS,
            "resend",
            refuses_others=False,
            one_address=True,
        )

    @async_test
    async def test_informational_responses_between(self) -> None:
        for before in INFORMATIONAL:
            await self.async_check(
                ["one"], REFUSALS[:1], "run", before=before, copies=[TWO]
            )

    # Guards against the same where the request comes to this host again: its
    # caller repeats it, or two peers relay it one after the other.
    @async_test
    async def test_same_request_in_two_exchanges(self) -> None:
        async def async_check(refusal: Sequence[str]) -> None:
            servers = RefusingServers(refusal=refusal)
            async with host_of(servers.serve("one")) as host:
                for path, is_relayed in product(PATHS, (False, True)):
                    name = f"{path[1]}-{is_relayed}"
                    for expected in (503, 200):
                        response = await async_call(
                            host,
                            f"{path}resend",
                            name,
                            is_relayed=is_relayed,
                        )
                        note = f"{servers} {path} {is_relayed}"
                        self.assertEqual(expected, response.status, note)
                        await asyncio.sleep(0.05)
            ran = [run.request_id for run in servers.runs]
            self.assertEqual(sorted(set(ran)), sorted(ran))
            self.assertEqual(2 * len(PATHS), len(ran))

        await asyncio.gather(*map(async_check, REFUSALS))


class MoreCopiesThanTwo(testtools.TestCase):
    # Guards against an answer that is dropped, and a stream that goes on at
    # another server while its own is at work, as three answers too many come
    # ahead of it.
    @async_test
    async def test_answer_behind_them_is_taken(self) -> None:
        servers = RefusingServers(
            delays_s=(0.0, 0.0, 0.02), writes_first=True, work_s=1.0
        )
        serves = [servers.serve(name) for name in ("one", "two")]
        async with host_of(*serves) as host:
            await async_refuse(host, "before")
            responses = await asyncio.gather(
                *(async_call(host, f"{path}run", path) for path in TURNS[1])
            )
            await async_refuse(host, "again")
            responses += await asyncio.gather(
                *(async_call(host, f"{path}run", path) for path in TURNS[0])
            )
        statuses = [response.status for response in responses]
        ran = [(run.request_id, run.server) for run in servers.runs]
        self.assertEqual(len(PATHS), len(ran), f"{statuses} {ran}")
        self.assertEqual([200] * len(PATHS), statuses, f"{ran}")


class FieldsOfCopies(testtools.TestCase):
    # Guards against a server that is paused or limited by an answer that
    # belongs to no request.
    @async_test
    async def test_neither_pause_nor_limit_the_server(self) -> None:
        servers = RefusingServers(
            copied_fields=("Retry-After: 5", "Server-Limit: 0.1")
        )
        async with host_of(servers.serve("one")) as host:
            for n, servers.has_id in enumerate((True, False)):
                await async_refuse(host, f"{n}")
                for path, again in product(PATHS, ("a", "b")):
                    response = await async_call(
                        host, f"{path}run", f"{path[1]}-{n}-{again}"
                    )
                    self.assertEqual(200, response.status, f"{path} {n}")
            limits = host.front.load_balancer.limits
            for server in host.fleet.servers:
                self.assertIsNone(limits.limit_of(server.server_id))


class CopiesAmidAMovedRun(testtools.TestCase):
    # Guards against a moved run that is given up, or run anew, as the target
    # or the source of its move copies a refusal.
    @async_test
    async def test_target_and_source(self) -> None:
        # More hosts in one loop take longer for a connection than a host
        # waits for it.
        for has_id, has_room, last in (
            (True, True, "move"),
            (False, True, "resend-move"),
            (True, False, "resend-move"),
        ):
            await asyncio.gather(
                *(
                    self.async_move(
                        RefusingServers(
                            refusal=refusal, has_id=has_id, has_room=has_room
                        ),
                        last,
                    )
                    for refusal in WITHOUT_PAUSE
                )
            )

    async def async_move(self, servers: RefusingServers, last: str) -> None:
        async with host_of(*map(servers.serve, ("one", "two"))) as host:
            await async_refuse(host, "before", 3)
            calls = [
                asyncio.create_task(async_call(host, path + last, path[1]))
                for path in (CHAT, DRAFT)
            ]
            await async_until(lambda: len(servers.held) == 2, "they run")
            [source] = {run.server for run in servers.runs}
            self.drain(host, ["one", "two"].index(source))
            await asyncio.sleep(0.75)
            await async_refuse(host, "amid", 3)
            responses = await asyncio.gather(*calls)
        note = f"{servers} {last}"
        for response in responses:
            self.assertEqual(200, response.status, note)
            self.assertEqual(EVENTS, response.body, note)
        ran = sorted((run.request_id, run.is_moved) for run in servers.runs)
        expected = sorted(product("cd", (False, True)))
        self.assertEqual(expected, ran, note)

    def drain(self, host: Host, number: int) -> None:
        server = host.fleet.engines()[number]
        known = host.front.load_balancer.registry.get(server.server_id)
        host.fleet.register(
            server, "draining", address=known.server.address, born=2_000
        )
