"""Faults on request, kept by each stand-in."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Literal

from pydantic import BaseModel, ConfigDict, Field

COUNTED_KINDS: Final = frozenset(
    {"lost_reply", "late_answer", "cut", "repeat_chunk", "wrong_order"}
)

Kind = Literal[
    "down",
    "black_hole",
    "slow",
    "lost_reply",
    "stale_list",
    "stale_read",
    "refuse_starts",
    "notice",
    "drop_notices",
    "silent",
    "late_answer",
    "cut",
    "repeat_chunk",
    "wrong_order",
    "ignore_fencing",
    "bad_version",
]


How = Literal["fail", "slow"]
When = Literal["at_once", "late", "load"]


class FaultRequest(BaseModel):
    """Body of `POST /faults`; the kind decides which fields count.

    Without `seconds` a fault stays until it is cleared; a counted one
    also ends after `count` uses.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    kind: Kind
    seconds: float | None = Field(default=None, gt=0)
    count: int = Field(default=1, ge=1)
    part: Literal["table", "objects", "weights", "cloud"] | None = None
    table: str | None = None
    delay_ms: float = Field(default=0, ge=0)
    after_tokens: int = Field(default=0, ge=0)
    server_id: str | None = None
    host_id: str | None = None
    deadline_s: float = Field(default=5, ge=0)
    late_s: float = Field(default=0, ge=0)
    repeat: int = Field(default=1, ge=1)
    stop: bool = True
    version: str | None = None
    how: How = "fail"
    when: When = "at_once"
    after_s: float = Field(default=0, ge=0)
    above_running: int = Field(default=0, ge=0)
    route: str = ""
    factor: float = Field(default=0.1, gt=0)


@dataclass(kw_only=True, slots=True)
class Fault:
    """A fault in force; `since` and `until` are on the monotonic clock."""

    request: FaultRequest
    since: float
    until: float | None
    uses_left: int | None

    def active(self, now: float) -> bool:
        """Whether the fault still has time and uses left."""
        if self.uses_left is not None and self.uses_left <= 0:
            return False
        return self.until is None or now < self.until


class Faults:
    """The faults of one stand-in; `clock` is monotonic, in seconds."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._faults: list[Fault] = []

    def add(self, request: FaultRequest) -> Fault:
        """Put a fault in force."""
        now = self._clock()
        until = None if request.seconds is None else now + request.seconds
        counted = request.kind in COUNTED_KINDS
        fault = Fault(
            request=request,
            since=now,
            until=until,
            uses_left=request.count if counted else None,
        )
        self._faults = [f for f in self._faults if f.active(now)]
        self._faults.append(fault)
        return fault

    def clear(self) -> None:
        """End all faults."""
        self._faults.clear()

    def active(self, kind: Kind, part: str | None = None) -> Fault | None:
        """Return the newest fault of a kind in force, if any."""
        if not self._faults:
            return None
        now = self._clock()
        for fault in reversed(self._faults):
            req = fault.request
            meant = req.part is None or req.part == part
            if req.kind == kind and meant and fault.active(now):
                return fault
        return None

    def all_active(self, kind: Kind) -> list[Fault]:
        """Return every fault of a kind in force."""
        if not self._faults:
            return []
        now = self._clock()
        return [
            f for f in self._faults if f.request.kind == kind and f.active(now)
        ]

    def take(self, kind: Kind, part: str | None = None) -> Fault | None:
        """Use up one count of a fault in force, if any."""
        fault = self.active(kind, part)
        if fault is not None and fault.uses_left is not None:
            fault.uses_left -= 1
        return fault
