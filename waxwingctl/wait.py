"""Waits until what was asked for has come about."""

import asyncio
from collections.abc import Callable
from typing import Any, Final
from urllib.parse import quote

from waxwingctl.context import Context
from waxwingctl.errors import UnavailableError, WaitEndedError

POLL_S: Final = 0.1
MOVE_POLL_S: Final = 1.0
ENDED_STATES: Final = ("done", "taken back")


async def async_wait_in_force(
    context: Context, revision: int, limit_s: float
) -> None:
    """Return once all live hosts have a revision in force.

    Raises `WaitEndedError`.
    """
    told: list[Any] = [None]

    def reached(status: Any) -> bool:
        hosts = status["hosts"]
        behind = [h["host_id"] for h in hosts if h["applied"] < revision]
        if behind != told[0]:
            there = len(hosts) - len(behind)
            waits = f", waiting for {' '.join(behind)}" if behind else ""
            context.output.progress(
                f"revision {revision} is in force on {there} of"
                f" {len(hosts)} live hosts{waits}"
            )
            told[0] = behind
        return bool(hosts) and not behind

    await _async_until(
        context,
        "/admin/revision",
        reached,
        limit_s,
        POLL_S,
        f"revision {revision} is written but not yet in force everywhere;"
        " look again with: waxwingctl hosts",
    )


async def async_wait_move(
    context: Context, move_id: str, limit_s: float
) -> Any:
    """Return a move once it has ended; raises `WaitEndedError`."""
    last = [""]

    def ended(move: Any) -> bool:
        if move["explanation"] != last[0]:
            last[0] = move["explanation"]
            context.output.progress(last[0])
        return move["state"] in ENDED_STATES

    return await _async_until(
        context,
        f"/admin/moves/{quote(move_id, safe='')}",
        ended,
        limit_s,
        MOVE_POLL_S,
        f"move {move_id} has not ended yet and goes on; look again with:"
        f" waxwingctl move status {move_id}",
    )


async def _async_until(
    context: Context,
    path: str,
    reached: Callable[[Any], bool],
    limit_s: float,
    poll_s: float,
    too_late: str,
) -> Any:
    """Poll until `reached`; a daemon that is down for a while is passed."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + limit_s
    while True:
        try:
            status = await context.client.async_call("GET", path)
        except UnavailableError as exc:
            if loop.time() >= deadline:
                raise WaitEndedError(f"{too_late} ({exc})") from exc
        else:
            if reached(status):
                return status
            if loop.time() >= deadline:
                raise WaitEndedError(too_late)
        await asyncio.sleep(poll_s)
