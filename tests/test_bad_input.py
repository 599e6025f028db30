"""Tests that a real daemon refuses invalid input and stays healthy."""

import errno
import json
import socket
import subprocess
import sys
import time

from standins.cluster import http_json
from standins.deployment import ACCOUNT_KEY, OPERATOR_KEY
from tests.faults.base import AUTHORIZATION, FaultCase
from waxwingarch.const import EXIT_ADDRESS_IN_USE, EXIT_SETTINGS

REPLY_TIMEOUT_S = 5.0
COMPLETIONS = "/v1/completions"
VALID_BODY = {"prompt": "hello", "max_tokens": 3}


def send_raw(address: str, data: bytes) -> bytes:
    """Send bytes and return the whole reply until the peer closes."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), REPLY_TIMEOUT_S) as sock:
        received = b""
        try:
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
            while chunk := sock.recv(65536):
                received += chunk
        except OSError as exc:
            if not is_closed_by_peer(exc):
                raise
        return received


def is_closed_by_peer(exc: OSError) -> bool:
    """Return whether the peer has already refused and closed.

    A reset between two calls raises `ENOTCONN` on the second one, which
    is not a `ConnectionError`.
    """
    return isinstance(exc, ConnectionError) or exc.errno == errno.ENOTCONN


def parse_status(reply: bytes) -> int:
    return int(reply.split(b" ", 2)[1]) if reply else 0


class InvalidRequests(FaultCase):
    engine_count = 1
    service_count = 1
    host_count = 1

    def setUp(self) -> None:
        super().setUp()
        self.address = self.http_address("entry-1")
        self.admin_address = self.dep.hosts["entry-1"].admin

    def assert_healthy(self) -> None:
        """Assert that the daemon serves requests and logged no traceback."""
        answer = self.post("entry-1", COMPLETIONS, VALID_BODY)
        self.assertEqual(200, answer.status, answer.body)
        log = self.cluster.errors_of("entry-1")
        self.assertNotIn("Traceback", log)
        self.assertNotIn("eliot:traceback", log)

    def test_malformed_http(self) -> None:
        broken = [
            b"\r\n\r\n\r\n",
            b"\x00\xff\xfe\x16\x03\x01",
            b"GET\r\n\r\n",
            b"GET / HTTP/9.9\r\n\r\n",
            b"GET / HTTP/1.1\r\n\r\n",
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -4\r\n\r\n",
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1e9\r\n\r\n",
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: x\r\n\r\n",
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
            b"\r\nzz\r\n",
            b"GET / HTTP/1.1\r\nHost: a\r\nbad header\r\n\r\n",
            b"GET / HTTP/1.1\r\nHost: a\r\nX: \x00\r\n\r\n",
            b"GET http://[ HTTP/1.1\r\nHost: a\r\n\r\n",
            b"GET //[ HTTP/1.1\r\nHost: a\r\n\r\n",
            b"GET /\xff HTTP/1.1\r\nHost: a\r\n\r\n",
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc",
        ]
        for address in (self.address, self.admin_address):
            for data in broken:
                status = parse_status(send_raw(address, data))
                refused = status in (0, 501) or 400 <= status < 500
                self.assertTrue(refused, (status, data))
        self.assert_healthy()

    def test_huge_headers_and_bodies(self) -> None:
        head = b"POST /v1/completions HTTP/1.1\r\nHost: a\r\n"
        headers = head + b"X: " + b"x" * 100_000 + b"\r\n\r\n"
        endless = head + b"X: " + b"x" * 1_000_000
        declared = head + b"Content-Length: 99999999999\r\n\r\n"
        chunk = b"100000\r\n" + b"x" * 0x100000 + b"\r\n"
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk * 12
        for address in (self.address, self.admin_address):
            for data in (headers, endless, declared, chunked):
                status = parse_status(send_raw(address, data))
                self.assertIn(status, (0, 400, 401, 413, 431), data[:80])
        self.assert_healthy()

    def test_invalid_keys_routes_and_headers(self) -> None:
        cases = [
            (401, "unknown key", COMPLETIONS, {}),
            (401, "unknown key", COMPLETIONS, {"authorization": "Bearer"}),
            (401, "unknown key", COMPLETIONS,
             {"authorization": "Bearer \xe9"}),
            (401, "unknown key", COMPLETIONS, {"authorization": "Basic eA=="}),
            (404, "unknown route", "/nowhere", AUTHORIZATION),
            (404, "unknown route", "/v2/../v1x", AUTHORIZATION),
            (400, "bad request", COMPLETIONS,
             AUTHORIZATION | {"x-deadline-ms": "soon"}),
            (400, "bad request", COMPLETIONS,
             AUTHORIZATION | {"x-deadline-ms": "\xb2"}),
            (400, "bad request", COMPLETIONS,
             AUTHORIZATION | {"last-event-id": "no ticket"}),
            (400, "bad request", "/ledger/disbursements",
             AUTHORIZATION | {"idempotency-key": "k" * 201}),
        ]  # fmt: skip
        for status, kind, path, headers in cases:
            answer = http_json(
                "POST", self.address, path, VALID_BODY, headers=headers
            )
            self.assertEqual(status, answer.status, (path, headers))
            self.assertEqual(kind, answer.body["error"]["type"])
            self.assertEqual("not run", answer.body["error"]["ran"])
            self.assertTrue(answer.body["error"]["message"])
        self.assert_healthy()

    def test_bodies_of_model_requests(self) -> None:
        bodies: list[object] = [
            None,
            [],
            "text",
            {},
            {"prompt": 5},
            {"prompt": "a", "max_tokens": 0},
            {"prompt": "a", "max_tokens": 10**9},
            {"messages": []},
            {"messages": [{"role": "user", "content": [1]}]},
            {"prompt": "a", "stream": "perhaps"},
        ]
        for body in bodies:
            answer = self.post("entry-1", COMPLETIONS, body)
            self.assertEqual(400, answer.status, body)
            self.assertEqual("bad request", answer.body["error"]["type"])
        deep = b"[" * 100_000
        head = (
            f"POST {COMPLETIONS} HTTP/1.1\r\nHost: a\r\n"
            f"Authorization: Bearer {ACCOUNT_KEY}\r\n"
            f"Content-Length: {len(deep)}\r\n\r\n"
        )
        self.assertEqual(
            400, parse_status(send_raw(self.address, head.encode() + deep))
        )
        self.assert_healthy()

    def test_operators_interface(self) -> None:
        headers = {"x-operator-key": OPERATOR_KEY}
        for wrong_headers in (
            {},
            {"x-operator-key": ""},
            {"x-operator-key": "\xe9"},
        ):
            answer = http_json(
                "GET", self.admin_address, "/admin/dump", headers=wrong_headers
            )
            self.assertEqual(401, answer.status)
        cases: list[tuple[int, str, str, object]] = [
            (404, "GET", "/admin/nothing", None),
            (404, "PUT", "/admin/contracts", None),
            (404, "GET", "/admin/contracts/%2e%2e%2f%ff", None),
            (404, "GET", "/admin/explain/%00", None),
            (400, "POST", "/admin/contracts", []),
            (400, "POST", "/admin/contracts", {"contracts": [{"text": 5}]}),
            (400, "POST", "/admin/contracts", {"contracts": [{"text": "x"}]}),
            (400, "POST", "/admin/contracts", {"contract": "?"}),
            (400, "POST", "/admin/moves", {"service": "../x"}),
            (400, "POST", "/admin/moves",
             {"service": "waxwing-pool", "version": "v2", "by_unix": "NaN"}),
        ]  # fmt: skip
        for status, method, path, body in cases:
            answer = http_json(
                method, self.admin_address, path, body, headers=headers
            )
            self.assertEqual(status, answer.status, (path, body, answer.body))
            self.assertTrue(answer.body["error"]["message"])
        self.assert_healthy()

    def test_slow_and_abandoned_connections(self) -> None:
        host, _, port = self.address.rpartition(":")
        socks = [
            socket.create_connection((host, int(port)), REPLY_TIMEOUT_S)
            for _ in range(50)
        ]
        for sock in socks:
            sock.sendall(b"POST /v1/completions HTTP/1.1\r\nHo")
        self.assert_healthy()
        for sock in socks:
            sock.close()
        self.assert_healthy()


class InvalidSettings(FaultCase):
    engine_count = 0
    service_count = 0
    host_count = 0

    def run_daemon(self, text: bytes) -> subprocess.CompletedProcess[str]:
        path = self.cluster.root / "bad.ini"
        path.write_bytes(text)
        return subprocess.run(
            [sys.executable, "-m", "waxwingarch", "--settings", str(path)],
            capture_output=True,
            text=True,
            timeout=20,
            check=False,
        )

    def valid_settings(self) -> str:
        self.dep.start_hosts(1, wait=False)
        return self.dep.settings_of(self.dep.hosts["entry-1"])

    def test_invalid_settings_are_refused(self) -> None:
        valid_text = self.valid_settings()
        cases = [
            (b"", "host"),
            (b"[host", "not valid INI"),
            (b"\xff\xfe\x00", "UTF-8"),
            (b"[host]\nhost_id = a\n" * 2, "already exists"),
            (
                valid_text.replace("host_id = ", "host_id = !").encode(),
                "host_id",
            ),
            (
                valid_text.replace("[security]", "[securty]").encode(),
                "securty",
            ),
            (
                valid_text.replace("http = ", "http = x").encode() * 2,
                "already",
            ),
        ]
        for text, part in cases:
            result = self.run_daemon(text)
            self.assertEqual(EXIT_SETTINGS, result.returncode, text)
            self.assertIn(part, result.stderr)
            self.assertNotIn("Traceback", result.stderr)

    def test_address_in_use(self) -> None:
        valid_text = self.valid_settings()
        self.cluster.wait_health("entry-1", "/health/live")
        result = self.run_daemon(valid_text.encode())
        self.assertEqual(EXIT_ADDRESS_IN_USE, result.returncode)
        self.assertIn("free the address or change [listen]", result.stderr)
        self.assertNotIn("Traceback", result.stderr)
        self.assertTrue(self.cluster.alive("entry-1"))


class InvalidContractInTheTable(FaultCase):
    engine_count = 1
    service_count = 0
    host_count = 1

    def test_it_is_skipped_and_logged(self) -> None:
        """A contract written without waxwingctl; the others stay in force."""
        writes = [
            {"table": "settings", "key": "doc/contract/bad",
             "value": {"text": "[contract]\naccount = bad\n"}},
            {"table": "settings", "key": "doc/contract/other",
             "value": {"text": "[contract]\ndeployment = elsewhere\n"}},
            {"table": "settings", "key": "revision",
             "value": {"revision": 2, "change_id": "x"}},
        ]  # fmt: skip
        answer = http_json(
            "POST",
            self.dep.platform,
            "/v1/table/transact",
            {"conditions": [], "writes": writes},
        )
        self.assertEqual(200, answer.status)
        deadline = time.monotonic() + REPLY_TIMEOUT_S
        state: dict[str, object] = {}
        while time.monotonic() < deadline and state.get("revision") != 2:
            state = self.dep.admin("entry-1", "GET", "/admin/dump").body
        self.assertEqual(2, state["revision"])
        self.assertEqual(["charity-1"], state["accounts"])
        log = self.cluster.errors_of("entry-1")
        self.assertIn("contract_broken", log)
        broken = [
            json.loads(line)["reason"]
            for line in log.splitlines()
            if "contract_broken" in line
        ]
        self.assertIn("contract/bad", " ".join(broken))
