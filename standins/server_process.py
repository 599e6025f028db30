"""Servers of the emulated users' platform as processes of their own.

What the kernel does for a stopped or killed process is played as well: it
accepts connections, keeps unread bytes, and orders closes and data.
Run as a program, it is one such server.
"""

import asyncio
import signal
import sys
import time
from asyncio.subprocess import PIPE, Process
from collections.abc import Callable
from dataclasses import asdict
from typing import Any, Final

import orjson

from standins.fleet_server import Behaviour, FleetServer, Run
from standins.fleet_store import LISTEN_IP

START_LIMIT_S: Final = 30.0
LINE_LIMIT_BYTES: Final = 1024 * 1024
# A process reports the beginning of the body of a request: more would block
# it while its reader is busy.
MAX_REPORTED_BODY_BYTES: Final = 256


class ProcessServer(FleetServer):
    """A server whose requests are run by a process of its own.

    Its runs are added to `runs` as the process reports them. A process that
    starts again has the address that it had before.
    """

    _process: Process | None = None
    _reader: asyncio.Task[None] | None = None
    _open_runs: dict[int, Run]

    async def async_setup(self) -> None:
        """Start the process, and wait until it listens."""
        self._open_runs = {}
        order = {
            "server_id": self.server_id,
            "instance_id": self.instance_id,
            "service": self.service,
            "zone": self.zone,
            "engine": self.engine,
            "port": int(self.address.rpartition(":")[2] or 0),
            "behaviour": _encode_behaviour(self.behaviour),
        }
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "standins.server_process",
            stdin=PIPE,
            stdout=PIPE,
            limit=LINE_LIMIT_BYTES,
        )
        self._write(order)
        assert self._process.stdout is not None
        async with asyncio.timeout(START_LIMIT_S):
            line = await self._process.stdout.readline()
        self.address = f"{LISTEN_IP}:{int(line)}"
        self.is_down = False
        self._reader = asyncio.create_task(self._async_read_runs())

    async def async_unload(self) -> None:
        """Kill the process."""
        self.is_down = True
        if self._process is None:
            return
        process, self._process = self._process, None
        process.kill()
        await process.wait()
        if self._reader is not None:
            await self._reader
        for run in self._open_runs.values():
            run.ended, run.ended_at = "crashed", time.monotonic()
        self._open_runs = {}

    async def async_apply_behaviour(self) -> None:
        """Tell the process the behaviour that this object has."""
        self._write({"behaviour": _encode_behaviour(self.behaviour)})

    async def async_fall_silent(self, silent_s: float) -> None:
        """Stop the process for a time, and let it go on."""
        process = self._process
        if process is None:
            return
        process.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(silent_s)
        finally:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)

    def running(self, request_id: str) -> bool:
        """Return whether a request is running on this server."""
        return any(
            run.request_id == request_id for run in self._open_runs.values()
        )

    def _write(self, order: dict[str, Any]) -> None:
        if self._process is None or self._process.stdin is None:
            return
        self._process.stdin.write(orjson.dumps(order) + b"\n")

    async def _async_read_runs(self) -> None:
        """Record what the process reports, until it has ended."""
        assert self._process is not None
        assert self._process.stdout is not None
        async for line in self._process.stdout:
            number, fields = orjson.loads(line)
            run = self._open_runs.get(number)
            if run is None:
                run = self._open_runs[number] = _decode_run(fields)
                self.runs.append(run)
                continue
            run.events, run.ended = fields["events"], fields["ended"]
            run.ended_at = fields["ended_at"]
            del self._open_runs[number]


def _encode_behaviour(behaviour: Behaviour) -> dict[str, Any]:
    reply = behaviour.move_reply.decode("latin-1")
    return asdict(behaviour) | {"move_reply": reply}


def _decode_behaviour(fields: dict[str, Any]) -> Behaviour:
    reply = fields["move_reply"].encode("latin-1")
    return Behaviour(**fields | {"move_reply": reply})


def _decode_run(fields: dict[str, Any]) -> Run:
    return Run(
        **fields
        | {"body": fields["body"].encode("latin-1"), "ended_at": float("inf")}
    )


def _encode_run(number: int, run: Run) -> bytes:
    body = run.body[:MAX_REPORTED_BODY_BYTES].decode("latin-1")
    fields = asdict(run) | {"body": body}
    return orjson.dumps([number, fields]) + b"\n"


class _RunLog(list[Run]):
    """The runs of a process, each of which is reported as it begins."""

    def __init__(self, report: Callable[[bytes], None]) -> None:
        super().__init__()
        self._report = report

    def append(self, run: Run) -> None:
        """Add a run."""
        super().append(run)
        self._report(_encode_run(id(run), run))


def _report(data: bytes) -> None:
    sys.stdout.buffer.write(data)
    sys.stdout.buffer.flush()


async def _async_serve(order: dict[str, Any]) -> None:
    server = FleetServer(
        order["server_id"],
        order["service"],
        order["zone"],
        engine=order["engine"],
        runs=_RunLog(_report),
        on_run_end=lambda run: _report(_encode_run(id(run), run)),
        port=order["port"],
    )
    server.instance_id = order["instance_id"]
    server.behaviour = _decode_behaviour(order["behaviour"])
    await server.async_setup()
    _report(server.address.rpartition(":")[2].encode() + b"\n")
    while line := await asyncio.to_thread(sys.stdin.buffer.readline):
        server.behaviour = _decode_behaviour(orjson.loads(line)["behaviour"])


def main() -> None:
    """Serve as the first line of the standard input says, until it ends."""
    asyncio.run(_async_serve(orjson.loads(sys.stdin.buffer.readline())))


if __name__ == "__main__":
    main()
