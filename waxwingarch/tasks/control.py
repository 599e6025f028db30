"""I/O of the control duties: leases, move records, server orders."""

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

CALL_TIMEOUT_S: Final = 2.0


class DutyTasks:
    """Executes the actions of the duties whose lease this host holds."""

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
        self._order_handlers: dict[
            type[Action], Callable[[Any], Coroutine[Any, Any, None]]
        ] = {
            StartServers: self._async_start_servers,
            StopServers: self._async_stop_servers,
        }
        runner.connect(LeaseCall, self._handle_lease_call)
        runner.connect(CommitMove, self._handle_commit)
        for kind in self._order_handlers:
            runner.connect(kind, self._handle_order)

    async def async_unload(self) -> None:
        """Cancel all calls in progress."""
        for task in self._tasks:
            task.cancel()

    def _spawn(self, call: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Leases

    def _handle_lease_call(self, action: LeaseCall) -> None:
        self._spawn(self._async_call_lease_store(action))

    async def _async_call_lease_store(self, action: LeaseCall) -> None:
        reply = await self._leases.async_do(action.call)
        self._runner.post(LeaseReply(duty=action.duty, reply=reply))

    # Moves

    def _handle_commit(self, action: CommitMove) -> None:
        self._spawn(self._async_commit_move(action))

    async def _async_commit_move(self, action: CommitMove) -> None:
        """Write the move; run the actions of `then` only once committed."""
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
        for order in action.then:
            await self._order_handlers[type(order)](order)

    def _handle_order(self, action: Action) -> None:
        self._spawn(self._order_handlers[type(action)](action))

    async def _async_start_servers(self, action: StartServers) -> None:
        try:
            offers = await self._cloud.async_offers(deadline=_deadline())
        except PlatformUnavailableError as exc:
            _log_refused_order("offers", exc)
            return
        offers_by_price = sorted(offers, key=lambda offer: offer.price)
        for n, order_id in enumerate(action.order_ids):
            await self._async_order_server(
                action, order_id, offers_by_price, n
            )

    async def _async_order_server(
        self,
        action: StartServers,
        order_id: str,
        offers: Sequence[Offer],
        first_offer: int,
    ) -> None:
        """Order one server; try the offers in turn until one is accepted.

        `first_offer` is the index of the offer to begin with. It differs
        between the servers of one action, which spreads them over offers.
        """
        for n in range(len(offers)):
            if not self._may_order():
                return
            offer = offers[(first_offer + n) % len(offers)]
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
                _log_refused_order(order_id, exc)

    async def _async_stop_servers(self, action: StopServers) -> None:
        for server_id in action.servers:
            if not self._may_order():
                return
            try:
                await self._cloud.async_stop(
                    server_id, action.fencing, deadline=_deadline()
                )
            except WaxwingError as exc:
                _log_refused_order(server_id, exc)

    def _may_order(self) -> bool:
        """Return whether the lease of the moves duty still covers an order.

        It is checked right before each order, because the lease may have
        expired while the previous one was in progress.
        """
        now = asyncio.get_running_loop().time()
        return self._runner.node.leases.may_act(now, MOVES_DUTY)


def _log_refused_order(order: str, exc: WaxwingError) -> None:
    log_message(message_type="order_refused", order=order, reason=str(exc))


def _deadline() -> float:
    return asyncio.get_running_loop().time() + CALL_TIMEOUT_S
