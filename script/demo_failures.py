"""Makes requests fail on the emulated platform, and explains each.

Usage: script/demo_failures. One request is refused by a limit, one is
aborted when its server crashes, and one is late because it was sent to an
unresponsive server while the store, which would have removed that server
from the list, was silent. `waxwingctl explain` prints the history of each
from the daemon's log.
"""

import asyncio
import subprocess
import sys
import tempfile
from contextlib import suppress
from pathlib import Path
from typing import Final

from script.demo_front import FrontDemo, WrongError
from waxwingarch.exceptions import LinkError

EVENTS_PER_STREAM: Final = 60
EVENT_INTERVAL_S: Final = 0.02
CRASH_AFTER_S: Final = 0.4
STORE_SILENCE_S: Final = 7.0
CONFIG_APPLY_S: Final = 1.0
LOW_RATE_PER_S: Final = 30.0
MAX_REQUESTS: Final = 60


class FailureDemo(FrontDemo):
    """Sends requests that fail, each for a different cause."""

    failed_requests: tuple[str, ...] = ()

    async def async_send_requests(self) -> None:
        """Send the requests and make them fail."""
        for server in self.fleet.engines():
            server.behaviour.events = EVENTS_PER_STREAM
            server.behaviour.event_s = EVENT_INTERVAL_S
        await self._async_crash_during_stream()
        await self._async_delay_request()
        await self._async_exceed_rate_limit()

    async def _async_crash_during_stream(self) -> None:
        stream = asyncio.create_task(
            self._async_send_request("/chat/x", "cut-1")
        )
        await asyncio.sleep(CRASH_AFTER_S)
        for server in self.fleet.engines():
            if server.running("cut-1"):
                await server.async_unload()
        with suppress(LinkError):
            await stream
        self.failed_requests += ("cut-1",)

    async def _async_delay_request(self) -> None:
        self.fleet.store.mode = "silent"
        await asyncio.sleep(STORE_SILENCE_S)
        mute, *_ = self.fleet.plain()
        mute.behaviour.how, mute.behaviour.count = "mute", 1
        names = []
        while mute.behaviour.count and len(names) < MAX_REQUESTS:
            names.append(f"late-{len(names) + 1}")
            await self._async_send_request("/read/x", names[-1])
        self.failed_requests += (names[-1],)
        self.fleet.store.mode = ""
        await asyncio.sleep(2 * CONFIG_APPLY_S)

    async def _async_exceed_rate_limit(self) -> None:
        self.fleet.config.rate = LOW_RATE_PER_S
        self.fleet.config.version += 1
        self.fleet.put_config()
        await asyncio.sleep(CONFIG_APPLY_S)
        for number in range(MAX_REQUESTS):
            name = f"refused-{number + 1}"
            answer = await self._async_send_request("/read/x", name)
            if answer.status != 200:
                self.failed_requests += (name,)
                return


def main() -> int:
    """Run the demo, print the histories and return the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        demo = FailureDemo(Path(folder))
        try:
            asyncio.run(demo.async_run())
        except (WrongError, LinkError, TimeoutError) as exc:
            print(f"WRONG: {type(exc).__name__}: {exc}")
            return 1
        command = [sys.executable, "-m", "waxwingctl", "explain"]
        for name in demo.failed_requests:
            print(f"\nwaxwingctl explain {name} --log host-1.log", flush=True)
            subprocess.run(
                [*command, name, "--log", demo.log.name],
                check=True,
                cwd=folder,
            )
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
