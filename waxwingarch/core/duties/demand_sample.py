"""Samples of the demand on a service, in servers of mean size and speed."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, Protocol

from waxwingarch.core.backends.load import ServerLoad
from waxwingarch.core.backends.load_balancer import (
    FIRST_TOKEN_S,
    PREFILL_TOKENS_PER_S,
)
from waxwingarch.core.backends.registry import Backend
from waxwingarch.core.base import ServerId

# Requests are not spread evenly: with more of their slots in use than this,
# some servers have requests that wait.
FULL_SLOTS_RATIO: Final = 0.9
# Above this share of the time spent reading prompts, a prompt waits for
# longer than it takes to read it.
FULL_READ_RATIO: Final = 0.7
# Prompts that take a server longer than this to read are queued work: the
# demand then exceeds what the server can read.
QUEUED_READ_S: Final = 0.25
# The most that one server's prompts count for, in servers: a server that has
# stopped keeps its unread prompts, which other servers read meanwhile.
MAX_READ_SHARE: Final = 3.0


class LoadSource(Protocol):
    """The loads of servers by all hosts."""

    def total_load(self, server_id: ServerId) -> ServerLoad:
        """Return the load by all hosts, as far as they reported it."""


class LatencySource(Protocol):
    """The latency of servers relative to the expected one."""

    def ratio(self, now: float, server_id: ServerId) -> float:
        """Return the ratio; a server above 1 is slower than expected."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """A sample of the demand on a service, in servers.

    `slot_servers` have all their slots in use by the requests on servers,
    queued ones included; `read_servers` read prompts all the time.
    `ignored` is the number of servers whose loads contradict themselves.
    """

    slot_servers: float
    read_servers: float
    ignored: int = 0

    @property
    def servers(self) -> float:
        """How many servers carry the demand without a wait."""
        return max(
            self.slot_servers / FULL_SLOTS_RATIO,
            self.read_servers / FULL_READ_RATIO,
        )


NO_DEMAND: Final = Demand(slot_servers=0.0, read_servers=0.0)


def measure_demand(
    now: float,
    backends: Iterable[Backend],
    loads: LoadSource,
    latency: LatencySource,
    known_hosts: int,
) -> Demand:
    """Return the demand on the servers of one service.

    Requests on servers that leave are part of it, as they need a place when
    those are gone. A load counts as a contradiction if it is negative, or
    more than every host filling all the slots of the server.
    """
    slots: list[int] = []
    speeds: list[float] = []
    running = ignored = 0
    read = 0.0
    for backend in backends:
        server = backend.server
        server_slots = max(1, server.slots)
        speed = 1.0 / latency.ratio(now, server.server_id)
        if backend.is_usable:
            slots.append(server_slots)
            speeds.append(speed)
        load = loads.total_load(server.server_id)
        if (
            min(load.running, load.prefill_tokens) < 0
            or load.running > server_slots * known_hosts
        ):
            ignored += 1
            continue
        running += load.running
        read += _read_share(load.prefill_tokens, speed) * speed
    if not slots:
        return Demand(slot_servers=0.0, read_servers=0.0, ignored=ignored)
    return Demand(
        slot_servers=running * len(slots) / sum(slots),
        read_servers=read * len(speeds) / sum(speeds),
        ignored=ignored,
    )


def _read_share(prefill_tokens: int, speed: float) -> float:
    """Return which share of a server's time is spent reading prompts.

    The unread tokens are the rate at which tokens arrive times how long a
    prompt stays unread, which is the time to read them and to begin the
    response (Little's law).
    """
    read_s = prefill_tokens / (PREFILL_TOKENS_PER_S * speed)
    share = max(read_s / (read_s + FIRST_TOKEN_S), read_s / QUEUED_READ_S)
    return min(share, MAX_READ_SHARE)
