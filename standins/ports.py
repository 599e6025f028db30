"""Allocates ports for processes that are started later.

A free port that the kernel chooses may be used for an outgoing connection
before the process binds it. Ports from here lie below the kernel's range for
those. Parallel test processes don't collide either: each reserves blocks of
ports by a socket on another loopback address, for its lifetime.
"""

import socket
from collections.abc import Iterator
from typing import Final

LOOPBACK: Final = "127.0.0.1"
# The address whose ports reserve the blocks; nothing else listens there.
RESERVATION_IP: Final = "127.0.0.77"
# Below the kernel's usual range for outgoing connections (from 32768).
FIRST_PORT: Final = 12_000
END_PORT: Final = 32_000
BLOCK_PORTS: Final = 50


class PortAllocator:
    """Allocates each port at most once in this process."""

    def __init__(self) -> None:
        self._reservations: list[socket.socket] = []
        self._remaining: Iterator[int] = iter(())

    def allocate(self) -> int:
        """Return a port that is free for TCP and UDP."""
        while True:
            for port in self._remaining:
                if _is_free(port):
                    return port
            self._remaining = iter(self._reserve_block())

    def _reserve_block(self) -> range:
        """Reserve the next free block; raises `OSError` if none is left."""
        for first in range(FIRST_PORT, END_PORT, BLOCK_PORTS):
            sock = socket.socket()
            try:
                sock.bind((RESERVATION_IP, first))
            except OSError:
                sock.close()
                continue
            self._reservations.append(sock)
            return range(first, first + BLOCK_PORTS)
        raise OSError("all port blocks are reserved: end some test processes")


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as sock:
            try:
                sock.bind((LOOPBACK, port))
            except OSError:
                return False
    return True


_PORTS = PortAllocator()


def free_port() -> int:
    """Return a port for a process that is started by this one."""
    return _PORTS.allocate()


def free_address() -> str:
    """Return a loopback address for a process started by this one."""
    return f"{LOOPBACK}:{free_port()}"
