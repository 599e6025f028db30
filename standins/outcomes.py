"""The outcomes of the operations that a plain service ran."""

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from urllib.parse import quote


@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """The outcome of an operation; `status` is None while it runs."""

    status: int | None = None
    body: Any = None

    def wire(self) -> dict[str, Any]:
        """Return the outcome in its wire format."""
        if self.status is None:
            return {"ran": True, "running": True}
        return {"ran": True, "status": self.status, "body": self.body}


class Outcomes:
    """Outcomes by operation id.

    Servers with the same directory share their outcomes. Without one, a
    server knows only its own.
    """

    def __init__(self, directory: Path | None = None) -> None:
        self._directory = directory
        self._own_outcomes: dict[str, Outcome] = {}

    def put(self, op: str, outcome: Outcome) -> None:
        """Store the outcome of an operation, if it has an id."""
        if not op:
            return
        self._own_outcomes[op] = outcome
        if self._directory is None:
            return
        path = self._path(op)
        temporary_path = path.with_suffix(".part")
        temporary_path.write_text(json.dumps([outcome.status, outcome.body]))
        temporary_path.replace(path)

    def get(self, op: str) -> Outcome | None:
        """Return the outcome of an operation, if it ran."""
        if self._directory is None:
            return self._own_outcomes.get(op)
        try:
            status, body = json.loads(self._path(op).read_text())
        except FileNotFoundError:
            return None
        return Outcome(status=status, body=body)

    def _path(self, op: str) -> Path:
        assert self._directory is not None
        return self._directory / f"{quote(op, safe='')}.json"
