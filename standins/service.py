"""The stand-in plain service.

Run with `python -m standins.service --port P --server-id S --service V`.
Each request runs, even if its operation id ran before. Preventing that is up
to the entry hosts; tests detect a repeat in the journal.
"""

import argparse
import asyncio
from pathlib import Path
from typing import Any, Final

import xxhash
from pydantic import BaseModel

from standins.bad_versions import BadVersions
from standins.base import ApiError, Exchange, StandIn, async_run, base_parser
from standins.outcomes import Outcome, Outcomes

MIN_SLOWED_WORK_S: Final = 0.001
OUTCOMES_PATH: Final = "/v1/outcomes/"


class StartBody(BaseModel):
    """Body of `PUT /admin/start`."""

    version: str
    incarnation: int


class PlainService(StandIn):
    """Runs each request and records it in the journal."""

    def __init__(self, args: argparse.Namespace) -> None:
        super().__init__(args.server_id)
        self._args = args
        self.version: str = args.version
        self.incarnation: int = args.incarnation
        self.stopped = False
        directory = Path(args.record_dir) if args.record_dir else None
        self._outcomes = Outcomes(directory)
        self._run_count = 0
        self._running_count = 0
        self._bad_versions = BadVersions(
            self.faults,
            asyncio.get_running_loop().time,
            lambda: self.version,
            lambda: self._running_count,
        )

    async def async_serve(self, exchange: Exchange) -> None:
        """Serve queries for outcomes; run any other request."""
        if self.stopped:
            exchange.resp.abort()
            return
        path = exchange.req.path
        if path.startswith(OUTCOMES_PATH):
            await self._async_outcome(exchange, path[len(OUTCOMES_PATH) :])
            return
        await self._async_execute(exchange)

    async def _async_outcome(self, exchange: Exchange, op: str) -> None:
        if self._args.no_outcomes:
            raise ApiError(404, "not_found", "this service cannot be asked")
        outcome = self._outcomes.get(op)
        body = {"ran": False} if outcome is None else outcome.wire()
        await exchange.async_json(200, body)

    async def _async_execute(self, exchange: Exchange) -> None:
        req = exchange.req
        received = _parse_body(exchange)
        op = req.headers.get("x-operation-id", "")
        self._outcomes.put(op, Outcome())
        self._run_count += 1
        entry = {
            "op": op,
            "path": req.path,
            "method": req.method,
            "body_digest": xxhash.xxh3_64_hexdigest(req.body),
            "run": self._run_count,
        }
        self.journal.add("begun", **entry)
        status = 200
        body: dict[str, Any] = {
            "server_id": self.name,
            "version": self.version,
            "operation_id": op,
            "run": self._run_count,
            "method": req.method,
            "path": req.path,
            "received": received,
        }
        if self._bad_versions.fails(req.path):
            status = 500
            body = {"error": {"type": "internal", "message": "bad version"}}
        incarnation_at_start = self.incarnation
        await self._async_work(req.path)
        if self.stopped or self.incarnation != incarnation_at_start:
            return  # The host was stopped, which lost this work.
        self._outcomes.put(op, Outcome(status=status, body=body))
        self.journal.add("finished", **entry, status=status)
        if self.faults.consume("lost_reply") is not None:
            self.journal.add("reply_lost", **entry)
            exchange.resp.abort()
            return
        await exchange.async_delay_response()
        await exchange.async_json(status, body)

    async def _async_work(self, path: str) -> None:
        work_s = self._args.work_ms / 1000
        speed_factor = self._bad_versions.speed_factor(path)
        if speed_factor < 1:
            work_s = max(work_s, MIN_SLOWED_WORK_S) / speed_factor
        self._running_count += 1
        try:
            await asyncio.sleep(work_s)
        finally:
            self._running_count -= 1

    async def async_admin(self, exchange: Exchange) -> None:
        """Start or stop the server when the platform notifies it."""
        match exchange.req.method, exchange.req.path:
            case "PUT", "/admin/start":
                body = StartBody.model_validate_json(exchange.req.body)
                self.version = body.version
                self.incarnation = body.incarnation
                self.stopped = False
                await exchange.async_json(200, {})
            case "PUT", "/admin/stop":
                self.stopped = True
                await exchange.async_json(200, {})
                self.drop_connections(keep=exchange.resp)
            case _:
                await super().async_admin(exchange)


def _parse_body(exchange: Exchange) -> Any:
    try:
        return exchange.req.json()
    except ValueError:
        raise ApiError(400, "bad_request", "send JSON") from None


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = base_parser("Stand-in plain service.")
    parser.add_argument("--server-id", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--version", default="v1")
    parser.add_argument("--incarnation", type=int, default=1)
    parser.add_argument("--work-ms", type=float, default=0.0)
    parser.add_argument("--no-outcomes", action="store_true")
    parser.add_argument(
        "--record-dir", help="directory of outcomes that servers share"
    )
    return parser


async def _async_main() -> None:
    args = build_parser().parse_args()
    await async_run(PlainService(args), args)


if __name__ == "__main__":
    asyncio.run(_async_main())
