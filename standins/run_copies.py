"""Copies of runs that an emulated engine holds, for itself or for another."""

import asyncio
import time
from dataclasses import dataclass
from typing import Any, Final

import orjson

from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.http_connection import HttpResponse
from waxwingarch.adapters.http_messages import HttpRequest, HttpResponder
from waxwingarch.exceptions import LinkError

# Copies of other engines that an engine has room for.
MAX_COPIES: Final = 8
HANDLE_TTL_S: Final = 10.0
CALL_TIMEOUT_S: Final = 5.0
# Calls between engines; their form is this emulator's own.
PUT_PATH: Final = "/-/copy-put"
DROP_PATH: Final = "/-/copy-drop"
FREE_PREFIX: Final = "/-/kv-handle/"
HTTP_OK: Final = 200


@dataclass(kw_only=True, slots=True)
class _Copy:
    """A copy that can be used once; `other` is where the other end is."""

    other: str
    is_own: bool
    expires_at: float


class RunCopies:
    """The copies at one engine, by handle.

    The engine that ran a request keeps its memory under the same handle, so
    that either end may be used, and the other one is freed by that.
    """

    def __init__(self) -> None:
        self._copies: dict[str, _Copy] = {}
        self._client = HttpClient()
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_unload(self) -> None:
        """Forget all copies, as a process that ends does."""
        self._copies.clear()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._client.async_unload()

    async def async_send(self, handle: str, target: str, own: str) -> bool:
        """Copy a run to another engine; return whether it has room."""
        order = orjson.dumps({"handle": handle, "source": own})
        reply = await self._async_call(target, PUT_PATH, order)
        return reply is not None and reply.status == HTTP_OK

    def keep(self, handle: str, target: str) -> None:
        """Keep the memory of an own run that has stopped."""
        self._hold(handle, target, is_own=True)

    def take(self, handle: str) -> bool:
        """Use a copy, and free the other end; False if there is none."""
        self._drop_expired()
        copy = self._copies.pop(handle, None)
        if copy is None:
            return False
        self._free_other(handle, copy)
        return True

    async def async_handle(
        self, req: HttpRequest, resp: HttpResponder
    ) -> bool:
        """Answer a call about copies; return whether it was one."""
        if req.path.startswith(FREE_PREFIX):
            found = self.take(req.path.removeprefix(FREE_PREFIX))
            await resp.async_send(200 if found else 404, b"")
        elif req.path == PUT_PATH:
            order = orjson.loads(req.body)
            await resp.async_send(200 if self._has_put(order) else 503, b"")
        elif req.path == DROP_PATH:
            self._copies.pop(orjson.loads(req.body)["handle"], None)
            await resp.async_send(200, b"")
        else:
            return False
        return True

    def _has_put(self, order: Any) -> bool:
        self._drop_expired()
        if (
            sum(not copy.is_own for copy in self._copies.values())
            >= MAX_COPIES
        ):
            return False
        self._hold(order["handle"], order["source"], is_own=False)
        return True

    def _hold(self, handle: str, other: str, *, is_own: bool) -> None:
        self._copies[handle] = _Copy(
            other=other,
            is_own=is_own,
            expires_at=time.monotonic() + HANDLE_TTL_S,
        )

    def _drop_expired(self) -> None:
        now = time.monotonic()
        self._copies = {
            handle: copy
            for handle, copy in self._copies.items()
            if now < copy.expires_at
        }

    def _free_other(self, handle: str, copy: _Copy) -> None:
        order = orjson.dumps({"handle": handle})

        async def async_drop() -> None:
            await self._async_call(copy.other, DROP_PATH, order)

        task = asyncio.create_task(async_drop())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_call(
        self, address: str, path: str, body: bytes
    ) -> HttpResponse | None:
        deadline = asyncio.get_running_loop().time() + CALL_TIMEOUT_S
        try:
            return await self._client.async_request(
                "POST", address, path, deadline=deadline, body=body
            )
        except LinkError:
            return None
