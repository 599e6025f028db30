"""Answers that one host passes on to another that asked for them."""

from dataclasses import dataclass
from typing import Final

RELAY_TTL_S: Final = 2.0
MAX_RELAYS: Final = 256


@dataclass(frozen=True, kw_only=True, slots=True)
class Relay:
    """Who wants an answer, and the sequence it was asked under."""

    address: str
    sequence: int
    expires_at: float


class RelayTable:
    """A bounded number of answers that are waited for."""

    def __init__(self) -> None:
        self._relays: dict[int, Relay] = {}

    def put(
        self, now: float, own_sequence: int, address: str, sequence: int
    ) -> bool:
        """Note who wants the answer; False if too many wait already."""
        if len(self._relays) >= MAX_RELAYS:
            return False
        self._relays[own_sequence] = Relay(
            address=address,
            sequence=sequence,
            expires_at=now + RELAY_TTL_S,
        )
        return True

    def pop(self, own_sequence: int) -> Relay | None:
        """Return who wants the answer, once."""
        return self._relays.pop(own_sequence, None)

    def expire(self, now: float) -> None:
        """Forget answers that did not come in time."""
        for own_sequence, relay in list(self._relays.items()):
            if now >= relay.expires_at:
                del self._relays[own_sequence]
