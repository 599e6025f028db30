"""Decodes and encodes the platform's request and response headers."""

from collections.abc import Iterable, Mapping
from math import isfinite

from eliot import log_message

from waxwingarch.adapters.http_messages import Headers, HttpRequest
from waxwingarch.core.base import RequestId, ServerId
from waxwingarch.core.exchange.exchange_messages import (
    ExchangeHead,
    PromptPart,
    SendRequest,
)
from waxwingarch.core.once.claim import body_digest
from waxwingarch.platform.cold_values import parse_cold_header
from waxwingarch.platform.const import (
    HEADER_API_KEY,
    HEADER_COLD_REMAINING,
    HEADER_DEADLINE_MS,
    HEADER_KV_SOURCE,
    HEADER_LAST_EVENT_ID,
    HEADER_NOT_EXECUTED,
    HEADER_PRIORITY,
    HEADER_PROMPT_PREFIX,
    HEADER_REQUEST_ID,
    HEADER_RETRY_AFTER,
    HEADER_SERVER_BRITTLE,
    HEADER_SERVER_LEAVING,
    HEADER_SERVER_LIMIT,
    HEADER_SERVER_STAMP,
    HEADER_TARGET_SERVER,
    HEADER_TENANT,
    HEADER_TOKEN_USAGE,
    HOP_HEADERS,
    MS_PER_S,
    SYSTEM_HEADERS,
)
from waxwingarch.ports.front import (
    RELAY_HEADER,
    RUN_AT_HEADER,
    BadHeadError,
    ResponseHead,
)

HTTP_MISDIRECTED = 421
HTTP_TOO_MANY_REQUESTS = 429
HTTP_UNAVAILABLE = 503
MAX_LOGGED_VALUE_CHARS = 40
NUMBER_HEADERS = (
    HEADER_RETRY_AFTER,
    HEADER_SERVER_LIMIT,
    HEADER_SERVER_BRITTLE,
)
# Priority 0 is the most urgent; the header carries 9 at most.
LEAST_URGENT_PRIORITY = 9


class PlatformExchangeCodec:
    """`ExchangeCodec` over the platform's headers."""

    def decode_request_head(self, req: HttpRequest) -> ExchangeHead:
        """Decode a caller's request head; raises `BadHeadError`."""
        headers = req.headers
        request_id = headers.get(HEADER_REQUEST_ID)
        if not request_id:
            raise BadHeadError(f"send a request id as {HEADER_REQUEST_ID}")
        tokens = headers.get(HEADER_TOKEN_USAGE)
        prompt, output = _parse_token_usage(tokens) if tokens else (0, 0)
        return ExchangeHead(
            request_id=RequestId(request_id),
            host=headers.get("host", "").partition(":")[0],
            path=req.path,
            key=headers.get(HEADER_API_KEY, ""),
            caller_timeout_s=_parse_caller_timeout_s(
                headers.get(HEADER_DEADLINE_MS)
            ),
            prompt_tokens=prompt,
            output_tokens=output,
            has_token_counts=tokens is not None,
            parts=_parse_prompt_parts(headers.get(HEADER_PROMPT_PREFIX)),
            last_event=_parse_int(headers.get(HEADER_LAST_EVENT_ID)),
            digest=body_digest(req.method, req.target, req.body),
            run_at=_parse_server_id(headers),
            asks_for_server=RUN_AT_HEADER in headers,
        )

    def encode_request_headers(
        self, req: HttpRequest, send: SendRequest, now: float
    ) -> list[tuple[str, str]]:
        """Return the caller's headers with those that this system sets.

        `Last-Event-ID` is replaced where the server has to resume the
        stream after an event that the caller already has.
        """
        is_resuming = send.resume_after is not None
        headers = [
            (name, value)
            for name, value in req.pairs
            if _is_forwarded(name.lower(), is_resuming)
        ]
        headers += _progress_headers(send, now)
        headers.append((HEADER_TARGET_SERVER, send.server.server_id))
        headers.append(
            (HEADER_PRIORITY, str(min(LEAST_URGENT_PRIORITY, send.priority)))
        )
        if send.account is not None:
            headers.append((HEADER_TENANT, send.account))
        if send.migrated_cache is not None:
            source = (
                f"{send.migrated_cache.address}/{send.migrated_cache.handle}"
            )
            headers.append((HEADER_KV_SOURCE, source))
        return headers

    def encode_relay_headers(
        self, req: HttpRequest, send: SendRequest, now: float
    ) -> list[tuple[str, str]]:
        """Return the caller's headers with the time and events that are left.

        The peer sets the others itself, as for a request of its own callers.
        """
        is_resuming = send.resume_after is not None
        headers = [
            (name, value)
            for name, value in req.pairs
            if name.lower() == HEADER_API_KEY
            or _is_forwarded(name.lower(), is_resuming)
        ]
        headers += _progress_headers(send, now)
        headers.append((RELAY_HEADER, "1"))
        headers.append((RUN_AT_HEADER, send.run_at or ""))
        return headers

    def decode_response_head(
        self, status: int, headers: Headers
    ) -> ResponseHead:
        """Decode the head of a server's response."""
        values = _unique_values(headers)
        request_id = values.get(HEADER_REQUEST_ID)
        is_encoded = "content-encoding" in values
        return ResponseHead(
            status=status,
            request_id=RequestId(request_id) if request_id else None,
            is_authentic=HEADER_SERVER_STAMP in values and not is_encoded,
            not_executed=HEADER_NOT_EXECUTED in values
            or status == HTTP_MISDIRECTED,
            misdirected=status == HTTP_MISDIRECTED,
            # Another server now has the address of a misdirected request.
            leaving=status != HTTP_MISDIRECTED and is_leaving(values),
            retry_after_s=_parse_number(values, HEADER_RETRY_AFTER)
            if status in (HTTP_TOO_MANY_REQUESTS, HTTP_UNAVAILABLE)
            else None,
            limit_per_s=_parse_number(values, HEADER_SERVER_LIMIT)
            if status != HTTP_MISDIRECTED
            else None,
            brittle_rejections_per_s=_parse_number(
                values, HEADER_SERVER_BRITTLE
            )
            if status != HTTP_MISDIRECTED
            else None,
            run_at=_parse_server_id(values),
            cold=parse_cold_header(
                [v for n, v in headers if n.lower() == HEADER_COLD_REMAINING]
                if HEADER_COLD_REMAINING in values
                else []
            ),
        )

    def filter_response_headers(
        self, headers: Headers
    ) -> list[tuple[str, str]]:
        """Return a response's headers without the hop-by-hop ones."""
        return [(n, v) for n, v in headers if n.lower() not in HOP_HEADERS]

    def encode_run_headers(self, server_id: ServerId) -> list[tuple[str, str]]:
        """Return the headers that tell a peer which server runs a request."""
        return [(RUN_AT_HEADER, server_id)]

    def encode_refusal_headers(
        self, request_id: RequestId
    ) -> list[tuple[str, str]]:
        """Return the headers of this host's own response to a request."""
        return [(HEADER_REQUEST_ID, request_id)]


def _progress_headers(send: SendRequest, now: float) -> list[tuple[str, str]]:
    """Return the time that is left, and after which event to go on."""
    remaining_ms = max(1, int((send.expires_at - now) * MS_PER_S))
    headers = [(HEADER_DEADLINE_MS, str(remaining_ms))]
    if send.resume_after is not None:
        headers.append((HEADER_LAST_EVENT_ID, str(send.resume_after)))
    return headers


def _is_forwarded(name: str, is_resuming: bool) -> bool:
    if name in SYSTEM_HEADERS or name in HOP_HEADERS:
        return False
    return not (is_resuming and name == HEADER_LAST_EVENT_ID)


def _parse_caller_timeout_s(text: str | None) -> float | None:
    """Return the caller's timeout; raises `BadHeadError`."""
    if text is None:
        return None
    number = _parse_int(text)
    if number is None or number <= 0:
        raise BadHeadError(f"send {HEADER_DEADLINE_MS} as whole milliseconds")
    return number / MS_PER_S


def _parse_server_id(headers: Mapping[str, str]) -> ServerId | None:
    """Return the server that a host names to its peer, if it does."""
    text = headers.get(RUN_AT_HEADER, "")
    return ServerId(text) if text else None


def _parse_int(text: str | None) -> int | None:
    if text is None:
        return None
    try:
        return int(text)
    except ValueError:
        return None


def is_leaving(headers: Mapping[str, str]) -> bool:
    """Return whether a server says that it is shutting down.

    Header names are in lower case.
    """
    return headers.get(HEADER_SERVER_LEAVING, "").strip() == "1"


def _unique_values(headers: Headers) -> dict[str, str]:
    """Return the headers by lower-case name.

    A number that occurs more than once is ambiguous and left out.
    """
    values = {name.lower(): value for name, value in headers}
    if len(values) == len(headers):
        return values
    names = [name.lower() for name, _ in headers]
    for name in NUMBER_HEADERS:
        if names.count(name) > 1:
            _log_bad_header(name, values.pop(name), "occurs more than once")
    return values


def _parse_number(values: Mapping[str, str], name: str) -> float | None:
    """Parse a header as a number from 0 up; None if it is not one."""
    text = values.get(name)
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        number = float("nan")
    if not isfinite(number) or number < 0:
        _log_bad_header(name, text, "not a number from 0 up")
        return None
    return number


def _log_bad_header(name: str, value: str, reason: str) -> None:
    """Log a header that is ignored, with the start of its value."""
    log_message(
        message_type="bad_header",
        header=name,
        value=value[:MAX_LOGGED_VALUE_CHARS],
        reason=reason,
    )


def _parse_token_usage(text: str) -> tuple[int, int]:
    """Parse "PROMPT" or "PROMPT,OUTPUT"; raises `BadHeadError`."""
    prompt_text, _, output_text = text.partition(",")
    prompt, output = _parse_int(prompt_text), _parse_int(output_text or "0")
    if prompt is None or output is None:
        raise BadHeadError(f"send {HEADER_TOKEN_USAGE} as PROMPT,OUTPUT")
    return prompt, output


def _parse_prompt_parts(text: str | None) -> tuple[PromptPart, ...]:
    return tuple(_iter_prompt_parts(text.split(","))) if text else ()


def _iter_prompt_parts(entries: Iterable[str]) -> Iterable[PromptPart]:
    """Parse "ID:TOKENS" entries and skip malformed ones."""
    for entry in entries:
        part, _, tokens = entry.strip().partition(":")
        count = _parse_int(tokens)
        if part and count is not None:
            yield PromptPart(part=part, tokens=count)
