"""HTTP interface of a daemon for operators; waxwingctl uses it."""

import hmac
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final

import orjson

from waxwingarch.adapters.http_messages import (
    HttpRequest,
    HttpResponder,
)
from waxwingarch.adapters.http_server import (
    HttpServer,
)
from waxwingarch.exceptions import (
    ConflictError,
    PlatformUnavailableError,
    SettingsError,
    WaxwingError,
)

OPERATOR_HEADER: Final = "x-operator-key"
JSON_HEADERS: Final = (("content-type", "application/json"),)

ERROR_STATUS: Final[dict[type[WaxwingError], int]] = {
    SettingsError: 400,
    ConflictError: 409,
    PlatformUnavailableError: 503,
}

AdminHandler = Callable[[HttpRequest], Awaitable[Any]]


@dataclass(frozen=True, kw_only=True, slots=True)
class AdminRoute:
    """An operation, matched by its method and its path.

    With `prefix` it is matched by each path that begins with `path`.
    """

    method: str
    path: str
    call: AdminHandler
    prefix: bool = False

    def matches(self, req: HttpRequest) -> bool:
        """Return whether a request is for this operation."""
        if req.method != self.method:
            return False
        if self.prefix:
            return req.path.startswith(self.path)
        return req.path == self.path


class NotFoundError(WaxwingError):
    """The named object does not exist; the message says what to use."""


class Admin:
    """HTTP server of the registered operations.

    Each request has to carry the operator key.
    """

    def __init__(
        self, operator_key: str, on_error: Callable[[Exception], None]
    ) -> None:
        self._operator_key = operator_key.encode()
        self._routes: list[AdminRoute] = []
        self.server = HttpServer(self._async_handle, on_error)

    def add(
        self,
        method: str,
        path: str,
        call: AdminHandler,
        *,
        prefix: bool = False,
    ) -> None:
        """Register an operation; what `call` returns is sent as JSON."""
        route = AdminRoute(method=method, path=path, call=call, prefix=prefix)
        self._routes.append(route)

    async def async_setup(self, host: str, port: int) -> int:
        """Start listening; return the port."""
        return await self.server.async_setup(host, port)

    async def async_unload(self) -> None:
        """Stop listening."""
        await self.server.async_unload()

    async def _async_handle(
        self, req: HttpRequest, resp: HttpResponder
    ) -> None:
        given_key = req.headers.get(OPERATOR_HEADER, "")
        if not hmac.compare_digest(given_key.encode(), self._operator_key):
            message = f"send the operator key as {OPERATOR_HEADER}"
            await _async_send_error(resp, 401, "unknown operator", message)
            return
        for route in self._routes:
            if route.matches(req):
                await self._async_run_operation(route, req, resp)
                return
        message = f"no operation {req.method} {req.path}: see the docs"
        await _async_send_error(resp, 404, "unknown operation", message)

    async def _async_run_operation(
        self, route: AdminRoute, req: HttpRequest, resp: HttpResponder
    ) -> None:
        try:
            result = await route.call(req)
        except NotFoundError as exc:
            await _async_send_error(resp, 404, "not found", str(exc))
        except WaxwingError as exc:
            status = next(
                (s for k, s in ERROR_STATUS.items() if isinstance(exc, k)),
                500,
            )
            await _async_send_error(resp, status, type(exc).__name__, str(exc))
        else:
            await resp.async_send(200, orjson.dumps(result), JSON_HEADERS)


async def _async_send_error(
    resp: HttpResponder, status: int, error_type: str, message: str
) -> None:
    body = orjson.dumps({"error": {"type": error_type, "message": message}})
    await resp.async_send(status, body, JSON_HEADERS)
