"""Tests of the client that matches answers to calls."""

import asyncio

import testtools

from tests.adapters.copying_server import Call, copying_server
from tests.helpers import async_test
from waxwingarch.adapters.matching_client import (
    MatchingClient,
    UnmatchedAnswerError,
)

PATIENCE_S = 5.0
REFUSED = "503 Service Unavailable"


def _echo(call: Call) -> tuple[str, list[str], bytes]:
    status = REFUSED if "refuse" in call.target else "200 OK"
    return status, [], call.target.encode()


class CopiedAnswers(testtools.TestCase):
    """Servers that send a copy of an answer where the next one is due."""

    async def async_calls(
        self,
        targets: list[str],
        *repeating: str,
    ) -> tuple[list[str], list[int]]:
        """Return the answers, and the number of calls on each connection."""
        client = MatchingClient()
        deadline = asyncio.get_running_loop().time() + PATIENCE_S
        answers = []
        async with copying_server(_echo, repeating.__contains__) as server:
            for target in targets:
                try:
                    answer = await client.async_request(
                        "GET", server.address, target, deadline=deadline
                    )
                    answers.append(answer.body.decode())
                except UnmatchedAnswerError:
                    answers.append("unmatched")
            await client.async_unload()
        return answers, server.connections

    # Guards against an answer to one caller that another one gets.
    @async_test
    async def test_each_call_gets_its_own_answer(self) -> None:
        targets = ["/1", "/refuse", "/3", "/4", "/refuse/5"]
        for repeating, third, connections in (
            (("200 OK", REFUSED), "/3", [5]),
            ((), "/3", [1] * 5),
            ((REFUSED,), "unmatched", [1, 2, 1, 1]),
        ):
            answers, used = await self.async_calls(targets, *repeating)
            expected = [*targets[:2], third, *targets[3:]]
            self.assertEqual((expected, connections), (answers, used))
