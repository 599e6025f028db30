"""Callers of a campaign: model requests, plain calls and settings changes."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, Final

import xxhash

from standins.campaign_report import Promise, Report
from standins.campaign_world import World
from standins.client import Caller, CallResult, CompletionRequest
from standins.deployment import ACCOUNT_KEY, OPERATOR_KEY, contract_text
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.http_messages import (
    JSON_TYPE,
    json_body,
)
from waxwingarch.exceptions import LinkError

RESPONSE_TIMEOUT_S: Final = 30.0
ATTEMPT_TIMEOUT_S: Final = 8.0
MAX_ATTEMPTS: Final = 12
RETRY_INTERVAL_S: Final = 0.5
STREAM_CALLERS: Final = 8
PLAIN_CALLERS: Final = 2
ONCE_CALLERS: Final = 5
CALL_PAUSE_S: Final = (0.05, 0.4)
CHANGE_INTERVAL_S: Final = 4.0
ONCE_PATH: Final = "/ledger/disbursements"
PLAIN_PATH: Final = "/ledger/pledges"
AUTHORIZATION: Final = ("authorization", f"Bearer {ACCOUNT_KEY}")
UNKNOWN: Final = "unknown"


@dataclass(kw_only=True, slots=True)
class Call:
    """One operation of a caller; `begin` is in Unix seconds.

    `outcomes` holds one entry for each attempt: its status, the "ran"
    value of its refusal, or "lost" if there was no response.
    """

    digest: str
    key: str
    begin: float
    path: str
    outcomes: list[str] = field(default_factory=list)

    @property
    def never_ran(self) -> bool:
        """Whether every attempt was refused as not run."""
        return bool(self.outcomes) and set(self.outcomes) == {"not run"}


@dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """A change that an entry host accepted at a Unix time."""

    revision: int
    at: float


class LoadGenerator:
    """Runs callers until a given time and records their calls."""

    def __init__(self, world: World, report: Report, seed: int) -> None:
        self._world = world
        self._report = report
        self._seed = seed
        self._last_number = 0
        self._end = 0.0
        self._http = HttpClient()
        self._bodies: dict[str, bytes] = {}
        self.calls: list[Call] = []
        self.model_calls: list[Call] = []
        self.changes: list[Change] = []

    async def async_run(self, end: float) -> None:
        """Send requests until `end`, a time on the loop's clock."""
        self._end = end
        kinds: list[Callable[[Random], Awaitable[None]]] = [
            *[self._async_ask] * STREAM_CALLERS,
            *[self._async_plain] * PLAIN_CALLERS,
            *[self._async_once] * ONCE_CALLERS,
            self._async_change,
        ]
        await asyncio.gather(
            *(
                self._async_repeat(kind, Random(self._seed * 1000 + n))
                for n, kind in enumerate(kinds)
            )
        )
        await self._http.async_unload()

    async def _async_repeat(
        self, kind: Callable[[Random], Awaitable[None]], rng: Random
    ) -> None:
        while _now() < self._end:
            await kind(rng)
            await asyncio.sleep(rng.uniform(*CALL_PAUSE_S))

    def _entries(self, rng: Random) -> list[str]:
        entries = [host.http for host in self._world.dep.hosts.values()]
        rng.shuffle(entries)
        return entries

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    # Model requests

    async def _async_ask(self, rng: Random) -> None:
        request = CompletionRequest(
            prompt=f"campaign question {self._next_number()}",
            max_tokens=rng.randint(4, 80),
            stream=rng.random() < 0.75,
        )
        begin = time.time()
        caller = Caller(self._entries(rng), ACCOUNT_KEY)
        answer = await caller.async_ask(request, _now() + RESPONSE_TIMEOUT_S)
        await caller.async_unload()
        self._check_answer(request, answer, begin)

    def _check_answer(
        self, request: CompletionRequest, answer: CallResult, begin: float
    ) -> None:
        kind = "stream" if request.stream else "whole"
        self._report.count(kind)
        digest = xxhash.xxh3_64_hexdigest(request.prompt.encode())
        call = Call(digest=digest, key="", begin=begin, path=request.path)
        ran = _reported_execution(answer.error)
        if answer.connections == 1 and ran:
            call.outcomes.append(ran)
        self.model_calls.append(call)
        is_prefix = request.expected().startswith(answer.text)
        correct = answer.is_correct if answer.whole else is_prefix
        self._report.record_check(Promise.WHOLE, correct, answer)
        accepted = bool(answer.text) or answer.status == 200
        if not accepted:
            self._report.count(f"{kind} refused")
            return
        self._report.record_check(
            Promise.SURVIVES,
            answer.whole,
            f"{answer} after "
            f"{self._report.events_between(begin - 3, time.time())}",
        )
        self._check_stops(answer, begin)

    def _check_stops(self, answer: CallResult, begin: float) -> None:
        """Check that no host aborted a connection during a planned stop."""
        for host in self._world.dep.hosts.values():
            fault_intervals = self._world.faults_between(
                host.host_id, begin, time.time()
            )
            if [interval.kind for interval in fault_intervals] != ["stop"]:
                continue
            cuts = [
                link
                for link in answer.links
                if link.startswith(f"CutLinkError: {host.http}")
            ]
            self._report.record_check(
                Promise.STOP, not cuts, f"{host.host_id}: {answer}"
            )

    # Plain requests

    async def _async_plain(self, rng: Random) -> None:
        self._report.count("plain")
        call = self._new_call(PLAIN_PATH, "")
        await self._async_attempt(call, self._entries(rng)[0])

    async def _async_once(self, rng: Random) -> None:
        keyed = rng.random() < 0.75
        self._report.count("once" if keyed else "once without key")
        number = self._next_number()
        call = self._new_call(ONCE_PATH, f"key-{number}" if keyed else "")
        if not keyed:
            await self._async_attempt(call, self._entries(rng)[0])
            return
        if rng.random() < 0.3:
            entries = self._entries(rng)[:2]
            await asyncio.gather(
                *(self._async_attempt(call, entry) for entry in entries)
            )
        for _ in range(MAX_ATTEMPTS):
            if set(call.outcomes) & {"200", UNKNOWN}:
                break
            await self._async_attempt(call, self._entries(rng)[0])
            await asyncio.sleep(RETRY_INTERVAL_S)

    def _new_call(self, path: str, key: str) -> Call:
        body = _body(self._next_number())
        digest = xxhash.xxh3_64_hexdigest(body)
        call = Call(digest=digest, key=key, begin=time.time(), path=path)
        self._bodies[digest] = body
        self.calls.append(call)
        return call

    async def _async_attempt(self, call: Call, entry: str) -> None:
        headers = [JSON_TYPE, AUTHORIZATION]
        if call.key:
            headers.append(("idempotency-key", call.key))
        body = self._bodies[call.digest]
        try:
            answer = await self._http.async_request(
                "POST",
                entry,
                call.path,
                deadline=_now() + ATTEMPT_TIMEOUT_S,
                headers=headers,
                body=body,
            )
            data = answer.json()
        except (LinkError, ValueError) as exc:
            refused = type(exc).__name__ == "ConnectFailedError"
            call.outcomes.append("not run" if refused else "lost")
            return
        if answer.status == 200:
            call.outcomes.append("200")
            is_correct = data["received"] == _json(body)
            self._report.record_check(Promise.WHOLE, is_correct, (call, data))
            return
        outcome = _reported_execution(data.get("error")) or str(answer.status)
        call.outcomes.append("409" if answer.status == 409 else outcome)

    # Settings changes

    async def _async_change(self, rng: Random) -> None:
        await asyncio.sleep(CHANGE_INTERVAL_S)
        undisturbed = self._world.undisturbed(kind="entry")
        if not undisturbed:
            return
        host = self._world.dep.hosts[rng.choice(undisturbed)]
        text = contract_text(
            "changed", "key-of-changed", rate=self._next_number(), share=0.05
        )
        try:
            answer = await self._http.async_request(
                "POST",
                host.admin,
                "/admin/contracts",
                deadline=_now() + ATTEMPT_TIMEOUT_S,
                headers=[JSON_TYPE, ("x-operator-key", OPERATOR_KEY)],
                body=json_body({"contracts": [{"text": text}]}),
            )
        except LinkError:
            self._report.count("change lost")
            return
        self._report.count(f"change {answer.status}")
        if answer.status == 200:
            revision = int(answer.json()["revision"])
            self.changes.append(Change(revision=revision, at=time.time()))


def _now() -> float:
    return asyncio.get_running_loop().time()


def _body(number: int) -> bytes:
    return json_body({"campaign": number, "amount": number * 10})


def _json(body: bytes) -> Any:
    return json.loads(body)


def _reported_execution(error: Any) -> str:
    return str(error.get("ran", "")) if isinstance(error, dict) else ""
