"""Tests of the tasks that run at-most-once requests."""

import asyncio
from collections.abc import Callable

import testtools

from tests.adapters.fake_table import FakeTable
from tests.core.test_once import ANSWER
from tests.helpers import async_test
from waxwingarch.adapters.claim_store import ClaimStore
from waxwingarch.core.base import AccountId, Event, HostId, Ran
from waxwingarch.core.claim import StoredAnswer
from waxwingarch.core.once import OnceMachine
from waxwingarch.core.once_messages import (
    Answer,
    Dispatch,
    DispatchAnswered,
    DispatchLost,
    DispatchNotSent,
    OutcomeNotSeen,
    OutcomeRan,
    QueryOutcome,
    RefusalKind,
    RefuseRequest,
)
from waxwingarch.core.once_request import ReceivedRequest, once_request
from waxwingarch.tasks.once_runner import OnceRunner, Reply

LARGE = StoredAnswer(status=200, content_type="text/plain", body=b"x" * 20000)


class _Service:
    """Runs what it is sent; `cut` loses the answer."""

    def __init__(self, answer: StoredAnswer = ANSWER) -> None:
        self.runs = 0
        self.cut = False
        self.begun = asyncio.Event()
        self.gate = asyncio.Event()
        self.gate.set()
        self._answer = answer

    async def async_dispatch(
        self, action: Dispatch, may_dispatch: Callable[[], bool]
    ) -> Event:
        if not may_dispatch():
            return DispatchNotSent()
        self.runs += 1
        self.begun.set()
        await self.gate.wait()
        if self.cut:
            return DispatchLost()
        return DispatchAnswered(answer=self._answer)

    async def async_query(self, action: QueryOutcome) -> Event:
        if not self.runs:
            return OutcomeNotSeen()
        return OutcomeRan(answer=self._answer)


class _Objects:
    def __init__(self) -> None:
        self.data: dict[str, bytes] = {}

    async def async_put(
        self, name: str, data: bytes, *, deadline: float
    ) -> None:
        self.data[name] = data

    async def async_get(self, name: str, *, deadline: float) -> bytes | None:
        return self.data.get(name)

    async def async_delete(self, name: str, *, deadline: float) -> None:
        self.data.pop(name, None)


class _Host:
    """One entry host, with its own runner, on a shared table."""

    def __init__(self, name: str, table: FakeTable, service: _Service) -> None:
        self.name = HostId(name)
        self.objects = _Objects()
        self.gone: set[HostId] = set()
        self._store = ClaimStore(table)
        self._runner = OnceRunner(self._store, self.objects)
        self._service = service
        self._count = 0

    def is_gone(self, host: HostId, incarnation: int) -> bool:
        return host in self.gone

    async def async_setup(self) -> None:
        await self._store.async_setup()

    async def async_unload(self) -> None:
        loop = asyncio.get_running_loop()
        await self._runner.async_unload(loop.time() + 10)
        await self._store.async_unload()

    async def async_pay(self, *, outcome_query: bool = False) -> Reply:
        now = asyncio.get_running_loop().time()
        self._count += 1
        received = ReceivedRequest(
            account=AccountId("acc"),
            idempotency_key="pledge-1",
            method="POST",
            path="/pay",
            body=b"{}",
            answer_deadline=now + 10,
            outcome_query=outcome_query,
        )
        req = once_request(
            received,
            now=now,
            unix_now=now,
            host=self.name,
            incarnation=1,
            claim_id=f"{self.name}-{self._count}",
        )
        return await self._runner.async_run(
            OnceMachine(req, self), self._service
        )


class Runs(testtools.TestCase):
    async def _hosts(
        self, service: _Service
    ) -> tuple[FakeTable, _Host, _Host]:
        table = FakeTable()
        hosts = _Host("a", table, service), _Host("b", table, service)
        for host in hosts:
            await host.async_setup()
        return table, *hosts

    @async_test
    async def test_retries_through_another_host_run_once(self) -> None:
        service = _Service()
        _, a, b = await self._hosts(service)
        service.gate.clear()
        first = asyncio.create_task(a.async_pay())
        await service.begun.wait()
        told = await b.async_pay()
        assert isinstance(told, RefuseRequest)
        self.assertIs(RefusalKind.IN_PROGRESS, told.kind)
        service.gate.set()
        self.assertEqual(Answer(answer=ANSWER, replayed=False), await first)
        await a.async_unload()
        again = await b.async_pay()
        self.assertEqual(Answer(answer=ANSWER, replayed=True), again)
        self.assertEqual(1, service.runs)
        await b.async_unload()

    @async_test
    async def test_a_caller_that_leaves_still_gets_it_recorded(self) -> None:
        service = _Service()
        _, a, b = await self._hosts(service)
        service.gate.clear()
        caller = asyncio.create_task(a.async_pay())
        await service.begun.wait()
        caller.cancel()
        await asyncio.wait([caller])
        service.gate.set()
        await a.async_unload()
        again = await b.async_pay()
        self.assertEqual(Answer(answer=ANSWER, replayed=True), again)
        await b.async_unload()

    @async_test
    async def test_lost_replies_of_the_table_run_once(self) -> None:
        service = _Service()
        table, a, b = await self._hosts(service)
        table.faults = ["lost", "", "lost"]
        self.assertIsInstance(await a.async_pay(), Answer)
        await a.async_unload()
        self.assertIsInstance(await b.async_pay(), Answer)
        self.assertEqual(1, service.runs)
        await b.async_unload()

    @async_test
    async def test_table_down_is_not_run(self) -> None:
        service = _Service()
        table, a, b = await self._hosts(service)
        table.faults = ["down"]
        told = await a.async_pay()
        assert isinstance(told, RefuseRequest)
        self.assertIs(Ran.NOT_RUN, told.ran)
        self.assertEqual(0, service.runs)
        self.assertIsInstance(await b.async_pay(), Answer)
        await a.async_unload()
        await b.async_unload()

    @async_test
    async def test_a_cut_answer_is_asked_for(self) -> None:
        service = _Service()
        service.cut = True
        _, a, b = await self._hosts(service)
        told = await a.async_pay(outcome_query=True)
        self.assertIsInstance(told, Answer)
        told = await b.async_pay(outcome_query=True)
        self.assertIsInstance(told, Answer)
        self.assertEqual(1, service.runs)
        await a.async_unload()
        await b.async_unload()

    @async_test
    async def test_a_large_answer_goes_to_the_object_store(self) -> None:
        service = _Service(LARGE)
        _, a, b = await self._hosts(service)
        told = await a.async_pay()
        self.assertEqual(Answer(answer=LARGE, replayed=False), told)
        await a.async_unload()
        again = await b.async_pay()
        assert isinstance(again, Answer)
        assert again.answer.ref is not None
        self.assertEqual(LARGE.body, a.objects.data[again.answer.ref])
        await b.async_unload()
