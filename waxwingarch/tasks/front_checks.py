"""Opens connections to silent servers, to see whether they are alive."""

import asyncio
import errno
from typing import Final

from eliot import log_message

from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.http_connection import ConnectFailedError
from waxwingarch.const import BACKEND_CONNECT_TIMEOUT_S, LOGGED_DECIMALS
from waxwingarch.core.backends.server_checks import (
    CheckResult,
    CheckServer,
    ServerChecked,
)
from waxwingarch.core.base import Server
from waxwingarch.tasks.action_tasks import ActionTasks
from waxwingarch.tasks.runner import FrontRunner

# A check that ends later than this after its deadline shows that this host
# did not run meanwhile, and says nothing about a server.
MAX_OWN_DELAY_S: Final = 0.1
# Errors of this host's own, which say nothing about a server.
OWN_ERRORS: Final = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
    }
)


class FrontChecks(ActionTasks):
    """Carries out the checks that the node orders, each in a task."""

    def __init__(self, runner: FrontRunner, client: HttpClient) -> None:
        super().__init__()
        self._runner = runner
        self._client = client
        self.connect(runner, {CheckServer: self._async_check})

    async def _async_check(self, action: CheckServer) -> None:
        """Check a server; a result is posted even after an error."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        result = CheckResult.FAILED
        try:
            result = await self._async_connect(action, began_at)
        finally:
            log_message(
                message_type="server_checked",
                server=action.server.server_id,
                result=result,
                took_s=round(loop.time() - began_at, LOGGED_DECIMALS),
            )
            self._runner.post(
                ServerChecked(
                    server_id=action.server.server_id,
                    result=result,
                    began_at=began_at,
                )
            )

    async def _async_connect(
        self, action: CheckServer, began_at: float
    ) -> CheckResult:
        deadline = began_at + BACKEND_CONNECT_TIMEOUT_S
        try:
            await self._client.async_check(action.server.address, deadline)
        except ConnectFailedError as exc:
            return _result_of(exc, deadline)
        return CheckResult.TAKEN


async def async_check_ended(
    client: HttpClient, server: Server, deadline: float
) -> CheckResult:
    """Return what becomes of a connection after another one has ended.

    It tells a process that has ended from one that has closed a connection,
    and from a path that has.
    """
    try:
        stays_open = await client.async_stays_open(server.address, deadline)
    except ConnectFailedError as exc:
        return _result_of(exc, deadline)
    return CheckResult.TAKEN if stays_open else CheckResult.REJECTED


def _result_of(exc: ConnectFailedError, deadline: float) -> CheckResult:
    """Return what an error in opening a connection says of the server."""
    ended_at = asyncio.get_running_loop().time()
    if ended_at > deadline + MAX_OWN_DELAY_S:
        return CheckResult.FAILED
    cause = exc.__cause__
    if isinstance(cause, ConnectionRefusedError):
        return CheckResult.REFUSED
    if isinstance(cause, OSError) and cause.errno not in OWN_ERRORS:
        return CheckResult.NO_ANSWER
    return CheckResult.FAILED
