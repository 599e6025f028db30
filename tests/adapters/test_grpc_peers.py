"""Tests of gRPC calls between hosts over real connections."""

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
    """Peer handlers that store hand-overs in memory."""

    def __init__(self) -> None:
        self.kept: dict[str, HandOver] = {}
        self.history = SettingsHistory()
        text = Document(name="contract", text="x" * 100_000)
        self.history.advance(make_snapshot(3, [text]))

    def settings_since(self, revision: int) -> SettingsDelta:
        return self.history.delta_since(revision)

    def store_hand_over(self, hand_over: HandOver) -> bool:
        self.kept[hand_over.request_id] = hand_over
        return True

    def find_hand_over(self, request_id: RequestId) -> HandOver | None:
        return self.kept.get(request_id)

    def dump_state(self) -> str:
        return '{"a": 1}'


def deadline_in(seconds: float = 10.0) -> float:
    return asyncio.get_running_loop().time() + seconds


class TestGrpcPeers(testtools.TestCase):
    @async_test
    async def test_every_call_returns_the_handler_s_result(self) -> None:
        server = GrpcPeerServer(Handlers(), keys=[b"key"])
        await server.async_start(LOOPBACK)
        peers = GrpcPeers(keys=[b"key"])
        to = server.address
        delta = await peers.async_pull_settings(to, 0, deadline_in())
        self.assertEqual((3, 100_000), (delta.revision, _text_length(delta)))
        delta = await peers.async_pull_settings(to, 3, deadline_in())
        self.assertEqual((3, 0), (delta.base_revision, _text_length(delta)))
        hand_over = make_hand_over()
        self.assertTrue(
            await peers.async_hand_over(to, hand_over, deadline_in())
        )
        fetched = await peers.async_fetch_hand_over(
            to, RequestId("r1"), deadline_in()
        )
        self.assertEqual(hand_over, fetched)
        unknown = RequestId("r2")
        self.assertIsNone(
            await peers.async_fetch_hand_over(to, unknown, deadline_in())
        )
        self.assertEqual(
            '{"a": 1}', await peers.async_dump_state(to, deadline_in())
        )
        peers.close()
        await server.async_stop()

    @async_test
    async def test_hand_over_with_wrong_digest_is_rejected(self) -> None:
        handlers = Handlers()
        server = GrpcPeerServer(handlers)
        await server.async_start(LOOPBACK)
        peers = GrpcPeers()
        with testtools.ExpectedException(LinkError, ".*DATA_LOSS.*"):
            await peers.async_hand_over(
                server.address, make_hand_over("0"), deadline_in()
            )
        self.assertEqual({}, handlers.kept)
        peers.close()
        await server.async_stop()

    @async_test
    async def test_calls_without_a_valid_key_are_rejected(self) -> None:
        server = GrpcPeerServer(Handlers(), keys=[b"key"])
        await server.async_start(LOOPBACK)
        for keys in ([], [b"other"]):
            peers = GrpcPeers(keys=keys)
            with testtools.ExpectedException(LinkError, ".*UNAUTH.*"):
                await peers.async_dump_state(server.address, deadline_in())
            peers.close()
        await server.async_stop()

    @async_test
    async def test_connection_is_replaced_after_a_timeout(self) -> None:
        is_silent = True
        connection_count = 0
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
            nonlocal connection_count
            connection_count += 1
            if is_silent:
                await reader.read()
                writer.close()
                return
            server_reader, server_writer = await asyncio.open_connection(
                host, port
            )
            pipes.append(asyncio.create_task(pipe(server_reader, writer)))
            await pipe(reader, server_writer)

        relay_server = await asyncio.start_server(relay, "127.0.0.1", 0)
        to = f"127.0.0.1:{relay_server.sockets[0].getsockname()[1]}"
        peers = GrpcPeers()
        with testtools.ExpectedException(LinkError, ".*in time.*"):
            await peers.async_dump_state(to, deadline_in(0.2))
        is_silent = False
        self.assertEqual(
            '{"a": 1}', await peers.async_dump_state(to, deadline_in())
        )
        self.assertEqual(2, connection_count)
        peers.close()
        await asyncio.gather(*pipes)
        relay_server.close()
        await server.async_stop()

    @async_test
    async def test_call_to_a_closed_port_or_past_deadline_fails(self) -> None:
        server = GrpcPeerServer(Handlers())
        await server.async_start(LOOPBACK)
        await server.async_stop()
        peers = GrpcPeers()
        with testtools.ExpectedException(LinkError):
            await peers.async_dump_state(server.address, deadline_in())
        with testtools.ExpectedException(LinkError, "no time left.*"):
            await peers.async_dump_state(server.address, deadline_in(-1.0))


def _text_length(delta: SettingsDelta) -> int:
    return sum(len(document.text) for document in delta.changed)
