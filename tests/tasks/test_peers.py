"""Tests of hosts that talk over real sockets."""

import asyncio
import random
from collections.abc import Callable

import testtools

from tests.helpers import async_test
from waxwingarch.core.base import (
    Action,
    FailureDomain,
    HostId,
    RequestId,
    ServerId,
)
from waxwingarch.core.cluster.cluster_events import ItemsChanged
from waxwingarch.core.cluster.configsync import Ready
from waxwingarch.core.cluster.items import LeavingServer
from waxwingarch.core.cluster.members import MemberState
from waxwingarch.core.requests.handover import HandOver
from waxwingarch.core.settings.settings import (
    Document,
    SettingsSnapshot,
    make_snapshot,
)
from waxwingarch.exceptions import PlatformUnavailableError
from waxwingarch.tasks.peer_transport import TransportConfig
from waxwingarch.tasks.peers import PeersConfig, PeersTask

LOOPBACK = "127.0.0.1:0"


class Table:
    """Holds a snapshot, and can be down."""

    def __init__(self) -> None:
        self.up = True
        self.snapshot = make_snapshot(3, [Document(name="c", text="x")])

    async def async_read_revision(self, deadline: float) -> int:
        if not self.up:
            raise PlatformUnavailableError("down; wait")
        return self.snapshot.revision

    async def async_read_settings(self, deadline: float) -> SettingsSnapshot:
        if not self.up:
            raise PlatformUnavailableError("down; wait")
        return self.snapshot


class Keeper:
    """Keeps nothing."""

    def store_hand_over(self, hand_over: HandOver) -> bool:
        return False

    def find_hand_over(self, request_id: RequestId) -> HandOver | None:
        return None

    def dump_state(self) -> str:
        return "{}"


async def start(
    name: str,
    table: Table,
    seeds: tuple[str, ...],
    key: bytes = b"key",
    tcp: str = LOOPBACK,
) -> PeersTask:
    transport = TransportConfig(
        listen_udp=LOOPBACK, listen_tcp=tcp, keys=(key,)
    )
    cfg = PeersConfig(
        host_id=HostId(name),
        incarnation=1,
        region="r",
        failure_domain=FailureDomain(f"d-{name}"),
        http=LOOPBACK,
        seeds=seeds,
        transport=transport,
    )
    task = PeersTask(cfg, table, Keeper(), random.Random(name))
    await task.async_setup()
    return task


async def until(condition: Callable[[], bool]) -> None:
    while True:
        if condition():
            return
        await asyncio.sleep(0.01)


class TestPeersTask(testtools.TestCase):
    @async_test
    async def test_three_hosts_join_spread_and_part(self) -> None:
        table = Table()
        first = await start("a", table, ())
        seeds = (first.transport.udp.address,)
        tasks = [first, await start("b", table, seeds)]
        tasks.append(await start("c", table, seeds))
        seen: list[Action] = []
        stop_listening = tasks[2].add_listener(seen.append)
        await until(lambda: all(len(t.members()) == 3 for t in tasks))
        item = LeavingServer(
            server_id=ServerId("s"), incarnation=1, deadline_unix=9e9
        )
        first.publish(item)
        changed = ItemsChanged(items=(item,))
        await until(lambda: changed in seen)
        await until(lambda: any(isinstance(a, Ready) for a in seen))
        await until(
            lambda: all(
                t.cluster.settings.applied_revision == 3 for t in tasks
            )
        )
        stop_listening()
        await tasks.pop().async_unload()
        await until(
            lambda: all(
                t.cluster.membership.member(HostId("c")).state  # type: ignore
                is MemberState.LEFT
                for t in tasks
            )
        )
        for task in tasks:
            await task.async_unload()

    @async_test
    async def test_settings_come_from_a_peer_while_the_table_is_down(
        self,
    ) -> None:
        table = Table()
        first = await start("a", table, ())
        await until(lambda: first.cluster.settings.ready)
        table.up = False
        seeds = (first.transport.udp.address,)
        second = await start("b", table, seeds)
        await until(lambda: second.cluster.settings.ready)
        self.assertEqual(3, second.cluster.settings.applied_revision)
        await first.async_unload()
        await second.async_unload()

    @async_test
    async def test_a_host_with_another_key_is_not_heard(self) -> None:
        table = Table()
        first = await start("a", table, ())
        seeds = (first.transport.udp.address,)
        stranger = await start("b", table, seeds, key=b"other")
        counters = first.transport.udp.counters
        await until(lambda: counters.malformed >= 2)
        self.assertEqual(1, len(first.members()))
        await stranger.async_unload()
        await first.async_unload()

    @async_test
    async def test_an_address_that_is_taken_is_told(self) -> None:
        first = await start("a", Table(), ())
        taken = first.transport.tcp_address
        with testtools.ExpectedException(OSError):
            await start("b", Table(), (), tcp=taken)
        await first.async_unload()
