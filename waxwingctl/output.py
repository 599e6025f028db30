"""Prints results as tables for people or as JSON for programs."""

import sys
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, TextIO

import orjson


class Style(StrEnum):
    """The format in which results are printed."""

    TABLE = "table"
    JSON = "json"


@dataclass(frozen=True, kw_only=True, slots=True)
class Output:
    """The streams for results and progress, and the result format."""

    style: Style = Style.TABLE
    out: TextIO = field(default_factory=lambda: sys.stdout)
    progress_to: TextIO = field(default_factory=lambda: sys.stderr)

    def print_result(self, data: Any, text: str) -> None:
        """Print a result: `data` as JSON, or `text` in table style."""
        if self.style is Style.JSON:
            self.print_json(data)
        elif text:
            print(text, file=self.out)

    def print_table(
        self, data: Any, headers: Sequence[str], rows: Iterable[Sequence[Any]]
    ) -> None:
        """Print a result: `data` as JSON, or `rows` as a table."""
        self.print_result(data, format_table(headers, rows))

    def print_json(self, data: Any) -> None:
        """Print indented JSON, whatever the style."""
        raw = orjson.dumps(
            data, option=orjson.OPT_INDENT_2 | orjson.OPT_NON_STR_KEYS
        )
        print(raw.decode(), file=self.out)

    def print_progress(self, text: str) -> None:
        """Print the progress of a long operation at once."""
        print(text, file=self.progress_to, flush=True)


def format_table(headers: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Return a header line and rows with aligned columns."""
    lines = [list(headers), *([_format_cell(c) for c in row] for row in rows)]
    widths = [max(len(line[n]) for line in lines) for n in range(len(headers))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, list | tuple):
        return " ".join(str(part) for part in value)
    return str(value)
