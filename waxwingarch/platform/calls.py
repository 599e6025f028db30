"""HTTP clients of model engines and of the platform's singleton duties."""

from collections.abc import Mapping
from typing import Any, Final

import orjson
from eliot import log_message

from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.http_connection import (
    ConnectFailedError,
    HttpResponse,
)
from waxwingarch.adapters.http_messages import JSON_TYPE
from waxwingarch.core.base import AccountId, HostId, RequestId, Server
from waxwingarch.core.duties.autoscaler import OrderKey
from waxwingarch.core.exchange.exchange_messages import MigratedCache
from waxwingarch.exceptions import LinkError
from waxwingarch.platform.const import HEADER_DUTY_HOLDER, HEADER_FENCING_TOKEN
from waxwingarch.platform.exchange_codec import is_leaving
from waxwingarch.ports.front import MigrationReply, OrderReply

HTTP_OK: Final = 200
HTTP_NOT_FOUND: Final = 404
HTTP_CONFLICT: Final = 409
HTTP_UNAVAILABLE: Final = 503
MOVE_PATH: Final = "/-/kv-move"


class PlatformEngineClient:
    """`EngineClient` over the engines' HTTP API."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def async_migrate_run(
        self,
        source: Server,
        target: Server,
        request_id: RequestId,
        *,
        deadline: float,
    ) -> MigrationReply:
        """Stop a run and copy its KV cache to the target."""
        # `last` makes the engine stop the run before it copies the rest of
        # the run's KV cache.
        body = {"id": request_id, "target": target.address, "last": True}
        try:
            # Responses to calls have no id, so that one on a connection of
            # other requests might be meant for those.
            response = await _async_post(
                self._client,
                source.address,
                MOVE_PATH,
                body,
                deadline,
                fresh=True,
            )
        except LinkError as exc:
            was_sent = not isinstance(exc, ConnectFailedError)
            return MigrationReply(not_stopped=not was_sent)
        leaving = is_leaving(response.headers)
        # An engine that finds no room at the target keeps the run that it
        # has stopped.
        holders = {HTTP_OK: target, HTTP_UNAVAILABLE: source}
        continue_at = holders.get(response.status)
        if continue_at is None:
            return MigrationReply(
                not_stopped=response.status == HTTP_NOT_FOUND,
                source_leaving=leaving,
            )
        try:
            handle = str(orjson.loads(response.body)["handle"])
        except (ValueError, TypeError, KeyError) as exc:
            log_message(
                message_type="call_failed",
                path=MOVE_PATH,
                reason=f"{source.address}: no handle in the reply: {exc}",
            )
            return MigrationReply(source_leaving=leaving)
        cache = MigratedCache(
            address=source.address,
            handle=handle,
            target=continue_at.server_id,
        )
        return MigrationReply(cache=cache, source_leaving=leaving)


class PlatformDutyClient:
    """`DutyClient` over the platform's HTTP API."""

    def __init__(self, client: HttpClient, address: str) -> None:
        self._client = client
        self._address = address

    async def async_report_usage(
        self,
        window: int,
        counts: Mapping[AccountId, int],
        *,
        holder: HostId,
        fence: int,
        deadline: float,
    ) -> bool:
        """Report the usage of the window with this number.

        Returns False if the report was not accepted.
        """
        body = {"window_number": window, "counts": dict(counts)}
        response = await self._async_post_duty(
            "/usage", body, holder, fence, deadline
        )
        return response is not None and response.status == HTTP_OK

    async def async_order_servers(
        self,
        key: OrderKey,
        desired: int,
        *,
        holder: HostId,
        fence: int,
        deadline: float,
    ) -> OrderReply:
        """Order that `desired` servers run in total for a key.

        The wire names `zone` and `spot` mean the failure domain and a
        reclaimable server.
        """
        body: dict[str, Any] = {
            "service": key.service,
            "zone": key.domain,
            "desired_count": desired,
        }
        if key.reclaimable:
            body["spot"] = True
        response = await self._async_post_duty(
            "/scale", body, holder, fence, deadline
        )
        if response is None:
            return OrderReply(accepted=False)
        return OrderReply(
            accepted=response.status == HTTP_OK,
            refused=response.status == HTTP_CONFLICT,
        )

    async def _async_post_duty(
        self,
        path: str,
        body: dict[str, Any],
        holder: HostId,
        fence: int,
        deadline: float,
    ) -> HttpResponse | None:
        """Send a call with the lease holder and its fencing token.

        Returns None if there is no response.
        """
        headers = [
            (HEADER_DUTY_HOLDER, str(holder)),
            (HEADER_FENCING_TOKEN, str(fence)),
        ]
        try:
            return await _async_post(
                self._client, self._address, path, body, deadline, headers
            )
        except LinkError:
            return None


async def _async_post(
    client: HttpClient,
    address: str,
    path: str,
    body: Mapping[str, Any],
    deadline: float,
    headers: list[tuple[str, str]] | None = None,
    *,
    fresh: bool = False,
) -> HttpResponse:
    """Send one call; logs and raises `LinkError` if there is no response."""
    try:
        return await client.async_request(
            "POST",
            address,
            path,
            deadline=deadline,
            headers=[JSON_TYPE, *(headers or [])],
            body=orjson.dumps(body),
            fresh=fresh,
        )
    except LinkError as exc:
        log_message(message_type="call_failed", path=path, reason=str(exc))
        raise
