"""Helpers of the measurements of real processes."""

import os
from dataclasses import replace
from pathlib import Path
from typing import Final

from standins.deployment import Deployment, HostAddresses
from standins.ports import free_address

CLOCK_TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")
KB_PER_MB: Final = 1024


def cpu_s(pid: int) -> float:
    """Return the user and system time of a process in seconds."""
    stat = Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def rss_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    return _memory_mb(pid, "VmRSS:")


def peak_mb(pid: int) -> float:
    """Return the peak resident memory of a process in MB."""
    return _memory_mb(pid, "VmHWM:")


def _memory_mb(pid: int, field: str) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(field):
            return int(line.split()[1]) / KB_PER_MB
    return 0.0


class LeanDeployment(Deployment):
    """Deployment whose entry hosts record no trace, as by default."""

    def settings_of(self, host: HostAddresses) -> str:
        """Return the settings file of one entry host."""
        text = super().settings_of(host)
        return text[: text.rindex("trace =")] + "trace =\n"

    def start_again(self) -> None:
        """Restart each host that exited, as its address was in use.

        It gets new addresses.
        """
        for name, host in list(self.hosts.items()):
            if self.cluster.alive(name):
                continue
            self.hosts[name] = replace(
                host,
                http=free_address(),
                admin=free_address(),
                peer_udp=free_address(),
                peer_tcp=free_address(),
            )
            self.start_host(name, wait=False)
            self.publish()
