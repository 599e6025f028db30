"""Tests of at-most-once requests over two hosts and one table."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

import testtools

from tests.adapters.fake_table import FakeTable
from tests.core.once.test_once import ANSWER, REQ
from tests.helpers import async_test
from waxwingarch.adapters.claim_store import ClaimStore
from waxwingarch.core.base import Action, Event, ExecutionStatus, HostId
from waxwingarch.core.once.claim import StoredAnswer
from waxwingarch.core.once.once import OnceMachine
from waxwingarch.core.once.once_messages import (
    Answer,
    AnswerStored,
    Dispatch,
    DispatchAnswered,
    DispatchLost,
    DispatchNotSent,
    OnceTimer,
    OutcomeNotSeen,
    OutcomeRan,
    QueryOutcome,
    ReadClaim,
    RefusalKind,
    RefuseRequest,
    SetOnceTimer,
    StoreAnswer,
    WriteClaim,
)

Reply = Answer | RefuseRequest
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

    async def async_dispatch(self, may_dispatch: Callable[[], bool]) -> Event:
        if not may_dispatch():
            return DispatchNotSent()
        self.runs += 1
        self.begun.set()
        await self.gate.wait()
        if self.cut:
            return DispatchLost()
        return DispatchAnswered(answer=self._answer)

    async def async_query(self) -> Event:
        if not self.runs:
            return OutcomeNotSeen()
        return OutcomeRan(answer=self._answer)


class _Objects:
    def __init__(self) -> None:
        self.data: dict[str, bytes] = {}


class _Runs:
    """Drives machines in tasks of their own, as the daemon does."""

    def __init__(self, claims: ClaimStore, objects: _Objects) -> None:
        self._claims = claims
        self._objects = objects
        self.tasks: set[asyncio.Task[None]] = set()

    async def async_run(
        self, machine: OnceMachine, service: _Service
    ) -> Reply:
        reply: asyncio.Future[Reply] = asyncio.Future()
        self.tasks.add(
            asyncio.create_task(self._async_drive(machine, service, reply))
        )
        return await asyncio.shield(reply)

    async def _async_drive(
        self,
        machine: OnceMachine,
        service: _Service,
        reply: asyncio.Future[Reply],
    ) -> None:
        now = asyncio.get_running_loop().time
        actions = machine.start(now())
        while not machine.finished:
            for action in actions:
                if isinstance(action, Answer | RefuseRequest):
                    reply.set_result(action)
            event = await self._async_do(actions[-1], machine, service)
            actions = machine.handle(now(), event)
        for action in actions:
            if isinstance(action, Answer | RefuseRequest):
                reply.set_result(action)

    async def _async_do(
        self, action: Action, machine: OnceMachine, service: _Service
    ) -> Event:
        now = asyncio.get_running_loop().time
        match action:
            case WriteClaim():
                return await self._claims.async_write(action)
            case ReadClaim():
                return await self._claims.async_read(action)
            case Dispatch():
                return await service.async_dispatch(
                    lambda: machine.may_dispatch(now())
                )
            case QueryOutcome():
                return await service.async_query()
            case StoreAnswer():
                self._objects.data[action.name] = action.body
                return AnswerStored()
            case SetOnceTimer():
                await asyncio.sleep(max(0.0, action.at - now()))
                return OnceTimer()
        raise TypeError(f"unknown action {action}")


class _Host:
    """One entry host, with its own runner, on a shared table."""

    def __init__(self, name: str, table: FakeTable, service: _Service) -> None:
        self.name = HostId(name)
        self.objects = _Objects()
        self.gone: set[HostId] = set()
        self._store = ClaimStore(table)
        self._runner = _Runs(self._store, self.objects)
        self._service = service
        self._count = 0

    def has_departed(self, host: HostId, incarnation: int) -> bool:
        return host in self.gone

    async def async_setup(self) -> None:
        await self._store.async_setup()

    async def async_unload(self) -> None:
        if self._runner.tasks:
            await asyncio.wait(self._runner.tasks)
        await self._store.async_unload()

    async def async_pay(self, *, outcome_query: bool = False) -> Reply:
        now = asyncio.get_running_loop().time()
        self._count += 1
        req = replace(
            REQ,
            claim_id=f"{self.name}-{self._count}",
            owner=self.name,
            dispatch_deadline=now + 5,
            answer_deadline=now + 10,
            record_deadline=now + 20,
            unix_offset=0.0,
            outcome_query=outcome_query,
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
        self.assertIs(ExecutionStatus.NOT_RUN, told.ran)
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
