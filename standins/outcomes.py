"""What a plain service remembers of the operations that it ran."""

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from urllib.parse import quote


@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """What became of an operation; no status while it runs."""

    status: int | None = None
    body: Any = None

    def wire(self) -> dict[str, Any]:
        """Return the outcome as it is sent."""
        if self.status is None:
            return {"ran": True, "running": True}
        return {"ran": True, "status": self.status, "body": self.body}


class Outcomes:
    """Outcomes by operation id.

    With a directory, all servers of the service that are given the same
    one share their outcomes; without, each knows its own only.
    """

    def __init__(self, directory: Path | None = None) -> None:
        self._directory = directory
        self._known: dict[str, Outcome] = {}

    def put(self, op: str, outcome: Outcome) -> None:
        """Remember the outcome of an operation, if it has an id."""
        if not op:
            return
        self._known[op] = outcome
        if self._directory is None:
            return
        path = self._path(op)
        part = path.with_suffix(".part")
        part.write_text(json.dumps([outcome.status, outcome.body]))
        part.replace(path)

    def get(self, op: str) -> Outcome | None:
        """Return the outcome of an operation, if it ran."""
        if self._directory is None:
            return self._known.get(op)
        try:
            status, body = json.loads(self._path(op).read_text())
        except FileNotFoundError:
            return None
        return Outcome(status=status, body=body)

    def _path(self, op: str) -> Path:
        assert self._directory is not None
        return self._directory / f"{quote(op, safe='')}.json"
