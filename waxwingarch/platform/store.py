"""Client of the platform's row store."""

from base64 import b64decode, b64encode
from collections.abc import Callable, Sequence
from typing import Any, Final
from urllib.parse import urlencode

import orjson
from eliot import log_message
from pydantic import BaseModel, ConfigDict, Field

from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.http_connection import (
    ConnectFailedError,
    HttpResponse,
)
from waxwingarch.adapters.http_messages import JSON_TYPE
from waxwingarch.core.store_version import (
    ERA_BITS,
    count_of,
    era_of,
    make_version,
)
from waxwingarch.exceptions import LinkError
from waxwingarch.platform.const import HEADER_STORE_ERA, MS_PER_S
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
# Versions, which hold the era above 40 bits, fit into 63 bits.
MAX_ERA_DIGITS: Final = 6
MAX_LOGGED_VALUE_CHARS: Final = 40

HTTP_OK: Final = 200
HTTP_GONE: Final = 410
HTTP_PRECONDITION_FAILED: Final = 412


class _WireRow(BaseModel):
    model_config = ConfigDict(strict=True)

    key: str
    value: str | None = None
    deleted: bool = False
    row_version: int = Field(default=0, ge=0, lt=1 << ERA_BITS)


class PlatformRowStore:
    """`RowStore` over the platform's HTTP API.

    On the wire, `row_version` of a response is the version of the store,
    and `row_version` of a row is that of the row. Both are counts within an
    era of the store; the versions of this class combine era and count.
    `on_era` is called with the era of the first response, and with each
    later era, before the response that shows it is returned.
    """

    def __init__(self, client: HttpClient, address: str) -> None:
        self._client = client
        self._address = address
        self._era: int | None = None
        self.on_era: Callable[[int], None] = lambda era: None

    async def async_read(
        self, table: str, *, deadline: float, key: str | None = None
    ) -> Rows:
        """Return all rows of a table, page by page, or the row of a key.

        The version is that of the first page: a row of it may change while
        the others are read, and is found among the changes after it.
        """
        query = {"table": table, "part": PART, "limit": str(PAGE_ROWS)}
        if key is not None:
            # On the wire, `target` is the exclusive end of the key range.
            query |= {"from": key, "target": key + "\0", "limit": "1"}
        stored_rows: list[StoredRow] = []
        first_body: dict[str, Any] | None = None
        first_era = None
        while True:
            target = f"/-/rows-get?{urlencode(query)}"
            response = await self._async_get(target, deadline)
            body = self._decode_success(response)
            era = self._era or 0
            if first_era not in (None, era):
                raise StoreUnavailableError(
                    f"{table}: the store returned from a copy during a read"
                )
            first_era = era
            first_body = first_body or body
            page = _decode_page(table, body, era)
            stored_rows += page
            if key is not None or not body.get("has_more"):
                return _decode_rows(stored_rows, first_body, era)
            if not page:
                raise _invalid_response(f"{table}: a page without a row")
            query["from"] = page[-1].key + "\0"

    async def async_changes(
        self, table: str, after: int, wait_s: float, *, deadline: float
    ) -> Rows:
        """Return the rows changed after a version, by long poll.

        In a new era the history since a version of an earlier one is lost.
        """
        if era_of(after) != (self._era or 0):
            raise HistoryLostError(f"{table}: {after} is of another era")
        wait_ms = int(wait_s * MS_PER_S)
        query = {"table": table, "after": count_of(after), "wait_ms": wait_ms}
        target = f"/-/rows-feed?{urlencode(query)}"
        response = await self._async_get(target, deadline)
        if response.status == HTTP_GONE:
            raise HistoryLostError(
                f"{table}: changes after {after} are no longer kept"
            )
        era = self._era or 0
        if era != era_of(after):
            raise HistoryLostError(f"{table}: {after} is of another era")
        body = self._decode_success(response)
        return _decode_rows(_decode_page(table, body, era), body, era)

    async def async_write(
        self, writes: Sequence[RowWrite], *, deadline: float
    ) -> WriteResult:
        """Apply all writes in one transaction, or none of them.

        `expected_revision` on the wire holds one precondition for each
        write that expects a version. A version of an earlier era is not
        sent: its count may have been given to another row since.
        """
        for write in writes:
            if write.expected_version and era_of(write.expected_version) != (
                self._era or 0
            ):
                raise StoreUnavailableError(
                    f"{write.table}/{write.key}: version of another era"
                )
        body = orjson.dumps(
            {
                "expected_revision": [
                    _row_id(w) | {"row_version": count_of(w.expected_version)}
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
        reply = {"rows": [], "row_version": 0} | _decode_json(response)
        era = self._era or 0
        table = writes[0].table if writes else ""
        rows = _decode_rows(_decode_page(table, reply, era), reply, era)
        return WriteResult(
            applied=response.status == HTTP_OK,
            version=rows.version,
            clock_ms=rows.clock_ms,
            rows=rows.rows,
        )

    async def _async_get(self, target: str, deadline: float) -> HttpResponse:
        return await self._async_call("GET", target, b"", deadline)

    async def _async_call(
        self, method: str, target: str, body: bytes, deadline: float
    ) -> HttpResponse:
        """Send one call; raises `StoreUnavailableError`."""
        try:
            response = await self._client.async_request(
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
        self._record_era(response)
        return response

    def _record_era(self, response: HttpResponse) -> None:
        """Record the era of a response; raises `StoreUnavailableError`."""
        era = _named_era(response)
        if era is None or era == self._era:
            return
        if self._era is not None and era < self._era:
            raise StoreUnavailableError(
                f"store: response of era {era}, after era {self._era}",
                maybe_applied=True,
            )
        log_message(message_type="store_era", era=era, previous=self._era)
        self._era = era
        self.on_era(era)

    def _decode_success(self, response: HttpResponse) -> dict[str, Any]:
        """Return the body; raises `StoreUnavailableError` for an error."""
        if response.status != HTTP_OK:
            raise StoreUnavailableError(f"store: status {response.status}")
        return _decode_json(response)


def _named_era(response: HttpResponse) -> int | None:
    """Return the era that a response names; None if it is not valid."""
    text = response.headers.get(HEADER_STORE_ERA)
    if text is None:
        return None
    if text.isascii() and text.isdigit() and len(text) <= MAX_ERA_DIGITS:
        return int(text)
    log_message(
        message_type="bad_header",
        header=HEADER_STORE_ERA,
        value=text[:MAX_LOGGED_VALUE_CHARS],
        reason="not an era",
    )
    return None


def _decode_json(response: HttpResponse) -> dict[str, Any]:
    try:
        body = orjson.loads(response.body)
    except orjson.JSONDecodeError as exc:
        raise _invalid_response(f"not JSON: {exc}") from exc
    if not isinstance(body, dict):
        raise _invalid_response("not a JSON object")
    return body


def _invalid_response(reason: str) -> StoreUnavailableError:
    return StoreUnavailableError(f"store: {reason}", maybe_applied=True)


def _row_id(write: RowWrite) -> dict[str, Any]:
    """Return the wire fields that identify the row of a write."""
    return {"table": write.table, "part": PART, "key": write.key}


def _decode_page(
    table: str, body: dict[str, Any], era: int
) -> list[StoredRow]:
    """Return the rows in a response.

    A row without a key or a version is left out, and the others hold.
    """
    rows = body.get("rows")
    if not isinstance(rows, list):
        raise _invalid_response("no list of rows")
    decoded = []
    for row in rows:
        try:
            decoded.append(_decode_row(table, _WireRow(**row), era))
        except (TypeError, ValueError) as exc:
            _log_bad_row(table, None, exc)
    return decoded


def _decode_row(table: str, row: _WireRow, era: int) -> StoredRow:
    """Return a row; a value that is not base64 is empty."""
    value = None
    if row.value is not None and not row.deleted:
        try:
            value = b64decode(row.value, validate=True)
        except ValueError as exc:
            _log_bad_row(table, row.key, exc)
            value = b""
    return StoredRow(
        key=row.key, value=value, version=make_version(era, row.row_version)
    )


def _log_bad_row(table: str, key: str | None, exc: Exception) -> None:
    log_message(
        message_type="bad_row",
        table=table,
        key=key,
        reason=str(exc)[:MAX_LOGGED_VALUE_CHARS],
    )


def _decode_rows(
    rows: list[StoredRow], body: dict[str, Any], era: int
) -> Rows:
    """Return the rows with the version and the clock of a response."""
    try:
        return Rows(
            rows=tuple(rows),
            version=make_version(era, int(body["row_version"])),
            clock_ms=int(body.get("now_ms", 0)),
        )
    except (KeyError, TypeError, ValueError, OverflowError) as exc:
        raise _invalid_response(f"no version or clock: {exc!r}") from exc
