"""Heads of requests and answers, between the platform's and our types."""

from collections.abc import Iterable

from waxwingarch.adapters.http_messages import Headers, HttpRequest
from waxwingarch.core.base import RequestId
from waxwingarch.core.exchange.exchange_messages import (
    ExchangeHead,
    PromptPart,
    SendRequest,
)
from waxwingarch.platform.const import (
    HEADER_DEADLINE,
    HEADER_KEY,
    HEADER_KV_FROM,
    HEADER_LAST_EVENT,
    HEADER_NOT_RUN,
    HEADER_PREFIX,
    HEADER_PRIORITY,
    HEADER_REQUEST,
    HEADER_STAMP,
    HEADER_TARGET,
    HEADER_TENANT,
    HEADER_TOKENS,
    HOP_HEADERS,
    MS_PER_S,
    SYSTEM_HEADERS,
)
from waxwingarch.ports.front import AnswerHead, BadHeadError

HTTP_MISDIRECTED = 421
HTTP_UNAVAILABLE = 503
LOWEST_PRIORITY = 9


class PlatformExchanges:
    """`ExchangeCodec` over the platform's headers."""

    def head(self, req: HttpRequest) -> ExchangeHead:
        """Return what a request's head says; raises `BadHeadError`."""
        headers = req.headers
        request_id = headers.get(HEADER_REQUEST)
        if not request_id:
            raise BadHeadError(f"send a request id as {HEADER_REQUEST}")
        # The tokens of the prompt, then the most that are generated.
        tokens = headers.get(HEADER_TOKENS)
        prompt, output = _two_numbers(tokens) if tokens else (0, 0)
        return ExchangeHead(
            request_id=RequestId(request_id),
            host=headers.get("host", "").partition(":")[0],
            path=req.path,
            key=headers.get(HEADER_KEY, ""),
            caller_timeout_s=_caller_timeout_s(headers.get(HEADER_DEADLINE)),
            prompt_tokens=prompt,
            output_tokens=output,
            has_token_counts=tokens is not None,
            parts=_parts(headers.get(HEADER_PREFIX)),
            last_event=_number(headers.get(HEADER_LAST_EVENT)),
        )

    def server_headers(
        self, req: HttpRequest, send: SendRequest, now: float
    ) -> list[tuple[str, str]]:
        """Return the headers of a request to a server."""
        resumes = send.resume_after is not None
        headers = [
            (name, value)
            for name, value in req.pairs
            if _passes(name.lower(), resumes)
        ]
        left_ms = max(1, int((send.expires_at - now) * MS_PER_S))
        headers.append((HEADER_DEADLINE, str(left_ms)))
        headers.append((HEADER_TARGET, send.server.server_id))
        headers.append(
            (HEADER_PRIORITY, str(min(LOWEST_PRIORITY, send.priority)))
        )
        if send.account is not None:
            headers.append((HEADER_TENANT, send.account))
        if send.resume_after is not None:
            headers.append((HEADER_LAST_EVENT, str(send.resume_after)))
        if send.migrated_cache is not None:
            source = (
                f"{send.migrated_cache.address}/{send.migrated_cache.handle}"
            )
            headers.append((HEADER_KV_FROM, source))
        return headers

    def answer_head(self, status: int, headers: Headers) -> AnswerHead:
        """Return what the head of a server's answer says."""
        fields = {name.lower(): value for name, value in headers}
        request_id = fields.get(HEADER_REQUEST)
        encoded = "content-encoding" in fields
        return AnswerHead(
            status=status,
            request_id=RequestId(request_id) if request_id else None,
            genuine=HEADER_STAMP in fields and not encoded,
            not_run=HEADER_NOT_RUN in fields or status == HTTP_MISDIRECTED,
            misdirected=status == HTTP_MISDIRECTED,
            retry_after_s=_seconds(fields.get("retry-after")),
        )

    def caller_headers(self, headers: Headers) -> list[tuple[str, str]]:
        """Return the headers of an answer that are passed on."""
        return [(n, v) for n, v in headers if n.lower() not in HOP_HEADERS]


def _passes(name: str, resumes: bool) -> bool:
    if name in SYSTEM_HEADERS or name in HOP_HEADERS:
        return False
    return not (resumes and name == HEADER_LAST_EVENT)


def _caller_timeout_s(text: str | None) -> float | None:
    """Return how long a caller waits; raises `BadHeadError`."""
    if text is None:
        return None
    number = _number(text)
    if number is None or number <= 0:
        raise BadHeadError(f"send {HEADER_DEADLINE} as whole milliseconds")
    return number / MS_PER_S


def _number(text: str | None) -> int | None:
    if text is None:
        return None
    try:
        return int(text)
    except ValueError:
        return None


def _seconds(text: str | None) -> float | None:
    try:
        return float(text) if text else None
    except ValueError:
        return None


def _two_numbers(text: str) -> tuple[int, int]:
    """Return both counts of "N,M"; raises `BadHeadError`."""
    first, _, second = text.partition(",")
    prompt, output = _number(first), _number(second or "0")
    if prompt is None or output is None:
        raise BadHeadError(f"send {HEADER_TOKENS} as PROMPT,OUTPUT")
    return prompt, output


def _parts(text: str | None) -> tuple[PromptPart, ...]:
    return tuple(_each_part(text.split(","))) if text else ()


def _each_part(entries: Iterable[str]) -> Iterable[PromptPart]:
    for entry in entries:
        part, _, tokens = entry.strip().partition(":")
        count = _number(tokens)
        if part and count is not None:
            yield PromptPart(part=part, tokens=count)
