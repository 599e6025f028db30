"""Bounds of the client connections that a process keeps."""

import resource
from collections import Counter
from collections.abc import Callable, Iterable
from enum import IntEnum, StrEnum
from typing import Final, Protocol

# A request in progress takes the descriptor of its client and one of its
# server, and idle connections to servers take 512: at the fewest descriptors
# of a deployment, 1,638, these are 1,494 in all.
CONNECTIONS_PER_DESCRIPTOR: Final = 0.3
# What a connection may have read ahead, which is held whatever else is.
CONNECTION_BYTES: Final = 32 * 1024
# What the callers' address leaves to readiness checks, peers and operators.
CALLERS_SHARE: Final = 0.875


class Wait(IntEnum):
    """What a connection waits for; the lowest is closed first."""

    UNREAD_ANSWER = 0
    PIPELINED_REQUEST = 1
    FIRST_REQUEST = 2
    NEXT_REQUEST = 3
    REST_OF_BODY = 4
    # Not closed for others.
    ANSWER = 5


class EndReason(StrEnum):
    """Why a connection was closed before its client closed it."""

    TOO_MANY = "too many connections"
    MADE_ROOM = "closed for a new connection"
    UNREAD = "answers are not read"
    NO_ROOM = "answers are not read and the memory for bodies is full"
    SLOW_REQUEST = "the rest of a request does not come in time"


class BoundedConnection(Protocol):
    """A connection that may be closed to make room for a new one."""

    @property
    def wait(self) -> Wait:
        """What the connection waits for."""

    @property
    def waits_since(self) -> float:
        """When it was made, or its last answer ended."""

    def end(self, reason: EndReason) -> None:
        """Close the connection at once."""


class ConnectionBounds:
    """The connections of all servers of a process, and their number.

    `on_end` is told the address of a client whose connection is closed and
    the reason.
    """

    def __init__(self, max_connections: int | None = None) -> None:
        """Begin without connections; without a number, any are kept."""
        self.max_connections = max_connections
        self.count = 0
        self.ended: Counter[EndReason] = Counter()
        self.on_end: Callable[[str, EndReason], None] | None = None
        self._groups: list[ConnectionGroup] = []

    def group(self, share: float = 1.0) -> "ConnectionGroup":
        """Return a group, such as a server's, with a share of the number."""
        group = ConnectionGroup(self, share)
        self._groups.append(group)
        return group

    def connections(self) -> list[BoundedConnection]:
        """Return the connections of all groups."""
        return [conn for group in self._groups for conn in group.connections]

    def record_end(self, client: str, reason: EndReason) -> None:
        """Count and report a connection that was closed."""
        self.ended[reason] += 1
        if self.on_end is not None:
            self.on_end(client, reason)


class ConnectionGroup:
    """The connections of one server."""

    def __init__(self, bounds: ConnectionBounds, share: float) -> None:
        self.bounds = bounds
        self.connections: set[BoundedConnection] = set()
        self._share = share

    def try_add(self, conn: BoundedConnection) -> bool:
        """Keep a connection, if need be in place of one that waits."""
        limit = self.bounds.max_connections
        if limit is not None:
            if len(self.connections) >= limit * self._share:
                if not _end_first(self.connections):
                    return False
            elif self.bounds.count >= limit and not _end_first(
                self.bounds.connections()
            ):
                return False
        self.connections.add(conn)
        self.bounds.count += 1
        return True

    def remove(self, conn: BoundedConnection) -> None:
        """Forget a connection, which may be forgotten already."""
        if conn in self.connections:
            self.connections.remove(conn)
            self.bounds.count -= 1


def max_connections(held_limit_bytes: int) -> int:
    """Return how many client connections this process may keep.

    `held_limit_bytes` is the limit of the account of held bytes.
    """
    by_memory = held_limit_bytes // CONNECTION_BYTES
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return by_memory
    return min(by_memory, int(descriptors * CONNECTIONS_PER_DESCRIPTOR))


def _end_first(connections: Iterable[BoundedConnection]) -> bool:
    """Close the connection that goes first; False if none may be closed."""
    first = min(
        connections, key=lambda c: (c.wait, c.waits_since), default=None
    )
    if first is None or first.wait is Wait.ANSWER:
        return False
    first.end(EndReason.MADE_ROOM)
    return True
