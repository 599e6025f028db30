"""Runs requests that run at most once, one task each.

A task outlives its caller: once a request is claimed, its outcome is
recorded also if the caller has gone.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final, Protocol

from waxwingarch.adapters.claim_store import ClaimStore
from waxwingarch.core.base import Action, Event
from waxwingarch.core.once_messages import (
    Answer,
    AnswerNotStored,
    AnswerStored,
    Dispatch,
    OnceTimer,
    QueryOutcome,
    ReadClaim,
    RefuseRequest,
    SetOnceTimer,
    StoreAnswer,
    WriteClaim,
)
from waxwingarch.exceptions import PlatformUnavailableError
from waxwingarch.ports.objects import ObjectStore

STORE_LIMIT_S: Final = 5.0

Reply = Answer | RefuseRequest


class RunMachine(Protocol):
    """A machine for one request, with a claim or without."""

    def start(self, now: float) -> list[Action]:
        """Begin."""

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event."""

    def may_dispatch(self, now: float) -> bool:
        """Return whether the first byte may be written now."""


class OnceSender(Protocol):
    """Sends a request to a server of its service."""

    async def async_dispatch(
        self, action: Dispatch, may_dispatch: Callable[[], bool]
    ) -> Event:
        """Connect afresh, ask `may_dispatch`, then write at once.

        Returns `DispatchAnswered`, `DispatchLost`, or `DispatchNotSent`
        if no byte was written; raises nothing.
        """

    async def async_query(self, action: QueryOutcome) -> Event:
        """Return `OutcomeRan` or `OutcomeNotSeen`; raises nothing."""


class OnceRunner:
    """Carries out the actions of machines and feeds back the events."""

    def __init__(self, claims: ClaimStore, objects: ObjectStore) -> None:
        self._claims = claims
        self._objects = objects
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_run(
        self, machine: RunMachine, sender: OnceSender
    ) -> Reply:
        """Return what the caller is to be told."""
        loop = asyncio.get_running_loop()
        reply: asyncio.Future[Reply] = loop.create_future()
        task = loop.create_task(self._async_drive(machine, sender, reply))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(reply)

    async def async_unload(self, deadline: float) -> None:
        """Wait for outcomes to be recorded, then stop."""
        if self._tasks:
            limit_s = deadline - asyncio.get_running_loop().time()
            await asyncio.wait(self._tasks, timeout=max(0.0, limit_s))
        for task in self._tasks:
            task.cancel()

    async def _async_drive(
        self,
        machine: RunMachine,
        sender: OnceSender,
        reply: asyncio.Future[Reply],
    ) -> None:
        try:
            await self._async_follow(machine, sender, reply)
        except Exception as exc:
            if reply.done():
                raise
            reply.set_exception(exc)
        finally:
            if not reply.done():
                reply.cancel()

    async def _async_follow(
        self,
        machine: RunMachine,
        sender: OnceSender,
        reply: asyncio.Future[Reply],
    ) -> None:
        loop = asyncio.get_running_loop()
        actions = machine.start(loop.time())
        while actions:
            pending = None
            for action in actions:
                if isinstance(action, Answer | RefuseRequest):
                    reply.set_result(action)
                else:
                    pending = self._act(action, machine, sender) or pending
            if pending is None:
                return
            actions = machine.handle(loop.time(), await pending)

    def _act(
        self, action: Action, machine: RunMachine, sender: OnceSender
    ) -> Coroutine[Any, Any, Event] | None:
        """Return what brings the event that answers an action."""
        match action:
            case WriteClaim():
                return self._claims.async_write(action)
            case ReadClaim():
                return self._claims.async_read(action)
            case Dispatch():
                now = asyncio.get_running_loop().time
                return sender.async_dispatch(
                    action, lambda: machine.may_dispatch(now())
                )
            case QueryOutcome():
                return sender.async_query(action)
            case StoreAnswer():
                return self._async_store(action)
            case SetOnceTimer():
                return _async_wait(action)
            case _:
                return None

    async def _async_store(self, action: StoreAnswer) -> Event:
        deadline = asyncio.get_running_loop().time() + STORE_LIMIT_S
        try:
            await self._objects.async_put(
                action.name, action.body, deadline=deadline
            )
        except PlatformUnavailableError:
            return AnswerNotStored()
        return AnswerStored()


async def _async_wait(action: SetOnceTimer) -> Event:
    delay_s = action.at - asyncio.get_running_loop().time()
    await asyncio.sleep(max(0.0, delay_s))
    return OnceTimer()
