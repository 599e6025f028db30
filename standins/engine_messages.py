"""Request and response bodies of the stand-in engine."""

from typing import Any

from pydantic import BaseModel, Field

from standins.answers import chat_text

DEFAULT_MAX_TOKENS = 16


class ChatMessage(BaseModel):
    """One message of a chat."""

    role: str
    content: str


class WaxwingFields(BaseModel):
    """The fields that an entry host adds to the body of a completion."""

    stream_id: str | None = None
    priority: int = 1
    resume_text_tokens: list[str] | None = None
    deadline_ms: float | None = None


class CompletionBody(BaseModel):
    """Body of a completion; other fields are accepted and ignored."""

    prompt: str = ""
    messages: list[ChatMessage] = []
    max_tokens: int = Field(default=DEFAULT_MAX_TOKENS, ge=1, le=32_768)
    stream: bool = False
    waxwing: WaxwingFields = WaxwingFields()

    def prompt_text(self) -> str:
        """Return the prompt as one text."""
        if self.messages:
            return chat_text([(m.role, m.content) for m in self.messages])
        return self.prompt


class Want(BaseModel):
    """The state that an order asks for; None leaves a field as it is."""

    version: str | None = None
    role: str | None = None
    adapters: list[str] | None = None


class Order(BaseModel):
    """Body of `POST /v1/orders`."""

    order_id: str
    fencing: int
    want: Want


class ExportBody(BaseModel):
    """Body of `POST /v1/kv/export`."""

    stream_id: str


class ImportBody(BaseModel):
    """Body of `POST /v1/kv/import`."""

    blob: str


class StartBody(BaseModel):
    """Body of `PUT /admin/start`."""

    version: str
    incarnation: int


def unstreamed_response(
    body: CompletionBody, stream_id: str, text: str, waxwing: dict[str, Any]
) -> dict[str, Any]:
    """Return the response body of a request that is not streamed."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
    if body.messages:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    prompt_tokens = len(body.prompt_text().split())
    return {
        "id": stream_id,
        "object": "chat.completion" if body.messages else "text_completion",
        "choices": [choice],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": body.max_tokens,
            "total_tokens": prompt_tokens + body.max_tokens,
        },
        "waxwing": waxwing,
    }
