"""What a backend server says of how long it is cold."""

from dataclasses import dataclass
from typing import Final


@dataclass(frozen=True, kw_only=True, slots=True)
class ColdReading:
    """The time for which a server is still cold; 0 if it is not.

    It is None if the server does not say, or if what it says is not valid;
    `ignored` is then the start of the value.
    """

    remaining_s: float | None = None
    ignored: str | None = None


NO_READING: Final = ColdReading()
