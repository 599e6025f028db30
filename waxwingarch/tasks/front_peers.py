"""Exchanges reports and table changes with the other hosts."""

import asyncio
from base64 import b64decode, b64encode
from collections import Counter
from collections.abc import Iterable
from typing import Any, Final
from urllib.parse import parse_qs, urlencode, urlsplit

import orjson
from eliot import log_message

from waxwingarch.adapters.addresses import split_address
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.http_messages import (
    JSON_TYPE,
    Handler,
    HttpRequest,
    HttpResponder,
)
from waxwingarch.adapters.http_server import HttpServer
from waxwingarch.adapters.report_codec import (
    BadReportError,
    decode_report,
    encode_report,
)
from waxwingarch.adapters.sums_codec import (
    decode_sums,
    encode_sums,
    is_about_sums,
)
from waxwingarch.core.base import Event
from waxwingarch.core.peers.report import (
    FollowTables,
    PullState,
    ReportReceived,
    SendReport,
)
from waxwingarch.core.peers.sum_messages import (
    CollectorsChanged,
    SendSums,
    SumsDropped,
    received,
)
from waxwingarch.exceptions import LinkError
from waxwingarch.ports.front import RELAY_HEADER, StoredRow
from waxwingarch.tasks.runner import FrontRunner
from waxwingarch.tasks.table_watch import TableChanges, TableWatch

PULL_TIMEOUT_S: Final = 0.6
# Where many servers register at once, their changes come in groups. This
# interval lets one pull return several, as the pause of a table watch does.
PULL_INTERVAL_MIN_S: Final = 0.1
# Bound of the host names in one log line.
MAX_LOGGED_HOSTS: Final = 8
STATE_PATH: Final = "/state"


class _ReportProtocol(asyncio.DatagramProtocol):
    """Datagram protocol of the socket for reports."""

    def __init__(self, peers: "FrontPeers") -> None:
        self._peers = peers

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._peers.handle_datagram(data)

    def error_received(self, exc: Exception) -> None:
        self._peers.counts["udp_errors"] += 1


class FrontPeers:
    """Link to the other hosts.

    Reports go over UDP, table changes and relayed requests over HTTP, at the
    same address. `on_relayed` serves a relayed request.
    """

    def __init__(
        self,
        runner: FrontRunner,
        client: HttpClient,
        watches: list[TableWatch],
        on_relayed: Handler,
    ) -> None:
        self._on_relayed = on_relayed
        self.counts: Counter[str] = Counter()
        self._runner = runner
        self._client = client
        self._watches = {watch.table: watch for watch in watches}
        self._transport: asyncio.DatagramTransport | None = None
        self.server = HttpServer(self._async_serve)
        self._pull_task: asyncio.Task[None] | None = None
        self._pull_started_at = float("-inf")
        runner.connect(SendReport, self._send_report)
        runner.connect(SendSums, self._send_sums)
        runner.connect(CollectorsChanged, self._log_collectors)
        runner.connect(SumsDropped, self._log_dropped_sums)
        runner.connect(PullState, self._start_pull)
        runner.connect(FollowTables, self._set_following)

    async def async_setup(self, host: str, port: int) -> None:
        """Listen for reports and pulls."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _ReportProtocol(self), local_addr=(host, port)
        )
        await self.server.async_setup(host, port)

    async def async_unload(self) -> None:
        """Stop listening."""
        if self._pull_task is not None:
            self._pull_task.cancel()
        if self._transport is not None:
            self._transport.close()
        await self.server.async_unload()

    def handle_datagram(self, data: bytes) -> None:
        """Post the report in a datagram; count and drop an invalid one."""
        try:
            event = _decode_event(data)
        except BadReportError:
            self.counts["bad_reports"] += 1
            return
        self.counts["reports"] += 1
        self._runner.post(event)

    def _send_report(self, action: SendReport) -> None:
        self._send(encode_report(action.report), action.addresses)

    def _send_sums(self, action: SendSums) -> None:
        self._send(encode_sums(action.message), action.addresses)

    def _send(self, data: bytes, addresses: Iterable[str]) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        for address in addresses:
            try:
                self._transport.sendto(data, split_address(address))
            except (OSError, ValueError):
                self.counts["udp_errors"] += 1

    def _log_collectors(self, action: CollectorsChanged) -> None:
        log_message(
            message_type="collectors_changed",
            collectors=action.collectors,
            silent=action.silent[:MAX_LOGGED_HOSTS],
        )

    def _log_dropped_sums(self, action: SumsDropped) -> None:
        log_message(
            message_type="sums_dropped",
            peer=action.sender,
            reason=action.reason,
        )

    # Tables of the store

    def _set_following(self, action: FollowTables) -> None:
        log_message(
            message_type="following" if action.follow else "relying_on_peers",
            hold_s=action.hold_s,
        )
        for watch in self._watches.values():
            watch.set_following(action.follow, action.hold_s)

    def _start_pull(self, action: PullState) -> None:
        now = asyncio.get_running_loop().time()
        if now - self._pull_started_at < PULL_INTERVAL_MIN_S:
            # A later report shows that this host is still behind.
            return
        if self._pull_task is None or self._pull_task.done():
            self._pull_started_at = now
            task = self._async_pull(action.address)
            self._pull_task = asyncio.create_task(task)

    async def _async_pull(self, address: str) -> None:
        deadline = asyncio.get_running_loop().time() + PULL_TIMEOUT_S
        try:
            own_versions = {
                name: f"{watched.version}.{watched.number}"
                for name, watched in self._watches.items()
            }
            response = await self._client.async_request(
                "GET",
                address,
                f"{STATE_PATH}?{urlencode(own_versions)}",
                deadline=deadline,
            )
            changes_of = {
                table: _decode_changes(raw)
                for table, raw in orjson.loads(response.body).items()
                if table in self._watches
            }
        except (
            LinkError,
            AttributeError,
            KeyError,
            TypeError,
            ValueError,
        ) as exc:
            log_message(
                message_type="pull_failed", peer=address, reason=repr(exc)
            )
            return
        for table, changes in changes_of.items():
            watch = self._watches[table]
            log_message(
                message_type="pulled",
                peer=address,
                table=table,
                version=changes.version,
                own_version=watch.version,
                rows=len(changes.rows),
                whole=changes.is_snapshot,
            )
            watch.merge(changes)

    async def _async_serve(
        self, req: HttpRequest, resp: HttpResponder
    ) -> None:
        if RELAY_HEADER in req.headers:
            await self._on_relayed(req, resp)
        else:
            await self._async_serve_changes(req, resp)

    async def _async_serve_changes(
        self, req: HttpRequest, resp: HttpResponder
    ) -> None:
        """Send the changes since the table versions in the query.

        Each is VERSION.NUMBER, with the highest number of a row's content.
        """
        query = parse_qs(urlsplit(req.target).query)
        tables = {}
        for table, watch in self._watches.items():
            text, _, number_text = query.get(table, ["0"])[0].partition(".")
            version = int(text) if text.isdigit() else 0
            number = int(number_text) if number_text.isdigit() else 0
            if watch.version > version or watch.number > number:
                tables[table] = _encode_changes(
                    watch.changes_since(version, number)
                )
        await resp.async_send(200, orjson.dumps(tables), [JSON_TYPE])


def _decode_event(data: bytes) -> Event:
    """Return the event for a datagram; raises `BadReportError`."""
    if not is_about_sums(data):
        return ReportReceived(report=decode_report(data))
    return received(decode_sums(data))


def _encode_changes(changes: TableChanges) -> dict[str, Any]:
    return {
        "version": changes.version,
        "whole": changes.is_snapshot,
        "outage": changes.after_outage,
        "rows": [
            [r.key, _encode_value(r.value), r.version] for r in changes.rows
        ],
    }


def _encode_value(value: bytes | None) -> str | None:
    return None if value is None else b64encode(value).decode()


def _decode_changes(raw: dict[str, Any]) -> TableChanges:
    return TableChanges(
        version=raw["version"],
        is_snapshot=raw["whole"],
        after_outage=raw["outage"],
        rows=tuple(
            StoredRow(
                key=key,
                value=None if value is None else b64decode(value),
                version=version,
            )
            for key, value, version in raw["rows"]
        ),
    )
