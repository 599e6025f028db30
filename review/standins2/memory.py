"""Does what the platform does with a process that takes too much memory."""

import asyncio
import time
from collections import Counter
from pathlib import Path
from typing import Final

from review.standins2.case import Record
from review.standins2.deployment import Deployment, Host

# The memory of a machine of the small deployments; a process above it is
# killed, and started again after a short delay.
MEMORY_MB: Final = 300
RESTART_DELAY_S: Final = 0.5
# Rule Fault: processes end by themselves three times in the day, on a tenth
# of the machines, and on two at least.
ENDS: Final = 3
MACHINES: Final = 2
CHECK_S: Final = 0.1
LOG_S: Final = 2.0


class MemoryWatch:
    """Counts how often each host's process was killed for its memory."""

    def __init__(
        self, deployment: Deployment, record: Record, play_s: float
    ) -> None:
        """Watch the hosts of a deployment for a time, from now on."""
        self._deployment = deployment
        self._record = record
        self._until = time.monotonic() + play_s
        self.ends: Counter[str] = Counter()
        self.peak_mb: dict[str, float] = {}

    @property
    def is_rule_broken(self) -> bool:
        """Whether enough machines have had enough ends."""
        machines = [name for name, ends in self.ends.items() if ends >= ENDS]
        return len(machines) >= MACHINES

    @property
    def is_over(self) -> bool:
        """Whether the time is over or the rule is broken."""
        return time.monotonic() >= self._until or self.is_rule_broken

    async def async_watch(self, host: Host) -> None:
        """Kill a host's process above its memory, and start it again."""
        logged_at = 0.0
        while not self.is_over:
            used_mb = _used_mb(host)
            self.peak_mb[host.name] = max(
                used_mb, self.peak_mb.get(host.name, 0.0)
            )
            if time.monotonic() >= logged_at + LOG_S:
                logged_at = time.monotonic()
                self._record.add(f"{host.name} uses {used_mb:.0f} MB")
            if used_mb > MEMORY_MB:
                await self._async_end(host, used_mb)
            await asyncio.sleep(CHECK_S)

    async def _async_end(self, host: Host, used_mb: float) -> None:
        self.ends[host.name] += 1
        self._record.add(
            f"{host.name} uses {used_mb:.0f} MB: the platform kills it, for"
            f" the {self.ends[host.name]}. time"
        )
        await self._deployment.async_kill(host)
        await asyncio.sleep(RESTART_DELAY_S)
        await self._deployment.async_start(host)

    def add_to_record(self) -> None:
        """Write what was counted."""
        self._record.add(f"peak, MB: {self.peak_mb}")
        self._record.add(f"killed for memory: {dict(self.ends)}")


def _used_mb(host: Host) -> float:
    """Return the resident memory of a host's process."""
    assert host.process is not None
    status = Path(f"/proc/{host.process.pid}/status")
    try:
        lines = status.read_text().splitlines()
    except OSError:
        return 0.0
    for line in lines:
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024 / 1e6
    return 0.0
