"""Polls the daemons until a revision is applied or a move ends."""

import asyncio
from collections.abc import Callable
from typing import Any, Final
from urllib.parse import quote

from waxwingctl.context import Context
from waxwingctl.errors import UnavailableError, WaitTimeoutError

REVISION_POLL_S: Final = 0.1
MOVE_POLL_S: Final = 1.0
TERMINAL_STATES: Final = ("done", "taken back")


async def async_wait_until_applied(
    context: Context, revision: int, timeout_s: float
) -> None:
    """Return once all live hosts have applied a revision.

    Raises `WaitTimeoutError`.
    """
    reported: list[Any] = [None]

    def is_applied(status: Any) -> bool:
        hosts = status["hosts"]
        behind = [h["host_id"] for h in hosts if h["applied"] < revision]
        if behind != reported[0]:
            applied_count = len(hosts) - len(behind)
            waiting_for = f", waiting for {' '.join(behind)}" if behind else ""
            context.output.print_progress(
                f"revision {revision} is in force on {applied_count} of"
                f" {len(hosts)} live hosts{waiting_for}"
            )
            reported[0] = behind
        return bool(hosts) and not behind

    await _async_poll_until(
        context,
        "/admin/revision",
        is_applied,
        timeout_s,
        REVISION_POLL_S,
        f"revision {revision} is written but not yet in force everywhere;"
        " look again with: waxwingctl hosts",
    )


async def async_wait_for_move(
    context: Context, move_id: str, timeout_s: float
) -> Any:
    """Return a move once it has ended; raises `WaitTimeoutError`."""
    last_explanation = [""]

    def has_ended(move: Any) -> bool:
        if move["explanation"] != last_explanation[0]:
            last_explanation[0] = move["explanation"]
            context.output.print_progress(last_explanation[0])
        return move["state"] in TERMINAL_STATES

    return await _async_poll_until(
        context,
        f"/admin/moves/{quote(move_id, safe='')}",
        has_ended,
        timeout_s,
        MOVE_POLL_S,
        f"move {move_id} has not ended yet and goes on; look again with:"
        f" waxwingctl move status {move_id}",
    )


async def _async_poll_until(
    context: Context,
    path: str,
    is_reached: Callable[[Any], bool],
    timeout_s: float,
    poll_s: float,
    timeout_message: str,
) -> Any:
    """Poll until `is_reached` accepts the status, and return the status.

    Polling continues while no daemon is available.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while True:
        try:
            status = await context.client.async_call("GET", path)
        except UnavailableError as exc:
            if loop.time() >= deadline:
                raise WaitTimeoutError(f"{timeout_message} ({exc})") from exc
        else:
            if is_reached(status):
                return status
            if loop.time() >= deadline:
                raise WaitTimeoutError(timeout_message)
        await asyncio.sleep(poll_s)
