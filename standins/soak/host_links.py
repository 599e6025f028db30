"""Links of one host to all servers, so that it alone can be partitioned."""

from base64 import b64decode, b64encode
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Final, Protocol

import orjson

from standins.fleet_store import LISTEN_IP
from standins.soak.link import Link, LinkEnd
from waxwingarch.adapters.http_messages import (
    Headers,
    HttpRequest,
    HttpResponder,
)
from waxwingarch.adapters.http_server import HttpServer

SERVERS_TABLE: Final = "servers"
HTTP_OK: Final = 200


class Registered(Protocol):
    """What hosts reach at an address: a server, or a link to one."""

    address: str


class HostLinks:
    """A host's own links, and a view of the store with their addresses.

    Each leads to where all hosts reach a server, so that the faults of a
    link that they share are felt as well.
    """

    def __init__(
        self,
        servers: Mapping[str, Registered],
        store: Callable[[HttpRequest, HttpResponder], Awaitable[None]],
    ) -> None:
        self._servers = servers
        self._store = store
        self._links: dict[str, Link] = {}
        self._server = HttpServer(self._async_handle)
        self.store_address = ""

    async def async_setup(self) -> None:
        """Listen on a free port for each server and for the store."""
        for shared in self._servers.values():
            link = self._links[shared.address] = Link(shared.address)
            await link.async_setup()
        port = await self._server.async_setup(LISTEN_IP, 0)
        self.store_address = f"{LISTEN_IP}:{port}"

    async def async_unload(self) -> None:
        """Close all links."""
        for link in self._links.values():
            await link.async_unload()
        await self._server.async_unload()

    def partition(self) -> None:
        """Reset all connections to servers, and refuse new ones."""
        for link in self._links.values():
            link.close()

    def reset(self, end: LinkEnd = LinkEnd.BOTH) -> None:
        """Reset all connections to servers once; take new ones at once."""
        for link in self._links.values():
            link.reset(end)

    async def async_heal(self) -> None:
        """Accept connections to servers again."""
        for shared_address, link in self._links.items():
            await link.async_reopen(shared_address)

    async def _async_handle(
        self, req: HttpRequest, resp: HttpResponder
    ) -> None:
        if req.query.get("table") == SERVERS_TABLE:
            resp = _ViewResponder(resp, self._rewrite)
        await self._store(req, resp)

    def _rewrite(self, body: bytes) -> bytes:
        """Return a body with the addresses of this host's links."""
        envelope = orjson.loads(body)
        for row in envelope.get("rows", ()):
            if row.get("value"):
                row["value"] = self._rewrite_row(row["value"])
        return orjson.dumps(envelope)

    def _rewrite_row(self, value: str) -> str:
        try:
            registration = orjson.loads(b64decode(value))
            link = self._links[registration["address"]]
        except (ValueError, TypeError, KeyError):
            # A row that names no server of the soak stays as it is.
            return value
        registration["address"] = link.address
        return b64encode(orjson.dumps(registration)).decode()


class _ViewResponder:
    """A responder that rewrites the body of a complete response."""

    def __init__(
        self, resp: HttpResponder, rewrite: Callable[[bytes], bytes]
    ) -> None:
        self._resp = resp
        self._rewrite = rewrite

    def __getattr__(self, name: str) -> Any:
        return getattr(self._resp, name)

    async def async_send(
        self, status: int, body: bytes, headers: Headers = ()
    ) -> None:
        """Send a complete response."""
        if status == HTTP_OK:
            body = self._rewrite(body)
        await self._resp.async_send(status, body, headers)
