"""State of the machine in `once`, and what it knows of other hosts."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from waxwingarch.core.base import HostId
from waxwingarch.core.once.claim import ClaimRow, Writer
from waxwingarch.core.once.once_messages import StoreAnswer


class OwnerView(Protocol):
    """Interface to what this host knows about other hosts."""

    def has_departed(self, host: HostId, incarnation: int) -> bool:
        """Return whether that incarnation of a host is known to have ended."""


class Phase(StrEnum):
    """Phase of the claim protocol: what the machine is waiting for."""

    NEW = "new"
    CLAIMING = "claiming"
    READING_BACK = "reading_back"
    DISPATCHING = "dispatching"
    ASKING = "asking"
    SETTLING = "settling"
    STORING = "storing"
    RECORDING = "recording"
    FINISHED = "finished"


@dataclass(frozen=True, kw_only=True, slots=True)
class OnceState:
    """Complete state of a machine; hashable for the model checker.

    `version` is the last known version of the row. `maybe_claimed` says
    that a claim of this machine is in the table or may still get there.
    `record` is the row to write, and `store` the object that has to be
    stored before it. `writer` is the role of this machine for the row.
    """

    phase: Phase = Phase.NEW
    version: int = 0
    maybe_claimed: bool = False
    claim_writes: int = 0
    dispatches: int = 0
    record: ClaimRow | None = None
    store: StoreAnswer | None = None
    writer: Writer = Writer.OWNER
