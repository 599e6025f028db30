"""Turns a caller's HTTP request into an exchange, or refuses it."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from waxwingarch.adapters.caller_api import (
    ENGINE_PATHS,
    BadBodyError,
    parse_engine_body,
)
from waxwingarch.adapters.contract_ini import key_digest
from waxwingarch.adapters.http_messages import (
    HttpRequest,
)
from waxwingarch.adapters.ticket import BadTicketError, TicketSigner
from waxwingarch.const import (
    HEADER_DEADLINE_MS,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_LAST_EVENT_ID,
    HEADER_NON_IDEMPOTENT,
)
from waxwingarch.core.base import ExecutionStatus, RequestId, ServerKind
from waxwingarch.core.contracts.contract import Contract, RouteRule
from waxwingarch.core.contracts.directory import ContractDirectory
from waxwingarch.core.once.claim import body_digest
from waxwingarch.core.placement.prefix import prompt_blocks
from waxwingarch.core.refusal import Refusal, RefusalReason
from waxwingarch.core.request import Request, ResumeFrom
from waxwingarch.exceptions import WaxwingError
from waxwingarch.tasks.exchange import Exchange

MS_PER_S: Final = 1000.0
MAX_KEY_CHARS: Final = 200
NOT_READY_RETRY_AFTER_S: Final = 1.0
BEARER: Final = "bearer "
TRUE_WORDS: Final = frozenset({"1", "true", "yes"})


class IntakeError(WaxwingError):
    """A request is refused before any decision; it did not run."""

    def __init__(
        self,
        reason: RefusalReason,
        message: str,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.refusal = Refusal(
            reason=reason,
            ran=ExecutionStatus.NOT_RUN,
            message=message,
            retry_after_s=retry_after_s,
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class Caller:
    """Who calls, and under which route of its contract."""

    contract: Contract
    rule: RouteRule


class Intake:
    """Identifies callers and builds exchanges."""

    def __init__(
        self,
        id_prefix: str,
        directory: ContractDirectory,
        tickets: TicketSigner,
        is_serving: Callable[[], bool],
    ) -> None:
        self._is_serving = is_serving
        self._id_prefix = id_prefix
        self._directory = directory
        self._tickets = tickets
        self._count = itertools.count(1)

    def next_id(self) -> RequestId:
        """Return a request id that no other host or process gives out."""
        return RequestId(f"{self._id_prefix}-{next(self._count)}")

    def exchange(
        self, now: float, request_id: RequestId, req: HttpRequest
    ) -> Exchange:
        """Return the exchange of a request; raises `IntakeError`."""
        if not self._is_serving():
            raise IntakeError(
                RefusalReason.NOT_READY,
                "this host has no settings yet: send it again",
                NOT_READY_RETRY_AFTER_S,
            )
        caller = self._identify(req)
        if req.path in ENGINE_PATHS:
            return self._engine(now, request_id, req, caller)
        return self._plain(now, request_id, req, caller)

    def _identify(self, req: HttpRequest) -> Caller:
        given = req.headers.get("authorization", "")
        if not given.lower().startswith(BEARER):
            raise IntakeError(
                RefusalReason.UNKNOWN_KEY,
                "send the account's key as Authorization: Bearer KEY",
            )
        digest = key_digest(given[len(BEARER) :].strip())
        contract = self._directory.by_key(digest)
        if contract is None:
            raise IntakeError(
                RefusalReason.UNKNOWN_KEY,
                "no contract has this key: ask the operators",
            )
        rule = contract.route(req.path)
        if rule is None:
            raise IntakeError(
                RefusalReason.UNKNOWN_ROUTE,
                f"the contract of {contract.account} has no route for"
                f" {req.path}: ask the operators",
            )
        return Caller(contract=contract, rule=rule)

    def _engine(
        self,
        now: float,
        request_id: RequestId,
        req: HttpRequest,
        caller: Caller,
    ) -> Exchange:
        try:
            checked, payload = parse_engine_body(req.body)
        except BadBodyError as exc:
            raise IntakeError(RefusalReason.BAD_REQUEST, str(exc)) from exc
        if checked.stream and self._is_guarded(req, caller.rule):
            raise IntakeError(
                RefusalReason.BAD_REQUEST,
                "send stream = false with a request that may not be repeated",
            )
        prompt = checked.prompt_text()
        request = self._request(
            now,
            request_id,
            req,
            caller,
            kind=ServerKind.ENGINE,
            blocks=prompt_blocks(prompt),
            prompt_tokens=len(prompt.split()),
            max_tokens=checked.max_tokens,
            resume=self._resume(req, caller),
        )
        return self._exchange(request, req, payload)

    def _plain(
        self,
        now: float,
        request_id: RequestId,
        req: HttpRequest,
        caller: Caller,
    ) -> Exchange:
        request = self._request(
            now, request_id, req, caller, kind=ServerKind.PLAIN
        )
        return self._exchange(request, req, {})

    def _exchange(
        self, request: Request, req: HttpRequest, payload: dict[str, object]
    ) -> Exchange:
        return Exchange(
            request=request,
            payload=payload,
            body=req.body,
            content_type=req.headers.get("content-type", "application/json"),
            target=req.target,
        )

    def _request(
        self,
        now: float,
        request_id: RequestId,
        req: HttpRequest,
        caller: Caller,
        *,
        kind: ServerKind,
        blocks: tuple[int, ...] = (),
        prompt_tokens: int = 0,
        max_tokens: int = 0,
        resume: ResumeFrom | None = None,
    ) -> Request:
        contract, rule = caller.contract, caller.rule
        return Request(
            request_id=request_id,
            account=contract.account,
            service=rule.service,
            kind=kind,
            route=rule.path,
            method=req.method,
            path=req.path,
            body_digest=body_digest(req.method, req.target, req.body),
            arrived_at=now,
            deadline=now + self._allowed_s(req, contract),
            first_token_s=contract.first_token_s,
            between_tokens_s=contract.between_tokens_s,
            priority=contract.priority,
            cost_weight=contract.cost_weight,
            non_idempotent=self._is_guarded(req, rule),
            outcome_query=rule.outcome_query,
            idempotency_key=self._idempotency_key(req),
            prompt_blocks=blocks,
            prompt_tokens=prompt_tokens,
            max_tokens=max_tokens,
            resume=resume,
        )

    @staticmethod
    def _is_guarded(req: HttpRequest, rule: RouteRule) -> bool:
        """Tell whether the request runs at most once."""
        marked = req.headers.get(HEADER_NON_IDEMPOTENT, "").lower()
        return rule.non_idempotent or marked in TRUE_WORDS

    def _allowed_s(self, req: HttpRequest, contract: Contract) -> float:
        given = req.headers.get(HEADER_DEADLINE_MS)
        if given is None:
            return contract.whole_answer_s
        whole = given.isascii() and given.isdigit()
        if not whole or int(given) == 0:
            raise IntakeError(
                RefusalReason.BAD_REQUEST,
                f"send {HEADER_DEADLINE_MS} as a whole number of ms above 0",
            )
        return min(contract.whole_answer_s, int(given) / MS_PER_S)

    def _idempotency_key(self, req: HttpRequest) -> str | None:
        key = req.headers.get(HEADER_IDEMPOTENCY_KEY)
        if key is None:
            return None
        if not 0 < len(key) <= MAX_KEY_CHARS or not key.isprintable():
            raise IntakeError(
                RefusalReason.BAD_REQUEST,
                f"send an idempotency key of 1 to {MAX_KEY_CHARS} printable"
                " characters",
            )
        return key

    def _resume(self, req: HttpRequest, caller: Caller) -> ResumeFrom | None:
        ticket = req.headers.get(HEADER_LAST_EVENT_ID)
        if not ticket:
            return None
        try:
            return self._tickets.read(caller.contract.account, ticket)
        except BadTicketError as exc:
            raise IntakeError(RefusalReason.BAD_REQUEST, str(exc)) from exc
