"""The stand-in plain service.

Run with `python -m standins.service --port P --server-id S --service V`.
Each request runs, also one whose operation id ran before: to prevent
that is the caller's part, and the journal shows it.
"""

import argparse
import asyncio
from dataclasses import dataclass, field
from typing import Any

import xxhash
from pydantic import BaseModel

from standins.base import ApiError, Exchange, StandIn, async_run, parser_of

OUTCOMES_PATH = "/v1/outcomes/"


class StartBody(BaseModel):
    """Body of `PUT /admin/start`."""

    version: str
    incarnation: int


@dataclass(kw_only=True, slots=True)
class Outcome:
    """What became of an operation; no status while it runs."""

    status: int | None = None
    body: dict[str, Any] = field(default_factory=dict)

    def wire(self) -> dict[str, Any]:
        """Return the outcome as it is sent."""
        if self.status is None:
            return {"ran": True, "running": True}
        return {"ran": True, "status": self.status, "body": self.body}


class PlainService(StandIn):
    """Runs what it is asked and keeps a journal of it."""

    def __init__(self, args: argparse.Namespace) -> None:
        super().__init__(args.server_id)
        self._args = args
        self.version: str = args.version
        self.incarnation: int = args.incarnation
        self.stopped = False
        self._outcomes: dict[str, Outcome] = {}
        self._runs = 0

    async def async_serve(self, exchange: Exchange) -> None:
        """Run any path; answer queries for outcomes."""
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
        received = _json_of(exchange)
        op = req.headers.get("x-operation-id", "")
        outcome = Outcome()
        if op:
            self._outcomes[op] = outcome
        self._runs += 1
        entry = {
            "op": op,
            "path": req.path,
            "method": req.method,
            "body_digest": xxhash.xxh3_64_hexdigest(req.body),
            "run": self._runs,
        }
        self.journal.add("begun", **entry)
        status = 200
        body = {
            "server_id": self.name,
            "version": self.version,
            "operation_id": op,
            "run": self._runs,
            "method": req.method,
            "path": req.path,
            "received": received,
        }
        if self._fails(req.path):
            status = 500
            body = {"error": {"type": "internal", "message": "bad version"}}
        await asyncio.sleep(self._work_s(req.path))
        outcome.status = status
        outcome.body = body
        self.journal.add("finished", **entry, status=status)
        if self.faults.take("lost_reply") is not None:
            self.journal.add("reply_lost", **entry)
            exchange.resp.abort()
            return
        await exchange.async_json(status, body)

    def _fails(self, path: str) -> bool:
        return any(
            f.request.how == "fail" and self._meant(f.request.route, path)
            for f in self.faults.all_active("bad_version")
            if f.request.version in {None, self.version}
        )

    def _work_s(self, path: str) -> float:
        work_s = float(self._args.work_ms) / 1000
        for fault in self.faults.all_active("bad_version"):
            req = fault.request
            bad = req.version in {None, self.version}
            if bad and req.how == "slow" and self._meant(req.route, path):
                work_s = max(work_s, 0.001) / req.factor
        return work_s

    @staticmethod
    def _meant(route: str, path: str) -> bool:
        return path.startswith(route)

    async def async_admin(self, exchange: Exchange) -> None:
        """Start or stop, as the platform takes or gives the host."""
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


def _json_of(exchange: Exchange) -> Any:
    try:
        return exchange.req.json()
    except ValueError:
        raise ApiError(400, "bad_request", "send JSON") from None


def _parse() -> argparse.Namespace:
    parser = parser_of("Stand-in plain service.")
    parser.add_argument("--server-id", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--version", default="v1")
    parser.add_argument("--incarnation", type=int, default=1)
    parser.add_argument("--work-ms", type=float, default=0.0)
    parser.add_argument("--no-outcomes", action="store_true")
    return parser.parse_args()


async def _async_main() -> None:
    args = _parse()
    await async_run(PlainService(args), args)


if __name__ == "__main__":
    asyncio.run(_async_main())
