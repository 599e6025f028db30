"""Tests of the cluster of processes and of the caller."""

import asyncio
import signal

import testtools

from standins.client import Caller, CompletionRequest
from standins.cluster import Cluster, ClusterError, http_json
from tests.helpers import async_test


class TestCluster(testtools.TestCase):
    def test_starts_signals_and_ends_its_processes(self) -> None:
        with Cluster() as cluster:
            cluster.start_platform()
            address = cluster.start_engine("e1", "pool")
            cluster.signal("e1", signal.SIGSTOP)
            self.assertRaises(
                TimeoutError,
                http_json,
                "GET",
                address,
                "/health",
                timeout_s=0.1,
            )
            cluster.signal("e1", signal.SIGCONT)
            cluster.wait_health("e1")
            cluster.kill("e1")
            assert cluster.start_engine("e1", "pool") == address
            assert cluster.stop("platform") == 0
            cluster.signal("e1", signal.SIGSTOP)
        assert not cluster.alive("e1")

    def test_failed_start_reports_the_error_output(self) -> None:
        with Cluster() as cluster:
            error = self.assertRaises(
                ClusterError, cluster.start_engine, "e1", "pool", "--no-such"
            )
        assert "--no-such" in str(error)


class TestCaller(testtools.TestCase):
    @async_test
    async def test_recognises_correct_and_wrong_answers(self) -> None:
        with Cluster() as cluster:
            address = cluster.start_engine("e1", "pool")
            caller = Caller([address])
            deadline = asyncio.get_running_loop().time() + 20
            streamed = await caller.async_ask(
                CompletionRequest(prompt="a b"), deadline
            )
            ask = CompletionRequest(messages=(("user", "hi"),), stream=False)
            whole = await caller.async_ask(ask, deadline)
            cluster.fault("e1", "repeat_chunk")
            wrong = await caller.async_ask(
                CompletionRequest(prompt="c"), deadline
            )
            await caller.async_unload()
        assert streamed.is_correct
        assert whole.is_correct
        assert (wrong.whole, wrong.is_correct) == (True, False)

    @async_test
    async def test_retries_only_with_retry_after(self) -> None:
        with Cluster() as cluster:
            address = cluster.start_engine("e1", "pool")
            cluster.fault("e1", "down", seconds=0.2)
            caller = Caller([address])
            deadline = asyncio.get_running_loop().time() + 20
            answer = await caller.async_ask(
                CompletionRequest(prompt="a"), deadline
            )
            await caller.async_unload()
        assert (answer.status, answer.connections) == (503, 1)
