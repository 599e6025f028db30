"""Demonstrates a host on the users' platform, emulated on loopback.

Starts the emulator and a real daemon process; sends a streamed, a
non-idempotent and an idempotent request; aborts a stream, and stops the
daemon gracefully. Exits with 0 only if each step succeeds.
"""

import asyncio
import signal
import sys
import tempfile
from pathlib import Path
from typing import Final

from standins.fleet import Fleet
from standins.fleet_store import LISTEN_IP
from standins.front_process import (
    async_start_front,
    async_wait_front_ready,
    call_headers,
)
from standins.ports import free_port
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.http_connection import HttpResponse
from waxwingarch.exceptions import LinkError

READY_TIMEOUT_S: Final = 20.0
CALL_TIMEOUT_S: Final = 5.0
DEADLINE_MS: Final = 4000
STOP_TIMEOUT_S: Final = 15.0
PROMPT: Final = b"draft an appeal"


class WrongError(Exception):
    """A step had an unexpected result."""


class FrontDemo:
    """One daemon process on an emulated platform."""

    def __init__(self, folder: Path) -> None:
        """Set the folder for the daemon's settings and its log."""
        self._folder = folder
        self.log = folder / "host-1.log"
        self._ports = [free_port() for _ in range(4)]
        self._client = HttpClient()
        self._request_count = 0

    async def async_run(self) -> None:
        """Run all steps; raises `WrongError`."""
        self.fleet = Fleet()
        await self.fleet.async_setup()
        settings = self._folder / "front.ini"
        settings.write_text(self.fleet.settings("host-1", self._ports))
        with self.log.open("wb") as log:
            process = await async_start_front(settings, log)
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                await async_wait_front_ready(self._client, self._ports[1])
            print("the daemon is ready")
            await self.async_send_requests()
            process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(STOP_TIMEOUT_S):
                code = await process.wait()
            _require(code == 0, f"the daemon exited with {code}")
            print("graceful stop: exit code 0")
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
            await self._client.async_unload()
            await self.fleet.async_unload()

    async def async_send_requests(self) -> None:
        """Send requests of each kind, then streams that the servers abort."""
        for path, kind in (
            ("/chat/hello", "streamed"),
            ("/pay/1", "non-idempotent"),
            ("/read/1", "idempotent"),
        ):
            answer = await self._async_send_request(path)
            _require(answer.status == 200, f"{kind}: {answer.status}")
            print(f"{kind} request: 200, {len(answer.body)} bytes")
        for server in self.fleet.engines():
            server.behaviour.how = "cut"
        self.fleet.engines()[0].behaviour.count = 1
        for _ in range(8):
            answer = await self._async_send_request("/draft/appeal")
            _require(answer.body.count(b"id: ") == 5, "a stream is incomplete")
        runs = len({run.request_id for run in self.fleet.runs})
        print(
            f"an aborted stream continued on another server:"
            f" {len(self.fleet.runs)} runs of {runs} requests,"
            f" every stream complete"
        )

    async def _async_send_request(
        self, path: str, name: str = ""
    ) -> HttpResponse:
        self._request_count += 1
        return await self._client.async_request(
            "POST",
            f"{LISTEN_IP}:{self._ports[0]}",
            path,
            deadline=asyncio.get_running_loop().time() + CALL_TIMEOUT_S,
            headers=call_headers(
                name or f"demo-{self._request_count}", DEADLINE_MS
            ),
            body=PROMPT,
        )


def _require(condition: bool, message: str) -> None:
    if not condition:
        raise WrongError(message)


def main() -> int:
    """Run the demo and return the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        try:
            asyncio.run(FrontDemo(Path(folder)).async_run())
        except (WrongError, LinkError, TimeoutError) as exc:
            print(f"WRONG: {type(exc).__name__}: {exc}")
            return 1
    print("on the users' platform all came out right")
    return 0


if __name__ == "__main__":
    sys.exit(main())
