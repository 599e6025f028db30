"""Reads the time for which a server says that it is still cold."""

import json
from math import isfinite
from typing import Any, Final

from waxwingarch.core.backends.cold_reading import NO_READING, ColdReading
from waxwingarch.platform.const import MS_PER_S

MAX_COLD_MS: Final = 3_600_000.0
MAX_LOGGED_VALUE_CHARS: Final = 80
# Whole numbers of more digits than this become floats: to convert them takes
# time that grows with the square of their length.
MAX_WHOLE_DIGITS: Final = 40


def parse_cold_row(value: Any, *, is_duplicated: bool) -> ColdReading:
    """Return what the field of a row says; None stands for no field."""
    if is_duplicated:
        return _ignored("occurs more than once")
    if value is None:
        return NO_READING
    if isinstance(value, bool) or not isinstance(value, int | float):
        return _ignored(value)
    return _to_reading(value)


def parse_any_number(value: bytes) -> Any:
    """Parse JSON whose numbers may be NaN, infinite or very long."""
    return json.loads(value, parse_int=_parse_whole)


def _parse_whole(text: str) -> float:
    return int(text) if len(text) <= MAX_WHOLE_DIGITS else float(text)


def parse_cold_header(texts: list[str]) -> ColdReading:
    """Return what the headers of a response say; none is no reading."""
    if not texts:
        return NO_READING
    if len(texts) > 1:
        return _ignored("occurs more than once")
    text = texts[0]
    if "_" in text:
        # Python takes underscores between digits for a number.
        return _ignored(text)
    try:
        return _to_reading(float(text))
    except ValueError:
        return _ignored(text)


def _to_reading(value_ms: float) -> ColdReading:
    # A whole number may be too large for a float.
    if not 0 <= value_ms <= MAX_COLD_MS or not isfinite(value_ms):
        return _ignored(value_ms)
    return ColdReading(remaining_s=value_ms / MS_PER_S)


def _ignored(value: object) -> ColdReading:
    return ColdReading(ignored=str(value)[:MAX_LOGGED_VALUE_CHARS])
