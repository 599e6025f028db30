"""Serves the pages of the metrics address."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

from waxwingarch.adapters.http_messages import (
    Headers,
    HttpRequest,
    HttpResponder,
)
from waxwingarch.adapters.http_server import HttpServer

# A page is sent again for so many times as long as it took to build, so that
# requests for pages take a tenth of the processor at most: the histograms of
# the metrics take up to tenths of a second.
REUSED_PER_BUILD: Final = 9.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Page:
    """How a page is built, and its headers."""

    build: Callable[[], bytes]
    headers: Headers


@dataclass(frozen=True, kw_only=True, slots=True)
class _BuiltPage:
    body: bytes
    expires_at: float


class MetricsPages:
    """HTTP server of pages, one of which has all other paths."""

    def __init__(
        self,
        pages: Mapping[str, Page],
        other: Page,
        on_error: Callable[[Exception], None],
    ) -> None:
        self._pages = pages
        self._other = other
        self._built: dict[int, _BuiltPage] = {}
        self.server = HttpServer(self._async_handle, on_error)

    async def _async_handle(
        self, req: HttpRequest, resp: HttpResponder
    ) -> None:
        page = self._pages.get(req.path, self._other)
        await resp.async_send(200, self._body(page), page.headers)

    def _body(self, page: Page) -> bytes:
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        built = self._built.get(id(page))
        if built is not None and began_at < built.expires_at:
            return built.body
        body = page.build()
        now = loop.time()
        self._built[id(page)] = _BuiltPage(
            body=body,
            expires_at=now + REUSED_PER_BUILD * (now - began_at),
        )
        return body
