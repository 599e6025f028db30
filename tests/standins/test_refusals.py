"""Tests of stand-in servers that refuse requests and copy the refusals."""

import asyncio
from collections import Counter
from random import Random

import testtools

from standins.fleet import ENGINE_SERVICE, PLAIN_SERVICE, Fleet
from standins.fleet_server import FleetServer
from standins.refusals import ANY, AT_ONCE, LATE, TWICE
from standins.soak.load import NON_IDEMPOTENT_ROUTES
from standins.soak.promises import NOT_RUN_STATUSES
from tests.front.base import Host, async_until
from tests.helpers import async_test

SEED = 52
ROUNDS = 5
CALLS = 24
REQUEST = (
    b"POST /pay/x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n"
    b"X-Waxwingarch-Request-Id: r-1\r\n"
    b"X-Waxwingarch-Target-Instance: %s\r\n\r\n"
)


async def async_statuses(
    server: FleetServer, answers: int, target: bytes = b"p-0"
) -> list[int]:
    """Send a request twice on a connection; return so many statuses."""
    host, _, port = server.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        statuses = []
        for number in range(answers):
            if number < 2:
                writer.write(REQUEST % target)
            head = await reader.readuntil(b"\r\n\r\n")
            statuses.append(int(head.split()[1]))
        return statuses
    finally:
        writer.transport.abort()


class CopiesOfRefusals(testtools.TestCase):
    """A copy comes where the next answer on its connection is due."""

    @async_test
    async def test_copies_before_the_answer_of_a_run(self) -> None:
        fleet = Fleet()
        await fleet.async_setup(engines=0, plain=1)
        [server] = fleet.servers
        for copies, count in (("", 0), (AT_ONCE, 1), (LATE, 1), (TWICE, 2)):
            server.behaviour.copies = copies
            server.behaviour.how, server.behaviour.count = "shed", 1
            self.assertEqual(
                [503] * (1 + count) + [200],
                await async_statuses(server, 2 + count),
            )
        self.assertEqual(4, len(fleet.runs))
        await fleet.async_unload()

    @async_test
    async def test_refusals_and_another_id_run_nothing(self) -> None:
        fleet = Fleet()
        await fleet.async_setup(engines=0, plain=1)
        [server] = fleet.servers
        server.behaviour.copies = AT_ONCE
        server.behaviour.refuse_ratio = 1.0
        seen = [await async_statuses(server, 3) for _ in range(20)]
        self.assertEqual({429, 503}, {s for each in seen for s in each})
        server.behaviour.refuse_ratio = 0.0
        server.instance_id = "p-0-2"
        self.assertEqual([421, 421, 421], await async_statuses(server, 3))
        self.assertEqual([], fleet.runs)
        [one] = await async_statuses(server, 1, b"p-0-2")
        self.assertEqual((200, 1), (one, len(fleet.runs)))
        await fleet.async_unload()

    # Guards against requests that run twice, or that ran and are called "not
    # run": servers start under other ids beside their old entries, refuse
    # requests, and copy their refusals.
    @async_test
    async def test_servers_with_two_entries_run_each_request_once(
        self,
    ) -> None:
        rng = Random(SEED)
        async with Host() as host:
            answers: dict[str, int] = {}
            for number in range(ROUNDS):
                await self.async_start_under_other_ids(host, number)
                paths = [
                    f"{rng.choice(NON_IDEMPOTENT_ROUTES)}{number}-{n}"
                    for n in range(CALLS)
                ]
                responses = await asyncio.gather(*map(host.async_send, paths))
                answers |= {
                    path: response.status
                    for path, response in zip(paths, responses, strict=True)
                }
            runs = Counter(run.target for run in host.fleet.runs)
        self.assertEqual(set(), {path for path in runs if runs[path] > 1})
        refused = {p for p in answers if answers[p] in NOT_RUN_STATUSES}
        self.assertEqual(set(), refused & runs.keys())
        self.assertGreater(len(runs), 0)

    async def async_start_under_other_ids(
        self, host: Host, number: int
    ) -> None:
        """Register servers under other ids, beside the ids of before."""
        fleet = host.fleet
        registry = host.front.load_balancer.registry
        for server in fleet.servers:
            # Of the entries of before, the first and the latest stand.
            before_last = f"{server.server_id}-{number - 2}"
            fleet.store.put("servers", before_last, None)
            server.instance_id = f"{server.server_id}-{number}"
            server.born += 1
            server.behaviour.copies = ANY
            server.behaviour.refuse_ratio = 0.1
            fleet.register(server)
        ids = {server.instance_id for server in fleet.servers}
        await async_until(
            lambda: (
                ids
                <= {
                    backend.server.server_id
                    for service in (ENGINE_SERVICE, PLAIN_SERVICE)
                    for backend in registry.usable_backends(service)
                }
            ),
            "the servers are known under their other ids",
        )
