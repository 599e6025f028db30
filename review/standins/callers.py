"""Callers that send requests to hosts and note how each attempt ended."""

import asyncio
import itertools
import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from review.standins.deployment import Deployment, HostProcess
from standins.front_process import call_headers
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.exceptions import LinkError

# A caller waits for at most this share of the time left if it is told to.
RETRY_WAIT_RATIO: Final = 1 / 3
# A caller allows a new connection this time to be established.
CONNECT_LIMIT_S: Final = 1.0
OK: Final = 200


@dataclass(kw_only=True, slots=True)
class Attempt:
    """One attempt of a caller; `status` is 0 if there was no answer.

    Times are monotonic; `ended_at` is when the answer was complete, or when
    the caller gave up.
    """

    request_id: str
    route: str
    sent_at: float
    ended_at: float = float("inf")
    status: int = 0
    retry_after_s: float = 0.0


class Callers:
    """Sends requests; an attempt that was refused is tried once more."""

    def __init__(
        self,
        deployment: Deployment,
        deadline_s: float,
        deadlines_s: Mapping[str, float] | None = None,
    ) -> None:
        """Set the deadline, and those of routes that have another one."""
        self._deployment = deployment
        self._deadline_s = deadline_s
        self._deadlines_s = deadlines_s or {}
        self._numbers = itertools.count()
        self.attempts: list[Attempt] = []

    async def async_run(
        self,
        number: int,
        routes: tuple[str, ...],
        until: float,
        pause_s: float,
    ) -> None:
        """Send requests on all routes in turn until a monotonic time."""
        client = HttpClient()
        for turn in itertools.count(number):
            if time.monotonic() >= until:
                break
            await self._async_request(client, routes[turn % len(routes)], turn)
            await asyncio.sleep(pause_s)
        await client.async_unload()

    async def _async_request(
        self, client: HttpClient, route: str, turn: int
    ) -> None:
        """Send a request, and once more to another host if it is refused."""
        hosts = self._deployment.hosts
        deadline_s = self._deadlines_s.get(route, self._deadline_s)
        deadline = time.monotonic() + deadline_s
        first = await self._async_attempt(
            client, hosts[turn % len(hosts)], route, deadline
        )
        left_s = deadline - time.monotonic()
        if (
            first.status not in (429, 503)
            or first.retry_after_s > left_s * RETRY_WAIT_RATIO
        ):
            return
        await asyncio.sleep(first.retry_after_s)
        await self._async_attempt(
            client, hosts[(turn + 1) % len(hosts)], route, deadline
        )

    async def _async_attempt(
        self,
        client: HttpClient,
        host: HostProcess,
        route: str,
        deadline: float,
    ) -> Attempt:
        record = self._deployment.record
        number = next(self._numbers)
        sent_at = time.monotonic()
        attempt = Attempt(
            request_id=f"r{number}", route=route, sent_at=sent_at
        )
        self.attempts.append(attempt)
        left_s = deadline - sent_at
        headers = call_headers(attempt.request_id, int(left_s * 1000))
        now = asyncio.get_running_loop().time()
        record.add(f"sent {attempt.request_id} {route} to {host.name}")
        try:
            answer = await client.async_request(
                "POST",
                host.callers,
                f"{route}{number}",
                deadline=now + left_s,
                connect_deadline=now + CONNECT_LIMIT_S,
                headers=headers,
                body=f"body {number}".encode(),
            )
        except LinkError as exc:
            attempt.ended_at = time.monotonic()
            record.add(f"no answer to {attempt.request_id}: {exc}")
            return attempt
        attempt.ended_at = time.monotonic()
        attempt.status = answer.status
        attempt.retry_after_s = float(answer.headers.get("retry-after", 0))
        record.add(f"answered {attempt.request_id}: {answer.status}")
        return attempt
