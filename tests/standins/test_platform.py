"""Tests of the stand-in platform."""

import testtools

from tests.helpers import async_test
from tests.standins.helpers import (
    Peer,
    running_engine,
    running_platform,
    wait_until,
)
from waxwingarch.adapters.http_connection import CutLinkError, SilentLinkError

TRANSACT = "/v1/table/transact"
SPARE = {
    "server_id": "e1",
    "address": "127.0.0.1:9",
    "failure_domain": "hn-a",
    "service": "pool",
    "machine_class": "small",
    "reclaimable": True,
    "state": "spare",
}
START = {
    "order_id": "o1",
    "service": "pool",
    "kind": "engine",
    "version": "v2",
    "machine_class": "small",
    "failure_domain": "hn-a",
    "reclaimable": True,
    "fencing": 5,
}


async def write(peer: Peer, key: str, value: object, version: int) -> int:
    """Write a row if it has this version and return the status."""
    condition = {"table": "t", "key": key, "version": version}
    change = {"table": "t", "key": key, "value": value}
    body = {"conditions": [condition], "writes": [change]}
    return (await peer.send("POST", TRANSACT, body)).status


class TestTableService(testtools.TestCase):
    @async_test
    async def test_second_of_two_writers_conflicts(self) -> None:
        async with running_platform() as peer:
            assert await write(peer, "k", "first", 0) == 200
            assert await write(peer, "k", "second", 0) == 409
            row = await peer.json("GET", "/v1/table/t/k")
        assert row == {"key": "k", "value": "first", "version": 1}

    @async_test
    async def test_transaction_commits_all_or_nothing(self) -> None:
        async with running_platform() as peer:
            body = {
                "conditions": [
                    {"table": "t", "key": "a", "version": 0},
                    {"table": "t", "key": "b", "version": 3},
                ],
                "writes": [{"table": "t", "key": "a", "value": 1}],
            }
            answer = await peer.json("POST", TRANSACT, body)
            row = await peer.json("GET", "/v1/table/t/a")
        conflict = {"table": "t", "key": "b", "value": None, "version": 0}
        assert answer == {"committed": False, "conflicts": [conflict]}
        assert row["version"] == 0

    @async_test
    async def test_versions_do_not_repeat_after_delete(self) -> None:
        async with running_platform() as peer:
            await write(peer, "k", 1, 0)
            await write(peer, "k", None, 1)
            deleted = await peer.json("GET", "/v1/table/t/k")
            assert await write(peer, "k", 2, 0) == 409
            assert await write(peer, "k", 2, 2) == 200
        assert deleted == {"key": "k", "value": None, "version": 2}

    @async_test
    async def test_scan_pages_live_rows_by_prefix(self) -> None:
        async with running_platform() as peer:
            for key in ("b/2", "a/1", "b/1", "b/3", "c"):
                await write(peer, key, key, 0)
            await write(peer, "b/2", None, 1)
            page = await peer.json("GET", "/v1/table/t?prefix=b/&limit=1")
            rest = await peer.json("GET", "/v1/table/t?prefix=b/&after=b/1")
            row = await peer.json("GET", "/v1/table/t/b%2F3")
        assert [r["key"] for r in page["rows"]] == ["b/1"]
        assert [r["key"] for r in rest["rows"]] == ["b/3"]
        assert row["value"] == "b/3"

    @async_test
    async def test_rate_limit_refuses(self) -> None:
        async with running_platform("--writes-per-s", "2") as peer:
            statuses = [await write(peer, f"k{i}", 1, 0) for i in range(3)]
            answer = await peer.send("POST", TRANSACT, {"writes": []})
        assert statuses.count(200) >= 1
        assert answer.status == 429
        assert answer.headers["retry-after"] == "1"


class TestTableFaults(testtools.TestCase):
    @async_test
    async def test_lost_reply_keeps_the_write(self) -> None:
        async with running_platform() as peer:
            await peer.fault("lost_reply", table="other")
            assert await write(peer, "k", 1, 0) == 200
            await peer.fault("lost_reply", table="t")
            with testtools.ExpectedException(CutLinkError):
                await write(peer, "k", 2, 1)
            row = await peer.json("GET", "/v1/table/t/k")
            assert await write(peer, "k", 3, 2) == 200
        assert row["value"] == 2

    @async_test
    async def test_down_until_cleared(self) -> None:
        async with running_platform() as peer:
            await peer.fault("down", part="table")
            assert await write(peer, "k", 1, 0) == 503
            assert (await peer.send("GET", "/v1/cloud/hosts")).status == 200
            await peer.send("DELETE", "/faults")
            assert await write(peer, "k", 1, 0) == 200

    @async_test
    async def test_black_hole_never_answers(self) -> None:
        async with running_platform() as peer:
            await peer.fault("black_hole")
            with testtools.ExpectedException(SilentLinkError):
                await peer.send("GET", "/v1/table/t/k", limit_s=0.05)

    @async_test
    async def test_stale_read_answers_the_previous_value(self) -> None:
        async with running_platform() as peer:
            await write(peer, "k", "old", 0)
            await write(peer, "k", "new", 1)
            await peer.fault("stale_read")
            row = await peer.json("GET", "/v1/table/t/k")
        assert row == {"key": "k", "value": "old", "version": 1}


class TestObjects(testtools.TestCase):
    @async_test
    async def test_put_get_delete(self) -> None:
        async with running_platform() as peer:
            await peer.send("PUT", "/v1/objects/a/b", "x")
            got = await peer.send("GET", "/v1/objects/a/b")
            await peer.send("DELETE", "/v1/objects/a/b")
            missing = await peer.send("GET", "/v1/objects/a/b")
        assert (got.body, missing.status) == (b'"x"', 404)


class TestCloud(testtools.TestCase):
    @async_test
    async def test_start_is_idempotent_and_fenced(self) -> None:
        async with running_platform("--start-s", "0") as peer:
            await peer.send("PUT", "/admin/hosts", {"hosts": [SPARE]})
            first = await peer.send("POST", "/v1/cloud/start", START)
            again = await peer.send("POST", "/v1/cloud/start", START)
            other = START | {"order_id": "o2"}
            without_capacity = await peer.send(
                "POST", "/v1/cloud/start", other
            )
            old = START | {"order_id": "o3", "fencing": 4}
            old_fencing = await peer.send("POST", "/v1/cloud/start", old)
        assert first.json() == again.json() == {"server_id": "e1"}
        assert without_capacity.status == 409
        assert old_fencing.status == 412
        assert old_fencing.json()["error"]["current"] == 5
        assert len(peer.journal("start")) == 1

    @async_test
    async def test_started_server_gets_its_version(self) -> None:
        async with (
            running_platform("--start-s", "0") as peer,
            running_engine() as engine,
        ):
            row = SPARE | {"address": engine.address, "incarnation": 7}
            await peer.send("PUT", "/admin/hosts", {"hosts": [row]})
            await peer.send("POST", "/v1/cloud/start", START)

            async def is_live() -> bool:
                hosts = (await peer.json("GET", "/v1/cloud/hosts"))["hosts"]
                return bool(hosts) and hosts[0]["state"] == "live"

            await wait_until(is_live)
            state = await engine.json("GET", "/v1/state")
        assert (state["version"], state["incarnation"]) == ("v2", 7)

    @async_test
    async def test_refused_starts(self) -> None:
        async with running_platform() as peer:
            await peer.send("PUT", "/admin/hosts", {"hosts": [SPARE]})
            await peer.fault("refuse_starts")
            answer = await peer.send("POST", "/v1/cloud/start", START)
            offers = await peer.json("GET", "/v1/cloud/offers")
        assert answer.status == 409
        assert offers["offers"][0]["available"] == 1

    @async_test
    async def test_list_lags_and_freezes(self) -> None:
        async with running_platform("--list-lag-s", "60") as peer:
            row = SPARE | {"state": "live"}
            await peer.send("PUT", "/admin/hosts", {"hosts": [row]})
            await peer.send("PUT", "/admin/hosts", {"remove": ["e1"]})
            lagging = await peer.json("GET", "/v1/cloud/hosts")
        assert [h["server_id"] for h in lagging["hosts"]] == ["e1"]
        async with running_platform() as peer:
            await peer.send("PUT", "/admin/hosts", {"hosts": [row]})
            await peer.fault("stale_list")
            await peer.send("PUT", "/admin/hosts", {"remove": ["e1"]})
            frozen = await peer.json("GET", "/v1/cloud/hosts")
            await peer.send("DELETE", "/faults")
            fresh = await peer.json("GET", "/v1/cloud/hosts")
        assert [h["server_id"] for h in frozen["hosts"]] == ["e1"]
        assert fresh["hosts"] == []

    @async_test
    async def test_notice_ends_a_long_poll_then_the_host_stops(self) -> None:
        async with running_platform() as peer, running_engine() as engine:
            row = SPARE | {"state": "live", "address": engine.address}
            await peer.send("PUT", "/admin/hosts", {"hosts": [row]})
            await peer.fault("notice", server_id="e1", deadline_s=0.1)
            found = await peer.json(
                "GET", "/v1/cloud/notices?after=0&wait_ms=5000"
            )

            async def is_stopped() -> bool:
                return engine.stand_in.stopped

            await wait_until(is_stopped)
            hosts = await peer.json("GET", "/v1/cloud/hosts")
        assert found["notices"][0]["server_id"] == "e1"
        assert hosts["hosts"] == []

    @async_test
    async def test_dropped_notices_are_not_delivered(self) -> None:
        async with running_platform() as peer:
            await peer.fault("drop_notices")
            await peer.fault("notice", host_id="n1", deadline_s=9)
            found = await peer.json(
                "GET", "/v1/cloud/notices?after=0&wait_ms=5000"
            )
        assert found == {"notices": [], "seq": 1}
