"""Client of the daemons' operator interface."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Final

import orjson

from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.http_connection import HttpResponse
from waxwingarch.exceptions import LinkError
from waxwingarch.tasks.admin import JSON_HEADERS, OPERATOR_HEADER
from waxwingctl.errors import (
    ERRORS_BY_HTTP_STATUS,
    CtlError,
    NotFoundError,
    UnavailableError,
    UsageError,
)

CALL_TIMEOUT_S: Final = 12.0
CONNECT_TIMEOUT_S: Final = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class HostResponse:
    """The decoded response of one daemon."""

    address: str
    body: Any


class AdminClient:
    """Tries the given daemons in turn until one responds.

    Retrying a call on another daemon is safe: each change carries an id
    or writes an unchanged value.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        key: str,
        *,
        call_timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self._addresses = list(addresses)
        self._key = key
        self._call_timeout_s = call_timeout_s
        self._http = HttpClient()

    async def async_unload(self) -> None:
        """Close the connections."""
        await self._http.async_unload()

    async def async_call(
        self,
        method: str,
        path: str,
        body: object = None,
        *,
        try_all_daemons: bool = False,
    ) -> Any:
        """Return the response of the first available daemon.

        Raises `CtlError` when none is, or when one responds with an error.

        With `try_all_daemons`, the next daemon is also tried after one
        that responds with 404.
        """
        self._check_configured()
        failure: CtlError | None = None
        for address in self._addresses:
            try:
                return await self._async_request(address, method, path, body)
            except UnavailableError as exc:
                failure = failure or exc
            except NotFoundError as exc:
                if not try_all_daemons:
                    raise
                failure = exc
        assert failure is not None
        raise failure

    async def async_call_all(self, path: str) -> list[HostResponse]:
        """Return the responses of all available daemons.

        Raises `CtlError` when none is, or when one responds with another
        error than 503.
        """
        self._check_configured()
        calls = [self._async_request(a, "GET", path) for a in self._addresses]
        results = await asyncio.gather(*calls, return_exceptions=True)
        responses: list[HostResponse] = []
        for address, result in zip(self._addresses, results, strict=True):
            if isinstance(result, UnavailableError):
                continue
            if isinstance(result, BaseException):
                raise result
            responses.append(HostResponse(address=address, body=result))
        if not responses:
            raise UnavailableError(self._unreachable_message())
        return responses

    def _check_configured(self) -> None:
        if not self._addresses:
            raise UsageError(
                "name a daemon: --address IP:PORT, the [listen] admin of its"
                " settings (or set WAXWINGCTL_ADDRESS)"
            )
        if not self._key:
            raise UsageError(
                "give the operator key: --key-file FILE (or set"
                " WAXWINGCTL_KEY)"
            )

    def _unreachable_message(self) -> str:
        addresses = ", ".join(self._addresses)
        return (
            f"no daemon answers at {addresses}; check the addresses, or name"
            " more with --address"
        )

    async def _async_request(
        self, address: str, method: str, path: str, body: object = None
    ) -> Any:
        now = asyncio.get_running_loop().time()
        try:
            response = await self._http.async_request(
                method,
                address,
                path,
                deadline=now + self._call_timeout_s,
                connect_deadline=now + CONNECT_TIMEOUT_S,
                headers=[(OPERATOR_HEADER, self._key), *JSON_HEADERS],
                body=b"" if body is None else orjson.dumps(body),
            )
        except (LinkError, OSError) as exc:
            raise UnavailableError(
                f"{self._unreachable_message()} ({exc})"
            ) from exc
        return _parse_response(address, response)


def _parse_response(address: str, response: HttpResponse) -> Any:
    try:
        body = orjson.loads(response.body)
    except orjson.JSONDecodeError:
        raise CtlError(
            f"{address} is not a daemon's admin address; give the one in"
            " [listen] admin of its settings"
        ) from None
    if response.status == 200:
        return body
    if response.status == 500:
        raise CtlError(
            f"the daemon at {address} failed on this request; its log says"
            " why: report that"
        )
    error = body.get("error") if isinstance(body, dict) else None
    message = str(error.get("message")) if error else str(body)
    error_class = ERRORS_BY_HTTP_STATUS.get(response.status, CtlError)
    raise error_class(f"{message} (from {address})")
