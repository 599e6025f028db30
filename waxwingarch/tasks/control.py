"""Carries out control duties: leases, moves, starts and stops."""

import asyncio
import uuid
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, Final

from eliot import log_message

from waxwingarch.adapters.lease_store import LeaseStore
from waxwingarch.adapters.settings_moves import move_document
from waxwingarch.core.base import Action, ServerKind
from waxwingarch.core.duties.duty_leases import LeaseCall, LeaseReply
from waxwingarch.core.moves.move import StartServers, StopServers
from waxwingarch.core.moves.move_duty import MOVES_DUTY, CommitMove
from waxwingarch.exceptions import (
    ConflictError,
    PlatformUnavailableError,
    WaxwingError,
)
from waxwingarch.ports.cloud import Cloud, Offer, StartOrder
from waxwingarch.ports.settings import SettingsWriter
from waxwingarch.tasks.runner import ContractRunner

CALL_LIMIT_S: Final = 2.0


class Control:
    """Owns the calls of the duties that this host holds."""

    def __init__(
        self,
        runner: ContractRunner,
        leases: LeaseStore,
        cloud: Cloud,
        settings: SettingsWriter,
    ) -> None:
        self._runner = runner
        self._leases = leases
        self._cloud = cloud
        self._settings = settings
        self._tasks: set[asyncio.Task[None]] = set()
        self._followers: dict[
            type[Action], Callable[[Any], Coroutine[Any, Any, None]]
        ] = {
            StartServers: self._async_start,
            StopServers: self._async_stop,
        }
        runner.connect(LeaseCall, self._on_lease_call)
        runner.connect(CommitMove, self._on_commit)
        for kind in self._followers:
            runner.connect(kind, self._on_order)

    async def async_unload(self) -> None:
        """Drop all calls."""
        for task in self._tasks:
            task.cancel()

    def _spawn(self, call: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Leases

    def _on_lease_call(self, action: LeaseCall) -> None:
        self._spawn(self._async_lease(action))

    async def _async_lease(self, action: LeaseCall) -> None:
        reply = await self._leases.async_do(action.call)
        self._runner.post(LeaseReply(duty=action.duty, reply=reply))

    # Moves

    def _on_commit(self, action: CommitMove) -> None:
        self._spawn(self._async_commit(action))

    async def _async_commit(self, action: CommitMove) -> None:
        """Write the move; act further only on what was committed."""
        try:
            await self._settings.async_write(
                change_id=uuid.uuid4().hex,
                base_revision=action.base_revision,
                changed=[move_document(action.record)],
                deadline=_deadline(),
            )
        except (ConflictError, PlatformUnavailableError) as exc:
            log_message(
                message_type="move_not_written",
                move=action.record.move_id,
                reason=str(exc),
            )
            return
        log_message(
            message_type="move",
            move=action.record.move_id,
            state=action.record.state.value,
            explanation=action.record.explain(),
        )
        for follower in action.then:
            await self._followers[type(follower)](follower)

    def _on_order(self, action: Action) -> None:
        self._spawn(self._followers[type(action)](action))

    async def _async_start(self, action: StartServers) -> None:
        try:
            offers = await self._cloud.async_offers(deadline=_deadline())
        except PlatformUnavailableError as exc:
            _log_refused("offers", exc)
            return
        cheapest = sorted(offers, key=lambda offer: offer.price)
        for n, order_id in enumerate(action.order_ids):
            await self._async_start_one(action, order_id, cheapest, n)

    async def _async_start_one(
        self,
        action: StartServers,
        order_id: str,
        offers: Sequence[Offer],
        first: int,
    ) -> None:
        """Try the offers in turn, beginning with another one each time."""
        for n in range(len(offers)):
            if not self._may_act():
                return
            offer = offers[(first + n) % len(offers)]
            order = StartOrder(
                order_id=order_id,
                service=action.service,
                kind=ServerKind.ENGINE,
                version=action.version,
                machine_class=offer.machine_class,
                failure_domain=offer.failure_domain,
                reclaimable=offer.reclaimable,
                fencing=action.fencing,
            )
            try:
                await self._cloud.async_start(order, deadline=_deadline())
                return
            except WaxwingError as exc:
                _log_refused(order_id, exc)

    async def _async_stop(self, action: StopServers) -> None:
        for server_id in action.servers:
            if not self._may_act():
                return
            try:
                await self._cloud.async_stop(
                    server_id, action.fencing, deadline=_deadline()
                )
            except WaxwingError as exc:
                _log_refused(server_id, exc)

    def _may_act(self) -> bool:
        """Ask again right before each order: the lease may have lapsed."""
        now = asyncio.get_running_loop().time()
        return self._runner.node.leases.may_act(now, MOVES_DUTY)


def _log_refused(order: str, exc: WaxwingError) -> None:
    log_message(message_type="order_refused", order=order, reason=str(exc))


def _deadline() -> float:
    return asyncio.get_running_loop().time() + CALL_LIMIT_S
