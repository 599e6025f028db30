"""Intervals in which a fault was injected into a process or a link."""

from dataclasses import dataclass


@dataclass(kw_only=True, slots=True)
class FaultInterval:
    """An interval in which a fault disturbed one process or link.

    Times are in seconds, on the clock of the code that creates it; `end`
    is infinite until the process or link has recovered. `incarnation` is
    the one that a server had before the fault; 0 if that isn't recorded.
    """

    name: str
    kind: str
    begin: float
    end: float = float("inf")
    incarnation: int = 0

    def overlaps(self, begin: float, end: float) -> bool:
        """Return whether this interval and the given one overlap."""
        return self.begin <= end and self.end >= begin
