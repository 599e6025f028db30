"""The users' platform in small: its row store."""

import asyncio
from base64 import b64decode
from dataclasses import dataclass
from typing import Any, Final

import orjson

from waxwingarch.adapters.http_messages import (
    JSON_TYPE,
    HttpRequest,
    HttpResponder,
)
from waxwingarch.adapters.http_server import HttpServer

LISTEN_IP: Final = "127.0.0.1"
HISTORY_ROWS: Final = 1000
OPERATORS_TABLES: Final = ("op", "servers")
Key = tuple[str, str]


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreRow:
    """A row; `value` is None once it was removed."""

    table: str
    key: str
    value: str | None
    version: int

    def as_json(self) -> dict[str, Any]:
        """Return the row as the wire has it."""
        row = {"table": self.table, "part": "", "key": self.key}
        if self.value is None:
            return row | {"deleted": True, "row_version": self.version}
        return row | {"value": self.value, "row_version": self.version}


class FleetStore:
    """Rows with one version counter, transactions and a change feed.

    `mode` is how calls fail: "" not at all, "down" with 503, "busy" with
    429, "silent" without an answer. `lose` counts writes that take
    effect and are not answered, `late_s` delays their effect.
    """

    def __init__(self) -> None:
        self.rows: dict[Key, StoreRow] = {}
        self.history: list[StoreRow] = []
        self.version = 0
        self.oldest = 0
        self.mode = ""
        self.lose = 0
        self.late_s = 0.0
        self.calls: list[str] = []
        self.address = ""
        self._changed = asyncio.Event()
        self._late: set[asyncio.Task[None]] = set()
        self.server = HttpServer(self._async_handle)

    async def async_setup(self) -> None:
        """Listen on a free port."""
        port = await self.server.async_setup(LISTEN_IP, 0)
        self.address = f"{LISTEN_IP}:{port}"

    async def async_unload(self) -> None:
        """Stop."""
        for task in self._late:
            task.cancel()
        await self.server.async_unload()

    # What the operator and the servers do

    def put(self, table: str, key: str, value: str | None) -> int:
        """Write or remove one row; `value` is base64 text."""
        self.version += 1
        row = StoreRow(table=table, key=key, value=value, version=self.version)
        self._apply([row])
        return self.version

    def compact(self) -> None:
        """Forget the history: held calls end with 410."""
        self.history.clear()
        self.oldest = self.version
        self._wake()

    def value(self, table: str, key: str) -> bytes | None:
        """Return a row's value."""
        row = self.rows.get((table, key))
        return b64decode(row.value) if row and row.value else None

    def _apply(self, rows: list[StoreRow]) -> None:
        for row in rows:
            if row.value is None:
                self.rows.pop((row.table, row.key), None)
            else:
                self.rows[row.table, row.key] = row
        self.history = (self.history + rows)[-HISTORY_ROWS:]
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    # Calls

    async def _async_handle(
        self, req: HttpRequest, resp: HttpResponder
    ) -> None:
        self.calls.append(f"{req.method} {req.path}")
        if self.mode == "silent":
            await resp.disconnected.wait()
            return
        if self.mode:
            await resp.async_send(503 if self.mode == "down" else 429, b"")
            return
        if req.path == "/-/rows-tx":
            await self._async_tx(orjson.loads(req.body), resp)
        elif req.path == "/-/rows-get":
            await self._async_get(req.query, resp)
        elif req.path == "/-/rows-feed":
            await self._async_feed(req.query, resp)
        else:
            await resp.async_send(404, b"")

    async def _async_tx(self, body: Any, resp: HttpResponder) -> None:
        if self.late_s:
            task = asyncio.create_task(self._async_late(body))
            self._late.add(task)
            resp.abort()
            return
        conflicts = self._conflicts(body)
        if conflicts:
            rows = [row.as_json() for row in conflicts]
            await self._async_answer(resp, 412, {"rows": rows})
            return
        self._commit(body)
        if self.lose:
            self.lose -= 1
            resp.abort()
            return
        await self._async_answer(resp, 200, {})

    async def _async_late(self, body: Any) -> None:
        await asyncio.sleep(self.late_s)
        if not self._conflicts(body):
            self._commit(body)

    def _conflicts(self, body: Any) -> list[StoreRow]:
        found = []
        wrong = False
        for want in body.get("expected_revision", ()):
            row = self.rows.get((want["table"], want["key"]))
            wrong |= (row.version if row else 0) != want["row_version"]
            if row:
                found.append(row)
        return found if wrong else []

    def _commit(self, body: Any) -> None:
        self.version += 1
        rows = []
        for write in body.get("writes", ()):
            assert write["table"] not in OPERATORS_TABLES
            rows.append(
                StoreRow(
                    table=write["table"],
                    key=write["key"],
                    value=write["value"],
                    version=self.version,
                )
            )
        rows += [
            StoreRow(
                table=drop["table"],
                key=drop["key"],
                value=None,
                version=self.version,
            )
            for drop in body.get("remove", ())
            if (drop["table"], drop["key"]) in self.rows
        ]
        self._apply(rows)

    async def _async_get(
        self, query: dict[str, str], resp: HttpResponder
    ) -> None:
        begin, end = query.get("from", ""), query.get("target")
        rows = [
            row.as_json()
            for (table, key), row in sorted(self.rows.items())
            if table == query["table"]
            and key >= begin
            and (end is None or key < end)
        ]
        limit = int(query.get("limit", 500))
        body = {"rows": rows[:limit], "has_more": len(rows) > limit}
        await self._async_answer(resp, 200, body)

    async def _async_feed(
        self, query: dict[str, str], resp: HttpResponder
    ) -> None:
        after = int(query["after"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query["wait_ms"]) / 1000
        while True:
            if after < self.oldest:
                await resp.async_send(410, b"")
                return
            rows = [
                row.as_json()
                for row in self.history
                if row.table == query["table"] and row.version > after
            ]
            if rows or loop.time() >= until or self.mode:
                await self._async_answer(resp, 200, {"rows": rows})
                return
            changed = self._changed
            try:
                async with asyncio.timeout_at(until):
                    await changed.wait()
            except TimeoutError:
                continue

    async def _async_answer(
        self, resp: HttpResponder, status: int, body: dict[str, Any]
    ) -> None:
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        data = body | {"row_version": self.version, "now_ms": now_ms}
        await resp.async_send(status, orjson.dumps(data), [JSON_TYPE])
