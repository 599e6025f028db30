"""The report of a fault campaign: promises kept and broken."""

import threading
import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

MAX_EVIDENCE_PER_PROMISE: Final = 5


class Promise(StrEnum):
    """The promises that a campaign checks."""

    SURVIVES = "accepted work survives faults"
    WHOLE = "each caller receives its own whole answer"
    NOT_RUN = "refused as not run, it did not run"
    ONCE = "a non-idempotent request runs at most once"
    LEAVING = "no new work on a leaving server after 3 s"
    STOP = "a planned stop cuts off nobody"
    IN_FORCE = "a revision is in force everywhere within 6 s"
    NO_REVERT = "a revision never reverts"
    ONE_WINS = "of racing changes at most one is accepted"


@dataclass(kw_only=True, slots=True)
class Report:
    """Counts of checks, with evidence of failures, for each promise.

    Safe to use from several threads. `promises` are the ones that the
    formatted report lists.
    """

    promises: Iterable[str] = tuple(Promise)
    started_at: float = field(default_factory=time.time)
    checks: Counter[str] = field(default_factory=Counter)
    broken: dict[str, list[str]] = field(default_factory=dict)
    broken_counts: Counter[str] = field(default_factory=Counter)
    sent: Counter[str] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    log: list[tuple[float, str]] = field(default_factory=list)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def record_check(self, promise: str, kept: bool, evidence: object) -> None:
        """Count a check; `evidence` describes a broken promise."""
        with self._lock:
            self.checks[promise] += 1
            if kept:
                return
            self.broken_counts[promise] += 1
            evidence_texts = self.broken.setdefault(promise, [])
            if len(evidence_texts) < MAX_EVIDENCE_PER_PROMISE:
                evidence_texts.append(str(evidence))

    def count(self, kind: str) -> None:
        """Count a request or its outcome."""
        with self._lock:
            self.sent[kind] += 1

    def record_fault(self, kind: str, what: str) -> None:
        """Count a fault and add it to the event log."""
        with self._lock:
            self.faults[kind] += 1
            self.log.append((time.time(), f"{kind} {what}"))

    def record_note(self, what: str) -> None:
        """Add an event to the log without counting it as a fault."""
        with self._lock:
            self.log.append((time.time(), what))

    def events_between(self, begin: float, end: float) -> str:
        """Return the logged events between two Unix times, as one line."""
        return "; ".join(
            f"{at - self.started_at:.1f}s {what}"
            for at, what in self.log
            if begin <= at <= end
        )

    def format(self) -> str:
        """Return the report as text, with one line for each promise."""
        lines = ["requests: " + _format_counts(self.sent)]
        lines.append(
            f"faults: {self.faults.total()} " + _format_counts(self.faults)
        )
        for promise in self.promises:
            failed = self.broken_counts[promise]
            state = "BROKEN" if failed else "kept"
            if not self.checks[promise]:
                state = "not checked"
            checks = self.checks[promise]
            lines.append(f"{state:11} {promise}: {failed} of {checks}")
            lines += [f"    {text}" for text in self.broken.get(promise, [])]
        return "\n".join(lines)


def _format_counts(counter: Counter[str]) -> str:
    return ", ".join(f"{k} {n}" for k, n in sorted(counter.items()))
