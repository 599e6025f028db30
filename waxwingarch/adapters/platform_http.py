"""Calls to the platform with deadlines, a rate budget and backoff."""

import asyncio
from collections import Counter
from dataclasses import dataclass
from random import Random
from typing import Any, Final

from waxwingarch.adapters.http_connection import (
    ConnectFailedError,
    HttpResponse,
)
from waxwingarch.adapters.http_messages import (
    JSON_TYPE,
    json_body,
)
from waxwingarch.adapters.matching_client import MatchingClient
from waxwingarch.core.limits.token_bucket import TokenBucket
from waxwingarch.exceptions import LinkError
from waxwingarch.ports.table import (
    TableReplyLostError,
    TableUnavailableError,
)

# Rate limits of the table service for all hosts together.
TABLE_READS_PER_S: Final = 2000.0
TABLE_WRITES_PER_S: Final = 400.0
# The part of these limits that the hosts use.
BUDGET_RATIO: Final = 0.9
# A burst is the budget of this many seconds, but at least `MIN_BURST`
# calls.
BURST_S: Final = 2.0
MIN_BURST: Final = 4.0
BACKOFF_FIRST_S: Final = 0.05
BACKOFF_MAX_S: Final = 2.0

HTTP_TOO_MANY: Final = 429
HTTP_UNAVAILABLE: Final = 503


@dataclass(frozen=True, kw_only=True, slots=True)
class TableBudget:
    """The rate limits of one host's calls to the table service."""

    reads_per_s: float
    writes_per_s: float

    @classmethod
    def for_hosts(cls, hosts: int) -> "TableBudget":
        """Return an equal share of the table's limits for each host."""
        share = BUDGET_RATIO / max(1, hosts)
        return cls(
            reads_per_s=TABLE_READS_PER_S * share,
            writes_per_s=TABLE_WRITES_PER_S * share,
        )


class Backoff:
    """Jittered delays whose upper bound doubles with each failure."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._bound_s = BACKOFF_FIRST_S

    def next_s(self) -> float:
        """Return the next delay in seconds."""
        delay_s = self._random.uniform(BACKOFF_FIRST_S / 2, self._bound_s)
        self._bound_s = min(BACKOFF_MAX_S, self._bound_s * 2)
        return delay_s

    def reset(self) -> None:
        """Return to the first delay after a success."""
        self._bound_s = BACKOFF_FIRST_S


class PlatformLink:
    """Sends JSON requests to one platform address.

    A request that the platform rejects with 429 is retried after a
    jittered delay for as long as its deadline allows. All other failures
    are raised or returned to the calling code.
    """

    def __init__(
        self,
        client: MatchingClient,
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
        """Replace the rate limits, for example when hosts join or leave."""
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
        """Return the response to one request.

        Raises `TableUnavailableError` if the request was certainly not
        applied, `TableReplyLostError` if that is unknown.
        """
        backoff = Backoff(self._random)
        while True:
            await self._async_wait_for_budget(write, deadline)
            response = await self._async_send(method, target, body, deadline)
            if response.status == HTTP_UNAVAILABLE:
                raise _unavailable("the platform is down", response)
            if response.status != HTTP_TOO_MANY:
                return response
            delay_s = max(backoff.next_s(), _retry_after_s(response, 0.0))
            if asyncio.get_running_loop().time() + delay_s >= deadline:
                raise _unavailable("over the platform's rate", response)
            await asyncio.sleep(delay_s)

    async def _async_wait_for_budget(
        self, write: bool, deadline: float
    ) -> None:
        """Wait until the rate budget allows one call.

        Raises `TableUnavailableError` if that is after the deadline.
        """
        bucket = self._writes if write else self._reads
        if bucket is None:
            return
        now = asyncio.get_running_loop().time()
        start_at = bucket.reserve(now, deadline)
        if start_at is None:
            raise TableUnavailableError(
                "this host's rate budget is spent; retry later"
            )
        if start_at > now:
            await asyncio.sleep(start_at - now)

    async def _async_send(
        self, method: str, target: str, body: bytes, deadline: float
    ) -> HttpResponse:
        counter = _counter_name(target)
        self.calls[counter] += 1
        try:
            response = await self._client.async_request(
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
        self.calls[f"{counter}_bytes"] += len(body) + len(response.body)
        return response

    async def async_json(
        self,
        method: str,
        target: str,
        *,
        deadline: float,
        body: object = None,
        write: bool = False,
    ) -> tuple[int, Any]:
        """Return status and JSON body; raises the errors of `async_call`.

        A response body that is not JSON counts as a lost reply.
        """
        data = b"" if body is None else json_body(body)
        response = await self.async_call(
            method, target, deadline=deadline, body=data, write=write
        )
        try:
            return response.status, response.json()
        except ValueError as exc:
            raise TableReplyLostError(
                f"{target}: the answer is no JSON; read back"
            ) from exc


def _counter_name(target: str) -> str:
    """Return the counter of a call, such as table_reads or cloud_hosts."""
    path = target.partition("?")[0]
    if path.startswith("/v1/table"):
        is_write = path == "/v1/table/transact"
        return "table_writes" if is_write else "table_reads"
    return "_".join(path.split("/")[2:4])


def _bucket(rate_per_s: float) -> TokenBucket:
    now = asyncio.get_running_loop().time()
    burst = max(MIN_BURST, rate_per_s * BURST_S)
    return TokenBucket(now, rate=rate_per_s, burst=burst)


def _retry_after_s(response: HttpResponse, default_s: float) -> float:
    """Return the seconds of a Retry-After header, or the default."""
    try:
        return float(response.headers.get("retry-after", default_s))
    except ValueError:
        return default_s


def _unavailable(reason: str, response: HttpResponse) -> TableUnavailableError:
    return TableUnavailableError(
        f"{reason}; retry later", _retry_after_s(response, 1.0)
    )
