"""Reads log lines of several hosts, in order of time."""

import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Final

import orjson

from waxwingctl.errors import UsageError

STDIN_NAME: Final = "-"
# Events of a host that can affect a request in progress. They are shown
# with its own lines.
CONTEXT_KINDS: Final = frozenset(
    {
        "config_applied",
        "server_leaving",
        "server_limit",
        "service_brittle",
        "path_lost",
        "path_regained",
        "store_lost",
        "store_regained",
        "stopping",
        "started",
        "lines_left_out",
    }
)
# The kinds of line that end a request.
FINAL_KINDS: Final = frozenset({"exchange_ended", "refused"})
# Context events are shown from this long before the request's first line.
CONTEXT_BEFORE_S: Final = 5.0


def read_log_lines(names: Iterable[str]) -> list[dict[str, Any]]:
    """Return the JSON lines of all files, oldest first.

    The file name is added to each line as `source`.
    """
    lines = [line for name in names for line in _parse_lines(name)]
    return sorted(lines, key=lambda line: float(line.get("timestamp", 0.0)))


def select_request_lines(
    request_id: str, lines: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    """Return a request's lines and the context events of its hosts.

    Where the last line doesn't end the request, the context extends to
    the next `started` line of that host, if there is one: it shows that
    the process died.
    """
    request_lines = [
        line for line in lines if line.get("request_id") == request_id
    ]
    if not request_lines:
        return []
    hosts = {_host_key(line) for line in request_lines}
    from_s = request_lines[0].get("timestamp", 0.0) - CONTEXT_BEFORE_S
    until_s = request_lines[-1].get("timestamp", 0.0)
    if request_lines[-1].get("message_type") not in FINAL_KINDS:
        until_s = _next_start(lines, _host_key(request_lines[-1]), until_s)
    return [
        line
        for line in lines
        if line in request_lines
        or (
            line.get("message_type") in CONTEXT_KINDS
            and _host_key(line) in hosts
            and from_s <= line.get("timestamp", 0.0) <= until_s
        )
    ]


def _host_key(line: dict[str, Any]) -> tuple[str, str]:
    return line["source"], str(line.get("host", ""))


def _next_start(
    lines: list[dict[str, Any]], host: tuple[str, str], after_s: float
) -> float:
    start_times = (
        float(line["timestamp"])
        for line in lines
        if line.get("message_type") == "started"
        and _host_key(line) == host
        and line["timestamp"] > after_s
    )
    return next(start_times, after_s)


def _parse_lines(name: str) -> Iterator[dict[str, Any]]:
    text = sys.stdin.read() if name == STDIN_NAME else _read_text(name)
    for raw in text.splitlines():
        # A log collector may have put a prefix before the JSON object.
        _, brace, tail = raw.partition("{")
        try:
            line = orjson.loads(brace + tail)
        except orjson.JSONDecodeError:
            continue
        if isinstance(line, dict):
            yield line | {"source": name}


def _read_text(name: str) -> str:
    try:
        return Path(name).read_text(errors="replace")
    except OSError as exc:
        raise UsageError(
            f"--log {name}: cannot be read ({exc.strerror}); name a log file"
        ) from exc
