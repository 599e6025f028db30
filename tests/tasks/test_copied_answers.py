"""Tests of the own interface with servers that send answers too many."""

import asyncio
from dataclasses import replace
from random import Random
from typing import Any

import orjson
import testtools

from tests.adapters.copying_server import OPERATION_ID, Call, copying_server
from tests.helpers import async_test
from tests.tasks.test_request_log import request
from waxwingarch.adapters.matching_client import MatchingClient
from waxwingarch.adapters.platform import HttpTableStore
from waxwingarch.adapters.platform_http import PlatformLink
from waxwingarch.core.base import (
    AttemptId,
    Event,
    RequestId,
    ServerId,
    ServerKind,
)
from waxwingarch.core.once.once_messages import OutcomeNotSeen, OutcomeRan
from waxwingarch.core.request import (
    AttemptLost,
    AttemptMode,
    ChunkArrived,
    LossKind,
    PlainAnswered,
    StartAttempt,
)
from waxwingarch.core.requests.guarded import OnceQuery, OnceReply
from waxwingarch.ports.table import Committed, Conflict, Row, Write
from waxwingarch.tasks.attempts import AttemptRunner
from waxwingarch.tasks.claims import ClaimTasks
from waxwingarch.tasks.exchange import Exchange, Exchanges

PATIENCE_S = 5.0


class _Runner:
    """Keeps handlers and posted events."""

    def __init__(self) -> None:
        self.handlers: dict[type, Any] = {}
        self.posted: asyncio.Queue[Event] = asyncio.Queue()
        self.connect = self.handlers.__setitem__
        self.post = self.posted.put_nowait

    async def async_do(self, action: Any) -> Any:
        """Carry out an action; return the first event that it leads to."""
        self.handlers[type(action)](action)
        return await asyncio.wait_for(self.posted.get(), PATIENCE_S)


def _respond(call: Call) -> tuple[str, list[str], bytes]:
    """Answer with what the call asks for; its id says if it is refused."""
    payload = orjson.loads(call.body) if call.body else {}
    stream = payload.get("waxwing", {}).get("stream_id")
    op = stream or call.headers.get(OPERATION_ID) or call.target
    if "busy" in op:
        return "503 Service Unavailable", [], b""
    if "other" in op:
        return "200 OK", [], orjson.dumps({"ran": False})
    if stream is None:
        body = {"ran": True, "status": 200, "body": op}
        return "200 OK", [], orjson.dumps(body)
    event = orjson.dumps({"offset": 0, "tokens": [op]})
    return "200 OK", [], b"data: " + event + b"\n\n"


def _table(call: Call) -> tuple[str, list[str], bytes]:
    """Commit the first write of all, and tell the key that was read."""
    key = call.target.rpartition("/")[2]
    if key != "transact":
        row = {"key": key, "value": key, "version": 1}
        return "200 OK", [], orjson.dumps(row)
    [write] = orjson.loads(call.body)["writes"]
    if write["key"] == "first":
        return "200 OK", [], orjson.dumps({"committed": True, "versions": [1]})
    body = {"committed": False, "conflicts": []}
    return "409 Conflict", [], orjson.dumps(body)


class CopiedAnswers(testtools.TestCase):
    """Each server sends a copy of its last answer before the next one."""

    async def async_attempts(self, kind: ServerKind) -> list[Any]:
        """Send requests to one server, of which the first one is refused."""
        runner, exchanges = _Runner(), Exchanges()
        client = MatchingClient()
        attempts = AttemptRunner(runner, exchanges, client)  # type: ignore[arg-type]
        seen: list[Any] = []
        async with copying_server(_respond) as server:
            for name in ("busy", "r-1", "r-2"):
                exchange = Exchange(
                    request=replace(request(name), kind=kind),
                    payload={},
                    body=b"{}",
                    content_type="application/json",
                    target="/do",
                )
                exchanges.add(exchange)
                action = StartAttempt(
                    request_id=RequestId(name),
                    attempt_id=AttemptId(f"a-{name}"),
                    server_id=ServerId("s"),
                    address=server.address,
                    stream_id=f"op-{name}",
                    mode=AttemptMode.FRESH,
                    answer_deadline=asyncio.get_running_loop().time()
                    + PATIENCE_S,
                )
                event = await runner.async_do(action)
                match event:
                    case AttemptLost():
                        seen.append(event.kind)
                    case ChunkArrived():
                        seen += event.tokens
                        # The stream ends without its last event.
                        await runner.posted.get()
                    case PlainAnswered():
                        answer = exchange.responses[event.attempt_id]
                        seen.append(answer.json()["body"])
                # Its connection is back in the pool.
                await asyncio.sleep(0)
            await attempts.async_unload()
            await client.async_unload()
        return seen

    # Guards against an answer to one caller that another one gets, and
    # against a refusal of one request that is taken for that of another.
    @async_test
    async def test_requests_get_their_own_answers(self) -> None:
        for kind in ServerKind:
            self.assertEqual(
                [LossKind.REFUSED, "op-r-1", "op-r-2"],
                await self.async_attempts(kind),
            )

    # Guards against the outcome of one operation that decides on another.
    @async_test
    async def test_outcomes_are_those_of_the_operation(self) -> None:
        runner, client = _Runner(), MatchingClient()
        nothing: Any = NothingStored()
        ClaimTasks(runner, Exchanges(), client, nothing, nothing)  # type: ignore[arg-type]
        outcomes: list[Any] = []
        async with copying_server(_respond) as server:
            for op in ("op-1", "other", "op-2"):
                query = OnceQuery(
                    request_id=RequestId(op),
                    address=server.address,
                    operation_id=op,
                    deadline=asyncio.get_running_loop().time() + PATIENCE_S,
                )
                reply = await runner.async_do(query)
                assert isinstance(reply, OnceReply)
                outcomes.append(reply.reply)
            await client.async_unload()
        match outcomes:
            case [
                OutcomeRan() as first,
                OutcomeNotSeen(),
                OutcomeRan() as last,
            ]:
                bodies = [first.answer.body, last.answer.body]
            case _:
                bodies = outcomes
        self.assertEqual(
            [b'"/v1/outcomes/op-1"', b'"/v1/outcomes/op-2"'], bodies
        )

    # Guards against a claim that is taken for written as another one was.
    @async_test
    async def test_writes_and_reads_are_their_own(self) -> None:
        client = MatchingClient()
        deadline = asyncio.get_running_loop().time() + PATIENCE_S
        seen: list[Any] = []
        async with copying_server(_table) as server:
            link = PlatformLink(client, server.address, Random(1))
            table = HttpTableStore(link)
            for key in ("first", "second"):
                write = Write(table="t", key=key, value=1)
                seen.append(
                    await table.async_transact([], [write], deadline=deadline)
                )
            for key in ("a", "b"):
                row = await table.async_get("t", key, deadline=deadline)
                seen.append(row)
            await client.async_unload()
        rows = [
            Row(table="t", key=key, value=key, version=1) for key in ("a", "b")
        ]
        self.assertEqual(
            [Committed(versions=(1,)), Conflict(rows=()), *rows], seen
        )


class NothingStored:
    """Stands for stores that are not used."""

    async_read = async_write = None
