"""Clients that send one request at a time and keep what they get."""

import asyncio
import socket
import time
from dataclasses import dataclass, field
from typing import Final

from review.standins2.deployment import Host
from review.standins2.servers import small_window
from standins.fleet import HOST_NAME

KEY: Final = "key-1"
READ_BYTES: Final = 8192


@dataclass(kw_only=True)
class Answer:
    """What a client has received of an answer, and how that ended.

    `ended_by` is "length" or "chunks" where the framing of the answer shows
    its end, "close" for the regular end of a connection whose answer has
    neither, and otherwise the reason why it is not complete.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    ended_by: str = ""
    sent_at: float = 0.0
    ended_at: float = 0.0

    @property
    def is_complete(self) -> bool:
        """Whether the answer looks complete."""
        return self.ended_by in ("length", "chunks", "close")


def encode_request(
    method: str,
    path: str,
    request_id: str,
    *,
    deadline_ms: int,
    body: bytes = b"",
    more: tuple[str, ...] = (),
    key: str = KEY,
) -> bytes:
    """Return the bytes of a request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"X-Api-Key: {key}",
        f"X-Waxwingarch-Request-Id: {request_id}",
        f"X-Waxwingarch-Deadline-Ms: {deadline_ms}",
        *more,
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def async_call(
    host: Host,
    request: bytes,
    *,
    within_s: float,
    bytes_per_s: float | None = None,
) -> Answer:
    """Send a request on a new connection and read its answer.

    With `bytes_per_s` the client is behind a slow link with a small window.
    """
    answer = Answer(sent_at=time.monotonic())
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setblocking(False)
        if bytes_per_s is not None:
            small_window(sock)
        try:
            async with asyncio.timeout(within_s):
                await loop.sock_connect(sock, host.front)
                await loop.sock_sendall(sock, request)
                await _async_read(sock, answer, bytes_per_s)
        except TimeoutError:
            answer.ended_by = "deadline of the client"
        except OSError as exc:
            answer.ended_by = repr(exc)
    answer.ended_at = time.monotonic()
    return answer


async def _async_read(
    sock: socket.socket, answer: Answer, bytes_per_s: float | None
) -> None:
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    data = b""
    while True:
        part = await loop.sock_recv(sock, READ_BYTES)
        data += part
        _parse(data, answer)
        if not part:
            has_end = not {"content-length", "transfer-encoding"}.isdisjoint(
                answer.headers
            )
            is_cut = has_end or not answer.status
            answer.ended_by = "closed too early" if is_cut else "close"
            return
        if answer.ended_by:
            return
        if bytes_per_s is not None:
            due_at = began_at + len(data) / bytes_per_s
            await asyncio.sleep(max(0.0, due_at - loop.time()))


def _parse(data: bytes, answer: Answer) -> None:
    """Parse what has come; note the end if the framing shows it."""
    head, found, body = data.partition(b"\r\n\r\n")
    if not found:
        return
    first, *lines = head.decode("latin-1").split("\r\n")
    answer.status = int(first.split(" ")[1])
    answer.headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }
    answer.body = body
    length = answer.headers.get("content-length")
    if length is not None and len(body) >= int(length):
        answer.ended_by = "length"
    if answer.headers.get("transfer-encoding") == "chunked" and body.endswith(
        b"0\r\n\r\n"
    ):
        answer.ended_by = "chunks"


async def async_read_answer(reader: asyncio.StreamReader) -> str:
    """Read one answer with a length on a kept connection; return its status.

    Raises `EOFError` or `OSError` if the connection ends before.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    _, _, rest = head.partition("content-length:")
    await reader.readexactly(int(rest.partition("\r\n")[0]))
    return head.split(" ")[1]
