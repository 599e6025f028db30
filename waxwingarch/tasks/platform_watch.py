"""Follows the cloud's list of hosts and its reclaim notices."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, Final

from eliot import log_message, write_traceback

from waxwingarch.adapters.platform_http import Backoff
from waxwingarch.core.base import HostId, ServerId
from waxwingarch.core.events import ServerLeaving, ServersListed
from waxwingarch.exceptions import PlatformUnavailableError
from waxwingarch.ports.cloud import (
    Cloud,
    EntryHost,
    HostList,
    ReclaimNotice,
    ServerState,
)
from waxwingarch.tasks.runner import ContractRunner

LIST_INTERVAL_MIN_S: Final = 1.0
LIST_BUDGET_BYTES_PER_S: Final = 3000.0
BYTES_PER_LIST_ENTRY: Final = 250.0
CALL_TIMEOUT_S: Final = 2.0
NOTICE_LONG_POLL_S: Final = 5.0


class PlatformWatch:
    """Polls the cloud API and posts its servers and notices to the node.

    The interval of the list grows with its length, so that a host stays
    within its bandwidth budget. Notices arrive at once, by long poll.
    """

    def __init__(
        self,
        runner: ContractRunner,
        cloud: Cloud,
        host_id: HostId,
        rng: Random,
    ) -> None:
        self._runner = runner
        self._cloud = cloud
        self._host_id = host_id
        self._rng = rng
        self._tasks: list[asyncio.Task[None]] = []
        self._notice_seq = 0
        self._started_at_unix = time.time()
        self.entry_hosts: tuple[EntryHost, ...] = ()
        self.on_own_notice: Callable[[ReclaimNotice], None] = lambda notice: (
            None
        )
        self.on_entry_hosts: Callable[[tuple[EntryHost, ...]], None] = (
            lambda hosts: None
        )

    async def async_setup(self) -> None:
        """Start the polling tasks."""
        for step in (self._async_poll_list, self._async_poll_notices):
            task = asyncio.create_task(self._async_repeat(step))
            self._tasks.append(task)

    async def async_unload(self) -> None:
        """Cancel the polling tasks."""
        for task in self._tasks:
            task.cancel()

    async def _async_repeat(
        self, step: Callable[[], Coroutine[Any, Any, float]]
    ) -> None:
        """Repeat a step after the pause that it returns.

        While the platform is unavailable, the pause is a backoff.
        """
        backoff = Backoff(self._rng)
        while True:
            try:
                pause_s = await step()
                backoff.reset()
            except PlatformUnavailableError as exc:
                log_message(
                    message_type="platform_unavailable", reason=str(exc)
                )
                pause_s = backoff.next_s()
            except Exception as exc:
                # The list or the notices would not be followed any more.
                write_traceback(exc_info=(type(exc), exc, exc.__traceback__))
                pause_s = backoff.next_s()
            await asyncio.sleep(pause_s)

    async def _async_poll_list(self) -> float:
        now = asyncio.get_running_loop().time()
        listed = await self._cloud.async_hosts(deadline=now + CALL_TIMEOUT_S)
        self._post_list(listed)
        entry_count = len(listed.servers) + len(listed.entry_hosts)
        pause_s = entry_count * BYTES_PER_LIST_ENTRY / LIST_BUDGET_BYTES_PER_S
        return max(LIST_INTERVAL_MIN_S, pause_s)

    def _post_list(self, listed: HostList) -> None:
        started = tuple(
            entry.server
            for entry in listed.servers
            if entry.state is not ServerState.STARTING
        )
        starting = tuple(
            entry.server
            for entry in listed.servers
            if entry.state is ServerState.STARTING
        )
        self._runner.post(
            ServersListed(
                servers=started,
                starting=starting,
                entry_hosts=tuple(h.host_id for h in listed.entry_hosts),
            )
        )
        for entry in listed.servers:
            if entry.state is ServerState.LEAVING:
                # The list has no deadline, so an early one is assumed.
                self._post_server_leaving(
                    entry.server.server_id,
                    entry.server.incarnation,
                    time.time() + CALL_TIMEOUT_S,
                )
        self.entry_hosts = listed.entry_hosts
        self.on_entry_hosts(listed.entry_hosts)

    async def _async_poll_notices(self) -> float:
        now = asyncio.get_running_loop().time()
        reply = await self._cloud.async_notices(
            self._notice_seq,
            wait_s=NOTICE_LONG_POLL_S,
            deadline=now + NOTICE_LONG_POLL_S + CALL_TIMEOUT_S,
        )
        self._notice_seq = reply.seq
        for notice in reply.notices:
            self._handle_notice(notice)
        return 0.0

    def _handle_notice(self, notice: ReclaimNotice) -> None:
        if notice.server_id is not None:
            self._post_server_leaving(
                notice.server_id, notice.incarnation, notice.deadline_unix
            )
        elif self._is_for_this_process(notice):
            self.on_own_notice(notice)

    def _is_for_this_process(self, notice: ReclaimNotice) -> bool:
        """Return whether a notice is for this process.

        A new process receives all earlier notices again. A notice whose
        deadline was before the start of this process was for an earlier
        process with the same host id.
        """
        if notice.host_id != self._host_id:
            return False
        return notice.deadline_unix > self._started_at_unix

    def _post_server_leaving(
        self, server_id: ServerId, incarnation: int, deadline_unix: float
    ) -> None:
        self._runner.post(
            ServerLeaving(
                server_id=server_id,
                incarnation=incarnation,
                deadline_unix=deadline_unix,
            )
        )
