"""Follows the platform's list of hosts and its reclaim notices."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, Final

from eliot import log_message

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
LIST_BYTES_PER_S: Final = 3000.0
LIST_ENTRY_BYTES: Final = 250.0
CALL_LIMIT_S: Final = 2.0
NOTICE_WAIT_S: Final = 5.0


class PlatformWatch:
    """Owns the calls that follow the cloud; posts what it learns.

    The list is polled less often the longer it is, so that a host stays
    within its budget of bytes; notices come by long poll at once.
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
        self._seq = 0
        self._since_unix = time.time()
        self.entry_hosts: tuple[EntryHost, ...] = ()
        self.on_own_notice: Callable[[ReclaimNotice], None] = lambda notice: (
            None
        )
        self.on_entry_hosts: Callable[[tuple[EntryHost, ...]], None] = (
            lambda hosts: None
        )

    async def async_setup(self) -> None:
        """Begin to follow."""
        for step in (self._async_list, self._async_notices):
            task = asyncio.create_task(self._async_follow(step))
            self._tasks.append(task)

    async def async_unload(self) -> None:
        """Stop following."""
        for task in self._tasks:
            task.cancel()

    async def _async_follow(
        self, step: Callable[[], Coroutine[Any, Any, float]]
    ) -> None:
        """Repeat a step for ever; back off while the platform fails."""
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
            await asyncio.sleep(pause_s)

    async def _async_list(self) -> float:
        now = asyncio.get_running_loop().time()
        listed = await self._cloud.async_hosts(deadline=now + CALL_LIMIT_S)
        self._take_list(listed)
        size = len(listed.servers) + len(listed.entry_hosts)
        pause_s = size * LIST_ENTRY_BYTES / LIST_BYTES_PER_S
        return max(LIST_INTERVAL_MIN_S, pause_s)

    def _take_list(self, listed: HostList) -> None:
        live = tuple(
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
                servers=live,
                starting=starting,
                entry_hosts=tuple(h.host_id for h in listed.entry_hosts),
            )
        )
        for entry in listed.servers:
            if entry.state is ServerState.LEAVING:
                self._leaving(
                    entry.server.server_id,
                    entry.server.incarnation,
                    time.time() + CALL_LIMIT_S,
                )
        self.entry_hosts = listed.entry_hosts
        self.on_entry_hosts(listed.entry_hosts)

    async def _async_notices(self) -> float:
        now = asyncio.get_running_loop().time()
        heard = await self._cloud.async_notices(
            self._seq,
            wait_s=NOTICE_WAIT_S,
            deadline=now + NOTICE_WAIT_S + CALL_LIMIT_S,
        )
        self._seq = heard.seq
        for notice in heard.notices:
            self._take_notice(notice)
        return 0.0

    def _take_notice(self, notice: ReclaimNotice) -> None:
        if notice.server_id is not None:
            self._leaving(
                notice.server_id, notice.incarnation, notice.deadline_unix
            )
        elif self._is_own(notice):
            self.on_own_notice(notice)

    def _is_own(self, notice: ReclaimNotice) -> bool:
        """Tell whether this process is told to go.

        A process hears all notices anew: one that ran out before it was
        started was for the host that stood in its place.
        """
        if notice.host_id != self._host_id:
            return False
        return notice.deadline_unix > self._since_unix

    def _leaving(
        self, server_id: ServerId, incarnation: int, deadline_unix: float
    ) -> None:
        self._runner.post(
            ServerLeaving(
                server_id=server_id,
                incarnation=incarnation,
                deadline_unix=deadline_unix,
            )
        )
