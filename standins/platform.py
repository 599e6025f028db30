"""The stand-in platform: table service, stores and cloud.

Run with `python -m standins.platform --port P`.
"""

import argparse
import asyncio
import time
from collections.abc import Collection, Coroutine
from pathlib import Path
from typing import Any, Final
from urllib.parse import unquote

from standins.base import ApiError, Exchange, StandIn, async_run, base_parser
from standins.cloud import Cloud, HostsFile, Notice, StartOrder, StopOrder
from standins.faults import Fault
from standins.limits import RateLimit, SharedBandwidth
from standins.table import Tables, Transaction, TransactionResult
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.http_messages import (
    json_body,
)
from waxwingarch.exceptions import LinkError

ADMIN_TIMEOUT_S: Final = 2.0
DEFAULT_SCAN_ROWS: Final = 1000
MAX_WAIT_MS: Final = 30_000


class Platform(StandIn):
    """Serves the platform's interfaces from memory."""

    def __init__(self, args: argparse.Namespace) -> None:
        super().__init__("platform")
        self._args = args
        self._tables = Tables()
        self._objects: dict[str, bytes] = {}
        self._reads = RateLimit(args.reads_per_s)
        self._writes = RateLimit(args.writes_per_s)
        self._bandwidth = SharedBandwidth(args.weights_mb_per_s)
        self._http = HttpClient()
        self._tasks: set[asyncio.Task[None]] = set()
        self._notices_changed = asyncio.Condition()
        self.cloud = Cloud(time.time, args.list_lag_s)
        if args.hosts:
            text = Path(args.hosts).read_text()
            self.cloud.apply(HostsFile.model_validate_json(text))

    async def async_unload(self) -> None:
        """Stop without waiting for requests in progress."""
        for task in self._tasks:
            task.cancel()
        await self._http.async_unload()
        await super().async_unload()

    async def async_serve(self, exchange: Exchange) -> None:
        """Dispatch a request by its method and the parts of its path."""
        path = unquote(exchange.req.path)
        parts = path.strip("/").split("/", 3)
        match exchange.req.method, *parts:
            case "POST", "v1", "table", "transact":
                await self._async_transact(exchange)
            case "GET", "v1", "table", table:
                await self._async_scan(exchange, table)
            case "GET", "v1", "table", table, key:
                await self._async_get(exchange, table, key)
            case method, "v1", "objects", *name if name:
                await self._async_object(exchange, method, "/".join(name))
            case "GET", "v1", "weights", *name if len(name) == 2:
                await self._async_weights(exchange, *name)
            case method, "v1", "cloud", what:
                await self._async_cloud(exchange, method, what)
            case _:
                raise ApiError(404, "not_found", "no such path")

    # Table service and object store

    def _check_rate(self, limit: RateLimit) -> None:
        wait_s = limit.acquire(asyncio.get_running_loop().time())
        if wait_s > 0:
            raise ApiError(
                429,
                "rate_limit",
                "send fewer requests",
                headers=[("retry-after", "1")],
            )

    @property
    def _reads_are_stale(self) -> bool:
        return self.faults.active("stale_read") is not None

    async def _async_transact(self, exchange: Exchange) -> None:
        transaction = Transaction.model_validate_json(exchange.req.body)
        self._check_rate(self._writes)
        result = self._tables.transact(transaction)
        if not result.committed:
            await exchange.async_json(409, _conflict_body(result))
            return
        self.journal.add(
            "write",
            path=exchange.req.path,
            keys=[f"{w.table}/{w.key}" for w in transaction.writes],
            versions=list(result.versions),
        )
        tables = {w.table for w in transaction.writes}
        if self._drops_reply(exchange, "table", tables):
            return
        body = {"committed": True, "versions": list(result.versions)}
        await exchange.async_json(200, body)

    def _drops_reply(
        self, exchange: Exchange, part: str, tables: Collection[str] = ()
    ) -> bool:
        fault = self.faults.active("lost_reply", part)
        if fault is None or fault.request.table not in {None, *tables}:
            return False
        self.faults.consume("lost_reply", part)
        self.journal.add("reply_lost", path=exchange.req.path)
        exchange.resp.abort()
        return True

    async def _async_get(
        self, exchange: Exchange, table: str, key: str
    ) -> None:
        self._check_rate(self._reads)
        row = self._tables.get(table, key, stale=self._reads_are_stale)
        await exchange.async_json(200, row.wire())

    async def _async_scan(self, exchange: Exchange, table: str) -> None:
        self._check_rate(self._reads)
        query = exchange.req.query
        rows = self._tables.scan(
            table,
            query.get("prefix", ""),
            query.get("after", ""),
            exchange.int_query("limit", DEFAULT_SCAN_ROWS),
            stale=self._reads_are_stale,
        )
        await exchange.async_json(200, {"rows": [r.wire() for r in rows]})

    async def _async_object(
        self, exchange: Exchange, method: str, name: str
    ) -> None:
        if method == "GET":
            self._check_rate(self._reads)
            if name not in self._objects:
                raise ApiError(404, "not_found", "no such object")
            await exchange.async_bytes(200, self._objects[name])
            return
        self._check_rate(self._writes)
        if method == "PUT":
            self._objects[name] = exchange.req.body
        elif method == "DELETE":
            self._objects.pop(name, None)
        else:
            raise ApiError(405, "method", "use GET, PUT or DELETE")
        self.journal.add(f"object_{method.lower()}", path=exchange.req.path)
        if not self._drops_reply(exchange, "objects"):
            await exchange.async_json(200, {})

    async def _async_weights(
        self, exchange: Exchange, service: str, version: str
    ) -> None:
        size_mb = exchange.int_query("size_mb", 0)
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(self._bandwidth.reserve(now, size_mb))
        self.journal.add("weights", path=exchange.req.path, size_mb=size_mb)
        body = {"service": service, "version": version, "size_mb": size_mb}
        await exchange.async_json(200, body)

    # Cloud

    async def _async_cloud(
        self, exchange: Exchange, method: str, what: str
    ) -> None:
        match method, what:
            case "GET", "hosts":
                frozen = self.faults.active("stale_list")
                at = None if frozen is None else _unix(frozen.since)
                await exchange.async_json(200, self.cloud.listing(at))
            case "GET", "offers":
                offers = {"offers": self.cloud.offers()}
                await exchange.async_json(200, offers)
            case "GET", "notices":
                await self._async_notices(exchange)
            case "POST", "start":
                await self._async_start(exchange)
            case "POST", "stop":
                await self._async_stop(exchange)
            case _:
                raise ApiError(404, "not_found", "no such path")

    async def _async_start(self, exchange: Exchange) -> None:
        order = StartOrder.model_validate_json(exchange.req.body)
        if self.faults.active("refuse_starts"):
            self.journal.add("start_refused", op=order.order_id)
            raise ApiError(409, "no_capacity", "ask again later")
        row, new = self.cloud.start(order)
        if new:
            self.journal.add(
                "start",
                op=order.order_id,
                server_id=row.server_id,
                version=order.version,
                fencing=order.fencing,
            )
            self._spawn(
                self._async_start_server(row.server_id, row.incarnation)
            )
        if not self._drops_reply(exchange, "cloud"):
            await exchange.async_json(200, {"server_id": row.server_id})

    async def _async_start_server(
        self, server_id: str, incarnation: int
    ) -> None:
        await asyncio.sleep(self._args.start_s)
        row = self.cloud.servers.get(server_id)
        if row is None or row.incarnation != incarnation:
            return
        body = {"version": row.version, "incarnation": incarnation}
        await self._async_notify_server(row.address, "start", body)
        self.cloud.set_live(server_id, incarnation)

    async def _async_stop(self, exchange: Exchange) -> None:
        order = StopOrder.model_validate_json(exchange.req.body)
        row = self.cloud.stop(order)
        if row is not None:
            self.journal.add(
                "stop", server_id=row.server_id, fencing=order.fencing
            )
            stop_at = time.time() + self._args.stop_s
            self._spawn(
                self._async_stop_server(
                    row.server_id, row.incarnation, stop_at
                )
            )
        if not self._drops_reply(exchange, "cloud"):
            await exchange.async_json(200, {"server_id": order.server_id})

    async def _async_stop_server(
        self,
        server_id: str,
        incarnation: int,
        stop_at: float,
        notify_server: bool = True,
    ) -> None:
        """Stop a server's host at `stop_at`, in Unix seconds."""
        await asyncio.sleep(stop_at - time.time())
        if not self.cloud.set_stopped(server_id, incarnation):
            return
        self.journal.add("gone", server_id=server_id)
        if notify_server:
            address = self.cloud.servers[server_id].address
            await self._async_notify_server(address, "stop", {})

    async def _async_notify_server(
        self, address: str, what: str, body: dict[str, Any]
    ) -> None:
        """Notify a stand-in server that its host starts or stops."""
        deadline = asyncio.get_running_loop().time() + ADMIN_TIMEOUT_S
        try:
            await self._http.async_request(
                "PUT",
                address,
                f"/admin/{what}",
                deadline=deadline,
                body=json_body(body),
                fresh=True,
            )
        except LinkError as exc:
            self.journal.add("untold", address=address, message=str(exc))

    # Notices

    async def _async_notices(self, exchange: Exchange) -> None:
        after = exchange.int_query("after", 0)
        wait_ms = exchange.int_query("wait_ms", 0)
        wait_s = min(wait_ms, MAX_WAIT_MS) / 1000
        try:
            async with asyncio.timeout(wait_s), self._notices_changed:
                await self._notices_changed.wait_for(
                    lambda: self._has_notice_after(after)
                )
        except TimeoutError:
            pass
        found: list[Notice] = []
        if not self.faults.active("drop_notices"):
            found = self.cloud.notices[after:]
        body = {
            "notices": [n.wire() for n in found],
            "seq": len(self.cloud.notices),
        }
        await exchange.async_json(200, body)

    def _has_notice_after(self, after: int) -> bool:
        return len(self.cloud.notices) > after

    def on_fault(self, fault: Fault, exchange: Exchange) -> None:
        """Begin a reclaim if the fault is a notice."""
        super().on_fault(fault, exchange)
        if fault.request.kind == "notice":
            self._spawn(self._async_reclaim(fault))

    async def _async_reclaim(self, fault: Fault) -> None:
        req = fault.request
        deadline = time.time() + req.deadline_s
        await asyncio.sleep(req.late_s)
        notice = self.cloud.add_notice(req.server_id, req.host_id, deadline)
        self.journal.add("notice", **notice.wire())
        for _ in range(req.repeat - 1):
            self.cloud.repeat_notice(notice)
        async with self._notices_changed:
            self._notices_changed.notify_all()
        if req.server_id is not None:
            await self._async_stop_server(
                req.server_id, notice.incarnation, deadline, req.stop
            )
        elif req.host_id is not None:
            await asyncio.sleep(deadline - time.time())
            self.cloud.apply(HostsFile(remove=[req.host_id]))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Test hooks

    async def async_admin(self, exchange: Exchange) -> None:
        """Change the hosts list, or return it without lag and with spares."""
        match exchange.req.method, exchange.req.path:
            case "PUT", "/admin/hosts":
                rows = HostsFile.model_validate_json(exchange.req.body)
                self.cloud.apply(rows)
                await exchange.async_json(200, {})
            case "GET", "/admin/hosts":
                rows = HostsFile(
                    hosts=list(self.cloud.servers.values()),
                    entry_hosts=list(self.cloud.entry_hosts.values()),
                )
                await exchange.async_json(200, rows.model_dump(mode="json"))
            case _:
                await super().async_admin(exchange)


def _conflict_body(result: TransactionResult) -> dict[str, Any]:
    conflicts = [
        {"table": table} | row.wire() for table, row in result.conflicts
    ]
    return {"committed": False, "conflicts": conflicts}


def _unix(loop_time: float) -> float:
    return time.time() - (asyncio.get_running_loop().time() - loop_time)


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = base_parser("Stand-in platform.")
    parser.add_argument("--hosts", help="JSON file with the first hosts list")
    parser.add_argument("--list-lag-s", type=float, default=0.0)
    parser.add_argument("--start-s", type=float, default=0.2)
    parser.add_argument("--stop-s", type=float, default=0.2)
    parser.add_argument("--writes-per-s", type=float, default=400.0)
    parser.add_argument("--reads-per-s", type=float, default=2000.0)
    parser.add_argument("--weights-mb-per-s", type=float, default=1000.0)
    return parser


async def _async_main() -> None:
    args = build_parser().parse_args()
    await async_run(Platform(args), args)


if __name__ == "__main__":
    asyncio.run(_async_main())
