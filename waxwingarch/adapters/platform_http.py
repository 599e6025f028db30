"""Calls to the platform: deadlines, rate budget, jittered backoff."""

import asyncio
from collections import Counter
from dataclasses import dataclass
from random import Random
from typing import Any, Final

from waxwingarch.adapters.http_client import (
    ConnectFailedError,
    HttpClient,
    HttpResponse,
)
from waxwingarch.adapters.http_messages import (
    JSON_TYPE,
    json_body,
)
from waxwingarch.core.limits.budget import TokenBucket
from waxwingarch.exceptions import LinkError
from waxwingarch.ports.table import (
    TableReplyLostError,
    TableUnavailableError,
)

TABLE_READS_PER_S: Final = 2000.0
TABLE_WRITES_PER_S: Final = 400.0
BUDGET_FRACTION: Final = 0.9
BURST_S: Final = 2.0
MIN_BURST: Final = 4.0
BACKOFF_FIRST_S: Final = 0.05
BACKOFF_MAX_S: Final = 2.0

HTTP_TOO_MANY: Final = 429
HTTP_UNAVAILABLE: Final = 503


@dataclass(frozen=True, kw_only=True, slots=True)
class TableBudget:
    """What one host may spend on the table service, calls a second."""

    reads_per_s: float
    writes_per_s: float

    @classmethod
    def for_hosts(cls, hosts: int) -> "TableBudget":
        """Return an even part of the table's limits."""
        part = BUDGET_FRACTION / max(1, hosts)
        return cls(
            reads_per_s=TABLE_READS_PER_S * part,
            writes_per_s=TABLE_WRITES_PER_S * part,
        )


class Backoff:
    """Full-jitter delays, in seconds, that grow with each failure."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._bound = BACKOFF_FIRST_S

    def next_s(self) -> float:
        """Return the next delay."""
        delay = self._random.uniform(BACKOFF_FIRST_S / 2, self._bound)
        self._bound = min(BACKOFF_MAX_S, self._bound * 2)
        return delay

    def reset(self) -> None:
        """Start over after a success."""
        self._bound = BACKOFF_FIRST_S


class PlatformLink:
    """Sends JSON requests to one platform address.

    A request that the platform refused for its rate (429) is repeated
    after a jittered delay while its deadline allows; anything else is
    for the caller to decide.
    """

    def __init__(
        self,
        client: HttpClient,
        address: str,
        random: Random,
        budget: TableBudget | None = None,
    ) -> None:
        self._client = client
        self._address = address
        self._random = random
        self._reads = _bucket(budget.reads_per_s) if budget else None
        self._writes = _bucket(budget.writes_per_s) if budget else None
        self.calls: Counter[str] = Counter()

    def set_budget(self, budget: TableBudget) -> None:
        """Keep to another part of the table's limits from now on."""
        self._reads = _bucket(budget.reads_per_s)
        self._writes = _bucket(budget.writes_per_s)

    async def async_call(
        self,
        method: str,
        target: str,
        *,
        deadline: float,
        body: bytes = b"",
        write: bool = False,
    ) -> HttpResponse:
        """Return the answer to one request.

        Raises `TableUnavailableError` if the request was certainly not
        applied, `TableReplyLostError` if that is unknown.
        """
        backoff = Backoff(self._random)
        while True:
            await self._async_budget(write, deadline)
            answer = await self._async_send(method, target, body, deadline)
            if answer.status == HTTP_UNAVAILABLE:
                raise _unavailable("the platform is down", answer)
            if answer.status != HTTP_TOO_MANY:
                return answer
            delay = max(backoff.next_s(), _retry_after_s(answer, 0.0))
            if asyncio.get_running_loop().time() + delay >= deadline:
                raise _unavailable("over the platform's rate", answer)
            await asyncio.sleep(delay)

    async def _async_budget(self, write: bool, deadline: float) -> None:
        bucket = self._writes if write else self._reads
        if bucket is None:
            return
        now = asyncio.get_running_loop().time()
        due = bucket.reserve(now, deadline)
        if due is None:
            raise TableUnavailableError(
                "this host's rate budget is spent; retry later"
            )
        if due > now:
            await asyncio.sleep(due - now)

    async def _async_send(
        self, method: str, target: str, body: bytes, deadline: float
    ) -> HttpResponse:
        sort = _sort_of(target)
        self.calls[sort] += 1
        try:
            answer = await self._client.async_request(
                method,
                self._address,
                target,
                deadline=deadline,
                headers=(JSON_TYPE,),
                body=body,
            )
        except ConnectFailedError as exc:
            raise TableUnavailableError(
                f"{exc}; retry when the platform is back"
            ) from exc
        except LinkError as exc:
            raise TableReplyLostError(
                f"{exc}; read back what was written"
            ) from exc
        self.calls[f"{sort}_bytes"] += len(body) + len(answer.body)
        return answer

    async def async_json(
        self,
        method: str,
        target: str,
        *,
        deadline: float,
        body: object = None,
        write: bool = False,
    ) -> tuple[int, Any]:
        """Return status and JSON body; raises as `async_call`.

        A body that is no JSON counts as a lost reply.
        """
        data = b"" if body is None else json_body(body)
        answer = await self.async_call(
            method, target, deadline=deadline, body=data, write=write
        )
        try:
            return answer.status, answer.json()
        except ValueError as exc:
            raise TableReplyLostError(
                f"{target}: the answer is no JSON; read back"
            ) from exc


def _sort_of(target: str) -> str:
    """Return what a call is counted as: the service that it is for."""
    path = target.partition("?")[0]
    if path.startswith("/v1/table"):
        writes = path == "/v1/table/transact"
        return "table_writes" if writes else "table_reads"
    return "_".join(path.split("/")[2:4])


def _bucket(rate: float) -> TokenBucket:
    now = asyncio.get_running_loop().time()
    burst = max(MIN_BURST, rate * BURST_S)
    return TokenBucket(now, rate=rate, burst=burst)


def _retry_after_s(answer: HttpResponse, default: float) -> float:
    try:
        return float(answer.headers.get("retry-after", default))
    except ValueError:
        return default


def _unavailable(what: str, answer: HttpResponse) -> TableUnavailableError:
    return TableUnavailableError(
        f"{what}; retry later", _retry_after_s(answer, 1.0)
    )
