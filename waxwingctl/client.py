"""Calls the operators' interface of the daemons."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Final

import orjson

from waxwingarch.adapters.http_client import HttpClient, HttpResponse
from waxwingarch.exceptions import LinkError
from waxwingarch.tasks.admin import JSON_HEADERS, OPERATOR_HEADER
from waxwingctl.errors import (
    BY_STATUS,
    CtlError,
    UnavailableError,
    UnknownNameError,
    UsageError,
)

CALL_LIMIT_S: Final = 12.0
CONNECT_LIMIT_S: Final = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class HostAnswer:
    """What one daemon answered."""

    address: str
    body: Any


class AdminClient:
    """Tries the given daemons in turn until one answers.

    Repeating a call elsewhere is harmless: a change carries its id, or
    writes what is there already.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        key: str,
        *,
        call_limit_s: float = CALL_LIMIT_S,
    ) -> None:
        self._addresses = list(addresses)
        self._key = key
        self._call_limit_s = call_limit_s
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
        everywhere: bool = False,
    ) -> Any:
        """Return the first answer; raises `CtlError`.

        With `everywhere`, daemons that know no such thing are passed
        over too.
        """
        self._require()
        passed: CtlError | None = None
        for address in self._addresses:
            try:
                return await self._async_ask(address, method, path, body)
            except UnavailableError as exc:
                passed = passed or exc
            except UnknownNameError as exc:
                if not everywhere:
                    raise
                passed = exc
        assert passed is not None
        raise passed

    async def async_call_all(self, path: str) -> list[HostAnswer]:
        """Return the answers of all daemons that give one.

        Raises `CtlError` when none does.
        """
        self._require()
        calls = [self._async_ask(a, "GET", path) for a in self._addresses]
        results = await asyncio.gather(*calls, return_exceptions=True)
        answers: list[HostAnswer] = []
        for address, result in zip(self._addresses, results, strict=True):
            if isinstance(result, UnavailableError):
                continue
            if isinstance(result, BaseException):
                raise result
            answers.append(HostAnswer(address=address, body=result))
        if not answers:
            raise UnavailableError(self._nobody())
        return answers

    def _require(self) -> None:
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

    def _nobody(self) -> str:
        asked = ", ".join(self._addresses)
        return (
            f"no daemon answers at {asked}; check the addresses, or name"
            " more with --address"
        )

    async def _async_ask(
        self, address: str, method: str, path: str, body: object = None
    ) -> Any:
        now = asyncio.get_running_loop().time()
        try:
            answer = await self._http.async_request(
                method,
                address,
                path,
                deadline=now + self._call_limit_s,
                connect_deadline=now + CONNECT_LIMIT_S,
                headers=[(OPERATOR_HEADER, self._key), *JSON_HEADERS],
                body=b"" if body is None else orjson.dumps(body),
            )
        except (LinkError, OSError) as exc:
            raise UnavailableError(f"{self._nobody()} ({exc})") from exc
        return _result_of(address, answer)


def _result_of(address: str, answer: HttpResponse) -> Any:
    try:
        body = orjson.loads(answer.body)
    except orjson.JSONDecodeError:
        raise CtlError(
            f"{address} is not a daemon's admin address; give the one in"
            " [listen] admin of its settings"
        ) from None
    if answer.status == 200:
        return body
    if answer.status == 500:
        raise CtlError(
            f"the daemon at {address} failed over this; its log says why:"
            " report that"
        )
    error = body.get("error") if isinstance(body, dict) else None
    message = str(error.get("message")) if error else str(body)
    kind = BY_STATUS.get(answer.status, CtlError)
    raise kind(f"{message} (from {address})")
