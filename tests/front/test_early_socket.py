"""The socket that accepts callers while the daemon still starts."""

import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

import testtools

from standins.deployment import wait_until
from standins.ports import LOOPBACK, free_port
from waxwingarch.adapters.early_socket import listen_early

SETTINGS = """[host]
name = h1
failure_domain = za
[listen]
readiness = 127.0.0.1:{readiness}
callers = 127.0.0.1:{callers}
peers = 127.0.0.1:{peers}
metrics = 127.0.0.1:{metrics}
[store]
address = 127.0.0.1:9
"""


class EarlySocket(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "host.ini"
        names = ("callers", "readiness", "peers", "metrics")
        self.ports = {name: free_port() for name in names}
        self.path.write_text(SETTINGS.format(**self.ports))

    def connect(self) -> socket.socket:
        address = (LOOPBACK, self.ports["callers"])
        conn = socket.create_connection(address, timeout=5)
        self.addCleanup(conn.close)
        return conn

    def test_callers_can_connect_before_the_daemon_starts(self) -> None:
        sock = listen_early(self.path)
        assert sock is not None
        self.addCleanup(sock.close)
        self.connect()

    def test_settings_without_an_address_give_no_socket(
        self,
    ) -> None:
        for text in ("", "[listen]\ncallers = x\n", "[host]\ncallers = a:1\n"):
            self.path.write_text(text)
            self.assertIsNone(listen_early(self.path))
        self.assertIsNone(listen_early(self.path / "missing"))

    def test_address_in_use_gives_no_socket(self) -> None:
        with socket.create_server((LOOPBACK, self.ports["callers"])):
            self.assertIsNone(listen_early(self.path))

    def start_daemon(self) -> subprocess.Popen[bytes]:
        """Start a daemon; return once callers can connect to it."""
        env = {**os.environ, "WAXWINGARCH_CONFIG": str(self.path)}
        process = subprocess.Popen(
            [sys.executable, "-m", "waxwingarch.platform"],
            env=env,
            stdout=subprocess.DEVNULL,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.send_signal, signal.SIGKILL)

        def can_connect() -> bool:
            try:
                self.conn = self.connect()
            except OSError:
                return False
            return True

        wait_until(can_connect, "it listens")
        return process

    def assert_refused_as_not_ready(self) -> None:
        self.conn.settimeout(20)
        self.conn.sendall(
            b"GET /x HTTP/1.1\r\nhost: h\r\n"
            b"x-waxwingarch-request-id: r1\r\n\r\n"
        )
        self.assertIn(b" 503 ", self.conn.recv(4096))

    def test_connection_opened_during_the_start_gets_a_response(self) -> None:
        self.start_daemon()
        self.assert_refused_as_not_ready()

    def test_reload_signal_during_the_start_does_not_end_the_process(
        self,
    ) -> None:
        process = self.start_daemon()
        process.send_signal(signal.SIGHUP)
        self.assert_refused_as_not_ready()
        self.assertIsNone(process.poll())
