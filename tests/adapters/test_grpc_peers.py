"""Tests of calls between hosts, over real connections."""

import asyncio

import testtools

from tests.helpers import async_test
from waxwingarch.adapters.grpc_peers import GrpcPeers, GrpcPeerServer
from waxwingarch.core.base import AccountId, RequestId, ServerId
from waxwingarch.core.requests.handover import HandOver, tokens_digest
from waxwingarch.core.settings.settings import (
    Document,
    SettingsDelta,
    SettingsHistory,
    make_snapshot,
)
from waxwingarch.exceptions import LinkError

LOOPBACK = "127.0.0.1:0"


def make_hand_over(digest: str = "") -> HandOver:
    tokens = ("a", " bé")
    return HandOver(
        request_id=RequestId("r1"),
        account=AccountId("acc"),
        path="/v1/completions",
        body=b"\x00body",
        tokens=tokens,
        server_id=ServerId("s1"),
        stream_id="st1",
        deadline_unix=12.5,
        digest=digest or tokens_digest(tokens),
    )


class Handlers:
    """Keeps hand-overs in memory."""

    def __init__(self) -> None:
        self.kept: dict[str, HandOver] = {}
        self.history = SettingsHistory()
        text = Document(name="contract", text="x" * 100_000)
        self.history.advance(make_snapshot(3, [text]))

    def settings_since(self, revision: int) -> SettingsDelta:
        return self.history.delta_since(revision)

    def keep_hand_over(self, hand_over: HandOver) -> bool:
        self.kept[hand_over.request_id] = hand_over
        return True

    def find_hand_over(self, request_id: RequestId) -> HandOver | None:
        return self.kept.get(request_id)

    def dump_state(self) -> str:
        return '{"a": 1}'


def soon(seconds: float = 10.0) -> float:
    return asyncio.get_running_loop().time() + seconds


class TestGrpcPeers(testtools.TestCase):
    @async_test
    async def test_every_call_is_answered(self) -> None:
        server = GrpcPeerServer(Handlers(), keys=[b"key"])
        await server.async_start(LOOPBACK)
        peers = GrpcPeers(keys=[b"key"])
        to = server.address
        delta = await peers.async_pull_settings(to, 0, soon())
        self.assertEqual((3, 100_000), (delta.revision, _length(delta)))
        delta = await peers.async_pull_settings(to, 3, soon())
        self.assertEqual((3, 0), (delta.base_revision, _length(delta)))
        hand_over = make_hand_over()
        self.assertTrue(await peers.async_hand_over(to, hand_over, soon()))
        found = await peers.async_fetch_hand_over(to, RequestId("r1"), soon())
        self.assertEqual(hand_over, found)
        missing = RequestId("r2")
        self.assertIsNone(
            await peers.async_fetch_hand_over(to, missing, soon())
        )
        self.assertEqual('{"a": 1}', await peers.async_dump_state(to, soon()))
        peers.close()
        await server.async_stop()

    @async_test
    async def test_damaged_progress_is_refused(self) -> None:
        handlers = Handlers()
        server = GrpcPeerServer(handlers)
        await server.async_start(LOOPBACK)
        peers = GrpcPeers()
        with testtools.ExpectedException(LinkError, ".*DATA_LOSS.*"):
            await peers.async_hand_over(
                server.address, make_hand_over("0"), soon()
            )
        self.assertEqual({}, handlers.kept)
        peers.close()
        await server.async_stop()

    @async_test
    async def test_strangers_without_the_key_are_refused(self) -> None:
        server = GrpcPeerServer(Handlers(), keys=[b"key"])
        await server.async_start(LOOPBACK)
        for keys in ([], [b"other"]):
            peers = GrpcPeers(keys=keys)
            with testtools.ExpectedException(LinkError, ".*UNAUTH.*"):
                await peers.async_dump_state(server.address, soon())
            peers.close()
        await server.async_stop()

    @async_test
    async def test_a_silent_connection_is_replaced(self) -> None:
        silent = True
        opened = 0
        server = GrpcPeerServer(Handlers())
        await server.async_start(LOOPBACK)
        host, port = server.address.split(":")
        pipes: list[asyncio.Task[None]] = []

        async def pipe(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while data := await reader.read(65_536):
                writer.write(data)
            writer.close()

        async def relay(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal opened
            opened += 1
            if silent:
                await reader.read()
                writer.close()
                return
            far_reader, far_writer = await asyncio.open_connection(host, port)
            pipes.append(asyncio.create_task(pipe(far_reader, writer)))
            await pipe(reader, far_writer)

        middle = await asyncio.start_server(relay, "127.0.0.1", 0)
        to = f"127.0.0.1:{middle.sockets[0].getsockname()[1]}"
        peers = GrpcPeers()
        with testtools.ExpectedException(LinkError, ".*in time.*"):
            await peers.async_dump_state(to, soon(0.2))
        silent = False
        self.assertEqual('{"a": 1}', await peers.async_dump_state(to, soon()))
        self.assertEqual(2, opened)
        peers.close()
        await asyncio.gather(*pipes)
        middle.close()
        await server.async_stop()

    @async_test
    async def test_nobody_listening_is_a_link_error(self) -> None:
        server = GrpcPeerServer(Handlers())
        await server.async_start(LOOPBACK)
        await server.async_stop()
        peers = GrpcPeers()
        with testtools.ExpectedException(LinkError):
            await peers.async_dump_state(server.address, soon())
        with testtools.ExpectedException(LinkError, "no time left.*"):
            await peers.async_dump_state(server.address, soon(-1.0))


def _length(delta: SettingsDelta) -> int:
    return sum(len(document.text) for document in delta.changed)
