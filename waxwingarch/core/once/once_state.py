"""What a machine for a request that runs at most once remembers."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from waxwingarch.core.base import HostId
from waxwingarch.core.once.claim import ClaimRow, Writer
from waxwingarch.core.once.once_messages import StoreAnswer


class OwnerView(Protocol):
    """What this host knows about the life of other hosts."""

    def has_departed(self, host: HostId, incarnation: int) -> bool:
        """Return whether that incarnation is known to have ended."""


class Phase(StrEnum):
    """What the machine is waiting for."""

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
    """Everything that a machine remembers; hashable for the checker.

    `version` is the row's last known one; `maybe_claimed` says that a
    claim write of ours may still take effect; `record` is the row that
    is being written, `store` the object that goes before it; `writer`
    is our role towards the row.
    """

    phase: Phase = Phase.NEW
    version: int = 0
    maybe_claimed: bool = False
    claim_writes: int = 0
    dispatches: int = 0
    record: ClaimRow | None = None
    store: StoreAnswer | None = None
    writer: Writer = Writer.OWNER
