"""Indirect probes: which host gets the acknowledgement of a probe."""

from dataclasses import dataclass
from typing import Final

RELAY_TTL_S: Final = 2.0
MAX_PENDING_RELAYS: Final = 256


@dataclass(frozen=True, kw_only=True, slots=True)
class Relay:
    """Who asked for a probe, and under which sequence number."""

    address: str
    sequence: int
    expires_at: float


class RelayTable:
    """Bounded table of probes sent on behalf of other hosts."""

    def __init__(self) -> None:
        self._relays: dict[int, Relay] = {}

    def put(
        self, now: float, own_sequence: int, address: str, sequence: int
    ) -> bool:
        """Record who asked for the probe; return False if it is full."""
        if len(self._relays) >= MAX_PENDING_RELAYS:
            return False
        self._relays[own_sequence] = Relay(
            address=address,
            sequence=sequence,
            expires_at=now + RELAY_TTL_S,
        )
        return True

    def pop(self, own_sequence: int) -> Relay | None:
        """Remove and return who asked for the probe, if anybody did."""
        return self._relays.pop(own_sequence, None)

    def expire(self, now: float) -> None:
        """Remove the probes that were not answered in time."""
        for own_sequence, relay in list(self._relays.items()):
            if now >= relay.expires_at:
                del self._relays[own_sequence]
