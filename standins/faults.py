"""Faults that tests inject into a stand-in."""

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
    "crash",
    "copies",
]


How = Literal["fail", "slow"]
When = Literal["at_once", "late", "load"]


class FaultRequest(BaseModel):
    """Body of `POST /faults`; the kind decides which fields apply.

    Without `seconds` a fault lasts until it is cleared. One of a counted
    kind also ends after `count` uses. `crash` ends the process at a request
    whose body has `text`.
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
    text: str = ""


@dataclass(kw_only=True, slots=True)
class Fault:
    """An injected fault; `since` and `until` are monotonic, in seconds."""

    request: FaultRequest
    since: float
    until: float | None
    remaining_uses: int | None

    def active(self, now: float) -> bool:
        """Return whether the fault has time and uses remaining."""
        if self.remaining_uses is not None and self.remaining_uses <= 0:
            return False
        return self.until is None or now < self.until


class Faults:
    """The faults of one stand-in; `clock` is monotonic, in seconds."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._faults: list[Fault] = []

    def add(self, request: FaultRequest) -> Fault:
        """Add a fault, active from now on."""
        now = self._clock()
        until = None if request.seconds is None else now + request.seconds
        counted = request.kind in COUNTED_KINDS
        fault = Fault(
            request=request,
            since=now,
            until=until,
            remaining_uses=request.count if counted else None,
        )
        self._faults = [f for f in self._faults if f.active(now)]
        self._faults.append(fault)
        return fault

    def clear(self) -> None:
        """End all faults."""
        self._faults.clear()

    def active(self, kind: Kind, part: str | None = None) -> Fault | None:
        """Return the newest active fault of a kind and part, if any."""
        if not self._faults:
            return None
        now = self._clock()
        for fault in reversed(self._faults):
            req = fault.request
            part_matches = req.part is None or req.part == part
            if req.kind == kind and part_matches and fault.active(now):
                return fault
        return None

    def all_active(self, kind: Kind) -> list[Fault]:
        """Return all active faults of a kind."""
        if not self._faults:
            return []
        now = self._clock()
        return [
            f for f in self._faults if f.request.kind == kind and f.active(now)
        ]

    def consume(self, kind: Kind, part: str | None = None) -> Fault | None:
        """Return the newest active fault and use up one of its counts."""
        fault = self.active(kind, part)
        if fault is not None and fault.remaining_uses is not None:
            fault.remaining_uses -= 1
        return fault
