"""Client of the platform's row store."""

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

# Each table is divided into parts; all rows that this system reads and
# writes are in the part without a name.
PART: Final = ""
PAGE_ROWS: Final = 500

HTTP_OK: Final = 200
HTTP_GONE: Final = 410
HTTP_PRECONDITION_FAILED: Final = 412


class PlatformRowStore:
    """`RowStore` over the platform's HTTP API.

    On the wire, `row_version` of a response is the version of the store,
    and `row_version` of a row is that of the row.
    """

    def __init__(self, client: HttpClient, address: str) -> None:
        self._client = client
        self._address = address

    async def async_read(
        self, table: str, *, deadline: float, key: str | None = None
    ) -> Rows:
        """Return all rows of a table, page by page, or the row of a key."""
        query = {"table": table, "part": PART, "limit": str(PAGE_ROWS)}
        if key is not None:
            # On the wire, `target` is the exclusive end of the key range.
            query |= {"from": key, "target": key + "\0", "limit": "1"}
        stored_rows: list[StoredRow] = []
        while True:
            target = f"/-/rows-get?{urlencode(query)}"
            body = self._decode_success(
                await self._async_get(target, deadline)
            )
            stored_rows += [_decode_row(row) for row in body["rows"]]
            if key is not None or not body.get("has_more"):
                return _decode_rows(stored_rows, body)
            query["from"] = stored_rows[-1].key + "\0"

    async def async_changes(
        self, table: str, after: int, wait_s: float, *, deadline: float
    ) -> Rows:
        """Return the rows changed after a version, by long poll."""
        wait_ms = int(wait_s * MS_PER_S)
        query = {"table": table, "after": after, "wait_ms": wait_ms}
        target = f"/-/rows-feed?{urlencode(query)}"
        response = await self._async_get(target, deadline)
        if response.status == HTTP_GONE:
            raise HistoryLostError(
                f"{table}: changes after {after} are no longer kept"
            )
        body = self._decode_success(response)
        return _decode_rows([_decode_row(row) for row in body["rows"]], body)

    async def async_write(
        self, writes: Sequence[RowWrite], *, deadline: float
    ) -> WriteResult:
        """Apply all writes in one transaction, or none of them.

        `expected_revision` on the wire holds one precondition for each
        write that expects a version.
        """
        body = orjson.dumps(
            {
                "expected_revision": [
                    _row_id(w) | {"row_version": w.expected_version}
                    for w in writes
                    if w.expected_version is not None
                ],
                "writes": [
                    _row_id(w) | {"value": b64encode(w.value).decode()}
                    for w in writes
                    if w.value is not None
                ],
                "remove": [_row_id(w) for w in writes if w.value is None],
            }
        )
        response = await self._async_call("POST", "/-/rows-tx", body, deadline)
        if response.status not in (HTTP_OK, HTTP_PRECONDITION_FAILED):
            raise StoreUnavailableError(f"store: status {response.status}")
        reply = _decode_json(response)
        return WriteResult(
            applied=response.status == HTTP_OK,
            version=int(reply.get("row_version", 0)),
            clock_ms=int(reply.get("now_ms", 0)),
            rows=tuple(_decode_row(row) for row in reply.get("rows", ())),
        )

    async def _async_get(self, target: str, deadline: float) -> HttpResponse:
        return await self._async_call("GET", target, b"", deadline)

    async def _async_call(
        self, method: str, target: str, body: bytes, deadline: float
    ) -> HttpResponse:
        """Send one call; raises `StoreUnavailableError`."""
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

    def _decode_success(self, response: HttpResponse) -> Any:
        """Return the body; raises `StoreUnavailableError` for an error."""
        if response.status != HTTP_OK:
            raise StoreUnavailableError(f"store: status {response.status}")
        return _decode_json(response)


def _decode_json(response: HttpResponse) -> Any:
    try:
        return orjson.loads(response.body)
    except orjson.JSONDecodeError as exc:
        raise StoreUnavailableError(
            f"store: not JSON: {exc}", maybe_applied=True
        ) from exc


def _row_id(write: RowWrite) -> dict[str, Any]:
    """Return the wire fields that identify the row of a write."""
    return {"table": write.table, "part": PART, "key": write.key}


def _decode_row(row: dict[str, Any]) -> StoredRow:
    value = row.get("value")
    if row.get("deleted"):
        value = None
    return StoredRow(
        key=row["key"],
        value=None if value is None else b64decode(value),
        version=int(row.get("row_version", 0)),
    )


def _decode_rows(rows: list[StoredRow], body: dict[str, Any]) -> Rows:
    return Rows(
        rows=tuple(rows),
        version=int(body["row_version"]),
        clock_ms=int(body.get("now_ms", 0)),
    )
