"""What a red run changes: one guard, and the test that must notice."""

from dataclasses import dataclass
from pathlib import Path


class MutationError(Exception):
    """The old text isn't there once; adapt the table of mutations."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Mutation:
    """A guard to remove and the test that must notice."""

    promise: str
    path: str
    old: str
    new: str
    test: str

    def apply(self, root: Path) -> None:
        """Change the file in a copy of the tree."""
        path = root / self.path
        text = path.read_text()
        found = text.count(self.old)
        if found != 1:
            raise MutationError(f"{self.path}: {found} times: {self.old}")
        path.write_text(text.replace(self.old, self.new))
