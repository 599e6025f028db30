"""The callers' API: request models, and responses and refusals as JSON."""

from typing import Any, Final

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from waxwingarch.core.refusal import Refusal, RefusalReason

COMPLETIONS_PATH: Final = "/v1/completions"
CHAT_PATH: Final = "/v1/chat/completions"
ENGINE_PATHS: Final = frozenset({COMPLETIONS_PATH, CHAT_PATH})
DEFAULT_MAX_TOKENS: Final = 256
MAX_TOKENS_LIMIT: Final = 32768

REFUSAL_STATUS: Final[dict[RefusalReason, int]] = {
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.UNKNOWN_KEY: 401,
    RefusalReason.UNKNOWN_ROUTE: 404,
    RefusalReason.NO_CONTRACT: 403,
    RefusalReason.RATE_LIMIT: 429,
    RefusalReason.QUEUE_FULL: 429,
    RefusalReason.DEADLINE_UNREACHABLE: 503,
    RefusalReason.NO_CAPACITY: 503,
    RefusalReason.NO_SERVER: 503,
    RefusalReason.QUARANTINED: 503,
    RefusalReason.SUSPECTED: 503,
    RefusalReason.BACKEND_FAILED: 502,
    RefusalReason.NOT_READY: 503,
    RefusalReason.DRAINING: 503,
    RefusalReason.IN_PROGRESS: 409,
    RefusalReason.KEY_CONFLICT: 422,
    RefusalReason.OUTCOME_UNKNOWN: 504,
    RefusalReason.STORE_DOWN: 503,
    RefusalReason.RESUME_MISMATCH: 409,
}


class Message(BaseModel):
    """One message of a chat."""

    model_config = ConfigDict(extra="allow")

    role: str
    content: str = ""


class EngineBody(BaseModel):
    """The fields of a completion request that placement needs.

    Other fields are accepted and passed to the engine unchanged.
    """

    model_config = ConfigDict(extra="allow")

    prompt: str | None = None
    messages: list[Message] | None = None
    max_tokens: int = Field(DEFAULT_MAX_TOKENS, ge=1, le=MAX_TOKENS_LIMIT)
    stream: bool = False

    def prompt_text(self) -> str:
        """Return the prompt, or the chat messages joined to one text."""
        if self.prompt is not None:
            return self.prompt
        return "\n".join(f"{m.role}: {m.content}" for m in self.messages or ())


class BadBodyError(ValueError):
    """The body of a completion request is invalid; the message says why."""


def parse_engine_body(body: bytes) -> tuple[EngineBody, dict[str, Any]]:
    """Return the validated fields and the complete JSON payload.

    Raises `BadBodyError`.
    """
    try:
        payload = orjson.loads(body)
        checked = EngineBody.model_validate(payload)
    except orjson.JSONDecodeError as exc:
        raise BadBodyError(f"send a JSON body: {exc}") from exc
    except ValidationError as exc:
        first = exc.errors()[0]
        place = ".".join(str(part) for part in first["loc"])
        raise BadBodyError(f"correct {place}: {first['msg']}") from exc
    if checked.prompt is None and not checked.messages:
        raise BadBodyError("send a prompt or messages")
    return checked, payload


def refusal_headers(refusal: Refusal) -> list[tuple[str, str]]:
    """Return the response headers of a refusal.

    Retry-After holds whole seconds, at least 1.
    """
    headers = [("content-type", "application/json")]
    if refusal.retry_after_s is not None:
        retry_after_s = max(1, round(refusal.retry_after_s))
        headers.append(("retry-after", str(retry_after_s)))
    return headers


def refusal_body(refusal: Refusal, request_id: str) -> bytes:
    """Return the JSON error body of a refusal."""
    error = {
        "type": refusal.reason.value,
        "ran": refusal.ran.value,
        "message": refusal.message,
        "retry_after_s": refusal.retry_after_s,
        "request_id": request_id,
    }
    return orjson.dumps({"error": error})


def chunk_body(path: str, request_id: str, text: str) -> bytes:
    """Return one chunk of a streamed completion as JSON."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": None}
    kind = "text_completion"
    if path == CHAT_PATH:
        kind = "chat.completion.chunk"
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    return orjson.dumps(
        {"id": request_id, "object": kind, "choices": [choice]}
    )


def completion_body(
    path: str, request_id: str, text: str, usage: dict[str, int]
) -> bytes:
    """Return the JSON body of a completion that is not streamed."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
    kind = "text_completion"
    if path == CHAT_PATH:
        kind = "chat.completion"
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return orjson.dumps(
        {
            "id": request_id,
            "object": kind,
            "choices": [choice],
            "usage": usage,
        }
    )


def token_usage(
    prompt_tokens: int, completion_tokens: int, engine_usage: dict[str, int]
) -> dict[str, int]:
    """Return the `usage` object of one response.

    `engine_usage` is what the engine reported about its prefix cache.
    """
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens,
        "cached_tokens": engine_usage.get("cached_tokens", 0),
        "computed_tokens": engine_usage.get("computed_tokens", 0),
    }
