"""Tests of at-most-once requests through two hosts that share a table."""

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
LARGE_ANSWER = StoredAnswer(
    status=200, content_type="text/plain", body=b"x" * 20000
)


class _Service:
    """A service that counts its runs.

    Each run waits for `may_finish`; with `loses_response` the request
    runs but its response is lost.
    """

    def __init__(self, answer: StoredAnswer = ANSWER) -> None:
        self.runs = 0
        self.loses_response = False
        self.started = asyncio.Event()
        self.may_finish = asyncio.Event()
        self.may_finish.set()
        self._answer = answer

    async def async_dispatch(self, may_dispatch: Callable[[], bool]) -> Event:
        if not may_dispatch():
            return DispatchNotSent()
        self.runs += 1
        self.started.set()
        await self.may_finish.wait()
        if self.loses_response:
            return DispatchLost()
        return DispatchAnswered(answer=self._answer)

    async def async_query(self) -> Event:
        if not self.runs:
            return OutcomeNotSeen()
        return OutcomeRan(answer=self._answer)


class _ObjectStore:
    def __init__(self) -> None:
        self.data: dict[str, bytes] = {}


class _MachineRunner:
    """Runs each state machine in a task of its own, as the daemon does."""

    def __init__(self, claims: ClaimStore, objects: _ObjectStore) -> None:
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
    """One entry host with its own runner and a shared table."""

    def __init__(self, name: str, table: FakeTable, service: _Service) -> None:
        self.name = HostId(name)
        self.objects = _ObjectStore()
        self.dead_hosts: set[HostId] = set()
        self._store = ClaimStore(table)
        self._runner = _MachineRunner(self._store, self.objects)
        self._service = service
        self._request_count = 0

    def has_departed(self, host: HostId, incarnation: int) -> bool:
        return host in self.dead_hosts

    async def async_setup(self) -> None:
        await self._store.async_setup()

    async def async_unload(self) -> None:
        if self._runner.tasks:
            await asyncio.wait(self._runner.tasks)
        await self._store.async_unload()

    async def async_request(self, *, outcome_query: bool = False) -> Reply:
        """Send the request of one idempotency key through this host."""
        now = asyncio.get_running_loop().time()
        self._request_count += 1
        req = replace(
            REQ,
            claim_id=f"{self.name}-{self._request_count}",
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


class AtMostOnceTest(testtools.TestCase):
    async def _start_hosts(
        self, service: _Service
    ) -> tuple[FakeTable, _Host, _Host]:
        table = FakeTable()
        hosts = _Host("a", table, service), _Host("b", table, service)
        for host in hosts:
            await host.async_setup()
        return table, *hosts

    @async_test
    async def test_retry_through_another_host_does_not_run_again(
        self,
    ) -> None:
        service = _Service()
        _, a, b = await self._start_hosts(service)
        service.may_finish.clear()
        first = asyncio.create_task(a.async_request())
        await service.started.wait()
        reply = await b.async_request()
        assert isinstance(reply, RefuseRequest)
        self.assertIs(RefusalKind.IN_PROGRESS, reply.kind)
        service.may_finish.set()
        self.assertEqual(Answer(answer=ANSWER, replayed=False), await first)
        await a.async_unload()
        replayed = await b.async_request()
        self.assertEqual(Answer(answer=ANSWER, replayed=True), replayed)
        self.assertEqual(1, service.runs)
        await b.async_unload()

    @async_test
    async def test_outcome_is_recorded_after_caller_disconnects(
        self,
    ) -> None:
        service = _Service()
        _, a, b = await self._start_hosts(service)
        service.may_finish.clear()
        caller = asyncio.create_task(a.async_request())
        await service.started.wait()
        caller.cancel()
        await asyncio.wait([caller])
        service.may_finish.set()
        await a.async_unload()
        replayed = await b.async_request()
        self.assertEqual(Answer(answer=ANSWER, replayed=True), replayed)
        await b.async_unload()

    @async_test
    async def test_request_runs_once_despite_lost_table_replies(
        self,
    ) -> None:
        service = _Service()
        table, a, b = await self._start_hosts(service)
        table.faults = ["lost", "", "lost"]
        self.assertIsInstance(await a.async_request(), Answer)
        await a.async_unload()
        self.assertIsInstance(await b.async_request(), Answer)
        self.assertEqual(1, service.runs)
        await b.async_unload()

    @async_test
    async def test_request_does_not_run_while_table_is_down(self) -> None:
        service = _Service()
        table, a, b = await self._start_hosts(service)
        table.faults = ["down"]
        reply = await a.async_request()
        assert isinstance(reply, RefuseRequest)
        self.assertIs(ExecutionStatus.NOT_RUN, reply.ran)
        self.assertEqual(0, service.runs)
        self.assertIsInstance(await b.async_request(), Answer)
        await a.async_unload()
        await b.async_unload()

    @async_test
    async def test_lost_response_is_fetched_by_an_outcome_query(
        self,
    ) -> None:
        service = _Service()
        service.loses_response = True
        _, a, b = await self._start_hosts(service)
        reply = await a.async_request(outcome_query=True)
        self.assertIsInstance(reply, Answer)
        reply = await b.async_request(outcome_query=True)
        self.assertIsInstance(reply, Answer)
        self.assertEqual(1, service.runs)
        await a.async_unload()
        await b.async_unload()

    @async_test
    async def test_large_response_is_kept_in_the_object_store(self) -> None:
        service = _Service(LARGE_ANSWER)
        _, a, b = await self._start_hosts(service)
        reply = await a.async_request()
        self.assertEqual(Answer(answer=LARGE_ANSWER, replayed=False), reply)
        await a.async_unload()
        replayed = await b.async_request()
        assert isinstance(replayed, Answer)
        assert replayed.answer.ref is not None
        self.assertEqual(
            LARGE_ANSWER.body, a.objects.data[replayed.answer.ref]
        )
        await b.async_unload()
