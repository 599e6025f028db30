"""Starts a daemon on the emulated users' platform and probes it."""

import asyncio
import sys
from asyncio.subprocess import Process
from collections.abc import Sequence
from pathlib import Path
from typing import IO, Final

from standins.fleet import HOST_NAME
from standins.fleet_server import REQUEST_ID_HEADER
from standins.fleet_store import LISTEN_IP
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.exceptions import LinkError

KEY: Final = "key-1"
PROBE_TIMEOUT_S: Final = 1.0
POLL_INTERVAL_S: Final = 0.05


async def async_start_front(
    settings: Path,
    stdout: int | IO[bytes],
    *,
    stderr: IO[bytes] | None = None,
    python: Sequence[str] = (),
    tree: Path | None = None,
    **options: int,
) -> Process:
    """Start a daemon.

    `python` are options of the interpreter, and `tree` is the folder of
    another build to run.
    """
    return await asyncio.create_subprocess_exec(
        sys.executable,
        *python,
        "-m",
        "waxwingarch.platform",
        "--settings",
        str(settings),
        stdout=stdout,
        stderr=stderr,
        cwd=tree,
        **options,  # type: ignore[arg-type]
    )


async def async_front_is_ready(client: HttpClient, port: int) -> bool:
    """Return whether the readiness probe on a port succeeds."""
    deadline = asyncio.get_running_loop().time() + PROBE_TIMEOUT_S
    try:
        answer = await client.async_request(
            "GET", f"{LISTEN_IP}:{port}", "/-/readiness", deadline=deadline
        )
    except LinkError:
        return False
    return answer.status == 200


async def async_wait_front_ready(client: HttpClient, port: int) -> None:
    """Wait until a daemon is ready; the caller sets a time limit."""
    while not await async_front_is_ready(client, port):  # noqa: ASYNC110
        await asyncio.sleep(POLL_INTERVAL_S)


def call_headers(
    request_id: str, deadline_ms: int, key: str = KEY
) -> list[tuple[str, str]]:
    """Return the headers of a caller's request."""
    return [
        ("Host", HOST_NAME),
        (REQUEST_ID_HEADER, request_id),
        ("X-Waxwingarch-Deadline-Ms", str(deadline_ms)),
        ("X-Api-Key", key),
    ]
