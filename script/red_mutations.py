"""Mutation of a source line, and the test that must fail with it."""

from dataclasses import dataclass
from pathlib import Path


class MutationError(Exception):
    """The old text doesn't occur exactly once; update the mutation."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Mutation:
    """The removal of a guard, and the test that must fail without it."""

    promise: str
    path: str
    old: str
    new: str
    test: str

    def apply(self, root: Path) -> None:
        """Replace the old text in the file of a copy of the tree."""
        path = root / self.path
        text = path.read_text()
        found = text.count(self.old)
        if found != 1:
            raise MutationError(f"{self.path}: {found} times: {self.old}")
        path.write_text(text.replace(self.old, self.new))
