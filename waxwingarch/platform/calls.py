"""Calls to model engines and to the platform's singleton duties."""

from collections.abc import Mapping
from typing import Any, Final

import orjson
from eliot import log_message

from waxwingarch.adapters.http_client import HttpClient, HttpResponse
from waxwingarch.adapters.http_messages import JSON_TYPE
from waxwingarch.core.base import AccountId, HostId, RequestId, Server
from waxwingarch.core.duties.autoscaler import OrderKey
from waxwingarch.core.exchange.exchange_messages import MigratedCache
from waxwingarch.exceptions import LinkError
from waxwingarch.platform.const import HEADER_FENCE, HEADER_HOLDER
from waxwingarch.ports.front import OrderReply

HTTP_OK: Final = 200
HTTP_CONFLICT: Final = 409


class PlatformEngines:
    """`EngineCalls` over the engines' HTTP calls."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def async_move(
        self,
        source: Server,
        target: Server,
        request_id: RequestId,
        *,
        deadline: float,
    ) -> MigratedCache | None:
        """Stop a run and copy its KV cache; None if that failed."""
        # `last` stops the run before the rest of its memory is copied.
        order = {"id": request_id, "target": target.address, "last": True}
        answer = await _async_post(
            self._client, source.address, "/-/kv-move", order, deadline
        )
        if answer is None or answer.status != HTTP_OK:
            return None
        handle = orjson.loads(answer.body)["handle"]
        return MigratedCache(
            address=source.address,
            handle=str(handle),
            target=target.server_id,
        )


class PlatformDuties:
    """`DutyCalls` over the platform's API."""

    def __init__(self, client: HttpClient, address: str) -> None:
        self._client = client
        self._address = address

    async def async_usage(
        self,
        window: int,
        counts: Mapping[AccountId, int],
        *,
        holder: HostId,
        fence: int,
        deadline: float,
    ) -> bool:
        """Report the usage of a window."""
        body = {"window_number": window, "counts": dict(counts)}
        answer = await self._async_duty(
            "/usage", body, holder, fence, deadline
        )
        return answer is not None and answer.status == HTTP_OK

    async def async_order(
        self,
        key: OrderKey,
        desired: int,
        *,
        holder: HostId,
        fence: int,
        deadline: float,
    ) -> OrderReply:
        """Order a number of servers."""
        body: dict[str, Any] = {
            "service": key.service,
            "zone": key.domain,
            "desired_count": desired,
        }
        if key.reclaimable:
            body["spot"] = True
        answer = await self._async_duty(
            "/scale", body, holder, fence, deadline
        )
        if answer is None:
            return OrderReply(accepted=False)
        return OrderReply(
            accepted=answer.status == HTTP_OK,
            refused=answer.status == HTTP_CONFLICT,
        )

    async def _async_duty(
        self,
        path: str,
        body: dict[str, Any],
        holder: HostId,
        fence: int,
        deadline: float,
    ) -> HttpResponse | None:
        headers = [(HEADER_HOLDER, str(holder)), (HEADER_FENCE, str(fence))]
        return await _async_post(
            self._client, self._address, path, body, deadline, headers
        )


async def _async_post(
    client: HttpClient,
    address: str,
    path: str,
    body: Mapping[str, Any],
    deadline: float,
    headers: list[tuple[str, str]] | None = None,
) -> HttpResponse | None:
    """Send one call; None, and a log line, if it got no answer."""
    try:
        return await client.async_request(
            "POST",
            address,
            path,
            deadline=deadline,
            headers=[JSON_TYPE, *(headers or [])],
            body=orjson.dumps(body),
        )
    except LinkError as exc:
        log_message(message_type="call_failed", path=path, reason=str(exc))
        return None
