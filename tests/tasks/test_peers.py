"""Tests of the peer protocol between hosts over real sockets."""

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


class SettingsTable:
    """A settings table that can be unavailable."""

    def __init__(self) -> None:
        self.is_up = True
        self.snapshot = make_snapshot(3, [Document(name="c", text="x")])

    async def async_read_revision(self, deadline: float) -> int:
        if not self.is_up:
            raise PlatformUnavailableError("down; wait")
        return self.snapshot.revision

    async def async_read_settings(self, deadline: float) -> SettingsSnapshot:
        if not self.is_up:
            raise PlatformUnavailableError("down; wait")
        return self.snapshot


class EmptyHandOverStore:
    """Stores no hand-overs."""

    def store_hand_over(self, hand_over: HandOver) -> bool:
        return False

    def find_hand_over(self, request_id: RequestId) -> HandOver | None:
        return None

    def dump_state(self) -> str:
        return "{}"


async def start(
    name: str,
    table: SettingsTable,
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
    task = PeersTask(cfg, table, EmptyHandOverStore(), random.Random(name))
    await task.async_setup()
    return task


async def wait_until(condition: Callable[[], bool]) -> None:
    while True:
        if condition():
            return
        await asyncio.sleep(0.01)


class TestPeersTask(testtools.TestCase):
    @async_test
    async def test_hosts_join_share_items_and_leave(self) -> None:
        table = SettingsTable()
        first = await start("a", table, ())
        seeds = (first.transport.udp.address,)
        tasks = [first, await start("b", table, seeds)]
        tasks.append(await start("c", table, seeds))
        actions: list[Action] = []
        stop_listening = tasks[2].add_listener(actions.append)
        await wait_until(lambda: all(len(t.members()) == 3 for t in tasks))
        item = LeavingServer(
            server_id=ServerId("s"), incarnation=1, deadline_unix=9e9
        )
        first.publish(item)
        changed = ItemsChanged(items=(item,))
        await wait_until(lambda: changed in actions)
        await wait_until(lambda: any(isinstance(a, Ready) for a in actions))
        await wait_until(
            lambda: all(
                t.cluster.settings.applied_revision == 3 for t in tasks
            )
        )
        stop_listening()
        await tasks.pop().async_unload()
        await wait_until(
            lambda: all(
                t.cluster.membership.member(HostId("c")).state  # type: ignore
                is MemberState.LEFT
                for t in tasks
            )
        )
        for task in tasks:
            await task.async_unload()

    @async_test
    async def test_settings_are_pulled_from_a_peer_during_a_table_outage(
        self,
    ) -> None:
        table = SettingsTable()
        first = await start("a", table, ())
        await wait_until(lambda: first.cluster.settings.ready)
        table.is_up = False
        seeds = (first.transport.udp.address,)
        second = await start("b", table, seeds)
        await wait_until(lambda: second.cluster.settings.ready)
        self.assertEqual(3, second.cluster.settings.applied_revision)
        await first.async_unload()
        await second.async_unload()

    @async_test
    async def test_host_with_another_key_is_rejected(self) -> None:
        table = SettingsTable()
        first = await start("a", table, ())
        seeds = (first.transport.udp.address,)
        other = await start("b", table, seeds, key=b"other")
        counters = first.transport.udp.counters
        await wait_until(lambda: counters.malformed >= 2)
        self.assertEqual(1, len(first.members()))
        await other.async_unload()
        await first.async_unload()

    @async_test
    async def test_address_in_use_raises(self) -> None:
        first = await start("a", SettingsTable(), ())
        used_address = first.transport.tcp_address
        with testtools.ExpectedException(OSError):
            await start("b", SettingsTable(), (), tcp=used_address)
        await first.async_unload()
