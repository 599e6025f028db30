"""Starts and stops the processes of a cluster, for tests and the demo."""

import atexit
import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any, Final, Self

HEALTH_TIMEOUT_S: Final = 20.0
STOP_TIMEOUT_S: Final = 5.0
POLL_INTERVAL_S: Final = 0.02
REQUEST_TIMEOUT_S: Final = 5.0
ERROR_TAIL_CHARS: Final = 2000


class ClusterError(Exception):
    """A process failed; the message holds the end of its error output."""


@dataclass(frozen=True, kw_only=True, slots=True)
class JsonAnswer:
    """A response; `body` is None if it was not JSON."""

    status: int
    body: Any
    headers: dict[str, str]


def http_json(
    method: str,
    address: str,
    path: str,
    body: object = None,
    *,
    timeout_s: float = REQUEST_TIMEOUT_S,
    headers: dict[str, str] | None = None,
) -> JsonAnswer:
    """Send a request on a new connection; raises `OSError`."""
    host, _, port = address.rpartition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    data = None if body is None else json.dumps(body).encode()
    all_headers = {"content-type": "application/json", **(headers or {})}
    try:
        conn.request(method, path, data, all_headers)
        answer = conn.getresponse()
        received = answer.read()
    except http.client.HTTPException as exc:
        raise ConnectionError(f"{address}: {exc!r}") from exc
    finally:
        conn.close()
    return JsonAnswer(
        status=answer.status,
        body=_parse_json(received),
        headers={k.lower(): v for k, v in answer.getheaders()},
    )


def _parse_json(data: bytes) -> Any:
    try:
        return json.loads(data)
    except ValueError:
        return None


@dataclass(kw_only=True, slots=True)
class _Process:
    popen: subprocess.Popen[bytes]
    errors: Path


@dataclass(kw_only=True, slots=True, eq=False)
class Cluster:
    """Processes by name; those still running are stopped at exit.

    A process that is suspended by SIGSTOP is resumed first.
    """

    root: Path = field(
        default_factory=lambda: Path(tempfile.mkdtemp(prefix="cluster-"))
    )
    addresses: dict[str, str] = field(default_factory=dict)
    _processes: dict[str, _Process] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Stop the processes at exit if `close` isn't called."""
        atexit.register(self.close)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    # Processes

    def start_process(self, name: str, argv: Sequence[str]) -> int:
        """Start a program and return its process id.

        `errors_of(name)` returns the end of its output.
        """
        running = self._processes.get(name)
        if running is not None and running.popen.poll() is None:
            raise ClusterError(f"{name} runs already; end it first")
        path = self.root / f"{name}.err"
        with path.open("ab") as errors:
            popen = subprocess.Popen(
                list(argv),
                stdin=subprocess.DEVNULL,
                stdout=errors,
                stderr=errors,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )
        self._processes[name] = _Process(popen=popen, errors=path)
        return popen.pid

    def start_module(
        self, name: str, module: str, *options: str, wait: bool = True
    ) -> str:
        """Start a stand-in by its module and return its address.

        A stand-in that is started again gets its last port. Without `wait`,
        call `wait_address` before use.
        """
        port_file = self._port_file(name)
        port_file.unlink(missing_ok=True)
        last_address = self.addresses.get(name, ":0")
        argv = [sys.executable, "-m", module]
        argv += ["--port", last_address.rpartition(":")[2]]
        argv += ["--port-file", str(port_file), *options]
        self.start_process(name, argv)
        return self.wait_address(name) if wait else ""

    def start_daemon(
        self, name: str, settings: str, address: str, *, wait: bool = True
    ) -> str:
        """Start a waxwingarch daemon with the given settings."""
        path = self.root / f"{name}.ini"
        path.write_text(settings)
        argv = [sys.executable, "-m", "waxwingarch", "--settings", str(path)]
        self.start_process(name, argv)
        self.addresses[name] = address
        if wait:
            self.wait_health(name)
        return address

    def start_platform(self, hosts: object = None, *options: str) -> str:
        """Start the stand-in platform under the name `platform`."""
        path = self.root / "hosts.json"
        path.write_text(json.dumps(hosts or {}))
        return self.start_module(
            "platform", "standins.platform", "--hosts", str(path), *options
        )

    def start_engine(
        self, server_id: str, service: str, *options: str, wait: bool = True
    ) -> str:
        """Start an engine under its server id."""
        return self.start_module(
            server_id,
            "standins.engine",
            "--server-id",
            server_id,
            "--service",
            service,
            *options,
            wait=wait,
        )

    def start_service(
        self, server_id: str, service: str, *options: str, wait: bool = True
    ) -> str:
        """Start a plain service under its server id."""
        return self.start_module(
            server_id,
            "standins.service",
            "--server-id",
            server_id,
            "--service",
            service,
            *options,
            wait=wait,
        )

    def _port_file(self, name: str) -> Path:
        return self.root / f"{name}.port"

    def wait_address(self, name: str) -> str:
        """Wait until a stand-in is healthy and return its address."""
        port_file = self._port_file(name)
        deadline = time.monotonic() + HEALTH_TIMEOUT_S
        while not port_file.exists():
            self._check_starting(name, deadline)
            time.sleep(POLL_INTERVAL_S)
        self.addresses[name] = f"127.0.0.1:{port_file.read_text().strip()}"
        self.wait_health(name)
        return self.addresses[name]

    def wait_health(
        self,
        name: str,
        path: str = "/health",
        limit_s: float = HEALTH_TIMEOUT_S,
    ) -> None:
        """Wait until `GET path` returns 200; raises `ClusterError`."""
        deadline = time.monotonic() + limit_s
        while not self._is_healthy(name, path):
            self._check_starting(name, deadline)
            time.sleep(POLL_INTERVAL_S)

    def _is_healthy(self, name: str, path: str) -> bool:
        try:
            answer = http_json("GET", self.addresses[name], path, timeout_s=1)
        except OSError:
            return False
        return answer.status == 200

    def _check_starting(self, name: str, deadline: float) -> None:
        self.check_alive(name)
        if time.monotonic() > deadline:
            summary = f"{name} is not healthy in time"
            raise ClusterError(f"{summary}: {self.errors_of(name)}")

    def check_alive(self, name: str) -> None:
        """Raise `ClusterError` with its errors if a process has ended."""
        code = self._processes[name].popen.poll()
        if code is not None:
            summary = f"{name} ended with {code}"
            raise ClusterError(f"{summary}: {self.errors_of(name)}")

    def errors_of(self, name: str) -> str:
        """Return the end of a process's output and error output."""
        text = self._processes[name].errors.read_text(errors="replace")
        return text[-ERROR_TAIL_CHARS:]

    def pid(self, name: str) -> int:
        """Return a process id."""
        return self._processes[name].popen.pid

    def alive(self, name: str) -> bool:
        """Return whether a process is still running."""
        return self._processes[name].popen.poll() is None

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process if it is still running."""
        self._processes[name].popen.send_signal(number)

    def wait(self, name: str, limit_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the end of a process and return its exit code."""
        return self._processes[name].popen.wait(limit_s)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self.signal(name, signal.SIGKILL)
        self.wait(name)

    def stop(self, name: str, limit_s: float = STOP_TIMEOUT_S) -> int:
        """Stop a process by SIGTERM and return its exit code."""
        self.signal(name, signal.SIGTERM)
        return self.wait(name, limit_s)

    def close(self) -> None:
        """Stop all processes of this cluster; idempotent."""
        atexit.unregister(self.close)
        running = [
            p.popen for p in self._processes.values() if p.popen.poll() is None
        ]
        for popen in running:
            popen.send_signal(signal.SIGCONT)
            popen.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for popen in running:
            _wait_or_kill(popen, deadline)

    # Stand-ins

    def request(
        self, method: str, name: str, path: str, body: object = None
    ) -> JsonAnswer:
        """Send one request to a process by its name."""
        return http_json(method, self.addresses[name], path, body)

    def fault(self, name: str, kind: str, **options: object) -> None:
        """Inject a fault into a stand-in."""
        answer = self.request(
            "POST", name, "/faults", {"kind": kind, **options}
        )
        if answer.status != 200:
            raise ClusterError(f"{name}: {answer.body}")

    def clear_faults(self, name: str) -> None:
        """Clear all faults of a stand-in."""
        self.request("DELETE", name, "/faults")

    def journal(self, name: str, what: str | None = None) -> list[Any]:
        """Return a stand-in's journal, or its entries of one type."""
        entries = self.request("GET", name, "/journal").body["entries"]
        return [e for e in entries if what in {None, e["what"]}]

    def put_hosts(self, rows: object) -> None:
        """Change the platform's hosts list."""
        self.request("PUT", "platform", "/admin/hosts", rows)


def _wait_or_kill(popen: subprocess.Popen[bytes], deadline: float) -> None:
    try:
        popen.wait(max(0.0, deadline - time.monotonic()))
    except subprocess.TimeoutExpired:
        popen.kill()
        popen.wait()
