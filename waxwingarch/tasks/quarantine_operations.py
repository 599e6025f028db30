"""Operators' view of the quarantined prompt parts, and their orders."""

from collections import Counter
from collections.abc import Callable
from typing import Any, Final

from waxwingarch.adapters.http_messages import HttpRequest
from waxwingarch.core.base import Event
from waxwingarch.core.quarantine.inputs import part_key
from waxwingarch.core.quarantine.quarantine import Quarantine
from waxwingarch.core.quarantine.quarantine_messages import (
    PartOrigin,
    PartState,
    QuarantineEntry,
    QuarantineOrdered,
)
from waxwingarch.exceptions import SettingsError
from waxwingarch.tasks.admin import Admin, NotFoundError

QUARANTINE_PATH: Final = "/admin/quarantine"
ADD_PATH: Final = "/admin/quarantine/add"
LIFT_PATH: Final = "/admin/quarantine/lift"
MAX_PART_CHARS: Final = 256
# These separate the parts of a prompt and their sizes.
SEPARATORS: Final = ",:"


class QuarantineOperations:
    """Lists, adds and lifts quarantined prompt parts.

    An order is an event of this host's node, which tells its peers and the
    store. Repeating one changes nothing.
    """

    def __init__(
        self, quarantine: Quarantine, post: Callable[[Event], None]
    ) -> None:
        self._quarantine = quarantine
        self._post = post

    def register(self, admin: Admin) -> None:
        """Register the operations."""
        admin.add("GET", QUARANTINE_PATH, self.async_list)
        admin.add("POST", ADD_PATH, self.async_add)
        admin.add("POST", LIFT_PATH, self.async_lift)

    def listing(self) -> dict[str, Any]:
        """Return all entries, the last decided ones first."""
        entries = sorted(
            self._quarantine.entries, key=lambda e: e.number, reverse=True
        )
        return {"parts": [_as_json(entry) for entry in entries]}

    async def async_list(self, _req: HttpRequest) -> Any:
        """Return all entries."""
        return self.listing()

    async def async_add(self, req: HttpRequest) -> Any:
        """Quarantine a part."""
        return self._order(_part_of(req), held=True)

    async def async_lift(self, req: HttpRequest) -> Any:
        """Lift the quarantine of a part."""
        part = _part_of(req)
        if self._entry(part) is None:
            raise NotFoundError(
                f"prompt part {part} is not known here: see the list, or ask"
                " another host"
            )
        return self._order(part, held=False)

    def _entry(self, part: str) -> QuarantineEntry | None:
        return next(
            (e for e in self._quarantine.entries if e.part == part), None
        )

    def _order(self, part: str, *, held: bool) -> dict[str, Any]:
        before = self._entry(part)
        was_held = before is not None and before.state is PartState.HELD
        if was_held is not held or (
            before is not None
            and held
            and before.origin is not PartOrigin.OPERATOR
        ):
            self._post(QuarantineOrdered(part=part, held=held))
        entry = self._entry(part)
        assert entry is not None
        return _as_json(entry) | {"changed": entry is not before}


def count_held_parts(quarantine: Quarantine) -> Counter[str]:
    """Return the number of quarantined parts by who decided on them."""
    return Counter(
        entry.origin.value
        for entry in quarantine.entries
        if entry.state is PartState.HELD
    )


def _part_of(req: HttpRequest) -> str:
    """Return the key of the part that a request names."""
    try:
        body = req.json()
    except ValueError as exc:
        raise SettingsError(f"send JSON: {exc}") from exc
    part = body.get("part") if isinstance(body, dict) else None
    is_valid = (
        isinstance(part, str)
        and 0 < len(part) <= MAX_PART_CHARS
        and part.isascii()
        and part.isprintable()
        and not any(c in SEPARATORS or c.isspace() for c in part)
    )
    if not is_valid:
        raise SettingsError(
            'send {"part": ID} with the id of one prompt part, without its'
            " number of tokens"
        )
    return part_key(str(part))


def _as_json(entry: QuarantineEntry) -> dict[str, Any]:
    return {
        "part": entry.part,
        "state": entry.state.value,
        "origin": entry.origin.value,
        "decided_at_ms": entry.number,
        "last_seen_at_ms": int(entry.seen_at * 1000),
    }
