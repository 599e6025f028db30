"""Tests of the stand-in plain service."""

import tempfile

import testtools

from tests.helpers import async_test
from tests.standins.helpers import Peer, running_service
from waxwingarch.adapters.http_connection import CutLinkError, SilentLinkError

OUTCOME = "/v1/outcomes/op1"


async def disburse(peer: Peer, op: str = "op1") -> object:
    """Run an operation and return the status."""
    headers = (("x-operation-id", op),)
    answer = await peer.send("POST", "/disburse", {"sum": 5}, headers)
    return answer.status


class TestPlainService(testtools.TestCase):
    @async_test
    async def test_repeated_operation_runs_again(self) -> None:
        async with running_service() as peer:
            await disburse(peer)
            await disburse(peer)
        runs = [(e["op"], e["run"]) for e in peer.journal("finished")]
        assert runs == [("op1", 1), ("op1", 2)]

    @async_test
    async def test_outcome_of_a_lost_reply(self) -> None:
        async with running_service() as peer:
            before = await peer.json("GET", OUTCOME)
            await peer.fault("lost_reply")
            with testtools.ExpectedException(CutLinkError):
                await disburse(peer)
            after = await peer.json("GET", OUTCOME)
        assert before == {"ran": False}
        assert (after["ran"], after["status"]) == (True, 200)
        assert after["body"]["received"] == {"sum": 5}

    @async_test
    async def test_late_answer_delays_work_only(self) -> None:
        async with running_service() as peer:
            await peer.fault("late_answer", delay_ms=60_000)
            await peer.json("GET", OUTCOME)
            with testtools.ExpectedException(SilentLinkError):
                headers = (("x-operation-id", "op1"),)
                await peer.send("POST", "/disburse", {}, headers, 0.05)
            assert await disburse(peer, "op2") == 200
            assert (await peer.json("GET", OUTCOME))["status"] == 200

    @async_test
    async def test_service_without_outcome_queries(self) -> None:
        async with running_service("--no-outcomes") as peer:
            await disburse(peer)
            assert (await peer.send("GET", OUTCOME)).status == 404

    @async_test
    async def test_servers_share_outcomes(self) -> None:
        with tempfile.TemporaryDirectory() as path:
            options = ("--record-dir", path)
            async with (
                running_service(*options) as one,
                running_service(*options) as other,
            ):
                await disburse(one)
                outcome = await other.json("GET", OUTCOME)
        assert outcome["ran"] is True
