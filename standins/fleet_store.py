"""The row store of the emulated users' platform."""

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
MAX_HISTORY_ROWS: Final = 1000
READ_ONLY_TABLES: Final = ("op", "servers")
Key = tuple[str, str]


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreRow:
    """A row; `value` is base64 text, or None for a removed row."""

    table: str
    key: str
    value: str | None
    version: int

    def as_json(self) -> dict[str, Any]:
        """Return the row in its wire format."""
        row = {"table": self.table, "part": "", "key": self.key}
        if self.value is None:
            return row | {"deleted": True, "row_version": self.version}
        return row | {"value": self.value, "row_version": self.version}


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreCopy:
    """The rows and the version of a store at one moment."""

    rows: dict[Key, StoreRow]
    version: int


class FleetStore:
    """Rows with one version counter, transactions and a change feed.

    `mode` is how calls fail: "" not at all, "down" with 503, "busy" with
    429, "silent" without a response. The next `lose` transactions commit
    but get no response. While `late_s` isn't 0, transactions get no
    response and commit after that delay. `oldest` is the version up to which
    the history was discarded. `era` rises each time that the store returns
    from a copy; `era_header` replaces the header that tells it.
    """

    def __init__(self) -> None:
        self.rows: dict[Key, StoreRow] = {}
        self.history: list[StoreRow] = []
        self.version = 0
        self.oldest = 0
        self.mode = ""
        self.lose = 0
        self.late_s = 0.0
        self.era = 1
        self.era_header: str | None = None
        self.calls: list[str] = []
        self.address = ""
        self._changed_event = asyncio.Event()
        self._delayed_commits: set[asyncio.Task[None]] = set()
        self.server = HttpServer(self._async_handle)

    async def async_setup(self) -> None:
        """Listen on a free port."""
        port = await self.server.async_setup(LISTEN_IP, 0)
        self.address = f"{LISTEN_IP}:{port}"

    async def async_unload(self) -> None:
        """Stop listening and discard delayed commits."""
        for task in self._delayed_commits:
            task.cancel()
        await self.server.async_unload()

    # Writes of the operator and the servers

    def put(self, table: str, key: str, value: str | None) -> int:
        """Write or remove one row; `value` is base64 text."""
        self.version += 1
        row = StoreRow(table=table, key=key, value=value, version=self.version)
        self._apply([row])
        return self.version

    def compact(self) -> None:
        """Discard the history: feeds that are behind end with 410."""
        self.history.clear()
        self.oldest = self.version
        self._wake()

    def copy(self) -> StoreCopy:
        """Return a copy of all rows as they are now."""
        return StoreCopy(rows=dict(self.rows), version=self.version)

    def return_from(self, copy: StoreCopy) -> None:
        """Go on from a copy: later versions are given out again."""
        self.era += 1
        self.rows = dict(copy.rows)
        self.version = copy.version
        self.history = [r for r in self.history if r.version <= copy.version]
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
        self.history = (self.history + rows)[-MAX_HISTORY_ROWS:]
        self._wake()

    def _wake(self) -> None:
        self._changed_event.set()
        self._changed_event = asyncio.Event()

    # Calls

    async def _async_handle(
        self, req: HttpRequest, resp: HttpResponder
    ) -> None:
        self.calls.append(f"{req.method} {req.path}")
        if self.mode == "silent":
            await resp.disconnected.wait()
            return
        if self.mode:
            status = 503 if self.mode == "down" else 429
            await resp.async_send(status, b"", self._era_headers())
            return
        if req.path == "/-/rows-tx":
            await self._async_transact(orjson.loads(req.body), resp)
        elif req.path == "/-/rows-get":
            await self._async_get(req.query, resp)
        elif req.path == "/-/rows-feed":
            await self._async_feed(req.query, resp)
        else:
            await resp.async_send(404, b"")

    async def _async_transact(self, body: Any, resp: HttpResponder) -> None:
        if self.late_s:
            task = asyncio.create_task(self._async_commit_late(body))
            self._delayed_commits.add(task)
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

    async def _async_commit_late(self, body: Any) -> None:
        await asyncio.sleep(self.late_s)
        if not self._conflicts(body):
            self._commit(body)

    def _conflicts(self, body: Any) -> list[StoreRow]:
        found = []
        is_mismatched = False
        for want in body.get("expected_revision", ()):
            row = self.rows.get((want["table"], want["key"]))
            is_mismatched |= (row.version if row else 0) != want["row_version"]
            if row:
                found.append(row)
        return found if is_mismatched else []

    def _commit(self, body: Any) -> None:
        self.version += 1
        rows = []
        for write in body.get("writes", ()):
            assert write["table"] not in READ_ONLY_TABLES
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
                table=removal["table"],
                key=removal["key"],
                value=None,
                version=self.version,
            )
            for removal in body.get("remove", ())
            if (removal["table"], removal["key"]) in self.rows
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
            if after < self.oldest or after > self.version:
                await resp.async_send(410, b"", self._era_headers())
                return
            rows = [
                row.as_json()
                for row in self.history
                if row.table == query["table"] and row.version > after
            ]
            if rows or loop.time() >= until or self.mode:
                await self._async_answer(resp, 200, {"rows": rows})
                return
            changed_event = self._changed_event
            try:
                async with asyncio.timeout_at(until):
                    await changed_event.wait()
            except TimeoutError:
                continue

    async def _async_answer(
        self, resp: HttpResponder, status: int, body: dict[str, Any]
    ) -> None:
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        envelope = body | {"row_version": self.version, "now_ms": now_ms}
        headers = [JSON_TYPE, *self._era_headers()]
        await resp.async_send(status, orjson.dumps(envelope), headers)

    def _era_headers(self) -> list[tuple[str, str]]:
        text = str(self.era) if self.era_header is None else self.era_header
        return [("Store-Era", text)] if text else []
