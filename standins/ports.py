"""Ports for processes that start later, reserved against all others.

A port that the kernel hands out may serve an outgoing connection a moment
later. Ports here lie below that range, and a process holds a block of them
by a socket on another loopback address for as long as it lives.
"""

import socket
from collections.abc import Iterator
from typing import Final

LOOPBACK: Final = "127.0.0.1"
# The address on which blocks are held; nothing else listens there.
HOLD_IP: Final = "127.0.0.77"
# Below the kernel's usual range for outgoing connections (from 32768).
FIRST_PORT: Final = 12_000
END_PORT: Final = 32_000
BLOCK_PORTS: Final = 50


class PortBook:
    """Hands out each port once in the life of this process."""

    def __init__(self) -> None:
        self._held: list[socket.socket] = []
        self._left: Iterator[int] = iter(())

    def take(self) -> int:
        """Return a port that nothing listens on, for TCP and UDP."""
        while True:
            for port in self._left:
                if _is_free(port):
                    return port
            self._left = iter(self._block())

    def _block(self) -> range:
        """Hold the next free block; raises `OSError` if none is left."""
        for first in range(FIRST_PORT, END_PORT, BLOCK_PORTS):
            sock = socket.socket()
            try:
                sock.bind((HOLD_IP, first))
            except OSError:
                sock.close()
                continue
            self._held.append(sock)
            return range(first, first + BLOCK_PORTS)
        raise OSError("all port blocks are held: end some test processes")


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as sock:
            try:
                sock.bind((LOOPBACK, port))
            except OSError:
                return False
    return True


_PORTS = PortBook()


def free_port() -> int:
    """Return a port for a process that is started by this one."""
    return _PORTS.take()


def free_address() -> str:
    """Return a loopback address for a process started by this one."""
    return f"{LOOPBACK}:{free_port()}"
