"""Operators' view of the quarantined inputs, and their orders."""

from collections import Counter
from collections.abc import Callable
from typing import Any, Final

from waxwingarch.adapters.http_messages import HttpRequest
from waxwingarch.core.base import Event
from waxwingarch.core.quarantine.inputs import (
    REQUEST_KEY_PREFIX,
    kind_of,
    part_key,
)
from waxwingarch.core.quarantine.quarantine import Quarantine
from waxwingarch.core.quarantine.quarantine_messages import (
    InputState,
    QuarantineEntry,
    QuarantineOrdered,
    QuarantineOrigin,
)
from waxwingarch.exceptions import SettingsError
from waxwingarch.tasks.admin import Admin, NotFoundError

QUARANTINE_PATH: Final = "/admin/quarantine"
ADD_PATH: Final = "/admin/quarantine/add"
LIFT_PATH: Final = "/admin/quarantine/lift"
MAX_INPUT_CHARS: Final = 256
# These separate the parts of a prompt and their sizes.
SEPARATORS: Final = ",:"


class QuarantineOperations:
    """Lists, adds and lifts quarantined inputs.

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
        return {"inputs": [_as_json(entry) for entry in entries]}

    async def async_list(self, _req: HttpRequest) -> Any:
        """Return all entries."""
        return self.listing()

    async def async_add(self, req: HttpRequest) -> Any:
        """Quarantine an input."""
        return self._order(_key_of(req), held=True)

    async def async_lift(self, req: HttpRequest) -> Any:
        """Lift the quarantine of an input."""
        key = _key_of(req)
        if self._entry(key) is None:
            raise NotFoundError(
                f"input {key} is not known here: see the list, or ask"
                " another host"
            )
        return self._order(key, held=False)

    def _entry(self, key: str) -> QuarantineEntry | None:
        return next(
            (e for e in self._quarantine.entries if e.key == key), None
        )

    def _order(self, key: str, *, held: bool) -> dict[str, Any]:
        before = self._entry(key)
        was_held = before is not None and before.state is InputState.HELD
        if was_held is not held or (
            before is not None
            and held
            and before.origin is not QuarantineOrigin.OPERATOR
        ):
            self._post(QuarantineOrdered(key=key, held=held))
        entry = self._entry(key)
        assert entry is not None
        return _as_json(entry) | {"changed": entry is not before}


def count_held_inputs(quarantine: Quarantine) -> Counter[tuple[str, str]]:
    """Return the number of quarantined inputs by kind and origin."""
    return Counter(
        (kind_of(entry.key).value, entry.origin.value)
        for entry in quarantine.entries
        if entry.state is InputState.HELD
    )


def _key_of(req: HttpRequest) -> str:
    """Return the key of the input that an operator's request names."""
    try:
        body = req.json()
    except ValueError as exc:
        raise SettingsError(f"send JSON: {exc}") from exc
    name = body.get("input") if isinstance(body, dict) else None
    if not isinstance(name, str) or not _is_valid_id(
        name.removeprefix(REQUEST_KEY_PREFIX)
    ):
        raise SettingsError(
            'send {"input": KEY} with the id of one prompt part, without its'
            " number of tokens, or with the key of a whole request from the"
            " logs"
        )
    return name if name.startswith(REQUEST_KEY_PREFIX) else part_key(name)


def _is_valid_id(text: str) -> bool:
    return (
        0 < len(text) <= MAX_INPUT_CHARS
        and text.isascii()
        and text.isprintable()
        and not any(c in SEPARATORS or c.isspace() for c in text)
    )


def _as_json(entry: QuarantineEntry) -> dict[str, Any]:
    return {
        "input": entry.key,
        "kind": kind_of(entry.key).value,
        "state": entry.state.value,
        "origin": entry.origin.value,
        "decided_at_ms": entry.number,
        "last_seen_at_ms": int(entry.seen_at * 1000),
    }
