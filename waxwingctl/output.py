"""Prints results: tables for people, JSON for programs."""

import sys
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, TextIO

import orjson


class Style(StrEnum):
    """How results are printed."""

    TABLE = "table"
    JSON = "json"


@dataclass(frozen=True, kw_only=True, slots=True)
class Output:
    """Where results and progress go."""

    style: Style = Style.TABLE
    out: TextIO = field(default_factory=lambda: sys.stdout)
    progress_to: TextIO = field(default_factory=lambda: sys.stderr)

    def result(self, data: Any, text: str) -> None:
        """Print a result, as JSON or in words."""
        if self.style is Style.JSON:
            self.json(data)
        elif text:
            print(text, file=self.out)

    def rows(
        self, data: Any, titles: Sequence[str], rows: Iterable[Sequence[Any]]
    ) -> None:
        """Print a result, as JSON or as a table."""
        self.result(data, table(titles, rows))

    def json(self, data: Any) -> None:
        """Print JSON."""
        raw = orjson.dumps(
            data, option=orjson.OPT_INDENT_2 | orjson.OPT_NON_STR_KEYS
        )
        print(raw.decode(), file=self.out)

    def progress(self, text: str) -> None:
        """Tell how far a long operation is."""
        print(text, file=self.progress_to, flush=True)


def table(titles: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Return lines with aligned columns."""
    lines = [list(titles), *([_cell(c) for c in row] for row in rows)]
    widths = [max(len(line[n]) for line in lines) for n in range(len(titles))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def _cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, list | tuple):
        return " ".join(str(part) for part in value)
    return str(value)
