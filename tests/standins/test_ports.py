"""Tests of the ports for processes that tests start."""

import socket
import subprocess
import sys

import testtools

from standins.ports import BLOCK_PORTS, LOOPBACK, PortAllocator

OUTGOING = 200


class Ports(testtools.TestCase):
    def test_outgoing_connections_never_use_one(self) -> None:
        allocator = PortAllocator()
        allocated = {allocator.allocate() for _ in range(2 * BLOCK_PORTS)}
        self.assertEqual(2 * BLOCK_PORTS, len(allocated))
        for _ in range(OUTGOING):
            with socket.socket() as sock:
                sock.bind((LOOPBACK, 0))
                self.assertNotIn(sock.getsockname()[1], allocated)
        with open("/proc/sys/net/ipv4/ip_local_port_range") as file:
            first_outgoing = int(file.read().split()[0])
        self.assertLess(max(allocated), first_outgoing)

    def test_two_processes_never_share_a_port(self) -> None:
        allocator = PortAllocator()
        own = {allocator.allocate() for _ in range(BLOCK_PORTS)}
        code = (
            "from standins.ports import PortAllocator\n"
            "allocator = PortAllocator()\n"
            f"print(*(allocator.allocate() for _ in range({BLOCK_PORTS})))\n"
        )
        other = subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            text=True,
            check=True,
        )
        theirs = {int(port) for port in other.stdout.split()}
        self.assertEqual(BLOCK_PORTS, len(theirs))
        self.assertEqual(set(), own & theirs)

    def test_skips_a_port_in_use(self) -> None:
        allocator = PortAllocator()
        first = allocator.allocate()
        with socket.socket() as sock:
            following = self.bind_next(sock, first)
            self.assertGreater(allocator.allocate(), following)

    def bind_next(self, sock: socket.socket, port: int) -> int:
        """Bind the port that the allocator would return after one.

        Ports between them may still be held by connections that have ended.
        """
        while True:
            port += 1
            try:
                sock.bind((LOOPBACK, port))
            except OSError:
                continue
            return port
