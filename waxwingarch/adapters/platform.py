"""The table service, object store and cloud ports over HTTP.

This is the platform of the contract node.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import asdict
from typing import Any, Final, TypeVar
from urllib.parse import quote, urlencode

from eliot import log_message

from waxwingarch.adapters.addresses import check_address
from waxwingarch.adapters.platform_http import PlatformLink
from waxwingarch.core.base import (
    FailureDomain,
    HostId,
    Server,
    ServerId,
    ServerKind,
    ServiceId,
    VersionId,
)
from waxwingarch.exceptions import PlatformUnavailableError
from waxwingarch.ports.cloud import (
    EntryHost,
    HostList,
    ListedServer,
    Offer,
    ReclaimNotice,
    ReclaimNotices,
    ServerState,
    StaleFencingTokenError,
    StartOrder,
    StartRefusedError,
)
from waxwingarch.ports.table import (
    Committed,
    Condition,
    Conflict,
    Row,
    TableReplyLostError,
    TableUnavailableError,
    Write,
)

MS_PER_S: Final = 1000
MAX_LOGGED_REASON_CHARS: Final = 200

Entry = TypeVar("Entry")

HTTP_OK: Final = 200
HTTP_NO_CONTENT: Final = 204
HTTP_NOT_FOUND: Final = 404
HTTP_CONFLICT: Final = 409
HTTP_OLD_FENCING: Final = 412


class HttpTableStore:
    """A `TableStore` that calls the platform's table service."""

    def __init__(self, link: PlatformLink) -> None:
        self._link = link

    async def _async_read(self, target: str, deadline: float) -> Any:
        try:
            status, body = await self._link.async_json(
                "GET", target, deadline=deadline
            )
        except TableReplyLostError as exc:
            raise TableUnavailableError(str(exc)) from exc
        if status != HTTP_OK:
            raise TableUnavailableError(f"{target}: status {status}; retry")
        return body

    async def async_get(self, table: str, key: str, *, deadline: float) -> Row:
        """Return a row; raises `TableUnavailableError`."""
        target = f"/v1/table/{quote(table)}/{quote(key)}"
        body = await self._async_read(target, deadline)
        return _parse_row(table, {"key": key, **body})

    async def async_scan(
        self,
        table: str,
        *,
        deadline: float,
        prefix: str = "",
        after: str = "",
        limit: int = 1000,
    ) -> tuple[Row, ...]:
        """Return rows in key order; raises `TableUnavailableError`."""
        query = {"prefix": prefix, "after": after, "limit": limit}
        target = f"/v1/table/{quote(table)}?{urlencode(query)}"
        body = await self._async_read(target, deadline)
        return tuple(_parse_row(table, row) for row in body["rows"])

    async def async_transact(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        *,
        deadline: float,
    ) -> Committed | Conflict:
        """Commit all writes if all conditions hold.

        Raises `TableUnavailableError` if nothing was written, and
        `TableReplyLostError` if that is unknown.
        """
        status, body = await self._link.async_json(
            "POST",
            "/v1/table/transact",
            deadline=deadline,
            body={
                "conditions": [asdict(c) for c in conditions],
                "writes": [asdict(w) for w in writes],
            },
            write=True,
        )
        try:
            if status == HTTP_OK:
                return Committed(versions=tuple(body["versions"]))
            if status == HTTP_CONFLICT:
                rows = tuple(
                    _parse_row(r["table"], r) for r in body["conflicts"]
                )
                return Conflict(rows=rows)
        except (KeyError, TypeError, ValueError) as exc:
            raise TableReplyLostError(
                f"transact: not a table's answer ({exc!r}); read back"
            ) from exc
        raise TableReplyLostError(f"transact: status {status}; read back")


class HttpObjectStore:
    """An `ObjectStore` that calls the platform's object store."""

    def __init__(self, link: PlatformLink) -> None:
        self._link = link

    async def async_put(
        self, name: str, data: bytes, *, deadline: float
    ) -> None:
        """Store `data`; the call is idempotent."""
        response = await self._link.async_call(
            "PUT", _object_path(name), deadline=deadline, body=data
        )
        _require_status(response.status, (HTTP_OK, 201, HTTP_NO_CONTENT), name)

    async def async_get(self, name: str, *, deadline: float) -> bytes | None:
        """Return the data, or None if there is no such object."""
        response = await self._link.async_call(
            "GET", _object_path(name), deadline=deadline
        )
        if response.status == HTTP_NOT_FOUND:
            return None
        _require_status(response.status, (HTTP_OK,), name)
        return response.body

    async def async_delete(self, name: str, *, deadline: float) -> None:
        """Delete an object; an absent one is not an error."""
        response = await self._link.async_call(
            "DELETE", _object_path(name), deadline=deadline
        )
        deleted = (HTTP_OK, HTTP_NO_CONTENT, HTTP_NOT_FOUND)
        _require_status(response.status, deleted, name)


class HttpCloud:
    """A `Cloud` that calls the platform's cloud API."""

    def __init__(self, link: PlatformLink) -> None:
        self._link = link

    async def _async_get(self, target: str, deadline: float) -> Any:
        status, body = await self._link.async_json(
            "GET", target, deadline=deadline
        )
        _require_status(status, (HTTP_OK,), target)
        return body

    async def async_hosts(self, *, deadline: float) -> HostList:
        """Return the list of servers and entry hosts, which lags behind."""
        body = await self._async_get("/v1/cloud/hosts", deadline)
        return HostList(
            servers=_parse_entries(_parse_server, body["hosts"]),
            entry_hosts=_parse_entries(_parse_entry_host, body["entry_hosts"]),
            as_of=float(body["as_of"]),
        )

    async def async_offers(self, *, deadline: float) -> tuple[Offer, ...]:
        """Return the offers of servers that can be started now."""
        body = await self._async_get("/v1/cloud/offers", deadline)
        return _parse_entries(_parse_offer, body["offers"])

    async def async_start(
        self, order: StartOrder, *, deadline: float
    ) -> ServerId:
        """Start a server; the call is idempotent per order id.

        Raises `StartRefusedError`, `StaleFencingTokenError`.
        """
        status, body = await self._link.async_json(
            "POST",
            "/v1/cloud/start",
            deadline=deadline,
            body=asdict(order),
        )
        if status == HTTP_CONFLICT:
            raise StartRefusedError(
                f"no {order.machine_class} in {order.failure_domain};"
                " try another offer"
            )
        _check_fencing(status, order.fencing)
        _require_status(status, (HTTP_OK,), "start")
        return ServerId(body["server_id"])

    async def async_stop(
        self, server_id: ServerId, fencing: int, *, deadline: float
    ) -> None:
        """Stop a server; raises `StaleFencingTokenError`."""
        status, _ = await self._link.async_json(
            "POST",
            "/v1/cloud/stop",
            deadline=deadline,
            body={"server_id": server_id, "fencing": fencing},
        )
        _check_fencing(status, fencing)
        _require_status(status, (HTTP_OK,), "stop")

    async def async_notices(
        self, after: int, *, wait_s: float, deadline: float
    ) -> ReclaimNotices:
        """Return the notices that follow number `after`.

        Waits up to `wait_s` seconds if there is none yet.
        """
        query = urlencode({"after": after, "wait_ms": int(wait_s * MS_PER_S)})
        body = await self._async_get(f"/v1/cloud/notices?{query}", deadline)
        return ReclaimNotices(
            notices=_parse_entries(_parse_notice, body["notices"]),
            seq=int(body["seq"]),
        )


def _parse_row(table: str, row: dict[str, Any]) -> Row:
    return Row(
        table=table,
        key=str(row["key"]),
        value=row["value"],
        version=int(row["version"]),
    )


def _object_path(name: str) -> str:
    return f"/v1/objects/{quote(name)}"


def _require_status(
    status: int, expected: tuple[int, ...], subject: str
) -> None:
    if status not in expected:
        raise PlatformUnavailableError(
            f"{subject}: unexpected status {status}; check the platform"
        )


def _check_fencing(status: int, fencing: int) -> None:
    if status == HTTP_OLD_FENCING:
        raise StaleFencingTokenError(
            f"fencing number {fencing} is old; acquire the lease again"
        )


def _parse_entries(
    parse: Callable[[dict[str, Any]], Entry], entries: Iterable[Any]
) -> tuple[Entry, ...]:
    """Parse the entries of a list; one that is not valid is left out."""
    parsed = []
    for entry in entries:
        try:
            parsed.append(parse(entry))
        except (
            AttributeError,
            KeyError,
            OverflowError,
            TypeError,
            ValueError,
        ) as exc:
            log_message(
                message_type="bad_entry",
                parser=parse.__name__.removeprefix("_parse_"),
                reason=repr(exc)[:MAX_LOGGED_REASON_CHARS],
            )
    return tuple(parsed)


def _parse_server(body: dict[str, Any]) -> ListedServer:
    server = Server(
        server_id=ServerId(body["server_id"]),
        address=check_address(body["address"]),
        failure_domain=FailureDomain(body["failure_domain"]),
        service=ServiceId(body["service"]),
        kind=ServerKind(body["kind"]),
        version=VersionId(body["version"]),
        machine_class=body["machine_class"],
        reclaimable=bool(body["reclaimable"]),
        price=float(body["price"]),
        slots=int(body["slots"]),
        incarnation=int(body["incarnation"]),
    )
    return ListedServer(server=server, state=ServerState(body["state"]))


def _parse_entry_host(body: dict[str, Any]) -> EntryHost:
    return EntryHost(
        host_id=HostId(body["host_id"]),
        region=body["region"],
        failure_domain=FailureDomain(body["failure_domain"]),
        http=body["http"],
        peer_tcp=body["peer_tcp"],
        peer_udp=body["peer_udp"],
        incarnation=int(body["incarnation"]),
    )


def _parse_offer(body: dict[str, Any]) -> Offer:
    return Offer(
        machine_class=body["machine_class"],
        failure_domain=FailureDomain(body["failure_domain"]),
        reclaimable=bool(body["reclaimable"]),
        price=float(body["price"]),
        available=int(body["available"]),
    )


def _parse_notice(body: dict[str, Any]) -> ReclaimNotice:
    server_id = body.get("server_id")
    host_id = body.get("host_id")
    return ReclaimNotice(
        seq=int(body["seq"]),
        incarnation=int(body["incarnation"]),
        deadline_unix=float(body["deadline"]),
        server_id=ServerId(server_id) if server_id else None,
        host_id=HostId(host_id) if host_id else None,
    )
