"""Traces of a node: what it saw and did, as JSON lines, and replay.

A trace begins with a header that holds what the node was made with. Each
further line is a step: the time, the event and the digest of the actions,
or the actions themselves where a trace states its outcome in full.
"""

import importlib
import pkgutil
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, fields, is_dataclass
from enum import Enum
from functools import cache
from pathlib import Path
from random import Random
from typing import IO, Any, Final, get_args, get_type_hints

import orjson
import xxhash

import waxwingarch.core
from waxwingarch.core.base import Action, Event
from waxwingarch.core.cluster.members import Member
from waxwingarch.core.contract_node import ContractNode
from waxwingarch.exceptions import WaxwingError

TYPE_KEY: Final = "!"
BYTES_KEY: Final = "hex"


class TraceError(WaxwingError):
    """A trace cannot be read; record it again with this version."""


@dataclass(frozen=True, kw_only=True, slots=True)
class TraceHeader:
    """What the node of a trace was made with."""

    own: Member
    seeds: tuple[str, ...]
    unix_offset: float
    seed: int

    def node(self) -> ContractNode:
        """Return a node in the same first state."""
        return ContractNode(
            self.own, self.seeds, self.unix_offset, Random(self.seed)
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class Step:
    """One step of a trace; `actions` is None where only the digest is."""

    at: float
    event: Event
    digest: str
    actions: tuple[Action, ...] | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Difference:
    """Where a replay did something else than the trace says."""

    line: int
    step: Step
    actions: tuple[Action, ...]


class TraceWriter:
    """Writes a trace as the node runs."""

    def __init__(self, out: IO[bytes], header: TraceHeader) -> None:
        self._out = out
        self._write(encode(header))

    def record(self, now: float, event: Event, actions: list[Action]) -> None:
        """Write one step."""
        self._write(
            {
                "at": now,
                "event": encode(event),
                "digest": digest_of(actions),
            }
        )

    def _write(self, line: Any) -> None:
        self._out.write(orjson.dumps(line) + b"\n")


def read_trace(path: Path) -> tuple[TraceHeader, Iterator[Step]]:
    """Return a trace's header and steps; raises `TraceError`."""
    try:
        lines = path.read_bytes().splitlines()
        header = decode(orjson.loads(lines[0]))
    except (OSError, IndexError, ValueError, KeyError, TypeError) as exc:
        raise TraceError(f"{path}: not a trace ({exc})") from exc
    if not isinstance(header, TraceHeader):
        raise TraceError(f"{path}: the first line is no header")
    return header, _steps(path, lines[1:])


def _steps(path: Path, lines: Iterable[bytes]) -> Iterator[Step]:
    for number, line in enumerate(lines, start=2):
        try:
            raw = orjson.loads(line)
            actions = raw.get("actions")
            yield Step(
                at=float(raw["at"]),
                event=decode(raw["event"]),
                digest=str(raw["digest"]),
                actions=None if actions is None else decode(actions),
            )
        except (ValueError, KeyError, TypeError, AttributeError) as exc:
            raise TraceError(f"{path}:{number}: not a step ({exc})") from exc


def replay(header: TraceHeader, steps: Iterable[Step]) -> Difference | None:
    """Run a trace through the core; return the first difference."""
    node = header.node()
    for line, step in enumerate(steps, start=2):
        actions = node.handle(step.at, step.event)
        if digest_of(actions) != step.digest:
            return Difference(line=line, step=step, actions=tuple(actions))
    return None


def digest_of(actions: Iterable[Action]) -> str:
    """Return the digest of actions, byte for byte."""
    raw = orjson.dumps([encode(action) for action in actions])
    return xxhash.xxh3_64_hexdigest(raw)


def encode(value: Any) -> Any:
    """Return a core value as JSON types."""
    if is_dataclass(value) and not isinstance(value, type):
        kind = type(value)
        encoded = {
            f.name: encode(getattr(value, f.name)) for f in fields(kind)
        }
        return {TYPE_KEY: _name_of(kind), **encoded}
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, tuple | list):
        return [encode(entry) for entry in value]
    if isinstance(value, bytes):
        return {BYTES_KEY: value.hex()}
    return value


def decode(raw: Any, hint: Any = None) -> Any:
    """Return the core value that `encode` was given."""
    if isinstance(raw, dict):
        if BYTES_KEY in raw and TYPE_KEY not in raw:
            return bytes.fromhex(raw[BYTES_KEY])
        return _decode_dataclass(raw)
    if isinstance(raw, list):
        inner = next((a for a in get_args(hint) if a is not Ellipsis), None)
        return tuple(decode(entry, inner) for entry in raw)
    enum = _enum_of(hint)
    return enum(raw) if enum and raw is not None else raw


def _decode_dataclass(raw: dict[str, Any]) -> Any:
    kind = _registry()[raw[TYPE_KEY]]
    hints = _hints(kind)
    return kind(
        **{
            name: decode(value, hints[name])
            for name, value in raw.items()
            if name != TYPE_KEY
        }
    )


def _enum_of(hint: Any) -> type[Enum] | None:
    """Return the enumeration in a type hint, if there is one."""
    for candidate in (hint, *get_args(hint)):
        if isinstance(candidate, type) and issubclass(candidate, Enum):
            return candidate
    return None


def _name_of(kind: type) -> str:
    return f"{kind.__module__.rpartition('.')[2]}.{kind.__name__}"


@cache
def _hints(kind: type) -> dict[str, Any]:
    return get_type_hints(kind)


@cache
def _registry() -> dict[str, type]:
    """Return the data classes of the core, and the header, by name."""
    found: dict[str, type] = {_name_of(TraceHeader): TraceHeader}
    package = waxwingarch.core
    prefix = f"{package.__name__}."
    for info in pkgutil.walk_packages(package.__path__, prefix):
        module = importlib.import_module(info.name)
        for value in vars(module).values():
            if isinstance(value, type) and is_dataclass(value):
                found[_name_of(value)] = value
    return found
