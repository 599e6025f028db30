"""The platform's row store as a `RowStore`."""

from base64 import b64decode, b64encode
from collections.abc import Sequence
from typing import Any, Final
from urllib.parse import urlencode

import orjson

from waxwingarch.adapters.http_client import (
    ConnectFailedError,
    HttpClient,
    HttpResponse,
)
from waxwingarch.adapters.http_messages import JSON_TYPE
from waxwingarch.exceptions import LinkError
from waxwingarch.platform.const import MS_PER_S
from waxwingarch.ports.front import (
    HistoryLostError,
    Rows,
    RowWrite,
    StoredRow,
    StoreUnavailableError,
    WriteResult,
)

# All rows that this system keeps lie in the unnamed part of their table.
PART: Final = ""
PAGE_ROWS: Final = 500

HTTP_OK: Final = 200
HTTP_GONE: Final = 410
HTTP_CONFLICT: Final = 412


class PlatformStore:
    """`RowStore` over the platform's HTTP calls."""

    def __init__(self, client: HttpClient, address: str) -> None:
        self._client = client
        self._address = address

    async def async_read(
        self, table: str, *, deadline: float, key: str | None = None
    ) -> Rows:
        """Return all rows of a table, or one."""
        query = {"table": table, "part": PART, "limit": str(PAGE_ROWS)}
        if key is not None:
            # The end of a range is not part of it.
            query |= {"from": key, "target": key + "\0", "limit": "1"}
        found: list[StoredRow] = []
        while True:
            target = f"/-/rows-get?{urlencode(query)}"
            body = self._read(await self._async_get(target, deadline))
            found += [_row(row) for row in body["rows"]]
            if key is not None or not body.get("has_more"):
                return _rows(found, body)
            query["from"] = found[-1].key + "\0"

    async def async_changes(
        self, table: str, after: int, wait_s: float, *, deadline: float
    ) -> Rows:
        """Return rows changed after a version."""
        wait_ms = int(wait_s * MS_PER_S)
        query = {"table": table, "after": after, "wait_ms": wait_ms}
        target = f"/-/rows-feed?{urlencode(query)}"
        answer = await self._async_get(target, deadline)
        if answer.status == HTTP_GONE:
            raise HistoryLostError(f"{table}: changes after {after} are gone")
        body = self._read(answer)
        return _rows([_row(row) for row in body["rows"]], body)

    async def async_write(
        self, writes: Sequence[RowWrite], *, deadline: float
    ) -> WriteResult:
        """Apply all writes or none."""
        body = orjson.dumps(
            {
                "expected_revision": [
                    _place(w) | {"row_version": w.expected_version}
                    for w in writes
                    if w.expected_version is not None
                ],
                "writes": [
                    _place(w) | {"value": b64encode(w.value).decode()}
                    for w in writes
                    if w.value is not None
                ],
                "remove": [_place(w) for w in writes if w.value is None],
            }
        )
        answer = await self._async_call("POST", "/-/rows-tx", body, deadline)
        if answer.status not in (HTTP_OK, HTTP_CONFLICT):
            raise StoreUnavailableError(f"store: status {answer.status}")
        data = _json(answer)
        return WriteResult(
            applied=answer.status == HTTP_OK,
            version=int(data.get("row_version", 0)),
            clock_ms=int(data.get("now_ms", 0)),
            rows=tuple(_row(row) for row in data.get("rows", ())),
        )

    async def _async_get(self, target: str, deadline: float) -> HttpResponse:
        return await self._async_call("GET", target, b"", deadline)

    async def _async_call(
        self, method: str, target: str, body: bytes, deadline: float
    ) -> HttpResponse:
        try:
            return await self._client.async_request(
                method,
                self._address,
                target,
                deadline=deadline,
                headers=[JSON_TYPE] if body else [],
                body=body,
            )
        except ConnectFailedError as exc:
            raise StoreUnavailableError(f"store: {exc}") from exc
        except LinkError as exc:
            raise StoreUnavailableError(
                f"store: {exc}", maybe_applied=True
            ) from exc

    def _read(self, answer: HttpResponse) -> Any:
        if answer.status != HTTP_OK:
            raise StoreUnavailableError(f"store: status {answer.status}")
        return _json(answer)


def _json(answer: HttpResponse) -> Any:
    try:
        return orjson.loads(answer.body)
    except orjson.JSONDecodeError as exc:
        raise StoreUnavailableError(
            f"store: not JSON: {exc}", maybe_applied=True
        ) from exc


def _place(write: RowWrite) -> dict[str, Any]:
    return {"table": write.table, "part": PART, "key": write.key}


def _row(row: dict[str, Any]) -> StoredRow:
    value = row.get("value")
    if row.get("deleted"):
        value = None
    return StoredRow(
        key=row["key"],
        value=None if value is None else b64decode(value),
        version=int(row.get("row_version", 0)),
    )


def _rows(rows: list[StoredRow], body: dict[str, Any]) -> Rows:
    return Rows(
        rows=tuple(rows),
        version=int(body["row_version"]),
        clock_ms=int(body.get("now_ms", 0)),
    )
