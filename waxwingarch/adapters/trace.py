"""Recording and replay of a contract node's events and actions.

A trace is JSON lines. The first is a header with the arguments that the
node was created with. Each further line is a step: the time, the event
and the digest of the resulting actions, and optionally those actions.
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
    """The arguments that the node of a trace was created with."""

    own: Member
    seeds: tuple[str, ...]
    unix_offset: float
    seed: int

    def node(self) -> ContractNode:
        """Return a new node in the same initial state."""
        return ContractNode(
            self.own, self.seeds, self.unix_offset, Random(self.seed)
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class Step:
    """One step of a trace; `actions` is None if only the digest is kept."""

    at: float
    event: Event
    digest: str
    actions: tuple[Action, ...] | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Difference:
    """The step at which a replay's actions differ from the trace."""

    line: int
    step: Step
    actions: tuple[Action, ...]


class TraceWriter:
    """Writes a trace while the node runs."""

    def __init__(self, out: IO[bytes], header: TraceHeader) -> None:
        self._out = out
        self._write(encode(header))

    def record(self, now: float, event: Event, actions: list[Action]) -> None:
        """Write one step with the digest of its actions."""
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
    """Read a trace; its steps are parsed lazily. Raises `TraceError`."""
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
    """Replay a trace through the core; return the first difference."""
    node = header.node()
    for line, step in enumerate(steps, start=2):
        actions = node.handle(step.at, step.event)
        if digest_of(actions) != step.digest:
            return Difference(line=line, step=step, actions=tuple(actions))
    return None


def digest_of(actions: Iterable[Action]) -> str:
    """Return the digest of the encoded actions."""
    raw = orjson.dumps([encode(action) for action in actions])
    return xxhash.xxh3_64_hexdigest(raw)


def encode(value: Any) -> Any:
    """Convert a core value to JSON types.

    A data class becomes an object with its class name under `TYPE_KEY`.
    """
    if is_dataclass(value) and not isinstance(value, type):
        cls = type(value)
        encoded = {f.name: encode(getattr(value, f.name)) for f in fields(cls)}
        return {TYPE_KEY: _type_name(cls), **encoded}
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, tuple | list):
        return [encode(entry) for entry in value]
    if isinstance(value, bytes):
        return {BYTES_KEY: value.hex()}
    return value


def decode(raw: Any, hint: Any = None) -> Any:
    """Convert the result of `encode` back to the core value.

    `hint` is the type annotation of the value. It is needed to restore
    enumerations, which are encoded as their plain values.
    """
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
    cls = _types_by_name()[raw[TYPE_KEY]]
    hints = _type_hints(cls)
    return cls(
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


def _type_name(cls: type) -> str:
    """Return "module.Class" without the packages of the module."""
    return f"{cls.__module__.rpartition('.')[2]}.{cls.__name__}"


@cache
def _type_hints(cls: type) -> dict[str, Any]:
    return get_type_hints(cls)


@cache
def _types_by_name() -> dict[str, type]:
    """Return the data classes of the core, and `TraceHeader`, by name."""
    types: dict[str, type] = {_type_name(TraceHeader): TraceHeader}
    package = waxwingarch.core
    prefix = f"{package.__name__}."
    for info in pkgutil.walk_packages(package.__path__, prefix):
        module = importlib.import_module(info.name)
        for value in vars(module).values():
            if isinstance(value, type) and is_dataclass(value):
                types[_type_name(value)] = value
    return types
